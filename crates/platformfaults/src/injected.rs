//! The system's side of a connection: its reads and writes fail by plan, below what the daemon puts round them.

use crate::addressed::Addressed;
use crate::draw::{Pause, Transfer, pause};
use crate::journal::Side;
use crate::platform::Faulty;
use cometcroft_platform::{Platform, Stream};
use rustix::io::Errno;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection whose calls fail. Once broken it stays so: what it was is closed, reads find its end, and writes a broken
/// pipe.
pub(crate) struct Injected<P: Platform> {
    platform: Faulty<P>,
    number: usize,
    /// `None` once it is broken.
    stream: Option<P::Stream>,
    read_pause: Option<Pause>,
    write_pause: Option<Pause>,
}

/// Nothing in it is pinned in place.
impl<P: Platform> Unpin for Injected<P> {}

impl<P: Platform> fmt::Debug for Injected<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Injected({}, {:?})", self.number, self.stream)
    }
}

impl<P: Platform> Injected<P>
where
    P::Stream: Addressed,
{
    pub(crate) fn new(platform: Faulty<P>, stream: P::Stream, side: Side) -> io::Result<Injected<P>> {
        let (local, peer) = (stream.local()?, stream.peer()?);
        let number = platform.journal.opened(side, local, peer, platform.now());
        Ok(Injected { platform, number, stream: Some(stream), read_pause: None, write_pause: None })
    }

    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        let Some(stream) = &self.stream else { return Err(Errno::INVAL.into()) };
        if let Some(error) = self.platform.draw.nodelay() {
            return Err(self.platform.failed("nodelay", error));
        }
        stream.set_nodelay()
    }

    pub(crate) fn limit_unsent(&self, bytes: u32) -> io::Result<()> {
        let Some(stream) = &self.stream else { return Err(Errno::INVAL.into()) };
        stream.limit_unsent(bytes)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.stream.as_ref().is_some_and(Stream::is_idle)
    }

    pub(crate) fn is_read_closed(&self) -> bool {
        self.stream.as_ref().is_none_or(Stream::is_read_closed)
    }

    fn break_with(&mut self, call: &'static str, error: Errno) -> io::Error {
        self.platform.journal.broke(self.number, error, self.platform.now());
        self.stream = None;
        self.platform.failed(call, error)
    }

    fn interrupted(&self, call: &'static str) -> io::Error {
        self.platform.failed(call, Errno::INTR)
    }
}

impl<P: Platform> AsyncRead for Injected<P>
where
    P::Stream: Addressed,
{
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut drawn = Transfer::Plain;
        match &mut this.read_pause {
            Some(waits) => {
                ready!(waits.as_mut().poll(context));
                this.read_pause = None;
            }
            None => drawn = this.platform.draw.read(),
        }
        if this.stream.is_none() || buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        match drawn {
            Transfer::Interrupted => return Poll::Ready(Err(this.interrupted("read"))),
            Transfer::Broken(error) => return Poll::Ready(Err(this.break_with("read", error))),
            Transfer::Lacking(error) => return Poll::Ready(Err(this.platform.failed("read", error))),
            Transfer::NotReady(time) => {
                let mut waits = pause(&this.platform.inner, time);
                if waits.as_mut().poll(context).is_pending() {
                    this.read_pause = Some(waits);
                    return Poll::Pending;
                }
            }
            Transfer::Plain | Transfer::OneByte => {}
        }
        let Some(stream) = &mut this.stream else { return Poll::Ready(Ok(())) };
        let before = buffer.filled().len();
        if drawn == Transfer::OneByte {
            let mut byte = [0];
            let mut one = ReadBuf::new(&mut byte);
            ready!(Pin::new(stream).poll_read(context, &mut one))?;
            buffer.put_slice(one.filled());
        } else {
            ready!(Pin::new(stream).poll_read(context, buffer))?;
        }
        let read = buffer.filled().len() - before;
        if read > 0 {
            this.platform.journal.read(this.number, read, this.platform.now());
        }
        Poll::Ready(Ok(()))
    }
}

impl<P: Platform> AsyncWrite for Injected<P>
where
    P::Stream: Addressed,
{
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut drawn = Transfer::Plain;
        match &mut this.write_pause {
            Some(waits) => {
                ready!(waits.as_mut().poll(context));
                this.write_pause = None;
            }
            None => drawn = this.platform.draw.write(),
        }
        if this.stream.is_none() {
            return Poll::Ready(Err(Errno::PIPE.into()));
        }
        match drawn {
            Transfer::Interrupted => return Poll::Ready(Err(this.interrupted("write"))),
            Transfer::Broken(error) => return Poll::Ready(Err(this.break_with("write", error))),
            Transfer::Lacking(error) => return Poll::Ready(Err(this.platform.failed("write", error))),
            Transfer::NotReady(time) => {
                let mut waits = pause(&this.platform.inner, time);
                if waits.as_mut().poll(context).is_pending() {
                    this.write_pause = Some(waits);
                    return Poll::Pending;
                }
            }
            Transfer::Plain | Transfer::OneByte => {}
        }
        let Some(stream) = &mut this.stream else { return Poll::Ready(Err(Errno::PIPE.into())) };
        let most = if drawn == Transfer::OneByte { bytes.len().min(1) } else { bytes.len() };
        Pin::new(stream).poll_write(context, &bytes[..most])
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_flush(context),
            None => Poll::Ready(Err(Errno::PIPE.into())),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.platform.journal.shut(self.number, self.platform.now());
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_shutdown(context),
            None => Poll::Ready(Err(Errno::NOTCONN.into())),
        }
    }
}

impl<P: Platform> Drop for Injected<P> {
    fn drop(&mut self) {
        self.platform.journal.dropped(self.number, self.platform.inner.now());
    }
}
