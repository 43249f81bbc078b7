//! Start times of endpoints on the module's monotonic clock. Discovery reports them as Unix times, and the wall clock may be
//! stepped while the sidecar runs. No I/O.

use cometcroft::Time;
use std::cell::RefCell;
use std::time::Duration;

/// The clocks drift apart by less than this between two observations; a larger difference is a step of the wall clock.
const MIN_STEP_MS: i128 = 250;
/// Maximum number of offsets of the wall clock that are kept.
const MAX_PERIODS: usize = 8;

/// A period between two steps of the wall clock.
#[derive(Debug, Clone, Copy)]
struct OffsetPeriod {
    /// The earliest time at which the period may have begun; `None` for the first one.
    from_ms: Option<i128>,
    /// When the clocks were last compared in this period.
    seen_ms: i128,
    /// The module's clock minus the wall clock.
    offset_ms: i128,
}

/// Converts start times from Unix time to the module's clock.
#[derive(Debug)]
pub struct StartClock {
    periods: RefCell<Vec<OffsetPeriod>>,
}

impl StartClock {
    /// Starts with one reading of both clocks: `now` of the module's clock, `unix` the time since the Unix epoch.
    pub fn new(now: Time, unix: Duration) -> StartClock {
        let now_ms = now.as_millis() as i128;
        let first =
            OffsetPeriod { from_ms: None, seen_ms: now_ms, offset_ms: now_ms - unix.as_millis() as i128 };
        StartClock { periods: RefCell::new(vec![first]) }
    }

    /// Compares the clocks again. The offset is kept until the wall clock is stepped, so that start times do not move.
    pub fn observe(&self, now: Time, unix: Duration) {
        let now_ms = now.as_millis() as i128;
        let offset_ms = now_ms - unix.as_millis() as i128;
        let mut periods = self.periods.borrow_mut();
        let Some(last) = periods.last_mut() else { return };
        if (offset_ms - last.offset_ms).abs() < MIN_STEP_MS {
            last.seen_ms = now_ms;
            return;
        }
        let from_ms = Some(last.seen_ms);
        // The step happened at some time since the last comparison.
        last.seen_ms = now_ms;
        periods.push(OffsetPeriod { from_ms, seen_ms: now_ms, offset_ms });
        if periods.len() > MAX_PERIODS {
            periods.remove(0);
        }
    }

    /// The start time of an endpoint, from its Unix time in milliseconds; `None` if it started long ago. Where several
    /// offsets of the wall clock fit, the latest time is taken: it is safer to treat an endpoint as cold for too long than
    /// for too short a time.
    pub fn start_time(&self, since_ms: i64) -> Option<Time> {
        if since_ms <= 0 {
            return None;
        }
        let periods = self.periods.borrow();
        let now_ms = periods.last()?.seen_ms;
        let at = |period: &OffsetPeriod| i128::from(since_ms) + period.offset_ms;
        let fits = |period: &&OffsetPeriod| {
            period.from_ms.is_none_or(|from| at(period) >= from) && at(period) <= period.seen_ms
        };
        let fitting = periods.iter().filter(fits).map(at).max();
        // The endpoint's clock may be ahead of the sidecar's.
        let started_ms = fitting.unwrap_or_else(|| periods.last().map_or(now_ms, at).min(now_ms));
        // A start before the origin of the module's clock was long ago.
        u64::try_from(started_ms).ok().filter(|&ms| ms > 0).map(Duration::from_millis)
    }
}
