//! A single call to discovery over HTTP/1.1. The list is read record by record, so each record is available as soon as it has
//! arrived, and is kept however the call ends.

use super::call_state::SharedCallState;
use crate::discovery_connections::DiscoveryConnections;
use crate::endpoint_list::{EndpointList, EndpointRecord, ListError, ListReader};
use crate::http::client::{self, ResponseReader};
use crate::http::{BodyPiece, ParseError};
use crate::sockets::enable_nodelay;
use bytes::{Bytes, BytesMut};
use cometcroft_platform::{Elapsed, Platform, Stream};
use std::cell::RefCell;
use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Maximum length of a list: about ten times that of an indented list of 3,200 endpoints.
const MAX_LIST_BYTES: usize = 16 << 20;
/// A list that pauses for longer than this is reported as stalled: what discovery has written counts as delivered, but the
/// rest may never arrive.
const STALL_TIMEOUT: Duration = Duration::from_millis(80);
/// A list that stays stalled for longer than this is given up.
const STALLED_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// What discovery wrote before a call was abandoned arrives within this time.
const IN_TRANSIT: Duration = Duration::from_millis(100);
/// Timeout for connecting, after which discovery counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of bytes of a list after which other tasks get to run. Parsing them takes some tenths of a millisecond.
const YIELD_AFTER_BYTES: usize = 16 * 1024;
const OK: u16 = 200;

/// How a call ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The response was a complete, valid list.
    Answered(EndpointList),
    /// The response was a truncated or invalid list.
    Invalid(Option<ListError>),
    /// The response was not a list.
    Rejected,
    /// Nothing listens at the address.
    NotListening,
    /// No connection could be made for another reason, or it ended before the first byte of a response.
    Unreachable,
    /// No response began within the timeout.
    TimedOut,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered(EndpointList { version, is_complete, records }) => {
                let scope = if *is_complete { "complete" } else { "changes" };
                write!(f, "answered: version {version}, {scope}, {} records", records.len())
            }
            Outcome::Invalid(Some(error)) => write!(f, "invalid list: {error}"),
            Outcome::Invalid(None) => f.write_str("invalid list"),
            Outcome::Rejected => f.write_str("rejected"),
            Outcome::NotListening => f.write_str("nothing listens at the address"),
            Outcome::Unreachable => f.write_str("unreachable"),
            Outcome::TimedOut => f.write_str("timed out"),
        }
    }
}

/// The result of a call, with its connection if that can be reused.
pub(super) struct CallResult<P: Platform> {
    pub outcome: Outcome,
    pub stream: Option<P::Stream>,
    /// When the first byte of the response was read.
    pub first_byte: Option<Instant>,
}

impl<P: Platform> CallResult<P> {
    fn unanswered(outcome: Outcome) -> CallResult<P> {
        CallResult { outcome, stream: None, first_byte: None }
    }
}

/// Observes a list while it arrives.
pub(super) trait ListObserver {
    /// These records arrived at `at`. `version` is that of their list, if it is known yet.
    fn arrived(&mut self, records: &[EndpointRecord], version: Option<i64>, at: Instant);
    /// More of the list has arrived.
    fn progressed(&mut self);
    /// Nothing more has arrived for [`STALL_TIMEOUT`].
    fn stalled(&mut self);
}

/// The address, request target and timeout of a call.
pub(super) struct CallRequest {
    pub address: SocketAddr,
    pub target: String,
    /// Time within which the response has to begin.
    pub timeout: Duration,
}

/// Makes a call, on the connection `idle` if that is still open.
pub(super) async fn make<P: Platform>(
    platform: &P,
    idle: Option<P::Stream>,
    request: CallRequest,
    connections: &DiscoveryConnections,
    state: &SharedCallState,
    observer: &mut impl ListObserver,
) -> CallResult<P> {
    let until = platform.now() + request.timeout;
    let sent = tokio::select! {
        biased;
        sent = platform.timeout_at(until, connect_and_send(platform, idle, &request)) => sent,
        () = state.abandoned() => return CallResult::unanswered(Outcome::Unreachable),
    };
    let stream = match sent {
        Ok(Ok(stream)) => Rc::new(RefCell::new(stream)),
        Ok(Err(error)) if is_not_listening(&error) => {
            return CallResult::unanswered(Outcome::NotListening);
        }
        Ok(Err(_)) => return CallResult::unanswered(Outcome::Unreachable),
        Err(_) => return CallResult::unanswered(Outcome::TimedOut),
    };
    connections.add(&stream);
    let (reader, list) = (ResponseReader::streamed(MAX_LIST_BYTES), ListReader::default());
    let mut response = Response {
        platform,
        stream,
        reader,
        list,
        first_byte: None,
        reported: 0,
        is_list: false,
        state,
        observer,
    };
    let end = response.receive(until).await;
    response.conclude(end)
}

