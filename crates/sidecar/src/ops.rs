//! The operations endpoint: a separate address for operators, with its own listener, connection limit and timeouts, so that
//! a large number of clients can't keep operators out. Each connection carries one call.

use crate::counters::{Counters, count};
use crate::endpoint_table::EndpointTable;
use crate::fleet::Fleet;
use crate::frontend::{accept_connection, close_gracefully, error_response};
use crate::http::server::{Connection, Request, Status, Step};
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::ops_commands;
use crate::request_stats::StatsReport;
use crate::requests::{RequestDriver, Transport};
use crate::shared_read::read_into;
use crate::sockets::enable_nodelay;
use cometcroft_platform::Platform;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 16;
/// Maximum time from the connection to the complete call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum time to write a response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);

/// A call of the operations endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Returns whether this process accepts clients.
    Readiness,
    /// Returns the metrics.
    Stats,
    /// Starts draining: clients are asked to move to another sidecar.
    Drain,
    /// Stops draining.
    Undrain,
    /// Returns this sidecar's view of the fleet.
    Fleet,
    /// Reads or changes the fleet's plan; [`ops_commands`] interprets the rest of the path.
    Plan,
}

/// Maps a method and a path to a call. An error holds the status of the response and, for a wrong method, the right one.
pub fn route(method: &[u8], path: &[u8]) -> Result<Call, (Status, Option<&'static str>)> {
    let (call, expected_method) = match path {
        b"/ops/readiness" => (Call::Readiness, "GET"),
        b"/ops/stats" => (Call::Stats, "GET"),
        b"/ops/drain/start" => (Call::Drain, "PUT"),
        b"/ops/drain/stop" => (Call::Undrain, "PUT"),
        b"/ops/fleet" => (Call::Fleet, "GET"),
        _ => match path.strip_prefix(b"/ops/plan").and_then(ops_commands::allowed_method) {
            Some(expected_method) => (Call::Plan, expected_method),
            None => return Err((Status::NotFound, None)),
        },
    };
    if method == expected_method.as_bytes() {
        Ok(call)
    } else {
        Err((Status::NotAllowed, Some(expected_method)))
    }
}

/// Serves the operations endpoint.
pub struct OpsEndpoint<C: Transport> {
    driver: Rc<RequestDriver<C>>,
    endpoints: Rc<EndpointTable>,
    lifecycle: Rc<Lifecycle<C::Platform>>,
    counters: Rc<Counters>,
    fleet: Option<Rc<Fleet<C::Platform>>>,
    /// Connections without a complete call, by their number, the oldest first. Notifying one closes it.
    pending: RefCell<BTreeMap<u64, Rc<Notify>>>,
    next_connection: Cell<u64>,
    max_connections: usize,
    open_connections: Cell<usize>,
    /// Signals that a connection was closed.
    closed: Notify,
}

type StreamOf<C> = <<C as Transport>::Platform as Platform>::Stream;

