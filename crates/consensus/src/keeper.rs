//! A keeper's seat in one epoch: the library's instance, and who is heard of.

use crate::chain::{Council, Epoch, Item};
use crate::config::{Config, Time};
use crate::memory::{Memory, Word};
use omnipaxos::messages::Message as Agreement;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::collections::VecDeque;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Ticks of one round of the election, and after which a message counts as lost.
const ROUND: u64 = 5;
const AGAIN: u64 = 10;
/// Who was not heard of for so many ticks is not there.
const SILENT: u32 = 25;
/// Words that were taken on and are not decided yet, at most.
const OPEN: usize = 64;

/// A seat.
pub(crate) struct Seat {
    node: OmniPaxos<Word, Memory>,
    pub epoch: Epoch,
    pub starts: Vec<u64>,
    place: usize,
    /// The log's index of the entry that named this council.
    base: u64,
    /// So many of the instance's entries have been read.
    read: usize,
    heard: Vec<Option<Time>>,
    /// Messages to each place, of the agreement and of the election; and from each: the last, and which came of the
    /// 64 up to it.
    sent: Vec<[u64; 2]>,
    seen: Vec<[(u64, u64); 2]>,
    silent: Duration,
    /// When somebody last led, or not enough were heard.
    led: Time,
    said: VecDeque<(u64, Time)>,
    ended: bool,
}

fn cluster(epoch: Epoch, seats: usize) -> ClusterConfig {
    ClusterConfig {
        configuration_id: epoch.number + 1,
        nodes: (1..=seats as u64).collect(),
        flexible_quorum: None,
    }
}

impl Seat {
    pub fn new(config: &Config, place: usize, council: &Council, base: u64, now: Time) -> Option<Seat> {
        let server = ServerConfig {
            pid: place as u64 + 1,
            election_tick_timeout: ROUND,
            resend_message_tick_timeout: AGAIN,
            ..ServerConfig::default()
        };
        let seats = council.seats.len();
        let node = cluster(council.epoch, seats).build_for_server(server, Memory::default()).ok()?;
        let mut heard = vec![None; seats];
        heard[place] = Some(now);
        Some(Seat {
            node,
            epoch: council.epoch,
            starts: council.seats.clone(),
            place,
            base,
            read: 0,
            heard,
            sent: vec![[0; 2]; seats],
            seen: vec![[(0, 0); 2]; seats],
            silent: config.tick * SILENT,
            led: now,
            said: VecDeque::new(),
            ended: false,
        })
    }

    /// A message of another seat of this epoch, the `count`th that it sent here.
    pub fn hear(&mut self, now: Time, from: usize, count: u64, message: Agreement<Word>) {
        // Danger: the library bears loss, but takes a message that comes twice or is overtaken for a new one: it then
        // overwrites what is accepted, or counts one voice twice. So what of the agreement is late here is lost, and
        // of the election's each comes once.
        let election = matches!(message, Agreement::BLE(_));
        let (last, before) = &mut self.seen[from][usize::from(election)];
        if count > *last {
            *before = before.checked_shl((count - *last) as u32).unwrap_or(0) | 1;
            *last = count;
        } else {
            let bit = 1u64.checked_shl((*last - count) as u32).unwrap_or(0);
            if !election || bit == 0 || *before & bit != 0 {
                return;
            }
            *before |= bit;
        }
        // Danger: the library trusts whom a message says that it is from and to.
        let (sender, receiver) = (message.get_sender(), message.get_receiver());
        if sender == from as u64 + 1 && receiver == self.place as u64 + 1 && from != self.place {
            self.heard[from] = Some(now);
            self.node.handle_incoming(message);
        }
    }

    pub fn tick(&mut self, now: Time) {
        self.heard[self.place] = Some(now);
        self.node.tick();
        // Danger: under loss the library's elected one may wait for ever, follower of its own ballot, while all others
        // take it for their leader. Where nobody leads though most are heard, one after another stands anew.
        if self.leader(now).is_some() || !self.most(now) {
            self.led = now;
        } else if self.led + self.silent * (2 + self.place as u32) < now {
            self.led = now;
            self.node.try_become_leader();
        }
        while self.said.front().is_some_and(|(_, at)| *at + self.silent < now) {
            self.said.pop_front();
        }
    }

