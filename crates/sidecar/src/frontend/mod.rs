//! The frontend: the listener and the client connections. It turns requests into sessions and verdicts into
//! answers.

mod connection;
mod request;
mod response;

pub use request::time_left;
pub(crate) use response::{close_gracefully, error_response};

use crate::attempt::ForwardedRequest;
use crate::classes::ClassRegistry;
use crate::counters::{Counters, count};
use crate::exchange::EndpointResponse;
use crate::fleet::Fleet;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::requests::{RequestDriver, Transport};
use crate::sockets::is_out_of_descriptors;
use crate::upload::BodyMemory;
use bytes::Bytes;
use cometcroft::Settings;
use cometcroft_platform::{Listener, Platform};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// On the way out, connections that wait to be accepted are looked for during this time.
const LAST_CALL: Duration = Duration::from_millis(10);
/// The same in all where some of them cannot be accepted.
const LAST_CALL_AT_MOST: Duration = Duration::from_millis(300);
/// After one that could not be accepted, the next is looked for so much later.
const BETWEEN_ACCEPTS: Duration = Duration::from_millis(5);
/// A connection that has brought no whole request for so long is the first to make room.
const SLOW: Duration = Duration::from_millis(250);

/// A carrier that brings HTTP requests to backend servers: whatever it is, this frontend can stand before it.
pub trait HttpTransport: Transport<Payload = Rc<ForwardedRequest>, Response = EndpointResponse> {}

impl<T: Transport<Payload = Rc<ForwardedRequest>, Response = EndpointResponse>> HttpTransport for T {}

type StreamOf<T> = <<T as Transport>::Platform as Platform>::Stream;
type ListenerOf<T> = <<T as Transport>::Platform as Platform>::Listener;

/// All client connections.
pub struct Frontend<T: HttpTransport> {
    platform: T::Platform,
    host: Rc<RequestDriver<T>>,
    classes: RefCell<ClassRegistry>,
    tenants: RefCell<Vec<String>>,
    lifecycle: Rc<Lifecycle<T::Platform>>,
    counters: Rc<Counters>,
    most: usize,
    /// So many more may be on their way out.
    spare: usize,
    lingering: Cell<usize>,
    budget: Rc<BodyMemory>,
    open: Cell<usize>,
    left: Notify,
    /// Connections that owe a request, the longest waiting first.
    waiting: RefCell<BTreeMap<u64, WaitingConnection>>,
    turn: Cell<u64>,
    /// The ids of all open requests.
    ids: RefCell<HashSet<Bytes>>,
    fleet: Option<Rc<Fleet<T::Platform>>>,
}

/// A connection with no open request.
struct WaitingConnection {
    wake: Rc<Notify>,
    /// Since when it has owed a whole request; `None` if it has been served and may be idle.
    owes: Option<Instant>,
}

impl<T: HttpTransport> Frontend<T> {
    /// A frontend that holds at most `most` connections and `spare` that are on their way out, and so many bytes of large
    /// bodies before they are sent on.
    pub fn new(
        host: Rc<RequestDriver<T>>,
        classes: ClassRegistry,
        tenants: Vec<String>,
        lifecycle: Rc<Lifecycle<T::Platform>>,
        counters: Rc<Counters>,
        [most, spare, memory]: [usize; 3],
        fleet: Option<Rc<Fleet<T::Platform>>>,
    ) -> Rc<Frontend<T>> {
        Rc::new(Frontend {
            platform: host.platform().clone(),
            host,
            classes: RefCell::new(classes),
            tenants: RefCell::new(tenants),
            lifecycle,
            counters,
            most,
            spare,
            lingering: Cell::new(0),
            budget: BodyMemory::new(memory),
            open: Cell::new(0),
            left: Notify::new(),
            waiting: RefCell::default(),
            turn: Cell::new(0),
            ids: RefCell::default(),
            fleet,
        })
    }

    /// New settings, with the names of their classes. What is open keeps the class that it came under.
    pub fn apply_settings(&self, mut settings: Settings, names: &[String], tenants: Vec<String>) {
        let mut classes = self.classes.borrow_mut();
        let from = classes.apply_settings(names, &settings.classes, self.platform.now());
        settings.classes = classes.classes();
        self.counters.request_stats.set_class_names(&classes.names());
        self.tenants.replace(tenants);
        self.host.apply_settings(settings, from);
    }

