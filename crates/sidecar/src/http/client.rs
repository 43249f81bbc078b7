//! The client side of a connection, towards an endpoint or discovery: one request is written, one response
//! read.

use super::message::{
    Body, BodyPiece, Collected, Headers, MAX_BUFFERED_BODY, ParseError, READ_WINDOW, ensure_capacity,
    take_head,
};
use super::server::Request;
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::HashSet;
use std::time::Duration;

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body, or the beginning of it.
    pub body: Bytes,
    /// Set if the rest of the body is still to come.
    pub streamed: Option<StreamedBody>,
}

/// Description of a body that is not held completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamedBody {
    /// The length, if the head states it.
    pub length: Option<usize>,
}

impl Response {
    /// Returns whether the sender guarantees that it has not run the request.
    pub fn rejected(&self) -> bool {
        matches!(self.status, 503 | 504) && self.headers.lists("x-rejected", "1")
    }

    /// The load report that came with the response.
    pub fn load_report(&self) -> Option<&[u8]> {
        self.headers.single("x-load-report").ok().flatten()
    }
}

/// Reads the response to one request.
#[derive(Debug)]
pub struct ResponseReader {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of a head.
    scanned: usize,
    head: Option<(u16, Headers, Body)>,
    limit: usize,
    /// Larger bodies are returned with their head, and follow in pieces.
    max_buffered: usize,
    keep_alive: bool,
    /// The response must state where it ends.
    delimited: bool,
    /// Number of interim responses (1xx) received.
    interim_count: usize,
}

/// Maximum number of interim responses before the final one.
const MAX_INTERIM: usize = 16;

impl ResponseReader {
    /// Creates a reader for a response with at most `limit` bytes of body.
    pub fn new(limit: usize) -> ResponseReader {
        ResponseReader {
            buffer: BytesMut::new(),
            scanned: 0,
            head: None,
            limit,
            max_buffered: limit,
            keep_alive: false,
            delimited: false,
            interim_count: 0,
        }
    }

    /// Creates a reader for a response that is forwarded, and returned in pieces if it is large. A body that
    /// ends with its connection looks complete wherever the sender broke off, so the head must announce that
    /// end.
    pub fn delimited(limit: usize) -> ResponseReader {
        ResponseReader {
            delimited: true,
            max_buffered: MAX_BUFFERED_BODY.min(limit),
            ..ResponseReader::new(limit)
        }
    }

    /// Creates a reader that returns a response with its head; the body of at most `limit` bytes follows in
    /// pieces.
    pub fn streamed(limit: usize) -> ResponseReader {
        ResponseReader { max_buffered: 0, ..ResponseReader::new(limit) }
    }

