//! The replicated state machine: applies the commands of the log in their order.

use crate::command::{Command, CommandEntry, CommandId, CommandOutcome, PermitTarget};
use crate::content::{OutageKind, RevisionContent};
use crate::error::PlanError;
use cometcroft_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of revisions that are kept. At most half of them can be pinned.
const MAX_REVISIONS: usize = 64;
/// Maximum size of the texts of all revisions that are kept.
const MAX_TEXT_BYTES_TOTAL: usize = 256 << 10;
/// Maximum number of permits and permit requests.
const MAX_PERMITS: usize = 256;
/// Maximum number of command outcomes that are remembered.
const MAX_OUTCOMES: usize = 512;
/// Maximum number of missing sidecars that are counted for a permit.
const MAX_MISSING: usize = 64;
/// Maximum number of waves of a release.
const MAX_WAVES: usize = 20;
/// Maximum number of names that [`PlanError::TooManyOut`] lists.
const MAX_NAMES_IN_ERROR: usize = 8;

/// Checks that tests can switch off. Each one that is off is an injected defect that the test must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Checks {
    /// Reject a command that expects another revision than the one in force.
    pub expected_revision: bool,
    /// Reject the grant of a permit that is granted already.
    pub single_grant: bool,
    /// Count dead and missing sidecars against the outage limit.
    pub count_missing: bool,
    /// Reject grants and waves while halted.
    pub halt: bool,
    /// Wait for the confirmation of unreachable sidecars before a permit is clear.
    pub wait_for_unreachable: bool,
}

impl Default for Checks {
    fn default() -> Checks {
        Checks {
            expected_revision: true,
            single_grant: true,
            count_missing: true,
            halt: true,
            wait_for_unreachable: true,
        }
    }
}

/// A revision that is kept. Its text is stored by its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Digest of the text.
    pub digest: u64,
    /// Name of the sidecar whose operations endpoint accepted the revision; empty for revision 0.
    pub proposed_by: String,
    /// Why the revision was proposed.
    pub reason: String,
    /// Time of the proposal by the proposer's clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// For a rollback, the revision whose content this one restores.
    pub restores: Option<u32>,
    /// Whether the revision is pinned, so that it is never evicted.
    pub pinned: bool,
}

/// The state of a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitState {
    /// The permit is requested and not granted yet.
    Waiting,
    /// The permit is granted: its target goes out of service.
    Granted {
        /// Index of the log entry that granted the permit.
        index: u64,
    },
    /// No sidecar sends to the target any more.
    Clear {
        /// Index of the log entry that granted the permit.
        index: u64,
        /// If an operator forced this state: the sidecar that proposed it.
        forced_by: Option<String>,
    },
}

/// A permit to take a sidecar or an endpoint out of service, or the request for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// What is taken out of service.
    pub target: PermitTarget,
    /// The target's zone.
    pub zone: String,
    /// The target's tier.
    pub tier: u8,
    /// Name of the sidecar whose operations endpoint accepted the request.
    pub proposed_by: String,
    /// Time from which the permit is shown as overdue, by the proposer's clock, in milliseconds since the Unix epoch.
    pub overdue_at_ms: u64,
    /// The permit's state.
    pub state: PermitState,
    /// Why the last attempt to grant the permit was rejected.
    pub blocked_by: Option<PlanError>,
}

/// The direction of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleasePhase {
    /// Waves start one after the other.
    RollingOut,
    /// Waves are undone one after the other.
    RollingBack,
}

impl ReleasePhase {
    /// The name that operators see in `GET /ops/plan`.
    pub fn as_str(self) -> &'static str {
        match self {
            ReleasePhase::RollingOut => "Going",
            ReleasePhase::RollingBack => "Back",
        }
    }
}

/// A release in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The revision that is released.
    pub revision: u32,
    /// Share of the sidecars that each wave reaches, in thousandths.
    pub waves: Vec<u16>,
    /// Number of waves that have started and are not undone.
    pub wave: u32,
    /// Direction of the release.
    pub phase: ReleasePhase,
}

