//! Discovery: versions of the list of nodes, whole lists and watches, delay, a fixed capacity or a cost a row. No I/O.

use crate::day::{DiscoveryDraw, RowCost};
use crate::dice::Dice;
use crate::kernel::{MS, Nanos};
use crate::net::ConnId;
use bytes::Bytes;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A line of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The node's name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its tier.
    pub tier: usize,
    /// Its zone's name.
    pub zone: String,
    /// `up`, `draining` or `removed`.
    pub status: &'static str,
    /// Its registered size.
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 is long ago.
    pub since_ms: u64,
}

impl Line {
    fn json(&self) -> String {
        let Line { name, address, zone, status, weight, since_ms, .. } = self;
        format!(
            "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"m\",\"group\":0,\
             \"status\":\"{status}\",\"weight\":{weight:.2},\"since_ms\":{since_ms}}}"
        )
    }

    /// The same with each field on a line of its own.
    fn indented(&self) -> String {
        let Line { name, address, zone, status, weight, since_ms, .. } = self;
        format!(
            "\n    {{\n      \"name\": \"{name}\",\n      \"address\": \"{address}\",\n      \"zone\": \"{zone}\",\n      \
             \"type\": \"m\",\n      \"group\": 0,\n      \"status\": \"{status}\",\n      \"weight\": {weight:.2},\n      \
             \"since_ms\": {since_ms}\n    }}"
        )
    }
}

/// A line as discovery holds it.
#[derive(Debug)]
struct Held {
    /// The version that brought it.
    version: u64,
    /// Whole lists leave it out.
    unlisted: bool,
    line: Line,
}

/// Which list is rendered: a tier, the version from which changes are told, and whether it is indented.
type ListKey = (usize, Option<u64>, bool);

/// Lists as they were last rendered, shared by all who ask for the same.
#[derive(Debug, Default)]
struct Rendered {
    version: u64,
    lists: FxHashMap<ListKey, Bytes>,
}

/// A call as discovery has read it.
#[derive(Debug, Clone)]
struct Call {
    conn: ConnId,
    tier: usize,
    /// The version it asks from; `None` wants the whole list.
    from: Option<u64>,
    hold: Nanos,
    came: Nanos,
}

/// What discovery wants done.
#[derive(Debug)]
pub enum Out {
    /// Answer with the list of a tier: whole, or what has changed since a version.
    Answer {
        /// Where.
        conn: ConnId,
        /// The tier.
        tier: usize,
        /// The version.
        from: Option<u64>,
    },
    /// Refuse.
    Refuse(ConnId),
}

/// The service.
#[derive(Debug)]
pub struct Discovery {
    draw: DiscoveryDraw,
    dice: Dice,
    version: u64,
    lines: BTreeMap<String, Held>,
    /// The newest version that changed a line, by tier.
    newest: FxHashMap<usize, u64>,
    rendered: Rendered,
    /// Changes that are not known yet: by the instant at which they will be.
    coming: BTreeMap<(Nanos, u64), Line>,
    changes: u64,
    /// It runs so much further behind now.
    pub stale: Nanos,
    queue: VecDeque<Call>,
    /// Watches that have ended and are served before the queue, where rows cost time.
    owed: VecDeque<Call>,
    /// Calls in work, by the instant at which they are done.
    working: BTreeMap<(Nanos, u64), Call>,
    watching: Vec<(Nanos, Call)>,
    /// When the last answer on a connection was sent whole, where calls may continue a watch.
    sent_at: FxHashMap<ConnId, Nanos>,
    turns: u64,
    /// Lines that have become known and were not taken yet.
    pub learned: Vec<Line>,
    /// What is to be done.
    pub out: Vec<Out>,
    /// Calls that it answered.
    pub answered: u64,
    /// Calls that it refused.
    pub refused: u64,
}

impl Discovery {
    /// A service that knows these lines.
    pub fn new(draw: DiscoveryDraw, lines: Vec<Line>, dice: Dice) -> Discovery {
        let mut discovery = Discovery {
            newest: FxHashMap::default(),
            draw,
            dice,
            version: 1,
            lines: lines
                .into_iter()
                .map(|line| (line.name.clone(), Held { version: 1, unlisted: false, line }))
                .collect(),
            rendered: Rendered::default(),
            coming: BTreeMap::new(),
            changes: 0,
            stale: 0,
            queue: VecDeque::new(),
            owed: VecDeque::new(),
            working: BTreeMap::new(),
            watching: Vec::new(),
            sent_at: FxHashMap::default(),
            turns: 0,
            learned: Vec::new(),
            out: Vec::new(),
            answered: 0,
            refused: 0,
        };
        discovery.find_newest();
        discovery
    }

