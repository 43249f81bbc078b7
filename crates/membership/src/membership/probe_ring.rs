//! The order in which members are probed: round robin over a random permutation that is shuffled after each round, so
//! that every member is probed within a bounded time.

use super::table::{Member, MemberTable};
use crate::message::{Name, Record};

/// Maximum number of random draws for a member that meets a condition.
const MAX_DRAWS: usize = 24;

/// The members in the order of probing. Members that left the table are removed at the end of the round.
#[derive(Debug, Default)]
pub(super) struct ProbeRing {
    names: Vec<Name>,
    next: usize,
}

impl ProbeRing {
    /// Adds a member at a random position.
    pub fn insert(&mut self, name: Name, rng: &mut fastrand::Rng) {
        let position = rng.usize(..=self.names.len());
        self.names.insert(position, name);
    }

    /// The next present member in the order of probing.
    pub fn next_target(&mut self, table: &MemberTable, rng: &mut fastrand::Rng) -> Option<Record> {
        for _ in 0..=self.names.len() {
            if self.next >= self.names.len() {
                self.start_round(table, rng);
            }
            let name = self.names.get(self.next)?;
            self.next += 1;
            if let Some(member) = table.get(name).filter(|member| member.is_present()) {
                return Some(member.record.clone());
            }
        }
        None
    }

    /// A random member that meets a condition. Draws a limited number of members instead of filtering all, so it may
    /// return `None` although a member meets the condition.
    pub fn random(
        &self,
        table: &MemberTable,
        rng: &mut fastrand::Rng,
        condition: impl Fn(&Member) -> bool,
    ) -> Option<Record> {
        if self.names.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let name = &self.names[rng.usize(..self.names.len())];
            if let Some(member) = table.get(name).filter(|member| condition(member)) {
                return Some(member.record.clone());
            }
        }
        None
    }

    fn start_round(&mut self, table: &MemberTable, rng: &mut fastrand::Rng) {
        self.next = 0;
        self.names.retain(|name| table.contains(name));
        rng.shuffle(&mut self.names);
    }
}
