//! What each member of a played fleet sends and receives, by kind of traffic, and its summary by role.
//!
//! Bytes are payload: the body of a datagram, or what is written to a connection, without headers of IP, UDP or TCP. What
//! is sent counts at the sender even if it is lost; what is received counts when it arrives at a host that listens, even
//! if the socket's queue is full or its owner has closed the connection.

use crate::kernel::{Nanos, SEC};
use crate::net::HostId;
use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::AddAssign;

/// Seconds of the window whose traffic is limited.
pub const WINDOW_SECONDS: usize = 10;
/// The first bytes of a membership datagram.
const MEMBERSHIP_HEAD: &[u8] = b"cf";
/// The first bytes of a connection that carries a message of the plan.
const PLAN_STREAM_HEAD: &[u8] = b"cl\xff\xff";
/// A member that led in this share of the samples is counted as a leader.
const LEADER_SHARE: f64 = 0.25;

/// A kind of traffic between members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficKind {
    /// Datagrams of the membership protocol.
    MembershipDatagram,
    /// Exchanges of whole views over connections.
    MembershipStream,
    /// Messages of the budget protocol.
    Budget,
    /// Messages of the plan that fit into a datagram.
    PlanDatagram,
    /// Messages of the plan over connections.
    PlanStream,
    /// Datagrams that none of the protocols sends.
    Unknown,
}

impl TrafficKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [TrafficKind; 6] = [
        TrafficKind::MembershipDatagram,
        TrafficKind::MembershipStream,
        TrafficKind::Budget,
        TrafficKind::PlanDatagram,
        TrafficKind::PlanStream,
        TrafficKind::Unknown,
    ];

    /// The kind of a datagram.
    pub fn of_datagram(bytes: &[u8]) -> TrafficKind {
        if cometcroft_budget::is_budget_datagram(bytes) {
            TrafficKind::Budget
        } else if cometcroft_consensus::is_consensus_message(bytes) {
            TrafficKind::PlanDatagram
        } else if bytes.starts_with(MEMBERSHIP_HEAD) {
            TrafficKind::MembershipDatagram
        } else {
            TrafficKind::Unknown
        }
    }

    /// The kind of a connection whose opener writes these bytes first.
    pub fn of_stream(first: &[u8]) -> TrafficKind {
        match first.starts_with(PLAN_STREAM_HEAD) {
            true => TrafficKind::PlanStream,
            false => TrafficKind::MembershipStream,
        }
    }
}

/// Which way traffic goes, as one member sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// It arrives.
    In,
    /// It leaves.
    Out,
}

/// A figure for each direction, and for both together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Flow<T> {
    /// What arrives.
    #[serde(rename = "in")]
    pub received: T,
    /// What leaves.
    #[serde(rename = "out")]
    pub sent: T,
    /// The sum of both.
    pub both: T,
}

impl<T> Flow<T> {
    fn map<U>(&self, mut figure: impl FnMut(&T) -> U) -> Flow<U> {
        Flow { received: figure(&self.received), sent: figure(&self.sent), both: figure(&self.both) }
    }
}

impl<T: AddAssign + Copy> Flow<T> {
    fn add(&mut self, direction: Direction, amount: T) {
        self.both += amount;
        match direction {
            Direction::In => self.received += amount,
            Direction::Out => self.sent += amount,
        }
    }
}

/// Messages and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Volume {
    /// Messages: datagrams, and on a connection one for each side that says something.
    pub messages: u64,
    /// Bytes of payload.
    pub bytes: u64,
}

impl AddAssign for Volume {
    fn add_assign(&mut self, other: Volume) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// Bytes of the last [`WINDOW_SECONDS`] seconds, and the most that any such window held. Windows begin at whole seconds.
#[derive(Debug, Clone, Default)]
struct SlidingWindow {
    seconds: [Flow<u64>; WINDOW_SECONDS],
    last_second: u64,
    sum: Flow<u64>,
    worst: Flow<u64>,
}

impl SlidingWindow {
    fn record(&mut self, second: u64, direction: Direction, bytes: u64) {
        self.advance(second);
        self.seconds[second as usize % WINDOW_SECONDS].add(direction, bytes);
        self.sum.add(direction, bytes);
        self.worst.received = self.worst.received.max(self.sum.received);
        self.worst.sent = self.worst.sent.max(self.sum.sent);
        self.worst.both = self.worst.both.max(self.sum.both);
    }

