//! The host of the table: runs its commands as tasks and feeds back what comes of them.

use super::table::{Command, Ended, Opening, SessionId, Table, Verdict};
use crate::counters::Counters;
use cometcroft::{ClassId, EndpointId, Event, LoadReport, Outcome, Settings, SettingsError, Time};
use cometcroft_platform::{Platform, Task};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Something that ends later.
pub type Later<T> = Pin<Box<dyn Future<Output = T>>>;

/// How a probe ended: the outcome and the load report.
pub type Probed = (Outcome, Option<LoadReport>);

/// What brings dispatches and probes to backend servers, by some protocol.
pub trait Carrier: 'static {
    /// Where clock and tasks come from.
    type Platform: Platform;
    /// What a dispatch carries.
    type Payload: Clone + 'static;
    /// What a backend server answers.
    type Answer: 'static;
    /// The clock and the tasks.
    fn platform(&self) -> &Self::Platform;
    /// One attempt. It ends within `timeout`, and is written whole by `latest` or not at all; dropped, it ends its
    /// connection.
    fn dispatch(
        &self,
        to: EndpointId,
        payload: Self::Payload,
        timeout: Duration,
        latest: Option<Instant>,
    ) -> Later<Ended<Self::Answer>>;
    /// One probe.
    fn probe(&self, to: EndpointId) -> Later<Probed>;
    /// Closes idle connections.
    fn close_idle(&self, to: EndpointId);
}

/// Runs sessions. It owns the table, the clock, all timers and the tasks of all dispatches.
pub struct Host<C: Carrier> {
    carrier: C,
    table: RefCell<Table<C::Payload, C::Answer>>,
    waiting: RefCell<HashMap<SessionId, oneshot::Sender<Verdict<C::Answer>>>>,
    running: RefCell<HashMap<SessionId, <C::Platform as Platform>::Task>>,
    counters: Rc<Counters>,
    origin: Instant,
    origin_at: Time,
}

impl<C: Carrier> Host<C> {
    /// A host whose module has not started yet. `origin` is the module's clock at this moment.
    pub fn new(
        carrier: C,
        settings: Settings,
        seed: u64,
        origin: Time,
        counters: Rc<Counters>,
    ) -> Result<Rc<Host<C>>, SettingsError> {
        let began = carrier.platform().now();
        Ok(Rc::new(Host {
            carrier,
            table: RefCell::new(Table::new(settings, seed, counters.clone())?),
            waiting: RefCell::default(),
            running: RefCell::default(),
            counters,
            origin: began,
            origin_at: origin,
        }))
    }

    /// Where clock and tasks come from.
    pub fn platform(&self) -> &C::Platform {
        self.carrier.platform()
    }

    /// The module's clock.
    pub fn now(&self) -> Time {
        self.origin_at + self.platform().since(self.origin)
    }

    /// What is counted.
    pub fn counters(&self) -> &Rc<Counters> {
        &self.counters
    }

    /// How many listed backend servers the module avoids now.
    pub fn avoided(&self) -> usize {
        self.table.borrow().avoided(self.now())
    }

    /// New settings. `from`: for each class, the one that it continues.
    pub fn retune(self: &Rc<Self>, settings: Settings, from: Vec<Option<ClassId>>) {
        let commands = self.table.borrow_mut().retune(self.now(), settings, from);
        self.run(commands);
    }

    /// How many sessions are owed an answer.
    pub fn owed(&self) -> usize {
        self.table.borrow().owed()
    }

    /// Tells the module something that concerns no session.
    pub fn tell(self: &Rc<Self>, event: Event) {
        let commands = self.table.borrow_mut().tell(self.now(), event);
        self.run(commands);
    }

    /// Serves one session until its final answer, at `due` at the latest. Dropped, it tells that the client
    /// has left.
    pub async fn serve(self: &Rc<Self>, opening: Opening<C::Payload>, due: Instant) -> Verdict<C::Answer> {
        let (sender, receiver) = oneshot::channel();
        let (id, commands) = self.table.borrow_mut().open(self.now(), opening);
        self.waiting.borrow_mut().insert(id, sender);
        let mut guard = Withdrawal { host: self.clone(), id, armed: true };
        self.run(commands);
        let mut receiver = receiver;
        let verdict = match self.platform().timeout_at(due, &mut receiver).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => {
                let commands = self.table.borrow_mut().overdue(self.now(), id);
                self.run(commands);
                receiver.try_recv().ok()
            }
        };
        guard.armed = false;
        verdict.unwrap_or(Verdict::Overdue)
    }

    fn run(self: &Rc<Self>, commands: Vec<Command<C::Payload, C::Answer>>) {
        for command in commands {
            match command {
                Command::Dispatch { session, attempt, endpoint, timeout, latest, payload } => {
                    let latest = latest.map(|at| self.origin + at.saturating_sub(self.origin_at));
                    self.dispatch(session, attempt, endpoint, (timeout, latest), payload);
                }
                Command::Abandon(session) => {
                    if let Some(task) = self.running.borrow().get(&session) {
                        task.abort();
                    }
                }
                Command::Answer(session, verdict) => {
                    if let Some(sender) = self.waiting.borrow_mut().remove(&session) {
                        // The client may have left in the same instant; then nobody listens.
                        let _ = sender.send(verdict);
                    }
                }
                Command::Forget(session) => {
                    self.waiting.borrow_mut().remove(&session);
                    self.running.borrow_mut().remove(&session);
                }
                Command::Timer(after, timer) => {
                    let host = self.clone();
                    self.platform().detach(async move {
                        host.platform().sleep(after).await;
                        host.tell(Event::Timer(timer));
                    });
                }
                Command::Probe(endpoint) => {
                    let (host, began) = (self.clone(), self.platform().now());
                    let probe = self.carrier.probe(endpoint);
                    self.platform().detach(async move {
                        let (outcome, report) = probe.await;
                        let latency = host.platform().since(began);
                        host.tell(Event::Probed { endpoint, outcome, latency, report });
                    });
                }
                Command::CloseIdle(endpoint) => self.carrier.close_idle(endpoint),
            }
        }
    }

    fn dispatch(
        self: &Rc<Self>,
        session: SessionId,
        attempt: u32,
        endpoint: EndpointId,
        (timeout, latest): (Duration, Option<Instant>),
        payload: C::Payload,
    ) {
        let host = self.clone();
        let ends = self.platform().now() + timeout;
        let before = self.running.borrow_mut().remove(&session);
        let task = self.platform().spawn(async move {
            // Danger: an attempt that was given up holds its connection until its task is dropped; a second
            // one begun before that would be two at once.
            if let Some(before) = before {
                before.await;
            }
            let left = ends.saturating_duration_since(host.platform().now());
            let ended = host.carrier.dispatch(endpoint, payload, left, latest).await;
            let commands = host.table.borrow_mut().ended(host.now(), session, attempt, ended);
            host.run(commands);
        });
        self.running.borrow_mut().insert(session, task);
    }
}

/// Tells the table that a client has left when its session is dropped unanswered.
struct Withdrawal<C: Carrier> {
    host: Rc<Host<C>>,
    id: SessionId,
    armed: bool,
}

impl<C: Carrier> Drop for Withdrawal<C> {
    fn drop(&mut self) {
        if self.armed {
            self.host.waiting.borrow_mut().remove(&self.id);
            let commands = self.host.table.borrow_mut().withdraw(self.host.now(), self.id);
            self.host.run(commands);
        }
    }
}
