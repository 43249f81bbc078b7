//! The emulator's own reading and writing of HTTP/1.1, for parties and judge. It shares nothing with the sidecar's, so
//! that one can't hide the other's mistake; it knows no more than a well-behaved party needs.

use bytes::{Buf, Bytes, BytesMut};

/// What came is no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Garbled;

/// A whole message.
#[derive(Debug, Clone)]
pub struct Message {
    head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl Message {
    fn text(&self) -> &str {
        std::str::from_utf8(&self.head).unwrap_or_default()
    }

    fn word(&self, n: usize) -> &str {
        self.text().lines().next().unwrap_or_default().split(' ').nth(n).unwrap_or_default()
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.word(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.word(1)
    }

    /// The first part of a request's path.
    pub fn class(&self) -> &str {
        let path = self.target().split('?').next().unwrap_or_default();
        path.split('/').nth(1).unwrap_or_default()
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(self.text(), name)
    }

    /// A request's budget in nanoseconds.
    pub fn budget(&self) -> Option<u64> {
        let text = self.header("x-budget")?;
        let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
        let scale = match unit {
            "m" => 1e6,
            "u" => 1e3,
            _ => return None,
        };
        Some((number.parse::<f64>().ok()? * scale) as u64)
    }

    /// A figure of `X-Call-Info`.
    pub fn info(&self, name: &str) -> Option<f64> {
        let pairs = self.header("x-call-info")?.split(',');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
    }

    /// A backend server's word that the request never ran.
    pub fn rejected(&self) -> bool {
        matches!(self.status(), 503 | 504) && self.header("x-rejected") == Some("1")
    }

    /// The connection ends with this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads messages from the bytes of one direction.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// Bytes have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// No part of a message has come.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops what has come.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }

    /// Bytes that have come and belong to no whole message yet.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// The next whole message. One without a length has no body.
    pub fn take(&mut self) -> Result<Option<Message>, Garbled> {
        let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") else {
            return if self.buffer.len() > 64 << 10 { Err(Garbled) } else { Ok(None) };
        };
        let head = std::str::from_utf8(&self.buffer[..end]).map_err(|_| Garbled)?;
        let length = match header(head, "content-length") {
            Some(value) => value.parse::<usize>().map_err(|_| Garbled)?,
            None => 0,
        };
        if self.buffer.len() < end + 4 + length {
            return Ok(None);
        }
        let head = self.buffer.split_to(end).freeze();
        self.buffer.advance(4);
        Ok(Some(Message { head, body: self.buffer.split_to(length).freeze() }))
    }
}

/// An answer.
pub fn answer(status: u16, extra: &str, body: &str) -> Bytes {
    let word = match status {
        200 => "OK",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    };
    Bytes::from(format!("HTTP/1.1 {status} {word}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// What a request says.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Its class' name.
    pub class: &'a str,
    /// Whether it is a POST.
    pub post: bool,
    /// Its id.
    pub id: &'a str,
    /// Its budget in nanoseconds.
    pub budget: u64,
    /// Its key.
    pub key: Option<&'a str>,
    /// It is its client's further try.
    pub again: bool,
    /// Work in seconds on a yardstick core, over all tiers.
    pub work: f64,
}

impl Call<'_> {
    /// The request as bytes.
    pub fn bytes(&self) -> Bytes {
        use std::fmt::Write;
        let mut text = String::with_capacity(256);
        let method = if self.post { "POST" } else { "GET" };
        let _ = write!(
            text,
            "{method} /{}/x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {}\r\nX-Budget: {}u\r\nX-Call-Info: work={:.6}\r\n",
            self.class,
            self.id,
            self.budget / 1000,
            self.work,
        );
        if let Some(key) = self.key {
            let _ = write!(text, "Idempotency-Key: {key}\r\n");
        }
        if self.again {
            text.push_str("X-Again: 1\r\n");
        }
        if self.post {
            text.push_str("Content-Length: 4\r\n\r\nbody");
        } else {
            text.push_str("\r\n");
        }
        Bytes::from(text)
    }
}
