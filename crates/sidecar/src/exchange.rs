//! One request to an endpoint and its response: takes a connection, writes the whole request, reads the whole
//! response, and tells from how it ended whether the request can have run.

use crate::client_watch::{Arrival, ClientWatch};
use crate::counters::{Counters, count, invariant};
use crate::endpoint_table::{EndpointProcess, EndpointTable};
use crate::freshness;
use crate::http::client::{Response, ResponseReader};
use crate::http::server::BodyCoding;
use crate::http::{BodyPiece, MAX_STREAMED_BODY, ParseError, READ_WINDOW};
use crate::memory::{Charge, MemoryAccount};
use crate::pool::{ConnectionPool, PooledConnection};
use crate::requests::KeyedRetry;
use crate::shared_read::read_into;
use crate::upload::Upload;
use bytes::Bytes;
use cometcroft::{EndpointId, Outcome};
use cometcroft_platform::{Elapsed, Platform};
use std::cell::RefCell;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The last byte has not been written: the endpoint can't have started the request.
    Unwritten,
    /// The request has been written completely: it may have run.
    Written,
}

/// Why an attempt got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoResponse {
    /// The attempt's time ran out.
    TimedOut,
    /// The connection was refused or lost.
    ConnectionLost,
    /// The bytes received are no valid response.
    InvalidResponse,
    /// The sidecar itself did not send the request, so this says nothing about the endpoint.
    NotSent,
}

impl From<&io::Error> for NoResponse {
    fn from(error: &io::Error) -> NoResponse {
        match error.kind() {
            io::ErrorKind::InvalidData => NoResponse::InvalidResponse,
            io::ErrorKind::QuotaExceeded => NoResponse::NotSent,
            _ => NoResponse::ConnectionLost,
        }
    }
}

/// The outcome of an attempt without a response.
pub fn outcome_without_response(stage: Stage, reason: NoResponse) -> Outcome {
    match (stage, reason) {
        (_, NoResponse::NotSent) => Outcome::NotSent,
        (Stage::Unwritten, _) => Outcome::ConnectFailed,
        (Stage::Written, NoResponse::TimedOut) => Outcome::Timeout,
        (Stage::Written, NoResponse::ConnectionLost) => Outcome::Reset,
        // Not a reset: resets count as signs of dead connections and of requests that crash their endpoint, but
        // this endpoint is alive and did respond, if incorrectly.
        (Stage::Written, NoResponse::InvalidResponse) => Outcome::Error,
    }
}