impl Release {
    /// Share of the sidecars that the release has reached, in thousandths.
    pub fn reached_permille(&self) -> u16 {
        (self.wave as usize).checked_sub(1).and_then(|last| self.waves.get(last)).copied().unwrap_or(0)
    }
}

/// A sidecar's position in a release, from 0 to 999. The release reaches the sidecar once its waves reach more
/// thousandths of the fleet than this. Hashed from name and revision, so that each release starts with other sidecars.
pub fn release_position(name: &str, revision: u32) -> u16 {
    (xxh3_64(format!("{name}|{revision}").as_bytes()) % 1000) as u16
}

/// The replicated state, as snapshots store it. The order of the fields is part of the format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct State {
    /// Index of the entry that was applied last.
    index: u64,
    revisions: BTreeMap<u32, Revision>,
    /// Texts of the revisions by digest, so that equal texts are stored once.
    texts: BTreeMap<u64, String>,
    /// The revision in force for sidecars that no release has reached.
    current: u32,
    /// The highest revision number that was given.
    last_revision: u32,
    permits: BTreeMap<u32, Permit>,
    last_permit: u32,
    release: Option<Release>,
    /// Index of the entry that last started or undid a wave, or started a rollback.
    last_step_index: u64,
    /// Index of the entry that last started a wave.
    last_wave_index: u64,
    halted_by: Option<String>,
    storm_active: bool,
    /// Number of times that `storm_active` has changed.
    storm_changes: u32,
    /// The latest outcomes, oldest first.
    outcomes: VecDeque<(CommandId, CommandOutcome)>,
}

/// What the fleet has agreed on: revisions, permits, a release, a halt, a retry storm.
///
/// Every sidecar that has applied the same entries holds the same state. Applying an entry must therefore depend on
/// nothing but the state and the entry: no clock, no random numbers, no iteration over unordered maps.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    state: State,
    checks: Checks,
    /// Number of times that an invariant did not hold after a command.
    violations: u64,
    /// Number of entries that this version could not read.
    unreadable: u64,
    /// Parsed contents by digest.
    content_cache: RefCell<BTreeMap<u64, Rc<RevisionContent>>>,
}

impl PartialEq for Plan {
    fn eq(&self, other: &Plan) -> bool {
        self.state == other.state
    }
}

impl StateMachine for Plan {
    fn fresh() -> Plan {
        let mut plan = Plan::default();
        plan.store_revision(
            0,
            "version = 1\n",
            Revision {
                digest: 0,
                proposed_by: String::new(),
                reason: "the files alone".to_owned(),
                unix_ms: 0,
                restores: None,
                pinned: true,
            },
        );
        plan
    }

    fn apply(&mut self, index: u64, entry: &[u8]) {
        self.state.index = index;
        match CommandEntry::decode(entry) {
            Some(entry) => self.process(index, entry),
            // A sidecar of another version may read the entry and act on it, and its state then differs from this one.
            // Operators see the count.
            None => self.unreadable += 1,
        }
        self.check_invariants();
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    fn restore(bytes: &[u8]) -> Option<Plan> {
        let state = postcard::from_bytes(bytes).ok()?;
        Some(Plan { state, ..Plan::default() })
    }
}

impl Plan {
    /// The same plan with some checks switched off, for tests.
    pub fn with_checks(mut self, checks: Checks) -> Plan {
        self.checks = checks;
        self
    }

    /// The outcome of a command, if it is one of the latest that are remembered.
    pub fn outcome(&self, id: CommandId) -> Option<&CommandOutcome> {
        self.state.outcomes.iter().rev().find(|(known, _)| *known == id).map(|(_, outcome)| outcome)
    }

    /// The revision in force for sidecars that no release has reached.
    pub fn current(&self) -> u32 {
        self.state.current
    }

