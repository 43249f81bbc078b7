//! How many are at work, for whoever divides a sum by it: a rise binds at once, a fall after it has lasted.

use crate::Time;
use std::collections::VecDeque;

/// The count in force.
#[derive(Debug, Clone)]
pub struct Headcount {
    settle: Time,
    /// What was seen and when it was last seen, each smaller than the one before.
    seen: VecDeque<(u32, Time)>,
    cautious: bool,
}

impl Headcount {
    /// A count that begins with what the settings say.
    pub fn new(now: Time, first: u32, settle: Time, cautious: bool) -> Headcount {
        Headcount { settle, seen: VecDeque::from([(first.max(1), now)]), cautious }
    }

    /// So many are seen at work now, by one that reaches so many of those it knows, itself among both.
    pub fn see(&mut self, now: Time, at_work: u32, reached: usize, known: usize) -> u32 {
        // Danger: one that is cut off sees few, and all the others may be there all the same.
        if self.cautious && reached * 2 < known {
            let kept = self.in_force();
            self.seen.clear();
            self.seen.push_back((kept.max(at_work), now));
            return self.in_force();
        }
        if !self.cautious {
            self.seen.clear();
        }
        while self.seen.back().is_some_and(|(count, _)| *count <= at_work) {
            self.seen.pop_back();
        }
        self.seen.push_back((at_work.max(1), now));
        // Danger: a fall that binds at once would let each take more while those who are missing may still act.
        while self.seen.len() > 1 && self.seen.front().is_some_and(|(_, at)| *at + self.settle < now) {
            self.seen.pop_front();
        }
        self.in_force()
    }

    /// The count in force.
    pub fn in_force(&self) -> u32 {
        self.seen.front().map_or(1, |(count, _)| *count)
    }
}

#[cfg(test)]
mod tests;
