//! Messages: what members tell one another, and the form it has on the wire.
//!
//! A datagram is `cf`, the format, the fleet's digest (8 bytes), the body (postcard), and a checksum (4 bytes) over all
//! before it. An exchange over a connection carries the same form, of any length, behind its length in 4 bytes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1200;
/// The formats that this program speaks: 1 has no digest of the view, so its speakers exchange by time alone.
pub const FORMATS: (u8, u8) = (1, 2);
/// The longest name, in bytes.
pub const MAX_NAME: usize = 40;
/// A whole view takes no more than this for each member that may be known.
pub const RECORD_ROOM: usize = 2 * MAX_NAME + 64;
/// Words that a datagram may carry at most.
pub const MAX_CLAIMS: usize = 64;

const HEAD: usize = 11;
const TAIL: usize = 4;

/// A short name, cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Rc<str>);

impl Default for Name {
    fn default() -> Name {
        Name(Rc::from(""))
    }
}

impl Name {
    /// A name; `None` if it is too long or holds what is not printed.
    pub fn new(text: &str) -> Option<Name> {
        let fits = text.len() <= MAX_NAME && text.chars().all(|c| !c.is_control());
        fits.then(|| Name(Rc::from(text)))
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for Name {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Name, D::Error> {
        let text = <&str>::deserialize(from)?;
        Name::new(text).ok_or_else(|| serde::de::Error::custom("no name"))
    }
}

/// What is said of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It is there.
    Alive,
    /// It did not answer.
    Suspect,
    /// It did not answer for long.
    Gone,
    /// It said that it leaves.
    Left,
}

impl State {
    /// The word for it.
    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Gone => "gone",
            State::Left => "left",
        }
    }
}

/// A member as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub name: Name,
    /// Which start of it.
    pub generation: u64,
    /// How often this start has denied that it is gone.
    pub incarnation: u32,
    /// Where it is reached.
    pub ip: u32,
    /// On which port.
    pub port: u16,
    /// Its zone.
    pub zone: Name,
    /// Its tier.
    pub tier: u8,
    /// Its rank in the tier.
    pub rank: u16,
    /// The formats that it speaks.
    pub formats: (u8, u8),
}

impl Record {
    /// Where it is reached.
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }

    /// A digest of one that is there: which of its starts it is, and where.
    pub(crate) fn digest(&self) -> u64 {
        let place = (u64::from(self.ip) << 16) | u64::from(self.port);
        let mut bytes = Vec::with_capacity(MAX_NAME + 16);
        bytes.extend_from_slice(self.name.as_str().as_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&place.to_le_bytes());
        xxh3_64(&bytes)
    }
}

/// A word about a member, and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub record: Record,
    pub state: State,
    pub by: Name,
}

/// What a message wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    /// Are you there, you of this name and start?
    Ping { seq: u32, name: Name, generation: u64 },
    /// Whoever has this name and start is there.
    Ack { seq: u32, name: Name, generation: u64 },
    /// It did not answer me either.
    Nack { seq: u32 },
    /// Ask this one for me.
    Ask { seq: u32, name: Name, generation: u64, ip: u32, port: u16 },
    /// Words alone.
    Gossip,
    /// A whole view, with the wish for the other's or without it.
    View { answer: bool },
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    pub from: Record,
    pub leaving: bool,
    pub kind: Kind,
    pub claims: Vec<Claim>,
}

/// A message in format 2: behind it the digest of the sender's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub body: Body,
    pub digest: Option<u64>,
}

/// Why a message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It is none, or was cut, or a byte was turned over.
    Garbled,
    /// It is longer than any of ours.
    Overlong,
    /// It is of another fleet.
    Foreign,
    /// It is in a format that is no longer or not yet spoken.
    Format,
}

/// The digest of a fleet's name.
pub(crate) fn fleet_digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

pub(crate) fn encode(fleet: u64, format: u8, packet: &Packet) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(b"cf");
    bytes.push(format);
    bytes.extend_from_slice(&fleet.to_le_bytes());
    let body = if format >= 2 { postcard::to_stdvec(packet) } else { postcard::to_stdvec(&packet.body) };
    // Our own types always have a form; without one the message would be refused as garbled.
    bytes.extend_from_slice(&body.unwrap_or_default());
    let sum = xxh3_64(&bytes) as u32;
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

pub(crate) fn decode(fleet: u64, formats: (u8, u8), bytes: &[u8], most: usize) -> Result<Packet, Refused> {
    if bytes.len() > most {
        return Err(Refused::Overlong);
    }
    let (Some(head), true) = (bytes.get(..HEAD), bytes.len() >= HEAD + TAIL) else {
        return Err(Refused::Garbled);
    };
    let (covered, tail) = bytes.split_at(bytes.len() - TAIL);
    // Danger: a byte turned over on the way would be another member, another start or another state.
    if &head[..2] != b"cf" || (xxh3_64(covered) as u32).to_le_bytes() != tail {
        return Err(Refused::Garbled);
    }
    if head[3..] != fleet.to_le_bytes() {
        return Err(Refused::Foreign);
    }
    let format = head[2];
    if !(formats.0..=formats.1).contains(&format) {
        return Err(Refused::Format);
    }
    let body = &covered[HEAD..];
    let packet = if format >= 2 {
        postcard::take_from_bytes::<Packet>(body)
    } else {
        postcard::take_from_bytes::<Body>(body).map(|(body, rest)| (Packet { body, digest: None }, rest))
    };
    match packet {
        Ok((packet, [])) => Ok(packet),
        _ => Err(Refused::Garbled),
    }
}

/// About how long a claim is on the wire.
pub(crate) fn claim_size(claim: &Claim) -> usize {
    let names = claim.record.name.as_str().len() + claim.record.zone.as_str().len() + claim.by.as_str().len();
    names + 36
}

#[cfg(test)]
mod tests;
