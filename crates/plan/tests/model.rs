//! The plan and what only the leader says, model-checked: operators' words, leaders' words that are held up on their way and
//! come late or twice, halts, sidecars that are cut off. The code that ships.

use cometcroft_consensus::StateMachine;
use cometcroft_plan::{
    Answer, Id, Parts, PermitState, Phase, Plan, Presence, Said, Standing, Steward, What, Word,
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
    Say(Word),
    /// A leader says what is to be said, as things stand now.
    Lead,
    /// A leader's word reaches the log; it may come again.
    Land(usize, bool),
    Confirm(usize),
    Cut(usize),
}

#[derive(Clone)]
struct Fleet {
    parts: Parts,
    /// Operators ask for permits; else they release and roll back.
    permits: bool,
}

impl World {
    fn plan(&self, parts: Parts) -> Plan {
        Plan::restore(&self.plan).unwrap_or_else(Plan::fresh).with(parts)
    }

    fn standing(&self) -> Vec<Standing> {
        (0..SIDECARS)
            .map(|i| Standing {
                name: format!("m{i}"),
                generation: 1,
                zone: "a".into(),
                tier: 0,
                presence: if self.gone[i] { Presence::Gone } else { Presence::There },
                index: self.confirmed[i],
                ready: true,
            })
            .collect()
    }

    /// A word enters the log; what must never follow from it.
    fn enter(&mut self, said: &Said, parts: Parts) {
        let before = self.plan(parts);
        let mut plan = before.clone();
        self.index += 1;
        plan.apply(self.index, &said.bytes());
        self.plan = plan.snapshot();
        let first = before.answer(said.id).is_none();
        if !first || !matches!(plan.answer(said.id), Some(Answer::Taken { .. })) {
            if before.snapshot() != self.plan && !first {
                // Only the place in the log may differ.
                self.broken = (before.permits() != plan.permits()).then_some("done twice");
            }
            return;
        }
        if said.expects.is_some_and(|expected| expected != before.current()) {
            self.broken = Some("taken though another revision was expected");
        }
        match &said.word {
            Word::Halt => self.halted = true,
            Word::Resume => self.halted = false,
            Word::Next { .. } if self.halted => self.broken = Some("a wave after the halt"),
            Word::Grant { permit, missing, .. } => {
                if self.halted {
                    self.broken = Some("a permit after the halt");
                }
                if before.permits()[permit].state != PermitState::Waits {
                    self.broken = Some("given twice");
                }
                let given = &plan.permits()[permit];
                let out = plan.permits().values().filter(|it| {
                    it.what.server() == given.what.server() && it.state != PermitState::Waits && *it != given
                });
                let mut out: Vec<&str> = out.map(|it| it.what.name()).collect();
                if !given.what.server() {
                    out.extend(missing.iter().map(String::as_str).filter(|name| *name != given.what.name()));
                }
                if !out.is_empty() {
                    self.broken = Some("too many out");
                }
            }
            Word::Clear { permit } => {
                let since = plan.permits()[permit].since().unwrap_or(0);
                if self.confirmed.iter().any(|confirmed| *confirmed < since) {
                    self.broken = Some("clear without one that may still send");
                }
            }
            _ => {}
        }
        if plan.release().is_some_and(|it| it.phase == Phase::Back && it.wave == 0) {
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
            let what = What::Server("t".into());
            let ask = Word::Ask { what, zone: "a".to_owned(), tier: 0, for_s: 1 };
            for word in [ask, Word::Grant { permit: 1, missing: Vec::new(), of: 0 }] {
                index += 1;
                plan.apply(index, &said(index, None, word).bytes());
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
        let (plan, zone) = (world.plan(self.parts), || "a".to_owned());
        let text = "version = 1\nattempts = 2\n".to_owned();
        let sidecar = |i: usize| What::Sidecar { name: format!("m{i}"), generation: 1 };
        let ask = |what| Word::Ask { what, zone: zone(), tier: 0, for_s: 1 };
        let words = if self.permits {
            vec![ask(sidecar(0)), ask(sidecar(1)), ask(What::Server("s".into())), Word::Halt, Word::Resume]
        } else {
            let release = Word::Release { text, waves: vec![500, 1000] };
            vec![release, Word::Back, Word::RollBack { to: 0 }, Word::Halt, Word::Resume]
        };
        acts.extend(words.into_iter().map(Act::Say));
        if let Some(permit) = plan.permits().keys().next() {
            acts.push(Act::Say(Word::Return { permit: *permit }));
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
                let expects = world.index.is_multiple_of(2).then(|| last.plan(self.parts).current());
                let said = said(1000 + world.index, expects, word);
                world.enter(&said, self.parts);
            }
            Act::Lead => {
                let plan = world.plan(self.parts);
                let now = Duration::from_secs(1);
                let word = Steward::with(self.parts).word(&plan, now, &world.standing())?;
                let said = Said { id: Steward::id(&word, world.index), ..said(0, None, word) };
                let bytes = said.bytes();
                if world.air.contains(&bytes) {
                    return None;
                }
                world.air.push(bytes);
            }
            Act::Land(i, stays) => {
                let said = Said::read(&world.air[i])?;
                if !stays {
                    world.air.remove(i);
                }
                world.enter(&said, self.parts);
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

fn said(id: u64, expects: Option<u32>, word: Word) -> Said {
    Said { id: Id(id), by: "m0".into(), reason: String::new(), unix_ms: 0, expects, word }
}

/// What was found, in how many states and how deep.
fn explore(parts: Parts, permits: bool, depth: usize, states: usize) -> (Option<&'static str>, usize, usize) {
    let checker = Fleet { parts, permits }
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
        let (found, states, depth) = explore(Parts::default(), permits, depth, most);
        println!("sound, permits {permits}: {states} states, {depth} deep");
        assert_eq!(found, None);
    }
    for (what, permits, parts) in [
        ("a permit given twice", true, Parts { once: false, ..Parts::default() }),
        ("the dead not counted", true, Parts { missing: false, ..Parts::default() }),
        ("clear without the one cut off", true, Parts { waits: false, ..Parts::default() }),
        ("a permit after the halt", true, Parts { halts: false, ..Parts::default() }),
        ("a wave after the halt", false, Parts { halts: false, ..Parts::default() }),
    ] {
        let (found, states, depth) = explore(parts, permits, 8, 3_000_000);
        println!("{what}: {found:?} in {states} states, {depth} deep");
        assert!(found.is_some(), "{what}");
    }
}
