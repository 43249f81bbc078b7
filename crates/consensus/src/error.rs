//! Errors of the log, each with a code and a remedy for operators.

use std::time::Duration;
use thiserror::Error;

/// An error of the log. Its code, text and remedy are part of the operators' HTTP interface and must not change.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConsensusError {
    /// The log was never bootstrapped, as far as is known.
    #[error("this fleet's plan was never founded, or every copy of it is lost")]
    NotBootstrapped,
    /// There was no answer within this time, so it is not known whether the command was decided.
    #[error("no answer within {0:?}: the word may have been taken or not")]
    Unknown(Duration),
    /// Fewer voters than a majority answer.
    #[error("{reached} of {of} keepers answer, a majority is needed")]
    NoMajority {
        /// The number of voters that answer.
        reached: usize,
        /// The number of voters.
        of: usize,
    },
    /// A bootstrap was requested although the voters have a leader; holds the leader's index.
    #[error(
        "the keepers agree with one another, led by place {0}: nothing is lost that a founding could mend"
    )]
    HasLeader(usize),
    /// The voters granted their votes to another bootstrap, or to none in time.
    #[error("another founding has taken the keepers' voices")]
    Contested,
    /// The newest copy could not be fetched in time; holds the index of its last entry.
    #[error("the newest copy, at place {0} of the log, could not be fetched in time")]
    CopyNotReached(u64),
    /// The local member is already running a bootstrap.
    #[error("a founding is under way at this door")]
    BootstrapInProgress,
    /// The command is too long.
    #[error("the word has {length} bytes, {max} at most")]
    TooLong {
        /// The command's length in bytes.
        length: usize,
        /// The maximum length in bytes.
        max: usize,
    },
    /// Too many proposals of the local member are pending; holds their maximum number.
    #[error("{0} words of this door are not answered yet")]
    TooManyProposals(usize),
}

impl ConsensusError {
    /// The code. Codes never change, so that tools can match them.
    pub fn code(&self) -> &'static str {
        match self {
            ConsensusError::NotBootstrapped => "log.not-founded",
            ConsensusError::Unknown(_) => "log.unknown",
            ConsensusError::NoMajority { .. } => "log.no-majority",
            ConsensusError::HasLeader(_) => "log.has-leader",
            ConsensusError::Contested => "log.contested",
            ConsensusError::CopyNotReached(_) => "log.copy-not-reached",
            ConsensusError::BootstrapInProgress => "log.founding",
            ConsensusError::TooLong { .. } => "log.too-long",
            ConsensusError::TooManyProposals(_) => "log.crowded",
        }
    }

    /// What the operator can do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            ConsensusError::NotBootstrapped => {
                "if the fleet is new, or all keepers were lost at once: PUT /ops/plan/refound at one door"
            }
            ConsensusError::Unknown(_) => {
                "say the same word again with the same id: it is done once; or look at GET /ops/plan, at a door of another side of a cut if there is one"
            }
            ConsensusError::NoMajority { .. } => {
                "start the keepers that are missing, or mend the way to them; keepers are in GET /ops/plan"
            }
            ConsensusError::HasLeader(_) => "say the word that you wanted to say; do not found anew",
            ConsensusError::Contested => {
                "wait for some seconds, look at GET /ops/plan, and found again only if it still has no leader"
            }
            ConsensusError::CopyNotReached(_) => {
                "mend the way to the sidecars that hold the newest copy, or found again with them stopped, which gives up what they hold alone"
            }
            ConsensusError::BootstrapInProgress => "wait for its answer",
            ConsensusError::TooLong { .. } => {
                "shorten the revision: selectors by zone or group in place of names"
            }
            ConsensusError::TooManyProposals(_) => "wait until they are answered",
        }
    }

    /// One error of each kind, for lists of all codes.
    pub fn all() -> Vec<ConsensusError> {
        vec![
            ConsensusError::NotBootstrapped,
            ConsensusError::Unknown(Duration::from_secs(5)),
            ConsensusError::NoMajority { reached: 1, of: 3 },
            ConsensusError::HasLeader(0),
            ConsensusError::Contested,
            ConsensusError::CopyNotReached(7),
            ConsensusError::BootstrapInProgress,
            ConsensusError::TooLong { length: 2, max: 1 },
            ConsensusError::TooManyProposals(16),
        ]
    }
}
