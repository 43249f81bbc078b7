//! The drain rule: no first byte of a request or probe reaches an endpoint later than the grace after its sidecar was told
//! that it drains or is gone.
//!
//! A row counts as told from the instant at which its last byte was delivered to the sidecar's machine, also in an answer
//! that stops, is reset, is given up by its caller or turns into noise further on. What a whole list leaves out counts as
//! told when the list's end was delivered. A row that says `up` and is newer lifts this. All of it is read from the wire.
//!
//! Where the day says so, a change also counts as told, whatever was delivered, so long after discovery had it and could be
//! reached; [`Reach`] works that out.

use super::list_stream::{Item, ListStream, scan_list};
use super::reach::Reach;
use crate::kernel::{Nanos, Pid};
use crate::net::ConnId;
use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::Value;
use std::cmp::Ordering;
use std::fmt;
use std::net::SocketAddr;

/// An endpoint's name, as a number.
type NameId = usize;

/// What a row says of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Row {
    name: NameId,
    address: Option<SocketAddr>,
    up: bool,
    since_ms: u64,
}

/// By what an endpoint was told to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum By {
    /// By its row.
    Row,
    /// By a whole list without it.
    LeftOut,
    /// By the time that has passed since discovery had it then.
    Time(Nanos),
}

/// An answer of discovery, as a number.
type AnswerId = usize;

/// How the delivery of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// With its last byte.
    Whole,
    /// With its connection, before that.
    BrokenOff,
}

/// What is known of an answer, for findings.
#[derive(Debug, Clone)]
struct AnswerRecord {
    /// How it was sent, in words.
    words: String,
    /// When its first byte was delivered.
    begun: Nanos,
    /// When and how its delivery ended, if it has.
    ended: Option<(Nanos, Fate)>,
}

impl fmt::Display for AnswerRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "answer from {:.6} s ", seconds(self.begun))?;
        match self.ended {
            Some((at, Fate::Whole)) => write!(f, "to {:.6} s, whole: ", seconds(at))?,
            Some((at, Fate::BrokenOff)) => write!(f, "to {:.6} s, broken off: ", seconds(at))?,
            None => write!(f, "on, not ended: ")?,
        }
        f.write_str(&self.words)
    }
}

fn seconds(nanos: Nanos) -> f64 {
    nanos as f64 / 1e9
}

/// When and how a sidecar was told that an endpoint takes nothing new.
#[derive(Debug, Clone, Copy)]
struct Closed {
    at: Nanos,
    by: By,
    /// The answer that told it.
    answer: AnswerId,
}

/// What a sidecar knows of an endpoint.
#[derive(Debug, Clone)]
struct Known {
    address: SocketAddr,
    /// The version of the list that told it.
    index: i64,
    since_ms: u64,
    closed: Option<Closed>,
}

/// The names and rows that have been read, each once.
#[derive(Debug, Default)]
struct Names {
    ids: FxHashMap<String, NameId>,
    names: Vec<String>,
    /// Names that have been told at an address.
    at: FxHashMap<SocketAddr, Vec<NameId>>,
    /// Rows by their text; `None` where it can't be read. Most lists hold the same rows.
    rows: FxHashMap<Box<[u8]>, Option<Row>>,
}

impl Names {
    fn row(&mut self, text: &[u8]) -> Option<Row> {
        if let Some(row) = self.rows.get(text) {
            return *row;
        }
        let row = self.read(text);
        self.rows.insert(text.into(), row);
        row
    }

    fn read(&mut self, text: &[u8]) -> Option<Row> {
        let value: Value = serde_json::from_slice(text).ok()?;
        let name = self.id(value["name"].as_str()?);
        let address = value["address"].as_str().and_then(|address| address.parse().ok());
        if let Some(address) = address {
            self.stands_at(name, address);
        }
        let since_ms = value["since_ms"].as_u64().unwrap_or(0);
        Some(Row { name, address, up: value["status"].as_str() == Some("up"), since_ms })
    }

