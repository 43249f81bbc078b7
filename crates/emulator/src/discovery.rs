//! Discovery: versions of the list of nodes, whole lists and watches, delay, a fixed capacity. No I/O.

use crate::day::DiscoveryDraw;
use crate::dice::Dice;
use crate::kernel::{MS, Nanos};
use crate::net::ConnId;
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
    /// Answer with a list.
    Answer(ConnId, String),
    /// Refuse.
    Refuse(ConnId),
}

/// The service.
#[derive(Debug)]
pub struct Discovery {
    draw: DiscoveryDraw,
    dice: Dice,
    version: u64,
    lines: BTreeMap<String, (u64, Line)>,
    /// Changes that are not known yet: by the instant at which they will be.
    coming: BTreeMap<(Nanos, u64), Line>,
    changes: u64,
    /// It runs so much further behind now.
    pub stale: Nanos,
    queue: VecDeque<Call>,
    /// Calls in work, by the instant at which they are done.
    working: BTreeMap<(Nanos, u64), Call>,
    watching: Vec<(Nanos, Call)>,
    turns: u64,
    /// What is to be done.
    pub out: Vec<Out>,
    /// Calls that it answered and refused.
    pub answered: u64,
    /// Calls that it refused.
    pub refused: u64,
}

/// Removed lines are told of for so many versions.
const TOMBSTONES: u64 = 64;

impl Discovery {
    /// A service that knows these lines.
    pub fn new(draw: DiscoveryDraw, lines: Vec<Line>, dice: Dice) -> Discovery {
        Discovery {
            draw,
            dice,
            version: 1,
            lines: lines.into_iter().map(|line| (line.name.clone(), (1, line))).collect(),
            coming: BTreeMap::new(),
            changes: 0,
            stale: 0,
            queue: VecDeque::new(),
            working: BTreeMap::new(),
            watching: Vec::new(),
            turns: 0,
            out: Vec::new(),
            answered: 0,
            refused: 0,
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
            self.lines.insert(line.name.clone(), (self.version, line));
        }
        if changed {
            let old = self.version.saturating_sub(TOMBSTONES);
            self.lines.retain(|_, (version, line)| line.status != "removed" || *version > old);
        }
        while let Some(entry) = self.working.first_entry().filter(|e| e.key().0 <= now) {
            let call = entry.remove();
            self.look(now, call);
        }
        for (at, call) in std::mem::take(&mut self.watching) {
            if at <= now || self.news(&call) {
                self.reply(&call);
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

    fn fill(&mut self, now: Nanos) {
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
        self.queue.push_back(Call { conn, tier, from, hold, came: now });
        self.fill(now);
    }

    /// A caller has left.
    pub fn gone(&mut self, conn: ConnId) {
        self.queue.retain(|c| c.conn != conn);
        self.working.retain(|_, c| c.conn != conn);
        self.watching.retain(|(_, c)| c.conn != conn);
    }

    /// It goes down: nothing that was asked is answered.
    pub fn down(&mut self) {
        self.queue.clear();
        self.working.clear();
        self.watching.clear();
    }

    fn news(&self, call: &Call) -> bool {
        // A version that it never had is another service's: that caller gets the whole list.
        let Some(from) = call.from.filter(|from| *from <= self.version) else { return true };
        self.lines.values().any(|(version, line)| *version > from && line.tier == call.tier)
    }

    fn look(&mut self, now: Nanos, call: Call) {
        if call.hold == 0 || self.news(&call) {
            self.reply(&call);
        } else {
            self.watching.push((now + call.hold, call));
        }
    }

    fn reply(&mut self, call: &Call) {
        let from = call.from.filter(|from| *from <= self.version && self.version - from < TOMBSTONES);
        self.answered += 1;
        self.out.push(Out::Answer(call.conn, self.list(call.tier, from)));
    }

    /// The list of a tier: whole, or what has changed since a version.
    pub fn list(&self, tier: usize, from: Option<u64>) -> String {
        let wanted = |version: u64, line: &Line| {
            line.tier == tier && from.map_or(line.status != "removed", |from| version > from)
        };
        let lines = self.lines.values().filter(|(version, line)| wanted(*version, line));
        let lines: Vec<String> = lines.map(|(_, line)| line.json()).collect();
        let (version, whole) = (self.version, from.is_none());
        format!("{{\"index\":{version},\"snapshot\":{whole},\"endpoints\":[{}]}}", lines.join(","))
    }
}
