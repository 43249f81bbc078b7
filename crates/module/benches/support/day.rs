//! A day of one sidecar in a small fleet: steady calls, refreshes as the balancer asks for them, and changes of its list.

use cometcroft::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Sidecars of the fleet.
const INSTANCES: u32 = 30;
const SEED: u64 = 11;
const CALLS_PER_SECOND: u32 = 30;
const LATENCY: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_secs(2);
/// Rows that a change of the list touches.
pub const CHANGED: u32 = 100;
/// The time between two changes of the list.
const CHANGE_EVERY: Duration = Duration::from_secs(10);

/// How the list changes in a day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Changes {
    /// Not at all.
    None,
    /// [`CHANGED`] rows in one list.
    AtOnce,
    /// [`CHANGED`] rows in as many lists, 5 ms apart.
    OneByOne,
}

/// What comes due, by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Call,
    Refresh,
    Late(RequestId),
    Answer(RequestId, EndpointId, u32),
    Change(u32),
}

/// A balancer, its virtual clock and all that is due.
pub struct Day {
    balancer: Balancer,
    now: Time,
    due: BinaryHeap<Reverse<(Time, Due)>>,
    next_request: u64,
    attempts: std::collections::HashMap<RequestId, u32>,
    rows: u32,
    changes: Changes,
    change: u32,
    actions: Vec<Action>,
    /// Calls that were sent.
    pub sent: u64,
}

impl Day {
    /// A day with so many rows, before its first second.
    pub fn new(rows: u32, changes: Changes) -> Day {
        let settings = Settings { instances: INSTANCES, ..Settings::example() };
        let balancer = Balancer::new(settings, SEED).expect("settings are sound");
        let now = Duration::from_secs(100);
        let mut day = Day {
            balancer,
            now,
            due: BinaryHeap::new(),
            next_request: 0,
            attempts: std::collections::HashMap::new(),
            rows,
            changes,
            change: 0,
            actions: Vec::new(),
            sent: 0,
        };
        day.handle(Event::Start);
        let entries = (0..rows).map(|id| entry(id, EndpointState::Ready)).collect();
        day.handle(Event::EndpointList { scope: ListScope::Complete, entries });
        day.at(Duration::ZERO, Due::Call);
        if changes != Changes::None {
            day.at(CHANGE_EVERY, Due::Change(0));
        }
        day
    }

    /// Lets so much virtual time pass.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            let Some(Reverse((at, due))) = self.due.pop() else { break };
            self.now = at;
            self.take(due);
        }
        self.now = end;
    }

    fn at(&mut self, after: Duration, due: Due) {
        self.due.push(Reverse((self.now + after, due)));
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Call => self.call(),
            Due::Refresh => self.handle(Event::Timer(Timer::Refresh)),
            Due::Late(id) => self.handle(Event::Timer(Timer::SlowRequest(id))),
            Due::Answer(request, endpoint, attempt) => self.answer(request, endpoint, attempt),
            Due::Change(row) => self.list_changes(row),
        }
    }

    fn call(&mut self) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let (class, tenant) = (ClassId(0), None);
        self.at(Duration::from_secs(1) / CALLS_PER_SECOND, Due::Call);
        self.handle(Event::Request {
            request,
            class,
            tenant,
            time_left: DEADLINE,
            work_hint: None,
            client_retry: false,
        });
    }

    fn answer(&mut self, request: RequestId, endpoint: EndpointId, attempt: u32) {
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

    /// A stretch of the list drains, and is ready again at the next change.
    fn list_changes(&mut self, row: u32) {
        let state =
            if self.change.is_multiple_of(2) { EndpointState::Draining } else { EndpointState::Ready };
        let first = self.change / 2 * CHANGED % self.rows;
        let changed = |row: u32| entry((first + row) % self.rows, state);
        let entries = match self.changes {
            Changes::OneByOne => vec![changed(row)],
            _ => (0..CHANGED).map(changed).collect(),
        };
        self.handle(Event::EndpointList { scope: ListScope::Changes, entries });
        if self.changes == Changes::OneByOne && row + 1 < CHANGED {
            self.at(Duration::from_millis(5), Due::Change(row + 1));
        } else {
            self.change += 1;
            self.at(CHANGE_EVERY, Due::Change(0));
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
                    self.at(LATENCY, Due::Answer(*request, *endpoint, attempt));
                }
                Action::SetTimer { after, timer: Timer::Refresh } => self.at(*after, Due::Refresh),
                Action::SetTimer { after, timer: Timer::SlowRequest(id) } => self.at(*after, Due::Late(*id)),
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
