//! Counters of the events of a sidecar, and the check of its invariants.

use crate::request_stats::RequestStats;
use serde_json::json;
use std::cell::Cell;
use std::time::Duration;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The counters of one sidecar. The field names are the keys of the JSON object.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)*
            /// Statistics per request class, for the operations endpoint.
            pub request_stats: RequestStats,
        }

        impl Counters {
            /// All counters as one line of JSON.
            pub fn json(&self) -> String {
                let pairs = [$((stringify!($name), self.$name.get()),)*];
                let pairs = pairs.map(|(name, count)| format!("\"{name}\":{count}"));
                let (operations, open) = (json!(self.request_stats.by_class()), self.request_stats.open_requests());
                format!("{{{},\"open_requests\":{open},\"operations\":{operations}}}", pairs.join(","))
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    frontend_connections,
    /// Connections that could not be accepted.
    accept_failures,
    /// Idle client connections closed to make room for others.
    frontend_evicted,
    /// Client connections that did not send a complete request in time.
    frontend_mute,
    /// Requests with the id of another request that is open or may have run.
    repeated_ids,
    /// Requests rejected because there was no room to remember their ids.
    unremembered_ids,
    /// Ids that could not be shared with the other process of an upgrade.
    unshared_ids,
    /// Malformed or oversized requests, of which no attempt was made.
    bad_requests,
    /// Requests rejected before they were complete because memory was short.
    memory_refused,
    /// The most memory that was charged for connections, requests and responses, in bytes.
    memory_charged_most,
    /// Requests rejected because the fleet's budget for requests was used up.
    budget_refused,
    /// Retries that were not sent because the fleet's budget for retries was used up.
    retries_barred,
    /// Connections that were not opened in time because the fleet's budget for connections was used up.
    connections_barred,
    /// Probes that were not sent because the fleet's budget for probes was used up.
    probes_barred,
    /// Requests accepted.
    sessions,
    /// Requests answered with the response of an endpoint.
    served,
    /// Requests rejected.
    denied,
    /// Requests that failed.
    failed,
    /// Requests whose client disconnected first.
    withdrawn,
    /// Requests that timed out: no response by their deadline.
    overdue,
    /// Attempts started.
    dispatches,
    /// Attempts answered with status 200.
    dispatch_ok,
    /// Attempts answered with an error.
    dispatch_error,
    /// Attempts that the endpoint rejected without running them.
    dispatch_full,
    /// Attempts that timed out.
    dispatch_timeout,
    /// Attempts that could not connect to the endpoint.
    dispatch_unconnected,
    /// Attempts whose connection was lost.
    dispatch_reset,
    /// Responses that could not be parsed or did not belong to their request; their attempts ended with an error.
    answers_spoilt,
    /// Attempts cancelled by the decision module.
    dispatch_cancelled,
    /// Attempts of requests that had already ended.
    dispatch_moot,
    /// Attempts stopped before their first byte because the endpoint was draining, removed or had moved.
    dispatch_barred,
    /// Attempts stopped before their first byte because the endpoint list was not confirmed and the endpoint had not accepted
    /// an attempt recently.
    dispatch_unconfirmed,
    /// Attempts stopped before their first byte because their time ran out while a notification of discovery was unread.
    dispatch_unread,
    /// Longest time from the arrival of a notification that excludes an endpoint to its exclusion, in microseconds.
    bar_delay_longest_us,
    /// Retries that were not sent because their window ended first.
    dispatch_outlived,
    /// Attempts that were not started because their client may have left behind bytes that were not read yet.
    dispatch_unwatched,
    /// Keyed retries not sent since another process may listen at their endpoint's address.
    dispatch_replaced,
    /// Connections opened to endpoints.
    backend_connections,
    /// Attempts sent on a reused connection.
    backend_reused,
    /// Idle connections to endpoints found closed or with unread bytes.
    backend_stale,
    /// Calls answered by the operations endpoint.
    ops_calls,
    /// Probes sent.
    probes,
    /// Probes without a load report in response.
    probe_failures,
    /// Calls to discovery.
    discovery_calls,
    /// Calls to discovery that were never answered and were repeated at once.
    discovery_silent,
    /// Calls to discovery that failed.
    discovery_failures,
    /// Endpoint lists that stalled while they were received.
    discovery_stalled,
    /// Responses of discovery that could not be parsed.
    discovery_bad,
    /// Endpoint lists of an older version than the current one; only the exclusions of such a list are applied.
    discovery_older,
    /// Configurations applied on reload.
    reloads,
    /// Configurations rejected on reload; the previous one stayed in force.
    reload_failures,
    /// Invariant violations.
    invariants_broken,
}

impl Counters {
    /// Records the time from the arrival of a notification that excludes an endpoint to its exclusion.
    pub fn record_exclusion_delay(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.bar_delay_longest_us.set(self.bar_delay_longest_us.get().max(micros));
    }
}

/// Increments a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}

/// Checks an invariant: a violation panics in debug builds and is counted in release builds.
pub fn invariant(counters: &Counters, holds: bool, what: &str) {
    debug_assert!(holds, "invariant broken: {what}");
    if !holds {
        count(&counters.invariants_broken);
    }
}
