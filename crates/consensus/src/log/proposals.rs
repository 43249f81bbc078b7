//! Proposals: commands of the local member, repeated until they are agreed on or expire.

use super::{Log, StateMachine};
use crate::config::Time;
use crate::error::ConsensusError;
use crate::message::{Body, MAX_COMMAND};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The most proposals that wait for agreement.
pub(super) const MAX_PROPOSALS: usize = 64;
/// A proposal is repeated, to another voter, at this interval.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A command that waits for agreement.
#[derive(Debug)]
pub(super) struct Proposal {
    pub command: Vec<u8>,
    next_attempt: Time,
    expires: Time,
    /// Which voter to send it to next, modulo the number of voters.
    turn: usize,
}

impl<M: StateMachine> Log<M> {
    /// Proposes a command, and repeats it until it is agreed on or `until` has passed.
    pub fn propose(&mut self, now: Time, command: Vec<u8>, until: Time) -> Result<(), ConsensusError> {
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
            let turn = self.rng.usize(..self.config.voters.len());
            self.proposals.push(Proposal { command, next_attempt: now, expires: until, turn });
        }
        self.next_tick = now;
        Ok(())
    }

    /// Repeats the proposals that are due, and drops those that have expired. A voter that knows a leader proposes itself;
    /// otherwise voters are asked in turn.
    pub(super) fn repeat_proposals(&mut self, now: Time) {
        self.proposals.retain(|proposal| proposal.expires > now);
        let mut outgoing = Vec::new();
        for proposal in self.proposals.iter_mut().filter(|proposal| proposal.next_attempt <= now) {
            proposal.next_attempt = now + REPEAT_INTERVAL;
            match self.voter.as_mut().filter(|voter| voter.leader(now).is_some()) {
                Some(voter) => voter.propose(now, &proposal.command),
                None => {
                    let to = proposal.next_voter(&self.config.voters, self.config.address);
                    outgoing.push((to, Body::Propose(proposal.command.clone())));
                }
            }
        }
        for (to, body) in outgoing {
            self.send(to, &body);
        }
    }

    /// Handles another member's proposal. A command that is proposed twice is agreed on twice and takes effect once: the state
    /// machine sees to that.
    pub(super) fn handle_proposal(&mut self, now: Time, command: &[u8]) {
        if command.len() > MAX_COMMAND {
            return;
        }
        if let Some(voter) = &mut self.voter {
            voter.propose(now, command);
            self.apply_agreed(now);
        }
    }
}

impl Proposal {
    /// The voter to send it to now: the next one in turn, but not the local member.
    fn next_voter(&mut self, voters: &[SocketAddrV4], own: SocketAddrV4) -> SocketAddrV4 {
        let voter = voters[self.turn % voters.len()];
        self.turn += 1;
        if voter == own { voters[self.turn % voters.len()] } else { voter }
    }
}
