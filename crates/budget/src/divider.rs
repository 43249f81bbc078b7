//! A divider, or a keeper that would be one: it stands for election, and while it is elected it divides.

use crate::config::{Config, Time};
use crate::divide::{Claim, divide};
use crate::keeper::Keeper;
use crate::message::{Ballot, Message};
use std::collections::{BTreeMap, VecDeque};

/// A question of a holder.
pub(crate) struct Question<'a> {
    pub holder: u64,
    pub seq: u64,
    pub promised: Ballot,
    pub weight: u32,
    pub have: &'a [u64],
    pub want: &'a [u64],
    pub leaving: bool,
}

/// What a divider knows of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Record {
    seq: u64,
    weight: u32,
    want: Vec<u64>,
    /// The most that may be in force of each whole ...
    charge: Vec<u64>,
    /// ... until then, and for as long after as its longest use.
    until: Time,
    target: Vec<u64>,
}

/// A round of questions to the keepers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Round {
    nonce: u64,
    asked: Time,
    votes: u8,
}

/// Rounds of which answers still count: a term is three of them long.
const ROUNDS: usize = 4;

/// A candidate, elected or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Divider {
    id: u64,
    term: u64,
    /// The greatest term it has heard of.
    seen: u64,
    nonce: u64,
    /// Its last questions to the keepers, the oldest first.
    rounds: VecDeque<Round>,
    /// Elected, and until when.
    until: Option<Time>,
    elected: Time,
    stand_at: Time,
    records: BTreeMap<u64, Record>,
    divided: Option<Time>,
    /// Claims beyond the whole: there can be none.
    pub(crate) beyond: u64,
    /// Questions that were not answered for want of room.
    pub(crate) crowded: u64,
}

/// Above so many holders parts are worked out a few times a round, not at each question.
const EACH_TIME: usize = 512;

impl Divider {
    pub(crate) fn new(now: Time, id: u64) -> Divider {
        Divider {
            id,
            term: 0,
            seen: 0,
            nonce: 0,
            rounds: VecDeque::new(),
            until: None,
            elected: now,
            stand_at: now,
            records: BTreeMap::new(),
            divided: None,
            beyond: 0,
            crowded: 0,
        }
    }

    pub(crate) fn ballot(&self) -> Ballot {
        Ballot { term: self.term, id: self.id }
    }

