//! Sections that follow from constants of the code and from the module's benchmarks.

use crate::arithmetic::*;
use crate::data::{Dataset, Moment, Period, Role, Traffic};
use crate::table::{Table, count, figure, percent};
use crate::target::Target;

/// Failure rates in the table of retries.
const FAILURE_RATES: [f64; 5] = [0.01, 0.1, 0.5, 0.9, 1.0];
/// Hops in the table of deadlines.
const SHOWN_HOPS: [usize; 6] = [1, 2, 4, 7, 10, 13];

/// A kind of control message with a rate that follows from constants of the code.
struct ControlMessage {
    what: &'static str,
    formula: &'static str,
    /// Messages per second for each sidecar.
    rate: f64,
    role: Role,
    traffic: Traffic,
}

fn budget_messages(what: &'static str, formula: &'static str, requests_per_lease: f64) -> ControlMessage {
    let rate = MESSAGES_PER_BUDGET_REQUEST * requests_per_lease / LEASE_SECONDS;
    ControlMessage { what, formula, rate, role: Role::BudgetAllocator, traffic: Traffic::Budget }
}

/// Rate and size of control messages.
pub fn control_messages(target: &Target, data: &Dataset) -> String {
    let sidecars = f64::from(target.fleet.sidecars);
    let limit = target.sidecar.bytes_per_second;
    let titles =
        ["what", "worked out from", "measured, for each sidecar", "at target", "in bytes", "breaks at"];
    let mut table = Table::new(&titles);
    let messages = [
        ControlMessage {
            what: "status reports at a voter",
            formula: "N x 1 a second",
            rate: STATUS_REPORTS_PER_SECOND,
            role: Role::Voter,
            traffic: Traffic::PlanDatagram,
        },
        budget_messages(
            "budget requests and answers at the allocator",
            "N x 2 x 4 a lease of 2 s",
            BUDGET_REQUESTS_PER_LEASE,
        ),
        budget_messages(
            "the same, of holders that need less than half of their part",
            "N x 2 x 16 a lease of 2 s",
            BUDGET_REQUESTS_PER_LEASE_LOW_DEMAND,
        ),
    ];
    for ControlMessage { what, formula, rate, role, traffic } in messages {
        let measured = cost_at_rest(data, role, traffic);
        let bytes = measured.map(|(_, bytes)| bytes);
        table.row(&[
            what.to_owned(),
            formula.to_owned(),
            measured.map_or("no data".to_owned(), |(messages, _)| format!("{} messages/s", figure(messages))),
            format!("{} messages/s", figure(rate * sidecars)),
            bytes.map_or("no data".to_owned(), |bytes| {
                format!("{} B/s, at {} B a message", figure(rate * sidecars * bytes), figure(bytes))
            }),
            bytes.map_or("-".to_owned(), |bytes| count(limit / (rate * bytes))),
        ]);
    }
    let visits = CONTROLLER_ROUNDS_PER_SECOND * sidecars;
    let kept_minutes = MAX_REVISIONS / target.changes.per_day * DAY_SECONDS / 60.0;
    let round_trip = target.fleet.longest_round_trip.exact();
    let other_rows = [
        (
            "members that the leader goes over",
            "N x 10 a second".to_owned(),
            format!("{} visits/s", figure(visits)),
        ),
        (
            "revisions that can be put back",
            "64 kept".to_owned(),
            format!("those of the last {} minutes", figure(kept_minutes)),
        ),
        (
            "a round of the election",
            "5 ticks of 40 ms".to_owned(),
            format!(
                "{} ms, against a round trip of up to {} ms between regions",
                ELECTION_TIMEOUT.as_millis(),
                round_trip.as_millis()
            ),
        ),
    ];
    for (what, formula, at_target) in other_rows {
        let none = || "-".to_owned();
        table.row(&[what.to_owned(), formula, none(), at_target, none(), none()]);
    }
    format!(
        "## Arithmetic: control messages\n\nThese rows follow from rates in the code. The size of a message is measured, and \
         so is the third column: at the largest fleet, all messages of that protocol at that role, divided by the sidecars.\n\n{}",
        table.text()
    )
}

/// Messages per second for each sidecar, and bytes per message, of a kind of traffic of a role in the largest fleet at
/// rest.
fn cost_at_rest(data: &Dataset, role: Role, traffic: Traffic) -> Option<(f64, f64)> {
    let largest = data.largest_fleet(Moment::Rest);
    let records = data.fleets.iter().filter(|run| run.moment == Moment::Rest && run.members == largest);
    let records: Vec<_> = records.filter_map(|run| run.role(role, Period::Steady, traffic)).collect();
    let messages: f64 = records.iter().map(|record| record.messages_s.median).sum();
    let bytes: f64 = records.iter().map(|record| record.bytes_s.median).sum();
    let per_sidecar = messages / records.len() as f64 / largest as f64;
    (messages > 0.0).then(|| (per_sidecar, bytes / messages))
}