/// The outcome that a response stands for.
pub fn response_outcome(response: &Response) -> Outcome {
    match response.status {
        200 => Outcome::Ok,
        _ if response.rejected() => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Sends single requests to endpoints.
#[derive(Clone)]
pub struct Exchanger<P: Platform> {
    /// The connection pool.
    pub pool: Rc<ConnectionPool<P>>,
    /// Addresses of the endpoints, and which of them are draining.
    pub endpoints: Rc<EndpointTable>,
    /// The sidecar's counters.
    pub counters: Rc<Counters>,
    /// The account that attempts and responses are charged to.
    pub memory: Rc<MemoryAccount>,
}

impl<P: Platform> Exchanger<P> {
    /// Sends one request and reads the response; calls `written` once the last byte of the request is written.
    /// Whatever ends it early drops the connection and so closes it.
    pub async fn run(
        &self,
        to: EndpointId,
        message: impl FnOnce() -> Bytes,
        source: RequestSource<'_>,
        Deadlines { end, retry }: Deadlines,
        written: impl FnOnce(),
    ) -> io::Result<EndpointResponse> {
        let process = self.endpoints.process(to).ok_or(io::ErrorKind::AddrNotAvailable)?;
        let result = self.exchange(to, process, message, source, Deadlines { end, retry }, written).await;
        if let Err(error) = &result {
            self.pool.record_failure(to, process, error);
        }
        result
    }

    async fn exchange(
        &self,
        to: EndpointId,
        process: EndpointProcess,
        message: impl FnOnce() -> Bytes,
        source: RequestSource<'_>,
        Deadlines { end, retry }: Deadlines,
        written: impl FnOnce(),
    ) -> io::Result<EndpointResponse> {
        let address = process.address;
        let write_by = retry.map(|retry| retry.write_by);
        let listed_process_only = retry.is_some_and(|retry| retry.listed_process_only);
        let charge = self.memory.open_charge();
        charge.set(ATTEMPT_BYTES);
        let platform = self.pool.platform();
        let connect_by = write_by.map_or(end, |write_by| write_by.min(end));
        let connection = self.pool.get(to, process, connect_by).await;
        // From this time on, endpoints may not recognise a retry as a duplicate any more, and making the
        // connection may have taken that long.
        if write_by.is_some_and(|write_by| platform.now() >= write_by) {
            return Err(self.window_passed());
        }
        let mut connection = connection?;
        let whole = async {
            // The message is built after this wait, since it states the time that is left.
            self.wait_for_notices(address, connect_by).await?;
            self.wait_for_client(&source).await;
            let message = message();
            if listed_process_only && self.pool.may_be_replaced(to, process) {
                return Err(self.not_started(address, NotStarted::MayBeReplaced));
            }
            let (written, started) = self.write_first(to, &mut connection, &message, &source).await?;
            connection.stream.write_all(&message[written..]).await?;
            drop(message);
            connection.stream.write_all(&source.body).await?;
            if let Some(upload) = source.upload {
                let coding =
                    if upload.declared_length().is_some() { BodyCoding::Plain } else { BodyCoding::Chunked };
                let mut index = 0;
                while let Some(piece) = upload.piece(index).await {
                    connection.stream.write_all(&coding.frame(&piece)).await?;
                    index += 1;
                }
                connection.stream.write_all(coding.end()).await?;
            }
            Ok::<Instant, io::Error>(started)
        };
        let started = match write_by {
            None => whole.await?,
            Some(write_by) => {
                platform.timeout_at(write_by, whole).await.map_err(|_| self.window_passed())??
            }
        };
        written();
        let mut reader = ResponseReader::delimited(MAX_STREAMED_BODY);
        let response = read_response(platform, &mut connection.stream, &mut reader, &charge, end).await?;
        self.endpoints.record_response(to, started, response.rejected(), platform.now());
        let is_streamed = response.streamed.is_some();
        if !is_streamed && reader.reusable() {
            self.pool.put(to, connection);
            charge.set(response.body.len());
            return Ok(EndpointResponse::new(response, RemainingBody::default(), charge));
        }
        // Only a response that is forwarded is read to its end.
        let remaining_body = RemainingBody::default();
        let held = ATTEMPT_BYTES + reader.held_bytes() + response.body.len();
        let is_granted = charge.try_set(held + STREAM_COPIES * STREAM_READ);
        let read_limit = if is_granted { STREAM_READ } else { TIGHT_STREAM_READ };
        charge.set(held + STREAM_COPIES * read_limit);
        if is_streamed && response.status == 200 {
            let pool = self.pool.clone();
            remaining_body.0.replace(Some(Box::new(StreamingBody {
                pool,
                to,
                connection: Some(connection),
                reader,
                read_limit,
            })));
        }
        Ok(EndpointResponse::new(response, remaining_body, charge))
    }

    /// Waits until everything that discovery has sent is read: after a pause of this process, a notification
    /// and the connection for a request can become ready at the same time. Reading takes longer the longer the
    /// list is.
    async fn wait_for_notices(&self, endpoint: SocketAddr, until: Instant) -> io::Result<()> {
        while self.endpoints.discovery_connections().any_unread() {
            if self.pool.platform().now() >= until {
                return Err(self.not_started(endpoint, NotStarted::NoticesUnread));
            }
            self.pool.platform().sleep(NOTICE_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Writes the first bytes of a request, unless the endpoint is not allowed by now: a notification may have
    /// arrived since the module decided, and a write may have to wait. Returns the number of bytes and the
    /// earliest time at which they can have been sent. Every attempt starts here and nowhere else.
    async fn write_first(
        &self,
        to: EndpointId,
        connection: &mut PooledConnection<P>,
        message: &[u8],
        source: &RequestSource<'_>,
    ) -> io::Result<(usize, Instant)> {
        let process = connection.process();
        let address = process.address;
        poll_fn(|context| {
            let now = self.pool.platform().now();
            // A list that is not confirmed may have changed, and after a while the change counts as known to
            // this sidecar all the same.
            let evidence = match self.endpoints.evidence(to, now) {
                Ok(evidence) => evidence,
                Err(lack) => {
                    return Poll::Ready(Err(self.not_started(address, NotStarted::NoEvidence(lack))));
                }
            };
            if !self.endpoints.is_open_at(to, process) {
                return Poll::Ready(Err(self.not_started(address, NotStarted::NotListed)));
            }
            if !source.is_client_present(now) {
                return Poll::Ready(Err(self.client_unseen(address)));
            }
            let written = Pin::new(&mut connection.stream).poll_write(context, message);
            if let Poll::Ready(Ok(_)) = written {
                let open = self.endpoints.is_open(to);
                invariant(&self.counters, open, "no attempt starts at an endpoint that is barred");
                let (version, age) = self.held_list();
                tracing::debug!(endpoint = %address, version, ?age, ?evidence, "attempt begins");
            }
            written.map_ok(|written| (written, now))
        })
        .await
    }

    /// Waits for a while until the client is known to be present: bytes that it sent ahead are being read.
    async fn wait_for_client(&self, source: &RequestSource<'_>) {
        if source.client.is_none() {
            return;
        }
        // A close that has arrived, but has not been reported yet, is handled first.
        tokio::task::yield_now().await;
        let platform = self.pool.platform();
        let until = platform.now() + MAX_CLIENT_WAIT;
        while !source.is_client_present(platform.now()) && platform.now() < until {
            platform.sleep(CLIENT_POLL_INTERVAL).await;
        }
    }

    /// Counts and logs an attempt that is not started since its client may have left.
    fn client_unseen(&self, endpoint: SocketAddr) -> io::Error {
        count(&self.counters.dispatch_unwatched);
        tracing::debug!(%endpoint, "attempt is not started: the client may have left behind unread bytes");
        io::ErrorKind::QuotaExceeded.into()
    }

    /// Counts and logs an attempt that is not started.
    fn not_started(&self, endpoint: SocketAddr, reason: NotStarted) -> io::Error {
        count(match reason {
            NotStarted::NoEvidence(_) => &self.counters.dispatch_unconfirmed,
            NotStarted::NotListed => &self.counters.dispatch_barred,
            NotStarted::NoticesUnread => &self.counters.dispatch_unread,
            NotStarted::MayBeReplaced => &self.counters.dispatch_replaced,
        });
        let (version, age) = self.held_list();
        tracing::debug!(%endpoint, version, ?age, %reason, "attempt is barred");
        io::ErrorKind::ConnectionAborted.into()
    }

    /// Version of the held list, and the time since discovery confirmed it.
    fn held_list(&self) -> (Option<i64>, Option<Duration>) {
        (self.endpoints.version(), self.endpoints.confirmed_age(self.pool.platform().now()))
    }

    /// Counts a retry that was not written completely before its deduplication window ended.
    fn window_passed(&self) -> io::Error {
        count(&self.counters.dispatch_outlived);
        io::ErrorKind::QuotaExceeded.into()
    }
}

/// Why an attempt is not started.
#[derive(Debug, Clone, Copy, Error)]
enum NotStarted {
    /// Nothing shows that requests may be sent to the endpoint.
    #[error("nothing shows that requests may be sent to the endpoint: {0}")]
    NoEvidence(freshness::NoEvidence),
    /// The endpoint is draining, was removed or has moved.
    #[error("the endpoint is draining, was removed or has moved")]
    NotListed,
    /// The retry's key may be unknown to the process that listens at the address now.
    #[error("the endpoint's connections ended, so another process may listen at its address")]
    MayBeReplaced,
    /// The attempt's time ran out while a notification of discovery was unread.
    #[error("a notification of discovery is unread")]
    NoticesUnread,
}

/// Where an attempt's request comes from.
#[derive(Debug, Clone, Default)]
pub struct RequestSource<'a> {
    /// The body, if it is written separately.
    pub body: Bytes,
    /// The body, if it is too large to be part of the message.
    pub upload: Option<&'a Upload>,
    /// The client that waits for the response; `None` for the sidecar's own requests.
    pub client: Option<&'a ClientWatch>,
}

impl RequestSource<'_> {
    /// Whether the client is known to be present, so that an attempt may begin; true for the sidecar's own requests.
    fn is_client_present(&self, now: Instant) -> bool {
        let is_incomplete = self.upload.is_some_and(|upload| !upload.is_complete());
        let arrival = if is_incomplete { Arrival::Incomplete } else { Arrival::Complete };
        self.client.is_none_or(|client| client.permits_attempt(now, arrival))
    }
}

/// Time limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// The attempt is cancelled at this time.
    pub end: Instant,
    /// Limits of a retry of a keyed request that may have run.
    pub retry: Option<KeyedRetry>,
}

/// A response, with the source of the rest of its body if that is not held completely.
#[derive(Debug, Clone)]
pub struct EndpointResponse {
    /// The complete response, or its head and the beginning of its body.
    pub response: Response,
    /// The rest of the body.
    pub remaining_body: RemainingBody,
    /// The memory of both.
    _charge: Rc<Charge>,
}

impl EndpointResponse {
    fn new(response: Response, remaining_body: RemainingBody, charge: Charge) -> EndpointResponse {
        EndpointResponse { response, remaining_body, _charge: Rc::new(charge) }
    }
}

/// The next piece of a body; `None` at the end.
type Next<'a> = Pin<Box<dyn Future<Output = io::Result<Option<Bytes>>> + 'a>>;

/// A body that arrives in pieces.
pub trait BodyStream {
    /// Reads the next piece.
    fn next(&mut self) -> Next<'_>;
}

/// The rest of a response's body, which can be taken once.
#[derive(Clone, Default)]
pub struct RemainingBody(Rc<RefCell<Option<Box<dyn BodyStream>>>>);

impl RemainingBody {
    /// Takes the stream of pieces.
    pub fn take(&self) -> Option<Box<dyn BodyStream>> {
        self.0.borrow_mut().take()
    }
}

impl fmt::Debug for RemainingBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.borrow().is_some() { "RemainingBody(..)" } else { "RemainingBody" })
    }
}

