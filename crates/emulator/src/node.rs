//! A node: processor sharing over its cores, slots, a waiting room, cold start, crowding, load reports. No I/O: the
//! world feeds it requests and turns, and carries out what it puts into `out`.

use crate::day::{Crowding, NodeDraw};
use crate::dice::Dice;
use crate::kernel::{MS, Nanos};
use crate::net::ConnId;
use std::collections::{BTreeMap, VecDeque};

/// A request as a node sees it.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The connection that it came on.
    pub conn: ConnId,
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: usize,
    /// Work that it does here, in seconds on a yardstick core.
    pub work: f64,
    /// Work that a request of its class does here on average.
    pub expected: f64,
    /// Work over all tiers, as it is handed on.
    pub whole_work: f64,
    /// Calls that it makes to the next tier.
    pub calls: u32,
    /// Who asks waits until then.
    pub expires: Nanos,
    /// The sidecar that sent it, by the world's number.
    pub by: u32,
}

/// What a node wants done.
#[derive(Debug)]
pub enum Out {
    /// Answer on a connection.
    Answer {
        /// Where.
        conn: ConnId,
        /// To which request.
        id: String,
        /// How.
        status: u16,
        /// It never ran.
        rejected: bool,
    },
    /// Call the next tier.
    Call {
        /// For this job.
        job: u64,
        /// The number of the call.
        number: u32,
        /// What is asked.
        ask: Ask,
    },
    /// The call that a job has out is not wanted any more.
    Drop(u64),
    /// It was pushed over while cold. Work by the sidecars that sent it.
    Fell(Vec<(u32, f64)>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    /// The part of its work before its calls, or all of it.
    Before,
    Calling,
    After,
}

#[derive(Debug)]
struct Job {
    /// Work without a request (handshakes, probes) has none.
    ask: Option<Ask>,
    phase: Phase,
    /// Work left of this phase.
    left: f64,
    /// Calls that have been made.
    made: u32,
    /// Nobody waits for its answer.
    orphan: bool,
}

/// A node.
#[derive(Debug)]
pub struct Node {
    /// Its figures.
    pub draw: NodeDraw,
    /// It finishes what it has and takes nothing new.
    pub draining: bool,
    /// When it started; `None` is long ago.
    pub started: Option<Nanos>,
    /// It is so many times slower now.
    pub slow: f64,
    /// It fails this share of its requests now.
    pub fail: f64,
    /// Its reports come so much later now.
    pub late: Nanos,
    /// What is to be done.
    pub out: Vec<Out>,
    /// Work done, and work done for answers that were sent, in seconds.
    pub done: f64,
    /// Work of answers sent.
    pub useful: f64,
    /// Requests that began to run, and those turned away.
    pub begun: u64,
    /// Requests turned away.
    pub turned_away: u64,
    jobs: BTreeMap<u64, Job>,
    waiting: VecDeque<u64>,
    next: u64,
    at: Nanos,
    refresh: Nanos,
    reports: VecDeque<(Nanos, f64, f64)>,
    offered: VecDeque<(Nanos, f64, u32)>,
    crowded_since: Option<Nanos>,
    slowed_since: Option<Nanos>,
    idle_since: Option<Nanos>,
    fall: (f64, Nanos),
    dice: Dice,
}

/// Ticks in which changing speeds are followed.
const TICK: Nanos = 100 * MS;

impl Node {
    /// A node; `fall` is the multiple of its capacity, and the time, that push it over while it is cold.
    pub fn new(draw: NodeDraw, started: Option<Nanos>, now: Nanos, fall: (f64, Nanos), dice: Dice) -> Node {
        Node {
            refresh: now + draw.report.0,
            draw,
            draining: false,
            started,
            slow: 1.0,
            fail: 0.0,
            late: 0,
            out: Vec::new(),
            done: 0.0,
            useful: 0.0,
            begun: 0,
            turned_away: 0,
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            next: 0,
            at: now,
            reports: VecDeque::new(),
            offered: VecDeque::new(),
            crowded_since: None,
            slowed_since: None,
            idle_since: None,
            fall,
            dice,
        }
    }

    /// Requests that it holds, and those of them that wait.
    pub fn load(&self) -> (usize, usize) {
        (self.jobs.values().filter(|j| j.ask.is_some()).count(), self.waiting.len())
    }

    fn warmth(&self, now: Nanos) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / (self.draw.cold as f64).max(1.0);
        (self.draw.cold_from + (1.0 - self.draw.cold_from) * age).min(1.0)
    }

    fn cold(&self, now: Nanos) -> bool {
        self.started.is_some_and(|at| now < at + self.draw.cold)
    }

