//! When a discovery that is down or crowded is called again: once in each period, at a phase drawn at random. No I/O.
//!
//! Nobody can tell when discovery is back, and from then on a change counts as told after [`NOTIFICATION_DEADLINE`]. So the time between two
//! calls has a bound below that, and the calls of a fleet are spread evenly over it: with longer pauses for some and shorter
//! ones for others, as drawn pauses give, the last are late though discovery could have answered all.
//!
//! Where it could not, and its queue gets longer than callers may wait, nobody is answered, also not those who know that
//! their lists are out of date. So sidecars whose lists are borne out by many endpoints that serve leave more time.

use super::schedule::{NOTIFICATION_DEADLINE, Time};
use std::time::Duration;

/// The part of [`NOTIFICATION_DEADLINE`] that is left for the answer of a call.
const ANSWERED_WITHIN: Duration = Duration::from_millis(500);
/// The time between the beginnings of two calls.
const PERIOD: Duration = NOTIFICATION_DEADLINE.saturating_sub(ANSWERED_WITHIN);
/// The same, as a multiple, while the list is borne out by the endpoints that serve.
const CORROBORATED: f64 = 1.6;
/// After so many calls that failed the periods grow. Where the fleet's calls take discovery longer than a period, its queue
/// grows longer than callers may wait, and from then on nobody is answered until there are fewer calls.
const STEADY_CALLS: u32 = 10;
/// By this factor each.
const GROWTH: f64 = 1.5;
/// So often at most.
const GROWTHS: u32 = 4;

/// The time between the beginnings of two calls.
#[derive(Debug, Clone, Copy)]
pub(super) struct Period {
    /// By the settings.
    pub(super) usual: Duration,
    /// The list is borne out by the endpoints that serve.
    pub(super) corroborated: bool,
}

/// Calls that fail, one in each period.
#[derive(Debug, Default)]
pub(super) struct RetryCycle {
    failed: u32,
}

impl RetryCycle {
    /// The settings' period: a list is asked for within `ask_within`.
    pub(super) fn period(ask_within: Duration) -> Duration {
        PERIOD.min(ask_within)
    }

    /// When the next call is made after one that began at `began` and failed at `now`; `phase` is drawn from 0 to 1.
    pub(super) fn next(&mut self, period: Period, began: Time, now: Time, phase: f64) -> Time {
        let period = if period.corroborated { period.usual.mul_f64(CORROBORATED) } else { period.usual };
        self.failed += 1;
        if self.failed == 1 {
            return now + period.mul_f64(phase);
        }
        let growths = self.failed.saturating_sub(STEADY_CALLS).min(GROWTHS);
        let period = period.mul_f64(GROWTH.powi(growths as i32));
        now.max(began + period)
    }

    /// A call was answered.
    pub(super) fn reset(&mut self) {
        self.failed = 0;
    }
}
