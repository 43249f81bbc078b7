//! All decisions of the balancer; its interface (settings, ids, events, actions) is in src/interface.rs.
//!
//! The algorithm combines join-shortest-queue with weighted round robin. At each refresh the eligible
//! endpoints are sorted by their last reported load ([`snapshot`]); until the next refresh, requests go down
//! that list in round-robin order ([`round_robin`]). The effective weight of an endpoint is the fraction of
//! passes in which it gets a request; health, size and slow start act through this weight alone.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`table`] | state per endpoint, and endpoint lists that change it |
//! | [`subset`] | the subset of endpoints that this sidecar uses, and the share of cross-zone requests |
//! | [`snapshot`] | ranking and effective weights of the endpoints in rotation |
//! | [`round_robin`] | the endpoint that an attempt goes to |
//! | [`deduplication`] | endpoints that discard duplicates of a keyed request |
//! | [`list_validity`] | endpoints that may be used while the endpoint list is not confirmed |
//! | [`slow_start`] | load limit of endpoints that have just started |
//! | [`request`] | the attempts of a request and its final response |
//! | [`admission`] | requests that are rejected on arrival |
//! | [`hedging`] | hedged attempts for requests that take unusually long |
//! | [`retry_budget`] | limit on attempts after the first |
//! | [`health`] | endpoint health and class latencies from outcomes and load reports |
//! | [`probing`] | probes for load reports |
//! | [`rate`] | exponentially decayed rates |

mod admission;
mod deduplication;
mod health;
mod hedging;
mod list_validity;
mod probing;
mod rate;
mod request;
mod retry_budget;
mod round_robin;
mod slow_start;
mod snapshot;
mod subset;
mod table;

use crate::interface::*;
use list_validity::ListConfirmation;
use rate::{Rate, secs};
use request::{ClassLatency, Request};
use retry_budget::RetryWindow;
use slow_start::WarmRequests;
use std::collections::BTreeMap;
use subset::CROSS_ZONE_SHARE;
use table::{Endpoint, Table};

