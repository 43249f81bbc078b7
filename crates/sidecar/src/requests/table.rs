//! The request table: which requests still need a final response and which attempts are running. No I/O.

use crate::counters::{Counters, count, invariant};
use cometcroft::*;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of a request in its table. The module knows the request by a [`RequestId`] of the same number.
pub type RequestNumber = u64;

/// A request as the frontend hands it over.
#[derive(Debug, Clone)]
pub struct NewRequest<P> {
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if tenants are configured and the request names one.
    pub tenant: Option<TenantId>,
    /// Time until the final response is due.
    pub time_left: Duration,
    /// The client marked the request as a retry of its own.
    pub client_retry: bool,
    /// Content handed to each attempt.
    pub payload: P,
}

/// The one final response to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalResponse<A> {
    /// The response of an endpoint.
    Served(A),
    /// Rejected: the request never ran, or a retry does no harm.
    Rejected {
        /// Time after which the client may retry.
        retry_after: Option<Duration>,
    },
    /// Failed: the request may have run.
    Failed,
    /// No response within the deadline.
    TimedOut,
}

impl<A> FinalResponse<A> {
    /// Its name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected { .. } => "rejected",
            FinalResponse::Failed => "failed",
            FinalResponse::TimedOut => "timed out",
        }
    }
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult<A> {
    /// Outcome as the module counts it.
    pub outcome: Outcome,
    /// The endpoint's load report, if one came with the response.
    pub report: Option<LoadReport>,
    /// The response to forward, if the attempt was successful.
    pub response: Option<A>,
}

/// Limits of a retry of a keyed request that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyedRetry<T = Instant> {
    /// The request is written completely by this time or not at all: afterwards endpoints may have dropped its idempotency
    /// key and would run it again.
    pub write_by: T,
    /// The key is known in one zone or cell only, so the retry must not reach a process other than the listed one.
    pub listed_process_only: bool,
}

/// A command of the table to its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Command<P, A> {
    /// Start an attempt.
    StartAttempt {
        /// The request that the attempt is for.
        request: RequestNumber,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Time limit of the attempt.
        timeout: Duration,
        /// Limits of the attempt if it is a retry of a keyed request that may have run.
        retry: Option<KeyedRetry<Time>>,
        /// Content of the request.
        payload: P,
    },
    /// Cancel the running attempt of a request.
    CancelAttempt(RequestNumber),
    /// Send a request's final response.
    Respond(RequestNumber, FinalResponse<A>),
    /// Remove a request that is finished and has no running attempt.
    Remove(RequestNumber),
    /// Pass this timer event to [`RequestTable::handle_event`] after this time.
    SetTimer(Duration, Timer),
    /// Ask an endpoint for its load report.
    Probe(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
}

#[derive(Debug)]
struct Attempt {
    endpoint: EndpointId,
    started: Time,
    running: bool,
    /// The attempt ended with proof that it had no effect.
    never_ran: bool,
}

#[derive(Debug)]
struct OpenRequest<P> {
    payload: P,
    class: ClassId,
    attempts: Vec<Attempt>,
    /// The final response has been sent, or the client has disconnected.
    finished: bool,
}

impl<P> OpenRequest<P> {
    /// Start of the first attempt that may have run.
    fn first_possible_run(&self) -> Option<Time> {
        self.attempts.iter().find(|attempt| !attempt.never_ran).map(|attempt| attempt.started)
    }
}

/// Margin for the way to the endpoint: a retry must be written this long before its deduplication window ends.
/// It is a twentieth of the window within these bounds.
const ARRIVAL_MARGIN: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(100)];

/// All open requests of a sidecar, and the module that decides on them.
#[derive(Debug)]
pub struct RequestTable<P, A> {
    balancer: Balancer,
    max_attempts: usize,
    effects: Vec<Effect>,
    requests: HashMap<RequestNumber, OpenRequest<P>>,
    next: RequestNumber,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: Vec<Command<P, A>>,
    counters: Rc<Counters>,
}

impl<P: Clone, A> RequestTable<P, A> {
    /// Creates a table with a module of its own.
    pub fn new(
        settings: Settings,
        seed: u64,
        counters: Rc<Counters>,
    ) -> Result<RequestTable<P, A>, SettingsError> {
        Ok(RequestTable {
            max_attempts: settings.limits.max_attempts as usize,
            effects: effects(&settings),
            balancer: Balancer::new(settings, seed)?,
            requests: HashMap::new(),
            next: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            counters,
        })
    }

