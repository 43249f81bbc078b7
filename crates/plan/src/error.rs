//! Reasons for which a command is rejected, and what an operator can do about each.
//!
//! Display texts and remedies are sent to operators as JSON, and errors are stored in the replicated state: changing a
//! text, a code or the order of the variants changes an interface.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a command is rejected. Each reason has a stable code.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum PlanError {
    /// The revision's text is not valid.
    #[error("{0}")]
    InvalidContent(String),
    /// The revision in force is not the one that the command expects.
    #[error("revision {found} is in force, the word expects {expected}")]
    UnexpectedRevision {
        /// The revision that the command expects.
        expected: u32,
        /// The revision in force.
        found: u32,
    },
    /// The revision is not or no longer kept.
    #[error("revision {requested} is not kept; the oldest that is kept is {oldest}, the newest {newest}")]
    RevisionNotKept {
        /// The revision that was requested.
        requested: u32,
        /// The oldest revision that is kept.
        oldest: u32,
        /// The newest revision.
        newest: u32,
    },
    /// A release is in progress, of this revision.
    #[error("the release of revision {0} goes on")]
    ReleaseInProgress(u32),
    /// No release is in progress.
    #[error("no release goes on")]
    NoRelease,
    /// Permits and releases are halted; names the sidecar that proposed the halt.
    #[error("halted by {0}")]
    Halted(String),
    /// The wave or the storm change is not the next in its sequence.
    #[error("wave {requested} is not next, the release stands at {current}")]
    OutOfSequence {
        /// The number that was requested.
        requested: u32,
        /// The number that has been reached.
        current: u32,
    },
    /// The waves do not increase to 1000 thousandths.
    #[error("waves must grow, from over 0 to 1000 thousandths")]
    InvalidWaves,
    /// There is no permit of this number.
    #[error("there is no permit {0}")]
    UnknownPermit(u32),
    /// The permit's state does not allow the command: number and present state.
    #[error("permit {0} is {1}")]
    WrongPermitState(u32, String),
    /// Too many sidecars or endpoints would be out of service.
    #[error("{out} are out of {allowed} allowed: {names}")]
    TooManyOut {
        /// Number that is out of service, dead or missing.
        out: u32,
        /// Number that is allowed.
        allowed: u32,
        /// Names of those that are out of service, at most eight.
        names: String,
    },
    /// The target holds or waits for a permit: name and permit number.
    #[error("{0} has permit {1} already")]
    PermitExists(String, u32),
    /// Too few endpoints would remain usable.
    #[error("{field}: the rules leave {left} of {total} backend servers, keep is {min_share}")]
    TooFewLeft {
        /// The rule or the command that excludes them.
        field: String,
        /// Number of endpoints that would remain.
        left: u32,
        /// Number of endpoints in all.
        total: u32,
        /// Share that must remain. As text, because `f64` does not implement `Eq`.
        min_share: String,
    },
    /// The maximum number of pinned revisions or of permits is reached.
    #[error("{0} are kept at most")]
    TableFull(u32),
    /// The bytes do not decode to a command.
    #[error("the word can't be read by this version")]
    Unreadable,
}

impl PlanError {
    /// A stable code, for programs.
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

    /// What an operator can do about it.
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

    /// One example of each variant, to list the codes.
    pub fn all() -> Vec<PlanError> {
        let name = || "n1".to_owned();
        vec![
            PlanError::InvalidContent("revision:1:1: x".into()),
            PlanError::UnexpectedRevision { expected: 1, found: 2 },
            PlanError::RevisionNotKept { requested: 1, oldest: 2, newest: 3 },
            PlanError::ReleaseInProgress(1),
            PlanError::NoRelease,
            PlanError::Halted(name()),
            PlanError::OutOfSequence { requested: 1, current: 0 },
            PlanError::InvalidWaves,
            PlanError::UnknownPermit(1),
            PlanError::WrongPermitState(1, "out".into()),
            PlanError::TooManyOut { out: 1, allowed: 1, names: name() },
            PlanError::PermitExists(name(), 1),
            PlanError::TooFewLeft { field: "server".into(), left: 1, total: 4, min_share: "0.5".into() },
            PlanError::TableFull(1),
            PlanError::Unreadable,
        ]
    }
}
