//! What the protocol asks of its driver: messages to send, exchanges to start, state changes to report.

use crate::message::{Name, State};
use std::net::SocketAddrV4;

/// A member's state has changed in the local view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The member's name.
    pub name: Name,
    /// The member's generation: which start of its process.
    pub generation: u64,
    /// The previous state; `None` if the member was not known.
    pub from: Option<State>,
    /// The new state.
    pub to: State,
    /// The reason, as text for operators.
    pub cause: &'static str,
    /// The member that reported it.
    pub reporter: Name,
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram to this address.
    Send(SocketAddrV4, Vec<u8>),
    /// Connect to this address, send [`Membership::view`](crate::Membership::view), and pass the answer to
    /// [`Membership::receive_view`](crate::Membership::receive_view).
    Exchange(SocketAddrV4),
    /// Report a state change.
    Changed(Change),
}

/// Why a member changes its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The member was not known before.
    Discovered,
    /// The member has restarted: its generation is higher.
    Restarted,
    /// The member announced that it leaves.
    Left,
    /// The member refuted a suspicion with a higher incarnation.
    Refuted,
    /// The local member's probe was not answered.
    ProbeFailed,
    /// Another member reported it as suspect or dead.
    Reported,
    /// The suspicion timed out without a refutation.
    SuspicionExpired,
    /// A process with the same name and a higher generation exists.
    Superseded,
}

impl Cause {
    /// The reason as operators read it.
    pub fn text(self) -> &'static str {
        match self {
            Cause::Discovered => "it was not known",
            Cause::Restarted => "a new start",
            Cause::Left => "it said that it leaves",
            Cause::Refuted => "it denied it",
            Cause::ProbeFailed => "it did not answer",
            Cause::Reported => "another accuses it",
            Cause::SuspicionExpired => "it did not answer for long",
            Cause::Superseded => "a younger start has this name",
        }
    }
}
