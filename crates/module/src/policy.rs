//! Every decision of the balancer; its whole interface (settings, ids, events) is src/interface.rs.
//!
//! The ordinary path is JSQ-RR: at each refresh the ready endpoints are sorted by last reported load
//! ([`snapshot`]), and until the next refresh calls walk that list round robin ([`walk`]). A row's pace says
//! in what share of the laps it is visited; health, size and coldness act through the pace alone.
//!
//! | module | its job |
//! | --- | --- |
//! | [`table`] | what is known of each endpoint, and the lists that change it |
//! | [`subset`] | the part of the list that this balancer walks, and how often it leaves its own zone |
//! | [`snapshot`] | the ranking of the rows and the pace of each |
//! | [`walk`] | the row that a request goes to |
//! | [`trust`] | which rows may be sent to while the list is not confirmed |
//! | [`slow_start`] | what a cold endpoint may be sent |
//! | [`request`] | the attempts of a request and its one final answer |
//! | [`admission`] | what is refused at once |
//! | [`hedging`] | what is done about a request that is out for unusually long |
//! | [`retry_budget`] | how many attempts beyond the first are permitted |
//! | [`health`] | what outcomes and reports tell of an endpoint |
//! | [`probing`] | reports that are asked for |
//! | [`rate`] | rates that fade with time |

mod admission;
mod health;
mod hedging;
mod probing;
mod rate;
mod request;
mod retry_budget;
mod slow_start;
mod snapshot;
mod subset;
mod table;
mod trust;
mod walk;

use crate::interface::*;
use rate::{Rate, secs};
use request::{Request, Track};
use retry_budget::RetryWindow;
use slow_start::WarmCalls;
use std::collections::BTreeMap;
use subset::ABROAD;
use table::{Endpoint, Table};
use trust::ListTrust;

/// The decisions of one balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// All that are listed, and for a while what is gone.
    table: Table,
    /// The snapshot: places of ready endpoints, shortest reported load first.
    rows: Vec<usize>,
    cursor: usize,
    /// Own calls out to the rows. They are whole, so adding and taking away one by one is exact.
    rows_out: f64,
    /// The size of the rows, as far as they lie in this balancer's stretch.
    rows_size: f64,
    requests: BTreeMap<RequestId, Request>,
    tracks: Vec<Track>,
    tenants: Vec<Rate>,
    /// Above so much silence an endpoint is passed over for a class.
    usual_silent: Vec<f64>,
    calls: Rate,
    ends: Rate,
    /// What the last answers took, as a multiple of what they take uncrowded.
    recent: f64,
    answered: Time,
    /// The share of the last attempts that were turned away as full.
    full: f64,
    /// The share of the last calls that were refused for crowding.
    refused: f64,
    abroad: f64,
    began: Time,
    warm_calls: WarmCalls,
    /// Connections idle for so long were found dead, and the share of those so idle that were.
    dead_after: f64,
    dead_share: f64,
    retries: RetryWindow,
    probe_budget: f64,
    refreshed: Time,
    refused_lists: u32,
    trust: ListTrust,
    memory: f64,
    actions: Vec<Action>,
}

