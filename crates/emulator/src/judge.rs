//! The judge: it sees what passes on the wire of each sidecar, holds its own model of the rules, and says after every
//! step whether one is broken. It reads no state of the sidecars, and reads HTTP with the emulator's own reader.

pub mod drain;
pub mod list_stream;
pub mod reach;
pub mod returns;

use crate::day::{Class, Day};
use crate::kernel::{MS, Nanos, Pid, SEC};
use crate::net::{ConnId, Passed, Tap};
use crate::scenario::EffectWord;
use crate::wire::{Message, Reader};
use bytes::Bytes;
use drain::DrainJudge;
use returns::{ReturnWatch, Returns};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;

/// A rule that the sidecar keeps on every day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request taken gets one final answer before its client gives up.
    OneFinalAnswer,
    /// What is taken is not lost: a connection isn't ended on an open request, a planned end answers all.
    TakenIsNotLost,
    /// A client gets the answer made for its request, or an error.
    OwnAnswer,
    /// Repeats, and words that a repeat is harmless, only as the class allows.
    RepeatByClass,
    /// One attempt of a request is out at a time.
    OneAttemptOut,
    /// Nothing new to a node later than the grace after the notice.
    DrainWindow,
    /// No just-started node is pushed over by sidecars that know of its start.
    ColdNode,
    /// Nothing is dispatched for what is no open request.
    NothingUnasked,
    /// Bad input gets an error or a close within 3 s and is never dispatched.
    BadInput,
    /// What is over leaves nothing behind.
    NothingLeft,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneFinalAnswer => "one-final-answer",
            Rule::TakenIsNotLost => "taken-is-not-lost",
            Rule::OwnAnswer => "own-answer",
            Rule::RepeatByClass => "repeat-by-class",
            Rule::OneAttemptOut => "one-attempt-out",
            Rule::DrainWindow => "drain-window",
            Rule::ColdNode => "cold-node",
            Rule::NothingUnasked => "nothing-unasked",
            Rule::BadInput => "bad-input",
            Rule::NothingLeft => "nothing-left",
        })
    }
}

/// A broken rule.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// The step after which it was seen.
    pub step: u64,
    /// The virtual time, in nanoseconds.
    pub at: Nanos,
    /// The request, or what else it concerns.
    pub request: String,
    /// What was seen.
    pub what: String,
    /// What passed for that request: time, step, event.
    pub history: Vec<String>,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at as f64 / 1e9;
        write!(f, "{} broken at {at:.6} s, step {}: {}: {}", self.rule, self.step, self.request, self.what)
    }
}

#[derive(Debug)]
struct Attempt {
    conn: ConnId,
    /// Written whole at that time; until then it never ran.
    whole: Option<Nanos>,
    /// Its answer, or the end of its connection, has come, or the sidecar has given it up.
    over: bool,
    /// The node said that it never ran.
    rejected: bool,
    /// The body of its 200 answer.
    body: Option<Bytes>,
}

