//! Messages of HTTP/1.1 as the stand-ins read them: a head, and a body of the length that the head tells.

use cometcroft_platform::{Platform, Tokio};
use std::io;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt};

const BLANK_LINE: &[u8] = b"\r\n\r\n";
const PIECE: usize = 16 * 1024;

/// A message that has come whole.
#[derive(Debug)]
pub(crate) struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }

    /// The method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.head.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// What a connection has brought and nobody has taken yet.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    bytes: Vec<u8>,
}

impl Inbox {
    /// Nothing lies here.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes the first message if it has come whole.
    pub fn take(&mut self) -> Option<Message> {
        let end = self.bytes.windows(BLANK_LINE.len()).position(|window| window == BLANK_LINE)?;
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let begins = end + BLANK_LINE.len();
        if self.bytes.len() < begins + length {
            return None;
        }
        let body = self.bytes[begins..begins + length].to_vec();
        self.bytes.drain(..begins + length);
        Some(Message { head, body })
    }

    /// Reads more and tells when it came; `None` at the end.
    pub async fn read(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Instant>> {
        let mut piece = vec![0; PIECE];
        let read = stream.read(&mut piece).await?;
        self.bytes.extend_from_slice(&piece[..read]);
        Ok((read > 0).then(|| Tokio.now()))
    }

    /// The next whole message; `None` at the end.
    pub async fn receive(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take() {
                return Ok(Some(message));
            }
            if self.read(stream).await?.is_none() {
                return Ok(None);
            }
        }
    }
}
