//! Tests of `accord` that mean its private state.

use super::*;

fn told(generation: u64, founding: u64, index: u64) -> StatusReport {
    let name = "m".to_owned();
    StatusReport { name, generation, founding, index, revision: 0, ready: true, tries: (0, 0) }
}

#[test]
fn what_was_confirmed_before_a_founding_confirms_nothing_after_it() {
    // The copy that was founded from had fewer entries than this one had confirmed.
    let (before, after) = (told(1, 1, 500), told(1, 2, 400));
    assert!(after.place() > before.place(), "the lower number is the later word");
    assert_eq!((before.confirms(2), after.confirms(2)), (0, 400));
    assert!(told(2, 1, 1).place() > after.place(), "a later start is later whatever it has read");
}

#[test]
fn what_goes_to_the_voters_has_these_bytes() {
    let told = StatusReport {
        name: "m".to_owned(),
        generation: 300,
        founding: 2,
        index: 5,
        revision: 7,
        ready: true,
        tries: (1, 200),
    };
    // Name, generation, founding, index, revision, ready, tries: sidecars of two versions read one another.
    let bytes = [1, b'm', 0xac, 0x02, 2, 5, 7, 1, 1, 0xc8, 0x01];
    assert_eq!(postcard::to_stdvec(&told).expect("it has a form"), bytes);
    let read: StatusReport = postcard::from_bytes(&bytes).expect("it is read");
    assert_eq!(format!("{read:?}"), format!("{told:?}"));
}
