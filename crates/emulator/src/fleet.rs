//! Fleets on the virtual clock: the sidecar's own driver of membership, many times over, under a script of faults, held
//! against the rules by the same judge that real processes are held against.

use crate::agree;
use crate::cost::{CostLedger, CostReport, Payer, Period, RoleSamples};
use crate::dice::Dice;
use crate::kernel::{Kernel, MS, Nanos, Pid, SEC};
use crate::net::{HostId, Links, Net};
use crate::platform::Emulated;
use crate::share::{self, Divide, Follow, LEVEL, RATE, ShareReport, Spent, Till};
use cometcroft_membership::{Config, Features, Name, State, Timing};
use cometcroft_platform::Platform;
use cometcroft_script::{
    Action, BudgetPlan, Checker, CommandKind, LinkFaults, MemberView, Plan, PlanStatus, SettingsOverride,
    Violation, check_plans_agree,
};
use cometcroft_sidecar::fleet::{Fleet, FleetParts};
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

enum Event {
    Act(usize),
    /// A member that was asked to leave ends, if it is still this life of it.
    End(usize, u32),
    Look,
    Equal,
    Garbage(usize, u32),
    /// A member that shares its processor with so many loses it, and gets it back.
    Slice(usize, u32),
    Back(usize, u32),
}

/// Descriptors of a member, and what a busy loop has of the processor at a time.
const DESCRIPTORS: usize = 64;
const SLICE: Nanos = 4 * MS;

type World = Kernel<Event>;
type Sim = Emulated<Event>;
/// Changes of state as they came: who saw them, whom they concern, which start, from, to.
type Changes = Rc<RefCell<Vec<(usize, Name, u64, Option<State>, State)>>>;

struct Seat {
    name: Name,
    zone: Name,
    host: HostId,
    address: SocketAddrV4,
    process: Option<(Pid, Rc<Fleet<Sim>>)>,
    life: u32,
    garbage: u32,
    busy: u32,
    /// A pause of the script goes on.
    paused: bool,
    other: SettingsOverride,
    started: Nanos,
    lived: Nanos,
    sent: (u64, u64),
    /// When its process started, by that process' own clock.
    origin: Option<Instant>,
}

/// What a fleet's run has given.
#[derive(Debug, Clone, Serialize)]
pub struct FleetReport {
    /// The script.
    pub script: String,
    /// The seed.
    pub seed: u64,
    /// Members at the beginning.
    pub members: usize,
    /// Virtual seconds.
    pub seconds: f64,
    /// For each member that died: until the first, and until all others knew.
    pub known_s: Vec<(f64, f64)>,
    /// Suspicions of members that lived and answered for all that was done to them, and such that were called gone.
    pub wronged: (u64, u64),
    /// Hours that members lived, over all.
    pub member_hours: f64,
    /// From the last fault until all views were equal and true, if they became so.
    pub equal_s: Option<f64>,
    /// Datagrams and bytes a second and member, sent.
    pub datagrams_s: f64,
    /// Bytes of datagrams and of exchanges.
    pub bytes_s: f64,
    /// Bytes of exchanges among them.
    pub exchange_bytes_s: f64,
    /// What the budget that it shares came to, if there is one.
    pub share: Option<ShareReport>,
    /// What its plan came to, if there is one.
    pub agreed: Option<AgreedReport>,
    /// What it cost each member, by role and kind of traffic.
    pub cost: Option<CostReport>,
    /// Rules that were broken.
    pub broken: Vec<Violation>,
}

/// A fleet being played.
pub struct FleetRun {
    plan: Plan,
    kernel: Rc<World>,
    judge: Checker,
    seats: Vec<Seat>,
    wires: LinkFaults,
    changes: Changes,
    parts: Features,
    dice: Dice,
    deaths: Vec<(usize, Nanos, Vec<Option<Nanos>>)>,
    /// The places in `deaths` of each seat's.
    deaths_of: Vec<Vec<usize>>,
    /// The seats of each name, in order.
    seats_of: FxHashMap<Name, Vec<usize>>,
    wronged: (u64, u64),
    equal_since: Option<Nanos>,
    exchanged: u64,
    divide: Divide,
    budget_parts: cometcroft_budget::Safeguards,
    till: Rc<RefCell<Till>>,
    log_parts: cometcroft_consensus::Features,
    answers: Answers,
    agreed: AgreedReport,
    agreed_since: Option<Nanos>,
    /// Entries that are not in force everywhere yet, and since when they are known; the last that was.
    entries: Vec<(u64, Nanos)>,
    settled: u64,
    sharing: Sharing,
    /// Who led and divided, over the whole run and in its steady period.
    roles: RoleSamples,
    steady_roles: RoleSamples,
}

