//! Plays random events with fixed seeds and checks the rules of [`Rules`] and the single final response after each.
mod common;

use cometcroft::*;
use common::*;
use std::collections::HashMap;
use std::time::Duration;

struct SentAttempt {
    endpoint: EndpointId,
    at: Time,
    in_flight: bool,
    never_ran: bool,
    /// The endpoint list at that time.
    listed: Vec<EndpointEntry>,
}

struct OpenRequest {
    class: usize,
    deadline: Time,
    attempts: Vec<SentAttempt>,
}

struct RandomRun {
    settings: Settings,
    harness: Harness,
    rng: fastrand::Rng,
    entries: Vec<EndpointEntry>,
    /// Time from which endpoints must not get new attempts, grace period aside.
    excluded_at: HashMap<EndpointId, Time>,
    /// Time since which connections to these endpoints may be idle.
    idle: HashMap<EndpointId, Time>,
    open: HashMap<RequestId, OpenRequest>,
    /// Attempts in flight of finished requests.
    late: Vec<(RequestId, u32, EndpointId)>,
    responses: u32,
    /// Arrival times of requests.
    received: Vec<Time>,
    /// Time, request and attempt number of each attempt after the first.
    retries: Vec<(Time, RequestId, usize)>,
}

impl RandomRun {
    /// Records the balancer's actions and checks them against the rules.
    fn check(&mut self, actions: Vec<Action>) {
        if let Some(close_idle_within) = self.settings.rules.close_idle_within {
            for action in &actions {
                if let Action::CloseIdle(endpoint) = action {
                    self.idle.remove(endpoint);
                }
            }
            for (endpoint, &since) in &self.idle {
                // Counted from the later of notification and last use; an attempt in flight does not excuse idle
                // connections.
                if let Some(&excluded) = self.excluded_at.get(endpoint) {
                    assert!(
                        self.harness.now < since.max(excluded) + close_idle_within,
                        "idle connections still open to {endpoint:?}"
                    );
                }
            }
        }
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let now = self.harness.now;
                    let open = self.open.get_mut(&request).expect("attempt for a finished request");
                    if let Some(&excluded) = self.excluded_at.get(&endpoint) {
                        assert!(
                            now - excluded <= self.settings.rules.drain_grace,
                            "attempt to a draining endpoint after the grace period"
                        );
                    }
                    assert!(
                        (open.attempts.len() as u32) < self.settings.limits.max_attempts,
                        "more than max_attempts attempts"
                    );
                    let in_flight = open.attempts.iter().filter(|s| s.in_flight).count();
                    assert!(
                        in_flight < if self.settings.limits.hedging { 2 } else { 1 },
                        "too many concurrent attempts"
                    );
                    if let Some(first) = open.attempts.iter().find(|s| !s.never_ran) {
                        match self.settings.classes[open.class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => panic!("unsafe request retried though it may have run"),
                            Effect::Keyed { scope, window } => {
                                // By the list of each attempt and by the current one: between the two, an endpoint
                                // may have got another zone or cell.
                                let in_scope = scope == DedupScope::All
                                    || open.attempts.iter().filter(|s| !s.never_ran).all(|ran| {
                                        [&ran.listed, &self.entries].into_iter().all(|listed| {
                                            let (a, b) =
                                                (entry_of(listed, ran.endpoint), entry_of(listed, endpoint));
                                            match scope {
                                                DedupScope::All => true,
                                                DedupScope::Zone => a.zone == b.zone,
                                                DedupScope::Cell => a.cell == b.cell,
                                                DedupScope::ZoneAndCell => {
                                                    a.zone == b.zone && a.cell == b.cell
                                                }
                                            }
                                        })
                                    });
                                let after = now - first.at;
                                assert!(in_scope, "keyed request retried outside its dedup scope");
                                assert!(
                                    after < window,
                                    "keyed request retried {after:?} after its first attempt, beyond its window"
                                );
                            }
                        }
                    }
                    if !open.attempts.is_empty() {
                        self.retries.push((now, request, open.attempts.len()));
                        if let Some(budget) = self.settings.rules.retry_budget {
                            let retries = self.retries.iter().filter(|f| now - f.0 <= budget.window).count();
                            let received =
                                self.received.iter().filter(|&&at| now - at < budget.window).count();
                            let limit = budget.min_retries + budget.ratio * received as f64;
                            assert!(
                                retries as f64 <= limit + 1e-6,
                                "{retries} retries where the budget permits {limit}"
                            );
                        }
                    }
                    let listed = self.entries.clone();
                    open.attempts.push(SentAttempt {
                        endpoint,
                        at: now,
                        in_flight: true,
                        never_ran: false,
                        listed,
                    });
                }
                Action::Reject { request, .. } => {
                    let open = self.finish(request);
                    let ran = open.attempts.iter().any(|s| !s.never_ran);
                    match self.settings.classes[open.class].effect {
                        Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => {}
                        _ => assert!(!ran, "rejected though it may have run"),
                    }
                }
                Action::Fail(request) => {
                    self.finish(request);
                }
                _ => {}
            }
        }
    }

    fn finish(&mut self, request: RequestId) -> OpenRequest {
        self.responses += 1;
        let open = self.open.remove(&request).expect("second final response");
        for (n, attempt) in open.attempts.iter().enumerate().filter(|(_, s)| s.in_flight) {
            self.late.push((request, n as u32, attempt.endpoint));
        }
        open
    }

    /// Lets a random time pass, then plays a random event.
    fn step(&mut self) {
        for _ in 0..self.rng.u64(0..40) {
            let actions = self.harness.advance(ms(1));
            self.check(actions);
        }
        // Attempts of requests that have reached their deadline time out; the final response must come at once.
        let mut due: Vec<RequestId> =
            self.open.iter().filter(|o| o.1.deadline <= self.harness.now).map(|o| *o.0).collect();
        due.sort();
        for id in due {
            while let Some(open) = self.open.get(&id) {
                let n = open
                    .attempts
                    .iter()
                    .position(|s| s.in_flight)
                    .expect("open request without an attempt in flight");
                self.end_attempt(id, n as u32, Outcome::Timeout);
            }
        }
        match self.rng.u32(0..10) {
            0..4 => {
                let (class, time_left) =
                    (self.rng.usize(0..self.settings.classes.len()), ms(self.rng.u64(1..4000)));
                let id = RequestId(self.harness.next_request);
                self.open.insert(
                    id,
                    OpenRequest { class, deadline: self.harness.now + time_left, attempts: vec![] },
                );
                self.received.push(self.harness.now);
                let (_, actions) = self.harness.request(class, time_left);
                self.check(actions);
            }
            4..8 => {
                let mut ids: Vec<RequestId> = self.open.keys().copied().collect();
                ids.sort();
                if let Some(&id) = ids.get(self.rng.usize(0..ids.len().max(1))) {
                    let attempts = &self.open[&id].attempts;
                    let n = attempts
                        .iter()
                        .position(|s| s.in_flight)
                        .expect("open request without an attempt in flight");
                    let outcomes = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Error,
                        Outcome::Rejected,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::Timeout,
                        Outcome::NotSent,
                    ];
                    let outcome = outcomes[self.rng.usize(0..outcomes.len())];
                    self.end_attempt(id, n as u32, outcome);
                }
            }
            8 => {
                if let Some((id, n, endpoint)) = self.late.pop() {
                    let event = Event::Outcome {
                        request: id,
                        attempt: n,
                        endpoint,
                        finished: true,
                        outcome: Outcome::Cancelled,
                        latency: ms(5),
                        report: load_report(1.0),
                    };
                    self.idle.insert(endpoint, self.harness.now);
                    let actions = self.harness.handle(event);
                    self.check(actions);
                }
            }
            _ => {
                let n = self.rng.usize(0..self.entries.len());
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][self.rng.usize(0..4)];
                let started = if self.rng.bool() { self.entries[n].started } else { Some(self.harness.now) };
                let moves = self.rng.u32(0..4) == 0;
                let entry = &mut self.entries[n];
                (entry.state, entry.started) = (state, started);
                if moves {
                    (entry.zone, entry.cell) = (ZoneId(self.rng.usize(0..3)), CellId(self.rng.usize(0..2)));
                }
                let (entry, now) = (entry.clone(), self.harness.now);
                if state == EndpointState::Ready {
                    self.excluded_at.remove(&entry.endpoint);
                } else if state == EndpointState::Draining || !self.settings.rules.use_removed_endpoints {
                    self.excluded_at.entry(entry.endpoint).or_insert(now);
                }
                let actions = self
                    .harness
                    .handle(Event::EndpointList { scope: ListScope::Changes, entries: vec![entry] });
                self.check(actions);
            }
        }
    }

    fn end_attempt(&mut self, id: RequestId, n: u32, outcome: Outcome) {
        let attempt = &mut self.open.get_mut(&id).expect("an open request").attempts[n as usize];
        (attempt.in_flight, attempt.never_ran) = (false, outcome.never_ran());
        if outcome == Outcome::NotSent {
            self.retries.retain(|f| (f.1, f.2) != (id, n as usize));
        }
        let (endpoint, latency) = (attempt.endpoint, self.harness.now - attempt.at);
        if outcome == Outcome::Ok {
            self.finish(id);
        }
        let report = load_report(f64::from(self.rng.u32(0..9)));
        self.idle.insert(endpoint, self.harness.now);
        let actions = self.harness.end_attempt_with(id, n, endpoint, outcome, latency, report);
        self.check(actions);
    }
}

