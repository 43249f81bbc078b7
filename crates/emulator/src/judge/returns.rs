//! What becomes of the sidecars' calls when discovery is back after an outage: how long each sidecar waits for its first
//! list.

use crate::kernel::{Nanos, Pid};
use std::collections::BTreeSet;

/// The waits for a first list after outages of discovery.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct Returns {
    /// From discovery's return to the end of a sidecar's first list, in seconds, in the order of the lists.
    pub first_lists_s: Vec<f64>,
    /// Sidecars that lived when discovery was back and had no list before it went down again or the day ended.
    pub without_list: usize,
}

/// Watches the sidecars after each return.
#[derive(Debug, Default)]
pub struct ReturnWatch {
    returned: Nanos,
    waiting: BTreeSet<Pid>,
    seen: Returns,
}

impl ReturnWatch {
    /// Discovery is back, and these processes live.
    pub fn returned(&mut self, living: impl Iterator<Item = Pid>, now: Nanos) {
        self.returned = now;
        self.waiting = living.collect();
    }

    /// Discovery is down.
    pub fn went_down(&mut self) {
        self.seen.without_list += self.waiting.len();
        self.waiting.clear();
    }

    /// A process has ended.
    pub fn process_ended(&mut self, pid: Pid) {
        self.waiting.remove(&pid);
    }

    /// A list has been delivered whole to a process.
    pub fn list_ended(&mut self, pid: Pid, now: Nanos) {
        if self.waiting.remove(&pid) {
            self.seen.first_lists_s.push((now - self.returned) as f64 / 1e9);
        }
    }

    /// What has been seen so far.
    pub fn report(&self) -> Returns {
        Returns { without_list: self.seen.without_list + self.waiting.len(), ..self.seen.clone() }
    }
}
