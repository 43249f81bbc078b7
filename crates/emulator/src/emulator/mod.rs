//! The emulator: a day played step by step. It owns the world (nodes, discovery, clients, sidecars), carries its events
//! to the parties, and shows the judge what passed after every step.

mod clients;
mod faults;
mod list;
mod nodes;
mod sidecars;

use crate::clients::{Clients, Ending, Tally};
use crate::day::Day;
use crate::delivery::Courier;
use crate::dice::Dice;
use crate::discovery::{Discovery, Line};
use crate::judge::returns::Returns;
use crate::judge::{Broken, Judge, Seen};
use crate::kernel::{Kernel, MS, Nanos, Pid, SEC};
use crate::net::{ConnId, HostId, Net, Note, Owner, Party, Passed, Tap};
use crate::node::Node;
use crate::platform::{DISCOVERY_PORT, EPOCH, Emulated};
use crate::sabotage::Defect;
use crate::scenario::FaultKind;
use crate::wire::{Message, Reader};
use bytes::Bytes;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::lifecycle::Lifecycle;
use cometcroft_sidecar::reload::ConfigReloader;
use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use xxhash_rust::xxh3::Xxh3;

/// What the world waits for.
#[derive(Debug)]
pub enum Event {
    /// A first try is made.
    Arrive,
    /// A request is tried again.
    Retry(u64),
    /// A try's time is up, or its client leaves early.
    GiveUp(u64, bool),
    /// A bad client comes.
    Bad,
    /// The front asks a sidecar whether it is ready.
    Front(usize),
    /// The front has noticed.
    Believe(usize, bool),
    /// A node's turn, if nothing has changed since it was asked for.
    NodeTurn(usize, u64),
    /// A request that had to wait for its handshake.
    NodeRequest(usize, ConnId, Message),
    /// An idle connection of a node is looked at.
    NodeIdle(usize, ConnId),
    /// A node's call has taken all its time.
    CallLate(usize, ConnId, u64),
    /// Part of an answer goes out; then perhaps the connection ends.
    Piece(Party, ConnId, Bytes, Last),
    /// Discovery's turn.
    List(u64),
    /// A fault begins (true) or ends.
    Fault(usize, bool),
    /// A sidecar starts.
    Start(usize),
    /// A sidecar of this life is killed.
    Kill(usize, u32),
    /// A sidecar of this life has ended by itself.
    Exited(usize, u32),
    /// A node comes (back).
    NodeUp(usize),
    /// A node's process ends in order.
    NodeDown(usize),
    /// Discovery moves.
    ListMove,
    /// Discovery closes the connections that it had at its old address.
    OldList(Vec<ConnId>),
    /// The judge looks, whatever happens.
    Look,
}

/// How a connection goes on after a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Last {
    /// It stays open.
    No,
    /// It is ended in order.
    Fin,
    /// It is reset.
    Reset,
}

type World = Kernel<Event>;
type Sim = Emulated<Event>;

#[derive(Debug, Default)]
struct NodeConn {
    reader: Reader,
    ready: Nanos,
    used: Nanos,
    busy: bool,
    by: u32,
    over_cap: bool,
}

/// A call that a node has out to its sidecar.
#[derive(Debug)]
struct Outcall {
    job: u64,
    number: u64,
    reader: Reader,
    /// Sent once the connection is up.
    unsent: Bytes,
}

/// A node with its place in the network.
struct Site {
    node: Node,
    host: HostId,
    address: SocketAddr,
    party: Party,
    alive: bool,
    turn: u64,
    conns: FxHashMap<ConnId, NodeConn>,
    /// Its sidecar to the next tier.
    sidecar: Option<usize>,
    /// Calls that its jobs have out, and idle connections to its sidecar.
    calls: FxHashMap<ConnId, Option<Outcall>>,
    idle: Vec<ConnId>,
    made: u64,
    cuts: Vec<(usize, Last)>,
    spoilt: f64,
    drip: bool,
    refuses: bool,
    dice: Dice,
}

struct Process {
    pid: Pid,
    platform: Sim,
    control: Rc<ConfigReloader>,
    life: Rc<Lifecycle<Sim>>,
    counters: Rc<Counters>,
    term: Option<Nanos>,
}

struct Sidecar {
    name: String,
    tier: usize,
    rank: usize,
    zone: usize,
    host: HostId,
    address: SocketAddr,
    life: u32,
    process: Option<Process>,
    of_node: Option<usize>,
    /// It doesn't come back.
    gone: bool,
    /// It is not there from the beginning.
    late: bool,
}

