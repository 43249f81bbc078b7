//! Who is there, as every sidecar of a fleet sees it. No socket and no clock: a driver hands in what came and the time,
//! and takes out what is to be sent. `docs/design/membership.md` says what is held and why.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;
mod count;
mod machine;
mod message;
mod queue;
mod view;

pub use config::{Config, Parts, Timing};
pub use count::Headcount;
pub use machine::{Change, Membership, Output};
pub use message::{MAX_DATAGRAM, Name, Record, Refused, State};
pub use view::{Dropped, Report, Row, Traffic};

/// The driver's monotonic clock, counted from an origin of its choice.
pub type Time = std::time::Duration;
