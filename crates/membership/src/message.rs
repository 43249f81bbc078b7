//! Messages between members and their wire format.
//!
//! A datagram is `cf`, the format (1 byte), the digest of the fleet's name (8 bytes), the body (postcard), and a
//! checksum (4 bytes) over all bytes before it. On a connection, a message follows its length (4 bytes); it has the same
//! layout, and may be longer than a datagram.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1200;
/// The oldest and the newest supported format. Format 1 carries no digest of the view.
pub const FORMATS: (u8, u8) = (1, 2);
/// Maximum length of a name, in bytes.
pub const MAX_NAME: usize = 40;
/// Maximum size of a member in an encoded view, in bytes.
pub const MAX_RECORD_SIZE: usize = 2 * MAX_NAME + 64;
/// Maximum number of updates in a datagram.
pub const MAX_UPDATES: usize = 64;

const MAGIC: &[u8; 2] = b"cf";
const HEADER_SIZE: usize = 11;
const CHECKSUM_SIZE: usize = 4;
/// An estimate of an update's encoded size without its names, in bytes.
const UPDATE_OVERHEAD: usize = 36;
/// From this format on, a message carries the digest of the sender's view.
const FIRST_FORMAT_WITH_DIGEST: u8 = 2;

/// A short name, cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Rc<str>);

impl Default for Name {
    fn default() -> Name {
        Name(Rc::from(""))
    }
}

impl Name {
    /// A name; `None` if the text is too long or contains control characters.
    pub fn new(text: &str) -> Option<Name> {
        let fits = text.len() <= MAX_NAME && text.chars().all(|c| !c.is_control());
        fits.then(|| Name(Rc::from(text)))
    }

    /// The name as text.
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
        Name::new(text).ok_or_else(|| serde::de::Error::custom("invalid name"))
    }
}

/// A member's state, as the local member sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The member answers.
    Alive,
    /// The member did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves the fleet.
    Left,
}

impl State {
    /// The state's name in reports and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "gone",
            State::Left => "left",
        }
    }

    /// Whether a member in this state is present, that is alive or suspect.
    pub(crate) fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Whether the state is an accusation, that is suspect or dead. The member may refute it.
    pub(crate) fn is_accusation(self) -> bool {
        matches!(self, State::Suspect | State::Dead)
    }
}

/// A member's identity and attributes, as it states them itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member's name.
    pub name: Name,
    /// Identifies the start of the member's process; a later start has a higher generation.
    pub generation: u64,
    /// Raised by the member each time it refutes an accusation.
    pub incarnation: u32,
    /// The member's IPv4 address as a number.
    pub ip: u32,
    /// The member's port, for datagrams and connections.
    pub port: u16,
    /// The member's zone.
    pub zone: Name,
    /// The member's tier.
    pub tier: u8,
    /// The member's rank in its tier.
    pub rank: u16,
    /// The oldest and the newest message format that the member supports.
    pub formats: (u8, u8),
}

impl Record {
    /// The member's address, for datagrams and connections.
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }

    /// A digest of name, generation and address.
    pub(crate) fn digest(&self) -> u64 {
        let address = (u64::from(self.ip) << 16) | u64::from(self.port);
        let mut bytes = Vec::with_capacity(MAX_NAME + 16);
        bytes.extend_from_slice(self.name.as_str().as_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&address.to_le_bytes());
        xxh3_64(&bytes)
    }
}

/// An update about a member's state, as members pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Update {
    /// The member that the update is about.
    pub record: Record,
    /// The member's state.
    pub state: State,
    /// The member that first reported the state; for a suspicion, the accuser.
    pub reporter: Name,
}

/// Matches an answer to its probe. Each member numbers its own probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sequence(pub u32);

impl Sequence {
    /// The next number; it wraps around.
    pub fn next(self) -> Sequence {
        Sequence(self.0.wrapping_add(1))
    }
}

