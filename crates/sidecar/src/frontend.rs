//! The frontend: the listener and the client connections. It turns requests into sessions and verdicts into
//! answers.

use crate::counters::{Counters, count};
use crate::discovery::Directory;
use crate::dispatch::HttpCarrier;
use crate::http::client::Answer;
use crate::http::server::{Connection, Request, Status, Step};
use crate::http::{Fault, MAX_BODY};
use crate::session::{Host, Opening, Verdict};
use crate::shutdown::Shutdown;
use bytes::Bytes;
use cometcroft::{Class, ClassId, Effect, TenantId};
use cometcroft_settings::Sockets;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// A client that takes no bytes of its answer for so long is let go.
const STALLED: Duration = Duration::from_secs(10);
/// A request is whole so long after its connection or its first byte came, or it is turned away.
const UNREADY: Duration = Duration::from_millis(2000);
/// A connection that has brought no whole request for so long is the first to make room.
const SLOW: Duration = Duration::from_millis(250);
/// The longest id of a request.
const MAX_ID: usize = 128;

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
    /// Connections that owe a request, the longest waiting first.
    waiting: RefCell<BTreeMap<u64, Waiting>>,
    turn: Cell<u64>,
    /// The ids of all open requests.
    ids: RefCell<HashSet<Bytes>>,
}

