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
mod tests {
    use super::*;

    fn s(seconds: u64) -> Time {
        Time::from_secs(seconds)
    }

    #[test]
    fn a_rise_binds_at_once_and_a_fall_after_it_has_lasted() {
        let mut count = Headcount::new(s(0), 3, s(10), true);
        assert_eq!(count.see(s(1), 5, 5, 5), 5);
        assert_eq!(count.see(s(2), 2, 4, 5), 5);
        assert_eq!(count.see(s(6), 4, 4, 5), 5);
        assert_eq!(count.see(s(11), 2, 4, 5), 5);
        assert_eq!(count.see(s(12), 2, 4, 5), 4, "five was last seen 11 s ago, four 6 s ago");
        assert_eq!(count.see(s(17), 2, 4, 5), 2);
        assert_eq!(count.see(s(18), 7, 7, 7), 7);
    }

    #[test]
    fn who_reaches_less_than_half_keeps_its_count_and_nobody_divides_by_nothing() {
        let mut count = Headcount::new(s(0), 5, s(10), true);
        for t in 1..60 {
            assert_eq!(count.see(s(t), 2, 2, 5), 5);
        }
        // It reaches the others again, and a fall still has to last.
        assert_eq!(count.see(s(60), 2, 3, 5), 5);
        assert_eq!(count.see(s(71), 2, 3, 5), 2);
        assert_eq!(Headcount::new(s(0), 0, s(1), true).see(s(5), 0, 1, 1), 1);
    }
}
