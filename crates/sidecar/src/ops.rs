//! The operators' door: a second address with a listener, places and patience of its own, so that no crowd of clients
//! keeps an operator out. One call a connection.

use crate::counters::{Counters, count};
use crate::endpoint_table::EndpointTable;
use crate::fleet::Fleet;
use crate::frontend::{accept_connection, close_gracefully, error_response};
use crate::http::server::{Connection, Request, Status, Step};
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::ops_commands;
use crate::request_stats::StatsReport;
use crate::requests::{RequestDriver, Transport};
use crate::sockets::enable_nodelay;
use cometcroft_platform::Platform;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// So many callers at once.
const MOST: usize = 16;
/// A call is whole so long after its connection, or it is let go.
const UNREADY: Duration = Duration::from_millis(2000);
/// A caller that takes no bytes of its answer for so long is let go.
const STALLED: Duration = Duration::from_millis(1000);

/// What an operator may call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Readiness,
    /// The figures.
    Stats,
    /// Send clients away.
    Drain,
    /// The end of that.
    Undrain,
    /// Who is there, as this member of a fleet sees it.
    Fleet,
    /// The fleet's plan; the rest of the path says what of it.
    Plan,
}

/// The call that a method and a path stand for; else how it is answered, and the method that would do.
pub fn route(method: &[u8], path: &[u8]) -> Result<Call, (Status, Option<&'static str>)> {
    let (call, due) = match path {
        b"/ops/readiness" => (Call::Readiness, "GET"),
        b"/ops/stats" => (Call::Stats, "GET"),
        b"/ops/drain/start" => (Call::Drain, "PUT"),
        b"/ops/drain/stop" => (Call::Undrain, "PUT"),
        b"/ops/fleet" => (Call::Fleet, "GET"),
        _ => match path.strip_prefix(b"/ops/plan").and_then(ops_commands::allowed_method) {
            Some(due) => (Call::Plan, due),
            None => return Err((Status::NotFound, None)),
        },
    };
    if method == due.as_bytes() { Ok(call) } else { Err((Status::NotAllowed, Some(due))) }
}

/// The door, and what it tells of.
pub struct OpsEndpoint<C: Transport> {
    host: Rc<RequestDriver<C>>,
    endpoints: Rc<EndpointTable>,
    lifecycle: Rc<Lifecycle<C::Platform>>,
    counters: Rc<Counters>,
    fleet: Option<Rc<Fleet<C::Platform>>>,
    /// Callers that owe a call, the longest waiting first.
    waiting: RefCell<BTreeMap<u64, Rc<Notify>>>,
    turn: Cell<u64>,
    most: usize,
    open: Cell<usize>,
    left: Notify,
}

type StreamOf<C> = <<C as Transport>::Platform as Platform>::Stream;

impl<C: Transport> OpsEndpoint<C> {
    /// A door to what these tell, with so many places.
    pub fn new(
        host: Rc<RequestDriver<C>>,
        endpoints: Rc<EndpointTable>,
        lifecycle: Rc<Lifecycle<C::Platform>>,
        counters: Rc<Counters>,
        (fleet, places): (Option<Rc<Fleet<C::Platform>>>, usize),
    ) -> Rc<OpsEndpoint<C>> {
        Rc::new(OpsEndpoint {
            host,
            endpoints,
            lifecycle,
            counters,
            fleet,
            most: places.clamp(1, MOST),
            waiting: RefCell::default(),
            turn: Cell::new(0),
            open: Cell::new(0),
            left: Notify::new(),
        })
    }

    /// Answers operators for ever.
    pub async fn run(self: Rc<Self>, listener: <C::Platform as Platform>::Listener) {
        let platform = self.host.platform().clone();
        loop {
            // Danger: callers that say nothing would keep out those that ask; so the longest silent makes room.
            while self.open.get() >= self.most {
                if let Some((_, first)) = self.waiting.borrow_mut().pop_first() {
                    first.notify_one();
                }
                let _ = platform.timeout(Duration::from_millis(10), self.left.notified()).await;
            }
            let stream = accept_connection(&platform, &listener, &self.counters, || ()).await;
            let door = self.clone();
            self.open.set(self.open.get() + 1);
            platform.detach(async move {
                let _ = door.serve(stream).await;
                door.open.set(door.open.get() - 1);
                door.left.notify_one();
            });
        }
    }

