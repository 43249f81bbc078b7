//! The local voter's part in the agreement, and the voters of each epoch.
//!
//! A voter keeps its promises in memory only. One that restarts has lost them, so it has no vote until the leader admits it
//! with the voters of a new epoch.

use super::{Log, StateMachine};
use crate::chain::Position;
use crate::config::Time;
use crate::message::Body;
use crate::voter::Voter;
use std::time::Duration;

/// A voter that asks to be admitted must have been heard of within this time.
const APPLICANT_TIMEOUT: Duration = Duration::from_secs(2);
/// It must lack no more than this many entries.
const APPLICANT_MAX_LAG: u64 = 8;
/// The shortest time between two proposals to end an epoch.
const EPOCH_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// A voter's process, as last heard of.
#[derive(Debug)]
pub(super) struct Applicant {
    pub start: u64,
    pub position: Position,
    pub last_received: Time,
}

impl<M: StateMachine> Log<M> {
    /// As the leader, proposes to end the epoch: to admit a voter that has restarted, or because the epoch is long enough.
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

    /// Applies what the voters have agreed on, and sends the agreement's messages.
    pub(super) fn apply_agreed(&mut self, now: Time) {
        let Some(voter) = &mut self.voter else { return };
        let agreed = voter.take_agreed(self.config.features.decided_only);
        let (epoch, outgoing) = (voter.epoch, voter.take_outgoing());
        for outgoing in outgoing {
            let to = self.config.voters[outgoing.to];
            let (count, message) = (outgoing.count, outgoing.message);
            self.send(to, &Body::Agreement { epoch, count, message });
        }
        for indexed in agreed {
            let (index, last) = (indexed.index, self.chain.last().index);
            if index == last + 1 {
                self.append(now, vec![indexed.entry]);
            } else if index <= last {
                // It was learned from other members before.
                let same = self.chain.entry(index).is_none_or(|known| *known == indexed.entry);
                self.counters.invariant_violations += u64::from(!same);
                debug_assert!(same || !self.config.features.decided_only, "two entries at {index}");
            }
        }
    }

    /// Starts or stops the local voter as the current voter set demands. A process that has lost the promises of an earlier
    /// one must not vote in its place.
    pub(super) fn update_voter(&mut self, now: Time) {
        self.last_vote = self.last_vote.max(self.voters.epoch.bootstrap_id);
        let Some(index) = self.config.voter_index() else { return };
        let admitted = self.voters.starts.get(index).copied().unwrap_or(0);
        let is_own = admitted == self.start || admitted != 0 && !self.config.features.readmission;
        if admitted > self.start {
            // The wall clock was set back between two starts; this process is the later one all the same.
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