/// What came of words: which, at which founding of the log, the entry or the reason.
type Answers = Rc<RefCell<Vec<(CommandKind, u64, Result<u64, String>)>>>;

/// What a plan came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AgreedReport {
    /// Words that were taken, refused by their reason's code, and not known to be either.
    pub taken: u64,
    /// Refused.
    pub refused: BTreeMap<String, u64>,
    /// Unknown.
    pub unknown: u64,
    /// From the last act until all stood at one place with it in force, if they did.
    pub equal_s: Option<f64>,
    /// From each entry's first sight anywhere until it was in force everywhere.
    pub in_force_s: Vec<f64>,
    /// Bytes of the log a second and member.
    pub bytes_s: f64,
}

/// What is counted of a budget.
#[derive(Default)]
struct Sharing {
    /// Uses of the level that go on: who began them, until when.
    open: Vec<(usize, Nanos)>,
    wanted: u64,
    admitted: u64,
    /// Once the fleet had started: what was had and what could have been; by member what it had and needed.
    had: f64,
    possible: f64,
    by_seat: Vec<(f64, f64)>,
    follow: Follow,
    most: f64,
    looked: Nanos,
    sent: (u64, u64),
    elections: u64,
}

fn time(at: Nanos) -> Duration {
    Duration::from_nanos(at)
}

impl FleetRun {
    /// A fleet before its first step, with these parts of the protocol at work.
    pub fn new(plan: Plan, parts: Features) -> FleetRun {
        let ms = MS as f64;
        let links =
            Links { local: 0.02 * ms, same: 0.3 * ms, cross: 2.0 * ms, client: 1.0 * ms, jitter: 0.5 };
        let kernel: Rc<World> = Kernel::new(Net::new(links, plan.seed));
        let places = plan.members.iter().map(|m| m.place + 1).max().unwrap_or(0);
        let hosts: Vec<HostId> = (0..places)
            .map(|place| {
                let zone = plan.members.iter().find(|m| m.place == place).map_or(0, |m| m.zone);
                kernel.with_net(|net| net.host(zone))
            })
            .collect();
        let seat = |member: &cometcroft_script::MemberPlan| Seat {
            name: Name::new(&member.name).unwrap_or_default(),
            zone: Name::new(&plan.zones[member.zone]).unwrap_or_default(),
            host: hosts[member.place],
            address: SocketAddrV4::new(
                Ipv4Addr::new(127, 9, (member.place >> 8) as u8, member.place as u8),
                7000,
            ),
            process: None,
            life: 0,
            garbage: 0,
            busy: 0,
            paused: false,
            other: SettingsOverride::default(),
            started: 0,
            lived: 0,
            sent: (0, 0),
            origin: None,
        };
        let seats: Vec<Seat> = plan.members.iter().map(seat).collect();
        let mut seats_of: FxHashMap<Name, Vec<usize>> = FxHashMap::default();
        for (i, seat) in seats.iter().enumerate() {
            seats_of.entry(seat.name.clone()).or_default().push(i);
        }
        for (i, act) in plan.acts.iter().enumerate() {
            kernel.world_at(act.at.as_nanos() as Nanos, Event::Act(i));
        }
        if let Some(regions) = plan.network.clone() {
            kernel.with_net(|net| net.set_regions(regions));
        }
        kernel.with_net(|net| net.count_costs(CostLedger::new(steady_from(&plan))));
        kernel.world_at(100 * MS, Event::Equal);
        kernel.world_at(100 * MS, Event::Look);
        FleetRun {
            judge: Checker::new(&plan, 1.0),
            dice: Dice::new(plan.seed, "fleet"),
            kernel,
            seats,
            wires: LinkFaults::default(),
            changes: Changes::default(),
            parts,
            deaths: Vec::new(),
            deaths_of: vec![Vec::new(); plan.members.len()],
            seats_of,
            wronged: (0, 0),
            equal_since: None,
            exchanged: 0,
            divide: Divide::default(),
            budget_parts: cometcroft_budget::Safeguards::default(),
            till: Rc::default(),
            log_parts: cometcroft_consensus::Features::default(),
            answers: Answers::default(),
            agreed: AgreedReport::default(),
            agreed_since: None,
            entries: Vec::new(),
            settled: 0,
            sharing: Sharing { by_seat: vec![(0.0, 0.0); plan.members.len()], ..Sharing::default() },
            roles: RoleSamples::default(),
            steady_roles: RoleSamples::default(),
            plan,
        }
    }

