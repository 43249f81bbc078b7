//! What has been agreed, word for word.

use crate::command::{Command, CommandEntry, CommandId, CommandOutcome, PermitTarget};
use crate::content::{OutageKind, RevisionContent};
use crate::error::PlanError;
use cometcroft_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Revisions that are kept, pinned ones among them; bytes of their texts; permits; answers that are remembered.
const REVISIONS: usize = 64;
const TEXTS: usize = 256 << 10;
const PERMITS: usize = 256;
const ANSWERS: usize = 512;
/// Names that a permit's missing are cut to.
const MISSING: usize = 64;

/// Parts that can be left out, as planted defects do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Checks {
    /// A word that expects another revision is refused.
    pub expected_revision: bool,
    /// A permit is given once.
    pub single_grant: bool,
    /// Who is dead or missing counts against the limit.
    pub count_missing: bool,
    /// A halt binds.
    pub halt: bool,
    /// Clear waits for who is cut off.
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

/// A revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The digest of its content.
    pub digest: u64,
    /// At which door it was said.
    pub proposed_by: String,
    /// Why.
    pub reason: String,
    /// When, by the clock there.
    pub unix_ms: u64,
    /// The revision whose content it puts back.
    pub restores: Option<u32>,
    /// It is kept for ever.
    pub pinned: bool,
}

/// Where a permit stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitState {
    /// It waits for its turn.
    Waiting,
    /// It is given, from this entry of the log on.
    Granted {
        /// Which.
        index: u64,
    },
    /// Nobody sends there any more; forced, if somebody had not confirmed.
    Clear {
        /// Since when it was given.
        index: u64,
        /// By whom it was forced.
        forced_by: Option<String>,
    },
}

/// A permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// For what.
    pub target: PermitTarget,
    /// Its zone.
    pub zone: String,
    /// Its tier.
    pub tier: u8,
    /// At which door it was asked for.
    pub proposed_by: String,
    /// When it is overdue, by the clock of who asked.
    pub overdue_at_ms: u64,
    /// Where it stands.
    pub state: PermitState,
    /// Why it still waits, as of the leader's last try.
    pub blocked_by: Option<PlanError>,
}

/// Which way a release goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleasePhase {
    /// Forward.
    RollingOut,
    /// Back.
    RollingBack,
}

impl ReleasePhase {
    /// The name under which operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            ReleasePhase::RollingOut => "Going",
            ReleasePhase::RollingBack => "Back",
        }
    }
}

/// A release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The revision that it brings.
    pub revision: u32,
    /// The share of the sidecars after each wave, in thousandths.
    pub waves: Vec<u16>,
    /// So many waves have begun.
    pub wave: u32,
    /// Which way.
    pub phase: ReleasePhase,
}

impl Release {
    /// The share that has it now, in thousandths.
    pub fn reached_permille(&self) -> u16 {
        (self.wave as usize).checked_sub(1).and_then(|at| self.waves.get(at)).copied().unwrap_or(0)
    }
}

/// The thousandth at which a release reaches a sidecar: drawn from its name, another for each release.
pub fn release_position(name: &str, revision: u32) -> u16 {
    (xxh3_64(format!("{name}|{revision}").as_bytes()) % 1000) as u16
}

/// What a plan holds, as a snapshot has it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    index: u64,
    revisions: BTreeMap<u32, Revision>,
    texts: BTreeMap<u64, String>,
    current: u32,
    last: u32,
    permits: BTreeMap<u32, Permit>,
    last_permit: u32,
    release: Option<Release>,
    /// The entry of the release's last step, and of the last that went forward.
    stepped: u64,
    waved: u64,
    halted: Option<String>,
    storm: bool,
    storms: u32,
    answers: VecDeque<(CommandId, CommandOutcome)>,
}

/// What has been agreed.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    held: Held,
    checks: Checks,
    broken: u64,
    unread: u64,
    /// Contents as read, by digest.
    read: RefCell<BTreeMap<u64, Rc<RevisionContent>>>,
}

