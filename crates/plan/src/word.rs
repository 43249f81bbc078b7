//! What can be said.

use crate::error::PlanError;
use serde::{Deserialize, Serialize};

/// A word's own number, made by whoever says it: said twice, it is done once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

/// What is out with a permit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum What {
    /// A sidecar, by its name and start: it restarts or drains.
    Sidecar {
        /// Its name.
        name: String,
        /// Its start.
        generation: u64,
    },
    /// A backend server by its name: it is to be drained.
    Server(String),
}

impl What {
    /// Its name.
    pub fn name(&self) -> &str {
        match self {
            What::Sidecar { name, .. } | What::Server(name) => name,
        }
    }

    /// Whether it is a backend server.
    pub fn server(&self) -> bool {
        matches!(self, What::Server(_))
    }
}

/// What is said.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Nothing: whoever sees it applied has read all before it.
    Nothing,
    /// A new revision for all at once.
    Propose {
        /// Its text.
        text: String,
    },
    /// A past revision's content for all at once, under a new number. It ends a release.
    RollBack {
        /// Which.
        to: u32,
    },
    /// Whether a revision is kept for ever.
    Pin {
        /// Which.
        revision: u32,
        /// Whether.
        on: bool,
    },
    /// A new revision in waves.
    Release {
        /// Its text.
        text: String,
        /// The share of the sidecars that have it after each wave, in thousandths.
        waves: Vec<u16>,
    },
    /// The leader: the release goes on to this wave; one after the last ends it.
    Next {
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
    Back,
    /// The leader: the way back has reached this wave; 0 ends it.
    Undo {
        /// Which release.
        revision: u32,
        /// Which wave.
        wave: u32,
    },
    /// A permit is wanted.
    Ask {
        /// For what.
        what: What,
        /// In which zone it is.
        zone: String,
        /// At which tier.
        tier: u8,
        /// After so many seconds it is shown as overdue.
        for_s: u32,
    },
    /// The leader: the permit is given; these are dead or missing, of so many.
    Grant {
        /// Which.
        permit: u32,
        /// Who is not there, in the permit's own zone and tier.
        missing: Vec<String>,
        /// How many there are.
        of: u32,
    },
    /// The leader: nobody sends there any more.
    Clear {
        /// Which permit.
        permit: u32,
    },
    /// An operator: it counts as clear, whoever has not confirmed.
    Force {
        /// Which permit.
        permit: u32,
    },
    /// It is given back, or no longer wanted.
    Return {
        /// Which permit.
        permit: u32,
    },
    /// The leader: retries storm, or no longer do.
    Storm {
        /// Whether.
        on: bool,
        /// How many times it has changed before.
        turn: u32,
    },
}

/// A word, with who says it and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Said {
    /// Its number.
    pub id: Id,
    /// At which door or by which leader.
    pub by: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the Unix epoch, by the clock there; shown, never compared.
    pub unix_ms: u64,
    /// The revision that must be in force.
    pub expects: Option<u32>,
    /// What.
    pub word: Word,
}

impl Said {
    /// As the log holds it.
    pub fn bytes(&self) -> Vec<u8> {
        // Our own types always have a form; without one it would be refused as unreadable.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads it.
    pub fn read(bytes: &[u8]) -> Option<Said> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What came of a word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was taken, as this entry of the log; the number of the revision or permit that it made or concerns.
    Taken {
        /// The entry.
        index: u64,
        /// The number.
        number: u32,
    },
    /// It was not.
    Refused(PlanError),
}