/// What a run gave.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Steps taken.
    pub steps: u64,
    /// Virtual seconds played.
    pub seconds: f64,
    /// Hash of the whole event log.
    pub hash: String,
    /// Class names.
    pub classes: Vec<String>,
    /// What became of the first tries, by class.
    pub tally: Vec<Tally>,
    /// Latency in milliseconds of what was served, by class: median, 99th percentile.
    pub latency_ms: Vec<(f64, f64)>,
    /// Worth earned over worth asked for.
    pub worth: f64,
    /// Work done by nodes without an answer that went out, over the work done.
    pub waste: f64,
    /// What passed on the wire of the sidecars.
    pub seen: Seen,
    /// Attempts that crossed zones.
    pub crossings: u64,
    /// Nodes that were pushed over while they were cold.
    pub fallen: u64,
    /// Calls that discovery answered and refused.
    pub list_calls: (u64, u64),
    /// What became of the sidecars' calls after outages of discovery.
    pub returns: Returns,
    /// Broken rules.
    pub broken: Vec<Broken>,
    /// Most things remembered at once: tasks, connections, the judge's entries.
    pub most: (usize, usize, usize),
}

/// Sees the log: step, time, what.
pub type Trace = Box<dyn FnMut(u64, Nanos, &str)>;

const CLIENTS: Party = Party(0);
const DISCOVERY: Party = Party(1);
const BAD: Party = Party(2);
const NODES: u32 = 16;

/// A day being played.
pub struct Emulator {
    day: Day,
    kernel: Rc<World>,
    judge: Judge,
    clients: Clients,
    discovery: Discovery,
    list_at: SocketAddr,
    list_host: HostId,
    list_conns: FxHashMap<ConnId, Reader>,
    list_turn: u64,
    list_moves: u16,
    /// The lists of the tiers as they were when discovery went down, while it is.
    list_when_down: Vec<String>,
    /// It moves in the middle of the next answer that takes a time to send.
    list_moves_in_answer: bool,
    courier: Courier,
    sites: Vec<Site>,
    by_address: FxHashMap<SocketAddr, usize>,
    sidecars: Vec<Sidecar>,
    by_host: FxHashMap<HostId, u32>,
    keys: FxHashMap<String, Nanos>,
    keys_swept: Nanos,
    bad_dice: Dice,
    bad_texts: FxHashMap<ConnId, Bytes>,
    defect: Option<Defect>,
    /// The first tier's sidecars know of one another.
    members: bool,
    fallen: u64,
    step: u64,
    hash: Xxh3,
    crossings: u64,
    most: (usize, usize, usize),
    trace: Option<Trace>,
    ends: Nanos,
}

impl Drop for Emulator {
    fn drop(&mut self) {
        self.kernel.shut();
    }
}

fn at(a: u8, b: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, a, (b >> 8) as u8, b as u8), port))
}

impl Emulator {
    /// A day before its first step; with a defect planted into the first tier's sidecars, if any.
    pub fn new(day: Day, defect: Option<Defect>) -> Emulator {
        let mut net = Net::new(day.links, day.seed);
        let list_host = net.host(0);
        let kernel: Rc<World> = Kernel::new(net);
        let mut by_host = FxHashMap::default();
        let mut sidecars = Vec::new();
        for (i, &zone) in day.sidecars.iter().enumerate() {
            let host = kernel.with_net(|net| net.host(zone));
            by_host.insert(host, i as u32);
            let name = format!("sidecar-{}", i + 1);
            sidecars.push(Sidecar {
                tier: 0,
                rank: i,
                zone,
                host,
                address: at(1, i, 8080),
                life: 0,
                process: None,
                of_node: None,
                gone: false,
                late: day.faults.iter().any(|f| f.kind == FaultKind::SidecarLate && f.target == name),
                name,
            });
        }
        let lines = Vec::new();
        let discovery =
            Discovery::new(day.discovery.clone(), lines, Dice::new(day.seed, "discovery service"));
        let mut emulator = Emulator {
            judge: Judge::new(&day),
            clients: Clients::new(&day),
            discovery,
            list_at: at(3, 0, DISCOVERY_PORT),
            list_host,
            list_conns: FxHashMap::default(),
            list_turn: 0,
            list_moves: 0,
            list_when_down: Vec::new(),
            list_moves_in_answer: false,
            courier: Courier::new(day.discovery.delivery.clone(), Dice::new(day.seed, "deliveries")),
            sites: Vec::new(),
            by_address: FxHashMap::default(),
            sidecars,
            by_host,
            keys: FxHashMap::default(),
            keys_swept: 0,
            bad_dice: Dice::new(day.seed, "bad clients"),
            bad_texts: FxHashMap::default(),
            defect,
            members: false,
            fallen: 0,
            step: 0,
            hash: Xxh3::new(),
            crossings: 0,
            most: (0, 0, 0),
            trace: None,
            ends: 0,
            kernel,
            day,
        };
        emulator.open();
        emulator
    }

