//! What follows from constants of the code and the target alone, without a measurement.

use std::time::Duration;

/// The share of a request's deadline that a sidecar keeps back for its own answer (`frontend::waiting`).
const KEPT_BACK_SHARE: u32 = 20;
const KEPT_BACK_LEAST: Duration = Duration::from_millis(4);
const KEPT_BACK_MOST: Duration = Duration::from_millis(60);
/// Further attempts for each first one that the module makes of itself, without a plan (`policy::RETRY_SHARE`).
pub const MODULE_RETRY_SHARE: f64 = 0.2;
/// Each sidecar reports its status to each voter so often (`plan_driver::STATUS_INTERVAL`).
pub const STATUS_REPORTS_PER_SECOND: f64 = 1.0;
/// Each budget holder asks the allocator so often in a lease (`budget::Config::request_interval`); each request is answered.
pub const BUDGET_REQUESTS_PER_LEASE: f64 = 4.0;
/// And so often while it needs less than half of its part (`budget::Holder::set_demand`).
pub const BUDGET_REQUESTS_PER_LEASE_UNUSED: f64 = 16.0;
/// The budget's lease in the scripts that are measured.
pub const LEASE_SECONDS: f64 = 2.0;
/// Messages for one request of the budget: itself and its answer.
pub const MESSAGES_PER_BUDGET_REQUEST: f64 = 2.0;
/// The leader goes over all members so often, and proposes one entry each time at most (`plan_driver::CONTROLLER_INTERVAL`).
pub const LEADER_ROUNDS_PER_SECOND: f64 = 10.0;
/// Entries of the leader for one permit: it grants it, and returns it when the sidecar is ready again.
pub const LEADER_ENTRIES_PER_PERMIT: f64 = 2.0;
/// Revisions that are kept (`plan::REVISIONS`).
pub const REVISIONS_KEPT: f64 = 64.0;
/// A round of the election: 5 ticks of 40 ms (`consensus::keeper`).
pub const ELECTION_ROUND: Duration = Duration::from_millis(200);
/// Seconds of a day.
pub const DAY_SECONDS: f64 = 86_400.0;

/// What a sidecar keeps back of a request's deadline.
pub fn kept_back(left: Duration) -> Duration {
    (left / KEPT_BACK_SHARE).clamp(KEPT_BACK_LEAST, KEPT_BACK_MOST).min(left / 2)
}

/// What is left of a deadline when the call reaches each hop, if nothing but what sidecars keep back is spent.
pub fn deadline_by_hop(deadline: Duration, hops: u32) -> Vec<Duration> {
    let next = |left: &Duration| Some(*left - kept_back(*left));
    std::iter::successors(Some(deadline), next).skip(1).take(hops as usize).collect()
}

/// The time of one attempt at the last hop, if each hop divides what it has evenly among its attempts.
pub fn time_of_last_attempt(deadline: Duration, hops: u32, attempts: u32) -> Duration {
    (0..hops).fold(deadline, |left, _| (left - kept_back(left)) / attempts)
}

/// Attempts that a hop makes for each call on average, if each fails with this probability and so many are permitted.
pub fn mean_attempts(failing: f64, attempts: u32) -> f64 {
    (0..attempts).map(|tried| failing.powi(tried as i32)).sum()
}

/// Calls that reach the last hop for each call at the first, if every hop makes so many attempts on average.
pub fn amplification(attempts_a_hop: f64, hops: u32) -> f64 {
    attempts_a_hop.powi(hops as i32)
}

/// Attempts that a hop makes for each call if a rule permits only so many retries for each first attempt.
pub fn limited_attempts(failing: f64, attempts: u32, retry_share: f64) -> f64 {
    mean_attempts(failing, attempts).min(1.0 + retry_share)
}

/// How long a release over all sidecars takes, restarted zone by zone side by side under permits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReleaseTime {
    /// Sidecars of a zone that may be out at once.
    pub out_at_once: f64,
    /// Time that the zones' turns take.
    pub turns_s: f64,
    /// Time that the leader needs for its entries.
    pub entries_s: f64,
}

impl ReleaseTime {
    /// With so many sidecars, zones, such a restart, and this share of a zone out (`None`: one at a time).
    pub fn of(sidecars: u32, zones: u32, cycle: Duration, out_share: Option<f64>) -> ReleaseTime {
        let in_zone = (f64::from(sidecars) / f64::from(zones)).ceil();
        let out_at_once = out_share.map_or(1.0, |share| (share * in_zone).floor().max(1.0));
        let turns = (in_zone / out_at_once).ceil();
        let entries = f64::from(sidecars) * LEADER_ENTRIES_PER_PERMIT;
        ReleaseTime {
            out_at_once,
            turns_s: turns * cycle.as_secs_f64(),
            entries_s: entries / LEADER_ROUNDS_PER_SECOND,
        }
    }

    /// The longer of the two bounds.
    pub fn seconds(&self) -> f64 {
        self.turns_s.max(self.entries_s)
    }
}
