//! A datagram socket whose calls fail by plan.

use crate::addressed::Addressed;
use crate::platform::Faulty;
use cometcroft_platform::{Datagrams, Platform, retry_interrupted};
use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;

/// A datagram socket with faults.
pub struct FaultyDatagrams<P: Platform> {
    platform: Faulty<P>,
    inner: P::Datagrams,
}

impl<P: Platform> FaultyDatagrams<P>
where
    P::Stream: Addressed,
{
    pub(crate) fn new(platform: Faulty<P>, inner: P::Datagrams) -> FaultyDatagrams<P> {
        FaultyDatagrams { platform, inner }
    }
}

impl<P: Platform> Datagrams for FaultyDatagrams<P>
where
    P::Stream: Addressed,
{
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        if let Some(wait) = self.platform.draw.receive_wait() {
            self.platform.inner.sleep(wait).await;
        }
        retry_interrupted(async || match self.platform.draw.receive() {
            Some(error) => Err(self.platform.failed("receive", error)),
            None => Ok(()),
        })
        .await?;
        self.inner.receive(buffer).await
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        loop {
            match self.platform.draw.send() {
                // As in the daemon: what a signal interrupts is made again.
                Some(Errno::INTR) => drop(self.platform.failed("send", Errno::INTR)),
                Some(error) => return Err(self.platform.failed("send", error)),
                None => return self.inner.send(bytes, to),
            }
        }
    }
}
