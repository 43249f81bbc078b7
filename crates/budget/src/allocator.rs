//! The allocator, or a candidate for it: runs for election, and while elected divides the limits among the holders.

use crate::config::{Config, Time};
use crate::divide::{Claim, divide};
use crate::message::{Ballot, Message};
use crate::voter::Voter;
use std::collections::{BTreeMap, VecDeque};

/// A holder's request, see [`Message::LeaseRequest`].
pub(crate) struct LeaseRequest<'a> {
    pub holder: u64,
    pub seq: u64,
    pub promised: Ballot,
    pub weight: u32,
    pub held: &'a [u64],
    pub demand: &'a [u64],
    pub leaving: bool,
}

/// What the allocator knows of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HolderRecord {
    seq: u64,
    weight: u32,
    demand: Vec<u64>,
    /// Upper bound of what may be in force at the holder, for each limit.
    charge: Vec<u64>,
    /// End of the holder's lease. Uses of a concurrency limit may last longer, see [`Config::max_overrun`].
    lease_expires_at: Time,
    /// Shares that the last division gave to the holder.
    target: Vec<u64>,
}

/// A round of vote requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct VoteRound {
    nonce: u64,
    requested_at: Time,
    /// Bit set of the voters that granted their vote.
    votes: u8,
}

/// Number of vote rounds whose responses still count. A vote lasts for three rounds.
const MAX_VOTE_ROUNDS: usize = 4;

/// Maximum number of holders with which the limits are divided again at each request; with more of them this is done a
/// few times in each request interval.
const MAX_HOLDERS_DIVIDED_PER_REQUEST: usize = 512;

/// A candidate, elected or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Allocator {
    id: u64,
    term: u64,
    /// Greatest term received from any voter or holder.
    highest_term_seen: u64,
    nonce: u64,
    /// Recent vote rounds, oldest first.
    rounds: VecDeque<VoteRound>,
    /// End of the time for which this candidate is elected.
    elected_until: Option<Time>,
    elected_at: Time,
    next_candidacy: Time,
    records: BTreeMap<u64, HolderRecord>,
    last_division: Option<Time>,
    /// Number of claims beyond a limit; always 0 unless the protocol is broken.
    pub(crate) over_limit: u64,
    /// Number of requests that were dropped because there were too many holders.
    pub(crate) dropped_requests: u64,
}

impl Allocator {
    pub(crate) fn new(now: Time, id: u64) -> Allocator {
        Allocator {
            id,
            term: 0,
            highest_term_seen: 0,
            nonce: 0,
            rounds: VecDeque::new(),
            elected_until: None,
            elected_at: now,
            next_candidacy: now,
            records: BTreeMap::new(),
            last_division: None,
            over_limit: 0,
            dropped_requests: 0,
        }
    }

    pub(crate) fn ballot(&self) -> Ballot {
        Ballot { term: self.term, id: self.id }
    }

    /// Whether this candidate is elected. `now` has to be read after any pause of the process: by an earlier time an
    /// allocator whose votes have expired would still act as elected.
    pub(crate) fn is_elected(&self, now: Time) -> bool {
        self.elected_until.is_some_and(|until| now < until)
    }

    /// Sum over all holders of what may be in force of a limit.
    pub(crate) fn charged(&self, config: &Config, now: Time, limit: usize) -> u64 {
        self.records.values().map(|record| charge(config, now, record, limit)).sum()
    }

    /// Number of holders on record.
    pub(crate) fn holders(&self) -> usize {
        self.records.len()
    }

    /// End of the time in which leases of earlier allocators may be in force. Until then holders are granted nothing of
    /// the limit beyond what they already hold.
    fn old_leases_end(&self, config: &Config, limit: usize) -> Time {
        if !config.safeguards.allocator_start_delay {
            return self.elected_at;
        }
        self.elected_at + config.with_clock_margin(config.lease + config.max_overrun(limit))
    }

    /// Whether leases of earlier allocators may still be in force for any limit.
    pub(crate) fn awaits_old_leases(&self, config: &Config, now: Time) -> bool {
        (0..config.limits.len()).any(|limit| now < self.old_leases_end(config, limit))
    }

    /// Delay before the next candidacy. It differs between the voters, in an order that rotates with the term.
    fn candidacy_delay(&self, config: &Config) -> Time {
        let slot = config.voter_index().unwrap_or_default() as u64 + self.term;
        let turn = 1 + slot % config.voters.len().max(1) as u64;
        config.vote_duration() * (2 * turn as u32 - 1) / 8
    }

    fn step_down(&mut self, config: &Config, now: Time) {
        self.elected_until = None;
        self.rounds.clear();
        self.records.clear();
        self.next_candidacy = now + self.candidacy_delay(config);
    }

