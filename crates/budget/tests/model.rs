//! The protocol under a model checker: three voters and one more holder; messages that are delayed, lost, duplicated
//! and reordered; pauses, restarts with empty memory, and clocks that run at different rates. Time advances in steps.
//! What is checked is the code that runs in production, not a separate model of it.

use cometcroft_budget::{Config, Core, Limit, LimitKind, Message, Safeguards, Time};
use stateright::{Checker, Chooser, Model, Property};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Duration of a time step; a lease lasts four of them.
const STEP_MS: u64 = 1000;
/// Size of the limit.
const LIMIT: u64 = 6;
/// Maximum number of messages in flight; further ones are lost.
const MAX_IN_FLIGHT: usize = 10;
/// Rates of the clocks, in thousandths.
const CLOCK_RATES: [u64; 4] = [990, 1010, 1000, 990];

fn at(sidecar: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, sidecar as u8 + 1), 1)
}

/// How often each kind of fault or change may still happen.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
struct Remaining {
    restarts: u8,
    pauses: u8,
    duplicates: u8,
    demand_changes: u8,
    leaves: u8,
    clock_setbacks: u8,
    link_cuts: u8,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Sidecar {
    core: Core,
    start_count: u64,
    up: bool,
    paused: bool,
    demand: u64,
    /// How far the wall clock was set back, in milliseconds.
    clock_setback: u64,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct FleetState {
    now: u64,
    sidecars: Vec<Sidecar>,
    in_flight: Vec<(usize, usize, Message)>,
    /// Pairs of sidecars between which no message passes, the lower index first.
    cut_links: Vec<(usize, usize)>,
    warmed_up: bool,
    remaining: Remaining,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Step,
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    ChangeDemand(usize),
    Leave(usize),
    SetClockBack(usize),
    CutLink(usize, usize),
    RestoreLink(usize),
}

#[derive(Clone)]
struct FleetModel {
    sidecars: usize,
    /// Injected defect: leases are measured by the wall clock.
    wall_clock: bool,
    remaining: Remaining,
    /// Number of steps without faults before the check begins.
    warmup_steps: u64,
    configs: Vec<Config>,
    /// A sidecar that stops for good during the warm-up, and the step in which it does.
    stopped: Option<(usize, u64)>,
}

const ALLOWED: Remaining = Remaining {
    restarts: 2,
    pauses: 2,
    duplicates: 3,
    demand_changes: 4,
    leaves: 1,
    clock_setbacks: 1,
    link_cuts: 4,
};

impl FleetModel {
    fn new(safeguards: Safeguards) -> FleetModel {
        let configs = (0..4).map(|sidecar| FleetModel::sidecar_config(sidecar, safeguards)).collect();
        FleetModel {
            sidecars: 4,
            wall_clock: false,
            remaining: ALLOWED,
            warmup_steps: 16,
            stopped: None,
            configs,
        }
    }

    fn config(&self, sidecar: usize) -> &Config {
        &self.configs[sidecar]
    }

    fn sidecar_config(sidecar: usize, safeguards: Safeguards) -> Config {
        let voters = (0..3).map(at).collect();
        let mut config = Config::new("model", at(sidecar), voters, Duration::from_millis(4 * STEP_MS));
        let kind = LimitKind::Rate { burst: LIMIT * 1000 };
        config.limits = vec![Limit { name: "w".into(), kind, size: LIMIT * 1000, guaranteed: 0 }];
        config.safeguards = safeguards;
        config
    }

    fn clock(&self, state: &FleetState, sidecar: usize) -> Time {
        let elapsed = state.now * STEP_MS * CLOCK_RATES[sidecar] / 1000;
        let setback = if self.wall_clock { state.sidecars[sidecar].clock_setback } else { 0 };
        Duration::from_millis((100 * STEP_MS + elapsed).saturating_sub(setback))
    }

    fn in_force(&self, state: &FleetState) -> u64 {
        let share = |(i, sidecar): (usize, &Sidecar)| {
            if sidecar.up { sidecar.core.share(self.config(i), 0, self.clock(state, i)) } else { 0 }
        };
        state.sidecars.iter().enumerate().map(share).sum()
    }

    fn enqueue(state: &mut FleetState, from: usize, out: Vec<(SocketAddrV4, Message)>) {
        for (to, message) in out {
            let to = usize::from(to.ip().octets()[3]) - 1;
            let cut = state.cut_links.contains(&(from.min(to), from.max(to)));
            if !cut && !state.in_flight.contains(&(from, to, message.clone())) {
                state.in_flight.push((from, to, message));
            }
            state.in_flight.truncate(if state.warmed_up { MAX_IN_FLIGHT } else { 100 });
        }
    }

    fn tick(&self, state: &mut FleetState, i: usize) {
        let now = self.clock(state, i);
        let sidecar = &mut state.sidecars[i];
        if !sidecar.up || sidecar.paused {
            return;
        }
        let (config, mut out) = (self.config(i), Vec::new());
        sidecar.core.set_demand(config, now, 0, sidecar.demand, 0);
        // A promise is followed by a request at once: the driver in the sidecar calls again while something is due.
        for _ in 0..3 {
            sidecar.core.tick(config, now, &mut out);
        }
        FleetModel::enqueue(state, i, out);
    }

    fn deliver(&self, state: &mut FleetState, n: usize, keep_copy: bool) -> Option<()> {
        let (from, to, message) = state.in_flight[n].clone();
        if state.sidecars[to].paused {
            return None;
        }
        if !keep_copy {
            state.in_flight.remove(n);
        }
        if state.sidecars[to].up {
            let (now, mut out) = (self.clock(state, to), Vec::new());
            state.sidecars[to].core.receive(self.config(to), now, at(from), &message, &mut out);
            FleetModel::enqueue(state, to, out);
            self.tick(state, to);
        }
        Some(())
    }

    fn start(&self, state: &FleetState, i: usize, start_count: u64) -> Sidecar {
        let id = i as u64 * 100 + start_count;
        let core = Core::new(self.config(i), self.clock(state, i), id);
        let demand = if i.is_multiple_of(2) { LIMIT * 1000 } else { 0 };
        Sidecar { core, start_count, up: true, paused: false, demand, clock_setback: 0 }
    }
}

impl Model for FleetModel {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let mut state = FleetState {
            now: 0,
            sidecars: Vec::new(),
            in_flight: Vec::new(),
            cut_links: Vec::new(),
            warmed_up: false,
            remaining: self.remaining,
        };
        for i in 0..self.sidecars {
            let blank = Sidecar {
                core: Core::new(self.config(i), Duration::ZERO, 0),
                start_count: 0,
                up: true,
                paused: false,
                demand: 0,
                clock_setback: 0,
            };
            state.sidecars.push(blank);
        }
        for i in 0..self.sidecars {
            state.sidecars[i] = self.start(&state, i, 0);
        }
        // The fleet runs without faults at first.
        for step in 0..self.warmup_steps {
            for _ in 0..200 {
                if state.in_flight.is_empty() {
                    break;
                }
                let _ = self.deliver(&mut state, 0, false);
            }
            if let Some((sidecar, _)) = self.stopped.filter(|(_, at)| *at == step) {
                state.sidecars[sidecar].up = false;
            }
            state.now += 1;
            (0..self.sidecars).for_each(|i| self.tick(&mut state, i));
        }
        state.warmed_up = true;
        state.in_flight.truncate(MAX_IN_FLIGHT);
        vec![state]
    }

    fn actions(&self, state: &FleetState, actions: &mut Vec<Action>) {
        actions.push(Action::Step);
        for n in 0..state.in_flight.len() {
            actions.push(Action::Deliver(n));
            actions.push(Action::Drop(n));
            if state.remaining.duplicates > 0 {
                actions.push(Action::Duplicate(n));
            }
        }
        actions.extend((0..state.cut_links.len()).map(Action::RestoreLink));
        if state.remaining.link_cuts > 0 {
            let pairs = (0..self.sidecars).flat_map(|b| (0..b).map(move |a| (a, b)));
            let connected = pairs.filter(|pair| !state.cut_links.contains(pair));
            actions.extend(connected.map(|(a, b)| Action::CutLink(a, b)));
        }
        for (i, sidecar) in state.sidecars.iter().enumerate() {
            if state.remaining.restarts > 0 {
                actions.push(Action::Restart(i));
            }
            if !sidecar.up {
                continue;
            }
            if sidecar.paused {
                actions.push(Action::Resume(i));
            } else if state.remaining.pauses > 0 {
                actions.push(Action::Pause(i));
            }
            if state.remaining.demand_changes > 0 {
                actions.push(Action::ChangeDemand(i));
            }
            if state.remaining.leaves > 0 && !sidecar.paused {
                actions.push(Action::Leave(i));
            }
            if self.wall_clock && state.remaining.clock_setbacks > 0 {
                actions.push(Action::SetClockBack(i));
            }
        }
    }

    fn next_state(&self, previous: &FleetState, action: Action) -> Option<FleetState> {
        let mut state = previous.clone();
        match action {
            Action::Step => {
                state.now += 1;
                (0..self.sidecars).for_each(|i| self.tick(&mut state, i));
            }
            Action::Deliver(n) => self.deliver(&mut state, n, false)?,
            Action::Duplicate(n) => {
                state.remaining.duplicates -= 1;
                self.deliver(&mut state, n, true)?;
            }
            Action::Drop(n) => {
                state.in_flight.remove(n);
            }
            Action::Pause(i) => {
                state.remaining.pauses -= 1;
                state.sidecars[i].paused = true;
            }
            Action::Resume(i) => {
                // No tick here: messages that arrived during the pause may be handled before timers.
                state.sidecars[i].paused = false;
            }
            Action::Restart(i) => {
                state.remaining.restarts -= 1;
                state.sidecars[i] = self.start(&state, i, state.sidecars[i].start_count + 1);
                self.tick(&mut state, i);
            }
            Action::ChangeDemand(i) => {
                state.remaining.demand_changes -= 1;
                state.sidecars[i].demand = LIMIT * 1000 - state.sidecars[i].demand;
                self.tick(&mut state, i);
            }
            Action::Leave(i) => {
                state.remaining.leaves -= 1;
                let (now, mut out) = (self.clock(&state, i), Vec::new());
                state.sidecars[i].core.leave(self.config(i), now, &mut out);
                FleetModel::enqueue(&mut state, i, out);
            }
            Action::CutLink(a, b) => {
                state.remaining.link_cuts -= 1;
                state.cut_links.push((a, b));
            }
            Action::RestoreLink(n) => {
                state.cut_links.remove(n);
            }
            Action::SetClockBack(i) => {
                state.remaining.clock_setbacks -= 1;
                state.sidecars[i].clock_setback = 50 * STEP_MS;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<FleetModel>> {
        vec![
            Property::always("shares never exceed the limit", |fleet: &FleetModel, state| {
                fleet.in_force(state) <= LIMIT * 1000
            }),
            Property::sometimes("the whole limit is lent", |fleet: &FleetModel, state| {
                fleet.in_force(state) == LIMIT * 1000
            }),
        ]
    }
}

/// Random walks in which time steps and deliveries are more frequent than faults.
#[derive(Clone)]
struct RandomWalk;

struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: usize) -> usize {
        // splitmix64
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % bound as u64) as usize
    }
}

impl Chooser<FleetModel> for RandomWalk {
    type State = Rng;

