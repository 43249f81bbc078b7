//! A keeper: it gives its vote to one candidate at a time, for a term.

use crate::config::{Config, Time};
use crate::message::Ballot;
use std::net::SocketAddrV4;

/// A vote that was given.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Given {
    ballot: Ballot,
    to: SocketAddrV4,
    until: Time,
}

/// What a keeper remembers, in memory alone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Keeper {
    started: Time,
    term: u64,
    given: Option<Given>,
}

impl Keeper {
    pub(crate) fn new(now: Time) -> Keeper {
        Keeper { started: now, term: 0, given: None }
    }

    /// The greatest term it knows.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// From when on it may vote.
    fn votes_from(&self, config: &Config) -> Time {
        // Danger: one that has just started may have forgotten a vote that is still counted on.
        if config.parts.keeper_waits { self.started + config.over(config.term()) } else { self.started }
    }

    /// Whether it would vote for this candidate now; else when it may be asked again.
    pub(crate) fn free_for(&self, config: &Config, now: Time, id: u64) -> Result<(), Time> {
        if now < self.votes_from(config) {
            return Err(self.votes_from(config));
        }
        match &self.given {
            Some(given) if given.ballot.id != id && now < given.until => Err(given.until),
            _ => Ok(()),
        }
    }

    /// Gives its vote, or renews it, or does not.
    pub(crate) fn vote(&mut self, config: &Config, now: Time, to: SocketAddrV4, ballot: Ballot) -> bool {
        if self.free_for(config, now, ballot.id).is_err() || ballot.term < self.term {
            return false;
        }
        self.term = ballot.term;
        self.given = Some(Given { ballot, to, until: now + config.over(config.term()) });
        true
    }

    /// Its own candidate has given up: the vote that this one gave it is free.
    pub(crate) fn release(&mut self, id: u64) {
        if self.given.as_ref().is_some_and(|given| given.ballot.id == id) {
            self.given = None;
        }
    }

    /// Who has its vote.
    pub(crate) fn divider(&self, now: Time) -> Option<SocketAddrV4> {
        self.given.as_ref().filter(|given| now < given.until).map(|given| given.to)
    }
}
