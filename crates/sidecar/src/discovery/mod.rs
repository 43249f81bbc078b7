//! Calls to discovery. [`watch`] keeps the [`EndpointTable`] and the decision module up to date. [`schedule`] decides when a
//! call is made. Each call runs as a separate task, which enters excluded endpoints as the records of its list arrive and
//! reports its progress and result ([`call_reports`]).

mod call;
mod call_reports;
mod call_state;
mod retry_cycle;
pub mod schedule;
pub mod staleness;

use crate::counters::{Counters, count};
use crate::endpoint_list::{EndpointList, ListError};
use crate::endpoint_table::{ApplyResult, EndpointTable, ListUpdate};
use crate::fleet::Fleet;
use crate::lifecycle::Lifecycle;
use crate::requests::{RequestDriver, Transport};
use call::{CallRequest, CallResult, Outcome};
use call_reports::{CallReport, CallReporter};
use call_state::{CallState, SharedCallState};
use cometcroft::{Discovery, Event, ListScope, Settings};
use cometcroft_platform::{Platform, Task};
use schedule::{Call, CallId, Failure, Schedule, Time};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Maximum time between two checks of the schedule while no call is due.
const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// The address of discovery and how it delivers lists. A new configuration may change both while the sidecar runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<SocketAddr>,
    delivery: Cell<Delivery>,
    moved: Notify,
}

/// How lists are delivered according to the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Delivery {
    /// Whether lists are pushed to an agent, which then listens at the address.
    pushed: bool,
    /// Maximum time between two calls.
    ask_within: Duration,
}

impl Delivery {
    fn of(settings: &Settings) -> Delivery {
        Delivery {
            pushed: settings.discovery == Discovery::Push,
            ask_within: settings.rules.resubscribe_within,
        }
    }
}

impl Source {
    /// Creates a source with this address and the delivery of these settings.
    pub fn new(address: SocketAddr, settings: &Settings) -> Rc<Source> {
        let delivery = Cell::new(Delivery::of(settings));
        Rc::new(Source { address: Cell::new(address), delivery, moved: Notify::new() })
    }

    /// Changes the address, and the delivery according to these settings.
    pub fn move_to(&self, address: SocketAddr, settings: &Settings) {
        let delivery = Delivery::of(settings);
        let changed = self.delivery.replace(delivery) != delivery;
        if self.address.replace(address) != address || changed {
            self.moved.notify_one();
        }
    }
}

/// Keeps the endpoint list up to date, whether lists are polled or pushed to an agent, starting from `version` if a list is
/// known. `seed` makes the calls of several sidecars differ. Runs until it is dropped.
pub async fn watch<C: Transport>(
    driver: Rc<RequestDriver<C>>,
    endpoints: Rc<EndpointTable>,
    source: Rc<Source>,
    lifecycle: Rc<Lifecycle<C::Platform>>,
    version: Option<i64>,
    seed: u64,
    fleet: Option<Rc<Fleet<C::Platform>>>,
) {
    let (platform, counters) = (driver.platform().clone(), driver.counters().clone());
    let (report, reports) = unbounded_channel();
    let watcher = Watcher {
        origin: platform.now(),
        platform,
        counters,
        driver,
        endpoints,
        source,
        lifecycle,
        fleet,
        schedule: Schedule::new(seed),
        from_version: version,
        current_version: version,
        idle: None,
        running: Vec::new(),
        calls_before_move: Vec::new(),
        logged_error: None,
        last_failure: None,
        report,
    };
    watcher.run(reports).await;
}

/// A call in flight. Dropping it aborts the call and closes its connection, unless the call was abandoned.
struct Running<T: Task> {
    id: CallId,
    began: Instant,
    task: Option<T>,
    state: Rc<SharedCallState>,
}

impl<T: Task> Running<T> {
    /// Stops waiting for the response. The task goes on until it has read what discovery has written.
    fn abandon(mut self, state: CallState) -> Rc<SharedCallState> {
        self.state.set(state);
        self.task = None;
        self.state.clone()
    }
}

