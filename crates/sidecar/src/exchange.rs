//! One request to a backend server and its answer: a connection, the request written whole, the answer read whole,
//! and what its end says about whether the request has run.

use crate::counters::{Counters, count, invariant};
use crate::endpoint_table::EndpointTable;
use crate::freshness;
use crate::http::client::{Response, ResponseReader};
use crate::http::server::BodyCoding;
use crate::http::{BodyPiece, MAX_STREAMED_BODY, ParseError};
use crate::pool::{ConnectionPool, PooledConnection};
use crate::upload::Upload;
use bytes::Bytes;
use cometcroft::{EndpointId, Outcome};
use cometcroft_platform::Platform;
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
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its last byte has not been written: the backend server can't have begun it.
    Unwritten,
    /// It has been written whole: it may have run.
    Written,
}

/// Why an attempt got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoResponse {
    /// Our time for it ran out.
    TimedOut,
    /// Its connection broke.
    ConnectionLost,
    /// What came can't be the answer to it.
    InvalidResponse,
    /// It was not sent for a reason of ours: it says nothing of the backend server.
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

/// What an attempt that got no answer proves.
pub fn outcome_without_response(stage: Stage, lack: NoResponse) -> Outcome {
    match (stage, lack) {
        (_, NoResponse::NotSent) => Outcome::NotSent,
        (Stage::Unwritten, _) => Outcome::ConnectFailed,
        (Stage::Written, NoResponse::TimedOut) => Outcome::Timeout,
        (Stage::Written, NoResponse::ConnectionLost) => Outcome::Reset,
        // Danger: taken for a reset it would tell of dead connections and of requests that kill whoever runs
        // them; but the machine is alive and has answered, if badly.
        (Stage::Written, NoResponse::InvalidResponse) => Outcome::Error,
    }
}

