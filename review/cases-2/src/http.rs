//! HTTP/1.1 as the stand-ins need it: heads, bodies with a length, calls of operators, and clients.

use crate::json::Json;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, headers with names in lower case, and its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub began: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection that is read message by message.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Wire> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(Duration::from_secs(10)))?;
        Ok(Wire::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Reads a head and leaves the body; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<(Message, usize)>> {
        let mut began = (!self.buffer.is_empty()).then(Instant::now);
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers: Vec<(String, String)> = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                let length = headers.iter().find(|(name, _)| name == "content-length");
                let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
                let began = began.unwrap_or_else(Instant::now);
                return Ok(Some((Message { first, headers, body: Vec::new(), began }, length)));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            began.get_or_insert_with(Instant::now);
        }
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some((mut message, length)) = self.head()? else { return Ok(None) };
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    /// Reads and throws away a body of this length.
    pub fn discard(&mut self, length: usize) -> io::Result<()> {
        let mut left = length - self.buffer.len().min(length);
        self.buffer.clear();
        let mut chunk = [0; 64 * 1024];
        while left > 0 {
            match self.stream.read(&mut chunk)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => left -= read.min(left),
            }
        }
        Ok(())
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

/// One call of an operator: status and body.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let mut wire = Wire::connect(to, Duration::from_secs(12))?;
    let length = body.len();
    wire.send(&format!("{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {length}\r\n\r\n{body}"))?;
    let answer = wire.message()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}

/// The JSON answer of a call, or `Null`.
pub fn json(to: SocketAddr, method: &str, path: &str, body: &str) -> Json {
    call(to, method, path, body).ok().and_then(|(_, text)| Json::parse(&text)).unwrap_or(Json::Null)
}

/// Whether `GET /up` is answered with 200.
pub fn is_up(listen: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let mut wire = Wire::connect(listen, Duration::from_secs(2))?;
        wire.send("GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")?;
        Ok(wire.message()?.map_or(0, |answer| answer.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// Waits for a condition.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