impl<T: Task> Drop for Running<T> {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

struct Watcher<C: Transport> {
    platform: C::Platform,
    origin: Instant,
    counters: Rc<Counters>,
    driver: Rc<RequestDriver<C>>,
    endpoints: Rc<EndpointTable>,
    source: Rc<Source>,
    lifecycle: Rc<Lifecycle<C::Platform>>,
    fleet: Option<Rc<Fleet<C::Platform>>>,
    schedule: Schedule,
    /// The version from which the next call requests changes; `None` to request the complete list.
    from_version: Option<i64>,
    /// The version of the current list.
    current_version: Option<i64>,
    /// The connection of the last call, if it can be reused.
    idle: Option<<C::Platform as Platform>::Stream>,
    running: Vec<Running<<C::Platform as Platform>::Task>>,
    /// Calls that were in flight when discovery moved, until a list of the new address is applied.
    calls_before_move: Vec<Rc<SharedCallState>>,
    /// The last logged error of a list, until a list is applied.
    logged_error: Option<ListError>,
    /// The failure of the last call, if it failed.
    last_failure: Option<Failure>,
    report: UnboundedSender<CallReport<C::Platform>>,
}

impl<C: Transport> Watcher<C> {
    async fn run(mut self, mut reports: UnboundedReceiver<CallReport<C::Platform>>) {
        let (source, endpoints) = (self.source.clone(), self.endpoints.clone());
        endpoints.freshness().configure(source.delivery.get().pushed);
        self.notify_validity();
        loop {
            self.make_due_calls();
            let next =
                self.schedule.next_at().map_or(self.platform.now() + IDLE_INTERVAL, |at| self.origin + at);
            tokio::select! {
                biased;
                () = source.moved.notified() => self.discovery_moved(),
                () = endpoints.staleness().wait_until_suspected() => {
                    let now = self.now();
                    tracing::debug!(version = self.current_version, "endpoints reject requests; the endpoint list may be out of date");
                    self.schedule.suspect(now);
                }
                Some(report) = reports.recv() => self.handle_report(report),
                () = self.platform.sleep_until(next) => {}
            }
        }
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    fn make_due_calls(&mut self) {
        let Delivery { pushed, ask_within } = self.source.delivery.get();
        self.schedule.configure(pushed, ask_within);
        while let Some(call) = self.schedule.poll(self.now(), self.from_version.is_none()) {
            if let Some(replaced) = call.replaces {
                count(&self.counters.discovery_silent);
                if let Some(at) = self.running.iter().position(|running| running.id == replaced) {
                    self.running.remove(at).abandon(CallState::Replaced);
                }
            }
            self.start_call(call);
        }
    }

    fn start_call(&mut self, call: Call) {
        let Call { id, hold, timeout, replaces } = call;
        tracing::debug!(call = %id, from = self.from_version, ?hold, ?timeout, ?replaces, "calling discovery");
        count(&self.counters.discovery_calls);
        let target = match self.from_version {
            Some(version) => format!("/discovery/hosts?from={version}&hold_ms={}", hold.as_millis()),
            None => "/discovery/hosts".to_owned(),
        };
        let request = CallRequest { address: self.source.address.get(), target, timeout };
        let (counters, endpoints, report) =
            (self.counters.clone(), self.endpoints.clone(), self.report.clone());
        let state = Rc::<SharedCallState>::default();
        let shared = state.clone();
        let mut reporter =
            CallReporter::new(id, self.platform.clone(), counters, endpoints.clone(), report, shared.clone());
        let (platform, fleet) = (self.platform.clone(), self.fleet.clone());
        let idle = self.idle.take();
        let task = self.platform.spawn(async move {
            if let Some(fleet) = &fleet {
                fleet.wait_to_call_discovery().await;
            }
            let result = call::make(
                &platform,
                idle,
                request,
                endpoints.discovery_connections(),
                &shared,
                &mut reporter,
            )
            .await;
            reporter.finish(result);
        });
        self.running.push(Running { id, began: self.platform.now(), task: Some(task), state });
    }

    fn handle_report(&mut self, report: CallReport<C::Platform>) {
        let now = self.now();
        match report {
            CallReport::Progressed(id) => self.schedule.progressed(id, now),
            CallReport::Stalled(id) => {
                count(&self.counters.discovery_stalled);
                self.schedule.stalled(id, now);
            }
            CallReport::Excluded(entries) => {
                self.driver.handle_event(Event::EndpointList { scope: ListScope::Changes, entries })
            }
            CallReport::Ended { id, result, excluded } => self.call_ended(id, result, excluded),
        }
    }

    /// Requests the complete list from the new address: the old one will soon stop responding, and its versions mean nothing
    /// at the new one. Calls in flight are abandoned, but their responses still exclude endpoints until that list is applied.
    fn discovery_moved(&mut self) {
        let abandoned = self.running.drain(..).map(|running| running.abandon(CallState::Moved));
        self.calls_before_move.extend(abandoned);
        (self.idle, self.from_version, self.current_version) = (None, None, None);
        self.endpoints.forget_versions();
        let now = self.now();
        self.schedule.moved(now);
        // The delivery may have changed, too.
        self.endpoints.freshness().configure(self.source.delivery.get().pushed);
        self.notify_validity();
    }

    fn call_ended(&mut self, id: CallId, result: CallResult<C::Platform>, excluded: bool) {
        // A call that has been abandoned may have reported its end just before.
        let Some(at) = self.running.iter().position(|running| running.id == id) else { return };
        let began = self.running.remove(at).began;
        let CallResult { outcome, stream, first_byte } = result;
        tracing::debug!(
            call = %id,
            %outcome,
            first_byte_ago = ?first_byte.map(|at| self.platform.since(at)),
            excluded,
            "call to discovery ended"
        );
        let failure = match outcome {
            Outcome::Answered(list) => {
                self.idle = stream.or(self.idle.take());
                self.apply_list(id, list, excluded)
            }
            Outcome::Invalid(error) => Some(self.record_invalid_list(error)),
            Outcome::Rejected => {
                count(&self.counters.discovery_failures);
                Some(Failure::Rejected)
            }
            Outcome::NotListening | Outcome::Unreachable => {
                count(&self.counters.discovery_failures);
                Some(Failure::Unreachable)
            }
            // The connection may be dead, so it is not reused; another one may work.
            Outcome::TimedOut => {
                count(&self.counters.discovery_silent);
                Some(Failure::TimedOut)
            }
        };
        let (freshness, now) = (self.endpoints.freshness(), self.platform.now());
        if failure.is_none() {
            freshness.record_confirmation(began);
        }
        freshness.record_call_end();
        let is_valid = freshness.list_evidence(now).is_ok();
        self.lifecycle.update(|state, _| state.record_list(!self.endpoints.is_empty(), is_valid));
        self.notify_validity();
        self.log_state_change(failure);
        if let Some(failure) = failure {
            let now = self.now();
            let corroborated =
                self.endpoints.staleness().is_corroborated(self.endpoints.len(), self.platform.now());
            self.schedule.set_corroborated(corroborated);
            self.schedule.failed(id, failure, now);
        }
    }

    /// Applies the list of a response, or returns why it can't be applied. `excluded` tells whether the list excluded
    /// endpoints that were open while it arrived.
    fn apply_list(&mut self, id: CallId, list: EndpointList, excluded: bool) -> Option<Failure> {
        let versions_restarted = self.schedule.accepts_older()
            && self.current_version.is_some_and(|current| list.version < current);
        if versions_restarted {
            self.endpoints.forget_versions();
        }
        let min_version = self.current_version.filter(|_| !versions_restarted);
        self.endpoints.observe_clocks(self.driver.now(), self.platform.unix());
        match self.endpoints.apply(list, min_version) {
            ApplyResult::Applied(update) => {
                self.endpoints.staleness().record_confirmation(self.platform.now());
                (self.from_version, self.current_version) = (Some(update.version), Some(update.version));
                let ListUpdate { version, scope, entries } = &update;
                tracing::debug!(call = %id, version, ?scope, entries = entries.len(), "endpoint list applied");
                self.logged_error = None;
                for call in self.calls_before_move.drain(..) {
                    call.set(CallState::Superseded);
                }
                let now = self.now();
                self.schedule.answered(id, now);
                self.driver
                    .handle_event(Event::EndpointList { scope: update.scope, entries: update.entries });
                None
            }
            ApplyResult::Older => {
                // Two calls in flight may be answered in any order. An endpoint that this list excluded may be ready in the
                // current one, so the complete list is requested again.
                let overtaken = self.schedule.overtaken(id);
                if !overtaken {
                    count(&self.counters.discovery_older);
                }
                if !overtaken || excluded {
                    self.from_version = None;
                }
                Some(Failure::Older)
            }
        }
    }

    /// Notifies the decision module how long the list is valid.
    fn notify_validity(&self) {
        let validity = self.endpoints.freshness().validity(self.platform.now());
        self.driver.handle_event(Event::ListValidity(validity));
    }

    /// Logs that discovery answers again or no longer answers.
    fn log_state_change(&mut self, failure: Option<Failure>) {
        if std::mem::replace(&mut self.last_failure, failure) == failure {
            return;
        }
        let (version, age) = (self.current_version, self.endpoints.confirmed_age(self.platform.now()));
        match failure {
            None => tracing::info!(version, "discovery answers"),
            Some(failure) => tracing::info!(version, ?age, ?failure, "discovery does not answer"),
        }
    }

    /// Counts and logs an invalid list. Its exclusions stay in effect, and the rest is requested again.
    fn record_invalid_list(&mut self, error: Option<ListError>) -> Failure {
        count(&self.counters.discovery_bad);
        if let Some(error) = error.filter(|error| Some(error) != self.logged_error.as_ref()) {
            tracing::warn!(discovery = %self.source.address.get(), version = self.current_version, "invalid endpoint list: {error}");
            self.logged_error = Some(error);
        }
        Failure::Invalid
    }
}
