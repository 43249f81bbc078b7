//! Plans: a run drawn from a script with a seed. It holds timed actions, which both the emulator and the rig can perform,
//! and the members that each fault may affect.

use crate::file::{CommandKind, CommandSection, Fault, Kind, Script};
use crate::limits::Limits;
use crate::network::NetworkPlan;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Effect of faults on the traffic from one member to another.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkFault {
    /// Drops all traffic.
    pub cut: bool,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of datagrams duplicated.
    pub copies: f64,
    /// Share of datagrams with one corrupted byte.
    pub turned: f64,
    /// Minimum added delay.
    pub delay: Duration,
    /// Maximum further delay beyond `delay`.
    pub jitter: Duration,
    /// Resets connections.
    pub reset: bool,
    /// Throughput limit in bytes per second; 0 for no limit.
    pub pace: f64,
}

impl LinkFault {
    /// Combines the effects of two faults on the same link.
    pub fn and(self, other: LinkFault) -> LinkFault {
        LinkFault {
            cut: self.cut || other.cut,
            loss: 1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            copies: self.copies.max(other.copies),
            turned: self.turned.max(other.turned),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            reset: self.reset || other.reset,
            pace: match (self.pace > 0.0, other.pace > 0.0) {
                (true, true) => self.pace.min(other.pace),
                _ => self.pace + other.pace,
            },
        }
    }
}

/// The number of a fault and its effect on one link.
type NumberedFault = (usize, LinkFault);

/// Active faults of each ordered pair of members. Pairs without a fault are not stored.
#[derive(Debug, Default)]
pub struct LinkFaults(HashMap<(usize, usize), Vec<NumberedFault>>);

impl LinkFaults {
    /// Sets or, with `None`, removes a fault on all pairs of `from` and `to`, and reports the combined effect on
    /// each pair.
    pub fn put(
        &mut self,
        fault: usize,
        (from, to): (&[usize], &[usize]),
        effect: Option<LinkFault>,
        mut on_change: impl FnMut(usize, usize, LinkFault),
    ) {
        for &a in from {
            for &b in to.iter().filter(|b| **b != a) {
                let on = self.0.entry((a, b)).or_default();
                on.retain(|(other, _)| *other != fault);
                on.extend(effect.map(|effect| (fault, effect)));
                on_change(a, b, on.iter().fold(LinkFault::default(), |all, (_, effect)| all.and(*effect)));
                if on.is_empty() {
                    self.0.remove(&(a, b));
                }
            }
        }
    }
}

/// An action on the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Starts a member's process.
    Start(usize),
    /// Stops the process until [`Action::Continue`].
    Stop(usize),
    /// Continues a stopped process.
    Continue(usize),
    /// Kills the process.
    Kill(usize),
    /// Asks the process to leave.
    Terminate(usize),
    /// Sets the fault of this number on the links from these senders to these receivers; `None` removes it.
    LinkFault(usize, Vec<usize>, Vec<usize>, Option<LinkFault>),
    /// Sends this many invalid datagrams per second to the member from now on.
    Garbage(usize, u32),
    /// Runs this many busy loops on the member's processor from now on.
    Busy(usize, u32),
    /// Limits the member to this many file descriptors from now on; 0 restores the previous limit.
    Descriptors(usize, u32),
    /// Changes the settings file that the member reads at its next start.
    ChangeSettings(usize, SettingsOverride),
    /// Sends a command to the member's operations endpoint.
    Command(usize, OperatorCommand),
}

/// A command to an operations endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorCommand {
    /// Kind of the command.
    pub say: CommandKind,
    /// Identifier that stays the same when the command is sent again.
    pub id: u64,
    /// Text of a revision.
    pub text: String,
    /// Number of a revision or of a permit.
    pub number: u32,
    /// Name of an endpoint.
    pub server: String,
    /// Sizes of the waves, in thousandths of the fleet.
    pub waves: Vec<u16>,
}

