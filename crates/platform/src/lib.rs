//! The sockets, the clock and the tasks of a sidecar, behind the trait [`Platform`].
//!
//! The network code is generic over [`Platform`] and has no other access to them. The sidecar's program uses [`Tokio`],
//! which calls the tokio runtime directly; the emulator runs the same code on a virtual clock and a simulated network.
//! All times are [`std::time::Instant`]; only differences between them are meaningful. `docs/design/seam.md` compares
//! the alternatives.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod retrying_stream;
mod tokio_rt;

pub use retrying_stream::{RetryingStream, retry_interrupted};
pub use tokio_rt::{LocalTask, Tokio};

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// Error: an operation was not done before its timeout.
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

/// A connection: an ordered byte stream in each direction. Closed when dropped.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Debug + 'static {
    /// Sends small writes without delay (`TCP_NODELAY`).
    fn set_nodelay(&self) -> io::Result<()>;
    /// Limits the bytes that the system accepts for the other side before it can send them (`TCP_NOTSENT_LOWAT`, see
    /// `tcp(7)`). A write then makes progress as the other side reads; without the limit, it waits until the other side has
    /// read a large part of the send buffer. Fails where the system does not support it.
    fn limit_unsent(&self, bytes: u32) -> io::Result<()>;
    /// True if the socket currently has neither unread bytes nor an end of stream nor an error.
    fn is_idle(&self) -> bool;
    /// True if the other side has closed its sending direction or the connection has failed, even if earlier bytes are
    /// still unread.
    fn is_read_closed(&self) -> bool;
}

/// A listening socket. Closed when dropped.
pub trait Listener: 'static {
    /// The type of the accepted connections.
    type Stream: Stream;
    /// Accepts the next connection. Fails if the process has no descriptors left or the other side has already
    /// disconnected; the listener remains usable after either.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// A datagram socket. Closed when dropped.
pub trait Datagrams: 'static {
    /// Receives the next datagram, truncated to the buffer. Returns its length and its sender.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
    /// Sends a datagram without waiting, or fails. Delivery is not reported.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// A spawned task. As a future, it completes when the task is done or, after an abort, when the task's values are
/// dropped. Dropping it does not stop the task.
pub trait Task: Future<Output = ()> + Unpin + 'static {
    /// Stops the task when it is next scheduled.
    fn abort(&self);
}

/// Sockets, clock and tasks of one process. Clones belong to the same process.
pub trait Platform: Clone + 'static {
    /// The type of connections.
    type Stream: Stream;
    /// The type of listening sockets.
    type Listener: Listener<Stream = Self::Stream>;
    /// The type of datagram sockets.
    type Datagrams: Datagrams;
    /// The type of spawned tasks.
    type Task: Task;

    /// The time of the monotonic clock.
    fn now(&self) -> Instant;
    /// The time since the Unix epoch.
    fn unix(&self) -> Duration;
    /// Waits until the monotonic clock reaches `at`.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + 'static;
    /// Starts a task on this thread.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;
    /// Opens a connection. Has no timeout of its own: if the other side does not respond, the caller has to give up.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Opens a connection whose local address is `from`, an address of this machine.
    fn connect_from(&self, from: IpAddr, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Starts a task that is not awaited and ends by itself.
    fn detach(&self, task: impl Future<Output = ()> + 'static) {
        drop(self.spawn(task));
    }

    /// Time that has passed since `then`; zero if `then` is in the future.
    fn since(&self, then: Instant) -> Duration {
        self.now().saturating_duration_since(then)
    }

    /// Waits for `time`.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()> + 'static {
        self.sleep_until(self.now() + time)
    }

    /// The result of `work`, or [`Elapsed`] if it is not done by `at`. Work that is done at that very instant is in time.
    fn timeout_at<F: Future>(
        &self,
        at: Instant,
        work: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        let deadline = self.sleep_until(at);
        async move {
            tokio::select! {
                biased;
                result = work => Ok(result),
                () = deadline => Err(Elapsed),
            }
        }
    }

    /// The result of `work`, or [`Elapsed`] if it takes longer than `time`.
    fn timeout<F: Future>(
        &self,
        time: Duration,
        work: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + time, work)
    }
}