    fn find_newest(&mut self) {
        self.newest.clear();
        for held in self.lines.values() {
            let newest = self.newest.entry(held.line.tier).or_default();
            *newest = held.version.max(*newest);
        }
    }

    /// A node has changed; discovery will know after its delay, at its next period.
    pub fn change(&mut self, now: Nanos, line: Line, silent: bool) {
        let notice = if silent { self.draw.silent_notice } else { self.draw.notice };
        let delay = self.dice.within((notice.0 as f64, notice.1 as f64)) as Nanos + self.stale;
        let at = (now + delay).div_ceil(self.draw.period) * self.draw.period;
        // News of one node never overtakes older news of it.
        let after = self
            .coming
            .iter()
            .filter(|(_, l)| l.name == line.name)
            .map(|((at, _), _)| *at)
            .max()
            .unwrap_or(0);
        self.coming.insert((at.max(after), self.changes), line);
        self.changes += 1;
    }

    /// When it wants its next turn.
    pub fn due(&self) -> Option<Nanos> {
        let firsts = [
            self.coming.keys().next().map(|(at, _)| *at),
            self.working.keys().next().map(|(at, _)| *at),
            self.watching.iter().map(|(at, _)| *at).min(),
            self.queue.front().map(|call| call.came + self.draw.patience),
        ];
        firsts.into_iter().flatten().min()
    }

    /// Its turn.
    pub fn turn(&mut self, now: Nanos) {
        let mut changed = false;
        while let Some(entry) = self.coming.first_entry().filter(|e| e.key().0 <= now) {
            let line = entry.remove();
            if !changed {
                self.version += 1;
                changed = true;
            }
            let unlisted = self.is_unlisted(&line);
            self.learned.push(line.clone());
            self.lines.insert(line.name.clone(), Held { version: self.version, unlisted, line });
        }
        if changed {
            // Removed lines are told of for as long as changes are.
            let old = self.version.saturating_sub(self.draw.history);
            self.lines.retain(|_, held| held.line.status != "removed" || held.version > old);
            self.find_newest();
        }
        while let Some(entry) = self.working.first_entry().filter(|e| e.key().0 <= now) {
            let call = entry.remove();
            self.look(now, call);
        }
        for (at, call) in std::mem::take(&mut self.watching) {
            if at <= now || self.news(&call) {
                self.end_watch(call);
            } else {
                self.watching.push((at, call));
            }
        }
        while self.queue.front().is_some_and(|call| call.came + self.draw.patience <= now) {
            if let Some(call) = self.queue.pop_front() {
                self.refused += 1;
                self.out.push(Out::Refuse(call.conn));
            }
        }
        self.fill(now);
    }

    /// Whether whole lists leave out this line, which is new.
    fn is_unlisted(&mut self, line: &Line) -> bool {
        let share = self.draw.delivery.unlisted;
        share > 0.0 && line.status == "draining" && self.dice.chance(share)
    }

    /// A watch has news or its time is up.
    fn end_watch(&mut self, call: Call) {
        if self.draw.rows.is_some() {
            self.owed.push_back(Call { hold: 0, ..call });
        } else {
            self.reply(&call);
        }
    }

    /// Serves one call after another, each for as long as its rows take.
    fn fill_by_rows(&mut self, now: Nanos, cost: RowCost) {
        if !self.working.is_empty() {
            return;
        }
        let (call, takes) = if let Some(call) = self.owed.pop_front() {
            let rows = self.rows(&call);
            (call, cost.rows(rows))
        } else if let Some(call) = self.queue.pop_front() {
            let rows = if call.hold == 0 || self.news(&call) { self.rows(&call) } else { 0 };
            (call, cost.call(rows))
        } else {
            return;
        };
        self.working.insert((now + takes, self.turns), call);
        self.turns += 1;
    }

    /// How many rows this call is answered with.
    fn rows(&self, call: &Call) -> usize {
        let from = self.known_version(call.from);
        self.lines.values().filter(|held| wanted(held, call.tier, from)).count()
    }

    fn fill(&mut self, now: Nanos) {
        if let Some(cost) = self.draw.rows {
            return self.fill_by_rows(now, cost);
        }
        while self.working.len() < self.draw.capacity
            && let Some(call) = self.queue.pop_front()
        {
            let takes = self.dice.within((self.draw.call.0 as f64, self.draw.call.1 as f64)) as Nanos;
            self.working.insert((now + takes, self.turns), call);
            self.turns += 1;
        }
    }

