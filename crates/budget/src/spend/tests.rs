//! Tests of `spend` that mean its private state.

use super::*;

fn s(seconds: f64) -> Time {
    Time::from_secs_f64(seconds)
}

#[test]
fn tokens_come_at_the_parts_pace_and_end_with_it() {
    let part = Part { floor: 0, lent: 10_000, until: s(2.0) };
    let mut tokens = Tokens::new(s(0.0));
    assert!(tokens.take(10_000).is_err(), "none to begin with");
    tokens.pass(s(1.0), part, 100_000, 100_000);
    let mut taken = 0;
    while tokens.take(10_000).is_ok() {
        taken += 1;
    }
    assert_eq!(taken, 9, "10 a second, less what is kept back");
    // Woken long after its lease has ended: nothing is left, whatever it had saved.
    tokens.pass(s(1.9), part, 100_000, 100_000);
    tokens.pass(s(9.0), part, 100_000, 100_000);
    assert_eq!(tokens.take(0), Err(None));
}

#[test]
fn a_part_that_shrinks_takes_its_share_of_the_burst_with_it() {
    let mut tokens = Tokens::new(s(0.0));
    let great = Part { floor: 0, lent: 50_000, until: s(100.0) };
    tokens.pass(s(10.0), great, 100_000, 100_000);
    assert!(tokens.have > 49.0);
    let small = Part { floor: 0, lent: 5_000, until: s(100.0) };
    tokens.pass(s(10.0), small, 100_000, 100_000);
    assert!(tokens.have <= 5.0, "{}", tokens.have);
}

#[test]
fn a_need_is_measured_and_forgotten() {
    let mut meter = Meter::default();
    for i in 0..400 {
        meter.wanted(s(f64::from(i) * 0.01), 0);
    }
    let need = meter.need(s(4.0), Kind::Rate { burst: 1000 }, 0);
    assert!((98_000..125_000).contains(&need), "{need}");
    assert!(meter.need(s(4.8), Kind::Rate { burst: 1000 }, 0) < 40_000, "what ends is soon not asked for");
    assert_eq!(meter.need(s(14.0), Kind::Rate { burst: 1000 }, 0), 0);
    assert!(meter.need(s(14.0), Kind::Level { longest: s(1.0) }, 7) >= 7000);
}
