//! A replica's configuration.

use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time on the sidecar's own clock, since its start.
pub type Time = Duration;

/// Switches for parts of the protocol. All are on in service; fault injection in tests turns one off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// A voter that lost its memory has no vote until it is admitted again.
    pub readmission: bool,
    /// Only decided entries are applied.
    pub decided_only: bool,
    /// Entries are accepted only if the entry before them is the same.
    pub verify_checksums: bool,
    /// A voter votes for one bootstrap at a time.
    pub single_vote: bool,
    /// A replica never goes back to an older position.
    pub monotonic_position: bool,
}

impl Default for Features {
    fn default() -> Features {
        Features {
            readmission: true,
            decided_only: true,
            verify_checksums: true,
            single_vote: true,
            monotonic_position: true,
        }
    }
}

/// A replica's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// A digest of the fleet's name and the voters; messages with another are refused.
    pub digest: u64,
    /// The local member's address, as others reach it.
    pub address: SocketAddrV4,
    /// The voters: three, five or seven addresses.
    pub voters: Vec<SocketAddrV4>,
    /// The interval of the agreement's logical clock.
    pub tick_interval: Duration,
    /// The interval at which it tells another member its position.
    pub gossip_interval: Duration,
    /// An epoch ends after this many commands.
    pub max_epoch_entries: usize,
    /// Which parts of the protocol are on.
    pub features: Features,
}

impl Config {
    /// A configuration with default times.
    pub fn new(fleet: &str, address: SocketAddrV4, voters: Vec<SocketAddrV4>) -> Config {
        let named = voters.iter().fold(fleet.to_owned(), |all, voter| format!("{all}|{voter}"));
        Config {
            digest: xxh3_64(named.as_bytes()),
            address,
            voters,
            tick_interval: Duration::from_millis(40),
            gossip_interval: Duration::from_millis(500),
            max_epoch_entries: 256,
            features: Features::default(),
        }
    }

    /// Checks the configuration; an error names the field and the reason.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let n = self.voters.len();
        if ![3, 5, 7].contains(&n) {
            return Err(("keepers", format!("must be 3, 5 or 7 addresses, not {n}")));
        }
        let mut sorted = self.voters.clone();
        sorted.sort_unstable();
        sorted.dedup();
        if sorted.len() != n {
            return Err(("keepers", "names one address twice".to_owned()));
        }
        Ok(())
    }

    /// The local member's index among the voters, if it is one.
    pub fn voter_index(&self) -> Option<usize> {
        self.voters.iter().position(|voter| *voter == self.address)
    }

    /// The number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
