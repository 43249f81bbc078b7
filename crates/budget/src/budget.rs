//! What a sidecar holds: the protocol, its messages as bytes, and the spending of what was granted to it.

use crate::config::{Config, Kind, Time};
use crate::core::{Core, Outbox};
use crate::message::{Refused, decode, encode};
use crate::spend::{Meter, Part, Tokens};
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Something worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// This one divides from now on.
    Elected {
        /// In this term.
        term: u64,
    },
    /// It divides no more.
    SteppedDown,
    /// What was lent to it has lapsed: it is at its floors.
    Lapsed,
    /// It has parts again.
    Regained,
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counted {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that were heard.
    pub heard: u64,
    /// Messages that made no sense.
    pub garbled: u64,
    /// Messages of who has another file.
    pub foreign: u64,
    /// Messages in a format that is not spoken.
    pub format: u64,
    /// Times that what was lent lapsed.
    pub lapses: u64,
    /// Times that it became the divider.
    pub elections: u64,
}

#[derive(Debug, Clone, Default)]
struct Purse {
    tokens: Tokens,
    meter: Meter,
    out: u64,
    taken: u64,
    refused: u64,
}

/// The budgets of one sidecar.
pub struct Budget {
    config: Config,
    digest: u64,
    core: Core,
    purses: Vec<Purse>,
    outbox: VecDeque<(SocketAddrV4, Vec<u8>)>,
    events: VecDeque<Event>,
    counted: Counted,
    had: bool,
    divided: bool,
    looked: Time,
}

/// A whole as one sidecar sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WholeReport {
    /// Its name.
    pub name: String,
    /// A second or at once.
    pub whole: f64,
    /// The own part.
    pub part: f64,
    /// What of it needs no lease.
    pub floor: f64,
    /// What is needed.
    pub need: f64,
    /// Out now, of a level.
    pub out: u64,
    /// Uses that were had ...
    pub taken: u64,
    /// ... and that were refused for lack.
    pub refused: u64,
    /// As a divider: what may be in force over the fleet, without the floors.
    pub charged: Option<f64>,
}

/// The budgets as one sidecar sees them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The digest of the file's budgets.
    pub digest: String,
    /// The divider's term that it goes by.
    pub term: u64,
    /// Whether a divider answers it.
    pub answered: bool,
    /// Seconds until what is lent to it lapses.
    pub lapses_in_s: Option<f64>,
    /// Whether it is a keeper.
    pub keeper: bool,
    /// Whether it divides ...
    pub divides: bool,
    /// ... but waits for what others may have lent.
    pub waits: bool,
    /// Holders that it divides among.
    pub holders: usize,
    /// Claims beyond the whole: there can be none.
    pub beyond: u64,
    /// Questions without room.
    pub crowded: u64,
    /// What was counted.
    pub counted: Counted,
    /// The wholes.
    pub wholes: Vec<WholeReport>,
}

impl Budget {
    /// The budgets of a sidecar that starts now; `id` is this start's alone.
    pub fn new(config: Config, now: Time, id: u64) -> Budget {
        let purse = Purse { tokens: Tokens::new(now), ..Purse::default() };
        Budget {
            digest: config.digest(),
            core: Core::new(&config, now, id),
            purses: vec![purse; config.wholes.len()],
            outbox: VecDeque::new(),
            events: VecDeque::new(),
            counted: Counted::default(),
            had: false,
            divided: false,
            looked: now,
            config,
        }
    }

    /// What it was told.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The protocol.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// What was counted.
    pub fn counted(&self) -> Counted {
        self.counted
    }

    /// Its part of a whole now, in thousandths.
    pub fn part(&self, whole: usize, now: Time) -> u64 {
        self.core.part(&self.config, whole, now)
    }

    fn lease(&self, whole: usize, now: Time) -> Part {
        let until = self.core.lent_until().unwrap_or_default();
        // What is lent, whether or not it has lapsed by now: just before its end it was that.
        let lent = self.core.lent(whole, until.saturating_sub(Time::from_nanos(1)));
        Part { floor: self.core.floor(&self.config, whole, now), lent, until }
    }

    /// Lets tokens come under the parts as they are, before parts change.
    fn pass(&mut self, now: Time) {
        for whole in 0..self.purses.len() {
            if let Kind::Rate { burst } = self.config.wholes[whole].kind {
                let (lease, size) = (self.lease(whole, now), self.config.wholes[whole].size);
                self.purses[whole].tokens.pass(now, lease, burst, size);
            }
        }
    }