    /// The revision in force for a sidecar.
    pub fn revision_for(&self, name: &str) -> u32 {
        match &self.state.release {
            Some(release) if release_position(name, release.revision) < release.reached_permille() => {
                release.revision
            }
            _ => self.state.current,
        }
    }

    /// The revisions that are kept, by number.
    pub fn revisions(&self) -> &BTreeMap<u32, Revision> {
        &self.state.revisions
    }

    /// The text of a revision, if it is kept.
    pub fn text(&self, revision: u32) -> Option<&str> {
        let digest = self.state.revisions.get(&revision)?.digest;
        self.state.texts.get(&digest).map(String::as_str)
    }

    /// The content of a revision; empty for one that is not kept or that this version cannot parse.
    pub fn content(&self, revision: u32) -> Rc<RevisionContent> {
        let digest = self.state.revisions.get(&revision).map_or(0, |revision| revision.digest);
        let mut cache = self.content_cache.borrow_mut();
        if cache.len() > MAX_REVISIONS {
            cache.clear();
        }
        let text = self.state.texts.get(&digest);
        let parse = || text.and_then(|text| RevisionContent::parse(text, "revision").ok());
        let content = || Rc::new(parse().unwrap_or_else(RevisionContent::empty));
        cache.entry(digest).or_insert_with(content).clone()
    }

    /// Permits and permit requests, by number.
    pub fn permits(&self) -> &BTreeMap<u32, Permit> {
        &self.state.permits
    }

    /// The release in progress.
    pub fn release(&self) -> Option<&Release> {
        self.state.release.as_ref()
    }

    /// Index of the entry that last started or undid a wave, or started a rollback of the release.
    pub fn last_step_index(&self) -> u64 {
        self.state.last_step_index
    }

    /// Index of the entry that last started a wave.
    pub fn last_wave_index(&self) -> u64 {
        self.state.last_wave_index
    }

    /// The sidecar that proposed the halt, while halted.
    pub fn halted_by(&self) -> Option<&str> {
        self.state.halted_by.as_deref()
    }

    /// Whether there is a retry storm, and how many times that has changed.
    pub fn storm(&self) -> (bool, u32) {
        (self.state.storm_active, self.state.storm_changes)
    }

    /// Names of the endpoints that a permit takes out of service.
    pub fn excluded_endpoints(&self) -> BTreeSet<&str> {
        let granted = |permit: &&Permit| permit.target.is_endpoint() && permit.state != PermitState::Waiting;
        self.state.permits.values().filter(granted).map(|permit| permit.target.name()).collect()
    }

    fn process(&mut self, index: u64, entry: CommandEntry) {
        // A proposer that gets no response in time proposes the command again, so it can be in the log twice.
        if self.outcome(entry.id).is_some() {
            return;
        }
        let (id, expected) = (entry.id, entry.expected_revision.filter(|_| self.checks.expected_revision));
        let result = match expected.filter(|expected| *expected != self.state.current) {
            Some(expected) => Err(PlanError::UnexpectedRevision { expected, found: self.state.current }),
            None => self.execute(index, entry),
        };
        let outcome = match result {
            Ok(number) => CommandOutcome::Applied { index, number },
            Err(error) => CommandOutcome::Rejected(error),
        };
        self.state.outcomes.push_back((id, outcome));
        while self.state.outcomes.len() > MAX_OUTCOMES {
            self.state.outcomes.pop_front();
        }
    }

