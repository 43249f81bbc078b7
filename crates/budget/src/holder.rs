//! A holder: it asks for what it needs, and has what it was granted until its lease ends by its own clock.

use crate::config::{Config, Kind, Time};
use crate::message::{Ballot, Message};
use std::net::SocketAddrV4;

/// So many questions are asked sooner once a need has grown.
const HURRY: u8 = 8;

/// What a holder knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    id: u64,
    started: Time,
    seq: u64,
    /// When it asked last.
    asked: Time,
    /// When it asks next.
    next: Time,
    promised: Ballot,
    divider: Option<SocketAddrV4>,
    /// When a divider answered last.
    answered: Option<Time>,
    parts: Vec<u64>,
    until: Time,
    want: Vec<u64>,
    /// What it needed when it asked last, and for how many questions more it asks soon, as that has changed.
    told: Vec<u64>,
    hurry: u8,
    /// What is out of each level, in thousandths.
    out: Vec<u64>,
    leaving: bool,
}

impl Holder {
    pub(crate) fn new(config: &Config, now: Time, id: u64) -> Holder {
        let none = vec![0; config.wholes.len()];
        Holder {
            id,
            started: now,
            seq: 0,
            asked: now,
            next: now,
            promised: Ballot::default(),
            divider: None,
            answered: None,
            parts: none.clone(),
            until: now,
            want: none.clone(),
            told: none.clone(),
            hurry: 0,
            out: none,
            leaving: false,
        }
    }

    /// What is lent to it of a whole. Danger: to be asked with the time after whatever pause there was.
    pub(crate) fn lent(&self, whole: usize, now: Time) -> u64 {
        if now < self.until { self.parts[whole] } else { 0 }
    }

    /// What it has without a lease. Danger: what the process before it at this address had out may not have ended yet, so
    /// of a level it has its floor only once the longest use is over.
    pub(crate) fn floor(&self, config: &Config, now: Time, whole: usize) -> u64 {
        let from = self.started + config.over(config.tail(whole));
        if now >= from { config.floor(whole) } else { 0 }
    }

    /// Until when, and whether that is of any use.
    pub(crate) fn until(&self) -> Option<Time> {
        self.parts.iter().any(|part| *part > 0).then_some(self.until)
    }

    pub(crate) fn answered(&self, config: &Config, now: Time) -> bool {
        self.answered.is_some_and(|at| now < at + config.every() * 3 / 2)
    }

    pub(crate) fn promised(&self) -> Ballot {
        self.promised
    }

    pub(crate) fn next_at(&self) -> Time {
        self.next
    }

    /// What it needs and what is out now.
    pub(crate) fn need(&mut self, config: &Config, now: Time, whole: usize, want: u64, out: u64) {
        self.out[whole] = out;
        self.want[whole] = want;
        // A need that has outgrown its part does not wait for its turn.
        let part = self.lent(whole, now) + self.floor(config, now, whole);
        if want > part && want > self.told[whole] + self.told[whole] / 4 {
            self.hurry = HURRY;
        }
        if want > part && self.hurry > 0 {
            self.next = self.next.min(self.asked + config.every() / 8);
        } else if want * 2 < part {
            // Nor does one that has fallen: another may lack what is not used here.
            self.next = self.next.min(self.asked + config.every() / 4);
        }
    }

    /// What it says it has: for a level also what is still out beyond its part.
    fn have(&self, config: &Config, now: Time) -> Vec<u64> {
        let have = |whole: usize| {
            let out = match config.wholes[whole].kind {
                Kind::Rate { .. } => 0,
                Kind::Level { .. } => self.out[whole].saturating_sub(self.floor(config, now, whole)),
            };
            self.lent(whole, now).max(out)
        };
        (0..config.wholes.len()).map(have).collect()
    }

    /// Asks. From now on no answer to an older question counts.
    pub(crate) fn ask(&mut self, config: &Config, now: Time) -> (Message, Vec<SocketAddrV4>) {
        // Where nobody answered it asks sooner, so that what it has is renewed in time by whoever divides now.
        let calm = self.seq == 0 || self.answered.is_some_and(|at| at >= self.asked);
        self.seq += 1;
        self.hurry = self.hurry.saturating_sub(1);
        self.told.clone_from(&self.want);
        self.asked = now;
        self.next = now + if calm { config.every() } else { config.every() / 2 };
        let ask = Message::Ask {
            holder: self.id,
            seq: self.seq,
            promised: self.promised,
            weight: config.weight,
            have: self.have(config, now),
            want: if self.leaving { vec![0; self.want.len()] } else { self.want.clone() },
            leaving: self.leaving,
        };
        let to = match self.divider {
            Some(divider) if self.answered(config, now) => vec![divider],
            _ => config.keepers.clone(),
        };
        (ask, to)
    }

    pub(crate) fn tick(&mut self, config: &Config, now: Time) -> Option<(Message, Vec<SocketAddrV4>)> {
        (now >= self.next).then(|| self.ask(config, now))
    }

    /// Gives all back that is not out.
    pub(crate) fn leave(&mut self, config: &Config, now: Time) -> (Message, Vec<SocketAddrV4>) {
        self.leaving = true;
        self.parts.fill(0);
        self.ask(config, now)
    }

    /// A part was granted.
    pub(crate) fn granted(
        &mut self,
        config: &Config,
        now: Time,
        from: SocketAddrV4,
        (ballot, seq): (Ballot, u64),
        parts: &[u64],
    ) {
        // Danger: an answer to an older question is of a part that the divider no longer charges.
        if ballot != self.promised || seq != self.seq || self.leaving {
            return;
        }
        let until = if config.parts.from_asking { self.asked } else { now } + config.lease;
        if now >= until {
            return;
        }
        let gives = (0..parts.len()).any(|whole| parts[whole] < self.lent(whole, now));
        self.parts.copy_from_slice(parts);
        self.until = until;
        (self.divider, self.answered) = (Some(from), Some(now));
        let short = (0..parts.len()).any(|i| self.want[i] > parts[i] + self.floor(config, now, i));
        // Who has to give something up for it says so within a round.
        let hurried = short && self.hurry > 0;
        self.next = self.asked + if hurried { config.every() / 4 } else { config.every() };
        if gives {
            // What it has given up is charged until it says so.
            self.next = self.next.min(now + config.every() / 16);
        }
    }

    /// A divider wants its promise; once it is given, the question is asked anew.
    pub(crate) fn promise(&mut self, now: Time, from: SocketAddrV4, ballot: Ballot) {
        if ballot > self.promised {
            self.promised = ballot;
            (self.divider, self.answered) = (Some(from), Some(now));
            self.next = now;
        }
    }

    /// A keeper says who divides.
    pub(crate) fn hinted(&mut self, config: &Config, now: Time, divider: SocketAddrV4) {
        if !self.answered(config, now) && config.keepers.contains(&divider) {
            self.divider = Some(divider);
        }
    }
}
