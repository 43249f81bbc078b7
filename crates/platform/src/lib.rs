//! The one place through which a sidecar gets its sockets, its clock and its tasks.
//!
//! The network code is generic over [`Platform`]. The daemon runs it on [`Tokio`], where each call is the runtime's
//! own; the emulator runs the same code on a virtual clock and a simulated network. All times are
//! [`std::time::Instant`]; only their differences mean anything. `docs/design/seam.md` weighs the alternatives.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod resumed;
mod tokio_rt;

pub use resumed::{RetryingStream, retry_interrupted};
pub use tokio_rt::{LocalTask, Tokio};

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// A time-out struck before the work was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl std::fmt::Display for Elapsed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("deadline has elapsed")
    }
}

impl std::error::Error for Elapsed {}

impl From<Elapsed> for io::Error {
    fn from(_: Elapsed) -> io::Error {
        io::ErrorKind::TimedOut.into()
    }
}

/// A connection: ordered bytes both ways. Dropped, it is closed.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Debug + 'static {
    /// Sends small writes at once.
    fn set_nodelay(&self) -> io::Result<()>;
    /// Neither its end nor bytes that nobody asked for have come, as the socket itself tells now.
    fn is_idle(&self) -> bool;
    /// The peer has ended its sending, or the connection has broken, also where bytes that came before that are unread.
    fn is_read_closed(&self) -> bool;
}

/// A listening socket. Dropped, it takes no further connection.
pub trait Listener: 'static {
    /// What it accepts.
    type Stream: Stream;
    /// The next connection. Fails when descriptors have run out or the peer left at once; neither ends it.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// A socket for datagrams. Dropped, it is closed.
pub trait Datagrams: 'static {
    /// The next datagram, cut to the buffer, and whose it is.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
    /// Sends one at once or not at all; whether it arrives is never told.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// A running task. Awaited, it ends when the task is done or, after an abort, when what it held is dropped.
pub trait Task: Future<Output = ()> + Unpin + 'static {
    /// Ends the task at its next turn.
    fn abort(&self);
}

/// Sockets, clock and tasks of one process. Clones stand for the same process.
pub trait Platform: Clone + 'static {
    /// A connection.
    type Stream: Stream;
    /// A listening socket.
    type Listener: Listener<Stream = Self::Stream>;
    /// A socket for datagrams.
    type Datagrams: Datagrams;
    /// A running task.
    type Task: Task;

    /// The monotonic clock.
    fn now(&self) -> Instant;
    /// The time since the Unix epoch.
    fn unix(&self) -> Duration;
    /// Waits until the clock shows `at`.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + 'static;
    /// Runs a task on this thread.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;
    /// Opens a connection. Never ends where the other side is silent; callers bound it.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// The same, from an address of this machine that the other side is to see.
    fn connect_from(&self, from: IpAddr, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Runs a task that nobody waits for and that ends by itself.
    fn detach(&self, task: impl Future<Output = ()> + 'static) {
        drop(self.spawn(task));
    }

    /// Time that has passed since then.
    fn since(&self, then: Instant) -> Duration {
        self.now().saturating_duration_since(then)
    }

    /// Waits for so long.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()> + 'static {
        self.sleep_until(self.now() + time)
    }

    /// The work's result, or [`Elapsed`] if it is not done at `at`. Work that is done in that instant counts.
    fn timeout_at<F: Future>(
        &self,
        at: Instant,
        work: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        let late = self.sleep_until(at);
        async move {
            tokio::select! {
                biased;
                done = work => Ok(done),
                () = late => Err(Elapsed),
            }
        }
    }

    /// The work's result, or [`Elapsed`] if it takes longer than `time`.
    fn timeout<F: Future>(
        &self,
        time: Duration,
        work: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + time, work)
    }
}