    /// Number of listed endpoints that the module avoids now.
    pub fn avoided_count(&self, now: Time) -> usize {
        self.balancer.avoided_count(now)
    }

    /// Number of requests without a final response.
    pub fn unanswered_count(&self) -> usize {
        self.requests.values().filter(|request| !request.finished).count()
    }

    /// Passes an event that concerns no request to the module.
    pub fn handle_event(&mut self, now: Time, event: Event) -> Vec<Command<P, A>> {
        self.events.push_back(event);
        self.run(now)
    }

    /// Puts new settings in force. `previous_classes` names, for each class, the one that it continues. A lower
    /// limit of attempts applies to requests that are already open, too.
    pub fn apply_settings(
        &mut self,
        now: Time,
        settings: Settings,
        previous_classes: Vec<Option<ClassId>>,
    ) -> Vec<Command<P, A>> {
        self.max_attempts = settings.limits.max_attempts as usize;
        self.effects = effects(&settings);
        self.handle_event(now, Event::SettingsChanged { settings: Box::new(settings), previous_classes })
    }

    /// Adds a request that has arrived.
    pub fn add_request(&mut self, now: Time, request: NewRequest<P>) -> (RequestNumber, Vec<Command<P, A>>) {
        let (id, NewRequest { class, tenant, time_left, client_retry, payload }) = (self.next, request);
        self.next += 1;
        count(&self.counters.sessions);
        self.requests.insert(id, OpenRequest { payload, class, attempts: Vec::new(), finished: false });
        let request = RequestId(id);
        let commands = self.handle_event(
            now,
            Event::Request { request, class, tenant, time_left, work_hint: None, client_retry },
        );
        (id, commands)
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: RequestNumber,
        attempt: u32,
        result: AttemptResult<A>,
    ) -> Vec<Command<P, A>> {
        let Some(open) = self.requests.get_mut(&id) else { return Vec::new() };
        let Some(current) = open.attempts.get_mut(attempt as usize).filter(|attempt| attempt.running) else {
            // It was cancelled at the same moment, and the module has been informed.
            return Vec::new();
        };
        current.running = false;
        current.never_ran = result.outcome.never_ran();
        let (endpoint, latency) = (current.endpoint, now.saturating_sub(current.started));
        let AttemptResult { outcome, report, response } = result;
        count(match outcome {
            Outcome::Ok => &self.counters.dispatch_ok,
            Outcome::Error => &self.counters.dispatch_error,
            Outcome::Rejected => &self.counters.dispatch_full,
            Outcome::Timeout => &self.counters.dispatch_timeout,
            Outcome::ConnectFailed => &self.counters.dispatch_unconnected,
            Outcome::Reset => &self.counters.dispatch_reset,
            Outcome::Cancelled => &self.counters.dispatch_cancelled,
            Outcome::NotSent => &self.counters.dispatch_moot,
        });
        if let (Some(response), Outcome::Ok, false) = (response, outcome, open.finished) {
            open.finished = true;
            count(&self.counters.served);
            self.commands.push(Command::Respond(id, FinalResponse::Served(response)));
        }
        let (request, finished) = (RequestId(id), open.finished);
        let event = Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report };
        self.events.push_back(event);
        self.run(now)
    }

    /// Records that the client has disconnected; no response is needed any more.
    pub fn client_disconnected(&mut self, now: Time, id: RequestNumber) -> Vec<Command<P, A>> {
        match self.requests.get_mut(&id).filter(|request| !request.finished) {
            Some(open) => open.finished = true,
            None => return Vec::new(),
        }
        count(&self.counters.withdrawn);
        self.close(now, id)
    }

    /// Records that the deadline has passed, whatever the module is waiting for.
    pub fn deadline_passed(&mut self, now: Time, id: RequestNumber) -> Vec<Command<P, A>> {
        match self.requests.get_mut(&id).filter(|request| !request.finished) {
            Some(open) => open.finished = true,
            None => return Vec::new(),
        }
        count(&self.counters.overdue);
        self.commands.push(Command::Respond(id, FinalResponse::TimedOut));
        self.close(now, id)
    }

    fn close(&mut self, now: Time, id: RequestNumber) -> Vec<Command<P, A>> {
        self.events.push_back(Event::ClientDisconnected(RequestId(id)));
        let mut commands = self.run(now);
        // The module cancels a running attempt only where the settings permit it. Without a client the attempt
        // is ended in any case, since it would keep its connection in use.
        self.cancel_attempts(now, id);
        commands.extend(self.run(now));
        commands
    }

    fn cancel_attempts(&mut self, now: Time, id: RequestNumber) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        for (attempt, current) in open.attempts.iter_mut().enumerate().filter(|(_, attempt)| attempt.running)
        {
            current.running = false;
            count(&self.counters.dispatch_cancelled);
            self.commands.push(Command::CancelAttempt(id));
            self.events.push_back(Event::Outcome {
                request: RequestId(id),
                attempt: attempt as u32,
                endpoint: current.endpoint,
                finished: open.finished,
                outcome: Outcome::Cancelled,
                latency: now.saturating_sub(current.started),
                report: None,
            });
        }
    }

    fn run(&mut self, now: Time) -> Vec<Command<P, A>> {
        while let Some(event) = self.events.pop_front() {
            let changed = match &event {
                Event::Request { request, .. } | Event::Outcome { request, .. } => Some(request.0),
                Event::ClientDisconnected(request) => Some(request.0),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
            self.actions = actions;
            if let Some(id) = changed
                && self.requests.get(&id).is_some_and(|request| {
                    request.finished && request.attempts.iter().all(|attempt| !attempt.running)
                })
            {
                self.requests.remove(&id);
                self.commands.push(Command::Remove(id));
            }
        }
        std::mem::take(&mut self.commands)
    }

    fn execute(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => self.send(now, request.0, endpoint, timeout),
            Action::Reject { request, retry_after } => {
                self.respond(now, request.0, FinalResponse::Rejected { retry_after });
            }
            Action::Fail(request) => self.respond(now, request.0, FinalResponse::Failed),
            Action::Cancel { request, .. } => self.cancel_attempts(now, request.0),
            Action::SetTimer { after, timer } => self.commands.push(Command::SetTimer(after, timer)),
            Action::Probe(endpoint) => self.commands.push(Command::Probe(endpoint)),
            Action::CloseIdle(endpoint) => self.commands.push(Command::CloseIdle(endpoint)),
            // Discovery is watched from the start, whether lists are requested or pushed: see
            // `discovery::watch`.
            Action::Subscribe => {}
        }
    }

    fn send(&mut self, now: Time, id: RequestNumber, endpoint: EndpointId, timeout: Duration) {
        let Some(open) = self.requests.get_mut(&id) else {
            invariant(&self.counters, false, "attempts are started only for known requests");
            return;
        };
        let running = open.attempts.iter().any(|attempt| attempt.running);
        invariant(&self.counters, !running, "a request has at most one running attempt");
        let attempt = open.attempts.len();
        let (effect, possible_run) = (self.effects.get(open.class.0), open.first_possible_run());
        // Checked here again, independently of the module: a non-idempotent request that may have run is never
        // sent a second time.
        let would_run_twice = possible_run.is_some() && matches!(effect, Some(Effect::Unsafe));
        invariant(
            &self.counters,
            !would_run_twice,
            "a non-idempotent request that may have run is not sent again",
        );
        // The deduplication window may end while a connection is being made or a body is being written.
        let retry = match (effect, possible_run) {
            (Some(Effect::Keyed { window, scope }), Some(possible_run)) => {
                let margin = (*window / 20).clamp(ARRIVAL_MARGIN[0], ARRIVAL_MARGIN[1]);
                Some(KeyedRetry {
                    write_by: possible_run + window.saturating_sub(margin),
                    listed_process_only: *scope != DedupScope::All,
                })
            }
            _ => None,
        };
        // Attempts of one request never run side by side, whatever the module decided. An attempt that can't be
        // started is reported as never sent.
        let blocked = running || open.finished || would_run_twice || attempt >= self.max_attempts;
        open.attempts.push(Attempt { endpoint, started: now, running: !blocked, never_ran: blocked });
        let attempt = attempt as u32;
        if blocked {
            count(&self.counters.dispatch_moot);
            let (request, finished) = (RequestId(id), open.finished);
            let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
            let event =
                Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report: None };
            self.events.push_back(event);
            return;
        }
        count(&self.counters.dispatches);
        let payload = open.payload.clone();
        self.commands.push(Command::StartAttempt { request: id, attempt, endpoint, timeout, retry, payload });
    }

    fn respond(&mut self, now: Time, id: RequestNumber, response: FinalResponse<A>) {
        let Some(open) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        open.finished = true;
        let rejected = matches!(response, FinalResponse::Rejected { .. });
        count(if rejected { &self.counters.denied } else { &self.counters.failed });
        self.commands.push(Command::Respond(id, response));
        self.cancel_attempts(now, id);
    }
}

fn effects(settings: &Settings) -> Vec<Effect> {
    settings.classes.iter().map(|class| class.effect).collect()
}
