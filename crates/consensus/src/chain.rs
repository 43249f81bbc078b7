//! The chain of what is agreed: entries, each tied to the one before by a checksum, and snapshots at fixed places.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An epoch; those of a later founding are later, whatever their number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// How often the log was begun anew by an operator's word, and by which founder: see [`Epoch::times`]. 0: never.
    pub founding: u64,
    /// Which since then.
    pub number: u32,
}

/// The founder's own bits of a founding's number. Danger: with none, two founders could take one number when a keeper
/// forgets between them which of the two it gave its voice.
pub(crate) const FOUNDER: u32 = 20;

impl Epoch {
    /// How often the log was begun anew.
    pub fn times(self) -> u64 {
        self.founding >> FOUNDER
    }
}

/// Who agrees in an epoch: for each keeper's place the start of the process that has the seat; 0 for nobody.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Council {
    /// Which epoch.
    pub epoch: Epoch,
    /// The starts.
    pub seats: Vec<u64>,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Item {
    /// A word.
    Word(Vec<u8>),
    /// An epoch ends, and the next begins.
    Council(Council),
}

impl Item {
    pub(crate) fn size(&self) -> usize {
        match self {
            Item::Word(bytes) => bytes.len() + 8,
            Item::Council(council) => council.seats.len() * 10 + 16,
        }
    }

    fn sum(&self, before: u64, index: u64) -> u64 {
        let seed = before ^ index.rotate_left(32);
        match self {
            Item::Word(bytes) => xxh3_64_with_seed(bytes, seed),
            // Our own types always have a form.
            Item::Council(council) => {
                xxh3_64_with_seed(&postcard::to_stdvec(council).unwrap_or_default(), !seed)
            }
        }
    }
}

impl Place {
    /// Whether it is further on than another.
    pub fn beyond(self, other: Place) -> bool {
        (self.founding, self.index) > (other.founding, other.index)
    }
}

/// A place in the log: nobody goes back to an older one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The founding.
    pub founding: u64,
    /// The index; entries count from 1.
    pub index: u64,
    /// The checksum of all entries up to it.
    pub sum: u64,
}

/// A snapshot: all that came before a place.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    pub place: Place,
    pub digest: u64,
    pub bytes: Rc<[u8]>,
}

/// So many entries behind the last snapshot are kept for those who are a little behind.
const BEHIND: u64 = 128;
/// Snapshots are taken at multiples of this, so that they are equal everywhere.
pub(crate) const EVERY: u64 = 64;

/// The chain as far as it is kept.
#[derive(Debug, Default)]
pub(crate) struct Chain {
    last: Place,
    /// The place before the first entry that is kept.
    before: (u64, u64),
    entries: VecDeque<(u64, Item)>,
}

impl Chain {
    /// A chain that begins behind a snapshot.
    pub fn behind(place: Place) -> Chain {
        Chain { last: place, before: (place.index, place.sum), entries: VecDeque::new() }
    }

    pub fn last(&self) -> Place {
        self.last
    }

    pub fn push(&mut self, item: Item) {
        let index = self.last.index + 1;
        let sum = item.sum(self.last.sum, index);
        if let Item::Council(council) = &item {
            self.last.founding = council.epoch.founding;
        }
        (self.last.index, self.last.sum) = (index, sum);
        self.entries.push_back((sum, item));
    }

    /// Lets go of what is far behind.
    pub fn trim(&mut self) {
        while self.entries.len() as u64 > BEHIND + EVERY
            && let Some((sum, _)) = self.entries.pop_front()
        {
            self.before = (self.before.0 + 1, sum);
        }
    }

    /// The checksum at an index, if it is still kept.
    pub fn sum_at(&self, index: u64) -> Option<u64> {
        if index == self.before.0 {
            return Some(self.before.1);
        }
        let at = index.checked_sub(self.before.0 + 1)?;
        self.entries.get(at as usize).map(|(sum, _)| *sum)
    }

    /// The entry at an index, if it is still kept.
    pub fn entry(&self, index: u64) -> Option<&Item> {
        let at = index.checked_sub(self.before.0 + 1)?;
        self.entries.get(at as usize).map(|(_, item)| item)
    }

    /// Entries after an index, so many bytes of them, one at least.
    pub fn after(&self, index: u64, most: usize) -> Vec<Item> {
        let from = index.saturating_sub(self.before.0) as usize;
        let mut room = most;
        let fits = |(_, item): &&(u64, Item)| {
            let fits = item.size() <= room || room == most;
            room = room.saturating_sub(item.size());
            fits
        };
        self.entries.iter().skip(from).take_while(fits).map(|(_, item)| item.clone()).collect()
    }
}
