//! Configuration: the limits, the voters that elect the allocator, and the lease duration.

use std::fmt::Write;
use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time since the start of the process, by its own monotonic clock.
pub type Time = Duration;

/// Clocks may run up to 1 % fast or slow. A wait for a period that another clock measures is extended by this, in
/// thousandths; the worst case is 1.01 / 0.99 = 1.0202.
const CLOCK_MARGIN_PERMILLE: u32 = 25;
/// Fraction of a rate that is not used, in thousandths, because the holder's clock may run fast.
const RATE_RESERVE_PERMILLE: u64 = 20;

/// Kind of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Uses per second, with bursts.
    Rate {
        /// Uses allowed beyond the rate in any time window, over the whole fleet, in thousandths.
        burst: u64,
    },
    /// Concurrent uses.
    Concurrency {
        /// Longest time that a single use may last.
        max_hold: Time,
    },
}

/// A limit that the whole fleet shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    /// Name, unique within a configuration.
    pub name: String,
    /// Rate or concurrency.
    pub kind: LimitKind,
    /// Size of the limit, in thousandths.
    pub size: u64,
    /// Share that each member of the roster has without a lease, in thousandths.
    pub guaranteed: u64,
}

/// Safeguards of the protocol. All are on in production; tests switch single ones off to show that the checkers notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// A voter that has just started does not vote at first, as it may have forgotten a vote.
    pub voter_start_delay: bool,
    /// A newly elected allocator at first grants only what is already in force.
    pub allocator_start_delay: bool,
    /// A holder's lease runs from when it sent the request, not from when it received the grant.
    pub lease_from_request: bool,
    /// A holder's request is ignored after a newer one of the same holder.
    pub request_order: bool,
    /// What a holder reports as held counts only after it has promised to ignore older allocators.
    pub promises: bool,
    /// A share that was lowered is charged in full until its holder confirms the lower one.
    pub charge_until_confirmed: bool,
    /// Waits for a period that another clock measures allow for the deviation of clocks.
    pub clock_margins: bool,
}

impl Default for Safeguards {
    fn default() -> Safeguards {
        Safeguards {
            voter_start_delay: true,
            allocator_start_delay: true,
            lease_from_request: true,
            request_order: true,
            promises: true,
            charge_until_confirmed: true,
            clock_margins: true,
        }
    }
}

/// Configuration of the budgets of one sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Name of the fleet.
    pub fleet: String,
    /// Address at which other sidecars reach this one.
    pub address: SocketAddrV4,
    /// Sidecars that elect the allocator, one of themselves.
    pub voters: Vec<SocketAddrV4>,
    /// Sidecars that have the guaranteed shares.
    pub roster: Vec<SocketAddrV4>,
    /// Duration of a lease.
    pub lease: Time,
    /// Limits to divide. Methods that take a `limit` mean an index into this list.
    pub limits: Vec<Limit>,
    /// Weight of this sidecar in the division.
    pub weight: u32,
    /// Maximum number of holders that an allocator tracks.
    pub max_holders: usize,
    /// Safeguards that are on.
    pub safeguards: Safeguards,
}

impl Config {
    /// Creates a configuration without limits and with an empty roster.
    pub fn new(fleet: &str, address: SocketAddrV4, voters: Vec<SocketAddrV4>, lease: Time) -> Config {
        Config {
            fleet: fleet.to_owned(),
            address,
            voters,
            roster: Vec::new(),
            lease,
            limits: Vec::new(),
            weight: 1,
            max_holders: 4096,
            safeguards: Safeguards::default(),
        }
    }

    /// Time for which a vote is given.
    pub fn vote_duration(&self) -> Time {
        self.lease / 2
    }

    /// Interval between a holder's lease requests while its demand does not change.
    pub fn request_interval(&self) -> Time {
        self.lease / 4
    }

    /// How long to wait until a period of this length is over by any other clock.
    pub fn with_clock_margin(&self, period: Time) -> Time {
        if self.safeguards.clock_margins { period + period * CLOCK_MARGIN_PERMILLE / 1000 } else { period }
    }

    /// How long uses of a limit may continue after the lease has expired.
    pub fn max_overrun(&self, limit: usize) -> Time {
        match self.limits[limit].kind {
            LimitKind::Rate { .. } => Time::ZERO,
            LimitKind::Concurrency { max_hold } => max_hold,
        }
    }