    /// The same with a log that has a planted defect.
    pub fn agreeing(mut self, parts: cometcroft_consensus::Features) -> FleetRun {
        self.log_parts = parts;
        self
    }

    /// The same with its budget divided in another way, or by a protocol with a defect.
    pub fn divided(mut self, divide: Divide, parts: cometcroft_budget::Safeguards) -> FleetRun {
        (self.divide, self.budget_parts) = (divide, parts);
        self
    }

    /// Plays to the end, or until a rule is broken if `stop` says so.
    pub fn play(&mut self, stop: bool) -> FleetReport {
        let until = self.plan.length.as_nanos() as Nanos;
        while let Some(event) = self.kernel.next(until) {
            if let Some(event) = event {
                self.happen(event);
            }
            self.kernel.run_ready();
            self.kernel.notes();
            self.kernel.taps();
            self.hear();
            self.hear_answers();
            self.share();
            if stop && !self.judge.violations.is_empty() {
                break;
            }
        }
        self.judge_the_division();
        self.judge_the_plans();
        self.judge_the_costs();
        for i in 0..self.seats.len() {
            self.count_life(i);
        }
        self.report()
    }

    /// Who runs, with where its plan stands.
    fn plans(&self) -> Vec<(usize, PlanStatus)> {
        let runs = |(i, seat): (usize, &Seat)| {
            let (_, fleet) = seat.process.as_ref().filter(|(pid, _)| !self.kernel.stopped(*pid))?;
            Some((i, agree::look(fleet.plan()?)))
        };
        self.seats.iter().enumerate().filter_map(runs).collect()
    }

    /// Long after the last fault all stand at one place.
    fn judge_the_plans(&mut self) {
        let now = time(self.kernel.now());
        if now >= self.plan.quiet_from + Duration::from_secs(6) {
            let plans = self.plans();
            self.judge.check_plans(now, &plans);
        }
        self.agreed.equal_s = self
            .agreed_since
            .map(|at| at.saturating_sub(self.plan.quiet_from.as_nanos() as Nanos) as f64 / 1e9);
    }

    /// No member sent and received more than the script allows.
    fn judge_the_costs(&mut self) {
        let limits = self.plan.limits;
        if limits.is_empty() {
            return;
        }
        let now = time(self.kernel.now());
        for (i, seat) in self.seats.iter().enumerate() {
            let worst = self.kernel.with_net(|net| net.costs().map(|costs| costs.worst_windows(seat.host)));
            let (whole, steady) = worst.unwrap_or_default();
            self.judge.check_traffic(now, i, "at some time", whole, limits.window_bytes);
            self.judge.check_traffic(now, i, "of the steady period", steady, limits.steady_window_bytes);
        }
    }

    /// What came of words, and how soon what is agreed is in force everywhere.
    fn hear_answers(&mut self) {
        if self.plan.keepers == 0 {
            return;
        }
        for (say, founding, taken) in std::mem::take(&mut *self.answers.borrow_mut()) {
            match taken {
                Ok(index) => {
                    self.agreed.taken += 1;
                    self.judge.record_acknowledgement(founding, index, say);
                }
                Err(code) if code == "log.unknown" => self.agreed.unknown += 1,
                Err(code) => *self.agreed.refused.entry(code).or_default() += 1,
            }
        }
    }