impl Balancer {
    /// A balancer that knows nothing yet; its first event is [`Event::Start`].
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let memory = longest.max(settings.rules.ramp);
        let mean_aim = settings.classes.iter().map(|c| c.target_latency.as_secs_f64()).sum::<f64>()
            / settings.classes.len() as f64;
        let rate = Rate::new(secs(2.0 * mean_aim), Time::ZERO);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            table: Table::default(),
            rows: Vec::new(),
            cursor: 0,
            rows_out: 0.0,
            rows_size: 0.0,
            requests: BTreeMap::new(),
            tracks: settings.classes.iter().map(Track::new).collect(),
            tenants: vec![Rate::new(memory, Time::ZERO); settings.tenants.len()],
            usual_silent: vec![0.9; settings.classes.len()],
            calls: rate,
            ends: rate,
            recent: 1.0,
            answered: Time::ZERO,
            full: 0.0,
            refused: 0.0,
            abroad: ABROAD[2],
            began: Time::ZERO,
            warm_calls: WarmCalls::new(memory),
            dead_after: f64::INFINITY,
            dead_share: 0.0,
            retries: RetryWindow::new(&settings, memory),
            probe_budget: 0.0,
            refreshed: Time::ZERO,
            refused_lists: 0,
            trust: ListTrust::default(),
            actions: Vec::new(),
            // Danger: a quiet caller that forgets within a few calls never finds out who is slow.
            memory: memory.as_secs_f64(),
            settings,
        })
    }

    /// Takes an event that happens at `now` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.actions = std::mem::take(actions);
        self.take(now, event);
        *actions = std::mem::take(&mut self.actions);
    }

    fn take(&mut self, now: Time, event: Event) {
        match event {
            Event::Start => self.start(now),
            Event::EndpointList { scope, entries } => self.members(now, scope, &entries),
            Event::SettingsChanged { settings, previous_classes } => {
                self.retune(*settings, &previous_classes)
            }
            Event::ListValidity(trust) => self.trust.told(now, trust),
            Event::DiscoveryFailed => self.discovery_refused(),
            Event::Request { request: id, class, tenant, time_left, work_hint, client_retry } => {
                let request = self.new_request(now, class, time_left, client_retry);
                self.request(now, id, request, tenant, work_hint);
            }
            Event::FirstByte { request, .. } => {
                if let Some(request) = self.requests.get_mut(&request) {
                    request.streaming = true;
                }
            }
            Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report } => {
                self.report(now, endpoint, report);
                self.judge(now, request, endpoint, outcome, latency);
                self.note_accepted(now, endpoint, outcome, latency);
                self.let_go(endpoint);
                self.outcome(now, request, attempt, finished, outcome);
            }
            Event::ClientDisconnected(id) => self.withdrawn(now, id),
            Event::Timer(Timer::Refresh) => self.refresh(now),
            Event::Timer(Timer::Subscribe) => self.actions.push(Action::Subscribe),
            Event::Timer(Timer::SlowRequest(id)) => self.hedge(now, id),
            Event::Probed { endpoint, outcome, latency: _, report } => {
                self.probed(now, endpoint, outcome, report);
            }
        }
    }

    fn start(&mut self, now: Time) {
        for rate in self.tenants.iter_mut().chain([&mut self.calls, &mut self.ends]) {
            rate.since = now;
            rate.at = now;
        }
        self.warm_calls.start(now);
        self.refreshed = now;
        self.began = now;
        if self.settings.discovery == Discovery::Subscribe {
            self.actions.push(Action::Subscribe);
        }
        self.actions.push(Action::SetTimer { after: self.settings.host_tick, timer: Timer::Refresh });
    }

    fn discovery_refused(&mut self) {
        // Danger: all balancers ask again at once and fail again, so the wait grows and is spread.
        // Danger: on sockets news counts as told after 6 s where a call may be made within 10.
        let most = self.settings.rules.resubscribe_within.as_secs_f64().min(30.0) / 4.0;
        let wait = (0.2 * most * 2f64.powi(self.refused_lists.min(10) as i32)).min(most);
        self.refused_lists += 1;
        let after = secs(wait * (0.5 + self.rng.f64()));
        self.actions.push(Action::SetTimer { after, timer: Timer::Subscribe });
    }

    /// How many endpoints it keeps account of.
    pub fn endpoint_count(&self) -> usize {
        self.table.ids.len()
    }

    /// New settings. Danger: one that forgot what it learned would herd and refuse as if just begun.
    fn retune(&mut self, settings: Settings, from: &[Option<ClassId>]) {
        let old = |class: usize| from.get(class).copied().flatten().map(|id| id.0);
        let track = |(at, c)| old(at).and_then(|o| self.tracks.get(o)).copied().unwrap_or(Track::new(c));
        self.tracks = settings.classes.iter().enumerate().map(track).collect();
        let follow = |f: &[f64], new: f64| -> Vec<f64> {
            let of = |at| old(at).and_then(|o| f.get(o)).copied().unwrap_or(new);
            (0..settings.classes.len()).map(of).collect()
        };
        self.usual_silent = follow(&self.usual_silent, 0.9);
        self.table.endpoints.iter_mut().for_each(|up| up.silent = follow(&up.silent, 0.0));
        self.tenants.resize(settings.tenants.len(), Rate::new(secs(self.memory), self.began));
        self.retries.retune(&settings, secs(self.memory));
        self.settings = settings;
        self.rows_size = self.size_of_rows();
    }

    /// How many listed endpoints are passed over now: they drain, can't be reached, or fail or are slow.
    pub fn avoided_count(&self, now: Time) -> usize {
        let alone = self.settings.rules.use_removed_endpoints;
        let out = |up: &Endpoint| up.probation || up.unreachable(now) || !up.may_be_sent_to(alone);
        self.table.endpoints.iter().filter(|up| up.member.state != EndpointState::Removed && out(up)).count()
    }
}