    fn execute(&mut self, index: u64, entry: CommandEntry) -> Result<u32, PlanError> {
        let CommandEntry { proposed_by, reason, unix_ms, command, .. } = entry;
        let new_revision = |restores| Revision {
            digest: 0,
            proposed_by: proposed_by.clone(),
            reason,
            unix_ms,
            restores,
            pinned: false,
        };
        match command {
            Command::Noop => Ok(self.state.current),
            Command::Propose { text } => {
                self.require_no_release()?;
                let revision = self.add_revision(&text, new_revision(None))?;
                self.state.current = revision;
                Ok(revision)
            }
            Command::RollBackTo { revision } => {
                let text = self.text(revision).map(str::to_owned).ok_or_else(|| self.not_kept(revision))?;
                // Also ends a release, so that all sidecars have the same revision at once.
                self.state.release = None;
                self.state.current = self.add_revision(&text, new_revision(Some(revision)))?;
                Ok(self.state.current)
            }
            Command::Pin { revision, pinned } => {
                let not_kept = self.not_kept(revision);
                let pinned_count = self.state.revisions.values().filter(|revision| revision.pinned).count();
                if pinned && pinned_count >= MAX_REVISIONS / 2 {
                    return Err(PlanError::TableFull(MAX_REVISIONS as u32 / 2));
                }
                self.state.revisions.get_mut(&revision).ok_or(not_kept)?.pinned = pinned || revision == 0;
                Ok(revision)
            }
            Command::Release { text, waves } => {
                self.require_no_release()?;
                self.require_not_halted()?;
                let increasing = waves.windows(2).all(|pair| pair[0] < pair[1]);
                if !increasing
                    || waves.first().is_none_or(|first| *first == 0)
                    || waves.last() != Some(&1000)
                    || waves.len() > MAX_WAVES
                {
                    return Err(PlanError::InvalidWaves);
                }
                let revision = self.add_revision(&text, new_revision(None))?;
                self.state.release =
                    Some(Release { revision, waves, wave: 1, phase: ReleasePhase::RollingOut });
                (self.state.last_step_index, self.state.last_wave_index) = (index, index);
                Ok(revision)
            }
            Command::AdvanceWave { revision, wave } => {
                self.require_not_halted()?;
                let release = self.release_in_phase(revision, ReleasePhase::RollingOut)?;
                if wave != release.wave + 1 {
                    return Err(PlanError::OutOfSequence { requested: wave, current: release.wave });
                }
                release.wave = wave;
                (self.state.last_step_index, self.state.last_wave_index) = (index, index);
                let release = self.release_in_phase(revision, ReleasePhase::RollingOut)?;
                if wave as usize > release.waves.len() {
                    self.state.release = None;
                    self.state.current = revision;
                }
                Ok(revision)
            }
            Command::Halt => {
                self.state.halted_by.get_or_insert(proposed_by);
                Ok(self.state.current)
            }
            Command::Resume => {
                self.state.halted_by = None;
                Ok(self.state.current)
            }
            Command::RollBackRelease => {
                let release = self.state.release.as_mut().ok_or(PlanError::NoRelease)?;
                release.phase = ReleasePhase::RollingBack;
                let revision = release.revision;
                self.state.last_step_index = index;
                Ok(revision)
            }
            Command::RollBackWave { revision, wave } => {
                let release = self.release_in_phase(revision, ReleasePhase::RollingBack)?;
                if wave + 1 != release.wave {
                    return Err(PlanError::OutOfSequence { requested: wave, current: release.wave });
                }
                release.wave = wave;
                self.state.last_step_index = index;
                if wave == 0 {
                    self.state.release = None;
                }
                Ok(revision)
            }
            Command::RequestPermit { target, zone, tier, overdue_after_s } => {
                let same_target = |permit: &Permit| {
                    permit.target.name() == target.name()
                        && permit.target.is_endpoint() == target.is_endpoint()
                };
                let known = self.state.permits.iter().find(|(_, permit)| same_target(permit));
                if let Some((number, permit)) = known {
                    // A later start of a sidecar replaces the permit of the start before: the sidecar is back.
                    if permit.target == target || target.is_endpoint() {
                        return Err(PlanError::PermitExists(target.name().to_owned(), *number));
                    }
                    let number = *number;
                    self.state.permits.remove(&number);
                }
                if self.state.permits.len() >= MAX_PERMITS {
                    return Err(PlanError::TableFull(MAX_PERMITS as u32));
                }
                self.state.last_permit += 1;
                let overdue_at_ms = unix_ms + u64::from(overdue_after_s) * 1000;
                let state = PermitState::Waiting;
                let permit =
                    Permit { target, zone, tier, proposed_by, overdue_at_ms, state, blocked_by: None };
                self.state.permits.insert(self.state.last_permit, permit);
                Ok(self.state.last_permit)
            }
            Command::GrantPermit { permit, missing, total } => {
                self.require_not_halted()?;
                let within_limit = self.check_outage_limit(permit, &missing, total);
                let single_grant = self.checks.single_grant;
                let granted = self.state.permits.get_mut(&permit).ok_or(PlanError::UnknownPermit(permit))?;
                if granted.state != PermitState::Waiting && single_grant {
                    return Err(PlanError::WrongPermitState(permit, granted.state_text().to_owned()));
                }
                if let Err(error) = within_limit {
                    granted.blocked_by = Some(error.clone());
                    return Err(error);
                }
                granted.state = PermitState::Granted { index };
                granted.blocked_by = None;
                Ok(permit)
            }
            Command::MarkClear { permit } => self.clear_permit(permit, None),
            Command::ForceClear { permit } => self.clear_permit(permit, Some(proposed_by)),
            Command::ReturnPermit { permit } => {
                self.state.permits.remove(&permit).ok_or(PlanError::UnknownPermit(permit))?;
                Ok(permit)
            }
            Command::SetStorm { active, sequence } => {
                if sequence != self.state.storm_changes || active == self.state.storm_active {
                    let current = self.state.storm_changes;
                    return Err(PlanError::OutOfSequence { requested: sequence, current });
                }
                self.state.storm_active = active;
                self.state.storm_changes += 1;
                Ok(self.state.storm_changes)
            }
        }
    }

