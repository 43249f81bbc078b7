//! The dissemination queue: updates that are piggybacked on outgoing messages, each a limited number of times.
//!
//! Updates with the fewest transmissions go first; of these, the newest.

use crate::message::{Name, State, Update};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The sort key of an update in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    transmissions: u32,
    inserted: Reverse<u64>,
}

/// The capacity of a message for updates.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Capacity {
    /// Bytes available for updates.
    pub bytes: usize,
    /// Maximum number of updates.
    pub updates: usize,
}

/// The updates that are still to be transmitted.
#[derive(Debug, Default)]
pub(crate) struct DisseminationQueue {
    updates: BTreeMap<Position, Update>,
    /// The positions of the updates about each member: one, or one for each accuser of a suspect.
    by_member: BTreeMap<Name, Vec<Position>>,
    next_insertion: u64,
}

impl DisseminationQueue {
    /// Whether there are no updates to transmit.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Removes all updates.
    pub fn clear(&mut self) {
        *self = DisseminationQueue { next_insertion: self.next_insertion, ..DisseminationQueue::default() };
    }

    /// Adds an update, and removes those that it supersedes. If the queue then holds more than `limit` updates, those
    /// with the most transmissions are removed.
    pub fn add(&mut self, update: Update, limit: usize) {
        for position in self.positions_about(&update.record.name) {
            let kept = self.updates.get(&position).is_some_and(|queued| can_coexist(queued, &update));
            if !kept {
                self.remove(position);
            }
        }
        self.insert(0, update);
        while self.updates.len() > limit {
            let Some((&last, _)) = self.updates.last_key_value() else { break };
            self.remove(last);
        }
    }

    /// Takes the next updates that fit into a message. Each counts as transmitted once more, and is removed after
    /// `max_transmissions`.
    pub fn take(
        &mut self,
        mut capacity: Capacity,
        max_transmissions: u32,
        size: fn(&Update) -> usize,
    ) -> Vec<Update> {
        let mut picked = Vec::new();
        for (position, update) in &self.updates {
            let size = size(update);
            if size > capacity.bytes || picked.len() >= capacity.updates {
                break;
            }
            capacity.bytes -= size;
            picked.push(*position);
        }
        picked.into_iter().filter_map(|position| self.transmit(position, max_transmissions)).collect()
    }

    /// Counts a received update like an own transmission of the same update: another member has spread it.
    pub fn received_duplicate(&mut self, update: &Update, max_transmissions: u32) {
        let positions = self.positions_about(&update.record.name);
        let duplicate = positions
            .into_iter()
            .find(|position| self.updates.get(position).is_some_and(|queued| is_same_update(queued, update)));
        if let Some(position) = duplicate {
            self.transmit(position, max_transmissions);
        }
    }

    /// Counts a transmission of an update and returns the update; removes it from the queue after its last one.
    fn transmit(&mut self, position: Position, max_transmissions: u32) -> Option<Update> {
        let update = self.remove(position)?;
        let transmissions = position.transmissions + 1;
        if transmissions < max_transmissions {
            self.insert(transmissions, update.clone());
        }
        Some(update)
    }

    fn positions_about(&self, name: &Name) -> Vec<Position> {
        self.by_member.get(name).cloned().unwrap_or_default()
    }

    fn insert(&mut self, transmissions: u32, update: Update) {
        let position = Position { transmissions, inserted: Reverse(self.next_insertion) };
        self.next_insertion += 1;
        self.by_member.entry(update.record.name.clone()).or_default().push(position);
        self.updates.insert(position, update);
    }

    fn remove(&mut self, position: Position) -> Option<Update> {
        let update = self.updates.remove(&position)?;
        let name = &update.record.name;
        if let Some(positions) = self.by_member.get_mut(name) {
            positions.retain(|held| *held != position);
            if positions.is_empty() {
                self.by_member.remove(name);
            }
        }
        Some(update)
    }
}

/// Whether a queued update is kept beside a new one about the same member. Suspicions by different accusers are,
/// because the number of accusers shortens the suspicion timeout.
fn can_coexist(queued: &Update, new: &Update) -> bool {
    new.state == State::Suspect
        && queued.state == State::Suspect
        && queued.reporter != new.reporter
        && queued.record.incarnation == new.record.incarnation
}

/// Whether two updates about one member carry the same information.
fn is_same_update(queued: &Update, other: &Update) -> bool {
    queued.state == other.state
        && queued.record.generation == other.record.generation
        && queued.record.incarnation == other.record.incarnation
        && (other.state != State::Suspect || queued.reporter == other.reporter)
}
