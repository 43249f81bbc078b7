//! The commands that change the plan, as they are written to the replicated log.

use crate::error::PlanError;
use serde::{Deserialize, Serialize};

/// Identifies a command, drawn by its proposer. A command that reaches the log twice is applied once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId(pub u64);

/// What a permit takes out of service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PermitTarget {
    /// A sidecar that restarts or drains.
    Sidecar {
        /// Name of the sidecar.
        name: String,
        /// Generation of the process; a later start has a higher one.
        generation: u64,
    },
    /// An endpoint that is drained, by its name.
    Endpoint(String),
}

impl PermitTarget {
    /// The name of the sidecar or endpoint.
    pub fn name(&self) -> &str {
        match self {
            PermitTarget::Sidecar { name, .. } | PermitTarget::Endpoint(name) => name,
        }
    }

    /// Whether the target is an endpoint.
    pub fn is_endpoint(&self) -> bool {
        matches!(self, PermitTarget::Endpoint(_))
    }
}

/// A change of the plan. The log stores variants by their position, so new ones go to the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing. A reader that sees it applied has seen every command before it.
    Noop,
    /// Puts a new revision in force for all sidecars at once.
    Propose {
        /// Text of the revision.
        text: String,
    },
    /// Puts the content of a past revision in force for all sidecars at once, under a new number. Ends a release in
    /// progress.
    RollBackTo {
        /// The past revision.
        revision: u32,
    },
    /// Pins or unpins a revision. A pinned revision is never evicted.
    Pin {
        /// The revision.
        revision: u32,
        /// Whether the revision is pinned from now on.
        pinned: bool,
    },
    /// Starts a release: a new revision that reaches the sidecars in waves.
    Release {
        /// Text of the revision.
        text: String,
        /// Share of the sidecars that each wave reaches, in thousandths.
        waves: Vec<u16>,
    },
    /// From the leader: starts the next wave of a release. The number after the last wave completes the release.
    AdvanceWave {
        /// The revision that is released.
        revision: u32,
        /// The wave that starts.
        wave: u32,
    },
    /// Stops permits from being granted and releases from starting or advancing. Proposals and rollbacks remain
    /// possible.
    Halt,
    /// Ends a halt.
    Resume,
    /// Starts to roll back the release in progress, wave by wave.
    RollBackRelease,
    /// From the leader: rolls a release back to this wave; 0 ends the release.
    RollBackWave {
        /// The revision that is rolled back.
        revision: u32,
        /// The wave that is reached.
        wave: u32,
    },
    /// Requests a permit.
    RequestPermit {
        /// What is to be taken out of service.
        target: PermitTarget,
        /// Zone of the target.
        zone: String,
        /// Tier of the target.
        tier: u8,
        /// Seconds after which the permit is shown as overdue.
        overdue_after_s: u32,
    },
    /// From the leader: grants a permit if the outage limit leaves room for it.
    GrantPermit {
        /// Number of the permit.
        permit: u32,
        /// Sidecars in the permit's zone and tier that are dead or not ready.
        missing: Vec<String>,
        /// Number of sidecars in the permit's zone and tier.
        total: u32,
    },
    /// From the leader: no sidecar sends to the target any more.
    MarkClear {
        /// Number of the permit.
        permit: u32,
    },
    /// From an operator: treats the permit as clear although not every sidecar has confirmed it.
    ForceClear {
        /// Number of the permit.
        permit: u32,
    },
    /// Returns a permit, or withdraws the request for it.
    ReturnPermit {
        /// Number of the permit.
        permit: u32,
    },
    /// From the leader: a retry storm has started or ended.
    SetStorm {
        /// Whether there is a storm from now on.
        active: bool,
        /// Number of changes before this one.
        sequence: u32,
    },
}

/// A command as the log holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandEntry {
    /// Identifier of the command.
    pub id: CommandId,
    /// Name of the sidecar whose operations endpoint accepted the command, or of the leader.
    pub proposed_by: String,
    /// Why the command was given.
    pub reason: String,
    /// Time of the proposal by the proposer's clock, in milliseconds since the Unix epoch. Shown to operators; no
    /// decision depends on it.
    pub unix_ms: u64,
    /// If set, the command is rejected unless this revision is in force.
    pub expected_revision: Option<u32>,
    /// The command.
    pub command: Command,
}

impl CommandEntry {
    /// The bytes of the entry.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding these types cannot fail. Empty bytes would be counted as unreadable when they are applied.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads an entry; `None` if this version cannot read the bytes.
    pub fn decode(bytes: &[u8]) -> Option<CommandEntry> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The command was applied.
    Applied {
        /// Index of the log entry.
        index: u64,
        /// Number of the revision or permit that the command made or concerns; for a storm, the number of changes.
        number: u32,
    },
    /// The command was rejected.
    Rejected(PlanError),
}
