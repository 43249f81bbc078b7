//! One call to discovery over HTTP/1.1. Its list is read record by record, so what has arrived is known at once and is
//! kept however the call ends.

use super::abandonment::Abandonment;
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

/// The longest list that is read, in bytes: some ten times that of 3,200 endpoints, indented.
const MAX_LIST: usize = 16 << 20;
/// A list that pauses for longer than this is reported as stalled: what is written counts as told, and the rest of it may
/// never come.
const STALLED: Duration = Duration::from_millis(80);
/// A list that pauses for longer than this is given up.
const GIVE_UP: Duration = Duration::from_secs(1);
/// What was written before a call was abandoned comes within this time.
const ON_ITS_WAY: Duration = Duration::from_millis(100);
/// A connection is made within this time, or discovery counts as unreachable.
const CONNECT: Duration = Duration::from_secs(1);
/// Other tasks run after so many bytes of a list at the latest: parsing them takes some tenths of a millisecond.
const YIELD_AFTER: usize = 16 * 1024;
const OK: u16 = 200;

/// How a call ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// With a whole list.
    Answered(EndpointList),
    /// With part of a list, or one that cannot be taken.
    Broken(Option<ListError>),
    /// It was refused.
    Refused,
    /// Nobody listened there.
    NobodyListens,
    /// No connection could be made otherwise, or it ended before a byte of an answer.
    Unreachable,
    /// It was given up without an answer.
    Silent,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered(EndpointList { version, is_complete, records }) => {
                let scope = if *is_complete { "whole" } else { "changes" };
                write!(f, "answered: version {version}, {scope}, {} rows", records.len())
            }
            Outcome::Broken(Some(error)) => write!(f, "broken: {error}"),
            Outcome::Broken(None) => f.write_str("broken"),
            Outcome::Refused => f.write_str("refused"),
            Outcome::NobodyListens => f.write_str("nobody listens"),
            Outcome::Unreachable => f.write_str("unreachable"),
            Outcome::Silent => f.write_str("silent"),
        }
    }
}

/// A call that has ended, with its connection if that can be used again.
pub(super) struct Ended<P: Platform> {
    pub outcome: Outcome,
    pub stream: Option<P::Stream>,
    /// When the first byte of its answer was read.
    pub first_byte: Option<Instant>,
}

impl<P: Platform> Ended<P> {
    /// A call without an answer.
    fn unanswered(outcome: Outcome) -> Ended<P> {
        Ended { outcome, stream: None, first_byte: None }
    }
}

/// Hears of a list while it arrives.
pub(super) trait Arrivals {
    /// These records have arrived, at this time, of a list of this version if that is known.
    fn arrived(&mut self, records: &[EndpointRecord], index: Option<i64>, at: Instant);
    /// The list goes on.
    fn progressed(&mut self);
    /// Nothing of it has come for [`STALLED`].
    fn stalled(&mut self);
}

/// What is asked, where, and for how long an answer is waited for.
pub(super) struct Question {
    pub address: SocketAddr,
    pub target: String,
    /// The answer begins within this time.
    pub timeout: Duration,
}

/// Makes one call, on the connection `kept` if that is still open.
pub(super) async fn make<P: Platform>(
    platform: &P,
    kept: Option<P::Stream>,
    question: Question,
    connections: &DiscoveryConnections,
    abandonment: &Abandonment,
    arrivals: &mut impl Arrivals,
) -> Ended<P> {
    let until = platform.now() + question.timeout;
    let asked = tokio::select! {
        biased;
        asked = platform.timeout_at(until, asked(platform, kept, &question)) => asked,
        () = abandonment.abandoned() => return Ended::unanswered(Outcome::Unreachable),
    };
    let stream = match asked {
        Ok(Ok(stream)) => Rc::new(RefCell::new(stream)),
        Ok(Err(error)) if says_that_nobody_listens(&error) => {
            return Ended::unanswered(Outcome::NobodyListens);
        }
        Ok(Err(_)) => return Ended::unanswered(Outcome::Unreachable),
        Err(_) => return Ended::unanswered(Outcome::Silent),
    };
    connections.add(&stream);
    let (exchange, list) = (ResponseReader::streamed(MAX_LIST), ListReader::default());
    let mut answer = Answer {
        platform,
        stream,
        exchange,
        list,
        first_byte: None,
        told: 0,
        is_list: false,
        abandonment,
        arrivals,
    };
    let end = answer.receive(until).await;
    answer.conclude(end)
}

