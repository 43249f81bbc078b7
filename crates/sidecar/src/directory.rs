//! The directory: the list of backend servers as last told, where they are and which of them drain. No I/O.

use cometcroft::*;
use cometcroft_plan::Verdict;
use cometcroft_settings::hash;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    /// When we were told that it drains or is gone.
    closed: Option<Instant>,
    /// As discovery told it.
    told: Member,
    /// What the fleet's plan says of it.
    verdict: Verdict,
}

/// What the fleet's plan says of a backend server, by name, zone and group.
pub type Judge = Box<dyn Fn(&str, &str, usize) -> Verdict>;

/// Where the backend servers are and which of them take nothing new. Told by discovery; the fleet's plan, if there is
/// one, may bar what discovery lists, and never the other way.
pub struct Directory {
    judge: RefCell<Option<Judge>>,
    entries: RefCell<BTreeMap<UpstreamId, Entry>>,
    ids: RefCell<HashMap<String, UpstreamId>>,
    /// The next id. Danger: what is still out to one that is gone would be taken for its successor's.
    next: Cell<u32>,
    zones: RefCell<Vec<String>>,
    /// No first byte goes out so long after the notice of a drain.
    grace: Cell<Duration>,
    /// The module's clock at the Unix epoch, in milliseconds; fixed, so that a start keeps its time.
    epoch: i128,
}

/// News of the list, as the module takes it.
#[derive(Debug, Clone, PartialEq)]
pub struct News {
    /// The version.
    pub index: i64,
    /// All entries, or only those that changed.
    pub scope: ListScope,
    /// The entries.
    pub entries: Vec<Member>,
}

/// What came of a list.
#[derive(Debug, Clone, PartialEq)]
pub enum Taken {
    /// It was taken.
    News(News),
    /// It is older than the one held: only these, which it bars, were taken of it.
    Older(Vec<Member>),
    /// It can't be read.
    Bad,
}

impl Taken {
    /// The news, if it was taken.
    pub fn news(self) -> Option<News> {
        match self {
            Taken::News(news) => Some(news),
            _ => None,
        }
    }
}

impl Directory {
    /// An empty directory; `now` is the module's clock at this moment, and `unix` the time since the Unix epoch.
    pub fn new(zones: Vec<String>, drain_grace: Duration, now: Time, unix: Duration) -> Directory {
        Directory {
            judge: RefCell::new(None),
            entries: RefCell::default(),
            ids: RefCell::default(),
            next: Cell::new(0),
            zones: RefCell::new(zones),
            grace: Cell::new(in_time(drain_grace)),
            epoch: now.as_millis() as i128 - unix.as_millis() as i128,
        }
    }

    /// New settings.
    pub fn retune(&self, zones: Vec<String>, drain_grace: Duration) {
        self.zones.replace(zones);
        self.grace.set(in_time(drain_grace));
    }

    /// No backend server is named.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// How many backend servers are named.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// The present address of a backend server.
    pub fn address(&self, id: UpstreamId) -> Option<SocketAddr> {
        self.entries.borrow().get(&id).map(|e| e.address)
    }

    /// Whether a request may still be begun there.
    pub fn open(&self, id: UpstreamId, now: Instant) -> bool {
        let entries = self.entries.borrow();
        // Danger: that a bar of the plan is in force is confirmed, so it has no grace.
        let open = entries.get(&id).filter(|e| e.verdict != Verdict::Out).map(|e| e.closed);
        open.is_some_and(|closed| {
            closed.is_none_or(|at| now.saturating_duration_since(at) < self.grace.get())
        })
    }

    /// Reads a list in discovery's form and takes it over, unless it is older than the version `held`; nothing is taken
    /// of one that can't be read.
    pub fn take(&self, list: &Value, now: Instant, held: Option<i64>) -> Taken {
        let read = || {
            let index = list.get("index")?.as_i64()?;
            let whole = list.get("snapshot")?.as_bool()?;
            let rows = list.get("endpoints")?.as_array()?;
            Some((index, whole, rows, rows.iter().map(|e| self.entry(e)).collect::<Option<Vec<_>>>()?))
        };
        let Some((index, whole, rows, parsed)) = read() else { return Taken::Bad };
        // Danger: an answer that was held up, or a copy of discovery that lags, would un-bar what drains since then.
        if held.is_some_and(|held| index < held) {
            return Taken::Older(self.bar(rows, now));
        }
        let entries = self.book(parsed, whole, now);
        let scope = if whole { ListScope::Complete } else { ListScope::Changes };
        Taken::News(News { index, scope, entries })
    }

    /// Books the drains that a list told before it broke off, `body` being what has come of it, and hands them on.
    /// Danger: what was written counts as told; but only what binds is taken, as the rest comes again.
    pub fn salvage(&self, body: &[u8], now: Instant) -> Vec<Member> {
        self.bar(&rows(body), now)
    }

    /// Of these rows, takes only what bars a backend server that is known, and hands it on.
    fn bar(&self, told: &[Value], now: Instant) -> Vec<Member> {
        let parsed = {
            let known = self.ids.borrow();
            let binds = |(name, _, member): &(&str, _, Member)| {
                member.state != State::Ready && known.contains_key(*name)
            };
            told.iter().filter_map(|row| self.entry(row)).filter(binds).collect()
        };
        self.book(parsed, false, now)
    }

