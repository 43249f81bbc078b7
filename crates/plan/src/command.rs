//! What can be said.

use crate::error::PlanError;
use serde::{Deserialize, Serialize};

/// A word's own number, made by whoever says it: said twice, it is done once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId(pub u64);

/// What is out with a permit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PermitTarget {
    /// A sidecar, by its name and start: it restarts or drains.
    Sidecar {
        /// Its name.
        name: String,
        /// Its start.
        generation: u64,
    },
    /// A backend server by its name: it is to be drained.
    Endpoint(String),
}

impl PermitTarget {
    /// Its name.
    pub fn name(&self) -> &str {
        match self {
            PermitTarget::Sidecar { name, .. } | PermitTarget::Endpoint(name) => name,
        }
    }

    /// Whether it is a backend server.
    pub fn is_endpoint(&self) -> bool {
        matches!(self, PermitTarget::Endpoint(_))
    }
}

/// What is said.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing: whoever sees it applied has read all before it.
    Noop,
    /// A new revision for all at once.
    Propose {
        /// Its text.
        text: String,
    },
    /// A past revision's content for all at once, under a new number. It ends a release.
    RollBackTo {
        /// Which.
        revision: u32,
    },
    /// Whether a revision is kept for ever.
    Pin {
        /// Which.
        revision: u32,
        /// Whether.
        pinned: bool,
    },
    /// A new revision in waves.
    Release {
        /// Its text.
        text: String,
        /// The share of the sidecars that have it after each wave, in thousandths.
        waves: Vec<u16>,
    },
    /// The leader: the release goes on to this wave; one after the last ends it.
    AdvanceWave {
        /// Which release.
        revision: u32,
        /// Which wave.
        wave: u32,
    },
    /// No permit and no wave from here on.
    Halt,
    /// The end of that.
    Resume,
    /// The release is undone, wave by wave.
    RollBackRelease,
    /// The leader: the way back has reached this wave; 0 ends it.
    RollBackWave {
        /// Which release.
        revision: u32,
        /// Which wave.
        wave: u32,
    },
    /// A permit is wanted.
    RequestPermit {
        /// For what.
        target: PermitTarget,
        /// In which zone it is.
        zone: String,
        /// At which tier.
        tier: u8,
        /// After so many seconds it is shown as overdue.
        overdue_after_s: u32,
    },
    /// The leader: the permit is given; these are dead or missing, of so many.
    GrantPermit {
        /// Which.
        permit: u32,
        /// Who is not there, in the permit's own zone and tier.
        missing: Vec<String>,
        /// How many there are.
        total: u32,
    },
    /// The leader: nobody sends there any more.
    MarkClear {
        /// Which permit.
        permit: u32,
    },
    /// An operator: it counts as clear, whoever has not confirmed.
    ForceClear {
        /// Which permit.
        permit: u32,
    },
    /// It is given back, or no longer wanted.
    ReturnPermit {
        /// Which permit.
        permit: u32,
    },
    /// The leader: retries storm, or no longer do.
    SetStorm {
        /// Whether.
        active: bool,
        /// How many times it has changed before.
        sequence: u32,
    },
}

/// A word, with who says it and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandEntry {
    /// Its number.
    pub id: CommandId,
    /// At which door or by which leader.
    pub proposed_by: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the Unix epoch, by the clock there; shown, never compared.
    pub unix_ms: u64,
    /// The revision that must be in force.
    pub expected_revision: Option<u32>,
    /// What.
    pub command: Command,
}

impl CommandEntry {
    /// As the log holds it.
    pub fn encode(&self) -> Vec<u8> {
        // Our own types always have a form; without one it would be refused as unreadable.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads it.
    pub fn decode(bytes: &[u8]) -> Option<CommandEntry> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What came of a word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// It was taken, as this entry of the log; the number of the revision or permit that it made or concerns.
    Applied {
        /// The entry.
        index: u64,
        /// The number.
        number: u32,
    },
    /// It was not.
    Rejected(PlanError),
}