/// Whether the error shows that nothing listens at the address. A reset or a time-out doesn't: the connection itself may be
/// at fault.
fn is_not_listening(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable};
    matches!(error.kind(), ConnectionRefused | HostUnreachable | NetworkUnreachable)
}

/// Opens a connection, or takes the idle one, and writes the request.
async fn connect_and_send<P: Platform>(
    platform: &P,
    idle: Option<P::Stream>,
    request: &CallRequest,
) -> io::Result<P::Stream> {
    // A call on a connection that was closed after the last response would count as a failure, so such a connection is not
    // used. Nothing is repeated here beyond that: repeating a call that discovery has seen would double its load when it is
    // busiest.
    let mut stream = match idle.filter(Stream::is_idle) {
        Some(stream) => stream,
        None => platform.timeout(CONNECT_TIMEOUT, platform.connect(request.address)).await??,
    };
    enable_nodelay(&stream);
    stream.write_all(&client::encode_get(&request.target, "discovery")).await?;
    Ok(stream)
}

/// Reads available bytes; 0 at the end of the stream.
async fn read_some<S: Stream>(stream: &RefCell<S>, buffer: &mut BytesMut) -> io::Result<usize> {
    poll_fn(|context| {
        let mut stream = stream.borrow_mut();
        pin!(stream.read_buf(buffer)).poll(context)
    })
    .await
}

/// As [`read_some`], but `None` once the response is superseded. Until then the stream has to be read on, even if the receive
/// buffer is empty: the rest of a long list stays in discovery's send buffer until this one has room.
async fn read_unless_superseded<S: Stream>(
    stream: &RefCell<S>,
    buffer: &mut BytesMut,
    state: &SharedCallState,
) -> Option<io::Result<usize>> {
    tokio::select! {
        biased;
        read = read_some(stream, buffer) => Some(read),
        () = state.superseded() => None,
    }
}

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Complete according to its framing.
    Complete,
    /// The status says that it is not a list.
    Rejected,
    /// The connection ended before the first byte.
    Unreachable,
    /// The connection broke, the list stalled for too long, or the response is malformed.
    Broken,
    /// Nothing arrived in time.
    TimedOut,
}

/// A response that is arriving.
struct Response<'a, P: Platform, A: ListObserver> {
    platform: &'a P,
    /// Shared with [`DiscoveryConnections`], which checks it for unread input; never borrowed across an await.
    stream: Rc<RefCell<P::Stream>>,
    reader: ResponseReader,
    list: ListReader,
    /// When the first byte was read.
    first_byte: Option<Instant>,
    /// Number of records reported to the observer.
    reported: usize,
    /// Whether the head has arrived with the status of a list.
    is_list: bool,
    state: &'a SharedCallState,
    observer: &'a mut A,
}