    fn book(
        &self,
        parsed: Vec<(&str, Option<SocketAddr>, Member)>,
        whole: bool,
        now: Instant,
    ) -> Vec<Member> {
        let (mut entries, mut ids) = (self.entries.borrow_mut(), self.ids.borrow_mut());
        let mut members = Vec::with_capacity(parsed.len());
        let mut listed = HashSet::with_capacity(parsed.len());
        for (name, address, mut member) in parsed {
            let id = match (ids.get(name), address) {
                (Some(&id), _) => id,
                (None, Some(_)) if member.state != State::Gone => {
                    let id = UpstreamId(self.next.replace(self.next.get() + 1));
                    ids.insert(name.to_owned(), id);
                    id
                }
                // Gone before we heard of it.
                _ => continue,
            };
            listed.insert(id);
            let known = entries.get(&id);
            let closed = match member.state {
                State::Ready => None,
                _ => Some(known.and_then(|e| e.closed).unwrap_or(now)),
            };
            member.upstream = id;
            let verdict = self.judged(name, &member);
            if let Some(address) = address.or(known.map(|e| e.address)) {
                entries.insert(id, Entry { address, closed, told: member.clone(), verdict });
            }
            if member.state == State::Gone {
                // Nothing new goes there, and no table may grow with every machine that ever was.
                entries.remove(&id);
                ids.remove(name);
            }
            members.push(stricter(member, verdict));
        }
        if whole {
            entries.retain(|id, _| listed.contains(id));
            ids.retain(|_, id| listed.contains(id));
        }
        members
    }

    /// From now on the plan judges what is listed.
    pub fn judge_by(&self, judge: Judge) {
        self.judge.replace(Some(judge));
    }

    fn judged(&self, name: &str, member: &Member) -> Verdict {
        let judge = self.judge.borrow();
        let zones = self.zones.borrow();
        let zone = zones.get(member.zone.0).map_or("", String::as_str);
        judge.as_ref().map_or(Verdict::Stays, |judge| judge(name, zone, member.cell.0))
    }

    /// The plan has changed: the entries of which it now says something else, as the module takes them.
    pub fn judge(&self) -> Vec<Member> {
        let (ids, mut entries) = (self.ids.borrow(), self.entries.borrow_mut());
        let mut changed = Vec::new();
        for (name, id) in ids.iter() {
            let Some(entry) = entries.get_mut(id) else { continue };
            let verdict = self.judged(name, &entry.told);
            if std::mem::replace(&mut entry.verdict, verdict) != verdict {
                changed.push(stricter(entry.told.clone(), verdict));
            }
        }
        changed.sort_by_key(|member| member.upstream);
        changed
    }

    /// All that is listed: name, zone, group, and whether discovery holds it to be ready.
    pub fn listed(&self) -> Vec<(String, String, usize, bool)> {
        let (ids, entries, zones) = (self.ids.borrow(), self.entries.borrow(), self.zones.borrow());
        let row = |(name, id): (&String, &UpstreamId)| {
            let told = &entries.get(id)?.told;
            let zone = zones.get(told.zone.0).cloned().unwrap_or_default();
            Some((name.clone(), zone, told.cell.0, told.state == State::Ready))
        };
        ids.iter().filter_map(row).collect()
    }

    fn entry<'a>(&self, value: &'a Value) -> Option<(&'a str, Option<SocketAddr>, Member)> {
        let text = |key| value.get(key).and_then(Value::as_str);
        let name = text("name")?;
        let state = match text("status")? {
            "up" => State::Ready,
            "draining" => State::Draining,
            "removed" => State::Gone,
            _ => return None,
        };
        let address = match text("address").map(str::parse) {
            Some(Ok(address)) => Some(address),
            _ if state == State::Gone => None,
            _ => return None,
        };
        let zones = self.zones.borrow();
        let zone = text("zone").and_then(|zone| zones.iter().position(|z| z == zone));
        let since = value.get("since_ms").and_then(Value::as_i64).unwrap_or(0);
        // A start before the module's clock began was long ago.
        let started = (since > 0).then(|| i128::from(since) + self.epoch).filter(|&ms| ms > 0);
        let member = Member {
            upstream: UpstreamId(0),
            key: hash(name),
            cell: CellId(value.get("group").and_then(Value::as_u64).unwrap_or(0) as usize),
            zone: ZoneId(zone.unwrap_or(zones.len())),
            started: started.map(|ms| Duration::from_millis(ms as u64)),
            state,
            weight: value.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        };
        Some((name, address, member))
    }
}

/// What discovery told, and what the plan says of it: the stricter of both.
fn stricter(mut member: Member, verdict: Verdict) -> Member {
    match verdict {
        Verdict::Stays => {}
        Verdict::Share(share) => member.weight *= share,
        Verdict::Out if member.state == State::Ready => member.state = State::Draining,
        Verdict::Out => {}
    }
    member
}

/// The part of a drain's grace in which a first byte goes out. Written here is not yet arrived there, and both clocks may
/// be held up.
fn in_time(drain_grace: Duration) -> Duration {
    drain_grace.mul_f64(0.5)
}

/// The rows of a list that has come in part; of the last, the fields that came whole.
fn rows(body: &[u8]) -> Vec<Value> {
    let mut rows = Vec::new();
    let Some(start) = body.iter().position(|&b| b == b'[') else { return rows };
    let mut rest = &body[start + 1..];
    loop {
        rest = rest.trim_ascii_start();
        rest = rest.strip_prefix(b",").unwrap_or(rest).trim_ascii_start();
        let mut row = serde_json::Deserializer::from_slice(rest).into_iter::<Value>();
        match row.next() {
            Some(Ok(value)) => rows.push(value),
            Some(Err(error)) if error.is_eof() => {
                // All of them, if the last one came whole too, else all before it.
                let before = rest.iter().rposition(|&b| b == b',').unwrap_or(0);
                let fields = |end: usize| serde_json::from_slice(&[&rest[..end], b"}"].concat()).ok();
                rows.extend(fields(rest.len()).or_else(|| fields(before)));
                return rows;
            }
            _ => return rows,
        }
        rest = &rest[row.byte_offset()..];
    }
}
