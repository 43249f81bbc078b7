//! Driver of the request table: runs its commands as tasks and feeds the results back into it.

use super::table::{
    AttemptResult, Command, FinalResponse, KeyedRetry, NewRequest, RequestNumber, RequestTable,
};
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

/// A boxed future that stays on its thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Result of a probe: the outcome and the load report, if one arrived.
pub type ProbeResult = (Outcome, Option<LoadReport>);

/// Sends attempts and probes to endpoints over some protocol.
pub trait Transport: 'static {
    /// Platform that provides the clock and the tasks.
    type Platform: Platform;
    /// Content of a request, handed to each of its attempts.
    type Payload: Clone + 'static;
    /// Response of an endpoint.
    type Response: 'static;
    /// The platform that provides the clock and the tasks.
    fn platform(&self) -> &Self::Platform;
    /// Runs one attempt, which ends within `timeout` and keeps to the limits of a keyed retry. Dropping the future closes the
    /// attempt's connection.
    fn send_attempt(
        &self,
        to: EndpointId,
        payload: Self::Payload,
        timeout: Duration,
        retry: Option<KeyedRetry>,
    ) -> LocalBoxFuture<AttemptResult<Self::Response>>;
    /// Asks an endpoint for its load report.
    fn probe(&self, to: EndpointId) -> LocalBoxFuture<ProbeResult>;
    /// Closes the idle connections to an endpoint.
    fn close_idle(&self, to: EndpointId);
}

/// Runs requests: owns the table, the clock, all timers and the tasks of all attempts.
pub struct RequestDriver<T: Transport> {
    transport: T,
    table: RefCell<RequestTable<T::Payload, T::Response>>,
    responders: RefCell<HashMap<RequestNumber, oneshot::Sender<FinalResponse<T::Response>>>>,
    tasks: RefCell<HashMap<RequestNumber, <T::Platform as Platform>::Task>>,
    counters: Rc<Counters>,
    origin: Instant,
    /// Time on the module's clock at `origin`.
    origin_time: Time,
}

impl<T: Transport> RequestDriver<T> {
    /// Creates a driver whose module has not started yet. `origin` is the time on the module's clock at this
    /// moment.
    pub fn new(
        transport: T,
        settings: Settings,
        seed: u64,
        origin: Time,
        counters: Rc<Counters>,
    ) -> Result<Rc<RequestDriver<T>>, SettingsError> {
        let started = transport.platform().now();
        Ok(Rc::new(RequestDriver {
            transport,
            table: RefCell::new(RequestTable::new(settings, seed, counters.clone())?),
            responders: RefCell::default(),
            tasks: RefCell::default(),
            counters,
            origin: started,
            origin_time: origin,
        }))
    }

    /// The platform that provides the clock and the tasks.
    pub fn platform(&self) -> &T::Platform {
        self.transport.platform()
    }

    /// Current time on the module's clock.
    pub fn now(&self) -> Time {
        self.origin_time + self.platform().since(self.origin)
    }

    /// The sidecar's counters.
    pub fn counters(&self) -> &Rc<Counters> {
        &self.counters
    }

    /// Number of listed endpoints that the module avoids now.
    pub fn avoided_count(&self) -> usize {
        self.table.borrow().avoided_count(self.now())
    }

    /// Puts new settings in force. `previous_classes` names, for each class, the one that it continues.
    pub fn apply_settings(self: &Rc<Self>, settings: Settings, previous_classes: Vec<Option<ClassId>>) {
        let commands = self.table.borrow_mut().apply_settings(self.now(), settings, previous_classes);
        self.run(commands);
    }

    /// Number of requests without a final response.
    pub fn unanswered_count(&self) -> usize {
        self.table.borrow().unanswered_count()
    }

