//! What a member can tell of its view, for operators and for judges.

use serde::Serialize;

/// Messages that were not taken, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// No message of ours, cut, or a byte turned over.
    pub garbled: u64,
    /// Longer than any of ours.
    pub overlong: u64,
    /// Of another fleet.
    pub foreign: u64,
    /// In a format that is not spoken.
    pub format: u64,
    /// Words of a start, or of a denial, that has been superseded.
    pub stale: u64,
    /// New members beyond as many as are configured.
    pub full: u64,
}

/// What went out and came in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Whole views exchanged, and their bytes both ways.
    pub exchanges: u64,
    /// Bytes of them.
    pub exchange_bytes: u64,
    /// Probes begun.
    pub probes: u64,
    /// Probes that neither way answered.
    pub probes_failed: u64,
}

/// One member, as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// alive, suspect, gone, left.
    pub state: &'static str,
    /// In this state for so long, in milliseconds.
    pub for_ms: u64,
    /// Last heard directly so long ago, if ever.
    pub heard_ms: Option<u64>,
    /// Which start of it.
    pub generation: u64,
    /// How often it has denied that it is gone.
    pub incarnation: u32,
    /// Where it is reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its tier.
    pub tier: u8,
    /// Its rank.
    pub rank: u16,
    /// The formats that it speaks.
    pub formats: (u8, u8),
    /// Who accuses it.
    pub suspected_by: Vec<String>,
}

/// How many of a zone's members are reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Reach {
    /// The zone.
    pub zone: String,
    /// Alive, this one among them.
    pub reached: usize,
    /// Known, but for those that left.
    pub known: usize,
}

/// A member's whole view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The fleet.
    pub fleet: String,
    /// Whose view it is.
    pub name: String,
    /// Which start of it.
    pub generation: u64,
    /// How often it has denied that it is gone.
    pub incarnation: u32,
    /// Alive members, itself among them; only itself while it is isolated.
    pub reached: usize,
    /// Known members but for those that left, itself among them.
    pub known: usize,
    /// The same by zone.
    pub zones: Vec<Reach>,
    /// No probe of its own has been answered lately.
    pub isolated: bool,
    /// Nor are its messages heard, though others' come.
    pub unheard: bool,
    /// A younger start has its name: this one is silent.
    pub superseded: bool,
    /// 0: in time; each step up makes it doubt itself more before others.
    pub own_slowness: u32,
    /// How often it has denied that it is gone, ...
    pub refuted: u64,
    /// ... was late by itself, ...
    pub late: u64,
    /// ... and met two processes of one name.
    pub twins: u64,
    /// A digest of who is there; equal where views are.
    pub digest: String,
    /// What went out and came in.
    pub traffic: Traffic,
    /// What was not taken.
    pub dropped: Dropped,
    /// All members but itself.
    pub members: Vec<Row>,
}
