//! The sidecar's platform on the kernel: the same network code, on the virtual clock and the simulated network.

use crate::kernel::{Kernel, Pid, Running, Sleep};
use crate::net::{ConnId, HostId, Owner, Side};
use cometcroft_platform::{Datagrams, Listener, Platform, Stream};
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The Unix time at which every run begins.
pub const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// Discovery listens at this port, wherever it is.
pub const DISCOVERY_PORT: u16 = 8500;

/// Sockets, clock and tasks of one emulated process.
pub struct Emulated<E> {
    kernel: Rc<Kernel<E>>,
    pid: Pid,
    host: HostId,
    /// Planted defects: its clock's pace, whether what a server writes goes out twice, whether it hears of drains.
    pace: f64,
    twice: bool,
    deaf: bool,
    /// A planted defect: what discovery sends is read so much later.
    hears_late: Duration,
    /// Processor time in nanoseconds that a byte of discovery's answers takes.
    list_cost: f64,
}

impl<E> Clone for Emulated<E> {
    fn clone(&self) -> Self {
        Emulated { kernel: self.kernel.clone(), ..*self }
    }
}

impl<E: 'static> Emulated<E> {
    /// The platform of a process on a host.
    pub fn new(kernel: Rc<Kernel<E>>, pid: Pid, host: HostId) -> Self {
        Emulated {
            kernel,
            pid,
            host,
            pace: 1.0,
            twice: false,
            deaf: false,
            hears_late: Duration::ZERO,
            list_cost: 0.0,
        }
    }

    /// What discovery sends takes so many nanoseconds of this process' time a byte.
    pub fn charge_lists(&mut self, nanos_a_byte: f64) {
        self.list_cost = nanos_a_byte;
    }

    /// A planted defect: what discovery sends is read so much later than it came.
    pub fn hear_late(&mut self, by: Duration) {
        self.hears_late = by;
    }

    /// A planted defect: its clock runs at this pace.
    pub fn run_slow(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// A planted defect: it reads that nodes are up where it is told that they drain.
    pub fn ignore_drains(&mut self) {
        self.deaf = true;
    }

    /// A planted defect: whatever it writes to clients goes out twice.
    pub fn write_twice(&mut self) {
        self.twice = true;
    }

    /// Opens a socket for datagrams.
    pub fn datagrams(&self, at: SocketAddr) -> EmulatedDatagrams<E> {
        self.kernel.with_net(|net| net.bind(at, self.pid, self.host));
        EmulatedDatagrams { platform: self.clone(), at }
    }

    fn stream(&self, conn: ConnId, side: Side, peer: Peer) -> EmulatedStream<E> {
        EmulatedStream {
            kernel: self.kernel.clone(),
            pid: self.pid,
            conn,
            side,
            peer,
            twice: false,
            deaf: false,
            hears_late: self.hears_late,
            list_cost: self.list_cost,
            late: None,
            was_held_up: false,
        }
    }

    /// Listens at an address.
    pub fn listen(&self, at: SocketAddr) -> EmulatedListener<E> {
        self.kernel.with_net(|net| net.listen(at, Owner::Process(self.pid), self.host, 128));
        EmulatedListener { platform: self.clone(), at }
    }
}

/// A connection of an emulated process.
pub struct EmulatedStream<E> {
    kernel: Rc<Kernel<E>>,
    pid: Pid,
    conn: ConnId,
    side: Side,
    peer: Peer,
    twice: bool,
    deaf: bool,
    hears_late: Duration,
    list_cost: f64,
    /// Until then what has come is not read.
    late: Option<Pin<Box<Sleep<E>>>>,
    /// The write that goes on now was held up before its first byte.
    was_held_up: bool,
}

/// Who is on the other side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peer {
    Client,
    Node,
    Discovery,
}

impl Peer {
    /// Whoever listens at this address.
    fn at(address: SocketAddr) -> Peer {
        if address.port() == DISCOVERY_PORT { Peer::Discovery } else { Peer::Node }
    }
}

impl<E> EmulatedStream<E> {
    /// Whether what has come is to be read later, as a planted defect has it.
    fn waits_to_read(&mut self, cx: &mut Context<'_>) -> bool {
        if self.hears_late.is_zero() || self.peer != Peer::Discovery {
            return false;
        }
        if !self.kernel.net.borrow().has_come(self.conn, self.side) {
            self.late = None;
            return false;
        }
        let (kernel, by) = (&self.kernel, self.hears_late.as_nanos() as u64);
        let late = self.late.get_or_insert_with(|| Box::pin(kernel.sleep_until(kernel.now() + by)));
        late.as_mut().poll(cx).is_pending()
    }

    /// What was read of discovery's answer takes its time.
    fn charge(&self, read: usize) {
        if self.list_cost > 0.0 && self.peer == Peer::Discovery {
            self.kernel.hold_up(self.pid, (read as f64 * self.list_cost) as u64);
        }
    }
}

impl<E> fmt::Debug for EmulatedStream<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}/{}", self.conn, self.side)
    }
}

impl<E> Drop for EmulatedStream<E> {
    fn drop(&mut self) {
        self.kernel.with_net(|net| net.close(self.conn, self.side));
    }
}