impl PartialEq for Plan {
    fn eq(&self, other: &Plan) -> bool {
        self.held == other.held
    }
}

impl StateMachine for Plan {
    fn fresh() -> Plan {
        let mut plan = Plan::default();
        plan.keep(
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

    fn apply(&mut self, index: u64, word: &[u8]) {
        self.held.index = index;
        match CommandEntry::decode(word) {
            Some(said) => self.said(index, said),
            // Danger: whoever reads it does something that this one does not; it is counted and shown, not hidden.
            None => self.unread += 1,
        }
        self.check();
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.held).unwrap_or_default()
    }

    fn restore(bytes: &[u8]) -> Option<Plan> {
        let held = postcard::from_bytes(bytes).ok()?;
        Some(Plan { held, ..Plan::default() })
    }
}

impl Plan {
    /// The same with a planted defect.
    pub fn with_checks(mut self, checks: Checks) -> Plan {
        self.checks = checks;
        self
    }

    /// What came of a word, as long as it is remembered.
    pub fn outcome(&self, id: CommandId) -> Option<&CommandOutcome> {
        self.held.answers.iter().rev().find(|(known, _)| *known == id).map(|(_, answer)| answer)
    }

    /// The revision that is in force for all whom no release has reached.
    pub fn current(&self) -> u32 {
        self.held.current
    }

    /// The revision that a sidecar goes by.
    pub fn revision_for(&self, name: &str) -> u32 {
        match &self.held.release {
            Some(release) if release_position(name, release.revision) < release.reached_permille() => {
                release.revision
            }
            _ => self.held.current,
        }
    }

    /// Revisions that are kept.
    pub fn revisions(&self) -> &BTreeMap<u32, Revision> {
        &self.held.revisions
    }

    /// A revision's text.
    pub fn text(&self, revision: u32) -> Option<&str> {
        let digest = self.held.revisions.get(&revision)?.digest;
        self.held.texts.get(&digest).map(String::as_str)
    }

    /// A revision's content; nothing but the files for one that is not kept.
    pub fn content(&self, revision: u32) -> Rc<RevisionContent> {
        let digest = self.held.revisions.get(&revision).map_or(0, |revision| revision.digest);
        let mut read = self.read.borrow_mut();
        if read.len() > REVISIONS {
            read.clear();
        }
        let text = self.held.texts.get(&digest);
        let parse = || text.and_then(|text| RevisionContent::parse(text, "revision").ok());
        let content = || Rc::new(parse().unwrap_or_else(RevisionContent::empty));
        read.entry(digest).or_insert_with(content).clone()
    }

    /// Permits, by number.
    pub fn permits(&self) -> &BTreeMap<u32, Permit> {
        &self.held.permits
    }

    /// The release that goes on.
    pub fn release(&self) -> Option<&Release> {
        self.held.release.as_ref()
    }

    /// The entry of the release's last step.
    pub fn last_step_index(&self) -> u64 {
        self.held.stepped
    }

    /// The entry of the last wave that began.
    pub fn last_wave_index(&self) -> u64 {
        self.held.waved
    }

    /// By whom everything is halted.
    pub fn halted_by(&self) -> Option<&str> {
        self.held.halted.as_deref()
    }

    /// Whether retries storm, and how often that has changed.
    pub fn storm(&self) -> (bool, u32) {
        (self.held.storm, self.held.storms)
    }

    /// Backend servers that are barred by a permit.
    pub fn excluded_endpoints(&self) -> BTreeSet<&str> {
        let out = |permit: &&Permit| permit.target.is_endpoint() && permit.state != PermitState::Waiting;
        self.held.permits.values().filter(out).map(|permit| permit.target.name()).collect()
    }