    fn stands_at(&mut self, name: NameId, address: SocketAddr) {
        let names = self.at.entry(address).or_default();
        if !names.contains(&name) {
            names.push(name);
        }
    }

    fn id(&mut self, name: &str) -> NameId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len();
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }
}

/// What one sidecar process has been told.
#[derive(Debug, Default)]
struct Process {
    /// By name.
    known: Vec<Option<Known>>,
}

impl Process {
    fn get(&self, name: NameId) -> Option<&Known> {
        self.known.get(name)?.as_ref()
    }

    /// A row has been delivered.
    fn row(&mut self, row: Row, list: &ListHead, now: Nanos) {
        if self.known.len() <= row.name {
            self.known.resize(row.name + 1, None);
        }
        let slot = &mut self.known[row.name];
        let index = list.index.unwrap_or(i64::MIN);
        let before = slot.as_ref();
        // Older news says nothing, and news of the same version lifts nothing.
        let counts = before.is_none_or(|before| match index.cmp(&before.index) {
            Ordering::Greater => true,
            Ordering::Equal => !row.up,
            Ordering::Less => false,
        });
        if !counts {
            return;
        }
        let Some(address) = row.address.or(before.map(|before| before.address)) else { return };
        let closed = if row.up {
            None
        } else {
            let already = before.and_then(|before| before.closed);
            Some(already.unwrap_or_else(|| list.closes(By::Row, now)))
        };
        *slot = Some(Known { address, index, since_ms: row.since_ms, closed });
    }

    /// The end of a whole list has been delivered: what it left out is gone.
    fn left_out(&mut self, listed: &FxHashSet<NameId>, list: &ListHead, now: Nanos) {
        let index = list.index.unwrap_or(i64::MIN);
        for (name, known) in self.known.iter_mut().enumerate() {
            let Some(known) = known.as_mut().filter(|known| known.index <= index) else { continue };
            if !listed.contains(&name) && known.closed.is_none() {
                known.closed = Some(list.closes(By::LeftOut, now));
                known.index = index;
            }
        }
    }
}

/// What is known of a list before its rows.
#[derive(Debug, Clone, Copy)]
struct ListHead {
    index: Option<i64>,
    answer: AnswerId,
}

impl ListHead {
    fn closes(&self, by: By, at: Nanos) -> Closed {
        Closed { at, by, answer: self.answer }
    }
}

/// A connection to discovery.
#[derive(Debug, Default)]
struct Connection {
    stream: ListStream,
    /// The answer that is being delivered.
    head: Option<ListHead>,
    /// What it has listed.
    listed: FxHashSet<NameId>,
    /// The end of its list has been delivered.
    whole_list: bool,
    /// How it is sent, where somebody has said so.
    words: String,
}

/// A first byte that came too late.
#[derive(Debug)]
pub struct LateSend {
    /// To whom.
    pub to: SocketAddr,
    name: String,
    /// When it was written.
    pub at: Nanos,
    /// When it was told that nothing more may go there.
    pub told: Nanos,
    by: By,
    answer: Option<AnswerRecord>,
}

impl fmt::Display for LateSend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "first byte to {} ({}) at {:.6} s, told by ", self.to, self.name, seconds(self.at))?;
        match self.by {
            By::Row => write!(f, "its row")?,
            By::LeftOut => write!(f, "a whole list without it")?,
            By::Time(had) => write!(f, "the time since discovery had it at {:.6} s,", seconds(had))?,
        }
        write!(f, " at {:.6} s, {:.3} s before", seconds(self.told), seconds(self.at - self.told))?;
        self.answer.as_ref().map_or(Ok(()), |answer| write!(f, "; {answer}"))
    }
}

/// What discovery has of an endpoint.
#[derive(Debug)]
struct Listed {
    address: SocketAddr,
    up: bool,
    at: Nanos,
}

/// What delivered bytes have completed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Delivered {
    /// An answer.
    pub answer_ended: bool,
    /// A list, in an answer that is whole.
    pub list_ended: bool,
}

