//! The session table: which sessions are owed an answer and which dispatches are out. No I/O.

use crate::counters::{Counters, count, invariant};
use cometcroft::*;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A session; the module knows it as a request of this number.
pub type RequestNumber = u64;

/// What a frontend says of a new session.
#[derive(Debug, Clone)]
pub struct NewRequest<P> {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// The time until its final answer is due.
    pub time_left: Duration,
    /// Its client says that it is not its first try.
    pub client_retry: bool,
    /// What a dispatch carries to a backend server.
    pub payload: P,
}

/// The one final answer to a session.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalResponse<A> {
    /// A backend server's answer.
    Served(A),
    /// Denied: to try again is harmless.
    Rejected {
        /// Advice to stay away for so long.
        retry_after: Option<Duration>,
    },
    /// Failed, with no promise.
    Failed,
    /// No answer in time.
    TimedOut,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult<A> {
    /// How.
    pub outcome: Outcome,
    /// The backend server's load report, if one came along.
    pub report: Option<LoadReport>,
    /// The answer to hand on, if it was served.
    pub response: Option<A>,
}

/// What the table wants carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum Command<P, A> {
    /// Begin a dispatch.
    StartAttempt {
        /// Of which session.
        request: RequestNumber,
        /// Its number, counted from 0.
        attempt: u32,
        /// To which backend server.
        endpoint: EndpointId,
        /// It is given up after this time.
        timeout: Duration,
        /// It is written whole by then or not at all: from then on its repeat may not be dropped any more.
        write_by: Option<Time>,
        /// What it carries.
        payload: P,
    },
    /// Give up the dispatch that a session has out.
    CancelAttempt(RequestNumber),
    /// Give a session its final answer.
    Respond(RequestNumber, FinalResponse<A>),
    /// A session is over and nothing of it is out.
    Remove(RequestNumber),
    /// Call [`Table::timer`] after this time.
    SetTimer(Duration, Timer),
    /// Ask a backend server for its load.
    Probe(EndpointId),
    /// Close the idle connections to a backend server.
    CloseIdle(EndpointId),
}

#[derive(Debug)]
struct Attempt {
    endpoint: EndpointId,
    began: Time,
    out: bool,
    /// It ended with proof that it has not run.
    void: bool,
}

#[derive(Debug)]
struct OpenRequest<P> {
    payload: P,
    class: ClassId,
    dispatches: Vec<Attempt>,
    answered: bool,
}

impl<P> OpenRequest<P> {
    /// When the first dispatch began that may have run.
    fn may_have_run(&self) -> Option<Time> {
        self.dispatches.iter().find(|d| !d.void).map(|d| d.began)
    }
}

/// What is written so long before a window for repeats ends arrives in it, or a twentieth of the window within these bounds.
const ON_ITS_WAY: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(100)];

/// All sessions of a sidecar and the module that decides on them.
#[derive(Debug)]
pub struct RequestTable<P, A> {
    balancer: Balancer,
    most: usize,
    effects: Vec<Effect>,
    sessions: HashMap<RequestNumber, OpenRequest<P>>,
    next: RequestNumber,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: Vec<Command<P, A>>,
    counters: Rc<Counters>,
}

impl<P: Clone, A> RequestTable<P, A> {
    /// A table with a module of its own.
    pub fn new(
        settings: Settings,
        seed: u64,
        counters: Rc<Counters>,
    ) -> Result<RequestTable<P, A>, SettingsError> {
        Ok(RequestTable {
            most: settings.limits.max_attempts as usize,
            effects: effects(&settings),
            balancer: Balancer::new(settings, seed)?,
            sessions: HashMap::new(),
            next: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            counters,
        })
    }

    /// How many listed backend servers the module avoids now.
    pub fn avoided_count(&self, now: Time) -> usize {
        self.balancer.avoided_count(now)
    }

    /// How many sessions are owed an answer.
    pub fn unanswered_count(&self) -> usize {
        self.sessions.values().filter(|s| !s.answered).count()
    }