/// A request that a sidecar has taken.
#[derive(Debug)]
struct Taken {
    pid: Pid,
    class: usize,
    /// The client waits until then.
    deadline: Nanos,
    attempts: Vec<Attempt>,
    /// The sidecar has written its answer.
    answered: bool,
    landed: bool,
    /// Its client left before its time was up, or its sidecar died.
    excused: bool,
    history: Vec<(Nanos, u64, &'static str, u64)>,
}

/// A connection on which a sidecar is the server.
#[derive(Debug, Default)]
struct Client {
    requests: Reader,
    answers: Reader,
    open: Option<String>,
    /// Answers that are under way, and after how many bytes each is whole.
    under_way: VecDeque<(String, u64)>,
    written: u64,
    landed: u64,
    /// The sidecar has ended it.
    ended: bool,
    left: bool,
    errors: u32,
}

/// A connection that a sidecar opened.
#[derive(Debug)]
struct Upstream {
    to: SocketAddr,
    /// When something last passed on it.
    touched: Nanos,
    requests: Reader,
    answers: Reader,
    /// What it carries now.
    carries: Carries,
}

#[derive(Debug, PartialEq)]
enum Carries {
    Nothing,
    Attempt(String, usize),
    Other,
    Discovery,
}

#[derive(Debug, Default)]
struct Sidecar {
    ended: bool,
}

/// The judge of one run.
#[derive(Debug)]
pub struct Judge {
    classes: Vec<Class>,
    drains: DrainJudge,
    returns: ReturnWatch,
    longest: Nanos,
    idle: Nanos,
    step: u64,
    now: Nanos,
    sidecars: FxHashMap<Pid, Sidecar>,
    clients: FxHashMap<ConnId, Client>,
    upstreams: FxHashMap<ConnId, Upstream>,
    taken: FxHashMap<String, Taken>,
    due: BTreeSet<(Nanos, String)>,
    bad_due: VecDeque<(Nanos, ConnId)>,
    over: VecDeque<(Nanos, String)>,
    bad: FxHashSet<ConnId>,
    /// What has been found.
    pub broken: Vec<Broken>,
    /// What passed, counted.
    pub seen: Seen,
}

/// What passed, counted.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct Seen {
    /// Requests taken.
    pub taken: u64,
    /// Attempts begun.
    pub attempts: u64,
    /// Probes.
    pub probes: u64,
    /// Connections opened to nodes.
    pub connections: u64,
    /// Bad clients that were answered or closed.
    pub bad: u64,
    /// First bytes that went out later than the drain rule allows.
    pub late_sends: u64,
}

/// A verdict on a deadline waits this long for what was under way.
const UNDER_WAY: Nanos = 20 * MS;
/// A bad client is owed an error or a close within this time.
const BAD_WITHIN: Nanos = 3 * SEC;

impl Judge {
    /// The judge of a day.
    pub fn new(day: &Day) -> Judge {
        Judge {
            classes: day.classes.clone(),
            drains: DrainJudge::new(day.drain_grace + day.drain_slack).told_within(day.told_within),
            returns: ReturnWatch::default(),
            longest: day.classes.iter().map(|c| c.deadline).max().unwrap_or(0),
            idle: day.tiers.iter().map(|t| t.idle).max().unwrap_or(0),
            step: 0,
            now: 0,
            sidecars: FxHashMap::default(),
            clients: FxHashMap::default(),
            upstreams: FxHashMap::default(),
            taken: FxHashMap::default(),
            due: BTreeSet::new(),
            bad_due: VecDeque::new(),
            over: VecDeque::new(),
            bad: FxHashSet::default(),
            broken: Vec::new(),
            seen: Seen::default(),
        }
    }

    /// How many things it remembers.
    pub fn remembers(&self) -> usize {
        self.clients.len() + self.upstreams.len() + self.taken.len() + self.due.len() + self.over.len()
    }

    fn find(&mut self, rule: Rule, request: &str, what: String) {
        let history = self.taken.get(request).map(|taken| {
            let line = |(at, step, what, n): &(Nanos, u64, &'static str, u64)| {
                format!("{:.6} s  step {step}  {what} {n}", *at as f64 / 1e9)
            };
            taken.history.iter().map(line).collect()
        });
        // The first ones tell; a defect that goes on would fill memory.
        if self.broken.len() < 100 {
            let (step, at, request) = (self.step, self.now, request.to_owned());
            self.broken.push(Broken { rule, step, at, request, what, history: history.unwrap_or_default() });
        }
    }

    /// A sidecar starts, with this list as the one it last had.
    pub fn started(&mut self, pid: Pid, known: &str, now: Nanos) {
        self.sidecars.insert(pid, Sidecar::default());
        self.drains.started(pid, known.as_bytes(), now);
    }

    /// Discovery sends the next list on this connection in this manner.
    pub fn list_sent_as(&mut self, conn: ConnId, words: &str) {
        self.drains.sent_as(conn, words);
    }

    /// Discovery has come to know that an endpoint is up, or is not.
    pub fn discovery_learned(&mut self, name: &str, address: SocketAddr, up: bool, now: Nanos) {
        self.drains.learned(name, address, up, now);
    }

