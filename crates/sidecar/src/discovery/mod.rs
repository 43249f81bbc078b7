//! Calls to discovery: [`watch`] keeps the [`EndpointTable`] and the decision module up to date. [`schedule`] says when a
//! call is made; each runs as a task of its own, hands on the records of its list as they arrive ([`arrivals`]) and reports
//! how it ended.

mod abandonment;
mod arrivals;
mod call;
mod retry_cycle;
pub mod schedule;
pub mod staleness;

use crate::counters::{Counters, count};
use crate::endpoint_list::{EndpointList, ListError};
use crate::endpoint_table::{ApplyResult, EndpointTable, ListUpdate};
use crate::fleet::Fleet;
use crate::lifecycle::Lifecycle;
use crate::requests::{RequestDriver, Transport};
use abandonment::{Abandonment, Standing};
use arrivals::{Bars, Report};
use call::{Ended, Outcome, Question};
use cometcroft::{Discovery, Event, ListScope, Settings};
use cometcroft_platform::{Platform, Task};
use schedule::{Call, CallId, Failure, Schedule, Time};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// With no call due the owner looks again after this time.
const IDLE: Duration = Duration::from_secs(60);

/// Where and how discovery answers. A new configuration may move it while the sidecar runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<SocketAddr>,
    manner: Cell<Manner>,
    moved: Notify,
}

/// How lists come by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Manner {
    /// They are pushed to an agent at the address.
    pushed: bool,
    /// The time within which they are to be asked for.
    ask_within: Duration,
}

impl Manner {
    fn of(settings: &Settings) -> Manner {
        Manner {
            pushed: settings.discovery == Discovery::Push,
            ask_within: settings.rules.resubscribe_within,
        }
    }
}

impl Source {
    /// Discovery at this address, asked as these settings say.
    pub fn new(address: SocketAddr, settings: &Settings) -> Rc<Source> {
        let manner = Cell::new(Manner::of(settings));
        Rc::new(Source { address: Cell::new(address), manner, moved: Notify::new() })
    }

    /// From now on discovery is to be asked here, and as these settings say.
    pub fn move_to(&self, address: SocketAddr, settings: &Settings) {
        let manner = Manner::of(settings);
        let changed = self.manner.replace(manner) != manner;
        if self.address.replace(address) != address || changed {
            self.moved.notify_one();
        }
    }
}

/// Keeps the list of backend servers as discovery has it, whether lists are asked for or pushed to an agent, from
/// version `index` on if a list is held. `seed` spreads calls. Runs until it is dropped.
pub async fn watch<C: Transport>(
    host: Rc<RequestDriver<C>>,
    endpoints: Rc<EndpointTable>,
    source: Rc<Source>,
    lifecycle: Rc<Lifecycle<C::Platform>>,
    index: Option<i64>,
    seed: u64,
    fleet: Option<Rc<Fleet<C::Platform>>>,
) {
    let (platform, counters) = (host.platform().clone(), host.counters().clone());
    let (report, reports) = unbounded_channel();
    let watcher = Watcher {
        origin: platform.now(),
        platform,
        counters,
        host,
        endpoints,
        source,
        lifecycle,
        fleet,
        schedule: Schedule::new(seed),
        index,
        held: index,
        idle: None,
        running: Vec::new(),
        moved_away: Vec::new(),
        logged: None,
        last_failure: None,
        report,
    };
    watcher.run(reports).await;
}

/// A call in flight. Dropped, it ends, and its connection closes.
struct Running<T: Task> {
    id: CallId,
    began: Instant,
    task: Option<T>,
    abandonment: Rc<Abandonment>,
}

