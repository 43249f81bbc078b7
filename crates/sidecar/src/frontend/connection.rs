//! Reading: what a client connection brings, and how long it has for that.

use super::response::close_gracefully;
use super::{ConnectionSlot, Frontend, HttpTransport, StreamOf, WaitingConnection};
use crate::counters::count;
use crate::http::server::{Connection, Status, Step};
use crate::lifecycle::LifecycleState;
use crate::sockets::enable_nodelay;
use crate::upload::{ReadTimeout, Upload};
use cometcroft_platform::{Platform, Stream};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// A request is whole so long after its connection or its first byte came, or it is turned away.
const UNREADY: Duration = Duration::from_millis(2600);
/// Bytes that the socket has and the runtime has not heard of are read after this time.
const BETWEEN_READS: Duration = Duration::from_millis(1);
/// A connection is not closed as idle so soon after it came.
const GRACE: Duration = Duration::from_millis(300);

impl<T: HttpTransport> Frontend<T> {
    pub(super) async fn connection(
        &self,
        mut stream: StreamOf<T>,
        seat: &mut ConnectionSlot<T>,
    ) -> io::Result<()> {
        enable_nodelay(&stream);
        let mut machine = Connection::default();
        let connected = self.platform.now();
        let (mut since, mut first) = (connected, true);
        // When the last bytes came: the time of a request counts from its last byte.
        let mut last = connected;
        let mut patience = ReadTimeout::new(connected);
        // Places that lie evenly, however many there are: multiples of the golden ratio.
        let place = (self.turn.replace(self.turn.get() + 1) as f64 * 0.618_033_988_749_895).fract();
        while !machine.is_closed() {
            match machine.step() {
                Step::More => {
                    let idle = machine.is_idle();
                    let owes = if first { Some(connected) } else { (!idle).then_some(since) };
                    let now = self.platform.now();
                    // A head has its time; a body has as long as it goes on coming.
                    let body = machine.is_reading_body();
                    let until = if body { patience.start_wait(now) } else { owes.unwrap_or(now) + UNREADY };
                    match self.read(&mut stream, &mut machine, owes, until, place).await? {
                        Read::Bytes(bytes) => {
                            last = self.platform.now();
                            if idle {
                                since = last;
                            }
                            if body {
                                patience.end_wait(last, bytes);
                            } else {
                                patience = ReadTimeout::new(last);
                            }
                        }
                        Read::Closed => return Ok(()),
                        // A request lies there unread: it is served first. Danger: the runtime may not have heard of it yet,
                        // and does not before this task waits.
                        Read::ShuttingDown | Read::Evicted if !stream.is_idle() => {
                            self.platform.sleep(BETWEEN_READS).await;
                        }
                        // Danger: a request may come in this moment. It is not read as one any more, but a close over
                        // unread bytes would be a reset, and might take the last answer along.
                        Read::ShuttingDown => return self.farewell(&mut stream, &machine).await,
                        Read::Evicted => {
                            return if seat.lingers() {
                                self.farewell(&mut stream, &machine).await
                            } else {
                                Ok(())
                            };
                        }
                        Read::TimedOut if idle => return self.farewell(&mut stream, &machine).await,
                        Read::TimedOut => {
                            let status = Status::RequestTimeout;
                            self.reply(&mut stream, &mut machine, status, "", b"", true).await?;
                        }
                    }
                }
                Step::Continue(bytes) => stream.write_all(bytes).await?,
                step @ (Step::Request(_) | Step::Upload(..)) => {
                    first = false;
                    let (request, length) = match step {
                        Step::Upload(request, length) => (request, Some(length)),
                        Step::Request(request) => (request, None),
                        _ => return Ok(()),
                    };
                    let upload = length.map(|length| Upload::new(self.budget.clone(), length));
                    match self.request(&mut stream, &mut machine, request, upload, last).await? {
                        // Danger: what came early has waited since then, and its budget has run.
                        Some(early) => (since, last) = (early, early),
                        None => return Ok(()),
                    }
                }
                Step::Reject(status) => {
                    count(&self.counters.bad_requests);
                    self.reply(&mut stream, &mut machine, status, "", b"", true).await?;
                }
            }
        }
        self.farewell(&mut stream, &machine).await
    }

    async fn farewell(&self, stream: &mut StreamOf<T>, machine: &Connection) -> io::Result<()> {
        close_gracefully(&self.platform, stream, machine.upload_cut_short()).await
    }

    /// Reads more of a request that the connection `owes` since then, or waits for one that may never come.
    async fn read(
        &self,
        stream: &mut StreamOf<T>,
        machine: &mut Connection,
        owes: Option<Instant>,
        until: Instant,
        place: f64,
    ) -> io::Result<Read> {
        let idle = machine.is_idle();
        let turn = self.turn.replace(self.turn.get() + 1);
        let wake = Rc::new(Notify::new());
        self.waiting.borrow_mut().insert(turn, WaitingConnection { wake: wake.clone(), owes });
        // Danger: a connection that was let in just now brings a request that nobody has read.
        let grace = owes.map(|since| since + GRACE);
        let retired =
            |state: &LifecycleState| state.idle_close_at(place).map(|at| grace.map_or(at, |g| at.max(g)));
        let read = tokio::select! {
            biased;
            read = stream.read_buf(machine.buffer()) => read.map(|n| if n > 0 { Read::Bytes(n) } else { Read::Closed }),
            () = wake.notified() => Ok(Read::Evicted),
            () = self.lifecycle.wait_until(retired), if idle => Ok(Read::ShuttingDown),
            () = self.platform.sleep_until(until), if owes.is_some() => {
                count(&self.counters.frontend_mute);
                Ok(Read::TimedOut)
            }
        };
        self.waiting.borrow_mut().remove(&turn);
        read
    }
}

/// How a read of a client connection ended.
enum Read {
    /// So many bytes came.
    Bytes(usize),
    /// By the client's end.
    Closed,
    /// As room is needed.
    Evicted,
    /// On the way out.
    ShuttingDown,
    /// A request was owed and did not come in time.
    TimedOut,
}
