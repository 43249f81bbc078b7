//! A balancer driven by hand: the clock moves only when a test moves it.
#![allow(dead_code)]

use cometcroft::*;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(effect: Effect) -> RequestClass {
    RequestClass { effect, ..Settings::example().classes[0].clone() }
}

pub fn member(id: u32) -> EndpointEntry {
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

pub fn load(queue: f64) -> Option<LoadReport> {
    Some(LoadReport { inflight: Some(queue), queue: Some(0.0), ..LoadReport::default() })
}

pub struct Drive {
    pub balancer: Balancer,
    pub now: Time,
    pub timers: Vec<(Time, Timer)>,
    pub next: u64,
}

impl Drive {
    pub fn new(settings: Settings, members: Vec<EndpointEntry>) -> Drive {
        Drive::seeded(settings, members, 11)
    }

    pub fn seeded(settings: Settings, members: Vec<EndpointEntry>, seed: u64) -> Drive {
        let balancer = Balancer::new(settings, seed).expect("settings are sound");
        let mut drive = Drive { balancer, now: Duration::from_secs(100), timers: Vec::new(), next: 0 };
        drive.tell(Event::Start);
        drive.tell(Event::EndpointList { scope: ListScope::Restored, entries: members });
        drive
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, timer } = action {
                self.timers.push((self.now + *after, *timer));
            }
        }
        actions
    }

    /// Lets time pass; timers come due on the way.
    pub fn pass(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).min().filter(|&at| at <= end) {
            let due = self.timers.iter().position(|t| t.0 == at).expect("it is there");
            let (_, timer) = self.timers.swap_remove(due);
            self.now = self.now.max(at);
            actions.extend(self.tell(Event::Timer(timer)));
        }
        self.now = end;
        actions
    }

    pub fn ask(&mut self, class: usize, time_left: Duration) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next);
        self.next += 1;
        let class = ClassId(class);
        (
            request,
            self.tell(Event::Request {
                request,
                class,
                tenant: None,
                time_left,
                work_hint: None,
                client_retry: false,
            }),
        )
    }

    pub fn end(
        &mut self,
        request: RequestId,
        n: u32,
        to: EndpointId,
        outcome: Outcome,
        took: Duration,
    ) -> Vec<Action> {
        self.end_with(request, n, to, outcome, took, None)
    }

    pub fn end_with(
        &mut self,
        request: RequestId,
        attempt: u32,
        endpoint: EndpointId,
        outcome: Outcome,
        latency: Duration,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        self.tell(Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report })
    }

    /// A call that is answered at once as `answer` says; returns where it went first.
    pub fn call(
        &mut self,
        class: usize,
        answer: impl Fn(EndpointId) -> (Outcome, Duration, Option<LoadReport>),
    ) -> Option<EndpointId> {
        let (request, actions) = self.ask(class, ms(2000));
        let first = sent(&actions);
        let mut to = first;
        let mut attempt = 0;
        while let Some(endpoint) = to {
            let (outcome, latency, report) = answer(endpoint);
            let actions = self.end_with(request, attempt, endpoint, outcome, latency, report);
            to = sent(&actions);
            attempt += 1;
        }
        first
    }
}

pub fn sent(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
