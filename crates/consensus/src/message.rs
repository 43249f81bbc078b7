//! Messages and their wire format: `cl`, the format, the digest of fleet and voters (8 bytes), the body (postcard), a
//! checksum (4 bytes) over all bytes before it.

use crate::chain::{Entry, Epoch, Position, VoterSet};
use crate::storage::EncodedEntry;
use omnipaxos::messages::Message as Agreement;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use xxhash_rust::xxh3::xxh3_64;

const FORMAT: u8 = 1;
const HEADER_SIZE: usize = 11;
const CHECKSUM_SIZE: usize = 4;
/// The longest message, in bytes.
pub const MAX_MESSAGE: usize = 96 << 10;
/// The longest command, in bytes.
pub const MAX_COMMAND: usize = 32 << 10;

/// The sender of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sender {
    pub ip: u32,
    pub port: u16,
    /// The start of its process; a later process has a higher one.
    pub start: u64,
}

impl Sender {
    /// The process at `address` with this start.
    pub fn new(address: SocketAddrV4, start: u64) -> Sender {
        Sender { ip: u32::from(*address.ip()), port: address.port(), start }
    }

    /// Its address.
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }
}

/// Entries that follow an index.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EntryBatch {
    /// The index before the first entry.
    pub after: u64,
    /// The checksum at that index.
    pub sum: u64,
    pub entries: Vec<Entry>,
}

/// One chunk of an encoded snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SnapshotChunk {
    /// The snapshot's position.
    pub position: Position,
    /// The digest of all its bytes.
    pub digest: u64,
    /// Its length in bytes.
    pub total: u32,
    /// Where the chunk begins.
    pub offset: u32,
    pub bytes: Vec<u8>,
}

/// A request for the next chunk of a snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SnapshotRequest {
    pub position: Position,
    pub digest: u64,
    pub offset: u32,
}

/// The answer to a bootstrap query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BootstrapStatus {
    /// The query's nonce.
    pub nonce: u64,
    pub position: Position,
    /// The leader, if the sender is a voter and knows one.
    pub leader: Option<u8>,
    /// The last bootstrap that the sender voted for or knows.
    pub last_vote: u64,
}

/// A vote for or against a bootstrap.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BootstrapVote {
    /// The nonce of the vote request.
    pub nonce: u64,
    pub bootstrap: u64,
    pub granted: bool,
}

/// A message's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Body {
    /// A message of the agreement within an epoch, the `count`th from its sender to its receiver.
    Agreement { epoch: Epoch, count: u64, message: Agreement<EncodedEntry> },
    /// A command to be agreed on.
    Propose(Vec<u8>),
    /// The sender's position, and whether it asks for what it lacks.
    Position { position: Position, wants: bool },
    /// Entries after an index.
    Entries(EntryBatch),
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The request for a chunk.
    SnapshotRequest(SnapshotRequest),
    /// The first question of a bootstrap: what do you hold?
    BootstrapQuery { nonce: u64 },
    /// The answer.
    BootstrapStatus(BootstrapStatus),
    /// The request to vote for a bootstrap with these voters.
    BootstrapVoteRequest { nonce: u64, voters: VoterSet },
    /// The vote.
    BootstrapVote(BootstrapVote),
    /// Data of the log's user, which the log passes on unread.
    OutOfBand(Vec<u8>),
}

/// Why a message was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// It is no message of this protocol, or fails its checksum.
    Garbled,
    /// It belongs to another fleet, or to other voters.
    Foreign,
}

/// Whether a message is one of this protocol.
pub fn is_consensus_message(bytes: &[u8]) -> bool {
    bytes.starts_with(b"cl")
}

/// A message in its wire format.
pub(crate) fn encode(digest: u64, from: Sender, body: &Body) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    bytes.extend_from_slice(b"cl");
    bytes.push(FORMAT);
    bytes.extend_from_slice(&digest.to_le_bytes());
    // Our own types always serialize; an empty body would be refused as garbled.
    bytes.extend_from_slice(&postcard::to_stdvec(&(from, body)).unwrap_or_default());
    let sum = xxh3_64(&bytes) as u32;
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Reads a message.
pub(crate) fn decode(digest: u64, bytes: &[u8]) -> Result<(Sender, Body), DecodeError> {
    if bytes.len() < HEADER_SIZE + CHECKSUM_SIZE || bytes.len() > MAX_MESSAGE || !is_consensus_message(bytes)
    {
        return Err(DecodeError::Garbled);
    }
    let (covered, tail) = bytes.split_at(bytes.len() - CHECKSUM_SIZE);
    if (xxh3_64(covered) as u32).to_le_bytes() != tail || covered[2] != FORMAT {
        return Err(DecodeError::Garbled);
    }
    // With other voters the same indices are other processes.
    if covered[3..HEADER_SIZE] != digest.to_le_bytes() {
        return Err(DecodeError::Foreign);
    }
    match postcard::take_from_bytes(&covered[HEADER_SIZE..]) {
        Ok((message, [])) => Ok(message),
        _ => Err(DecodeError::Garbled),
    }
}

#[cfg(test)]
mod tests;