    fn require_no_release(&self) -> Result<(), PlanError> {
        match &self.state.release {
            Some(release) => Err(PlanError::ReleaseInProgress(release.revision)),
            None => Ok(()),
        }
    }

    fn require_not_halted(&self) -> Result<(), PlanError> {
        match &self.state.halted_by {
            Some(proposer) if self.checks.halt => Err(PlanError::Halted(proposer.clone())),
            _ => Ok(()),
        }
    }

    fn release_in_phase(&mut self, revision: u32, phase: ReleasePhase) -> Result<&mut Release, PlanError> {
        let release = self.state.release.as_mut();
        release
            .filter(|release| release.revision == revision && release.phase == phase)
            .ok_or(PlanError::NoRelease)
    }

    fn not_kept(&self, requested: u32) -> PlanError {
        let oldest = self.state.revisions.keys().next().copied().unwrap_or(0);
        PlanError::RevisionNotKept { requested, oldest, newest: self.state.last_revision }
    }

    fn add_revision(&mut self, text: &str, revision: Revision) -> Result<u32, PlanError> {
        RevisionContent::parse(text, "revision")
            .map_err(|error| PlanError::InvalidContent(error.to_string()))?;
        self.state.last_revision += 1;
        self.store_revision(self.state.last_revision, text, revision);
        Ok(self.state.last_revision)
    }

    /// Stores a revision and evicts the oldest ones that are not needed until the limits hold.
    fn store_revision(&mut self, number: u32, text: &str, revision: Revision) {
        let digest = xxh3_64(text.as_bytes());
        self.state.texts.entry(digest).or_insert_with(|| text.to_owned());
        self.state.revisions.insert(number, Revision { digest, ..revision });
        loop {
            let bytes: usize = self.state.texts.values().map(String::len).sum();
            if self.state.revisions.len() <= MAX_REVISIONS && bytes <= MAX_TEXT_BYTES_TOTAL {
                break;
            }
            let release = self.state.release.as_ref().map(|release| release.revision);
            let evictable = |(n, revision): &(&u32, &Revision)| {
                !revision.pinned && **n != number && **n != self.state.current && Some(**n) != release
            };
            let Some(oldest) = self.state.revisions.iter().find(evictable).map(|(n, _)| *n) else { break };
            self.state.revisions.remove(&oldest);
            let used: BTreeSet<u64> = self.state.revisions.values().map(|revision| revision.digest).collect();
            self.state.texts.retain(|digest, _| used.contains(digest));
        }
    }

