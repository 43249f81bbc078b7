//! The common parts of requests and responses: a head, and a body framed by it.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of a head.
pub const MAX_HEAD: usize = 16 * 1024;
/// Maximum size of a body that is held completely.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Maximum size of a body that is forwarded while it arrives.
pub const MAX_STREAMED_BODY: usize = 32 << 20;
/// Buffer space reserved for reading a larger body.
pub const READ_WINDOW: usize = 32 * 1024;

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// Not HTTP/1.1, or contradicts itself.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
}

/// The headers of a message, as they were received. They are parsed anew with each use: an index of thousands of short
/// fields would take up many times their memory.
#[derive(Debug, Clone, Default)]
pub struct Headers {
    /// The head without its blank line; every line is valid.
    head: Bytes,
    /// Length of the first line.
    first_line: usize,
}

impl Headers {
    /// All headers with their names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        header_lines(&self.head[self.first_line..]).filter_map(split_header)
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |header| header.0.eq_ignore_ascii_case(name.as_bytes()))
            .map(|header| header.1)
    }

    /// Number of bytes held.
    pub fn held_bytes(&self) -> usize {
        self.head.len()
    }

    /// The value of a header that may occur once; an error if it occurs twice.
    pub fn single<'a>(&'a self, name: &'a str) -> Result<Option<&'a [u8]>, ParseError> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (value, None) => Ok(value),
            _ => Err(ParseError::Malformed),
        }
    }

    /// The words of a header that is a comma-separated list.
    pub fn list<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.all(name).flat_map(|value| value.split(|&b| b == b',')).map(<[u8]>::trim_ascii)
    }

    /// Returns whether a header that is a comma-separated list contains this word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        self.list(name).any(|found| found.eq_ignore_ascii_case(word.as_bytes()))
    }
}

/// The lines after the first one, whose length was cut off.
fn header_lines(rest: &[u8]) -> impl Iterator<Item = &[u8]> {
    rest.split(|&b| b == b'\n').skip(1).map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// The name and the value of a header line.
fn split_header(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|&b| b == b':')?;
    Some((&line[..colon], line[colon + 1..].trim_ascii()))
}

/// Takes a complete head off the buffer and returns its first line and its headers.
pub(super) fn take_head(
    buffer: &mut BytesMut,
    scanned: &mut usize,
) -> Result<Option<(Bytes, Headers)>, ParseError> {
    // Some senders put empty lines after a body; a reader has to skip them before a first line.
    while *scanned == 0 && buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    // Half of such an empty line must not be taken for the start of a head, whose first line would then be
    // empty.
    if *scanned == 0 && buffer[..] == b"\r"[..] {
        return Ok(None);
    }
    let from = scanned.saturating_sub(3);
    let Some(end) = buffer[from..].windows(4).position(|w| w == b"\r\n\r\n").map(|at| from + at) else {
        *scanned = buffer.len();
        return if buffer.len() > MAX_HEAD { Err(ParseError::HeadTooLong) } else { Ok(None) };
    };
    *scanned = 0;
    if end > MAX_HEAD {
        return Err(ParseError::HeadTooLong);
    }
    // A copy holds no more than the head, and leaves the buffer to the connection.
    let head = Bytes::copy_from_slice(&buffer[..end]);
    buffer.advance(end + 4);
    release_if_empty(buffer);
    // A bare line feed is rejected: the next reader of the same bytes may not take it for the end of a line.
    if head.iter().enumerate().any(|(at, &b)| b == b'\n' && (at == 0 || head[at - 1] != b'\r')) {
        return Err(ParseError::Malformed);
    }
    let first_line = head.iter().position(|&b| b == b'\n').map_or(head.len(), |at| at - 1);
    let first = head.slice(..first_line);
    for line in header_lines(&head[first_line..]) {
        let (name, value) = split_header(line).ok_or(ParseError::Malformed)?;
        let token = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
        if name.is_empty() || !name.iter().all(token) || !value.iter().all(is_field_byte) {
            return Err(ParseError::Malformed);
        }
    }
    if first.is_empty() || !first.iter().all(is_field_byte) {
        return Err(ParseError::Malformed);
    }
    Ok(Some((first, Headers { head, first_line })))
}

