//! Connections to endpoints: opened on demand, kept while idle, with one request at a time on each.

use crate::counters::{Counters, count};
use crate::dial::{self, AttemptDelay};
use crate::endpoint_table::EndpointProcess;
use crate::fleet::Fleet;
use crate::sockets::enable_nodelay;
use cometcroft::EndpointId;
use cometcroft_platform::{Platform, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum time between a response and the next request on a connection. Some endpoints send a second copy of a
/// response right after it, which would be taken for the response to the next request if that was written in
/// between.
const MIN_REST: Duration = Duration::from_millis(5);

/// Time within which discovery tells of a process that has taken the place of another one.
const MAX_UNTOLD: Duration = Duration::from_secs(6);

/// A connection in use. It counts against the pool's limit until it is dropped or put back.
pub struct PooledConnection<P: Platform> {
    /// The connection's stream.
    pub stream: P::Stream,
    process: EndpointProcess,
    _slot: PoolSlot<P>,
}

impl<P: Platform> PooledConnection<P> {
    /// The process that the connection was opened to.
    pub fn process(&self) -> EndpointProcess {
        self.process
    }
}

#[derive(Debug)]
struct Idle<S> {
    stream: S,
    process: EndpointProcess,
    since: Instant,
}

/// All connections to endpoints.
pub struct ConnectionPool<P: Platform> {
    platform: P,
    idle: RefCell<BTreeMap<EndpointId, Vec<Idle<P::Stream>>>>,
    in_use: Cell<usize>,
    max_connections: usize,
    max_idle: Cell<Duration>,
    attempt_delay: AttemptDelay,
    /// Endpoints whose connections ended by themselves, with the process that they belonged to and the last time.
    ended: RefCell<BTreeMap<EndpointId, (EndpointProcess, Instant)>>,
    counters: Rc<Counters>,
    fleet: Option<Rc<Fleet<P>>>,
}

impl<P: Platform> ConnectionPool<P> {
    /// Creates a pool of at most `max_connections` connections to endpoints that close connections after `idle`
    /// without a request.
    pub fn new(
        platform: P,
        max_connections: usize,
        [idle, connect_timeout]: [Duration; 2],
        counters: Rc<Counters>,
        fleet: Option<Rc<Fleet<P>>>,
    ) -> Rc<ConnectionPool<P>> {
        Rc::new(ConnectionPool {
            platform,
            idle: RefCell::default(),
            in_use: Cell::new(0),
            max_connections,
            max_idle: Cell::new(usable_idle_time(idle)),
            attempt_delay: AttemptDelay::new(connect_timeout),
            ended: RefCell::default(),
            counters,
            fleet,
        })
    }

    /// Puts new settings in force.
    pub fn apply_settings(&self, idle: Duration, connect_timeout: Duration) {
        self.max_idle.set(usable_idle_time(idle));
        self.attempt_delay.set_connect_timeout(connect_timeout);
    }

    /// Returns a connection to an endpoint: the most recently used idle one to this process that is still
    /// usable, or a new one.
    pub async fn get(
        self: &Rc<Self>,
        to: EndpointId,
        process: impl Into<EndpointProcess>,
        until: Instant,
    ) -> io::Result<PooledConnection<P>> {
        let process = process.into();
        if let Some(stream) = self.reuse(to, process) {
            count(&self.counters.backend_reused);
            return Ok(PooledConnection { stream, process, _slot: PoolSlot::take(self) });
        }
        if !self.has_room() && !self.close_longest_idle() {
            return Err(io::Error::other("too many connections"));
        }
        // The slot is taken before the wait; otherwise many that wait at once would exceed the limit.
        let slot = PoolSlot::take(self);
        self.await_budget(until).await?;
        let until = until.min(self.platform.now() + self.attempt_delay.connect_timeout());
        let first = self.clone().connect(process, slot);
        // Only the first attempt to connect may close idle connections to make room.
        let further = || {
            self.has_room().then(|| {
                let (pool, slot) = (self.clone(), PoolSlot::take(self));
                async move {
                    pool.await_budget(until).await?;
                    pool.connect(process, slot).await
                }
            })
        };
        dial::race(&self.platform, until, self.attempt_delay.get(), first, further).await
    }

    /// Waits until the fleet's budget permits a new connection. If a whole fleet reconnected at once, it would
    /// overload the endpoints.
    async fn await_budget(&self, until: Instant) -> io::Result<()> {
        match &self.fleet {
            Some(fleet) if !fleet.wait_to_connect(until).await => {
                count(&self.counters.connections_barred);
                Err(io::ErrorKind::QuotaExceeded.into())
            }
            _ => Ok(()),
        }
    }

    /// Attempts to open a connection, without a time limit of its own.
    async fn connect(
        self: Rc<Self>,
        process: EndpointProcess,
        slot: PoolSlot<P>,
    ) -> io::Result<PooledConnection<P>> {
        let started = self.platform.now();
        let stream = self.platform.connect(process.address).await?;
        self.attempt_delay.learn(self.platform.since(started));
        enable_nodelay(&stream);
        count(&self.counters.backend_connections);
        Ok(PooledConnection { stream, process, _slot: slot })
    }

    /// Returns whether another connection may be opened without closing one.
    pub fn has_room(&self) -> bool {
        self.in_use.get() + self.idle_count() < self.max_connections
    }

    fn reuse(&self, to: EndpointId, process: EndpointProcess) -> Option<P::Stream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        connections.retain(|connection| {
            connection.process == process && self.platform.since(connection.since) < self.max_idle.get()
        });
        let rested = |connections: &Vec<Idle<P::Stream>>| {
            connections.iter().rposition(|connection| self.platform.since(connection.since) >= MIN_REST)
        };
        while let Some(index) = rested(connections) {
            let stream = connections.remove(index).stream;
            if stream.is_idle() {
                return Some(stream);
            }
            count(&self.counters.backend_stale);
            self.record_ended(to, process);
        }
        None
    }

    /// Records that an exchange failed, if its error shows that a connection ended or was refused.
    pub fn record_failure(&self, to: EndpointId, process: EndpointProcess, error: &io::Error) {
        if matches!(
            error.kind(),
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionRefused
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::UnexpectedEof
        ) {
            self.record_ended(to, process);
        }
    }

    fn record_ended(&self, to: EndpointId, process: EndpointProcess) {
        self.ended.borrow_mut().insert(to, (process, self.platform.now()));
    }

    /// Whether a connection to this process has ended by itself so recently that discovery may not have told yet that
    /// another process listens at the address.
    pub fn may_be_replaced(&self, to: EndpointId, process: EndpointProcess) -> bool {
        let is_ended = |idle: &Idle<P::Stream>| idle.process == process && !idle.stream.is_idle();
        if self.idle.borrow().get(&to).is_some_and(|connections| connections.iter().any(is_ended)) {
            self.record_ended(to, process);
        }
        self.ended.borrow().get(&to).is_some_and(|(ended, at)| *ended == process && self.is_recent(*at))
    }

    fn is_recent(&self, ended: Instant) -> bool {
        self.platform.since(ended) < MAX_UNTOLD
    }

    /// Puts back a connection whose response has been read completely.
    pub fn put(&self, to: EndpointId, connection: PooledConnection<P>) {
        let PooledConnection { stream, process, .. } = connection;
        let idle = Idle { stream, process, since: self.platform.now() };
        self.idle.borrow_mut().entry(to).or_default().push(idle);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, to: EndpointId) {
        self.idle.borrow_mut().remove(&to);
    }

    /// The platform that provides the connections.
    pub fn platform(&self) -> &P {
        &self.platform
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| self.platform.since(connection.since) < self.max_idle.get());
        }
        idle.retain(|_, connections| !connections.is_empty());
        self.ended.borrow_mut().retain(|_, (_, at)| self.is_recent(*at));
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the connection that has been idle longest.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter_mut()
            .filter(|(_, connections)| !connections.is_empty())
            .min_by_key(|(_, connections)| connections[0].since);
        oldest.map(|(_, connections)| connections.remove(0)).is_some()
    }
}

/// Time for which an idle connection is used, if the endpoint closes it after `idle`. A request that crosses
/// that close ends as a reset that may have run, so none is written close to the endpoint's limit.
fn usable_idle_time(idle: Duration) -> Duration {
    idle.saturating_sub((idle / 8).max(Duration::from_millis(300)))
}

/// A slot among the connections in use, freed when dropped.
struct PoolSlot<P: Platform>(Rc<ConnectionPool<P>>);

impl<P: Platform> PoolSlot<P> {
    fn take(pool: &Rc<ConnectionPool<P>>) -> PoolSlot<P> {
        pool.in_use.set(pool.in_use.get() + 1);
        PoolSlot(pool.clone())
    }
}

impl<P: Platform> Drop for PoolSlot<P> {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}