    fn said(&mut self, index: u64, said: CommandEntry) {
        // Danger: a word comes to the log twice where its answer was slow; it is done once.
        if self.outcome(said.id).is_some() {
            return;
        }
        let (id, expected) = (said.id, said.expected_revision.filter(|_| self.checks.expected_revision));
        let done = match expected.filter(|expected| *expected != self.held.current) {
            Some(expected) => Err(PlanError::UnexpectedRevision { expected, found: self.held.current }),
            None => self.done(index, said),
        };
        let answer = match done {
            Ok(number) => CommandOutcome::Applied { index, number },
            Err(error) => CommandOutcome::Rejected(error),
        };
        self.held.answers.push_back((id, answer));
        while self.held.answers.len() > ANSWERS {
            self.held.answers.pop_front();
        }
    }

    fn done(&mut self, index: u64, said: CommandEntry) -> Result<u32, PlanError> {
        let CommandEntry { proposed_by: by, reason, unix_ms, command, .. } = said;
        let named = |restores| Revision {
            digest: 0,
            proposed_by: by.clone(),
            reason,
            unix_ms,
            restores,
            pinned: false,
        };
        match command {
            Command::Noop => Ok(self.held.current),
            Command::Propose { text } => {
                self.idle()?;
                let revision = self.revise(&text, named(None))?;
                self.held.current = revision;
                Ok(revision)
            }
            Command::RollBackTo { revision: to } => {
                let text = self.text(to).map(str::to_owned).ok_or_else(|| self.not_kept(to))?;
                // Whatever is under way: one outcome, for all at once.
                self.held.release = None;
                self.held.current = self.revise(&text, named(Some(to)))?;
                Ok(self.held.current)
            }
            Command::Pin { revision, pinned: on } => {
                let missing = self.not_kept(revision);
                let pinned = self.held.revisions.values().filter(|revision| revision.pinned).count();
                if on && pinned >= REVISIONS / 2 {
                    return Err(PlanError::TableFull(REVISIONS as u32 / 2));
                }
                self.held.revisions.get_mut(&revision).ok_or(missing)?.pinned = on || revision == 0;
                Ok(revision)
            }
            Command::Release { text, waves } => {
                self.idle()?;
                self.unhalted()?;
                let grows = waves.windows(2).all(|pair| pair[0] < pair[1]);
                if !grows
                    || waves.first().is_none_or(|first| *first == 0)
                    || waves.last() != Some(&1000)
                    || waves.len() > 20
                {
                    return Err(PlanError::InvalidWaves);
                }
                let revision = self.revise(&text, named(None))?;
                self.held.release =
                    Some(Release { revision, waves, wave: 1, phase: ReleasePhase::RollingOut });
                (self.held.stepped, self.held.waved) = (index, index);
                Ok(revision)
            }
            Command::AdvanceWave { revision, wave } => {
                self.unhalted()?;
                let release = self.under_way(revision, ReleasePhase::RollingOut)?;
                if wave != release.wave + 1 {
                    return Err(PlanError::OutOfSequence { requested: wave, current: release.wave });
                }
                release.wave = wave;
                (self.held.stepped, self.held.waved) = (index, index);
                let release = self.under_way(revision, ReleasePhase::RollingOut)?;
                if wave as usize > release.waves.len() {
                    self.held.release = None;
                    self.held.current = revision;
                }
                Ok(revision)
            }
            Command::Halt => {
                self.held.halted.get_or_insert(by);
                Ok(self.held.current)
            }
            Command::Resume => {
                self.held.halted = None;
                Ok(self.held.current)
            }
            Command::RollBackRelease => {
                let release = self.held.release.as_mut().ok_or(PlanError::NoRelease)?;
                release.phase = ReleasePhase::RollingBack;
                let revision = release.revision;
                self.held.stepped = index;
                Ok(revision)
            }
            Command::RollBackWave { revision, wave } => {
                let release = self.under_way(revision, ReleasePhase::RollingBack)?;
                if wave + 1 != release.wave {
                    return Err(PlanError::OutOfSequence { requested: wave, current: release.wave });
                }
                release.wave = wave;
                self.held.stepped = index;
                if wave == 0 {
                    self.held.release = None;
                }
                Ok(revision)
            }
            Command::RequestPermit { target, zone, tier, overdue_after_s } => {
                let same = |permit: &Permit| {
                    permit.target.name() == target.name()
                        && permit.target.is_endpoint() == target.is_endpoint()
                };
                let known = self.held.permits.iter().find(|(_, permit)| same(permit));
                if let Some((number, permit)) = known {
                    // A later start of a sidecar takes the place of the one before: that has come back.
                    if permit.target == target || target.is_endpoint() {
                        return Err(PlanError::PermitExists(target.name().to_owned(), *number));
                    }
                    let number = *number;
                    self.held.permits.remove(&number);
                }
                if self.held.permits.len() >= PERMITS {
                    return Err(PlanError::TableFull(PERMITS as u32));
                }
                self.held.last_permit += 1;
                let overdue_at_ms = unix_ms + u64::from(overdue_after_s) * 1000;
                let state = PermitState::Waiting;
                let permit =
                    Permit { target, zone, tier, proposed_by: by, overdue_at_ms, state, blocked_by: None };
                self.held.permits.insert(self.held.last_permit, permit);
                Ok(self.held.last_permit)
            }
            Command::GrantPermit { permit, missing, total } => {
                self.unhalted()?;
                let room = self.check_outage_limit(permit, &missing, total);
                let once = self.checks.single_grant;
                let granted = self.held.permits.get_mut(&permit).ok_or(PlanError::UnknownPermit(permit))?;
                if granted.state != PermitState::Waiting && once {
                    return Err(PlanError::WrongPermitState(permit, granted.state_text().to_owned()));
                }
                if let Err(error) = room {
                    granted.blocked_by = Some(error.clone());
                    return Err(error);
                }
                granted.state = PermitState::Granted { index };
                granted.blocked_by = None;
                Ok(permit)
            }
            Command::MarkClear { permit } => self.clear(permit, None),
            Command::ForceClear { permit } => self.clear(permit, Some(by)),
            Command::ReturnPermit { permit } => {
                self.held.permits.remove(&permit).ok_or(PlanError::UnknownPermit(permit))?;
                Ok(permit)
            }
            Command::SetStorm { active: on, sequence: turn } => {
                if turn != self.held.storms || on == self.held.storm {
                    return Err(PlanError::OutOfSequence { requested: turn, current: self.held.storms });
                }
                self.held.storm = on;
                self.held.storms += 1;
                Ok(self.held.storms)
            }
        }
    }

