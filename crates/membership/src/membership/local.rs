//! The local member: its record and its own state.

use crate::Time;
use crate::message::{Record, State, Update};

/// The local member.
#[derive(Debug)]
pub(super) struct LocalMember {
    pub record: Record,
    /// When this process started.
    pub started: Time,
    /// Whether the member has announced that it leaves.
    pub leaving: bool,
    /// Whether a process with the same name and a higher generation exists; this one then sends nothing.
    pub superseded: bool,
    /// Whether the member has raised its generation above that of a previous process.
    pub raised_generation: bool,
}

impl LocalMember {
    /// A member that starts at `started`.
    pub fn new(record: Record, started: Time) -> LocalMember {
        LocalMember { record, started, leaving: false, superseded: false, raised_generation: false }
    }

    /// Whether the member takes part in the protocol, that is, is neither leaving nor superseded.
    pub fn is_active(&self) -> bool {
        !self.leaving && !self.superseded
    }

    /// The member's state as an update.
    pub fn update(&self) -> Update {
        let state = if self.leaving { State::Left } else { State::Alive };
        Update { record: self.record.clone(), state, reporter: self.record.name.clone() }
    }
}
