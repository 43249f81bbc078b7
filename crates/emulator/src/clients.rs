//! Clients: open-loop arrivals, kept and fresh connections, giving up, retries as the protocol allows; and the table of
//! what became of their requests.

use crate::day::Day;
use crate::dice::Dice;
use crate::kernel::{MS, Nanos, SEC};
use crate::net::ConnId;
use crate::scenario::EffectWord;
use crate::wire::Reader;
use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use serde::Serialize;

/// A request: a first try and what its client sends again.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its class.
    pub class: usize,
    /// Its work in seconds, over all tiers.
    pub work: f64,
    /// Its client's zone.
    pub zone: usize,
    /// Its key.
    pub key: Option<String>,
    /// When the first try was made.
    pub made: Nanos,
    /// Tries made.
    pub tries: u32,
    /// Further tries that its client is willing to make.
    pub more: u32,
    /// Share of the deadline that a try is given.
    pub share: f64,
    /// Its client does as `Retry-After` says.
    pub honours: bool,
    /// Its client leaves after this time, if before the end.
    pub leaves: Option<Nanos>,
    /// It wants a connection of its own.
    pub fresh: bool,
}

/// How a try ended for its client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// 200.
    Served,
    /// 429 or 503, with advice.
    Refused(Option<f64>),
    /// Any other answer.
    Failed,
    /// The sidecar could not be reached, or was killed with the request.
    Unreachable,
    /// No answer in time.
    Late,
    /// The client left early.
    Left,
}

/// A try that is out.
#[derive(Debug)]
pub struct Try {
    /// The request.
    pub request: u64,
    /// Its id on the wire.
    pub id: String,
    /// To which sidecar.
    pub sidecar: usize,
    /// It was sent again after a close that crossed it.
    pub resent: bool,
}

/// A connection of the clients.
#[derive(Debug, Default)]
pub struct Line {
    /// What has come.
    pub reader: Reader,
    /// The try that it carries.
    pub carries: Option<u64>,
    /// To which sidecar.
    pub sidecar: usize,
    /// It has carried an answer before.
    pub used: bool,
    /// It is up.
    pub up: bool,
    /// It closes after its answer.
    pub fresh: bool,
    /// The front asks for `/up` on it.
    pub checks: bool,
}

/// What became of the first tries of a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Tally {
    /// First tries.
    pub asked: u64,
    /// Served within the aim.
    pub in_aim: u64,
    /// Served after it.
    pub late: u64,
    /// Refused at the last.
    pub refused: u64,
    /// Failed at the last, or never answered.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
    /// Worth asked for and worth earned.
    pub worth: (f64, f64),
    /// Further tries.
    pub again: u64,
}

/// All clients.
#[derive(Debug)]
pub struct Clients {
    arrivals: Dice,
    make: Dice,
    back: Dice,
    next_request: u64,
    next_try: u64,
    /// Requests without a final outcome.
    pub requests: FxHashMap<u64, Request>,
    /// Tries that are out.
    pub tries: FxHashMap<u64, Try>,
    /// Connections.
    pub lines: FxHashMap<ConnId, Line>,
    /// Idle connections by sidecar, the one used last at the end.
    pub idle: Vec<Vec<ConnId>>,
    /// Sidecars that the front sends to.
    pub believed: Vec<bool>,
    /// Times the usual rate.
    pub burst: f64,
    /// One sidecar that carries a share of all.
    pub hot: Option<(usize, f64)>,
    /// By class.
    pub tally: Vec<Tally>,
    /// Latency of served requests by class, in microseconds.
    pub latencies: Vec<Histogram<u64>>,
}

/// Microseconds up to an hour, to three digits; memory is fixed.
fn latencies() -> Histogram<u64> {
    // The bounds are sound; a histogram of any size would do as well.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("sound bounds"))
}

impl Clients {
    /// The clients of a day.
    pub fn new(day: &Day) -> Clients {
        let dice = |name: &str| Dice::new(day.seed, name);
        Clients {
            arrivals: dice("arrivals"),
            make: dice("requests"),
            back: dice("backoff"),
            next_request: 0,
            next_try: 0,
            requests: FxHashMap::default(),
            tries: FxHashMap::default(),
            lines: FxHashMap::default(),
            idle: vec![Vec::new(); day.sidecars.len()],
            believed: vec![false; day.sidecars.len()],
            burst: 1.0,
            hot: None,
            tally: vec![Tally::default(); day.classes.len()],
            latencies: day.classes.iter().map(|_| latencies()).collect(),
        }
    }

    /// Time until the next first try.
    pub fn gap(&mut self, day: &Day, now: Nanos) -> Nanos {
        let (from, to) = day.clients.rate;
        let along = (now as f64 / day.length.max(1) as f64).min(1.0);
        let rate = (from + (to - from) * along) * self.burst;
        self.arrivals.exp((SEC as f64 / rate.max(1e-6)) as Nanos)
    }

