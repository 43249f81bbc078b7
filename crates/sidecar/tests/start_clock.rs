//! Start times of endpoints stay fixed on the monotonic clock, however the wall clock is stepped.
mod common;

use cometcroft::Time;
use cometcroft_sidecar::start_clock::StartClock;
use proptest::prelude::*;
use std::time::Duration;

const NOW: Time = Duration::from_secs(10_000);
const UNIX: Duration = Duration::from_secs(1_800_000_000);
const HOUR: i64 = 3600;

/// `base` moved by this many seconds.
fn at(base: Duration, seconds: i64) -> Duration {
    Duration::from_millis((base.as_millis() as i64 + seconds * 1000) as u64)
}

/// A Unix time in milliseconds, as discovery reports it.
fn stamp(unix: Duration) -> i64 {
    unix.as_millis() as i64
}

#[test]
fn a_start_time_is_converted_with_the_offset_of_its_period() {
    for step in [3, -3, HOUR, -HOUR] {
        let clock = StartClock::new(NOW, UNIX);
        clock.observe(at(NOW, 20), at(UNIX, 20));
        // The wall clock is stepped between 20 s and 24 s.
        clock.observe(at(NOW, 24), at(UNIX, 24 + step));
        assert_eq!(clock.start_time(stamp(at(UNIX, 10))), Some(at(NOW, 10)), "before the step of {step} s");
        clock.observe(at(NOW, 40), at(UNIX, 40 + step));
        assert_eq!(
            clock.start_time(stamp(at(UNIX, 36 + step))),
            Some(at(NOW, 36)),
            "after the step of {step} s"
        );
        assert_eq!(clock.start_time(0), None);
        assert_eq!(clock.start_time(stamp(at(UNIX, -4 * HOUR))), None, "long ago");
    }
}

#[test]
fn a_slewed_clock_moves_no_start_time() {
    let clock = StartClock::new(NOW, UNIX);
    let started = clock.start_time(stamp(at(UNIX, -5)));
    for second in 1..100u32 {
        let slewed = at(UNIX, i64::from(second)) + Duration::from_millis(1) * second;
        clock.observe(at(NOW, i64::from(second)), slewed);
        assert_eq!(clock.start_time(stamp(at(UNIX, -5))), started);
    }
}

proptest! {
    #![proptest_config(common::proptest_config(500))]
    /// The start time is never earlier than the true one, beyond the precision of the observations, and never in the future:
    /// a cold endpoint must not get more than a cold endpoint may get.
    #[test]
    fn no_step_makes_an_endpoint_look_warm(
        steps in proptest::collection::vec((1i64..30, -4000i64..4000), 0..6),
        started in 0i64..200,
        look in 200i64..210,
    ) {
        let clock = StartClock::new(NOW, UNIX);
        let (mut time, mut shift, mut stamped) = (0, 0, None);
        let mut changes = Vec::new();
        for (after, step) in steps {
            time += after;
            changes.push((time, step));
        }
        for second in 0..=look {
            shift += changes.iter().filter(|(at, _)| *at == second).map(|(_, step)| step).sum::<i64>();
            if second == started {
                stamped = Some(stamp(at(UNIX, second + shift)));
            }
            clock.observe(at(NOW, second), at(UNIX, second + shift));
        }
        let placed = clock.start_time(stamped.expect("it has started"));
        let (true_start, now) = (at(NOW, started), at(NOW, look));
        // Steps under 250 ms, which are not detected, do not occur here: all steps are whole seconds.
        prop_assert!(placed.is_some_and(|placed| placed >= true_start && placed <= now), "{placed:?} for {true_start:?}");
    }
}