/// Holds every sidecar process to the drain rule.
#[derive(Debug)]
pub struct DrainJudge {
    /// A first byte is late so long after its sidecar was told.
    allowed: Nanos,
    names: Names,
    processes: FxHashMap<Pid, Process>,
    connections: FxHashMap<ConnId, Connection>,
    answers: Vec<AnswerRecord>,
    /// What discovery has of the endpoints that have changed.
    listed: FxHashMap<NameId, Listed>,
    /// A change counts as told so long after discovery had it and could be reached; 0: only what was delivered counts.
    told_within: Nanos,
    reach: Reach,
}

impl DrainJudge {
    /// A judge that allows first bytes for so long after a notice.
    pub fn new(allowed: Nanos) -> DrainJudge {
        DrainJudge {
            allowed,
            names: Names::default(),
            processes: FxHashMap::default(),
            connections: FxHashMap::default(),
            answers: Vec::new(),
            listed: FxHashMap::default(),
            told_within: 0,
            reach: Reach::default(),
        }
    }

    /// A change also counts as told so long after discovery had it and could be reached, if this is not 0.
    pub fn told_within(mut self, within: Nanos) -> DrainJudge {
        self.told_within = within;
        self
    }

    /// Discovery has come to know that an endpoint is up, or is not.
    pub fn learned(&mut self, name: &str, address: SocketAddr, up: bool, now: Nanos) {
        let name = self.names.id(name);
        self.names.stands_at(name, address);
        match self.listed.get_mut(&name) {
            // What drains and then leaves takes nothing new since it drains.
            Some(listed) if listed.address == address && !listed.up && !up => {}
            _ => drop(self.listed.insert(name, Listed { address, up, at: now })),
        }
    }

    /// Discovery can be reached from now on, or can't.
    pub fn reachable(&mut self, reachable: bool, now: Nanos) {
        self.reach.change(reachable, now);
    }

    /// A process starts, with this list as the one last held.
    pub fn started(&mut self, pid: Pid, known: &[u8], now: Nanos) {
        let mut process = Process { known: Vec::new() };
        let head = ListHead { index: index_in(known), answer: self.answers.len() };
        let ended = Some((now, Fate::Whole));
        self.answers.push(AnswerRecord {
            words: "the list that it was started with".into(),
            begun: now,
            ended,
        });
        let names = &mut self.names;
        scan_list(known, |item| {
            if let Item::Row(text) = item
                && let Some(row) = names.row(text)
            {
                process.row(row, &head, now);
            }
        });
        self.processes.insert(pid, process);
    }

    /// A process has ended.
    pub fn ended(&mut self, pid: Pid) {
        self.processes.remove(&pid);
    }

    /// How the next answer on a connection is sent, in words; for findings only.
    pub fn sent_as(&mut self, conn: ConnId, words: &str) {
        words.clone_into(&mut self.connections.entry(conn).or_default().words);
    }

    /// Bytes of discovery's answer were delivered to a process' machine.
    pub fn delivered(&mut self, pid: Pid, conn: ConnId, bytes: &[u8], now: Nanos) -> Delivered {
        let (names, answers) = (&mut self.names, &mut self.answers);
        let Some(process) = self.processes.get_mut(&pid) else { return Delivered::default() };
        let Connection { stream, head, listed, whole_list, words } =
            self.connections.entry(conn).or_default();
        let current = head.get_or_insert_with(|| {
            listed.clear();
            answers.push(AnswerRecord { words: words.clone(), begun: now, ended: None });
            ListHead { index: None, answer: answers.len() - 1 }
        });
        let ended = stream.push(bytes, |item| match item {
            Item::Row(text) => {
                if let Some(row) = names.row(text) {
                    listed.insert(row.name);
                    process.row(row, current, now);
                }
            }
            Item::Begin(text) => current.index = current.index.or_else(|| index_in(text)),
            Item::End(text) => {
                current.index = current.index.or_else(|| index_in(text));
                *whole_list = true;
                if is_whole(text) {
                    process.left_out(listed, current, now);
                }
            }
        });
        if ended && let Some(head) = head.take() {
            answers[head.answer].ended = Some((now, Fate::Whole));
        }
        Delivered { answer_ended: ended, list_ended: ended && std::mem::take(whole_list) }
    }

