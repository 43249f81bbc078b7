//! A bootstrap: at an operator's command the log begins a new history from the newest copy that can be reached.

use crate::chain::{BOOTSTRAP_RANDOM_BITS, Epoch, Position, VoterSet};
use crate::config::{Config, Time};
use crate::error::ConsensusError;
use crate::message::{BootstrapStatus, BootstrapVote, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Answers to the query are gathered for this long.
const GATHER_TIMEOUT: Duration = Duration::from_millis(800);
/// The newest copy must be fetched within this.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// A majority must vote within this.
const VOTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Questions are repeated at this interval.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Stage {
    /// Members are asked what they hold.
    Gather,
    /// The newest copy is fetched.
    Fetch,
    /// Voters are asked to vote for a history that begins with these voters.
    Vote(VoterSet),
}

/// What the log is to do for a bootstrap.
pub(crate) enum Step {
    /// Nothing now.
    Nothing,
    /// Ask all members what they hold.
    Query,
    /// Ask this member for its copy.
    Fetch(SocketAddrV4),
    /// Ask the voters for their votes.
    RequestVotes(VoterSet),
    /// A majority has voted for it: begin the new history.
    Done(VoterSet),
    /// Give up.
    Failed(ConsensusError),
}

/// What a voter answered to the query.
#[derive(Debug)]
struct VoterStatus {
    /// The start of its process.
    start: u64,
    /// The last bootstrap that it voted for or knows.
    last_known: u64,
}

/// Where a copy of the log is.
#[derive(Debug)]
struct CopyLocation {
    position: Position,
    holder: SocketAddrV4,
}

/// A bootstrap in progress.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    /// Tells this bootstrap's messages from others'.
    pub nonce: u64,
    stage: Stage,
    stage_began: Time,
    last_asked: Option<Time>,
    /// The voters' answers, by voter index.
    voters: BTreeMap<usize, VoterStatus>,
    newest: CopyLocation,
    leader: Option<u8>,
    granted: BTreeSet<usize>,
    refused: BTreeSet<usize>,
}

impl Bootstrap {
    /// A bootstrap that begins now. `own` is the local position.
    pub fn new(now: Time, nonce: u64, own: Position, address: SocketAddrV4) -> Bootstrap {
        Bootstrap {
            nonce,
            stage: Stage::Gather,
            stage_began: now,
            last_asked: None,
            voters: BTreeMap::new(),
            newest: CopyLocation { position: own, holder: address },
            leader: None,
            granted: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Handles a member's answer to the query. `voter` is the sender's index if it is a voter.
    pub fn handle_status(&mut self, voter: Option<usize>, from: Sender, status: &BootstrapStatus) {
        if !matches!(self.stage, Stage::Gather) {
            return;
        }
        if let Some(voter) = voter {
            let last_known = status.last_vote.max(status.position.bootstrap_id);
            self.voters.insert(voter, VoterStatus { start: from.start, last_known });
        }
        if status.position.beyond(self.newest.position) {
            self.newest = CopyLocation { position: status.position, holder: from.address() };
        }
        self.leader = self.leader.or(status.leader);
    }

    /// Handles a voter's vote.
    pub fn handle_vote(&mut self, voter: usize, start: u64, vote: &BootstrapVote) {
        if let Stage::Vote(voters) = &self.stage
            && voters.epoch.bootstrap_id == vote.bootstrap
            && voters.starts.get(voter) == Some(&start)
        {
            let votes = if vote.granted { &mut self.granted } else { &mut self.refused };
            votes.insert(voter);
        }
    }

    /// The next step.
    pub fn step(&mut self, config: &Config, now: Time, own: Position) -> Step {
        let ask = self.last_asked.is_none_or(|asked| asked + ASK_INTERVAL <= now);
        if ask {
            self.last_asked = Some(now);
        }
        match &self.stage {
            Stage::Gather if now < self.stage_began + GATHER_TIMEOUT => step_if(ask, || Step::Query),
            Stage::Gather => self.finish_gathering(config, now),
            Stage::Fetch if self.newest.position.beyond(own) => {
                if now >= self.stage_began + FETCH_TIMEOUT {
                    return Step::Failed(ConsensusError::CopyNotReached(self.newest.position.index));
                }
                step_if(ask, || Step::Fetch(self.newest.holder))
            }
            Stage::Fetch => {
                let voters = self.new_voters(config, own);
                self.enter(now, Stage::Vote(voters));
                Step::Nothing
            }
            Stage::Vote(voters) => {
                if self.granted.len() >= config.majority() {
                    return Step::Done(voters.clone());
                }
                let lost = self.refused.len() > config.voters.len() - config.majority();
                if lost || now >= self.stage_began + VOTE_TIMEOUT {
                    return Step::Failed(ConsensusError::Contested);
                }
                step_if(ask, || Step::RequestVotes(voters.clone()))
            }
        }
    }

    /// Ends the first stage. A bootstrap beside voters that agree would lose what they go on to agree on.
    fn finish_gathering(&mut self, config: &Config, now: Time) -> Step {
        let reached = self.voters.len();
        if reached < config.majority() {
            return Step::Failed(ConsensusError::NoMajority { reached, of: config.voters.len() });
        }
        if let Some(leader) = self.leader {
            return Step::Failed(ConsensusError::HasLeader(usize::from(leader)));
        }
        self.enter(now, Stage::Fetch);
        Step::Nothing
    }

    /// The voters of the first epoch after this bootstrap, whose number is higher than all that are known.
    fn new_voters(&self, config: &Config, own: Position) -> VoterSet {
        let known = self.voters.values().map(|voter| voter.last_known).max().unwrap_or(0);
        let times = (known.max(own.bootstrap_id) >> BOOTSTRAP_RANDOM_BITS) + 1;
        let random_bits = self.nonce & ((1 << BOOTSTRAP_RANDOM_BITS) - 1);
        let bootstrap_id = times << BOOTSTRAP_RANDOM_BITS | random_bits;
        let start = |voter| self.voters.get(&voter).map_or(0, |status| status.start);
        let starts = (0..config.voters.len()).map(start).collect();
        VoterSet { epoch: Epoch { bootstrap_id, number: 0 }, starts }
    }

    fn enter(&mut self, now: Time, stage: Stage) {
        self.stage = stage;
        self.stage_began = now;
        self.last_asked = None;
    }
}

fn step_if(due: bool, step: impl FnOnce() -> Step) -> Step {
    if due { step() } else { Step::Nothing }
}
