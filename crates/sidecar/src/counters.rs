//! What a sidecar takes in, sends and answers, counted; and invariants, counted in release builds.

use crate::request_stats::RequestStats;
use serde_json::json;
use std::cell::Cell;
use std::time::Duration;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The counters of one sidecar.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)*
            /// What the operators' figures count.
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
    /// Client connections with no open request closed to make room.
    frontend_evicted,
    /// Client connections that sent nothing, or half a request, in time.
    frontend_mute,
    /// Requests with the id of one that is open.
    repeated_ids,
    /// Requests rejected as malformed or oversized, never dispatched.
    bad_requests,
    /// Requests refused as the fleet's budget for them is used up.
    budget_refused,
    /// Attempts beyond the first that were not sent as the fleet's budget for them is used up.
    retries_barred,
    /// Connections that were not made in time as the fleet's budget for them is used up.
    connections_barred,
    /// Probes that were not sent as the fleet's budget for them is used up.
    probes_barred,
    /// Sessions taken in.
    sessions,
    /// Sessions answered with a backend server's answer.
    served,
    /// Sessions denied.
    denied,
    /// Sessions answered as failed.
    failed,
    /// Sessions whose client left first.
    withdrawn,
    /// Sessions that the hard answer timer ended.
    overdue,
    /// Dispatches begun.
    dispatches,
    /// Dispatches answered with 200.
    dispatch_ok,
    /// Dispatches answered with an error.
    dispatch_error,
    /// Dispatches turned away unexamined.
    dispatch_full,
    /// Dispatches that got no answer in time.
    dispatch_timeout,
    /// Dispatches that could not connect.
    dispatch_unconnected,
    /// Dispatches whose connection broke.
    dispatch_reset,
    /// Answers that can't be read or don't belong to their request; these dispatches ended with an error.
    answers_spoilt,
    /// Dispatches given up by the module.
    dispatch_cancelled,
    /// Dispatches of sessions that were over.
    dispatch_moot,
    /// Dispatches stopped before their first byte as their backend server drains, is gone or has moved.
    dispatch_barred,
    /// Dispatches stopped before their first byte as the list is not confirmed and their backend server took none lately.
    dispatch_unconfirmed,
    /// Dispatches stopped before their first byte as their time ended while a notice of discovery lay unread.
    dispatch_unread,
    /// The longest time from the arrival of a notice that bars a backend server until it was barred, in microseconds.
    bar_delay_longest_us,
    /// Repeats that were not sent as their window ended first.
    dispatch_outlived,
    /// Connections opened to backend servers.
    backend_connections,
    /// Dispatches that went over a connection used before.
    backend_reused,
    /// Idle connections found closed or with unread bytes.
    backend_stale,
    /// Calls of operators answered.
    ops_calls,
    /// Probes sent.
    probes,
    /// Probes that brought no report.
    probe_failures,
    /// Discovery calls.
    discovery_calls,
    /// Discovery calls that were never answered and were made again at once.
    discovery_silent,
    /// Discovery calls that failed.
    discovery_failures,
    /// Lists of discovery that paused while they arrived.
    discovery_stalled,
    /// Discovery answers that could not be read.
    discovery_bad,
    /// Lists of an older version than the one held; of those only what they bar was taken.
    discovery_older,
    /// New configurations taken over.
    reloads,
    /// New configurations that could not be read; the old one was kept.
    reload_failures,
    /// Invariants found broken.
    invariants_broken,
}

impl Counters {
    /// A notice that bars a backend server took so long from its arrival until it was in force.
    pub fn record_exclusion_delay(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.bar_delay_longest_us.set(self.bar_delay_longest_us.get().max(micros));
    }
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}

/// Checks what must hold: asserted in debug builds, counted in release builds.
pub fn invariant(counters: &Counters, holds: bool, what: &str) {
    debug_assert!(holds, "invariant broken: {what}");
    if !holds {
        count(&counters.invariants_broken);
    }
}
