//! Where a keeper's part in an epoch keeps what it has promised and accepted: in memory, and no longer than its epoch.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

/// A word as the log holds it: bytes that only the plan reads.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word(pub Vec<u8>);

impl Entry for Word {
    type Snapshot = NoSnapshot;
}

/// The memory of one keeper in one epoch. Nothing of it is ever trimmed: an epoch ends when it is long enough.
#[derive(Debug, Default)]
pub struct Memory {
    log: Vec<Word>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    stop: Option<StopSign>,
}

impl Storage<Word> for Memory {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Word>>) -> StorageResult<()> {
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

    fn append_entry(&mut self, entry: Word) -> StorageResult<()> {
        self.log.push(entry);
        Ok(())
    }

    fn append_entries(&mut self, entries: Vec<Word>) -> StorageResult<()> {
        self.log.extend(entries);
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Word>) -> StorageResult<()> {
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

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Word>> {
        Ok(self.log.get(from..to).map(<[Word]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Word>> {
        Ok(self.log.get(from..).map(<[Word]>::to_vec).unwrap_or_default())
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