impl<P: Platform, A: ListObserver> Response<'_, P, A> {
    /// Reads the response to its end. It has to begin by `until`.
    async fn receive(&mut self, until: Instant) -> End {
        let (mut ended, mut unyielded) = (false, 0);
        loop {
            match self.process(ended) {
                Ok(Some(end)) => return end,
                Ok(None) if ended => return End::Broken,
                Ok(None) => {}
                Err(_) => return End::Broken,
            }
            if unyielded >= YIELD_AFTER_BYTES {
                unyielded = 0;
                tokio::task::yield_now().await;
            }
            match self.read(until).await {
                Ok(read) => {
                    self.first_byte.get_or_insert_with(|| self.platform.now());
                    ended = read == 0;
                    unyielded += read;
                }
                Err(end) => return end,
            }
        }
    }

    /// Reads more bytes; 0 at the end of the stream.
    async fn read(&mut self, until: Instant) -> Result<usize, End> {
        if !self.reader.has_begun() {
            let read = self.read_first(until).await.map_err(|_| End::TimedOut)?;
            return read.map_err(|_| End::Unreachable);
        }
        if let Ok(read) = self.read_by(self.platform.now() + STALL_TIMEOUT).await {
            self.observer.progressed();
            return read.map_err(|_| End::Broken);
        }
        self.report_partial_record();
        self.observer.stalled();
        let read = self.read_by(self.platform.now() + STALLED_LIST_TIMEOUT).await.map_err(|_| End::Broken)?;
        read.map_err(|_| End::Broken)
    }

    /// Reads the first bytes. Once the call is abandoned, waits only for bytes that were already in transit.
    async fn read_first(&mut self, until: Instant) -> Result<io::Result<usize>, Elapsed> {
        let state = self.state;
        tokio::select! {
            biased;
            read = self.read_by(until) => return read,
            () = state.abandoned() => {}
        }
        let until = until.min(self.platform.now() + IN_TRANSIT);
        self.read_by(until).await
    }

    /// Reads more bytes, unless none arrive by `until` or the response is superseded.
    async fn read_by(&mut self, until: Instant) -> Result<io::Result<usize>, Elapsed> {
        let read = read_unless_superseded(&self.stream, self.reader.buffer(), self.state);
        self.platform.timeout_at(until, read).await?.ok_or(Elapsed)
    }

    /// Processes the bytes that have arrived, and returns how the response ended, if it has.
    fn process(&mut self, ended: bool) -> Result<Option<End>, ParseError> {
        let at = self.platform.now();
        if !self.is_list {
            let Some(head) = self.reader.step(ended)? else {
                return Ok((ended && !self.reader.has_begun()).then_some(End::Unreachable));
            };
            if head.status != OK {
                return Ok(Some(End::Rejected));
            }
            self.is_list = true;
            if !self.push(&head.body, at) {
                return Ok(Some(End::Broken));
            }
            if head.streamed.is_none() {
                return Ok(Some(End::Complete));
            }
        }
        loop {
            match self.reader.next_piece(ended)? {
                BodyPiece::Bytes(bytes) if self.push(&bytes, at) => {}
                BodyPiece::Bytes(_) => return Ok(Some(End::Broken)),
                BodyPiece::End => return Ok(Some(End::Complete)),
                BodyPiece::More => return Ok(None),
            }
        }
    }

    /// Reports the records that these bytes complete, and returns whether reading can continue.
    fn push(&mut self, bytes: &Bytes, at: Instant) -> bool {
        let readable = self.list.push(bytes).is_ok();
        self.report_records(at);
        readable
    }

    fn report_records(&mut self, at: Instant) {
        let arrived = &self.list.records()[self.reported..];
        if !arrived.is_empty() {
            self.observer.arrived(arrived, self.list.version(), at);
            self.reported = self.list.records().len();
        }
    }

    /// Reports the record that has arrived in part, if its fields suffice.
    fn report_partial_record(&mut self) {
        if let Some(record) = self.list.partial_record() {
            self.observer.arrived(&[record], self.list.version(), self.platform.now());
        }
    }

    fn conclude(mut self, end: End) -> CallResult<P> {
        let first_byte = self.first_byte;
        let ended = |outcome| CallResult { outcome, stream: None, first_byte };
        match end {
            End::Rejected => ended(Outcome::Rejected),
            End::Unreachable => ended(Outcome::Unreachable),
            End::TimedOut => ended(Outcome::TimedOut),
            // The list may be complete even if the end of its framing is missing.
            End::Complete | End::Broken if self.list.is_complete() => match self.list.finish() {
                Ok(list) => {
                    let reusable = end == End::Complete && self.reader.reusable();
                    let stream = Rc::into_inner(self.stream).map(RefCell::into_inner);
                    let stream = stream.filter(|_| reusable);
                    CallResult { outcome: Outcome::Answered(list), stream, first_byte }
                }
                Err(error) => ended(Outcome::Invalid(Some(error))),
            },
            End::Complete | End::Broken => {
                self.report_partial_record();
                ended(Outcome::Invalid(self.list.finish().err()))
            }
        }
    }
}