impl<C: Transport> OpsEndpoint<C> {
    /// Creates the endpoint, for a maximum number of concurrent connections.
    pub fn new(
        driver: Rc<RequestDriver<C>>,
        endpoints: Rc<EndpointTable>,
        lifecycle: Rc<Lifecycle<C::Platform>>,
        counters: Rc<Counters>,
        (fleet, connections): (Option<Rc<Fleet<C::Platform>>>, usize),
    ) -> Rc<OpsEndpoint<C>> {
        Rc::new(OpsEndpoint {
            driver,
            endpoints,
            lifecycle,
            counters,
            fleet,
            max_connections: connections.clamp(1, MAX_CONNECTIONS),
            pending: RefCell::default(),
            next_connection: Cell::new(0),
            open_connections: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// Accepts and serves connections until the future is dropped.
    pub async fn run(self: Rc<Self>, listener: <C::Platform as Platform>::Listener) {
        let platform = self.driver.platform().clone();
        loop {
            // Silent connections must not keep out those with a call: the one that has been silent longest is closed.
            while self.open_connections.get() >= self.max_connections {
                if let Some((_, oldest)) = self.pending.borrow_mut().pop_first() {
                    oldest.notify_one();
                }
                let _ = platform.timeout(Duration::from_millis(10), self.closed.notified()).await;
            }
            let stream = accept_connection(&platform, &listener, &self.counters, || ()).await;
            let endpoint = self.clone();
            self.open_connections.set(self.open_connections.get() + 1);
            platform.detach(async move {
                let _ = endpoint.serve(stream).await;
                endpoint.open_connections.set(endpoint.open_connections.get() - 1);
                endpoint.closed.notify_one();
            });
        }
    }

    /// Serves one connection.
    async fn serve(&self, mut stream: StreamOf<C>) -> io::Result<()> {
        let platform = self.driver.platform();
        enable_nodelay(&stream);
        let number = self.next_connection.replace(self.next_connection.get() + 1);
        let wake = Rc::new(Notify::new());
        self.pending.borrow_mut().insert(number, wake.clone());
        let response = self.read_and_respond(&mut stream, &wake).await;
        self.pending.borrow_mut().remove(&number);
        if let Some(response) = response? {
            count(&self.counters.ops_calls);
            platform.timeout(WRITE_TIMEOUT, stream.write_all(&response)).await??;
            close_gracefully(platform, &mut stream, false).await?;
        }
        Ok(())
    }

    /// Reads a call and returns the response to it; `None` if the client disconnected, sent nothing in time or was closed to
    /// make room.
    async fn read_and_respond(
        &self,
        stream: &mut StreamOf<C>,
        wake: &Notify,
    ) -> io::Result<Option<bytes::BytesMut>> {
        let platform = self.driver.platform();
        let until = platform.now() + CALL_TIMEOUT;
        let mut connection = Connection::default();
        loop {
            match connection.step() {
                Step::More => {
                    let limit = connection.read_limit();
                    let read = tokio::select! {
                        biased;
                        read = read_into(&mut *stream, connection.buffer(), limit) => read?,
                        () = wake.notified() => 0,
                        () = platform.sleep_until(until) => {
                            let is_incomplete = !connection.is_idle();
                            return Ok(is_incomplete.then(|| error_response(&mut connection, Status::RequestTimeout)));
                        }
                    };
                    if read == 0 {
                        return Ok(None);
                    }
                }
                Step::Continue(bytes) => stream.write_all(bytes).await?,
                Step::Request(request) => return Ok(Some(self.respond(&mut connection, &request).await)),
                Step::Upload(..) => return Ok(Some(error_response(&mut connection, Status::TooLarge))),
                Step::Reject(status) => return Ok(Some(error_response(&mut connection, status))),
            }
        }
    }

    /// The complete response to a call.
    async fn respond(&self, connection: &mut Connection, request: &Request) -> bytes::BytesMut {
        let (status, headers, body) = match route(&request.method, request.path()) {
            Ok(call) => {
                let (status, body) = self.call(call, request).await;
                (status, "Content-Type: application/json\r\n".to_owned(), body)
            }
            Err((status, allow)) => {
                let allow = allow.map(|method| format!("Allow: {method}\r\n"));
                (status, allow.unwrap_or_default(), String::new())
            }
        };
        let mut message = connection.response_head(status, &headers, body.len(), true);
        message.extend_from_slice(body.as_bytes());
        message
    }

    /// Executes a call; returns status and body.
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

    /// The current metrics.
    pub fn report(&self) -> StatsReport {
        StatsReport {
            operations: self.counters.request_stats.by_class(),
            relayed: self.counters.request_stats.relayed(),
            open_requests: self.counters.request_stats.open_requests(),
            registry_entries: self.endpoints.len(),
            registry_age_ms: self
                .endpoints
                .confirmed_age(self.driver.platform().now())
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            bar_delay_longest_us: self.counters.bar_delay_longest_us.get(),
            late_sends_barred: self.counters.dispatch_barred.get(),
            out_of_rotation: self.driver.avoided_count(),
            cfg_accepted: self.counters.reloads.get(),
            cfg_invalid: self.counters.reload_failures.get(),
        }
    }
}