    /// The same day with sidecars of the first tier that know of one another, where the files would leave them alone.
    pub fn with_members(mut self) -> Emulator {
        self.members = true;
        self
    }

    /// Has each step's doings told.
    pub fn trace(&mut self, trace: Trace) {
        self.trace = Some(trace);
    }

    /// The day that is played.
    pub fn day(&self) -> &Day {
        &self.day
    }

    /// Broken rules so far.
    pub fn broken(&self) -> &[Broken] {
        &self.judge.broken
    }

    /// Tells whether anything of the day is still held once it has been dropped.
    pub fn remains(&self) -> impl Fn() -> bool + use<> {
        let (kernel, counters) = (Rc::downgrade(&self.kernel), self.sidecars.iter());
        let counters: Vec<_> =
            counters.filter_map(|s| s.process.as_ref()).map(|p| Rc::downgrade(&p.counters)).collect();
        move || kernel.strong_count() > 0 || counters.iter().any(|held| held.strong_count() > 0)
    }

    /// Steps so far.
    pub fn steps(&self) -> u64 {
        self.step
    }

    /// The virtual clock.
    pub fn now(&self) -> Nanos {
        self.kernel.now()
    }

    fn open(&mut self) {
        let (fall, last_tier) = ((self.day.fall_multiple, self.day.fall_after), self.day.tiers.len() - 1);
        for (i, draw) in self.day.nodes.clone().into_iter().enumerate() {
            let tier = draw.tier;
            self.add_node(draw, at(2, i, 9000), None, fall, tier < last_tier);
        }
        let lines: Vec<Line> = (0..self.sites.len()).map(|i| self.line(i, "up")).collect();
        let dice = Dice::new(self.day.seed, "discovery service");
        self.discovery = Discovery::new(self.day.discovery.clone(), lines, dice);
        let (host, address) = (self.list_host, self.list_at);
        self.kernel.with_net(|net| net.listen(address, Owner::Party(DISCOVERY), host, 256));
        for i in 0..self.sites.len() {
            self.listen(i);
            self.node_turn_due(i);
        }
        for i in (0..self.sidecars.len()).filter(|&i| !self.sidecars[i].late) {
            self.kernel.world_at(0, Event::Start(i));
        }
        // Clients come when the sidecars are ready.
        let begin = SEC;
        self.ends = begin + self.day.length;
        self.kernel.world_at(begin, Event::Arrive);
        if self.day.clients.bad > 0.0 {
            self.kernel.world_at(begin, Event::Bad);
        }
        for (i, fault) in self.day.faults.iter().enumerate() {
            self.kernel.world_at(begin + fault.at, Event::Fault(i, true));
        }
        self.kernel.world_at(100 * MS, Event::Look);
    }

    fn add_node(
        &mut self,
        draw: crate::day::NodeDraw,
        address: SocketAddr,
        started: Option<Nanos>,
        fall: (f64, Nanos),
        calls: bool,
    ) -> usize {
        let (i, zone) = (self.sites.len(), draw.zone);
        let host = self.kernel.with_net(|net| net.host(zone));
        let dice = |what: &str| Dice::new(self.day.seed, &format!("{what} {}", draw.name));
        let (own, mine, now) = (dice("site"), dice("node"), self.kernel.now());
        let sidecar = calls.then(|| {
            let rank = self.sidecars.iter().filter(|s| s.tier == draw.tier + 1).count();
            let (tier, name) = (draw.tier + 1, format!("sidecar-of-{}", draw.name));
            let (n, of_node) = (self.sidecars.len(), Some(i));
            let address = at(1, n, 8080);
            self.by_host.insert(host, n as u32);
            self.sidecars.push(Sidecar {
                name,
                tier,
                rank,
                zone,
                host,
                address,
                life: 0,
                process: None,
                of_node,
                gone: false,
                late: false,
            });
            n
        });
        self.by_address.insert(address, i);
        self.sites.push(Site {
            node: Node::new(draw, started, now, fall, mine),
            host,
            address,
            party: Party(NODES + i as u32),
            alive: true,
            turn: 0,
            conns: FxHashMap::default(),
            sidecar,
            calls: FxHashMap::default(),
            idle: Vec::new(),
            made: 0,
            cuts: Vec::new(),
            spoilt: 0.0,
            drip: false,
            refuses: false,
            dice: own,
        });
        i
    }