    /// Whether it divides. Danger: one that was paused has to see by the time after the pause that it does no more.
    pub(crate) fn divides(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Holders it knows of, and the sum of what may be in force of a whole.
    pub(crate) fn charged(&self, config: &Config, now: Time, whole: usize) -> u64 {
        self.records.values().map(|record| charge(config, now, record, whole)).sum()
    }

    pub(crate) fn holders(&self) -> usize {
        self.records.len()
    }

    /// Until when nothing of a whole is given that is not in force already.
    fn waits_until(&self, config: &Config, whole: usize) -> Time {
        if !config.parts.divider_waits {
            return self.elected;
        }
        self.elected + config.over(config.lease + config.tail(whole))
    }

    /// Whether it still waits for parts that others may have lent.
    pub(crate) fn waits(&self, config: &Config, now: Time) -> bool {
        (0..config.wholes.len()).any(|whole| now < self.waits_until(config, whole))
    }

    fn wait(&self, config: &Config) -> Time {
        // Candidates take turns, another first each time.
        let place = config.keeper().unwrap_or_default() as u64 + self.term;
        let turn = 1 + place % config.keepers.len().max(1) as u64;
        config.term() * (2 * turn as u32 - 1) / 8
    }

    fn step_down(&mut self, config: &Config, now: Time) {
        self.until = None;
        self.rounds.clear();
        self.records.clear();
        self.stand_at = now + self.wait(config);
    }

    /// When the last round is over.
    fn round_ends(&self, config: &Config) -> Option<Time> {
        self.rounds.back().map(|round| round.asked + config.term() / 3)
    }

    pub(crate) fn next_at(&self, config: &Config) -> Time {
        match (self.until, self.round_ends(config)) {
            (Some(until), Some(round)) => until.min(round),
            (Some(until), None) => until,
            (None, Some(round)) => round,
            (None, None) => self.stand_at,
        }
    }

    /// What is due: a question to the other keepers, if there is one to be asked.
    pub(crate) fn tick(&mut self, config: &Config, now: Time, keeper: &mut Keeper) -> Option<Message> {
        if self.until.is_some() && !self.divides(now) {
            self.step_down(config, now);
        }
        match self.round_ends(config) {
            Some(ends) if now < ends => return None,
            // Answers to the first questions may be on their way.
            Some(_) if self.until.is_none() && self.rounds.len() >= 2 => {
                // Not elected: nobody counts on the vote that it gave itself, so another may have it.
                keeper.release(self.id);
                self.rounds.clear();
                self.stand_at = now + self.wait(config);
                return None;
            }
            Some(_) => {}
            None if now < self.stand_at => return None,
            None => {
                if let Err(again) = keeper.free_for(config, now, self.id) {
                    self.stand_at = again + self.wait(config);
                    return None;
                }
                self.term = self.term.max(self.seen).max(keeper.term()) + 1;
            }
        }
        self.nonce += 1;
        if self.rounds.len() >= ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round { nonce: self.nonce, asked: now, votes: 0 });
        let own = keeper.vote(config, now, config.address, self.ballot());
        let place = config.keeper().unwrap_or_default() as u8;
        self.voted(config, now, (place, keeper.term(), self.nonce), own);
        Some(Message::Vote { ballot: self.ballot(), nonce: self.nonce })
    }

    /// Another stands too. Of two that are not elected the one with the greater term goes first, or with the lower place:
    /// each that keeps its own vote keeps the other from being elected.
    pub(crate) fn yields(&mut self, config: &Config, now: Time, keeper: &mut Keeper, to: (Ballot, usize)) {
        let (ballot, place) = to;
        let own = config.keeper().unwrap_or_default();
        let first = ballot.term > self.term || ballot.term == self.term && place < own;
        if self.until.is_none() && !self.rounds.is_empty() && first {
            keeper.release(self.id);
            self.rounds.clear();
            self.stand_at = now + config.over(config.term()) + self.wait(config);
        }
    }

    /// A keeper's answer.
    pub(crate) fn voted(
        &mut self,
        config: &Config,
        now: Time,
        (keeper, term, nonce): (u8, u64, u64),
        given: bool,
    ) {
        self.seen = self.seen.max(term);
        let Some(round) = self.rounds.iter_mut().find(|round| round.nonce == nonce) else { return };
        if !given || usize::from(keeper) >= config.keepers.len() {
            return;
        }
        round.votes |= 1 << keeper;
        // The term counts from when these votes were asked for: each keeper began to count later.
        let until = round.asked + config.term();
        if round.votes.count_ones() < config.majority() || now >= until {
            return;
        }
        if self.until.is_none() {
            self.elected = now;
            self.records.clear();
            self.divided = None;
        }
        self.until = self.until.max(Some(until));
    }

    /// Answers a holder.
    pub(crate) fn hear(&mut self, config: &Config, now: Time, asked: &Question<'_>) -> Option<Message> {
        if !self.divides(now) {
            return None;
        }
        let ballot = self.ballot();
        if asked.promised > ballot {
            // All keepers have forgotten, and with them the terms that were; a greater one is needed.
            self.seen = self.seen.max(asked.promised.term);
            self.step_down(config, now);
            return None;
        }
        if asked.promised < ballot && config.parts.promises {
            return Some(Message::Promise { ballot });
        }
        let parts = self.grant(config, now, asked)?;
        let ballot = if config.parts.promises { ballot } else { asked.promised };
        Some(Message::Grant { ballot, seq: asked.seq, parts })
    }

