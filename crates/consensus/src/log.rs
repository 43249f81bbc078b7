//! One sidecar's part in the log.

use crate::chain::{Chain, Council, EVERY, Item, Place, Snapshot};
use crate::config::{Config, Time};
use crate::error::ConsensusError;
use crate::found::{Founder, Step};
use crate::keeper::Seat;
use crate::message::{Body, From, MAX_WORD, decode, encode};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Others that are told at once of what is new.
const TOLD: usize = 3;
/// Bytes of entries in one message, and of a piece of a snapshot.
const ENTRIES: usize = 32 << 10;
const PIECE: usize = 8 << 10;
/// A word that is not agreed on yet is said again, to another keeper.
const AGAIN: Duration = Duration::from_millis(300);
/// A piece that has not come by then is asked for elsewhere.
const SILENT: Duration = Duration::from_millis(400);
/// Whoever is ahead is asked no more often than this.
const PULLS: Duration = Duration::from_millis(20);
/// Words of this door that wait at most.
const WAITING: usize = 64;
/// A keeper that asks to be taken in must have been heard of within this time, this near to the end of the log.
const LATELY: Duration = Duration::from_secs(2);
const NEAR: u64 = 8;
/// A voice for a founding is held for so long: by then its keepers agree, or have failed to.
const HELD: Duration = Duration::from_secs(3);
/// Two ends of epochs are proposed so far apart at least.
const CALM: Duration = Duration::from_millis(500);

/// What reads the words.
pub trait Machine: Sized {
    /// The machine before the first word.
    fn fresh() -> Self;
    /// The next word. Total: whatever the bytes are, the same on all.
    fn apply(&mut self, index: u64, word: &[u8]);
    /// All of it; equal machines have equal bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// A machine from that; none if it can't be read.
    fn restore(bytes: &[u8]) -> Option<Self>;
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counted {
    /// Messages that made no sense.
    pub garbled: u64,
    /// Messages of another fleet or other keepers.
    pub foreign: u64,
    /// What must not be: another entry at a place that is taken, a place that is older than the last.
    pub broken: u64,
    /// Snapshots taken over.
    pub snapshots: u64,
    /// Snapshots that came whole and were not what they said.
    pub spoilt: u64,
    /// Epochs begun.
    pub epochs: u64,
}

/// Where it stands, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// How often the log was begun anew; 0: never.
    pub founded: u64,
    /// Which epoch since.
    pub epoch: u32,
    /// The last entry.
    pub index: u64,
    /// The checksum of all up to it.
    pub sum: String,
    /// The leader, as far as this one knows as a keeper.
    pub leader: Option<SocketAddrV4>,
    /// The keepers, and which of them has a seat.
    pub keepers: Vec<(SocketAddrV4, bool)>,
    /// This one is a keeper with a seat.
    pub seated: bool,
    /// Words of this door that wait.
    pub waiting: usize,
    /// What was counted.
    pub counted: Counted,
}

struct Pending {
    word: Vec<u8>,
    next: Time,
    until: Time,
    turn: usize,
}

struct Fetch {
    place: Place,
    digest: u64,
    total: usize,
    got: Vec<u8>,
    heard: Time,
    began: Time,
}

/// One sidecar's part in the log.
pub struct Log<M> {
    config: Config,
    start: u64,
    machine: M,
    chain: Chain,
    council: Council,
    /// The index of the entry that named it.
    council_at: u64,
    snapshot: Option<Snapshot>,
    seat: Option<Seat>,
    /// The last founding that it gave its voice or has heard of.
    voice: u64,
    voiced: Option<Time>,
    founder: Option<Founder>,
    founded: Option<Result<Place, ConsensusError>>,
    fetch: Option<Fetch>,
    applicants: BTreeMap<usize, (u64, Place, Time)>,
    calm: Time,
    peers: Vec<(SocketAddrV4, bool)>,
    pending: Vec<Pending>,
    pulled: Time,
    next_tick: Time,
    next_gossip: Time,
    rng: fastrand::Rng,
    out: VecDeque<(SocketAddrV4, Vec<u8>)>,
    asides: VecDeque<(SocketAddrV4, Vec<u8>)>,
    counted: Counted,
}