/// Danger: a connection that was reset, or that does not come up, may be at fault itself.
fn says_that_nobody_listens(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable};
    matches!(error.kind(), ConnectionRefused | HostUnreachable | NetworkUnreachable)
}

/// Opens a connection, or takes the kept one, and writes the call.
async fn asked<P: Platform>(
    platform: &P,
    kept: Option<P::Stream>,
    question: &Question,
) -> io::Result<P::Stream> {
    // A call on a connection that was closed after the last answer would count as one that failed. Only that is mended
    // here: to repeat a call that discovery has seen would double its load when it has most.
    let mut stream = match kept.filter(Stream::is_idle) {
        Some(stream) => stream,
        None => platform.timeout(CONNECT, platform.connect(question.address)).await??,
    };
    enable_nodelay(&stream);
    stream.write_all(&client::encode_get(&question.target, "discovery")).await?;
    Ok(stream)
}

/// Reads what has come; 0 at the end of the connection.
async fn read_some<S: Stream>(stream: &RefCell<S>, buffer: &mut BytesMut) -> io::Result<usize> {
    poll_fn(|context| {
        let mut stream = stream.borrow_mut();
        pin!(stream.read_buf(buffer)).poll(context)
    })
    .await
}

/// The same; nothing once what the answer brings says nothing any more. Danger: that a receive buffer is empty does not show
/// that all is read which discovery has written; the rest of a long list lies in its own buffer until this one has room.
async fn read_told<S: Stream>(
    stream: &RefCell<S>,
    buffer: &mut BytesMut,
    abandonment: &Abandonment,
) -> Option<io::Result<usize>> {
    tokio::select! {
        biased;
        read = read_some(stream, buffer) => Some(read),
        () = abandonment.superseded() => None,
    }
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its framing says so.
    Whole,
    /// It is no list.
    Refused,
    /// Not a byte of it came.
    Unreachable,
    /// Its connection broke, or it cannot be read.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// An answer that is arriving.
struct Answer<'a, P: Platform, A: Arrivals> {
    platform: &'a P,
    /// Shared with those who ask whether anything on it is unread; borrowed for one call at a time.
    stream: Rc<RefCell<P::Stream>>,
    exchange: ResponseReader,
    list: ListReader,
    /// When its first byte was read.
    first_byte: Option<Instant>,
    /// So many records have been handed on.
    told: usize,
    /// The head has come and says that this is a list.
    is_list: bool,
    abandonment: &'a Abandonment,
    arrivals: &'a mut A,
}

