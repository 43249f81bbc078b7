//! One sidecar of a small fleet on a virtual clock: steady requests, refreshes as the balancer schedules them, and
//! changes of its endpoint list.

use cometcroft::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Number of sidecars in the fleet.
const INSTANCES: u32 = 30;
const SEED: u64 = 11;
const REQUESTS_PER_SECOND: u32 = 30;
const LATENCY: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_secs(2);
/// Number of endpoints in a change of the list.
pub const CHANGED: u32 = 100;
/// Time between two changes of the list.
const CHANGE_EVERY: Duration = Duration::from_secs(10);

/// How the endpoint list changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Changes {
    /// Never.
    None,
    /// [`CHANGED`] entries in one event.
    AtOnce,
    /// [`CHANGED`] events with one entry each, 5 ms apart.
    OneByOne,
}

/// An event that is due at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request,
    Refresh,
    SlowRequest(RequestId),
    Response(RequestId, EndpointId, u32),
    ListChange(u32),
}

/// A balancer with its virtual clock and event queue.
pub struct SteadyTraffic {
    balancer: Balancer,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, Due)>>,
    next_request: u64,
    attempts: std::collections::HashMap<RequestId, u32>,
    endpoints: u32,
    changes: Changes,
    change: u32,
    actions: Vec<Action>,
    /// Number of attempts sent.
    pub sent: u64,
}

impl SteadyTraffic {
    /// Creates a balancer with a list of this length.
    pub fn new(endpoints: u32, changes: Changes) -> SteadyTraffic {
        let settings = Settings { instances: INSTANCES, ..Settings::example() };
        let balancer = Balancer::new(settings, SEED).expect("valid settings");
        let now = Duration::from_secs(100);
        let mut traffic = SteadyTraffic {
            balancer,
            now,
            queue: BinaryHeap::new(),
            next_request: 0,
            attempts: std::collections::HashMap::new(),
            endpoints,
            changes,
            change: 0,
            actions: Vec::new(),
            sent: 0,
        };
        traffic.handle(Event::Start);
        let entries = (0..endpoints).map(|id| entry(id, EndpointState::Ready)).collect();
        traffic.handle(Event::EndpointList { scope: ListScope::Complete, entries });
        traffic.schedule(Duration::ZERO, Due::Request);
        if changes != Changes::None {
            traffic.schedule(CHANGE_EVERY, Due::ListChange(0));
        }
        traffic
    }

    /// Advances the virtual clock and plays the events that are due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            let Some(Reverse((at, due))) = self.queue.pop() else { break };
            self.now = at;
            self.play(due);
        }
        self.now = end;
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.queue.push(Reverse((self.now + after, due)));
    }

    fn play(&mut self, due: Due) {
        match due {
            Due::Request => self.request(),
            Due::Refresh => self.handle(Event::Timer(Timer::Refresh)),
            Due::SlowRequest(id) => self.handle(Event::Timer(Timer::SlowRequest(id))),
            Due::Response(request, endpoint, attempt) => self.respond(request, endpoint, attempt),
            Due::ListChange(offset) => self.change_list(offset),
        }
    }

    fn request(&mut self) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let (class, tenant) = (ClassId(0), None);
        self.schedule(Duration::from_secs(1) / REQUESTS_PER_SECOND, Due::Request);
        self.handle(Event::Request {
            request,
            class,
            tenant,
            time_left: DEADLINE,
            work_hint: None,
            client_retry: false,
        });
    }

    fn respond(&mut self, request: RequestId, endpoint: EndpointId, attempt: u32) {
        self.attempts.remove(&request);
        let inflight = Some((request.0 % 5) as f64);
        self.handle(Event::Outcome {
            request,
            attempt,
            endpoint,
            finished: true,
            outcome: Outcome::Ok,
            latency: LATENCY,
            report: Some(LoadReport { inflight, queue: Some(0.0), ..LoadReport::default() }),
        });
    }

    /// Lets a range of the list drain, or be ready again at the next change.
    fn change_list(&mut self, offset: u32) {
        let state =
            if self.change.is_multiple_of(2) { EndpointState::Draining } else { EndpointState::Ready };
        let first = self.change / 2 * CHANGED % self.endpoints;
        let changed = |offset: u32| entry((first + offset) % self.endpoints, state);
        let entries = match self.changes {
            Changes::OneByOne => vec![changed(offset)],
            _ => (0..CHANGED).map(changed).collect(),
        };
        self.handle(Event::EndpointList { scope: ListScope::Changes, entries });
        if self.changes == Changes::OneByOne && offset + 1 < CHANGED {
            self.schedule(Duration::from_millis(5), Due::ListChange(offset + 1));
        } else {
            self.change += 1;
            self.schedule(CHANGE_EVERY, Due::ListChange(0));
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let attempts = self.attempts.entry(*request).or_insert(0);
                    let attempt = *attempts;
                    *attempts += 1;
                    self.sent += 1;
                    self.schedule(LATENCY, Due::Response(*request, *endpoint, attempt));
                }
                Action::SetTimer { after, timer: Timer::Refresh } => self.schedule(*after, Due::Refresh),
                Action::SetTimer { after, timer: Timer::SlowRequest(id) } => {
                    self.schedule(*after, Due::SlowRequest(*id))
                }
                _ => {}
            }
        }
        self.actions = actions;
    }
}

fn entry(id: u32, state: EndpointState) -> EndpointEntry {
    let key = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let (cell, zone) = (CellId(id as usize % 2), ZoneId(0));
    EndpointEntry { endpoint: EndpointId(id), key, cell, zone, started: None, state, weight: 1.0 }
}
