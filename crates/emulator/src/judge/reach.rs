//! When discovery could be reached, and from when on what it had counts as told.

use crate::kernel::Nanos;

/// The times in which discovery could be reached: each from its begin to its end.
#[derive(Debug)]
pub struct Reach {
    spans: Vec<(Nanos, Nanos)>,
}

impl Default for Reach {
    /// It can be reached from the beginning on.
    fn default() -> Reach {
        Reach { spans: vec![(0, Nanos::MAX)] }
    }
}

impl Reach {
    /// From now on it can be reached, or can't.
    pub fn change(&mut self, reachable: bool, now: Nanos) {
        let open = self.spans.last_mut().filter(|(_, end)| *end == Nanos::MAX);
        match (open, reachable) {
            (None, true) => self.spans.push((now, Nanos::MAX)),
            (Some((_, end)), false) => *end = now,
            _ => {}
        }
    }

    /// When something that discovery has had since then counts as told: so long after it could first be reached. Danger: an
    /// outage after that gives no new time.
    pub fn held(&self, since: Nanos, within: Nanos) -> Option<Nanos> {
        let reached = self.spans.iter().find(|(_, end)| since < *end).map(|(begin, _)| since.max(*begin));
        reached.map(|reached| reached + within)
    }
}
