//! Calculations along a chain of calls and for a release.

use cometcroft_capacity::arithmetic::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() <= 1e-9 * expected.abs().max(1.0), "{actual}, expected {expected}");
}

#[test]
fn the_response_margin_is_a_twentieth_within_bounds() {
    assert_eq!(response_margin(3000 * MS), 60 * MS);
    assert_eq!(response_margin(1000 * MS), 50 * MS);
    assert_eq!(response_margin(40 * MS), 4 * MS);
    assert_eq!(response_margin(6 * MS), 3 * MS, "at most half of the remaining deadline");
}

#[test]
fn a_deadline_shrinks_by_the_margin_of_each_hop() {
    assert_eq!(deadline_by_hop(3000 * MS, 3), [2940 * MS, 2880 * MS, 2820 * MS]);
    assert_eq!(deadline_by_hop(3000 * MS, 13)[12], 2220 * MS);
    assert_eq!(last_attempt_time(3000 * MS, 2, 3), (980 * MS - 49 * MS) / 3);
}

#[test]
fn attempts_multiply_along_the_hops_unless_a_rule_limits_them() {
    assert_near(mean_attempts(0.0, 3), 1.0);
    assert_near(mean_attempts(0.5, 3), 1.75);
    assert_near(mean_attempts(1.0, 3), 3.0);
    assert_near(amplification(mean_attempts(1.0, 3), 13), 1_594_323.0);
    assert_near(limited_attempts(1.0, 3, 0.1), 1.1);
    assert_near(limited_attempts(0.01, 3, 0.1), 1.0101);
    assert_near(amplification(limited_attempts(1.0, 3, 0.1), 2), 1.21);
}

#[test]
fn a_release_takes_the_longer_of_the_batches_and_the_leaders_entries() {
    let one = ReleaseTime::estimate(3600, 17, Duration::from_secs(10), None);
    assert_eq!((one.out_at_once, one.batches_s, one.entries_s), (1.0, 2120.0, 720.0));
    assert_near(one.seconds(), 2120.0);
    let many = ReleaseTime::estimate(3600, 17, Duration::from_secs(10), Some(0.05));
    assert_eq!((many.out_at_once, many.batches_s), (10.0, 220.0));
    assert_near(many.seconds(), 720.0);
}