    /// Amount of a limit that the allocator lends: all but the guaranteed shares.
    pub fn pool(&self, limit: usize) -> u64 {
        let limit = &self.limits[limit];
        limit.size.saturating_sub(limit.guaranteed * self.roster.len() as u64)
    }

    /// Share of a limit that this sidecar has without a lease.
    pub fn guaranteed_share(&self, limit: usize) -> u64 {
        if self.roster.contains(&self.address) { self.limits[limit].guaranteed } else { 0 }
    }

    /// Smallest useful share of a limit: one concurrent use, or a rate whose share of the burst is one.
    pub fn share_unit(&self, limit: usize) -> u64 {
        let limit = &self.limits[limit];
        match limit.kind {
            LimitKind::Rate { burst } => (limit.size * 1000).div_ceil(burst.max(1)).max(1),
            LimitKind::Concurrency { .. } => 1000,
        }
    }

    /// Uses per second that a share of a rate limit allows, less the reserve for fast clocks.
    pub(crate) fn tokens_per_second(share: u64) -> f64 {
        (share * (1000 - RATE_RESERVE_PERMILLE)) as f64 / 1e6
    }

    /// Index of this sidecar among the voters, if it is one.
    pub fn voter_index(&self) -> Option<usize> {
        self.voters.iter().position(|voter| *voter == self.address)
    }

    /// Number of votes that elect an allocator.
    pub fn majority(&self) -> u32 {
        self.voters.len() as u32 / 2 + 1
    }

    /// Digest of all settings that have to be equal on all sidecars of the fleet.
    ///
    /// Sidecars reject messages with another digest, so the text that is hashed must never change. It is written out
    /// here because a derived `Debug` would change with the names of types and fields.
    pub fn digest(&self) -> u64 {
        let mut text = format!("{}|{:?}|{:?}|{:?}", self.fleet, self.voters, self.roster, self.lease);
        for Limit { name, kind, size, guaranteed } in &self.limits {
            let kind = match kind {
                LimitKind::Rate { burst } => format!("Rate {{ burst: {burst} }}"),
                LimitKind::Concurrency { max_hold } => format!("Level {{ longest: {max_hold:?} }}"),
            };
            // Writing to a string can't fail.
            let _ =
                write!(text, "|Whole {{ name: {name:?}, kind: {kind}, size: {size}, floor: {guaranteed} }}");
        }
        xxh3_64(text.as_bytes())
    }

    /// Checks the configuration; an error is the key in the operator file and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let bad = |field, reason: &str| Err((field, reason.to_owned()));
        if !matches!(self.voters.len(), 1 | 3 | 5 | 7) {
            return bad(
                "keepers",
                "must be 1, 3, 5 or 7 addresses, so that a split never leaves equal halves",
            );
        }
        for list in [("keepers", &self.voters), ("roster", &self.roster)] {
            if list.1.iter().enumerate().any(|(i, a)| list.1[..i].contains(a)) {
                return bad(list.0, "contains an address twice");
            }
        }
        if self.lease < Duration::from_millis(200) || self.lease > Duration::from_secs(300) {
            return bad("lease", "must be between 200ms and 5m");
        }
        if self.limits.len() > crate::MAX_LIMITS {
            return bad("use", "there are too many limits: at most 32 are supported");
        }
        for (i, limit) in self.limits.iter().enumerate() {
            if self.limits[..i].iter().any(|other| other.name == limit.name) {
                return Err(("use", format!("{} is divided twice", limit.name)));
            }
            if limit.size == 0 || limit.size > 1_000_000_000_000 {
                return Err(("rate", format!("the limit of {} must be over 0 and at most 1e9", limit.name)));
            }
            if limit.guaranteed * self.roster.len() as u64 > limit.size {
                return Err(("floor", format!("the floors of {} sum to more than the whole", limit.name)));
            }
            if limit.guaranteed > 0 && limit.guaranteed < self.share_unit(i) {
                let least = self.share_unit(i) as f64 / 1000.0;
                return Err(("floor", format!("must be 0 or at least {least}, the smallest usable share")));
            }
            if matches!(limit.kind, LimitKind::Rate { burst } if burst < 1000) {
                return bad("burst", "must be at least 1");
            }
            if matches!(limit.kind, LimitKind::Concurrency { .. }) && !limit.size.is_multiple_of(1000) {
                return bad("level", "must be a whole number");
            }
        }
        Ok(())
    }
}
