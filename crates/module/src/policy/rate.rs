//! Exponentially decayed rates and sums.

use crate::interface::Time;
use std::time::Duration;

/// Events per second, as an exponentially decayed average.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    /// Time constant of the decay, in seconds.
    pub(super) time_constant: f64,
    /// Start of the observation.
    pub(super) since: Time,
    /// Time up to which `value` has decayed.
    pub(super) updated: Time,
    pub(super) value: f64,
}

impl Rate {
    /// A rate without events, observed from `now`.
    pub(super) fn new(time_constant: Duration, now: Time) -> Rate {
        Rate { time_constant: time_constant.as_secs_f64(), since: now, updated: now, value: 0.0 }
    }

    /// Counts an event.
    pub(super) fn add(&mut self, now: Time) {
        self.add_weighted(now, 1.0);
    }

    /// Counts an event with this weight.
    pub(super) fn add_weighted(&mut self, now: Time, weight: f64) {
        if self.value == 0.0 {
            self.since = now;
        }
        self.value = self.value * decay(self.updated, now, self.time_constant) + weight / self.time_constant;
        self.updated = now;
    }

    /// Decayed number of events.
    pub(super) fn count(&self, now: Time) -> f64 {
        self.value * decay(self.updated, now, self.time_constant) * self.time_constant
    }

    /// Events per second, corrected for an observation shorter than the time constant.
    pub(super) fn per_second(&self, now: Time) -> f64 {
        self.value * decay(self.updated, now, self.time_constant) / self.coverage(now)
    }

    /// Fraction of the decay window that has been observed.
    pub(super) fn coverage(&self, now: Time) -> f64 {
        (1.0 - decay(self.since, now, self.time_constant)).max(0.01)
    }

    /// Integral of the rate over an interval without events.
    pub(super) fn integrate(&self, from: Time, to: Time) -> f64 {
        self.count(from) * (1.0 - decay(from, to, self.time_constant)) / self.coverage(to)
    }
}

/// Factor by which a value decays between two times; `time_constant` is in seconds.
pub(super) fn decay(from: Time, to: Time, time_constant: f64) -> f64 {
    (-to.saturating_sub(from).as_secs_f64() / time_constant).exp()
}

/// Converts seconds to a duration; out-of-range values are clamped.
pub(super) fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 4000.0))
}