/// A large response that is still being received.
struct StreamingBody<P: Platform> {
    pool: Rc<ConnectionPool<P>>,
    to: EndpointId,
    connection: Option<PooledConnection<P>>,
    reader: ResponseReader,
    /// Maximum number of bytes of one read.
    read_limit: usize,
}

impl<P: Platform> StreamingBody<P> {
    fn record_failure(&self, error: &io::Error) {
        if let Some(connection) = &self.connection {
            self.pool.record_failure(self.to, connection.process(), error);
        }
    }
}

impl<P: Platform> BodyStream for StreamingBody<P> {
    fn next(&mut self) -> Next<'_> {
        Box::pin(async {
            let mut at_end = false;
            loop {
                match self.reader.next_piece(at_end).map_err(invalid_data)? {
                    BodyPiece::Bytes(piece) => return Ok(Some(piece)),
                    BodyPiece::End => {
                        if let Some(connection) = self.connection.take().filter(|_| self.reader.reusable()) {
                            self.pool.put(self.to, connection);
                        }
                        return Ok(None);
                    }
                    BodyPiece::More if at_end => {
                        let error = io::ErrorKind::UnexpectedEof.into();
                        self.record_failure(&error);
                        return Err(error);
                    }
                    BodyPiece::More => {}
                }
                let Some(connection) = &mut self.connection else { return Ok(None) };
                let buffer = self.reader.received();
                let limit = self.read_limit;
                let platform = self.pool.platform();
                at_end = loop {
                    let read = read_into(&mut connection.stream, buffer, limit);
                    match platform.timeout(SILENCE_CHECK_INTERVAL, read).await {
                        Ok(Ok(read)) => break read == 0,
                        Ok(Err(error)) => {
                            self.record_failure(&error);
                            return Err(error);
                        }
                        Err(Elapsed) if self.pool.has_room() => {}
                        Err(Elapsed) => return Err(Elapsed.into()),
                    }
                };
            }
        })
    }
}

