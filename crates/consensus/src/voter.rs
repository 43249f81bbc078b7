//! The local voter in one epoch: its `omnipaxos` instance, and which other voters are reachable.

use crate::chain::{Entry, Epoch, VoterSet};
use crate::config::{Config, Time};
use crate::storage::{EncodedEntry, EpochStorage};
use omnipaxos::messages::Message as OmniPaxosMessage;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::collections::VecDeque;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Ticks of one heartbeat round of the leader election.
const ELECTION_TICKS: u64 = 5;
/// Ticks after which a message counts as lost and is sent again.
const RESEND_TICKS: u64 = 10;
/// A voter from which nothing has arrived for this many ticks counts as unreachable.
const UNREACHABLE_TICKS: u32 = 25;
/// Maximum number of proposals that are not decided yet.
const MAX_UNDECIDED: usize = 64;

/// Messages are counted separately by channel: log replication and leader election.
const CHANNELS: usize = 2;

/// Which of the last 64 messages of one voter and channel arrived.
#[derive(Debug, Clone, Copy, Default)]
struct ReceivedWindow {
    /// The highest count received.
    last: u64,
    /// A bit for each of the counts up to `last`, the lowest for `last` itself.
    arrived: u64,
}

impl ReceivedWindow {
    /// Records a count if it is higher than all before; returns whether it is.
    fn advance(&mut self, count: u64) -> bool {
        if count <= self.last {
            return false;
        }
        self.arrived = shift_left(self.arrived, count - self.last) | 1;
        self.last = count;
        true
    }

    /// Records a count that is not higher; returns whether it is new and within the window.
    fn fill_gap(&mut self, count: u64) -> bool {
        let bit = shift_left(1, self.last - count);
        let new = bit != 0 && self.arrived & bit == 0;
        self.arrived |= bit;
        new
    }
}

fn shift_left(bits: u64, by: u64) -> u64 {
    bits.checked_shl(by as u32).unwrap_or(0)
}

/// A message to another voter.
pub(crate) struct OutgoingMessage {
    /// The receiver's index among the voters.
    pub to: usize,
    /// The number of messages of its channel sent to the receiver, this one included.
    pub count: u64,
    pub message: OmniPaxosMessage<EncodedEntry>,
}

/// A decided entry and its index in the log.
pub(crate) struct DecidedEntry {
    pub index: u64,
    pub entry: Entry,
}

fn channel(message: &OmniPaxosMessage<EncodedEntry>) -> usize {
    usize::from(is_election(message))
}

fn is_election(message: &OmniPaxosMessage<EncodedEntry>) -> bool {
    matches!(message, OmniPaxosMessage::BLE(_))
}

/// The local voter in one epoch.
pub(crate) struct Voter {
    node: OmniPaxos<EncodedEntry, EpochStorage>,
    pub epoch: Epoch,
    pub starts: Vec<u64>,
    /// The local member's index among the voters.
    index: usize,
    /// The index in the log of the entry that named this epoch's voters.
    base: u64,
    /// The number of the instance's entries that were read so far.
    entries_read: usize,
    /// When each voter's last message arrived.
    last_received: Vec<Option<Time>>,
    /// The number of messages sent to each voter.
    sent: Vec<[u64; CHANNELS]>,
    /// The messages received from each voter.
    received: Vec<[ReceivedWindow; CHANNELS]>,
    unreachable_after: Duration,
    /// When there last was a leader, or no majority was reachable; the deadlock check counts from here.
    last_led: Time,
    /// Recent proposals: the hash of the entry, and when it was proposed.
    proposed: VecDeque<(u64, Time)>,
    /// The entry that ends the epoch was read.
    ended: bool,
}

fn cluster_config(epoch: Epoch, voters: usize) -> ClusterConfig {
    ClusterConfig {
        configuration_id: epoch.number + 1,
        nodes: (1..=voters as u64).collect(),
        flexible_quorum: None,
    }
}

impl Voter {
    /// The voter `index` at the start of an epoch; `base` is the index in the log of the entry that named the epoch's
    /// voters.
    pub fn new(config: &Config, index: usize, voter_set: &VoterSet, base: u64, now: Time) -> Option<Voter> {
        let server = ServerConfig {
            pid: index as u64 + 1,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        };
        let voters = voter_set.starts.len();
        let node =
            cluster_config(voter_set.epoch, voters).build_for_server(server, EpochStorage::default()).ok()?;
        let mut last_received = vec![None; voters];
        last_received[index] = Some(now);
        Some(Voter {
            node,
            epoch: voter_set.epoch,
            starts: voter_set.starts.clone(),
            index,
            base,
            entries_read: 0,
            last_received,
            sent: vec![[0; CHANNELS]; voters],
            received: vec![Default::default(); voters],
            unreachable_after: config.tick_interval * UNREACHABLE_TICKS,
            last_led: now,
            proposed: VecDeque::new(),
            ended: false,
        })
    }

    /// Handles the `count`th message of its channel from another voter of this epoch.
    ///
    /// `omnipaxos` tolerates lost messages, but treats a duplicate or an overtaken message as a new one: it would
    /// overwrite accepted entries, or count a vote twice. So overtaken messages of log replication are dropped, and
    /// each message of the leader election is handled only once. Sender and receiver are checked here, because
    /// `omnipaxos` does not.
    pub fn receive(&mut self, now: Time, from: usize, count: u64, message: OmniPaxosMessage<EncodedEntry>) {
        let window = &mut self.received[from][channel(&message)];
        let is_new = window.advance(count) || is_election(&message) && window.fill_gap(count);
        if !is_new {
            return;
        }
        let (sender, receiver) = (message.get_sender(), message.get_receiver());
        if sender == from as u64 + 1 && receiver == self.index as u64 + 1 && from != self.index {
            self.last_received[from] = Some(now);
            self.node.handle_incoming(message);
        }
    }

