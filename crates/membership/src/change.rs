//! Actions for the driver: messages to send, exchanges to start, state changes to report.

use crate::message::{Name, State};
use std::net::SocketAddrV4;

/// A change of a member's state in the local view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The member's name.
    pub name: Name,
    /// The member's generation, which identifies the start of its process.
    pub generation: u64,
    /// The previous state; `None` if the member was not known.
    pub from: Option<State>,
    /// The new state.
    pub to: State,
    /// The reason, as a text for the log.
    pub cause: &'static str,
    /// The member that reported the new state.
    pub reporter: Name,
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram to this address.
    Send(SocketAddrV4, Vec<u8>),
    /// Exchange views: connect to this address, send [`Membership::view`](crate::Membership::view), and pass the
    /// answer to [`Membership::receive_view`](crate::Membership::receive_view).
    Exchange(SocketAddrV4),
    /// Report a state change.
    Changed(Change),
}

/// Why a member's state has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The member was not known before.
    Discovered,
    /// The member has restarted: its generation is higher than the known one.
    Restarted,
    /// The member announced that it leaves the fleet.
    Left,
    /// The member refuted an accusation with a higher incarnation.
    Refuted,
    /// The member did not answer the local member's probe.
    ProbeFailed,
    /// Another member reported the member as suspect or dead.
    Reported,
    /// The suspicion timed out without a refutation.
    SuspicionExpired,
    /// Another process with the local member's name and a higher generation exists.
    Superseded,
}

impl Cause {
    /// The reason as a text for the log.
    pub fn text(self) -> &'static str {
        match self {
            Cause::Discovered => "not known before",
            Cause::Restarted => "restarted",
            Cause::Left => "announced that it leaves",
            Cause::Refuted => "refuted the accusation",
            Cause::ProbeFailed => "did not answer a probe",
            Cause::Reported => "reported by another member",
            Cause::SuspicionExpired => "suspicion timed out",
            Cause::Superseded => "superseded by a later process with the same name",
        }
    }
}