    /// Discovery can be reached from now on, or can't.
    pub fn discovery_reachable(&mut self, reachable: bool, now: Nanos) {
        self.drains.reachable(reachable, now);
        let living = self.sidecars.iter().filter(|(_, sidecar)| !sidecar.ended);
        match reachable {
            true => self.returns.returned(living.map(|(pid, _)| *pid), now),
            false => self.returns.went_down(),
        }
    }

    /// What became of the sidecars' calls after outages of discovery.
    pub fn returns(&self) -> Returns {
        self.returns.report()
    }

    /// A sidecar has ended: killed, or by itself after SIGTERM, which `planned` says. What came when SIGTERM had
    /// been known to the front for long and was killed unanswered is not excused either.
    pub fn ended(&mut self, pid: Pid, planned: bool, since: Option<Nanos>) {
        if let Some(sidecar) = self.sidecars.get_mut(&pid) {
            sidecar.ended = true;
        }
        self.drains.ended(pid);
        self.returns.process_ended(pid);
        let mut open: Vec<String> = self
            .taken
            .iter()
            .filter(|(_, t)| t.pid == pid && !t.landed && !t.excused)
            .map(|(id, _)| id.clone())
            .collect();
        open.sort_unstable();
        for id in open {
            let Some(taken) = self.taken.get(&id) else { continue };
            let came = taken.history.first().map_or(0, |h| h.0);
            let late = since.is_some_and(|since| came > since + 700 * MS);
            // What was written in time and breaks off with the process is as if it had never been written.
            if taken.answered && planned {
                continue;
            }
            if (planned || late) && !taken.answered {
                self.find(Rule::TakenIsNotLost, &id, "unanswered when its sidecar ended".into());
            }
            if let Some(taken) = self.taken.get_mut(&id) {
                taken.excused = true;
            }
        }
    }

    /// This connection's client is a bad one.
    pub fn bad_client(&mut self, conn: ConnId) {
        self.bad.insert(conn);
    }

    /// A node fell over while it was cold, under work by these sidecars.
    pub fn fell(&mut self, node: &str, since_ms: u64, by: &[(Pid, f64)]) {
        let whole: f64 = by.iter().map(|(_, work)| work).sum();
        let knows = |pid: &Pid| self.drains.knows_start(*pid, node, since_ms);
        let informed: f64 = by.iter().filter(|(pid, _)| knows(pid)).map(|(_, work)| work).sum();
        if informed >= whole * 2.0 / 3.0 {
            let what =
                format!("pushed over while cold, {:.0} % by sidecars that knew", informed / whole * 100.0);
            self.find(Rule::ColdNode, node, what);
        }
    }

    /// What passed since the last step, and what is due.
    pub fn look(&mut self, step: u64, now: Nanos, taps: Vec<Tap>) {
        (self.step, self.now) = (step, now);
        for tap in taps {
            self.tap(tap);
        }
        while let Some((at, id)) = self.due.first().cloned()
            && at + UNDER_WAY < now
        {
            self.due.pop_first();
            let Some(taken) = self.taken.get(&id) else { continue };
            if !taken.landed && !taken.excused {
                self.find(Rule::OneFinalAnswer, &id, "no whole answer before its client gave up".into());
            }
            self.close(&id);
        }
        while self.bad_due.front().is_some_and(|(at, _)| *at < now) {
            let Some((_, conn)) = self.bad_due.pop_front() else { break };
            let Some(client) = self.clients.get(&conn).filter(|_| self.bad.contains(&conn)) else { continue };
            if client.errors == 0 && !client.ended && !client.left {
                self.find(Rule::BadInput, &format!("{conn:?}"), "neither an error nor a close".into());
            }
        }
        while self.over.front().is_some_and(|(at, _)| *at < now) {
            if let Some((_, id)) = self.over.pop_front() {
                self.taken.remove(&id);
            }
        }
    }

    /// A request is settled; late doings of it are still recognised for a time.
    fn close(&mut self, id: &str) {
        self.over.push_back((self.now + self.longest, id.to_owned()));
    }

