//! A voter: votes for at most one candidate at a time, for a limited time.

use crate::config::{Config, Time};
use crate::message::Ballot;
use std::net::SocketAddrV4;

/// A vote that was granted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Vote {
    ballot: Ballot,
    candidate: SocketAddrV4,
    expires_at: Time,
}

/// State of a voter. It is kept in memory only and lost at a restart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    started: Time,
    term: u64,
    vote: Option<Vote>,
}

impl Voter {
    pub(crate) fn new(now: Time) -> Voter {
        Voter { started: now, term: 0, vote: None }
    }

    /// Greatest term that the voter has voted in.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Earliest time at which the voter may vote.
    fn votes_from(&self, config: &Config) -> Time {
        // A voter that has just started may have forgotten a vote that its candidate still relies on.
        if config.safeguards.voter_start_delay {
            self.started + config.with_clock_margin(config.vote_duration())
        } else {
            self.started
        }
    }

    /// Whether the voter could vote for this candidate now; an error is the earliest time to ask again.
    pub(crate) fn free_for(&self, config: &Config, now: Time, id: u64) -> Result<(), Time> {
        if now < self.votes_from(config) {
            return Err(self.votes_from(config));
        }
        match &self.vote {
            Some(vote) if vote.ballot.id != id && now < vote.expires_at => Err(vote.expires_at),
            _ => Ok(()),
        }
    }

    /// Grants or renews the vote if it is free for this candidate.
    pub(crate) fn vote(
        &mut self,
        config: &Config,
        now: Time,
        candidate: SocketAddrV4,
        ballot: Ballot,
    ) -> bool {
        if self.free_for(config, now, ballot.id).is_err() || ballot.term < self.term {
            return false;
        }
        self.term = ballot.term;
        let expires_at = now + config.with_clock_margin(config.vote_duration());
        self.vote = Some(Vote { ballot, candidate, expires_at });
        true
    }

    /// Frees a vote for this sidecar's own candidate, which has given up its candidacy.
    pub(crate) fn release(&mut self, id: u64) {
        if self.vote.as_ref().is_some_and(|vote| vote.ballot.id == id) {
            self.vote = None;
        }
    }

    /// Candidate that has the vote.
    pub(crate) fn candidate(&self, now: Time) -> Option<SocketAddrV4> {
        self.vote.as_ref().filter(|vote| now < vote.expires_at).map(|vote| vote.candidate)
    }
}
