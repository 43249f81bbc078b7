//! Group membership and failure detection among the sidecars of a fleet, after the SWIM protocol.
//!
//! The package does no I/O and reads no clock: a driver passes in received messages and the time, and takes out the
//! messages to send. [`Membership`] is the entry point; `docs/design/membership.md` describes the protocol and its
//! reasons.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod change;
mod config;
mod dissemination_queue;
mod headcount;
mod membership;
mod message;
mod report;

pub use change::{Change, Output};
pub use config::{Config, Features, Timing};
pub use headcount::Headcount;
pub use membership::Membership;
pub use message::{DecodeError, MAX_DATAGRAM, Name, Record, State};
pub use report::{Dropped, MemberReport, Report, Traffic, ZoneReach};

/// The driver's monotonic clock, counted from an origin of its choice.
pub type Time = std::time::Duration;
