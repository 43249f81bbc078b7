//! Identifiers and the clock that all stand-ins of a run share.

use std::fmt;
use std::time::{Duration, Instant};

/// Time since the start of the run.
pub type Time = Duration;

/// One sidecar process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SidecarId(pub usize);

/// One endpoint, whatever its address and status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub usize);

/// One answer of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AnswerId(pub usize);

/// A version of the endpoint list (`index` on the wire).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version(pub u64);

impl fmt::Display for SidecarId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{}", self.0)
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s-{}", self.0)
    }
}

impl fmt::Display for AnswerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "answer {}", self.0)
    }
}

/// The monotonic clock of a run.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that reads zero now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }
}