/// The load-balancing policy of one sidecar.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// All listed endpoints, and removed ones for a while.
    table: Table,
    /// Table indices of the endpoints in rotation, in round-robin order: lowest reported load first.
    rotation: Vec<usize>,
    /// Position of the round-robin pass in `rotation`.
    cursor: usize,
    /// Own attempts in flight to the rotation. Always a whole number, so updating it by one is exact.
    rotation_in_flight: f64,
    /// Total size of the rotation; endpoints that are only partly in this sidecar's subset count in part.
    rotation_size: f64,
    requests: BTreeMap<RequestId, Request>,
    /// Latency statistics per class.
    latencies: Vec<ClassLatency>,
    /// Request rate per tenant.
    tenant_rates: Vec<Rate>,
    /// Per class: an endpoint whose `unresponsive` score exceeds this gets no requests of the class.
    unresponsive_limits: Vec<f64>,
    request_rate: Rate,
    /// Rate of finished requests that had an attempt.
    completion_rate: Rate,
    /// Moving average of response times, as a multiple of their uncongested times.
    slowdown: f64,
    /// Time of the last outcome that counted for `slowdown`.
    last_response: Time,
    /// Fraction of recent attempts that endpoints rejected because of load.
    rejected_share: f64,
    /// Fraction of recent requests that admission rejected.
    shed_share: f64,
    /// Fraction of the passes in which endpoints of other zones are used.
    cross_zone_share: f64,
    started: Time,
    warm_requests: WarmRequests,
    /// Idle time in seconds after which connections turned out to be dead.
    dead_after: f64,
    /// Fraction of the connections idle for about that long that were dead.
    dead_share: f64,
    retries: RetryWindow,
    probe_budget: f64,
    last_refresh: Time,
    /// Failed discovery calls since the last endpoint list.
    discovery_failures: u32,
    list_confirmation: ListConfirmation,
    /// Time constant in seconds with which statistics decay.
    time_constant: f64,
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer without endpoints; its first event must be [`Event::Start`].
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let time_constant = settings.max_deadline().max(settings.rules.ramp);
        let mean_target = settings.classes.iter().map(|c| c.target_latency.as_secs_f64()).sum::<f64>()
            / settings.classes.len() as f64;
        let rate = Rate::new(secs(2.0 * mean_target), Time::ZERO);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            table: Table::default(),
            rotation: Vec::new(),
            cursor: 0,
            rotation_in_flight: 0.0,
            rotation_size: 0.0,
            requests: BTreeMap::new(),
            latencies: settings.classes.iter().map(ClassLatency::new).collect(),
            tenant_rates: vec![Rate::new(time_constant, Time::ZERO); settings.tenants.len()],
            unresponsive_limits: vec![0.9; settings.classes.len()],
            request_rate: rate,
            completion_rate: rate,
            slowdown: 1.0,
            last_response: Time::ZERO,
            rejected_share: 0.0,
            shed_share: 0.0,
            cross_zone_share: CROSS_ZONE_SHARE[2],
            started: Time::ZERO,
            warm_requests: WarmRequests::new(time_constant),
            dead_after: f64::INFINITY,
            dead_share: 0.0,
            retries: RetryWindow::new(&settings, time_constant),
            probe_budget: 0.0,
            last_refresh: Time::ZERO,
            discovery_failures: 0,
            list_confirmation: ListConfirmation::default(),
            actions: Vec::new(),
            // A sidecar with little traffic that forgot within a few requests would never find out which
            // endpoints are slow.
            time_constant: time_constant.as_secs_f64(),
            settings,
        })
    }

    /// Handles an event that happens at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.actions = std::mem::take(actions);
        self.handle_event(now, event);
        *actions = std::mem::take(&mut self.actions);
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Start => self.start(now),
            Event::EndpointList { scope, entries } => self.update_endpoints(now, scope, &entries),
            Event::SettingsChanged { settings, previous_classes } => {
                self.change_settings(*settings, &previous_classes)
            }
            Event::ListValidity(validity) => self.list_confirmation.set(now, validity),
            Event::DiscoveryFailed => self.discovery_failed(),
            Event::Request { request: id, class, tenant, time_left, work_hint, client_retry } => {
                let request = self.new_request(now, class, time_left, client_retry);
                self.admit(now, id, request, tenant, work_hint);
            }
            Event::FirstByte { request, .. } => {
                if let Some(request) = self.requests.get_mut(&request) {
                    request.streaming = true;
                }
            }
            Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report } => {
                self.record_load(now, endpoint, report);
                self.record_outcome(now, request, endpoint, outcome, latency);
                self.record_acceptance(now, endpoint, outcome, latency);
                self.close_idle_unless_ready(endpoint);
                self.attempt_ended(now, request, attempt, finished, outcome);
            }
            Event::ClientDisconnected(id) => self.client_disconnected(now, id),
            Event::Timer(Timer::Refresh) => self.refresh(now),
            Event::Timer(Timer::Subscribe) => self.actions.push(Action::Subscribe),
            Event::Timer(Timer::SlowRequest(id)) => self.hedge(now, id),
            Event::Probed { endpoint, outcome, latency: _, report } => {
                self.probed(now, endpoint, outcome, report);
            }
        }
    }

    fn start(&mut self, now: Time) {
        for rate in self.tenant_rates.iter_mut().chain([&mut self.request_rate, &mut self.completion_rate]) {
            rate.since = now;
            rate.updated = now;
        }
        self.warm_requests.start(now);
        self.last_refresh = now;
        self.started = now;
        if self.settings.discovery == Discovery::Subscribe {
            self.actions.push(Action::Subscribe);
        }
        self.actions.push(Action::SetTimer { after: self.settings.host_tick, timer: Timer::Refresh });
    }

    fn discovery_failed(&mut self) {
        // Exponential backoff with jitter: otherwise all sidecars would call again at once and fail again.
        // The wait is limited because, over sockets, a list change counts as delivered after 6 s where a call
        // may be made within 10 s.
        let max_wait = self.settings.rules.resubscribe_within.as_secs_f64().min(30.0) / 4.0;
        let wait = (0.2 * max_wait * 2f64.powi(self.discovery_failures.min(10) as i32)).min(max_wait);
        self.discovery_failures += 1;
        let after = secs(wait * (0.5 + self.rng.f64()));
        self.actions.push(Action::SetTimer { after, timer: Timer::Subscribe });
    }

    /// Number of endpoints in the table.
    pub fn endpoint_count(&self) -> usize {
        self.table.ids.len()
    }

    /// Applies new settings and keeps all statistics: without them, the sidecar would send to the same few
    /// endpoints as others do and reject requests, as right after a start.
    fn change_settings(&mut self, settings: Settings, previous_classes: &[Option<ClassId>]) {
        let previous = |class: usize| previous_classes.get(class).copied().flatten().map(|id| id.0);
        let latency = |(class, c)| {
            previous(class).and_then(|p| self.latencies.get(p)).copied().unwrap_or(ClassLatency::new(c))
        };
        self.latencies = settings.classes.iter().enumerate().map(latency).collect();
        let carry_over = |values: &[f64], new: f64| -> Vec<f64> {
            let of = |class| previous(class).and_then(|p| values.get(p)).copied().unwrap_or(new);
            (0..settings.classes.len()).map(of).collect()
        };
        self.unresponsive_limits = carry_over(&self.unresponsive_limits, 0.9);
        self.table
            .endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.unresponsive = carry_over(&endpoint.unresponsive, 0.0));
        self.tenant_rates.resize(settings.tenants.len(), Rate::new(secs(self.time_constant), self.started));
        self.retries.change_settings(&settings, secs(self.time_constant));
        self.settings = settings;
        self.rotation_size = self.size_of_rotation();
    }

    /// Number of listed endpoints that are avoided now: draining, unreachable, failing or slow.
    pub fn avoided_count(&self, now: Time) -> usize {
        let use_removed = self.settings.rules.use_removed_endpoints;
        let avoided = |endpoint: &Endpoint| {
            endpoint.probation || endpoint.unreachable(now) || !endpoint.is_eligible(use_removed)
        };
        self.table
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.entry.state != EndpointState::Removed && avoided(endpoint))
            .count()
    }
}
