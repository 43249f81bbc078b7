//! The checker of a fleet: records what was done to each member and checks the views that members report against the
//! invariants.

use crate::file::CommandKind;
use crate::plan::{Action, MemberPlan, Plan};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// An invariant of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// A member that is alive, and that no fault may legitimately make appear dead, was declared dead.
    AliveCalledGone,
    /// A member that is dead or has left is still listed as alive.
    DeadStillThere,
    /// Long after the last fault, a member's view is not exactly the set of running members.
    ViewsDiffer,
    /// A generation was listed after a newer one of the same name.
    OldStartWins,
    /// The active count fell before the lower size had lasted, or while less than half of the members were reached,
    /// or it is below the size of the view.
    CountFell,
    /// Of two processes with one name, the older one does not stop speaking.
    TwinSpeaks,
    /// A request got no response from a process that was alive and running all the time.
    Unanswered,
    /// The shares of a limit that are in force add up to more than the limit.
    OverWhole,
    /// More was admitted in a window than the rate limit and its burst allow, or more was in use at once than the
    /// concurrency limit.
    OverAdmitted,
    /// Long after the last fault, a member gets no response from an allocator.
    Undivided,
    /// Two different log contents at one index.
    TwoOrders,
    /// A process went back to an earlier index of the log.
    WayBack,
    /// An acknowledged command is missing from the log, without a bootstrap since.
    LostWord,
    /// A permit was granted or a wave begun after a halt was accepted.
    Halted,
    /// An endpoint got a request after it was reported clear.
    NotClear,
    /// Long after the last fault, the plan is not in force everywhere, or no voter knows a leader.
    PlansDiffer,
    /// A member sent and received more bytes in a window than the script allows.
    OverBytes,
}

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Violation {
    /// The violated invariant.
    pub rule: Invariant,
    /// Time of the violation.
    pub at: Duration,
    /// Name of the member whose view violates the invariant.
    pub observer: String,
    /// What was observed.
    pub what: String,
    /// Script line of the last action before the violation.
    pub line: usize,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rule = invariant_name(self.rule);
        write!(f, "{rule} at {:.3} s by {}: {}", self.at.as_secs_f64(), self.observer, self.what)?;
        if self.line > 0 { write!(f, " (script line {})", self.line) } else { Ok(()) }
    }
}

/// Checks that all members have the same log and have it in force, and that a voter knows a leader. The error says
/// what differs.
pub fn check_plans_agree(statuses: &[(usize, PlanStatus)]) -> Result<(), String> {
    let Some((_, first)) = statuses.first() else { return Ok(()) };
    if first.place.0 == 0 {
        return Err("it was never founded".to_owned());
    }
    if let Some((i, other)) =
        statuses.iter().find(|(_, status)| status.place != first.place || status.sum != first.sum)
    {
        return Err(format!("member {} stands at {:?}, another at {:?}", i + 1, other.place, first.place));
    }
    if let Some((i, other)) = statuses.iter().find(|(_, status)| status.in_force.0 != status.place.1) {
        return Err(format!(
            "member {} has {:?} in force, the log ends at {:?}",
            i + 1,
            other.in_force,
            other.place
        ));
    }
    if !statuses.iter().any(|(_, status)| status.led) {
        return Err("no keeper knows a leader".to_owned());
    }
    Ok(())
}

fn invariant_name(rule: Invariant) -> &'static str {
    match rule {
        Invariant::AliveCalledGone => "alive-called-gone",
        Invariant::DeadStillThere => "dead-still-there",
        Invariant::ViewsDiffer => "views-differ",
        Invariant::OldStartWins => "old-start-wins",
        Invariant::CountFell => "count-fell",
        Invariant::TwinSpeaks => "twin-speaks",
        Invariant::Unanswered => "unanswered",
        Invariant::OverWhole => "over-whole",
        Invariant::OverAdmitted => "over-admitted",
        Invariant::Undivided => "undivided",
        Invariant::TwoOrders => "two-orders",
        Invariant::WayBack => "way-back",
        Invariant::LostWord => "lost-word",
        Invariant::Halted => "halted",
        Invariant::NotClear => "not-clear",
        Invariant::PlansDiffer => "plans-differ",
        Invariant::OverBytes => "over-bytes",
    }
}

