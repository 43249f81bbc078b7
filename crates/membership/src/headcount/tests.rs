//! Tests of the headcount.

use super::*;

fn s(seconds: u64) -> Time {
    Time::from_secs(seconds)
}

#[test]
fn an_increase_takes_effect_at_once_and_a_decrease_after_it_has_lasted() {
    let mut count = Headcount::new(s(0), 3, s(10), true);
    assert_eq!(count.observe(s(1), 5, 5, 5), 5);
    assert_eq!(count.observe(s(2), 2, 4, 5), 5);
    assert_eq!(count.observe(s(6), 4, 4, 5), 5);
    assert_eq!(count.observe(s(11), 2, 4, 5), 5);
    assert_eq!(count.observe(s(12), 2, 4, 5), 4, "five was last seen 11 s ago, four 6 s ago");
    assert_eq!(count.observe(s(17), 2, 4, 5), 2);
    assert_eq!(count.observe(s(18), 7, 7, 7), 7);
}

#[test]
fn a_member_that_reaches_less_than_half_keeps_its_count_and_the_count_is_never_zero() {
    let mut count = Headcount::new(s(0), 5, s(10), true);
    for t in 1..60 {
        assert_eq!(count.observe(s(t), 2, 2, 5), 5);
    }
    // The member reaches the others again, but a decrease still has to last.
    assert_eq!(count.observe(s(60), 2, 3, 5), 5);
    assert_eq!(count.observe(s(71), 2, 3, 5), 2);
    assert_eq!(Headcount::new(s(0), 0, s(1), true).observe(s(5), 0, 1, 1), 1);
}