    /// Accepts and serves until the sidecar leaves, and returns when all is answered.
    pub async fn run(self: Rc<Self>, listener: ListenerOf<T>) {
        tokio::select! {
            biased;
            () = self.lifecycle.wait_until(LifecycleState::accepts_until) => {}
            () = self.accept(&listener) => {}
        }
        // Danger: what the machine has accepted is ours, and would be reset with the listener. A listener that a
        // successor reads too stays open, and what waits there is the successor's.
        if !self.lifecycle.query(|state, _| state.shares_listener()) {
            self.accept_waiting(&listener).await;
        }
        drop(listener);
        while self.open.get() + self.lingering.get() > 0 {
            self.left.notified().await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &ListenerOf<T>) {
        self.lifecycle.wait_until(|state| Some(state.accepts_from())).await;
        loop {
            // Danger: past the limit of descriptors nothing works any more, so a place is made or awaited
            // before the next client is let in.
            while self.open.get() >= self.most {
                self.evict();
                // One that is woken may have just got its request and stay.
                let _ = self.platform.timeout(Duration::from_millis(10), self.left.notified()).await;
            }
            // Danger: without a descriptor for the next client nobody gets in, however many of the others are idle.
            let stream = accept_connection(&self.platform, listener, &self.counters, || self.evict()).await;
            self.welcome(stream);
        }
    }

    /// Accepts what the machine has accepted before the listener goes.
    async fn accept_waiting(self: &Rc<Self>, listener: &ListenerOf<T>) {
        let begun = self.platform.now();
        let mut until = begun + LAST_CALL;
        // Danger: a time-out alone does not end this where accept is ready, or fails, at once each time.
        while self.platform.now() < until {
            match self.platform.timeout_at(until, listener.accept()).await {
                Ok(Ok(stream)) => self.welcome(stream),
                // One that left at once, or a lack that may pass: others still wait.
                Ok(Err(error)) => {
                    count(&self.counters.accept_failures);
                    if is_out_of_descriptors(&error) {
                        self.evict();
                    }
                    self.platform.sleep(BETWEEN_ACCEPTS).await;
                    until = (self.platform.now() + LAST_CALL).min(begun + LAST_CALL_AT_MOST);
                }
                Err(_) => return,
            }
        }
    }

    fn welcome(self: &Rc<Self>, stream: StreamOf<T>) {
        count(&self.counters.frontend_connections);
        let mut seat = ConnectionSlot::take(self);
        self.platform.detach(async move {
            let frontend = seat.frontend.clone();
            // A client that breaks off has left; there is nobody to tell.
            let _ = frontend.connection(stream, &mut seat).await;
        });
    }

    /// Wakes the connection that can best be done without. Danger: hundreds that say nothing, or never end what
    /// they say, would take the places of clients that do; so those go first, then who has been idle longest.
    fn evict(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let slow = |w: &WaitingConnection| w.owes.is_some_and(|since| self.platform.since(since) >= SLOW);
        let first = |of: &dyn Fn(&WaitingConnection) -> bool| {
            waiting.iter().find(|(_, w)| of(w)).map(|(&turn, _)| turn)
        };
        let turn = first(&slow).or_else(|| first(&|w| w.owes.is_none())).or_else(|| first(&|_| true));
        if let Some(waiting) = turn.and_then(|turn| waiting.remove(&turn)) {
            count(&self.counters.frontend_evicted);
            waiting.wake.notify_one();
        }
    }
}

/// The next connection. No failed accept ends the service; one for lack of a descriptor asks the caller to `make_room`.
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
                platform.sleep(BETWEEN_ACCEPTS).await;
            }
        }
    }
}

/// A connection's place among all of them, given back when dropped.
struct ConnectionSlot<T: HttpTransport> {
    frontend: Rc<Frontend<T>>,
    lingering: bool,
}

impl<T: HttpTransport> ConnectionSlot<T> {
    fn take(frontend: &Rc<Frontend<T>>) -> ConnectionSlot<T> {
        frontend.open.set(frontend.open.get() + 1);
        ConnectionSlot { frontend: frontend.clone(), lingering: false }
    }

    /// Its connection is on its way out and its place is another's, if there is one to linger in. Danger: who makes room
    /// must make it at once, or more and more would be sent away for one that comes.
    fn lingers(&mut self) -> bool {
        let frontend = &self.frontend;
        if frontend.lingering.get() >= frontend.spare {
            return false;
        }
        self.lingering = true;
        frontend.lingering.set(frontend.lingering.get() + 1);
        frontend.open.set(frontend.open.get() - 1);
        frontend.left.notify_one();
        true
    }
}

impl<T: HttpTransport> Drop for ConnectionSlot<T> {
    fn drop(&mut self) {
        let place = if self.lingering { &self.frontend.lingering } else { &self.frontend.open };
        place.set(place.get() - 1);
        self.frontend.left.notify_one();
    }
}