    fn tap(&mut self, tap: Tap) {
        let Tap { at, pid, conn, what } = tap;
        match what {
            Passed::Opened(to) => {
                let (requests, answers) = (Reader::default(), Reader::default());
                let upstream = Upstream { to, touched: at, requests, answers, carries: Carries::Nothing };
                self.upstreams.insert(conn, upstream);
            }
            Passed::Accepted => {
                self.clients.insert(conn, Client::default());
                self.bad_due.push_back((at + BAD_WITHIN, conn));
            }
            Passed::In(bytes, sent) if self.clients.contains_key(&conn) => {
                self.request_in(pid, conn, &bytes, sent)
            }
            Passed::In(bytes, _) => self.answer_in(pid, conn, &bytes),
            Passed::Out(bytes) if self.clients.contains_key(&conn) => self.answer_out(conn, &bytes),
            Passed::Out(bytes) => self.request_out(pid, conn, &bytes),
            Passed::Landed(length) => self.landed(conn, length as u64),
            Passed::InEnd(sent) | Passed::Broken(sent) => self.other_side_ended(conn, sent),
            Passed::OutEnd => self.sidecar_ended(conn),
        }
    }

    fn note(&mut self, id: &str, what: &'static str, n: u64) {
        let (at, step) = (self.now, self.step);
        if let Some(taken) = self.taken.get_mut(id).filter(|t| t.history.len() < 64) {
            taken.history.push((at, step, what, n));
        }
    }

    // The sidecar as a server.

    fn request_in(&mut self, pid: Pid, conn: ConnId, bytes: &[u8], sent: Nanos) {
        if self.bad.contains(&conn) {
            return;
        }
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.ended {
            return;
        }
        client.requests.push(bytes);
        let Ok(Some(message)) = client.requests.take() else { return };
        let Some(id) = message.header("x-call-id").map(str::to_owned) else { return };
        let Some(class) = self.classes.iter().position(|c| c.name == message.class()) else { return };
        let Some(budget) = message.budget() else { return };
        client.open = Some(id.clone());
        self.seen.taken += 1;
        let (deadline, history) = (sent + budget, vec![(self.now, self.step, "taken on connection", conn.0)]);
        let taken = Taken {
            pid,
            class,
            deadline,
            attempts: Vec::new(),
            answered: false,
            landed: false,
            excused: false,
            history,
        };
        self.due.insert((deadline, id.clone()));
        self.taken.insert(id, taken);
    }

    fn answer_out(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.written += bytes.len() as u64;
        client.answers.push(bytes);
        loop {
            let Some(client) = self.clients.get_mut(&conn) else { return };
            let Ok(Some(message)) = client.answers.take() else { return };
            let whole_at = client.written - client.answers.len() as u64;
            if message.status() >= 400 {
                client.errors += 1;
            }
            if message.status() < 200 {
                continue;
            }
            match client.open.take() {
                Some(id) => self.answered(conn, &id, &message, whole_at),
                // `/up` and what can't be a request are answered as well; an answer of a backend server is not.
                None if !self.bad.contains(&conn) && message.status() == 200 && !message.body.is_empty() => {
                    let what = "an answer that no open request is owed".to_owned();
                    self.find(Rule::OneFinalAnswer, &format!("{conn:?}"), what);
                }
                None => {}
            }
        }
    }