/// The view that a member reports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MemberView {
    /// Generation of the member itself.
    pub generation: u64,
    /// Names and generations of the members that it lists as alive, including itself.
    pub who: Vec<(String, u64)>,
    /// Its count of active members.
    pub at_work: u32,
    /// Number of members that it reaches.
    pub reached: usize,
    /// Number of members that it knows.
    pub known: usize,
    /// A newer generation has its name.
    pub superseded: bool,
    /// Whether an allocator responds to it, if a budget is shared.
    pub answered: Option<bool>,
    /// Status of its plan, if there is one.
    pub plan: Option<PlanStatus>,
}

/// Status of a member's plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanStatus {
    /// The bootstrap of the log, and the index of its last entry.
    pub place: (u64, u64),
    /// Checksum of the log up to that entry.
    pub sum: String,
    /// Index of the entry up to which the plan is in force, and the revision.
    pub in_force: (u64, u32),
    /// A halt is in force, according to the member's own log.
    pub halted: bool,
    /// Indices of the entries that granted the current permits and made the last step of the release.
    pub steps: Vec<u64>,
    /// Names of the endpoints that are clear.
    pub clear: Vec<String>,
    /// The member is a voter and knows a leader.
    pub led: bool,
}

#[derive(Debug, Clone, Default)]
struct ProcessState {
    generation: Option<u64>,
    since: Duration,
    alive: bool,
    stopped: bool,
    left: Option<Duration>,
}

/// Members of a plan by name; several members may have one name.
#[derive(Debug)]
struct NameIndex {
    /// Number of each name.
    numbers: HashMap<String, usize>,
    /// Members that have each name, in the order of the plan.
    members: Vec<Vec<usize>>,
}

impl NameIndex {
    fn new(members: &[MemberPlan]) -> NameIndex {
        let mut names = NameIndex { numbers: HashMap::new(), members: Vec::new() };
        for (i, member) in members.iter().enumerate() {
            let next = names.members.len();
            let number = *names.numbers.entry(member.name.clone()).or_insert(next);
            if number == next {
                names.members.push(Vec::new());
            }
            names.members[number].push(i);
        }
        names
    }

