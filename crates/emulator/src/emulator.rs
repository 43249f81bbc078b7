//! The emulator: a day played step by step. It owns the world (nodes, discovery, clients, sidecars), carries its events
//! to the parties, and shows the judge what passed after every step.

use crate::clients::{Clients, Ending, Line as ClientLine, Tally};
use crate::day::{Day, Fault};
use crate::dice::Dice;
use crate::discovery::{Discovery, Line, Out as ListOut};
use crate::judge::{Broken, Judge, Seen};
use crate::kernel::{Kernel, MS, Nanos, Pid, SEC};
use crate::net::{ConnId, HostId, Net, Note, Owner, Party, Passed, Tap};
use crate::node::{Ask, Node, Out as NodeOut};
use crate::platform::{EPOCH, Emulated};
use crate::sabotage::{Defect, Saboteur};
use crate::scenario::{EffectWord, FaultKind};
use crate::wire::{Call, Message, Reader, answer};
use bytes::Bytes;
use cometcroft_sidecar::config::Config;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::discovery::Source;
use cometcroft_sidecar::shutdown::Shutdown;
use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use serde::Serialize;
use serde_json::json;
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
    source: Rc<Source>,
    shutdown: Rc<Shutdown<Sim>>,
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
    list_down: bool,
    list_turn: u64,
    list_moves: u16,
    sites: Vec<Site>,
    by_address: FxHashMap<SocketAddr, usize>,
    sidecars: Vec<Sidecar>,
    by_host: FxHashMap<HostId, u32>,
    keys: FxHashMap<String, Nanos>,
    keys_swept: Nanos,
    bad_dice: Dice,
    bad_texts: FxHashMap<ConnId, Bytes>,
    defect: Option<Defect>,
    step: u64,
    hash: Xxh3,
    crossings: u64,
    most: (usize, usize, usize),
    trace: Option<Trace>,
    ends: Nanos,
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
            sidecars.push(Sidecar {
                name: format!("sidecar-{}", i + 1),
                tier: 0,
                rank: i,
                zone,
                host,
                address: at(1, i, 8080),
                life: 0,
                process: None,
                of_node: None,
            });
        }
        let lines = Vec::new();
        let discovery =
            Discovery::new(day.discovery.clone(), lines, Dice::new(day.seed, "discovery service"));
        let mut emulator = Emulator {
            judge: Judge::new(&day),
            clients: Clients::new(&day),
            discovery,
            list_at: at(3, 0, 8500),
            list_host,
            list_conns: FxHashMap::default(),
            list_down: false,
            list_turn: 0,
            list_moves: 0,
            sites: Vec::new(),
            by_address: FxHashMap::default(),
            sidecars,
            by_host,
            keys: FxHashMap::default(),
            keys_swept: 0,
            bad_dice: Dice::new(day.seed, "bad clients"),
            bad_texts: FxHashMap::default(),
            defect,
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
        for i in 0..self.sidecars.len() {
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
                let line =
                    self.clients.lines.iter().find(|(_, l)| l.carries == Some(number)).map(|(c, _)| *c);
                if self.clients.tries.contains_key(&number) {
                    if let Some(conn) = line {
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
                if last != Last::No
                    && let Some(i) = self.site_of(party)
                {
                    self.sites[i].conns.remove(&conn);
                }
            }
            Event::List(turn) => {
                if turn == self.list_turn {
                    self.discovery.turn(now);
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

    // Clients.

    fn attempt(&mut self, request: u64) {
        let now = self.kernel.now();
        let Some((number, sidecar)) = self.clients.begin(&self.day, request) else {
            // The front knows nobody.
            if let Some((request, at)) = self.clients.conclude(&self.day, now, request, Ending::Unreachable) {
                self.kernel.world_at(at, Event::Retry(request));
            }
            return;
        };
        let fresh = self.clients.requests.get(&request).is_some_and(|r| r.fresh);
        let kept = if fresh { None } else { self.clients.idle[sidecar].pop() };
        match kept {
            Some(conn) => self.send(conn, number),
            None => self.client_line(sidecar, Some(number), fresh, false),
        }
    }

    /// Opens a connection of the clients.
    fn line_open(&mut self, sidecar: usize) -> Option<ConnId> {
        let address = self.sidecars[sidecar].address;
        self.kernel.with_net(|net| net.connect(Owner::Party(CLIENTS), net.clients(), address)).ok()
    }

    fn client_line(&mut self, sidecar: usize, carries: Option<u64>, fresh: bool, checks: bool) {
        if let Some(conn) = self.line_open(sidecar) {
            let line = ClientLine { carries, sidecar, fresh, checks, ..ClientLine::default() };
            self.clients.lines.insert(conn, line);
        }
    }

    fn line_up(&mut self, conn: ConnId) {
        let Some(line) = self.clients.lines.get_mut(&conn) else { return };
        line.up = true;
        if line.checks {
            let text = Bytes::from_static(b"GET /up HTTP/1.1\r\nHost: front\r\n\r\n");
            self.kernel.with_net(|net| net.send(conn, 0, text));
        } else if let Some(number) = line.carries {
            self.send(conn, number);
        }
    }

    /// Sends a try on a connection that is up.
    fn send(&mut self, conn: ConnId, number: u64) {
        let now = self.kernel.now();
        let Some(t) = self.clients.tries.get(&number) else { return };
        let Some(r) = self.clients.requests.get(&t.request) else { return };
        let class = &self.day.classes[r.class];
        let budget = (class.deadline as f64 * r.share) as Nanos / 1000 * 1000;
        let call = Call {
            class: &class.name,
            post: class.effect != EffectWord::Safe,
            id: &t.id,
            budget,
            key: r.key.as_deref(),
            again: r.tries > 1,
            work: r.work,
        };
        let bytes = call.bytes();
        let leaves = r.leaves.filter(|at| *at < budget && r.tries == 1);
        if let Some(line) = self.clients.lines.get_mut(&conn) {
            line.carries = Some(number);
        }
        self.kernel.with_net(|net| net.send(conn, 0, bytes));
        match leaves {
            Some(after) => self.kernel.world_at(now + after, Event::GiveUp(number, true)),
            None => self.kernel.world_at(now + budget, Event::GiveUp(number, false)),
        }
    }

    fn client_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(line) = self.clients.lines.get_mut(&conn) else { return };
        line.reader.push(bytes);
        let message = match line.reader.take() {
            Ok(None) => return,
            Ok(Some(message)) => message,
            Err(_) => return self.line_lost(conn),
        };
        let (sidecar, checks, fresh) = (line.sidecar, line.checks, line.fresh);
        line.used = true;
        let carried = line.carries.take();
        let closes = message.closes() || fresh || checks || !line.reader.is_empty();
        if checks {
            if message.status() == 200 {
                self.clients.believed[sidecar] = true;
            } else {
                self.kernel.world_at(self.kernel.now() + 100 * MS, Event::Front(sidecar));
            }
        }
        if closes {
            self.drop_line(conn);
        } else {
            self.clients.idle[sidecar].push(conn);
        }
        let Some(number) = carried else { return };
        let after = message.header("retry-after").and_then(|v| v.parse().ok());
        self.ended(
            number,
            match message.status() {
                200 => Ending::Served,
                429 | 503 => Ending::Refused(after),
                _ => Ending::Failed,
            },
        );
    }

    fn drop_line(&mut self, conn: ConnId) {
        if let Some(line) = self.clients.lines.remove(&conn) {
            self.clients.idle[line.sidecar].retain(|&c| c != conn);
            self.kernel.with_net(|net| net.close(conn, 0));
        }
    }

    fn line_lost(&mut self, conn: ConnId) {
        let Some(line) = self.clients.lines.get(&conn) else { return };
        let (sidecar, carried, used, checks) = (line.sidecar, line.carries, line.used, line.checks);
        let begun = !line.reader.is_empty();
        self.drop_line(conn);
        if checks {
            self.kernel.world_at(self.kernel.now() + 100 * MS, Event::Front(sidecar));
        }
        let Some(number) = carried else { return };
        let Some(t) = self.clients.tries.get_mut(&number) else { return };
        if used && !begun && !t.resent && self.sidecars[sidecar].process.is_some() {
            // A close between requests crossed this one: it is sent once more on a new connection.
            t.resent = true;
            self.client_line(sidecar, Some(number), false, false);
        } else {
            self.ended(number, Ending::Unreachable);
        }
    }

    fn ended(&mut self, number: u64, ending: Ending) {
        let now = self.kernel.now();
        if let Some((request, at)) = self.clients.end(&self.day, now, number, ending) {
            self.kernel.world_at(at, Event::Retry(request));
        }
    }

    fn front_check(&mut self, i: usize) {
        if self.sidecars[i].process.as_ref().is_some_and(|p| p.term.is_none()) {
            self.client_line(i, None, true, true);
        }
    }

    fn bad_client(&mut self) {
        let sidecar = self.bad_dice.below(self.day.sidecars.len());
        if self.sidecars[sidecar].process.is_none() {
            return;
        }
        let (class, kind) = (&self.day.classes[0].name, self.bad_dice.below(14));
        let n = self.bad_dice.bits();
        let good = format!("X-Call-Id: bad{n:x}\r\nX-Budget: 900m\r\n");
        let text = match kind {
            0 => String::new(),
            1 => "\u{1}\u{2}\u{3} nothing that can be read\r\n\r\n".into(),
            2 => {
                format!("GET /{class}/x HTTP/1.1\r\n{good}{}", "X-Pad: pppppppppppppppppppp\r\n".repeat(900))
            }
            3 => format!("POST /{class}/x HTTP/1.1\r\n{good}Content-Length: -5\r\n\r\n"),
            4 => format!("POST /{class}/x HTTP/1.1\r\n{good}Content-Length: 60000000\r\n\r\nxxxx"),
            5 => format!("GET /no-such-class/x HTTP/1.1\r\n{good}\r\n"),
            6 => format!("GET /{class}/x HTTP/1.1\r\nX-Call-Id: bad{n:x}\r\nX-Budget: soon\r\n\r\n"),
            7 => format!("GET /{class}/x HTTP/1.1\r\nX-Budget: 900m\r\n\r\n"),
            8 => format!("GET /{class}/x HTTP/1.1\r\nX-Call"),
            9 => format!(
                "GET /{class}/x HTTP/1.1\r\n{good}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
            10 => format!("GET /{class}/x HTTP/1.1\r\nX-Call-Id: bad {n:x}\r\nX-Budget: 900m\r\n\r\n"),
            11 => format!(
                "POST /{class}/x HTTP/1.1\r\n{good}Content-Length: 3\r\nContent-Length: 4\r\n\r\nfour"
            ),
            12 => format!("GET /{class}/x HTTP/1.1\r\n{good}no colon\r\n\r\n"),
            _ => format!("PUT  /{class}/x HTTP/1.1\r\n{good}\r\n"),
        };
        let address = self.sidecars[sidecar].address;
        let conn = self.kernel.with_net(|net| net.connect(Owner::Party(BAD), net.clients(), address));
        let Ok(conn) = conn else { return };
        self.judge.bad_client(conn);
        self.bad_texts.insert(conn, Bytes::from(text));
    }

    // Nodes.

    fn node_turn_due(&mut self, i: usize) {
        let site = &mut self.sites[i];
        site.turn += 1;
        let (due, turn) = (site.node.due(self.kernel.now()), site.turn);
        self.kernel.world_at(due, Event::NodeTurn(i, turn));
    }

    /// Carries out what a node wants.
    fn node_outs(&mut self, i: usize) {
        loop {
            let outs = std::mem::take(&mut self.sites[i].node.out);
            if outs.is_empty() {
                break;
            }
            for out in outs {
                match out {
                    NodeOut::Answer { conn, id, status, rejected } => {
                        self.node_answer(i, conn, &id, status, rejected);
                    }
                    NodeOut::Call { job, number, ask } => self.node_call(i, job, number, &ask),
                    NodeOut::Drop(job) => {
                        let out = |c: &Option<Outcall>| c.as_ref().is_some_and(|c| c.job == job);
                        let conn = self.sites[i].calls.iter().find(|(_, c)| out(c)).map(|(c, _)| *c);
                        if let Some(conn) = conn {
                            self.sites[i].calls.remove(&conn);
                            self.kernel.with_net(|net| net.close(conn, 0));
                        }
                    }
                    NodeOut::Fell(by) => {
                        let name = self.sites[i].node.draw.name.clone();
                        let since = self.line(i, "up").since_ms;
                        let pid = |n: u32| {
                            let process = self.sidecars.get(n as usize).and_then(|s| s.process.as_ref());
                            process.map(|p| p.pid)
                        };
                        let by: Vec<(Pid, f64)> =
                            by.into_iter().filter_map(|(n, work)| Some((pid(n)?, work))).collect();
                        self.judge.fell(&name, since, &by);
                        self.node_die(i);
                        return;
                    }
                }
            }
        }
        if self.sites[i].alive {
            self.node_turn_due(i);
        }
    }

    fn node_accepted(&mut self, i: usize, conn: ConnId, from: HostId) {
        let now = self.kernel.now();
        if !self.sites[i].alive {
            return self.kernel.with_net(|net| net.reset(conn, 1));
        }
        let site = &mut self.sites[i];
        let over_cap = site.conns.len() >= site.node.draw.cap;
        site.node.handshake(now);
        let by = self.by_host.get(&from).copied().unwrap_or(u32::MAX);
        let ready = now + site.node.draw.handshake.1;
        site.conns.insert(conn, NodeConn { ready, used: now, by, over_cap, ..NodeConn::default() });
        let idle = site.node.draw.idle;
        self.kernel.world_at(now + idle, Event::NodeIdle(i, conn));
        self.node_outs(i);
    }

    fn node_idle(&mut self, i: usize, conn: ConnId) {
        let now = self.kernel.now();
        let Some(c) = self.sites[i].conns.get(&conn) else { return };
        let due = c.used + self.sites[i].node.draw.idle;
        if c.busy || due > now {
            let at = if c.busy { now + self.sites[i].node.draw.idle } else { due };
            return self.kernel.world_at(at, Event::NodeIdle(i, conn));
        }
        self.sites[i].conns.remove(&conn);
        self.kernel.with_net(|net| net.close(conn, 1));
    }

    fn node_data(&mut self, i: usize, conn: ConnId, bytes: &[u8]) {
        let now = self.kernel.now();
        let Some(c) = self.sites[i].conns.get_mut(&conn) else { return };
        c.reader.push(bytes);
        c.used = now;
        match c.reader.take() {
            Ok(None) => {}
            Ok(Some(message)) => {
                c.busy = true;
                if c.ready > now {
                    self.kernel.world_at(c.ready, Event::NodeRequest(i, conn, message));
                } else {
                    self.node_request(i, conn, message);
                }
            }
            Err(_) => {
                self.sites[i].conns.remove(&conn);
                self.kernel.with_net(|net| net.reset(conn, 1));
            }
        }
    }

    fn node_request(&mut self, i: usize, conn: ConnId, message: Message) {
        let now = self.kernel.now();
        let Some(c) = self.sites[i].conns.get(&conn) else { return };
        let (by, over_cap) = (c.by, c.over_cap);
        if message.target().starts_with("/metrics/load") {
            let report = self.sites[i].node.probe(now);
            let body = report.map(|(held, waiting)| json!({"inflight": held, "queue": waiting}).to_string());
            let status = if self.sites[i].node.draining { 503 } else { 200 };
            self.reply(i, conn, answer(status, "", &body.unwrap_or_default()));
            return self.node_outs(i);
        }
        let class = self.day.classes.iter().position(|c| c.name == message.class());
        let (Some(id), Some(class)) = (message.header("x-call-id"), class) else {
            return self.reply(i, conn, answer(404, "", ""));
        };
        if over_cap {
            return self.node_answer(i, conn, id, 503, true);
        }
        let id = id.to_owned();
        let tier = self.sites[i].node.draw.tier;
        let whole_work = message.info("work").unwrap_or(0.05);
        let repeat = match message.header("idempotency-key") {
            // A tier below sees the key of the tier above as its own; each tier has its own memory of keys.
            Some(key) => self.key_seen(&format!("{tier} {key}"), class, &id, now),
            None => false,
        };
        let calls = match self.day.tiers.get(tier + 1) {
            Some(next) => {
                let site = &mut self.sites[i];
                next.calls.trunc() as u32 + u32::from(site.dice.chance(next.calls.fract()))
            }
            None => 0,
        };
        let ask = Ask {
            conn,
            id,
            class,
            work: whole_work * self.day.tiers[tier].work,
            whole_work,
            calls,
            expires: now + message.budget().unwrap_or(self.day.classes[class].deadline),
            by,
        };
        self.sites[i].node.request(now, ask, repeat);
        self.node_outs(i);
    }

    /// Whether a key has been seen within its window. A key that was refused has not.
    fn key_seen(&mut self, key: &str, class: usize, id: &str, now: Nanos) -> bool {
        let _ = id;
        let window = self.day.classes[class].window;
        if now > self.keys_swept + SEC {
            self.keys_swept = now;
            self.keys.retain(|_, at| *at + window > now);
        }
        self.keys.get(key).is_some_and(|at| *at + window > now)
    }

    fn node_answer(&mut self, i: usize, conn: ConnId, id: &str, status: u16, rejected: bool) {
        let extra = if rejected { "X-Rejected: 1\r\n" } else { "" };
        let site = &mut self.sites[i];
        site.made += 1;
        let body =
            if status == 200 { format!("{id} {} {}", site.node.draw.name, site.made) } else { String::new() };
        let mut whole = answer(status, extra, &body);
        if status == 200 && site.spoilt > 0.0 && site.dice.chance(site.spoilt) {
            whole = match site.dice.below(6) {
                0 => Bytes::from_static(b"\x01\x02noise that is no answer\r\n\r\n"),
                1 => Bytes::from(format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len() + 9
                )),
                2 => Bytes::from_static(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"),
                3 => Bytes::from(format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: pppp\r\n".repeat(3000))),
                // Good, but a second copy comes right behind.
                4 => Bytes::from([&whole[..], &whole[..]].concat()),
                _ => Bytes::from_static(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxxxxxx"),
            };
        }
        if let Some((byte, last)) = site.cuts.pop() {
            let part = whole.slice(..byte.min(whole.len()));
            let party = site.party;
            self.kernel.world_at(self.kernel.now(), Event::Piece(party, conn, part, last));
            return;
        }
        if site.drip {
            let (party, now) = (site.party, self.kernel.now());
            for (k, piece) in whole.chunks(16).enumerate() {
                let piece = whole.slice_ref(piece);
                self.kernel.world_at(now + k as Nanos * 5 * MS, Event::Piece(party, conn, piece, Last::No));
            }
            if let Some(c) = self.sites[i].conns.get_mut(&conn) {
                c.busy = false;
                c.used = now + SEC / 2;
            }
            return;
        }
        self.reply(i, conn, whole);
    }

    fn reply(&mut self, i: usize, conn: ConnId, bytes: Bytes) {
        let now = self.kernel.now();
        if let Some(c) = self.sites[i].conns.get_mut(&conn) {
            c.busy = false;
            c.used = now;
            self.kernel.with_net(|net| net.send(conn, 1, bytes));
        }
    }

    fn node_call(&mut self, i: usize, job: u64, number: u32, ask: &Ask) {
        let now = self.kernel.now();
        let site = &mut self.sites[i];
        let Some(sidecar) = site.sidecar else { return self.called(i, job, false) };
        if ask.expires <= now + MS {
            return self.called(i, job, false);
        }
        let class = &self.day.classes[ask.class];
        site.made += 1;
        let serial = site.made;
        let id = format!("{}-{serial}", site.node.draw.name);
        // A call is a request of its own: its key is new, and the same for a repeat of this call only.
        let key = format!("{}-{number}", ask.id);
        let call = Call {
            class: &class.name,
            post: class.effect != EffectWord::Safe,
            id: &id,
            budget: ask.expires - now,
            key: (class.effect == EffectWord::Keyed).then_some(key.as_str()),
            again: false,
            work: ask.whole_work,
        };
        let bytes = call.bytes();
        let (party, host) = (site.party, site.host);
        let outcall = |unsent| Outcall { job, number: serial, reader: Reader::default(), unsent };
        let conn = match site.idle.pop() {
            Some(conn) => {
                self.kernel.with_net(|net| net.send(conn, 0, bytes));
                site.calls.insert(conn, Some(outcall(Bytes::new())));
                conn
            }
            None => {
                let to = self.sidecars[sidecar].address;
                let Ok(conn) = self.kernel.with_net(|net| net.connect(Owner::Party(party), host, to)) else {
                    return;
                };
                self.sites[i].calls.insert(conn, Some(outcall(bytes)));
                conn
            }
        };
        self.kernel.world_at(ask.expires, Event::CallLate(i, conn, serial));
    }

    fn call_data(&mut self, i: usize, conn: ConnId, bytes: &[u8]) {
        let site = &mut self.sites[i];
        let Some(Some(call)) = site.calls.get_mut(&conn) else { return };
        call.reader.push(bytes);
        let job = call.job;
        match call.reader.take() {
            Ok(None) => {}
            Ok(Some(message)) => {
                let served = message.status() == 200;
                if message.closes() || !call.reader.is_empty() {
                    site.calls.remove(&conn);
                    self.kernel.with_net(|net| net.close(conn, 0));
                } else {
                    site.calls.insert(conn, None);
                    site.idle.push(conn);
                }
                self.called(i, job, served);
            }
            Err(_) => {
                site.calls.remove(&conn);
                self.kernel.with_net(|net| net.reset(conn, 0));
                self.called(i, job, false);
            }
        }
    }

    fn called(&mut self, i: usize, job: u64, served: bool) {
        if self.sites[i].alive {
            self.sites[i].node.called(self.kernel.now(), job, served);
            self.node_outs(i);
        }
    }

    /// A node's process ends at once: its connections are reset, its sidecar ends with it.
    fn node_die(&mut self, i: usize) {
        let site = &mut self.sites[i];
        if !site.alive {
            return;
        }
        site.alive = false;
        site.conns.clear();
        site.calls.clear();
        site.idle.clear();
        let (party, address, sidecar) = (site.party, site.address, site.sidecar);
        self.kernel.with_net(|net| {
            net.unlisten(address);
            net.end_party(party);
        });
        if let Some(sidecar) = sidecar {
            self.kill(sidecar, false);
        }
    }

    fn node_down(&mut self, i: usize) {
        self.node_die(i);
        let line = self.line(i, "removed");
        self.discovery.change(self.kernel.now(), line, false);
        self.list_turn_due();
    }

    fn node_up(&mut self, i: usize) {
        let now = self.kernel.now();
        if self.sites[i].alive {
            return;
        }
        let fall = (self.day.fall_multiple, self.day.fall_after);
        let site = &mut self.sites[i];
        let dice = Dice::new(self.day.seed, &format!("node {} at {now}", site.node.draw.name));
        let (done, useful) = (site.node.done, site.node.useful);
        site.node = Node::new(site.node.draw.clone(), Some(now), now, fall, dice);
        (site.node.done, site.node.useful) = (done, useful);
        site.alive = true;
        self.listen(i);
        if let Some(sidecar) = self.sites[i].sidecar {
            self.start(sidecar);
        }
        let line = self.line(i, "up");
        self.discovery.change(now, line, false);
        self.list_turn_due();
        self.node_turn_due(i);
    }

    // Discovery.

    fn list_turn_due(&mut self) {
        self.list_turn += 1;
        if let Some(due) = self.discovery.due() {
            self.kernel.world_at(due, Event::List(self.list_turn));
        }
    }

    fn list_outs(&mut self) {
        for out in std::mem::take(&mut self.discovery.out) {
            let (conn, bytes) = match out {
                ListOut::Answer(conn, body) => (conn, answer(200, "", &body)),
                ListOut::Refuse(conn) => (conn, answer(503, "", "")),
            };
            self.kernel.with_net(|net| net.send(conn, 1, bytes));
        }
        self.list_turn_due();
    }

    fn list_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.kernel.now();
        let Some(reader) = self.list_conns.get_mut(&conn) else { return };
        reader.push(bytes);
        let Ok(Some(message)) = reader.take() else { return };
        let from = self.kernel.net.borrow().peer(conn, 1);
        let caller = from.and_then(|host| self.by_host.get(&host)).copied().unwrap_or(0);
        let tier = self.sidecars[caller as usize].tier;
        self.discovery.call(now, conn, tier, message.target());
        self.list_outs();
    }

    // Sidecars.

    fn config(&self, i: usize) -> String {
        let s = &self.sidecars[i];
        let tier = s.tier;
        let instances = self.sidecars.iter().filter(|o| o.tier == tier).count();
        let mut settings = self.day.settings(tier, s.rank, s.zone, instances);
        if s.tier == 0 {
            if self.defect == Some(Defect::FloodsCold) {
                settings["contract"]["cold-from"] = json!(1.0);
                settings["contract"]["ramp-time-ns"] = json!(MS);
                settings["contract"]["fall-multiple"] = json!(1000.0);
            }
        }
        let list: serde_json::Value =
            serde_json::from_str(&self.discovery.list(tier, None)).unwrap_or_default();
        let seed = Dice::new(self.day.seed, &format!("{} life {}", s.name, s.life)).bits();
        json!({
            "name": s.name, "listen": s.address.to_string(), "discovery": self.list_at.to_string(),
            "seed": format!("{seed:016x}"), "known": list, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.day.sockets},
        })
        .to_string()
    }

    fn start(&mut self, i: usize) {
        if self.sidecars[i].process.is_some()
            || self.sidecars[i].of_node.is_some_and(|n| !self.sites[n].alive)
        {
            return;
        }
        self.sidecars[i].life += 1;
        let text = self.config(i);
        // What the emulator itself writes reads back; one that doesn't starts nothing, and the day shows it.
        let Ok(config) = Config::parse(&text, |_| None) else { return };
        let s = &mut self.sidecars[i];
        let (host, sockets) = (s.host, self.day.sockets);
        let pid = self.kernel.with_net(|net| net.process(sockets));
        let mut platform = Sim::new(self.kernel.clone(), pid, host);
        let defect = self.defect.filter(|_| s.tier == 0);
        match defect {
            Some(Defect::AnswersLate) => platform.run_slow(0.95),
            Some(Defect::AnswersTwice) => platform.write_twice(),
            Some(Defect::ForgetsDrains) => platform.ignore_drains(),
            _ => {}
        }
        let listener = platform.listen(s.address);
        let source = Source::new(config.discovery);
        let shutdown = Rc::new(Shutdown::new(platform.clone(), config.longest_deadline()));
        let counters = Rc::new(Counters::default());
        let known = config.known.to_string();
        let (kernel, life) = (self.kernel.clone(), s.life);
        let (own, src, down, count) = (platform.clone(), source.clone(), shutdown.clone(), counters.clone());
        self.kernel.spawn(pid, async move {
            match defect {
                None => {
                    let _ = cometcroft_sidecar::run(own, config, listener, src, down, count).await;
                }
                Some(Defect::LosesOnRestart) => {
                    let told = down.clone();
                    tokio::select! {
                        biased;
                        () = told.begun() => {}
                        _ = cometcroft_sidecar::run(own, config, listener, src, down, count) => {}
                    }
                }
                Some(defect) => {
                    let wrap = |carrier| Saboteur::new(carrier, defect);
                    let _ = cometcroft_sidecar::run_with(own, config, listener, src, down, count, wrap).await;
                }
            }
            kernel.world_at(kernel.now(), Event::Exited(i, life));
        });
        s.process = Some(Process { pid, platform, source, shutdown, counters, term: None });
        self.judge.started(pid, &known);
        if s.of_node.is_none() {
            self.kernel.world_at(self.kernel.now() + MS, Event::Front(i));
        }
    }

    /// A sidecar's process is over: killed, or by itself.
    fn kill(&mut self, i: usize, itself: bool) {
        let Some(process) = self.sidecars[i].process.take() else { return };
        let now = self.kernel.now();
        // What has passed until now is seen first.
        let taps = self.kernel.taps();
        for tap in &taps {
            self.record(tap);
        }
        self.judge.look(self.step, now, taps);
        self.judge.ended(process.pid, itself, process.term);
        self.kernel.kill(process.pid);
        drop(process.platform);
        if self.sidecars[i].of_node.is_none() {
            let notice = 2 * SEC + (self.bad_dice.unit() * 1.9e9) as Nanos;
            self.kernel.world_at(now + notice, Event::Believe(i, false));
            self.kernel.world_at(now + SEC, Event::Start(i));
        }
    }

    fn hup(&mut self, text: &str, i: usize) {
        if let Some(process) = &self.sidecars[i].process {
            let read = Config::parse(text, |_| None);
            let _ = cometcroft_sidecar::reload(read, &process.source, &process.counters);
        }
    }

    // Faults.

    fn fault(&mut self, n: usize, begins: bool) {
        let now = self.kernel.now();
        let fault: Fault = self.day.faults[n].clone();
        if begins && fault.lasting > 0 {
            self.kernel.world_at(now + fault.lasting, Event::Fault(n, false));
        }
        let site = self.sites.iter().position(|s| s.node.draw.name == fault.target);
        let sidecar = self.sidecars.iter().position(|s| s.name == fault.target);
        use FaultKind::*;
        match (fault.kind, site, sidecar) {
            (Burst, ..) => self.clients.burst = if begins { fault.factor } else { 1.0 },
            (HotCaller, _, Some(i)) => self.clients.hot = begins.then_some((i, fault.factor)),
            (DiscoveryStale, ..) => self.discovery.stale = if begins { fault.delay } else { 0 },
            (ReportLate, ..) => {
                for site in &mut self.sites {
                    site.node.late = if begins { fault.delay } else { 0 };
                }
            }
            (DiscoveryDown, ..) => self.list_goes(begins),
            (DiscoveryMove, ..) => self.list_moves(),
            (BadFile, ..) => {
                for i in 0..self.sidecars.len() {
                    self.hup("{\"discovery\":", i);
                }
            }
            (Slow, Some(i), _) => {
                self.sites[i].node.turn(now);
                self.sites[i].node.slow = if begins { fault.factor } else { 1.0 };
                self.node_outs(i);
            }
            (FastErrors, Some(i), _) => self.sites[i].node.fail = if begins { fault.factor } else { 0.0 },
            (SpoiltAnswers, Some(i), _) => self.sites[i].spoilt = if begins { fault.factor } else { 0.0 },
            (SlowDrip, Some(i), _) => self.sites[i].drip = begins,
            (CutAnswer, Some(i), _) => self.sites[i].cuts.push((fault.byte, Last::Fin)),
            (ResetAnswer, Some(i), _) => self.sites[i].cuts.push((fault.byte, Last::Reset)),
            (Refuse, Some(i), _) => {
                self.sites[i].refuses = begins;
                let address = self.sites[i].address;
                if begins {
                    self.kernel.with_net(|net| net.unlisten(address));
                } else {
                    self.listen(i);
                }
            }
            (NodeKill, Some(i), _) if begins => {
                self.node_die(i);
                let line = self.line(i, "removed");
                self.discovery.change(now, line, true);
                self.list_turn_due();
            }
            (NodeKill, Some(i), _) => self.node_up(i),
            (NodeVanish | NodeCut, Some(i), _) => {
                let (host, vanished) = (self.sites[i].host, fault.kind == NodeVanish);
                if begins {
                    self.kernel.with_net(|net| net.silence(host));
                } else {
                    if vanished {
                        self.node_die(i);
                    }
                    self.kernel.with_net(|net| net.restore(host, vanished));
                    if vanished {
                        self.node_up(i);
                    }
                }
            }
            (NodeDrain, Some(i), _) if begins => {
                self.sites[i].node.draining = true;
                let line = self.line(i, "draining");
                self.discovery.change(now, line, false);
                self.list_turn_due();
                self.kernel.world_at(now + fault.lasting.min(8 * SEC), Event::NodeDown(i));
            }
            (NodeDrain, Some(i), _) => self.kernel.world_at(now + SEC, Event::NodeUp(i)),
            (NodeReplace, Some(i), _) => self.replace(i, fault.takes_address),
            (SidecarRestart, _, Some(i)) => {
                if let Some(process) = &mut self.sidecars[i].process {
                    process.term = Some(now);
                    process.shutdown.begin();
                    let longest = self.day.classes.iter().map(|c| c.deadline).max().unwrap_or(0).min(3 * SEC);
                    let life = self.sidecars[i].life;
                    self.kernel.world_at(now + longest + 700 * MS, Event::Kill(i, life));
                    self.kernel.world_at(now + 300 * MS, Event::Believe(i, false));
                }
            }
            (SidecarKill, _, Some(i)) => self.kill(i, false),
            (Descriptors, _, Some(i)) => {
                if let Some(process) = &self.sidecars[i].process {
                    let most = if begins { self.day.sockets / 8 } else { self.day.sockets };
                    self.kernel.with_net(|net| net.limit(process.pid, most));
                }
            }
            _ => {}
        }
    }

    /// A node dies for good and a new one under a new name comes, at its address or another.
    fn replace(&mut self, i: usize, takes_address: bool) {
        let now = self.kernel.now();
        if !self.sites[i].alive {
            return;
        }
        self.node_die(i);
        let line = self.line(i, "removed");
        self.discovery.change(now, line, false);
        let mut draw = self.sites[i].node.draw.clone();
        draw.name = format!("{}r{}", draw.name.split('r').next().unwrap_or_default(), self.sites.len());
        draw.name = format!("{}-{}", self.day.tiers[draw.tier].name, draw.name);
        let address = if takes_address { self.sites[i].address } else { at(2, self.sites.len(), 9000) };
        let (fall, calls) =
            ((self.day.fall_multiple, self.day.fall_after), draw.tier + 1 < self.day.tiers.len());
        let new = self.add_node(draw, address, Some(now), fall, calls);
        self.listen(new);
        if let Some(sidecar) = self.sites[new].sidecar {
            self.start(sidecar);
        }
        let line = self.line(new, "up");
        self.discovery.change(now, line, false);
        self.list_turn_due();
        self.node_turn_due(new);
    }

    fn list_goes(&mut self, down: bool) {
        let (address, host) = (self.list_at, self.list_host);
        self.list_down = down;
        if down {
            self.discovery.down();
            self.list_conns.clear();
            self.kernel.with_net(|net| {
                net.unlisten(address);
                net.end_party(DISCOVERY);
            });
        } else {
            self.kernel.with_net(|net| net.listen(address, Owner::Party(DISCOVERY), host, 256));
        }
        self.list_turn_due();
    }

    fn list_moves(&mut self) {
        let (old, host) = (self.list_at, self.list_host);
        self.list_moves += 1;
        self.list_at = at(3, usize::from(self.list_moves), 8500);
        let new = self.list_at;
        self.kernel.with_net(|net| {
            net.unlisten(old);
            net.listen(new, Owner::Party(DISCOVERY), host, 256);
        });
        let mut conns: Vec<ConnId> = self.list_conns.keys().copied().collect();
        conns.sort_unstable();
        self.kernel.world_at(self.kernel.now() + 1500 * MS, Event::OldList(conns));
        for i in 0..self.sidecars.len() {
            let text = self.config(i);
            self.hup(&text, i);
        }
    }
}
