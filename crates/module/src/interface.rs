//! The whole interface of the module: settings, ids, events, actions. No decisions and no wire words.

use std::fmt;
use std::time::Duration;

/// A point on the host's monotonic clock, counted from an origin the host chooses.
pub type Time = Duration;

/// A request; the host interns its own ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An endpoint; a small integer, given out in order of first sight.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// A position in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// A position in [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// A position in the host's list of zones.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// A set of endpoints that share which keys they have seen.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct CellId(pub usize);

/// Which endpoints discard repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// What a repeat of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated freely.
    Safe,
    /// Endpoints within `scope` drop a repeat for `window` after the first send that may have run.
    Keyed {
        /// Who drops it.
        scope: DedupScope,
        /// For how long.
        window: Duration,
    },
    /// It takes effect again.
    Unsafe,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// An answer within this time has the full worth.
    pub target_latency: Duration,
    /// If set, the aim grows by this multiple of the request's own work, up to the deadline.
    pub target_latency_work_factor: f64,
    /// How long a client waits in all.
    pub deadline: Duration,
    /// Whether it may run again.
    pub effect: Effect,
    /// Worth of one request (or of a unit of its work).
    pub value: f64,
    /// Share of the worth that is left after the aim.
    pub late_value: f64,
}

/// A tenant and its share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second over all balancers within its share.
    pub quota_per_s: f64,
}

/// What the host permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// [`Action::Probe`] is permitted.
    pub probes: bool,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Refusals may carry advice on when to come again.
    pub retry_after: bool,
    /// The longest such advice.
    pub max_retry_after: Duration,
}

/// The figures of the four rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// A fresh endpoint has at least this fraction of its capacity.
    pub cold_capacity: f64,
    /// And all of it after this time.
    pub ramp: Duration,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, it falls over.
    pub overload_after: Duration,
    /// Time within which sends to a draining endpoint cease.
    pub drain_grace: Duration,
    /// Where [`Discovery::Subscribe`]: ask again within this time.
    pub resubscribe_within: Duration,
    /// If set, idle connections to a draining endpoint are closed within this time of the notice or, if
    /// later, of the last send or outcome there.
    pub close_idle_within: Option<Duration>,
    /// If set, attempts beyond each request's first are rationed.
    pub retry_budget: Option<RetryBudget>,
    /// Only an endpoint that was listed as draining is barred; one that is listed as gone, or left out of
    /// the list, without having drained may still be sent to.
    pub use_removed_endpoints: bool,
}

/// How many attempts beyond each request's first a balancer may make within any `window`: `free` of them,
/// and `ratio` for each request that it took in that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Permitted however light the traffic is.
    pub min_retries: f64,
    /// Permitted on top for each request taken.
    pub ratio: f64,
    /// The stretch of time over which both are counted.
    pub window: Duration,
}

/// What the host charges, in fractions of the result.
#[derive(Debug, Clone, PartialEq)]
pub struct Prices {
    /// A probe, per first try.
    pub probe: f64,
    /// Wasted endpoint work, as a fraction of the work offered.
    pub waste: f64,
    /// An attempt into another zone, per first try.
    pub cross_zone: f64,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// With outcomes and probe results.
    Responses,
    /// With probe results alone.
    Probes,
    /// From nowhere.
    None,
}

/// How lists of endpoints come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// By themselves.
    Push,
    /// After [`Action::Subscribe`].
    Subscribe,
}

/// What [`EndpointEntry::weight`] means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightKind {
    /// Nothing.
    None,
    /// The size of the endpoint, exactly or about.
    Size,
    /// The size divided by 1 + requests held per core, some time ago.
    Live,
}

/// What a balancer is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Balancers of this tier.
    pub instances: u32,
    /// The number of this balancer among them, counted from 0.
    pub rank: u32,
    /// The tier this balancer sends to; 0 is the one clients call.
    pub tier: usize,
    /// How many tiers there are.
    pub tiers: usize,
    /// The zone this balancer is in.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zones: usize,
    /// A call between tiers carries the time its caller has left.
    pub propagates_deadline: bool,
    /// The least time between two turns of the host.
    pub host_tick: Duration,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request over its tenant's share, as a fraction.
    pub over_quota_value: f64,
    /// What is permitted.
    pub limits: Limits,
    /// Figures of the four rules.
    pub rules: Rules,
    /// Charges.
    pub prices: Prices,
    /// Where reports come from.
    pub reports: ReportSource,
    /// How lists come.
    pub discovery: Discovery,
    /// Meaning of weights.
    pub weights: WeightKind,
}

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the figures make sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let bad = |field, reason| Err(SettingsError { field, reason });
        if self.classes.is_empty() {
            return bad("classes", "must not be empty");
        }
        if self.instances == 0 {
            return bad("instances", "must be at least 1");
        }
        if self.tier >= self.tiers {
            return bad("tier", "out of range");
        }
        if self.zone.0 >= self.zones {
            return bad("zone", "out of range");
        }
        if self.limits.max_attempts == 0 {
            return bad("limits.max_attempts", "must be at least 1");
        }
        for class in &self.classes {
            if class.target_latency.is_zero() {
                return bad("classes.target_latency", "must be positive");
            }
            if class.deadline.is_zero() {
                return bad("classes.deadline", "must be positive");
            }
        }
        let per_class = self.classes.iter().flat_map(|c| {
            [
                ("classes.value", c.value),
                ("classes.late_value", c.late_value),
                ("classes.target_latency_work_factor", c.target_latency_work_factor),
            ]
        });
        let figures = [
            ("over_quota_value", self.over_quota_value),
            ("rules.cold_capacity", self.rules.cold_capacity),
            ("rules.overload_factor", self.rules.overload_factor),
            ("prices.probe", self.prices.probe),
            ("prices.waste", self.prices.waste),
            ("prices.cross_zone", self.prices.cross_zone),
        ];
        let quotas = self.tenants.iter().map(|t| ("tenants.quota_per_s", t.quota_per_s));
        for (field, figure) in figures.into_iter().chain(per_class).chain(quotas) {
            if !figure.is_finite() || figure < 0.0 {
                return bad(field, "must be finite and not negative");
            }
        }
        if self.rules.close_idle_within.is_some_and(|time| time < self.host_tick * 2) {
            return bad("rules.close_idle_within", "must be at least two steps of the host");
        }
        if let Some(budget) = self.rules.retry_budget {
            let figures = [
                ("rules.retry_budget.min_retries", budget.min_retries),
                ("rules.retry_budget.ratio", budget.ratio),
            ];
            for (field, figure) in figures {
                if !figure.is_finite() || figure < 0.0 {
                    return bad(field, "must be finite and not negative");
                }
            }
            if budget.window.is_zero() {
                return bad("rules.retry_budget.window", "must be positive");
            }
        }
        if self.rules.cold_capacity > 1.0 {
            return bad("rules.cold_capacity", "must be at most 1");
        }
        Ok(())
    }
}