/// Returns the memory of a buffer that is not in use.
pub(super) fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() {
        *buffer = BytesMut::new();
    }
}

/// Reserves space for the next read. By itself, a full buffer would grow by a few bytes at a time.
pub(super) fn ensure_capacity(buffer: &mut BytesMut, window: usize) -> &mut BytesMut {
    if buffer.capacity() - buffer.len() < 512 {
        buffer.reserve(window);
    }
    buffer
}

fn is_field_byte(b: &u8) -> bool {
    *b == b'\t' || (*b >= 0x20 && *b != 0x7f)
}

/// A part of a body that is being read.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyPiece {
    /// The next bytes.
    Bytes(Bytes),
    /// More input is needed.
    More,
    /// The end of the body.
    End,
}

/// A body that is held completely, if it is small enough.
#[derive(Debug)]
pub(super) enum Collected {
    More,
    Whole(Bytes),
    /// The body is larger than may be held; these bytes of it have been taken off the buffer.
    Large(Bytes),
}

#[derive(Debug)]
enum Framing {
    /// Number of bytes still to come.
    Length(usize),
    /// Chunks, with the number of bytes left of the current one.
    Chunked { left: usize, in_chunk: bool, trailer: bool },
    /// The body ends with the connection.
    UntilEnd,
}

/// How a body is framed, how far it has been read and how much more of it may come.
#[derive(Debug)]
pub(super) struct Body {
    framing: Framing,
    body_bytes_left: usize,
    /// Bytes that chunk size lines and trailers may still take up before more of the body arrives.
    line_bytes_left: usize,
    buffered: BytesMut,
}

/// Maximum number of bytes of chunk size lines and trailers without body bytes between them.
const MAX_LINE_BYTES: usize = 8 * 1024;

impl Body {
    fn new(framing: Framing, body_bytes_left: usize) -> Body {
        Body { framing, body_bytes_left, line_bytes_left: MAX_LINE_BYTES, buffered: BytesMut::new() }
    }

    /// An empty body.
    pub(super) fn none() -> Body {
        Body::new(Framing::Length(0), 0)
    }

    /// A body that ends with its connection.
    pub(super) fn until_end(limit: usize) -> Body {
        Body::new(Framing::UntilEnd, limit)
    }