    fn line(&self, i: usize, status: &'static str) -> Line {
        let site = &self.sites[i];
        let draw = &site.node.draw;
        Line {
            name: draw.name.clone(),
            address: site.address,
            tier: draw.tier,
            zone: self.day.zones[draw.zone].clone(),
            status,
            weight: draw.cores as f64,
            since_ms: site.node.started.map_or(0, |at| EPOCH.as_millis() as u64 + at / MS),
        }
    }

    fn listen(&mut self, i: usize) {
        let site = &self.sites[i];
        let (address, party, host) = (site.address, site.party, site.host);
        if site.alive && !site.refuses {
            self.kernel.with_net(|net| net.listen(address, Owner::Party(party), host, 128));
        }
    }

    /// Plays one step; `None` when the day is over.
    pub fn step(&mut self) -> Option<u64> {
        let until = self.ends + self.day.classes.iter().map(|c| c.deadline).max().unwrap_or(0) + 16 * SEC;
        let event = self.kernel.next(until)?;
        self.step += 1;
        if let Some(event) = event {
            if let Some(trace) = &mut self.trace
                && !matches!(event, Event::NodeTurn(..) | Event::List(_) | Event::Look | Event::NodeIdle(..))
            {
                trace(self.step, self.kernel.now(), &format!("{event:?}"));
            }
            self.happen(event);
        }
        loop {
            self.kernel.run_ready();
            let notes = self.kernel.notes();
            if notes.is_empty() {
                break;
            }
            for note in notes {
                self.note(note);
            }
        }
        self.look();
        Some(self.step)
    }

    fn look(&mut self) {
        let (taps, now) = (self.kernel.taps(), self.kernel.now());
        self.hash.update(&now.to_le_bytes());
        for tap in &taps {
            self.record(tap);
        }
        self.judge.look(self.step, now, taps);
    }

    fn record(&mut self, tap: &Tap) {
        let (kind, bytes): (u8, &[u8]) = match &tap.what {
            Passed::Opened(_) => (0, &[]),
            Passed::Accepted => (1, &[]),
            Passed::In(bytes, _) => (2, bytes),
            Passed::Out(bytes) => (3, bytes),
            Passed::Landed(_) => (4, &[]),
            Passed::InEnd(_) => (5, &[]),
            Passed::Broken(_) => (6, &[]),
            Passed::OutEnd => (7, &[]),
        };
        self.hash.update(&[kind]);
        self.hash.update(&tap.conn.0.to_le_bytes());
        self.hash.update(bytes);
        if let Passed::Opened(to) = &tap.what
            && let Some(&i) = self.by_address.get(to)
        {
            let zone = self.sites[i].node.draw.zone;
            let own = self.sidecars.iter().find(|s| s.process.as_ref().is_some_and(|p| p.pid == tap.pid));
            self.crossings += u64::from(own.is_some_and(|s| s.zone != zone));
        }
        if let Some(trace) = &mut self.trace {
            let text = match &tap.what {
                Passed::In(bytes, _) | Passed::Out(bytes) => {
                    let first = bytes.split(|&b| b == b'\r').next().unwrap_or_default();
                    let way = if matches!(tap.what, Passed::In(..)) { "<-" } else { "->" };
                    format!("{:?} {:?} {way} {}", tap.pid, tap.conn, String::from_utf8_lossy(first))
                }
                other => format!("{:?} {:?} {other:?}", tap.pid, tap.conn),
            };
            trace(self.step, tap.at, &text);
        }
    }

    /// Plays to the end, or until a rule is broken if `stop` says so.
    pub fn play(&mut self, stop: bool) -> Report {
        while self.step().is_some() {
            if stop && !self.judge.broken.is_empty() {
                break;
            }
            if self.step.is_multiple_of(4096) {
                let net = self.kernel.net.borrow().connections();
                let now = (self.kernel.tasks(), net, self.judge.remembers());
                self.most = (self.most.0.max(now.0), self.most.1.max(now.1), self.most.2.max(now.2));
            }
        }
        if self.judge.broken.is_empty() {
            self.look_for_leftovers();
        }
        self.report()
    }

