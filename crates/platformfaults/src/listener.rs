//! A listener whose `accept` fails by plan.

use crate::addressed::Addressed;
use crate::journal::Side;
use crate::platform::Faulty;
use crate::stream::FaultyStream;
use cometcroft_platform::{Listener, Platform, retry_interrupted};
use std::cell::RefCell;
use std::io;

/// A listener with faults. What could not be taken stays in its queue; dropped, it resets that as the system does.
pub struct FaultyListener<P: Platform> {
    platform: Faulty<P>,
    inner: P::Listener,
    /// The head of the queue: the system has it ready, and no call has taken it.
    next: RefCell<Option<P::Stream>>,
}

impl<P: Platform> FaultyListener<P>
where
    P::Stream: Addressed,
{
    pub(crate) fn new(platform: Faulty<P>, inner: P::Listener) -> FaultyListener<P> {
        FaultyListener { platform, inner, next: RefCell::new(None) }
    }

    async fn accept_once(&self) -> io::Result<FaultyStream<P>> {
        if self.next.borrow().is_none() {
            let next = self.inner.accept().await?;
            self.next.replace(Some(next));
        }
        let now = self.platform.now();
        if let Some((error, until)) = self.platform.draw.accept(now) {
            self.platform.journal.accept_failed(error, now, until);
            return Err(self.platform.failed("accept", error));
        }
        let stream = self.next.take().ok_or(io::ErrorKind::WouldBlock)?;
        FaultyStream::new(self.platform.clone(), stream, Side::Accepted)
    }
}

impl<P: Platform> Listener for FaultyListener<P>
where
    P::Stream: Addressed,
{
    type Stream = FaultyStream<P>;

    async fn accept(&self) -> io::Result<FaultyStream<P>> {
        retry_interrupted(|| self.accept_once()).await
    }
}