    /// Whether the outage limit leaves room for the permit's target. The leader checks the same before it proposes a
    /// grant.
    pub fn check_outage_limit(&self, permit: u32, missing: &[String], total: u32) -> Result<(), PlanError> {
        let requested = self.state.permits.get(&permit).ok_or(PlanError::UnknownPermit(permit))?;
        let kind = if requested.target.is_endpoint() { OutageKind::Endpoints } else { OutageKind::Sidecars };
        let allowed =
            self.content(self.state.current).outage_limit(kind, &requested.zone, requested.tier, total);
        let same_limit = |permit: &&Permit| {
            permit.state != PermitState::Waiting
                && permit.target.is_endpoint() == requested.target.is_endpoint()
                && (&permit.zone, permit.tier) == (&requested.zone, requested.tier)
        };
        let mut out: BTreeSet<&str> =
            self.state.permits.values().filter(same_limit).map(|permit| permit.target.name()).collect();
        // Dead sidecars are out of service too. Without them, the limit would allow as many more to be taken down on
        // top.
        if self.checks.count_missing {
            out.extend(missing.iter().take(MAX_MISSING).map(String::as_str));
        }
        out.remove(requested.target.name());
        if out.len() as u32 + 1 > allowed {
            let names = out.iter().take(MAX_NAMES_IN_ERROR).copied().collect::<Vec<&str>>().join(", ");
            return Err(PlanError::TooManyOut { out: out.len() as u32, allowed, names });
        }
        Ok(())
    }

    fn clear_permit(&mut self, permit: u32, forced_by: Option<String>) -> Result<u32, PlanError> {
        let cleared = self.state.permits.get_mut(&permit).ok_or(PlanError::UnknownPermit(permit))?;
        match cleared.state {
            PermitState::Granted { index } => {
                cleared.state = PermitState::Clear { index, forced_by };
                Ok(permit)
            }
            _ => Err(PlanError::WrongPermitState(permit, cleared.state_text().to_owned())),
        }
    }

    /// Counts a violation if the state does not hold what every command must leave true. Debug builds panic.
    fn check_invariants(&mut self) {
        let state = &self.state;
        let complete = state.revisions.contains_key(&state.current)
            && state.revisions.values().all(|revision| state.texts.contains_key(&revision.digest));
        let bounded = state.revisions.len() <= MAX_REVISIONS + 1
            && state.permits.len() <= MAX_PERMITS
            && state.outcomes.len() <= MAX_OUTCOMES;
        let release_valid = state.release.as_ref().is_none_or(|release| {
            release.wave >= 1
                && release.wave as usize <= release.waves.len()
                && state.revisions.contains_key(&release.revision)
        });
        let holds = complete && bounded && release_valid;
        self.violations += u64::from(!holds);
        debug_assert!(holds, "complete: {complete}, bounded: {bounded}, release valid: {release_valid}");
    }

    /// How often an invariant did not hold, and how many entries this version could not read.
    pub fn fault_counts(&self) -> (u64, u64) {
        (self.violations, self.unreadable)
    }
}

impl Permit {
    /// Index of the log entry that granted the permit, if it is granted.
    pub fn granted_index(&self) -> Option<u64> {
        match self.state {
            PermitState::Waiting => None,
            PermitState::Granted { index } | PermitState::Clear { index, .. } => Some(index),
        }
    }

    /// The name of the state that operators see in `GET /ops/plan` and in errors.
    pub fn state_text(&self) -> &'static str {
        match self.state {
            PermitState::Waiting => "waiting",
            PermitState::Granted { .. } => "out",
            PermitState::Clear { forced_by: None, .. } => "clear",
            PermitState::Clear { .. } => "clear, forced",
        }
    }
}
