//! Bootstraps: the one that the local member runs, and its votes on those of others.

use super::{Log, StateMachine};
use crate::bootstrap::{Bootstrap, Step};
use crate::chain::{BOOTSTRAP_RANDOM_BITS, Entry, Position, VoterSet};
use crate::config::Time;
use crate::error::ConsensusError;
use crate::message::{Body, BootstrapStatus, BootstrapVote};
use std::net::SocketAddrV4;
use std::time::Duration;

/// For this long after a vote, the voter grants no other. By then the bootstrap's voters have a leader, or it has
/// failed.
const VOTE_HOLD: Duration = Duration::from_secs(3);

impl<M: StateMachine> Log<M> {
    /// Starts a bootstrap; [`Log::bootstrap_result`] returns its result later.
    pub fn bootstrap(&mut self, now: Time) -> Result<(), ConsensusError> {
        if self.bootstrap.is_some() {
            return Err(ConsensusError::BootstrapInProgress);
        }
        let position = self.position();
        self.bootstrap = Some(Bootstrap::new(now, self.rng.u64(1..), position, self.config.address));
        self.bootstrap_result = None;
        self.next_tick = now;
        Ok(())
    }

    /// Takes the result of the last bootstrap once it has ended.
    pub fn bootstrap_result(&mut self) -> Option<Result<Position, ConsensusError>> {
        self.bootstrap_result.take()
    }

    /// Carries out the next step of the local member's bootstrap, if one is running.
    pub(super) fn continue_bootstrap(&mut self, now: Time) {
        let position = self.position();
        let Some(bootstrap) = &mut self.bootstrap else { return };
        let nonce = bootstrap.nonce;
        match bootstrap.step(&self.config, now, position) {
            Step::Nothing => {}
            Step::Query => {
                let members = self.known_members();
                self.send_all(now, members, &Body::BootstrapQuery { nonce });
            }
            Step::Fetch(holder) => self.send_position(holder, true),
            Step::RequestVotes(voters) => {
                let receivers = self.config.voters.clone();
                self.send_all(now, receivers, &Body::BootstrapVoteRequest { nonce, voters });
            }
            Step::Done(voters) => {
                self.bootstrap = None;
                self.append(now, vec![Entry::Voters(voters)]);
                self.bootstrap_result = Some(Ok(self.position()));
            }
            Step::Failed(error) => {
                self.bootstrap = None;
                self.bootstrap_result = Some(Err(error));
            }
        }
    }

    /// The addresses of all peers and voters.
    fn known_members(&self) -> Vec<SocketAddrV4> {
        let mut members: Vec<SocketAddrV4> = self.peers.iter().map(|peer| peer.address).collect();
        members.extend(&self.config.voters);
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Answers the query of a bootstrap.
    pub(super) fn handle_bootstrap_query(&mut self, now: Time, from: SocketAddrV4, nonce: u64) {
        let leader = self.leader(now).map(|index| index as u8);
        let status = BootstrapStatus { nonce, position: self.position(), leader, last_vote: self.last_vote };
        self.send_all(now, vec![from], &Body::BootstrapStatus(status));
    }

    /// Votes on a bootstrap that would begin with this voter set.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        nonce: u64,
        voters: &VoterSet,
    ) {
        let bootstrap_id = voters.epoch.bootstrap_id;
        let granted = self.grant_vote(now, voters);
        let vote = BootstrapVote { nonce, bootstrap_id, granted };
        self.send_all(now, vec![from], &Body::BootstrapVote(vote));
    }

    /// Decides on a vote; only one bootstrap at a time is granted it. A voter that grants its vote stops taking part
    /// in the current history.
    fn grant_vote(&mut self, now: Time, voters: &VoterSet) -> bool {
        let Some(index) = self.config.voter_index() else { return false };
        let bootstrap_id = voters.epoch.bootstrap_id;
        let count = |bootstrap_id: u64| bootstrap_id >> BOOTSTRAP_RANDOM_BITS;
        let repeated = bootstrap_id == self.last_vote && self.position().bootstrap_id < bootstrap_id;
        let newer = count(bootstrap_id) > count(self.last_vote) || !self.config.features.single_vote;
        if voters.starts.get(index) != Some(&self.start) || !(repeated || newer) {
            return false;
        }
        // A bootstrap right after another one, or while the voters have a leader, would lose the commands decided
        // meanwhile.
        let held = self.voted_at.is_some_and(|at| now < at + VOTE_HOLD) || self.leader(now).is_some();
        if !repeated && held && self.config.features.single_vote {
            return false;
        }
        self.voted_at = Some(now);
        self.last_vote = bootstrap_id;
        self.voter = None;
        true
    }
}
