//! A platform that counts what one member receives, sends and computes, and changes nothing else.

use crate::clock::thread_processor_time;
use crate::traffic::{Kind, Meter};
use cometcroft_platform::{Datagrams, Listener, Platform, Stream};
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A platform whose sockets and tasks report to a member's [`Meter`].
#[derive(Clone)]
pub struct Counted<P: Platform> {
    inner: P,
    meter: Rc<Meter>,
}

impl<P: Platform> Counted<P> {
    /// The same platform, counted by this meter.
    pub fn new(inner: P, meter: Rc<Meter>) -> Counted<P> {
        Counted { inner, meter }
    }

    /// A socket for datagrams that is counted as this member's.
    pub fn datagrams(&self, socket: P::Datagrams) -> CountedDatagrams<P> {
        CountedDatagrams { inner: socket, meter: self.meter.clone() }
    }

    /// A listening socket that is counted as this member's.
    pub fn listener(&self, listener: P::Listener) -> CountedListener<P> {
        CountedListener { inner: listener, meter: self.meter.clone() }
    }

    fn stream(&self, stream: P::Stream) -> CountedStream<P::Stream> {
        CountedStream::new(stream, self.meter.clone())
    }
}

impl<P: Platform> Platform for Counted<P> {
    type Stream = CountedStream<P::Stream>;
    type Listener = CountedListener<P>;
    type Datagrams = CountedDatagrams<P>;
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
        self.inner.spawn(Timed { work: Box::pin(task), meter: self.meter.clone() })
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<CountedStream<P::Stream>> {
        Ok(self.stream(self.inner.connect(to).await?))
    }

    async fn connect_from(&self, from: IpAddr, to: SocketAddr) -> io::Result<CountedStream<P::Stream>> {
        Ok(self.stream(self.inner.connect_from(from, to).await?))
    }
}

/// A task whose polls are timed by the thread's processor clock.
struct Timed<F> {
    work: Pin<Box<F>>,
    meter: Rc<Meter>,
}

impl<F: Future<Output = ()>> Future for Timed<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let before = thread_processor_time();
        let polled = self.work.as_mut().poll(context);
        self.meter.computed(thread_processor_time().saturating_sub(before));
        polled
    }
}

/// A socket for datagrams that counts them.
pub struct CountedDatagrams<P: Platform> {
    inner: P::Datagrams,
    meter: Rc<Meter>,
}

impl<P: Platform> Datagrams for CountedDatagrams<P> {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let (length, from) = self.inner.receive(buffer).await?;
        self.meter.received(Kind::of_datagram(&buffer[..length]), 1, length);
        Ok((length, from))
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.inner.send(bytes, to)?;
        self.meter.sent(Kind::of_datagram(bytes), 1, bytes.len());
        Ok(())
    }
}

/// A listening socket whose connections are counted.
pub struct CountedListener<P: Platform> {
    inner: P::Listener,
    meter: Rc<Meter>,
}

impl<P: Platform> Listener for CountedListener<P> {
    type Stream = CountedStream<P::Stream>;

    async fn accept(&self) -> io::Result<CountedStream<P::Stream>> {
        Ok(CountedStream::new(self.inner.accept().await?, self.meter.clone()))
    }
}

/// A connection that counts its bytes.
#[derive(Debug)]
pub struct CountedStream<S> {
    inner: S,
    meter: Rc<Meter>,
    /// Known once the first bytes have passed.
    kind: Option<Kind>,
    has_received: bool,
    has_sent: bool,
}

impl<S> CountedStream<S> {
    fn new(inner: S, meter: Rc<Meter>) -> CountedStream<S> {
        CountedStream { inner, meter, kind: None, has_received: false, has_sent: false }
    }

    fn kind(&mut self, passed: &[u8]) -> Kind {
        *self.kind.get_or_insert_with(|| Kind::of_stream(passed))
    }

    fn received(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            let kind = self.kind(bytes);
            let first = !std::mem::replace(&mut self.has_received, true);
            self.meter.received(kind, u64::from(first), bytes.len());
        }
    }

    fn sent(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            let kind = self.kind(bytes);
            let first = !std::mem::replace(&mut self.has_sent, true);
            self.meter.sent(kind, u64::from(first), bytes.len());
        }
    }
}

impl<S: Stream> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.received(&buffer.filled()[before..]);
        polled
    }
}

impl<S: Stream> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.sent(&bytes[..written]);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl<S: Stream> Stream for CountedStream<S> {
    fn set_nodelay(&self) -> io::Result<()> {
        self.inner.set_nodelay()
    }

    fn limit_unsent(&self, bytes: u32) -> io::Result<()> {
        self.inner.limit_unsent(bytes)
    }

    fn is_idle(&self) -> bool {
        self.inner.is_idle()
    }

    fn is_read_closed(&self) -> bool {
        self.inner.is_read_closed()
    }
}