    /// Work that it can do in a second now.
    pub fn capacity(&self, now: Nanos) -> f64 {
        let crowded = match (self.slowed_since, self.draw.crowding) {
            (Some(_), Some(Crowding { slower, .. })) => slower,
            _ => 1.0,
        };
        self.draw.cores as f64 * self.draw.speed * self.warmth(now) / (self.slow * crowded)
    }

    fn active(&self) -> usize {
        self.jobs.values().filter(|j| matches!(j.phase, Phase::Before | Phase::After)).count()
    }

    /// The pace of each running job.
    fn pace(&self, now: Nanos) -> f64 {
        let cores = self.draw.cores as f64;
        self.capacity(now) / cores * (cores / (self.active() as f64).max(cores))
    }

    /// Does the work of the time since the last turn.
    fn advance(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.at) as f64 / 1e9;
        if passed > 0.0 {
            let part = self.pace(self.at) * passed;
            for job in self.jobs.values_mut().filter(|j| matches!(j.phase, Phase::Before | Phase::After)) {
                let did = part.min(job.left);
                job.left -= did;
                self.done += did;
            }
        }
        self.at = now;
    }

    /// When it wants its next turn.
    pub fn due(&self, now: Nanos) -> Nanos {
        let pace = self.pace(now).max(1e-9);
        let least = self
            .jobs
            .values()
            .filter(|j| matches!(j.phase, Phase::Before | Phase::After))
            .map(|j| j.left)
            .fold(f64::INFINITY, f64::min);
        let mut due = self.refresh;
        if least.is_finite() {
            due = due.min(now + (least / pace * 1e9).ceil() as Nanos + 1);
        }
        if self.cold(now) && least.is_finite() || self.draw.crowding.is_some() && !self.jobs.is_empty() {
            due = due.min(now - now % TICK + TICK);
        }
        due
    }

    /// Its turn: what is done moves on.
    pub fn turn(&mut self, now: Nanos) {
        self.advance(now);
        loop {
            let ready = self
                .jobs
                .iter()
                .find(|(_, j)| matches!(j.phase, Phase::Before | Phase::After) && j.left <= 1e-9);
            let Some(id) = ready.map(|(&id, _)| id) else { break };
            self.phase_done(id);
        }
        self.fill(now);
        self.crowding(now);
        if now >= self.refresh {
            let (held, waiting) = self.load();
            let noise = self.draw.report.2;
            let mut noisy = |v: usize| (v as f64 * (1.0 + noise * (2.0 * self.dice.unit() - 1.0))).round();
            let (held, waiting) = (noisy(held), noisy(waiting));
            self.reports.push_back((now + self.draw.report.1 + self.late, held, waiting));
            self.refresh = now + self.draw.report.0;
        }
    }

    fn phase_done(&mut self, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(ask) = &job.ask else {
            self.jobs.remove(&id);
            return;
        };
        if job.phase == Phase::Before && ask.calls > 0 && !job.orphan {
            job.phase = Phase::Calling;
            self.call(id);
            return;
        }
        let answer = Out::Answer { conn: ask.conn, id: ask.id.clone(), status: 200, rejected: false };
        if !job.orphan {
            self.useful += ask.work;
            self.out.push(answer);
        }
        self.jobs.remove(&id);
    }

    fn call(&mut self, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(ask) = job.ask.clone() else { return };
        job.made += 1;
        self.out.push(Out::Call { job: id, number: job.made, ask });
    }

    /// The call that a job had out has ended.
    pub fn called(&mut self, now: Nanos, id: u64, served: bool) {
        self.advance(now);
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.phase == Phase::Calling) else { return };
        let Some(ask) = &job.ask else { return };
        if !served {
            let answer = Out::Answer { conn: ask.conn, id: ask.id.clone(), status: 500, rejected: false };
            if !job.orphan {
                self.out.push(answer);
            }
            self.jobs.remove(&id);
        } else if job.made < ask.calls {
            self.call(id);
        } else {
            job.phase = Phase::After;
            job.left = ask.work / 2.0;
        }
        self.fill(now);
    }

    /// Lets what waits begin, as far as there are slots.
    fn fill(&mut self, now: Nanos) {
        let mut running = self.jobs.values().filter(|j| j.ask.is_some() && j.phase != Phase::Waiting).count();
        while running < self.draw.slots
            && let Some(id) = self.waiting.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(ask) = &job.ask else { continue };
            if ask.expires <= now {
                // Whoever asked has stopped waiting.
                let answer = Out::Answer { conn: ask.conn, id: ask.id.clone(), status: 504, rejected: true };
                self.out.push(answer);
                self.jobs.remove(&id);
                continue;
            }
            job.phase = Phase::Before;
            job.left = if ask.calls > 0 { ask.work / 2.0 } else { ask.work };
            self.begun += 1;
            running += 1;
        }
    }

    /// A request has come whole. `repeat`: its key has been seen, so it does nothing again.
    pub fn request(&mut self, now: Nanos, ask: Ask, repeat: bool) {
        self.advance(now);
        self.offer(now, &ask);
        let (conn, id) = (ask.conn, ask.id.clone());
        let mut answer =
            |status, rejected| self.out.push(Out::Answer { conn, id: id.clone(), status, rejected });
        if self.draining || ask.expires <= now {
            answer(if self.draining { 503 } else { 504 }, true);
            self.turned_away += 1;
        } else if repeat {
            answer(200, false);
        } else if self.dice.chance(self.fail.max(self.draw.errors)) {
            answer(500, false);
        } else if self.waiting.len() >= self.draw.queue
            && self.jobs.values().filter(|j| j.ask.is_some() && j.phase != Phase::Waiting).count()
                >= self.draw.slots
        {
            answer(503, true);
            self.turned_away += 1;
        } else {
            let job = Job { ask: Some(ask), phase: Phase::Waiting, left: 0.0, made: 0, orphan: false };
            self.jobs.insert(self.next, job);
            self.waiting.push_back(self.next);
            self.next += 1;
            self.fill(now);
        }
    }

    /// Counts what is sent to it while it is cold, and falls over past the limit. A request counts as its class does on
    /// average: nothing on the wire tells a sidecar more, and the rule is one that it can keep.
    fn offer(&mut self, now: Nanos, ask: &Ask) {
        if !self.cold(now) {
            self.offered.clear();
            return;
        }
        let (multiple, window) = self.fall;
        self.offered.push_back((now, ask.expected, ask.by));
        while self.offered.front().is_some_and(|(at, ..)| at + window < now) {
            self.offered.pop_front();
        }
        let sum: f64 = self.offered.iter().map(|(_, work, _)| work).sum();
        let largest = self.offered.iter().map(|(_, work, _)| *work).fold(0.0, f64::max);
        // A little slack for chance: the largest request of the window.
        if sum > multiple * self.capacity(now) * window as f64 / 1e9 + largest {
            let mut by: BTreeMap<u32, f64> = BTreeMap::new();
            for (_, work, sidecar) in &self.offered {
                *by.entry(*sidecar).or_default() += work;
            }
            self.out.push(Out::Fell(by.into_iter().collect()));
        }
    }

    /// A connection was made: it costs work.
    pub fn handshake(&mut self, now: Nanos) {
        self.overhead(now, self.draw.handshake.0);
    }

    fn overhead(&mut self, now: Nanos, work: f64) {
        self.advance(now);
        let job = Job { ask: None, phase: Phase::Before, left: work, made: 0, orphan: false };
        self.jobs.insert(self.next, job);
        self.next += 1;
    }

    /// A probe has come: the report that can be seen now, if there has been one.
    pub fn probe(&mut self, now: Nanos) -> Option<(f64, f64)> {
        self.overhead(now, self.draw.probe);
        while self.reports.len() > 1 && self.reports.get(1).is_some_and(|(at, ..)| *at <= now) {
            self.reports.pop_front();
        }
        self.reports.front().filter(|(at, ..)| *at <= now).map(|&(_, held, waiting)| (held, waiting))
    }

    /// Whoever asked on this connection has given up.
    pub fn gone(&mut self, now: Nanos, conn: ConnId) {
        self.advance(now);
        let mine = |j: &Job| j.ask.as_ref().is_some_and(|ask| ask.conn == conn);
        let Some(id) = self.jobs.iter().find(|(_, j)| mine(j) && !j.orphan).map(|(&id, _)| id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.phase == Phase::Waiting || self.draw.stops {
            if job.phase == Phase::Calling {
                self.out.push(Out::Drop(id));
            }
            self.waiting.retain(|&w| w != id);
            self.jobs.remove(&id);
            self.fill(now);
        } else {
            job.orphan = true;
        }
    }

    fn crowding(&mut self, now: Nanos) {
        let Some(c) = self.draw.crowding else { return };
        let cores = self.draw.cores as f64;
        // Whatever it holds beyond its cores: what waits for a slot, for a core, and for the next tier.
        let waiting = (self.load().0 as f64 - cores).max(0.0);
        if let Some(since) = self.slowed_since {
            if (self.active() as f64) < c.below * cores {
                let idle = *self.idle_since.get_or_insert(now);
                if now >= idle + c.rest {
                    self.slowed_since = None;
                }
            } else {
                self.idle_since = None;
            }
            if now >= since + c.most {
                self.slowed_since = None;
            }
            self.crowded_since = None;
        } else if waiting >= c.at * cores {
            let since = *self.crowded_since.get_or_insert(now);
            if now >= since + c.over {
                self.slowed_since = Some(now);
                self.idle_since = None;
            }
        } else {
            self.crowded_since = None;
        }
    }
}
