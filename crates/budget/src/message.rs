//! Messages between holders, keepers and dividers, and their form on the wire: `cb`, the format, the digest of the
//! budgets (8 bytes), the body (postcard), a checksum (4 bytes) over all before it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Wholes that a file may name.
pub const MAX_WHOLES: usize = 32;
const FORMAT: u8 = 1;
const HEAD: usize = 11;
const TAIL: usize = 4;
const MAX: usize = 1200;

/// A term of a divider: nobody had it before, and a later one is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Its number.
    pub term: u64,
    /// The divider's start.
    pub id: u64,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// A candidate wants a keeper's vote, or has it renewed.
    Vote {
        /// For this term of this candidate.
        ballot: Ballot,
        /// Which question.
        nonce: u64,
    },
    /// A keeper's answer.
    Voted {
        /// Which of the keepers.
        keeper: u8,
        /// The greatest term it knows.
        term: u64,
        /// To which question.
        nonce: u64,
        /// Whether the vote is given.
        given: bool,
    },
    /// A holder says what it has and needs.
    Ask {
        /// Which start of which sidecar.
        holder: u64,
        /// Which question of it.
        seq: u64,
        /// It hears no divider older than this.
        promised: Ballot,
        /// How much it counts.
        weight: u32,
        /// What it has, in thousandths, for each whole.
        have: Vec<u64>,
        /// What it needs.
        want: Vec<u64>,
        /// It ends; what it has is given back.
        leaving: bool,
    },
    /// A divider's answer: the parts, from when the question was asked.
    Grant {
        /// The divider.
        ballot: Ballot,
        /// To which question.
        seq: u64,
        /// The parts, in thousandths.
        parts: Vec<u64>,
    },
    /// A divider's answer to who has not promised yet: promise, then ask.
    Promise {
        /// The divider.
        ballot: Ballot,
    },
    /// A keeper that is no divider names the one that has its vote.
    Hint {
        /// Where it is: IP address and port.
        divider: (u32, u16),
    },
}

/// Why a message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It is none, or was cut, or a byte was turned over.
    Garbled,
    /// Its sender has another file.
    Foreign,
    /// It is in a format that is not spoken.
    Format,
}

/// Whether a datagram is meant for budgets.
pub fn is_ours(bytes: &[u8]) -> bool {
    bytes.starts_with(b"cb")
}

/// The form on the wire.
pub fn encode(digest: u64, message: &Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    bytes.extend_from_slice(b"cb");
    bytes.push(FORMAT);
    bytes.extend_from_slice(&digest.to_le_bytes());
    // Our own types always have a form; without one the message would be refused as garbled.
    bytes.extend_from_slice(&postcard::to_stdvec(message).unwrap_or_default());
    let sum = xxh3_64(&bytes) as u32;
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Reads it.
pub fn decode(digest: u64, wholes: usize, bytes: &[u8]) -> Result<Message, Refused> {
    if bytes.len() < HEAD + TAIL || bytes.len() > MAX || !is_ours(bytes) {
        return Err(Refused::Garbled);
    }
    let (covered, tail) = bytes.split_at(bytes.len() - TAIL);
    if (xxh3_64(covered) as u32).to_le_bytes() != tail {
        return Err(Refused::Garbled);
    }
    if covered[2] != FORMAT {
        return Err(Refused::Format);
    }
    // Danger: under another file the same numbers mean other parts of another whole.
    if covered[3..HEAD] != digest.to_le_bytes() {
        return Err(Refused::Foreign);
    }
    let message = match postcard::take_from_bytes::<Message>(&covered[HEAD..]) {
        Ok((message, [])) => message,
        _ => return Err(Refused::Garbled),
    };
    let fits = match &message {
        Message::Ask { have, want, .. } => have.len() == wholes && want.len() == wholes,
        Message::Grant { parts, .. } => parts.len() == wholes,
        _ => true,
    };
    if fits { Ok(message) } else { Err(Refused::Garbled) }
}

#[cfg(test)]
mod tests;
