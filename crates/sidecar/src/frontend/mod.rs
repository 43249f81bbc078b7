//! The frontend: the listener and the client connections. It turns requests into entries of the request table,
//! and final responses into HTTP responses.

mod connection;
mod ids;
mod request;
mod response;

pub use ids::RequestIdRegistry;
pub use request::time_left;
pub(crate) use response::{close_gracefully, error_response};

use crate::attempt::ForwardedRequest;
use crate::classes::ClassRegistry;
use crate::counters::{Counters, count};
use crate::exchange::EndpointResponse;
use crate::fleet::Fleet;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::memory::MemoryAccount;
use crate::requests::{RequestDriver, Transport};
use crate::sockets::is_out_of_descriptors;
use cometcroft::Settings;
use cometcroft_platform::{Listener, Platform};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// On shutdown, accepting continues until no waiting connection has been found for this long.
const FINAL_ACCEPT_QUIET: Duration = Duration::from_millis(10);
/// Maximum of that time in all, if some connections can't be accepted.
const FINAL_ACCEPT_MAX: Duration = Duration::from_millis(300);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// A connection on which nothing has arrived for this long since it was opened is evicted before those that have been
/// served. Until then its first request may be on the way.
const SILENT_AGE: Duration = Duration::from_millis(250);
/// Time for which a client may send the head of a request before it is evicted: 2 s by the protocol, and a margin.
const MAX_HEAD_TIME: Duration = Duration::from_millis(2100);

/// A transport that forwards HTTP requests; the frontend works with any implementation of it.
pub trait HttpTransport: Transport<Payload = Rc<ForwardedRequest>, Response = EndpointResponse> {}

impl<T: Transport<Payload = Rc<ForwardedRequest>, Response = EndpointResponse>> HttpTransport for T {}

type StreamOf<T> = <<T as Transport>::Platform as Platform>::Stream;
type ListenerOf<T> = <<T as Transport>::Platform as Platform>::Listener;

/// Limits of a frontend.
#[derive(Debug, Clone)]
pub struct FrontendLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of additional connections that are being closed.
    pub max_lingering: usize,
    /// The account that connections and requests are charged to.
    pub memory: Rc<MemoryAccount>,
}

/// All client connections.
pub struct Frontend<T: HttpTransport> {
    platform: T::Platform,
    driver: Rc<RequestDriver<T>>,
    classes: RefCell<ClassRegistry>,
    tenants: RefCell<Vec<String>>,
    lifecycle: Rc<Lifecycle<T::Platform>>,
    counters: Rc<Counters>,
    max_connections: usize,
    /// Maximum number of additional connections that are being closed.
    max_lingering: usize,
    lingering: Cell<usize>,
    memory: Rc<MemoryAccount>,
    open_connections: Cell<usize>,
    connection_ended: Notify,
    /// Connections without an open request, by ticket, the longest waiting first.
    waiting: RefCell<BTreeMap<u64, WaitingConnection>>,
    next_ticket: Cell<u64>,
    ids: RequestIdRegistry,
    fleet: Option<Rc<Fleet<T::Platform>>>,
}

/// A connection without an open request.
struct WaitingConnection {
    wake: Rc<Notify>,
    state: WaitingState,
}

/// What has arrived on a connection without an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitingState {
    /// Nothing since it was opened at this time.
    Silent(Instant),
    /// Nothing since its last request was served.
    Resting,
    /// Part of a request's head, the first of it at this time.
    Head(Instant),
    /// A request's head, and its body in part.
    Body,
}

impl<T: HttpTransport> Frontend<T> {
    /// Creates a frontend.
    pub fn new(
        driver: Rc<RequestDriver<T>>,
        classes: ClassRegistry,
        tenants: Vec<String>,
        lifecycle: Rc<Lifecycle<T::Platform>>,
        limits: FrontendLimits,
        ids: RequestIdRegistry,
        fleet: Option<Rc<Fleet<T::Platform>>>,
    ) -> Rc<Frontend<T>> {
        Rc::new(Frontend {
            platform: driver.platform().clone(),
            counters: driver.counters().clone(),
            driver,
            classes: RefCell::new(classes),
            tenants: RefCell::new(tenants),
            lifecycle,
            max_connections: limits.max_connections,
            max_lingering: limits.max_lingering,
            lingering: Cell::new(0),
            memory: limits.memory,
            open_connections: Cell::new(0),
            connection_ended: Notify::new(),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            ids,
            fleet,
        })
    }

    /// Puts new settings in force, with the names of their classes. Open requests keep the class that they
    /// arrived under.
    pub fn apply_settings(&self, mut settings: Settings, names: &[String], tenants: Vec<String>) {
        let mut classes = self.classes.borrow_mut();
        let previous_classes = classes.apply_settings(names, &settings.classes, self.platform.now());
        settings.classes = classes.classes();
        self.counters.request_stats.set_class_names(&classes.names());
        self.tenants.replace(tenants);
        self.driver.apply_settings(settings, previous_classes);
    }

