//! Why a word is not taken, and what an operator can do.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a word is not taken; each with a code that stays.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum PlanError {
    /// The text makes no sense.
    #[error("{0}")]
    Content(String),
    /// Another revision is in force than the word expects.
    #[error("revision {found} is in force, the word expects {expected}")]
    Moved {
        /// What was expected.
        expected: u32,
        /// What is.
        found: u32,
    },
    /// A revision that is not kept.
    #[error("revision {wanted} is not kept; the oldest that is kept is {oldest}, the newest {newest}")]
    NotKept {
        /// Which.
        wanted: u32,
        /// The oldest.
        oldest: u32,
        /// The newest.
        newest: u32,
    },
    /// A release goes on.
    #[error("the release of revision {0} goes on")]
    ReleaseGoesOn(u32),
    /// There is none.
    #[error("no release goes on")]
    NoRelease,
    /// Everything is halted.
    #[error("halted by {0}")]
    Halted(String),
    /// A wave that is not the next.
    #[error("wave {wanted} is not next, the release stands at {at}")]
    NotNext {
        /// Which.
        wanted: u32,
        /// Where it stands.
        at: u32,
    },
    /// Waves that do not grow up to the whole.
    #[error("waves must grow, from over 0 to 1000 thousandths")]
    Waves,
    /// A permit that is not known.
    #[error("there is no permit {0}")]
    NoPermit(u32),
    /// A permit that can't go from its state there.
    #[error("permit {0} is {1}")]
    PermitState(u32, String),
    /// Too many would be out.
    #[error("{out} are out of {allowed} allowed: {who}")]
    TooManyOut {
        /// So many are out, dead or missing.
        out: u32,
        /// So many may be.
        allowed: u32,
        /// Who.
        who: String,
    },
    /// One that has a permit or waits for one.
    #[error("{0} has permit {1} already")]
    HasPermit(String, u32),
    /// Bars that leave too little.
    #[error("{field}: the rules leave {left} of {of} backend servers, keep is {keep}")]
    TooLittleLeft {
        /// The rule.
        field: String,
        /// So many are left.
        left: u32,
        /// Of so many.
        of: u32,
        /// The share that must be left, as text.
        keep: String,
    },
    /// A table that is full.
    #[error("{0} are kept at most")]
    Full(u32),
    /// Bytes that no word has.
    #[error("the word can't be read by this version")]
    Unreadable,
}

impl PlanError {
    /// A code that stays.
    pub fn code(&self) -> &'static str {
        match self {
            PlanError::Content(_) => "plan.content",
            PlanError::Moved { .. } => "plan.moved",
            PlanError::NotKept { .. } => "plan.not-kept",
            PlanError::ReleaseGoesOn(_) => "plan.release-goes-on",
            PlanError::NoRelease => "plan.no-release",
            PlanError::Halted(_) => "plan.halted",
            PlanError::NotNext { .. } => "plan.not-next",
            PlanError::Waves => "plan.waves",
            PlanError::NoPermit(_) => "plan.no-permit",
            PlanError::PermitState(..) => "plan.permit-state",
            PlanError::TooManyOut { .. } => "plan.too-many-out",
            PlanError::HasPermit(..) => "plan.has-permit",
            PlanError::TooLittleLeft { .. } => "plan.too-little-left",
            PlanError::Full(_) => "plan.full",
            PlanError::Unreadable => "plan.unreadable",
        }
    }

    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            PlanError::Content(_) => {
                "mend the text where the error points; cometcroft check --plan FILE reads it without saying it"
            }
            PlanError::Moved { .. } => {
                "look at GET /ops/plan, decide again, and say it with the revision that is in force"
            }
            PlanError::NotKept { .. } => {
                "choose a revision of GET /ops/plan, or propose the old text anew; pin what must be kept"
            }
            PlanError::ReleaseGoesOn(_) => {
                "wait for its end, or PUT /ops/plan/back, or put a revision back, which ends it at once"
            }
            PlanError::NoRelease => {
                "nothing is to be undone; to put an old revision back: PUT /ops/plan/rollback"
            }
            PlanError::Halted(_) => "find out why it was halted; then PUT /ops/plan/resume, or /back",
            PlanError::NotNext { .. } => "nothing: the leader says the next wave itself",
            PlanError::Waves => "give shares such as [50, 250, 1000]",
            PlanError::NoPermit(_) => "look at GET /ops/plan: it may have been given back",
            PlanError::PermitState(..) => "look at GET /ops/plan for its state",
            PlanError::TooManyOut { .. } => {
                "wait until one of them is back, bring back who is dead, or raise [[out]] in a revision"
            }
            PlanError::HasPermit(..) => "use that permit, or give it back: PUT /ops/plan/return",
            PlanError::TooLittleLeft { .. } => {
                "bar fewer, or lower keep in the revision if so few are enough"
            }
            PlanError::Full(_) => "give back permits that are done, or unpin revisions",
            PlanError::Unreadable => "bring all sidecars to one version",
        }
    }

    /// One of each, for whoever lists the codes.
    pub fn all() -> Vec<PlanError> {
        let who = || "n1".to_owned();
        vec![
            PlanError::Content("revision:1:1: x".into()),
            PlanError::Moved { expected: 1, found: 2 },
            PlanError::NotKept { wanted: 1, oldest: 2, newest: 3 },
            PlanError::ReleaseGoesOn(1),
            PlanError::NoRelease,
            PlanError::Halted(who()),
            PlanError::NotNext { wanted: 1, at: 0 },
            PlanError::Waves,
            PlanError::NoPermit(1),
            PlanError::PermitState(1, "out".into()),
            PlanError::TooManyOut { out: 1, allowed: 1, who: who() },
            PlanError::HasPermit(who(), 1),
            PlanError::TooLittleLeft { field: "server".into(), left: 1, of: 4, keep: "0.5".into() },
            PlanError::Full(1),
            PlanError::Unreadable,
        ]
    }
}