    /// One call.
    async fn serve(&self, mut stream: StreamOf<C>) -> io::Result<()> {
        let platform = self.host.platform();
        enable_nodelay(&stream);
        let turn = self.turn.replace(self.turn.get() + 1);
        let wake = Rc::new(Notify::new());
        self.waiting.borrow_mut().insert(turn, wake.clone());
        let answer = self.hear(&mut stream, &wake).await;
        self.waiting.borrow_mut().remove(&turn);
        if let Some(answer) = answer? {
            count(&self.counters.ops_calls);
            platform.timeout(STALLED, stream.write_all(&answer)).await??;
            close_gracefully(platform, &mut stream, false).await?;
        }
        Ok(())
    }

    /// Hears a call and gives the answer to it; none to who leaves, says nothing or makes room.
    async fn hear(&self, stream: &mut StreamOf<C>, wake: &Notify) -> io::Result<Option<bytes::BytesMut>> {
        let platform = self.host.platform();
        let until = platform.now() + UNREADY;
        let mut machine = Connection::default();
        loop {
            match machine.step() {
                Step::More => {
                    let read = tokio::select! {
                        biased;
                        read = stream.read_buf(machine.buffer()) => read?,
                        () = wake.notified() => 0,
                        () = platform.sleep_until(until) => {
                            let half = !machine.is_idle();
                            return Ok(half.then(|| error_response(&mut machine, Status::RequestTimeout)));
                        }
                    };
                    if read == 0 {
                        return Ok(None);
                    }
                }
                Step::Continue(bytes) => stream.write_all(bytes).await?,
                Step::Request(request) => return Ok(Some(self.answer(&mut machine, &request).await)),
                Step::Upload(..) => return Ok(Some(error_response(&mut machine, Status::TooLarge))),
                Step::Reject(status) => return Ok(Some(error_response(&mut machine, status))),
            }
        }
    }

    async fn answer(&self, machine: &mut Connection, request: &Request) -> bytes::BytesMut {
        let (status, extra, body) = match route(&request.method, request.path()) {
            Ok(call) => {
                let (status, body) = self.call(call, request).await;
                (status, "Content-Type: application/json\r\n".to_owned(), body)
            }
            Err((status, allow)) => {
                let allow = allow.map(|method| format!("Allow: {method}\r\n"));
                (status, allow.unwrap_or_default(), String::new())
            }
        };
        let mut message = machine.response_head(status, &extra, body.len(), true);
        message.extend_from_slice(body.as_bytes());
        message
    }

    async fn call(&self, call: Call, request: &Request) -> (Status, String) {
        match call {
            Call::Readiness => {
                let ready = self.lifecycle.query(LifecycleState::is_ready);
                let status = if ready { Status::Ok } else { Status::Unavailable };
                (status, format!("{{\"ready\":{ready}}}\n"))
            }
            Call::Stats => match serde_json::to_string(&self.report()) {
                Ok(text) => (Status::Ok, text + "\n"),
                Err(_) => (Status::Unavailable, String::new()),
            },
            Call::Fleet => match &self.fleet {
                Some(fleet) => (Status::Ok, fleet.status_json() + "\n"),
                None => (Status::NotFound, String::new()),
            },
            Call::Plan => match self.fleet.as_ref().and_then(|fleet| fleet.plan()) {
                Some(plan) => {
                    let path = request.path().strip_prefix(b"/ops/plan").unwrap_or_default();
                    ops_commands::handle(plan, &self.endpoints, &self.lifecycle, path, request).await
                }
                None => (Status::NotFound, String::new()),
            },
            Call::Drain => {
                self.lifecycle.update(LifecycleState::start_drain);
                (Status::Ok, "{\"draining\":true}\n".to_owned())
            }
            Call::Undrain => {
                self.lifecycle.update(|state, _| state.stop_drain());
                (Status::Ok, "{\"draining\":false}\n".to_owned())
            }
        }
    }

    /// All figures, as they are now.
    pub fn report(&self) -> StatsReport {
        StatsReport {
            operations: self.counters.request_stats.by_class(),
            relayed: self.counters.request_stats.relayed(),
            open_requests: self.counters.request_stats.open_requests(),
            registry_entries: self.endpoints.len(),
            registry_age_ms: self
                .endpoints
                .confirmed_age(self.host.platform().now())
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            bar_delay_longest_us: self.counters.bar_delay_longest_us.get(),
            late_sends_barred: self.counters.dispatch_barred.get(),
            out_of_rotation: self.host.avoided_count(),
            cfg_accepted: self.counters.reloads.get(),
            cfg_invalid: self.counters.reload_failures.get(),
        }
    }
}
