//! The number of present sidecars, smoothed for dividing a limit among them: an increase takes effect at once, a
//! decrease only after it has lasted.

use crate::Time;
use std::collections::VecDeque;

/// A count, and when it was last observed.
#[derive(Debug, Clone, Copy)]
struct Observation {
    count: u32,
    last_seen: Time,
}

/// The smoothed number of present sidecars.
#[derive(Debug, Clone)]
pub struct Headcount {
    settle: Time,
    /// Strictly decreasing counts; the first one is in force.
    observations: VecDeque<Observation>,
    delayed_decrease: bool,
}

impl Headcount {
    /// A count that starts at `first`. A decrease takes effect after it has lasted for `settle`, or at once without
    /// `delayed_decrease`.
    pub fn new(now: Time, first: u32, settle: Time, delayed_decrease: bool) -> Headcount {
        let observation = Observation { count: first.max(1), last_seen: now };
        Headcount { settle, observations: VecDeque::from([observation]), delayed_decrease }
    }

    /// Records that the local member sees `present` sidecars, and reaches `reached` of the `known` members, itself
    /// included in both; returns the count in force.
    pub fn observe(&mut self, now: Time, present: u32, reached: usize, known: usize) -> u32 {
        // A member that is cut off sees few others, although all of them may be running.
        if self.delayed_decrease && reached * 2 < known {
            let count = self.in_force().max(present);
            self.observations.clear();
            self.observations.push_back(Observation { count, last_seen: now });
            return self.in_force();
        }
        if !self.delayed_decrease {
            self.observations.clear();
        }
        while self.observations.back().is_some_and(|last| last.count <= present) {
            self.observations.pop_back();
        }
        self.observations.push_back(Observation { count: present.max(1), last_seen: now });
        self.drop_settled(now);
        self.in_force()
    }

    /// The count in force.
    pub fn in_force(&self) -> u32 {
        self.observations.front().map_or(1, |first| first.count)
    }

    /// Drops counts that were not observed for the settling time. A decrease that took effect at once would let each
    /// sidecar take a larger share while the missing ones may still use theirs.
    fn drop_settled(&mut self, now: Time) {
        let settle = self.settle;
        let settled = |first: &Observation| first.last_seen + settle < now;
        while self.observations.len() > 1 && self.observations.front().is_some_and(settled) {
            self.observations.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