fn entry_of(entries: &[EndpointEntry], id: EndpointId) -> &EndpointEntry {
    entries.iter().find(|m| m.endpoint == id).expect("a listed endpoint")
}

#[test]
fn random_events_break_no_rule() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut settings = Settings::example();
        let window = Duration::from_secs(1);
        settings.zones = 3;
        settings.classes = vec![
            class(Effect::Safe),
            class(Effect::Unsafe),
            class(Effect::Keyed { scope: DedupScope::All, window }),
            class(Effect::Keyed { scope: DedupScope::Zone, window }),
            class(Effect::Keyed { scope: DedupScope::Cell, window }),
            class(Effect::Keyed { scope: DedupScope::ZoneAndCell, window }),
        ];
        settings.limits.hedging = rng.bool();
        settings.limits.probes = rng.bool();
        settings.limits.cancel = rng.bool();
        settings.limits.max_attempts = rng.u32(1..6);
        settings.tier = rng.usize(0..2);
        settings.tiers = 2;
        settings.instances = [1, 200][rng.usize(0..2)];
        settings.rank = rng.u32(0..200);
        settings.rules.close_idle_within = [None, Some(ms(300))][rng.usize(0..2)];
        let (min_retries, ratio) = ([0.0, 1.0, 5.0][rng.usize(0..3)], [0.0, 0.03, 0.5][rng.usize(0..3)]);
        let window = Duration::from_secs(2);
        settings.rules.retry_budget = Some(RetryBudget { min_retries, ratio, window }).filter(|_| rng.bool());
        settings.rules.use_removed_endpoints = rng.bool();
        settings.reports =
            [ReportSource::Responses, ReportSource::Probes, ReportSource::None][rng.usize(0..3)];
        settings.rules.cold_capacity = [0.3, 1.0][rng.usize(0..2)];
        let count = rng.u32(1..9);
        let entries: Vec<EndpointEntry> =
            (0..count).map(|id| EndpointEntry { zone: ZoneId(id as usize % 3), ..entry(id) }).collect();
        let harness = Harness::new(settings.clone(), entries.clone());
        let (excluded_at, open, late) = (HashMap::new(), HashMap::new(), Vec::new());
        let idle = HashMap::new();
        let mut run = RandomRun {
            settings,
            harness,
            rng,
            entries,
            excluded_at,
            idle,
            open,
            late,
            responses: 0,
            received: vec![],
            retries: vec![],
        };
        for _ in 0..3000 {
            run.step();
        }
        assert!(run.responses > 300, "too few final responses");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut h = Harness::new(Settings::example(), (0..5).map(entry).collect());
        let mut endpoints = Vec::new();
        for n in 0..200 {
            endpoints.push(
                h.serve(0, |endpoint| (Outcome::Ok, ms(20 + n % 7), load_report(f64::from(endpoint.0 % 3)))),
            );
            h.advance(ms(7));
        }
        endpoints
    };
    assert_eq!(run(), run());
}
