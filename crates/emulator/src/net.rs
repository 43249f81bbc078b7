//! The simulated network: hosts, listeners, connections, and what can go wrong with them. No I/O and no tasks;
//! the kernel brings what is under way back at its time.
//!
//! A connection has two ends. An end belongs to a process (then a sidecar's stream reads and writes it) or to a party
//! of the world (then [`Note`]s tell the world what came). Every byte that a process sends or gets is also shown to
//! the judge as a [`Tap`].

use crate::cost::{CostLedger, Direction, TrafficKind, Volume};
use crate::dice::Dice;
use crate::kernel::{Nanos, Pid};
use bytes::{Bytes, BytesMut};
use cometcroft_script::{Link, LinkFault, NetworkPlan};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::task::Waker;

/// A machine of the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// A connection; numbers are never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// One end of a connection: 0 opened it, 1 accepted it.
pub type Side = usize;

/// A party of the world, as the network knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Party(pub u32);

/// Who holds an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// A process.
    Process(Pid),
    /// A party of the world.
    Party(Party),
}

/// Something on its way.
#[derive(Debug)]
pub enum Arrival {
    /// A connection is asked for.
    Syn(ConnId),
    /// The opener hears that it is up.
    Up(ConnId),
    /// The opener hears that nobody listens.
    Refused(ConnId),
    /// Bytes arrive at an end.
    Data(ConnId, Side, Bytes, Nanos),
    /// An end hears that no more will come.
    Fin(ConnId, Side, Nanos),
    /// An end hears that the connection is broken.
    Reset(ConnId, Side, Nanos),
    /// A held message is looked at again.
    Again(Box<Arrival>),
    /// A datagram: from, to, bytes.
    Datagram(SocketAddr, SocketAddr, Bytes),
}

/// What the network tells a party of the world.
#[derive(Debug)]
pub enum Note {
    /// A connection came in from this host.
    Accepted(Party, ConnId, HostId),
    /// A connection that it opened is up.
    Connected(Party, ConnId),
    /// It can't be opened.
    Refused(Party, ConnId),
    /// Bytes that were sent then.
    Data(Party, ConnId, Bytes, Nanos),
    /// The other side will send no more.
    Fin(Party, ConnId),
    /// The connection is broken.
    Reset(Party, ConnId),
}

/// What passed on a connection of a process, in the order in which it passed.
#[derive(Debug)]
pub struct Tap {
    /// When.
    pub at: Nanos,
    /// The process.
    pub pid: Pid,
    /// The connection.
    pub conn: ConnId,
    /// What passed.
    pub what: Passed,
}

/// What passed on a connection of a process.
#[derive(Debug)]
pub enum Passed {
    /// The process opened it, to this address.
    Opened(SocketAddr),
    /// The process' machine accepted it.
    Accepted,
    /// Bytes from the other side arrived at the process' machine; they were sent then.
    In(Bytes, Nanos),
    /// The process wrote bytes.
    Out(Bytes),
    /// Bytes that the process wrote arrived at the other side.
    Landed(usize),
    /// The other side ended its sending then.
    InEnd(Nanos),
    /// The connection broke, by the other side's doing at that time, or never came up.
    Broken(Nanos),
    /// The process ended its sending, or closed it.
    OutEnd,
}

#[derive(Debug)]
struct Host {
    zone: usize,
    /// It says and hears nothing.
    silent: bool,
    dice: Dice,
    held: Vec<Arrival>,
}

#[derive(Debug)]
struct Listening {
    owner: Owner,
    host: HostId,
    backlog: usize,
    queue: VecDeque<ConnId>,
    waker: Option<Waker>,
}