    /// A connection is over, and what has not come of its answer.
    pub fn connection_ended(&mut self, conn: ConnId, now: Nanos) {
        let connection = self.connections.remove(&conn);
        if let Some(head) = connection.and_then(|connection| connection.head) {
            self.answers[head.answer].ended = Some((now, Fate::BrokenOff));
        }
    }

    /// A process writes the first byte of a request or probe; what is wrong with that, if anything is.
    pub fn first_byte(&self, pid: Pid, to: SocketAddr, now: Nanos) -> Option<LateSend> {
        self.late_by_delivery(pid, to, now).or_else(|| self.late_by_time(pid, to, now))
    }

    /// Late beside what was delivered to the process.
    fn late_by_delivery(&self, pid: Pid, to: SocketAddr, now: Nanos) -> Option<LateSend> {
        let process = self.processes.get(&pid)?;
        let mut last: Option<(NameId, &Closed)> = None;
        for &name in self.names.at.get(&to)? {
            let Some(known) = process.get(name).filter(|known| known.address == to) else { continue };
            // Another one at this address is open, or was closed a short time ago.
            let closed = known.closed.as_ref().filter(|closed| now > closed.at + self.allowed)?;
            if last.is_none_or(|(_, before)| before.at < closed.at) {
                last = Some((name, closed));
            }
        }
        let (name, closed) = last?;
        let name = self.names.names.get(name).cloned().unwrap_or_default();
        let answer = Some(self.answers[closed.answer].clone());
        Some(LateSend { to, name, at: now, told: closed.at, by: closed.by, answer })
    }

    /// Late beside what discovery had and could have told.
    fn late_by_time(&self, pid: Pid, to: SocketAddr, now: Nanos) -> Option<LateSend> {
        // Danger: a process that has just started has no time of its own; the limit runs from the change.
        self.processes.get(&pid).filter(|_| self.told_within > 0)?;
        let mut last: Option<(NameId, Nanos, Nanos)> = None;
        for name in self.names.at.get(&to)? {
            // One that has never changed is up.
            let listed = self.listed.get(name)?;
            if listed.address != to {
                continue;
            }
            let told = self.reach.held(listed.at, self.told_within)?;
            if listed.up || now <= told + self.allowed {
                return None;
            }
            if last.is_none_or(|(_, before, _)| before < told) {
                last = Some((*name, told, listed.at));
            }
        }
        let (name, told, had) = last?;
        let name = self.names.names.get(name).cloned().unwrap_or_default();
        Some(LateSend { to, name, at: now, told, by: By::Time(had), answer: None })
    }

    /// Whether a process has been told that an endpoint started at this time.
    pub fn knows_start(&self, pid: Pid, name: &str, since_ms: u64) -> bool {
        let id = self.names.ids.get(name);
        let known = id.and_then(|id| self.processes.get(&pid)?.get(*id));
        known.is_some_and(|known| known.since_ms == since_ms)
    }
}

/// The version that a list's text names before its rows.
fn index_in(text: &[u8]) -> Option<i64> {
    let text = std::str::from_utf8(text.get(..text.len().min(4096))?).ok()?;
    let (_, rest) = text.split_once("\"index\"")?;
    let digits = rest.trim_start().strip_prefix(':')?.trim_start();
    let end = digits.find(|c: char| !c.is_ascii_digit() && c != '-')?;
    digits[..end].parse().ok()
}

/// Whether the text around a list's rows says that it is a whole one.
fn is_whole(text: &[u8]) -> bool {
    serde_json::from_slice::<Value>(&without_rows(text))
        .is_ok_and(|list| list["snapshot"] == Value::Bool(true))
}

/// The text around the rows without the commas that stood between them.
fn without_rows(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len());
    let mut depth = 0_usize;
    for &byte in text {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            b',' if depth >= 2 => continue,
            _ => {}
        }
        out.push(byte);
    }
    out
}