impl<T: Task> Running<T> {
    /// Its answer is not waited for any more; it ends when what has come of that is read.
    fn abandon(mut self, standing: Standing) -> Rc<Abandonment> {
        self.abandonment.set(standing);
        self.task = None;
        self.abandonment.clone()
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
    host: Rc<RequestDriver<C>>,
    endpoints: Rc<EndpointTable>,
    source: Rc<Source>,
    lifecycle: Rc<Lifecycle<C::Platform>>,
    fleet: Option<Rc<Fleet<C::Platform>>>,
    schedule: Schedule,
    /// The version that the next call asks for changes from; the whole list is asked for without one.
    index: Option<i64>,
    /// The version of the list that is held.
    held: Option<i64>,
    /// The connection of the last call, if it can be used again.
    idle: Option<<C::Platform as Platform>::Stream>,
    running: Vec<Running<<C::Platform as Platform>::Task>>,
    /// Calls that were in flight when discovery moved, until a list of its new address is taken.
    moved_away: Vec<Rc<Abandonment>>,
    /// What was last found wrong with a list, until one is taken.
    logged: Option<ListError>,
    /// How the last call failed, if it did.
    last_failure: Option<Failure>,
    report: UnboundedSender<Report<C::Platform>>,
}

impl<C: Transport> Watcher<C> {
    async fn run(mut self, mut reports: UnboundedReceiver<Report<C::Platform>>) {
        let (source, endpoints) = (self.source.clone(), self.endpoints.clone());
        endpoints.freshness().configure(source.manner.get().pushed);
        self.tell_trust();
        loop {
            self.make_due_calls();
            let next = self.schedule.next_at().map_or(self.platform.now() + IDLE, |at| self.origin + at);
            tokio::select! {
                biased;
                () = source.moved.notified() => self.moved(),
                () = endpoints.staleness().wait_until_suspected() => {
                    let now = self.now();
                    tracing::debug!(version = self.held, "the list is suspected to be out of date");
                    self.schedule.suspect(now);
                }
                Some(report) = reports.recv() => self.reported(report),
                () = self.platform.sleep_until(next) => {}
            }
        }
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    fn make_due_calls(&mut self) {
        let Manner { pushed, ask_within } = self.source.manner.get();
        self.schedule.configure(pushed, ask_within);
        while let Some(call) = self.schedule.poll(self.now(), self.index.is_none()) {
            if let Some(replaced) = call.replaces {
                count(&self.counters.discovery_silent);
                if let Some(at) = self.running.iter().position(|running| running.id == replaced) {
                    self.running.remove(at).abandon(Standing::Replaced);
                }
            }
            self.start(call);
        }
    }

    fn start(&mut self, call: Call) {
        let Call { id, hold, timeout, replaces } = call;
        tracing::debug!(call = %id, from = self.index, ?hold, ?timeout, ?replaces, "discovery is called");
        count(&self.counters.discovery_calls);
        let target = match self.index {
            Some(index) => format!("/discovery/hosts?from={index}&hold_ms={}", hold.as_millis()),
            None => "/discovery/hosts".to_owned(),
        };
        let question = Question { address: self.source.address.get(), target, timeout };
        let (counters, endpoints, report) =
            (self.counters.clone(), self.endpoints.clone(), self.report.clone());
        let abandonment = Rc::<Abandonment>::default();
        let shared = abandonment.clone();
        let mut bars =
            Bars::new(id, self.platform.clone(), counters, endpoints.clone(), report, shared.clone());
        let (platform, fleet) = (self.platform.clone(), self.fleet.clone());
        let kept = self.idle.take();
        let task = self.platform.spawn(async move {
            if let Some(fleet) = &fleet {
                fleet.wait_to_call_discovery().await;
            }
            let ended =
                call::make(&platform, kept, question, endpoints.discovery_connections(), &shared, &mut bars)
                    .await;
            bars.finish(ended);
        });
        self.running.push(Running { id, began: self.platform.now(), task: Some(task), abandonment });
    }

    fn reported(&mut self, report: Report<C::Platform>) {
        let now = self.now();
        match report {
            Report::Progressed(id) => self.schedule.progressed(id, now),
            Report::Stalled(id) => {
                count(&self.counters.discovery_stalled);
                self.schedule.stalled(id, now);
            }
            Report::Barred(entries) => {
                self.host.handle_event(Event::EndpointList { scope: ListScope::Changes, entries })
            }
            Report::Ended { id, ended, barred } => self.ended(id, ended, barred),
        }
    }

    /// The old address goes silent soon, and its versions say nothing at the new one, which is asked for the whole list.
    /// Calls in flight are abandoned: what has come of their answers still bars, until that list is taken.
    fn moved(&mut self) {
        let abandoned = self.running.drain(..).map(|running| running.abandon(Standing::Moved));
        self.moved_away.extend(abandoned);
        (self.idle, self.index, self.held) = (None, None, None);
        self.endpoints.forget_versions();
        let now = self.now();
        self.schedule.moved(now);
        // Lists may be pushed from now on, or no more.
        self.endpoints.freshness().configure(self.source.manner.get().pushed);
        self.tell_trust();
    }

    fn ended(&mut self, id: CallId, ended: Ended<C::Platform>, barred: bool) {
        // One that is abandoned may have reported just before.
        let Some(at) = self.running.iter().position(|running| running.id == id) else { return };
        let began = self.running.remove(at).began;
        let Ended { outcome, stream, first_byte } = ended;
        tracing::debug!(
            call = %id,
            %outcome,
            first_byte_ago = ?first_byte.map(|at| self.platform.since(at)),
            barred,
            "call to discovery ended"
        );
        let failure = match outcome {
            Outcome::Answered(list) => {
                self.idle = stream.or(self.idle.take());
                self.answered(id, list, barred)
            }
            Outcome::Broken(error) => Some(self.broken(error)),
            Outcome::Refused => {
                count(&self.counters.discovery_failures);
                Some(Failure::Rejected)
            }
            Outcome::NobodyListens | Outcome::Unreachable => {
                count(&self.counters.discovery_failures);
                Some(Failure::Unreachable)
            }
            // The connection has fallen silent; another one may not.
            Outcome::Silent => {
                count(&self.counters.discovery_silent);
                Some(Failure::TimedOut)
            }
        };
        let (freshness, now) = (self.endpoints.freshness(), self.platform.now());
        if failure.is_none() {
            freshness.record_confirmation(began);
        }
        freshness.record_call_end();
        let holds = freshness.list_evidence(now).is_ok();
        self.lifecycle.update(|state, _| state.record_list(!self.endpoints.is_empty(), holds));
        self.tell_trust();
        self.log_change_of_state(failure);
        if let Some(failure) = failure {
            let now = self.now();
            let corroborated =
                self.endpoints.staleness().is_corroborated(self.endpoints.len(), self.platform.now());
            self.schedule.observe(corroborated);
            self.schedule.failed(id, failure, now);
        }
    }

    /// Takes over the list of an answer; tells why if it cannot be taken. `barred`: what it bars was news when it arrived.
    fn answered(&mut self, id: CallId, list: EndpointList, barred: bool) -> Option<Failure> {
        let begun_anew = self.schedule.accepts_older() && self.held.is_some_and(|held| list.version < held);
        if begun_anew {
            self.endpoints.forget_versions();
        }
        let held = self.held.filter(|_| !begun_anew);
        self.endpoints.observe_clocks(self.host.now(), self.platform.unix());
        match self.endpoints.apply(list, held) {
            ApplyResult::Applied(news) => {
                self.endpoints.staleness().record_confirmation(self.platform.now());
                (self.index, self.held) = (Some(news.version), Some(news.version));
                let ListUpdate { version, scope, entries } = &news;
                tracing::debug!(call = %id, version, ?scope, rows = entries.len(), "list is in force");
                self.logged = None;
                for moved_away in self.moved_away.drain(..) {
                    moved_away.set(Standing::Superseded);
                }
                let now = self.now();
                self.schedule.answered(id, now);
                self.host.handle_event(Event::EndpointList { scope: news.scope, entries: news.entries });
                None
            }
            ApplyResult::Older => {
                // Of two calls in flight either may be answered last. What it barred may be up in the list that is held.
                let overtaken = self.schedule.overtaken(id);
                if !overtaken {
                    count(&self.counters.discovery_older);
                }
                if !overtaken || barred {
                    self.index = None;
                }
                Some(Failure::Older)
            }
        }
    }

    /// Tells the decision module how long the list may be used.
    fn tell_trust(&self) {
        let trust = self.endpoints.freshness().validity(self.platform.now());
        self.host.handle_event(Event::ListValidity(trust));
    }

    /// Logs that discovery answers again, or has ceased to.
    fn log_change_of_state(&mut self, failure: Option<Failure>) {
        if std::mem::replace(&mut self.last_failure, failure) == failure {
            return;
        }
        let (version, age) = (self.held, self.endpoints.confirmed_age(self.platform.now()));
        match failure {
            None => tracing::info!(version, "discovery answers"),
            Some(failure) => tracing::info!(version, ?age, ?failure, "discovery does not answer"),
        }
    }

    /// What came of the list binds; the rest is asked for.
    fn broken(&mut self, error: Option<ListError>) -> Failure {
        count(&self.counters.discovery_bad);
        if let Some(error) = error.filter(|error| Some(error) != self.logged.as_ref()) {
            tracing::warn!(discovery = %self.source.address.get(), held = self.held, "list of endpoints: {error}");
            self.logged = Some(error);
        }
        Failure::Invalid
    }
}