    /// Accepts and serves connections until the sidecar shuts down, and returns when every request has its
    /// response.
    pub async fn run(self: Rc<Self>, listener: ListenerOf<T>) {
        tokio::select! {
            biased;
            () = self.lifecycle.wait_until(LifecycleState::accepts_until) => {}
            () = self.accept(&listener) => {}
        }
        // A connection accepted by the operating system belongs to this process and would be reset with the
        // listener. A listener shared with a successor stays open, and connections waiting there are the
        // successor's.
        if !self.lifecycle.query(|state, _| state.shares_listener()) {
            self.accept_waiting(&listener).await;
        }
        drop(listener);
        while self.open_connections.get() + self.lingering.get() > 0 {
            self.connection_ended.notified().await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &ListenerOf<T>) {
        self.lifecycle.wait_until(|state| Some(state.accepts_from())).await;
        loop {
            // Beyond the limit of descriptors nothing works any more, so room is made or awaited before the
            // next client is accepted.
            while self.open_connections.get() >= self.max_connections {
                self.evict();
                // A connection that is woken may just have received its request and stay.
                let _ =
                    self.platform.timeout(Duration::from_millis(10), self.connection_ended.notified()).await;
            }
            // Without a descriptor for the next client no one can connect, however many of the other
            // connections are idle.
            let stream = accept_connection(&self.platform, listener, &self.counters, || self.evict()).await;
            self.serve_connection(stream);
        }
    }

    /// Accepts the connections that the operating system has accepted before the listener is closed.
    async fn accept_waiting(self: &Rc<Self>, listener: &ListenerOf<T>) {
        let started = self.platform.now();
        let mut until = started + FINAL_ACCEPT_QUIET;
        // The time-out alone does not end this loop if accept succeeds, or fails, at once each time.
        while self.platform.now() < until {
            match self.platform.timeout_at(until, listener.accept()).await {
                Ok(Ok(stream)) => self.serve_connection(stream),
                // Either the client has gone already, or descriptors are short for a moment: others may still
                // be waiting.
                Ok(Err(error)) => {
                    count(&self.counters.accept_failures);
                    if is_out_of_descriptors(&error) {
                        self.evict();
                    }
                    self.platform.sleep(ACCEPT_RETRY_DELAY).await;
                    until = (self.platform.now() + FINAL_ACCEPT_QUIET).min(started + FINAL_ACCEPT_MAX);
                }
                Err(_) => return,
            }
        }
    }

    fn serve_connection(self: &Rc<Self>, stream: StreamOf<T>) {
        count(&self.counters.frontend_connections);
        let mut slot = ConnectionSlot::take(self);
        self.platform.detach(async move {
            let frontend = slot.frontend.clone();
            // If the connection breaks there is no client left to inform.
            let _ = frontend.handle_connection(stream, &mut slot).await;
        });
    }

    /// Evicts the most dispensable connection. Otherwise, hundreds of clients that send nothing, or never
    /// complete a request, would keep out others; so those go first, then the one that has been idle longest. A request
    /// that has begun within its time is never evicted: its client may have sent the rest of it and awaits a response.
    fn evict(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let older = |since, age| self.platform.since(since) >= age;
        let oldest = |matches: &dyn Fn(WaitingState) -> bool| {
            waiting.iter().find(|(_, connection)| matches(connection.state)).map(|(&ticket, _)| ticket)
        };
        let overdue = |state| matches!(state, WaitingState::Head(since) if older(since, MAX_HEAD_TIME));
        let silent = |state| matches!(state, WaitingState::Silent(since) if older(since, SILENT_AGE));
        let ticket = oldest(&overdue)
            .or_else(|| oldest(&silent))
            .or_else(|| oldest(&|state| state == WaitingState::Resting));
        if let Some(waiting) = ticket.and_then(|ticket| waiting.remove(&ticket)) {
            count(&self.counters.frontend_evicted);
            waiting.wake.notify_one();
        }
    }
}

/// Accepts the next connection. A failed accept never ends the service; if descriptors are short, `make_room`
/// is called.
pub(crate) async fn accept_connection<P: Platform>(
    platform: &P,
    listener: &P::Listener,
    counters: &Counters,
    make_room: impl Fn(),
) -> P::Stream {
    loop {
        match listener.accept().await {
            Ok(stream) => return stream,
            Err(error) => {
                count(&counters.accept_failures);
                if is_out_of_descriptors(&error) {
                    make_room();
                }
                platform.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The slot of a connection among all of them, freed when dropped.
struct ConnectionSlot<T: HttpTransport> {
    frontend: Rc<Frontend<T>>,
    lingering: bool,
}

impl<T: HttpTransport> ConnectionSlot<T> {
    fn take(frontend: &Rc<Frontend<T>>) -> ConnectionSlot<T> {
        frontend.open_connections.set(frontend.open_connections.get() + 1);
        ConnectionSlot { frontend: frontend.clone(), lingering: false }
    }

    /// Moves a connection that is being closed out of the regular slots, if it may still linger. A slot must
    /// become free at once; otherwise more and more connections would be evicted for a single new one.
    fn lingers(&mut self) -> bool {
        let frontend = &self.frontend;
        if frontend.lingering.get() >= frontend.max_lingering {
            return false;
        }
        self.lingering = true;
        frontend.lingering.set(frontend.lingering.get() + 1);
        frontend.open_connections.set(frontend.open_connections.get() - 1);
        frontend.connection_ended.notify_one();
        true
    }
}

impl<T: HttpTransport> Drop for ConnectionSlot<T> {
    fn drop(&mut self) {
        let counter = if self.lingering { &self.frontend.lingering } else { &self.frontend.open_connections };
        counter.set(counter.get() - 1);
        self.frontend.connection_ended.notify_one();
    }
}
