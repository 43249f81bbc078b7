//! The plan and what only the leader says, model-checked: operators' words, leaders' words that are held up on their way and
//! come late or twice, halts, sidecars that are cut off. The code that ships.

use cometcroft_consensus::StateMachine;
use cometcroft_plan::{
    Checks, Command, CommandEntry, CommandId, CommandOutcome, Controller, MemberState, PermitState,
    PermitTarget, Plan, ReleasePhase, SidecarStatus,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::time::Duration;

/// Sidecars, all in one zone, where one may be out.
const SIDECARS: usize = 2;
/// Words of leaders on their way at once.
const AIR: usize = 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    plan: Vec<u8>,
    index: u64,
    /// Up to which entry each has it in force.
    confirmed: [u64; SIDECARS],
    gone: [bool; SIDECARS],
    air: Vec<Bytes>,
    halted: bool,
    broken: Option<&'static str>,
}

/// A word on its way, in its form in the log.
type Bytes = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Act {
    Say(Command),
    /// A leader says what is to be said, as things stand now.
    Lead,
    /// A leader's word reaches the log; it may come again.
    Land(usize, bool),
    Confirm(usize),
    Cut(usize),
}

#[derive(Clone)]
struct Fleet {
    checks: Checks,
    /// Operators ask for permits; else they release and roll back.
    permits: bool,
}

impl World {
    fn plan(&self, checks: Checks) -> Plan {
        Plan::restore(&self.plan).unwrap_or_else(Plan::fresh).with_checks(checks)
    }

    fn standing(&self) -> Vec<SidecarStatus> {
        (0..SIDECARS)
            .map(|i| SidecarStatus {
                name: format!("m{i}"),
                generation: 1,
                zone: "a".into(),
                tier: 0,
                state: if self.gone[i] { MemberState::Unreachable } else { MemberState::Alive },
                confirmed_index: self.confirmed[i],
                ready: true,
            })
            .collect()
    }