impl OperatorCommand {
    /// Returns the path and query of the HTTP call, after `/ops/plan/`.
    pub fn call(&self) -> String {
        let OperatorCommand { id, number, server, .. } = self;
        match self.say {
            CommandKind::Refound => "refound".to_owned(),
            CommandKind::Propose => format!("propose?id={id}"),
            CommandKind::Rollback => format!("rollback?id={id}&to={number}"),
            CommandKind::Release => {
                let waves: Vec<String> = self.waves.iter().map(u16::to_string).collect();
                format!("release?id={id}&waves={}", waves.join(","))
            }
            CommandKind::Halt => format!("halt?id={id}"),
            CommandKind::Resume => format!("resume?id={id}"),
            CommandKind::Back => format!("back?id={id}"),
            CommandKind::Drain => format!("drain?id={id}&server={server}"),
            CommandKind::Restart => format!("restart?id={id}"),
            CommandKind::Return => format!("return?id={id}&permit={number}"),
            CommandKind::Force => format!("force?id={id}&permit={number}"),
        }
    }
}

/// Values that differ in the settings file of one member.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SettingsOverride {
    /// Longest tolerated pause.
    pub longest_pause: Option<Duration>,
    /// Rate limit of the whole fleet.
    pub rate: Option<f64>,
}

/// An action and its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Act {
    /// Time since the beginning of the run.
    pub at: Duration,
    /// The action.
    pub action: Action,
    /// Line of the script that the action comes from; 0 if it comes from no fault.
    pub line: usize,
}

/// A member, as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberPlan {
    /// Name of the member.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    /// Number of its address; a member that takes the address of another has the same number.
    pub place: usize,
}

/// A period in which a fault may legitimately make members appear dead, or keep them from learning of changes.
#[derive(Debug, Clone, PartialEq)]
pub struct Harm {
    /// Beginning of the period.
    pub from: Duration,
    /// End of the period: the end of the fault and the time to recover from it.
    pub until: Duration,
    /// Members affected, in ascending order.
    pub members: Vec<usize>,
}

/// The shared budget, as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetPlan {
    /// Number of voters, which have the first addresses.
    pub keepers: usize,
    /// Duration of a lease.
    pub lease: Duration,
    /// Rate limit of the whole fleet, per second.
    pub rate: f64,
    /// Burst of the rate limit.
    pub burst: f64,
    /// Concurrency limit of the whole fleet.
    pub level: u32,
    /// The longest time for which one use of the concurrency limit is held.
    pub longest: Duration,
    /// Guaranteed share of the rate limit for each of the first members.
    pub floor: f64,
    /// Demand of each member, per second.
    pub demand: f64,
    /// Factor by which the demand of one member, the hot one, is higher.
    pub hot: f64,
    /// Interval after which another member becomes the hot one.
    pub moves: Duration,
}

impl BudgetPlan {
    /// Returns the demand of a member at a time, per second, in a fleet of `members`.
    pub fn need(&self, member: usize, members: usize, at: Duration) -> f64 {
        let turn = (at.as_secs_f64() / self.moves.as_secs_f64().max(0.1)) as usize;
        // Steps by three members, so that the hot member is not next to the allocator each time.
        let hot = (turn * 3 + 1) % members.max(1);
        if member == hot { self.demand * self.hot } else { self.demand }
    }
}

/// A run drawn from a script.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Name of the script.
    pub name: String,
    /// Seed that the run was drawn with.
    pub seed: u64,
    /// Zones of the fleet.
    pub zones: Vec<String>,
    /// All members, including those that start later.
    pub members: Vec<MemberPlan>,
    /// Number of seeds; the first members are the seeds.
    pub seeds: usize,
    /// Number of members at the beginning, which is also the fleet size in the settings.
    pub first: usize,
    /// The longest pause that the members tolerate.
    pub longest_pause: Duration,
    /// Actions, ordered by time.
    pub acts: Vec<Act>,
    /// Periods in which faults affect members.
    pub harms: Vec<Harm>,
    /// Length of the run.
    pub length: Duration,
    /// End of the last fault.
    pub quiet_from: Duration,
    /// Requests per second on each member.
    pub load: f64,
    /// Number of members, the first ones, that speak only the previous message format.
    pub old: usize,
    /// Shared budget, if any.
    pub budget: Option<BudgetPlan>,
    /// Number of voters of the plan, which are the first members; 0 without a plan.
    pub keepers: usize,
    /// Regions and links, if given.
    pub network: Option<NetworkPlan>,
    /// Limits on the traffic of a member.
    pub limits: Limits,
}