    fn idle(&self) -> Result<(), PlanError> {
        match &self.held.release {
            Some(release) => Err(PlanError::ReleaseInProgress(release.revision)),
            None => Ok(()),
        }
    }

    fn unhalted(&self) -> Result<(), PlanError> {
        match &self.held.halted {
            Some(by) if self.checks.halt => Err(PlanError::Halted(by.clone())),
            _ => Ok(()),
        }
    }

    fn under_way(&mut self, revision: u32, phase: ReleasePhase) -> Result<&mut Release, PlanError> {
        let release = self.held.release.as_mut();
        release.filter(|it| it.revision == revision && it.phase == phase).ok_or(PlanError::NoRelease)
    }

    fn not_kept(&self, requested: u32) -> PlanError {
        let oldest = self.held.revisions.keys().next().copied().unwrap_or(0);
        PlanError::RevisionNotKept { requested, oldest, newest: self.held.last }
    }

    fn revise(&mut self, text: &str, revision: Revision) -> Result<u32, PlanError> {
        RevisionContent::parse(text, "revision")
            .map_err(|error| PlanError::InvalidContent(error.to_string()))?;
        self.held.last += 1;
        self.keep(self.held.last, text, revision);
        Ok(self.held.last)
    }

    /// Keeps a revision, and lets go of the oldest that nobody needs.
    fn keep(&mut self, number: u32, text: &str, revision: Revision) {
        let digest = xxh3_64(text.as_bytes());
        self.held.texts.entry(digest).or_insert_with(|| text.to_owned());
        self.held.revisions.insert(number, Revision { digest, ..revision });
        loop {
            let bytes: usize = self.held.texts.values().map(String::len).sum();
            if self.held.revisions.len() <= REVISIONS && bytes <= TEXTS {
                break;
            }
            let release = self.held.release.as_ref().map(|release| release.revision);
            let free = |(n, revision): &(&u32, &Revision)| {
                !revision.pinned && **n != number && **n != self.held.current && Some(**n) != release
            };
            let Some(oldest) = self.held.revisions.iter().find(free).map(|(n, _)| *n) else { break };
            self.held.revisions.remove(&oldest);
            let used: BTreeSet<u64> = self.held.revisions.values().map(|revision| revision.digest).collect();
            self.held.texts.retain(|digest, _| used.contains(digest));
        }
    }