    /// When the last vote round is over.
    fn round_ends(&self, config: &Config) -> Option<Time> {
        self.rounds.back().map(|round| round.requested_at + config.vote_duration() / 3)
    }

    pub(crate) fn next_wakeup(&self, config: &Config) -> Time {
        match (self.elected_until, self.round_ends(config)) {
            (Some(until), Some(round)) => until.min(round),
            (Some(until), None) => until,
            (None, Some(round)) => round,
            (None, None) => self.next_candidacy,
        }
    }

    /// Does what is due; returns the vote request for the other voters if a round begins.
    pub(crate) fn tick(&mut self, config: &Config, now: Time, voter: &mut Voter) -> Option<Message> {
        if self.elected_until.is_some() && !self.is_elected(now) {
            self.step_down(config, now);
        }
        match self.round_ends(config) {
            Some(ends) if now < ends => return None,
            // A candidate that is not elected after two rounds gives up; after one, responses may be on their way.
            Some(_) if self.elected_until.is_none() && self.rounds.len() >= 2 => {
                // Nothing relies on the vote that it gave to itself, so another candidate may have it.
                voter.release(self.id);
                self.rounds.clear();
                self.next_candidacy = now + self.candidacy_delay(config);
                return None;
            }
            Some(_) => {}
            None if now < self.next_candidacy => return None,
            None => {
                if let Err(again) = voter.free_for(config, now, self.id) {
                    self.next_candidacy = again + self.candidacy_delay(config);
                    return None;
                }
                self.term = self.term.max(self.highest_term_seen).max(voter.term()) + 1;
            }
        }
        self.nonce += 1;
        if self.rounds.len() >= MAX_VOTE_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(VoteRound { nonce: self.nonce, requested_at: now, votes: 0 });
        let own_vote = voter.vote(config, now, config.address, self.ballot());
        let index = config.voter_index().unwrap_or_default() as u8;
        self.vote_response(config, now, (index, voter.term(), self.nonce), own_vote);
        Some(Message::VoteRequest { ballot: self.ballot(), nonce: self.nonce })
    }

    /// Gives up an unfinished candidacy in favour of another candidate with a greater term, or with the same term and a
    /// lower index. Two candidates that keep their own votes would prevent each other from being elected.
    pub(crate) fn yield_to(
        &mut self,
        config: &Config,
        now: Time,
        voter: &mut Voter,
        (ballot, candidate): (Ballot, usize),
    ) {
        let own = config.voter_index().unwrap_or_default();
        let precedes = ballot.term > self.term || ballot.term == self.term && candidate < own;
        if self.elected_until.is_none() && !self.rounds.is_empty() && precedes {
            voter.release(self.id);
            self.rounds.clear();
            self.next_candidacy =
                now + config.with_clock_margin(config.vote_duration()) + self.candidacy_delay(config);
        }
    }

    /// Handles a voter's response.
    pub(crate) fn vote_response(
        &mut self,
        config: &Config,
        now: Time,
        (voter, term, nonce): (u8, u64, u64),
        granted: bool,
    ) {
        self.highest_term_seen = self.highest_term_seen.max(term);
        let Some(round) = self.rounds.iter_mut().find(|round| round.nonce == nonce) else { return };
        if !granted || usize::from(voter) >= config.voters.len() {
            return;
        }
        round.votes |= 1 << voter;
        // The votes are counted from when they were requested: each voter began to count later.
        let until = round.requested_at + config.vote_duration();
        if round.votes.count_ones() < config.majority() || now >= until {
            return;
        }
        if self.elected_until.is_none() {
            self.elected_at = now;
            self.records.clear();
            self.last_division = None;
        }
        self.elected_until = self.elected_until.max(Some(until));
    }

    /// Handles a holder's request.
    pub(crate) fn lease_request(
        &mut self,
        config: &Config,
        now: Time,
        request: &LeaseRequest<'_>,
    ) -> Option<Message> {
        if !self.is_elected(now) {
            return None;
        }
        let ballot = self.ballot();
        if request.promised > ballot {
            // The holder knows a later allocator, so the voters have lost their state, and the terms with it. A new
            // candidacy needs a greater term.
            self.highest_term_seen = self.highest_term_seen.max(request.promised.term);
            self.step_down(config, now);
            return None;
        }
        if request.promised < ballot && config.safeguards.promises {
            return Some(Message::PromiseRequest { ballot });
        }
        let shares = self.grant(config, now, request)?;
        let ballot = if config.safeguards.promises { ballot } else { request.promised };
        Some(Message::LeaseGrant { ballot, seq: request.seq, shares })
    }

