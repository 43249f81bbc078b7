//! The host of the table: runs its commands as tasks and feeds back what comes of them.

use super::table::{AttemptResult, Command, FinalResponse, NewRequest, RequestNumber, RequestTable};
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
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// How a probe ended: the outcome and the load report.
pub type ProbeResult = (Outcome, Option<LoadReport>);

/// What brings dispatches and probes to backend servers, by some protocol.
pub trait Transport: 'static {
    /// Where clock and tasks come from.
    type Platform: Platform;
    /// What a dispatch carries.
    type Payload: Clone + 'static;
    /// What a backend server answers.
    type Response: 'static;
    /// The clock and the tasks.
    fn platform(&self) -> &Self::Platform;
    /// One attempt. It ends within `timeout`, and is written whole by `latest` or not at all; dropped, it ends its
    /// connection.
    fn send_attempt(
        &self,
        to: EndpointId,
        payload: Self::Payload,
        timeout: Duration,
        write_by: Option<Instant>,
    ) -> LocalBoxFuture<AttemptResult<Self::Response>>;
    /// One probe.
    fn probe(&self, to: EndpointId) -> LocalBoxFuture<ProbeResult>;
    /// Closes idle connections.
    fn close_idle(&self, to: EndpointId);
}

/// Runs sessions. It owns the table, the clock, all timers and the tasks of all dispatches.
pub struct RequestDriver<T: Transport> {
    transport: T,
    table: RefCell<RequestTable<T::Payload, T::Response>>,
    waiting: RefCell<HashMap<RequestNumber, oneshot::Sender<FinalResponse<T::Response>>>>,
    running: RefCell<HashMap<RequestNumber, <T::Platform as Platform>::Task>>,
    counters: Rc<Counters>,
    origin: Instant,
    origin_at: Time,
}

impl<T: Transport> RequestDriver<T> {
    /// A host whose module has not started yet. `origin` is the module's clock at this moment.
    pub fn new(
        transport: T,
        settings: Settings,
        seed: u64,
        origin: Time,
        counters: Rc<Counters>,
    ) -> Result<Rc<RequestDriver<T>>, SettingsError> {
        let began = transport.platform().now();
        Ok(Rc::new(RequestDriver {
            transport,
            table: RefCell::new(RequestTable::new(settings, seed, counters.clone())?),
            waiting: RefCell::default(),
            running: RefCell::default(),
            counters,
            origin: began,
            origin_at: origin,
        }))
    }

    /// Where clock and tasks come from.
    pub fn platform(&self) -> &T::Platform {
        self.transport.platform()
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
    pub fn avoided_count(&self) -> usize {
        self.table.borrow().avoided_count(self.now())
    }

    /// New settings. `from`: for each class, the one that it continues.
    pub fn apply_settings(self: &Rc<Self>, settings: Settings, from: Vec<Option<ClassId>>) {
        let commands = self.table.borrow_mut().apply_settings(self.now(), settings, from);
        self.run(commands);
    }

    /// How many sessions are owed an answer.
    pub fn unanswered_count(&self) -> usize {
        self.table.borrow().unanswered_count()
    }

    /// Tells the module something that concerns no session.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let commands = self.table.borrow_mut().handle_event(self.now(), event);
        self.run(commands);
    }

    /// Serves one session until its final answer, at `due` at the latest. Dropped, it tells that the client
    /// has left.
    pub async fn serve(
        self: &Rc<Self>,
        opening: NewRequest<T::Payload>,
        due: Instant,
    ) -> FinalResponse<T::Response> {
        let (sender, receiver) = oneshot::channel();
        let (id, commands) = self.table.borrow_mut().add_request(self.now(), opening);
        self.waiting.borrow_mut().insert(id, sender);
        let mut guard = Withdrawal { driver: self.clone(), id, armed: true };
        self.run(commands);
        let mut receiver = receiver;
        let verdict = match self.platform().timeout_at(due, &mut receiver).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => {
                let commands = self.table.borrow_mut().deadline_passed(self.now(), id);
                self.run(commands);
                receiver.try_recv().ok()
            }
        };
        guard.armed = false;
        verdict.unwrap_or(FinalResponse::TimedOut)
    }

    fn run(self: &Rc<Self>, commands: Vec<Command<T::Payload, T::Response>>) {
        for command in commands {
            match command {
                Command::StartAttempt { request, attempt, endpoint, timeout, write_by, payload } => {
                    let write_by = write_by.map(|at| self.origin + at.saturating_sub(self.origin_at));
                    self.start_attempt(request, attempt, endpoint, (timeout, write_by), payload);
                }
                Command::CancelAttempt(request) => {
                    if let Some(task) = self.running.borrow().get(&request) {
                        task.abort();
                    }
                }
                Command::Respond(request, verdict) => {
                    if let Some(sender) = self.waiting.borrow_mut().remove(&request) {
                        // The client may have left in the same instant; then nobody listens.
                        let _ = sender.send(verdict);
                    }
                }
                Command::Remove(request) => {
                    self.waiting.borrow_mut().remove(&request);
                    self.running.borrow_mut().remove(&request);
                }
                Command::SetTimer(after, timer) => {
                    let driver = self.clone();
                    self.platform().detach(async move {
                        driver.platform().sleep(after).await;
                        driver.handle_event(Event::Timer(timer));
                    });
                }
                Command::Probe(endpoint) => {
                    let (driver, began) = (self.clone(), self.platform().now());
                    let probe = self.transport.probe(endpoint);
                    self.platform().detach(async move {
                        let (outcome, report) = probe.await;
                        let latency = driver.platform().since(began);
                        driver.handle_event(Event::Probed { endpoint, outcome, latency, report });
                    });
                }
                Command::CloseIdle(endpoint) => self.transport.close_idle(endpoint),
            }
        }
    }

    fn start_attempt(
        self: &Rc<Self>,
        request: RequestNumber,
        attempt: u32,
        endpoint: EndpointId,
        (timeout, write_by): (Duration, Option<Instant>),
        payload: T::Payload,
    ) {
        let driver = self.clone();
        let ends = self.platform().now() + timeout;
        let before = self.running.borrow_mut().remove(&request);
        let task = self.platform().spawn(async move {
            // Danger: an attempt that was given up holds its connection until its task is dropped; a second
            // one begun before that would be two at once.
            if let Some(before) = before {
                before.await;
            }
            let left = ends.saturating_duration_since(driver.platform().now());
            let ended = driver.transport.send_attempt(endpoint, payload, left, write_by).await;
            let commands = driver.table.borrow_mut().attempt_ended(driver.now(), request, attempt, ended);
            driver.run(commands);
        });
        self.running.borrow_mut().insert(request, task);
    }
}

/// Tells the table that a client has left when its session is dropped unanswered.
struct Withdrawal<T: Transport> {
    driver: Rc<RequestDriver<T>>,
    id: RequestNumber,
    armed: bool,
}

impl<T: Transport> Drop for Withdrawal<T> {
    fn drop(&mut self) {
        if self.armed {
            self.driver.waiting.borrow_mut().remove(&self.id);
            let commands = self.driver.table.borrow_mut().client_disconnected(self.driver.now(), self.id);
            self.driver.run(commands);
        }
    }
}
