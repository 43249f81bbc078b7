//! Random events with fixed seeds, the four rules checked after every one.
mod common;

use cometcroft::*;
use common::*;
use std::collections::HashMap;
use std::time::Duration;

struct Sent {
    to: EndpointId,
    at: Time,
    out: bool,
    void: bool,
}

struct Open {
    class: usize,
    deadline: Time,
    sent: Vec<Sent>,
}

struct World {
    settings: Settings,
    d: Drive,
    rng: fastrand::Rng,
    members: Vec<EndpointEntry>,
    left_at: HashMap<EndpointId, Time>,
    /// Connections to these endpoints may be idle since then.
    idle: HashMap<EndpointId, Time>,
    open: HashMap<RequestId, Open>,
    late: Vec<(RequestId, u32, EndpointId)>,
    answers: u32,
    /// When requests were taken, and the attempts past their first.
    taken: Vec<Time>,
    further: Vec<(Time, RequestId, usize)>,
}

impl World {
    /// Books what the balancer did and checks it against the rules.
    fn check(&mut self, actions: Vec<Action>) {
        if let Some(close_idle_within) = self.settings.rules.close_idle_within {
            for action in &actions {
                if let Action::CloseIdle(endpoint) = action {
                    self.idle.remove(endpoint);
                }
            }
            for (endpoint, &since) in &self.idle {
                // The later of notice and last use; a send that is out keeps no idle connection open.
                if let Some(&left) = self.left_at.get(endpoint) {
                    assert!(
                        self.d.now < since.max(left) + close_idle_within,
                        "rule 5: still open to {endpoint:?}"
                    );
                }
            }
        }
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let now = self.d.now;
                    let open = self.open.get_mut(&request).expect("rule 1: sent for a finished request");
                    if let Some(&left) = self.left_at.get(&endpoint) {
                        assert!(now - left <= self.settings.rules.drain_grace, "rule 3");
                    }
                    assert!((open.sent.len() as u32) < self.settings.limits.max_attempts, "attempts");
                    let out = open.sent.iter().filter(|s| s.out).count();
                    assert!(out < if self.settings.limits.hedging { 2 } else { 1 }, "copies");
                    if let Some(first) = open.sent.iter().find(|s| !s.void) {
                        match self.settings.classes[open.class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => panic!("rule 2: unsafe sent again"),
                            Effect::Keyed { scope, window } => {
                                let (a, b) =
                                    (member_of(&self.members, first.to), member_of(&self.members, endpoint));
                                let same = match scope {
                                    DedupScope::All => true,
                                    DedupScope::Zone => a.zone == b.zone,
                                    DedupScope::Cell => a.cell == b.cell,
                                };
                                let after = now - first.at;
                                assert!(same, "rule 2: keyed sent beyond its group");
                                assert!(after < window, "rule 2: keyed sent after its window, {after:?}");
                            }
                        }
                    }
                    if !open.sent.is_empty() {
                        self.further.push((now, request, open.sent.len()));
                        if let Some(budget) = self.settings.rules.retry_budget {
                            let further = self.further.iter().filter(|f| now - f.0 <= budget.window).count();
                            let taken = self.taken.iter().filter(|&&at| now - at < budget.window).count();
                            let most = budget.min_retries + budget.ratio * taken as f64;
                            assert!(further as f64 <= most + 1e-6, "budget: {further} of {most}");
                        }
                    }
                    open.sent.push(Sent { to: endpoint, at: now, out: true, void: false });
                }
                Action::Reject { request, .. } => {
                    let open = self.finish(request);
                    let ran = open.sent.iter().any(|s| !s.void);
                    match self.settings.classes[open.class].effect {
                        Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => {}
                        _ => assert!(!ran, "rule 2: refused though it may have run"),
                    }
                }
                Action::Fail(request) => {
                    self.finish(request);
                }
                _ => {}
            }
        }
    }

    fn finish(&mut self, request: RequestId) -> Open {
        self.answers += 1;
        let open = self.open.remove(&request).expect("rule 1: a second final answer");
        for (n, sent) in open.sent.iter().enumerate().filter(|(_, s)| s.out) {
            self.late.push((request, n as u32, sent.to));
        }
        open
    }

    fn turn(&mut self) {
        for _ in 0..self.rng.u64(0..40) {
            let actions = self.d.pass(ms(1));
            self.check(actions);
        }
        // What has reached its deadline ends as a time-out, whose answer must come at once.
        let mut due: Vec<RequestId> =
            self.open.iter().filter(|o| o.1.deadline <= self.d.now).map(|o| *o.0).collect();
        due.sort();
        for id in due {
            while let Some(open) = self.open.get(&id) {
                let n = open.sent.iter().position(|s| s.out).expect("rule 1: held with nothing out");
                self.end(id, n as u32, Outcome::Timeout);
            }
        }
        match self.rng.u32(0..10) {
            0..4 => {
                let (class, left) =
                    (self.rng.usize(0..self.settings.classes.len()), ms(self.rng.u64(1..4000)));
                let id = RequestId(self.d.next);
                self.open.insert(id, Open { class, deadline: self.d.now + left, sent: vec![] });
                self.taken.push(self.d.now);
                let (_, actions) = self.d.ask(class, left);
                self.check(actions);
            }
            4..8 => {
                let mut ids: Vec<RequestId> = self.open.keys().copied().collect();
                ids.sort();
                if let Some(&id) = ids.get(self.rng.usize(0..ids.len().max(1))) {
                    let sent = &self.open[&id].sent;
                    let n = sent.iter().position(|s| s.out).expect("rule 1: held with nothing out");
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
                    self.end(id, n as u32, outcome);
                }
            }
            8 => {
                if let Some((id, n, to)) = self.late.pop() {
                    let event = Event::Outcome {
                        request: id,
                        attempt: n,
                        endpoint: to,
                        finished: true,
                        outcome: Outcome::Cancelled,
                        latency: ms(5),
                        report: load(1.0),
                    };
                    self.idle.insert(to, self.d.now);
                    let actions = self.d.tell(event);
                    self.check(actions);
                }
            }
            _ => {
                let n = self.rng.usize(0..self.members.len());
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][self.rng.usize(0..4)];
                let started = if self.rng.bool() { self.members[n].started } else { Some(self.d.now) };
                let entry = &mut self.members[n];
                (entry.state, entry.started) = (state, started);
                let (entry, now) = (entry.clone(), self.d.now);
                if state == EndpointState::Ready {
                    self.left_at.remove(&entry.endpoint);
                } else if state == EndpointState::Draining || !self.settings.rules.use_removed_endpoints {
                    self.left_at.entry(entry.endpoint).or_insert(now);
                }
                let actions =
                    self.d.tell(Event::EndpointList { scope: ListScope::Changes, entries: vec![entry] });
                self.check(actions);
            }
        }
    }

    fn end(&mut self, id: RequestId, n: u32, outcome: Outcome) {
        let sent = &mut self.open.get_mut(&id).expect("it is open").sent[n as usize];
        (sent.out, sent.void) = (false, outcome.never_ran());
        if outcome == Outcome::NotSent {
            self.further.retain(|f| (f.1, f.2) != (id, n as usize));
        }
        let (to, latency) = (sent.to, self.d.now - sent.at);
        if outcome == Outcome::Ok {
            self.finish(id);
        }
        let report = load(f64::from(self.rng.u32(0..9)));
        self.idle.insert(to, self.d.now);
        let actions = self.d.end_with(id, n, to, outcome, latency, report);
        self.check(actions);
    }
}

fn member_of(members: &[EndpointEntry], id: EndpointId) -> &EndpointEntry {
    members.iter().find(|m| m.endpoint == id).expect("it was listed")
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
        let members: Vec<EndpointEntry> =
            (0..count).map(|id| EndpointEntry { zone: ZoneId(id as usize % 3), ..member(id) }).collect();
        let d = Drive::new(settings.clone(), members.clone());
        let (left_at, open, late) = (HashMap::new(), HashMap::new(), Vec::new());
        let idle = HashMap::new();
        let mut world = World {
            settings,
            d,
            rng,
            members,
            left_at,
            idle,
            open,
            late,
            answers: 0,
            taken: vec![],
            further: vec![],
        };
        for _ in 0..3000 {
            world.turn();
        }
        assert!(world.answers > 300, "the run must have served something");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut d = Drive::new(Settings::example(), (0..5).map(member).collect());
        let mut sent_to = Vec::new();
        for n in 0..200 {
            sent_to.push(d.call(0, |up| (Outcome::Ok, ms(20 + n % 7), load(f64::from(up.0 % 3)))));
            d.pass(ms(7));
        }
        sent_to
    };
    assert_eq!(run(), run());
}