    /// One use of a whole; else how long until there may be one. Danger: `now` has to be read after whatever the use
    /// waited for, and right before it.
    pub fn take(&mut self, whole: usize, now: Time) -> Result<(), Time> {
        let (every, lease) = (self.config.every(), self.lease(whole, now));
        let part = self.core.part(&self.config, whole, now);
        let size = self.config.wholes[whole].size;
        let purse = &mut self.purses[whole];
        purse.meter.wanted(now, purse.out);
        let taken = match self.config.wholes[whole].kind {
            Kind::Rate { burst } => {
                purse.tokens.pass(now, lease, burst, size);
                purse.tokens.take(part)
            }
            Kind::Level { .. } if (purse.out + 1) * 1000 <= part => {
                purse.out += 1;
                Ok(())
            }
            Kind::Level { longest } => Err((part > 0).then_some(longest / 4)),
        };
        match taken {
            Ok(()) => {
                purse.taken += 1;
                Ok(())
            }
            Err(wait) => {
                purse.refused += 1;
                purse.meter.refused();
                Err(wait.unwrap_or(every))
            }
        }
    }

    /// The end of a use of a level.
    pub fn put_back(&mut self, whole: usize) {
        let purse = &mut self.purses[whole];
        purse.out = purse.out.saturating_sub(1);
    }

    fn needs(&mut self, now: Time) {
        for whole in 0..self.purses.len() {
            let (kind, purse) = (self.config.wholes[whole].kind, &mut self.purses[whole]);
            let need = purse.meter.need(now, kind, purse.out);
            self.core.need(&self.config, now, whole, need, purse.out * 1000);
        }
        self.looked = now;
    }

    /// Its time has come.
    pub fn tick(&mut self, now: Time) {
        self.pass(now);
        self.needs(now);
        let mut out = Outbox::new();
        self.core.tick(&self.config, now, &mut out);
        self.post(out);
        self.notice(now);
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Time, from: SocketAddrV4, bytes: &[u8]) {
        let message = match decode(self.digest, self.config.wholes.len(), bytes) {
            Ok(message) => message,
            Err(refused) => {
                let counted = match refused {
                    Refused::Garbled => &mut self.counted.garbled,
                    Refused::Foreign => &mut self.counted.foreign,
                    Refused::Format => &mut self.counted.format,
                };
                *counted += 1;
                return;
            }
        };
        self.counted.heard += 1;
        self.pass(now);
        let mut out = Outbox::new();
        self.core.hear(&self.config, now, from, &message, &mut out);
        self.post(out);
        self.notice(now);
    }

    /// It leaves: what is not out goes back at once.
    pub fn leave(&mut self, now: Time) {
        self.pass(now);
        self.needs(now);
        let mut out = Outbox::new();
        self.core.leave(&self.config, now, &mut out);
        self.post(out);
    }

    fn post(&mut self, out: Outbox) {
        for (to, message) in out {
            let bytes = encode(self.digest, &message);
            self.counted.sent += 1;
            self.counted.sent_bytes += bytes.len() as u64;
            self.outbox.push_back((to, bytes));
        }
    }

    fn notice(&mut self, now: Time) {
        let has = (0..self.purses.len()).any(|whole| self.core.lent(whole, now) > 0);
        if has != self.had {
            self.counted.lapses += u64::from(!has);
            self.events.push_back(if has { Event::Regained } else { Event::Lapsed });
        }
        let divides = self.core.divides(now);
        if divides != self.divided {
            self.counted.elections += u64::from(divides);
            let term = self.core.own_term();
            self.events.push_back(if divides { Event::Elected { term } } else { Event::SteppedDown });
        }
        (self.had, self.divided) = (has, divides);
        self.events.truncate(64);
    }

    /// What is to be sent next.
    pub fn output(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.outbox.pop_front()
    }

    /// What happened.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When it wants to be called next: for the protocol, at the lapse of what is lent, and to look at its needs.
    pub fn next_at(&self) -> Time {
        let look = self.looked + self.config.every() / 4;
        let lapse = self.core.lent_until().filter(|_| self.had);
        let next = self.core.next_at(&self.config).min(look);
        lapse.map_or(next, |lapse| next.min(lapse))
    }

    /// Itself, for operators.
    pub fn report(&mut self, now: Time) -> Report {
        let (holders, beyond, crowded) = self.core.dividing();
        let divides = self.core.divides(now);
        let f = |thousandths: u64| thousandths as f64 / 1000.0;
        let whole = |whole: usize| {
            let (told, purse) = (&self.config.wholes[whole], &self.purses[whole]);
            WholeReport {
                name: told.name.clone(),
                whole: f(told.size),
                part: f(self.core.part(&self.config, whole, now)),
                floor: f(self.core.floor(&self.config, whole, now)),
                need: f(purse.meter.clone().need(now, told.kind, purse.out)),
                out: purse.out,
                taken: purse.taken,
                refused: purse.refused,
                charged: divides.then(|| f(self.core.charged(&self.config, whole, now))),
            }
        };
        let lapses = self.core.lent_until().and_then(|until| until.checked_sub(now));
        Report {
            digest: format!("{:016x}", self.digest),
            term: self.core.ballot().term,
            answered: self.core.answered(&self.config, now),
            lapses_in_s: lapses.map(|left| left.as_secs_f64()),
            keeper: self.config.keeper().is_some(),
            divides,
            waits: self.core.waits(&self.config, now),
            holders,
            beyond,
            crowded,
            counted: self.counted,
            wholes: (0..self.purses.len()).map(whole).collect(),
        }
    }
}