#[derive(Debug)]
struct End {
    owner: Option<Owner>,
    host: HostId,
    inbox: BytesMut,
    /// No more will come.
    ended: bool,
    broken: bool,
    /// Its owner has been told that it is broken.
    broken_told: bool,
    /// It has ended its sending.
    fin_sent: bool,
    /// It has been given up by its owner.
    closed: bool,
    /// Bytes under way to it.
    coming: usize,
    /// When the last thing sent to it arrives.
    last: Nanos,
    /// Bytes have been sent from it, and have arrived at it.
    has_sent: bool,
    has_received: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl End {
    fn new(owner: Option<Owner>, host: HostId) -> End {
        End {
            owner,
            host,
            inbox: BytesMut::new(),
            ended: false,
            broken: false,
            broken_told: false,
            fin_sent: false,
            closed: false,
            coming: 0,
            last: 0,
            has_sent: false,
            has_received: false,
            reader: None,
            writer: None,
        }
    }

    /// Whether its owner is to be told now that it is broken: once, and not where it has ended in order before.
    fn tell_broken(&mut self) -> bool {
        self.broken && !self.ended && !std::mem::replace(&mut self.broken_told, true)
    }

    fn wake(&mut self) {
        for waker in [self.reader.take(), self.writer.take()].into_iter().flatten() {
            waker.wake();
        }
    }
}

#[derive(Debug)]
struct Conn {
    ends: [End; 2],
    to: SocketAddr,
    state: Progress,
    opener: Option<Waker>,
    /// The opener has heard that it is up.
    told: bool,
    /// Nothing passes any more, and nobody is told.
    mute: bool,
    /// What it carries, known by the first bytes of its opener.
    kind: Option<TrafficKind>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Asked for.
    Opening,
    /// Nobody heard that it was asked for, and nobody will.
    Lost,
    /// The accepting side has it.
    Up,
    Refused,
}

#[derive(Debug)]
struct Process {
    alive: bool,
    /// Descriptors that it holds and may hold.
    held: usize,
    most: usize,
}

/// What waits on a narrow way for longer than this is lost.
const QUEUED: Nanos = 1_000_000_000;

/// A socket for datagrams.
#[derive(Debug)]
struct Socket {
    pid: Pid,
    host: HostId,
    queue: VecDeque<(SocketAddr, Bytes)>,
    waker: Option<Waker>,
}

/// Datagrams that wait at a socket at most; more are lost.
const WAITING: usize = 256;

/// Times of the links, in nanoseconds.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// One way on one machine.
    pub local: f64,
    /// One way within a zone.
    pub same: f64,
    /// One way between zones.
    pub cross: f64,
    /// One way between the clients' front and anything.
    pub client: f64,
    /// Share of a link's time that varies.
    pub jitter: f64,
}

/// Bytes under way or unread after which a writer waits.
const WINDOW: usize = 256 << 10;

/// The network.
#[derive(Debug)]
pub struct Net {
    /// The virtual time, set by the kernel.
    pub now: Nanos,
    /// What has been sent and is not yet in the kernel's queue.
    pub sent: Vec<(Nanos, Arrival)>,
    /// What parties are to be told.
    pub notes: VecDeque<Note>,
    /// What processes sent and got.
    pub taps: Vec<Tap>,
    links: Links,
    /// The ways between zones, in place of the usual one, if zones belong to regions.
    regions: Option<NetworkPlan>,
    hosts: Vec<Host>,
    listeners: FxHashMap<SocketAddr, Listening>,
    sockets: FxHashMap<SocketAddr, Socket>,
    wires: FxHashMap<(HostId, HostId), LinkFault>,
    /// When a narrow way is free again.
    free: FxHashMap<(HostId, HostId), Nanos>,
    /// Datagrams and bytes that were sent, and that arrived at a socket.
    pub datagrams: [u64; 4],
    /// What each host sends and receives, if it is counted.
    costs: Option<CostLedger>,
    conns: FxHashMap<ConnId, Conn>,
    processes: Vec<Process>,
    next: u64,
    seed: u64,
    /// The host that clients are on, which has its own link time.
    clients: HostId,
}

impl Net {
    /// A network with one host: the clients' front.
    pub fn new(links: Links, seed: u64) -> Net {
        let mut net = Net {
            now: 0,
            sent: Vec::new(),
            notes: VecDeque::new(),
            taps: Vec::new(),
            links,
            regions: None,
            hosts: Vec::new(),
            listeners: FxHashMap::default(),
            sockets: FxHashMap::default(),
            wires: FxHashMap::default(),
            free: FxHashMap::default(),
            datagrams: [0; 4],
            costs: None,
            conns: FxHashMap::default(),
            processes: Vec::new(),
            next: 0,
            seed,
            clients: HostId(0),
        };
        net.clients = net.host(0);
        net
    }

    /// The host that clients are on.
    pub fn clients(&self) -> HostId {
        self.clients
    }

    /// A new host in a zone.
    pub fn host(&mut self, zone: usize) -> HostId {
        let id = self.hosts.len();
        let dice = Dice::new(self.seed, &format!("host {id}"));
        self.hosts.push(Host { zone, silent: false, dice, held: Vec::new() });
        HostId(id as u32)
    }

    /// From now on zones belong to regions.
    pub fn set_regions(&mut self, regions: NetworkPlan) {
        self.regions = Some(regions);
    }

