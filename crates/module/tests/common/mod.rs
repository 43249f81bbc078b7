//! Test harness around a balancer: the clock advances only when a test advances it.
#![allow(dead_code)]

use cometcroft::*;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(effect: Effect) -> RequestClass {
    RequestClass { effect, ..Settings::example().classes[0].clone() }
}

/// A list entry for a ready, warm endpoint; the cell depends on the id.
pub fn entry(id: u32) -> EndpointEntry {
    let (cell, zone) = (CellId(id as usize % 2), ZoneId(0));
    let key = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    EndpointEntry {
        endpoint: EndpointId(id),
        key,
        cell,
        zone,
        started: None,
        state: EndpointState::Ready,
        weight: 1.0,
    }
}

pub fn load_report(inflight: f64) -> Option<LoadReport> {
    Some(LoadReport { inflight: Some(inflight), queue: Some(0.0), ..LoadReport::default() })
}

pub struct Harness {
    pub balancer: Balancer,
    pub now: Time,
    pub timers: Vec<(Time, Timer)>,
    pub next_request: u64,
}

impl Harness {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Harness {
        Harness::seeded(settings, entries, 11)
    }

    pub fn seeded(settings: Settings, entries: Vec<EndpointEntry>, seed: u64) -> Harness {
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut harness =
            Harness { balancer, now: Duration::from_secs(100), timers: Vec::new(), next_request: 0 };
        harness.handle(Event::Start);
        harness.handle(Event::EndpointList { scope: ListScope::Restored, entries });
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, timer } = action {
                self.timers.push((self.now + *after, *timer));
            }
        }
        actions
    }

    /// Advances the clock and fires the timers that expire on the way.
    pub fn advance(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).min().filter(|&at| at <= end) {
            let due = self.timers.iter().position(|t| t.0 == at).expect("the timer exists");
            let (_, timer) = self.timers.swap_remove(due);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer(timer)));
        }
        self.now = end;
        actions
    }

    pub fn request(&mut self, class: usize, time_left: Duration) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let class = ClassId(class);
        (
            request,
            self.handle(Event::Request {
                request,
                class,
                tenant: None,
                time_left,
                work_hint: None,
                client_retry: false,
            }),
        )
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        endpoint: EndpointId,
        outcome: Outcome,
        latency: Duration,
    ) -> Vec<Action> {
        self.end_attempt_with(request, attempt, endpoint, outcome, latency, None)
    }

    pub fn end_attempt_with(
        &mut self,
        request: RequestId,
        attempt: u32,
        endpoint: EndpointId,
        outcome: Outcome,
        latency: Duration,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        self.handle(Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report })
    }

    /// Plays a request whose attempts all end at once as `respond` says; returns the endpoint of the first one.
    pub fn serve(
        &mut self,
        class: usize,
        respond: impl Fn(EndpointId) -> (Outcome, Duration, Option<LoadReport>),
    ) -> Option<EndpointId> {
        let (request, actions) = self.request(class, ms(2000));
        let first = sent_to(&actions);
        let mut to = first;
        let mut attempt = 0;
        while let Some(endpoint) = to {
            let (outcome, latency, report) = respond(endpoint);
            let actions = self.end_attempt_with(request, attempt, endpoint, outcome, latency, report);
            to = sent_to(&actions);
            attempt += 1;
        }
        first
    }
}

/// The endpoint of the first attempt among these actions.
pub fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