    /// What the instance wants sent: to which place, the how many-th, what.
    pub fn outgoing(&mut self) -> Vec<(usize, u64, Agreement<Word>)> {
        let mut out = Vec::new();
        self.node.take_outgoing_messages(&mut out);
        let mut counted = |message: Agreement<Word>| {
            let to = message.get_receiver() as usize - 1;
            let sent = &mut self.sent[to][usize::from(matches!(message, Agreement::BLE(_)))];
            *sent += 1;
            (to, *sent, message)
        };
        out.into_iter().map(&mut counted).collect()
    }

    /// Entries that are agreed and not read yet, with their places in the log; the first council ends the epoch.
    pub fn agreed(&mut self, decided_only: bool) -> Vec<(u64, Item)> {
        let entries = if decided_only {
            self.node.read_decided_suffix(self.read)
        } else {
            self.node.read_entries(self.read..)
        };
        let mut items = Vec::new();
        for entry in entries.unwrap_or_default() {
            let (LogEntry::Decided(word) | LogEntry::Undecided(word)) = entry else { break };
            // Danger: what comes behind the epoch's end is agreed in one order too, but nobody may read it: it is said
            // again in the next. The library's own way to end a configuration is not used: when the leader changes
            // between its acceptance and its decision, it counts it twice, and readers skip what came before it.
            let Some(item) = read(&word).filter(|_| !self.ended) else { break };
            self.ended = matches!(item, Item::Council(_));
            self.read += 1;
            items.push((self.base + self.read as u64, item));
        }
        items
    }

    /// So many words of this epoch are agreed.
    pub fn length(&self) -> usize {
        self.read
    }

    fn there(&self, now: Time, place: usize) -> bool {
        self.heard.get(place).is_some_and(|at| at.is_some_and(|at| now < at + self.silent))
    }

    /// Most are heard of.
    fn most(&self, now: Time) -> bool {
        (0..self.heard.len()).filter(|place| self.there(now, *place)).count() * 2 > self.heard.len()
    }

    /// Who leads, if it was heard of lately and most are.
    pub fn leader(&self, now: Time) -> Option<usize> {
        let (leader, agrees) = self.node.get_current_leader()?;
        let leader = (leader as usize).checked_sub(1)?;
        (agrees && self.most(now) && self.there(now, leader)).then_some(leader)
    }

    pub fn leads(&self, now: Time) -> bool {
        self.leader(now) == Some(self.place)
    }

    /// Takes a word on, unless it was taken on just now or too many are open.
    pub fn say(&mut self, now: Time, word: &[u8]) {
        self.append(now, &Item::Word(word.to_vec()));
    }

    fn append(&mut self, now: Time, item: &Item) {
        let bytes = postcard::to_stdvec(item).unwrap_or_default();
        let hash = xxh3_64(&bytes);
        let open = self.node.get_accepted_idx().saturating_sub(self.node.get_decided_idx());
        // Danger: without a leader the library holds words for ever.
        if self.leader(now).is_none() || open >= OPEN || self.said.len() >= OPEN || self.ended {
            return;
        }
        if !self.said.iter().any(|(said, _)| *said == hash) {
            self.said.push_back((hash, now));
            // One that can't be taken on is said again by whoever waits for it.
            let _ = self.node.append(Word(bytes));
        }
    }

    /// Ends the epoch: the next has these starts.
    pub fn end(&mut self, now: Time, seats: Vec<u64>) {
        let epoch = Epoch { number: self.epoch.number + 1, ..self.epoch };
        self.append(now, &Item::Council(Council { epoch, seats }));
    }
}

/// An entry of the instance; what can't be read was never said by one of us.
fn read(word: &Word) -> Option<Item> {
    postcard::from_bytes(&word.0).ok()
}
