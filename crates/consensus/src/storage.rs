//! In-memory storage of the `omnipaxos` instance of one epoch; it is dropped with the epoch.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

/// An encoded log entry, opaque to `omnipaxos`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EncodedEntry(pub Vec<u8>);

impl Entry for EncodedEntry {
    type Snapshot = NoSnapshot;
}

/// What a voter has promised and accepted in one epoch. Nothing is trimmed, because the length of an epoch is
/// limited.
#[derive(Debug, Default)]
pub struct EpochStorage {
    log: Vec<EncodedEntry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    stop: Option<StopSign>,
}

impl Storage<EncodedEntry> for EpochStorage {
    fn write_atomically(&mut self, ops: Vec<StorageOp<EncodedEntry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.log.push(entry),
                StorageOp::AppendEntries(entries) => self.log.extend(entries),
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.promise = Some(ballot),
                StorageOp::SetDecidedIndex(index) => self.decided = index,
                StorageOp::SetAcceptedRound(ballot) => self.accepted = Some(ballot),
                StorageOp::SetStopsign(stop) => self.stop = stop,
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: EncodedEntry) -> StorageResult<()> {
        self.log.push(entry);
        Ok(())
    }

    fn append_entries(&mut self, entries: Vec<EncodedEntry>) -> StorageResult<()> {
        self.log.extend(entries);
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<EncodedEntry>) -> StorageResult<()> {
        self.log.truncate(from);
        self.log.extend(entries);
        Ok(())
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.promise = Some(promise);
        Ok(())
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        self.decided = decided;
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }

    fn set_accepted_round(&mut self, accepted: Ballot) -> StorageResult<()> {
        self.accepted = Some(accepted);
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<EncodedEntry>> {
        Ok(self.log.get(from..to).map(<[EncodedEntry]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<EncodedEntry>> {
        Ok(self.log.get(from..).map(<[EncodedEntry]>::to_vec).unwrap_or_default())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        self.stop = stop;
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.stop.clone())
    }

    fn trim(&mut self, _index: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _index: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