    fn advance(&mut self, second: u64) {
        let passed = second.saturating_sub(self.last_second).min(WINDOW_SECONDS as u64);
        for step in 0..passed {
            let expired = &mut self.seconds[(second - step) as usize % WINDOW_SECONDS];
            self.sum.received -= expired.received;
            self.sum.sent -= expired.sent;
            self.sum.both -= expired.both;
            *expired = Flow::default();
        }
        self.last_second = self.last_second.max(second);
    }
}

/// The traffic of one kind at one member.
#[derive(Debug, Clone, Default)]
struct Account {
    volume: Flow<Volume>,
    window: SlidingWindow,
}

impl Account {
    fn record(&mut self, second: u64, direction: Direction, volume: Volume) {
        self.volume.add(direction, volume);
        self.window.record(second, direction, volume.bytes);
    }
}

/// All traffic of one member in one period.
#[derive(Debug, Clone, Default)]
struct Book {
    kinds: [Account; TrafficKind::ALL.len()],
    total: Account,
}

impl Book {
    fn record(&mut self, second: u64, kind: TrafficKind, direction: Direction, volume: Volume) {
        self.kinds[kind as usize].record(second, direction, volume);
        self.total.record(second, direction, volume);
    }
}

/// The counters of all hosts: over the whole run, and from the time on at which the fleet is to be steady.
#[derive(Debug, Default)]
pub struct CostLedger {
    steady_from: Nanos,
    whole: Vec<Book>,
    steady: Vec<Book>,
}

impl CostLedger {
    /// A ledger whose steady period begins at this time.
    pub fn new(steady_from: Nanos) -> CostLedger {
        CostLedger { steady_from, ..CostLedger::default() }
    }

    /// Counts traffic of a host.
    pub fn record(
        &mut self,
        now: Nanos,
        host: HostId,
        kind: TrafficKind,
        direction: Direction,
        volume: Volume,
    ) {
        let (place, second) = (host.0 as usize, now / SEC);
        book(&mut self.whole, place).record(second, kind, direction, volume);
        if now >= self.steady_from {
            book(&mut self.steady, place).record(second, kind, direction, volume);
        }
    }
}

fn book(books: &mut Vec<Book>, place: usize) -> &mut Book {
    if books.len() <= place {
        books.resize_with(place + 1, Book::default);
    }
    &mut books[place]
}

/// What a member does for the fleet. One that leads the plan and divides the budget is counted in both roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Neither votes nor leads.
    Plain,
    /// Votes for the plan or the budget, and leads neither.
    Voter,
    /// Leads the plan.
    PlanLeader,
    /// Divides the budget.
    Allocator,
}

/// How often members were seen in the roles that change hands.
#[derive(Debug, Clone, Default)]
pub struct RoleSamples {
    plan_leaders: BTreeMap<HostId, u32>,
    allocators: BTreeMap<HostId, u32>,
}

impl RoleSamples {
    /// A host was seen to lead the plan.
    pub fn leads(&mut self, host: HostId) {
        *self.plan_leaders.entry(host).or_default() += 1;
    }

    /// A host was seen to divide the budget.
    pub fn allocates(&mut self, host: HostId) {
        *self.allocators.entry(host).or_default() += 1;
    }

    /// The roles of a host.
    fn roles(&self, host: HostId, votes: bool) -> Vec<Role> {
        let mut roles = Vec::new();
        if seen_enough(&self.plan_leaders, host) {
            roles.push(Role::PlanLeader);
        }
        if seen_enough(&self.allocators, host) {
            roles.push(Role::Allocator);
        }
        if roles.is_empty() {
            roles.push(if votes { Role::Voter } else { Role::Plain });
        }
        roles
    }
}

fn seen_enough(samples: &BTreeMap<HostId, u32>, host: HostId) -> bool {
    let all: u32 = samples.values().sum();
    let own = samples.get(&host).copied().unwrap_or(0);
    own > 0 && f64::from(own) >= LEADER_SHARE * f64::from(all)
}

/// A member whose traffic is summarised.
#[derive(Debug, Clone, Copy)]
pub struct Payer {
    /// Its host.
    pub host: HostId,
    /// It votes for the plan or the budget.
    pub votes: bool,
    /// Seconds that it lived in the period.
    pub lived_s: f64,
}

/// A period of a run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Period {
    /// Its beginning, in virtual seconds.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
}

/// What a run cost its members.
#[derive(Debug, Clone, Serialize)]
pub struct CostReport {
    /// Over the whole run.
    pub whole: PeriodCost,
    /// Over its last seconds, if they are long enough after the last fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub steady: Option<PeriodCost>,
}

/// What a period of a run cost its members.
#[derive(Debug, Clone, Serialize)]
pub struct PeriodCost {
    /// The period.
    #[serde(flatten)]
    pub period: Period,
    /// All messages and bytes of all members.
    pub totals: BTreeMap<TrafficKind, Flow<Volume>>,
    /// What one member bears, by its role.
    pub roles: BTreeMap<Role, RoleCost>,
}

