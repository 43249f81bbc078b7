//! The local voter, and the voter set of each epoch.
//!
//! A voter keeps its promises in memory only. A voter that restarts has lost them, so it has no vote until the leader
//! readmits it with the voter set of a new epoch.

use super::{Log, StateMachine};
use crate::chain::Position;
use crate::config::Time;
use crate::message::Body;
use crate::voter::{DecidedEntry, Voter};
use std::time::Duration;

/// A voter can be readmitted only if its last position arrived within this time.
const APPLICANT_TIMEOUT: Duration = Duration::from_secs(2);
/// A voter can be readmitted only if it lacks no more than this many entries.
const APPLICANT_MAX_LAG: u64 = 8;
/// Minimum interval between two proposals to end an epoch.
const EPOCH_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// A voter's process, as last reported by itself.
#[derive(Debug)]
pub(super) struct Applicant {
    pub start: u64,
    pub position: Position,
    pub last_received: Time,
}

impl<M: StateMachine> Log<M> {
    /// As the leader, proposes to end the epoch: to readmit a voter that has restarted, or because the epoch has
    /// reached its maximum length.
    pub(super) fn propose_epoch_change(&mut self, now: Time) {
        let Some(voter) = &mut self.voter else { return };
        if !voter.leads(now) || now < self.next_epoch_change {
            return;
        }
        let own = self.chain.last();
        self.applicants.retain(|index, applicant| {
            let restarted = voter.starts.get(*index).is_some_and(|start| *start < applicant.start);
            applicant.last_received + APPLICANT_TIMEOUT > now && restarted
        });
        let ready = self.applicants.iter().find(|(_, applicant)| {
            let position = applicant.position;
            position.bootstrap_id == own.bootstrap_id && position.index + APPLICANT_MAX_LAG >= own.index
        });
        let mut starts = voter.starts.clone();
        if let Some((index, applicant)) = ready {
            starts[*index] = applicant.start;
        } else if voter.length() < self.config.max_epoch_entries {
            return;
        }
        self.next_epoch_change = now + EPOCH_CHANGE_INTERVAL;
        voter.end_epoch(now, starts);
    }

    /// Applies the entries that were decided, and sends the messages of the `omnipaxos` instance.
    pub(super) fn apply_decided(&mut self, now: Time) {
        let Some(voter) = &mut self.voter else { return };
        let decided = voter.take_decided(self.config.features.decided_only);
        let (epoch, outgoing) = (voter.epoch, voter.take_outgoing());
        for outgoing in outgoing {
            let to = self.config.voters[outgoing.to];
            let (count, message) = (outgoing.count, outgoing.message);
            self.send(to, &Body::OmniPaxos { epoch, count, message });
        }
        for DecidedEntry { index, entry } in decided {
            let last = self.chain.last().index;
            if index == last + 1 {
                self.append(now, vec![entry]);
            } else if index <= last {
                // The entry was already received from another member.
                let same = self.chain.entry(index).is_none_or(|known| *known == entry);
                self.counters.invariant_violations += u64::from(!same);
                debug_assert!(same || !self.config.features.decided_only, "two entries at {index}");
            }
        }
    }

    /// Starts or stops the local voter as the current voter set requires. A process that has lost the promises of an
    /// earlier one must not vote in its place.
    pub(super) fn update_voter(&mut self, now: Time) {
        self.last_vote = self.last_vote.max(self.voters.epoch.bootstrap_id);
        let Some(index) = self.config.voter_index() else { return };
        let admitted = self.voters.starts.get(index).copied().unwrap_or(0);
        let is_own = admitted == self.start || admitted != 0 && !self.config.features.readmission;
        if admitted > self.start {
            // The wall clock was set back between two starts, but this process is the later one.
            self.start = admitted + 1;
        }
        let epoch = self.voters.epoch;
        if self.voter.as_ref().is_some_and(|voter| voter.epoch != epoch || !is_own) {
            self.voter = None;
        }
        if self.voter.is_none() && is_own && self.last_vote == epoch.bootstrap_id {
            self.voter = Voter::new(&self.config, index, &self.voters, self.voters_index, now);
            self.next_tick = now;
        }
    }
}
