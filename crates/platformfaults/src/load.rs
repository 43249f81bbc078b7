//! Stand-ins for clients: some keep their connection, some connect anew for each request, a few leave early. Each notes
//! what it sent and how that ended.

use crate::addressed::Addressed;
use crate::http::{Inbox, Message};
use cometcroft_platform::{Elapsed, Platform, Stream, Tokio};
use fastrand::Rng;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;

/// What a repeat of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// It is dropped within the window of its key.
    Keyed,
    /// It takes effect again.
    Unsafe,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With an answer of this status; `own` if its body is that of its own request, or the status has none.
    Answered {
        /// The status.
        status: u16,
        /// Nobody else's answer.
        own: bool,
    },
    /// Its connection ended before it was answered.
    Closed,
    /// The client waited long past its budget.
    Late,
    /// The client left.
    Left,
    /// It could not connect.
    NotConnected,
}

/// One request of a client.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// What a repeat does.
    pub effect: Effect,
    /// The address that it was sent to.
    pub server: SocketAddr,
    /// The client's address on its connection.
    pub client: Option<SocketAddr>,
    /// It is the first request on its connection.
    pub first: bool,
    /// The time that the client gives it.
    pub budget: Duration,
    /// When its first byte was written.
    pub begun: Instant,
    /// When its last byte was written.
    pub sent: Instant,
    /// How it ended.
    pub end: End,
    /// When.
    pub ended: Instant,
}

/// A client waits for so long beyond its budget before it gives up, so that a late answer can be told from none.
const BEYOND: Duration = Duration::from_millis(1000);
/// An operator waits for so long.
const OPERATOR_PATIENCE: Duration = Duration::from_millis(1000);
/// A connection is made within this time.
const CONNECT: Duration = Duration::from_secs(1);
/// The parts of a hundred clients' requests that leave early, and that have a body too large to be held whole.
const LEAVES: u32 = 4;
const LARGE: u32 = 3;
const LARGE_BODY: usize = 90_000;

/// All clients of a run.
#[derive(Debug, Clone)]
pub struct Clients {
    sidecar: SocketAddr,
    until: Instant,
    sent: Rc<RefCell<Vec<Sent>>>,
}

struct Connection {
    stream: <Tokio as Platform>::Stream,
    inbox: Inbox,
    used: bool,
}

impl Connection {
    /// The next answer by then, or none if the connection ends before.
    async fn answer(&mut self, until: Instant) -> Result<Option<Message>, Elapsed> {
        let received = Tokio.timeout_at(until, self.inbox.receive(&mut self.stream)).await?;
        Ok(received.ok().flatten())
    }
}

/// A request that is about to be sent.
fn new(id: String, effect: Effect, budget: Duration, server: SocketAddr) -> Sent {
    let now = Tokio.now();
    let end = End::NotConnected;
    Sent { id, effect, server, client: None, first: true, budget, begun: now, sent: now, end, ended: now }
}

impl Clients {
    /// Runs so many clients until then, and tells what they sent.
    pub async fn run(sidecar: SocketAddr, count: usize, until: Instant, seed: u64) -> Vec<Sent> {
        let clients = Clients { sidecar, until, sent: Rc::default() };
        let tasks: Vec<_> = (0..count)
            .map(|number| {
                let (clients, rng) = (clients.clone(), Rng::with_seed(seed ^ (number as u64) << 32));
                Tokio.spawn(async move { clients.client(number, rng).await })
            })
            .collect();
        for task in tasks {
            task.await;
        }
        clients.sent.take()
    }

    /// Runs operators that ask after readiness, each call on a connection of its own, until then.
    pub async fn operators(door: SocketAddr, until: Instant, seed: u64) -> Vec<Sent> {
        let operators = Clients { sidecar: door, until, sent: Rc::default() };
        let mut rng = Rng::with_seed(seed);
        for call in 0.. {
            Tokio.sleep(Duration::from_millis(rng.u64(10..50))).await;
            if Tokio.now() >= until {
                break;
            }
            let mut sent = new(format!("o-{call}"), Effect::Safe, OPERATOR_PATIENCE, door);
            if let Some(mut connection) = operators.connect().await {
                let text = "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n";
                sent.client = connection.stream.local().ok();
                let _ = connection.stream.write_all(text.as_bytes()).await;
                sent.sent = Tokio.now();
                sent.end = match connection.answer(sent.sent + OPERATOR_PATIENCE + BEYOND).await {
                    Ok(Some(answer)) => End::Answered { status: answer.status().unwrap_or(0), own: true },
                    Ok(None) => End::Closed,
                    Err(_) => End::Late,
                };
            }
            sent.ended = Tokio.now();
            operators.sent.borrow_mut().push(sent);
        }
        operators.sent.take()
    }

