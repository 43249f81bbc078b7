//! Calls to discovery: a record of each, and counts over all sidecars.

use crate::ids::{AnswerId, SidecarId, Time, Version};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How calls ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Calls that came.
    pub calls: u64,
    /// The most calls that one sidecar made in one second.
    pub busiest_second: u64,
    /// Refused after too long in the queue.
    pub queue_refusals: u64,
    /// Ended by an outage.
    pub outage_refusals: u64,
    /// The caller was gone before its answer was written as planned.
    pub abandoned: u64,
}

/// Counts while a run goes on.
#[derive(Debug, Default)]
pub struct CallCounts {
    calls: AtomicU64,
    busiest_second: AtomicU64,
    queue_refusals: AtomicU64,
    outage_refusals: AtomicU64,
    abandoned: AtomicU64,
}

impl CallCounts {
    /// A call came; its sidecar has made so many in this second.
    pub fn called(&self, in_this_second: u64) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.busiest_second.fetch_max(in_this_second, Ordering::Relaxed);
    }

    /// A call was refused after too long in the queue.
    pub fn refused_by_queue(&self) {
        self.queue_refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// A call was ended by an outage.
    pub fn ended_by_outage(&self) {
        self.outage_refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// A caller was gone before its answer was written as planned.
    pub fn abandoned(&self) {
        self.abandoned.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts so far.
    pub fn totals(&self) -> Calls {
        Calls {
            calls: self.calls.load(Ordering::Relaxed),
            busiest_second: self.busiest_second.load(Ordering::Relaxed),
            queue_refusals: self.queue_refusals.load(Ordering::Relaxed),
            outage_refusals: self.outage_refusals.load(Ordering::Relaxed),
            abandoned: self.abandoned.load(Ordering::Relaxed),
        }
    }
}

/// Calls of one sidecar in the present second of the clock.
#[derive(Debug, Default)]
pub struct CallRate {
    second: u64,
    calls: u64,
}

impl CallRate {
    /// A call comes; tells how many have come in this second.
    pub fn call(&mut self, now: Time) -> u64 {
        if now.as_secs() != self.second {
            *self = CallRate { second: now.as_secs(), calls: 0 };
        }
        self.calls += 1;
        self.calls
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// It waits for its turn, for news or for its delay.
    Waits,
    /// An answer was begun.
    Answered(AnswerId),
    /// It waited for its turn for too long.
    RefusedByQueue,
    /// An outage ended it.
    EndedByOutage,
}

/// One call.
#[derive(Debug, Clone, Copy)]
pub struct CallRecord {
    /// Who called.
    pub sidecar: SidecarId,
    /// When.
    pub at: Time,
    /// The version that changes were asked for from; none for the whole list.
    pub from: Option<Version>,
    /// How long it may wait for news.
    pub hold: Duration,
    /// How it ended.
    pub end: CallEnd,
}

impl fmt::Display for CallRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call at {:.3} s ", self.at.as_secs_f64())?;
        match self.from {
            Some(Version(version)) => write!(f, "from {version}, waits {} ms", self.hold.as_millis())?,
            None => write!(f, "for the whole list")?,
        }
        match self.end {
            CallEnd::Waits => write!(f, ": not answered"),
            CallEnd::Answered(answer) => write!(f, ": {answer}"),
            CallEnd::RefusedByQueue => write!(f, ": refused by the queue"),
            CallEnd::EndedByOutage => write!(f, ": ended by an outage"),
        }
    }
}
