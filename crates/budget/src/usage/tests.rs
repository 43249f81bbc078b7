//! Unit tests of the token bucket and the demand meter.

use super::*;

fn s(seconds: f64) -> Time {
    Time::from_secs_f64(seconds)
}

#[test]
fn tokens_accrue_at_the_rate_of_the_share_and_end_with_the_lease() {
    let share = Share { guaranteed: 0, lent: 10_000, lease_expires_at: s(2.0) };
    let mut bucket = TokenBucket::new(s(0.0));
    assert!(bucket.take(10_000).is_err(), "the bucket is empty at first");
    bucket.refill(s(1.0), share, 100_000, 100_000);
    let mut taken = 0;
    while bucket.take(10_000).is_ok() {
        taken += 1;
    }
    assert_eq!(taken, 9, "10 per second, less the reserve for fast clocks");
    // A process that wakes up long after the expiry of its lease has no tokens left from before.
    bucket.refill(s(1.9), share, 100_000, 100_000);
    bucket.refill(s(9.0), share, 100_000, 100_000);
    assert_eq!(bucket.take(0), Err(None));
}

#[test]
fn a_smaller_share_reduces_the_capacity_of_the_bucket() {
    let mut bucket = TokenBucket::new(s(0.0));
    let large = Share { guaranteed: 0, lent: 50_000, lease_expires_at: s(100.0) };
    bucket.refill(s(10.0), large, 100_000, 100_000);
    assert!(bucket.tokens > 49.0);
    let small = Share { guaranteed: 0, lent: 5_000, lease_expires_at: s(100.0) };
    bucket.refill(s(10.0), small, 100_000, 100_000);
    assert!(bucket.tokens <= 5.0, "{}", bucket.tokens);
}

#[test]
fn demand_is_measured_and_decays() {
    let mut meter = DemandMeter::default();
    for i in 0..400 {
        meter.record_request(s(f64::from(i) * 0.01), 0);
    }
    let demand = meter.demand(s(4.0), LimitKind::Rate { burst: 1000 }, 0);
    assert!((98_000..125_000).contains(&demand), "{demand}");
    assert!(
        meter.demand(s(4.8), LimitKind::Rate { burst: 1000 }, 0) < 40_000,
        "demand falls soon after requests end"
    );
    assert_eq!(meter.demand(s(14.0), LimitKind::Rate { burst: 1000 }, 0), 0);
    assert!(meter.demand(s(14.0), LimitKind::Concurrency { max_hold: s(1.0) }, 7) >= 7000);
}
