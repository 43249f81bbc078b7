//! Tests of `shrink` that mean its private state.

use super::minimise;

#[test]
fn what_matters_is_found_among_much_that_does_not() {
    let all: Vec<u32> = (0..40).collect();
    let (least, _) = minimise(&all, |part| part.contains(&7) && part.contains(&31));
    assert_eq!(least, [7, 31]);
    assert!(minimise(&all, |_| true).0.is_empty(), "no fault is needed");
    assert_eq!(minimise(&all, |part| part.contains(&0)).0, [0]);
}
