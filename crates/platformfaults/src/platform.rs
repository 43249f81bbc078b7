//! The platform itself: another one with faults.

use crate::addressed::Addressed;
use crate::datagrams::FaultyDatagrams;
use crate::draw::Draw;
use crate::journal::{Journal, Side};
use crate::listener::FaultyListener;
use crate::plan::Plan;
use crate::stream::FaultyStream;
use cometcroft_platform::{Platform, retry_interrupted};
use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A platform whose calls fail by plan. Clones stand for the same process.
#[derive(Debug, Clone)]
pub struct Faulty<P> {
    pub(crate) inner: P,
    pub(crate) draw: Rc<Draw>,
    pub(crate) journal: Journal,
}

impl<P: Platform> Faulty<P>
where
    P::Stream: Addressed,
{
    /// This platform with faults, none before [`Faulty::activate`].
    pub fn new(inner: P, plan: Plan) -> Faulty<P> {
        Faulty { inner, draw: Rc::new(Draw::new(plan)), journal: Journal::default() }
    }

    /// Whether calls fail from now on.
    pub fn activate(&self, active: bool) {
        self.draw.activate(active);
        if !active {
            self.journal.calmed(self.now());
        }
    }

    /// What it did.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// A listener of the platform within.
    pub fn listener(&self, listener: P::Listener) -> FaultyListener<P> {
        FaultyListener::new(self.clone(), listener)
    }

    /// A datagram socket of the platform within.
    pub fn datagrams(&self, socket: P::Datagrams) -> FaultyDatagrams<P> {
        FaultyDatagrams::new(self.clone(), socket)
    }

    pub(crate) fn failed(&self, call: &'static str, error: Errno) -> io::Error {
        self.journal.injected(call, format!("{error:?}"));
        error.into()
    }

    async fn connect_once(
        &self,
        connect: impl Future<Output = io::Result<P::Stream>>,
    ) -> io::Result<FaultyStream<P>> {
        self.journal.connects();
        if let Some(failure) = self.draw.connect(self.now()) {
            if !failure.after.is_zero() {
                self.inner.sleep(failure.after).await;
            }
            return Err(self.failed("connect", failure.error));
        }
        FaultyStream::new(self.clone(), connect.await?, Side::Connected)
    }
}

impl<P: Platform> Platform for Faulty<P>
where
    P::Stream: Addressed,
{
    type Stream = FaultyStream<P>;
    type Listener = FaultyListener<P>;
    type Datagrams = FaultyDatagrams<P>;
    type Task = P::Task;

    fn now(&self) -> Instant {
        self.inner.now()
    }

    fn unix(&self) -> Duration {
        self.inner.unix()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + 'static {
        self.inner.sleep_until(at)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> P::Task {
        self.inner.spawn(task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<FaultyStream<P>> {
        retry_interrupted(|| self.connect_once(self.inner.connect(to))).await
    }

    async fn connect_from(&self, from: IpAddr, to: SocketAddr) -> io::Result<FaultyStream<P>> {
        retry_interrupted(|| self.connect_once(self.inner.connect_from(from, to))).await
    }
}
