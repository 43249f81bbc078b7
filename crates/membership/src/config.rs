//! What a member is told at its start.

use crate::Time;
use crate::message::{FORMATS, Name};
use std::net::SocketAddrV4;
use std::time::Duration;

/// All times of the protocol, from the longest pause that a member may make without being called gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The longest pause to bear.
    pub longest_pause: Time,
    /// One member is probed in each of these.
    pub period: Time,
    /// A probe that is unanswered for so long is sent again, ...
    pub again: Time,
    /// ... and after this goes by way of others.
    pub direct: Time,
    /// Suspicion lasts so long once enough accuse, ...
    pub suspicion: Time,
    /// ... and so long while one alone does.
    pub alone: Time,
    /// Gossip goes out so often while there is something to say.
    pub gossip: Time,
    /// Members that are gone, and seeds that are not known, are tried so often, one at a time, at the most seldom.
    pub try_gone: Time,
    /// Views that differ for so long are exchanged whole.
    pub differ: Time,
    /// A fall of the count binds after this.
    pub settle: Time,
    /// A start counts as young for so long: it may be its own former life that it hears of.
    pub young: Time,
    /// Those that are gone are forgotten after this.
    pub forget: Time,
}

impl Timing {
    /// The times that follow from a longest pause.
    pub fn from_pause(pause: Time) -> Timing {
        Timing {
            longest_pause: pause,
            period: pause / 5,
            again: pause / 20,
            direct: pause / 10,
            suspicion: pause * 5 / 4,
            alone: pause * 5 / 2,
            gossip: pause / 20,
            try_gone: pause * 3,
            differ: pause * 3 / 4,
            settle: pause * 5,
            young: pause * 2,
            forget: Duration::from_secs(600).max(pause * 30),
        }
    }
}

/// Which parts of the protocol are at work. In service all are; measurements leave one out, tests plant a defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// Probes go by way of others.
    pub indirect: bool,
    /// A member takes its own lateness and silence into account.
    pub awareness: bool,
    /// Who does not answer is suspected first.
    pub suspicion: bool,
    /// Defect if not: a member denies that it is gone.
    pub refutes: bool,
    /// Defect if not: an older start never beats a newer one.
    pub generations: bool,
    /// Defect if not: the far side of a cut is tried again.
    pub tries_gone: bool,
    /// Defect if not: a falling count binds after it has lasted.
    pub cautious: bool,
    /// Defect if not: views that differ are exchanged whole, and what is news is passed on.
    pub exchanges: bool,
    /// Defect if not: a word that somebody is gone is judged on one's own time.
    pub own_time: bool,
    /// Whoever is about to call a member gone probes it once more.
    pub last_look: bool,
}

impl Default for Parts {
    fn default() -> Parts {
        Parts {
            indirect: true,
            awareness: true,
            suspicion: true,
            refutes: true,
            generations: true,
            tries_gone: true,
            cautious: true,
            exchanges: true,
            own_time: true,
            last_look: true,
        }
    }
}

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// The fleet's name: messages of another are refused.
    pub fleet: String,
    /// Its own name.
    pub name: Name,
    /// Where the others reach it, for datagrams and for connections.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: Name,
    /// Its tier.
    pub tier: u8,
    /// Its rank among the sidecars of its tier.
    pub rank: u16,
    /// Whom it asks first.
    pub seeds: Vec<SocketAddrV4>,
    /// All times.
    pub timing: Timing,
    /// Members known at once, those that are gone among them.
    pub most: usize,
    /// The message formats it speaks, oldest and newest.
    pub formats: (u8, u8),
    /// What is at work.
    pub parts: Parts,
}

impl Config {
    /// A member of a fleet with the usual times.
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
            most: 4096,
            formats: FORMATS,
            parts: Parts::default(),
        }
    }
}
