//! Snapshots: taken at fixed indices, so that they are equal on all replicas, and transferred in chunks.

use super::{Log, StateMachine};
use crate::chain::{Chain, Position, Snapshot, VoterSet};
use crate::config::Time;
use crate::message::{Body, SnapshotChunk, SnapshotRequest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum size of a chunk, in bytes.
const CHUNK_SIZE: usize = 8 << 10;
/// Maximum size of a snapshot, in bytes.
const MAX_SNAPSHOT_SIZE: usize = 16 << 20;
/// A chunk that has not arrived within this time is requested again, from another member.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(400);
/// A transfer is abandoned after this many chunk timeouts.
const MAX_CHUNK_TIMEOUTS: u32 = 20;

/// The content of an encoded snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotContent {
    voters: VoterSet,
    voters_index: u64,
    /// The state machine's own snapshot.
    state: Vec<u8>,
}

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    position: Position,
    digest: u64,
    total: usize,
    received: Vec<u8>,
    last_progress: Time,
    began: Time,
}

impl SnapshotTransfer {
    fn new(chunk: &SnapshotChunk, now: Time) -> SnapshotTransfer {
        SnapshotTransfer {
            position: chunk.position,
            digest: chunk.digest,
            total: chunk.total as usize,
            received: Vec::new(),
            last_progress: now,
            began: now,
        }
    }

    /// The request for the next chunk.
    fn request(&self) -> Body {
        let offset = self.received.len() as u32;
        Body::SnapshotRequest(SnapshotRequest { position: self.position, digest: self.digest, offset })
    }

    fn is_complete(&self) -> bool {
        self.received.len() >= self.total
    }

    /// Decodes the received bytes; `None` unless they are complete and match the digest.
    fn decode(&self) -> Option<SnapshotContent> {
        let intact = self.received.len() == self.total && xxh3_64(&self.received) == self.digest;
        intact.then(|| postcard::from_bytes(&self.received).ok()).flatten()
    }
}

impl<M: StateMachine> Log<M> {
    /// Takes a snapshot of the current state.
    pub(super) fn take_snapshot(&mut self) {
        let content = SnapshotContent {
            voters: self.voters.clone(),
            voters_index: self.voters_index,
            state: self.machine.snapshot(),
        };
        let bytes = postcard::to_stdvec(&content).unwrap_or_default();
        let digest = xxh3_64(&bytes);
        self.snapshot = Some(Snapshot { position: self.chain.last(), digest, bytes: bytes.into() });
    }

    /// Sends a chunk of the last snapshot, if there is one.
    pub(super) fn send_snapshot_chunk(&mut self, to: SocketAddrV4, offset: usize) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let end = (offset + CHUNK_SIZE).min(snapshot.bytes.len());
        let Some(bytes) = snapshot.bytes.get(offset..end) else { return };
        let chunk = SnapshotChunk {
            position: snapshot.position,
            digest: snapshot.digest,
            total: snapshot.bytes.len() as u32,
            offset: offset as u32,
            bytes: bytes.to_vec(),
        };
        self.send(to, &Body::SnapshotChunk(chunk));
    }

    /// Handles the request for a chunk. If the local snapshot is not the requested one, it is sent from its
    /// beginning.
    pub(super) fn handle_snapshot_request(&mut self, from: SocketAddrV4, request: &SnapshotRequest) {
        let same = self.snapshot.as_ref().is_some_and(|snapshot| {
            snapshot.position == request.position && snapshot.digest == request.digest
        });
        self.send_snapshot_chunk(from, if same { request.offset as usize } else { 0 });
    }

    /// Handles a chunk: requests the next one, or installs the snapshot.
    pub(super) fn handle_snapshot_chunk(&mut self, now: Time, from: SocketAddrV4, chunk: SnapshotChunk) {
        let outdated = !chunk.position.beyond(self.position()) && self.config.features.monotonic_position;
        if outdated || chunk.total as usize > MAX_SNAPSHOT_SIZE || chunk.bytes.is_empty() {
            return;
        }
        self.begin_transfer_if_newer(now, &chunk);
        let Some(transfer) = &mut self.transfer else { return };
        if transfer.digest != chunk.digest || transfer.received.len() != chunk.offset as usize {
            return;
        }
        transfer.received.extend_from_slice(&chunk.bytes);
        transfer.last_progress = now;
        if !transfer.is_complete() {
            let request = transfer.request();
            self.send(from, &request);
            return;
        }
        if let Some(transfer) = self.transfer.take() {
            self.install(now, from, transfer);
        }
    }

    fn begin_transfer_if_newer(&mut self, now: Time, chunk: &SnapshotChunk) {
        let newer = self.transfer.as_ref().is_none_or(|transfer| {
            transfer.digest != chunk.digest && chunk.position.beyond(transfer.position)
        });
        if newer && chunk.offset == 0 {
            self.transfer = Some(SnapshotTransfer::new(chunk, now));
        }
    }

    /// Installs a received snapshot. An invalid one leaves the replica unchanged.
    fn install(&mut self, now: Time, from: SocketAddrV4, transfer: SnapshotTransfer) {
        let content = transfer.decode();
        let restored = content.and_then(|content| Some((M::restore(&content.state)?, content)));
        let Some((machine, content)) = restored else {
            self.counters.invalid_snapshots += 1;
            return;
        };
        let SnapshotTransfer { position, digest, received, .. } = transfer;
        self.machine = machine;
        self.voters = content.voters;
        self.voters_index = content.voters_index;
        self.chain = Chain::after_snapshot(position);
        self.snapshot = Some(Snapshot { position, digest, bytes: received.into() });
        self.counters.snapshots += 1;
        self.update_voter(now);
        self.request_entries(now, from);
    }

    /// Requests an overdue chunk again, or abandons a transfer that takes too long or is no longer needed.
    pub(super) fn continue_transfer(&mut self, now: Time) {
        let Some(transfer) = &mut self.transfer else { return };
        let expired = transfer.began + CHUNK_TIMEOUT * MAX_CHUNK_TIMEOUTS < now;
        if expired || !transfer.position.beyond(self.chain.last()) {
            self.transfer = None;
            return;
        }
        if transfer.last_progress + CHUNK_TIMEOUT < now {
            transfer.last_progress = now;
            let request = transfer.request();
            if let Some(peer) = self.random_peer() {
                self.send(peer, &request);
            }
        }
    }
}

#[cfg(test)]
mod tests;
