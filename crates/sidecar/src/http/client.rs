//! The side of a connection towards a backend server or discovery: one request out, one answer in.

use super::message::{
    Body, BodyPiece, Collected, Headers, MAX_BUFFERED_BODY, ParseError, READ_WINDOW, roomy, take_head,
};
use super::server::Request;
use bytes::{BufMut, Bytes, BytesMut};
use std::time::Duration;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its header lines.
    pub headers: Headers,
    /// Its body, or the beginning of it.
    pub body: Bytes,
    /// The rest of the body is still to come.
    pub streamed: Option<StreamedBody>,
}

/// What is known of a body that is not held whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamedBody {
    /// Its length, if the head says so.
    pub length: Option<usize>,
}

impl Response {
    /// The sender says that it has not run the request.
    pub fn rejected(&self) -> bool {
        matches!(self.status, 503 | 504) && self.headers.lists("x-rejected", "1")
    }

    /// The load report that came along.
    pub fn load_report(&self) -> Option<&Bytes> {
        self.headers.single("x-load-report").ok().flatten()
    }
}

/// Reads the answer to one request.
#[derive(Debug)]
pub struct ResponseReader {
    buffer: BytesMut,
    scanned: usize,
    head: Option<(u16, Headers, Body)>,
    most: usize,
    /// What is larger than this is handed out at its head.
    hold: usize,
    keep: bool,
    /// The answer must say where it ends.
    delimited: bool,
    /// Interim answers that have come.
    interim: usize,
}

/// So many interim answers may come before the one that counts.
const MAX_INTERIM: usize = 16;

impl ResponseReader {
    /// An exchange whose answer holds no more than `most` bytes of body.
    pub fn new(most: usize) -> ResponseReader {
        let buffer = BytesMut::with_capacity(1024);
        ResponseReader {
            buffer,
            scanned: 0,
            head: None,
            most,
            hold: most,
            keep: false,
            delimited: false,
            interim: 0,
        }
    }

    /// The same for one that is passed on, as it comes where it is large. Danger: a body that goes on until its
    /// connection ends looks whole wherever the sender broke off, so its head must say that the end was meant.
    pub fn delimited(most: usize) -> ResponseReader {
        ResponseReader { delimited: true, hold: MAX_BUFFERED_BODY.min(most), ..ResponseReader::new(most) }
    }

    /// An exchange whose answer is handed out at its head; its body of no more than `most` bytes follows in pieces.
    pub fn streamed(most: usize) -> ResponseReader {
        ResponseReader { hold: 0, ..ResponseReader::new(most) }
    }

    /// Part of the answer that counts has come.
    pub fn has_begun(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    /// The buffer that bytes are to be read into.
    pub fn buffer(&mut self) -> &mut BytesMut {
        let bulk = self
            .head
            .as_ref()
            .is_some_and(|(.., body)| body.left().is_none_or(|left| left > MAX_BUFFERED_BODY));
        roomy(&mut self.buffer, if bulk { READ_WINDOW } else { 4096 })
    }

    /// Looks at what has come. `ended`: no more bytes will come.
    pub fn step(&mut self, ended: bool) -> Result<Option<Response>, ParseError> {
        while self.head.is_none() {
            // Noise need not hold the end of a head; what can't begin an answer is not waited for.
            if !self.buffer.iter().zip(b"HTTP/1.").all(|(came, due)| came == due) {
                return Err(ParseError::Malformed);
            }
            let Some((line, headers)) = take_head(&mut self.buffer, &mut self.scanned)? else {
                return Ok(None);
            };
            let rest = line.strip_prefix(b"HTTP/1.").ok_or(ParseError::Malformed)?;
            let status = rest.get(2..5).filter(|_| matches!(rest.first(), Some(b'0' | b'1')));
            let status = status.filter(|s| rest[1] == b' ' && s.iter().all(u8::is_ascii_digit));
            let status =
                status.ok_or(ParseError::Malformed)?.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0'));
            // Interim answers come before the one that counts.
            if (100..200).contains(&status) {
                self.interim += 1;
                // Nobody asked for another protocol.
                if status == 101 || self.interim > MAX_INTERIM {
                    return Err(ParseError::Malformed);
                }
                continue;
            }
            let framed = Body::framed(&headers, self.most)?;
            self.keep = rest[0] == b'1' && !headers.lists("connection", "close") && framed.is_some();
            let body = match framed {
                _ if matches!(status, 204 | 304) => Body::none(),
                Some(body) => body,
                None if self.delimited && rest[0] == b'1' && !headers.lists("connection", "close") => {
                    return Err(ParseError::Malformed);
                }
                None => Body::until_end(self.most),
            };
            self.head = Some((status, headers, body));
        }
        let Some((status, headers, body)) = &mut self.head else { return Ok(None) };
        let (status, length) = (*status, body.left());
        match body.collect(&mut self.buffer, ended, self.hold)? {
            Collected::More => Ok(None),
            Collected::Whole(body) => {
                Ok(self.head.take().map(|(_, headers, _)| Response { status, headers, body, streamed: None }))
            }
            Collected::Large(body) => {
                let headers = std::mem::take(headers);
                Ok(Some(Response { status, headers, body, streamed: Some(StreamedBody { length }) }))
            }
        }
    }

    /// Of an answer that is not held whole, the next piece.
    pub fn next_piece(&mut self, ended: bool) -> Result<BodyPiece, ParseError> {
        let Some((_, _, body)) = &mut self.head else { return Ok(BodyPiece::End) };
        let piece = body.next_piece(&mut self.buffer, ended)?;
        if piece == BodyPiece::End {
            self.head = None;
        }
        Ok(piece)
    }

    /// The connection may carry another request: the answer kept it open and nothing came after it.
    pub fn reusable(&self) -> bool {
        self.keep && self.buffer.is_empty() && self.head.is_none()
    }
}

/// Headers that concern one connection only, or that are written anew.
const OWN: [&str; 10] = [
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "content-length",
    "expect",
    "x-budget",
];

/// The request as it goes to a backend server that will be waited for so long.
pub fn encode_request(request: &Request, wait: Duration) -> Bytes {
    let mut out = head(request, wait);
    let length = request.body.len();
    if length > 0 || request.method != "GET" {
        out.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(&request.body);
    out.freeze()
}

/// The same without its body, which follows: of this length or, where that is not known, in chunks.
pub fn encode_request_head(request: &Request, wait: Duration, length: Option<usize>) -> Bytes {
    let mut out = head(request, wait);
    match length {
        Some(length) => out.put_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes()),
        None => out.put_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
    }
    out.freeze()
}

fn head(request: &Request, wait: Duration) -> BytesMut {
    let mut out = BytesMut::with_capacity(512 + request.body.len());
    out.put_slice(&request.method);
    out.put_u8(b' ');
    out.put_slice(&request.target);
    out.put_slice(b" HTTP/1.1\r\n");
    for (name, value) in request.headers.iter() {
        let named = std::str::from_utf8(name).unwrap_or_default();
        if OWN.iter().any(|own| own.eq_ignore_ascii_case(named)) || request.headers.lists("connection", named)
        {
            continue;
        }
        out.put_slice(name);
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
    out.put_slice(format!("X-Budget: {}u\r\n", wait.as_micros()).as_bytes());
    out
}

/// A plain GET.
pub fn encode_get(target: &str, host: &str) -> Bytes {
    Bytes::from(format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"))
}
