//! Draws which call fails, and how.

use crate::plan::{Lasting, Plan, Rate, TransferFaults};
use cometcroft_platform::Platform;
use fastrand::Rng;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// What one read or write does in place of what it would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Transfer {
    /// Nothing out of the ordinary.
    Plain,
    /// It is interrupted.
    Interrupted,
    /// It transfers one byte.
    OneByte,
    /// It finds the socket not ready; the runtime hears so much later that it is.
    NotReady(Duration),
    /// Its connection is broken and stays so.
    Broken(Errno),
    /// It fails and may be made again.
    Lacking(Errno),
}

/// What one connection attempt does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectFailure {
    pub error: Errno,
    pub after: Duration,
}

/// The draws of one platform; shared by all its sockets.
#[derive(Debug)]
pub(crate) struct Draw {
    plan: Plan,
    rng: RefCell<Rng>,
    active: Cell<bool>,
    accept_lack: Cell<Option<Lack>>,
    connect_lack: Cell<Option<Lack>>,
}

/// A lack that lasts until then, and the error of calls meanwhile.
type Lack = (Instant, Errno);

impl Draw {
    pub(crate) fn new(plan: Plan) -> Draw {
        let rng = RefCell::new(Rng::with_seed(plan.seed));
        let (accept_lack, connect_lack) = (Cell::new(None), Cell::new(None));
        Draw { plan, rng, active: Cell::new(false), accept_lack, connect_lack }
    }

    /// Whether calls fail from now on.
    pub(crate) fn activate(&self, active: bool) {
        self.active.set(active);
        if !active {
            self.accept_lack.set(None);
            self.connect_lack.set(None);
        }
    }

    fn hits(&self, rate: Rate) -> bool {
        self.active.get() && rate > 0.0 && self.rng.borrow_mut().f64() < rate
    }

    fn one_of(&self, errors: &[Errno]) -> Errno {
        let at = self.rng.borrow_mut().usize(..errors.len().max(1));
        errors.get(at).copied().unwrap_or(Errno::IO)
    }

    fn time(&self, [from, to]: [Duration; 2]) -> Duration {
        from + to.saturating_sub(from).mul_f64(self.rng.borrow_mut().f64())
    }

    /// The lack that lasts now, or one that begins now.
    fn lack(&self, current: &Cell<Option<Lack>>, lasting: Option<&Lasting>, now: Instant) -> Option<Lack> {
        if let Some(lack) = current.get().filter(|(until, _)| now < *until) {
            return Some(lack);
        }
        let begins = lasting.filter(|lasting| self.hits(lasting.rate));
        let lack = begins.map(|lasting| (now + self.time(lasting.time), self.one_of(&lasting.errors)));
        current.set(lack);
        lack
    }

    /// The error of a call of `accept` that has a connection to take; with the end of the lack where that lasts.
    pub(crate) fn accept(&self, now: Instant) -> Option<(Errno, Option<Instant>)> {
        let faults = &self.plan.accept;
        if let Some((until, error)) = self.lack(&self.accept_lack, faults.lasting.as_ref(), now) {
            return Some((error, Some(until)));
        }
        self.hits(faults.rate).then(|| (self.one_of(&faults.errors), None))
    }

    /// The error of a call of `connect`.
    pub(crate) fn connect(&self, now: Instant) -> Option<ConnectFailure> {
        let faults = &self.plan.connect;
        if let Some((_, error)) = self.lack(&self.connect_lack, faults.lasting.as_ref(), now) {
            return Some(ConnectFailure { error, after: Duration::ZERO });
        }
        if !self.hits(faults.rate) {
            return None;
        }
        let error = self.one_of(&faults.errors);
        let remote = matches!(error, Errno::CONNREFUSED | Errno::HOSTUNREACH | Errno::TIMEDOUT);
        let after = if remote { self.time([Duration::ZERO, faults.longest_wait]) } else { Duration::ZERO };
        Some(ConnectFailure { error, after })
    }

    /// The error of a call that sets `TCP_NODELAY`.
    pub(crate) fn nodelay(&self) -> Option<Errno> {
        self.hits(self.plan.nodelay.rate).then(|| self.one_of(&self.plan.nodelay.errors))
    }

    /// What a read does.
    pub(crate) fn read(&self) -> Transfer {
        self.transfer(&self.plan.read)
    }

    /// What a write does.
    pub(crate) fn write(&self) -> Transfer {
        self.transfer(&self.plan.write)
    }

    fn transfer(&self, faults: &TransferFaults) -> Transfer {
        if self.hits(faults.broken) {
            return Transfer::Broken(self.one_of(&faults.breaking));
        }
        if self.hits(faults.lacking) {
            return Transfer::Lacking(self.one_of(&faults.lacks));
        }
        if self.hits(faults.interrupted) {
            return Transfer::Interrupted;
        }
        if self.hits(faults.not_ready) {
            return Transfer::NotReady(self.time([Duration::ZERO, faults.longest_wait]));
        }
        if self.hits(faults.one_byte) { Transfer::OneByte } else { Transfer::Plain }
    }

    /// The error of a call that receives a datagram.
    pub(crate) fn receive(&self) -> Option<Errno> {
        let faults = &self.plan.datagrams;
        self.hits(faults.rate).then(|| self.one_of(&faults.receive))
    }

    /// How long a call that receives a datagram finds nothing.
    pub(crate) fn receive_wait(&self) -> Option<Duration> {
        let faults = &self.plan.datagrams;
        self.hits(faults.not_ready).then(|| self.time([Duration::ZERO, faults.longest_wait]))
    }

    /// The error of a call that sends a datagram.
    pub(crate) fn send(&self) -> Option<Errno> {
        let faults = &self.plan.datagrams;
        self.hits(faults.rate).then(|| self.one_of(&faults.send))
    }
}

/// A sleep that a stream can hold.
pub(crate) type Pause = std::pin::Pin<Box<dyn Future<Output = ()>>>;

/// A pause of this length on this platform.
pub(crate) fn pause(platform: &impl Platform, time: Duration) -> Pause {
    Box::pin(platform.sleep(time))
}