    fn new_state(&self, seed: u64) -> Rng {
        Rng(seed)
    }

    fn choose_initial_state(&self, rng: &mut Rng, states: &[FleetState]) -> usize {
        rng.below(states.len())
    }

    fn choose_action(&self, rng: &mut Rng, _: &FleetState, actions: &[Action]) -> usize {
        let indices = |matches: fn(&Action) -> bool| {
            actions
                .iter()
                .enumerate()
                .filter(move |(_, a)| matches(a))
                .map(|(i, _)| i)
                .collect::<Vec<usize>>()
        };
        let deliveries = indices(|a| matches!(a, Action::Deliver(_)));
        match rng.below(100) {
            0..30 => 0,
            30..85 if !deliveries.is_empty() => deliveries[rng.below(deliveries.len())],
            85..92 => rng.below(actions.len()),
            _ => {
                let rest = indices(|a| !matches!(a, Action::Deliver(_) | Action::Drop(_) | Action::Step));
                if rest.is_empty() { 0 } else { rest[rng.below(rest.len())] }
            }
        }
    }
}

/// Takes random walks over about this many states; returns whether the limit was exceeded, and the number of states.
fn random_walks(fleet: FleetModel, seed: u64, states: usize) -> (bool, usize) {
    let checker = fleet
        .checker()
        .threads(3)
        .target_max_depth(160)
        .target_state_count(states)
        .finish_when(stateright::HasDiscoveries::AnyFailures)
        .spawn_simulation(seed, RandomWalk)
        .join();
    (checker.discovery("shares never exceed the limit").is_some(), checker.state_count())
}

/// Explores states breadth-first; returns whether the limit was exceeded, the number of states, and the depth.
fn explore(fleet: FleetModel, states: usize, depth: usize) -> (bool, usize, usize) {
    let checker = fleet
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .target_state_count(states)
        .finish_when(stateright::HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = checker.discovery("shares never exceed the limit").is_some();
    (found, checker.unique_state_count(), checker.max_depth())
}

/// Number of states to check: 150,000, or the thousands in `BUDGET_MODEL_KSTATES`.
fn target_states() -> usize {
    let kilostates = std::env::var("BUDGET_MODEL_KSTATES").ok().and_then(|text| text.parse::<usize>().ok());
    kilostates.unwrap_or(150) * 1000
}

#[test]
fn no_state_near_the_start_exceeds_the_limit() {
    let warmed_up = FleetModel::new(Safeguards::default());
    // The allocator has just stopped for good: its successor is elected, waits for the old leases, and grants.
    let orphaned = FleetModel { stopped: Some((0, 14)), warmup_steps: 17, ..warmed_up.clone() };
    let young = FleetModel { warmup_steps: 5, ..warmed_up.clone() };
    for (name, fleet) in [("warmed up", warmed_up), ("allocator stopped", orphaned), ("just started", young)]
    {
        let (found, seen, depth) = explore(fleet, target_states(), 40);
        println!("{name}: {seen} states, depth {depth}");
        assert!(!found && seen > target_states() / 4, "{name}: limit exceeded: {found}, {seen} states");
    }
}

#[test]
fn no_random_walk_exceeds_the_limit() {
    for seed in 0..4 {
        let fleet = FleetModel {
            warmup_steps: [0, 10, 16, 20][seed as usize],
            ..FleetModel::new(Safeguards::default())
        };
        let (found, seen) = random_walks(fleet, seed, target_states());
        println!("random walks, seed {seed}: {seen} states");
        assert!(!found, "seed {seed}");
    }
}

type InjectDefect = fn(&mut Safeguards);

const INJECTED_DEFECTS: &[(&str, InjectDefect)] = &[
    ("a new allocator grants before old leases have expired", |s| s.allocator_start_delay = false),
    ("a lowered share is free before its holder confirms", |s| s.charge_until_confirmed = false),
    ("leases are measured by the wall clock", |_| ()),
];

#[test]
fn random_walks_find_injected_defects() {
    let mut not_found: Vec<&str> = Vec::new();
    for (name, inject) in INJECTED_DEFECTS {
        let mut safeguards = Safeguards::default();
        inject(&mut safeguards);
        let attempts = (0..40).flat_map(|seed| [(seed, 16), (seed, 4)]);
        let found = attempts.into_iter().find(|&(seed, warmup_steps)| {
            // The defect that removes no safeguard is the wall clock.
            let wall_clock = safeguards == Safeguards::default();
            let fleet = FleetModel { warmup_steps, wall_clock, ..FleetModel::new(safeguards) };
            random_walks(fleet, seed, 100_000).0
        });
        println!("{name}: {found:?}");
        not_found.extend(found.is_none().then_some(name));
    }
    assert!(not_found.is_empty(), "no counterexample: {not_found:?}");
}

/// A scripted run of the model.
struct ScriptedRun {
    fleet: FleetModel,
    state: FleetState,
    /// Links, as sender and receiver, whose messages stay in flight.
    held_links: Vec<(usize, usize)>,
    exceeded: bool,
}

impl ScriptedRun {
    /// Starts a fleet whose sidecars have these demands.
    fn new(safeguards: Safeguards, demands: [u64; 4]) -> ScriptedRun {
        let fleet = FleetModel { warmup_steps: 0, ..FleetModel::new(safeguards) };
        let mut state = fleet.init_states().remove(0);
        state.warmed_up = false;
        for (sidecar, demand) in state.sidecars.iter_mut().zip(demands) {
            sidecar.demand = demand * 1000;
        }
        ScriptedRun { fleet, state, held_links: Vec::new(), exceeded: false }
    }

    fn check(&mut self) {
        self.exceeded |= self.fleet.in_force(&self.state) > LIMIT * 1000;
    }

    /// Delivers all messages in flight, except on held links and to paused sidecars.
    fn deliver_all(&mut self) {
        for _ in 0..300 {
            let next = self.state.in_flight.iter().position(|(from, to, _)| {
                !self.held_links.contains(&(*from, *to)) && !self.state.sidecars[*to].paused
            });
            let Some(next) = next else { return };
            self.fleet.deliver(&mut self.state, next, false);
            self.check();
        }
    }

    fn steps(&mut self, steps: usize) {
        for _ in 0..steps {
            self.state.now += 1;
            (0..4).for_each(|i| self.fleet.tick(&mut self.state, i));
            self.check();
            self.deliver_all();
        }
    }

    fn cut_links(&mut self, pairs: &[(usize, usize)]) {
        self.state.cut_links.extend(pairs);
    }
}

/// An injected defect that only a long run reveals, and that run. The number is a delay of its start, in steps.
type ScriptedDefect = (&'static str, InjectDefect, fn(Safeguards, usize) -> ScriptedRun);

const SCRIPTED_DEFECTS: &[ScriptedDefect] = &[
    (
        "a lease runs from the receipt of the grant",
        |s| s.lease_from_request = false,
        |safeguards, delay| {
            let mut run = ScriptedRun::new(safeguards, [6, 0, 6, 0]);
            run.steps(16 + delay);
            // Holder 2 is paused while a grant to it is in flight. Its share is lent to others during the pause; after
            // the pause the old grant is delivered.
            run.held_links = vec![(0, 2)];
            run.steps(1);
            run.state.in_flight.retain(|(_, _, message)| matches!(message, Message::LeaseGrant { .. }));
            run.state.sidecars[2].paused = true;
            run.steps(6);
            run.state.sidecars[2].paused = false;
            run.held_links.clear();
            run.deliver_all();
            run
        },
    ),
    (
        "an older request counts after a newer one",
        |s| s.request_order = false,
        |safeguards, delay| {
            let mut run = ScriptedRun::new(safeguards, [6, 0, 0, 0]);
            run.steps(14 + delay);
            run.held_links = vec![(2, 0)];
            run.steps(1);
            let mut old = run.state.in_flight.clone();
            old.retain(|(_, _, message)| matches!(message, Message::LeaseRequest { .. }));
            assert_eq!(old.len(), 1, "the request without demand");
            run.held_links.clear();
            run.state.sidecars[2].demand = 6000;
            run.steps(4);
            run.state.in_flight.extend(old);
            run.deliver_all();
            run.steps(1);
            run
        },
    ),
    (
        "a restarted voter votes at once",
        |s| s.voter_start_delay = false,
        |safeguards, delay| {
            let mut run = ScriptedRun::new(safeguards, [0, 0, 0, 0]);
            run.steps(14 + delay);
            run.cut_links(&[(0, 2)]);
            run.held_links = vec![(2, 1)];
            while !run
                .state
                .in_flight
                .iter()
                .any(|(_, _, message)| matches!(message, Message::VoteRequest { .. }))
            {
                run.state.in_flight.clear();
                run.steps(1);
            }
            // Voter 1 has just voted for the allocator when it restarts; then the other candidate's request arrives.
            run.cut_links(&[(0, 1), (1, 3), (2, 3)]);
            run.state.sidecars[1] = run.fleet.start(&run.state, 1, 1);
            (run.state.sidecars[2].demand, run.state.sidecars[3].demand) = (6000, 6000);
            run.held_links.clear();
            run.deliver_all();
            run.steps(8);
            run
        },
    ),
    (
        "a report of held shares counts without a promise",
        |s| s.promises = false,
        |safeguards, delay| {
            let mut run = ScriptedRun::new(safeguards, [3, 0, 0, 6]);
            run.steps(16 + delay);
            run.cut_links(&[(0, 3)]);
            run.held_links = vec![(3, 1)];
            run.cut_links(&[(2, 3)]);
            run.steps(3);
            run.cut_links(&[(0, 1), (0, 2)]);
            run.steps(1);
            let last = run.state.in_flight.len() - 1;
            run.state.in_flight.drain(..last);
            // Holder 3 is paused after it has sent a request. Its lease expires and its share is lent to others; then
            // another allocator is elected, and the request arrives there.
            run.state.sidecars[3].paused = true;
            run.state.sidecars[0].demand = 6000;
            run.steps(2);
            run.held_links.clear();
            run.deliver_all();
            run.state.sidecars[3].paused = false;
            run.deliver_all();
            run
        },
    ),
];

#[test]
fn scripted_runs_exceed_the_limit_only_with_their_defects() {
    let mut failures: Vec<String> = Vec::new();
    for (name, inject, play) in SCRIPTED_DEFECTS {
        // With a delay of up to three steps, because clocks at different rates request at different steps.
        let exceeds = |safeguards| (0..4).any(|delay| play(safeguards, delay).exceeded);
        let mut safeguards = Safeguards::default();
        failures.extend(exceeds(safeguards).then(|| format!("{name}: exceeded without the defect")));
        inject(&mut safeguards);
        failures.extend((!exceeds(safeguards)).then(|| format!("{name}: not exceeded with the defect")));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
