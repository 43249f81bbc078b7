//! The frontend: the listener and the client connections. It turns requests into sessions and verdicts into
//! answers.

use crate::classes::{Form, Register};
use crate::counters::{Counters, count};
use crate::dispatch::Payload;
use crate::exchange::{Pieces, Reply};
use crate::figures::Tally;
use crate::fleet::Fleet;
use crate::http::server::{Coding, Connection, Request, Status, Step};
use crate::http::{Fault, MAX_BODY, MAX_BULK, Piece};
use crate::lifecycle::{Life, Machine};
use crate::purse::Held as Spent;
use crate::session::{Carrier, Host, Opening, Verdict};
use crate::upload::{Budget, Patience, Upload};
use bytes::{Bytes, BytesMut};
use cometcroft::{ClassId, Settings, TenantId};
use cometcroft_platform::{Listener, Platform, Stream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// A client that takes no bytes of its answer for so long is let go.
const STALLED: Duration = Duration::from_secs(10);
/// A request is whole so long after its connection or its first byte came, or it is turned away.
const UNREADY: Duration = Duration::from_millis(2600);
/// A connection that has brought no whole request for so long is the first to make room.
const SLOW: Duration = Duration::from_millis(250);
/// A connection is not closed as idle so soon after it came.
const GRACE: Duration = Duration::from_millis(300);
/// The longest id of a request.
const MAX_ID: usize = 128;

/// A carrier that brings HTTP requests to backend servers: whatever it is, this frontend can stand before it.
pub trait HttpBackend: Carrier<Payload = Rc<Payload>, Answer = Reply> {}

impl<C: Carrier<Payload = Rc<Payload>, Answer = Reply>> HttpBackend for C {}

type StreamOf<C> = <<C as Carrier>::Platform as Platform>::Stream;
type ListenerOf<C> = <<C as Carrier>::Platform as Platform>::Listener;

/// All client connections.
pub struct Frontend<C: HttpBackend> {
    platform: C::Platform,
    host: Rc<Host<C>>,
    classes: RefCell<Register>,
    tenants: RefCell<Vec<String>>,
    life: Rc<Life<C::Platform>>,
    counters: Rc<Counters>,
    most: usize,
    budget: Rc<Budget>,
    open: Cell<usize>,
    left: Notify,
    /// Connections that owe a request, the longest waiting first.
    waiting: RefCell<BTreeMap<u64, Waiting>>,
    turn: Cell<u64>,
    /// The ids of all open requests.
    ids: RefCell<HashSet<Bytes>>,
    fleet: Option<Rc<Fleet<C::Platform>>>,
}

/// A connection with no open request.
struct Waiting {
    wake: Rc<Notify>,
    /// Since when it has owed a whole request; `None` if it has been served and may be idle.
    owes: Option<Instant>,
}

impl<C: HttpBackend> Frontend<C> {
    /// A frontend that holds at most `most` connections, and so many bytes of large bodies before they are sent on.
    pub fn new(
        host: Rc<Host<C>>,
        classes: Register,
        tenants: Vec<String>,
        life: Rc<Life<C::Platform>>,
        counters: Rc<Counters>,
        [most, memory]: [usize; 2],
        fleet: Option<Rc<Fleet<C::Platform>>>,
    ) -> Rc<Frontend<C>> {
        Rc::new(Frontend {
            platform: host.platform().clone(),
            host,
            classes: RefCell::new(classes),
            tenants: RefCell::new(tenants),
            life,
            counters,
            most,
            budget: Budget::new(memory),
            open: Cell::new(0),
            left: Notify::new(),
            waiting: RefCell::default(),
            turn: Cell::new(0),
            ids: RefCell::default(),
            fleet,
        })
    }

    /// New settings, with the names of their classes. What is open keeps the class that it came under.
    pub fn retune(&self, mut settings: Settings, names: &[String], tenants: Vec<String>) {
        let mut classes = self.classes.borrow_mut();
        let from = classes.take(names, &settings.classes, self.platform.now());
        settings.classes = classes.classes();
        self.counters.figures.name(&classes.names());
        self.tenants.replace(tenants);
        self.host.retune(settings, from);
    }

    /// Accepts and serves until the sidecar leaves, and returns when all is answered.
    pub async fn run(self: Rc<Self>, listener: ListenerOf<C>) {
        tokio::select! {
            biased;
            () = self.life.until(Machine::accepts_until) => {}
            () = self.accept(&listener) => {}
        }
        drop(listener);
        while self.open.get() > 0 {
            self.left.notified().await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &ListenerOf<C>) {
        self.life.until(|machine| Some(machine.accepts_from())).await;
        loop {
            // Danger: past the limit of descriptors nothing works any more, so a place is made or awaited
            // before the next client is let in.
            while self.open.get() >= self.most {
                self.evict();
                // One that is woken may have just got its request and stay.
                let _ = self.platform.timeout(Duration::from_millis(10), self.left.notified()).await;
            }
            let stream = admit(&self.platform, listener, &self.counters).await;
            count(&self.counters.frontend_connections);
            let seat = Seat::take(self);
            self.platform.detach(async move {
                // A client that breaks off has left; there is nobody to tell.
                let _ = seat.0.connection(stream).await;
                drop(seat);
            });
        }
    }

    /// Wakes the connection that can best be done without. Danger: hundreds that say nothing, or never end what
    /// they say, would take the places of clients that do; so those go first, then who has been idle longest.
    fn evict(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let slow = |w: &Waiting| w.owes.is_some_and(|since| self.platform.since(since) >= SLOW);
        let first =
            |of: &dyn Fn(&Waiting) -> bool| waiting.iter().find(|(_, w)| of(w)).map(|(&turn, _)| turn);
        let turn = first(&slow).or_else(|| first(&|w| w.owes.is_none())).or_else(|| first(&|_| true));
        if let Some(waiting) = turn.and_then(|turn| waiting.remove(&turn)) {
            count(&self.counters.frontend_evicted);
            waiting.wake.notify_one();
        }
    }

    async fn connection(&self, mut stream: StreamOf<C>) -> io::Result<()> {
        stream.set_nodelay()?;
        let mut machine = Connection::default();
        let connected = self.platform.now();
        let (mut since, mut first) = (connected, true);
        // When the last bytes came: the time of a request counts from its last byte.
        let mut last = connected;
        let mut patience = Patience::new(connected);
        // Places that lie evenly, however many there are: multiples of the golden ratio.
        let place = (self.turn.replace(self.turn.get() + 1) as f64 * 0.618_033_988_749_895).fract();
        while !machine.closed() {
            match machine.step() {
                Step::More => {
                    let idle = machine.idle();
                    let owes = if first { Some(connected) } else { (!idle).then_some(since) };
                    let now = self.platform.now();
                    // A head has its time; a body has as long as it goes on coming.
                    let body = machine.within();
                    let until = if body { patience.wait(now) } else { owes.unwrap_or(now) + UNREADY };
                    match self.read(&mut stream, &mut machine, owes, until, place).await? {
                        Read::Bytes(bytes) => {
                            last = self.platform.now();
                            if idle {
                                since = last;
                            }
                            if body {
                                patience.came(last, bytes);
                            } else {
                                patience = Patience::new(last);
                            }
                        }
                        Read::Ended => return Ok(()),
                        Read::Late if idle => return Ok(()),
                        Read::Late => {
                            let status = Status::RequestTimeout;
                            self.reply(&mut stream, &mut machine, status, "", b"", true).await?;
                        }
                    }
                }
                Step::Continue(bytes) => stream.write_all(bytes).await?,
                step @ (Step::Request(_) | Step::Upload(..)) => {
                    first = false;
                    let (request, length) = match step {
                        Step::Upload(request, length) => (request, Some(length)),
                        Step::Request(request) => (request, None),
                        _ => return Ok(()),
                    };
                    let upload = length.map(|length| Upload::new(self.budget.clone(), length));
                    match self.request(&mut stream, &mut machine, request, upload, last).await? {
                        // Danger: what came early has waited since then, and its budget has run.
                        Some(early) => (since, last) = (early, early),
                        None => return Ok(()),
                    }
                }
                Step::Reject(status) => {
                    count(&self.counters.bad_requests);
                    self.reply(&mut stream, &mut machine, status, "", b"", true).await?;
                }
            }
        }
        bid_farewell(&self.platform, &mut stream, machine.uploading()).await
    }

    /// Reads more of a request that the connection `owes` since then, or waits for one that may never come.
    async fn read(
        &self,
        stream: &mut StreamOf<C>,
        machine: &mut Connection,
        owes: Option<Instant>,
        until: Instant,
        place: f64,
    ) -> io::Result<Read> {
        let idle = machine.idle();
        let turn = self.turn.replace(self.turn.get() + 1);
        let wake = Rc::new(Notify::new());
        self.waiting.borrow_mut().insert(turn, Waiting { wake: wake.clone(), owes });
        // Danger: a connection that was let in just now brings a request that nobody has read.
        let grace = owes.map(|since| since + GRACE);
        let retired = |machine: &Machine| machine.idle_until(place).map(|at| grace.map_or(at, |g| at.max(g)));
        let read = tokio::select! {
            biased;
            read = stream.read_buf(machine.buffer()) => read.map(|n| if n > 0 { Read::Bytes(n) } else { Read::Ended }),
            () = wake.notified() => Ok(Read::Ended),
            () = self.life.until(retired), if idle => Ok(Read::Ended),
            () = self.platform.sleep_until(until), if owes.is_some() => {
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
        stream: &mut StreamOf<C>,
        machine: &mut Connection,
        mut request: Request,
        upload: Option<Upload>,
        since: Instant,
    ) -> io::Result<Option<Instant>> {
        let mut early = (upload.is_none() && machine.ahead()).then_some(since);
        let closes = || self.life.ask(Machine::closes);
        if request.method == "GET" && request.path() == b"/up" {
            // Without a list there is nowhere to send a request to.
            let status = if self.life.ask(Machine::wanted) { Status::Ok } else { Status::Unavailable };
            self.reply(stream, machine, status, "", b"", closes()).await?;
            return Ok(Some(early.unwrap_or_else(|| self.platform.now())));
        }
        if request.method == "GET" && request.path() == b"/counters" {
            let json = self.counters.json();
            let extra = "Content-Type: application/json\r\n";
            self.reply(stream, machine, Status::Ok, extra, json.as_bytes(), closes()).await?;
            return Ok(Some(early.unwrap_or_else(|| self.platform.now())));
        }
        let mut patience = Patience::new(since);
        if let Some(upload) = &upload {
            // Danger: what can't be taken is turned away before its body is waited for.
            if let Err(fault) = self.class_of(&request, true) {
                return self.turn_away(stream, machine, fault.into()).await;
            }
            upload.push(std::mem::take(&mut request.body));
            while upload.gathers() {
                match self.feed(stream, machine, upload, &mut patience).await? {
                    Fed::Piece => {}
                    Fed::Gone => return Ok(None),
                    Fed::Bad(status) => return self.turn_away(stream, machine, status).await,
                }
            }
            upload.begin();
        }
        let whole = upload.as_ref().is_none_or(Upload::whole);
        let since = if upload.is_some() { self.platform.now() } else { since };
        let more = upload.as_ref().map(|upload| upload.expected(patience.gone())).unwrap_or_default();
        let taken = self.opening(request, upload, since, more).and_then(|(opening, due)| {
            let id = opening.payload.request.headers.single(CALL_ID)?.cloned().unwrap_or_default();
            Ok((OpenId::take(self, id)?, opening, due))
        });
        let (id, opening, due) = match taken {
            Ok(taken) => taken,
            Err(fault) => return self.turn_away(stream, machine, fault.into()).await,
        };
        let (class, payload) = (opening.class, opening.payload.clone());
        // Given back with the answer.
        let _spent = match self.spend(&payload) {
            Ok(spent) => spent,
            Err(after) => {
                drop(id);
                count(&self.counters.budget_refused);
                self.counters.figures.count(class, |tally| &mut tally.throttled);
                // Danger: what of its body is still to come would pass for the next request.
                self.deny(stream, machine, Some(after), !whole || closes()).await?;
                return Ok(whole.then(|| early.unwrap_or_else(|| self.platform.now())));
            }
        };
        // Taken it is when its last byte has come.
        let mut _open = whole.then(|| self.counters.figures.begin());
        let budget = payload.request.budget().unwrap_or_default();
        let mut late = None;
        let _held = Held::take(self, class);
        let verdict = {
            let served = self.host.serve(opening, due);
            tokio::pin!(served);
            loop {
                // Danger: a client's close is only seen by reading; so that is done while it waits, within
                // bounds, and what comes early is kept for the next request.
                let coming = payload.upload.as_ref().filter(|upload| !upload.whole());
                let listens = coming.is_some() || !machine.full();
                let feed = async {
                    match coming {
                        Some(upload) => self.feed(stream, machine, upload, &mut patience).await,
                        None => match stream.read_buf(machine.buffer()).await {
                            Ok(1..) => Ok(Fed::Piece),
                            _ => Ok(Fed::Gone),
                        },
                    }
                };
                let fed = tokio::select! {
                    biased;
                    verdict = &mut served => break verdict,
                    fed = feed, if listens => fed?,
                    () = self.platform.sleep_until(late.unwrap_or(due)), if late.is_some() => {
                        break Verdict::Overdue;
                    }
                };
                match (fed, coming) {
                    (Fed::Gone, _) => return Ok(None),
                    (Fed::Bad(status), _) => return self.turn_away(stream, machine, status).await,
                    (Fed::Piece, None) => {
                        early.get_or_insert_with(|| self.platform.now());
                    }
                    // Now its time begins.
                    (Fed::Piece, Some(upload)) if upload.whole() => {
                        _open = Some(self.counters.figures.begin());
                        late = Some(self.platform.now() + time_left(budget, Duration::ZERO).1);
                    }
                    (Fed::Piece, Some(_)) => {}
                }
            }
        };
        // What it was counted for and its id are free before its answer can be seen.
        drop(id);
        let close = closes();
        let tally = |what: fn(&mut Tally) -> &mut u64| self.counters.figures.count(class, what);
        match verdict {
            Verdict::Served(Reply { answer, rest }) => {
                let kind = answer.headers.single("content-type").ok().flatten();
                let kind = kind.and_then(|kind| std::str::from_utf8(kind).ok());
                let extra = kind.map(|kind| format!("Content-Type: {kind}\r\n")).unwrap_or_default();
                let Some(bulk) = answer.bulk else {
                    tally(|tally| &mut tally.fulfilled);
                    self.reply(stream, machine, Status::Ok, &extra, &answer.body, close).await?;
                    return Ok(Some(early.unwrap_or_else(|| self.platform.now())));
                };
                let (head, coding) = machine.begin(&extra, bulk.length, close);
                let Some(rest) = rest.take() else { return Ok(None) };
                // Danger: a client must be able to tell that an answer is not whole, so what breaks off ends its
                // connection without the end mark or short of the length.
                let whole = self.relay(stream, head, coding, answer.body, rest).await;
                tally(if whole.is_ok() { |tally| &mut tally.fulfilled } else { |tally| &mut tally.faulted });
                whole?;
            }
            Verdict::Denied { retry_after } => {
                tally(|tally| &mut tally.throttled);
                self.deny(stream, machine, retry_after, close).await?;
            }
            Verdict::Failed | Verdict::Overdue => {
                tally(|tally| &mut tally.faulted);
                let late = matches!(verdict, Verdict::Overdue);
                let status = if late { Status::GatewayTimeout } else { Status::BadGateway };
                self.reply(stream, machine, status, "", b"", close).await?;
            }
        }
        Ok(Some(early.unwrap_or_else(|| self.platform.now())))
    }

    /// Denies a request, with the time after which it may come again.
    async fn deny(
        &self,
        stream: &mut StreamOf<C>,
        machine: &mut Connection,
        after: Option<Duration>,
        close: bool,
    ) -> io::Result<()> {
        let after = after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
        let extra = format!("Retry-After: {after:.3}\r\n");
        self.reply(stream, machine, Status::Unavailable, &extra, b"", close).await
    }

    /// What a request takes of the fleet's budgets, or after how long it may come again.
    fn spend(&self, payload: &Payload) -> Result<Option<Spent<C::Platform>>, Duration> {
        let Some(fleet) = &self.fleet else { return Ok(None) };
        let caller = payload.request.headers.single("x-caller").ok().flatten();
        fleet.admit(caller.map(|caller| &caller[..]))
    }

    /// Answers what can't be taken; its connection ends with it.
    async fn turn_away(
        &self,
        stream: &mut StreamOf<C>,
        machine: &mut Connection,
        status: Status,
    ) -> io::Result<Option<Instant>> {
        count(&self.counters.bad_requests);
        self.reply(stream, machine, status, "", b"", true).await?;
        Ok(Some(self.platform.now()))
    }

    /// Takes the next piece of a large body, or waits for it or for room. Dropped, it loses nothing.
    async fn feed(
        &self,
        stream: &mut StreamOf<C>,
        machine: &mut Connection,
        upload: &Upload,
        patience: &mut Patience,
    ) -> io::Result<Fed> {
        match machine.piece() {
            Ok(Piece::Bytes(piece)) => upload.push(piece),
            Ok(Piece::End) => upload.finish(),
            Err(status) => return Ok(Fed::Bad(status)),
            Ok(Piece::More) => {
                if !upload.gathering() {
                    upload.room().await;
                }
                let until = patience.wait(self.platform.now());
                match self.platform.timeout_at(until, stream.read_buf(machine.buffer())).await {
                    Ok(Ok(0)) => return Ok(Fed::Gone),
                    Ok(read) => patience.came(self.platform.now(), read?),
                    Err(_) => {
                        count(&self.counters.frontend_mute);
                        return Ok(Fed::Bad(Status::RequestTimeout));
                    }
                }
            }
        }
        Ok(Fed::Piece)
    }

    /// The class of a request, by its name and form.
    fn class_of(&self, request: &Request, body: bool) -> Result<ClassId, Fault> {
        let key = request.headers.single("idempotency-key")?;
        // Danger: the class alone says whether a request may be repeated; one that comes in another class's form
        // is not what it says.
        let form = Form::of(&request.method, body, key.map(|key| &key[..])).ok_or(Fault::Malformed)?;
        let class = self.classes.borrow().find(request.class(), form, self.platform.now());
        class.ok_or(Fault::Malformed)
    }

    /// What a request asks for, and when its answer is due at the latest.
    fn opening(
        &self,
        request: Request,
        upload: Option<Upload>,
        since: Instant,
        more: Duration,
    ) -> Result<(Opening<Rc<Payload>>, Instant), Fault> {
        let id = request.headers.single(CALL_ID)?;
        if id.is_none_or(|id| id.is_empty() || id.len() > MAX_ID || !id.iter().all(u8::is_ascii_graphic)) {
            return Err(Fault::Malformed);
        }
        let class = self.class_of(&request, upload.is_some() || !request.body.is_empty())?;
        let caller = request.headers.single("x-caller")?;
        let tenant = caller.and_then(|c| self.tenants.borrow().iter().position(|t| t.as_bytes() == c));
        let repeat = request.headers.lists("x-again", "1");
        let (left, due) = time_left(request.budget()?, self.platform.since(since));
        let now = self.platform.now();
        let last = self.life.ask(Machine::due).map(|last| last.saturating_duration_since(now));
        // The body of a large request has its time before that; SIGKILL waits for neither.
        let (left, due) = (left + more, due + more);
        let (left, due) = (left.min(last.unwrap_or(left)), now + due.min(last.unwrap_or(due)));
        let payload =
            Rc::new(Payload { request, class, upload, begun: Cell::new(0), ended: Cell::default() });
        Ok((Opening { class, tenant: tenant.map(TenantId), left, repeat, payload }, due))
    }

    /// Passes a large answer on as it comes.
    async fn relay(
        &self,
        stream: &mut StreamOf<C>,
        head: Bytes,
        coding: Coding,
        first: Bytes,
        mut rest: Box<dyn Pieces>,
    ) -> io::Result<()> {
        // Head and beginning go out together.
        let mut message = BytesMut::from(head);
        message.extend_from_slice(&coding.frame(&first));
        let mut message = message.freeze();
        loop {
            self.platform.timeout(STALLED, stream.write_all(&message)).await??;
            match rest.next().await? {
                Some(piece) => message = coding.frame(&piece),
                None => break,
            }
        }
        self.platform.timeout(STALLED, stream.write_all(coding.end())).await?
    }

    async fn reply(
        &self,
        stream: &mut StreamOf<C>,
        machine: &mut Connection,
        status: Status,
        extra: &str,
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        let mut message = machine.answer(status, extra, body.len(), close);
        message.extend_from_slice(body);
        self.platform.timeout(STALLED, stream.write_all(&message)).await?
    }
}

/// The next connection. Out of descriptors or a peer that left at once: neither ends the service.
pub(crate) async fn admit<P: Platform>(
    platform: &P,
    listener: &P::Listener,
    counters: &Counters,
) -> P::Stream {
    loop {
        match listener.accept().await {
            Ok(stream) => return stream,
            Err(_) => {
                count(&counters.accept_failures);
                platform.sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

/// Ends a connection after its last answer. Danger: closing with unread bytes resets the connection and may take the
/// answer along.
pub(crate) async fn bid_farewell<P: Platform>(
    platform: &P,
    stream: &mut P::Stream,
    bulk: bool,
) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 4096];
    // Danger: who is in the middle of a large body may read nothing before its end, and would lose the answer.
    let (time, mut most) = if bulk { (6000, MAX_BULK) } else { (200, MAX_BODY) };
    let patience = platform.now() + Duration::from_millis(time);
    while most > 0 {
        match platform.timeout_at(patience, stream.read(&mut rest)).await {
            Ok(Ok(n @ 1..)) => most = most.saturating_sub(n),
            _ => break,
        }
    }
    Ok(())
}

/// The answer to what can't be taken; its connection ends with it.
pub(crate) fn refuse(machine: &mut Connection, status: Status) -> BytesMut {
    machine.answer(status, "", 0, true)
}

/// What is left of a budget for the module, and until the hard answer. The client counts from its send and
/// what we write takes time to arrive, so a margin is kept: half for the way, half for the module's answer.
pub fn time_left(budget: Duration, gone: Duration) -> (Duration, Duration) {
    let margin = (budget / 20).clamp(Duration::from_millis(4), Duration::from_millis(60)).min(budget / 2);
    let left = budget.saturating_sub(gone);
    (left.saturating_sub(margin), left.saturating_sub(margin / 2))
}

/// The header that holds a request's id.
const CALL_ID: &str = "x-call-id";

/// What came of waiting for a client while its request is open.
enum Fed {
    Piece,
    /// It has left.
    Gone,
    /// What came can't be the rest of its request, or stood still.
    Bad(Status),
}

/// How a read of a client connection ended.
enum Read {
    /// So many bytes came.
    Bytes(usize),
    /// By the client's end, or as room is needed, or on the way out.
    Ended,
    /// A request was owed and did not come in time.
    Late,
}

/// The id of an open request, free again when dropped.
struct OpenId<'a, C: HttpBackend>(&'a Frontend<C>, Bytes);

impl<'a, C: HttpBackend> OpenId<'a, C> {
    /// Danger: two open requests of one id can't be told apart by anyone behind us, who would take one for a
    /// copy of the other.
    fn take(frontend: &'a Frontend<C>, id: Bytes) -> Result<OpenId<'a, C>, Fault> {
        if !frontend.ids.borrow_mut().insert(id.clone()) {
            count(&frontend.counters.repeated_ids);
            return Err(Fault::Malformed);
        }
        Ok(OpenId(frontend, id))
    }
}

impl<C: HttpBackend> Drop for OpenId<'_, C> {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}

/// A request that has the number of a class; the number is not another's as long as this is there.
struct Held<'a, C: HttpBackend>(&'a Frontend<C>, ClassId);

impl<'a, C: HttpBackend> Held<'a, C> {
    fn take(frontend: &'a Frontend<C>, class: ClassId) -> Held<'a, C> {
        frontend.classes.borrow_mut().hold(class);
        Held(frontend, class)
    }
}

impl<C: HttpBackend> Drop for Held<'_, C> {
    fn drop(&mut self) {
        self.0.classes.borrow_mut().release(self.1);
    }
}

/// A connection's place among all of them, given back when dropped.
struct Seat<C: HttpBackend>(Rc<Frontend<C>>);

impl<C: HttpBackend> Seat<C> {
    fn take(frontend: &Rc<Frontend<C>>) -> Seat<C> {
        frontend.open.set(frontend.open.get() + 1);
        Seat(frontend.clone())
    }
}

impl<C: HttpBackend> Drop for Seat<C> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.left.notify_one();
    }
}
