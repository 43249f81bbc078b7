//! Tests of `accord` that mean its private state.

use super::*;

fn told(generation: u64, founding: u64, index: u64) -> Told {
    let name = "m".to_owned();
    Told { name, generation, founding, index, revision: 0, ready: true, tries: (0, 0) }
}

#[test]
fn what_was_confirmed_before_a_founding_confirms_nothing_after_it() {
    // The copy that was founded from had fewer entries than this one had confirmed.
    let (before, after) = (told(1, 1, 500), told(1, 2, 400));
    assert!(after.place() > before.place(), "the lower number is the later word");
    assert_eq!((before.confirms(2), after.confirms(2)), (0, 400));
    assert!(told(2, 1, 1).place() > after.place(), "a later start is later whatever it has read");
}
