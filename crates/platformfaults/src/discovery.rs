//! A stand-in for discovery: its list changes by script, calls wait for changes, and it notes what it wrote to whom.

use crate::http::{Inbox, Message};
use cometcroft_platform::{Listener, Platform, Tokio};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// What discovery says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It takes new requests.
    Up,
    /// It takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

impl Status {
    fn word(self) -> &'static str {
        match self {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        }
    }
}

/// A list that was written to a caller.
#[derive(Debug, Clone)]
pub struct Delivery {
    /// The caller.
    pub to: SocketAddr,
    /// The end of the list in what was written on its connection, in bytes.
    pub offset: usize,
    /// Just before the write.
    pub from: Instant,
    /// Just after it.
    pub at: Instant,
    /// The version of the list.
    pub index: i64,
    /// The endpoints that it tells of.
    pub told: Vec<(usize, Status)>,
}

#[derive(Debug)]
struct Row {
    address: SocketAddr,
    status: Status,
    changed: i64,
}

/// Discovery of one run.
#[derive(Debug)]
pub struct Discovery {
    rows: RefCell<Vec<Row>>,
    index: Cell<i64>,
    changed: Notify,
    deliveries: RefCell<Vec<Delivery>>,
    calls: Cell<usize>,
}

impl Discovery {
    /// Discovery of these endpoints, all up, at a port that the system picks, and where it is.
    pub async fn start(endpoints: &[SocketAddr]) -> io::Result<(Rc<Discovery>, SocketAddr)> {
        let row = |&address: &SocketAddr| Row { address, status: Status::Up, changed: 1 };
        let discovery = Rc::new(Discovery {
            rows: RefCell::new(endpoints.iter().map(row).collect()),
            index: Cell::new(1),
            changed: Notify::new(),
            deliveries: RefCell::default(),
            calls: Cell::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, served) = (listener.local_addr()?, discovery.clone());
        Tokio.detach(async move {
            while let Ok(stream) = Listener::accept(&listener).await {
                let served = served.clone();
                Tokio.detach(async move {
                    // A caller that breaks off has left.
                    let _ = served.serve(stream).await;
                });
            }
        });
        Ok((discovery, address))
    }

    /// From now on it says this of an endpoint.
    pub fn set(&self, endpoint: usize, status: Status) {
        self.index.set(self.index.get() + 1);
        let mut rows = self.rows.borrow_mut();
        rows[endpoint].status = status;
        rows[endpoint].changed = self.index.get();
        self.changed.notify_waiters();
    }

    /// What it wrote.
    pub fn deliveries(&self) -> Vec<Delivery> {
        self.deliveries.borrow().clone()
    }

    /// How often it was called.
    pub fn calls(&self) -> usize {
        self.calls.get()
    }

    /// The whole list as JSON.
    pub fn list(&self) -> Value {
        self.answer(None).0
    }

    /// The changes from a version on, or the whole list; and what it tells.
    fn answer(&self, from: Option<i64>) -> (Value, Vec<(usize, Status)>) {
        let rows = self.rows.borrow();
        let wanted = |row: &Row| match from {
            Some(from) => row.changed > from,
            None => row.status != Status::Removed,
        };
        let row = |(number, row): (usize, &Row)| {
            json!({"name": format!("s{number}"), "address": row.address.to_string(), "zone": "a",
                "status": row.status.word(), "weight": 1.0, "since_ms": 0})
        };
        let named: Vec<Value> = rows.iter().enumerate().filter(|(_, row)| wanted(row)).map(row).collect();
        // A whole list tells of those that it leaves out too.
        let told = rows.iter().enumerate().filter(|(_, row)| from.is_none() || wanted(row));
        let told = told.map(|(number, row)| (number, row.status)).collect();
        (json!({"index": self.index.get(), "snapshot": from.is_none(), "endpoints": named}), told)
    }

    async fn serve(&self, mut stream: <Tokio as Platform>::Stream) -> io::Result<()> {
        let (mut inbox, mut written) = (Inbox::default(), 0);
        let to = stream.get_ref().peer_addr()?;
        while let Some(message) = inbox.receive(&mut stream).await? {
            self.calls.set(self.calls.get() + 1);
            let (from, hold) = question(&message);
            let until = Tokio.now() + hold;
            while from.is_some_and(|from| self.index.get() <= from) {
                if Tokio.timeout_at(until, self.changed.notified()).await.is_err() {
                    break;
                }
            }
            let (list, told) = self.answer(from);
            let index = self.index.get();
            let list = list.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let begun = Tokio.now();
            stream.write_all(answer.as_bytes()).await?;
            written += answer.len();
            let at = Tokio.now();
            let delivery = Delivery { to, offset: written, from: begun, at, index, told };
            self.deliveries.borrow_mut().push(delivery);
        }
        Ok(())
    }
}

/// From which version on a call asks, and how long it waits for a change.
fn question(message: &Message) -> (Option<i64>, Duration) {
    let (_, target) = message.request_line();
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let value = |name: &str| {
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<i64>().ok())
    };
    let hold = value("hold_ms").and_then(|hold| u64::try_from(hold).ok()).unwrap_or(0);
    (value("from"), Duration::from_millis(hold))
}

/// An endpoint is removed so many steps after it began to drain, ...
const REMOVED_AFTER: f64 = 1.25;
/// ... and is back so many after that: longer than any grace.
const BACK_AFTER: f64 = 2.5;

/// With each step another endpoint begins to drain, is removed and comes back, until this is dropped.
pub async fn rotate(discovery: Rc<Discovery>, endpoints: usize, step: Duration) {
    for endpoint in (0..endpoints).cycle() {
        Tokio.sleep(step).await;
        let discovery = discovery.clone();
        Tokio.detach(async move {
            discovery.set(endpoint, Status::Draining);
            Tokio.sleep(step.mul_f64(REMOVED_AFTER)).await;
            discovery.set(endpoint, Status::Removed);
            Tokio.sleep(step.mul_f64(BACK_AFTER)).await;
            discovery.set(endpoint, Status::Up);
        });
    }
}
