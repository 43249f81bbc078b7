//! When endpoints started, on the module's monotonic clock. Discovery tells starts as Unix times, and the wall clock that they
//! were read from may step while the sidecar runs. No I/O.

use cometcroft::Time;
use std::cell::RefCell;
use std::time::Duration;

/// Both clocks drift apart by less than this between two looks; more is a step of the wall clock.
const STEP_MS: i128 = 250;
/// So many offsets of the wall clock are remembered.
const MAX_EPOCHS: usize = 8;

/// A time in which the wall clock ran without a step.
#[derive(Debug, Clone, Copy)]
struct Epoch {
    /// The earliest moment at which it may have begun; the first has always been.
    from_ms: Option<i128>,
    /// When it was last looked at.
    seen_ms: i128,
    /// The module's clock at the Unix epoch.
    offset_ms: i128,
}

/// Turns Unix times of starts into times of the module's clock.
#[derive(Debug)]
pub struct StartClock {
    epochs: RefCell<Vec<Epoch>>,
}

impl StartClock {
    /// `now` is the module's clock at this moment, and `unix` the time since the Unix epoch.
    pub fn new(now: Time, unix: Duration) -> StartClock {
        let now_ms = now.as_millis() as i128;
        let first = Epoch { from_ms: None, seen_ms: now_ms, offset_ms: now_ms - unix.as_millis() as i128 };
        StartClock { epochs: RefCell::new(vec![first]) }
    }

    /// Compares both clocks again. An offset is kept until the wall clock steps, so that a start keeps its time.
    pub fn observe(&self, now: Time, unix: Duration) {
        let now_ms = now.as_millis() as i128;
        let offset_ms = now_ms - unix.as_millis() as i128;
        let mut epochs = self.epochs.borrow_mut();
        let Some(last) = epochs.last_mut() else { return };
        if (offset_ms - last.offset_ms).abs() < STEP_MS {
            last.seen_ms = now_ms;
            return;
        }
        let from_ms = Some(last.seen_ms);
        // The step came at some time since the last look.
        last.seen_ms = now_ms;
        epochs.push(Epoch { from_ms, seen_ms: now_ms, offset_ms });
        if epochs.len() > MAX_EPOCHS {
            epochs.remove(0);
        }
    }

    /// When an endpoint started that says so in Unix time; `None` where that was long ago. Where several offsets of the wall
    /// clock fit, the latest time counts: an endpoint is rather taken to be cold for too long than for too short.
    pub fn start_time(&self, since_ms: i64) -> Option<Time> {
        if since_ms <= 0 {
            return None;
        }
        let epochs = self.epochs.borrow();
        let now_ms = epochs.last()?.seen_ms;
        let at = |epoch: &Epoch| i128::from(since_ms) + epoch.offset_ms;
        let fits =
            |epoch: &&Epoch| epoch.from_ms.is_none_or(|from| at(epoch) >= from) && at(epoch) <= epoch.seen_ms;
        let fitting = epochs.iter().filter(fits).map(at).max();
        // Its own clock may be ahead of ours.
        let started_ms = fitting.unwrap_or_else(|| epochs.last().map_or(now_ms, at).min(now_ms));
        // A start before the module's clock began was long ago.
        u64::try_from(started_ms).ok().filter(|&ms| ms > 0).map(Duration::from_millis)
    }
}
