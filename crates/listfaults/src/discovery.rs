//! The scripted discovery: one registry, two addresses for each sidecar (so that callers are told apart, and can be moved
//! from one to the other), and a drawn delivery for every answer.

use crate::calls::{CallCounts, CallEnd, CallRate, CallRecord};
use crate::delivery::{Delivery, Step};
use crate::http::{parameter, read_head, target};
use crate::ids::{SidecarId, Time, Version};
use crate::judge::Span;
use crate::planner::Planner;
use crate::queue::Queue;
use crate::roster::List;
use crate::wire::render;
use crate::world::{AnswerRecord, Outage, World};
use crate::writer::{Writer, closed_by_peer};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A watch continues if the next call comes within this.
const CONTINUES: Duration = Duration::from_millis(200);
/// The longest time that a call may wait for news.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// What the kernel holds for a reader that lags. Small, so that what was accepted is soon at the reader.
const SEND_BUFFER: u32 = 32 << 10;
/// A connection that fell silent is dropped after this.
const MAX_SILENCE: Duration = Duration::from_secs(30);
const BACKLOG: u32 = 64;
const REFUSAL: &[u8] = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
const BAD_REQUEST: &[u8] = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// A sidecar is to be moved to its other address of discovery.
#[derive(Debug, Clone, Copy)]
pub struct MoveRequest(pub SidecarId);

/// Listens at two addresses of a sidecar.
pub fn listen(ip: std::net::Ipv4Addr) -> io::Result<[TcpListener; 2]> {
    Ok([listen_once(ip)?, listen_once(ip)?])
}

/// The two addresses of a sidecar.
pub fn addresses([one, other]: &[TcpListener; 2]) -> io::Result<[SocketAddr; 2]> {
    Ok([one.local_addr()?, other.local_addr()?])
}

fn listen_once(ip: std::net::Ipv4Addr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Accepted connections inherit it.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(SocketAddr::from((ip, 0)))?;
    socket.listen(BACKLOG)
}

/// Discovery as one sidecar meets it.
pub struct Discovery {
    world: Arc<World>,
    sidecar: SidecarId,
    queue: Arc<Queue>,
    counts: Arc<CallCounts>,
    planner: Mutex<Planner>,
    answered: Mutex<Option<Time>>,
    rate: Mutex<CallRate>,
    movers: Sender<MoveRequest>,
}

/// What becomes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
    Reset,
}

/// A call.
#[derive(Debug, Clone, Copy)]
struct Call {
    from: Option<Version>,
    hold: Duration,
}

impl Call {
    fn parse(head: &str) -> Option<Call> {
        let target = target(head).filter(|target| target.starts_with("/discovery/hosts"))?;
        let number = |name| parameter(target, name).map(str::parse::<u64>).transpose().ok();
        let from = number("from")?.map(Version);
        let hold = Duration::from_millis(number("hold_ms")?.unwrap_or(0)).min(MAX_HOLD);
        Some(Call { from, hold })
    }
}

/// An answer that is ready to be written.
struct Prepared {
    list: List,
    delivery: Delivery,
}

impl Discovery {
    /// For one sidecar.
    pub fn new(
        world: Arc<World>,
        sidecar: SidecarId,
        queue: Arc<Queue>,
        counts: Arc<CallCounts>,
        planner: Planner,
        movers: Sender<MoveRequest>,
    ) -> Arc<Discovery> {
        let (planner, answered, rate) = (Mutex::new(planner), Mutex::new(None), Mutex::default());
        Arc::new(Discovery { world, sidecar, queue, counts, planner, answered, rate, movers })
    }

