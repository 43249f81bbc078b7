//! Proposals: commands of the local member, repeated until they are decided or expire.

use super::{Log, StateMachine};
use crate::config::Time;
use crate::error::ConsensusError;
use crate::message::{Body, MAX_COMMAND};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum number of pending proposals.
pub(super) const MAX_PROPOSALS: usize = 64;
/// Interval at which a proposal is repeated, each time to the next voter.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A command that is not yet known to be decided.
#[derive(Debug)]
pub(super) struct Proposal {
    pub command: Vec<u8>,
    next_attempt: Time,
    expires: Time,
    /// The index of the voter to send it to next, modulo the number of voters.
    next_voter: usize,
}

impl<M: StateMachine> Log<M> {
    /// Proposes a command, and repeats the proposal until the command is decided or the proposal expires.
    pub fn propose(&mut self, now: Time, command: Vec<u8>, expires: Time) -> Result<(), ConsensusError> {
        if command.len() > MAX_COMMAND {
            return Err(ConsensusError::TooLong { length: command.len(), max: MAX_COMMAND });
        }
        if self.proposals.len() >= MAX_PROPOSALS {
            return Err(ConsensusError::TooManyProposals(MAX_PROPOSALS));
        }
        if self.position().bootstrap_id == 0 {
            return Err(ConsensusError::NotBootstrapped);
        }
        if !self.proposals.iter().any(|proposal| proposal.command == command) {
            let next_voter = self.rng.usize(..self.config.voters.len());
            self.proposals.push(Proposal { command, next_attempt: now, expires, next_voter });
        }
        self.next_tick = now;
        Ok(())
    }

    /// Repeats the proposals that are due, and drops those that have expired. A voter that knows a leader proposes
    /// the command itself; otherwise the voters are asked to, in turn.
    pub(super) fn repeat_proposals(&mut self, now: Time) {
        self.proposals.retain(|proposal| proposal.expires > now);
        let mut outgoing = Vec::new();
        for proposal in self.proposals.iter_mut().filter(|proposal| proposal.next_attempt <= now) {
            proposal.next_attempt = now + REPEAT_INTERVAL;
            match self.voter.as_mut().filter(|voter| voter.leader(now).is_some()) {
                Some(voter) => voter.propose(now, &proposal.command),
                None => {
                    let to = proposal.take_next_voter(&self.config.voters, self.config.address);
                    outgoing.push((to, Body::Propose(proposal.command.clone())));
                }
            }
        }
        for (to, body) in outgoing {
            self.send(to, &body);
        }
    }

    /// Handles another member's proposal. A command that is proposed twice may be decided twice; the state machine
    /// must apply it only once.
    pub(super) fn handle_proposal(&mut self, now: Time, command: &[u8]) {
        if command.len() > MAX_COMMAND {
            return;
        }
        if let Some(voter) = &mut self.voter {
            voter.propose(now, command);
            self.apply_decided(now);
        }
    }
}

impl Proposal {
    /// The voter to send the proposal to now: the next one in turn, skipping the local member.
    fn take_next_voter(&mut self, voters: &[SocketAddrV4], own: SocketAddrV4) -> SocketAddrV4 {
        let voter = voters[self.next_voter % voters.len()];
        self.next_voter += 1;
        if voter == own { voters[self.next_voter % voters.len()] } else { voter }
    }
}