/// A message's kind, with its data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// A probe of the member with this name and generation; an empty name addresses any receiver.
    Ping { sequence: Sequence, name: Name, generation: u64 },
    /// The answer to a ping.
    Ack { sequence: Sequence, name: Name, generation: u64 },
    /// The answer to a ping request if the target did not answer.
    Nack { sequence: Sequence },
    /// A request to probe a member on the sender's behalf, for SWIM's indirect probe.
    PingRequest { sequence: Sequence, name: Name, generation: u64, ip: u32, port: u16 },
    /// No data but the updates.
    Gossip,
    /// The sender's complete view, for an anti-entropy exchange; its members are the updates.
    View {
        /// Whether the sender requests the receiver's view in return.
        answer: bool,
    },
}

/// A message's content in format 1.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    /// The sender's record.
    pub from: Record,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The message's kind.
    pub payload: Payload,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

impl Body {
    /// The sender's own state.
    pub fn sender_state(&self) -> State {
        if self.leaving { State::Left } else { State::Alive }
    }
}

/// A message's content in format 2, which adds the digest of the sender's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub body: Body,
    pub digest: Option<u64>,
}

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// Not a message of this protocol, truncated, or its checksum does not match.
    Garbled,
    /// Longer than the maximum.
    Overlong,
    /// Of another fleet.
    Foreign,
    /// In a format that is not supported.
    Format,
}

/// The digest of a fleet's name, carried by every message.
pub(crate) fn fleet_digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Encodes a message in a format.
pub(crate) fn encode(fleet: u64, format: u8, packet: &Packet) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(MAGIC);
    bytes.push(format);
    bytes.extend_from_slice(&fleet.to_le_bytes());
    let body = if format >= FIRST_FORMAT_WITH_DIGEST {
        postcard::to_stdvec(packet)
    } else {
        postcard::to_stdvec(&packet.body)
    };
    // Serializing cannot fail; receivers would reject an empty body as garbled.
    bytes.extend_from_slice(&body.unwrap_or_default());
    let sum = xxh3_64(&bytes) as u32;
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Decodes a message of at most `max_size` bytes in one of `formats`.
pub(crate) fn decode(
    fleet: u64,
    formats: (u8, u8),
    bytes: &[u8],
    max_size: usize,
) -> Result<Packet, DecodeError> {
    if bytes.len() > max_size {
        return Err(DecodeError::Overlong);
    }
    let (Some(head), true) = (bytes.get(..HEADER_SIZE), bytes.len() >= HEADER_SIZE + CHECKSUM_SIZE) else {
        return Err(DecodeError::Garbled);
    };
    let (covered, tail) = bytes.split_at(bytes.len() - CHECKSUM_SIZE);
    // Without the checksum a corrupted byte could name another member, generation or state.
    if &head[..MAGIC.len()] != MAGIC || (xxh3_64(covered) as u32).to_le_bytes() != tail {
        return Err(DecodeError::Garbled);
    }
    if head[3..] != fleet.to_le_bytes() {
        return Err(DecodeError::Foreign);
    }
    let format = head[2];
    if !(formats.0..=formats.1).contains(&format) {
        return Err(DecodeError::Format);
    }
    let body = &covered[HEADER_SIZE..];
    let packet = if format >= FIRST_FORMAT_WITH_DIGEST {
        postcard::take_from_bytes::<Packet>(body)
    } else {
        postcard::take_from_bytes::<Body>(body).map(|(body, rest)| (Packet { body, digest: None }, rest))
    };
    match packet {
        Ok((packet, [])) => Ok(packet),
        _ => Err(DecodeError::Garbled),
    }
}

/// An estimate of an update's encoded size, in bytes.
pub(crate) fn update_size(update: &Update) -> usize {
    let record = &update.record;
    let names = [&record.name, &record.zone, &update.reporter];
    names.iter().map(|name| name.as_str().len()).sum::<usize>() + UPDATE_OVERHEAD
}

#[cfg(test)]
mod tests;
