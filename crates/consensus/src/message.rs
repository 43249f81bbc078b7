//! Messages and their form on the wire: `cl`, the format, the digest of fleet and keepers (8 bytes), the body (postcard), a
//! checksum (4 bytes) over all before it.

use crate::chain::{Council, Epoch, Item, Place};
use crate::memory::Word;
use omnipaxos::messages::Message as Agreement;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use xxhash_rust::xxh3::xxh3_64;

const FORMAT: u8 = 1;
const HEAD: usize = 11;
const TAIL: usize = 4;
/// No message is longer.
pub const MAX_MESSAGE: usize = 96 << 10;
/// No word is longer.
pub const MAX_WORD: usize = 32 << 10;

/// Whose message it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct From {
    pub ip: u32,
    pub port: u16,
    /// The start of its process.
    pub start: u64,
}

impl From {
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Body {
    /// The library's own, within an epoch.
    Agree { epoch: Epoch, count: u64, message: Agreement<Word> },
    /// A word to be agreed on.
    Say(Vec<u8>),
    /// Where it stands.
    Stand { at: Place, wants: bool },
    /// Entries after a place.
    Entries { after: u64, sum: u64, items: Vec<Item> },
    /// A piece of a snapshot.
    Piece { place: Place, digest: u64, total: u32, offset: u32, bytes: Vec<u8> },
    /// The next piece is wanted.
    Want { place: Place, digest: u64, offset: u32 },
    /// Who is there to found anew?
    Census { nonce: u64 },
    /// I am: where it stands, and who leads as far as it knows.
    Counted { nonce: u64, at: Place, leads: Option<u8>, voice: u64 },
    /// A keeper's voice for a founding is wanted.
    Found { nonce: u64, council: Council },
    /// It is given, or not.
    Voice { nonce: u64, founding: u64, given: bool },
    /// Something for who uses the log; it is not read here.
    Aside(Vec<u8>),
}

/// Why a message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    Garbled,
    Foreign,
}

/// Whether bytes are meant for the log.
pub fn is_ours(bytes: &[u8]) -> bool {
    bytes.starts_with(b"cl")
}

pub(crate) fn encode(digest: u64, from: From, body: &Body) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    bytes.extend_from_slice(b"cl");
    bytes.push(FORMAT);
    bytes.extend_from_slice(&digest.to_le_bytes());
    // Our own types always have a form; without one the message would be refused as garbled.
    bytes.extend_from_slice(&postcard::to_stdvec(&(from, body)).unwrap_or_default());
    let sum = xxh3_64(&bytes) as u32;
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

pub(crate) fn decode(digest: u64, bytes: &[u8]) -> Result<(From, Body), Refused> {
    if bytes.len() < HEAD + TAIL || bytes.len() > MAX_MESSAGE || !is_ours(bytes) {
        return Err(Refused::Garbled);
    }
    let (covered, tail) = bytes.split_at(bytes.len() - TAIL);
    if (xxh3_64(covered) as u32).to_le_bytes() != tail || covered[2] != FORMAT {
        return Err(Refused::Garbled);
    }
    // Danger: under other keepers the same places are other processes.
    if covered[3..HEAD] != digest.to_le_bytes() {
        return Err(Refused::Foreign);
    }
    match postcard::take_from_bytes(&covered[HEAD..]) {
        Ok((message, [])) => Ok(message),
        _ => Err(Refused::Garbled),
    }
}
