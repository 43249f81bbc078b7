//! A replica's configuration.

use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The driver's monotonic clock, counted from an origin of its choice.
pub type Time = Duration;

/// Switches for parts of the protocol. All are on in production; tests turn one off to inject a defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// A voter that has restarted, and so lost its promises, has no vote until the leader readmits it.
    pub readmission: bool,
    /// Only decided entries are applied, none that are merely accepted.
    pub decided_only: bool,
    /// Entries of another member are accepted only if the checksum before them matches the local one.
    pub verify_checksums: bool,
    /// A voter votes for only one bootstrap at a time.
    pub single_vote: bool,
    /// A replica never goes back to an earlier position.
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
    /// A digest of the fleet's name and the voters; messages with another digest are rejected.
    pub digest: u64,
    /// The address at which other members reach the local one.
    pub address: SocketAddrV4,
    /// The addresses of the voters: three, five or seven.
    pub voters: Vec<SocketAddrV4>,
    /// The tick interval of the `omnipaxos` instance.
    pub tick_interval: Duration,
    /// The mean interval at which the local member sends its position to another.
    pub gossip_interval: Duration,
    /// The number of entries after which an epoch ends.
    pub max_epoch_entries: usize,
    /// Which parts of the protocol are on.
    pub features: Features,
}

impl Config {
    /// A configuration with default intervals.
    pub fn new(fleet: &str, address: SocketAddrV4, voters: Vec<SocketAddrV4>) -> Config {
        let identity = voters.iter().fold(fleet.to_owned(), |all, voter| format!("{all}|{voter}"));
        Config {
            digest: xxh3_64(identity.as_bytes()),
            address,
            voters,
            tick_interval: Duration::from_millis(40),
            gossip_interval: Duration::from_millis(500),
            max_epoch_entries: 256,
            features: Features::default(),
        }
    }

    /// Checks the configuration; an error names the settings key and the reason.
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

    /// The number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
