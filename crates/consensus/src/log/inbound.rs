//! Received messages: decoding, and dispatch by kind.

use super::voting::Applicant;
use super::{Log, StateMachine};
use crate::chain::Epoch;
use crate::config::Time;
use crate::message::{Body, DecodeError, Sender, decode};
use crate::storage::EncodedEntry;
use omnipaxos::messages::Message as OmniPaxosMessage;

impl<M: StateMachine> Log<M> {
    /// Handles a received message.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        match decode(self.config.digest, bytes) {
            Ok((sender, body)) => self.handle(now, sender, body),
            Err(DecodeError::Garbled) => self.counters.garbled += 1,
            Err(DecodeError::Foreign) => self.counters.foreign += 1,
        }
        self.check_invariants();
    }

    /// Handles a decoded message.
    pub(super) fn handle(&mut self, now: Time, sender: Sender, body: Body) {
        let from = sender.address();
        let voter = self.config.voters.iter().position(|address| *address == from);
        match body {
            Body::OmniPaxos { epoch, count, message } => {
                self.handle_omnipaxos(now, sender, CountedMessage { epoch, count, message });
            }
            Body::Propose(command) => self.handle_proposal(now, &command),
            Body::Position { position, unthrottled } => {
                if let Some(voter) = voter {
                    let applicant = Applicant { start: sender.start, position, last_received: now };
                    self.applicants.insert(voter, applicant);
                }
                self.handle_position(now, from, position, unthrottled);
            }
            Body::Entries(batch) => self.handle_entries(now, from, batch),
            Body::SnapshotChunk(chunk) => self.handle_snapshot_chunk(now, from, chunk),
            Body::SnapshotRequest(request) => self.handle_snapshot_request(from, &request),
            Body::BootstrapQuery { nonce } => self.handle_bootstrap_query(now, from, nonce),
            Body::BootstrapStatus(status) => {
                let bootstrap = self.bootstrap.as_mut().filter(|bootstrap| bootstrap.nonce == status.nonce);
                if let Some(bootstrap) = bootstrap {
                    bootstrap.handle_status(voter, sender, &status);
                }
            }
            Body::BootstrapVoteRequest { nonce, voters } => {
                self.handle_vote_request(now, from, nonce, &voters);
            }
            Body::BootstrapVote(vote) => {
                let bootstrap = self.bootstrap.as_mut().filter(|bootstrap| bootstrap.nonce == vote.nonce);
                if let (Some(bootstrap), Some(voter)) = (bootstrap, voter) {
                    bootstrap.handle_vote(voter, sender.start, &vote);
                }
            }
            Body::OutOfBand(bytes) => self.handle_out_of_band(from, bytes),
        }
    }

    /// Handles an `omnipaxos` message. One of another epoch shows that the sender or the local member lacks entries.
    fn handle_omnipaxos(&mut self, now: Time, sender: Sender, counted: CountedMessage) {
        let from = sender.address();
        let Some(index) = self.config.voters.iter().position(|address| *address == from) else { return };
        match &mut self.voter {
            Some(voter) if voter.epoch == counted.epoch => {
                if self.config.features.readmission && voter.starts[index] != sender.start {
                    return;
                }
                voter.receive(now, index, counted.count, counted.message);
                self.apply_decided(now);
            }
            _ if counted.epoch != self.voters.epoch => self.send_position(from, true),
            _ => {}
        }
    }
}

/// An `omnipaxos` message with its epoch and its count.
struct CountedMessage {
    epoch: Epoch,
    count: u64,
    message: OmniPaxosMessage<EncodedEntry>,
}