/// Throughput from one member to another that suffices for all messages between members.
const MIN_HARMLESS_BYTES_PER_SECOND: f64 = 8_000.0;

struct Draw<'a> {
    script: &'a Script,
    rng: fastrand::Rng,
    plan: Plan,
    /// Members that an earlier fault has removed for good.
    removed: Vec<usize>,
    /// Pauses: member, beginning and end.
    pauses: Vec<(usize, Duration, Duration)>,
}

fn draw_time(rng: &mut fastrand::Rng, t: cometcroft_tomlfile::Time) -> Duration {
    Duration::from_secs_f64(t.0 + (t.1 - t.0) * rng.f64())
}

fn draw_number(rng: &mut fastrand::Rng, s: cometcroft_tomlfile::Span) -> f64 {
    s.0 + (s.1 - s.0) * rng.f64()
}

impl Plan {
    /// Draws a run from a script with a seed; `members` overrides the number of members.
    pub fn draw(script: &Script, seed: u64, members: Option<usize>) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x9e37_79b9_7f4a_7c15);
        let fleet = &script.fleet;
        let drawn = draw_number(&mut rng, fleet.members).round() as usize;
        let first = members.unwrap_or(drawn).max(1);
        let seeds = (draw_number(&mut rng, fleet.seeds).round() as usize).clamp(1, first);
        let zones = fleet.zones.len();
        let member = |i: usize| MemberPlan { name: format!("m{}", i + 1), zone: i % zones, place: i };
        let budget = fleet.budget.as_ref().map(|budget| BudgetPlan {
            // Rounded to an odd number: an even number of voters can split into halves without a majority.
            keepers: (draw_number(&mut rng, budget.keepers).round() as usize)
                .clamp(1, first.min(7))
                .div_ceil(2)
                * 2
                - 1,
            lease: draw_time(&mut rng, budget.lease),
            rate: draw_number(&mut rng, budget.rate),
            burst: draw_number(&mut rng, budget.burst),
            level: draw_number(&mut rng, budget.level).round() as u32,
            longest: draw_time(&mut rng, budget.longest),
            floor: draw_number(&mut rng, budget.floor),
            demand: draw_number(&mut rng, budget.demand),
            hot: draw_number(&mut rng, budget.hot),
            moves: draw_time(&mut rng, budget.moves),
        });
        let plan = Plan {
            name: fleet.name.clone(),
            seed,
            zones: fleet.zones.clone(),
            members: (0..first).map(member).collect(),
            seeds,
            first,
            longest_pause: draw_time(&mut rng, fleet.longest_pause),
            acts: Vec::new(),
            harms: Vec::new(),
            length: draw_time(&mut rng, fleet.length),
            quiet_from: Duration::ZERO,
            load: draw_number(&mut rng, fleet.load),
            old: (draw_number(&mut rng, fleet.old) * first as f64).round() as usize,
            budget,
            keepers: fleet.plan.as_ref().map_or(0, |plan| plan.keepers),
            network: None,
            limits: script.limits,
        };
        let network = script.network.as_ref().map(|section| {
            let rng = RefCell::new(&mut rng);
            section.draw(
                &fleet.zones,
                |of| draw_time(&mut rng.borrow_mut(), of),
                |of| draw_number(&mut rng.borrow_mut(), of),
            )
        });
        let plan = Plan { network, ..plan };
        let mut draw = Draw { script, rng, plan, removed: Vec::new(), pauses: Vec::new() };
        for i in 0..first {
            let at = draw_time(&mut draw.rng, fleet.start);
            draw.push_act(at, Action::Start(i), 0);
        }
        // No member has to know another until all have started and learned of one another.
        let known_by = Duration::from_secs_f64(fleet.start.1) + draw.plan.longest_pause;
        draw.plan.harms.push(Harm { from: Duration::ZERO, until: known_by, members: (0..first).collect() });
        for (i, fault) in script.faults.iter().enumerate() {
            let times = fault.times.map_or(1, |t| draw_number(&mut draw.rng, t).round() as usize);
            let mut at = draw_time(&mut draw.rng, fault.at);
            for _ in 0..times {
                let ends = draw.add_fault(i, fault, at);
                at = match fault.every {
                    Some(every) => ends + draw_time(&mut draw.rng, every),
                    None => draw_time(&mut draw.rng, fault.at),
                };
            }
        }
        for (i, section) in script.words.iter().enumerate() {
            draw.add_command(i, section);
        }
        draw.add_pause_harms();
        let mut plan = draw.plan;
        plan.acts.sort_by_key(|act| act.at);
        for harm in &mut plan.harms {
            harm.members.sort_unstable();
        }
        plan.quiet_from = plan.acts.last().map_or(Duration::ZERO, |act| act.at);
        plan
    }

    /// Returns how long the effects of a fault may last after its end: suspicions time out, and wrong states are
    /// corrected.
    fn aftermath(&self) -> Duration {
        self.longest_pause * 6 + Duration::from_secs(3)
    }

    /// Returns whether a member may legitimately appear dead or lack information at this time.
    pub fn harmed(&self, member: usize, at: Duration) -> bool {
        let now = |harm: &&Harm| harm.from <= at && at <= harm.until;
        self.harms.iter().filter(now).any(|harm| harm.members.binary_search(&member).is_ok())
    }
}

