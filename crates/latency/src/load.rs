//! Open-loop load generator: requests are due at fixed times, however long earlier ones take.

use hdrhistogram::Histogram;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request whose response takes longer than this counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Requests to be sent to one address at a fixed rate.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Address that the requests are sent to.
    pub target: SocketAddr,
    /// Requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub requests: u64,
    /// Number of threads, each with its own connection; request `i` is sent by thread `i % threads`.
    pub threads: u64,
    /// Deadline that each request carries.
    pub deadline: Duration,
    /// Id of the first request; ids of requests in progress must differ.
    pub first_id: u64,
}

/// Results of a load.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Microseconds from when a served request was due until its response was complete.
    pub latency: Histogram<u64>,
    /// Microseconds from when a request was due until its thread sent it.
    pub send_delay: Histogram<u64>,
    /// Microseconds from when a request was sent until its response, of any status, was complete.
    pub response_time: Histogram<u64>,
    /// Requests answered with 200.
    pub served: u64,
    /// Requests answered with 503 (rejected) or 504 (timed out).
    pub rejected: u64,
    /// Requests with any other response, or none.
    pub failed: u64,
    /// Requests that ended later than their deadline, counted from when they were sent.
    pub past_deadline: u64,
}

impl Outcome {
    /// Empty results.
    pub fn new() -> io::Result<Outcome> {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .map_err(|error| io::Error::other(error.to_string()))
        };
        Ok(Outcome {
            latency: histogram()?,
            send_delay: histogram()?,
            response_time: histogram()?,
            served: 0,
            rejected: 0,
            failed: 0,
            past_deadline: 0,
        })
    }

    /// Adds the results of another load.
    pub fn add(&mut self, other: &Outcome) -> io::Result<()> {
        let pairs = [
            (&mut self.latency, &other.latency),
            (&mut self.send_delay, &other.send_delay),
            (&mut self.response_time, &other.response_time),
        ];
        for (sum, part) in pairs {
            sum.add(part).map_err(|error| io::Error::other(error.to_string()))?;
        }
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.past_deadline += other.past_deadline;
        Ok(())
    }
}

/// Sends the requests and waits until all have ended.
pub fn run_load(load: &Load) -> io::Result<Outcome> {
    // Leaves time for all threads to start before the first request is due.
    let start = Instant::now() + Duration::from_millis(50);
    let threads: Vec<_> = (0..load.threads)
        .map(|thread| {
            let load = *load;
            std::thread::spawn(move || run_thread(&load, thread, start))
        })
        .collect();
    let mut total = Outcome::new()?;
    for thread in threads {
        let outcome = thread.join().map_err(|_| io::Error::other("a load generator thread panicked"))??;
        total.add(&outcome)?;
    }
    Ok(total)
}

/// Sends the requests of one thread: `thread`, `thread + threads`, and so on.
fn run_thread(load: &Load, thread: u64, start: Instant) -> io::Result<Outcome> {
    let mut outcome = Outcome::new()?;
    let mut client = Client { target: load.target, stream: None };
    let mut index = thread;
    while index < load.requests {
        let due = start + Duration::from_secs_f64(index as f64 / load.rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let sent = Instant::now();
        let status = client.send(load.first_id + index, load.deadline);
        let ended = Instant::now();
        let micros = |from: Instant, to: Instant| to.saturating_duration_since(from).as_micros() as u64;
        outcome.send_delay.saturating_record(micros(due, sent).max(1));
        match status {
            Ok(200) => {
                outcome.served += 1;
                outcome.latency.saturating_record(micros(due, ended).max(1));
            }
            Ok(503 | 504) => outcome.rejected += 1,
            _ => outcome.failed += 1,
        }
        if status.is_ok() {
            outcome.response_time.saturating_record(micros(sent, ended).max(1));
        }
        outcome.past_deadline += u64::from(ended.saturating_duration_since(sent) > load.deadline);
        index += load.threads;
    }
    Ok(outcome)
}

/// A client with one keep-alive connection.
struct Client {
    target: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    /// Sends a request and returns the status of its response.
    fn send(&mut self, id: u64, deadline: Duration) -> io::Result<u16> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(self.target)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(READ_TIMEOUT))?;
                stream
            }
        };
        stream.write_all(request_head(id, deadline).as_bytes())?;
        let (status, keep_alive) = read_response(&mut stream)?;
        if keep_alive {
            self.stream = Some(stream);
        }
        Ok(status)
    }
}

/// Formats a request as a client sends it.
pub fn request_head(id: u64, deadline: Duration) -> String {
    let micros = deadline.as_micros();
    format!("GET /plan/{id} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id:016x}\r\nX-Budget: {micros}u\r\n\r\n")
}

/// Reads a whole response; returns its status and whether the connection stays open.
fn read_response(stream: &mut TcpStream) -> io::Result<(u16, bool)> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let mut bytes = Vec::with_capacity(512);
    let mut chunk = [0; 4096];
    loop {
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..read]);
        let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let Some(head) = head else {
            if bytes.len() > MAX_HEAD_BYTES {
                return Err(invalid());
            }
            continue;
        };
        let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
        let length = header(&text, "content-length").and_then(|length| length.parse::<usize>().ok());
        if bytes.len() >= head + 4 + length.unwrap_or(0) {
            let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(invalid)?;
            return Ok((status, header(&text, "connection") != Some("close")));
        }
    }
}

/// Value of a header in a head whose letters are all lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let named = |line: &'a str| line.split_once(':').filter(|(found, _)| *found == name);
    head.lines().find_map(named).map(|(_, value)| value.trim())
}
