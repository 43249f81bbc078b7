//! What a sidecar is told of the log.

use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time on the sidecar's own clock, since its start.
pub type Time = Duration;

/// Parts of the protocol that can be left out, as planted defects do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// A keeper that has forgotten has no vote until it is taken in anew.
    pub starts: bool,
    /// Only what is decided is applied.
    pub decided: bool,
    /// An entry is taken only where the one before it is the same.
    pub chained: bool,
    /// A keeper gives one voice for a founding.
    pub one_voice: bool,
    /// Who has heard of a later founding never goes back to an older place.
    pub no_way_back: bool,
}

impl Default for Parts {
    fn default() -> Parts {
        Parts { starts: true, decided: true, chained: true, one_voice: true, no_way_back: true }
    }
}

/// What a sidecar is told of the log.
#[derive(Debug, Clone)]
pub struct Config {
    /// Of the fleet's name and the keepers; messages under another are refused.
    pub digest: u64,
    /// Its own address, as the others reach it.
    pub address: SocketAddrV4,
    /// Who agrees: three, five or seven addresses.
    pub keepers: Vec<SocketAddrV4>,
    /// The library's clock.
    pub tick: Duration,
    /// How often it asks another where it stands.
    pub gossip: Duration,
    /// An epoch of so many words is long enough.
    pub epoch: usize,
    /// Protocol parts at work.
    pub parts: Parts,
}

impl Config {
    /// The usual times.
    pub fn new(fleet: &str, address: SocketAddrV4, keepers: Vec<SocketAddrV4>) -> Config {
        let named = keepers.iter().fold(fleet.to_owned(), |all, keeper| format!("{all}|{keeper}"));
        Config {
            digest: xxh3_64(named.as_bytes()),
            address,
            keepers,
            tick: Duration::from_millis(40),
            gossip: Duration::from_millis(500),
            epoch: 256,
            parts: Parts::default(),
        }
    }

    /// What is wrong with it: the field and the reason.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let n = self.keepers.len();
        if ![3, 5, 7].contains(&n) {
            return Err(("keepers", format!("must be 3, 5 or 7 addresses, not {n}")));
        }
        let mut sorted = self.keepers.clone();
        sorted.sort_unstable();
        sorted.dedup();
        if sorted.len() != n {
            return Err(("keepers", "names one address twice".to_owned()));
        }
        Ok(())
    }

    /// Its own place among the keepers.
    pub fn place(&self) -> Option<usize> {
        self.keepers.iter().position(|keeper| *keeper == self.address)
    }

    /// So many keepers are most of them.
    pub fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }
}
