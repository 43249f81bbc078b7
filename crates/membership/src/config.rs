//! A member's configuration: identity, addresses, timing, limits.

use crate::Time;
use crate::message::{FORMATS, Name};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The intervals and timeouts of the protocol, derived from the longest pause after which a member must not be
/// declared dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The longest tolerated pause of a member.
    pub max_pause: Time,
    /// The protocol period. One member is probed in each period.
    pub period: Time,
    /// A ping that is not answered is sent again after this time.
    pub resend_after: Time,
    /// A probe that is not answered is made through other members after this time.
    pub direct_timeout: Time,
    /// The suspicion timeout with the maximum number of accusers.
    pub min_suspicion: Time,
    /// The suspicion timeout with a single accuser.
    pub max_suspicion: Time,
    /// The gossip interval while there are updates to transmit.
    pub gossip_interval: Time,
    /// The maximum interval between contacts with dead members and unknown seeds, one at a time.
    pub max_reconnect_interval: Time,
    /// Views are exchanged after their digests have differed for this time.
    pub exchange_delay: Time,
    /// A decrease of the headcount takes effect after it has lasted for this time.
    pub headcount_settle: Time,
    /// For this time after its start, a member takes a higher generation under its name for its own previous one,
    /// whose wall clock was ahead.
    pub restart_grace: Time,
    /// Members that are dead or have left are removed after this time.
    pub retention: Time,
}

impl Timing {
    /// The default intervals and timeouts for the longest tolerated pause.
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

/// Switches for parts of the protocol. All are on in production. Measurements turn one off to show its effect; tests
/// turn one off that correctness depends on, to inject a defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Probe a member that does not answer through other members.
    pub indirect_probes: bool,
    /// Local health awareness: the local member's own pauses and missing answers lengthen its timeouts.
    pub local_health: bool,
    /// Suspect a member before declaring it dead.
    pub suspicion: bool,
    /// Refute accusations against the local member. Needed for correctness.
    pub refutation: bool,
    /// Ignore updates of a lower generation. Needed for correctness.
    pub generation_order: bool,
    /// Contact dead members again, so that the sides of a healed partition merge. Needed for correctness.
    pub reconnect: bool,
    /// Let a decrease of the headcount take effect only after it has lasted. Needed for correctness.
    pub delayed_decrease: bool,
    /// Exchange views that differ, and pass on updates about alive members. Needed for correctness.
    pub anti_entropy: bool,
    /// Apply the local suspicion timeout to members that others report as dead. Needed for correctness.
    pub local_suspicion: bool,
    /// Probe a suspected member again before declaring it dead.
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
    /// The fleet's name; messages of other fleets are rejected.
    pub fleet: String,
    /// The local member's name.
    pub name: Name,
    /// The address at which other members reach the local one, for datagrams and connections.
    pub address: SocketAddrV4,
    /// The local member's zone.
    pub zone: Name,
    /// The local member's tier.
    pub tier: u8,
    /// The local member's rank among the sidecars of its tier.
    pub rank: u16,
    /// The addresses of members to join the fleet through.
    pub seeds: Vec<SocketAddrV4>,
    /// The intervals and timeouts.
    pub timing: Timing,
    /// Maximum number of known members, including dead ones.
    pub max_members: usize,
    /// The oldest and the newest message format to use.
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