    /// Long after the last fault everybody who runs is answered by a divider.
    fn judge_the_division(&mut self) {
        let Some(budget) = &self.plan.budget else { return };
        let (now, lease) = (time(self.kernel.now()), budget.lease);
        if now < self.plan.quiet_from + lease * 3 {
            return;
        }
        for (i, seat) in self.seats.iter().enumerate() {
            let runs = seat.process.as_ref().filter(|(pid, _)| !self.kernel.stopped(*pid));
            let budget_driver = runs.and_then(|(_, fleet)| fleet.budget());
            // One that has just started has not been answered yet.
            let young = now < time(seat.started) + lease * 3;
            if let Some(budget_driver) = budget_driver.filter(|_| !young) {
                let answered = budget_driver
                    .with_budget(|budget, own| budget.core().has_allocator(budget.config(), own));
                self.judge.check_allocation(now, i, answered);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        let now = self.kernel.now();
        match event {
            Event::Act(i) => {
                let act = self.plan.acts[i].clone();
                self.judge.record_action(time(now), &act.action, act.line);
                self.act(act.action);
            }
            Event::End(i, life) => {
                if self.seats[i].life == life {
                    self.end(i);
                }
            }
            Event::Look => {
                for i in 0..self.seats.len() {
                    if let Some(look) = self.look(i) {
                        self.judge.check_view(time(now), i, &look);
                    }
                }
                let wait = 200 * MS * (1 + self.seats.len() as u64 / 50);
                self.kernel.world_at(now + wait, Event::Look);
            }
            Event::Equal => {
                let equal = self.equal();
                if !equal {
                    self.equal_since = None;
                } else if self.equal_since.is_none() {
                    self.equal_since = Some(now);
                }
                self.needs(now);
                self.look_at_plans(now);
                self.sample_roles(now);
                self.kernel.world_at(now + 100 * MS, Event::Equal);
            }
            Event::Slice(i, loops) => {
                if self.seats[i].busy != loops || loops == 0 {
                    return;
                }
                // A pause of the script's own is not cut short.
                let pid = self.seats[i].process.as_ref().map(|(pid, _)| *pid);
                if let Some(pid) = pid.filter(|pid| !self.kernel.stopped(*pid)) {
                    self.kernel.stop(pid);
                    self.kernel.world_at(now + SLICE * u64::from(loops), Event::Back(i, self.seats[i].life));
                }
                self.kernel.world_at(now + SLICE * u64::from(loops + 1), Event::Slice(i, loops));
            }
            Event::Back(i, life) => {
                if let Some((pid, _)) = self.seats[i].process.as_ref().filter(|_| self.seats[i].life == life)
                    && !self.seats[i].paused
                {
                    self.kernel.go_on(*pid);
                }
            }
            Event::Garbage(i, rate) => {
                if self.seats[i].garbage != rate || rate == 0 {
                    return;
                }
                let each = (rate / 1000).max(1);
                let to = SocketAddr::V4(self.seats[i].address);
                let from = SocketAddr::from(([127, 10, 0, 1], 9));
                for _ in 0..each {
                    let length = self.dice.below(1300);
                    let bytes: Vec<u8> = (0..length).map(|_| self.dice.below(256) as u8).collect();
                    self.kernel.with_net(|net| {
                        let host = net.clients();
                        net.send_datagram(from, host, to, &bytes);
                    });
                }
                self.kernel.world_at(now + MS * 1000 / u64::from(rate.min(1000)), Event::Garbage(i, rate));
            }
        }
    }

    fn act(&mut self, doing: Action) {
        let now = self.kernel.now();
        match doing {
            Action::Start(i) => self.start(i),
            Action::Stop(i) => {
                self.seats[i].paused = true;
                if let Some((pid, _)) = &self.seats[i].process {
                    self.kernel.stop(*pid);
                }
            }
            Action::Continue(i) => {
                self.seats[i].paused = false;
                if let Some((pid, _)) = &self.seats[i].process {
                    self.kernel.go_on(*pid);
                }
            }
            Action::Kill(i) => {
                self.died(i);
                self.end(i);
            }
            Action::Terminate(i) => {
                self.died(i);
                if let Some((_, fleet)) = &self.seats[i].process {
                    fleet.leave();
                }
                self.kernel.world_at(now + 2 * SEC, Event::End(i, self.seats[i].life));
            }
            Action::LinkFault(fault, from, to, wire) => {
                let FleetRun { wires, kernel, seats, .. } = self;
                wires.put(fault, (&from, &to), wire, |a, b, all| {
                    kernel.with_net(|net| net.wire(seats[a].host, seats[b].host, all));
                });
            }
            Action::Busy(i, loops) => {
                self.seats[i].busy = loops;
                self.kernel.world_at(now, Event::Slice(i, loops));
            }
            Action::Descriptors(i, most) => {
                if let Some((pid, _)) = &self.seats[i].process {
                    let most = if most == 0 { DESCRIPTORS } else { most as usize };
                    self.kernel.with_net(|net| net.limit(*pid, most));
                }
            }
            Action::ChangeSettings(i, other) => self.seats[i].other = other,
            Action::Command(i, spoken) => {
                let Some((pid, fleet)) = &self.seats[i].process else { return };
                let Some(plan_driver) = fleet.plan().cloned() else { return };
                let (answers, asked) = (self.answers.clone(), plan_driver.clone());
                self.kernel.spawn(*pid, async move {
                    let said = spoken.say;
                    let taken = agree::say(plan_driver, spoken).await;
                    let founding = asked.with_log(|log| log.position().bootstrap_id);
                    answers.borrow_mut().push((said, founding, taken));
                });
            }
            Action::Garbage(i, rate) => {
                self.seats[i].garbage = rate;
                self.kernel.world_at(now, Event::Garbage(i, rate));
            }
        }
    }

    fn start(&mut self, i: usize) {
        if self.seats[i].process.is_some() {
            return;
        }
        let seeds = self.seats[..self.plan.seeds].iter().map(|seat| seat.address).collect();
        let places: Vec<SocketAddrV4> =
            self.seats[..self.plan.first].iter().map(|seat| seat.address).collect();
        let seat = &mut self.seats[i];
        seat.life += 1;
        seat.started = self.kernel.now();
        let pid = self.kernel.with_net(|net| net.process(DESCRIPTORS));
        let mut platform = Sim::new(self.kernel.clone(), pid, seat.host);
        // No two clocks run alike: up to one in a hundred fast or slow.
        let pace = 0.99 + 0.02 * Dice::new(self.plan.seed, &format!("clock {i}")).unit();
        platform.run_slow(pace);
        let mut config = Config::new("played", seat.name.clone(), seat.address);
        config.zone = seat.zone.clone();
        config.rank = i as u16;
        config.seeds = seeds;
        config.timing = Timing::from_pause(seat.other.longest_pause.unwrap_or(self.plan.longest_pause));
        config.features = self.parts;
        if i < self.plan.old {
            config.formats = (1, 1);
        }
        let at = SocketAddr::V4(seat.address);
        let changes = self.changes.clone();
        let life = Dice::new(self.plan.seed, &format!("{} {i} life {} holds", seat.name, seat.life)).bits();
        let own = seat.address;
        let budget = self.plan.budget.as_ref().filter(|_| self.divide == Divide::Lease).map(|budget| {
            let rate = seat.other.rate.unwrap_or(budget.rate);
            let budget = BudgetPlan { rate, ..budget.clone() };
            let told = share::told(&self.plan, &budget, &places, own, self.budget_parts);
            share::parts(told, life)
        });
        let keepers = self.plan.keepers.min(places.len());
        let plan_parts = (keepers > 0).then(|| agree::parts(own, places[..keepers].to_vec(), self.log_parts));
        let parts = FleetParts {
            config,
            socket: platform.datagrams(at),
            listener: platform.listen(at),
            from: IpAddr::V4(*seat.address.ip()),
            watcher: Box::new(move |change| {
                let name = change.name.clone();
                changes.borrow_mut().push((i, name, change.generation, change.from, change.to));
            }),
            budget,
            plan: plan_parts,
        };
        let seed = Dice::new(self.plan.seed, &format!("{} {i} life {}", seat.name, seat.life)).bits();
        let (fleet, listener) = Fleet::new(platform.clone(), parts, self.plan.first as u32, seed);
        self.judge.set_generation(i, fleet.with_membership(|machine| machine.local_record().generation));
        seat.origin = Some(platform.now());
        let running = fleet.clone();
        self.kernel.spawn(pid, running.run(listener));
        if let Some(plan_driver) = fleet.plan().cloned() {
            let told = fleet.clone();
            self.kernel.spawn(pid, async move {
                loop {
                    told.changed().await;
                    plan_driver.mark_in_force();
                }
            });
        }
        if let Some(budget) = &self.plan.budget {
            let spends = (fleet.clone(), self.divide);
            share::load(&self.kernel, &platform, spends, (&self.plan, budget, i), &self.till);
        }
        seat.process = Some((pid, fleet));
    }

    fn died(&mut self, i: usize) {
        let others = self.seats.iter().map(|_| None).collect();
        if self.seats[i].process.is_some() {
            self.deaths_of[i].push(self.deaths.len());
            self.deaths.push((i, self.kernel.now(), others));
        }
    }

    fn end(&mut self, i: usize) {
        self.count_life(i);
        if let Some((pid, fleet)) = self.seats[i].process.take() {
            self.kernel.kill(pid);
            drop(fleet);
        }
    }

    /// Adds up what a life has sent.
    fn count_life(&mut self, i: usize) {
        let now = self.kernel.now();
        let seat = &mut self.seats[i];
        if let Some((_, fleet)) = &seat.process {
            let (traffic, _) = fleet.with_membership(|machine| machine.counters());
            seat.sent.0 += traffic.sent;
            seat.sent.1 += traffic.sent_bytes;
            self.exchanged += traffic.exchange_bytes / 2;
            if let Some(budget_driver) = fleet.budget() {
                let counted = budget_driver.with_budget(|budget, _| budget.counters());
                self.sharing.sent.0 += counted.sent;
                self.sharing.sent.1 += counted.sent_bytes;
                self.sharing.elections += counted.elections;
            }
            if let Some(plan_driver) = fleet.plan() {
                self.agreed.bytes_s += plan_driver.sent_bytes() as f64;
            }
            seat.lived += now - seat.started;
        }
    }

    fn look(&self, i: usize) -> Option<MemberView> {
        let (pid, fleet) = self.seats[i].process.as_ref()?;
        if self.kernel.stopped(*pid) {
            return None;
        }
        let at_work = fleet.sidecar_count();
        Some(fleet.with_membership(|machine| {
            let (reached, known) = machine.reach();
            MemberView {
                generation: machine.local_record().generation,
                who: machine
                    .present_members()
                    .map(|(name, generation)| (name.to_string(), generation))
                    .collect(),
                at_work,
                reached,
                known,
                superseded: machine.is_superseded(),
                plan: fleet.plan().map(|plan_driver| agree::look(plan_driver)),
                answered: None,
            }
        }))
    }

    /// All who live hold the same view, and as many are in it as live.
    fn equal(&self) -> bool {
        let mut views = self.seats.iter().filter_map(|seat| seat.process.as_ref()).map(|(_, fleet)| {
            fleet.with_membership(|machine| {
                (machine.is_superseded(), machine.digest(), machine.present_count())
            })
        });
        let speaking: Vec<(u64, usize)> =
            views.by_ref().filter(|(superseded, ..)| !superseded).map(|(_, d, n)| (d, n)).collect();
        speaking.iter().all(|view| view.0 == speaking[0].0 && view.1 == speaking.len())
    }

    /// What members have seen change.
    fn hear(&mut self) {
        let changes = std::mem::take(&mut *self.changes.borrow_mut());
        let now = self.kernel.now();
        for (observer, name, generation, _, to) in changes {
            let gone = to == State::Dead;
            self.judge.record_state_change(time(now), observer, name.as_str(), generation, gone);
            if to == State::Alive {
                continue;
            }
            let of_name = self.seats_of.get(&name).map_or(&[][..], Vec::as_slice);
            let seat = of_name.iter().copied().find(|&i| {
                let of = |(_, fleet): &(Pid, Rc<Fleet<Sim>>)| {
                    fleet.with_membership(|machine| machine.local_record().generation == generation)
                };
                self.seats[i].process.as_ref().is_some_and(of)
            });
            let dead = seat.is_some_and(|i| !self.deaths_of[i].is_empty());
            if let Some(seat) = seat.filter(|_| !dead)
                && matches!(to, State::Suspect | State::Dead)
                && !self.plan.harmed(seat, time(now))
                && !self.plan.harmed(observer, time(now))
            {
                self.wronged.0 += u64::from(!gone);
                self.wronged.1 += u64::from(gone);
            }
            if matches!(to, State::Dead | State::Left) {
                for &death in of_name.iter().flat_map(|&i| &self.deaths_of[i]) {
                    self.deaths[death].2[observer].get_or_insert(now);
                }
            }
        }
    }

    /// Where the fleet has started for the sake of the budget's figures.
    fn started(&self) -> Nanos {
        self.plan.budget.as_ref().map_or(0, |budget| 3 * budget.lease.as_nanos() as Nanos)
    }

    /// A tenth of a second of needs.
    fn needs(&mut self, now: Nanos) {
        let Some(budget) = self.plan.budget.clone() else { return };
        let runs = |seat: &Seat| seat.process.as_ref().is_some_and(|(pid, _)| !self.kernel.stopped(*pid));
        let need = |i: usize| budget.need(i, self.plan.first, time(now));
        let needs: Vec<f64> =
            self.seats.iter().enumerate().map(|(i, s)| if runs(s) { need(i) } else { 0.0 }).collect();
        let all: f64 = needs.iter().sum();
        let hot = (0..needs.len()).max_by(|a, b| need(*a).total_cmp(&need(*b))).unwrap_or_default();
        if now < self.started() {
            return;
        }
        self.sharing.possible += all.min(budget.rate) / 10.0;
        for (of, need) in self.sharing.by_seat.iter_mut().zip(&needs) {
            of.1 += need / 10.0;
        }
        // What the hot place can have once all others have what they need.
        let room = (budget.rate - (all - needs[hot])).max(budget.rate / self.plan.first as f64);
        self.sharing.follow.look(now, hot, needs[hot].min(room));
    }

    /// When each entry was first seen anywhere, and when it was in force everywhere.
    fn look_at_plans(&mut self, now: Nanos) {
        if self.plan.keepers == 0 {
            return;
        }
        let plans = self.plans();
        let last = plans.iter().map(|(_, look)| look.place.1).max().unwrap_or(0);
        let least = plans.iter().map(|(_, look)| look.in_force.0).min().unwrap_or(0);
        if self.entries.last().is_none_or(|(index, _)| *index < last) && last > 0 {
            self.entries.push((last, now));
        }
        while let Some((index, at)) = self.entries.first().copied().filter(|(index, _)| *index <= least) {
            // The last is kept, so that it is not taken for a new one.
            if self.entries.len() == 1 && self.settled >= index {
                break;
            }
            if self.settled < index {
                self.agreed.in_force_s.push((now - at) as f64 / 1e9);
                self.settled = index;
            }
            if self.entries.len() == 1 {
                break;
            }
            self.entries.remove(0);
        }
        match check_plans_agree(&plans) {
            Ok(()) => self.agreed_since = self.agreed_since.or(Some(now)),
            Err(_) => self.agreed_since = None,
        }
    }

    /// Holds what was spent and what is in force against the whole, after each step.
    fn share(&mut self) {
        let Some(budget) = &self.plan.budget else { return };
        let (rate, level) = (budget.rate, budget.level);
        let now = self.kernel.now();
        let spent: Vec<Spent> = {
            let mut till = self.till.borrow_mut();
            self.sharing.wanted += std::mem::take(&mut till.wanted);
            std::mem::take(&mut till.spent)
        };
        let started = self.started();
        for spent in &spent {
            if spent.whole == LEVEL {
                self.sharing.open.push((spent.seat, spent.ends));
                continue;
            }
            self.judge.record_admission(time(spent.at), Duration::ZERO);
            self.sharing.admitted += 1;
            self.sharing.follow.had(spent.seat, spent.at);
            if spent.at >= started {
                self.sharing.had += 1.0;
                self.sharing.by_seat[spent.seat].0 += 1.0;
            }
        }
        if self.divide != Divide::Lease {
            return;
        }
        // All that runs is added up after every step; in a large fleet every two milliseconds.
        if self.seats.len() > 16 && now < self.sharing.looked + 2 * MS {
            return;
        }
        self.sharing.looked = now;
        self.sharing.open.retain(|(_, ends)| *ends > now);
        let mut out = vec![0u64; self.seats.len()];
        for (seat, _) in &self.sharing.open {
            out[*seat] += 1000;
        }
        let (mut parts, mut places) = (0, 0);
        for (seat, out) in self.seats.iter().zip(&out) {
            let budget_driver = seat.process.as_ref().and_then(|(_, fleet)| fleet.budget());
            let Some(budget_driver) = budget_driver else {
                places += out;
                continue;
            };
            let (part, place) =
                budget_driver.with_budget(|budget, own| (budget.share(RATE, own), budget.share(LEVEL, own)));
            parts += part;
            places += place.max(*out);
        }
        self.sharing.most = self.sharing.most.max(parts as f64 / 1000.0 / rate);
        self.judge.check_shares(time(now), "parts of the rate", parts as f64 / 1000.0, rate);
        self.judge.check_shares(time(now), "parts of the level", places as f64 / 1000.0, f64::from(level));
        self.judge.check_concurrency(time(now), self.sharing.open.len() as u64, u64::from(level));
    }

    fn shared(&self, lived_s: f64) -> Option<ShareReport> {
        self.plan.budget.as_ref()?;
        let sharing = &self.sharing;
        let met: Vec<f64> =
            sharing.by_seat.iter().filter(|(_, need)| *need > 1.0).map(|(had, need)| had / need).collect();
        let (sum, squares) = (met.iter().sum::<f64>(), met.iter().map(|m| m * m).sum::<f64>());
        Some(ShareReport {
            wanted: sharing.wanted,
            admitted: sharing.admitted,
            used: sharing.had / sharing.possible.max(f64::MIN_POSITIVE),
            moved_s: sharing.follow.moved_s.clone(),
            most: sharing.most,
            bytes_s: sharing.sent.1 as f64 / lived_s,
            messages_s: sharing.sent.0 as f64 / lived_s,
            elections: sharing.elections,
            jain: sum * sum / (met.len() as f64 * squares).max(f64::MIN_POSITIVE),
        })
    }

    fn report(&self) -> FleetReport {
        let seconds = |from: Nanos, to: Nanos| (to.saturating_sub(from)) as f64 / 1e9;
        // Who was started again was not to be known as dead.
        let for_good = self.deaths.iter().filter(|(dead, ..)| self.seats[*dead].life == 1);
        let known = for_good.filter_map(|(dead, at, knows)| {
            let others: Vec<Option<Nanos>> = self
                .seats
                .iter()
                .enumerate()
                .filter(|(i, seat)| i != dead && seat.process.is_some())
                .map(|(i, _)| knows[i])
                .collect();
            let all: Vec<Nanos> = others.iter().copied().collect::<Option<_>>()?;
            Some((seconds(*at, *all.iter().min()?), seconds(*at, *all.iter().max()?)))
        });
        let lived: Nanos = self.seats.iter().map(|seat| seat.lived).sum();
        let lived_s = (lived as f64 / 1e9).max(f64::MIN_POSITIVE);
        let sum = |pick: fn(&Seat) -> u64| self.seats.iter().map(pick).sum::<u64>() as f64;
        let quiet = self.plan.quiet_from.as_nanos() as Nanos;
        FleetReport {
            script: self.plan.name.clone(),
            seed: self.plan.seed,
            members: self.plan.first,
            seconds: self.kernel.now() as f64 / 1e9,
            known_s: known.collect(),
            wronged: self.wronged,
            member_hours: lived_s / 3600.0,
            equal_s: self.equal_since.map(|at| seconds(quiet, at)),
            datagrams_s: sum(|seat| seat.sent.0) / lived_s,
            bytes_s: (sum(|seat| seat.sent.1) + self.exchanged as f64) / lived_s,
            exchange_bytes_s: self.exchanged as f64 / lived_s,
            share: self.shared(lived_s),
            agreed: (self.plan.keepers > 0)
                .then(|| AgreedReport { bytes_s: self.agreed.bytes_s / lived_s, ..self.agreed.clone() }),
            cost: self.cost(),
            broken: self.judge.violations.clone(),
        }
    }

    /// Sees who leads the plan and who divides the budget.
    fn sample_roles(&mut self, now: Nanos) {
        let steady = now >= steady_from(&self.plan);
        for seat in self.seats.iter().take(voters(&self.plan)) {
            let (Some((pid, fleet)), Some(origin)) = (&seat.process, seat.origin) else { continue };
            if self.kernel.stopped(*pid) {
                continue;
            }
            let leads = fleet.plan().is_some_and(|plan_driver| {
                let own_time = plan_driver.platform().since(origin);
                plan_driver.with_log(|log| log.leads(own_time))
            });
            let allocates = fleet.budget().is_some_and(|budget_driver| {
                budget_driver.with_budget(|budget, own| budget.core().is_allocator(own))
            });
            let samples = [Some(&mut self.roles), steady.then_some(&mut self.steady_roles)];
            for samples in samples.into_iter().flatten() {
                if leads {
                    samples.leads(seat.host);
                }
                if allocates {
                    samples.allocates(seat.host);
                }
            }
        }
    }

    /// What the run cost its members; whoever never ran pays nothing and is left out.
    fn cost(&self) -> Option<CostReport> {
        let (steady_from, now) = (steady_from(&self.plan), self.kernel.now());
        let whole = self.payers(|seat| seat.lived);
        let steady = self.payers(|seat| match seat.process {
            Some(_) => now.saturating_sub(seat.started.max(steady_from)),
            None => 0,
        });
        let period = |from: Nanos| Period { from_s: from as f64 / 1e9, to_s: now as f64 / 1e9 };
        self.kernel.with_net(|net| {
            let ledger = net.costs()?;
            Some(CostReport {
                whole: ledger.whole(period(0), &whole, &self.roles),
                steady: (now > steady_from)
                    .then(|| ledger.steady(period(steady_from), &steady, &self.steady_roles)),
            })
        })
    }

    /// Members and how long each lived; two that had one host after another are one.
    fn payers(&self, lived: impl Fn(&Seat) -> Nanos) -> Vec<Payer> {
        let voters = voters(&self.plan);
        let mut payers: BTreeMap<HostId, Payer> = BTreeMap::new();
        for (place, seat) in self.seats.iter().enumerate() {
            let lived_s = lived(seat) as f64 / 1e9;
            if lived_s > 0.0 {
                let new = Payer { host: seat.host, votes: false, lived_s: 0.0 };
                let payer = payers.entry(seat.host).or_insert(new);
                payer.lived_s += lived_s;
                payer.votes |= place < voters;
            }
        }
        payers.into_values().collect()
    }
}

/// The steady period: the last seconds of a run, but not before the last fault's effects are over.
const STEADY: Duration = Duration::from_secs(20);
const SETTLED: Duration = Duration::from_secs(10);

fn steady_from(plan: &Plan) -> Nanos {
    let from = plan.length.saturating_sub(STEADY).max(plan.quiet_from + SETTLED);
    from.as_nanos() as Nanos
}

/// So many of the first members vote for the plan or the budget.
fn voters(plan: &Plan) -> usize {
    plan.keepers.max(plan.budget.as_ref().map_or(0, |budget| budget.keepers))
}

impl Drop for FleetRun {
    fn drop(&mut self) {
        self.kernel.shut();
    }
}
