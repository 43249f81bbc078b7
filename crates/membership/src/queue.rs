//! What is to be gossiped: each word so many times, those first that were sent least, of these the newest.

use crate::message::{Claim, Name, State};
use std::cmp::Reverse;
use std::collections::BTreeMap;

type Place = (u32, Reverse<u64>);

/// Words that are being passed on.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    words: BTreeMap<Place, Claim>,
    /// Where the words about a member lie: one, or one for each accuser.
    about: BTreeMap<Name, Vec<Place>>,
    next: u64,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    pub fn clear(&mut self) {
        *self = Queue { next: self.next, ..Queue::default() };
    }

    fn put(&mut self, sent: u32, claim: Claim) {
        let place = (sent, Reverse(self.next));
        self.next += 1;
        self.about.entry(claim.record.name.clone()).or_default().push(place);
        self.words.insert(place, claim);
    }

    fn take(&mut self, place: Place) -> Option<Claim> {
        let claim = self.words.remove(&place)?;
        if let Some(places) = self.about.get_mut(&claim.record.name) {
            places.retain(|held| *held != place);
            if places.is_empty() {
                self.about.remove(&claim.record.name);
            }
        }
        Some(claim)
    }

    /// Adds a word in place of what it makes old. At most so many are held; those sent most go first.
    pub fn add(&mut self, claim: Claim, most: usize) {
        for place in self.about.get(&claim.record.name).cloned().unwrap_or_default() {
            // Words of several accusers stand side by side.
            let beside = self.words.get(&place).is_some_and(|held| {
                claim.state == State::Suspect
                    && held.state == State::Suspect
                    && held.by != claim.by
                    && held.record.incarnation == claim.record.incarnation
            });
            if !beside {
                self.take(place);
            }
        }
        self.put(0, claim);
        while self.words.len() > most {
            let Some((&last, _)) = self.words.last_key_value() else { break };
            self.take(last);
        }
    }

    /// The next words that fit into so many bytes, each counted as sent once more; after `times` it is dropped.
    pub fn next(
        &mut self,
        mut room: usize,
        most: usize,
        times: u32,
        size: fn(&Claim) -> usize,
    ) -> Vec<Claim> {
        let mut picked = Vec::new();
        for (place, claim) in &self.words {
            let size = size(claim);
            if size > room || picked.len() >= most {
                break;
            }
            room -= size;
            picked.push(*place);
        }
        let mut claims = Vec::with_capacity(picked.len());
        for place in picked {
            if let Some(claim) = self.take(place) {
                if place.0 + 1 < times {
                    self.put(place.0 + 1, claim.clone());
                }
                claims.push(claim);
            }
        }
        claims
    }

    /// Another has said the same: it needs to be said once less.
    pub fn heard(&mut self, claim: &Claim, times: u32) {
        let same = |held: &Claim| {
            held.state == claim.state
                && held.record.generation == claim.record.generation
                && held.record.incarnation == claim.record.incarnation
                && (claim.state != State::Suspect || held.by == claim.by)
        };
        let places = self.about.get(&claim.record.name).cloned().unwrap_or_default();
        let found = places.into_iter().find(|place| self.words.get(place).is_some_and(same));
        if let Some(place) = found
            && let Some(claim) = self.take(place)
            && place.0 + 1 < times
        {
            self.put(place.0 + 1, claim);
        }
    }
}