    fn number(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the members that have a name.
    fn members(&self, name: &str) -> &[usize] {
        self.number(name).map_or(&[], |number| &self.members[number])
    }
}

/// The newest generation that an observer has listed for each name.
#[derive(Debug, Default)]
struct LatestGenerations {
    /// Generations of the names of the plan, by the number of the name.
    known: Vec<u64>,
    unknown: BTreeMap<String, u64>,
}

impl LatestGenerations {
    fn of(&mut self, names: &NameIndex, name: &str) -> &mut u64 {
        let Some(number) = names.number(name) else {
            return self.unknown.entry(name.to_owned()).or_default();
        };
        if self.known.is_empty() {
            self.known = vec![0; names.members.len()];
        }
        &mut self.known[number]
    }
}

#[derive(Debug, Default)]
struct ObserverState {
    latest: LatestGenerations,
    /// Last active count.
    count: u32,
    /// Sizes of its view, each with the time at which the view last had that size.
    held: Vec<(u32, Duration)>,
}

/// What the checker has recorded of the plan.
#[derive(Debug, Default)]
struct PlanHistory {
    checksums: BTreeMap<(u64, u64), String>,
    last_positions: Vec<(u64, u64)>,
    /// Acknowledged commands: the bootstrap and the index of the entry.
    acknowledged: Vec<(u64, u64)>,
    /// Index of the earliest acknowledged halt that has not been lifted since.
    halt: Option<u64>,
    /// Time since which an endpoint has been clear, as the first member reported it, and the log position of that
    /// member.
    clear: BTreeMap<String, (Duration, (u64, u64))>,
}

/// Records what was done to the fleet and checks what the members report against the invariants.
pub struct Checker {
    plan: Plan,
    names: NameIndex,
    lives: Vec<ProcessState>,
    /// Members whose settings file has a different budget from the others'.
    has_other_budget: Vec<bool>,
    observers: Vec<ObserverState>,
    line: usize,
    /// Factor by which everything may take longer than by the protocol; 1 on the virtual clock.
    slack: f64,
    plan_history: PlanHistory,
    /// Admitted uses of the rate limit that have not drained yet, and the time of that number.
    admitted: (f64, Duration),
    /// Violations found; each invariant at most once per observer.
    pub violations: Vec<Violation>,
}

impl Checker {
    /// Creates a checker for a plan. `slack` is the factor by which everything may take longer.
    pub fn new(plan: &Plan, slack: f64) -> Checker {
        let n = plan.members.len();
        let observers = (0..n).map(|_| ObserverState::default()).collect();
        Checker {
            plan: plan.clone(),
            names: NameIndex::new(&plan.members),
            lives: vec![ProcessState::default(); n],
            has_other_budget: vec![false; n],
            observers,
            line: 0,
            slack,
            plan_history: PlanHistory { last_positions: vec![(0, 0); n], ..PlanHistory::default() },
            admitted: (0.0, Duration::ZERO),
            violations: Vec::new(),
        }
    }

    fn detection_bound(&self) -> Duration {
        (self.plan.longest_pause * 5).mul_f64(self.slack)
    }

    fn settle(&self) -> Duration {
        self.plan.longest_pause * 5
    }

    /// Records an action that was done.
    pub fn record_action(&mut self, at: Duration, action: &Action, line: usize) {
        if line > 0 {
            self.line = line;
        }
        match action {
            Action::Start(i) => {
                self.lives[*i] = ProcessState { since: at, alive: true, ..ProcessState::default() };
                // A new process does not know what the previous one counted.
                self.observers[*i] = ObserverState::default();
                self.plan_history.last_positions[*i] = (0, 0);
            }
            Action::Stop(i) => self.lives[*i].stopped = true,
            Action::Continue(i) => self.lives[*i].stopped = false,
            Action::Kill(i) | Action::Terminate(i) => {
                self.lives[*i].alive = false;
                self.lives[*i].left = Some(at);
            }
            Action::ChangeSettings(i, other) => self.has_other_budget[*i] = other.rate.is_some(),
            Action::Command(..)
            | Action::LinkFault(..)
            | Action::Garbage(..)
            | Action::Busy(..)
            | Action::Descriptors(..) => {}
        }
    }

    /// Checks that the shares of a limit in force at one instant, summed over all running processes, stay within
    /// it.
    pub fn check_shares(&mut self, at: Duration, what: &str, sum: f64, whole: f64) {
        if sum > whole + 1e-6 {
            self.report(Invariant::OverWhole, at, 0, format!("{what}: {sum:.3} of {whole:.3}"));
        }
    }

    /// Records one admitted use of the rate limit. At most `rate * w + burst` uses are admitted in every window of
    /// w seconds exactly if a bucket that drains at the rate never holds more than the burst. `late` is the maximum
    /// delay with which a use may be observed beyond the time it took to admit it.
    pub fn record_admission(&mut self, at: Duration, late: Duration) {
        let Some(budget) = &self.plan.budget else { return };
        let (rate, burst) = (budget.rate, budget.burst);
        let (held, since) = self.admitted;
        let drained = at.saturating_sub(since).as_secs_f64() * rate;
        let held = (held - drained).max(0.0) + 1.0;
        self.admitted = (held, at.max(since));
        let most = burst + rate * late.as_secs_f64();
        if held > most + 1e-6 {
            let what = format!("{held:.1} beyond {rate} a second, where {most:.1} are the burst");
            self.report(Invariant::OverAdmitted, at, 0, what);
        }
    }

