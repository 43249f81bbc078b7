//! The frontend: the listener and the client connections. It turns requests into sessions and verdicts into
//! answers.

use crate::counters::{Counters, count};
use crate::discovery::Directory;
use crate::dispatch::HttpCarrier;
use crate::http::client::Answer;
use crate::http::server::{Connection, Request, Status, Step};
use crate::http::{Fault, MAX_BODY};
use crate::session::{Host, Opening, Verdict};
use crate::shutdown::{LINGER, Shutdown};
use cometcroft::{Class, ClassId, Effect, TenantId};
use cometcroft_settings::Sockets;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

/// A client that takes no bytes of its answer for so long is let go.
const STALLED: Duration = Duration::from_secs(10);

/// All client connections.
pub struct Frontend {
    host: Rc<Host<HttpCarrier>>,
    directory: Rc<Directory>,
    classes: Vec<Class>,
    net: Sockets,
    shutdown: Rc<Shutdown>,
    counters: Rc<Counters>,
    most: usize,
    open: Cell<usize>,
    left: Notify,
    /// Connections between requests, the longest idle first.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    turn: Cell<u64>,
    /// The listener is closed: nobody waits for a first request any more.
    ended: Cell<bool>,
}

impl Frontend {
    /// A frontend that holds at most `most` connections.
    pub fn new(
        host: Rc<Host<HttpCarrier>>,
        directory: Rc<Directory>,
        classes: Vec<Class>,
        net: Sockets,
        shutdown: Rc<Shutdown>,
        counters: Rc<Counters>,
        most: usize,
    ) -> Rc<Frontend> {
        Rc::new(Frontend {
            host,
            directory,
            classes,
            net,
            shutdown,
            counters,
            most,
            open: Cell::new(0),
            left: Notify::new(),
            idle: RefCell::default(),
            turn: Cell::new(0),
            ended: Cell::new(false),
        })
    }

