//! Discovery: the list of backend servers as last told, and the loop that watches it.

use crate::backend::quiet;
use crate::counters::{Counters, count};
use crate::dispatch::{HttpCarrier, read_answer};
use crate::http::client::{self, Exchange};
use crate::session::Host;
use cometcroft::*;
use cometcroft_settings::hash;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// A list may be long; one beyond this is not read.
const MAX_LIST: usize = 4 << 20;
/// How long a watch waits at discovery for news. Danger: a connection may fall silent, and until the wait ends
/// nobody can tell that from a list that does not change.
const HOLD: Duration = Duration::from_secs(4);
/// How long an answer may take beyond that. News counts as told 2 s after the wait, so this leaves time to ask anew.
const PATIENCE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    /// When we were told that it drains or is gone.
    closed: Option<Instant>,
}

/// Where the backend servers are and which of them take nothing new. Told by discovery alone.
#[derive(Debug)]
pub struct Directory {
    entries: RefCell<BTreeMap<UpstreamId, Entry>>,
    ids: RefCell<HashMap<String, UpstreamId>>,
    /// The next id. Danger: what is still out to one that is gone would be taken for its successor's.
    next: Cell<u32>,
    zones: Vec<String>,
    /// No first byte goes out so long after the notice of a drain.
    grace: Duration,
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

impl Directory {
    /// An empty directory; `now` is the module's clock at this moment.
    pub fn new(zones: Vec<String>, drain_grace: Duration, now: Time) -> Directory {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Directory {
            entries: RefCell::default(),
            ids: RefCell::default(),
            next: Cell::new(0),
            zones,
            // Written here is not yet arrived there, and both clocks may be held up.
            grace: drain_grace.mul_f64(0.5),
            epoch: now.as_millis() as i128 - unix.as_millis() as i128,
        }
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
        let closed = entries.get(&id).map(|e| e.closed);
        closed.is_some_and(|closed| closed.is_none_or(|at| now.saturating_duration_since(at) < self.grace))
    }

    /// Reads a list in discovery's form and takes it over; nothing is taken of one that can't be read.
    pub fn take(&self, value: &Value, now: Instant) -> Option<News> {
        let index = value.get("index")?.as_i64()?;
        let whole = value.get("snapshot")?.as_bool()?;
        let parsed: Vec<_> =
            value.get("endpoints")?.as_array()?.iter().map(|e| self.entry(e)).collect::<Option<_>>()?;
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
            if let Some(address) = address.or(known.map(|e| e.address)) {
                entries.insert(id, Entry { address, closed });
            }
            if member.state == State::Gone {
                // Nothing new goes there, and no table may grow with every machine that ever was.
                entries.remove(&id);
                ids.remove(name);
            }
            member.upstream = id;
            members.push(member);
        }
        if whole {
            entries.retain(|id, _| listed.contains(id));
            ids.retain(|_, id| listed.contains(id));
        }
        let scope = if whole { ListScope::Complete } else { ListScope::Changes };
        Some(News { index, scope, entries: members })
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
        let zone = text("zone").and_then(|zone| self.zones.iter().position(|z| z == zone));
        let since = value.get("since_ms").and_then(Value::as_i64).unwrap_or(0);
        // A start before the module's clock began was long ago.
        let started = (since > 0).then(|| i128::from(since) + self.epoch).filter(|&ms| ms > 0);
        let member = Member {
            upstream: UpstreamId(0),
            key: hash(name),
            cell: CellId(value.get("group").and_then(Value::as_u64).unwrap_or(0) as usize),
            zone: ZoneId(zone.unwrap_or(self.zones.len())),
            started: started.map(|ms| Duration::from_millis(ms as u64)),
            state,
            weight: value.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        };
        Some((name, address, member))
    }
}

/// Where discovery answers. A new configuration may move it while the sidecar runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<SocketAddr>,
    moved: Notify,
}

impl Source {
    /// Discovery at this address.
    pub fn new(address: SocketAddr) -> Rc<Source> {
        Rc::new(Source { address: Cell::new(address), moved: Notify::new() })
    }

    /// From now on discovery is to be asked here.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }
}

/// Watches discovery whenever the module asks for it or discovery has moved, until a call fails.
pub async fn watch(
    host: Rc<Host<HttpCarrier>>,
    directory: Rc<Directory>,
    source: Rc<Source>,
    mut index: Option<i64>,
    counters: Rc<Counters>,
) {
    loop {
        tokio::select! {
            () = host.subscribed() => {}
            // Danger: the module may be waiting out the failures of the old address.
            () = source.moved.notified() => index = None,
        }
        let (mut stream, mut silent) = (None, false);
        // A watch lasts while the next call follows the last answer at once. News that can't be read or a
        // call that failed ends it; the module says when to begin anew, and the last list is kept.
        loop {
            count(&counters.discovery_calls);
            let hold = HOLD.as_millis();
            let target = match index {
                Some(index) => format!("/discovery/hosts?from={index}&hold_ms={hold}"),
                None => "/discovery/hosts".to_owned(),
            };
            let called = tokio::select! {
                biased;
                called = timeout(HOLD + PATIENCE, call(&mut stream, source.address.get(), &target)) => Some(called),
                () = source.moved.notified() => None,
            };
            let Some(called) = called else {
                // Danger: the old address goes silent soon, and its versions say nothing at the new one, which
                // is asked for the whole list at once.
                (stream, index) = (None, None);
                continue;
            };
            if called.is_err() && !silent {
                // The connection has fallen silent; another one may not, and the news is due soon.
                count(&counters.discovery_silent);
                (stream, silent) = (None, true);
                continue;
            }
            silent = false;
            let Ok(Ok((body, now))) = called else {
                count(&counters.discovery_failures);
                break;
            };
            let Some(news) = serde_json::from_slice(&body).ok().and_then(|v| directory.take(&v, now)) else {
                count(&counters.discovery_bad);
                break;
            };
            index = Some(news.index);
            host.tell(Event::Members { scope: news.scope, entries: news.entries });
        }
        // What the module asked for while a watch was on has been done; it is told now and asks anew.
        host.unsubscribe();
        host.tell(Event::DiscoveryRefused);
    }
}

/// One call, on the connection of the last one if it is still there.
async fn call(
    kept: &mut Option<TcpStream>,
    address: SocketAddr,
    target: &str,
) -> io::Result<(bytes::Bytes, Instant)> {
    // Danger: a call on a connection that was closed after the last answer would count as one that failed. Only
    // that is mended here: to repeat a call that discovery has seen would double its load when it has most.
    let mut stream = match kept.take().filter(quiet) {
        Some(stream) => stream,
        None => timeout(Duration::from_secs(1), TcpStream::connect(address)).await??,
    };
    stream.set_nodelay(true)?;
    stream.write_all(&client::get(target, "discovery")).await?;
    let mut exchange = Exchange::new(MAX_LIST);
    let answer = read_answer(&mut stream, &mut exchange).await?;
    let now = Instant::now();
    if exchange.reusable() {
        *kept = Some(stream);
    }
    if answer.status != 200 {
        return Err(io::Error::other("discovery refused"));
    }
    Ok((answer.body, now))
}