    /// Whether one more may be out; the leader asks the same before it says so.
    pub fn check_outage_limit(&self, permit: u32, missing: &[String], total: u32) -> Result<(), PlanError> {
        let wanted = self.held.permits.get(&permit).ok_or(PlanError::UnknownPermit(permit))?;
        let kind = if wanted.target.is_endpoint() { OutageKind::Endpoints } else { OutageKind::Sidecars };
        let allowed = self.content(self.held.current).outage_limit(kind, &wanted.zone, wanted.tier, total);
        let beside = |it: &&Permit| {
            it.state != PermitState::Waiting
                && it.target.is_endpoint() == wanted.target.is_endpoint()
                && (&it.zone, it.tier) == (&wanted.zone, wanted.tier)
        };
        let mut out: BTreeSet<&str> =
            self.held.permits.values().filter(beside).map(|it| it.target.name()).collect();
        // Danger: who is dead is out too; a limit that forgets them lets the rest be taken down on top.
        if self.checks.count_missing {
            out.extend(missing.iter().take(MISSING).map(String::as_str));
        }
        out.remove(wanted.target.name());
        if out.len() as u32 + 1 > allowed {
            let who = out.iter().take(8).copied().collect::<Vec<&str>>().join(", ");
            return Err(PlanError::TooManyOut { out: out.len() as u32, allowed, names: who });
        }
        Ok(())
    }

    fn clear(&mut self, permit: u32, forced_by: Option<String>) -> Result<u32, PlanError> {
        let cleared = self.held.permits.get_mut(&permit).ok_or(PlanError::UnknownPermit(permit))?;
        match cleared.state {
            PermitState::Granted { index } => {
                cleared.state = PermitState::Clear { index, forced_by };
                Ok(permit)
            }
            _ => Err(PlanError::WrongPermitState(permit, cleared.state_text().to_owned())),
        }
    }

    /// What must hold after each word.
    fn check(&mut self) {
        let held = &self.held;
        let kept = held.revisions.contains_key(&held.current)
            && held.revisions.values().all(|revision| held.texts.contains_key(&revision.digest));
        let bounded = held.revisions.len() <= REVISIONS + 1
            && held.permits.len() <= PERMITS
            && held.answers.len() <= ANSWERS;
        let release = held.release.as_ref();
        let under_way = release.is_none_or(|it| {
            it.wave >= 1 && it.wave as usize <= it.waves.len() && held.revisions.contains_key(&it.revision)
        });
        let fits = kept && bounded && under_way;
        self.broken += u64::from(!fits);
        debug_assert!(fits, "kept {kept}, bounded {bounded}, under way {under_way}");
    }

    /// Invariants that did not hold, and words that this version can't read.
    pub fn fault_counts(&self) -> (u64, u64) {
        (self.broken, self.unread)
    }
}

impl Permit {
    /// The entry that gave it, if it was given.
    pub fn granted_index(&self) -> Option<u64> {
        match self.state {
            PermitState::Waiting => None,
            PermitState::Granted { index } | PermitState::Clear { index, .. } => Some(index),
        }
    }

    /// Its state in a word.
    pub fn state_text(&self) -> &'static str {
        match self.state {
            PermitState::Waiting => "waiting",
            PermitState::Granted { .. } => "out",
            PermitState::Clear { forced_by: None, .. } => "clear",
            PermitState::Clear { .. } => "clear, forced",
        }
    }
}
