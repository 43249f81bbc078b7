//! What requests and answers have in common: a head, and a body framed by it.

use bytes::{Buf, Bytes, BytesMut};

/// The longest head that is read.
pub const MAX_HEAD: usize = 16 * 1024;
/// The longest body that is held whole.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// The longest body that is passed on.
pub const MAX_STREAMED_BODY: usize = 32 << 20;
/// So much of a larger one is read at once.
pub const READ_WINDOW: usize = 32 * 1024;

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// It is not HTTP/1.1 or contradicts itself.
    Malformed,
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
}

/// The header lines of a message, as slices of the buffer that it was read into.
#[derive(Debug, Clone, Default)]
pub struct Headers(Vec<(Bytes, Bytes)>);

impl Headers {
    /// All lines with their names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.0.iter().map(|(name, value)| (&name[..], &value[..]))
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(move |h| h.0.eq_ignore_ascii_case(name.as_bytes())).map(|h| &h.1)
    }

    /// The value of a header that may be there once; twice is a fault.
    pub fn single<'a>(&'a self, name: &'a str) -> Result<Option<&'a Bytes>, ParseError> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (value, None) => Ok(value),
            _ => Err(ParseError::Malformed),
        }
    }

    /// Whether a header that is a list of words holds this one.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let words = self.all(name).flat_map(|value| value.split(|&b| b == b','));
        words.into_iter().any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }
}

/// Cuts a whole head off the buffer and returns its first line and its header lines.
pub(super) fn take_head(
    buffer: &mut BytesMut,
    scanned: &mut usize,
) -> Result<Option<(Bytes, Headers)>, ParseError> {
    // Guards against empty lines sent after a body, which a reader is to pass over before a first line.
    while *scanned == 0 && buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    // Danger: half of such a line, taken for the start of a head, would make it one that begins with nothing.
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
    let mut head = buffer.split_to(end + 4).freeze();
    head.truncate(end);
    // Danger: whoever reads the same bytes next may not take a bare line feed for the end of a line.
    if head.iter().enumerate().any(|(at, &b)| b == b'\n' && (at == 0 || head[at - 1] != b'\r')) {
        return Err(ParseError::Malformed);
    }
    let mut lines = head.split(|&b| b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let first = lines.next().ok_or(ParseError::Malformed)?;
    let mut headers = Vec::new();
    for line in lines {
        let colon = line.iter().position(|&b| b == b':').ok_or(ParseError::Malformed)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        let token = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
        if name.is_empty() || !name.iter().all(token) || !value.iter().all(plain) {
            return Err(ParseError::Malformed);
        }
        // An empty slice may lie outside the buffer as far as `slice_ref` is concerned.
        let value = if value.is_empty() { Bytes::new() } else { head.slice_ref(value) };
        headers.push((head.slice_ref(name), value));
    }
    if first.is_empty() || !first.iter().all(plain) {
        return Err(ParseError::Malformed);
    }
    Ok(Some((head.slice_ref(first), Headers(headers))))
}

/// Makes room for the next read. Left to itself, a full buffer grows by a few bytes at a time.
pub(super) fn roomy(buffer: &mut BytesMut, window: usize) -> &mut BytesMut {
    if buffer.capacity() - buffer.len() < 512 {
        buffer.reserve(window);
    }
    buffer
}

fn plain(b: &u8) -> bool {
    *b == b'\t' || (*b >= 0x20 && *b != 0x7f)
}

/// What has come of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyPiece {
    /// Some of it.
    Bytes(Bytes),
    /// Nothing until more is read.
    More,
    /// Its end.
    End,
}

/// What has come of a body that may be wanted whole.
#[derive(Debug)]
pub(super) enum Collected {
    More,
    Whole(Bytes),
    /// It is larger than what is held; this much of it has been taken off the buffer.
    Large(Bytes),
}

#[derive(Debug)]
enum Framing {
    /// So many bytes are still to come.
    Length(usize),
    /// Chunks, of which so many bytes of the current one are left.
    Chunked { left: usize, within: bool, trailer: bool },
    /// All until the connection ends.
    UntilEnd,
}

/// How a body is framed, how far it has been read and how much more of it may come.
#[derive(Debug)]
pub(super) struct Body {
    framing: Framing,
    room: usize,
    /// Bytes of lines between chunks and behind them that may still come without any of the body.
    lines: usize,
    held: BytesMut,
}

/// Lines of chunk sizes and trailers may hold so many bytes between them.
const MAX_LINES: usize = 8 * 1024;

