//! The server side of a client connection: requests come in, and each gets one response.

use super::message::{
    Body, BodyPiece, Collected, Headers, MAX_BUFFERED_BODY, MAX_STREAMED_BODY, ParseError, READ_WINDOW,
    take_head,
};
use crate::memory::{Charge, MemoryAccount};
use bytes::{BufMut, Bytes, BytesMut};
use std::rc::Rc;
use std::time::Duration;

/// Memory of a connection beside the bytes that have arrived on it: its task, its socket, its entries in tables.
const CONNECTION_BYTES: usize = 6 * 1024;
/// Maximum number of bytes of one read, and of what is kept of later requests, while memory is short.
const TIGHT_READ: usize = 4 * 1024;
/// Maximum number of bytes of one read, other than of a large body.
const HEAD_READ: usize = 16 * 1024;

/// Header with a request's id.
pub const CALL_ID: &str = "x-call-id";

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Bytes,
    /// The path and query as received.
    pub target: Bytes,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Number of bytes held.
    fn held_bytes(&self) -> usize {
        self.headers.held_bytes() + self.body.len()
    }

    /// The path without the query.
    pub fn path(&self) -> &[u8] {
        self.target.split(|&b| b == b'?').next().unwrap_or_default()
    }

    /// Name of the request's class: the first segment of the path.
    pub fn class_name(&self) -> &[u8] {
        self.path().split(|&b| b == b'/').nth(1).unwrap_or_default()
    }

    /// The request's id as received, if it is present once and valid UTF-8.
    pub fn id(&self) -> Option<&str> {
        let id = self.headers.single(CALL_ID).ok()??;
        std::str::from_utf8(id).ok()
    }

    /// Time that the client waits for the response, counted from when it sent the request.
    pub fn time_budget(&self) -> Result<Duration, ParseError> {
        let value = self.headers.single("x-budget")?.ok_or(ParseError::Malformed)?;
        let text = std::str::from_utf8(value).map_err(|_| ParseError::Malformed)?;
        let (number, unit) =
            text.split_at_checked(text.len().saturating_sub(1)).ok_or(ParseError::Malformed)?;
        let scale = match unit {
            "m" => 1e-3,
            "u" => 1e-6,
            _ => return Err(ParseError::Malformed),
        };
        // The grammar of a float would also permit signs, exponents and 'inf'.
        if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
            return Err(ParseError::Malformed);
        }
        let seconds = number.parse::<f64>().map_err(|_| ParseError::Malformed)? * scale;
        if seconds <= 0.0 {
            return Err(ParseError::Malformed);
        }
        Ok(Duration::from_secs_f64(seconds.min(3600.0)))
    }
}

/// The next step for the driver of a connection.
#[derive(Debug)]
pub enum Step {
    /// More bytes are needed.
    More,
    /// A request, to be responded to before the next one is parsed.
    Request(Request),
    /// A request with a body that is not held completely: the bytes received so far, and the body's length if
    /// it is known. The rest comes from [`Connection::next_piece`].
    Upload(Request, Option<usize>),
    /// The client waits for permission to send its body; these bytes grant it.
    Continue(&'static [u8]),
    /// The bytes received are no valid request: respond with this status and close the connection.
    Reject(Status),
}

/// Status of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Status {
    Ok,
    BadRequest,
    NotFound,
    NotAllowed,
    RequestTimeout,
    Conflict,
    TooLarge,
    HeadTooLarge,
    BadGateway,
    Unavailable,
    GatewayTimeout,
}

impl Status {
    fn line(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::NotAllowed => "405 Method Not Allowed",
            Status::RequestTimeout => "408 Request Timeout",
            Status::Conflict => "409 Conflict",
            Status::TooLarge => "413 Content Too Large",
            Status::HeadTooLarge => "431 Request Header Fields Too Large",
            Status::BadGateway => "502 Bad Gateway",
            Status::Unavailable => "503 Service Unavailable",
            Status::GatewayTimeout => "504 Gateway Timeout",
        }
    }
}