    /// A word enters the log; what must never follow from it.
    fn enter(&mut self, said: &CommandEntry, checks: Checks) {
        let before = self.plan(checks);
        let mut plan = before.clone();
        self.index += 1;
        plan.apply(self.index, &said.encode());
        self.plan = plan.snapshot();
        let first = before.outcome(said.id).is_none();
        if !first || !matches!(plan.outcome(said.id), Some(CommandOutcome::Applied { .. })) {
            if before.snapshot() != self.plan && !first {
                // Only the place in the log may differ.
                self.broken = (before.permits() != plan.permits()).then_some("done twice");
            }
            return;
        }
        if said.expected_revision.is_some_and(|expected| expected != before.current()) {
            self.broken = Some("taken though another revision was expected");
        }
        match &said.command {
            Command::Halt => self.halted = true,
            Command::Resume => self.halted = false,
            Command::AdvanceWave { .. } if self.halted => self.broken = Some("a wave after the halt"),
            Command::GrantPermit { permit, missing, .. } => {
                if self.halted {
                    self.broken = Some("a permit after the halt");
                }
                if before.permits()[permit].state != PermitState::Waiting {
                    self.broken = Some("given twice");
                }
                let given = &plan.permits()[permit];
                let out = plan.permits().values().filter(|it| {
                    it.target.is_endpoint() == given.target.is_endpoint()
                        && it.state != PermitState::Waiting
                        && *it != given
                });
                let mut out: Vec<&str> = out.map(|it| it.target.name()).collect();
                if !given.target.is_endpoint() {
                    out.extend(
                        missing.iter().map(String::as_str).filter(|name| *name != given.target.name()),
                    );
                }
                if !out.is_empty() {
                    self.broken = Some("too many out");
                }
            }
            Command::MarkClear { permit } => {
                let since = plan.permits()[permit].granted_index().unwrap_or(0);
                if self.confirmed.iter().any(|confirmed| *confirmed < since) {
                    self.broken = Some("clear without one that may still send");
                }
            }
            _ => {}
        }
        if plan.release().is_some_and(|it| it.phase == ReleasePhase::RollingBack && it.wave == 0) {
            self.broken = Some("a way back without an end");
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut plan = Plan::fresh();
        let mut index = 0;
        if self.permits {
            // A server's permit has just been given.
            let target = PermitTarget::Endpoint("t".into());
            let ask = Command::RequestPermit { target, zone: "a".to_owned(), tier: 0, overdue_after_s: 1 };
            for word in [ask, Command::GrantPermit { permit: 1, missing: Vec::new(), total: 0 }] {
                index += 1;
                plan.apply(index, &said(index, None, word).encode());
            }
        }
        vec![World {
            plan: plan.snapshot(),
            index,
            confirmed: [0; SIDECARS],
            gone: [false; SIDECARS],
            air: Vec::new(),
            halted: false,
            broken: None,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        let (plan, zone) = (world.plan(self.checks), || "a".to_owned());
        let text = "version = 1\nattempts = 2\n".to_owned();
        let sidecar = |i: usize| PermitTarget::Sidecar { name: format!("m{i}"), generation: 1 };
        let ask = |target| Command::RequestPermit { target, zone: zone(), tier: 0, overdue_after_s: 1 };
        let words = if self.permits {
            vec![
                ask(sidecar(0)),
                ask(sidecar(1)),
                ask(PermitTarget::Endpoint("s".into())),
                Command::Halt,
                Command::Resume,
            ]
        } else {
            let release = Command::Release { text, waves: vec![500, 1000] };
            vec![
                release,
                Command::RollBackRelease,
                Command::RollBackTo { revision: 0 },
                Command::Halt,
                Command::Resume,
            ]
        };
        acts.extend(words.into_iter().map(Act::Say));
        if let Some(permit) = plan.permits().keys().next() {
            acts.push(Act::Say(Command::ReturnPermit { permit: *permit }));
        }
        if world.air.len() < AIR {
            acts.push(Act::Lead);
        }
        for i in 0..world.air.len() {
            acts.extend([Act::Land(i, false), Act::Land(i, true)]);
        }
        for i in 0..SIDECARS {
            if !world.gone[i] && world.confirmed[i] < world.index {
                acts.push(Act::Confirm(i));
            }
            if !world.gone[i] {
                acts.push(Act::Cut(i));
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Say(word) => {
                // Every second word of an operator expects what it saw in force.
                let expects = world.index.is_multiple_of(2).then(|| last.plan(self.checks).current());
                let said = said(1000 + world.index, expects, word);
                world.enter(&said, self.checks);
            }
            Act::Lead => {
                let plan = world.plan(self.checks);
                let now = Duration::from_secs(1);
                let word =
                    Controller::with_checks(self.checks).next_command(&plan, now, &world.standing())?;
                let said =
                    CommandEntry { id: Controller::command_id(&word, world.index), ..said(0, None, word) };
                let bytes = said.encode();
                if world.air.contains(&bytes) {
                    return None;
                }
                world.air.push(bytes);
            }
            Act::Land(i, stays) => {
                let said = CommandEntry::decode(&world.air[i])?;
                if !stays {
                    world.air.remove(i);
                }
                world.enter(&said, self.checks);
            }
            Act::Confirm(i) => world.confirmed[i] = world.index,
            Act::Cut(i) => world.gone[i] = true,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![Property::always("what must never be", |_, world: &World| world.broken.is_none())]
    }
}

fn said(id: u64, expects: Option<u32>, word: Command) -> CommandEntry {
    CommandEntry {
        id: CommandId(id),
        proposed_by: "m0".into(),
        reason: String::new(),
        unix_ms: 0,
        expected_revision: expects,
        command: word,
    }
}

/// What was found, in how many states and how deep.
fn explore(
    checks: Checks,
    permits: bool,
    depth: usize,
    states: usize,
) -> (Option<&'static str>, usize, usize) {
    let checker = Fleet { checks, permits }
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .target_state_count(states)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = checker.discovery("what must never be").and_then(|path| path.last_state().broken);
    (found, checker.unique_state_count(), checker.max_depth())
}

#[test]
fn no_order_of_words_breaks_a_permit_a_halt_or_clear_and_defects_are_found() {
    let more = std::env::var("PLAN_MODEL_KSTATES").ok().and_then(|n| n.parse::<usize>().ok());
    for permits in [true, false] {
        let (depth, most) = (if more.is_some() { 12 } else { 7 }, more.unwrap_or(600) * 1000);
        let (found, states, depth) = explore(Checks::default(), permits, depth, most);
        println!("sound, permits {permits}: {states} states, {depth} deep");
        assert_eq!(found, None);
    }
    for (what, permits, checks) in [
        ("a permit given twice", true, Checks { single_grant: false, ..Checks::default() }),
        ("the dead not counted", true, Checks { count_missing: false, ..Checks::default() }),
        ("clear without the one cut off", true, Checks { wait_for_unreachable: false, ..Checks::default() }),
        ("a permit after the halt", true, Checks { halt: false, ..Checks::default() }),
        ("a wave after the halt", false, Checks { halt: false, ..Checks::default() }),
    ] {
        let (found, states, depth) = explore(checks, permits, 8, 3_000_000);
        println!("{what}: {found:?} in {states} states, {depth} deep");
        assert!(found.is_some(), "{what}");
    }
}