    /// Checks the number of uses of the concurrency limit at one instant.
    pub fn check_concurrency(&mut self, at: Duration, out: u64, most: u64) {
        if out > most {
            self.report(Invariant::OverAdmitted, at, 0, format!("{out} out at once of {most}"));
        }
    }

    /// Checks that an allocator responds to a member, long after the last fault.
    pub fn check_allocation(&mut self, at: Duration, member: usize, answered: bool) {
        let keepers = self.plan.budget.as_ref().map_or(0, |budget| budget.keepers);
        let voter_runs = |place: usize| {
            let at = |(life, member): (&ProcessState, &MemberPlan)| {
                member.place == place && life.alive && !life.stopped
            };
            self.lives.iter().zip(&self.plan.members).any(at)
        };
        // Without a majority of the voters there is no allocator.
        let majority = (0..keepers).filter(|&place| voter_runs(place)).count() * 2 > keepers;
        // A member whose settings file has a different budget gets no response about this one either.
        if !answered && majority && !self.has_other_budget[member] {
            self.report(Invariant::Undivided, at, member, "no divider answers it".to_owned());
        }
    }

    /// Records that an operations endpoint acknowledged a command as this entry of the log.
    pub fn record_acknowledgement(&mut self, bootstrap: u64, index: u64, kind: CommandKind) {
        self.plan_history.acknowledged.push((bootstrap, index));
        match kind {
            CommandKind::Halt => {
                self.plan_history.halt = Some(self.plan_history.halt.map_or(index, |at| at.min(index)))
            }
            CommandKind::Resume => self.plan_history.halt = None,
            _ => {}
        }
    }

    /// Checks a request that an endpoint got, sent at this time or later. `late` is the maximum time that it may
    /// have been in transit.
    pub fn check_drained(&mut self, at: Duration, late: Duration, server: &str) {
        let clear = self.plan_history.clear.get(server).copied();
        if let Some((since, _)) = clear.filter(|(since, _)| at > *since + late) {
            let what = format!("{server} got a request {:?} after it was clear", at - since);
            self.report(Invariant::NotClear, at, 0, what);
        }
    }

    /// Checks the plan status that a member reports.
    fn check_plan_status(&mut self, at: Duration, member: usize, status: &PlanStatus) {
        let had = self.plan_history.checksums.entry(status.place).or_insert_with(|| status.sum.clone());
        if *had != status.sum {
            let what = format!("{:?} is {} here and was {had}", status.place, status.sum);
            self.report(Invariant::TwoOrders, at, member, what);
        }
        let previous = std::mem::replace(&mut self.plan_history.last_positions[member], status.place);
        if previous > status.place {
            let what = format!("at {:?} after {previous:?}", status.place);
            self.report(Invariant::WayBack, at, member, what);
        }
        if let Some(halt) = self.plan_history.halt.filter(|_| status.halted)
            && let Some(step) = status.steps.iter().find(|step| **step > halt)
        {
            let what = format!("entry {step} gave a permit or began a wave after the halt at {halt}");
            self.report(Invariant::Halted, at, member, what);
        }
        self.plan_history
            .clear
            .retain(|server, (_, place)| status.clear.contains(server) || status.place <= *place);
        for server in &status.clear {
            self.plan_history.clear.entry(server.clone()).or_insert((at, status.place));
        }
    }

    /// Checks, long after the last fault, that all members have the same log in force and that no acknowledged
    /// command is missing.
    pub fn check_plans(&mut self, at: Duration, statuses: &[(usize, PlanStatus)]) {
        if self.plan.keepers == 0 {
            return;
        }
        if let Err(what) = check_plans_agree(statuses) {
            self.report(Invariant::PlansDiffer, at, statuses.first().map_or(0, |(i, _)| *i), what);
        }
        let acknowledged = std::mem::take(&mut self.plan_history.acknowledged);
        for (i, status) in statuses {
            let lost = acknowledged
                .iter()
                .find(|(bootstrap, index)| *bootstrap == status.place.0 && *index > status.place.1);
            if let Some((_, index)) = lost {
                self.report(
                    Invariant::LostWord,
                    at,
                    *i,
                    format!("entry {index} was acknowledged, the log ends at {:?}", status.place),
                );
            }
        }
        self.plan_history.acknowledged = acknowledged;
    }