impl From<ParseError> for Status {
    fn from(error: ParseError) -> Status {
        match error {
            ParseError::Malformed => Status::BadRequest,
            ParseError::HeadTooLong => Status::HeadTooLarge,
            ParseError::BodyTooLong => Status::TooLarge,
        }
    }
}

#[derive(Debug)]
enum Phase {
    Head,
    Body(Box<(Request, Body)>),
    /// A request has been returned and its body is still arriving.
    Upload(Body),
    /// A request has been returned and waits for its response.
    AwaitingResponse,
    Closed,
}

/// A client connection.
#[derive(Debug)]
pub struct Connection {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of a head.
    scanned: usize,
    phase: Phase,
    keep_alive: bool,
    /// The current request is HTTP/1.0, whose clients don't know chunked encoding.
    is_http10: bool,
    /// The body of the last request was still arriving when its response was sent.
    upload_cut: bool,
    /// Bytes received on this connection have been discarded.
    has_overflow: bool,
    charge: Option<Charge>,
    /// Memory held by the open request.
    request_bytes: usize,
}

impl Default for Connection {
    fn default() -> Connection {
        Connection {
            buffer: BytesMut::new(),
            scanned: 0,
            phase: Phase::Head,
            keep_alive: true,
            is_http10: false,
            upload_cut: false,
            has_overflow: false,
            charge: None,
            request_bytes: 0,
        }
    }
}

impl Connection {
    /// Creates a connection that charges what it holds to this account.
    pub fn charged_to(account: &Rc<MemoryAccount>) -> Connection {
        Connection { charge: Some(account.open_charge()), ..Connection::default() }
    }

    /// Charges what the connection holds now; returns false if there is no room for the part of a request that has arrived.
    pub fn charge_held(&self) -> bool {
        if self.is_idle() {
            self.charge_always();
            return true;
        }
        self.charge.as_ref().is_none_or(|charge| charge.try_set(self.held_bytes()))
    }

    /// Charges what the connection holds now, whether there is room for it or not.
    fn charge_always(&self) {
        if let Some(charge) = &self.charge {
            charge.set(self.held_bytes());
        }
    }

