//! Reports and counters of the local view, for operators and tests.

use serde::Serialize;

/// Messages and updates that were dropped, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Not a message of this protocol, cut short, or with a wrong checksum.
    pub garbled: u64,
    /// Longer than the longest valid message.
    pub overlong: u64,
    /// Of another fleet.
    pub foreign: u64,
    /// In a format that is not supported.
    pub format: u64,
    /// Updates with an outdated generation or incarnation.
    pub stale: u64,
    /// New members beyond the configured limit.
    pub full: u64,
}

/// Message and probe counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Views received in exchanges.
    pub exchanges: u64,
    /// Bytes of views, sent and received.
    pub exchange_bytes: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes without an answer, direct or indirect.
    pub probes_failed: u64,
}

/// One member, as the local member sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// `alive`, `suspect`, `gone` or `left`.
    pub state: &'static str,
    /// How long it has been in this state, in milliseconds.
    pub for_ms: u64,
    /// How long ago its last own message arrived, in milliseconds; `None` if there was none.
    pub heard_ms: Option<u64>,
    /// Its generation.
    pub generation: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its tier.
    pub tier: u8,
    /// Its rank.
    pub rank: u16,
    /// Oldest and newest message format that it supports.
    pub formats: (u8, u8),
    /// The names of its accusers.
    pub suspected_by: Vec<String>,
}

/// How many of a zone's members are reached, the local member among them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneReach {
    /// The zone.
    pub zone: String,
    /// Members that are alive.
    pub reached: usize,
    /// Members that are known and have not left.
    pub known: usize,
}

/// The local member's whole view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The fleet's name.
    pub fleet: String,
    /// The local member's name.
    pub name: String,
    /// Its generation.
    pub generation: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// Members that are alive, itself among them; only itself while it is isolated.
    pub reached: usize,
    /// Members that are known and have not left, itself among them.
    pub known: usize,
    /// `reached` and `known` by zone.
    pub zones: Vec<ZoneReach>,
    /// Several probes in a row were not answered.
    pub isolated: bool,
    /// It is isolated although messages of others arrive.
    pub unheard: bool,
    /// A process with its name and a higher generation exists, so this one sends nothing.
    pub superseded: bool,
    /// The local health score: 0 is healthy; each step lengthens its probe timeouts.
    pub own_slowness: u32,
    /// How often it refuted an accusation.
    pub refuted: u64,
    /// How often it was late itself.
    pub late: u64,
    /// How often it met two processes of one name.
    #[serde(rename = "twins")]
    pub name_conflicts: u64,
    /// The digest of the present members; equal views have equal digests.
    pub digest: String,
    /// Message and probe counters.
    pub traffic: Traffic,
    /// Dropped messages and updates.
    pub dropped: Dropped,
    /// All members but itself.
    pub members: Vec<MemberReport>,
}
