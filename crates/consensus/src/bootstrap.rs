//! A bootstrap: at an operator's command, the log begins a new history from the newest copy that can be reached.

use crate::chain::{BOOTSTRAP_RANDOM_BITS, Epoch, Position, VoterSet};
use crate::config::{Config, Time};
use crate::error::ConsensusError;
use crate::message::{BootstrapStatus, BootstrapVote, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long answers to the query are gathered.
const GATHER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for fetching the newest copy.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for a majority to vote.
const VOTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which the requests of a stage are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Stage {
    /// Asks all members which copy of the log they hold.
    Gather,
    /// Fetches the newest copy.
    Fetch,
    /// Asks the voters to vote for a history that begins with this voter set.
    Vote(VoterSet),
}

/// The next action of the log for its bootstrap.
pub(crate) enum Step {
    /// Nothing is due.
    Nothing,
    /// Send the query to all members.
    Query,
    /// Request this member's copy.
    Fetch(SocketAddrV4),
    /// Send the vote request to all voters.
    RequestVotes(VoterSet),
    /// A majority has granted its vote: begin the new history.
    Done(VoterSet),
    /// The bootstrap failed.
    Failed(ConsensusError),
}

/// A voter's answer to the query.
#[derive(Debug)]
struct VoterStatus {
    /// The start number of its process.
    start: u64,
    /// The highest bootstrap ID that it voted for or knows.
    last_known: u64,
}

/// The newest known copy of the log.
#[derive(Debug)]
struct CopyLocation {
    position: Position,
    holder: SocketAddrV4,
}

/// A bootstrap in progress.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    /// Distinguishes this bootstrap's messages from those of others.
    pub nonce: u64,
    stage: Stage,
    stage_began: Time,
    last_request: Option<Time>,
    /// The voters' answers, by voter index.
    statuses: BTreeMap<usize, VoterStatus>,
    newest: CopyLocation,
    /// The leader that any member reports.
    leader: Option<u8>,
    granted: BTreeSet<usize>,
    rejected: BTreeSet<usize>,
}

impl Bootstrap {
    /// A bootstrap that begins now. `own` is the local position.
    pub fn new(now: Time, nonce: u64, own: Position, address: SocketAddrV4) -> Bootstrap {
        Bootstrap {
            nonce,
            stage: Stage::Gather,
            stage_began: now,
            last_request: None,
            statuses: BTreeMap::new(),
            newest: CopyLocation { position: own, holder: address },
            leader: None,
            granted: BTreeSet::new(),
            rejected: BTreeSet::new(),
        }
    }

    /// Handles a member's answer to the query. `voter` is the sender's index if it is a voter.
    pub fn handle_status(&mut self, voter: Option<usize>, from: Sender, status: &BootstrapStatus) {
        if !matches!(self.stage, Stage::Gather) {
            return;
        }
        if let Some(voter) = voter {
            let last_known = status.last_vote.max(status.position.bootstrap_id);
            self.statuses.insert(voter, VoterStatus { start: from.start, last_known });
        }
        if status.position.beyond(self.newest.position) {
            self.newest = CopyLocation { position: status.position, holder: from.address() };
        }
        self.leader = self.leader.or(status.leader);
    }

    /// Handles a voter's vote.
    pub fn handle_vote(&mut self, voter: usize, start: u64, vote: &BootstrapVote) {
        if let Stage::Vote(voters) = &self.stage
            && voters.epoch.bootstrap_id == vote.bootstrap_id
            && voters.starts.get(voter) == Some(&start)
        {
            let votes = if vote.granted { &mut self.granted } else { &mut self.rejected };
            votes.insert(voter);
        }
    }

    /// The next step.
    pub fn step(&mut self, config: &Config, now: Time, own: Position) -> Step {
        let resend = self.last_request.is_none_or(|requested| requested + RESEND_INTERVAL <= now);
        if resend {
            self.last_request = Some(now);
        }
        match &self.stage {
            Stage::Gather if now < self.stage_began + GATHER_TIMEOUT => step_if(resend, || Step::Query),
            Stage::Gather => self.finish_gathering(config, now),
            Stage::Fetch if self.newest.position.beyond(own) => {
                if now >= self.stage_began + FETCH_TIMEOUT {
                    return Step::Failed(ConsensusError::CopyNotReached(self.newest.position.index));
                }
                step_if(resend, || Step::Fetch(self.newest.holder))
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
                let rejected = self.rejected.len() > config.voters.len() - config.majority();
                if rejected || now >= self.stage_began + VOTE_TIMEOUT {
                    return Step::Failed(ConsensusError::Contested);
                }
                step_if(resend, || Step::RequestVotes(voters.clone()))
            }
        }
    }

    /// Ends the query stage. A bootstrap while the voters have a leader would lose the entries that they still
    /// decide.
    fn finish_gathering(&mut self, config: &Config, now: Time) -> Step {
        let reached = self.statuses.len();
        if reached < config.majority() {
            return Step::Failed(ConsensusError::NoMajority { reached, of: config.voters.len() });
        }
        if let Some(leader) = self.leader {
            return Step::Failed(ConsensusError::HasLeader(usize::from(leader)));
        }
        self.enter(now, Stage::Fetch);
        Step::Nothing
    }

    /// The voter set of the first epoch after this bootstrap, whose ID is higher than all known ones.
    fn new_voters(&self, config: &Config, own: Position) -> VoterSet {
        let known = self.statuses.values().map(|status| status.last_known).max().unwrap_or(0);
        let count = (known.max(own.bootstrap_id) >> BOOTSTRAP_RANDOM_BITS) + 1;
        let random_bits = self.nonce & ((1 << BOOTSTRAP_RANDOM_BITS) - 1);
        let bootstrap_id = count << BOOTSTRAP_RANDOM_BITS | random_bits;
        let start = |voter| self.statuses.get(&voter).map_or(0, |status| status.start);
        let starts = (0..config.voters.len()).map(start).collect();
        VoterSet { epoch: Epoch { bootstrap_id, number: 0 }, starts }
    }

    fn enter(&mut self, now: Time, stage: Stage) {
        self.stage = stage;
        self.stage_began = now;
        self.last_request = None;
    }
}

fn step_if(due: bool, step: impl FnOnce() -> Step) -> Step {
    if due { step() } else { Step::Nothing }
}
