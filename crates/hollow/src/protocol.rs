//! What the coordinator and its worker processes say to each other: one message of JSON a line.

use crate::traffic::{Role, Traffic};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// From the coordinator to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Open the sockets of members at these addresses.
    Bind {
        /// The address of each member; the system picks the ports.
        addresses: Vec<Ipv4Addr>,
        /// The worker ends by itself after this.
        lifetime: Duration,
    },
    /// Start the members.
    Start {
        /// What all members are told.
        fleet: FleetSettings,
        /// The members, in the order of their addresses.
        members: Vec<MemberSettings>,
    },
    /// Begin the plan's log at this worker's first member.
    Found,
    /// Measure from now on.
    BeginRest,
    /// Measure up to now.
    EndRest,
    /// Propose a revision of the plan at this worker's first member.
    Propose {
        /// Its text.
        text: String,
    },
    /// Send the summary and end.
    Finish,
}

/// What all members of a fleet are told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetSettings {
    /// The fleet's name.
    pub name: String,
    /// Members in all.
    pub members: usize,
    /// Whom a member asks first.
    pub seeds: Vec<SocketAddrV4>,
    /// Voters of the plan and of the budgets.
    pub voters: Vec<SocketAddrV4>,
}

/// What one member is told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberSettings {
    /// Its place among all members.
    pub index: usize,
    /// Its zone's name.
    pub zone: String,
    /// It starts so long after the command.
    pub delay: Duration,
    /// The seed of all that it draws.
    pub seed: u64,
}

/// From a worker to the coordinator.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The sockets are open.
    Bound {
        /// The members' addresses.
        addresses: Vec<SocketAddrV4>,
    },
    /// How the worker's members stand, several times a second.
    Status(Status),
    /// What came of beginning the log.
    Founded {
        /// Why it was not begun, if so.
        refused: Option<String>,
    },
    /// What came of a proposal.
    Proposed(Proposed),
    /// What was measured; the last message.
    Finished(Box<WorkerSummary>),
    /// The worker can't go on.
    Failed {
        /// Why.
        reason: String,
    },
}

/// What came of a proposal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Proposed {
    /// When it was first handed in, on the machine's monotonic clock.
    pub at: Duration,
    /// How often it was handed in.
    pub attempts: u32,
    /// The revision's number, or why it was refused.
    pub revision: Result<u32, String>,
}

/// A member's view of the fleet in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Equal views have equal digests.
    pub digest: u64,
    /// Members in it.
    pub size: usize,
}

/// How a worker's members stand.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Status {
    /// When, on the machine's monotonic clock.
    pub at: Duration,
    /// The view that all of them share, if all have started and share one.
    pub view: Option<View>,
    /// The oldest revision in force at any of them.
    pub oldest_revision: u32,
}

/// The highest rate of a figure over any window of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WorstWindow {
    /// A second.
    pub rate: f64,
    /// Seconds from the members' start until the window began.
    pub began: f64,
}

/// What was measured of one member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Its place among all members.
    pub index: usize,
    /// Its roles at the end of rest.
    pub roles: Vec<Role>,
    /// From its start until rest began.
    pub startup: Traffic,
    /// In rest.
    pub rest: Traffic,
    /// Processor time inside its tasks in rest.
    pub rest_processor: Duration,
    /// Bytes both ways.
    pub worst_bytes: WorstWindow,
    /// Milliseconds of processor time.
    pub worst_processor: WorstWindow,
    /// The last revision that came in force, and when, on the machine's monotonic clock.
    pub in_force: Option<(u32, Duration)>,
}

/// What was measured of a worker process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerSummary {
    /// Its members.
    pub members: Vec<MemberSummary>,
    /// How long rest lasted.
    pub rest: Duration,
    /// Processor time of its thread in rest, of members and of everything round them.
    pub rest_processor: Duration,
    /// Resident bytes before the members were built, at the end of rest, and at most.
    pub memory: [u64; 3],
    /// How late its timer was, in microseconds, before rest and from then on.
    pub startup_lag: Vec<u32>,
    /// The same from rest on.
    pub rest_lag: Vec<u32>,
}