impl Draw<'_> {
    fn push_act(&mut self, at: Duration, action: Action, line: usize) {
        self.plan.acts.push(Act { at, action, line });
    }

    fn add_harm(&mut self, from: Duration, until: Duration, members: Vec<usize>) {
        let until = until + self.plan.aftermath();
        self.plan.harms.push(Harm { from, until, members });
    }

    fn all(&self) -> Vec<usize> {
        (0..self.plan.members.len()).collect()
    }

    fn named(&self, name: &str) -> Option<usize> {
        self.plan.members.iter().position(|m| m.name == name)
    }

    /// Draws the members that a process fault affects.
    fn targets(&mut self, fault: &Fault) -> Vec<usize> {
        if let Some(zone) = fault.target.as_deref().and_then(|target| target.strip_prefix("zone:")) {
            let zone = self.plan.zones.iter().position(|known| known == zone);
            let there = |i: &usize| Some(self.plan.members[*i].zone) == zone && !self.removed.contains(i);
            return (0..self.plan.first).filter(there).collect();
        }
        if let Some(name) = &fault.target {
            return self.named(name).into_iter().collect();
        }
        let mut free: Vec<usize> = (0..self.plan.first).filter(|i| !self.removed.contains(i)).collect();
        let most = match fault.share {
            Some(share) => (draw_number(&mut self.rng, share) * self.plan.first as f64).round() as usize,
            None => 1,
        };
        let mut picked = Vec::new();
        for _ in 0..most.max(1) {
            if !free.is_empty() {
                let at = self.rng.usize(..free.len());
                picked.push(free.swap_remove(at));
            }
        }
        picked
    }

    /// Resolves the `from` or `to` of a link fault (a name, `zone:NAME`, `all`, `rest`, `one`, `seeds`, `keepers`);
    /// `opposite` holds the members of the opposite side.
    fn resolve_group(&mut self, selector: &str, opposite: &[usize]) -> Vec<usize> {
        match selector {
            "all" => self.all(),
            "rest" => self.all().into_iter().filter(|i| !opposite.contains(i)).collect(),
            "one" => {
                let free: Vec<usize> = self.all().into_iter().filter(|i| !opposite.contains(i)).collect();
                if free.is_empty() { Vec::new() } else { vec![free[self.rng.usize(..free.len())]] }
            }
            "seeds" => (0..self.plan.seeds).collect(),
            "keepers" => {
                let keepers = self.plan.budget.as_ref().map_or(self.plan.keepers, |budget| budget.keepers);
                (0..keepers).collect()
            }
            selector => match selector.strip_prefix("zone:") {
                Some(zone) => {
                    let zone = self.plan.zones.iter().position(|z| z == zone);
                    self.all().into_iter().filter(|&i| Some(self.plan.members[i].zone) == zone).collect()
                }
                None => self.named(selector).into_iter().collect(),
            },
        }
    }

    /// Draws an operator command, once for each time that it is sent.
    fn add_command(&mut self, number: usize, section: &CommandSection) {
        let times = section.times.map_or(1, |t| draw_number(&mut self.rng, t).round() as usize);
        let mut at = draw_time(&mut self.rng, section.at);
        for turn in 0..times {
            let named = section.door.as_deref().and_then(|door| self.named(door));
            let door = named.unwrap_or_else(|| self.rng.usize(..self.plan.first));
            let id = 1 + self.rng.u64(..u64::MAX - 1);
            let command = OperatorCommand {
                say: section.say,
                id,
                text: format!(
                    "version = 1\n{}\n# {number} {turn} of {}\n",
                    section.text.trim(),
                    self.plan.seed
                ),
                number: section.number.unwrap_or(0),
                server: section.server.clone(),
                waves: section.waves.clone(),
            };
            self.push_act(at, Action::Command(door, command), 0);
            at += section.every.map_or(Duration::from_secs(1), |t| draw_time(&mut self.rng, t));
        }
    }

    /// Draws one occurrence of a fault and returns its end.
    fn add_fault(&mut self, number: usize, fault: &Fault, at: Duration) -> Duration {
        let line = self.script.lines.get(number).copied().unwrap_or(0);
        let until = at + fault.lasting.map_or(Duration::ZERO, |t| draw_time(&mut self.rng, t));
        let pause = self.plan.longest_pause;
        match fault.kind {
            Kind::Pause => {
                for i in self.targets(fault) {
                    self.push_act(at, Action::Stop(i), line);
                    self.push_act(until, Action::Continue(i), line);
                    self.pauses.push((i, at, until));
                }
            }
            Kind::Kill | Kind::Terminate => {
                for i in self.targets(fault) {
                    self.removed.push(i);
                    let leaves = fault.kind == Kind::Terminate;
                    self.push_act(at, if leaves { Action::Terminate(i) } else { Action::Kill(i) }, line);
                }
            }
            Kind::Restart => {
                let mut last = at;
                for i in self.targets(fault) {
                    let restart_at = at + fault.after.map_or(Duration::ZERO, |t| draw_time(&mut self.rng, t));
                    self.push_act(at, Action::Kill(i), line);
                    if fault.longest_pause.is_some() || fault.rate.is_some() {
                        let other = SettingsOverride {
                            longest_pause: fault.longest_pause.map(|t| draw_time(&mut self.rng, t)),
                            rate: fault.rate.map(|rate| draw_number(&mut self.rng, rate)),
                        };
                        self.push_act(restart_at, Action::ChangeSettings(i, other), line);
                    }
                    self.push_act(restart_at, Action::Start(i), line);
                    self.add_harm(at, restart_at, vec![i]);
                    last = last.max(restart_at);
                }
                return last;
            }
            Kind::Join => {
                let count = fault.count.map_or(1, |c| draw_number(&mut self.rng, c).round() as usize);
                for _ in 0..count {
                    let i = self.add_member(|n| format!("m{}", n + 1));
                    self.push_act(at, Action::Start(i), line);
                    let known_by = at + pause;
                    self.plan.harms.push(Harm { from: at, until: known_by, members: vec![i] });
                }
            }
            Kind::Twin => {
                for of in self.targets(fault) {
                    let name = self.plan.members[of].name.clone();
                    let i = self.add_member(|_| name);
                    self.removed.push(of);
                    self.push_act(at, Action::Start(i), line);
                    self.add_harm(at, self.plan.length, vec![i, of]);
                }
            }
            Kind::Usurp => {
                for of in self.targets(fault) {
                    let place = self.plan.members[of].place;
                    let i = self.add_member(|n| format!("m{}", n + 1));
                    self.plan.members[i].place = place;
                    self.removed.push(of);
                    let restart_at = at + fault.after.map_or(Duration::ZERO, |t| draw_time(&mut self.rng, t));
                    self.push_act(at, Action::Kill(of), line);
                    self.push_act(restart_at, Action::Start(i), line);
                    self.add_harm(at, restart_at, vec![i, of]);
                }
            }
            Kind::Cut
            | Kind::Loss
            | Kind::Late
            | Kind::Copies
            | Kind::Turned
            | Kind::Reset
            | Kind::Throttle => {
                self.add_link_fault(number, fault, at, until, line);
            }
            Kind::Split => {
                let mut order = self.all();
                self.rng.shuffle(&mut order);
                let whole: f64 = fault.sides.iter().sum();
                let (mut sides, mut from, mut reached) = (Vec::new(), 0, 0.0);
                for share in &fault.sides {
                    reached += share / whole * order.len() as f64;
                    let to = (reached.round() as usize).min(order.len());
                    sides.push(order[from..to].to_vec());
                    from = to;
                }
                self.add_partition(number, &sides, at, until, line);
            }
            Kind::Zone => {
                let zone = self.plan.zones.iter().position(|z| Some(z) == fault.target.as_ref());
                let (inside, outside) =
                    self.all().into_iter().partition(|&i| Some(self.plan.members[i].zone) == zone);
                self.add_partition(number, &[inside, outside], at, until, line);
            }
            Kind::Region => {
                let network = self.plan.network.as_ref();
                let target = network.zip(fault.target.as_ref()).and_then(|(n, name)| n.region(name));
                let region = |i: &usize| {
                    network.and_then(|n| n.region_of_zone.get(self.plan.members[*i].zone).copied())
                };
                let (inside, outside) = self.all().into_iter().partition(|i| region(i) == target);
                self.add_partition(number, &[inside, outside], at, until, line);
            }
            Kind::Busy | Kind::Descriptors => {
                let default_count = if fault.kind == Kind::Busy { 2 } else { 24 };
                let count =
                    fault.count.map_or(default_count, |c| draw_number(&mut self.rng, c).round() as u32);
                for i in self.targets(fault) {
                    let action = |count| match fault.kind {
                        Kind::Busy => Action::Busy(i, count),
                        _ => Action::Descriptors(i, count),
                    };
                    self.push_act(at, action(count), line);
                    self.push_act(until, action(0), line);
                }
            }
            Kind::Garbage => {
                let count = fault.count.map_or(1000, |c| draw_number(&mut self.rng, c).round() as u32);
                for i in self.targets(fault) {
                    self.push_act(at, Action::Garbage(i, count), line);
                    self.push_act(until, Action::Garbage(i, 0), line);
                }
            }
        }
        until
    }

    /// Records a harm for each pause that exceeds the longest tolerated one. A pause that begins before the member
    /// can have been seen again after the previous one counts as one pause with it.
    fn add_pause_harms(&mut self) {
        let mut pauses = std::mem::take(&mut self.pauses);
        pauses.sort_unstable();
        let mut joined: Vec<(usize, Duration, Duration)> = Vec::new();
        for (i, from, until) in pauses {
            match joined.last_mut() {
                Some(last) if last.0 == i && from < last.2 + self.plan.longest_pause => {
                    last.2 = last.2.max(until);
                }
                _ => joined.push((i, from, until)),
            }
        }
        for (i, from, until) in joined {
            if until - from > self.plan.longest_pause {
                self.add_harm(from, until, vec![i]);
            }
        }
    }

    fn add_member(&mut self, name: impl FnOnce(usize) -> String) -> usize {
        let n = self.plan.members.len();
        let zone = n % self.plan.zones.len();
        self.plan.members.push(MemberPlan { name: name(n), zone, place: n });
        n
    }

    /// Drops all traffic between the groups. All members are marked as harmed, because the groups legitimately
    /// declare each other dead.
    fn add_partition(
        &mut self,
        number: usize,
        sides: &[Vec<usize>],
        at: Duration,
        until: Duration,
        line: usize,
    ) {
        let cut = LinkFault { cut: true, ..LinkFault::default() };
        for (a, b) in sides.iter().enumerate().flat_map(|(i, a)| {
            sides.iter().enumerate().filter(move |(j, _)| i != *j).map(move |(_, b)| (a, b))
        }) {
            self.push_act(at, Action::LinkFault(number, a.clone(), b.clone(), Some(cut)), line);
            self.push_act(until, Action::LinkFault(number, a.clone(), b.clone(), None), line);
        }
        let all = self.all();
        self.add_harm(at, until, all);
    }

    fn add_link_fault(&mut self, number: usize, fault: &Fault, at: Duration, until: Duration, line: usize) {
        let (from, to) = (fault.from.clone().unwrap_or_default(), fault.to.clone().unwrap_or_default());
        // `rest` and `one` exclude the members of the opposite side, so the opposite side is resolved first.
        let depends_on_other = |word: &str| matches!(word, "rest" | "one");
        let (from, to) = if depends_on_other(&from) && !depends_on_other(&to) {
            let to = self.resolve_group(&to, &[]);
            (self.resolve_group(&from, &to), to)
        } else {
            let from = self.resolve_group(&from, &[]);
            let to = self.resolve_group(&to, &from);
            (from, to)
        };
        let share = fault.share.map_or(0.0, |s| draw_number(&mut self.rng, s));
        let mut effect = LinkFault::default();
        match fault.kind {
            Kind::Cut => effect.cut = true,
            Kind::Loss => effect.loss = share,
            Kind::Copies => effect.copies = share,
            Kind::Turned => effect.turned = share,
            Kind::Reset => effect.reset = true,
            Kind::Throttle => {
                effect.pace = fault.count.map_or(0.0, |count| draw_number(&mut self.rng, count))
            }
            _ => {
                effect.delay = fault.delay.map_or(Duration::ZERO, |t| draw_time(&mut self.rng, t));
                effect.jitter = fault.jitter.map_or(Duration::ZERO, |t| draw_time(&mut self.rng, t));
            }
        }
        let directions = if fault.both { vec![(&from, &to), (&to, &from)] } else { vec![(&from, &to)] };
        for (from, to) in directions {
            self.push_act(at, Action::LinkFault(number, from.clone(), to.clone(), Some(effect)), line);
            self.push_act(until, Action::LinkFault(number, from.clone(), to.clone(), None), line);
        }
        // A cut of one pair harms no member; a cut of several pairs harms the smaller side. Loss or corruption of up to
        // a tenth of the datagrams, and delays well under the timeout of a probe, harm no member.
        let harmless_delay = self.plan.longest_pause / 20;
        let ample = effect.pace == 0.0 || effect.pace >= MIN_HARMLESS_BYTES_PER_SECOND;
        let mild = effect.loss <= 0.1
            && effect.turned <= 0.1
            && effect.delay + effect.jitter <= harmless_delay
            && ample;
        match effect.cut {
            true if from.len() == 1 && to.len() == 1 => {}
            true => {
                let harmed = if from.len() < to.len() { from } else { to };
                self.add_harm(at, until, harmed);
            }
            false if mild => {}
            false => {
                let all = self.all();
                self.add_harm(at, until, all);
            }
        }
    }
}