    /// Tells the module something that concerns no session.
    pub fn handle_event(&mut self, now: Time, event: Event) -> Vec<Command<P, A>> {
        self.events.push_back(event);
        self.run(now)
    }

    /// New settings. `from`: for each class, the one that it continues. Fewer attempts bind all sessions from now on.
    pub fn apply_settings(
        &mut self,
        now: Time,
        settings: Settings,
        from: Vec<Option<ClassId>>,
    ) -> Vec<Command<P, A>> {
        self.most = settings.limits.max_attempts as usize;
        self.effects = effects(&settings);
        self.handle_event(
            now,
            Event::SettingsChanged { settings: Box::new(settings), previous_classes: from },
        )
    }

    /// A session has come in.
    pub fn add_request(&mut self, now: Time, opening: NewRequest<P>) -> (RequestNumber, Vec<Command<P, A>>) {
        let (id, NewRequest { class, tenant, time_left, client_retry, payload }) = (self.next, opening);
        self.next += 1;
        count(&self.counters.sessions);
        self.sessions.insert(id, OpenRequest { payload, class, dispatches: Vec::new(), answered: false });
        let request = RequestId(id);
        let commands = self.handle_event(
            now,
            Event::Request { request, class, tenant, time_left, work_hint: None, client_retry },
        );
        (id, commands)
    }