    /// Returns the memory of the part of the buffer that has been consumed: a buffer does not tell of it.
    fn release_consumed(&mut self) {
        if self.buffer.len() <= TIGHT_READ {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }

    fn held_bytes(&self) -> usize {
        let incomplete = match &self.phase {
            Phase::Body(part) => part.0.held_bytes() + part.1.held_bytes(),
            _ => 0,
        };
        CONNECTION_BYTES + self.buffer.capacity() + self.request_bytes + incomplete
    }

    /// Whether memory is short, so that less is read and kept.
    fn is_tight(&self) -> bool {
        self.charge.as_ref().is_some_and(|charge| charge.account().is_tight())
    }

    /// Appends bytes that have arrived while a request is open. They are discarded where no more can be kept.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.is_full() {
            self.record_overflow();
        } else {
            self.buffer.extend_from_slice(bytes);
        }
        self.charge_always();
    }

    /// Adds bytes that have arrived while no request is open. They are charged once they have been parsed.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The buffer that received bytes are appended to.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Maximum number of bytes for the next read.
    pub fn read_limit(&self) -> usize {
        let limit = if matches!(self.phase, Phase::Upload(_)) { READ_WINDOW } else { HEAD_READ };
        if self.is_tight() { limit.min(TIGHT_READ) } else { limit }
    }

    /// Returns whether nothing of a request has arrived.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Head) && self.buffer.is_empty()
    }

    /// Returns whether a head has arrived whose body is not complete.
    pub fn is_reading_body(&self) -> bool {
        matches!(self.phase, Phase::Body(_))
    }

    /// Returns whether the body of the open request is still arriving.
    pub fn is_uploading(&self) -> bool {
        matches!(self.phase, Phase::Upload(_))
    }

    /// Returns whether bytes of a later request are buffered.
    pub fn has_pipelined(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the body of a request was still arriving when the response was sent.
    pub fn upload_cut_short(&self) -> bool {
        self.upload_cut
    }

    /// Returns whether no further request is accepted.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Returns whether the buffer for later requests is full, so that further bytes are discarded until the
    /// current request has its response.
    pub fn is_full(&self) -> bool {
        let limit = if self.is_tight() { TIGHT_READ } else { MAX_BUFFERED_BODY };
        !self.is_uploading() && self.buffer.len() >= limit
    }

    /// Records that bytes which arrived while [`Connection::is_full`] were discarded: the connection is closed with the
    /// response, or after it if its head has been written.
    fn record_overflow(&mut self) {
        self.has_overflow = true;
        if let Phase::Head = self.phase {
            self.phase = Phase::Closed;
        }
    }

    /// Parses the bytes received so far.
    pub fn step(&mut self) -> Step {
        match self.try_step() {
            Ok(step) => {
                if let Step::Request(request) | Step::Upload(request, _) = &step {
                    self.request_bytes = request.held_bytes();
                }
                self.release_consumed();
                if !matches!(step, Step::More) {
                    self.charge_always();
                }
                step
            }
            Err(error) => {
                self.phase = Phase::Closed;
                self.keep_alive = false;
                Step::Reject(error.into())
            }
        }
    }

    fn try_step(&mut self) -> Result<Step, ParseError> {
        if let Phase::Head = self.phase {
            let Some((line, headers)) = take_head(&mut self.buffer, &mut self.scanned)? else {
                return Ok(Step::More);
            };
            let mut parts = line.split(|&b| b == b' ');
            let (method, target, version) = match (parts.next(), parts.next(), parts.next(), parts.next()) {
                (Some(m), Some(t), Some(v), None) if !m.is_empty() => (m, t, v),
                _ => return Err(ParseError::Malformed),
            };
            if !method.iter().all(u8::is_ascii_uppercase) || !target.iter().all(u8::is_ascii_graphic) {
                return Err(ParseError::Malformed);
            }
            let target = origin_form(target).ok_or(ParseError::Malformed)?;
            let persistent = match version {
                b"HTTP/1.1" => true,
                b"HTTP/1.0" => headers.lists("connection", "keep-alive"),
                _ => return Err(ParseError::Malformed),
            };
            self.is_http10 = version == b"HTTP/1.0";
            self.keep_alive = persistent && !headers.lists("connection", "close");
            let body = Body::from_headers(&headers, MAX_STREAMED_BODY)?.unwrap_or(Body::none());
            let expects_continue = headers.lists("expect", "100-continue") && self.buffer.is_empty();
            let method = line.slice_ref(method);
            let target = if target == b"/" { Bytes::from_static(b"/") } else { line.slice_ref(target) };
            let request = Request { method, target, headers, body: Bytes::new() };
            self.phase = Phase::Body(Box::new((request, body)));
            if expects_continue {
                return Ok(Step::Continue(b"HTTP/1.1 100 Continue\r\n\r\n"));
            }
        }
        if let Phase::Body(part) = &mut self.phase {
            let body = match part.1.collect(&mut self.buffer, false, MAX_BUFFERED_BODY)? {
                Collected::More => return Ok(Step::More),
                Collected::Whole(body) => body,
                Collected::Large(first) => {
                    let Phase::Body(part) = std::mem::replace(&mut self.phase, Phase::AwaitingResponse)
                    else {
                        return Ok(Step::More);
                    };
                    let (request, body) = *part;
                    let length = body.left();
                    self.phase = Phase::Upload(body);
                    return Ok(Step::Upload(Request { body: first, ..request }, length));
                }
            };
            let Phase::Body(part) = std::mem::replace(&mut self.phase, Phase::AwaitingResponse) else {
                return Ok(Step::More);
            };
            return Ok(Step::Request(Request { body, ..part.0 }));
        }
        Ok(Step::More)
    }

    /// Returns the next piece of a request's body that is not held completely.
    pub fn next_piece(&mut self) -> Result<BodyPiece, Status> {
        let Phase::Upload(body) = &mut self.phase else { return Ok(BodyPiece::End) };
        match body.next_piece(&mut self.buffer, false) {
            Ok(BodyPiece::End) => {
                self.phase = Phase::AwaitingResponse;
                Ok(BodyPiece::End)
            }
            Ok(BodyPiece::More) => {
                self.release_consumed();
                self.charge_always();
                Ok(BodyPiece::More)
            }
            Ok(piece) => Ok(piece),
            Err(error) => {
                self.phase = Phase::Closed;
                self.keep_alive = false;
                Err(error.into())
            }
        }
    }

    /// The head of the response to the current request; `close` ends the connection with it.
    pub fn response_head(&mut self, status: Status, extra: &str, length: usize, close: bool) -> BytesMut {
        let connection_header = self.finish_request(close);
        let mut head = BytesMut::with_capacity(160 + extra.len());
        let line = status.line();
        head.put_slice(
            format!("HTTP/1.1 {line}\r\n{extra}{connection_header}Content-Length: {length}\r\n\r\n")
                .as_bytes(),
        );
        head
    }

    /// Ends the current request; returns the header that tells the client whether the connection stays open.
    fn finish_request(&mut self, close: bool) -> &'static str {
        self.upload_cut = matches!(self.phase, Phase::Upload(_));
        self.keep_alive &= !close && !self.has_overflow && matches!(self.phase, Phase::AwaitingResponse);
        self.phase = if self.keep_alive { Phase::Head } else { Phase::Closed };
        self.request_bytes = 0;
        self.charge_always();
        if self.keep_alive { "" } else { "Connection: close\r\n" }
    }

    /// The head of a response whose body is forwarded as it arrives, and the coding of that body.
    pub fn streamed_response_head(
        &mut self,
        extra: &str,
        length: Option<usize>,
        close: bool,
    ) -> (Bytes, BodyCoding) {
        let coding = match length {
            Some(_) => BodyCoding::Plain,
            None if self.is_http10 => BodyCoding::UntilEnd,
            None => BodyCoding::Chunked,
        };
        let connection_header = self.finish_request(close || coding == BodyCoding::UntilEnd);
        let framing = match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if coding == BodyCoding::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            None => String::new(),
        };
        (Bytes::from(format!("HTTP/1.1 200 OK\r\n{extra}{connection_header}{framing}\r\n")), coding)
    }
}

