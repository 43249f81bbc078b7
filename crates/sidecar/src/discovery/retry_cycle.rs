//! The retry schedule while discovery is down or overloaded: one call per period, at a random phase. No I/O.
//!
//! The end of an outage can't be predicted, and from then on a change counts as delivered after [`NOTIFICATION_DEADLINE`].
//! The time between two calls therefore stays below that, and the calls of a fleet are spread evenly over it. With random
//! pauses, some would be longer than others, and the last sidecars would be late although discovery could have answered all
//! in time.
//!
//! If discovery can't answer all calls, and its queue gets longer than sidecars wait, no sidecar is answered, not even those
//! that suspect their list to be out of date. Sidecars whose lists are corroborated by many serving endpoints therefore call
//! less often.

use super::schedule::{NOTIFICATION_DEADLINE, Time};
use std::time::Duration;

/// The part of [`NOTIFICATION_DEADLINE`] that is reserved for the response to a call.
const RESPONSE_RESERVE: Duration = Duration::from_millis(500);
/// Maximum time between the beginnings of two calls, unless the list is corroborated or the outage is long.
const PERIOD: Duration = NOTIFICATION_DEADLINE.saturating_sub(RESPONSE_RESERVE);
/// Factor by which the period is longer while the list is corroborated by traffic.
const CORROBORATED_FACTOR: f64 = 1.6;
/// Number of failed calls after which the period grows. If the fleet's calls take discovery longer than a period, its queue
/// gets longer than sidecars wait, and no sidecar is answered until there are fewer calls.
const STEADY_CALLS: u32 = 10;
/// Factor by which the period grows with each further failed call.
const GROWTH: f64 = 1.5;
/// Maximum number of times that the period grows.
const MAX_GROWTHS: u32 = 4;

/// The time between the beginnings of two calls.
#[derive(Debug, Clone, Copy)]
pub(super) struct Period {
    /// The period by the settings.
    pub(super) base: Duration,
    /// Whether the list is corroborated by traffic, so that the period is longer.
    pub(super) corroborated: bool,
}

/// Times the calls while discovery is down or overloaded.
#[derive(Debug, Default)]
pub(super) struct RetryCycle {
    failed: u32,
}

impl RetryCycle {
    /// The base period, given the settings' limit on the time between two calls.
    pub(super) fn period(ask_within: Duration) -> Duration {
        PERIOD.min(ask_within)
    }

    /// When the next call is due after one that began at `began` and failed at `now`. `phase` is a random number from 0 to 1.
    pub(super) fn next(&mut self, period: Period, began: Time, now: Time, phase: f64) -> Time {
        let period = if period.corroborated { period.base.mul_f64(CORROBORATED_FACTOR) } else { period.base };
        self.failed += 1;
        if self.failed == 1 {
            return now + period.mul_f64(phase);
        }
        let growths = self.failed.saturating_sub(STEADY_CALLS).min(MAX_GROWTHS);
        let period = period.mul_f64(GROWTH.powi(growths as i32));
        now.max(began + period)
    }

    /// Starts over after a successful call.
    pub(super) fn reset(&mut self) {
        self.failed = 0;
    }
}
