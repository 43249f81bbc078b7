//! Unit tests of the private function `minimise`.

use super::minimise;

#[test]
fn minimise_finds_the_items_that_matter() {
    let items: Vec<u32> = (0..40).collect();
    let (minimal, _) = minimise(&items, |subset| subset.contains(&7) && subset.contains(&31));
    assert_eq!(minimal, [7, 31]);
    assert!(minimise(&items, |_| true).0.is_empty(), "no fault is needed");
    assert_eq!(minimise(&items, |subset| subset.contains(&0)).0, [0]);
}
