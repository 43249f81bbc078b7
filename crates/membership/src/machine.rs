//! The machine: probes, suspicion, gossip, exchanges. Told what came and when; says what is to be sent.

use crate::Time;
use crate::config::{Config, Parts, Timing};
use crate::message::*;
use crate::queue::Queue;
use crate::view::{Dropped, Reach, Report, Row, Traffic};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// So many accusers make a suspicion as short as it gets.
const ACCUSERS: usize = 3;
/// Gossip goes to so many at a time.
const FANOUT: usize = 3;
/// The most that a member doubts itself.
const DOUBT: u32 = 4;
/// So many failed probes in a row mean that the fault is its own.
const ALONE: u32 = 3;
/// Probes made for others at once, at most.
const FOR_OTHERS: usize = 256;
/// One that is alone asks so many seeds at a time.
const SEEDS: usize = 5;
/// Who leaves tells so many at once.
const FAREWELL: usize = 8;

/// A member's state has changed in this one's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Who.
    pub name: Name,
    /// Which start.
    pub generation: u64,
    /// What it was; `None` if it was not known.
    pub from: Option<State>,
    /// What it is.
    pub to: State,
    /// Why.
    pub cause: &'static str,
    /// Whose word it was.
    pub by: Name,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddrV4, Vec<u8>),
    /// Open a connection, send [`Membership::view`], hand what comes to [`Membership::take_view`].
    Exchange(SocketAddrV4),
    /// Tell whoever watches.
    Changed(Change),
}

#[derive(Debug)]
struct Member {
    record: Record,
    state: State,
    since: Time,
    /// This start is known since.
    born: Time,
    heard: Option<Time>,
    /// Told what is held against it, last.
    told: Option<Time>,
    accusers: Vec<Name>,
    /// When suspicion ends.
    until: Time,
    /// How often it was probed for the sake of this suspicion, and when last.
    looks: u32,
    looked: Time,
}

/// While a member is suspected it is probed so often by whoever suspects it.
const LOOKS: u32 = 4;

impl Member {
    fn there(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }
}

#[derive(Debug)]
struct Probe {
    name: Name,
    generation: u64,
    seq: u32,
    again: Option<Time>,
    ask: Option<Time>,
    ends: Time,
    helpers: usize,
    nacks: usize,
}

/// A probe made for another.
#[derive(Debug)]
struct Favour {
    seq: u32,
    for_whom: SocketAddrV4,
    their_seq: u32,
    ends: Time,
}

/// One member of a fleet.
pub struct Membership {
    config: Config,
    fleet: u64,
    me: Record,
    rng: fastrand::Rng,
    started: Time,
    now: Time,
    members: BTreeMap<Name, Member>,
    suspects: BTreeSet<Name>,
    gone: BTreeSet<Name>,
    there: usize,
    /// Those who are there, by tier.
    tiers: BTreeMap<u8, u32>,
    order: Vec<Name>,
    place: usize,
    digest: u64,
    seq: u32,
    probe: Option<Probe>,
    favours: VecDeque<Favour>,
    queue: Queue,
    next_period: Time,
    next_gossip: Time,
    next_try: Time,
    try_gap: Time,
    differs: Option<Time>,
    differ_wait: u32,
    learned: bool,
    due: Time,
    doubt: u32,
    failed: u32,
    heard: Option<Time>,
    adopted: bool,
    leaving: bool,
    superseded: bool,
    refuted: u64,
    late: u64,
    twins: u64,
    traffic: Traffic,
    dropped: Dropped,
    out: VecDeque<Output>,
}

impl Membership {
    /// A member that starts now. `unix_ms` is the wall clock: of two starts of one name the later one wins.
    pub fn new(config: Config, now: Time, unix_ms: u64, seed: u64) -> Membership {
        let mut rng = fastrand::Rng::with_seed(seed);
        let me = Record {
            name: config.name.clone(),
            generation: (unix_ms << 10) | rng.u64(0..1024),
            incarnation: 0,
            ip: u32::from(*config.address.ip()),
            port: config.address.port(),
            zone: config.zone.clone(),
            tier: config.tier,
            rank: config.rank,
            formats: config.formats,
        };
        let (fleet, digest) = (fleet_digest(&config.fleet), me.digest());
        // Members that start in one instant must not probe in step.
        let first = config.timing.period.mul_f64(rng.f64());
        let mut machine = Membership {
            fleet,
            me,
            started: now,
            now,
            members: BTreeMap::new(),
            suspects: BTreeSet::new(),
            gone: BTreeSet::new(),
            there: 0,
            tiers: BTreeMap::new(),
            order: Vec::new(),
            place: 0,
            digest,
            seq: rng.u32(..),
            rng,
            probe: None,
            favours: VecDeque::new(),
            queue: Queue::default(),
            next_period: now + first,
            next_gossip: now,
            next_try: now + first / 4,
            try_gap: config.timing.direct,
            differs: None,
            differ_wait: 1,
            learned: false,
            due: now,
            doubt: 0,
            failed: 0,
            heard: None,
            adopted: false,
            leaving: false,
            superseded: false,
            refuted: 0,
            late: 0,
            twins: 0,
            traffic: Traffic::default(),
            dropped: Dropped::default(),
            out: VecDeque::new(),
            config,
        };
        machine.due = machine.next_at();
        machine
    }