    /// A dispatch has ended.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: RequestNumber,
        attempt: u32,
        ended: AttemptResult<A>,
    ) -> Vec<Command<P, A>> {
        let Some(session) = self.sessions.get_mut(&id) else { return Vec::new() };
        let Some(dispatch) = session.dispatches.get_mut(attempt as usize).filter(|d| d.out) else {
            // It was given up in the same instant and the module has been told so.
            return Vec::new();
        };
        dispatch.out = false;
        dispatch.void = ended.outcome.never_ran();
        let (endpoint, latency) = (dispatch.endpoint, now.saturating_sub(dispatch.began));
        let AttemptResult { outcome, report, response: answer } = ended;
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
        if let (Some(answer), Outcome::Ok, false) = (answer, outcome, session.answered) {
            session.answered = true;
            count(&self.counters.served);
            self.commands.push(Command::Respond(id, FinalResponse::Served(answer)));
        }
        let (request, finished) = (RequestId(id), session.answered);
        let event = Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report };
        self.events.push_back(event);
        self.run(now)
    }

    /// The client has left; nothing is owed.
    pub fn client_disconnected(&mut self, now: Time, id: RequestNumber) -> Vec<Command<P, A>> {
        match self.sessions.get_mut(&id).filter(|s| !s.answered) {
            Some(session) => session.answered = true,
            None => return Vec::new(),
        }
        count(&self.counters.withdrawn);
        self.close(now, id)
    }

    /// The answer is due now, whatever the module waits for.
    pub fn deadline_passed(&mut self, now: Time, id: RequestNumber) -> Vec<Command<P, A>> {
        match self.sessions.get_mut(&id).filter(|s| !s.answered) {
            Some(session) => session.answered = true,
            None => return Vec::new(),
        }
        count(&self.counters.overdue);
        self.commands.push(Command::Respond(id, FinalResponse::TimedOut));
        self.close(now, id)
    }

    fn close(&mut self, now: Time, id: RequestNumber) -> Vec<Command<P, A>> {
        self.events.push_back(Event::ClientDisconnected(RequestId(id)));
        let mut commands = self.run(now);
        // The module calls off what is out only where that is permitted; a dispatch that nobody waits for is
        // ended all the same, as its connection would stay taken.
        self.cancel_attempts(now, id);
        commands.extend(self.run(now));
        commands
    }

    fn cancel_attempts(&mut self, now: Time, id: RequestNumber) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        for (attempt, dispatch) in session.dispatches.iter_mut().enumerate().filter(|(_, d)| d.out) {
            dispatch.out = false;
            count(&self.counters.dispatch_cancelled);
            self.commands.push(Command::CancelAttempt(id));
            self.events.push_back(Event::Outcome {
                request: RequestId(id),
                attempt: attempt as u32,
                endpoint: dispatch.endpoint,
                finished: session.answered,
                outcome: Outcome::Cancelled,
                latency: now.saturating_sub(dispatch.began),
                report: None,
            });
        }
    }

    fn run(&mut self, now: Time) -> Vec<Command<P, A>> {
        while let Some(event) = self.events.pop_front() {
            let concerned = match &event {
                Event::Request { request, .. } | Event::Outcome { request, .. } => Some(request.0),
                Event::ClientDisconnected(request) => Some(request.0),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
            if let Some(id) = concerned
                && self.sessions.get(&id).is_some_and(|s| s.answered && s.dispatches.iter().all(|d| !d.out))
            {
                self.sessions.remove(&id);
                self.commands.push(Command::Remove(id));
            }
        }
        std::mem::take(&mut self.commands)
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => self.send(now, request.0, endpoint, timeout),
            Action::Reject { request, retry_after } => {
                self.answer(now, request.0, FinalResponse::Rejected { retry_after });
            }
            Action::Fail(request) => self.answer(now, request.0, FinalResponse::Failed),
            Action::Cancel { request, .. } => self.cancel_attempts(now, request.0),
            Action::SetTimer { after, timer } => self.commands.push(Command::SetTimer(after, timer)),
            Action::Probe(endpoint) => self.commands.push(Command::Probe(endpoint)),
            Action::CloseIdle(endpoint) => self.commands.push(Command::CloseIdle(endpoint)),
            // Discovery is watched from the start, whether the module would ask or lists are pushed: `watch`.
            Action::Subscribe => {}
        }
    }

    fn send(&mut self, now: Time, id: RequestNumber, endpoint: EndpointId, timeout: Duration) {
        let Some(session) = self.sessions.get_mut(&id) else {
            invariant(&self.counters, false, "only known sessions are dispatched");
            return;
        };
        let out = session.dispatches.iter().any(|d| d.out);
        invariant(&self.counters, !out, "a session has one dispatch out at most");
        let attempt = session.dispatches.len();
        let (effect, ran) = (self.effects.get(session.class.0), session.may_have_run());
        // Danger: a class that must never run twice is not sent again if it may have run, whoever decided so.
        let twice = ran.is_some() && matches!(effect, Some(Effect::Unsafe));
        invariant(&self.counters, !twice, "what may have run and must not run twice is not sent again");
        // Danger: the window for repeats may end while a connection is made or a body is written.
        let latest = match (effect, ran) {
            (Some(Effect::Keyed { window, .. }), Some(ran)) => {
                Some(ran + window.saturating_sub((*window / 20).clamp(ON_ITS_WAY[0], ON_ITS_WAY[1])))
            }
            _ => None,
        };
        // Never two at once, whatever was decided: what can't be sent is reported as never sent.
        let moot = out || session.answered || twice || attempt >= self.most;
        session.dispatches.push(Attempt { endpoint, began: now, out: !moot, void: moot });
        let attempt = attempt as u32;
        if moot {
            count(&self.counters.dispatch_moot);
            let (request, finished) = (RequestId(id), session.answered);
            let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
            let event =
                Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report: None };
            self.events.push_back(event);
            return;
        }
        count(&self.counters.dispatches);
        let payload = session.payload.clone();
        self.commands.push(Command::StartAttempt {
            request: id,
            attempt,
            endpoint,
            timeout,
            write_by: latest,
            payload,
        });
    }

    fn answer(&mut self, now: Time, id: RequestNumber, verdict: FinalResponse<A>) {
        let Some(session) = self.sessions.get_mut(&id).filter(|s| !s.answered) else { return };
        session.answered = true;
        let denied = matches!(verdict, FinalResponse::Rejected { .. });
        count(if denied { &self.counters.denied } else { &self.counters.failed });
        self.commands.push(Command::Respond(id, verdict));
        self.cancel_attempts(now, id);
    }
}

fn effects(settings: &Settings) -> Vec<Effect> {
    settings.classes.iter().map(|class| class.effect).collect()
}