    fn answered(&mut self, conn: ConnId, id: &str, message: &Message, whole_at: u64) {
        self.note(id, "answered with status", u64::from(message.status()));
        let Some(taken) = self.taken.get_mut(id) else { return };
        let status = message.status();
        let of_ours = |a: &Attempt| a.body.as_ref().is_some_and(|body| *body == message.body);
        let own = status != 200 || taken.attempts.iter().any(of_ours);
        let may_have_run = taken.attempts.iter().any(|a| a.whole.is_some() && !a.rejected);
        let unsafe_class = self.classes[taken.class].effect == EffectWord::Unsafe;
        let denied = matches!(status, 429 | 503);
        let advice = message.header("retry-after").is_some();
        taken.answered = true;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.under_way.push_back((id.to_owned(), whole_at));
        }
        if !own {
            self.find(Rule::OwnAnswer, id, "200 with a body that no node made for it".into());
        }
        if denied && unsafe_class && may_have_run {
            self.find(Rule::RepeatByClass, id, "denied though it may have run".into());
        }
        if denied && !advice {
            self.find(Rule::OneFinalAnswer, id, "denied without Retry-After".into());
        }
    }

    fn landed(&mut self, conn: ConnId, length: u64) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.landed += length;
        let (landed, mut whole) = (client.landed, Vec::new());
        while client.under_way.front().is_some_and(|(_, end)| *end <= landed) {
            whole.extend(client.under_way.pop_front().map(|(id, _)| id));
        }
        for id in whole {
            let Some(taken) = self.taken.get_mut(&id) else { continue };
            taken.landed = true;
            let deadline = taken.deadline;
            self.note(&id, "answer whole at its client", 0);
            self.due.remove(&(deadline, id.clone()));
            let excused = self.taken.get(&id).is_none_or(|t| t.excused);
            if now > deadline && !excused {
                self.find(Rule::OneFinalAnswer, &id, "answered after its client's time".into());
            }
            self.close(&id);
        }
    }

    // The sidecar as a client.

    fn request_out(&mut self, pid: Pid, conn: ConnId, bytes: &[u8]) {
        let Some(upstream) = self.upstreams.get_mut(&conn) else { return };
        upstream.touched = self.now;
        let (to, begins) = (upstream.to, upstream.requests.is_empty());
        upstream.requests.push(bytes);
        if begins {
            self.first_byte(pid, conn, to, bytes);
        }
        let Some(upstream) = self.upstreams.get_mut(&conn) else { return };
        let Ok(next) = upstream.requests.take() else { return };
        let Some(message) = next else { return };
        if message.target().starts_with("/discovery/") {
            upstream.carries = Carries::Discovery;
            return;
        }
        let Some(id) = message.header("x-call-id").map(str::to_owned) else {
            upstream.carries = Carries::Other;
            self.seen.probes += 1;
            return;
        };
        if upstream.carries != Carries::Nothing {
            self.find(Rule::OneAttemptOut, &id, format!("two requests at once on {conn:?}"));
        }
        self.attempt(pid, conn, id);
    }

    /// The first byte of a request or probe is written.
    fn first_byte(&mut self, pid: Pid, conn: ConnId, to: SocketAddr, bytes: &[u8]) {
        let Some(late) = self.drains.first_byte(pid, to, self.now) else { return };
        self.seen.late_sends += 1;
        let text = String::from_utf8_lossy(bytes);
        let id = text.lines().find_map(|line| line.strip_prefix("X-Call-Id: "));
        let what = id.map_or_else(|| format!("{} on {conn:?}", request_line(&text)), str::to_owned);
        self.find(Rule::DrainWindow, &what, format!("{pid:?}: {late}"));
    }

    fn attempt(&mut self, pid: Pid, conn: ConnId, id: String) {
        let now = self.now;
        self.seen.attempts += 1;
        self.note(&id, "attempt written on connection", conn.0);
        let Some(taken) = self.taken.get(&id) else {
            self.find(Rule::NothingUnasked, &id, "dispatched, but nobody asked for it".into());
            return;
        };
        let class = &self.classes[taken.class];
        let out = taken.attempts.iter().any(|a| !a.over);
        let ran = taken.attempts.iter().find(|a| a.whole.is_some() && !a.rejected).and_then(|a| a.whole);
        let (effect, window) = (class.effect, class.window);
        if taken.answered || taken.pid != pid {
            self.find(Rule::NothingUnasked, &id, "dispatched after its final answer".into());
        }
        if out {
            self.find(Rule::OneAttemptOut, &id, "dispatched while another attempt is out".into());
        }
        match (effect, ran) {
            (EffectWord::Unsafe, Some(_)) => {
                self.find(Rule::RepeatByClass, &id, "sent again though it may have run".into());
            }
            (EffectWord::Keyed, Some(at)) if now > at + window => {
                self.find(Rule::RepeatByClass, &id, "sent again after its key's window".into());
            }
            _ => {}
        }
        let number = self.taken.get(&id).map_or(0, |t| t.attempts.len());
        if let Some(taken) = self.taken.get_mut(&id) {
            let attempt = Attempt { conn, whole: Some(now), over: false, rejected: false, body: None };
            taken.attempts.push(attempt);
        }
        if let Some(upstream) = self.upstreams.get_mut(&conn) {
            upstream.carries = Carries::Attempt(id, number);
        }
    }

    fn answer_in(&mut self, pid: Pid, conn: ConnId, bytes: &[u8]) {
        let Some(upstream) = self.upstreams.get_mut(&conn) else { return };
        upstream.touched = self.now;
        if upstream.carries == Carries::Discovery {
            let delivered = self.drains.delivered(pid, conn, bytes, self.now);
            if delivered.answer_ended {
                upstream.carries = Carries::Nothing;
            }
            if delivered.list_ended {
                self.returns.list_ended(pid, self.now);
            }
            return;
        }
        upstream.answers.push(bytes);
        let Ok(Some(message)) = upstream.answers.take() else { return };
        if message.status() < 200 {
            return;
        }
        match std::mem::replace(&mut upstream.carries, Carries::Nothing) {
            Carries::Attempt(id, number) => {
                self.note(&id, "answer from a node with status", u64::from(message.status()));
                let rejected = message.rejected();
                if let Some(attempt) = self.taken.get_mut(&id).and_then(|t| t.attempts.get_mut(number)) {
                    (attempt.over, attempt.rejected) = (true, rejected);
                    if message.status() == 200 {
                        attempt.body = Some(message.body);
                    }
                }
            }
            Carries::Nothing | Carries::Other | Carries::Discovery => {}
        }
    }

    fn other_side_ended(&mut self, conn: ConnId, sent: Nanos) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.left = true;
            let under_way = client.under_way.iter().map(|(id, _)| id.clone());
            let concerned: Vec<String> = client.open.iter().cloned().chain(under_way).collect();
            for id in concerned {
                self.note(&id, "its client left", 0);
                if let Some(taken) = self.taken.get_mut(&id).filter(|t| sent < t.deadline) {
                    taken.excused = true;
                }
            }
            self.drop_client(conn);
            return;
        }
        self.end_attempt(conn, "connection ended by the node");
    }

    fn end_attempt(&mut self, conn: ConnId, why: &'static str) {
        let Some(upstream) = self.upstreams.get_mut(&conn) else { return };
        if let Carries::Attempt(id, number) = std::mem::replace(&mut upstream.carries, Carries::Nothing) {
            self.note(&id, why, conn.0);
            let attempts = self.taken.get_mut(&id).map(|t| &mut t.attempts);
            if let Some(attempt) = attempts.and_then(|a| a.get_mut(number)).filter(|a| a.conn == conn) {
                attempt.over = true;
            }
        }
    }

    fn sidecar_ended(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else {
            self.end_attempt(conn, "connection ended by the sidecar");
            self.drains.connection_ended(conn, self.now);
            self.upstreams.remove(&conn);
            return;
        };
        client.ended = true;
        let open = client.open.clone();
        if let Some(id) = open {
            let excused = self.taken.get(&id).is_none_or(|t| {
                t.excused || self.now > t.deadline || self.sidecars.get(&t.pid).is_none_or(|s| s.ended)
            });
            if !excused {
                self.find(Rule::TakenIsNotLost, &id, "its connection was ended without an answer".into());
                if let Some(taken) = self.taken.get_mut(&id) {
                    taken.excused = true;
                }
            }
        }
        self.drop_client(conn);
    }

    /// Both sides are done with a client's connection.
    fn drop_client(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get(&conn) else { return };
        if client.left && client.ended {
            if self.bad.remove(&conn) {
                self.seen.bad += 1;
            }
            self.clients.remove(&conn);
        }
    }

    /// Connections that sidecars still hold well after all clients have gone, as the network tells.
    pub fn left_over(&mut self, pid: Pid, conn: ConnId, to: SocketAddr) {
        // A probe now and then is no leftover; what has carried nothing for twice the idle time is.
        if self.upstreams.get(&conn).is_none_or(|u| self.now < u.touched + 2 * self.idle) {
            return;
        }
        self.find(Rule::NothingLeft, &format!("{pid:?}"), format!("{conn:?} to {to} is still held"));
    }
}

fn request_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}
