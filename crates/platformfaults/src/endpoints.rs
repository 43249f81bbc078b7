//! Stand-ins for endpoints: each notes what arrives and when, serves most of it, and now and then is slow, turns a request
//! away or breaks off.

use crate::http::{Inbox, Message};
use cometcroft_platform::{Listener, Platform, Tokio};
use fastrand::Rng;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Where probes ask, and what they are told.
const LOAD: &str = "/metrics/load";
const REPORT: &str = r#"{"inflight":1,"queue":0}"#;

/// A request or a probe at an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The endpoint's number.
    pub endpoint: usize,
    /// When its first byte was read.
    pub first_byte: Instant,
    /// What is known once it has come whole; of a probe nothing.
    pub whole: Option<Whole>,
}

/// A request that has come whole.
#[derive(Debug, Clone)]
pub struct Whole {
    /// Its id.
    pub id: String,
    /// The time that the endpoint is told to have for it.
    pub budget: Option<Duration>,
    /// It was turned away unexamined: it has not run.
    pub rejected: bool,
}

/// What a request meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    Served,
    Closing,
    Rejected,
    BrokenOff,
}

/// All endpoints of a run.
#[derive(Debug, Clone)]
pub struct Endpoints {
    arrivals: Rc<RefCell<Vec<Arrival>>>,
    rng: Rc<RefCell<Rng>>,
}

impl Endpoints {
    /// So many endpoints at ports that the system picks, and where they are.
    pub async fn start(count: usize, seed: u64) -> io::Result<(Endpoints, Vec<SocketAddr>)> {
        let rng = Rc::new(RefCell::new(Rng::with_seed(seed)));
        let endpoints = Endpoints { arrivals: Rc::default(), rng };
        let mut addresses = Vec::new();
        for endpoint in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let served = endpoints.clone();
            Tokio.detach(async move { served.listen(endpoint, listener).await });
        }
        Ok((endpoints, addresses))
    }

    /// What has arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.borrow().clone()
    }

    async fn listen(self, endpoint: usize, listener: TcpListener) {
        while let Ok(stream) = Listener::accept(&listener).await {
            let served = self.clone();
            Tokio.detach(async move {
                // A caller that breaks off has left.
                let _ = served.serve(endpoint, stream).await;
            });
        }
    }

    async fn serve(&self, endpoint: usize, mut stream: <Tokio as Platform>::Stream) -> io::Result<()> {
        let mut inbox = Inbox::default();
        loop {
            // What is left of the request before has been taken, so a first byte begins the next.
            let Some(first_byte) = inbox.read(&mut stream).await? else { return Ok(()) };
            let number = self.arrivals.borrow().len();
            self.arrivals.borrow_mut().push(Arrival { endpoint, first_byte, whole: None });
            let Some(message) = inbox.receive(&mut stream).await? else { return Ok(()) };
            if message.request_line().1 == LOAD {
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{REPORT}", REPORT.len());
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let (manner, work) = self.draw();
            self.arrivals.borrow_mut()[number].whole = Some(whole(&message, manner));
            Tokio.sleep(work).await;
            let id = message.header("x-call-id").unwrap_or_default();
            let answer = match manner {
                Manner::BrokenOff => return Ok(()),
                Manner::Rejected => {
                    "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
                }
                Manner::Served | Manner::Closing => {
                    let ends = if manner == Manner::Closing { "Connection: close\r\n" } else { "" };
                    format!("HTTP/1.1 200 OK\r\n{ends}Content-Length: {}\r\n\r\n{id}", id.len())
                }
            };
            stream.write_all(answer.as_bytes()).await?;
            if manner == Manner::Closing {
                return Ok(());
            }
        }
    }

    fn draw(&self) -> (Manner, Duration) {
        let mut rng = self.rng.borrow_mut();
        let manner = match rng.u32(..100) {
            0..4 => Manner::Rejected,
            4..7 => Manner::BrokenOff,
            7..10 => Manner::Closing,
            _ => Manner::Served,
        };
        let slow = rng.u32(..100) < 4;
        let work = if slow { rng.u64(300..600) } else { rng.u64(1..25) };
        (manner, Duration::from_millis(work))
    }
}

fn whole(message: &Message, manner: Manner) -> Whole {
    Whole {
        id: message.header("x-call-id").unwrap_or_default().to_owned(),
        budget: message.header("x-budget").and_then(budget),
        rejected: manner == Manner::Rejected,
    }
}

/// A time as the protocol writes it: a number, and `m` for milliseconds or `u` for microseconds.
fn budget(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok()?;
    let scale = match unit {
        "m" => 1e-3,
        "u" => 1e-6,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * scale).ok()
}
