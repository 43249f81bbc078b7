//! What requests and answers have in common: a head, and a body framed by it.

use bytes::{Buf, Bytes, BytesMut};

/// The longest head that is read.
pub const MAX_HEAD: usize = 16 * 1024;
/// The longest body that is read.
pub const MAX_BODY: usize = 64 * 1024;

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
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
    pub fn single<'a>(&'a self, name: &'a str) -> Result<Option<&'a Bytes>, Fault> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (value, None) => Ok(value),
            _ => Err(Fault::Malformed),
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
) -> Result<Option<(Bytes, Headers)>, Fault> {
    // Guards against empty lines sent after a body, which a reader is to pass over before a first line.
    while *scanned == 0 && buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    let from = scanned.saturating_sub(3);
    let Some(end) = buffer[from..].windows(4).position(|w| w == b"\r\n\r\n").map(|at| from + at) else {
        *scanned = buffer.len();
        return if buffer.len() > MAX_HEAD { Err(Fault::HeadTooLong) } else { Ok(None) };
    };
    *scanned = 0;
    if end > MAX_HEAD {
        return Err(Fault::HeadTooLong);
    }
    let mut head = buffer.split_to(end + 4).freeze();
    head.truncate(end);
    // Danger: whoever reads the same bytes next may not take a bare line feed for the end of a line.
    if head.iter().enumerate().any(|(at, &b)| b == b'\n' && (at == 0 || head[at - 1] != b'\r')) {
        return Err(Fault::Malformed);
    }
    let mut lines = head.split(|&b| b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let first = lines.next().ok_or(Fault::Malformed)?;
    let mut headers = Vec::new();
    for line in lines {
        let colon = line.iter().position(|&b| b == b':').ok_or(Fault::Malformed)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        let token = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
        if name.is_empty() || !name.iter().all(token) || !value.iter().all(plain) {
            return Err(Fault::Malformed);
        }
        // An empty slice may lie outside the buffer as far as `slice_ref` is concerned.
        let value = if value.is_empty() { Bytes::new() } else { head.slice_ref(value) };
        headers.push((head.slice_ref(name), value));
    }
    if first.is_empty() || !first.iter().all(plain) {
        return Err(Fault::Malformed);
    }
    Ok(Some((head.slice_ref(first), Headers(headers))))
}

/// Makes room for the next read. Left to itself, a full buffer grows by a few bytes at a time.
pub(super) fn roomy(buffer: &mut BytesMut) -> &mut BytesMut {
    if buffer.capacity() - buffer.len() < 512 {
        buffer.reserve(4096);
    }
    buffer
}

fn plain(b: &u8) -> bool {
    *b == b'\t' || (*b >= 0x20 && *b != 0x7f)
}

/// How far a body has been read.
#[derive(Debug)]
pub(super) enum Body {
    /// So many bytes.
    Length(usize),
    /// Chunks, of which so many bytes of the current one are left.
    Chunked { left: usize, within: bool, trailer: bool, whole: BytesMut },
    /// All until the connection ends.
    UntilEnd,
}

impl Body {
    /// What the head says of the body; `None` where it says nothing.
    pub(super) fn framed(headers: &Headers, most: usize) -> Result<Option<Body>, Fault> {
        let length = headers.single("content-length")?;
        if let Some(coding) = headers.single("transfer-encoding")? {
            // Danger: two framings that disagree let one message hide within another.
            if length.is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
                return Err(Fault::Malformed);
            }
            let whole = BytesMut::new();
            return Ok(Some(Body::Chunked { left: 0, within: false, trailer: false, whole }));
        }
        let Some(length) = length else { return Ok(None) };
        if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
            return Err(Fault::Malformed);
        }
        // A number that does not fit is a body that is too long, whatever it is exactly.
        match std::str::from_utf8(length).ok().and_then(|l| l.parse::<usize>().ok()) {
            Some(length) if length <= most => Ok(Some(Body::Length(length))),
            _ => Err(Fault::BodyTooLong),
        }
    }

    /// Takes the body off the buffer once it is whole. `ended`: no more bytes will come.
    pub(super) fn take(
        &mut self,
        buffer: &mut BytesMut,
        ended: bool,
        most: usize,
    ) -> Result<Option<Bytes>, Fault> {
        match self {
            Body::Length(length) if buffer.len() >= *length => Ok(Some(buffer.split_to(*length).freeze())),
            Body::Length(_) => Ok(None),
            Body::UntilEnd if buffer.len() > most => Err(Fault::BodyTooLong),
            Body::UntilEnd => Ok(ended.then(|| buffer.split().freeze())),
            Body::Chunked { left, within, trailer, whole } => loop {
                if *within {
                    let part = buffer.split_to((*left).min(buffer.len()));
                    *left -= part.len();
                    whole.extend_from_slice(&part);
                    if *left > 0 || buffer.len() < 2 {
                        return Ok(None);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(Fault::Malformed);
                    }
                    buffer.advance(2);
                    *within = false;
                }
                let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
                    return if buffer.len() > 1024 { Err(Fault::Malformed) } else { Ok(None) };
                };
                let line = buffer.split_to(end + 2);
                let line = &line[..end];
                if *trailer {
                    if line.is_empty() {
                        return Ok(Some(whole.split().freeze()));
                    }
                    continue;
                }
                let size = line.split(|&b| b == b';').next().unwrap_or_default().trim_ascii();
                let digits = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
                let size = std::str::from_utf8(size).ok().filter(|_| digits).ok_or(Fault::Malformed)?;
                let size = usize::from_str_radix(size, 16).map_err(|_| Fault::BodyTooLong)?;
                if size > most.saturating_sub(whole.len()) {
                    return Err(Fault::BodyTooLong);
                }
                (*left, *within, *trailer) = (size, size > 0, size == 0);
            },
        }
    }
}