    /// Checks the bytes that a member received and sent in its busiest window; `period` names the part of the run.
    pub fn check_traffic(
        &mut self,
        at: Duration,
        member: usize,
        period: &str,
        bytes: u64,
        most: Option<u64>,
    ) {
        if let Some(most) = most.filter(|most| bytes > *most) {
            let what = format!("{bytes} bytes in ten seconds {period}, where {most} are allowed");
            self.report(Invariant::OverBytes, at, member, what);
        }
    }

    /// Sets the generation of a member once it is known.
    pub fn set_generation(&mut self, member: usize, generation: u64) {
        self.lives[member].generation = Some(generation);
    }

    /// Reports a violation.
    pub fn report(&mut self, rule: Invariant, at: Duration, observer: usize, what: String) {
        let observer = self.plan.members[observer].name.clone();
        if !self.violations.iter().any(|b| b.rule == rule && b.observer == observer) {
            self.violations.push(Violation { rule, at, observer, what, line: self.line });
        }
    }

    /// Checks a state change of a member that an observer reports; `gone` says that the new state is dead.
    pub fn record_state_change(
        &mut self,
        at: Duration,
        observer: usize,
        name: &str,
        generation: u64,
        gone: bool,
    ) {
        if !gone || self.plan.harmed(observer, at) {
            return;
        }
        let falsely_dead = self.names.members(name).iter().copied().find(|&i| {
            let life = &self.lives[i];
            life.alive && life.generation == Some(generation)
        });
        if let Some(i) = falsely_dead
            && !self.plan.harmed(i, at)
        {
            self.report(Invariant::AliveCalledGone, at, observer, format!("{name} is there"));
        }
    }

    /// Checks the view that a member reports.
    pub fn check_view(&mut self, at: Duration, observer: usize, view: &MemberView) {
        self.set_generation(observer, view.generation);
        let harmed = self.plan.harmed(observer, at);
        if let Some(plan) = &view.plan {
            self.check_plan_status(at, observer, plan);
        }
        self.check_generations(at, observer, view);
        self.check_active_count(at, observer, view);
        let detection_bound = self.detection_bound();
        let young = at < self.lives[observer].since + detection_bound;
        if view.superseded || young {
            return;
        }
        let quiet = at >= self.plan.quiet_from + detection_bound;
        if !harmed || quiet {
            for (name, generation) in &view.who {
                let lives = self.names.members(name).iter().map(|&i| &self.lives[i]);
                let any_alive = lives.clone().any(|life| life.alive);
                let long =
                    lives.clone().all(|life| life.left.is_none_or(|left| left + detection_bound <= at));
                let tried = lives.clone().any(|life| life.left.is_some());
                if !any_alive && long && tried {
                    let what = format!("{name} ({generation}) is not there");
                    self.report(Invariant::DeadStillThere, at, observer, what);
                }
            }
        }
        if quiet {
            self.check_converged_view(at, observer, view);
        }
    }

    /// Checks, long after the last fault, that a view holds exactly the running members.
    pub fn check_converged_view(&mut self, at: Duration, observer: usize, view: &MemberView) {
        if let Err(what) = self.verify_view(view) {
            self.report(Invariant::ViewsDiffer, at, observer, what);
        }
        if let Some(answered) = view.answered {
            self.check_allocation(at, observer, answered);
        }
    }

