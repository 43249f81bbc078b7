//! The public interface of the module: settings, identifiers, events and actions. Decisions and wire formats
//! live elsewhere.

use std::fmt;
use std::time::Duration;

/// A point on the host's monotonic clock, counted from an origin that the host chooses.
pub type Time = Duration;

/// Identifier of a request, assigned by the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of an endpoint: a small integer that the host assigns in the order in which endpoints first
/// appear.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Index into the host's list of zones.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// A group of endpoints that share their record of idempotency keys.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct CellId(pub usize);

/// The endpoints that discard duplicates of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// Endpoints in the same zone as the endpoint that may have run the request.
    Zone,
    /// Endpoints in the same cell as that endpoint.
    Cell,
    /// Endpoints in the same zone and the same cell as that endpoint. Settings do not name it: it is what [`Zone`] and
    /// [`Cell`] have in common while one replaces the other.
    ///
    /// [`Zone`]: DedupScope::Zone
    /// [`Cell`]: DedupScope::Cell
    ZoneAndCell,
}

impl DedupScope {
    /// Returns true if an endpoint discards the duplicate of a request that another one may have run, given whether the two
    /// are in the same zone and in the same cell.
    pub fn covers(self, same_zone: bool, same_cell: bool) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => same_zone,
            DedupScope::Cell => same_cell,
            DedupScope::ZoneAndCell => same_zone && same_cell,
        }
    }
}

/// The effect of running a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// None: the request may be retried freely.
    Safe,
    /// Endpoints within `scope` discard duplicates for `window` after the first attempt that may have run.
    Keyed {
        /// The endpoints that discard duplicates.
        scope: DedupScope,
        /// Time for which they do.
        window: Duration,
    },
    /// Each run takes effect again.
    Unsafe,
}

/// A class of requests with the same timing, effect and value.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// Time within which a response has its full value.
    pub target_latency: Duration,
    /// If positive, the target latency grows by this multiple of the request's own work, up to the deadline.
    pub target_latency_work_factor: f64,
    /// Time that a client waits for a response.
    pub deadline: Duration,
    /// The effect of running a request of this class more than once.
    pub effect: Effect,
    /// Value of one request (or of a unit of its work).
    pub value: f64,
    /// Fraction of the value that is left after the target latency.
    pub late_value: f64,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second within the quota, over all sidecars.
    pub quota_per_s: f64,
}

/// Actions that the host permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Permits [`Action::Cancel`].
    pub cancel: bool,
    /// Permits [`Action::Probe`].
    pub probes: bool,
    /// Permits two concurrent attempts of one request.
    pub hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Permits [`Action::Reject`] to carry a `retry_after`.
    pub retry_after: bool,
    /// Upper bound of `retry_after`.
    pub max_retry_after: Duration,
}

/// Rules that the balancer must follow, and the endpoint behavior that they are based on.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Minimum fraction of its capacity that an endpoint has right after its start.
    pub cold_capacity: f64,
    /// Time after its start until an endpoint has its full capacity.
    pub ramp: Duration,
    /// Multiple of its current capacity above which an endpoint becomes overloaded.
    pub overload_factor: f64,
    /// Time of load above `overload_factor` after which an endpoint fails.
    pub overload_after: Duration,
    /// Time after the notification within which attempts to a draining endpoint must cease.
    pub drain_grace: Duration,
    /// With [`Discovery::Subscribe`]: time within which a failed subscription is tried again.
    pub resubscribe_within: Duration,
    /// If set, idle connections to a draining endpoint are closed within this time of the notification or,
    /// if later, of the last attempt or outcome at that endpoint.
    pub close_idle_within: Option<Duration>,
    /// If set, the budget that all retries and hedged attempts must stay within.
    pub retry_budget: Option<RetryBudget>,
    /// Keeps endpoints eligible that are listed as removed, or missing from a complete list, without having
    /// drained; only endpoints that were listed as draining are excluded.
    pub use_removed_endpoints: bool,
}

/// Limit on retries and hedged attempts: within any `window`, a sidecar may make `min_retries` of them plus
/// `ratio` for each request that it received in that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Number permitted regardless of traffic.
    pub min_retries: f64,
    /// Number permitted in addition per request received.
    pub ratio: f64,
    /// Length of the sliding window in which both are counted.
    pub window: Duration,
}

/// Costs that the host deducts, as fractions of the total value.
#[derive(Debug, Clone, PartialEq)]
pub struct Prices {
    /// Cost of one probe per first attempt.
    pub probe: f64,
    /// Cost of wasted endpoint work, as a fraction of the work offered.
    pub waste: f64,
    /// Cost of one cross-zone attempt per first attempt.
    pub cross_zone: f64,
}

/// The source of load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// Attempt outcomes and probe results.
    Responses,
    /// Probe results only.
    Probes,
    /// No load reports.
    None,
}