    /// All clients have been gone for longer than connections may idle: only discovery is still talked to.
    fn look_for_leftovers(&mut self) {
        for i in 0..self.sidecars.len() {
            let Some(pid) = self.sidecars[i].process.as_ref().map(|p| p.pid) else { continue };
            let held = self.kernel.net.borrow().held_by(pid);
            for (conn, side, to) in held {
                if side == 0 && self.by_address.contains_key(&to) {
                    self.judge.left_over(pid, conn, to);
                }
            }
        }
    }

    /// What the run has given so far.
    pub fn report(&self) -> Report {
        let worth = |pick: fn(&Tally) -> f64| self.clients.tally.iter().map(pick).sum::<f64>();
        let done: f64 = self.sites.iter().map(|s| s.node.done).sum();
        let useful: f64 = self.sites.iter().map(|s| s.node.useful).sum();
        let at = |all: &Histogram<u64>, q| all.value_at_quantile(q) as f64 / 1e3;
        let latency = |all: &Histogram<u64>| (at(all, 0.5), at(all, 0.99));
        Report {
            scenario: self.day.name.clone(),
            seed: self.day.seed,
            steps: self.step,
            seconds: self.kernel.now() as f64 / 1e9,
            hash: format!("{:016x}", self.hash.digest()),
            classes: self.day.classes.iter().map(|c| c.name.clone()).collect(),
            tally: self.clients.tally.clone(),
            latency_ms: self.clients.latencies.iter().map(latency).collect(),
            worth: worth(|t| t.worth.1) / worth(|t| t.worth.0).max(f64::MIN_POSITIVE),
            waste: if done > 0.0 { ((done - useful) / done).max(0.0) } else { 0.0 },
            seen: self.judge.seen.clone(),
            crossings: self.crossings,
            fallen: self.fallen,
            list_calls: (self.discovery.answered, self.discovery.refused),
            returns: self.judge.returns(),
            broken: self.judge.broken.clone(),
            most: self.most,
        }
    }

    fn happen(&mut self, event: Event) {
        let now = self.kernel.now();
        match event {
            Event::Arrive => {
                if now < self.ends {
                    let request = self.clients.make(&self.day, now);
                    self.attempt(request);
                    let gap = self.clients.gap(&self.day, now - SEC.min(now));
                    self.kernel.world_at(now + gap, Event::Arrive);
                }
            }
            Event::Retry(request) => self.attempt(request),
            Event::GiveUp(number, early) => {
                if self.clients.tries.contains_key(&number) {
                    let carrier = self.clients.lines.iter().find(|(_, l)| l.carries == Some(number));
                    if let Some(conn) = carrier.map(|(conn, _)| *conn) {
                        self.drop_line(conn);
                    }
                    self.ended(number, if early { Ending::Left } else { Ending::Late });
                }
            }
            Event::Bad => {
                if now < self.ends {
                    self.bad_client();
                    let gap = self.bad_dice.exp((SEC as f64 / self.day.clients.bad) as Nanos);
                    self.kernel.world_at(now + gap, Event::Bad);
                }
            }
            Event::Front(i) => self.front_check(i),
            Event::Believe(i, up) => {
                // A sidecar that has come back meanwhile is asked anew, not written off.
                if up || self.sidecars[i].process.as_ref().is_none_or(|p| p.term.is_some()) {
                    self.clients.believed[i] = up;
                }
            }
            Event::NodeTurn(i, turn) => {
                if self.sites[i].turn == turn && self.sites[i].alive {
                    self.sites[i].node.turn(now);
                    self.node_outs(i);
                }
            }
            Event::NodeRequest(i, conn, message) => self.node_request(i, conn, message),
            Event::NodeIdle(i, conn) => self.node_idle(i, conn),
            Event::CallLate(i, conn, number) => {
                let mine = |c: &Option<Outcall>| c.as_ref().is_some_and(|c| c.number == number);
                if self.sites[i].calls.get(&conn).is_some_and(mine)
                    && let Some(Some(call)) = self.sites[i].calls.remove(&conn)
                {
                    self.kernel.with_net(|net| net.close(conn, 0));
                    self.called(i, call.job, false);
                }
            }
            Event::Piece(party, conn, bytes, last) => {
                self.kernel.with_net(|net| {
                    net.send(conn, 1, bytes);
                    match last {
                        Last::No => {}
                        Last::Fin => net.close(conn, 1),
                        Last::Reset => net.reset(conn, 1),
                    }
                });
                if last != Last::No {
                    if party == DISCOVERY {
                        self.list_broken_off(conn);
                    } else if let Some(i) = self.site_of(party) {
                        self.sites[i].conns.remove(&conn);
                    }
                }
            }
            Event::List(turn) => {
                if turn == self.list_turn {
                    self.discovery.turn(now);
                    self.list_learned();
                    self.list_outs();
                }
            }
            Event::Fault(i, begins) => self.fault(i, begins),
            Event::Start(i) => self.start(i),
            Event::Kill(i, life) => {
                if self.sidecars[i].life == life {
                    self.kill(i, false);
                }
            }
            Event::Exited(i, life) => {
                if self.sidecars[i].life == life {
                    self.kill(i, true);
                }
            }
            Event::NodeUp(i) => self.node_up(i),
            Event::NodeDown(i) => self.node_down(i),
            Event::ListMove => self.list_moves(),
            Event::OldList(conns) => {
                for conn in conns {
                    self.list_conns.remove(&conn);
                    self.discovery.gone(conn);
                    self.kernel.with_net(|net| net.close(conn, 1));
                }
            }
            Event::Look => self.kernel.world_at(now + 100 * MS, Event::Look),
        }
    }