/// What an answer means.
pub fn response_outcome(answer: &Response) -> Outcome {
    match answer.status {
        200 => Outcome::Ok,
        _ if answer.rejected() => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Brings single requests to backend servers.
#[derive(Clone)]
pub struct Exchanger<P: Platform> {
    /// Connections.
    pub pool: Rc<ConnectionPool<P>>,
    /// Where the backend servers are, and which of them drain.
    pub endpoints: Rc<EndpointTable>,
    /// What is counted.
    pub counters: Rc<Counters>,
}

impl<P: Platform> Exchanger<P> {
    /// One request and its answer; `written` once its last byte is. Whatever ends it early drops the connection and so
    /// closes it.
    pub async fn run(
        &self,
        to: EndpointId,
        message: impl FnOnce() -> Bytes,
        upload: Option<&Upload>,
        Deadlines { end, write_by }: Deadlines,
        written: impl FnOnce(),
    ) -> io::Result<EndpointResponse> {
        let address = self.endpoints.address(to).ok_or(io::ErrorKind::AddrNotAvailable)?;
        let platform = self.pool.platform();
        let bounded = write_by.map_or(end, |write_by| write_by.min(end));
        let lease = self.pool.get(to, address, bounded).await;
        // Danger: a connection may come up, or a body be written, when a repeat is not dropped any more.
        if write_by.is_some_and(|write_by| platform.now() >= write_by) {
            return Err(self.outlived());
        }
        let mut lease = lease?;
        let whole = async {
            // What the request says of the time that is left is worked out behind this wait.
            self.notices_read(address, bounded).await?;
            let message = message();
            let (written, began) = self.write_first(to, &mut lease, &message).await?;
            lease.stream.write_all(&message[written..]).await?;
            if let Some(upload) = upload {
                let coding =
                    if upload.declared_length().is_some() { BodyCoding::Plain } else { BodyCoding::Chunked };
                let mut at = 0;
                while let Some(piece) = upload.piece(at).await {
                    lease.stream.write_all(&coding.frame(&piece)).await?;
                    at += 1;
                }
                lease.stream.write_all(coding.end()).await?;
            }
            Ok::<Instant, io::Error>(began)
        };
        let began = match write_by {
            None => whole.await?,
            Some(write_by) => platform.timeout_at(write_by, whole).await.map_err(|_| self.outlived())??,
        };
        written();
        let mut exchange = ResponseReader::delimited(MAX_STREAMED_BODY);
        let answer = read_answer(self.pool.platform(), &mut lease.stream, &mut exchange, STALLED).await?;
        self.endpoints.record_response(to, began, answer.rejected(), platform.now());
        let bulk = answer.streamed.is_some();
        if !bulk && exchange.reusable() {
            self.pool.put(to, lease);
            return Ok(EndpointResponse { response: answer, remaining_body: RemainingBody::default() });
        }
        // Only an answer that is passed on is read to its end.
        let rest = RemainingBody::default();
        if bulk && answer.status == 200 {
            let pool = self.pool.clone();
            rest.0.replace(Some(Box::new(StreamingBody { pool, to, lease: Some(lease), exchange })));
        }
        Ok(EndpointResponse { response: answer, remaining_body: rest })
    }

    /// Waits until what has come of discovery is read: this process may have been held up, and find a notice and the
    /// connection for a request at once. Danger: how long that takes grows with the list.
    async fn notices_read(&self, endpoint: SocketAddr, until: Instant) -> io::Result<()> {
        while self.endpoints.discovery_connections().any_unread() {
            if self.pool.platform().now() >= until {
                return Err(self.barred(endpoint, Barred::NoticesUnread));
            }
            self.pool.platform().sleep(BETWEEN_NOTICE_LOOKS).await;
        }
        Ok(())
    }

    /// Writes the first bytes of a request, unless the backend server is barred by now or may be: the notice may have come
    /// since the module decided, and a write may have to wait. Tells how many, and when they began at the earliest. This is
    /// the one place where anything begins at a backend server.
    async fn write_first(
        &self,
        to: EndpointId,
        lease: &mut PooledConnection<P>,
        message: &[u8],
    ) -> io::Result<(usize, Instant)> {
        let address = lease.address();
        poll_fn(|context| {
            let now = self.pool.platform().now();
            // Danger: what is not confirmed may have changed, and counts as told after a while all the same.
            let evidence = match self.endpoints.evidence(to, now) {
                Ok(evidence) => evidence,
                Err(lack) => return Poll::Ready(Err(self.barred(address, Barred::NoEvidence(lack)))),
            };
            if !self.endpoints.is_open_at(to, address) {
                return Poll::Ready(Err(self.barred(address, Barred::NotListed)));
            }
            let written = Pin::new(&mut lease.stream).poll_write(context, message);
            if let Poll::Ready(Ok(_)) = written {
                let open = self.endpoints.is_open(to);
                invariant(&self.counters, open, "nothing begins at a backend server that is barred");
                let (version, age) = self.list_held();
                tracing::debug!(endpoint = %address, version, ?age, ?evidence, "attempt begins");
            }
            written.map_ok(|written| (written, now))
        })
        .await
    }

    /// Counts and logs an attempt that is not begun.
    fn barred(&self, endpoint: SocketAddr, reason: Barred) -> io::Error {
        count(match reason {
            Barred::NoEvidence(_) => &self.counters.dispatch_unconfirmed,
            Barred::NotListed => &self.counters.dispatch_barred,
            Barred::NoticesUnread => &self.counters.dispatch_unread,
        });
        let (version, age) = self.list_held();
        tracing::debug!(%endpoint, version, ?age, %reason, "attempt is barred");
        io::ErrorKind::ConnectionAborted.into()
    }

    /// The version of the list that is held, and the time since discovery confirmed it.
    fn list_held(&self) -> (Option<i64>, Option<Duration>) {
        (self.endpoints.version(), self.endpoints.confirmed_age(self.pool.platform().now()))
    }

    /// The window for repeats has ended before this one was written whole.
    fn outlived(&self) -> io::Error {
        count(&self.counters.dispatch_outlived);
        io::ErrorKind::QuotaExceeded.into()
    }
}

/// Why an attempt is not begun.
#[derive(Debug, Clone, Copy, Error)]
enum Barred {
    /// Nothing shows that its endpoint may be sent to.
    #[error("no evidence that the endpoint may be sent to: {0}")]
    NoEvidence(freshness::NoEvidence),
    /// Its endpoint drains, is gone or has moved.
    #[error("the endpoint drains, is gone or has moved")]
    NotListed,
    /// Its time ended while a notice of discovery lay unread.
    #[error("a notice of discovery is unread")]
    NoticesUnread,
}

/// When an attempt ends, and by when it is written whole or not at all.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// It is given up then.
    pub end: Instant,
    /// From then on its repeat may not be dropped.
    pub write_by: Option<Instant>,
}

/// An answer, and where the rest of it comes from if it is not held whole.
#[derive(Debug, Clone)]
pub struct EndpointResponse {
    /// The answer, or its head and beginning.
    pub response: Response,
    /// The rest.
    pub remaining_body: RemainingBody,
}

/// A later piece, or none at the end.
type Next<'a> = Pin<Box<dyn Future<Output = io::Result<Option<Bytes>>> + 'a>>;

/// A body that comes in pieces.
pub trait BodyStream {
    /// The next piece.
    fn next(&mut self) -> Next<'_>;
}

/// The rest of an answer, for whoever takes it first.
#[derive(Clone, Default)]
pub struct RemainingBody(Rc<RefCell<Option<Box<dyn BodyStream>>>>);

impl RemainingBody {
    /// The pieces.
    pub fn take(&self) -> Option<Box<dyn BodyStream>> {
        self.0.borrow_mut().take()
    }
}

impl fmt::Debug for RemainingBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.borrow().is_some() { "Rest(..)" } else { "Rest" })
    }
}

