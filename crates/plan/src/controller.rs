//! What only the leader says. It says it as any other word: by compare and set, so that two who think they lead do it once.

use crate::command::{Command, CommandId, PermitTarget};
use crate::plan::{Checks, PermitState, Plan, ReleasePhase, release_position};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How a sidecar is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It is there.
    Alive,
    /// It can't be reached: dead, or cut off and still sending.
    Unreachable,
    /// It has ended in order.
    Left,
}

/// Where a sidecar stands, as the leader knows.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarStatus {
    /// Its name.
    pub name: String,
    /// Its start.
    pub generation: u64,
    /// Its zone.
    pub zone: String,
    /// Its tier.
    pub tier: u8,
    /// How it is held to be.
    pub state: MemberState,
    /// The entry up to which it has put the plan in force; 0 if it has not said so.
    pub confirmed_index: u64,
    /// It takes clients.
    pub ready: bool,
}

/// The leader's own part.
#[derive(Debug, Default)]
pub struct Controller {
    checks: Checks,
    /// What sidecars counted of first tries and retries lately.
    tries: BTreeMap<String, (u64, u64)>,
    window: Option<Duration>,
    /// Since when the share has been beyond the bound that matters now.
    beyond: Option<Duration>,
    /// A grant that found no room is not said again before this.
    refused: BTreeMap<u32, Duration>,
}

/// Tries are added up over so long.
const WINDOW: Duration = Duration::from_millis(1000);
/// Fewer first tries than this show nothing.
const FEW: u64 = 20;
const AGAIN: Duration = Duration::from_secs(5);

impl Controller {
    /// One with a planted defect.
    pub fn with_checks(checks: Checks) -> Controller {
        Controller { checks, ..Controller::default() }
    }

    /// A sidecar tells what it counted since it told before.
    pub fn record_attempts(&mut self, name: &str, tries: (u64, u64)) {
        if self.tries.len() < 100_000 {
            let all = self.tries.entry(name.to_owned()).or_default();
            *all = (all.0 + tries.0, all.1 + tries.1);
        }
    }

    /// The number of a leader's word, thought of at this entry of the log: two who think they lead say it once.
    pub fn command_id(command: &Command, index: u64) -> CommandId {
        CommandId(xxh3_64(&postcard::to_stdvec(&(command, index)).unwrap_or_default()) | 1)
    }

    /// Who holds a permit's clear up, of all who could send there.
    pub fn unconfirmed_sidecars<'a>(
        &self,
        plan: &Plan,
        permit: u32,
        all: &'a [SidecarStatus],
    ) -> Vec<&'a SidecarStatus> {
        let Some(permit) = plan.permits().get(&permit) else { return Vec::new() };
        let PermitState::Granted { index } = permit.state else { return Vec::new() };
        let could = |it: &&SidecarStatus| match it.state {
            MemberState::Left => false,
            // Danger: one that is cut off still sends; only its end, or its own word, shows that it does not.
            MemberState::Unreachable => self.checks.wait_for_unreachable && it.confirmed_index < index,
            MemberState::Alive => it.confirmed_index < index,
        };
        all.iter().filter(could).filter(|it| it.tier == permit.tier).collect()
    }

    /// The next word to be said, if any.
    pub fn next_command(&mut self, plan: &Plan, now: Duration, all: &[SidecarStatus]) -> Option<Command> {
        self.refused.retain(|number, until| *until > now && plan.permits().contains_key(number));
        for (&number, permit) in plan.permits() {
            match &permit.state {
                PermitState::Waiting if plan.halted_by().is_none() && !self.refused.contains_key(&number) => {
                    let beside = |it: &&SidecarStatus| it.zone == permit.zone && it.tier == permit.tier;
                    let (missing, total) = if permit.target.is_endpoint() {
                        (Vec::new(), 0)
                    } else {
                        let gone = |it: &&SidecarStatus| it.state != MemberState::Alive || !it.ready;
                        let names = all.iter().filter(beside).filter(gone).map(|it| it.name.clone());
                        let mut missing: Vec<String> = names.collect();
                        missing.sort_unstable();
                        (missing, all.iter().filter(beside).count() as u32)
                    };
                    let room = plan.check_outage_limit(number, &missing, total);
                    let known =
                        room.as_ref().err().is_some_and(|why| Some(why) == permit.blocked_by.as_ref());
                    if room.is_err() {
                        self.refused.insert(number, now + if known { AGAIN / 10 } else { AGAIN / 50 });
                    }
                    // What it waits for is put on record once.
                    if !known {
                        return Some(Command::GrantPermit { permit: number, missing, total });
                    }
                }
                PermitState::Granted { .. }
                    if permit.target.is_endpoint()
                        && self.unconfirmed_sidecars(plan, number, all).is_empty()
                        && !all.is_empty() =>
                {
                    return Some(Command::MarkClear { permit: number });
                }
                // A sidecar that is back under a later start no longer needs its permit.
                PermitState::Granted { .. } => {
                    let PermitTarget::Sidecar { name, generation } = &permit.target else { continue };
                    let back = |it: &SidecarStatus| {
                        it.name == *name
                            && it.generation > *generation
                            && it.state == MemberState::Alive
                            && it.ready
                    };
                    if all.iter().any(back) {
                        return Some(Command::ReturnPermit { permit: number });
                    }
                }
                _ => {}
            }
        }
        self.release(plan, all).or_else(|| self.storm(plan, now))
    }

    fn release(&self, plan: &Plan, all: &[SidecarStatus]) -> Option<Command> {
        let release = plan.release()?;
        let (revision, wave) = (release.revision, release.wave);
        // Whoever the last step concerned has it in force and takes clients.
        let settled = |it: &SidecarStatus| match it.state {
            MemberState::Alive => it.ready && it.confirmed_index >= plan.last_step_index(),
            // Danger: a wave that goes on while part of the fleet is missing may be what made it so.
            MemberState::Unreachable => release_position(&it.name, revision) >= release.reached_permille(),
            MemberState::Left => true,
        };
        if all.is_empty() || !all.iter().all(settled) {
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

    fn storm(&mut self, plan: &Plan, now: Duration) -> Option<Command> {
        let content = plan.content(plan.current());
        let Some(rule) = &content.storm else {
            self.tries.clear();
            let (on, turn) = plan.storm();
            return on.then_some(Command::SetStorm { active: false, sequence: turn });
        };
        let began = *self.window.get_or_insert(now);
        if now < began + WINDOW {
            return None;
        }
        self.window = Some(now);
        let sum = self.tries.values().fold((0, 0), |all, each| (all.0 + each.0, all.1 + each.1));
        self.tries.clear();
        let share = if sum.0 < FEW { 0.0 } else { sum.1 as f64 / sum.0 as f64 };
        let (on, turn) = plan.storm();
        let beyond = if on { share < rule.end_below } else { share > rule.start_above };
        if !beyond {
            self.beyond = None;
            return None;
        }
        let since = *self.beyond.get_or_insert(now);
        if now < since + rule.hold.exact() {
            return None;
        }
        self.beyond = None;
        Some(Command::SetStorm { active: !on, sequence: turn })
    }
}