    /// Records the request and returns the shares to grant; `None` if the request is outdated or dropped.
    fn grant(&mut self, config: &Config, now: Time, request: &LeaseRequest<'_>) -> Option<Vec<u64>> {
        let limits = config.limits.len();
        let previous = self.records.get(&request.holder);
        // An older request reports less than what was granted since.
        if config.safeguards.request_order && previous.is_some_and(|previous| previous.seq >= request.seq) {
            return None;
        }
        if previous.is_none() {
            // Records with a running lease are kept even if they hold nothing: a holder that has nothing but requests
            // something has to count in the division, so that others make room for it.
            self.records.retain(|_, record| {
                now < record.lease_expires_at
                    || (0..limits).any(|limit| charge(config, now, record, limit) > 0)
            });
            if self.records.len() >= config.max_holders {
                self.dropped_requests += 1;
                return None;
            }
        }
        let held: Vec<u64> = (0..limits)
            .map(|limit| {
                let charged = self
                    .records
                    .get(&request.holder)
                    .map_or(0, |previous| charge(config, now, previous, limit));
                // Leases of earlier allocators are known from the holders' reports alone. Once they have expired,
                // nothing is in force that is not charged.
                let maximum =
                    if now < self.old_leases_end(config, limit) { config.pool(limit) } else { charged };
                request.held[limit].min(maximum)
            })
            .collect();
        let previous = self.records.remove(&request.holder);
        let target = previous.map_or_else(|| vec![0; limits], |previous| previous.target);
        // A holder that leaves begins no further uses; only its current ones still have to end.
        let lease_expires_at =
            if request.leaving { now } else { now + config.with_clock_margin(config.lease) };
        let record = HolderRecord {
            seq: request.seq,
            weight: request.weight,
            demand: request.demand.to_vec(),
            charge: held.clone(),
            lease_expires_at,
            target,
        };
        let no_target = record.target.iter().all(|target| *target == 0);
        self.records.insert(request.holder, record);
        let due = self.last_division.is_none_or(|at| now >= at + config.request_interval() / 20);
        if due || no_target || self.records.len() <= MAX_HOLDERS_DIVIDED_PER_REQUEST {
            self.divide(config, now);
        }
        let mut shares = Vec::with_capacity(limits);
        for (limit, &held) in held.iter().enumerate() {
            let others = self.charged(config, now, limit) - held;
            let free = config.pool(limit).saturating_sub(others);
            if held > free {
                self.over_limit += 1;
            }
            let target = self.records[&request.holder].target[limit];
            let share = if request.leaving {
                0
            } else if now < self.old_leases_end(config, limit) {
                held.min(free)
            } else if target.abs_diff(held) * 20 < held {
                // Changes of less than 5 % are not made.
                held.min(free)
            } else if target <= held {
                target
            } else {
                // Shares that were lowered for this holder are not free until their holders have confirmed it.
                held.max(target.min(free))
            };
            let unit = config.share_unit(limit);
            shares.push(if share > held { (share / unit * unit).max(held) } else { share });
        }
        if let Some(record) = self.records.get_mut(&request.holder) {
            for (limit, (&held, &share)) in held.iter().zip(&shares).enumerate() {
                // A lowered share is charged in full: the holder uses it until it receives and confirms the grant.
                record.charge[limit] =
                    if config.safeguards.charge_until_confirmed { held.max(share) } else { share };
            }
        }
        Some(shares)
    }

    /// Computes the target of each holder whose lease is running.
    fn divide(&mut self, config: &Config, now: Time) {
        self.last_division = Some(now);
        for limit in 0..config.limits.len() {
            let beyond_guaranteed = |demand: u64| demand.saturating_sub(config.limits[limit].guaranteed);
            let is_live = |record: &&HolderRecord| now < record.lease_expires_at;
            let claims: Vec<Claim> = self
                .records
                .values()
                .filter(is_live)
                .map(|record| Claim {
                    demand: beyond_guaranteed(record.demand[limit]),
                    weight: record.weight,
                })
                .collect();
            let targets = divide(config.pool(limit), config.share_unit(limit), &claims);
            let live = self.records.values_mut().filter(|record| now < record.lease_expires_at);
            for (record, target) in live.zip(targets) {
                record.target[limit] = target;
            }
        }
    }
}

/// Upper bound of what may be in force of a limit at a holder.
fn charge(config: &Config, now: Time, record: &HolderRecord, limit: usize) -> u64 {
    if now < record.lease_expires_at + config.with_clock_margin(config.max_overrun(limit)) {
        record.charge[limit]
    } else {
        0
    }
}
