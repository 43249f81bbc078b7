//! The leader's controller: derives the commands that only the leader proposes from the plan and the fleet's state.
//!
//! The leader proposes them as any other command. Each names the state that it starts from and is rejected in any
//! other, so two sidecars that both believe they lead cause each step only once.

use crate::command::{Command, CommandId, PermitTarget};
use crate::plan::{Checks, PermitState, Plan, ReleasePhase, release_position};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Period over which attempts are summed to detect a retry storm.
const STORM_WINDOW: Duration = Duration::from_secs(1);
/// Minimum number of first attempts in a window; with fewer, the ratio of retries says nothing and counts as 0.
const MIN_FIRST_ATTEMPTS: u64 = 20;
/// Maximum number of sidecars whose attempts are summed.
const MAX_COUNTED_SIDECARS: usize = 100_000;
/// Delay before the controller tries again to grant a permit that did not fit into the outage limit.
const GRANT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The same delay if the reason is the one that the permit has on record.
const GRANT_RETRY_DELAY_UNCHANGED: Duration = Duration::from_millis(500);

/// The state of a sidecar in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The sidecar takes part in the fleet.
    Alive,
    /// The sidecar cannot be reached: it is dead, or cut off and may still send requests.
    Unreachable,
    /// The sidecar has shut down in an orderly way.
    Left,
}

/// What the leader knows of a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarStatus {
    /// The sidecar's name.
    pub name: String,
    /// Generation of the process; a later start has a higher one.
    pub generation: u64,
    /// The sidecar's zone.
    pub zone: String,
    /// The sidecar's tier.
    pub tier: u8,
    /// The sidecar's state in the fleet.
    pub state: MemberState,
    /// Index of the log entry up to which the sidecar has confirmed the plan to be in force; 0 without a confirmation.
    pub confirmed_index: u64,
    /// Whether the sidecar accepts clients.
    pub ready: bool,
}

/// Derives the leader's commands. Holds only what can be lost with the leader.
#[derive(Debug, Default)]
pub struct Controller {
    checks: Checks,
    /// First attempts and retries in this window, by sidecar.
    attempts: BTreeMap<String, (u64, u64)>,
    window_start: Option<Duration>,
    /// Since when the ratio of retries has been beyond the bound that starts or ends a storm.
    beyond_since: Option<Duration>,
    /// When to try again to grant a permit that did not fit into the outage limit.
    grant_retry_at: BTreeMap<u32, Duration>,
}

impl Controller {
    /// A controller with some checks switched off, for tests.
    pub fn with_checks(checks: Checks) -> Controller {
        Controller { checks, ..Controller::default() }
    }

    /// Adds the first attempts and retries that a sidecar has counted since its previous report.
    pub fn record_attempts(&mut self, name: &str, counts: (u64, u64)) {
        if self.attempts.len() < MAX_COUNTED_SIDECARS {
            let sum = self.attempts.entry(name.to_owned()).or_default();
            *sum = (sum.0 + counts.0, sum.1 + counts.1);
        }
    }

    /// The identifier of a leader's command, from the command and the index of the last entry that the leader has
    /// applied. Two sidecars that both believe they lead propose the same command under one identifier, and it is
    /// applied once.
    pub fn command_id(command: &Command, index: u64) -> CommandId {
        CommandId(xxh3_64(&postcard::to_stdvec(&(command, index)).unwrap_or_default()) | 1)
    }