impl<E> AsyncRead for EmulatedStream<E> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        if self.waits_to_read(cx) {
            return Poll::Pending;
        }
        let read = self.kernel.net.borrow_mut().read(self.conn, self.side, buf.remaining(), cx.waker());
        match read {
            None => Poll::Pending,
            Some(Err(error)) => Poll::Ready(Err(error)),
            Some(Ok(bytes)) if self.deaf => {
                let text = String::from_utf8_lossy(&bytes).replace("\"draining\"", "\"up\"      ");
                // What is no text is passed on as it came.
                buf.put_slice(if text.len() == bytes.len() { text.as_bytes() } else { &bytes });
                Poll::Ready(Ok(()))
            }
            Some(Ok(bytes)) => {
                self.charge(bytes.len());
                buf.put_slice(&bytes);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl<E> AsyncWrite for EmulatedStream<E> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // A write is held up once at most, so for no longer than one pause.
        let held_up = std::mem::take(&mut self.was_held_up);
        if self.peer == Peer::Node && !held_up && self.kernel.stops_before_write(self.pid) {
            self.was_held_up = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let wrote = self.kernel.with_net(|net| {
            if self.twice && self.side == 1 {
                let _ = net.write(self.conn, self.side, buf, cx.waker());
            }
            net.write(self.conn, self.side, buf, cx.waker())
        });
        wrote.map_or(Poll::Pending, Poll::Ready)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.kernel.with_net(|net| net.fin(self.conn, self.side));
        Poll::Ready(Ok(()))
    }
}

impl<E: 'static> Stream for EmulatedStream<E> {
    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    fn limit_unsent(&self, _bytes: u32) -> io::Result<()> {
        Ok(())
    }

    fn is_idle(&self) -> bool {
        // Danger: a sidecar that saw that something had come would hold requests back until it has read that.
        let is_hidden = !self.hears_late.is_zero() && self.peer == Peer::Discovery;
        let quiet = self.kernel.net.borrow_mut().quiet(self.conn, self.side);
        quiet || is_hidden
    }

    fn is_read_closed(&self) -> bool {
        self.kernel.net.borrow().has_ended(self.conn, self.side)
    }
}

/// A listening socket of an emulated process.
pub struct EmulatedListener<E: 'static> {
    platform: Emulated<E>,
    at: SocketAddr,
}

impl<E: 'static> Drop for EmulatedListener<E> {
    fn drop(&mut self) {
        let platform = &self.platform;
        // The address may have passed to another life of the sidecar.
        if platform.kernel.net.borrow().alive(platform.pid) {
            platform.kernel.with_net(|net| net.unlisten(self.at));
        }
    }
}

impl<E: 'static> Listener for EmulatedListener<E> {
    type Stream = EmulatedStream<E>;
    async fn accept(&self) -> io::Result<EmulatedStream<E>> {
        let platform = &self.platform;
        let conn = poll_fn(|cx| {
            let next = platform.kernel.net.borrow_mut().accept(self.at, platform.pid, cx.waker());
            next.map_or(Poll::Pending, Poll::Ready)
        })
        .await?;
        let mut stream = platform.stream(conn, 1, Peer::Client);
        stream.twice = platform.twice;
        Ok(stream)
    }
}

/// A socket for datagrams of an emulated process.
pub struct EmulatedDatagrams<E: 'static> {
    platform: Emulated<E>,
    at: SocketAddr,
}

impl<E: 'static> Drop for EmulatedDatagrams<E> {
    fn drop(&mut self) {
        let platform = &self.platform;
        platform.kernel.with_net(|net| net.unbind(self.at, platform.pid));
    }
}

impl<E: 'static> Datagrams for EmulatedDatagrams<E> {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let net = &self.platform.kernel.net;
        let (from, bytes) = poll_fn(|cx| {
            let next = net.borrow_mut().take_datagram(self.at, cx.waker());
            next.map_or(Poll::Pending, Poll::Ready)
        })
        .await;
        let taken = bytes.len().min(buffer.len());
        buffer[..taken].copy_from_slice(&bytes[..taken]);
        Ok((taken, from))
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let (at, host) = (self.at, self.platform.host);
        self.platform.kernel.with_net(|net| net.send_datagram(at, host, to, bytes));
        Ok(())
    }
}

impl<E: 'static> Platform for Emulated<E> {
    type Stream = EmulatedStream<E>;
    type Listener = EmulatedListener<E>;
    type Datagrams = EmulatedDatagrams<E>;
    type Task = Running;

    fn now(&self) -> Instant {
        if self.pace == 1.0 { self.kernel.instant() } else { self.kernel.instant_at(self.pace) }
    }

    fn unix(&self) -> Duration {
        EPOCH + Duration::from_nanos(self.kernel.now())
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + 'static {
        let at = self.kernel.nanos(at);
        // Danger: a timer that fires a hair before its own clock shows the time would be set again in that instant, for ever.
        let at = if self.pace == 1.0 { at } else { (at as f64 / self.pace).ceil() as u64 + 2 };
        let sleep: Sleep<E> = self.kernel.sleep_until(at);
        sleep
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Running {
        self.kernel.spawn(self.pid, task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<EmulatedStream<E>> {
        let opened = self.kernel.with_net(|net| net.connect(Owner::Process(self.pid), self.host, to));
        // Whoever stops waiting drops the stream, and with it the attempt.
        let mut stream = self.stream(opened?, 0, Peer::at(to));
        stream.deaf = self.deaf;
        poll_fn(|cx| {
            let up = self.kernel.with_net(|net| net.opened(stream.conn, cx.waker()));
            up.map_or(Poll::Pending, Poll::Ready)
        })
        .await?;
        Ok(stream)
    }

    async fn connect_from(&self, _: IpAddr, to: SocketAddr) -> io::Result<EmulatedStream<E>> {
        // A host has one machine's address here: the network knows who connects.
        self.connect(to).await
    }
}
