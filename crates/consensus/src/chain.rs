//! The chain of decided entries. Each entry has a checksum that covers all entries before it.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An epoch. Epochs are ordered by bootstrap first: an epoch of a later bootstrap is later, whatever its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// The ID of the bootstrap: the number of bootstraps so far ([`Epoch::bootstrap_count`]) above random bits; 0 if
    /// there was none.
    pub bootstrap_id: u64,
    /// The number of epochs since the bootstrap.
    pub number: u32,
}

/// The low bits of a bootstrap ID are random. Without them, two members could use the same ID, and a voter that
/// restarts in between could vote for both.
pub(crate) const BOOTSTRAP_RANDOM_BITS: u32 = 20;

impl Epoch {
    /// The number of bootstraps of the log so far.
    pub fn bootstrap_count(self) -> u64 {
        self.bootstrap_id >> BOOTSTRAP_RANDOM_BITS
    }
}

/// The voters of an epoch: for each configured voter, the start number of the process that may vote, or 0 for none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    /// The epoch.
    pub epoch: Epoch,
    /// The start numbers of the voters' processes, by voter index.
    pub starts: Vec<u64>,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The end of an epoch, with the voters of the next.
    Voters(VoterSet),
}

impl Entry {
    /// An estimate of its encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Entry::Command(bytes) => bytes.len() + 8,
            Entry::Voters(voters) => voters.starts.len() * 10 + 16,
        }
    }

    /// The chain's checksum up to this entry at `index`; `before` is the checksum up to the entry before it.
    fn sum(&self, before: u64, index: u64) -> u64 {
        let seed = before ^ index.rotate_left(32);
        match self {
            Entry::Command(bytes) => xxh3_64_with_seed(bytes, seed),
            // Serializing a voter set cannot fail.
            Entry::Voters(voters) => {
                xxh3_64_with_seed(&postcard::to_stdvec(voters).unwrap_or_default(), !seed)
            }
        }
    }
}

/// A position in the log. A replica never goes back to an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The ID of the bootstrap that began the log's current history.
    pub bootstrap_id: u64,
    /// The index of the last entry; the first entry has index 1.
    pub index: u64,
    /// The checksum of all entries up to this index.
    pub sum: u64,
}

impl Position {
    /// Whether this position is further on than `other`.
    pub fn beyond(self, other: Position) -> bool {
        (self.bootstrap_id, self.index) > (other.bootstrap_id, other.index)
    }
}

/// The encoded state after all entries up to a position, with its digest.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    pub position: Position,
    pub digest: u64,
    pub bytes: Rc<[u8]>,
}

/// Number of entries before the last snapshot that are kept for replicas that lag a little.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 128;
/// Snapshots are taken at multiples of this index, so that they are equal on all replicas.
pub(crate) const SNAPSHOT_INTERVAL: u64 = 64;

/// An entry and the chain's checksum up to it.
#[derive(Debug)]
struct ChainedEntry {
    sum: u64,
    entry: Entry,
}

/// The most recent entries of the log, with their checksums.
#[derive(Debug, Default)]
pub(crate) struct Chain {
    last: Position,
    /// The index before the first kept entry.
    base_index: u64,
    /// The checksum up to `base_index`.
    base_sum: u64,
    entries: VecDeque<ChainedEntry>,
}

impl Chain {
    /// A chain without entries that continues after a snapshot.
    pub fn after_snapshot(position: Position) -> Chain {
        let (base_index, base_sum) = (position.index, position.sum);
        Chain { last: position, base_index, base_sum, entries: VecDeque::new() }
    }

    /// The last position.
    pub fn last(&self) -> Position {
        self.last
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        let index = self.last.index + 1;
        let sum = entry.sum(self.last.sum, index);
        if let Entry::Voters(voters) = &entry {
            self.last.bootstrap_id = voters.epoch.bootstrap_id;
        }
        self.last.index = index;
        self.last.sum = sum;
        self.entries.push_back(ChainedEntry { sum, entry });
    }

    /// Drops the oldest entries beyond the number to keep.
    pub fn trim(&mut self) {
        while self.entries.len() as u64 > ENTRIES_BEFORE_SNAPSHOT + SNAPSHOT_INTERVAL
            && let Some(dropped) = self.entries.pop_front()
        {
            self.base_index += 1;
            self.base_sum = dropped.sum;
        }
    }

    /// The checksum up to an index, if it is still kept.
    pub fn sum_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_sum);
        }
        self.get(index).map(|chained| chained.sum)
    }

    /// The entry at an index, if it is still kept.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.get(index).map(|chained| &chained.entry)
    }

    fn get(&self, index: u64) -> Option<&ChainedEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The entries after an index: at most `max_size` bytes of them, but at least one entry.
    pub fn after(&self, index: u64, max_size: usize) -> Vec<Entry> {
        let from = index.saturating_sub(self.base_index) as usize;
        let mut remaining = max_size;
        let fits = |entry: &&Entry| {
            let fits = entry.size() <= remaining || remaining == max_size;
            remaining = remaining.saturating_sub(entry.size());
            fits
        };
        let entries = self.entries.iter().skip(from).map(|chained| &chained.entry);
        entries.take_while(fits).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