/// How endpoint lists are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery pushes them.
    Push,
    /// Discovery sends them after [`Action::Subscribe`].
    Subscribe,
}

/// The meaning of [`EndpointEntry::weight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightKind {
    /// None; weights are ignored.
    None,
    /// Exact or approximate size of the endpoint.
    Size,
    /// Size divided by (1 + requests in flight per core), measured some time ago.
    Live,
}

/// Settings of one balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of sidecars in this tier.
    pub instances: u32,
    /// Index of this sidecar among them, counted from 0.
    pub rank: u32,
    /// The tier that this sidecar sends to; tier 0 is the one that clients call.
    pub tier: usize,
    /// Number of tiers.
    pub tiers: usize,
    /// The zone of this sidecar.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: usize,
    /// Requests between tiers carry the time that is left until the deadline.
    pub propagates_deadline: bool,
    /// Minimum time between two runs of the host's event loop.
    pub host_tick: Duration,
    /// Request classes; must not be empty.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of the value that is left for requests over their tenant's quota.
    pub over_quota_value: f64,
    /// Permitted actions.
    pub limits: Limits,
    /// Rules to follow.
    pub rules: Rules,
    /// Costs of probes, waste and cross-zone attempts.
    pub prices: Prices,
    /// Source of load reports.
    pub reports: ReportSource,
    /// Delivery of endpoint lists.
    pub discovery: Discovery,
    /// Meaning of weights.
    pub weights: WeightKind,
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the field.
    pub field: &'static str,
    /// The requirement that it fails.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Checks that all values are in range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |field, reason| Err(SettingsError { field, reason });
        if self.classes.is_empty() {
            return invalid("classes", "must not be empty");
        }
        if self.instances == 0 {
            return invalid("instances", "must be at least 1");
        }
        if self.tier >= self.tiers {
            return invalid("tier", "out of range");
        }
        if self.zone.0 >= self.zones {
            return invalid("zone", "out of range");
        }
        if self.limits.max_attempts == 0 {
            return invalid("limits.max_attempts", "must be at least 1");
        }
        for class in &self.classes {
            if class.target_latency.is_zero() {
                return invalid("classes.target_latency", "must be positive");
            }
            if class.deadline.is_zero() {
                return invalid("classes.deadline", "must be positive");
            }
        }
        let per_class = self.classes.iter().flat_map(|c| {
            [
                ("classes.value", c.value),
                ("classes.late_value", c.late_value),
                ("classes.target_latency_work_factor", c.target_latency_work_factor),
            ]
        });
        let values = [
            ("over_quota_value", self.over_quota_value),
            ("rules.cold_capacity", self.rules.cold_capacity),
            ("rules.overload_factor", self.rules.overload_factor),
            ("prices.probe", self.prices.probe),
            ("prices.waste", self.prices.waste),
            ("prices.cross_zone", self.prices.cross_zone),
        ];
        let quotas = self.tenants.iter().map(|t| ("tenants.quota_per_s", t.quota_per_s));
        for (field, value) in values.into_iter().chain(per_class).chain(quotas) {
            if !value.is_finite() || value < 0.0 {
                return invalid(field, "must be finite and not negative");
            }
        }
        if self.rules.close_idle_within.is_some_and(|time| time < self.host_tick * 2) {
            return invalid("rules.close_idle_within", "must be at least two host ticks");
        }
        if let Some(budget) = self.rules.retry_budget {
            let values = [
                ("rules.retry_budget.min_retries", budget.min_retries),
                ("rules.retry_budget.ratio", budget.ratio),
            ];
            for (field, value) in values {
                if !value.is_finite() || value < 0.0 {
                    return invalid(field, "must be finite and not negative");
                }
            }
            if budget.window.is_zero() {
                return invalid("rules.retry_budget.window", "must be positive");
            }
        }
        if self.rules.cold_capacity > 1.0 {
            return invalid("rules.cold_capacity", "must be at most 1");
        }
        Ok(())
    }
}

/// The state of an endpoint according to discovery.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// No longer part of the service.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's identifier.
    pub endpoint: EndpointId,
    /// Hash of the endpoint's name, the same in every sidecar.
    pub key: u64,
    /// The endpoint's cell.
    pub cell: CellId,
    /// The endpoint's zone.
    pub zone: ZoneId,
    /// Time of the endpoint's last start; `None` if that was long ago.
    pub started: Option<Time>,
    /// The endpoint's state.
    pub state: EndpointState,
    /// The endpoint's weight, see [`WeightKind`].
    pub weight: f64,
}

/// The contents of [`Event::EndpointList`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Changes,
    /// All entries; endpoints that are missing have been removed.
    Complete,
    /// The complete list as saved before a restart; possibly stale.
    Restored,
}

