//! Use of a share: the token bucket of a rate limit, and the measurement of how much of a limit is needed.

use crate::config::{Config, LimitKind, Time};

/// Time over which a steady demand is measured, in seconds.
const STEADY_WINDOW_S: f64 = 1.5;
/// Time over which a changing demand is measured, in seconds.
const QUICK_WINDOW_S: f64 = 0.2;
/// A demand counts as changed if the quick measurement differs from the steady one by more than this many standard
/// deviations of random arrivals.
const CHANGE_DEVIATIONS: f64 = 3.0;
/// Ratio of the requested to the measured demand. Headroom for random peaks comes from what no holder needs, which is
/// spread over all of them. Where nothing is left to spread, a greater ratio would leave unused here what others lack.
const DEMAND_HEADROOM: f64 = 1.02;

/// Share of a limit over time: `guaranteed` at any time, `lent` in addition until the lease expires.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    pub guaranteed: u64,
    pub lent: u64,
    pub lease_expires_at: Time,
}

impl Share {
    fn at(&self, now: Time) -> u64 {
        self.guaranteed + if now < self.lease_expires_at { self.lent } else { 0 }
    }
}

/// Token bucket of a rate limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket: the previous holder of the share may have used up its burst.
    pub fn new(now: Time) -> TokenBucket {
        TokenBucket { tokens: 0.0, updated_at: now }
    }

    /// Adds the tokens of the time since the last call. The share must not have changed since then, except by the
    /// expiry of its lease.
    pub fn refill(&mut self, now: Time, share: Share, burst: u64, size: u64) {
        let expiry = share.lease_expires_at.clamp(self.updated_at, now.max(self.updated_at));
        let lent = if self.updated_at < share.lease_expires_at { share.lent } else { 0 };
        self.refill_until(expiry, share.guaranteed + lent, burst, size);
        self.refill_until(now, share.guaranteed, burst, size);
        self.tokens = self.tokens.min(capacity(share.at(now), burst, size));
    }

    fn refill_until(&mut self, to: Time, share: u64, burst: u64, size: u64) {
        if to <= self.updated_at {
            return;
        }
        let gained = (to - self.updated_at).as_secs_f64() * Config::tokens_per_second(share);
        // Tokens saved under a greater share are cut to the capacity under this one.
        self.tokens = (self.tokens + gained).min(capacity(share, burst, size));
        self.updated_at = to;
    }

    /// Takes one token; an error is the time until there is one, `None` if the share is zero.
    pub fn take(&mut self, share: u64) -> Result<(), Option<Time>> {
        // Rounding errors of many small refills add up to slightly less than a token.
        if self.tokens >= 1.0 - 1e-9 {
            self.tokens = (self.tokens - 1.0).max(0.0);
            return Ok(());
        }
        let rate = Config::tokens_per_second(share);
        Err((rate > 0.0).then(|| Time::from_secs_f64(((1.0 - self.tokens) / rate).min(3600.0))))
    }
}

/// Capacity of the bucket: the part of the burst that belongs to a share.
fn capacity(share: u64, burst: u64, size: u64) -> f64 {
    burst as f64 / 1000.0 * share as f64 / size.max(1) as f64
}

/// Measures the demand for a limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct DemandMeter {
    /// Uses per second, averaged over [`DemandMeter::window`].
    rate: f64,
    /// Uses per second, averaged over [`QUICK_WINDOW_S`].
    quick_rate: f64,
    /// Recent peak of concurrent uses.
    peak: f64,
    updated_at: Time,
    /// When the demand last changed.
    changed_at: Time,
}

impl DemandMeter {
    /// Time over which the rate is averaged: the longer the demand has been steady, the longer.
    fn window(&self) -> f64 {
        let steady = self.updated_at.saturating_sub(self.changed_at).as_secs_f64();
        (steady / 2.0).clamp(QUICK_WINDOW_S, STEADY_WINDOW_S)
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate *= (-elapsed / self.window()).exp();
        self.quick_rate *= (-elapsed / QUICK_WINDOW_S).exp();
        self.peak *= (-elapsed / STEADY_WINDOW_S).exp();
        self.updated_at = now;
    }

    /// Replaces the average by the current rate if the demand has changed.
    fn detect_change(&mut self) {
        let deviation = (self.rate.max(1.0) / (2.0 * QUICK_WINDOW_S)).sqrt();
        if (self.quick_rate - self.rate).abs() > CHANGE_DEVIATIONS * deviation {
            (self.rate, self.changed_at) = (self.quick_rate, self.updated_at);
        }
    }

    /// Records that a use was requested, granted or not, besides `in_use` concurrent ones.
    pub fn record_request(&mut self, now: Time, in_use: u64) {
        self.decay(now);
        self.rate += 1.0 / self.window();
        self.quick_rate += 1.0 / QUICK_WINDOW_S;
        self.detect_change();
        self.peak = self.peak.max(in_use as f64 + 1.0);
    }

    /// Records that a use was rejected: the demand exceeds the current uses.
    pub fn record_rejection(&mut self) {
        self.peak += 1.0;
    }

    /// Demand to request, in thousandths.
    pub fn demand(&mut self, now: Time, kind: LimitKind, in_use: u64) -> u64 {
        self.decay(now);
        self.detect_change();
        let demand = match kind {
            LimitKind::Rate { .. } => self.rate,
            LimitKind::Concurrency { .. } => self.peak.max(in_use as f64),
        };
        if demand < 0.05 { 0 } else { (demand * DEMAND_HEADROOM * 1000.0).min(1e12) as u64 }
    }
}

#[cfg(test)]
mod tests;
