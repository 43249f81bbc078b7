//! How long an endpoint list stays valid without a confirmation by discovery.
#![allow(clippy::disallowed_methods)]

use cometcroft_sidecar::freshness::Freshness;
use proptest::prelude::*;
use std::time::{Duration, Instant};

mod common;

const MS: Duration = Duration::from_millis(1);
/// How long after discovery had a change, and could be reached, the change counts as delivered.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

fn started() -> (Freshness, Instant) {
    let now = Instant::now();
    (Freshness::default(), now)
}

/// Guards against issue 52: a process that had just started relied on the list it was given, whatever its age.
#[test]
fn the_initial_list_allows_nothing_before_discovery_answers() {
    let (freshness, began) = started();
    assert!(!freshness.allows(None, began));
    freshness.record_call_end();
    assert!(!freshness.allows(None, began + 100 * MS));
    freshness.record_confirmation(began + 200 * MS);
    assert!(freshness.allows(None, began + 300 * MS));
}

/// Guards against relying on responses that were written before a change and arrived long after it.
#[test]
fn a_list_is_as_old_as_the_call_that_confirmed_it() {
    let (freshness, began) = started();
    let called = began + 10_000 * MS;
    // The time at which the response arrived does not matter. A process may be delayed by 0.15 s between reading the clock
    // and a write.
    freshness.record_confirmation(called);
    assert!(freshness.allows(None, called + NOTIFICATION_DEADLINE - 160 * MS));
    assert!(!freshness.allows(None, called + NOTIFICATION_DEADLINE - 150 * MS));
    // A later response to an earlier call does not shorten the validity.
    freshness.record_confirmation(called - 2000 * MS);
    assert!(freshness.allows(None, called + NOTIFICATION_DEADLINE - 160 * MS));
}

#[test]
fn an_endpoint_that_recently_accepted_a_request_may_get_another() {
    let (freshness, began) = started();
    let now = began + 20_000 * MS;
    assert!(freshness.allows(Some(now - 3000 * MS), now));
    // It may have begun to drain since then, and a draining endpoint may go on accepting requests for a while.
    assert!(!freshness.allows(Some(now - 3500 * MS), now));
}

/// Guards against issue 52: failed calls, of any kind and for any time, opened every endpoint.
#[test]
fn once_the_list_has_expired_only_a_confirmation_opens_endpoints_without_evidence() {
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
fn pushed_lists_are_valid_without_end_once_the_agent_was_called() {
    let (freshness, began) = started();
    freshness.configure(true);
    // A change that the agent has counts as delivered from the start of the process, so nothing begins before the first call.
    assert!(!freshness.allows(None, began) && freshness.validity(began).is_some());
    freshness.record_call_end();
    assert!(freshness.allows(None, began + 60_000 * MS) && freshness.validity(began).is_none());
}

proptest! {
    #![proptest_config(common::proptest_config(2000))]
    /// Whenever responses arrive, the list alone allows nothing once a change right after the last response may count as
    /// delivered.
    #[test]
    fn nothing_begins_once_an_unknown_change_may_count_as_delivered(
        pauses in proptest::collection::vec(0u32..9000, 1..20),
        after in 0u32..9000,
    ) {
        let (freshness, began) = started();
        let (mut now, mut delivered) = (began, began + NOTIFICATION_DEADLINE);
        for pause in pauses {
            now += pause * MS;
            freshness.record_confirmation(now);
            delivered = now + NOTIFICATION_DEADLINE;
        }
        let at = now + after * MS;
        prop_assert!(at < delivered || !freshness.allows(None, at));
    }
}