    fn timing(&self) -> Timing {
        self.config.timing
    }

    fn parts(&self) -> Parts {
        self.config.parts
    }

    /// When [`Membership::tick`] is due.
    pub fn next_at(&self) -> Time {
        let mut at = self.next_period.min(self.next_try);
        if !self.queue.is_empty() && self.there > 0 {
            at = at.min(self.next_gossip);
        }
        if let Some(probe) = &self.probe {
            at = probe.again.into_iter().chain(probe.ask).chain([probe.ends]).fold(at, Time::min);
        }
        let favour = self.favours.front().map(|favour| favour.ends);
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let suspicion = suspects.map(|m| self.look_due(m));
        // What became due only now is not late.
        favour.into_iter().chain(suspicion).fold(at, Time::min).max(self.now)
    }

    /// What is to be done next.
    pub fn output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// Its own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// A younger start of its name is at work, so this one is silent.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// No probe of its own has been answered lately.
    pub fn isolated(&self) -> bool {
        self.parts().awareness && self.there > 0 && self.failed >= ALONE
    }

    /// Messages come, but nobody answers its own.
    pub fn unheard(&self) -> bool {
        let lately = self.timing().period * 3 * (1 + self.doubt);
        self.isolated() && self.heard.is_some_and(|at| at + lately > self.now)
    }

    /// Members that are reached, and known but for those that left; itself in both.
    pub fn reach(&self) -> (usize, usize) {
        let alive = self.there - self.suspects.len();
        let reached = if self.isolated() || self.superseded { 1 } else { 1 + alive };
        (reached, 1 + self.there + self.gone.len())
    }

    /// Sidecars of a tier that are at work: alive or suspect, itself among them.
    pub fn at_work(&self, tier: u8) -> u32 {
        let others = self.tiers.get(&tier).copied().unwrap_or(0);
        others + u32::from(self.me.tier == tier && !self.leaving)
    }

    /// How many are there, itself among them.
    pub fn size(&self) -> usize {
        self.there + 1
    }

    /// A digest of who is there; equal where views are.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether a member is held to be there, and which start of it; `None` if it is not known.
    pub fn sees(&self, name: &Name) -> Option<(State, u64)> {
        self.members.get(name).map(|m| (m.state, m.record.generation))
    }

    /// The names of all who are there, itself among them.
    pub fn who(&self) -> impl Iterator<Item = (&Name, u64)> {
        let others = self.members.iter().filter(|(_, m)| m.there()).map(|(n, m)| (n, m.record.generation));
        others.chain([(&self.me.name, self.me.generation)])
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        self.turn(now);
        self.traffic.received += 1;
        self.traffic.received_bytes += bytes.len() as u64;
        match decode(self.fleet, self.config.formats, bytes, MAX_DATAGRAM) {
            Ok(packet) => {
                self.take(packet);
            }
            Err(refused) => self.refuse(refused),
        }
        self.due = self.next_at();
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        self.turn(now);
        self.end_suspicions();
        self.favours();
        self.go_on_probing();
        if now >= self.next_period {
            self.begin_period();
        }
        if now >= self.next_try {
            self.try_others();
        }
        if now >= self.next_gossip && !self.queue.is_empty() {
            self.next_gossip = now + self.timing().gossip;
            self.gossip(FANOUT);
        }
        self.due = self.next_at();
    }

    /// It leaves in order, and says so.
    pub fn leave(&mut self, now: Time) {
        self.turn(now);
        if !self.leaving {
            self.leaving = true;
            self.digest ^= self.me.digest();
            let claim = self.own_claim();
            self.spread(claim);
            self.gossip(FAREWELL);
        }
        self.due = self.next_at();
    }

    /// Its whole view, for an exchange that it begins.
    pub fn view(&mut self) -> Vec<u8> {
        self.whole(true)
    }

    /// A whole view has come; what it asks for in return, if anything.
    pub fn take_view(&mut self, now: Time, bytes: &[u8]) -> Option<Vec<u8>> {
        self.turn(now);
        self.traffic.exchanges += 1;
        self.traffic.exchange_bytes += bytes.len() as u64;
        let packet = match decode(self.fleet, self.config.formats, bytes, self.longest_view()) {
            Ok(packet) => packet,
            Err(refused) => {
                self.refuse(refused);
                return None;
            }
        };
        let answer = packet.body.kind == Kind::View { answer: true };
        self.learned = false;
        self.take(packet);
        // An exchange that brought nothing was not worth its bytes: the next one waits longer.
        self.differ_wait = if self.learned { 1 } else { (self.differ_wait * 2).min(8) };
        self.due = self.next_at();
        answer.then(|| self.whole(false))
    }

    /// No whole view is longer.
    pub fn longest_view(&self) -> usize {
        1024 + self.config.most * RECORD_ROOM * 2
    }