    /// Checks that a view holds exactly the running members. The error says what differs.
    pub fn verify_view(&self, view: &MemberView) -> Result<(), String> {
        if self.view_is_exact(view) {
            return Ok(());
        }
        let mut truth: BTreeMap<&str, u64> = BTreeMap::new();
        for (life, member) in self.lives.iter().zip(&self.plan.members) {
            if !life.alive || life.stopped {
                continue;
            }
            // Of two processes with one name the newer generation counts.
            let entry = truth.entry(&member.name).or_default();
            *entry = (*entry).max(life.generation.unwrap_or_default());
        }
        let who: BTreeMap<&str, u64> = view.who.iter().map(|(n, g)| (n.as_str(), *g)).collect();
        if who == truth {
            return Ok(());
        }
        let missing: Vec<&&str> = truth.keys().filter(|n| !who.contains_key(**n)).take(3).collect();
        let unexpected: Vec<&&str> = who.keys().filter(|n| !truth.contains_key(**n)).take(3).collect();
        let (seen, all) = (who.len(), truth.len());
        Err(format!("it sees {seen} of {all}; missing {missing:?}, not there {unexpected:?}"))
    }

    /// Returns whether a view holds exactly the running members: a fast path of [`Checker::verify_view`].
    fn view_is_exact(&self, view: &MemberView) -> bool {
        let mut truth: Vec<Option<u64>> = vec![None; self.names.members.len()];
        for (of_name, members) in truth.iter_mut().zip(&self.names.members) {
            let lives = members.iter().map(|&i| &self.lives[i]).filter(|life| life.alive && !life.stopped);
            // Of two processes with one name the newer generation counts.
            *of_name = lives.map(|life| life.generation.unwrap_or_default()).max();
        }
        let mut seen: Vec<Option<u64>> = vec![None; truth.len()];
        for (name, generation) in &view.who {
            let Some(number) = self.names.number(name) else { return false };
            seen[number] = Some(*generation);
        }
        seen == truth
    }

    fn check_generations(&mut self, at: Duration, observer: usize, view: &MemberView) {
        let mut old = None;
        for (name, generation) in &view.who {
            let latest = self.observers[observer].latest.of(&self.names, name);
            if *generation < *latest {
                old = Some(format!("{name} of start {generation} after {latest}"));
            }
            *latest = (*latest).max(*generation);
        }
        if let Some(what) = old {
            self.report(Invariant::OldStartWins, at, observer, what);
        }
        let of_name = self.names.members(&self.plan.members[observer].name);
        let other = of_name.iter().copied().find(|&i| i != observer);
        if let Some(other) = other.filter(|&other| self.lives[other].alive)
            && !view.superseded
            && self.lives[other].generation.is_some_and(|theirs| theirs > view.generation)
            && at > self.lives[other].since + self.detection_bound()
        {
            let what = "a younger process has its name".to_owned();
            self.report(Invariant::TwinSpeaks, at, observer, what);
        }
    }

    fn check_active_count(&mut self, at: Duration, observer: usize, view: &MemberView) {
        let (settle, who) = (self.settle().mul_f64(0.8), view.who.len() as u32);
        let seen = &mut self.observers[observer];
        let mut what = None;
        if view.at_work < seen.count {
            // The last time at which its view held more members than it counts now.
            let last_higher = seen.held.iter().rev().find(|(held, _)| *held > view.at_work);
            if last_higher.is_some_and(|(_, last)| *last + settle > at) {
                what = Some(format!("from {} to {} within {settle:?}", seen.count, view.at_work));
            }
            if view.reached * 2 < view.known {
                what =
                    Some(format!("to {} while it reaches {} of {}", view.at_work, view.reached, view.known));
            }
        }
        if view.at_work < who {
            what = Some(format!("{} while it sees {who}", view.at_work));
        }
        seen.count = view.at_work;
        seen.held.retain(|(held, last)| *held != who && *last + settle > at);
        seen.held.push((who, at));
        if let Some(what) = what {
            self.report(Invariant::CountFell, at, observer, what);
        }
    }
}
