//! The spending of a part: tokens of a rate, places of a level, and how much of either is needed.

use crate::config::{Config, Kind, Time};

/// A steady need is measured over about this time, in seconds, ...
const MEMORY: f64 = 1.5;
/// ... and one that changes over this: it counts once it differs by more than so many deviations of chance.
const QUICK: f64 = 0.2;
const DEVIATIONS: f64 = 3.0;
/// So much more than what was needed is asked for. What nobody needs is spread as room for chance; where there is nothing
/// to spread, more would lie idle here that another lacks.
const ROOM: f64 = 1.02;

/// What a part is at a time: with its lease until then, and without.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Part {
    pub floor: u64,
    pub lent: u64,
    pub until: Time,
}

impl Part {
    fn at(&self, now: Time) -> u64 {
        self.floor + if now < self.until { self.lent } else { 0 }
    }
}

/// Tokens of a rate.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tokens {
    have: f64,
    at: Time,
}

impl Tokens {
    /// None to begin with: whoever had the part before has spent its burst.
    pub fn new(now: Time) -> Tokens {
        Tokens { have: 0.0, at: now }
    }

    /// Lets time pass, under a part that has not changed since the last call but by its lapse.
    pub fn pass(&mut self, now: Time, part: Part, burst: u64, size: u64) {
        let lapse = part.until.clamp(self.at, now.max(self.at));
        self.gain(lapse, part.floor + if self.at < part.until { part.lent } else { 0 }, burst, size);
        self.gain(now, part.floor, burst, size);
        self.have = self.have.min(cap(part.at(now), burst, size));
    }

    fn gain(&mut self, to: Time, part: u64, burst: u64, size: u64) {
        if to <= self.at {
            return;
        }
        let gained = (to - self.at).as_secs_f64() * Config::spent_rate(part);
        // What it had under a greater part is cut to the cap of this one.
        self.have = (self.have + gained).min(cap(part, burst, size));
        self.at = to;
    }

    /// Takes one, or says how long until there is one under this part.
    pub fn take(&mut self, part: u64) -> Result<(), Option<Time>> {
        // Sums of many small gains fall short of a whole by what floating point loses.
        if self.have >= 1.0 - 1e-9 {
            self.have = (self.have - 1.0).max(0.0);
            return Ok(());
        }
        let rate = Config::spent_rate(part);
        Err((rate > 0.0).then(|| Time::from_secs_f64(((1.0 - self.have) / rate).min(3600.0))))
    }
}

/// A part's share of the burst.
fn cap(part: u64, burst: u64, size: u64) -> f64 {
    burst as f64 / 1000.0 * part as f64 / size.max(1) as f64
}

/// How much is needed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meter {
    rate: f64,
    quick: f64,
    peak: f64,
    at: Time,
    /// When the need last moved.
    moved: Time,
}

impl Meter {
    /// Over how long the rate is measured: the longer ago it moved, the longer.
    fn memory(&self) -> f64 {
        (self.at.saturating_sub(self.moved).as_secs_f64() / 2.0).clamp(QUICK, MEMORY)
    }

    fn fade(&mut self, now: Time) {
        let gone = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-gone / self.memory()).exp();
        self.quick *= (-gone / QUICK).exp();
        self.peak *= (-gone / MEMORY).exp();
        self.at = now;
    }

    /// A need that has moved is taken as it is now, not as it was on average.
    fn follow(&mut self) {
        let chance = (self.rate.max(1.0) / (2.0 * QUICK)).sqrt();
        if (self.quick - self.rate).abs() > DEVIATIONS * chance {
            (self.rate, self.moved) = (self.quick, self.at);
        }
    }

    /// One was wanted, whether it was had or not, while so many were out.
    pub fn wanted(&mut self, now: Time, out: u64) {
        self.fade(now);
        self.rate += 1.0 / self.memory();
        self.quick += 1.0 / QUICK;
        self.follow();
        self.peak = self.peak.max(out as f64 + 1.0);
    }

    /// One was refused: there is need beyond what is out.
    pub fn refused(&mut self) {
        self.peak += 1.0;
    }

    /// What to ask for, in thousandths.
    pub fn need(&mut self, now: Time, kind: Kind, out: u64) -> u64 {
        self.fade(now);
        self.follow();
        let needed = match kind {
            Kind::Rate { .. } => self.rate,
            Kind::Level { .. } => self.peak.max(out as f64),
        };
        if needed < 0.05 { 0 } else { (needed * ROOM * 1000.0).min(1e12) as u64 }
    }
}

#[cfg(test)]
mod tests;