    fn whole(&mut self, answer: bool) -> Vec<u8> {
        let claims = self.members.values().map(|m| Claim {
            record: m.record.clone(),
            state: m.state,
            by: m.accusers.first().cloned().unwrap_or_default(),
        });
        let claims = claims.collect();
        let body = Body { from: self.me.clone(), leaving: self.leaving, kind: Kind::View { answer }, claims };
        let bytes = encode(self.fleet, self.config.formats.0, &Packet { body, digest: None });
        self.traffic.exchange_bytes += bytes.len() as u64;
        bytes
    }

    fn refuse(&mut self, refused: Refused) {
        let counted = match refused {
            Refused::Garbled => &mut self.dropped.garbled,
            Refused::Overlong => &mut self.dropped.overlong,
            Refused::Foreign => &mut self.dropped.foreign,
            Refused::Format => &mut self.dropped.format,
        };
        *counted += 1;
    }

    /// The clock moves on. Danger: one that was stopped itself, or got no processor, finds all its times run out at
    /// once; whoever did not answer meanwhile is not to be blamed for that.
    fn turn(&mut self, now: Time) {
        self.now = self.now.max(now);
        let late = self.now.saturating_sub(self.due);
        if late <= self.timing().direct || !self.parts().awareness {
            return;
        }
        self.late += 1;
        self.doubt = (self.doubt + 1).min(DOUBT);
        self.probe = None;
        self.favours.clear();
        let later = late + self.timing().suspicion;
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.until = (member.until + late).max(self.due + later);
            }
        }
        self.differs = None;
        self.next_period = self.now + self.timing().direct;
        self.due = self.now;
    }

    // What comes

    fn take(&mut self, packet: Packet) {
        let Packet { body: Body { from, leaving, kind, claims }, digest } = packet;
        if from.name == self.me.name {
            if from.generation < self.me.generation
                && self.now > self.started + self.timing().longest_pause
                && !self.superseded
            {
                // Another process with this name still speaks; it is told who is younger.
                self.twins += 1;
                let claim = self.own_claim();
                self.send(from.address(), from.formats.1, Kind::Gossip, Some(claim));
            }
            let state = if leaving { State::Left } else { State::Alive };
            self.about_me(&from, state, &from.name);
            return;
        }
        if self.superseded {
            return;
        }
        let whole = matches!(kind, Kind::View { .. });
        let state = if leaving { State::Left } else { State::Alive };
        if !self.hear(&from, state) {
            return;
        }
        self.heard = Some(self.now);
        let most = if whole { self.config.most } else { MAX_CLAIMS };
        for claim in claims.into_iter().take(most) {
            self.apply(claim);
        }
        match kind {
            Kind::Ping { seq, name, generation } => {
                // Danger: another member may have this one's address now; only who is meant may answer.
                let meant = name.as_str().is_empty() || name == self.me.name;
                if meant && generation <= self.me.generation {
                    let (name, generation) = (self.me.name.clone(), self.me.generation);
                    self.send_to(&from, Kind::Ack { seq, name, generation });
                }
            }
            Kind::Ack { seq, name, generation } => self.answered(seq, &name, generation, &from),
            Kind::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                    // Who asked and was answered, be it with a no, is heard.
                    self.failed = 0;
                }
            }
            Kind::Ask { seq, name, generation, ip, port } => {
                if self.favours.len() < FOR_OTHERS {
                    let mine = self.seq();
                    // In time for whoever asks: its own probe ends when as much again has passed.
                    let ends = self.now + self.timing().direct.mul_f64(0.6);
                    let for_whom = from.address();
                    self.favours.push_back(Favour { seq: mine, for_whom, their_seq: seq, ends });
                    let to = SocketAddrV4::new(ip.into(), port);
                    self.send(to, 2, Kind::Ping { seq: mine, name, generation }, None);
                }
            }
            Kind::Gossip | Kind::View { .. } => {}
        }
        self.tell_what_is_held(&from);
        if whole {
            self.differs = None;
        } else if let Some(theirs) = digest {
            self.compare(theirs, &from);
        }
    }

    /// Somebody speaks for itself; whether the rest of its message counts.
    fn hear(&mut self, from: &Record, state: State) -> bool {
        let parts = self.parts();
        let known = self.members.get(&from.name).map(|m| (m.record.generation, m.born));
        if let Some((_, born)) = known.filter(|(younger, _)| from.generation < *younger)
            && parts.generations
        {
            // Danger: what an earlier life sent may arrive only now; but one that goes on sending lives.
            if self.now > born + self.timing().longest_pause {
                self.twins += 1;
                let claim = self.claim_about(&from.name);
                self.send(from.address(), from.formats.1, Kind::Gossip, claim);
            } else {
                self.dropped.stale += 1;
            }
            return false;
        }
        let by = from.name.clone();
        self.apply(Claim { record: from.clone(), state, by });
        match self.members.get_mut(&from.name) {
            Some(member) => {
                member.heard = Some(self.now);
                true
            }
            // There is no room for it.
            None => false,
        }
    }

    /// Tells one that is held to be suspect or gone, so that it can deny it.
    fn tell_what_is_held(&mut self, from: &Record) {
        let (now, wait) = (self.now, self.timing().direct);
        let Some(member) = self.members.get_mut(&from.name) else { return };
        let held = matches!(member.state, State::Suspect | State::Gone);
        if held && member.told.is_none_or(|at| at + wait <= now) {
            member.told = Some(now);
            let record = member.record.clone();
            self.send_to(&record, Kind::Gossip);
        }
    }

    fn compare(&mut self, theirs: u64, from: &Record) {
        if theirs == self.digest {
            (self.differs, self.differ_wait) = (None, 1);
            return;
        }
        // Views differ while news is under way; and a whole one is longer the more there are.
        let wait = self.timing().differ.mul_f64(1.0 + self.there as f64 / 200.0) * self.differ_wait;
        let since = *self.differs.get_or_insert(self.now);
        if since + wait <= self.now && self.parts().exchanges {
            self.differs = Some(self.now);
            self.out.push_back(Output::Exchange(from.address()));
        }
    }

    fn answered(&mut self, seq: u32, name: &Name, generation: u64, from: &Record) {
        if let Some(probe) = self.probe.as_ref().filter(|probe| probe.seq == seq && probe.name == *name) {
            if generation >= probe.generation {
                self.probe = None;
                self.failed = 0;
                self.doubt = self.doubt.saturating_sub(1);
                self.clear(name, generation);
            }
        } else if let Some(at) = self.favours.iter().position(|favour| favour.seq == seq)
            && let Some(favour) = self.favours.remove(at)
            && from.name == *name
        {
            let kind = Kind::Ack { seq: favour.their_seq, name: name.clone(), generation };
            self.send(favour.for_whom, 2, kind, None);
        }
    }

    /// It answers. Danger: what is held against it stands until it denies it, and a pause that begins before its word
    /// comes must not be added to what was before; so the time begins anew.
    fn clear(&mut self, name: &Name, generation: u64) {
        let (now, timing) = (self.now, self.timing());
        if let Some(member) = self.members.get_mut(name)
            && member.state == State::Suspect
            && member.record.generation == generation
        {
            (member.since, member.until, member.looks) = (now, now + timing.alone, 0);
            member.accusers.truncate(1);
        }
    }

    /// Somebody says something of this one.
    fn about_me(&mut self, record: &Record, state: State, by: &Name) {
        if record.generation > self.me.generation {
            let young = self.now < self.started + self.timing().young;
            if young && !self.adopted {
                // Danger: where the wall clock was set back since, what the former life left behind would win.
                self.adopted = true;
                self.change_me(|me| (me.generation, me.incarnation) = (record.generation + 1, 0));
            } else if self.parts().generations {
                self.superseded = true;
                self.probe = None;
                self.queue.clear();
                let (name, by) = (self.me.name.clone(), record.name.clone());
                let generation = record.generation;
                let cause = "a younger start has this name";
                let to = State::Gone;
                self.out.push_back(Output::Changed(Change {
                    name,
                    generation,
                    from: Some(State::Alive),
                    to,
                    cause,
                    by,
                }));
            }
        } else if record.generation == self.me.generation
            && !self.leaving
            && state != State::Alive
            && record.incarnation >= self.me.incarnation
            && self.parts().refutes
        {
            self.refuted += 1;
            self.doubt = (self.doubt + 1).min(DOUBT);
            self.change_me(|me| me.incarnation = record.incarnation.saturating_add(1));
            // Whoever accused it hears first that it lives.
            if let Some(accuser) = self.members.get(by).map(|m| m.record.clone()) {
                let claim = self.own_claim();
                self.send(accuser.address(), accuser.formats.1, Kind::Gossip, Some(claim));
            }
        }
    }

    fn change_me(&mut self, change: impl FnOnce(&mut Record)) {
        self.digest ^= self.me.digest();
        change(&mut self.me);
        self.digest ^= self.me.digest();
        let claim = self.own_claim();
        self.spread(claim);
        self.gossip(FANOUT);
    }

    fn own_claim(&self) -> Claim {
        let state = if self.leaving { State::Left } else { State::Alive };
        Claim { record: self.me.clone(), state, by: self.me.name.clone() }
    }

    /// A word about somebody, as the protocol's order of words has it.
    fn apply(&mut self, claim: Claim) {
        if claim.record.name == self.me.name {
            self.about_me(&claim.record, claim.state, &claim.by);
            return;
        }
        let now = self.now;
        let Claim { record, state, by } = &claim;
        let Some(member) = self.members.get(&record.name) else {
            self.meet(claim);
            return;
        };
        let known = member.record.generation;
        if record.generation < known && self.parts().generations {
            self.dropped.stale += 1;
            return;
        }
        if record.generation != known {
            let (from, name) = (member.state, record.name.clone());
            let cause = "a new start";
            let (by, record, state) = (by.clone(), record.clone(), *state);
            self.enter(&name, |member| {
                member.record = record;
                member.born = now;
            });
            // Danger: that a new start does not answer is a word as any other, and judged on one's own time.
            let state = if state == State::Gone { State::Suspect } else { state };
            self.set(&name, state, cause, &by, Some(from));
            self.spread(claim);
            return;
        }
        let (had, inc) = (member.state, member.record.incarnation);
        let newer = record.incarnation > inc;
        let (name, by, state) = (record.name.clone(), by.clone(), *state);
        let incarnation = record.incarnation;
        if !newer {
            self.queue.heard(&claim, self.times());
        }
        match (state, had) {
            (State::Left, State::Left) => {}
            (State::Left, _) => {
                self.set(&name, State::Left, "it said that it leaves", &by, None);
                self.spread(claim);
            }
            (_, State::Left) => {}
            (State::Alive, _) if newer => {
                self.enter(&name, |member| member.record.incarnation = incarnation);
                self.set(&name, State::Alive, "it denied it", &by, None);
                self.spread(claim);
            }
            (State::Alive, _) => {
                self.dropped.stale += u64::from(incarnation < inc);
            }
            (State::Suspect | State::Gone, _) if incarnation < inc => self.dropped.stale += 1,
            (State::Suspect | State::Gone, _) => {
                if newer {
                    self.enter(&name, |member| member.record.incarnation = incarnation);
                }
                self.accuse(&name, by, state == State::Gone, "another accuses it");
            }
        }
    }

    /// One that was not known.
    fn meet(&mut self, claim: Claim) {
        if self.members.len() >= self.config.most {
            // Danger: strangers must push nobody out; only who said that it left makes room.
            let left =
                self.members.iter().find(|(_, m)| m.state == State::Left).map(|(name, _)| name.clone());
            let Some(left) = left else {
                self.dropped.full += 1;
                return;
            };
            self.members.remove(&left);
        }
        let (name, now) = (claim.record.name.clone(), self.now);
        let member = Member {
            record: claim.record.clone(),
            // Set below, from the state that takes part in nothing.
            state: State::Left,
            since: now,
            born: now,
            heard: None,
            told: None,
            accusers: Vec::new(),
            until: now,
            looks: 0,
            looked: now,
        };
        self.members.insert(name.clone(), member);
        let place = self.rng.usize(..=self.order.len());
        self.order.insert(place, name.clone());
        self.set(&name, claim.state, "it was not known", &claim.by, None);
        self.spread(claim);
    }

    /// Changes a member's record without leaving the sums untrue.
    fn enter(&mut self, name: &Name, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(name) else { return };
        let there = member.there();
        let was = (member.record.digest(), member.record.tier);
        change(member);
        if there {
            let (digest, tier) = (member.record.digest(), member.record.tier);
            self.digest ^= was.0 ^ digest;
            *self.tiers.entry(was.1).or_default() -= 1;
            *self.tiers.entry(tier).or_default() += 1;
        }
    }

    /// Puts a member into a state, with all that hangs on it.
    fn set(&mut self, name: &Name, to: State, cause: &'static str, by: &Name, from: Option<State>) {
        let (now, timing) = (self.now, self.timing());
        let Some(member) = self.members.get_mut(name) else { return };
        let fresh = cause == "it was not known";
        let (was, was_there) = (member.state, member.there());
        member.state = to;
        member.accusers.clear();
        if to == State::Suspect {
            member.accusers.push(by.clone());
            (member.until, member.looks, member.looked) = (now + timing.alone, 0, now);
        }
        if was != to || fresh {
            member.since = now;
        }
        if was_there != member.there() {
            self.digest ^= member.record.digest();
            let of_tier = self.tiers.entry(member.record.tier).or_default();
            if was_there {
                (self.there, *of_tier) = (self.there - 1, *of_tier - 1);
            } else {
                (self.there, *of_tier) = (self.there + 1, *of_tier + 1);
            }
        }
        let generation = member.record.generation;
        let put = |set: &mut BTreeSet<Name>, holds: bool| {
            if holds {
                set.insert(name.clone())
            } else {
                set.remove(name)
            };
        };
        put(&mut self.suspects, to == State::Suspect);
        put(&mut self.gone, to == State::Gone);
        if to == State::Gone || was == State::Gone {
            // Whoever is gone is tried soon, and ever more seldom while nothing changes.
            self.try_gap = timing.longest_pause / 2;
            self.next_try = self.next_try.min(now + self.try_gap);
        }
        if was != to || fresh || from.is_some() {
            self.learned = true;
            let from = if fresh { None } else { from.or(Some(was)) };
            let change = Change { name: name.clone(), generation, from, to, cause, by: by.clone() };
            self.out.push_back(Output::Changed(change));
        }
        if to == State::Suspect {
            self.shorten(name);
        }
    }

    /// Somebody says that a member does not answer.
    fn accuse(&mut self, name: &Name, by: Name, fully: bool, cause: &'static str) {
        let parts = self.parts();
        let Some(member) = self.members.get(name) else { return };
        if !parts.suspicion || (fully && !parts.own_time) {
            if member.state != State::Gone {
                self.set(name, State::Gone, cause, &by, None);
                self.spread_about(name);
            }
            return;
        }
        match member.state {
            State::Alive => {
                self.set(name, State::Suspect, cause, &by, None);
                self.spread_about(name);
            }
            State::Suspect if !member.accusers.contains(&by) && member.accusers.len() < ACCUSERS => {
                if let Some(member) = self.members.get_mut(name) {
                    member.accusers.push(by.clone());
                    let claim = Claim { record: member.record.clone(), state: State::Suspect, by };
                    self.spread(claim);
                }
                self.shorten(name);
            }
            _ => {}
        }
        if fully
            && let Some(member) = self.members.get_mut(name)
            && member.state == State::Suspect
        {
            // Danger: the other side of a cut calls all of this side gone. Its word counts in full, and still
            // whoever lives has the time to deny it.
            member.until = member.until.min(member.since + self.config.timing.suspicion);
        }
    }

    /// Suspicion is the shorter the more accuse.
    fn shorten(&mut self, name: &Name) {
        let timing = self.timing();
        // In a fleet of three nobody but the other can agree.
        let wanted = ACCUSERS.min(self.there.saturating_sub(1)).max(1);
        let Some(member) = self.members.get_mut(name) else { return };
        let share = match wanted {
            1 => 1.0,
            _ => ((member.accusers.len() as f64).ln() / (wanted as f64).ln()).min(1.0),
        };
        let time = timing.alone - (timing.alone - timing.suspicion).mul_f64(share);
        member.until = member.until.min(member.since + time);
    }

    /// When a suspect is looked at once more, or its suspicion ends.
    fn look_due(&self, member: &Member) -> Time {
        let left = if self.parts().last_look { LOOKS.saturating_sub(member.looks) } else { 0 };
        let timing = self.timing();
        let next = member.until.saturating_sub(timing.suspicion / LOOKS * left);
        if left == 0 { member.until } else { next.max(member.looked + timing.direct).min(member.until) }
    }

    fn end_suspicions(&mut self) {
        let now = self.now;
        let due: Vec<Name> = self
            .suspects
            .iter()
            .filter(|name| self.members.get(*name).is_some_and(|m| self.look_due(m) <= now))
            .cloned()
            .collect();
        for name in due {
            // Danger: its denial may have come to all but this one, as nobody tells the same word for ever.
            let (seq, direct) = (self.seq(), self.timing().direct);
            let last_look = self.parts().last_look;
            if let Some(member) = self.members.get_mut(&name).filter(|m| last_look && m.looks < LOOKS) {
                (member.looks, member.looked) = (member.looks + 1, now);
                // One look at least is answered or not, however short the suspicion has become.
                if member.looks == 1 || member.looks == LOOKS {
                    member.until = member.until.max(now + direct);
                }
                if member.until <= now + direct {
                    member.looks = LOOKS;
                }
                let record = member.record.clone();
                let (name, generation) = (record.name.clone(), record.generation);
                self.send_to(&record, Kind::Ping { seq, name, generation });
                continue;
            }
            // Danger: one that nobody answers can't tell the dead from those it does not hear.
            if self.isolated() {
                let until = now + self.timing().suspicion;
                if let Some(member) = self.members.get_mut(&name) {
                    member.until = until;
                }
                continue;
            }
            let me = self.me.name.clone();
            self.set(&name, State::Gone, "it did not answer for long", &me, None);
            self.spread_about(&name);
        }
    }

    // Probes

    fn begin_period(&mut self) {
        self.conclude();
        let timing = self.timing();
        let period = timing.period * (1 + self.doubt);
        self.next_period = self.now + period;
        self.forget();
        if self.superseded || self.leaving {
            return;
        }
        let Some(record) = self.next_to_probe() else { return };
        let direct = timing.direct * (1 + self.doubt);
        let seq = self.seq();
        self.traffic.probes += 1;
        self.probe = Some(Probe {
            name: record.name.clone(),
            generation: record.generation,
            seq,
            again: Some(self.now + timing.again * (1 + self.doubt)),
            ask: Some(self.now + direct),
            ends: self.now + period.mul_f64(0.95),
            helpers: 0,
            nacks: 0,
        });
        let (name, generation) = (record.name.clone(), record.generation);
        self.send_to(&record, Kind::Ping { seq, name, generation });
    }

    fn next_to_probe(&mut self) -> Option<Record> {
        for _ in 0..=self.order.len() {
            if self.place >= self.order.len() {
                self.place = 0;
                self.order.retain(|name| self.members.contains_key(name));
                let (order, rng) = (&mut self.order, &mut self.rng);
                rng.shuffle(order);
            }
            let name = self.order.get(self.place)?;
            self.place += 1;
            if let Some(member) = self.members.get(name).filter(|m| m.there()) {
                return Some(member.record.clone());
            }
        }
        None
    }

    fn go_on_probing(&mut self) {
        let now = self.now;
        let Some(probe) = &mut self.probe else { return };
        let (seq, name, generation) = (probe.seq, probe.name.clone(), probe.generation);
        let again = probe.again.take_if(|at| *at <= now).is_some();
        let ask = probe.ask.take_if(|at| *at <= now).is_some();
        let ended = probe.ends <= now;
        let Some(record) = self.members.get(&name).map(|m| m.record.clone()) else {
            self.probe = None;
            return;
        };
        if again && !ask {
            self.send_to(&record, Kind::Ping { seq, name: name.clone(), generation });
        }
        if ask && self.parts().indirect {
            let helpers = self.helpers(&record);
            if let Some(probe) = &mut self.probe {
                probe.helpers = helpers.len();
            }
            for helper in helpers {
                let (name, ip, port) = (name.clone(), record.ip, record.port);
                self.send_to(&helper, Kind::Ask { seq, name, generation, ip, port });
            }
        }
        if ended {
            self.conclude();
        }
    }

    /// One member drawn among those that fit, without looking at all of them; none if none is met soon.
    fn any(&mut self, fits: impl Fn(&Member) -> bool) -> Option<Record> {
        for _ in 0..24 {
            if self.order.is_empty() {
                return None;
            }
            let name = &self.order[self.rng.usize(..self.order.len())];
            if let Some(member) = self.members.get(name).filter(|m| fits(m)) {
                return Some(member.record.clone());
            }
        }
        None
    }

    /// Who may probe for this one: one of the other's zone, one of its own, others.
    fn helpers(&mut self, of: &Record) -> Vec<Record> {
        let (theirs, own) = (of.zone.clone(), self.me.zone.clone());
        let mut picked: Vec<Record> = Vec::new();
        for zone in [Some(theirs), Some(own), None] {
            let free = |m: &Member, zone: &Option<Name>| {
                m.state == State::Alive
                    && m.record.name != of.name
                    && !picked.iter().any(|p| p.name == m.record.name)
                    && zone.as_ref().is_none_or(|zone| m.record.zone == *zone)
            };
            let helper = self.any(|m| free(m, &zone)).or_else(|| self.any(|m| free(m, &None)));
            picked.extend(helper);
        }
        picked
    }

    /// The probe's time is over.
    fn conclude(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        self.traffic.probes_failed += 1;
        self.failed += 1;
        // Danger: helpers that say nothing either show that the fault may be this one's own.
        let silent = probe.helpers.saturating_sub(probe.nacks);
        if self.parts().awareness && (silent > 0 || probe.helpers == 0) {
            self.doubt = (self.doubt + 1).min(DOUBT);
        }
        if self.isolated() {
            return;
        }
        if self.members.get(&probe.name).is_some_and(|m| m.record.generation == probe.generation && m.there())
        {
            let me = self.me.name.clone();
            self.accuse(&probe.name, me, false, "it did not answer");
        }
    }

    fn favours(&mut self) {
        while self.favours.front().is_some_and(|favour| favour.ends <= self.now) {
            if let Some(favour) = self.favours.pop_front() {
                self.send(favour.for_whom, 2, Kind::Nack { seq: favour.their_seq }, None);
            }
        }
    }

    /// Those that are gone, and seeds that are not known, are tried one at a time.
    fn try_others(&mut self) {
        let timing = self.timing();
        let known: BTreeSet<SocketAddrV4> =
            self.members.values().filter(|m| m.there()).map(|m| m.record.address()).collect();
        let mine = self.me.address();
        let seeds: Vec<SocketAddrV4> =
            self.config.seeds.iter().copied().filter(|at| *at != mine && !known.contains(at)).collect();
        if self.there == 0 && !self.superseded && !self.leaving && !seeds.is_empty() {
            // Alone: a whole view is asked for, now here, now there.
            let first = self.rng.usize(..seeds.len());
            self.out.push_back(Output::Exchange(seeds[first]));
            for seed in seeds.iter().cycle().skip(first).take(seeds.len().min(SEEDS)) {
                self.wildcard(*seed);
            }
        } else if self.parts().tries_gone && !self.superseded && !self.leaving {
            let gone = self.gone.len();
            let pick = self.rng.usize(..(gone + seeds.len()).max(1));
            let picked = self.gone.iter().nth(pick).and_then(|name| self.members.get(name));
            if let Some(record) = picked.map(|m| m.record.clone()) {
                let (seq, name, generation) = (self.seq(), record.name.clone(), record.generation);
                self.send_to(&record, Kind::Ping { seq, name, generation });
            } else if let Some(seed) = seeds.get(pick.saturating_sub(gone)) {
                self.wildcard(*seed);
            }
        }
        let gap = if self.there == 0 { self.try_gap.min(timing.longest_pause) } else { self.try_gap };
        self.next_try = self.now + gap.mul_f64(0.75 + 0.5 * self.rng.f64());
        self.try_gap = (self.try_gap * 2).min(timing.try_gone);
    }

    fn wildcard(&mut self, to: SocketAddrV4) {
        let seq = self.seq();
        self.send(to, 1, Kind::Ping { seq, name: Name::default(), generation: 0 }, None);
    }

    /// Those that have been gone for long are dropped.
    fn forget(&mut self) {
        let (now, after) = (self.now, self.timing().forget);
        let old: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, m)| !m.there() && m.since + after <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            self.members.remove(&name);
            self.gone.remove(&name);
        }
    }

    // What goes out

    fn seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn claim_about(&self, name: &Name) -> Option<Claim> {
        let member = self.members.get(name)?;
        let by = member.accusers.first().unwrap_or(&self.me.name).clone();
        Some(Claim { record: member.record.clone(), state: member.state, by })
    }

    fn spread_about(&mut self, name: &Name) {
        if let Some(claim) = self.claim_about(name) {
            self.spread(claim);
        }
    }

    /// Puts a word into what is gossiped, in place of what it makes old.
    fn spread(&mut self, claim: Claim) {
        if !self.parts().exchanges && claim.state == State::Alive && claim.record.name != self.me.name {
            return;
        }
        self.queue.add(claim, self.config.most * 2);
    }

    /// So many times a word is passed on: a little over what reaches all.
    fn times(&self) -> u32 {
        3 + ((self.there + 2) as f64).ln().ceil() as u32
    }

    fn gossip(&mut self, to: usize) {
        if self.superseded {
            return;
        }
        let mut picked: Vec<Record> = Vec::with_capacity(to);
        for _ in 0..to * 4 {
            if picked.len() < to
                && let Some(record) = self.any(|m| m.there())
                && !picked.iter().any(|p| p.name == record.name)
            {
                picked.push(record);
            }
        }
        for record in picked {
            if self.queue.is_empty() {
                return;
            }
            self.send_to(&record, Kind::Gossip);
        }
    }

    /// Sends to a member, and first of all what is held against it.
    fn send_to(&mut self, record: &Record, kind: Kind) {
        let member = self.members.get(&record.name);
        let held = member.is_some_and(|m| matches!(m.state, State::Suspect | State::Gone));
        let first = if held { self.claim_about(&record.name) } else { None };
        self.send(record.address(), record.formats.1, kind, first);
    }

    fn send(&mut self, to: SocketAddrV4, format: u8, kind: Kind, first: Option<Claim>) {
        if self.superseded {
            return;
        }
        let mut room = MAX_DATAGRAM - 220 - 2 * MAX_NAME;
        let mut claims: Vec<Claim> = Vec::new();
        if let Some(claim) = first {
            room = room.saturating_sub(claim_size(&claim));
            claims.push(claim);
        }
        let times = self.times();
        claims.extend(self.queue.next(room, MAX_CLAIMS - 1, times, claim_size));
        let body = Body { from: self.me.clone(), leaving: self.leaving, kind, claims };
        let format = format.clamp(self.config.formats.0, self.config.formats.1);
        let bytes = encode(self.fleet, format, &Packet { body, digest: Some(self.digest) });
        debug_assert!(bytes.len() <= MAX_DATAGRAM, "invariant broken: a datagram of {}", bytes.len());
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.out.push_back(Output::Send(to, bytes));
    }

    /// Its view, with all it counts.
    pub fn report(&self) -> Report {
        let ms = |time: Time| time.as_millis() as u64;
        let (reached, known) = self.reach();
        let mut zones: BTreeMap<&Name, (usize, usize)> = BTreeMap::from([(&self.me.zone, (1, 1))]);
        for member in self.members.values().filter(|m| m.state != State::Left) {
            let zone = zones.entry(&member.record.zone).or_default();
            zone.0 += usize::from(member.state == State::Alive && reached > 1);
            zone.1 += 1;
        }
        let zone = |(zone, (reached, known)): (&Name, (usize, usize))| Reach {
            zone: zone.to_string(),
            reached,
            known,
        };
        let row = |m: &Member| Row {
            name: m.record.name.to_string(),
            state: m.state.word(),
            for_ms: ms(self.now.saturating_sub(m.since)),
            heard_ms: m.heard.map(|at| ms(self.now.saturating_sub(at))),
            generation: m.record.generation,
            incarnation: m.record.incarnation,
            address: m.record.address().to_string(),
            zone: m.record.zone.to_string(),
            tier: m.record.tier,
            rank: m.record.rank,
            formats: m.record.formats,
            suspected_by: m.accusers.iter().map(Name::to_string).collect(),
        };
        Report {
            fleet: self.config.fleet.clone(),
            name: self.me.name.to_string(),
            generation: self.me.generation,
            incarnation: self.me.incarnation,
            reached,
            known,
            zones: zones.into_iter().map(zone).collect(),
            isolated: self.isolated(),
            unheard: self.unheard(),
            superseded: self.superseded,
            own_slowness: self.doubt,
            refuted: self.refuted,
            late: self.late,
            twins: self.twins,
            digest: format!("{:016x}", self.digest),
            traffic: self.traffic,
            dropped: self.dropped,
            members: self.members.values().map(row).collect(),
        }
    }

    /// What is counted of messages.
    pub fn counted(&self) -> (Traffic, Dropped) {
        (self.traffic, self.dropped)
    }
}