impl<P: Platform, A: Arrivals> Answer<'_, P, A> {
    /// Reads the answer to its end; `until`: it begins by then.
    async fn receive(&mut self, until: Instant) -> End {
        let (mut ended, mut unyielded) = (false, 0);
        loop {
            match self.look(ended) {
                Ok(Some(end)) => return end,
                Ok(None) if ended => return End::Broken,
                Ok(None) => {}
                Err(_) => return End::Broken,
            }
            if unyielded >= YIELD_AFTER {
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

    /// More bytes; 0 at the end of the connection.
    async fn read(&mut self, until: Instant) -> Result<usize, End> {
        if !self.exchange.has_begun() {
            let read = self.read_first(until).await.map_err(|_| End::Silent)?;
            return read.map_err(|_| End::Unreachable);
        }
        if let Ok(read) = self.read_by(self.platform.now() + STALLED).await {
            self.arrivals.progressed();
            return read.map_err(|_| End::Broken);
        }
        self.hand_on_arriving();
        self.arrivals.stalled();
        let read = self.read_by(self.platform.now() + GIVE_UP).await.map_err(|_| End::Broken)?;
        read.map_err(|_| End::Broken)
    }

    /// The first bytes; of an answer that is not waited for any more, only if they were on their way.
    async fn read_first(&mut self, until: Instant) -> Result<io::Result<usize>, Elapsed> {
        let abandonment = self.abandonment;
        tokio::select! {
            biased;
            read = self.read_by(until) => return read,
            () = abandonment.abandoned() => {}
        }
        let until = until.min(self.platform.now() + ON_ITS_WAY);
        self.read_by(until).await
    }

    /// More bytes, unless none have come by `until`, or they would say nothing any more.
    async fn read_by(&mut self, until: Instant) -> Result<io::Result<usize>, Elapsed> {
        let read = read_told(&self.stream, self.exchange.buffer(), self.abandonment);
        self.platform.timeout_at(until, read).await?.ok_or(Elapsed)
    }

    /// Takes what has come; tells how the answer ended, if it has.
    fn look(&mut self, ended: bool) -> Result<Option<End>, ParseError> {
        let at = self.platform.now();
        if !self.is_list {
            let Some(answer) = self.exchange.step(ended)? else {
                return Ok((ended && !self.exchange.has_begun()).then_some(End::Unreachable));
            };
            if answer.status != OK {
                return Ok(Some(End::Refused));
            }
            self.is_list = true;
            if !self.take(&answer.body, at) {
                return Ok(Some(End::Broken));
            }
            if answer.streamed.is_none() {
                return Ok(Some(End::Whole));
            }
        }
        loop {
            match self.exchange.next_piece(ended)? {
                BodyPiece::Bytes(bytes) if self.take(&bytes, at) => {}
                BodyPiece::Bytes(_) => return Ok(Some(End::Broken)),
                BodyPiece::End => return Ok(Some(End::Whole)),
                BodyPiece::More => return Ok(None),
            }
        }
    }

    /// Hands on the records that these bytes complete; tells whether more of the list can be read.
    fn take(&mut self, bytes: &Bytes, at: Instant) -> bool {
        let readable = self.list.push(bytes).is_ok();
        self.hand_on(at);
        readable
    }

    fn hand_on(&mut self, at: Instant) {
        let arrived = &self.list.records()[self.told..];
        if !arrived.is_empty() {
            self.arrivals.arrived(arrived, self.list.version(), at);
            self.told = self.list.records().len();
        }
    }

    /// Hands on what is known of the record that has come in part.
    fn hand_on_arriving(&mut self) {
        if let Some(record) = self.list.partial_record() {
            self.arrivals.arrived(&[record], self.list.version(), self.platform.now());
        }
    }

    fn conclude(mut self, end: End) -> Ended<P> {
        let first_byte = self.first_byte;
        let ended = |outcome| Ended { outcome, stream: None, first_byte };
        match end {
            End::Refused => ended(Outcome::Refused),
            End::Unreachable => ended(Outcome::Unreachable),
            End::Silent => ended(Outcome::Silent),
            // Nothing of the list is missing, even if the end of its framing is.
            End::Whole | End::Broken if self.list.is_complete() => match self.list.finish() {
                Ok(list) => {
                    let reusable = end == End::Whole && self.exchange.reusable();
                    let stream = Rc::into_inner(self.stream).map(RefCell::into_inner);
                    let stream = stream.filter(|_| reusable);
                    Ended { outcome: Outcome::Answered(list), stream, first_byte }
                }
                Err(error) => ended(Outcome::Broken(Some(error))),
            },
            End::Whole | End::Broken => {
                self.hand_on_arriving();
                ended(Outcome::Broken(self.list.finish().err()))
            }
        }
    }
}
