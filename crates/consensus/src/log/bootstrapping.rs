//! Bootstraps: those that the local member runs, and its vote on those of others.

use super::{Log, StateMachine};
use crate::bootstrap::{Bootstrap, Step};
use crate::chain::{BOOTSTRAP_RANDOM_BITS, Entry, Position, VoterSet};
use crate::config::Time;
use crate::error::ConsensusError;
use crate::message::{Body, BootstrapStatus, BootstrapVote};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A vote is held for this long: by then the bootstrap's voters agree, or it has failed.
const VOTE_HOLD: Duration = Duration::from_secs(3);

impl<M: StateMachine> Log<M> {
    /// Starts a bootstrap; [`Log::bootstrap_result`] returns its result.
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

    /// Takes the result of the last bootstrap, once it is there.
    pub fn bootstrap_result(&mut self) -> Option<Result<Position, ConsensusError>> {
        self.bootstrap_result.take()
    }

    /// Carries out the next step of the bootstrap, if one is running.
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

    /// Answers a bootstrap query.
    pub(super) fn handle_bootstrap_query(&mut self, now: Time, from: SocketAddrV4, nonce: u64) {
        let leader = self.leader(now).map(|index| index as u8);
        let status = BootstrapStatus { nonce, position: self.position(), leader, last_vote: self.last_vote };
        self.send_all(now, vec![from], &Body::BootstrapStatus(status));
    }

    /// Votes on a bootstrap that would begin with these voters.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        nonce: u64,
        voters: &VoterSet,
    ) {
        let bootstrap = voters.epoch.bootstrap_id;
        let granted = self.grant_vote(now, voters);
        let vote = BootstrapVote { nonce, bootstrap, granted };
        self.send_all(now, vec![from], &Body::BootstrapVote(vote));
    }

    /// Grants at most one bootstrap a vote; from then on the local voter takes no part in the former history.
    fn grant_vote(&mut self, now: Time, voters: &VoterSet) -> bool {
        let Some(index) = self.config.voter_index() else { return false };
        let bootstrap = voters.epoch.bootstrap_id;
        let times = |bootstrap: u64| bootstrap >> BOOTSTRAP_RANDOM_BITS;
        let repeated = bootstrap == self.last_vote && self.position().bootstrap_id < bootstrap;
        let newer = times(bootstrap) > times(self.last_vote) || !self.config.features.single_vote;
        if voters.starts.get(index) != Some(&self.start) || !(repeated || newer) {
            return false;
        }
        // A bootstrap right after another, or beside voters that agree, would lose their commands.
        let held = self.voted_at.is_some_and(|at| now < at + VOTE_HOLD) || self.leader(now).is_some();
        if !repeated && held && self.config.features.single_vote {
            return false;
        }
        self.voted_at = Some(now);
        self.last_vote = bootstrap;
        self.voter = None;
        true
    }
}