    async fn client(self, number: usize, mut rng: Rng) {
        let (keeps, mut kept) = (number.is_multiple_of(2), None);
        for request in 0.. {
            Tokio.sleep(Duration::from_millis(rng.u64(2..30))).await;
            if Tokio.now() >= self.until {
                return;
            }
            let (sent, connection) =
                self.request(format!("c{number}-{request}"), kept.take(), &mut rng).await;
            self.sent.borrow_mut().push(sent);
            kept = connection.filter(|_| keeps);
        }
    }

    /// One request, on the kept connection if that is sound; and the connection if it can be used again.
    async fn request(
        &self,
        id: String,
        kept: Option<Connection>,
        rng: &mut Rng,
    ) -> (Sent, Option<Connection>) {
        let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe][rng.usize(..3)];
        let budget = Duration::from_millis(rng.u64(500..1400));
        let mut sent = new(id, effect, budget, self.sidecar);
        let kept = kept.filter(|kept| kept.inbox.is_empty() && kept.stream.is_idle());
        let connection = match kept {
            Some(kept) => Some(kept),
            None => self.connect().await,
        };
        sent.begun = Tokio.now();
        let Some(mut connection) = connection else {
            sent.ended = Tokio.now();
            return (sent, None);
        };
        sent.client = connection.stream.local().ok();
        sent.first = !std::mem::replace(&mut connection.used, true);
        let text = self.text(&sent, rng);
        let written = connection.stream.write_all(&text).await;
        sent.sent = Tokio.now();
        if rng.u32(..100) < LEAVES {
            Tokio.sleep(Duration::from_millis(rng.u64(..20))).await;
            (sent.end, sent.ended) = (End::Left, Tokio.now());
            return (sent, None);
        }
        // What broke off as it was written may have been answered before.
        let received = match connection.answer(sent.sent + budget + BEYOND).await {
            Ok(answer) => answer.map_or(End::Closed, |answer| answered(&answer, &sent.id)),
            Err(_) => End::Late,
        };
        (sent.end, sent.ended) = (received, Tokio.now());
        let again = written.is_ok() && matches!(sent.end, End::Answered { .. });
        (sent, again.then_some(connection))
    }

    async fn connect(&self) -> Option<Connection> {
        let connected: io::Result<_> =
            Tokio.timeout(CONNECT, Tokio.connect(self.sidecar)).await.unwrap_or_else(|late| Err(late.into()));
        let stream = connected.ok()?;
        // Small requests go out at once, whether or not this works.
        let _ = stream.set_nodelay();
        Some(Connection { stream, inbox: Inbox::default(), used: false })
    }

    fn text(&self, sent: &Sent, rng: &mut Rng) -> Vec<u8> {
        let (id, budget) = (&sent.id, sent.budget.as_millis());
        let length = if rng.u32(..100) < LARGE { LARGE_BODY } else { rng.usize(1..600) };
        let (line, extra, length) = match sent.effect {
            Effect::Safe => ("GET /plan/1", String::new(), 0),
            Effect::Keyed => ("POST /pay", format!("Idempotency-Key: k-{id}\r\n"), length),
            Effect::Unsafe => ("POST /book", String::new(), length),
        };
        let framing = if length > 0 { format!("Content-Length: {length}\r\n") } else { String::new() };
        let head = format!(
            "{line} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Budget: {budget}m\r\n{extra}{framing}\r\n"
        );
        let mut text = head.into_bytes();
        text.resize(text.len() + length, b'x');
        text
    }
}

fn answered(answer: &Message, id: &str) -> End {
    let status = answer.status().unwrap_or(0);
    End::Answered { status, own: status != 200 || answer.body == id.as_bytes() }
}