impl<M: Machine> Log<M> {
    /// A part that starts empty. `start`: greater than that of every process before it at this address.
    pub fn new(config: Config, now: Time, start: u64, seed: u64) -> Log<M> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let next_gossip = now + config.gossip.mul_f64(rng.f64());
        Log {
            start: start.max(1),
            machine: M::fresh(),
            chain: Chain::default(),
            council: Council::default(),
            council_at: 0,
            snapshot: None,
            seat: None,
            voice: 0,
            voiced: None,
            founder: None,
            founded: None,
            fetch: None,
            applicants: BTreeMap::new(),
            calm: now,
            peers: Vec::new(),
            pending: Vec::new(),
            pulled: Time::ZERO,
            next_tick: now + config.tick,
            next_gossip,
            rng,
            out: VecDeque::new(),
            asides: VecDeque::new(),
            counted: Counted::default(),
            config,
        }
    }

    /// What has been agreed, as far as it is known here.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Where it stands.
    pub fn place(&self) -> Place {
        self.chain.last()
    }

    /// What it was told.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The checksum of all up to an index, if that is still kept.
    pub fn sum_at(&self, index: u64) -> Option<u64> {
        self.chain.sum_at(index)
    }

    /// Whether it leads: it may do what only one should do.
    pub fn leads(&self, now: Time) -> bool {
        self.seat.as_ref().is_some_and(|seat| seat.leads(now))
    }

    /// Who leads, as a keeper knows it.
    pub fn leader(&self, now: Time) -> Option<usize> {
        self.seat.as_ref().and_then(|seat| seat.leader(now))
    }

    /// Where it stands, for operators.
    pub fn status(&self, now: Time) -> Status {
        let seated = |(place, keeper): (usize, &SocketAddrV4)| {
            (*keeper, self.council.seats.get(place).is_some_and(|start| *start != 0))
        };
        Status {
            founded: self.council.epoch.times(),
            epoch: self.council.epoch.number,
            index: self.place().index,
            sum: format!("{:016x}", self.place().sum),
            leader: self.leader(now).map(|place| self.config.keepers[place]),
            keepers: self.config.keepers.iter().enumerate().map(seated).collect(),
            seated: self.seat.is_some(),
            waiting: self.pending.len(),
            counted: self.counted,
        }
    }

    /// Whom it may ask and tell; those nearby are asked first.
    pub fn meet(&mut self, peers: Vec<(SocketAddrV4, bool)>) {
        self.peers = peers;
    }

    /// A word is to be agreed on; it is said until it is, or until then.
    pub fn say(&mut self, now: Time, word: Vec<u8>, until: Time) -> Result<(), ConsensusError> {
        if word.len() > MAX_WORD {
            return Err(ConsensusError::TooLong { length: word.len(), most: MAX_WORD });
        }
        if self.pending.len() >= WAITING {
            return Err(ConsensusError::Crowded(WAITING));
        }
        if self.place().founding == 0 {
            return Err(ConsensusError::NotFounded);
        }
        if !self.pending.iter().any(|pending| pending.word == word) {
            let turn = self.rng.usize(..self.config.keepers.len());
            self.pending.push(Pending { word, next: now, until, turn });
        }
        self.next_tick = now;
        Ok(())
    }

    /// The log is to begin anew; [`Log::founding`] tells what came of it.
    pub fn found(&mut self, now: Time) -> Result<(), ConsensusError> {
        if self.founder.is_some() {
            return Err(ConsensusError::Founding);
        }
        let own = (self.place(), self.config.address);
        self.founder = Some(Founder::new(now, self.rng.u64(1..), own));
        self.founded = None;
        self.next_tick = now;
        Ok(())
    }

    /// What came of the founding, once.
    pub fn founding(&mut self) -> Option<Result<Place, ConsensusError>> {
        self.founded.take()
    }

    /// Something for the keepers that is no word: it may be lost.
    pub fn aside(&mut self, bytes: &[u8]) {
        for keeper in self.config.keepers.clone() {
            self.send(keeper, &Body::Aside(bytes.to_vec()));
        }
    }

    /// What came aside.
    pub fn hear_aside(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.asides.pop_front()
    }

    /// What is to be sent next.
    pub fn output(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.out.pop_front()
    }

    /// When it wants to be called next.
    pub fn next_at(&self) -> Time {
        let keeper = self.seat.is_some() || self.founder.is_some();
        let busy = keeper || !self.pending.is_empty() || self.fetch.is_some();
        if busy { self.next_tick.min(self.next_gossip) } else { self.next_gossip }
    }

    fn send(&mut self, to: SocketAddrV4, body: &Body) {
        let own = self.config.address;
        let from = From { ip: u32::from(*own.ip()), port: own.port(), start: self.start };
        let bytes = encode(self.config.digest, from, body);
        self.out.push_back((to, bytes));
    }

    /// A message for this one too, without a way.
    fn send_all(&mut self, now: Time, to: Vec<SocketAddrV4>, body: &Body) {
        for to in to {
            if to == self.config.address {
                self.heard(now, (to, self.start), body.clone());
            } else {
                self.send(to, body);
            }
        }
    }

    /// Its time has come.
    pub fn tick(&mut self, now: Time) {
        if now >= self.next_tick {
            self.next_tick = now + self.config.tick;
            if let Some(seat) = &mut self.seat {
                seat.tick(now);
            }
            self.lead(now);
            self.found_on(now);
            self.say_again(now);
            self.fetch_again(now);
            self.agree(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip.mul_f64(0.75 + 0.5 * self.rng.f64());
            if let Some(peer) = self.peer() {
                self.stand(peer, true);
            }
            // Danger: a keeper that came back empty is taken in by the leader alone, which must hear of it.
            let seated = self.seat.is_some();
            if let Some(place) = self.config.place().filter(|_| !seated) {
                for (other, keeper) in self.config.keepers.clone().into_iter().enumerate() {
                    if other != place {
                        self.stand(keeper, false);
                    }
                }
            }
        }
        self.check();
    }

    fn stand(&mut self, to: SocketAddrV4, wants: bool) {
        let at = self.place();
        self.send(to, &Body::Stand { at, wants });
    }

    /// Another, nearby three times of four.
    fn peer(&mut self) -> Option<SocketAddrV4> {
        let near: Vec<SocketAddrV4> =
            self.peers.iter().filter(|(_, near)| *near).map(|(peer, _)| *peer).collect();
        if !near.is_empty() && self.rng.u8(..4) > 0 {
            return self.rng.choice(near);
        }
        let at = self.rng.usize(..self.peers.len().max(1));
        let known = self.peers.get(at).map(|(peer, _)| *peer);
        // Who knows nobody yet knows the keepers.
        known
            .or_else(|| self.rng.choice(&self.config.keepers).copied())
            .filter(|to| *to != self.config.address)
    }

    /// What only the leader does: it takes in a keeper that came back empty, and ends an epoch that is long enough.
    fn lead(&mut self, now: Time) {
        let Some(seat) = self.seat.as_mut().filter(|seat| seat.leads(now) && now >= self.calm) else {
            return;
        };
        let at = self.chain.last();
        self.applicants.retain(|place, (start, _, heard)| {
            *heard + LATELY > now && seat.starts.get(*place).is_some_and(|sits| sits < start)
        });
        let ready = self
            .applicants
            .iter()
            .find(|(_, (_, theirs, _))| theirs.founding == at.founding && theirs.index + NEAR >= at.index);
        let mut starts = seat.starts.clone();
        if let Some((place, (start, ..))) = ready {
            starts[*place] = *start;
        } else if seat.length() < self.config.epoch {
            return;
        }
        self.calm = now + CALM;
        seat.end(now, starts);
    }

    fn found_on(&mut self, now: Time) {
        let own = self.place();
        let Some(founder) = &mut self.founder else { return };
        let nonce = founder.nonce;
        match founder.step(&self.config, now, own) {
            Step::Nothing => {}
            Step::Ask => {
                let mut all: Vec<SocketAddrV4> = self.peers.iter().map(|(peer, _)| *peer).collect();
                all.extend(&self.config.keepers);
                all.sort_unstable();
                all.dedup();
                self.send_all(now, all, &Body::Census { nonce });
            }
            Step::Pull(from) => self.stand(from, true),
            Step::Voices(council) => {
                self.send_all(now, self.config.keepers.clone(), &Body::Found { nonce, council });
            }
            Step::Founded(council) => {
                self.founder = None;
                self.learn(now, vec![Item::Council(council)]);
                self.founded = Some(Ok(self.place()));
            }
            Step::Failed(error) => {
                self.founder = None;
                self.founded = Some(Err(error));
            }
        }
    }

    fn say_again(&mut self, now: Time) {
        self.pending.retain(|pending| pending.until > now);
        let mut out = Vec::new();
        for pending in &mut self.pending {
            if pending.next > now {
                continue;
            }
            pending.next = now + AGAIN;
            // A keeper that knows of a leader says it itself; else keepers are asked in turn.
            let knows = self.seat.as_ref().and_then(|seat| seat.leader(now));
            match (&mut self.seat, knows) {
                (Some(seat), Some(_)) => seat.say(now, &pending.word),
                _ => {
                    let keepers = &self.config.keepers;
                    let to = keepers[pending.turn % keepers.len()];
                    pending.turn += 1;
                    let to =
                        if to == self.config.address { keepers[pending.turn % keepers.len()] } else { to };
                    out.push((to, pending.word.clone()));
                }
            }
        }
        for (to, word) in out {
            self.send(to, &Body::Say(word));
        }
    }

    fn fetch_again(&mut self, now: Time) {
        let Some(fetch) = &mut self.fetch else { return };
        if fetch.began + SILENT * 20 < now || !fetch.place.beyond(self.chain.last()) {
            self.fetch = None;
            return;
        }
        if fetch.heard + SILENT < now {
            fetch.heard = now;
            let want =
                Body::Want { place: fetch.place, digest: fetch.digest, offset: fetch.got.len() as u32 };
            if let Some(peer) = self.peer() {
                self.send(peer, &want);
            }
        }
    }

    /// Takes over what the instance has agreed on, and sends what it wants sent.
    fn agree(&mut self, now: Time) {
        let Some(seat) = &mut self.seat else { return };
        let items = seat.agreed(self.config.parts.decided);
        let (epoch, out) = (seat.epoch, seat.outgoing());
        for (place, count, message) in out {
            let to = self.config.keepers[place];
            self.send(to, &Body::Agree { epoch, count, message });
        }
        for (index, item) in items {
            let last = self.chain.last().index;
            if index == last + 1 {
                self.learn(now, vec![item]);
            } else if index <= last {
                // It was learned of others before.
                let same = self.chain.entry(index).is_none_or(|known| *known == item);
                self.counted.broken += u64::from(!same);
                debug_assert!(same || !self.config.parts.decided, "two entries at {index}");
            }
        }
    }

    /// The next entries.
    fn learn(&mut self, now: Time, items: Vec<Item>) {
        let from = self.chain.last();
        for item in items {
            self.chain.push(item.clone());
            let index = self.chain.last().index;
            let mut founded = false;
            match item {
                Item::Word(word) => {
                    self.machine.apply(index, &word);
                    self.pending.retain(|pending| pending.word != word);
                }
                Item::Council(council) => {
                    founded = council.epoch.founding > self.council.epoch.founding;
                    (self.council, self.council_at) = (council, index);
                    self.counted.epochs += 1;
                }
            }
            if index.is_multiple_of(EVERY) || founded {
                self.snap();
            }
        }
        self.chain.trim();
        self.reseat(now);
        // Those who are told next: some others, at once.
        let new = self.chain.after(from.index, ENTRIES);
        if let Some(sum) = self.chain.sum_at(from.index).filter(|_| !new.is_empty()) {
            let body = Body::Entries { after: from.index, sum, items: new };
            for _ in 0..TOLD {
                if let Some(peer) = self.peer() {
                    self.send(peer, &body);
                }
            }
        }
    }

    fn snap(&mut self) {
        let whole = (&self.council, self.council_at, self.machine.snapshot());
        let bytes = postcard::to_stdvec(&whole).unwrap_or_default();
        let digest = xxh3_64(&bytes);
        self.snapshot = Some(Snapshot { place: self.chain.last(), digest, bytes: bytes.into() });
    }

    /// Its seat follows from the council.
    fn reseat(&mut self, now: Time) {
        self.voice = self.voice.max(self.council.epoch.founding);
        let Some(place) = self.config.place() else { return };
        let sits = self.council.seats.get(place).copied().unwrap_or(0);
        // Danger: one that has forgotten what it promised must not sit where the one before it sat.
        let own = sits == self.start || sits != 0 && !self.config.parts.starts;
        if sits > self.start {
            // The clock went back between two starts; it is the younger one all the same.
            self.start = sits + 1;
        }
        let due = self.council.epoch;
        if self.seat.as_ref().is_some_and(|seat| seat.epoch != due || !own) {
            self.seat = None;
        }
        if self.seat.is_none() && own && self.voice == due.founding {
            self.seat = Seat::new(&self.config, place, &self.council, self.council_at, now);
            self.next_tick = now;
        }
    }

    /// A message has come.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        match decode(self.config.digest, bytes) {
            Ok((from, body)) => self.heard(now, (from.address(), from.start), body),
            Err(crate::message::Refused::Garbled) => self.counted.garbled += 1,
            Err(crate::message::Refused::Foreign) => self.counted.foreign += 1,
        }
        self.check();
    }

    fn heard(&mut self, now: Time, (from, start): (SocketAddrV4, u64), body: Body) {
        let place = self.config.keepers.iter().position(|keeper| *keeper == from);
        match body {
            Body::Agree { epoch, count, message } => {
                let Some(place) = place else { return };
                match &mut self.seat {
                    Some(seat) if seat.epoch == epoch => {
                        if self.config.parts.starts && seat.starts[place] != start {
                            return;
                        }
                        seat.hear(now, place, count, message);
                        self.agree(now);
                    }
                    _ if epoch != self.council.epoch => self.stand(from, true),
                    _ => {}
                }
            }
            Body::Say(word) => {
                // Said twice it is done once, by what reads it; here it is only kept from filling the log.
                if let Some(seat) = self.seat.as_mut().filter(|_| word.len() <= MAX_WORD) {
                    seat.say(now, &word);
                    self.agree(now);
                }
            }
            Body::Stand { at, wants } => {
                if let Some(place) = place {
                    self.applicants.insert(place, (start, at, now));
                }
                let own = self.place();
                if own.beyond(at) {
                    self.tell(from, at);
                } else if at.beyond(own) && (wants || now >= self.pulled + PULLS) {
                    self.pull(now, from);
                }
            }
            Body::Entries { after, sum, items } => self.entries(now, from, (after, sum), items),
            Body::Piece { place, digest, total, offset, bytes } => {
                self.piece(now, from, (place, digest), (total, offset), bytes);
            }
            Body::Want { place, digest, offset } => {
                let same = self.snapshot.as_ref().is_some_and(|s| s.place == place && s.digest == digest);
                // Who has another one has a newer one, or asks later.
                self.give(from, if same { offset as usize } else { 0 });
            }
            Body::Census { nonce } => {
                let leads = self.leader(now).map(|place| place as u8);
                let told = Body::Counted { nonce, at: self.place(), leads, voice: self.voice };
                self.send_all(now, vec![from], &told);
            }
            Body::Counted { nonce, at, leads, voice } => {
                if let Some(founder) = self.founder.as_mut().filter(|founder| founder.nonce == nonce) {
                    founder.counted(place, (from, start), at, (leads, voice));
                }
            }
            Body::Found { nonce, council } => {
                let founding = council.epoch.founding;
                let given = self.give_voice(now, &council);
                self.send_all(now, vec![from], &Body::Voice { nonce, founding, given });
            }
            Body::Voice { nonce, founding, given } => {
                if let (Some(founder), Some(place)) = (&mut self.founder, place)
                    && founder.nonce == nonce
                {
                    founder.voice(place, start, founding, given);
                }
            }
            Body::Aside(bytes) => {
                // Danger: whoever floods it must not fill its memory.
                if self.asides.len() < 4096 {
                    self.asides.push_back((from, bytes));
                }
            }
        }
    }

    /// One voice for a founding; from then on it takes no part in what was agreed before.
    fn give_voice(&mut self, now: Time, council: &Council) -> bool {
        let Some(place) = self.config.place() else { return false };
        let founding = council.epoch.founding;
        let times = |founding: u64| founding >> crate::chain::FOUNDER;
        let again = founding == self.voice && self.place().founding < founding;
        let fresh = times(founding) > times(self.voice) || !self.config.parts.one_voice;
        if council.seats.get(place) != Some(&self.start) || !(again || fresh) {
            return false;
        }
        // Danger: a founding beside one that has just been made, or beside keepers that agree, would lose their words.
        let held = self.voiced.is_some_and(|at| now < at + HELD) || self.leader(now).is_some();
        if !again && held && self.config.parts.one_voice {
            return false;
        }
        self.voiced = Some(now);
        self.voice = founding;
        self.seat = None;
        true
    }

    fn pull(&mut self, now: Time, from: SocketAddrV4) {
        self.pulled = now;
        self.stand(from, true);
    }

    /// Gives whoever stands there what comes next.
    fn tell(&mut self, to: SocketAddrV4, at: Place) {
        let own = self.place();
        let joins = self.chain.sum_at(at.index) == Some(at.sum) && at.founding <= own.founding;
        let items = if joins { self.chain.after(at.index, ENTRIES) } else { Vec::new() };
        if items.is_empty() {
            self.give(to, 0);
        } else {
            self.send(to, &Body::Entries { after: at.index, sum: at.sum, items });
        }
    }

    fn give(&mut self, to: SocketAddrV4, offset: usize) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let end = (offset + PIECE).min(snapshot.bytes.len());
        let Some(bytes) = snapshot.bytes.get(offset..end) else { return };
        let (place, digest, total) = (snapshot.place, snapshot.digest, snapshot.bytes.len() as u32);
        self.send(to, &Body::Piece { place, digest, total, offset: offset as u32, bytes: bytes.to_vec() });
    }

    fn entries(&mut self, now: Time, from: SocketAddrV4, (after, sum): (u64, u64), items: Vec<Item>) {
        let last = self.chain.last();
        if after > last.index {
            // A gap: what is between is asked for.
            if now >= self.pulled + PULLS {
                self.pull(now, from);
            }
            return;
        }
        let joins = self.chain.sum_at(after) == Some(sum);
        if !joins && self.config.parts.chained {
            // Another history: only one of a later founding can be taken over, by its snapshot.
            if now >= self.pulled + PULLS {
                self.pull(now, from);
            }
            return;
        }
        let known = (last.index - after) as usize;
        let mut new: Vec<Item> = Vec::new();
        let mut founding = last.founding;
        for (i, item) in items.into_iter().enumerate() {
            if i < known {
                let index = after + i as u64 + 1;
                if let Some(own) = self.chain.entry(index).filter(|own| **own != item) {
                    // Two foundings may begin at one index; the later one comes as a snapshot to who has the other.
                    let council = |item: &Item| matches!(item, Item::Council(c) if c.epoch.number == 0);
                    let other = council(&item) || council(own);
                    self.counted.broken += u64::from(!other);
                    debug_assert!(other || !self.config.parts.decided, "two entries at {index}");
                    self.stand(from, true);
                    return;
                }
                continue;
            }
            if let Item::Council(council) = &item {
                founding = founding.max(council.epoch.founding);
            }
            new.push(item);
        }
        if !new.is_empty() {
            self.learn(now, new);
            self.fetch = None;
            // More may be there.
            if now >= self.pulled + PULLS {
                self.pull(now, from);
            }
        }
    }

    fn piece(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        (place, digest): (Place, u64),
        (total, offset): (u32, u32),
        bytes: Vec<u8>,
    ) {
        /// No snapshot is longer.
        const MOST: usize = 16 << 20;
        let (total, offset) = (total as usize, offset as usize);
        if !place.beyond(self.place()) && self.config.parts.no_way_back || total > MOST || bytes.is_empty() {
            return;
        }
        let other = self.fetch.as_ref().is_none_or(|f| f.digest != digest && place.beyond(f.place));
        if other && offset == 0 {
            self.fetch = Some(Fetch { place, digest, total, got: Vec::new(), heard: now, began: now });
        }
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.digest == digest && f.got.len() == offset) else {
            return;
        };
        fetch.got.extend_from_slice(&bytes);
        fetch.heard = now;
        if fetch.got.len() < fetch.total {
            let want = Body::Want { place, digest, offset: fetch.got.len() as u32 };
            self.send(from, &want);
            return;
        }
        let Some(fetch) = self.fetch.take() else { return };
        // Danger: half a snapshot, or one that is not what it says, counts for nothing, whole.
        let whole = (xxh3_64(&fetch.got) == fetch.digest && fetch.got.len() == fetch.total)
            .then(|| postcard::from_bytes::<(Council, u64, Vec<u8>)>(&fetch.got).ok())
            .flatten();
        let restored = whole.and_then(|(council, at, bytes)| Some((council, at, M::restore(&bytes)?)));
        let Some((council, council_at, machine)) = restored else {
            self.counted.spoilt += 1;
            return;
        };
        (self.machine, self.council, self.council_at) = (machine, council, council_at);
        self.chain = Chain::behind(place);
        self.snapshot = Some(Snapshot { place, digest, bytes: fetch.got.into() });
        self.counted.snapshots += 1;
        self.reseat(now);
        self.pull(now, from);
    }

    /// What must hold after each step.
    fn check(&mut self) {
        let own = self.place();
        let fits = own.founding == self.council.epoch.founding
            && self.council_at <= own.index
            && self.pending.len() <= WAITING
            && self.seat.as_ref().is_none_or(|seat| seat.epoch <= self.council.epoch);
        self.counted.broken += u64::from(!fits);
        debug_assert!(fits, "founding {} council {:?} at {}", own.founding, self.council, self.council_at);
    }
}
