//! Reads requests from client connections, and limits the time that clients have for them.

use super::response::close_gracefully;
use super::{ConnectionSlot, Frontend, HttpTransport, StreamOf, WaitingConnection, WaitingState};
use crate::client_watch::ClientWatch;
use crate::counters::count;
use crate::http::server::{Connection, Status, Step};
use crate::lifecycle::LifecycleState;
use crate::sockets::{enable_nodelay, limit_unsent};
use crate::upload::{ReadTimeout, Upload};
use cometcroft_platform::{Platform, Stream};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// A request must be complete this long after its first byte, or after the connection was opened; otherwise it
/// is answered with 408.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2600);
/// Interval at which bytes that the socket has received, but the runtime has not reported yet, are looked for.
const UNREAD_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// A connection is not closed as idle this soon after it was opened.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(300);

impl<T: HttpTransport> Frontend<T> {
    pub(super) async fn handle_connection(
        &self,
        mut stream: StreamOf<T>,
        slot: &mut ConnectionSlot<T>,
    ) -> io::Result<()> {
        enable_nodelay(&stream);
        limit_unsent(&stream);
        let mut connection = Connection::charged_to(&self.memory);
        let connected = self.platform.now();
        let (mut since, mut is_first) = (connected, true);
        // Time of the last read: the deadline of a request counts from its last byte.
        let mut last_read = connected;
        let mut body_timeout = ReadTimeout::new(connected);
        let client = Rc::new(ClientWatch::new(connected));
        // Multiples of the golden ratio spread the positions evenly, however many there are.
        let close_position =
            (self.next_ticket.replace(self.next_ticket.get() + 1) as f64 * 0.618_033_988_749_895).fract();
        while !connection.is_closed() {
            match connection.step() {
                // Parsing may have moved what was read into a larger buffer, so it is charged afterwards.
                Step::More if !connection.charge_held() => {
                    count(&self.counters.memory_refused);
                    self.reject(&mut stream, &mut connection, None, true).await?;
                }
                Step::More => {
                    let is_idle = connection.is_idle();
                    let incomplete_since =
                        if is_first { Some(connected) } else { (!is_idle).then_some(since) };
                    let now = self.platform.now();
                    // A head has a fixed time; a body has as long as it makes progress.
                    let in_body = connection.is_reading_body();
                    let until = if in_body {
                        body_timeout.start_wait(now)
                    } else {
                        incomplete_since.unwrap_or(now) + REQUEST_TIMEOUT
                    };
                    let state = match (in_body, is_idle) {
                        (true, _) => WaitingState::Body,
                        (false, false) => WaitingState::Head(since),
                        (false, true) if is_first => WaitingState::Silent(connected),
                        (false, true) => WaitingState::Resting,
                    };
                    let waits = Waits { state, incomplete_since, until, close_position };
                    match self.read(&mut stream, &mut connection, &client, waits).await? {
                        Read::Bytes(bytes) => {
                            last_read = self.platform.now();
                            if is_idle {
                                since = last_read;
                            }
                            if in_body {
                                body_timeout.end_wait(last_read, bytes);
                            } else {
                                body_timeout = ReadTimeout::new(last_read);
                            }
                        }
                        Read::Closed => return Ok(()),
                        // An unread request is served first. The runtime may not have reported it yet, and does
                        // not before this task waits.
                        Read::ShuttingDown | Read::Evicted if !stream.is_idle() => {
                            self.platform.sleep(UNREAD_POLL_INTERVAL).await;
                        }
                        // A request may arrive at this moment. It is not served any more, but a close over
                        // unread bytes would be a reset, and the client could lose its last response.
                        Read::ShuttingDown => return self.close(&mut stream, &connection).await,
                        Read::Evicted if is_idle => {
                            return if slot.lingers() {
                                self.close(&mut stream, &connection).await
                            } else {
                                Ok(())
                            };
                        }
                        Read::TimedOut if is_idle => return self.close(&mut stream, &connection).await,
                        Read::Evicted | Read::TimedOut => {
                            let status = Status::RequestTimeout;
                            self.respond(&mut stream, &mut connection, status, "", b"", true).await?;
                        }
                    }
                }
                Step::Continue(bytes) => stream.write_all(bytes).await?,
                step @ (Step::Request(_) | Step::Upload(..)) => {
                    is_first = false;
                    let (request, length) = match step {
                        Step::Upload(request, length) => (request, Some(length)),
                        Step::Request(request) => (request, None),
                        _ => return Ok(()),
                    };
                    let upload = length.map(|length| Upload::new(&self.memory, length));
                    match self
                        .handle_request(&mut stream, &mut connection, &client, request, upload, last_read)
                        .await?
                    {
                        // A pipelined request has waited since its bytes arrived, and its time has been
                        // running.
                        Some(received) => (since, last_read) = (received, received),
                        None => return Ok(()),
                    }
                }
                Step::Reject(status) => {
                    count(&self.counters.bad_requests);
                    self.respond(&mut stream, &mut connection, status, "", b"", true).await?;
                }
            }
        }
        self.close(&mut stream, &connection).await
    }

    async fn close(&self, stream: &mut StreamOf<T>, connection: &Connection) -> io::Result<()> {
        close_gracefully(&self.platform, stream, connection.upload_cut_short()).await
    }

    /// Reads more of a request, or waits on an idle connection for a request that may never come.
    async fn read(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &ClientWatch,
        Waits { state, incomplete_since, until, close_position }: Waits,
    ) -> io::Result<Read> {
        let is_idle = connection.is_idle();
        let ticket = self.next_ticket.replace(self.next_ticket.get() + 1);
        let wake = Rc::new(Notify::new());
        self.waiting.borrow_mut().insert(ticket, WaitingConnection { wake: wake.clone(), state });
        // A connection that was accepted just now may carry a request that has not been read.
        let grace = incomplete_since.map(|since| since + NEW_CONNECTION_GRACE);
        let shutting_down = |state: &LifecycleState| {
            state.idle_close_at(close_position).map(|at| grace.map_or(at, |g| at.max(g)))
        };
        let read = tokio::select! {
            biased;
            read = self.read_from_client(stream, connection, client, Connection::receive) => read.map(|n| if n > 0 { Read::Bytes(n) } else { Read::Closed }),
            () = wake.notified() => Ok(Read::Evicted),
            () = self.lifecycle.wait_until(shutting_down), if is_idle => Ok(Read::ShuttingDown),
            () = self.platform.sleep_until(until), if incomplete_since.is_some() => {
                count(&self.counters.frontend_mute);
                Ok(Read::TimedOut)
            }
        };
        self.waiting.borrow_mut().remove(&ticket);
        read
    }
}

/// What a connection without an open request waits for, and until when.
struct Waits {
    state: WaitingState,
    /// Since when a complete request has been awaited; `None` if a request has been served and the connection may be idle.
    incomplete_since: Option<Instant>,
    /// Time at which an incomplete request is answered with 408.
    until: Instant,
    /// Position of the connection, between 0 and 1, in the period in which idle ones are closed.
    close_position: f64,
}

/// Result of a read on a client connection.
enum Read {
    /// This many bytes arrived.
    Bytes(usize),
    /// The client closed the connection.
    Closed,
    /// The connection's slot is needed.
    Evicted,
    /// The sidecar is shutting down.
    ShuttingDown,
    /// A request was not complete in time.
    TimedOut,
}