    fn grant(&mut self, config: &Config, now: Time, asked: &Question<'_>) -> Option<Vec<u64>> {
        let wholes = config.wholes.len();
        let old = self.records.get(&asked.holder);
        // Danger: an older question tells of less than what was granted since.
        if config.parts.ordered && old.is_some_and(|old| old.seq >= asked.seq) {
            return None;
        }
        if old.is_none() {
            // Who has nothing and asks for something is not forgotten: others have to make room for it.
            self.records.retain(|_, record| {
                now < record.until || (0..wholes).any(|whole| charge(config, now, record, whole) > 0)
            });
            if self.records.len() >= config.most {
                self.crowded += 1;
                return None;
            }
        }
        let had: Vec<u64> = (0..wholes)
            .map(|whole| {
                let charged =
                    self.records.get(&asked.holder).map_or(0, |old| charge(config, now, old, whole));
                // What was in force before this divider's time is known from its holder alone; later, nothing is
                // in force that is not charged.
                let known = if now < self.waits_until(config, whole) { config.pool(whole) } else { charged };
                asked.have[whole].min(known)
            })
            .collect();
        let kept = self.records.remove(&asked.holder);
        let target = kept.map_or_else(|| vec![0; wholes], |old| old.target);
        // Who leaves begins nothing more; what is out still ends.
        let until = if asked.leaving { now } else { now + config.over(config.lease) };
        let record = Record {
            seq: asked.seq,
            weight: asked.weight,
            want: asked.want.to_vec(),
            charge: had.clone(),
            until,
            target,
        };
        let fresh = record.target.iter().all(|target| *target == 0);
        self.records.insert(asked.holder, record);
        let due = self.divided.is_none_or(|at| now >= at + config.every() / 20);
        if due || fresh || self.records.len() <= EACH_TIME {
            self.divide(config, now);
        }
        let mut parts = Vec::with_capacity(wholes);
        for (whole, &have) in had.iter().enumerate() {
            let others = self.charged(config, now, whole) - have;
            let free = config.pool(whole).saturating_sub(others);
            if have > free {
                self.beyond += 1;
            }
            let target = self.records[&asked.holder].target[whole];
            let part = if asked.leaving {
                0
            } else if now < self.waits_until(config, whole) {
                have.min(free)
            } else if target.abs_diff(have) * 20 < have {
                // Little changes are not made.
                have.min(free)
            } else if target <= have {
                target
            } else {
                // Whoever is to have less has not said yet that it has; until then there is only what is free.
                have.max(target.min(free))
            };
            let unit = config.unit(whole);
            parts.push(if part > have { (part / unit * unit).max(have) } else { part });
        }
        if let Some(record) = self.records.get_mut(&asked.holder) {
            for (whole, (&have, &part)) in had.iter().zip(&parts).enumerate() {
                // Danger: until its holder says that it has less, it has what it had.
                record.charge[whole] = if config.parts.charges_both { have.max(part) } else { part };
            }
        }
        Some(parts)
    }

    /// Works out what everybody should have.
    fn divide(&mut self, config: &Config, now: Time) {
        self.divided = Some(now);
        for whole in 0..config.wholes.len() {
            let floor = |want: u64| want.saturating_sub(config.wholes[whole].floor);
            let lives = |record: &&Record| now < record.until;
            let claims: Vec<Claim> = self
                .records
                .values()
                .filter(lives)
                .map(|record| Claim { want: floor(record.want[whole]), weight: record.weight })
                .collect();
            let targets = divide(config.pool(whole), config.unit(whole), &claims);
            let living = self.records.values_mut().filter(|record| now < record.until);
            for (record, target) in living.zip(targets) {
                record.target[whole] = target;
            }
        }
    }
}

/// The most that may be in force of a whole at this holder.
fn charge(config: &Config, now: Time, record: &Record, whole: usize) -> u64 {
    if now < record.until + config.over(config.tail(whole)) { record.charge[whole] } else { 0 }
}
