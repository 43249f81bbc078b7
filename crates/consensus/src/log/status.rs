//! The replica's position and counters.

use super::{Log, StateMachine};
use crate::chain::Position;
use crate::config::{Config, Time};
use serde::Serialize;
use std::net::SocketAddrV4;

/// Event counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Messages that could not be decoded.
    pub garbled: u64,
    /// Messages of another fleet, or of a fleet with other voters.
    pub foreign: u64,
    /// Violations of invariants, such as different entries at one index.
    #[serde(rename = "broken")]
    pub invariant_violations: u64,
    /// Received snapshots that were installed.
    pub snapshots: u64,
    /// Received snapshots that did not match their digest or could not be decoded.
    #[serde(rename = "spoilt")]
    pub invalid_snapshots: u64,
    /// Epochs begun.
    pub epochs: u64,
}

/// The replica's state, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The number of bootstraps of the log; 0 if there was none.
    #[serde(rename = "founded")]
    pub bootstrap_count: u64,
    /// The number of epochs since the last bootstrap.
    pub epoch: u32,
    /// The index of the last entry.
    pub index: u64,
    /// The checksum of all entries, in hexadecimal.
    pub sum: String,
    /// The leader, if this member is a voter and knows one.
    pub leader: Option<SocketAddrV4>,
    /// The configured voters, each with whether it may vote in this epoch.
    #[serde(rename = "keepers")]
    pub voters: Vec<(SocketAddrV4, bool)>,
    /// Whether the local member votes in this epoch.
    #[serde(rename = "seated")]
    pub is_voting: bool,
    /// The number of pending proposals of the local member.
    #[serde(rename = "waiting")]
    pub pending_proposals: usize,
    /// Event counters.
    #[serde(rename = "counted")]
    pub counters: Counters,
}

impl<M: StateMachine> Log<M> {
    /// The state machine, with all decided commands that are known here applied.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The position of the last entry.
    pub fn position(&self) -> Position {
        self.chain.last()
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The checksum of all entries up to an index, if it is still kept.
    pub fn sum_at(&self, index: u64) -> Option<u64> {
        self.chain.sum_at(index)
    }

    /// Whether the local member is the leader, for tasks that only one member should carry out.
    pub fn leads(&self, now: Time) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.leads(now))
    }

    /// The leader's index among the voters, if the local member is a voter and knows one.
    pub fn leader(&self, now: Time) -> Option<usize> {
        self.voter.as_ref().and_then(|voter| voter.leader(now))
    }

    /// The replica's state, for operators.
    pub fn status(&self, now: Time) -> Status {
        let may_vote = |index: usize| self.voters.starts.get(index).is_some_and(|start| *start != 0);
        let voters = self.config.voters.iter().enumerate();
        Status {
            bootstrap_count: self.voters.epoch.bootstrap_count(),
            epoch: self.voters.epoch.number,
            index: self.position().index,
            sum: format!("{:016x}", self.position().sum),
            leader: self.leader(now).map(|index| self.config.voters[index]),
            voters: voters.map(|(index, address)| (*address, may_vote(index))).collect(),
            is_voting: self.voter.is_some(),
            pending_proposals: self.proposals.len(),
            counters: self.counters,
        }
    }
}