    fn site_of(&self, party: Party) -> Option<usize> {
        party.0.checked_sub(NODES).map(|i| i as usize).filter(|i| *i < self.sites.len())
    }

    fn note(&mut self, note: Note) {
        match note {
            Note::Accepted(party, conn, from) => {
                if party == DISCOVERY {
                    self.list_conns.insert(conn, Reader::default());
                } else if let Some(i) = self.site_of(party) {
                    self.node_accepted(i, conn, from);
                }
            }
            Note::Connected(CLIENTS, conn) => self.line_up(conn),
            Note::Connected(BAD, conn) => {
                if let Some(text) = self.bad_texts.remove(&conn) {
                    self.kernel.with_net(|net| net.send(conn, 0, text));
                }
            }
            Note::Connected(party, conn) => {
                if let Some(i) = self.site_of(party)
                    && let Some(Some(call)) = self.sites[i].calls.get_mut(&conn)
                {
                    let bytes = std::mem::take(&mut call.unsent);
                    self.kernel.with_net(|net| net.send(conn, 0, bytes));
                }
            }
            Note::Refused(party, conn) | Note::Reset(party, conn) => self.party_lost(party, conn, true),
            Note::Fin(party, conn) => self.party_lost(party, conn, false),
            Note::Data(party, conn, bytes, _) => {
                if party == CLIENTS {
                    self.client_data(conn, &bytes);
                } else if party == DISCOVERY {
                    self.list_data(conn, &bytes);
                } else if let Some(i) = self.site_of(party) {
                    if self.sites[i].calls.contains_key(&conn) {
                        self.call_data(i, conn, &bytes);
                    } else {
                        self.node_data(i, conn, &bytes);
                    }
                }
            }
        }
    }

    /// The other side has ended a connection of a party.
    fn party_lost(&mut self, party: Party, conn: ConnId, broken: bool) {
        if party == CLIENTS {
            self.line_lost(conn);
        } else if party == DISCOVERY {
            self.list_conns.remove(&conn);
            self.discovery.gone(conn);
            self.kernel.with_net(|net| net.close(conn, 1));
            self.list_outs();
        } else if party == BAD {
            self.bad_texts.remove(&conn);
            self.kernel.with_net(|net| net.close(conn, 0));
        } else if let Some(i) = self.site_of(party) {
            if let Some(call) = self.sites[i].calls.remove(&conn) {
                self.sites[i].idle.retain(|&c| c != conn);
                self.kernel.with_net(|net| net.close(conn, 0));
                if let Some(call) = call {
                    self.called(i, call.job, false);
                }
                return;
            }
            let now = self.kernel.now();
            self.sites[i].conns.remove(&conn);
            self.kernel.with_net(|net| if broken { net.reset(conn, 1) } else { net.close(conn, 1) });
            if self.sites[i].alive {
                self.sites[i].node.gone(now, conn);
                self.node_outs(i);
            }
        }
    }
}