    /// Passes an event that concerns no request to the module.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let commands = self.table.borrow_mut().handle_event(self.now(), event);
        self.run(commands);
    }

    /// Serves one request until its final response, at `deadline` at the latest. Dropping the future reports
    /// that the client has disconnected.
    pub async fn serve(
        self: &Rc<Self>,
        request: NewRequest<T::Payload>,
        deadline: Instant,
    ) -> FinalResponse<T::Response> {
        let (sender, receiver) = oneshot::channel();
        let (id, commands) = self.table.borrow_mut().add_request(self.now(), request);
        self.responders.borrow_mut().insert(id, sender);
        let mut guard = DisconnectGuard { driver: self.clone(), id, armed: true };
        self.run(commands);
        let mut receiver = receiver;
        let response = match self.platform().timeout_at(deadline, &mut receiver).await {
            Ok(response) => response.ok(),
            Err(_) => {
                let commands = self.table.borrow_mut().deadline_passed(self.now(), id);
                self.run(commands);
                receiver.try_recv().ok()
            }
        };
        guard.armed = false;
        response.unwrap_or(FinalResponse::TimedOut)
    }

    fn run(self: &Rc<Self>, commands: Vec<Command<T::Payload, T::Response>>) {
        for command in commands {
            match command {
                Command::StartAttempt { request, attempt, endpoint, timeout, retry, payload } => {
                    let retry = retry.map(|retry| KeyedRetry {
                        write_by: self.origin + retry.write_by.saturating_sub(self.origin_time),
                        listed_process_only: retry.listed_process_only,
                    });
                    self.start_attempt(request, attempt, endpoint, (timeout, retry), payload);
                }
                Command::CancelAttempt(request) => {
                    if let Some(task) = self.tasks.borrow().get(&request) {
                        task.abort();
                    }
                }
                Command::Respond(request, response) => {
                    if let Some(sender) = self.responders.borrow_mut().remove(&request) {
                        // The client may have disconnected at the same moment, and the receiver be dropped.
                        let _ = sender.send(response);
                    }
                }
                Command::Remove(request) => {
                    self.responders.borrow_mut().remove(&request);
                    self.tasks.borrow_mut().remove(&request);
                }
                Command::SetTimer(after, timer) => {
                    let driver = self.clone();
                    self.platform().detach(async move {
                        driver.platform().sleep(after).await;
                        driver.handle_event(Event::Timer(timer));
                    });
                }
                Command::Probe(endpoint) => {
                    let (driver, started) = (self.clone(), self.platform().now());
                    let probe = self.transport.probe(endpoint);
                    self.platform().detach(async move {
                        let (outcome, report) = probe.await;
                        let latency = driver.platform().since(started);
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
        (timeout, retry): (Duration, Option<KeyedRetry>),
        payload: T::Payload,
    ) {
        let driver = self.clone();
        let end = self.platform().now() + timeout;
        let previous = self.tasks.borrow_mut().remove(&request);
        let task = self.platform().spawn(async move {
            // A cancelled attempt holds its connection until its task is dropped. Without this wait, the next
            // attempt would run beside it.
            if let Some(previous) = previous {
                previous.await;
            }
            let time_left = end.saturating_duration_since(driver.platform().now());
            let result = driver.transport.send_attempt(endpoint, payload, time_left, retry).await;
            let commands = driver.table.borrow_mut().attempt_ended(driver.now(), request, attempt, result);
            driver.run(commands);
        });
        self.tasks.borrow_mut().insert(request, task);
    }
}

/// Reports a disconnected client to the table when its request is dropped before the final response.
struct DisconnectGuard<T: Transport> {
    driver: Rc<RequestDriver<T>>,
    id: RequestNumber,
    armed: bool,
}

impl<T: Transport> Drop for DisconnectGuard<T> {
    fn drop(&mut self) {
        if self.armed {
            self.driver.responders.borrow_mut().remove(&self.id);
            let commands = self.driver.table.borrow_mut().client_disconnected(self.driver.now(), self.id);
            self.driver.run(commands);
        }
    }
}