/// Remaining deadline along a chain of calls.
pub fn deadlines(target: &Target) -> String {
    let calls = &target.calls;
    let deadline = calls.deadline.exact();
    let remaining_by_hop = deadline_by_hop(deadline, calls.depth);
    let mut table = Table::new(&[
        "hop",
        "kept back up to here",
        "left of the deadline",
        "one of the attempts, if evenly divided",
    ]);
    for hop in SHOWN_HOPS.into_iter().filter(|hop| *hop <= remaining_by_hop.len()) {
        let remaining = remaining_by_hop[hop - 1];
        let attempt = last_attempt_time(deadline, hop as u32, calls.attempts);
        table.row(&[
            hop.to_string(),
            format!("{} ms", figure((deadline - remaining).as_secs_f64() * 1e3)),
            format!("{} ms", figure(remaining.as_secs_f64() * 1e3)),
            format!("{} ms", figure(attempt.as_secs_f64() * 1e3)),
        ]);
    }
    let added_ms = calls.added_p99.exact().as_secs_f64() * 1e3;
    format!(
        "## Arithmetic: a deadline along {} hops\n\nEach hop keeps back `min(max(left / 20, 4 ms), 60 ms)`, half of what is \
         left at most, and hands the rest on. Nothing else is counted. The last column divides what a hop has evenly \
         among {} attempts: `left(k + 1) = (left(k) - kept(k)) / {}`. The target adds {} ms a hop at p99, so {} ms over \
         {} hops.\n\n{}",
        calls.depth,
        calls.attempts,
        calls.attempts,
        figure(added_ms),
        figure(added_ms * f64::from(calls.depth)),
        calls.depth,
        table.text()
    )
}

/// Number of attempts along a chain of calls, with and without limits on retries.
pub fn retries(target: &Target) -> String {
    let calls = &target.calls;
    let (attempts, depth) = (calls.attempts, calls.depth);
    let mut table = Table::new(&[
        "attempts that fail, at each hop",
        "attempts a hop, no limit",
        "calls at the last hop for one at the first, no limit",
        "with the module's own share",
        "with the plan's share",
    ]);
    for failure_rate in FAILURE_RATES {
        let limited = |share| amplification(limited_attempts(failure_rate, attempts, share), depth);
        table.row(&[
            percent(failure_rate),
            figure(mean_attempts(failure_rate, attempts)),
            figure(amplification(mean_attempts(failure_rate, attempts), depth)),
            figure(limited(MODULE_RETRY_SHARE)),
            figure(limited(calls.retry_share)),
        ]);
    }
    let ceiling_share = calls.retry_ceiling / calls.per_second;
    format!(
        "## Arithmetic: {attempts} attempts a hop, {depth} hops\n\nA hop makes `1 + p + p^2 + ...` attempts on average, at most \
         {attempts}, if each fails with probability `p`; `{depth}` hops multiply. A share `s` of retries for each first \
         attempt cuts that to `1 + s`. The module's own share is {MODULE_RETRY_SHARE} (without a plan, and without the few \
         that it makes however light the traffic is). The plan's share here is {}, an assumption of the target file. A \
         ceiling does not multiply: {} retries a second over the whole fleet are {} of all calls, whatever the depth.\n\n{}",
        calls.retry_share,
        figure(calls.retry_ceiling),
        percent(ceiling_share),
        table.text()
    )
}

/// Duration of a release under permits.
pub fn release_time(target: &Target) -> String {
    let (fleet, release) = (&target.fleet, &target.release);
    let cycle = release.restart_cycle.exact();
    let mut table = Table::new(&[
        "rule",
        "out at once in a zone",
        "zones' turns",
        "the leader's entries",
        "the release takes",
    ]);
    let rules = [("one at a time (nothing said)", None), ("a share of the zone", Some(release.out_share))];
    for (rule, share) in rules {
        let time = ReleaseTime::estimate(fleet.sidecars, fleet.zones, cycle, share);
        let minutes = |seconds: f64| format!("{} min", figure(seconds / 60.0));
        table.row(&[
            share.map_or(rule.to_owned(), |share| format!("{rule}, {}", percent(share))),
            figure(time.out_at_once),
            minutes(time.batches_s),
            minutes(time.entries_s),
            minutes(time.seconds()),
        ]);
    }
    format!(
        "## Arithmetic: a release that restarts all sidecars\n\nZones go side by side. A restart takes {} s from grant to \
         return, an assumption of the target file. The leader proposes {} entries for each permit and {} a second at most. \
         The longer of both binds. A release of a revision (no restart) is measured above.\n\n{}",
        figure(cycle.as_secs_f64()),
        figure(LEADER_ENTRIES_PER_PERMIT),
        figure(CONTROLLER_ROUNDS_PER_SECOND),
        table.text()
    )
}

/// Benchmarks of the module's endpoint list.
pub fn endpoint_list(target: &Target, data: &Dataset) -> String {
    if data.module.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["rows", "refresh", "a call, request to outcome", "heap", "heap a row"]);
    for record in &data.module {
        table.row(&[
            count(f64::from(record.endpoints)),
            format!("{} us", figure(record.refresh_ns / 1e3)),
            format!("{} ns", figure(record.call_ns)),
            format!("{} kB", figure(record.heap_bytes / 1e3)),
            format!("{} B", figure(record.heap_bytes / f64::from(record.endpoints))),
        ]);
    }
    let service_size = f64::from(target.fleet.sidecars) / f64::from(target.fleet.services);
    format!(
        "## List and pick\n\nMedians of the module's benchmarks (`cargo bench -p cometcroft`), on a machine that other work \
         shared, so the times may be too long. The list spreads over 17 zones and is walked by 3,600 sidecars.\n\nA sidecar needs the rows of the services that it calls, no others. A service has {} endpoints on \
         average. So one that calls {} services needs {} rows, and only one that calls all {} needs {}.\n\n{}",
        figure(service_size),
        EXAMPLE_CALLED_SERVICES,
        figure(service_size * f64::from(EXAMPLE_CALLED_SERVICES)),
        target.fleet.services,
        figure(f64::from(target.fleet.sidecars)),
        table.text()
    )
}

/// Number of services that a sidecar calls, in the example of the endpoint list section.
const EXAMPLE_CALLED_SERVICES: u32 = 5;