    /// Accepts and serves until the sidecar leaves, and returns when all is answered.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let ends = async {
            self.shutdown.begun().await;
            sleep(LINGER).await;
        };
        tokio::select! {
            () = self.accept(&listener) => {}
            () = ends => {}
        }
        drop(listener);
        self.ended.set(true);
        for idle in self.idle.borrow().values() {
            idle.notify_one();
        }
        while self.open.get() > 0 {
            self.left.notified().await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            // Danger: past the limit of descriptors nothing works any more, so a place is made or awaited
            // before the next client is let in.
            while self.open.get() >= self.most {
                let oldest = self.idle.borrow_mut().pop_first();
                if let Some((_, oldest)) = oldest {
                    count(&self.counters.frontend_evicted);
                    oldest.notify_one();
                }
                self.left.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    count(&self.counters.frontend_connections);
                    let seat = Seat::take(self);
                    spawn_local(async move {
                        // A client that breaks off has left; there is nobody to tell.
                        let _ = seat.0.connection(stream).await;
                        drop(seat);
                    });
                }
                // Out of descriptors or a client that left at once: neither ends the service.
                Err(_) => {
                    count(&self.counters.accept_failures);
                    sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    async fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut machine = Connection::default();
        let mut since = Instant::now();
        let mut first = true;
        while !machine.closed() {
            match machine.step() {
                Step::More => {
                    let idle = machine.idle();
                    if idle && self.shutdown.leaving() && (!first || self.ended.get()) {
                        return Ok(());
                    }
                    let read = if idle {
                        self.read_idle(&mut stream, &mut machine, first).await?
                    } else {
                        timeout_at(since + STALLED, stream.read_buf(machine.buffer())).await??
                    };
                    if read == 0 {
                        return Ok(());
                    }
                    if idle {
                        since = Instant::now();
                    }
                }
                Step::Continue(bytes) => stream.write_all(bytes).await?,
                Step::Request(request) => {
                    first = false;
                    match self.request(&mut stream, &mut machine, request, since).await? {
                        // Danger: what came early has waited since then, and its budget has run.
                        Some(early) => since = early,
                        None => return Ok(()),
                    }
                }
                Step::Reject(status) => {
                    count(&self.counters.bad_requests);
                    reply(&mut stream, &mut machine, status, "", b"", true).await?;
                }
            }
        }
        // Danger: closing with unread bytes resets the connection and may take the answer along.
        stream.shutdown().await?;
        let mut rest = [0; 1024];
        let patience = Instant::now() + Duration::from_millis(200);
        for _ in 0..MAX_BODY / 1024 {
            if !matches!(timeout_at(patience, stream.read(&mut rest)).await, Ok(Ok(1..))) {
                break;
            }
        }
        Ok(())
    }

    /// Waits for the next request; 0 when the connection is to be closed.
    async fn read_idle(
        &self,
        stream: &mut TcpStream,
        machine: &mut Connection,
        first: bool,
    ) -> io::Result<usize> {
        let turn = self.turn.replace(self.turn.get() + 1);
        let wake = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(turn, wake.clone());
        let read = tokio::select! {
            biased;
            read = stream.read_buf(machine.buffer()) => read,
            () = wake.notified() => Ok(0),
            // One that has just come in after SIGTERM has a request on the way.
            () = self.shutdown.begun(), if !first => Ok(0),
        };
        self.idle.borrow_mut().remove(&turn);
        read
    }

    /// Serves one request and tells since when the next one has been coming; `None` when its client has left.
    async fn request(
        &self,
        stream: &mut TcpStream,
        machine: &mut Connection,
        request: Request,
        since: Instant,
    ) -> io::Result<Option<Instant>> {
        let mut early = machine.ahead().then_some(since);
        let close = self.shutdown.leaving();
        if request.method == "GET" && request.path() == b"/up" {
            // Without a list there is nowhere to send a request to.
            let ready = !close && !self.directory.is_empty();
            let status = if ready { Status::Ok } else { Status::Unavailable };
            reply(stream, machine, status, "", b"", close).await?;
            return Ok(Some(early.unwrap_or_else(Instant::now)));
        }
        if request.method == "GET" && request.path() == b"/counters" {
            let json = self.counters.json();
            let extra = "Content-Type: application/json\r\n";
            reply(stream, machine, Status::Ok, extra, json.as_bytes(), close).await?;
            return Ok(Some(early.unwrap_or_else(Instant::now)));
        }
        let (opening, due) = match self.opening(request, since) {
            Ok(opening) => opening,
            Err(fault) => {
                count(&self.counters.bad_requests);
                reply(stream, machine, fault.into(), "", b"", true).await?;
                return Ok(Some(early.unwrap_or_else(Instant::now)));
            }
        };
        let verdict = {
            let served = self.host.serve(opening, due);
            tokio::pin!(served);
            loop {
                // Danger: a client's close is only seen by reading; so that is done while it waits, within
                // bounds, and what comes early is kept for the next request.
                tokio::select! {
                    biased;
                    verdict = &mut served => break verdict,
                    read = stream.read_buf(machine.buffer()), if !machine.full() => {
                        if !matches!(read, Ok(1..)) {
                            return Ok(None);
                        }
                        early.get_or_insert_with(Instant::now);
                    }
                }
            }
        };
        let close = self.shutdown.leaving();
        match verdict {
            Verdict::Served(Answer { headers, body, .. }) => {
                let kind = headers.single("content-type").ok().flatten();
                let kind = kind.and_then(|kind| std::str::from_utf8(kind).ok());
                let extra = kind.map(|kind| format!("Content-Type: {kind}\r\n")).unwrap_or_default();
                reply(stream, machine, Status::Ok, &extra, &body, close).await?;
            }
            Verdict::Denied { retry_after } => {
                let after = retry_after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
                let extra = format!("Retry-After: {after:.3}\r\n");
                reply(stream, machine, Status::Unavailable, &extra, b"", close).await?;
            }
            Verdict::Failed => reply(stream, machine, Status::BadGateway, "", b"", close).await?,
            Verdict::Overdue => reply(stream, machine, Status::GatewayTimeout, "", b"", close).await?,
        }
        Ok(Some(early.unwrap_or_else(Instant::now)))
    }

    /// What a request asks for, and when its answer is due at the latest.
    fn opening(&self, request: Request, since: Instant) -> Result<(Opening<Rc<Request>>, Instant), Fault> {
        let id = request.headers.single("x-call-id")?;
        if id.is_none_or(|id| id.is_empty()) {
            return Err(Fault::Malformed);
        }
        let class = self.net.classes.iter().position(|name| name.as_bytes() == request.class());
        let class = ClassId(class.ok_or(Fault::Malformed)?);
        // Danger: without its key a keyed request is as unsafe to repeat as any other.
        let key = request.headers.single("idempotency-key")?;
        let keyed = matches!(self.classes.get(class.0), Some(Class { effect: Effect::Keyed { .. }, .. }));
        if keyed && key.is_none_or(|key| key.is_empty()) {
            return Err(Fault::Malformed);
        }
        let caller = request.headers.single("x-caller")?;
        let tenant = caller.and_then(|c| self.net.tenants.iter().position(|t| t.as_bytes() == c));
        let repeat = request.headers.lists("x-again", "1");
        let (left, due) = time_left(request.budget()?, since.elapsed());
        let due = Instant::now() + due;
        let payload = Rc::new(request);
        Ok((Opening { class, tenant: tenant.map(TenantId), left, repeat, payload }, due))
    }
}

/// What is left of a budget for the module, and until the hard answer. The client counts from its send and
/// what we write takes time to arrive, so a margin is kept: half for the way, half for the module's answer.
pub fn time_left(budget: Duration, gone: Duration) -> (Duration, Duration) {
    let margin = (budget / 20).clamp(Duration::from_millis(4), Duration::from_millis(60)).min(budget / 2);
    let left = budget.saturating_sub(gone);
    (left.saturating_sub(margin), left.saturating_sub(margin / 2))
}

async fn reply(
    stream: &mut TcpStream,
    machine: &mut Connection,
    status: Status,
    extra: &str,
    body: &[u8],
    close: bool,
) -> io::Result<()> {
    let mut message = machine.answer(status, extra, body.len(), close);
    message.extend_from_slice(body);
    timeout_at(Instant::now() + STALLED, stream.write_all(&message)).await?
}

/// A connection's place among all of them, given back when dropped.
struct Seat(Rc<Frontend>);

impl Seat {
    fn take(frontend: &Rc<Frontend>) -> Seat {
        frontend.open.set(frontend.open.get() + 1);
        Seat(frontend.clone())
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.left.notify_one();
    }
}
