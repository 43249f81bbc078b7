//! Reports and counters of the local view, for operators and tests.

use serde::Serialize;

/// Messages and updates that were dropped, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Messages that are not of this protocol, are truncated, or fail their checksum.
    pub garbled: u64,
    /// Messages longer than the maximum.
    pub overlong: u64,
    /// Messages of another fleet.
    pub foreign: u64,
    /// Messages in a format that is not supported.
    pub format: u64,
    /// Messages and updates with an outdated generation or incarnation.
    pub stale: u64,
    /// Updates about new members that were dropped because the member table is full.
    pub full: u64,
}

/// Message and probe counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes of datagrams received.
    pub received_bytes: u64,
    /// Views received in exchanges.
    pub exchanges: u64,
    /// Bytes of views, sent and received.
    pub exchange_bytes: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that got no answer, neither directly nor through another member.
    pub probes_failed: u64,
}

/// A member as the local member sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberReport {
    /// The member's name.
    pub name: String,
    /// The member's state: `alive`, `suspect`, `gone` or `left`.
    pub state: &'static str,
    /// Time since the member entered this state, in milliseconds.
    #[serde(rename = "for_ms")]
    pub in_state_ms: u64,
    /// Time since the member's own last message arrived, in milliseconds; `None` if none did.
    #[serde(rename = "heard_ms")]
    pub last_received_ms: Option<u64>,
    /// The member's generation.
    pub generation: u64,
    /// The member's incarnation.
    pub incarnation: u32,
    /// The member's address.
    pub address: String,
    /// The member's zone.
    pub zone: String,
    /// The member's tier.
    pub tier: u8,
    /// The member's rank.
    pub rank: u16,
    /// The oldest and the newest message format that the member supports.
    pub formats: (u8, u8),
    /// The names of the members that accuse a suspected member.
    pub suspected_by: Vec<String>,
}

/// How many of a zone's members the local member reaches. It counts itself in its own zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneReach {
    /// The zone's name.
    pub zone: String,
    /// Members that are alive.
    pub reached: usize,
    /// Members that are known and have not left.
    pub known: usize,
}

/// The local view with all counters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The fleet's name.
    pub fleet: String,
    /// The local member's name.
    pub name: String,
    /// The local member's generation.
    pub generation: u64,
    /// The local member's incarnation.
    pub incarnation: u32,
    /// Members that are alive, the local one included; only the local one while it is isolated or superseded.
    pub reached: usize,
    /// Members that are known and have not left, the local one included.
    pub known: usize,
    /// `reached` and `known`, by zone.
    pub zones: Vec<ZoneReach>,
    /// Whether the local member is isolated: several of its probes in a row got no answer.
    pub isolated: bool,
    /// Whether the local member is isolated although messages of others arrive, which suggests that its own messages
    /// are lost.
    pub unheard: bool,
    /// Whether a process with the local member's name and a higher generation exists; the local one then sends
    /// nothing.
    pub superseded: bool,
    /// The local health score: 0 is healthy, and each step lengthens the probe timeouts.
    #[serde(rename = "own_slowness")]
    pub health_score: u32,
    /// Accusations that the local member refuted.
    pub refuted: u64,
    /// Times that the local process was paused or got no CPU time.
    #[serde(rename = "late")]
    pub pauses: u64,
    /// Messages of an outdated process that uses a known name.
    #[serde(rename = "twins")]
    pub name_conflicts: u64,
    /// The digest of the present members; equal views have equal digests.
    pub digest: String,
    /// Message and probe counters.
    pub traffic: Traffic,
    /// Dropped messages and updates.
    pub dropped: Dropped,
    /// All members but the local one.
    pub members: Vec<MemberReport>,
}
