//! Calculations from constants of the code and the target alone, without a measurement.

use std::time::Duration;

/// A sidecar reserves one part in this many of a request's deadline for its own response (`frontend::request`).
const MARGIN_DIVISOR: u32 = 20;
const MIN_MARGIN: Duration = Duration::from_millis(4);
const MAX_MARGIN: Duration = Duration::from_millis(60);
/// Retries per first attempt that the module permits without a plan (`policy::retry_budget::RETRY_RATIO`).
pub const MODULE_RETRY_SHARE: f64 = 0.2;
/// Rate at which each sidecar reports its status to each voter (`plan_driver::STATUS_INTERVAL`).
pub const STATUS_REPORTS_PER_SECOND: f64 = 1.0;
/// Requests of a budget holder to the allocator per lease (`budget::Config::request_interval`); each gets a response.
pub const BUDGET_REQUESTS_PER_LEASE: f64 = 4.0;
/// Requests per lease of a holder whose demand is less than half of its share (`budget::Holder::set_demand`).
pub const BUDGET_REQUESTS_PER_LEASE_LOW_DEMAND: f64 = 16.0;
/// The budget's lease in the measured scripts.
pub const LEASE_SECONDS: f64 = 2.0;
/// Messages for one budget request: the request and its response.
pub const MESSAGES_PER_BUDGET_REQUEST: f64 = 2.0;
/// Rate at which the leader's controller examines all members. It proposes at most one entry each time
/// (`plan_driver::CONTROLLER_INTERVAL`).
pub const CONTROLLER_ROUNDS_PER_SECOND: f64 = 10.0;
/// Entries that the leader proposes for one permit: the grant, and the return when the sidecar is ready again.
pub const LEADER_ENTRIES_PER_PERMIT: f64 = 2.0;
/// Maximum number of revisions that the plan keeps (`plan::MAX_REVISIONS`).
pub const MAX_REVISIONS: f64 = 64.0;
/// Election timeout: 5 ticks of 40 ms (`consensus::voter`).
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(200);
/// Seconds in a day.
pub const DAY_SECONDS: f64 = 86_400.0;

/// Part of a request's remaining deadline that a sidecar reserves for its own response.
pub fn response_margin(remaining: Duration) -> Duration {
    (remaining / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN).min(remaining / 2)
}

/// Remaining deadline of a request after each hop, if only the sidecars' margins are deducted.
pub fn deadline_by_hop(deadline: Duration, hops: u32) -> Vec<Duration> {
    let next = |remaining: &Duration| Some(*remaining - response_margin(*remaining));
    std::iter::successors(Some(deadline), next).skip(1).take(hops as usize).collect()
}

/// Time for one attempt at the last hop, if each hop divides its remaining deadline evenly among its attempts.
pub fn last_attempt_time(deadline: Duration, hops: u32, attempts: u32) -> Duration {
    (0..hops).fold(deadline, |remaining, _| (remaining - response_margin(remaining)) / attempts)
}

/// Mean number of attempts of a hop per request, if each attempt fails with probability `failure_rate` and at most
/// `attempts` are permitted.
pub fn mean_attempts(failure_rate: f64, attempts: u32) -> f64 {
    (0..attempts).map(|earlier| failure_rate.powi(earlier as i32)).sum()
}

/// Requests that reach the last hop per request at the first, for a mean number of attempts per hop.
pub fn amplification(attempts_per_hop: f64, hops: u32) -> f64 {
    attempts_per_hop.powi(hops as i32)
}

/// Mean number of attempts of a hop per request, if a rule also limits retries to `retry_share` per first attempt.
pub fn limited_attempts(failure_rate: f64, attempts: u32, retry_share: f64) -> f64 {
    mean_attempts(failure_rate, attempts).min(1.0 + retry_share)
}

/// Duration of a release that restarts all sidecars under permits, with all zones in parallel.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReleaseTime {
    /// Number of sidecars of a zone that may be out at once.
    pub out_at_once: f64,
    /// Time for the restarts of a zone, batch after batch.
    pub batches_s: f64,
    /// Time that the leader needs to propose its entries.
    pub entries_s: f64,
}

impl ReleaseTime {
    /// Estimates the duration. `restart_cycle` is the time for one restart and `out_share` the share of a zone that may be
    /// out at once (`None`: one sidecar at a time).
    pub fn estimate(
        sidecars: u32,
        zones: u32,
        restart_cycle: Duration,
        out_share: Option<f64>,
    ) -> ReleaseTime {
        let in_zone = (f64::from(sidecars) / f64::from(zones)).ceil();
        let out_at_once = out_share.map_or(1.0, |share| (share * in_zone).floor().max(1.0));
        let batches = (in_zone / out_at_once).ceil();
        let entries = f64::from(sidecars) * LEADER_ENTRIES_PER_PERMIT;
        ReleaseTime {
            out_at_once,
            batches_s: batches * restart_cycle.as_secs_f64(),
            entries_s: entries / CONTROLLER_ROUNDS_PER_SECOND,
        }
    }

    /// The longer of the two times, which determines the duration.
    pub fn seconds(&self) -> f64 {
        self.batches_s.max(self.entries_s)
    }
}