/// A connection with no open request.
struct Waiting {
    wake: Rc<Notify>,
    /// Since when it has owed a whole request; `None` if it has been served and may be idle.
    owes: Option<Instant>,
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
            waiting: RefCell::default(),
            turn: Cell::new(0),
            ids: RefCell::default(),
        })
    }

    /// Accepts and serves until the sidecar leaves, and returns when all is answered.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        tokio::select! {
            () = self.accept(&listener) => {}
            () = self.shutdown.lingered() => {}
        }
        drop(listener);
        while self.open.get() > 0 {
            self.left.notified().await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            // Danger: past the limit of descriptors nothing works any more, so a place is made or awaited
            // before the next client is let in.
            while self.open.get() >= self.most {
                self.evict();
                // One that is woken may have just got its request and stay.
                let _ = timeout(Duration::from_millis(10), self.left.notified()).await;
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

    /// Wakes the connection that can best be done without. Danger: hundreds that say nothing, or never end what
    /// they say, would take the places of clients that do; so those go first, then who has been idle longest.
    fn evict(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let slow = |w: &Waiting| w.owes.is_some_and(|since| since.elapsed() >= SLOW);
        let first =
            |of: &dyn Fn(&Waiting) -> bool| waiting.iter().find(|(_, w)| of(w)).map(|(&turn, _)| turn);
        let turn = first(&slow).or_else(|| first(&|w| w.owes.is_none())).or_else(|| first(&|_| true));
        if let Some(waiting) = turn.and_then(|turn| waiting.remove(&turn)) {
            count(&self.counters.frontend_evicted);
            waiting.wake.notify_one();
        }
    }

    async fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut machine = Connection::default();
        let connected = Instant::now();
        let (mut since, mut first) = (connected, true);
        while !machine.closed() {
            match machine.step() {
                Step::More => {
                    let idle = machine.idle();
                    if idle && self.shutdown.closing() {
                        return Ok(());
                    }
                    let owes = if first { Some(connected) } else { (!idle).then_some(since) };
                    match self.read(&mut stream, &mut machine, owes).await? {
                        Read::Bytes if idle => since = Instant::now(),
                        Read::Bytes => {}
                        Read::Ended => return Ok(()),
                        Read::Late if idle => return Ok(()),
                        Read::Late => {
                            let status = Status::RequestTimeout;
                            reply(&mut stream, &mut machine, status, "", b"", true).await?;
                        }
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

    /// Reads more of a request that the connection `owes` since then, or waits for one that may never come.
    async fn read(
        &self,
        stream: &mut TcpStream,
        machine: &mut Connection,
        owes: Option<Instant>,
    ) -> io::Result<Read> {
        let idle = machine.idle();
        let turn = self.turn.replace(self.turn.get() + 1);
        let wake = Rc::new(Notify::new());
        self.waiting.borrow_mut().insert(turn, Waiting { wake: wake.clone(), owes });
        let until = owes.unwrap_or_else(Instant::now) + UNREADY;
        let read = tokio::select! {
            biased;
            read = stream.read_buf(machine.buffer()) => read.map(|n| if n > 0 { Read::Bytes } else { Read::Ended }),
            () = wake.notified() => Ok(Read::Ended),
            () = self.shutdown.closed(), if idle => Ok(Read::Ended),
            () = sleep_until(until), if owes.is_some() => {
                count(&self.counters.frontend_mute);
                Ok(Read::Late)
            }
        };
        self.waiting.borrow_mut().remove(&turn);
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
        let close = self.shutdown.closing();
        if request.method == "GET" && request.path() == b"/up" {
            // Without a list there is nowhere to send a request to.
            let ready = !self.shutdown.leaving() && !self.directory.is_empty();
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
        let taken = self.opening(request, since).and_then(|(opening, due)| {
            let id = opening.payload.headers.single(CALL_ID)?.cloned().unwrap_or_default();
            Ok((OpenId::take(self, id)?, opening, due))
        });
        let (_id, opening, due) = match taken {
            Ok(taken) => taken,
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
        let close = self.shutdown.closing();
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
        let id = request.headers.single(CALL_ID)?;
        if id.is_none_or(|id| id.is_empty() || id.len() > MAX_ID || !id.iter().all(u8::is_ascii_graphic)) {
            return Err(Fault::Malformed);
        }
        let class = self.net.classes.iter().position(|name| name.as_bytes() == request.class());
        let class = ClassId(class.ok_or(Fault::Malformed)?);
        // Danger: the class alone says whether a request may be repeated; one that comes in another class's form
        // is not what it says, and a keyed one without its key is as unsafe to repeat as any.
        let key = request.headers.single("idempotency-key")?;
        let formed = match self.classes.get(class.0).map(|class| class.effect) {
            Some(Effect::Safe) => request.method == "GET" && request.body.is_empty(),
            Some(Effect::Keyed { .. }) => request.method == "POST" && key.is_some_and(|key| !key.is_empty()),
            Some(Effect::Unsafe) => request.method == "POST" && key.is_none(),
            None => false,
        };
        if !formed {
            return Err(Fault::Malformed);
        }
        let caller = request.headers.single("x-caller")?;
        let tenant = caller.and_then(|c| self.net.tenants.iter().position(|t| t.as_bytes() == c));
        let repeat = request.headers.lists("x-again", "1");
        let (left, due) = time_left(request.budget()?, since.elapsed());
        let now = Instant::now();
        let last = self.shutdown.due(now).map(|last| last.saturating_duration_since(now));
        let (left, due) = (left.min(last.unwrap_or(left)), now + due.min(last.unwrap_or(due)));
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

/// The header that holds a request's id.
const CALL_ID: &str = "x-call-id";

/// How a read of a client connection ended.
enum Read {
    Bytes,
    /// By the client's end, or as room is needed, or on the way out.
    Ended,
    /// A request was owed and did not come in time.
    Late,
}

/// The id of an open request, free again when dropped.
struct OpenId<'a>(&'a Frontend, Bytes);

impl<'a> OpenId<'a> {
    /// Danger: two open requests of one id can't be told apart by anyone behind us, who would take one for a
    /// copy of the other.
    fn take(frontend: &'a Frontend, id: Bytes) -> Result<OpenId<'a>, Fault> {
        if !frontend.ids.borrow_mut().insert(id.clone()) {
            count(&frontend.counters.repeated_ids);
            return Err(Fault::Malformed);
        }
        Ok(OpenId(frontend, id))
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
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