    /// Between hosts of different zones, if these belong to regions.
    fn way(&self, from: HostId, to: HostId) -> Option<Link> {
        if from == self.clients || to == self.clients {
            return None;
        }
        self.regions.as_ref()?.way(self.zone(from), self.zone(to)).copied()
    }

    /// Counts what each host sends and receives from now on.
    pub fn count_costs(&mut self, ledger: CostLedger) {
        self.costs = Some(ledger);
    }

    /// What each host has sent and received, if it is counted.
    pub fn costs(&self) -> Option<&CostLedger> {
        self.costs.as_ref()
    }

    fn count_datagram(&mut self, host: HostId, direction: Direction, bytes: &[u8]) {
        if let Some(costs) = &mut self.costs {
            let volume = Volume { messages: 1, bytes: bytes.len() as u64 };
            costs.record(self.now, host, TrafficKind::of_datagram(bytes), direction, volume);
        }
    }

    /// Counts bytes that leave or reach an end of a connection. All that one side writes is one message.
    fn count_stream(&mut self, id: ConnId, side: Side, direction: Direction, bytes: &[u8]) {
        let (Some(costs), Some(conn)) = (&mut self.costs, self.conns.get_mut(&id)) else { return };
        let kind = *conn.kind.get_or_insert_with(|| TrafficKind::of_stream(bytes));
        let end = &mut conn.ends[side];
        let counted = match direction {
            Direction::In => &mut end.has_received,
            Direction::Out => &mut end.has_sent,
        };
        let messages = u64::from(!std::mem::replace(counted, true));
        let volume = Volume { messages, bytes: bytes.len() as u64 };
        costs.record(self.now, end.host, kind, direction, volume);
    }

    /// The zone of a host.
    pub fn zone(&self, host: HostId) -> usize {
        self.hosts[host.0 as usize].zone
    }

    /// A new process, with so many descriptors.
    pub fn process(&mut self, most: usize) -> Pid {
        self.processes.push(Process { alive: true, held: 0, most });
        Pid(self.processes.len() as u32 - 1)
    }

    /// All processes that live.
    pub fn processes(&self) -> Vec<Pid> {
        (0..self.processes.len() as u32).map(Pid).filter(|pid| self.alive(*pid)).collect()
    }

    /// Whether a process lives.
    pub fn alive(&self, pid: Pid) -> bool {
        self.processes[pid.0 as usize].alive
    }

    /// Descriptors that a process holds.
    pub fn descriptors(&self, pid: Pid) -> usize {
        self.processes[pid.0 as usize].held
    }

    /// Changes how many descriptors a process may hold.
    pub fn limit(&mut self, pid: Pid, most: usize) {
        self.processes[pid.0 as usize].most = most;
    }

    /// Connections that are known.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// A time in which something gets from one host to another.
    fn delay(&mut self, from: HostId, to: HostId) -> Nanos {
        if let Some(way) = self.way(from, to) {
            let spread = self.hosts[from.0 as usize].dice.unit();
            return (way.delay + way.jitter.mul_f64(spread)).as_nanos() as Nanos;
        }
        let links = self.links;
        let base = if from == to {
            links.local
        } else if from == self.clients || to == self.clients {
            links.client
        } else if self.hosts[from.0 as usize].zone == self.hosts[to.0 as usize].zone {
            links.same
        } else {
            links.cross
        };
        let spread = self.hosts[from.0 as usize].dice.unit();
        (base * (1.0 + links.jitter * spread)) as Nanos
    }

    fn push(&mut self, at: Nanos, arrival: Arrival) {
        self.sent.push((at, arrival));
    }

    fn tap(&mut self, conn: ConnId, side: Side, what: Passed) {
        let owner = self.conns.get(&conn).and_then(|c| c.ends[side].owner);
        if let Some(Owner::Process(pid)) = owner {
            self.taps.push(Tap { at: self.now, pid, conn, what });
        }
    }

    /// Listens at an address.
    pub fn listen(&mut self, at: SocketAddr, owner: Owner, host: HostId, backlog: usize) {
        let listening = Listening { owner, host, backlog, queue: VecDeque::new(), waker: None };
        self.listeners.insert(at, listening);
    }

    /// Stops listening. Connections that nobody has accepted are reset.
    pub fn unlisten(&mut self, at: SocketAddr) {
        let Some(listening) = self.listeners.remove(&at) else { return };
        for conn in listening.queue {
            self.reset(conn, 1);
        }
    }

