//! A connection as the sidecar has it: the system's side with faults, and round it what the daemon puts round its own.

use crate::addressed::Addressed;
use crate::injected::Injected;
use crate::journal::Side;
use crate::platform::Faulty;
use cometcroft_platform::{Platform, RetryingStream, Stream};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection whose system calls fail by plan.
pub struct FaultyStream<P: Platform>(RetryingStream<Injected<P>>);

impl<P: Platform> fmt::Debug for FaultyStream<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl<P: Platform> FaultyStream<P>
where
    P::Stream: Addressed,
{
    pub(crate) fn new(platform: Faulty<P>, stream: P::Stream, side: Side) -> io::Result<FaultyStream<P>> {
        Ok(FaultyStream(Injected::new(platform, stream, side)?.into()))
    }
}

impl<P: Platform> Stream for FaultyStream<P>
where
    P::Stream: Addressed,
{
    fn set_nodelay(&self) -> io::Result<()> {
        self.0.get_ref().set_nodelay()
    }

    fn limit_unsent(&self, bytes: u32) -> io::Result<()> {
        self.0.get_ref().limit_unsent(bytes)
    }

    fn is_idle(&self) -> bool {
        self.0.get_ref().is_idle()
    }

    fn is_read_closed(&self) -> bool {
        self.0.get_ref().is_read_closed()
    }
}

impl<P: Platform> AsyncRead for FaultyStream<P>
where
    P::Stream: Addressed,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl<P: Platform> AsyncWrite for FaultyStream<P>
where
    P::Stream: Addressed,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