    /// The sidecars that may still send to the target of a granted permit, as they have not confirmed the grant. The
    /// permit is not clear before there are none.
    pub fn unconfirmed_sidecars<'a>(
        &self,
        plan: &Plan,
        permit: u32,
        fleet: &'a [SidecarStatus],
    ) -> Vec<&'a SidecarStatus> {
        let Some(permit) = plan.permits().get(&permit) else { return Vec::new() };
        let PermitState::Granted { index } = permit.state else { return Vec::new() };
        let unconfirmed = |sidecar: &&SidecarStatus| match sidecar.state {
            MemberState::Left => false,
            // A sidecar that is cut off still sends. Only its shutdown or its own confirmation shows that it has
            // stopped.
            MemberState::Unreachable => self.checks.wait_for_unreachable && sidecar.confirmed_index < index,
            MemberState::Alive => sidecar.confirmed_index < index,
        };
        fleet.iter().filter(unconfirmed).filter(|sidecar| sidecar.tier == permit.tier).collect()
    }

    /// The next command for the leader to propose, if any.
    pub fn next_command(&mut self, plan: &Plan, now: Duration, fleet: &[SidecarStatus]) -> Option<Command> {
        self.grant_retry_at.retain(|number, at| *at > now && plan.permits().contains_key(number));
        for (&number, permit) in plan.permits() {
            match &permit.state {
                PermitState::Waiting
                    if plan.halted_by().is_none() && !self.grant_retry_at.contains_key(&number) =>
                {
                    let same_limit =
                        |sidecar: &&SidecarStatus| sidecar.zone == permit.zone && sidecar.tier == permit.tier;
                    let (missing, total) = if permit.target.is_endpoint() {
                        (Vec::new(), 0)
                    } else {
                        let unavailable =
                            |sidecar: &&SidecarStatus| sidecar.state != MemberState::Alive || !sidecar.ready;
                        let mut missing: Vec<String> = fleet
                            .iter()
                            .filter(same_limit)
                            .filter(unavailable)
                            .map(|sidecar| sidecar.name.clone())
                            .collect();
                        missing.sort_unstable();
                        (missing, fleet.iter().filter(same_limit).count() as u32)
                    };
                    let within_limit = plan.check_outage_limit(number, &missing, total);
                    let recorded = within_limit
                        .as_ref()
                        .err()
                        .is_some_and(|reason| Some(reason) == permit.blocked_by.as_ref());
                    if within_limit.is_err() {
                        let delay = if recorded { GRANT_RETRY_DELAY_UNCHANGED } else { GRANT_RETRY_DELAY };
                        self.grant_retry_at.insert(number, now + delay);
                    }
                    // A grant beyond the limit is proposed too, once for each reason: its rejection records the reason
                    // in the permit, where operators see it.
                    if !recorded {
                        return Some(Command::GrantPermit { permit: number, missing, total });
                    }
                }
                PermitState::Granted { .. }
                    if permit.target.is_endpoint()
                        && self.unconfirmed_sidecars(plan, number, fleet).is_empty()
                        && !fleet.is_empty() =>
                {
                    return Some(Command::MarkClear { permit: number });
                }
                // A sidecar that is back under a later start no longer needs its permit.
                PermitState::Granted { .. } => {
                    let PermitTarget::Sidecar { name, generation } = &permit.target else { continue };
                    let restarted = |sidecar: &SidecarStatus| {
                        sidecar.name == *name
                            && sidecar.generation > *generation
                            && sidecar.state == MemberState::Alive
                            && sidecar.ready
                    };
                    if fleet.iter().any(restarted) {
                        return Some(Command::ReturnPermit { permit: number });
                    }
                }
                _ => {}
            }
        }
        self.next_wave(plan, fleet).or_else(|| self.detect_storm(plan, now))
    }

    fn next_wave(&self, plan: &Plan, fleet: &[SidecarStatus]) -> Option<Command> {
        let release = plan.release()?;
        let (revision, wave) = (release.revision, release.wave);
        // The next step waits until every sidecar has the last one in force and accepts clients.
        let settled = |sidecar: &SidecarStatus| match sidecar.state {
            MemberState::Alive => sidecar.ready && sidecar.confirmed_index >= plan.last_step_index(),
            // A sidecar that the release has reached and that is now unreachable may have failed because of the
            // release, so the release does not go on.
            MemberState::Unreachable => {
                release_position(&sidecar.name, revision) >= release.reached_permille()
            }
            MemberState::Left => true,
        };
        if fleet.is_empty() || !fleet.iter().all(settled) {
            return None;
        }
        match release.phase {
            ReleasePhase::RollingOut if plan.halted_by().is_none() => {
                Some(Command::AdvanceWave { revision, wave: wave + 1 })
            }
            ReleasePhase::RollingOut => None,
            ReleasePhase::RollingBack => {
                Some(Command::RollBackWave { revision, wave: wave.saturating_sub(1) })
            }
        }
    }

    fn detect_storm(&mut self, plan: &Plan, now: Duration) -> Option<Command> {
        let content = plan.content(plan.current());
        let Some(rule) = &content.storm else {
            self.attempts.clear();
            let (active, sequence) = plan.storm();
            return active.then_some(Command::SetStorm { active: false, sequence });
        };
        let window_start = *self.window_start.get_or_insert(now);
        if now < window_start + STORM_WINDOW {
            return None;
        }
        self.window_start = Some(now);
        let (first_attempts, retries) =
            self.attempts.values().fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
        self.attempts.clear();
        let ratio =
            if first_attempts < MIN_FIRST_ATTEMPTS { 0.0 } else { retries as f64 / first_attempts as f64 };
        let (active, sequence) = plan.storm();
        let beyond = if active { ratio < rule.end_below } else { ratio > rule.start_above };
        if !beyond {
            self.beyond_since = None;
            return None;
        }
        let since = *self.beyond_since.get_or_insert(now);
        if now < since + rule.hold.exact() {
            return None;
        }
        self.beyond_since = None;
        Some(Command::SetStorm { active: !active, sequence })
    }
}
