//! How long a list is used that discovery does not confirm.
#![allow(clippy::disallowed_methods)]

use cometcroft_sidecar::freshness::Freshness;
use proptest::prelude::*;
use std::time::{Duration, Instant};

mod common;

const MS: Duration = Duration::from_millis(1);
/// A change counts as told so long after discovery had it and could be reached.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

fn started() -> (Freshness, Instant) {
    let now = Instant::now();
    (Freshness::default(), now)
}

/// Guards against issue 52: a process that has just started relied on the list it was given, whatever its age.
#[test]
fn the_list_that_a_process_is_started_with_opens_nothing_before_discovery_answers() {
    let (freshness, began) = started();
    assert!(!freshness.allows(None, began));
    freshness.record_call_end();
    assert!(!freshness.allows(None, began + 100 * MS));
    freshness.record_confirmation(began + 200 * MS);
    assert!(freshness.allows(None, began + 300 * MS));
}

/// Guards against answers that were made before a change and came long after it.
#[test]
fn a_list_is_as_old_as_the_call_that_confirmed_it() {
    let (freshness, began) = started();
    let called = began + 10_000 * MS;
    // Whenever its answer came. A process may be held up for 0.15 s between its look at the clock and a write.
    freshness.record_confirmation(called);
    assert!(freshness.allows(None, called + NOTIFICATION_DEADLINE - 160 * MS));
    assert!(!freshness.allows(None, called + NOTIFICATION_DEADLINE - 150 * MS));
    // An answer to an older call, which comes later, takes nothing back.
    freshness.record_confirmation(called - 2000 * MS);
    assert!(freshness.allows(None, called + NOTIFICATION_DEADLINE - 160 * MS));
}

#[test]
fn an_endpoint_that_took_a_request_lately_takes_another() {
    let (freshness, began) = started();
    let now = began + 20_000 * MS;
    assert!(freshness.allows(Some(now - 3000 * MS), now));
    // It may have begun to drain since and may go on taking requests for a while.
    assert!(!freshness.allows(Some(now - 3500 * MS), now));
}

/// Guards against issue 52: an absence of answers, however long and of whatever kind, opened every endpoint.
#[test]
fn once_the_list_has_lapsed_only_an_answer_opens_endpoints_without_evidence() {
    let (freshness, began) = started();
    let answered = began + 10_000 * MS;
    freshness.record_confirmation(answered);
    for seconds in [6, 10, 60, 600, 3600] {
        assert!(!freshness.allows(None, answered + Duration::from_secs(seconds)));
    }
    let later = answered + Duration::from_secs(3600);
    freshness.record_confirmation(later);
    assert!(freshness.allows(None, later));
}

#[test]
fn what_an_agent_that_was_asked_does_not_tell_does_not_count_as_told() {
    let (freshness, began) = started();
    freshness.configure(true);
    // What it has counts from the first moment of a process.
    assert!(!freshness.allows(None, began) && freshness.validity(began).is_some());
    freshness.record_call_end();
    assert!(freshness.allows(None, began + 60_000 * MS) && freshness.validity(began).is_none());
}

proptest! {
    #![proptest_config(common::proptest_config(2000))]
    /// Whenever answers come: nothing begins by the list alone when a change right after the last one may count as told.
    #[test]
    fn nothing_begins_when_a_change_may_count_as_told(
        pauses in proptest::collection::vec(0u32..9000, 1..20),
        asked in 0u32..9000,
    ) {
        let (freshness, began) = started();
        let (mut now, mut told) = (began, began + NOTIFICATION_DEADLINE);
        for pause in pauses {
            now += pause * MS;
            freshness.record_confirmation(now);
            told = now + NOTIFICATION_DEADLINE;
        }
        let at = now + asked * MS;
        prop_assert!(at < told || !freshness.allows(None, at));
    }
}
