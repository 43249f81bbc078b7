//! Replication: members send one another their positions, and the entries that the other one lacks.

use super::{Log, StateMachine};
use crate::chain::{Chain, Entry, Position, SNAPSHOT_INTERVAL, VoterSet};
use crate::config::Time;
use crate::message::{Body, EntryBatch};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of members to which new entries are passed on at once.
const ENTRY_FANOUT: usize = 3;
/// Maximum size of the entries in one message, in bytes.
pub(super) const MAX_BATCH_SIZE: usize = 32 << 10;
/// Minimum interval between two requests for entries.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The entries of a batch that are new to the chain.
struct NewEntries {
    entries: Vec<Entry>,
}

/// A batch and the chain hold different entries at one index.
struct Conflict {
    index: u64,
    /// One of the entries begins a bootstrap's history. That is no error: two bootstraps may begin at the same index.
    between_bootstraps: bool,
}

impl<M: StateMachine> Log<M> {
    /// Sends the local position to a random member. A voter without a vote sends it to all voters, because the
    /// leader, which alone can readmit it, must learn of it.
    pub(super) fn gossip_position(&mut self) {
        if let Some(peer) = self.random_peer() {
            self.send_position(peer, true);
        }
        let Some(own_index) = self.config.voter_index().filter(|_| self.voter.is_none()) else { return };
        for (index, voter) in self.config.voters.clone().into_iter().enumerate() {
            if index != own_index {
                self.send_position(voter, false);
            }
        }
    }

    /// Sends a member the local position; [`Body::Position`] describes `unthrottled`.
    pub(super) fn send_position(&mut self, to: SocketAddrV4, unthrottled: bool) {
        let position = self.position();
        self.send(to, &Body::Position { position, unthrottled });
    }

    /// A random other member: a near one in three of four cases, or a voter if no peer is known yet.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddrV4> {
        let near: Vec<SocketAddrV4> =
            self.peers.iter().filter(|peer| peer.near).map(|peer| peer.address).collect();
        if !near.is_empty() && self.rng.u8(..4) > 0 {
            return self.rng.choice(near);
        }
        let index = self.rng.usize(..self.peers.len().max(1));
        let known = self.peers.get(index).map(|peer| peer.address);
        let peer = known.or_else(|| self.rng.choice(&self.config.voters).copied());
        peer.filter(|address| *address != self.config.address)
    }

    /// Handles another member's position: sends it the entries that it lacks, or requests those that the local member
    /// lacks.
    pub(super) fn handle_position(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        position: Position,
        unthrottled: bool,
    ) {
        let own = self.position();
        if own.beyond(position) {
            self.send_entries_after(from, position);
        } else if position.beyond(own) && (unthrottled || self.may_request(now)) {
            self.request_entries(now, from);
        }
    }

    fn may_request(&self, now: Time) -> bool {
        now >= self.last_request + REQUEST_INTERVAL
    }

    /// Requests entries from a member, by sending it the local position.
    pub(super) fn request_entries(&mut self, now: Time, from: SocketAddrV4) {
        self.last_request = now;
        self.send_position(from, true);
    }

    fn request_entries_if_due(&mut self, now: Time, from: SocketAddrV4) {
        if self.may_request(now) {
            self.request_entries(now, from);
        }
    }

    /// Sends a member at `position` the next entries, or a snapshot if they are no longer kept or its history
    /// differs.
    fn send_entries_after(&mut self, to: SocketAddrV4, position: Position) {
        let same_history = self.chain.sum_at(position.index) == Some(position.sum)
            && position.bootstrap_id <= self.position().bootstrap_id;
        let entries =
            if same_history { self.chain.after(position.index, MAX_BATCH_SIZE) } else { Vec::new() };
        if entries.is_empty() {
            self.send_snapshot_chunk(to, 0);
        } else {
            let batch = EntryBatch { after: position.index, sum: position.sum, entries };
            self.send(to, &Body::Entries(batch));
        }
    }

    /// Handles received entries. If they do not follow the chain, there is a gap, or the sender has another history;
    /// the local member changes over only to the history of a later bootstrap, by its snapshot.
    pub(super) fn handle_entries(&mut self, now: Time, from: SocketAddrV4, batch: EntryBatch) {
        let follows =
            self.chain.sum_at(batch.after) == Some(batch.sum) || !self.config.features.verify_checksums;
        if batch.after > self.chain.last().index || !follows {
            self.request_entries_if_due(now, from);
            return;
        }
        match new_entries(&self.chain, batch) {
            Ok(NewEntries { entries }) if entries.is_empty() => {}
            Ok(NewEntries { entries }) => {
                self.append(now, entries);
                self.transfer = None;
                // The sender may have more.
                self.request_entries_if_due(now, from);
            }
            Err(Conflict { index, between_bootstraps }) => {
                self.counters.invariant_violations += u64::from(!between_bootstraps);
                debug_assert!(
                    between_bootstraps || !self.config.features.decided_only,
                    "two entries at {index}"
                );
                self.send_position(from, true);
            }
        }
    }

    /// Appends entries, applies them, and passes them on to other members.
    pub(super) fn append(&mut self, now: Time, entries: Vec<Entry>) {
        let from = self.chain.last();
        for entry in entries {
            self.chain.push(entry.clone());
            let bootstrapped = self.apply(entry);
            if self.chain.last().index.is_multiple_of(SNAPSHOT_INTERVAL) || bootstrapped {
                self.take_snapshot();
            }
        }
        self.chain.trim();
        self.update_voter(now);
        self.pass_on_entries_after(from.index);
    }

    /// Applies the last entry of the chain; returns whether it begins the history of a bootstrap.
    fn apply(&mut self, entry: Entry) -> bool {
        let index = self.chain.last().index;
        match entry {
            Entry::Command(command) => {
                self.machine.apply(index, &command);
                self.proposals.retain(|proposal| proposal.command != command);
                false
            }
            Entry::Voters(voters) => self.enter_epoch(voters, index),
        }
    }

    fn enter_epoch(&mut self, voters: VoterSet, index: u64) -> bool {
        let bootstrapped = voters.epoch.bootstrap_id > self.voters.epoch.bootstrap_id;
        self.voters = voters;
        self.voters_index = index;
        self.counters.epochs += 1;
        bootstrapped
    }

    fn pass_on_entries_after(&mut self, index: u64) {
        let entries = self.chain.after(index, MAX_BATCH_SIZE);
        let Some(sum) = self.chain.sum_at(index).filter(|_| !entries.is_empty()) else { return };
        let body = Body::Entries(EntryBatch { after: index, sum, entries });
        for _ in 0..ENTRY_FANOUT {
            if let Some(peer) = self.random_peer() {
                self.send(peer, &body);
            }
        }
    }
}

/// The entries of a batch after the end of the chain; an error if an earlier one differs from the chain's.
fn new_entries(chain: &Chain, batch: EntryBatch) -> Result<NewEntries, Conflict> {
    let known = (chain.last().index - batch.after) as usize;
    let mut entries = batch.entries;
    let new = entries.split_off(known.min(entries.len()));
    for (index, entry) in (batch.after + 1..).zip(&entries) {
        if let Some(own) = chain.entry(index).filter(|own| *own != entry) {
            let between_bootstraps = begins_history(entry) || begins_history(own);
            return Err(Conflict { index, between_bootstraps });
        }
    }
    Ok(NewEntries { entries: new })
}

/// Whether an entry begins the history of a bootstrap.
fn begins_history(entry: &Entry) -> bool {
    matches!(entry, Entry::Voters(voters) if voters.epoch.number == 0)
}