    /// A call has come.
    pub fn call(&mut self, now: Nanos, conn: ConnId, tier: usize, target: &str) {
        let argument = |name: &str| {
            let query = target.split_once('?')?.1;
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name)?
                .1
                .parse::<u64>()
                .ok()
        };
        let (from, hold) = (argument("from"), argument("hold_ms").unwrap_or(0).min(60_000) * MS);
        let call = Call { conn, tier, from, hold, came: now };
        if self.continues(&call) {
            self.watch(now, call);
        } else {
            self.queue.push_back(call);
        }
        self.fill(now);
    }

    /// The answer on this connection will have been sent whole then.
    pub fn sent(&mut self, conn: ConnId, at: Nanos) {
        if self.draw.continues > 0 {
            self.sent_at.insert(conn, at);
        }
    }

    /// Whether this call continues the watch of the one before it on its connection.
    fn continues(&mut self, call: &Call) -> bool {
        let sent = self.sent_at.remove(&call.conn);
        call.from.is_some() && sent.is_some_and(|sent| call.came <= sent + self.draw.continues)
    }

    /// Takes up a watch that stands in no queue.
    fn watch(&mut self, now: Nanos, call: Call) {
        if call.hold == 0 || self.news(&call) {
            self.end_watch(call);
        } else {
            self.watching.push((now + call.hold, call));
        }
    }

    /// A caller has left.
    pub fn gone(&mut self, conn: ConnId) {
        self.queue.retain(|c| c.conn != conn);
        self.owed.retain(|c| c.conn != conn);
        self.working.retain(|_, c| c.conn != conn);
        self.watching.retain(|(_, c)| c.conn != conn);
        self.sent_at.remove(&conn);
    }

    /// It goes down: nothing that was asked is answered.
    pub fn down(&mut self) {
        self.queue.clear();
        self.owed.clear();
        self.working.clear();
        self.watching.clear();
        self.sent_at.clear();
    }

    fn news(&self, call: &Call) -> bool {
        // A version that it never had is another service's: that caller gets the whole list.
        let Some(from) = call.from.filter(|from| *from <= self.version) else { return true };
        self.newest.get(&call.tier).is_some_and(|newest| *newest > from)
    }

    fn look(&mut self, now: Nanos, call: Call) {
        if call.hold == 0 || self.news(&call) {
            self.reply(&call);
        } else {
            self.watching.push((now + call.hold, call));
        }
    }

    fn reply(&mut self, call: &Call) {
        let from = self.known_version(call.from);
        self.answered += 1;
        self.out.push(Out::Answer { conn: call.conn, tier: call.tier, from });
    }

    /// The version that a caller asks from, if all changes since then are known.
    fn known_version(&self, from: Option<u64>) -> Option<u64> {
        from.filter(|from| *from <= self.version && self.version - from < self.draw.history)
    }

    /// The list of a tier: whole, or what has changed since a version.
    pub fn list(&self, tier: usize, from: Option<u64>) -> String {
        let lines = self.lines.values().filter(|held| wanted(held, tier, from));
        let lines: Vec<String> = lines.map(|held| held.line.json()).collect();
        let (version, whole) = (self.version, from.is_none());
        format!("{{\"index\":{version},\"snapshot\":{whole},\"endpoints\":[{}]}}", lines.join(","))
    }

    /// The same with each field on a line of its own.
    fn indented_list(&self, tier: usize, from: Option<u64>) -> String {
        let lines = self.lines.values().filter(|held| wanted(held, tier, from));
        let lines: Vec<String> = lines.map(|held| held.line.indented()).collect();
        let (version, whole) = (self.version, from.is_none());
        format!(
            "{{\n  \"index\": {version},\n  \"snapshot\": {whole},\n  \"endpoints\": [{}\n  ]\n}}\n",
            lines.join(",")
        )
    }

    /// The list of a tier as bytes; rendered once a version.
    pub fn rendered(&mut self, tier: usize, from: Option<u64>, indented: bool) -> Bytes {
        if self.rendered.version != self.version {
            self.rendered = Rendered { version: self.version, lists: FxHashMap::default() };
        }
        if let Some(list) = self.rendered.lists.get(&(tier, from, indented)) {
            return list.clone();
        }
        let text = if indented { self.indented_list(tier, from) } else { self.list(tier, from) };
        let list = Bytes::from(text);
        self.rendered.lists.insert((tier, from, indented), list.clone());
        list
    }
}

/// Whether a line belongs into the list of a tier: whole, or what has changed since a version.
fn wanted(held: &Held, tier: usize, from: Option<u64>) -> bool {
    let told = |from| held.version > from;
    held.line.tier == tier && from.map_or(held.line.status != "removed" && !held.unlisted, told)
}