    /// Serves one of the sidecar's addresses until the runtime ends.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().converse(stream));
                }
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn converse(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(head)) = read_head(&mut stream, &mut buffer).await {
            let next = match Call::parse(&head) {
                Some(call) => self.answer(call, &mut stream).await,
                None => refuse(&mut stream, BAD_REQUEST, Next::Close).await,
            };
            match next {
                Next::Keep => {}
                Next::Close => return,
                Next::Reset => {
                    // It is reset when it is dropped.
                    let _ = stream.set_zero_linger();
                    return;
                }
            }
        }
    }

    async fn answer(&self, call: Call, stream: &mut TcpStream) -> Next {
        let place = self.record(call);
        let mut outage = self.world.outage();
        let prepared = tokio::select! {
            biased;
            down = goes_down(&mut outage) => return self.refuse_in_outage(place, down, stream).await,
            prepared = self.prepare(call) => prepared,
        };
        let Some(prepared) = prepared else {
            self.counts.refused_by_queue();
            self.world.end_call(place, CallEnd::RefusedByQueue);
            return refuse(stream, REFUSAL, Next::Keep).await;
        };
        let next = tokio::select! {
            biased;
            () = resets(&mut outage) => Next::Reset,
            next = self.deliver(place, prepared, stream) => next,
        };
        if next == Next::Keep {
            *self.answered.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.world.clock.now());
        }
        next
    }

    /// Counts and records a call; tells its place in the record.
    fn record(&self, Call { from, hold }: Call) -> usize {
        let (sidecar, at) = (self.sidecar, self.world.clock.now());
        let in_this_second = self.rate.lock().unwrap_or_else(PoisonError::into_inner).call(at);
        self.counts.called(in_this_second);
        self.world.record_call(CallRecord { sidecar, at, from, hold, end: CallEnd::Waits })
    }

    async fn refuse_in_outage(&self, place: usize, outage: Outage, stream: &mut TcpStream) -> Next {
        self.counts.ended_by_outage();
        self.world.end_call(place, CallEnd::EndedByOutage);
        match outage {
            Outage::Refuses => refuse(stream, REFUSAL, Next::Keep).await,
            Outage::Resets => Next::Reset,
        }
    }

    /// Waits for the call's turn and for news; `None` if it waited for its turn for too long.
    async fn prepare(&self, call: Call) -> Option<Prepared> {
        if !self.continues() {
            self.queue.admit().await.ok()?;
        }
        if let Some(from) = call.from {
            self.wait_for_news(from, call.hold).await;
        }
        let list = self.list(call.from);
        self.queue.charge(list.rows.len()).await;
        let delivery = self.delivery(list.rows.is_empty());
        sleep(delivery.delay).await;
        Some(Prepared { list, delivery })
    }

    fn continues(&self) -> bool {
        let answered = *self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        answered.is_some_and(|answered| self.world.clock.now() <= answered + CONTINUES)
    }

    async fn wait_for_news(&self, from: Version, hold: Duration) {
        let mut news = self.world.news();
        let began = self.world.clock.now();
        self.world.judge().waited(self.sidecar, Span { from: began, until: began + hold });
        let newer = async {
            // The caller's version may also be one that this registry never had.
            while self.world.roster().version() == from {
                if news.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without news the answer has no rows.
        let _ = timeout(hold, newer).await;
    }

    fn list(&self, from: Option<Version>) -> List {
        let mut planner = self.planner.lock().unwrap_or_else(PoisonError::into_inner);
        let roster = self.world.roster();
        let planned = self.world.delivers_as_planned();
        let changes = from.filter(|&from| from <= roster.version()).map(|from| roster.changes_since(from));
        let whole =
            changes.as_ref().is_none_or(|list| !list.rows.is_empty() && planned && planner.sends_whole());
        match changes {
            Some(changes) if !whole => changes,
            _ => roster.whole(planned && planner.leaves_out()),
        }
    }

    fn delivery(&self, empty: bool) -> Delivery {
        if !self.world.delivers_as_planned() {
            return Delivery::plain();
        }
        let mut planner = self.planner.lock().unwrap_or_else(PoisonError::into_inner);
        planner.next(self.world.clock.now(), empty)
    }

    async fn deliver(&self, place: usize, prepared: Prepared, stream: &mut TcpStream) -> Next {
        let Prepared { list, delivery } = prepared;
        let wire = render(&list, delivery.layout, delivery.framing);
        let steps = delivery.steps(wire.bytes.len());
        let (snapshot, rows, bytes) = (list.snapshot, list.rows.len(), wire.bytes.len());
        let at = self.world.clock.now();
        let record = AnswerRecord { sidecar: self.sidecar, at, snapshot, rows, bytes, delivery };
        let answer = self.world.record(record);
        self.world.end_call(place, CallEnd::Answered(answer));
        let mut writer = Writer::new(&self.world, self.sidecar, &wire, list.version, answer);
        for step in steps {
            match step {
                Step::WriteTo(end) => {
                    if writer.write_to(stream, end).await.is_err() {
                        self.counts.abandoned();
                        return Next::Close;
                    }
                }
                Step::Pause(time) if time.is_zero() => tokio::task::yield_now().await,
                Step::Pause(time) => sleep(time).await,
                // The scenario has ended if nobody takes it.
                Step::Move => drop(self.movers.send(MoveRequest(self.sidecar))),
                Step::Silence => {
                    let _ = timeout(MAX_SILENCE, closed_by_peer(stream)).await;
                    return Next::Close;
                }
                Step::Reset => return Next::Reset,
                Step::Close => return Next::Close,
            }
        }
        Next::Keep
    }
}

async fn refuse(stream: &mut TcpStream, answer: &[u8], next: Next) -> Next {
    match stream.write_all(answer).await {
        Ok(()) => next,
        Err(_) => Next::Close,
    }
}

/// Waits until discovery is down.
async fn goes_down(outage: &mut watch::Receiver<Option<Outage>>) -> Outage {
    loop {
        if let Some(down) = *outage.borrow_and_update() {
            return down;
        }
        if outage.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits until discovery is down and resets connections.
async fn resets(outage: &mut watch::Receiver<Option<Outage>>) {
    while goes_down(outage).await != Outage::Resets {
        if outage.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