    /// Advances the instance's logical clock by a tick.
    pub fn tick(&mut self, now: Time) {
        self.last_received[self.index] = Some(now);
        self.node.tick();
        self.break_election_deadlock(now);
        while self.proposed.front().is_some_and(|(_, at)| *at + self.unreachable_after < now) {
            self.proposed.pop_front();
        }
    }

    /// Under message loss, the leader that `omnipaxos` elected may remain a follower of its own ballot forever, while
    /// all others regard it as their leader. If there is no leader although a majority is reachable, the voters try
    /// to become leader, each after a different delay.
    fn break_election_deadlock(&mut self, now: Time) {
        if self.leader(now).is_some() || !self.reaches_majority(now) {
            self.last_led = now;
        } else if self.last_led + self.unreachable_after * (2 + self.index as u32) < now {
            self.last_led = now;
            self.node.try_become_leader();
        }
    }

    /// Takes the messages that the instance wants to send.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        self.node.take_outgoing_messages(&mut messages);
        messages.into_iter().map(|message| self.count_outgoing(message)).collect()
    }

    fn count_outgoing(&mut self, message: OmniPaxosMessage<EncodedEntry>) -> OutgoingMessage {
        let to = message.get_receiver() as usize - 1;
        let sent = &mut self.sent[to][channel(&message)];
        *sent += 1;
        OutgoingMessage { to, count: *sent, message }
    }

    /// Takes the decided entries that were not read yet; with `decided_only` off, an injected defect, accepted ones
    /// too. The first voter set ends the epoch.
    ///
    /// Entries after the end of the epoch are decided in one order too, but are not read: their proposers propose
    /// them again in the next epoch. The stop-sign of `omnipaxos` is not used to end the epoch: if the leader changes
    /// between its acceptance and its decision, `omnipaxos` counts it twice, and readers skip the entries before it.
    pub fn take_decided(&mut self, decided_only: bool) -> Vec<DecidedEntry> {
        let log_entries = if decided_only {
            self.node.read_decided_suffix(self.entries_read)
        } else {
            self.node.read_entries(self.entries_read..)
        };
        let mut decided = Vec::new();
        for log_entry in log_entries.unwrap_or_default() {
            let (LogEntry::Decided(encoded) | LogEntry::Undecided(encoded)) = log_entry else { break };
            let Some(entry) = decode_entry(&encoded).filter(|_| !self.ended) else { break };
            self.ended = matches!(entry, Entry::Voters(_));
            self.entries_read += 1;
            decided.push(DecidedEntry { index: self.base + self.entries_read as u64, entry });
        }
        decided
    }

    /// The number of decided entries of this epoch that were read.
    pub fn length(&self) -> usize {
        self.entries_read
    }

    fn is_reachable(&self, now: Time, voter: usize) -> bool {
        let last_received = self.last_received.get(voter).copied().flatten();
        last_received.is_some_and(|at| now < at + self.unreachable_after)
    }

    fn reaches_majority(&self, now: Time) -> bool {
        let voters = self.last_received.len();
        (0..voters).filter(|voter| self.is_reachable(now, *voter)).count() * 2 > voters
    }

    /// The leader, if it and a majority are reachable.
    pub fn leader(&self, now: Time) -> Option<usize> {
        let (leader, accepted) = self.node.get_current_leader()?;
        let leader = (leader as usize).checked_sub(1)?;
        (accepted && self.reaches_majority(now) && self.is_reachable(now, leader)).then_some(leader)
    }

    /// Whether the local member leads.
    pub fn leads(&self, now: Time) -> bool {
        self.leader(now) == Some(self.index)
    }

    /// Proposes a command, unless there is no leader, it was proposed recently, or too many proposals are undecided.
    pub fn propose(&mut self, now: Time, command: &[u8]) {
        self.append(now, &Entry::Command(command.to_vec()));
    }

    /// Proposes the end of the epoch; `starts` are the start numbers of the next epoch's voters.
    pub fn end_epoch(&mut self, now: Time, starts: Vec<u64>) {
        let epoch = Epoch { number: self.epoch.number + 1, ..self.epoch };
        self.append(now, &Entry::Voters(VoterSet { epoch, starts }));
    }

    fn append(&mut self, now: Time, entry: &Entry) {
        let bytes = postcard::to_stdvec(entry).unwrap_or_default();
        let hash = xxh3_64(&bytes);
        let undecided = self.node.get_accepted_idx().saturating_sub(self.node.get_decided_idx());
        let too_many = undecided >= MAX_UNDECIDED || self.proposed.len() >= MAX_UNDECIDED;
        // Without a leader, `omnipaxos` would keep proposals forever.
        if self.leader(now).is_none() || too_many || self.ended {
            return;
        }
        if !self.proposed.iter().any(|(proposed, _)| *proposed == hash) {
            self.proposed.push_back((hash, now));
            // A rejected proposal is repeated by the member that made it.
            let _ = self.node.append(EncodedEntry(bytes));
        }
    }
}

/// Decodes an entry; `None` if the bytes are not a valid one.
fn decode_entry(encoded: &EncodedEntry) -> Option<Entry> {
    postcard::from_bytes(&encoded.0).ok()
}