    /// Returns whether a part of the final response has arrived.
    pub fn has_begun(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    /// The buffer to read into.
    pub fn buffer(&mut self) -> &mut BytesMut {
        let is_large = self
            .head
            .as_ref()
            .is_some_and(|(.., body)| body.left().is_none_or(|left| left > MAX_BUFFERED_BODY));
        ensure_capacity(&mut self.buffer, if is_large { READ_WINDOW } else { 4096 })
    }

    /// Parses the bytes received so far. `at_end`: no more bytes will come.
    pub fn step(&mut self, at_end: bool) -> Result<Option<Response>, ParseError> {
        while self.head.is_none() {
            // Bytes that can't begin a response are rejected at once; they need not contain the end of a head.
            if !self.buffer.iter().zip(b"HTTP/1.").all(|(actual, expected)| actual == expected) {
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
            // Interim responses come before the final one.
            if (100..200).contains(&status) {
                self.interim_count += 1;
                // The sidecar never asks for another protocol.
                if status == 101 || self.interim_count > MAX_INTERIM {
                    return Err(ParseError::Malformed);
                }
                continue;
            }
            let framing = Body::from_headers(&headers, self.limit)?;
            self.keep_alive = rest[0] == b'1' && !headers.lists("connection", "close") && framing.is_some();
            let body = match framing {
                _ if matches!(status, 204 | 304) => Body::none(),
                Some(body) => body,
                None if self.delimited && rest[0] == b'1' && !headers.lists("connection", "close") => {
                    return Err(ParseError::Malformed);
                }
                None => Body::until_end(self.limit),
            };
            self.head = Some((status, headers, body));
        }
        let Some((status, headers, body)) = &mut self.head else { return Ok(None) };
        let (status, length) = (*status, body.left());
        match body.collect(&mut self.buffer, at_end, self.max_buffered)? {
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

    /// Number of bytes held.
    pub fn held_bytes(&self) -> usize {
        let head =
            self.head.as_ref().map_or(0, |(_, headers, body)| headers.held_bytes() + body.held_bytes());
        self.buffer.capacity() + head
    }

    /// Returns whether the head of a response that may be forwarded has arrived.
    pub fn can_stream(&self) -> bool {
        self.head.as_ref().is_some_and(|(status, ..)| *status == 200)
    }

    /// The buffer that received bytes are appended to.
    pub fn received(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns whether the head has arrived and does not tell how long the body is.
    pub fn has_unknown_length(&self) -> bool {
        self.head.as_ref().is_some_and(|(.., body)| body.left().is_none())
    }

    /// Returns the response with the part of its body that has arrived; the rest follows in pieces. `None` before the end of
    /// the head.
    pub fn begin_streaming(&mut self) -> Option<Response> {
        let (status, headers, body) = self.head.as_mut()?;
        let (status, length, headers) = (*status, body.left(), std::mem::take(headers));
        Some(Response {
            status,
            headers,
            body: body.take_buffered(),
            streamed: Some(StreamedBody { length }),
        })
    }

    /// Returns the next piece of a response that is not held completely.
    pub fn next_piece(&mut self, at_end: bool) -> Result<BodyPiece, ParseError> {
        let Some((_, _, body)) = &mut self.head else { return Ok(BodyPiece::End) };
        let piece = body.next_piece(&mut self.buffer, at_end)?;
        if piece == BodyPiece::End {
            self.head = None;
        }
        Ok(piece)
    }

    /// Returns whether the connection can carry another request: the response kept it open and nothing came after
    /// it.
    pub fn reusable(&self) -> bool {
        self.keep_alive && self.buffer.is_empty() && self.head.is_none()
    }
}

/// Headers that concern a single connection, or that are written anew.
const NOT_FORWARDED: [&str; 10] = [
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

/// Upper bound of what a forwarded head has more than the one received, spaces after colons aside.
const ADDED_TO_HEAD: usize = 128;

/// Encodes the head of a request for an endpoint whose response is awaited for `wait`. The body follows as it was received.
pub fn encode_request(request: &Request, wait: Duration) -> Bytes {
    let mut out = head(request, wait);
    let length = request.body.len();
    if length > 0 || request.method != "GET" {
        out.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.put_slice(b"\r\n");
    // A short body is written together with its head.
    if length <= MAX_COPIED_BODY {
        out.put_slice(&request.body);
    }
    out.freeze()
}

/// The part of a request's body that [`encode_request`] leaves to be written separately.
pub fn separate_body(request: &Request) -> Bytes {
    if request.body.len() <= MAX_COPIED_BODY { Bytes::new() } else { request.body.clone() }
}

/// Maximum length of a body that is copied to be written together with its head.
const MAX_COPIED_BODY: usize = 4 * 1024;

/// Encodes a request without its body, which follows: of this length or, if that is not known, in chunks.
pub fn encode_request_head(request: &Request, wait: Duration, length: Option<usize>) -> Bytes {
    let mut out = head(request, wait);
    match length {
        Some(length) => out.put_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes()),
        None => out.put_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
    }
    out.freeze()
}

fn head(request: &Request, wait: Duration) -> BytesMut {
    let mut out = BytesMut::with_capacity(ADDED_TO_HEAD + request.headers.held_bytes());
    let hop_by_hop: HashSet<Vec<u8>> =
        request.headers.list("connection").map(<[u8]>::to_ascii_lowercase).collect();
    out.put_slice(&request.method);
    out.put_u8(b' ');
    out.put_slice(&request.target);
    out.put_slice(b" HTTP/1.1\r\n");
    for (name, value) in request.headers.iter() {
        let named = std::str::from_utf8(name).unwrap_or_default();
        if NOT_FORWARDED.iter().any(|name| name.eq_ignore_ascii_case(named))
            || (!hop_by_hop.is_empty() && hop_by_hop.contains(&name.to_ascii_lowercase()))
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

/// Encodes a GET request.
pub fn encode_get(target: &str, host: &str) -> Bytes {
    Bytes::from(format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"))
}