/// What members of one role bear.
#[derive(Debug, Clone, Serialize)]
pub struct RoleCost {
    /// So many have this role.
    pub members: usize,
    /// All kinds together.
    pub total: KindCost,
    /// Each kind that they sent or received.
    pub kinds: BTreeMap<TrafficKind, KindCost>,
}

/// What members of one role bear of one kind of traffic.
#[derive(Debug, Clone, Serialize)]
pub struct KindCost {
    /// Messages a second.
    pub messages_s: Flow<Spread>,
    /// Bytes a second.
    pub bytes_s: Flow<Spread>,
    /// Bytes in a member's worst window of [`WINDOW_SECONDS`].
    pub window_bytes: Flow<Spread>,
}

/// A figure over members.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The middle one.
    pub median: f64,
    /// 99 of 100 have no more.
    pub p99: f64,
    /// The greatest.
    pub max: f64,
}

impl Spread {
    /// The spread of these figures; all zero where there are none.
    pub fn of(mut figures: Vec<f64>) -> Spread {
        figures.sort_by(f64::total_cmp);
        let ranked = |share: f64| {
            let rank = (share * figures.len() as f64).ceil() as usize;
            figures.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Spread { median: ranked(0.5), p99: ranked(0.99), max: ranked(1.0) }
    }
}

impl CostLedger {
    /// Bytes of a host's worst window, received and sent, of the whole run and of the steady period.
    pub fn worst_windows(&self, host: HostId) -> (u64, u64) {
        let worst =
            |books: &[Book]| books.get(host.0 as usize).map_or(0, |book| book.total.window.worst.both);
        (worst(&self.whole), worst(&self.steady))
    }

    /// Summarises the whole run.
    pub fn whole(&self, period: Period, payers: &[Payer], samples: &RoleSamples) -> PeriodCost {
        summarise(&self.whole, period, payers, samples)
    }

    /// Summarises the steady period.
    pub fn steady(&self, period: Period, payers: &[Payer], samples: &RoleSamples) -> PeriodCost {
        summarise(&self.steady, period, payers, samples)
    }
}

fn summarise(books: &[Book], period: Period, payers: &[Payer], samples: &RoleSamples) -> PeriodCost {
    let silent = Book::default();
    let of = |payer: &Payer| books.get(payer.host.0 as usize).unwrap_or(&silent);
    let mut by_role: BTreeMap<Role, Vec<(&Payer, &Book)>> = BTreeMap::new();
    let mut totals: BTreeMap<TrafficKind, Flow<Volume>> = BTreeMap::new();
    for payer in payers {
        for role in samples.roles(payer.host, payer.votes) {
            by_role.entry(role).or_default().push((payer, of(payer)));
        }
        for kind in TrafficKind::ALL {
            let volume = of(payer).kinds[kind as usize].volume;
            if volume.both.messages > 0 {
                let total = totals.entry(kind).or_default();
                total.add(Direction::In, volume.received);
                total.add(Direction::Out, volume.sent);
            }
        }
    }
    let roles = by_role.into_iter().map(|(role, books)| (role, role_cost(&books))).collect();
    PeriodCost { period, totals, roles }
}

fn role_cost(books: &[(&Payer, &Book)]) -> RoleCost {
    let of = |kind: TrafficKind| books.iter().map(move |(payer, book)| (*payer, &book.kinds[kind as usize]));
    let passed = |kind: &TrafficKind| of(*kind).any(|(_, account)| account.volume.both.messages > 0);
    let kinds = TrafficKind::ALL.into_iter().filter(passed);
    RoleCost {
        members: books.len(),
        total: kind_cost(books.iter().map(|(payer, book)| (*payer, &book.total))),
        kinds: kinds.map(|kind| (kind, kind_cost(of(kind)))).collect(),
    }
}

fn kind_cost<'a>(accounts: impl Iterator<Item = (&'a Payer, &'a Account)>) -> KindCost {
    let accounts: Vec<(&Payer, &Account)> = accounts.collect();
    let rate = |amount: u64, payer: &Payer| amount as f64 / payer.lived_s.max(f64::MIN_POSITIVE);
    let flows = |figures: &dyn Fn(&Payer, &Account) -> Flow<f64>| -> Flow<Spread> {
        let all: Vec<Flow<f64>> = accounts.iter().map(|(payer, account)| figures(payer, account)).collect();
        let spread = |pick: fn(&Flow<f64>) -> f64| Spread::of(all.iter().map(pick).collect());
        Flow { received: spread(|f| f.received), sent: spread(|f| f.sent), both: spread(|f| f.both) }
    };
    KindCost {
        messages_s: flows(&|payer, account| account.volume.map(|volume| rate(volume.messages, payer))),
        bytes_s: flows(&|payer, account| account.volume.map(|volume| rate(volume.bytes, payer))),
        window_bytes: flows(&|_, account| account.window.worst.map(|bytes| *bytes as f64)),
    }
}