    /// From now on this is what becomes of what one machine sends another. None of it is told to either.
    pub fn wire(&mut self, from: HostId, to: HostId, wire: LinkFault) {
        if wire == LinkFault::default() {
            self.wires.remove(&(from, to));
            self.free.remove(&(from, to));
        } else {
            self.wires.insert((from, to), wire);
        }
    }

    fn is_reset(&self, a: HostId, b: HostId) -> bool {
        let resets = |pair| self.wires.get(&pair).is_some_and(|wire| wire.reset);
        !self.wires.is_empty() && (resets((a, b)) || resets((b, a)))
    }

    fn is_cut(&self, from: HostId, to: HostId) -> bool {
        !self.wires.is_empty() && self.wires.get(&(from, to)).is_some_and(|wire| wire.cut)
    }

    /// Opens a socket for datagrams.
    pub fn bind(&mut self, at: SocketAddr, pid: Pid, host: HostId) {
        self.sockets.insert(at, Socket { pid, host, queue: VecDeque::new(), waker: None });
    }

    /// Closes it, if it is still this process'.
    pub fn unbind(&mut self, at: SocketAddr, pid: Pid) {
        if self.sockets.get(&at).is_some_and(|socket| socket.pid == pid) {
            self.sockets.remove(&at);
        }
    }

    /// Sends a datagram. Whether it arrives is told to nobody.
    pub fn send_datagram(&mut self, from: SocketAddr, host: HostId, to: SocketAddr, bytes: &[u8]) {
        self.datagrams[0] += 1;
        self.datagrams[1] += bytes.len() as u64;
        self.count_datagram(host, Direction::Out, bytes);
        let Some(other) = self.sockets.get(&to).map(|socket| socket.host) else { return };
        let wire = match self.wires.is_empty() {
            true => LinkFault::default(),
            false => self.wires.get(&(host, other)).copied().unwrap_or_default(),
        };
        if wire.cut || self.hosts[host.0 as usize].silent {
            return;
        }
        let lost = self.way(host, other).map_or(0.0, |way| way.loss);
        if lost > 0.0 && self.hosts[host.0 as usize].dice.chance(lost) {
            return;
        }
        let mut bytes = Bytes::copy_from_slice(bytes);
        let mut copies = 1;
        if wire != LinkFault::default() {
            let dice = &mut self.hosts[host.0 as usize].dice;
            if dice.chance(wire.loss) {
                return;
            }
            copies += usize::from(dice.chance(wire.copies));
            if dice.chance(wire.turned) {
                let mut spoilt = bytes.to_vec();
                let at = dice.below(spoilt.len().max(1));
                if let Some(byte) = spoilt.get_mut(at) {
                    *byte ^= 1 << dice.below(8);
                }
                bytes = spoilt.into();
            }
        }
        let mut queued = 0;
        if wire.pace > 0.0 {
            let free = self.free.entry((host, other)).or_default();
            queued = free.saturating_sub(self.now);
            if queued > QUEUED {
                return;
            }
            *free = (*free).max(self.now) + (bytes.len() as f64 / wire.pace * 1e9) as Nanos;
        }
        for _ in 0..copies {
            let (delay, jitter) = (wire.delay.as_nanos() as Nanos, wire.jitter.as_nanos() as Nanos);
            let late = queued
                + match jitter {
                    0 => delay,
                    jitter => delay + (jitter as f64 * self.hosts[host.0 as usize].dice.unit()) as Nanos,
                };
            let at = self.now + self.delay(host, other) + late;
            self.push(at, Arrival::Datagram(from, to, bytes.clone()));
        }
    }

    /// Takes the next datagram at a socket.
    pub fn take_datagram(&mut self, at: SocketAddr, waker: &Waker) -> Option<(SocketAddr, Bytes)> {
        let socket = self.sockets.get_mut(&at)?;
        let next = socket.queue.pop_front();
        if next.is_none() {
            socket.waker = Some(waker.clone());
        }
        next
    }

    fn datagram(&mut self, from: SocketAddr, to: SocketAddr, bytes: Bytes) {
        let Some(host) = self.sockets.get(&to).map(|socket| socket.host) else { return };
        if self.hosts[host.0 as usize].silent {
            return;
        }
        self.count_datagram(host, Direction::In, &bytes);
        let Some(socket) = self.sockets.get_mut(&to) else { return };
        if socket.queue.len() >= WAITING {
            return;
        }
        self.datagrams[2] += 1;
        self.datagrams[3] += bytes.len() as u64;
        socket.queue.push_back((from, bytes));
        if let Some(waker) = socket.waker.take() {
            waker.wake();
        }
    }

