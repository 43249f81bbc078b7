//! A member's configuration: identity, addresses, timing, limits.

use crate::Time;
use crate::message::{FORMATS, Name};
use std::net::SocketAddrV4;
use std::time::Duration;

/// All times of the protocol, derived from the longest pause that a member may make without being declared dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The longest pause that is tolerated.
    pub max_pause: Time,
    /// The protocol period: one member is probed in each.
    pub period: Time,
    /// A probe without an answer is sent again after this.
    pub resend_after: Time,
    /// A probe without an answer goes through other members after this.
    pub direct_timeout: Time,
    /// The suspicion timeout with enough accusers.
    pub min_suspicion: Time,
    /// The suspicion timeout with a single accuser.
    pub max_suspicion: Time,
    /// The interval of gossip while there are updates to pass on.
    pub gossip_interval: Time,
    /// The longest interval at which dead members and unknown seeds are contacted, one at a time.
    pub max_reconnect_interval: Time,
    /// Views whose digests differ for this long are exchanged.
    pub exchange_delay: Time,
    /// A fall of the headcount takes effect after this.
    pub headcount_settle: Time,
    /// For this long after its start a member may meet its own previous generation.
    pub restart_grace: Time,
    /// Dead members and those that left are removed after this.
    pub retention: Time,
}

impl Timing {
    /// The times that follow from the longest tolerated pause.
    pub fn from_pause(pause: Time) -> Timing {
        Timing {
            max_pause: pause,
            period: pause / 5,
            resend_after: pause / 20,
            direct_timeout: pause / 10,
            min_suspicion: pause * 5 / 4,
            max_suspicion: pause * 5 / 2,
            gossip_interval: pause / 20,
            max_reconnect_interval: pause * 3,
            exchange_delay: pause * 3 / 4,
            headcount_settle: pause * 5,
            restart_grace: pause * 2,
            retention: Duration::from_secs(600).max(pause * 30),
        }
    }
}

/// Switches for parts of the protocol. All are on in service; measurements turn one off, and fault injection in tests turns
/// off one that the protocol's correctness needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Probe indirectly, through other members.
    pub indirect_probes: bool,
    /// Local health awareness: take the local member's own lateness and silence into account.
    pub local_health: bool,
    /// Suspect members before declaring them dead.
    pub suspicion: bool,
    /// Refute accusations against the local member (off: a fault).
    pub refutation: bool,
    /// Let a lower generation never override a higher one (off: a fault).
    pub generation_order: bool,
    /// Contact dead members again, so that a healed partition merges (off: a fault).
    pub reconnect: bool,
    /// Let a fall of the headcount take effect only after it has lasted (off: a fault).
    pub delayed_decrease: bool,
    /// Exchange views that differ, and pass on news of alive members (off: a fault).
    pub anti_entropy: bool,
    /// Apply the local suspicion timeout to members that others report as dead (off: a fault).
    pub local_suspicion: bool,
    /// Probe a suspect again before declaring it dead.
    pub confirmation_probes: bool,
}

impl Default for Features {
    fn default() -> Features {
        Features {
            indirect_probes: true,
            local_health: true,
            suspicion: true,
            refutation: true,
            generation_order: true,
            reconnect: true,
            delayed_decrease: true,
            anti_entropy: true,
            local_suspicion: true,
            confirmation_probes: true,
        }
    }
}

/// A member's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The fleet's name; messages of other fleets are refused.
    pub fleet: String,
    /// The local member's name.
    pub name: Name,
    /// The address at which others reach it, for datagrams and connections.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: Name,
    /// Its tier.
    pub tier: u8,
    /// Its rank among the sidecars of its tier.
    pub rank: u16,
    /// Addresses to join the fleet through.
    pub seeds: Vec<SocketAddrV4>,
    /// All times.
    pub timing: Timing,
    /// The most members to hold, dead ones among them.
    pub max_members: usize,
    /// Oldest and newest message format to use.
    pub formats: (u8, u8),
    /// Which parts of the protocol are on.
    pub features: Features,
}

impl Config {
    /// A configuration with default timing and limits.
    pub fn new(fleet: &str, name: Name, address: SocketAddrV4) -> Config {
        Config {
            fleet: fleet.to_owned(),
            name,
            address,
            zone: Name::default(),
            tier: 0,
            rank: 0,
            seeds: Vec::new(),
            timing: Timing::from_pause(Duration::from_secs(2)),
            max_members: 4096,
            formats: FORMATS,
            features: Features::default(),
        }
    }
}
