//! Connections to backend servers: opened as needed, kept while idle, one request at a time on each.

use crate::counters::{Counters, count};
use crate::dial::{self, AttemptDelay};
use crate::fleet::Fleet;
use crate::sockets::enable_nodelay;
use cometcroft::EndpointId;
use cometcroft_platform::{Platform, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection is used again this long after its last answer at the earliest. Danger: some answers bring a
/// second copy right behind, which would pass for the answer to the next request if that were written between.
const SETTLE: Duration = Duration::from_millis(5);

/// A connection that is in use; it counts against the limit until it is dropped or put back.
pub struct PooledConnection<P: Platform> {
    /// The connection.
    pub stream: P::Stream,
    address: SocketAddr,
    _slot: PoolSlot<P>,
}

impl<P: Platform> PooledConnection<P> {
    /// Where the connection leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

#[derive(Debug)]
struct Idle<S> {
    stream: S,
    address: SocketAddr,
    since: Instant,
}

/// All connections to backend servers.
pub struct ConnectionPool<P: Platform> {
    platform: P,
    idle: RefCell<BTreeMap<EndpointId, Vec<Idle<P::Stream>>>>,
    taken: Cell<usize>,
    most: usize,
    keep: Cell<Duration>,
    attempt_delay: AttemptDelay,
    counters: Rc<Counters>,
    fleet: Option<Rc<Fleet<P>>>,
}

impl<P: Platform> ConnectionPool<P> {
    /// A pool of at most `most` connections, to machines that close what stands idle for `idle`.
    pub fn new(
        platform: P,
        most: usize,
        [idle, connect_timeout]: [Duration; 2],
        counters: Rc<Counters>,
        fleet: Option<Rc<Fleet<P>>>,
    ) -> Rc<ConnectionPool<P>> {
        Rc::new(ConnectionPool {
            platform,
            idle: RefCell::default(),
            taken: Cell::new(0),
            most,
            keep: Cell::new(kept(idle)),
            attempt_delay: AttemptDelay::new(connect_timeout),
            counters,
            fleet,
        })
    }

    /// New settings.
    pub fn apply_settings(&self, idle: Duration, connect_timeout: Duration) {
        self.keep.set(kept(idle));
        self.attempt_delay.set_connect_timeout(connect_timeout);
    }

    /// A connection to a backend server: the one used last, if any is sound, or a new one.
    pub async fn get(
        self: &Rc<Self>,
        to: EndpointId,
        address: SocketAddr,
        until: Instant,
    ) -> io::Result<PooledConnection<P>> {
        if let Some(stream) = self.reuse(to, address) {
            count(&self.counters.backend_reused);
            return Ok(PooledConnection { stream, address, _slot: PoolSlot::take(self) });
        }
        if !self.has_room() && !self.evict() {
            return Err(io::Error::other("too many connections"));
        }
        // The place is taken before the wait, or many waiting at once would pass the limit.
        let slot = PoolSlot::take(self);
        self.await_budget(until).await?;
        let until = until.min(self.platform.now() + self.attempt_delay.connect_timeout());
        let first = self.clone().connect(address, slot);
        // Only the first attempt may close idle connections to make room for itself.
        let further = || {
            self.has_room().then(|| {
                let (pool, slot) = (self.clone(), PoolSlot::take(self));
                async move {
                    pool.await_budget(until).await?;
                    pool.connect(address, slot).await
                }
            })
        };
        dial::race(&self.platform, until, self.attempt_delay.get(), first, further).await
    }

    /// Waits until the fleet's budget has room for a connection. Danger: a fleet that reconnects all at once would bring
    /// down what it reconnects to.
    async fn await_budget(&self, until: Instant) -> io::Result<()> {
        match &self.fleet {
            Some(fleet) if !fleet.wait_to_connect(until).await => {
                count(&self.counters.connections_barred);
                Err(io::ErrorKind::QuotaExceeded.into())
            }
            _ => Ok(()),
        }
    }

    /// One attempt at a new connection; the caller bounds it.
    async fn connect(
        self: Rc<Self>,
        address: SocketAddr,
        slot: PoolSlot<P>,
    ) -> io::Result<PooledConnection<P>> {
        let began = self.platform.now();
        let stream = self.platform.connect(address).await?;
        self.attempt_delay.learn(self.platform.since(began));
        enable_nodelay(&stream);
        count(&self.counters.backend_connections);
        Ok(PooledConnection { stream, address, _slot: slot })
    }

    fn has_room(&self) -> bool {
        self.taken.get() + self.idle_count() < self.most
    }

    fn reuse(&self, to: EndpointId, address: SocketAddr) -> Option<P::Stream> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&to)?;
        kept.retain(|c| c.address == address && self.platform.since(c.since) < self.keep.get());
        let settled =
            |kept: &Vec<Idle<P::Stream>>| kept.iter().rposition(|c| self.platform.since(c.since) >= SETTLE);
        while let Some(at) = settled(kept) {
            let stream = kept.remove(at).stream;
            if stream.is_idle() {
                return Some(stream);
            }
            count(&self.counters.backend_stale);
        }
        None
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn put(&self, to: EndpointId, lease: PooledConnection<P>) {
        let PooledConnection { stream, address, .. } = lease;
        let idle = Idle { stream, address, since: self.platform.now() };
        self.idle.borrow_mut().entry(to).or_default().push(idle);
    }

    /// Closes the idle connections to a backend server.
    pub fn close_idle(&self, to: EndpointId) {
        self.idle.borrow_mut().remove(&to);
    }

    /// The platform that the connections live on.
    pub fn platform(&self) -> &P {
        &self.platform
    }

    /// Closes what has stood idle for too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|c| self.platform.since(c.since) < self.keep.get());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the connection that has stood idle longest.
    fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter_mut().filter(|(_, kept)| !kept.is_empty()).min_by_key(|(_, k)| k[0].since);
        oldest.map(|(_, kept)| kept.remove(0)).is_some()
    }
}

/// How long a connection is kept where the other side closes what stands idle for `idle`. Danger: a request that crosses
/// that close ends as a reset that may have run, so none is written to a connection near its idle time.
fn kept(idle: Duration) -> Duration {
    idle.saturating_sub((idle / 8).max(Duration::from_millis(300)))
}

/// A place among the connections in use, given back when dropped.
struct PoolSlot<P: Platform>(Rc<ConnectionPool<P>>);

impl<P: Platform> PoolSlot<P> {
    fn take(pool: &Rc<ConnectionPool<P>>) -> PoolSlot<P> {
        pool.taken.set(pool.taken.get() + 1);
        PoolSlot(pool.clone())
    }
}

impl<P: Platform> Drop for PoolSlot<P> {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
    }
}