/// A long response of which nothing has arrived for this long is given up if other requests need its connection. Otherwise
/// it ends with its endpoint or its client: a machine that has vanished can't be told from a pause.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

fn invalid_data(error: ParseError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{error:?}"))
}

/// Interval at which it is checked whether the notifications of discovery are read.
const NOTICE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time for which an attempt waits until its client is known to be present.
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(100);

/// Interval at which it is checked whether the client is known to be present.
const CLIENT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Memory of an attempt beside the bytes that it holds: its task, its connection, the message.
const ATTEMPT_BYTES: usize = 8 * 1024;
/// Maximum number of bytes of one read of a response that is not forwarded yet.
const RESPONSE_READ: usize = 16 * 1024;
/// Maximum number of bytes of one read of a response that is forwarded.
const STREAM_READ: usize = READ_WINDOW;
/// A piece that is forwarded is held as it was read and as it is written.
const STREAM_COPIES: usize = 2;
/// Maximum number of bytes of one read while memory is short.
const TIGHT_STREAM_READ: usize = 4 * 1024;

/// Time for which a response of unknown length is held to see whether it is short and complete: until it is forwarded, a
/// request that may run again can be sent to another endpoint.
const MAX_HOLD: Duration = Duration::from_millis(250);

/// The first byte of a long response is timed, so a response is forwarded at least this long before its attempt ends.
const FORWARD_MARGIN: Duration = Duration::from_millis(20);

