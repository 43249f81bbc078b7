//! What is divided, who divides it, and for how long a part is lent.

use std::fmt::Write;
use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time since the start of a process, by its own clock that never goes back.
pub type Time = Duration;

/// Clocks run up to one in a hundred fast or slow: who waits for another's time to be over waits longer by this, in
/// thousandths (1.01 / 0.99 is 1.0202).
const MARGIN: u32 = 25;
/// A rate is spent by a clock that may be fast, so a share of it is kept back, in thousandths.
const KEPT_BACK: u64 = 20;

/// How a whole is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// So many a second, and `burst` thousandths beyond that in any window.
    Rate {
        /// The burst of the whole, in thousandths.
        burst: u64,
    },
    /// So many at once, none of which is out for longer than `longest`.
    Level {
        /// The longest use.
        longest: Time,
    },
}

/// Something that the fleet as a whole may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Whole {
    /// Its name.
    pub name: String,
    /// How it is spent.
    pub kind: Kind,
    /// How much of it there is, in thousandths.
    pub size: u64,
    /// What each place of the roster has without any lease, in thousandths.
    pub floor: u64,
}

/// Which parts of the protocol are at work. In service all are; tests plant a defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// Defect if not: a keeper that has just started votes for nobody, as it may have forgotten a vote.
    pub keeper_waits: bool,
    /// Defect if not: a divider that was just elected gives nothing that is not already in force.
    pub divider_waits: bool,
    /// Defect if not: a holder counts its lease from when it asked, not from when it heard.
    pub from_asking: bool,
    /// Defect if not: of a holder's questions an older one never counts after a newer one.
    pub ordered: bool,
    /// Defect if not: what a holder says it has counts only if it has promised to hear no older divider.
    pub promises: bool,
    /// Defect if not: a part that was lowered is charged whole until its holder says so.
    pub charges_both: bool,
    /// Defect if not: who waits for another's time to be over allows for its clock.
    pub margins: bool,
}

impl Default for Parts {
    fn default() -> Parts {
        Parts {
            keeper_waits: true,
            divider_waits: true,
            from_asking: true,
            ordered: true,
            promises: true,
            charges_both: true,
            margins: true,
        }
    }
}

/// What a sidecar is told of the budgets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The fleet's name.
    pub fleet: String,
    /// Where the others reach this one.
    pub address: SocketAddrV4,
    /// Who elects the divider, and of whom it is one.
    pub keepers: Vec<SocketAddrV4>,
    /// Who has the floors.
    pub roster: Vec<SocketAddrV4>,
    /// For how long a part is lent.
    pub lease: Time,
    /// What is divided.
    pub wholes: Vec<Whole>,
    /// How much this one counts in the division.
    pub weight: u32,
    /// Holders that a divider knows at most.
    pub most: usize,
    /// What is at work.
    pub parts: Parts,
}

impl Config {
    /// A member of a fleet whose budgets are divided by these keepers.
    pub fn new(fleet: &str, address: SocketAddrV4, keepers: Vec<SocketAddrV4>, lease: Time) -> Config {
        Config {
            fleet: fleet.to_owned(),
            address,
            keepers,
            roster: Vec::new(),
            lease,
            wholes: Vec::new(),
            weight: 1,
            most: 4096,
            parts: Parts::default(),
        }
    }

    /// For how long a vote is given.
    pub fn term(&self) -> Time {
        self.lease / 2
    }

    /// A holder asks so often.
    pub fn every(&self) -> Time {
        self.lease / 4
    }

    /// So long until another's time is over, whatever its clock.
    pub fn over(&self, time: Time) -> Time {
        if self.parts.margins { time + time * MARGIN / 1000 } else { time }
    }

    /// How much longer than its lease a part of this whole may be acted on.
    pub fn tail(&self, whole: usize) -> Time {
        match self.wholes[whole].kind {
            Kind::Rate { .. } => Time::ZERO,
            Kind::Level { longest } => longest,
        }
    }

    /// What of a whole is lent; the rest are floors.
    pub fn pool(&self, whole: usize) -> u64 {
        let whole = &self.wholes[whole];
        whole.size.saturating_sub(whole.floor * self.roster.len() as u64)
    }

    /// What this one has without any lease.
    pub fn floor(&self, whole: usize) -> u64 {
        if self.roster.contains(&self.address) { self.wholes[whole].floor } else { 0 }
    }

    /// The least part that is of any use: one at once, or a rate whose share of the burst is one.
    pub fn unit(&self, whole: usize) -> u64 {
        let whole = &self.wholes[whole];
        match whole.kind {
            Kind::Rate { burst } => (whole.size * 1000).div_ceil(burst.max(1)).max(1),
            Kind::Level { .. } => 1000,
        }
    }

    /// A part of a rate as it is spent, by whatever clock.
    pub(crate) fn spent_rate(part: u64) -> f64 {
        (part * (1000 - KEPT_BACK)) as f64 / 1e6
    }

    /// Which of the keepers this one is.
    pub fn keeper(&self) -> Option<usize> {
        self.keepers.iter().position(|keeper| *keeper == self.address)
    }

    /// Votes that make a divider.
    pub fn majority(&self) -> u32 {
        self.keepers.len() as u32 / 2 + 1
    }

    /// A digest of all that has to be equal in all files.
    pub fn digest(&self) -> u64 {
        let mut text = format!("{}|{:?}|{:?}|{:?}", self.fleet, self.keepers, self.roster, self.lease);
        for whole in &self.wholes {
            // Writing to a string can't fail.
            let _ = write!(text, "|{whole:?}");
        }
        xxh3_64(text.as_bytes())
    }

    /// What is wrong with it, if anything: the field and the reason.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let bad = |field, reason: &str| Err((field, reason.to_owned()));
        if !matches!(self.keepers.len(), 1 | 3 | 5 | 7) {
            return bad("keepers", "must be 1, 3, 5 or 7, so that one half is always the greater");
        }
        for list in [("keepers", &self.keepers), ("roster", &self.roster)] {
            if list.1.iter().enumerate().any(|(i, a)| list.1[..i].contains(a)) {
                return bad(list.0, "names an address twice");
            }
        }
        if self.lease < Duration::from_millis(200) || self.lease > Duration::from_secs(300) {
            return bad("lease", "must be between 200ms and 5m");
        }
        if self.wholes.len() > crate::MAX_WHOLES {
            return bad("use", "there are too many wholes: 32 at most");
        }
        for (i, whole) in self.wholes.iter().enumerate() {
            if self.wholes[..i].iter().any(|other| other.name == whole.name) {
                return Err(("use", format!("{} is divided twice", whole.name)));
            }
            if whole.size == 0 || whole.size > 1_000_000_000_000 {
                return Err(("rate", format!("the whole of {} must be over 0 and at most 1e9", whole.name)));
            }
            if whole.floor * self.roster.len() as u64 > whole.size {
                return Err(("floor", format!("the floors of {} sum to more than the whole", whole.name)));
            }
            if whole.floor > 0 && whole.floor < self.unit(i) {
                let least = self.unit(i) as f64 / 1000.0;
                return Err((
                    "floor",
                    format!("must be 0 or at least {least}, or nothing can be done with it"),
                ));
            }
            if matches!(whole.kind, Kind::Rate { burst } if burst < 1000) {
                return bad("burst", "must be at least 1");
            }
            if matches!(whole.kind, Kind::Level { .. }) && !whole.size.is_multiple_of(1000) {
                return bad("level", "must be a whole number");
            }
        }
        Ok(())
    }
}
