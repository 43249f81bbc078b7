//! The frontend's side of a connection: requests come in, one answer to each goes out.

use super::message::{
    Body, BodyPiece, Collected, Headers, MAX_BUFFERED_BODY, MAX_STREAMED_BODY, ParseError, READ_WINDOW,
    roomy, take_head,
};
use bytes::{BufMut, Bytes, BytesMut};
use std::time::Duration;

/// The header that holds a request's id.
pub const CALL_ID: &str = "x-call-id";

/// A request, whole.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its method.
    pub method: Bytes,
    /// Its path and query, as they came.
    pub target: Bytes,
    /// Its header lines.
    pub headers: Headers,
    /// Its body.
    pub body: Bytes,
}

impl Request {
    /// The path without the query.
    pub fn path(&self) -> &[u8] {
        self.target.split(|&b| b == b'?').next().unwrap_or_default()
    }

    /// The request's class by name: the first part of its path.
    pub fn class_name(&self) -> &[u8] {
        self.path().split(|&b| b == b'/').nth(1).unwrap_or_default()
    }

    /// Its id as it came, if it has one that can be read.
    pub fn id(&self) -> Option<&str> {
        let id = self.headers.single(CALL_ID).ok()??;
        std::str::from_utf8(id).ok()
    }

    /// The time that the client waits, from the moment it sent the request.
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
        // Danger: a float's grammar also takes signs, exponents and 'inf'.
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

/// What a connection has for its driver.
#[derive(Debug)]
pub enum Step {
    /// Nothing until more bytes come.
    More,
    /// A request that is owed an answer before the next one is looked at.
    Request(Request),
    /// A request with a body that is not held whole: this much has come, and its length if it is known. The rest comes
    /// from [`Connection::piece`].
    Upload(Request, Option<usize>),
    /// The client waits for leave to send its body: these bytes give it.
    Continue(&'static [u8]),
    /// What came can't be a request: it is to be answered so, and the connection closed.
    Reject(Status),
}

/// How a request is answered.
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
    fn from(fault: ParseError) -> Status {
        match fault {
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
    /// A request has been handed out and its body is still coming.
    Upload(Body),
    /// A request has been handed out and is owed an answer.
    Owed,
    Closed,
}

/// One client connection.
#[derive(Debug)]
pub struct Connection {
    buffer: BytesMut,
    scanned: usize,
    phase: Phase,
    keep: bool,
    /// The request at hand is HTTP/1.0, whose sender knows no chunks.
    old: bool,
    cut: bool,
    scratch: BytesMut,
    spilt: usize,
    /// Something that came was not kept.
    cut_off: bool,
}

impl Default for Connection {
    fn default() -> Connection {
        Connection {
            buffer: BytesMut::new(),
            scanned: 0,
            phase: Phase::Head,
            keep: true,
            old: false,
            cut: false,
            scratch: BytesMut::new(),
            spilt: 0,
            cut_off: false,
        }
    }
}

impl Connection {
    /// The buffer that bytes are to be read into.
    pub fn buffer(&mut self) -> &mut BytesMut {
        let bulk = matches!(self.phase, Phase::Upload(_));
        roomy(&mut self.buffer, if bulk { READ_WINDOW } else { 4096 })
    }

    /// Nothing of a request has come yet.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Head) && self.buffer.is_empty()
    }

    /// A head has come, and its body is not whole.
    pub fn is_reading_body(&self) -> bool {
        matches!(self.phase, Phase::Body(_))
    }

    /// Bytes lie unread that belong to a later request.
    pub fn has_pipelined(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The body of a request was still coming when it was answered.
    pub fn upload_cut_short(&self) -> bool {
        self.cut
    }

    /// No further request is taken.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// So much lies unread that what comes is not kept until the request at hand is answered.
    pub fn is_full(&self) -> bool {
        self.buffer.len() >= MAX_BUFFERED_BODY
    }

    /// The buffer for what comes beyond that. It is read for the end that may lie behind it and thrown away, and the
    /// connection ends with the answer, as it has a hole now.
    pub fn overflow_buffer(&mut self) -> &mut BytesMut {
        self.spilt += self.scratch.len();
        self.cut_off = true;
        self.scratch.clear();
        roomy(&mut self.scratch, READ_WINDOW)
    }

    /// More has been thrown away than any message holds.
    pub fn has_overflowed(&self) -> bool {
        self.spilt > MAX_STREAMED_BODY
    }

    /// Looks at what has come.
    pub fn step(&mut self) -> Step {
        match self.try_step() {
            Ok(step) => step,
            Err(fault) => {
                self.phase = Phase::Closed;
                self.keep = false;
                Step::Reject(fault.into())
            }
        }
    }

    fn try_step(&mut self) -> Result<Step, ParseError> {
        if let Phase::Head = self.phase {
            let Some((line, headers)) = take_head(&mut self.buffer, &mut self.scanned)? else {
                return Ok(Step::More);
            };
            let mut words = line.split(|&b| b == b' ');
            let (method, target, version) = match (words.next(), words.next(), words.next(), words.next()) {
                (Some(m), Some(t), Some(v), None) if !m.is_empty() => (m, t, v),
                _ => return Err(ParseError::Malformed),
            };
            if !method.iter().all(u8::is_ascii_uppercase) || !target.iter().all(u8::is_ascii_graphic) {
                return Err(ParseError::Malformed);
            }
            let target = origin(target).ok_or(ParseError::Malformed)?;
            let lasting = match version {
                b"HTTP/1.1" => true,
                b"HTTP/1.0" => headers.lists("connection", "keep-alive"),
                _ => return Err(ParseError::Malformed),
            };
            self.old = version == b"HTTP/1.0";
            self.keep = lasting && !headers.lists("connection", "close");
            let body = Body::framed(&headers, MAX_STREAMED_BODY)?.unwrap_or(Body::none());
            let waits = headers.lists("expect", "100-continue") && self.buffer.is_empty();
            let method = line.slice_ref(method);
            let target = if target == b"/" { Bytes::from_static(b"/") } else { line.slice_ref(target) };
            let request = Request { method, target, headers, body: Bytes::new() };
            self.phase = Phase::Body(Box::new((request, body)));
            if waits {
                return Ok(Step::Continue(b"HTTP/1.1 100 Continue\r\n\r\n"));
            }
        }
        if let Phase::Body(part) = &mut self.phase {
            let body = match part.1.collect(&mut self.buffer, false, MAX_BUFFERED_BODY)? {
                Collected::More => return Ok(Step::More),
                Collected::Whole(body) => body,
                Collected::Large(first) => {
                    let Phase::Body(part) = std::mem::replace(&mut self.phase, Phase::Owed) else {
                        return Ok(Step::More);
                    };
                    let (request, body) = *part;
                    let length = body.left();
                    self.phase = Phase::Upload(body);
                    return Ok(Step::Upload(Request { body: first, ..request }, length));
                }
            };
            let Phase::Body(part) = std::mem::replace(&mut self.phase, Phase::Owed) else {
                return Ok(Step::More);
            };
            return Ok(Step::Request(Request { body, ..part.0 }));
        }
        Ok(Step::More)
    }

    /// Of a request whose body is not held whole, the next piece.
    pub fn next_piece(&mut self) -> Result<BodyPiece, Status> {
        let Phase::Upload(body) = &mut self.phase else { return Ok(BodyPiece::End) };
        match body.next_piece(&mut self.buffer, false) {
            Ok(BodyPiece::End) => {
                self.phase = Phase::Owed;
                Ok(BodyPiece::End)
            }
            Ok(piece) => Ok(piece),
            Err(fault) => {
                self.phase = Phase::Closed;
                self.keep = false;
                Err(fault.into())
            }
        }
    }

    /// The head of the answer that is owed; `close` ends the connection with it.
    pub fn response_head(&mut self, status: Status, extra: &str, length: usize, close: bool) -> BytesMut {
        let closing = self.conclude(close);
        let mut head = BytesMut::with_capacity(160 + length);
        let line = status.line();
        head.put_slice(
            format!("HTTP/1.1 {line}\r\n{extra}{closing}Content-Length: {length}\r\n\r\n").as_bytes(),
        );
        head
    }

    /// The request at hand is answered; what its answer says of the connection.
    fn conclude(&mut self, close: bool) -> &'static str {
        self.cut = matches!(self.phase, Phase::Upload(_));
        self.keep &= !close && !self.cut_off && matches!(self.phase, Phase::Owed);
        self.phase = if self.keep { Phase::Head } else { Phase::Closed };
        if self.keep { "" } else { "Connection: close\r\n" }
    }

    /// The head of an answer whose body is passed on as it comes, and how that is framed.
    pub fn streamed_response_head(
        &mut self,
        extra: &str,
        length: Option<usize>,
        close: bool,
    ) -> (Bytes, BodyCoding) {
        let coding = match length {
            Some(_) => BodyCoding::Plain,
            None if self.old => BodyCoding::UntilEnd,
            None => BodyCoding::Chunked,
        };
        let closing = self.conclude(close || coding == BodyCoding::UntilEnd);
        let framing = match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if coding == BodyCoding::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            None => String::new(),
        };
        (Bytes::from(format!("HTTP/1.1 200 OK\r\n{extra}{closing}{framing}\r\n")), coding)
    }
}

/// How a body that is passed on as it comes is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyCoding {
    /// Its length is known.
    Plain,
    /// In chunks.
    Chunked,
    /// Its connection's end ends it.
    UntilEnd,
}

impl BodyCoding {
    /// A piece with what goes round it.
    pub fn frame(self, piece: &Bytes) -> Bytes {
        // An empty chunk would be the end mark.
        if self != BodyCoding::Chunked || piece.is_empty() {
            return piece.clone();
        }
        let mut framed = BytesMut::with_capacity(piece.len() + 16);
        framed.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        framed.put_slice(piece);
        framed.put_slice(b"\r\n");
        framed.freeze()
    }

    /// What goes behind the last piece.
    pub fn end(self) -> &'static [u8] {
        if self == BodyCoding::Chunked { b"0\r\n\r\n" } else { b"" }
    }
}

/// The path and query of a target, which may come with scheme and host before them.
fn origin(target: &[u8]) -> Option<&[u8]> {
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
