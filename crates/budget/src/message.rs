//! Messages between holders, voters and allocators, and their encoding: the bytes `cb`, the format version (1 byte),
//! the digest of the configuration (8 bytes), the body (postcard), and a checksum over all of these (4 bytes).

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of limits in a configuration.
pub const MAX_LIMITS: usize = 32;
const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 11;
const CHECKSUM_BYTES: usize = 4;
const MAX_DATAGRAM_BYTES: usize = 1200;

/// Ballot of a candidate: unique to it, and a later ballot is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Term number.
    pub term: u64,
    /// Identifier of the candidate's process, unique to its start.
    pub id: u64,
}

/// A protocol message.
// Postcard encodes variants and fields by their order, so the order must not change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// A candidate requests a voter's vote, or its renewal.
    VoteRequest {
        /// Ballot of the candidate.
        ballot: Ballot,
        /// Number of the request.
        nonce: u64,
    },
    /// A voter's response to a vote request.
    VoteResponse {
        /// Index of the voter.
        voter: u8,
        /// Greatest term that the voter has voted in.
        term: u64,
        /// Number of the request.
        nonce: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// A holder reports what it holds and requests a lease for what it needs.
    LeaseRequest {
        /// Identifier of the holder's process, unique to its start.
        holder: u64,
        /// Sequence number of the holder's request.
        seq: u64,
        /// The holder ignores allocators older than this ballot.
        promised: Ballot,
        /// Weight of the holder in the division.
        weight: u32,
        /// Amounts that the holder has, one for each limit, in thousandths.
        held: Vec<u64>,
        /// Amounts that the holder needs, one for each limit, in thousandths.
        demand: Vec<u64>,
        /// The holder shuts down and returns what it has.
        leaving: bool,
    },
    /// An allocator's response to a lease request. The lease runs from when the request was sent.
    LeaseGrant {
        /// Ballot of the allocator.
        ballot: Ballot,
        /// Sequence number of the request.
        seq: u64,
        /// Shares granted, one for each limit, in thousandths.
        shares: Vec<u64>,
    },
    /// An allocator's response to a holder that has not promised its ballot yet: it has to promise, then request again.
    PromiseRequest {
        /// Ballot of the allocator.
        ballot: Ballot,
    },
    /// Response of a voter that is not the allocator: the candidate that has its vote.
    AllocatorHint {
        /// IP address and port.
        allocator: (u32, u16),
    },
}

/// Reason why a datagram was not decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// Not a message, truncated, or corrupted.
    Malformed,
    /// The sender has another configuration.
    OtherConfig,
    /// The format version is not supported.
    UnsupportedFormat,
}

/// Whether a datagram belongs to this protocol.
pub fn is_budget_datagram(bytes: &[u8]) -> bool {
    bytes.starts_with(b"cb")
}

/// Encodes a message.
pub fn encode(digest: u64, message: &Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    bytes.extend_from_slice(b"cb");
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(&digest.to_le_bytes());
    // Serializing these types can't fail; if it did, the receiver would drop the empty body as malformed.
    bytes.extend_from_slice(&postcard::to_stdvec(message).unwrap_or_default());
    let checksum = xxh3_64(&bytes) as u32;
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes a datagram of a sender with this digest and number of limits.
pub fn decode(digest: u64, limits: usize, bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() < HEADER_BYTES + CHECKSUM_BYTES
        || bytes.len() > MAX_DATAGRAM_BYTES
        || !is_budget_datagram(bytes)
    {
        return Err(DecodeError::Malformed);
    }
    let (covered, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if (xxh3_64(covered) as u32).to_le_bytes() != checksum {
        return Err(DecodeError::Malformed);
    }
    if covered[2] != FORMAT_VERSION {
        return Err(DecodeError::UnsupportedFormat);
    }
    // Under another configuration the same numbers mean other shares of other limits.
    if covered[3..HEADER_BYTES] != digest.to_le_bytes() {
        return Err(DecodeError::OtherConfig);
    }
    let message = match postcard::take_from_bytes::<Message>(&covered[HEADER_BYTES..]) {
        Ok((message, [])) => message,
        _ => return Err(DecodeError::Malformed),
    };
    let fits = match &message {
        Message::LeaseRequest { held, demand, .. } => held.len() == limits && demand.len() == limits,
        Message::LeaseGrant { shares, .. } => shares.len() == limits,
        _ => true,
    };
    if fits { Ok(message) } else { Err(DecodeError::Malformed) }
}

#[cfg(test)]
mod tests;