    /// The body as described by the headers; `None` if they say nothing about it.
    pub(super) fn from_headers(headers: &Headers, limit: usize) -> Result<Option<Body>, ParseError> {
        let length = headers.single("content-length")?;
        if let Some(coding) = headers.single("transfer-encoding")? {
            // Two framings that disagree would allow one message to be hidden within another (request
            // smuggling).
            if length.is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
                return Err(ParseError::Malformed);
            }
            let framing = Framing::Chunked { left: 0, in_chunk: false, trailer: false };
            return Ok(Some(Body::new(framing, limit)));
        }
        let Some(length) = length else { return Ok(None) };
        if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
            return Err(ParseError::Malformed);
        }
        // A number that does not fit into the type stands for a body that is too long in any case.
        match std::str::from_utf8(length).ok().and_then(|l| l.parse::<usize>().ok()) {
            Some(length) if length <= limit => Ok(Some(Body::new(Framing::Length(length), limit))),
            _ => Err(ParseError::BodyTooLong),
        }
    }

    /// Number of bytes still to come, if that is known.
    pub(super) fn left(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(left) => Some(left),
            _ => None,
        }
    }

    /// Takes the body off the buffer once it is complete, or the bytes received once it is known to be larger
    /// than `max_buffered`.
    pub(super) fn collect(
        &mut self,
        buffer: &mut BytesMut,
        at_end: bool,
        max_buffered: usize,
    ) -> Result<Collected, ParseError> {
        // A body of known length stays in the buffer until it is complete.
        if let Framing::Length(left) = self.framing {
            return Ok(match left {
                _ if left > max_buffered => Collected::Large(Bytes::new()),
                _ if buffer.len() < left => Collected::More,
                _ => {
                    let body = Bytes::copy_from_slice(&buffer[..left]);
                    buffer.advance(left);
                    release_if_empty(buffer);
                    Collected::Whole(body)
                }
            });
        }
        loop {
            match self.next_piece(buffer, at_end)? {
                BodyPiece::Bytes(piece) => self.buffered.extend_from_slice(&piece),
                BodyPiece::More => return Ok(Collected::More),
                BodyPiece::End => return Ok(Collected::Whole(self.buffered.split().freeze())),
            }
            if self.buffered.len() > max_buffered {
                return Ok(Collected::Large(std::mem::take(&mut self.buffered).freeze()));
            }
        }
    }

    /// Number of bytes held of a body of unknown length.
    pub(super) fn held_bytes(&self) -> usize {
        self.buffered.capacity()
    }

    /// Takes the part of a body of unknown length that has been collected.
    pub(super) fn take_buffered(&mut self) -> Bytes {
        std::mem::take(&mut self.buffered).freeze()
    }

    /// Takes the next piece off the buffer. `at_end`: no more bytes will come.
    pub(super) fn next_piece(
        &mut self,
        buffer: &mut BytesMut,
        at_end: bool,
    ) -> Result<BodyPiece, ParseError> {
        loop {
            let limit = match &mut self.framing {
                Framing::Length(0) => return Ok(BodyPiece::End),
                Framing::Length(left) => *left,
                Framing::UntilEnd if buffer.is_empty() && at_end => return Ok(BodyPiece::End),
                Framing::UntilEnd => usize::MAX,
                Framing::Chunked { left: 0, in_chunk, trailer } => {
                    if *in_chunk {
                        if buffer.len() < 2 {
                            return Ok(BodyPiece::More);
                        }
                        if !buffer.starts_with(b"\r\n") {
                            return Err(ParseError::Malformed);
                        }
                        buffer.advance(2);
                        *in_chunk = false;
                    }
                    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
                        return if buffer.len() > 1024 {
                            Err(ParseError::Malformed)
                        } else {
                            Ok(BodyPiece::More)
                        };
                    };
                    let line = buffer.split_to(end + 2);
                    let line = &line[..end];
                    // Without this limit, a sender could keep the reader busy forever with lines that carry no
                    // body.
                    self.line_bytes_left =
                        self.line_bytes_left.checked_sub(end + 2).ok_or(ParseError::Malformed)?;
                    if *trailer {
                        if line.is_empty() {
                            self.framing = Framing::Length(0);
                        }
                        continue;
                    }
                    let size = line.split(|&b| b == b';').next().unwrap_or_default().trim_ascii();
                    let digits = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
                    let size =
                        std::str::from_utf8(size).ok().filter(|_| digits).ok_or(ParseError::Malformed)?;
                    let size = usize::from_str_radix(size, 16).map_err(|_| ParseError::BodyTooLong)?;
                    if size > self.body_bytes_left {
                        return Err(ParseError::BodyTooLong);
                    }
                    self.framing = Framing::Chunked { left: size, in_chunk: size > 0, trailer: size == 0 };
                    continue;
                }
                Framing::Chunked { left, .. } => *left,
            };
            let received = limit.min(buffer.len());
            if received == 0 {
                return Ok(BodyPiece::More);
            }
            self.body_bytes_left =
                self.body_bytes_left.checked_sub(received).ok_or(ParseError::BodyTooLong)?;
            // Body bytes extend the limit on line bytes: a body in small chunks is slow to read, but it ends.
            self.line_bytes_left = (self.line_bytes_left + received.saturating_mul(16)).min(MAX_LINE_BYTES);
            if let Framing::Length(left) | Framing::Chunked { left, .. } = &mut self.framing {
                *left -= received;
            }
            return Ok(BodyPiece::Bytes(buffer.split_to(received).freeze()));
        }
    }
}