    /// Begins to open a connection.
    pub fn connect(&mut self, owner: Owner, from: HostId, to: SocketAddr) -> io::Result<ConnId> {
        if let Owner::Process(pid) = owner {
            let process = &mut self.processes[pid.0 as usize];
            if process.held >= process.most {
                return Err(io::Error::from_raw_os_error(24));
            }
            process.held += 1;
        }
        let id = ConnId(self.next);
        self.next += 1;
        let ends = [End::new(Some(owner), from), End::new(None, from)];
        self.conns.insert(
            id,
            Conn { ends, to, state: Progress::Opening, opener: None, told: false, mute: false, kind: None },
        );
        self.tap(id, 0, Passed::Opened(to));
        let host = self.listeners.get(&to).map(|l| l.host);
        // A machine without the listener answers all the same; where none is known at all, as far as any other.
        let host = host.unwrap_or(from);
        let at = self.now + self.delay(from, host);
        self.push(at, Arrival::Syn(id));
        Ok(id)
    }

    fn syn(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (to, from) = (conn.to, conn.ends[0].host);
        if conn.ends[0].closed {
            self.conns.remove(&id);
            return;
        }
        let listening = self.listeners.get(&to).map(|l| (l.host, l.owner, l.queue.len() >= l.backlog));
        let listening = listening.filter(|(host, ..)| !self.is_reset(from, *host));
        let Some((host, owner, full)) = listening else {
            let at = self.now + self.delay(from, from);
            self.push(at, Arrival::Refused(id));
            return;
        };
        if self.hosts[host.0 as usize].silent || full || self.is_cut(from, host) || self.is_cut(host, from) {
            // Dropped without a word: it never comes up.
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.state = Progress::Lost;
            }
            return;
        }
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.ends[1] = End::new(Some(owner), host);
            conn.state = Progress::Up;
        }
        let at = self.now + self.delay(host, from);
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.ends[0].last = at;
        }
        self.push(at, Arrival::Up(id));
        match owner {
            Owner::Party(party) => self.notes.push_back(Note::Accepted(party, id, from)),
            Owner::Process(_) => {
                self.tap(id, 1, Passed::Accepted);
                if let Some(listening) = self.listeners.get_mut(&to) {
                    listening.queue.push_back(id);
                    if let Some(waker) = listening.waker.take() {
                        waker.wake();
                    }
                }
            }
        }
    }

    /// Takes the next connection that waits at a listener; fails when descriptors have run out.
    pub fn accept(&mut self, at: SocketAddr, pid: Pid, waker: &Waker) -> Option<io::Result<ConnId>> {
        let listening = self.listeners.get_mut(&at)?;
        if listening.queue.is_empty() {
            listening.waker = Some(waker.clone());
            return None;
        }
        let process = &mut self.processes[pid.0 as usize];
        if process.held >= process.most {
            return Some(Err(io::Error::from_raw_os_error(24)));
        }
        process.held += 1;
        listening.queue.pop_front().map(Ok)
    }

    /// Whether a connection that a process opened is up; otherwise its task is woken when that is known.
    pub fn opened(&mut self, id: ConnId, waker: &Waker) -> Option<io::Result<()>> {
        let Some(conn) = self.conns.get_mut(&id) else {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        };
        match conn.state {
            Progress::Refused => Some(Err(io::ErrorKind::ConnectionRefused.into())),
            Progress::Up if conn.ends[0].broken => Some(Err(io::ErrorKind::ConnectionReset.into())),
            Progress::Up if conn.told => Some(Ok(())),
            _ => {
                conn.opener = Some(waker.clone());
                None
            }
        }
    }

    /// Something has come to its end of the way.
    pub fn arrive(&mut self, arrival: Arrival) {
        let (id, side) = match &arrival {
            Arrival::Syn(id) => return self.syn(*id),
            Arrival::Datagram(..) => {
                if let Arrival::Datagram(from, to, bytes) = arrival {
                    self.datagram(from, to, bytes);
                }
                return;
            }
            Arrival::Up(id) | Arrival::Refused(id) => (*id, 0),
            Arrival::Data(id, side, ..) | Arrival::Fin(id, side, _) | Arrival::Reset(id, side, _) => {
                (*id, *side)
            }
            Arrival::Again(_) => {
                if let Arrival::Again(inner) = arrival {
                    self.arrive(*inner);
                }
                return;
            }
        };
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.mute {
            return;
        }
        if !self.wires.is_empty()
            && self.wires.get(&(conn.ends[1 - side].host, conn.ends[side].host)).is_some_and(|w| w.cut)
        {
            // Nothing passes on it any more, after the cut neither: whoever waits for it gives up.
            conn.mute = true;
            return;
        }
        let (one, other) = (conn.ends[0].host, conn.ends[1].host);
        if matches!(arrival, Arrival::Data(..) | Arrival::Fin(..)) && self.is_reset(one, other) {
            let now = self.now;
            self.push(now, Arrival::Reset(id, 1 - side, now));
            return self.arrive(Arrival::Reset(id, side, now));
        }
        let Some(conn) = self.conns.get_mut(&id) else { return };
        // On one machine all goes on, whoever else can't hear it.
        let near = conn.ends[0].host == conn.ends[1].host;
        for end in conn.ends.iter().filter(|_| !near) {
            let host = &mut self.hosts[end.host.0 as usize];
            if host.silent {
                host.held.push(arrival);
                return;
            }
        }
        if let Arrival::Data(_, _, bytes, _) = &arrival {
            self.count_stream(id, side, Direction::In, bytes);
        }
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let end = &mut conn.ends[side];
        match arrival {
            Arrival::Up(_) | Arrival::Refused(_) => {
                let up = matches!(arrival, Arrival::Up(_));
                conn.told = true;
                if !up {
                    conn.state = Progress::Refused;
                }
                if let Some(waker) = conn.opener.take() {
                    waker.wake();
                }
                match conn.ends[0].owner {
                    Some(Owner::Party(party)) if up => self.notes.push_back(Note::Connected(party, id)),
                    Some(Owner::Party(party)) => {
                        self.notes.push_back(Note::Refused(party, id));
                        self.conns.remove(&id);
                    }
                    Some(Owner::Process(_)) if !up => self.tap(id, 0, Passed::Broken(self.now)),
                    _ => {}
                }
            }
            Arrival::Data(_, _, bytes, sent) => {
                let length = bytes.len();
                end.coming = end.coming.saturating_sub(length);
                let closed = end.closed;
                match end.owner {
                    // What comes to a closed socket is answered with a reset.
                    _ if closed => {
                        self.tap(id, 1 - side, Passed::Landed(0));
                        self.send_reset(id, side);
                    }
                    Some(Owner::Party(party)) => {
                        self.notes.push_back(Note::Data(party, id, bytes, sent));
                        if let Some(waker) = conn.ends[1 - side].writer.take() {
                            waker.wake();
                        }
                        self.tap(id, 1 - side, Passed::Landed(length));
                    }
                    Some(Owner::Process(_)) => {
                        end.inbox.extend_from_slice(&bytes);
                        if let Some(waker) = end.reader.take() {
                            waker.wake();
                        }
                        self.tap(id, side, Passed::In(bytes, sent));
                    }
                    None => {}
                }
            }
            Arrival::Fin(_, _, sent) => {
                end.ended = true;
                let owner = end.owner.filter(|_| !end.closed);
                end.wake();
                match owner {
                    Some(Owner::Party(party)) => self.notes.push_back(Note::Fin(party, id)),
                    Some(Owner::Process(_)) => self.tap(id, side, Passed::InEnd(sent)),
                    None => {}
                }
                self.forget(id);
            }
            Arrival::Reset(_, _, sent) => {
                // As on Linux, what has come before it can still be read.
                end.broken = true;
                let owner = end.owner.filter(|_| !end.closed);
                end.wake();
                if let Some(waker) = conn.opener.take() {
                    waker.wake();
                }
                match owner {
                    Some(Owner::Party(party)) => {
                        self.notes.push_back(Note::Reset(party, id));
                        if let Some(conn) = self.conns.get_mut(&id) {
                            conn.ends[side].closed = true;
                        }
                    }
                    Some(Owner::Process(_)) => self.tap(id, side, Passed::Broken(sent)),
                    None => {}
                }
                self.forget(id);
            }
            Arrival::Syn(_) | Arrival::Again(_) | Arrival::Datagram(..) => {}
        }
    }

    /// Forgets a connection that neither side holds any more.
    fn forget(&mut self, id: ConnId) {
        let gone = |e: &End| e.closed || e.owner.is_none();
        if self.conns.get(&id).is_some_and(|c| c.ends.iter().all(gone)) {
            self.conns.remove(&id);
        }
    }

    /// Sends something to the other end, behind what was sent before.
    fn transmit(&mut self, id: ConnId, side: Side, make: impl FnOnce(ConnId, Side) -> Arrival) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (from, to) = (conn.ends[side].host, conn.ends[1 - side].host);
        let delay = self.delay(from, to);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let other = &mut conn.ends[1 - side];
        let at = (self.now + delay).max(other.last);
        other.last = at;
        self.push(at, make(id, 1 - side));
    }

    /// Sends bytes. Nothing is sent on a connection that is broken or ended.
    pub fn send(&mut self, id: ConnId, side: Side, bytes: Bytes) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.ends[side].broken || conn.ends[side].fin_sent || bytes.is_empty() {
            return;
        }
        conn.ends[1 - side].coming += bytes.len();
        self.count_stream(id, side, Direction::Out, &bytes);
        self.tap(id, side, Passed::Out(bytes.clone()));
        self.transmit(id, side, |id, to| Arrival::Data(id, to, bytes, now));
    }

    /// Ends the sending of one side.
    pub fn fin(&mut self, id: ConnId, side: Side) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.ends[side].broken || conn.ends[side].fin_sent {
            return;
        }
        conn.ends[side].fin_sent = true;
        self.tap(id, side, Passed::OutEnd);
        self.transmit(id, side, |id, to| Arrival::Fin(id, to, now));
    }

    fn send_reset(&mut self, id: ConnId, side: Side) {
        let now = self.now;
        self.transmit(id, side, |id, to| Arrival::Reset(id, to, now));
    }

    /// Breaks a connection from one side and gives it up.
    pub fn reset(&mut self, id: ConnId, side: Side) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if !conn.ends[side].fin_sent {
            self.tap(id, side, Passed::OutEnd);
        }
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.ends[side].fin_sent = true;
        }
        self.send_reset(id, side);
        self.release(id, side);
    }

    /// One side closes its socket: in order, or with a reset where bytes lie unread.
    pub fn close(&mut self, id: ConnId, side: Side) {
        let Some(conn) = self.conns.get(&id) else { return };
        if conn.state != Progress::Up {
            if !conn.ends[side].fin_sent {
                self.tap(id, side, Passed::OutEnd);
            }
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.ends[side].fin_sent = true;
            }
            return self.release(id, side);
        }
        if conn.ends[side].broken {
            if !conn.ends[side].fin_sent {
                self.tap(id, side, Passed::OutEnd);
            }
            self.release(id, side);
        } else if conn.ends[side].inbox.is_empty() {
            self.fin(id, side);
            self.release(id, side);
        } else {
            self.reset(id, side);
        }
    }

    /// The owner has given up its end: its descriptor is free.
    fn release(&mut self, id: ConnId, side: Side) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let end = &mut conn.ends[side];
        if !std::mem::replace(&mut end.closed, true)
            && let Some(Owner::Process(pid)) = end.owner
        {
            let process = &mut self.processes[pid.0 as usize];
            process.held = process.held.saturating_sub(1);
        }
        end.reader = None;
        end.writer = None;
        // An end that was never set up holds nothing.
        let other = &conn.ends[1 - side];
        if matches!(conn.state, Progress::Refused | Progress::Lost) || other.closed {
            self.conns.remove(&id);
        }
    }

    /// Reads what has come to an end; `None` if there is nothing yet.
    pub fn read(&mut self, id: ConnId, side: Side, most: usize, waker: &Waker) -> Option<io::Result<Bytes>> {
        let Some(conn) = self.conns.get_mut(&id) else {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        };
        let end = &mut conn.ends[side];
        if !end.inbox.is_empty() {
            let part = end.inbox.split_to(end.inbox.len().min(most)).freeze();
            if let Some(waker) = conn.ends[1 - side].writer.take() {
                waker.wake();
            }
            return Some(Ok(part));
        }
        if end.tell_broken() {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if end.ended || end.broken {
            return Some(Ok(Bytes::new()));
        }
        end.reader = Some(waker.clone());
        None
    }

    /// Writes to an end; `None` while the other side reads too slowly.
    pub fn write(
        &mut self,
        id: ConnId,
        side: Side,
        bytes: &[u8],
        waker: &Waker,
    ) -> Option<io::Result<usize>> {
        let Some(conn) = self.conns.get_mut(&id) else {
            return Some(Err(io::ErrorKind::BrokenPipe.into()));
        };
        if conn.ends[side].broken || conn.ends[side].fin_sent {
            return Some(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let room = WINDOW.saturating_sub(conn.ends[1 - side].coming + conn.ends[1 - side].inbox.len());
        if room == 0 {
            conn.ends[side].writer = Some(waker.clone());
            return None;
        }
        let part = Bytes::copy_from_slice(&bytes[..bytes.len().min(room)]);
        let length = part.len();
        self.send(id, side, part);
        Some(Ok(length))
    }

    /// Neither its end nor bytes have come to an end of a connection. As on Linux, whoever is told so that it is broken is
    /// not told again.
    pub fn quiet(&mut self, id: ConnId, side: Side) -> bool {
        let quiet = !self.has_come(id, side);
        if let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.ends[side].inbox.is_empty()) {
            conn.ends[side].tell_broken();
        }
        quiet
    }

    /// Bytes, the end or a reset have come to an end of a connection, or it is gone.
    pub fn has_come(&self, id: ConnId, side: Side) -> bool {
        self.conns.get(&id).is_none_or(|conn| {
            let end = &conn.ends[side];
            !end.inbox.is_empty() || end.ended || end.broken
        })
    }

    /// The other side has ended its sending, or the connection has broken or is gone; what came before may be unread.
    pub fn has_ended(&self, id: ConnId, side: Side) -> bool {
        self.conns.get(&id).is_none_or(|conn| conn.ends[side].ended || conn.ends[side].broken)
    }

    /// The host on the other side of a connection.
    pub fn peer(&self, id: ConnId, side: Side) -> Option<HostId> {
        self.conns.get(&id).map(|c| c.ends[1 - side].host)
    }

    /// A process has ended: its connections are reset and its listeners closed.
    pub fn end_process(&mut self, pid: Pid) {
        self.processes[pid.0 as usize].alive = false;
        let mut listening: Vec<SocketAddr> = self
            .listeners
            .iter()
            .filter(|(_, l)| l.owner == Owner::Process(pid))
            .map(|(at, _)| *at)
            .collect();
        listening.sort_unstable();
        for at in listening {
            self.unlisten(at);
        }
        self.sockets.retain(|_, socket| socket.pid != pid);
        self.break_all(|owner| owner == Owner::Process(pid));
        self.processes[pid.0 as usize].held = 0;
    }

    /// A party's process has died: its connections are reset.
    pub fn end_party(&mut self, party: Party) {
        self.break_all(|owner| owner == Owner::Party(party));
    }

    fn break_all(&mut self, whose: impl Fn(Owner) -> bool) {
        let mut ends: Vec<(ConnId, Side)> = Vec::new();
        for (id, conn) in &self.conns {
            for side in 0..2 {
                if conn.ends[side].owner.is_some_and(&whose) && !conn.ends[side].closed {
                    ends.push((*id, side));
                }
            }
        }
        // The map's order must not be seen.
        ends.sort_unstable();
        for (id, side) in ends {
            if self.conns.get(&id).is_some_and(|c| c.state == Progress::Up) {
                self.reset(id, side);
            } else {
                self.close(id, side);
            }
        }
    }

    /// A machine vanishes or is cut off: it says and hears nothing, and its connections stay open.
    pub fn silence(&mut self, host: HostId) {
        self.hosts[host.0 as usize].silent = true;
    }

    /// It is back. What was held goes on its way; a machine that `vanished` knows nothing of its connections, and
    /// whoever writes to them, or waits on them, hears a reset.
    pub fn restore(&mut self, host: HostId, vanished: bool) {
        let held = {
            let host = &mut self.hosts[host.0 as usize];
            host.silent = false;
            std::mem::take(&mut host.held)
        };
        if vanished {
            let mut ends: Vec<(ConnId, Side)> = Vec::new();
            for (id, conn) in &self.conns {
                for side in 0..2 {
                    if conn.ends[side].host == host && conn.state == Progress::Up {
                        ends.push((*id, side));
                    }
                }
            }
            ends.sort_unstable();
            for (id, side) in ends {
                self.reset(id, side);
            }
            return;
        }
        for arrival in held {
            self.push(self.now, Arrival::Again(Box::new(arrival)));
        }
    }

    /// One connection falls silent for good: nothing passes and nobody is told.
    pub fn mute(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.mute = true;
        }
    }

    /// Ends of connections that processes hold, with the side, in order; for looking for what was left over.
    pub fn held_by(&self, pid: Pid) -> Vec<(ConnId, Side, SocketAddr)> {
        let mut held: Vec<_> = self
            .conns
            .iter()
            .flat_map(|(id, c)| (0..2).map(move |side| (*id, side, c)))
            .filter(|(_, side, c)| c.ends[*side].owner == Some(Owner::Process(pid)) && !c.ends[*side].closed)
            .map(|(id, side, c)| (id, side, c.to))
            .collect();
        held.sort_unstable();
        held
    }
}
