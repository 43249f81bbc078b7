//! Messages between members and their wire format.
//!
//! A message is `cl`, the format (1 byte), the digest of fleet and voters (8 bytes), sender and body (postcard), and
//! a checksum (4 bytes) over all bytes before it.

use crate::chain::{Entry, Epoch, Position, VoterSet};
use crate::storage::EncodedEntry;
use omnipaxos::messages::Message as OmniPaxosMessage;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use xxhash_rust::xxh3::xxh3_64;

const MAGIC: &[u8; 2] = b"cl";
const FORMAT: u8 = 1;
const HEADER_SIZE: usize = 11;
const CHECKSUM_SIZE: usize = 4;
/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE: usize = 96 << 10;
/// Maximum length of a command, in bytes.
pub const MAX_COMMAND: usize = 32 << 10;

/// The sender of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sender {
    pub ip: u32,
    pub port: u16,
    /// The start number of the sender's process; a later process at the same address has a higher one.
    pub start: u64,
}

impl Sender {
    /// The process at `address` with this start number.
    pub fn new(address: SocketAddrV4, start: u64) -> Sender {
        Sender { ip: u32::from(*address.ip()), port: address.port(), start }
    }

    /// The sender's address.
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }
}

/// Consecutive entries of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EntryBatch {
    /// The index before the first entry.
    pub after: u64,
    /// The checksum up to that index.
    pub sum: u64,
    pub entries: Vec<Entry>,
}

/// A chunk of an encoded snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SnapshotChunk {
    /// The snapshot's position.
    pub position: Position,
    /// The digest of the whole snapshot.
    pub digest: u64,
    /// The snapshot's length in bytes.
    pub total: u32,
    /// The offset of the chunk in the snapshot.
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
    /// The ID of the last bootstrap that the sender voted for or knows.
    pub last_vote: u64,
}

/// A vote for or against a bootstrap.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BootstrapVote {
    /// The nonce of the vote request.
    pub nonce: u64,
    pub bootstrap_id: u64,
    pub granted: bool,
}

/// A message's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Body {
    /// A message of the epoch's `omnipaxos` instance: the `count`th of its channel from this sender to this receiver.
    OmniPaxos { epoch: Epoch, count: u64, message: OmniPaxosMessage<EncodedEntry> },
    /// A command that the receiver, a voter, is to propose.
    Propose(Vec<u8>),
    /// The sender's position. A receiver that is further on sends the entries that the sender lacks; one that is behind
    /// requests entries, and with `unthrottled` does so regardless of the minimum interval between requests.
    Position { position: Position, unthrottled: bool },
    /// Entries after an index.
    Entries(EntryBatch),
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The request for the next chunk.
    SnapshotRequest(SnapshotRequest),
    /// The query of a bootstrap: asks for the receiver's position, leader and last vote.
    BootstrapQuery { nonce: u64 },
    /// The answer to the query.
    BootstrapStatus(BootstrapStatus),
    /// The request to vote for a bootstrap that begins with this voter set.
    BootstrapVoteRequest { nonce: u64, voters: VoterSet },
    /// The answer to the vote request.
    BootstrapVote(BootstrapVote),
    /// Data of the log's user, opaque to the log.
    OutOfBand(Vec<u8>),
}

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// Not a message of this protocol, or its checksum does not match.
    Garbled,
    /// Of another fleet, or of a fleet with other voters.
    Foreign,
}

/// Whether a message belongs to this protocol, by its first bytes.
pub fn is_consensus_message(bytes: &[u8]) -> bool {
    bytes.starts_with(MAGIC)
}

/// Encodes a message.
pub(crate) fn encode(digest: u64, from: Sender, body: &Body) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    bytes.extend_from_slice(MAGIC);
    bytes.push(FORMAT);
    bytes.extend_from_slice(&digest.to_le_bytes());
    // Serializing cannot fail; receivers would reject an empty body as garbled.
    bytes.extend_from_slice(&postcard::to_stdvec(&(from, body)).unwrap_or_default());
    let sum = xxh3_64(&bytes) as u32;
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Decodes a message.
pub(crate) fn decode(digest: u64, bytes: &[u8]) -> Result<(Sender, Body), DecodeError> {
    if bytes.len() < HEADER_SIZE + CHECKSUM_SIZE || bytes.len() > MAX_MESSAGE || !is_consensus_message(bytes)
    {
        return Err(DecodeError::Garbled);
    }
    let (covered, tail) = bytes.split_at(bytes.len() - CHECKSUM_SIZE);
    if (xxh3_64(covered) as u32).to_le_bytes() != tail || covered[2] != FORMAT {
        return Err(DecodeError::Garbled);
    }
    // With other voters, an index would stand for another process.
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
