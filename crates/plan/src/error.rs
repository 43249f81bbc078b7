//! Why a word is not taken, and what an operator can do.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a word is not taken; each with a code that stays.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum PlanError {
    /// The text makes no sense.
    #[error("{0}")]
    InvalidContent(String),
    /// Another revision is in force than the word expects.
    #[error("revision {found} is in force, the word expects {expected}")]
    UnexpectedRevision {
        /// What was expected.
        expected: u32,
        /// What is.
        found: u32,
    },
    /// A revision that is not kept.
    #[error("revision {requested} is not kept; the oldest that is kept is {oldest}, the newest {newest}")]
    RevisionNotKept {
        /// Which.
        requested: u32,
        /// The oldest.
        oldest: u32,
        /// The newest.
        newest: u32,
    },
    /// A release goes on.
    #[error("the release of revision {0} goes on")]
    ReleaseInProgress(u32),
    /// There is none.
    #[error("no release goes on")]
    NoRelease,
    /// Everything is halted.
    #[error("halted by {0}")]
    Halted(String),
    /// A wave that is not the next.
    #[error("wave {requested} is not next, the release stands at {current}")]
    OutOfSequence {
        /// Which.
        requested: u32,
        /// Where it stands.
        current: u32,
    },
    /// Waves that do not grow up to the whole.
    #[error("waves must grow, from over 0 to 1000 thousandths")]
    InvalidWaves,
    /// A permit that is not known.
    #[error("there is no permit {0}")]
    UnknownPermit(u32),
    /// A permit that can't go from its state there.
    #[error("permit {0} is {1}")]
    WrongPermitState(u32, String),
    /// Too many would be out.
    #[error("{out} are out of {allowed} allowed: {names}")]
    TooManyOut {
        /// So many are out, dead or missing.
        out: u32,
        /// So many may be.
        allowed: u32,
        /// Who.
        names: String,
    },
    /// One that has a permit or waits for one.
    #[error("{0} has permit {1} already")]
    PermitExists(String, u32),
    /// Bars that leave too little.
    #[error("{field}: the rules leave {left} of {total} backend servers, keep is {min_share}")]
    TooFewLeft {
        /// The rule.
        field: String,
        /// So many are left.
        left: u32,
        /// Of so many.
        total: u32,
        /// The share that must be left, as text.
        min_share: String,
    },
    /// A table that is full.
    #[error("{0} are kept at most")]
    TableFull(u32),
    /// Bytes that no word has.
    #[error("the word can't be read by this version")]
    Unreadable,
}

impl PlanError {
    /// A code that stays.
    pub fn code(&self) -> &'static str {
        match self {
            PlanError::InvalidContent(_) => "plan.content",
            PlanError::UnexpectedRevision { .. } => "plan.moved",
            PlanError::RevisionNotKept { .. } => "plan.not-kept",
            PlanError::ReleaseInProgress(_) => "plan.release-goes-on",
            PlanError::NoRelease => "plan.no-release",
            PlanError::Halted(_) => "plan.halted",
            PlanError::OutOfSequence { .. } => "plan.not-next",
            PlanError::InvalidWaves => "plan.waves",
            PlanError::UnknownPermit(_) => "plan.no-permit",
            PlanError::WrongPermitState(..) => "plan.permit-state",
            PlanError::TooManyOut { .. } => "plan.too-many-out",
            PlanError::PermitExists(..) => "plan.has-permit",
            PlanError::TooFewLeft { .. } => "plan.too-little-left",
            PlanError::TableFull(_) => "plan.full",
            PlanError::Unreadable => "plan.unreadable",
        }
    }

    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            PlanError::InvalidContent(_) => {
                "mend the text where the error points; cometcroft check --plan FILE reads it without saying it"
            }
            PlanError::UnexpectedRevision { .. } => {
                "look at GET /ops/plan, decide again, and say it with the revision that is in force"
            }
            PlanError::RevisionNotKept { .. } => {
                "choose a revision of GET /ops/plan, or propose the old text anew; pin what must be kept"
            }
            PlanError::ReleaseInProgress(_) => {
                "wait for its end, or PUT /ops/plan/back, or put a revision back, which ends it at once"
            }
            PlanError::NoRelease => {
                "nothing is to be undone; to put an old revision back: PUT /ops/plan/rollback"
            }
            PlanError::Halted(_) => "find out why it was halted; then PUT /ops/plan/resume, or /back",
            PlanError::OutOfSequence { .. } => "nothing: the leader says the next wave itself",
            PlanError::InvalidWaves => "give shares such as [50, 250, 1000]",
            PlanError::UnknownPermit(_) => "look at GET /ops/plan: it may have been given back",
            PlanError::WrongPermitState(..) => "look at GET /ops/plan for its state",
            PlanError::TooManyOut { .. } => {
                "wait until one of them is back, bring back who is dead, or raise [[out]] in a revision"
            }
            PlanError::PermitExists(..) => "use that permit, or give it back: PUT /ops/plan/return",
            PlanError::TooFewLeft { .. } => "bar fewer, or lower keep in the revision if so few are enough",
            PlanError::TableFull(_) => "give back permits that are done, or unpin revisions",
            PlanError::Unreadable => "bring all sidecars to one version",
        }
    }

    /// One of each, for whoever lists the codes.
    pub fn all() -> Vec<PlanError> {
        let who = || "n1".to_owned();
        vec![
            PlanError::InvalidContent("revision:1:1: x".into()),
            PlanError::UnexpectedRevision { expected: 1, found: 2 },
            PlanError::RevisionNotKept { requested: 1, oldest: 2, newest: 3 },
            PlanError::ReleaseInProgress(1),
            PlanError::NoRelease,
            PlanError::Halted(who()),
            PlanError::OutOfSequence { requested: 1, current: 0 },
            PlanError::InvalidWaves,
            PlanError::UnknownPermit(1),
            PlanError::WrongPermitState(1, "out".into()),
            PlanError::TooManyOut { out: 1, allowed: 1, names: who() },
            PlanError::PermitExists(who(), 1),
            PlanError::TooFewLeft { field: "server".into(), left: 1, total: 4, min_share: "0.5".into() },
            PlanError::TableFull(1),
            PlanError::Unreadable,
        ]
    }
}
