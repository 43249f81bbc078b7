//! Clients: a thin open loop of requests to each sidecar over connections that are kept, and a check of every answer.

use crate::endpoints::call_id;
use crate::http::{Answer, read_answer};
use crate::ids::SidecarId;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

/// What a client waits for an answer, as it tells the sidecar.
const BUDGET_MS: u64 = 2000;
/// Far beyond the budget: an answer that is late as the machine is busy is not lost.
const PATIENCE: Duration = Duration::from_secs(8);

/// What became of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Requests that were sent.
    pub sent: u64,
    /// Answers by status.
    pub by_status: BTreeMap<u16, u64>,
    /// No whole answer came, or no connection could be made.
    pub unanswered: u64,
    /// 200 with a body that is not the answer to this request, or bytes behind the answer.
    pub spoilt: u64,
}

impl Outcomes {
    /// The share of requests that were served.
    pub fn served(&self) -> f64 {
        self.by_status.get(&200).copied().unwrap_or(0) as f64 / self.sent.max(1) as f64
    }
}

/// The clients of one sidecar.
pub struct Clients {
    sidecar: SidecarId,
    address: SocketAddr,
    outcomes: Arc<Mutex<Outcomes>>,
    idle: RefCell<Vec<TcpStream>>,
    next: Cell<u64>,
}

/// How one request ended.
enum Ended {
    Answered(Answer),
    Spoilt,
    Unanswered,
}

impl Clients {
    /// Clients that connect here and add up their outcomes.
    pub fn new(sidecar: SidecarId, address: SocketAddr, outcomes: Arc<Mutex<Outcomes>>) -> Rc<Clients> {
        Rc::new(Clients { sidecar, address, outcomes, idle: RefCell::default(), next: Cell::new(1) })
    }

    /// Sends `rate` requests a second on average until `until`, whatever becomes of them, and waits for all answers.
    pub async fn run(self: Rc<Self>, rate: f64, until: Instant, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let mut due = Instant::now();
        let mut open = Vec::new();
        loop {
            due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if due >= until {
                break;
            }
            sleep_until(due).await;
            open.push(tokio::task::spawn_local(self.clone().request()));
            open.retain(|task| !task.is_finished());
        }
        for task in open {
            // A request that panicked is missing from the outcomes, and the sums don't match.
            let _ = task.await;
        }
    }

    async fn request(self: Rc<Self>) {
        self.count(|outcomes| outcomes.sent += 1);
        let id = call_id(self.sidecar, self.next.replace(self.next.get() + 1));
        match timeout(PATIENCE, self.exchange(&id)).await {
            Ok(Ended::Answered(answer)) => {
                self.count(|outcomes| *outcomes.by_status.entry(answer.status).or_default() += 1);
            }
            Ok(Ended::Spoilt) => self.count(|outcomes| outcomes.spoilt += 1),
            Ok(Ended::Unanswered) | Err(_) => self.count(|outcomes| outcomes.unanswered += 1),
        }
    }

    fn count(&self, change: impl FnOnce(&mut Outcomes)) {
        change(&mut self.outcomes.lock().unwrap_or_else(PoisonError::into_inner));
    }

    async fn exchange(&self, id: &str) -> Ended {
        // A kept connection may have been closed as the request was written; it is sent once more on a new one.
        let kept = self.idle.borrow_mut().pop();
        if let Some(kept) = kept
            && let Ok(ended) = self.exchange_on(kept, id).await
        {
            return ended;
        }
        let Ok(stream) = TcpStream::connect(self.address).await else { return Ended::Unanswered };
        self.exchange_on(stream, id).await.unwrap_or(Ended::Unanswered)
    }

    async fn exchange_on(&self, mut stream: TcpStream, id: &str) -> io::Result<Ended> {
        stream.set_nodelay(true)?;
        let request = format!(
            "GET /plan/{id} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Budget: {BUDGET_MS}m\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut buffer = Vec::new();
        let answer = match read_answer(&mut stream, &mut buffer).await {
            Ok(answer) => answer,
            // Part of an answer has come, so the request was taken and is not sent again.
            Err(_) if !buffer.is_empty() => return Ok(Ended::Unanswered),
            Err(error) => return Err(error),
        };
        let foreign = answer.status == 200 && answer.body != format!("ok {id}").as_bytes();
        if foreign || !buffer.is_empty() {
            return Ok(Ended::Spoilt);
        }
        if answer.reusable {
            self.idle.borrow_mut().push(stream);
        }
        Ok(Ended::Answered(answer))
    }
}