/// Reads one complete response, or the beginning of a long one. A response that does not tell its length is forwarded after
/// a while as far as it has arrived: its endpoint may pause within it, and may write more than can be held. An end of the
/// connection before the response's end is an error.
async fn read_response<P: Platform>(
    platform: &P,
    stream: &mut P::Stream,
    reader: &mut ResponseReader,
    charge: &Charge,
    end: Instant,
) -> io::Result<Response> {
    let mut forward_at = None;
    loop {
        let read = read_into(stream, reader.received(), RESPONSE_READ);
        let at_end = match forward_at {
            None => read.await? == 0,
            Some(at) => match platform.timeout_at(at, read).await {
                Ok(read) => read? == 0,
                Err(Elapsed) => return reader.begin_streaming().ok_or(io::ErrorKind::TimedOut.into()),
            },
        };
        if let Some(response) = reader.step(at_end).map_err(invalid_data)? {
            return Ok(response);
        }
        if at_end {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        // What does not fit is forwarded as it arrives, if it can be.
        let held = ATTEMPT_BYTES + reader.held_bytes();
        if !charge.try_set(held) {
            charge.set(held);
            if reader.can_stream() {
                return reader.begin_streaming().ok_or(io::ErrorKind::InvalidData.into());
            }
        }
        if forward_at.is_none() && reader.has_unknown_length() {
            let now = platform.now();
            forward_at = Some((now + MAX_HOLD).min(end - FORWARD_MARGIN).max(now));
        }
    }
}