/// Whether an endpoint takes requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It does.
    #[default]
    Ready,
    /// It completes its work and takes nothing new.
    Draining,
    /// It is removed.
    Removed,
}

/// An entry of the list of endpoints.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// A hash of its name, the same at every balancer.
    pub key: u64,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// When it last started; `None` is long ago.
    pub started: Option<Time>,
    /// Its state.
    pub state: EndpointState,
    /// Its weight, see [`WeightKind`].
    pub weight: f64,
}

/// What a list event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Changes,
    /// Every entry; what is absent is gone.
    Complete,
    /// The complete list as last held before a restart, possibly stale.
    Restored,
}

/// A load report: what an endpoint says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests it holds.
    pub inflight: Option<f64>,
    /// Requests that wait in it.
    pub queue: Option<f64>,
    /// Fraction of its CPU in use.
    pub utilization: Option<f64>,
    /// Its recent service time in seconds.
    pub latency: Option<f64>,
    /// Requests it serves a second.
    pub rate: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Rejected unexamined; it never ran.
    Rejected,
    /// No answer in time; it may have run or may still run.
    Timeout,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A timer's purpose, returned as given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// Take a new snapshot.
    Refresh,
    /// Subscribe to discovery again.
    Subscribe,
    /// Look at a request that is still out.
    SlowRequest(RequestId),
}

/// How far the list of endpoints can be relied on, counted from the event that tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListValidity {
    /// No endpoint that is listed as ready drains unheard for so long.
    pub list_valid_for: Duration,
    /// After that, one that took a request is ready for so long after the send.
    pub accepted_valid_for: Duration,
}

/// What a balancer hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// It has just started. Comes first, once.
    Start,
    /// News of the list.
    EndpointList {
        /// What the entries are.
        scope: ListScope,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// How far the list can be relied on from now on; none, and before any is told: without end.
    ListValidity(Option<ListValidity>),
    /// A discovery call failed or the subscription broke.
    DiscoveryFailed,
    /// A request has come; it is owed one final answer.
    Request {
        /// Which.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant, where there are any.
        tenant: Option<TenantId>,
        /// Time until its client gives up.
        time_left: Duration,
        /// Work it is expected to take.
        work_hint: Option<Duration>,
        /// Its client says that it is not its first try.
        client_retry: bool,
    },
    /// A streamed answer has started: it now belongs to the client.
    FirstByte {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome {
        /// Which request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u32,
        /// Where it went.
        endpoint: EndpointId,
        /// The request is finished.
        finished: bool,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// The endpoint's report, if one came along.
        report: Option<LoadReport>,
    },
    /// New settings are in force. What was learned of endpoints stays.
    SettingsChanged {
        /// All of them.
        settings: Box<Settings>,
        /// For each class, the earlier one whose figures it continues.
        previous_classes: Vec<Option<ClassId>>,
    },
    /// The client has left; nothing is owed.
    ClientDisconnected(RequestId),
    /// A timer is due.
    Timer(Timer),
    /// A probe has ended.
    Probed {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// The endpoint's report, if one came along.
        report: Option<LoadReport>,
    },
}

/// What a balancer does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// Of which request.
        request: RequestId,
        /// Where.
        endpoint: EndpointId,
        /// It is given up after this time.
        timeout: Duration,
    },
    /// Final answer: rejected, a further try is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// Advice to stay away for so long.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// Of which request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// When, from now.
        after: Duration,
        /// What for.
        timer: Timer,
    },
    /// Ask an endpoint for its load.
    Probe(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to changes of the list.
    Subscribe,
}

impl Settings {
    /// Plain settings to start from: one tier, one zone, one safe class, reports with answers.
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