impl Body {
    fn new(framing: Framing, room: usize) -> Body {
        Body { framing, room, lines: MAX_LINES, held: BytesMut::new() }
    }

    /// No body.
    pub(super) fn none() -> Body {
        Body::new(Framing::Length(0), 0)
    }

    /// A body that its connection's end ends.
    pub(super) fn until_end(most: usize) -> Body {
        Body::new(Framing::UntilEnd, most)
    }

    /// What the head says of the body; `None` where it says nothing.
    pub(super) fn framed(headers: &Headers, most: usize) -> Result<Option<Body>, ParseError> {
        let length = headers.single("content-length")?;
        if let Some(coding) = headers.single("transfer-encoding")? {
            // Danger: two framings that disagree let one message hide within another.
            if length.is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
                return Err(ParseError::Malformed);
            }
            let framing = Framing::Chunked { left: 0, within: false, trailer: false };
            return Ok(Some(Body::new(framing, most)));
        }
        let Some(length) = length else { return Ok(None) };
        if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
            return Err(ParseError::Malformed);
        }
        // A number that does not fit is a body that is too long, whatever it is exactly.
        match std::str::from_utf8(length).ok().and_then(|l| l.parse::<usize>().ok()) {
            Some(length) if length <= most => Ok(Some(Body::new(Framing::Length(length), most))),
            _ => Err(ParseError::BodyTooLong),
        }
    }

    /// What is still to come, where that is known.
    pub(super) fn left(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(left) => Some(left),
            _ => None,
        }
    }

    /// Takes the body off the buffer once it is whole, or what there is of it once it is known to be larger than `hold`.
    pub(super) fn collect(
        &mut self,
        buffer: &mut BytesMut,
        ended: bool,
        hold: usize,
    ) -> Result<Collected, ParseError> {
        // A body of known length lies in the buffer until it is whole, and is cut off it without a copy.
        if let Framing::Length(left) = self.framing {
            return Ok(match left {
                _ if left > hold => Collected::Large(Bytes::new()),
                _ if buffer.len() < left => Collected::More,
                _ => Collected::Whole(buffer.split_to(left).freeze()),
            });
        }
        loop {
            match self.next_piece(buffer, ended)? {
                BodyPiece::Bytes(piece) => self.held.extend_from_slice(&piece),
                BodyPiece::More => return Ok(Collected::More),
                BodyPiece::End => return Ok(Collected::Whole(self.held.split().freeze())),
            }
            if self.held.len() > hold {
                return Ok(Collected::Large(std::mem::take(&mut self.held).freeze()));
            }
        }
    }

    /// Takes the next piece off the buffer. `ended`: no more bytes will come.
    pub(super) fn next_piece(&mut self, buffer: &mut BytesMut, ended: bool) -> Result<BodyPiece, ParseError> {
        loop {
            let most = match &mut self.framing {
                Framing::Length(0) => return Ok(BodyPiece::End),
                Framing::Length(left) => *left,
                Framing::UntilEnd if buffer.is_empty() && ended => return Ok(BodyPiece::End),
                Framing::UntilEnd => usize::MAX,
                Framing::Chunked { left: 0, within, trailer } => {
                    if *within {
                        if buffer.len() < 2 {
                            return Ok(BodyPiece::More);
                        }
                        if !buffer.starts_with(b"\r\n") {
                            return Err(ParseError::Malformed);
                        }
                        buffer.advance(2);
                        *within = false;
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
                    // Danger: lines that never come to an end would be read for ever.
                    self.lines = self.lines.checked_sub(end + 2).ok_or(ParseError::Malformed)?;
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
                    if size > self.room {
                        return Err(ParseError::BodyTooLong);
                    }
                    self.framing = Framing::Chunked { left: size, within: size > 0, trailer: size == 0 };
                    continue;
                }
                Framing::Chunked { left, .. } => *left,
            };
            let came = most.min(buffer.len());
            if came == 0 {
                return Ok(BodyPiece::More);
            }
            self.room = self.room.checked_sub(came).ok_or(ParseError::BodyTooLong)?;
            // Body buys lines: small chunks are slow, but they end.
            self.lines = (self.lines + came.saturating_mul(16)).min(MAX_LINES);
            if let Framing::Length(left) | Framing::Chunked { left, .. } = &mut self.framing {
                *left -= came;
            }
            return Ok(BodyPiece::Bytes(buffer.split_to(came).freeze()));
        }
    }
}
