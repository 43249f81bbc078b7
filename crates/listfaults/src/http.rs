//! As much of HTTP/1.1 as the stand-ins need: heads of requests, and answers of sidecars.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const MAX_HEAD: usize = 16 << 10;
const MAX_ANSWER: usize = 1 << 20;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Takes a whole head off the front of a buffer.
pub fn take_head(buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    let Some(at) = buffer.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) else {
        return if buffer.len() > MAX_HEAD { Err(io::ErrorKind::InvalidData.into()) } else { Ok(None) };
    };
    let head: Vec<u8> = buffer.drain(..at + HEAD_END.len()).collect();
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

/// Reads one head; `None` at the connection's end.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(head) = take_head(buffer)? {
            return Ok(Some(head));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// The value of a header line.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim());
    values.next()
}

/// The target of a request's head.
pub fn target(head: &str) -> Option<&str> {
    head.split(' ').nth(1)
}

/// The value of a parameter in a target's query.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// An answer of a sidecar.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub reusable: bool,
}

/// Reads one answer that tells its length.
pub async fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Answer> {
    let Some(head) = read_head(stream, buffer).await? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = head.get(9..12).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let length = header(&head, "content-length").and_then(|length| length.parse::<usize>().ok());
    let length = length.filter(|&length| length <= MAX_ANSWER).ok_or(io::ErrorKind::InvalidData)?;
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let body = buffer.drain(..length).collect();
    let closes = header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok(Answer { status, body, reusable: !closes })
}