/// An endpoint's report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in flight.
    pub inflight: Option<f64>,
    /// Requests waiting in its queue.
    pub queue: Option<f64>,
    /// Fraction of its CPU capacity in use.
    pub utilization: Option<f64>,
    /// Recent service time in seconds.
    pub latency: Option<f64>,
    /// Requests served per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// The outcome of an attempt or a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served it.
    Ok,
    /// The endpoint responded with an error; the request may have run.
    Error,
    /// The endpoint rejected it unexamined; the request never ran.
    Rejected,
    /// No response in time; the request may have run or may still run.
    Timeout,
    /// No connection was established in time; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The host did not send it; the request never ran.
    NotSent,
}

impl Outcome {
    /// Returns true if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The purpose of a timer, handed back unchanged by [`Event::Timer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// Refresh the snapshot of the endpoints.
    Refresh,
    /// Subscribe to discovery again.
    Subscribe,
    /// Check a request that takes unusually long.
    SlowRequest(RequestId),
}

/// How long the endpoint list can be relied on, counted from the event that carries this value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListValidity {
    /// Time for which no endpoint that is listed as ready can drain without a notification.
    pub list_valid_for: Duration,
    /// After that, time from an accepted attempt for which its endpoint still counts as ready.
    pub accepted_valid_for: Duration,
}

/// An input to the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The balancer has started. The first event, sent once.
    Start,
    /// The endpoint list or changes to it.
    EndpointList {
        /// What `entries` contains.
        scope: ListScope,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// How long the list can be relied on from now on; `None`, as before the first such event, means without
    /// limit.
    ListValidity(Option<ListValidity>),
    /// A call to discovery failed or the subscription broke.
    DiscoveryFailed,
    /// A client sent a request; it must get exactly one final response.
    Request {
        /// The request.
        request: RequestId,
        /// The request's class.
        class: ClassId,
        /// The request's tenant, if there are tenants.
        tenant: Option<TenantId>,
        /// Time until the client's deadline.
        time_left: Duration,
        /// Expected work of the request.
        work_hint: Option<Duration>,
        /// The client marked the request as a retry of its own.
        client_retry: bool,
    },
    /// A streamed response has started and goes to the client, so no other attempt can replace it.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// The endpoint of the attempt.
        endpoint: EndpointId,
        /// The request has got its final response.
        finished: bool,
        /// The outcome.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency: Duration,
        /// The endpoint's load report, if it sent one.
        report: Option<LoadReport>,
    },
    /// New settings are in force. Endpoint statistics are kept.
    SettingsChanged {
        /// The new settings.
        settings: Box<Settings>,
        /// For each class, the previous class whose statistics it takes over.
        previous_classes: Vec<Option<ClassId>>,
    },
    /// The client disconnected; the request needs no response.
    ClientDisconnected(RequestId),
    /// A timer has expired.
    Timer(Timer),
    /// A probe has ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The outcome.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Duration,
        /// The endpoint's load report, if it sent one.
        report: Option<LoadReport>,
    },
}

/// An output of the balancer, carried out by the host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time after which the attempt times out.
        timeout: Duration,
    },
    /// Final response: rejected. A retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Time that the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// Final response: failed. The request may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Schedule an [`Event::Timer`].
    SetTimer {
        /// Time from now.
        after: Duration,
        /// The timer to hand back.
        timer: Timer,
    },
    /// Probe an endpoint for a load report.
    Probe(EndpointId),
    /// Close all idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}

impl Settings {
    /// Minimal valid settings: one tier, one zone, one safe class, and load reports with responses.
    pub fn example() -> Settings {
        Settings {
            instances: 1,
            rank: 0,
            tier: 0,
            tiers: 1,
            zone: ZoneId(0),
            zones: 1,
            propagates_deadline: true,
            host_tick: Duration::from_millis(1),
            classes: vec![RequestClass {
                target_latency: Duration::from_millis(500),
                target_latency_work_factor: 0.0,
                deadline: Duration::from_secs(2),
                effect: Effect::Safe,
                value: 1.0,
                late_value: 0.5,
            }],
            tenants: Vec::new(),
            over_quota_value: 1.0,
            limits: Limits {
                cancel: true,
                probes: true,
                hedging: true,
                max_attempts: 4,
                retry_after: true,
                max_retry_after: Duration::from_secs(1),
            },
            rules: Rules {
                cold_capacity: 0.3,
                ramp: Duration::from_secs(8),
                overload_factor: 2.5,
                overload_after: Duration::from_secs(2),
                drain_grace: Duration::from_millis(500),
                resubscribe_within: Duration::from_secs(10),
                close_idle_within: None,
                retry_budget: None,
                use_removed_endpoints: false,
            },
            prices: Prices { probe: 0.01, waste: 0.05, cross_zone: 0.01 },
            reports: ReportSource::Responses,
            discovery: Discovery::Push,
            weights: WeightKind::Size,
        }
    }
}