/// How a forwarded body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyCoding {
    /// The length is known from the head.
    Plain,
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with the connection.
    UntilEnd,
}

impl BodyCoding {
    /// Encodes a piece of the body.
    pub fn frame(self, piece: &Bytes) -> Bytes {
        // An empty chunk would mark the end of the body.
        if self != BodyCoding::Chunked || piece.is_empty() {
            return piece.clone();
        }
        let mut chunk = BytesMut::with_capacity(piece.len() + 16);
        chunk.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        chunk.put_slice(piece);
        chunk.put_slice(b"\r\n");
        chunk.freeze()
    }

    /// The bytes that follow the last piece.
    pub fn end(self) -> &'static [u8] {
        if self == BodyCoding::Chunked { b"0\r\n\r\n" } else { b"" }
    }
}

/// The path and query of a request target, which may be in absolute form with scheme and host.
fn origin_form(target: &[u8]) -> Option<&[u8]> {
    if target.starts_with(b"/") {
        return Some(target);
    }
    let scheme = target.get(..7).filter(|scheme| scheme.eq_ignore_ascii_case(b"http://"))?;
    let rest = &target[scheme.len()..];
    let path = rest.iter().position(|&b| b == b'/');
    let host = &rest[..path.unwrap_or(rest.len())];
    if host.is_empty() || host.iter().any(|b| b"?#@".contains(b)) {
        return None;
    }
    Some(path.map_or(&b"/"[..], |at| &rest[at..]))
}
