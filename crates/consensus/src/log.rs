//! One member's replica of the log.
//!
//! | module | job |
//! | --- | --- |
//! | `state_machine` | the interface of the replicated state machine |
//! | `status` | the replica's position and counters, for operators |
//! | `proposals` | pending commands of the local member |
//! | `voting` | the local voter, and the voter set of each epoch |
//! | `replication` | positions and entries between members |
//! | `snapshots` | snapshots, and their transfer in chunks |
//! | `bootstrapping` | the local member's bootstrap, and its votes on those of others |
//! | `out_of_band` | unreliable messages of the log's user |
//! | `inbound` | received messages |

mod bootstrapping;
mod inbound;
mod out_of_band;
mod proposals;
mod replication;
mod snapshots;
mod state_machine;
mod status;
mod voting;

use crate::bootstrap::Bootstrap;
use crate::chain::{Chain, Position, Snapshot, VoterSet};
use crate::config::{Config, Time};
use crate::error::ConsensusError;
use crate::message::{Body, Sender, encode};
use crate::voter::Voter;
use out_of_band::OutOfBandMessage;
use proposals::Proposal;
use snapshots::SnapshotTransfer;
pub use state_machine::StateMachine;
pub use status::{Counters, Status};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use voting::Applicant;

/// Another member that this one may exchange entries with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The peer's address.
    pub address: SocketAddrV4,
    /// Whether the peer is near, and so preferred.
    pub near: bool,
}

/// One member's replica of the log.
pub struct Log<M> {
    config: Config,
    /// The start number of this process; higher than that of every earlier process at this address.
    start: u64,
    machine: M,
    chain: Chain,
    voters: VoterSet,
    /// The index of the entry that named the voters.
    voters_index: u64,
    snapshot: Option<Snapshot>,
    voter: Option<Voter>,
    /// The ID of the last bootstrap that the local member voted for or knows.
    last_vote: u64,
    /// When the local voter last granted a vote.
    voted_at: Option<Time>,
    bootstrap: Option<Bootstrap>,
    bootstrap_result: Option<Result<Position, ConsensusError>>,
    transfer: Option<SnapshotTransfer>,
    /// The voters' last reported processes, by voter index; those that restarted may be readmitted.
    applicants: BTreeMap<usize, Applicant>,
    /// The earliest time at which the leader may propose the end of an epoch.
    next_epoch_change: Time,
    peers: Vec<Peer>,
    proposals: Vec<Proposal>,
    /// When entries were last requested.
    last_request: Time,
    next_tick: Time,
    next_gossip: Time,
    rng: fastrand::Rng,
    outgoing: VecDeque<(SocketAddrV4, Vec<u8>)>,
    out_of_band: VecDeque<OutOfBandMessage>,
    counters: Counters,
}

impl<M: StateMachine> Log<M> {
    /// An empty replica. The start number must be higher than that of every earlier process at this address.
    pub fn new(config: Config, now: Time, start: u64, seed: u64) -> Log<M> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let next_gossip = now + config.gossip_interval.mul_f64(rng.f64());
        Log {
            start: start.max(1),
            machine: M::fresh(),
            chain: Chain::default(),
            voters: VoterSet::default(),
            voters_index: 0,
            snapshot: None,
            voter: None,
            last_vote: 0,
            voted_at: None,
            bootstrap: None,
            bootstrap_result: None,
            transfer: None,
            applicants: BTreeMap::new(),
            next_epoch_change: now,
            peers: Vec::new(),
            proposals: Vec::new(),
            last_request: Time::ZERO,
            next_tick: now + config.tick_interval,
            next_gossip,
            rng,
            outgoing: VecDeque::new(),
            out_of_band: VecDeque::new(),
            counters: Counters::default(),
            config,
        }
    }

    /// Sets the members to exchange entries with.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// The next message to send: the receiver and the bytes.
    pub fn output(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.outgoing.pop_front()
    }

    /// When [`Log::tick`] is due.
    pub fn next_at(&self) -> Time {
        let in_consensus = self.voter.is_some() || self.bootstrap.is_some();
        let busy = in_consensus || !self.proposals.is_empty() || self.transfer.is_some();
        if busy { self.next_tick.min(self.next_gossip) } else { self.next_gossip }
    }

    /// Carries out all actions that are due.
    pub fn tick(&mut self, now: Time) {
        if now >= self.next_tick {
            self.next_tick = now + self.config.tick_interval;
            if let Some(voter) = &mut self.voter {
                voter.tick(now);
            }
            self.propose_epoch_change(now);
            self.continue_bootstrap(now);
            self.repeat_proposals(now);
            self.continue_transfer(now);
            self.apply_decided(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_interval.mul_f64(0.75 + 0.5 * self.rng.f64());
            self.gossip_position();
        }
        self.check_invariants();
    }

    fn send(&mut self, to: SocketAddrV4, body: &Body) {
        let sender = Sender::new(self.config.address, self.start);
        let bytes = encode(self.config.digest, sender, body);
        self.outgoing.push_back((to, bytes));
    }

    /// Sends a message to several members; the local member, if it is among them, handles it at once.
    fn send_all(&mut self, now: Time, receivers: Vec<SocketAddrV4>, body: &Body) {
        for receiver in receivers {
            if receiver == self.config.address {
                self.handle(now, Sender::new(receiver, self.start), body.clone());
            } else {
                self.send(receiver, body);
            }
        }
    }

    /// Checks the invariants that must hold after each step.
    fn check_invariants(&mut self) {
        let position = self.position();
        let holds = position.bootstrap_id == self.voters.epoch.bootstrap_id
            && self.voters_index <= position.index
            && self.proposals.len() <= proposals::MAX_PROPOSALS
            && self.voter.as_ref().is_none_or(|voter| voter.epoch <= self.voters.epoch);
        self.counters.invariant_violations += u64::from(!holds);
        debug_assert!(
            holds,
            "invariant violated at bootstrap {}: voters {:?} named at index {}",
            position.bootstrap_id, self.voters, self.voters_index
        );
    }
}