    /// A new request.
    pub fn make(&mut self, day: &Day, now: Nanos) -> u64 {
        let d = &mut self.make;
        let class = d.weighted(day.classes.iter().map(|c| c.share));
        let c = &day.classes[class];
        let zone = d.weighted(day.clients.zones.iter().copied());
        let work = d.spread(c.work.0, c.work.1);
        let more = d.unit() * day.clients.retries.fract();
        let more = day.clients.retries.trunc() as u32
            + u32::from(day.clients.retries.fract() > 0.0 && more < day.clients.retries.fract() * 0.5);
        let share = d.within(day.clients.try_share);
        let honours = d.chance(day.clients.honour);
        let leaves = d.chance(day.clients.impatient);
        let when = match day.clients.leaves {
            Some(within) => d.within(within).round() as Nanos,
            None => (d.unit() * c.deadline as f64) as Nanos,
        };
        let key = d.bits();
        let fresh = d.chance(day.clients.fresh);
        let request = Request {
            class,
            work,
            zone,
            key: (c.effect == EffectWord::Keyed).then(|| format!("{key:016x}")),
            made: now,
            tries: 0,
            more,
            share,
            honours,
            leaves: leaves.then_some(when),
            fresh,
        };
        let id = self.next_request;
        self.next_request += 1;
        self.tally[class].asked += 1;
        self.tally[class].worth.0 += c.worth;
        self.requests.insert(id, request);
        id
    }

    /// Begins a try of a request: its number, and the sidecar it goes to, if the front knows one.
    pub fn begin(&mut self, day: &Day, request: u64) -> Option<(u64, usize)> {
        let r = self.requests.get_mut(&request)?;
        r.tries += 1;
        if r.tries > 1 {
            self.tally[r.class].again += 1;
        }
        let zone = r.zone;
        let (hot, back) = (self.hot, &mut self.back);
        let near: Vec<usize> =
            (0..day.sidecars.len()).filter(|&i| self.believed[i] && day.sidecars[i] == zone).collect();
        let any: Vec<usize> = (0..day.sidecars.len()).filter(|&i| self.believed[i]).collect();
        let pick = back.unit();
        let among = if near.is_empty() { any } else { near };
        let sidecar = match hot {
            Some((sidecar, share)) if self.believed[sidecar] && back.chance(share) => sidecar,
            _ => *among.get((pick * among.len() as f64) as usize)?,
        };
        let number = self.next_try;
        self.next_try += 1;
        let id = format!("c{number:x}");
        self.tries.insert(number, Try { request, id, sidecar, resent: false });
        Some((number, sidecar))
    }

    /// A try has ended: when the next one is due, if its client makes one; else the request is settled.
    pub fn end(&mut self, day: &Day, now: Nanos, number: u64, ending: Ending) -> Option<(u64, Nanos)> {
        let request = self.tries.remove(&number)?.request;
        self.conclude(day, now, request, ending)
    }

    /// A request's last try has ended, or none could be made.
    pub fn conclude(&mut self, day: &Day, now: Nanos, request: u64, ending: Ending) -> Option<(u64, Nanos)> {
        let r = self.requests.get_mut(&request)?;
        let c = &day.classes[r.class];
        let may = match (ending, c.effect) {
            (Ending::Served | Ending::Left, _) => false,
            (Ending::Refused(_) | Ending::Unreachable, EffectWord::Unsafe) => true,
            (_, EffectWord::Unsafe) => false,
            (_, EffectWord::Keyed) => now + SEC < r.made + c.window,
            (_, EffectWord::Safe) => true,
        };
        if may && r.more > 0 {
            r.more -= 1;
            let backoff = day.clients.backoff;
            let wait = self.back.within((backoff.0 as f64, backoff.1 as f64)) as Nanos;
            let wait = match ending {
                Ending::Refused(Some(after)) if r.honours => {
                    crate::day::nanos(after).min(day.max_retry_after).max(MS)
                }
                _ => wait,
            };
            return Some((request, now + wait));
        }
        let (class, took) = (r.class, now - r.made);
        self.requests.remove(&request);
        let tally = &mut self.tally[class];
        match ending {
            Ending::Served => {
                if took <= c.aim {
                    tally.in_aim += 1;
                    tally.worth.1 += c.worth;
                } else {
                    tally.late += 1;
                    tally.worth.1 += c.worth * c.late;
                }
                self.latencies[class].saturating_record((took / 1000).max(1));
            }
            Ending::Refused(_) => tally.refused += 1,
            Ending::Left => tally.left += 1,
            Ending::Failed | Ending::Late | Ending::Unreachable => tally.failed += 1,
        }
        None
    }
}