/// A large answer that is still coming.
struct StreamingBody<P: Platform> {
    pool: Rc<ConnectionPool<P>>,
    to: EndpointId,
    lease: Option<PooledConnection<P>>,
    exchange: ResponseReader,
}

impl<P: Platform> BodyStream for StreamingBody<P> {
    fn next(&mut self) -> Next<'_> {
        Box::pin(async {
            let mut ended = false;
            loop {
                match self.exchange.next_piece(ended).map_err(bad)? {
                    BodyPiece::Bytes(piece) => return Ok(Some(piece)),
                    BodyPiece::End => {
                        if let Some(lease) = self.lease.take().filter(|_| self.exchange.reusable()) {
                            self.pool.put(self.to, lease);
                        }
                        return Ok(None);
                    }
                    BodyPiece::More if ended => return Err(io::ErrorKind::UnexpectedEof.into()),
                    BodyPiece::More => {}
                }
                let Some(lease) = &mut self.lease else { return Ok(None) };
                let read = lease.stream.read_buf(self.exchange.buffer());
                ended = self.pool.platform().timeout(SILENT, read).await?? == 0;
            }
        })
    }
}

/// A large answer that has begun is given up when nothing of it has come for so long. Danger: what its sender still gives
/// must not be cut off, and who is slow may pause.
const SILENT: Duration = Duration::from_secs(10);

fn bad(fault: ParseError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{fault:?}"))
}

/// The time between two looks whether notices of discovery are read.
const BETWEEN_NOTICE_LOOKS: Duration = Duration::from_millis(1);

/// An answer that has begun goes on within this time; whoever answers has all of it.
const STALLED: Duration = Duration::from_millis(500);

/// Reads one whole answer; an end before that is an error, and so is a pause of `stalled` once it has begun.
pub(crate) async fn read_answer<P: Platform>(
    platform: &P,
    stream: &mut P::Stream,
    exchange: &mut ResponseReader,
    stalled: Duration,
) -> io::Result<Response> {
    loop {
        // Danger: a length that promises more than comes leaves the connection open and silent, and the session
        // would wait out its whole time with none left to try again.
        let begun = exchange.has_begun();
        let read = stream.read_buf(exchange.buffer());
        let read = if begun {
            platform.timeout(stalled, read).await.map_err(|_| bad(ParseError::Malformed))?
        } else {
            read.await
        };
        let ended = read? == 0;
        if let Some(answer) = exchange.step(ended).map_err(bad)? {
            return Ok(answer);
        }
        if ended {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
