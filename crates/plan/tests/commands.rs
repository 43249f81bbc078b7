//! Random words against a reference model, what holds after each of them, and planted defects that break it.

use cometcroft_consensus::StateMachine;
use cometcroft_plan::{
    Checks, Command, CommandEntry, CommandId, CommandOutcome, Controller, MemberState, PermitState,
    PermitTarget, Plan, PlanError, RevisionContent, SidecarStatus,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use std::time::Duration;

fn said(id: u64, expects: Option<u32>, word: Command) -> Vec<u8> {
    CommandEntry {
        id: CommandId(id),
        proposed_by: "m1".into(),
        reason: String::new(),
        unix_ms: 0,
        expected_revision: expects,
        command: word,
    }
    .encode()
}

fn text(n: u8) -> String {
    format!("version = 1\nattempts = {}\n", n % 3 + 1)
}

/// The plan as one value on one machine: texts by number, what is in force, a release as (number, wave, back).
#[derive(Debug, Clone, Default)]
struct Model {
    texts: BTreeMap<u32, String>,
    current: u32,
    release: Option<(u32, u32, bool)>,
    halted: bool,
    said: u64,
}

#[derive(Debug, Clone)]
struct Step {
    word: Command,
    expects: Option<u32>,
    /// It is said twice.
    twice: bool,
}

const WAVES: [u16; 2] = [300, 1000];

impl Model {
    /// Whether a word is taken.
    fn take(&mut self, step: &Step) -> bool {
        if step.expects.is_some_and(|expected| expected != self.current) {
            return false;
        }
        let next = self.texts.keys().last().copied().unwrap_or(0) + 1;
        match &step.word {
            Command::Propose { text } => {
                if self.release.is_some() {
                    return false;
                }
                self.texts.insert(next, text.clone());
                self.current = next;
            }
            Command::RollBackTo { revision: to } => {
                let Some(text) = self.texts.get(to).cloned() else { return false };
                self.texts.insert(next, text);
                (self.current, self.release) = (next, None);
            }
            Command::Release { text, .. } => {
                if self.release.is_some() || self.halted {
                    return false;
                }
                self.texts.insert(next, text.clone());
                self.release = Some((next, 1, false));
            }
            Command::AdvanceWave { revision, wave } => match self.release {
                Some((it, at, false)) if it == *revision && *wave == at + 1 && !self.halted => {
                    self.release = Some((it, *wave, false));
                    if *wave as usize > WAVES.len() {
                        (self.current, self.release) = (it, None);
                    }
                }
                _ => return false,
            },
            Command::RollBackWave { revision, wave } => match self.release {
                Some((it, at, true)) if it == *revision && wave + 1 == at => {
                    self.release = (*wave > 0).then_some((it, *wave, true));
                }
                _ => return false,
            },
            Command::Halt => self.halted = true,
            Command::Resume => self.halted = false,
            Command::RollBackRelease => match &mut self.release {
                Some((.., back)) => *back = true,
                None => return false,
            },
            _ => {}
        }
        true
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        let texts = BTreeMap::from([(0, "version = 1\n".to_owned())]);
        Just(Model { texts, ..Model::default() }).boxed()
    }

    fn transitions(state: &Model) -> BoxedStrategy<Step> {
        let last = state.texts.keys().last().copied().unwrap_or(0);
        let (revision, wave) = state.release.map_or((last, 1), |(revision, wave, _)| (revision, wave));
        let word = prop_oneof![
            any::<u8>().prop_map(|n| Command::Propose { text: text(n) }),
            (0..=last + 1).prop_map(|to| Command::RollBackTo { revision: to }),
            any::<u8>().prop_map(|n| Command::Release { text: text(n), waves: WAVES.to_vec() }),
            (0..3u32).prop_map(move |by| Command::AdvanceWave { revision, wave: wave + by }),
            (0..3u32).prop_map(move |by| Command::RollBackWave { revision, wave: wave.saturating_sub(by) }),
            Just(Command::Halt),
            Just(Command::Resume),
            Just(Command::RollBackRelease),
        ];
        let expects = prop_oneof![3 => Just(None), 1 => (0..=last).prop_map(Some)];
        (word, expects, any::<bool>())
            .prop_map(|(word, expects, twice)| Step { word, expects, twice })
            .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        state.take(step);
        state.said += 1;
        state
    }
}

struct Real {
    plan: Plan,
    said: u64,
    index: u64,
}

impl StateMachineTest for Real {
    type SystemUnderTest = Real;
    type Reference = Model;

    fn init_test(_: &Model) -> Real {
        Real { plan: Plan::fresh(), said: 0, index: 0 }
    }

    fn apply(mut real: Real, state: &Model, step: Step) -> Real {
        real.said += 1;
        let bytes = said(real.said, step.expects, step.word.clone());
        for _ in 0..1 + u32::from(step.twice) {
            real.index += 1;
            real.plan.apply(real.index, &bytes);
        }
        // What the model held before this step can't be had here; what it holds after it is what must be.
        assert_eq!(real.plan.current(), state.current);
        assert_eq!(real.plan.text(real.plan.current()), state.texts.get(&state.current).map(String::as_str));
        let release = real
            .plan
            .release()
            .map(|it| (it.revision, it.wave, it.phase == cometcroft_plan::ReleasePhase::RollingBack));
        assert_eq!(release, state.release);
        assert_eq!(real.plan.halted_by().is_some(), state.halted);
        assert!(real.plan.outcome(CommandId(real.said)).is_some());
        // A copy by snapshot goes on the same.
        let copy = Plan::restore(&real.plan.snapshot()).expect("its own snapshot");
        assert_eq!(copy, real.plan);
        real
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_plan_is_one_value_on_one_machine(sequential 1..60 => Real);
}

/// A fleet of six in one zone and a random leader: what must never be, if it was.
fn broken(checks: Checks, seed: u64) -> Option<&'static str> {
    let mut rng = fastrand(seed);
    let mut plan = Plan::fresh().with_checks(checks);
    let mut controller = Controller::with_checks(checks);
    let mut all: Vec<SidecarStatus> = (0..6).map(standing).collect();
    let (mut index, mut id, mut out, mut halted) = (0u64, 0u64, Vec::<String>::new(), false);
    for step in 0..400u64 {
        let mut word = match rng() % 12 {
            0 => Some(Command::RequestPermit {
                target: PermitTarget::Sidecar { name: format!("m{}", rng() % 6), generation: 1 },
                zone: "a".into(),
                tier: 0,
                overdue_after_s: 9,
            }),
            1 => Some(Command::RequestPermit {
                target: PermitTarget::Endpoint(format!("s{}", rng() % 3)),
                zone: "a".into(),
                tier: 0,
                overdue_after_s: 9,
            }),
            2 => plan.permits().keys().next().map(|permit| Command::ReturnPermit { permit: *permit }),
            3 if rng().is_multiple_of(3) => Some(Command::Halt),
            4 => Some(Command::Resume),
            5 => {
                let at = (rng() % 6) as usize;
                all[at].state =
                    [MemberState::Alive, MemberState::Unreachable, MemberState::Alive][(rng() % 3) as usize];
                None
            }
            6 => {
                // Who is there hears of what is agreed.
                all.iter_mut()
                    .filter(|it| it.state == MemberState::Alive)
                    .for_each(|it| it.confirmed_index = index);
                None
            }
            7 => plan.permits().keys().last().map(|permit| Command::GrantPermit {
                permit: *permit,
                missing: Vec::new(),
                total: 6,
            }),
            _ => None,
        };
        // A late word of a leader that is none any more, said again: a grant without its grounds is not its way.
        if let Some(Command::GrantPermit { permit, missing, .. }) = &mut word {
            let zone_gone =
                all.iter().filter(|it| it.state == MemberState::Unreachable).map(|it| it.name.clone());
            if plan.permits().get(permit).is_some_and(|it| !it.target.is_endpoint()) {
                *missing = zone_gone.collect();
            }
        }
        let word = word.or_else(|| controller.next_command(&plan, Duration::from_millis(100 * step), &all));
        let Some(word) = word else { continue };
        let (before, expects) =
            (plan.clone(), rng().is_multiple_of(5).then(|| plan.current() + (rng() % 2) as u32));
        (index, id) = (index + 1, id + 1);
        plan.apply(index, &said(id, expects, word.clone()));
        let taken = matches!(plan.outcome(CommandId(id)), Some(CommandOutcome::Applied { .. }));
        if !taken {
            continue;
        }
        if expects.is_some_and(|expected| expected != before.current()) {
            return Some("taken though another revision was expected");
        }
        match word {
            Command::Halt => halted = true,
            Command::Resume => halted = false,
            Command::GrantPermit { permit, .. } => {
                let granted = &plan.permits()[&permit];
                if before.permits()[&permit].state != PermitState::Waiting {
                    return Some("given twice");
                }
                if halted {
                    return Some("given after a halt");
                }
                if !granted.target.is_endpoint() {
                    // One may be out: itself; nobody else may be out or dead.
                    let dead = all
                        .iter()
                        .any(|it| it.state == MemberState::Unreachable && it.name != granted.target.name());
                    let others = plan
                        .permits()
                        .values()
                        .filter(|it| !it.target.is_endpoint() && it.state != PermitState::Waiting);
                    if dead || others.count() > 1 {
                        return Some("too many out");
                    }
                    out.push(granted.target.name().to_owned());
                }
            }
            Command::MarkClear { permit } => {
                let PermitState::Clear { index, .. } = plan.permits()[&permit].state else { continue };
                if all.iter().any(|it| it.confirmed_index < index && it.state != MemberState::Left) {
                    return Some("clear without one that may still send");
                }
            }
            _ => {}
        }
    }
    None
}

fn standing(i: usize) -> SidecarStatus {
    SidecarStatus {
        name: format!("m{i}"),
        generation: 1,
        zone: "a".into(),
        tier: 0,
        state: MemberState::Alive,
        confirmed_index: 0,
        ready: true,
    }
}

/// Numbers from a seed (splitmix).
fn fastrand(seed: u64) -> impl FnMut() -> u64 {
    let mut state = seed;
    move || {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (state ^ state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }
}

#[test]
fn permits_hold_under_random_words_and_planted_defects_are_found() {
    for seed in 0..300 {
        assert_eq!(broken(Checks::default(), seed), None, "seed {seed}");
    }
    let planted: [(&str, Checks); 5] = [
        ("compare and set left out", Checks { expected_revision: false, ..Checks::default() }),
        ("a permit given twice", Checks { single_grant: false, ..Checks::default() }),
        ("the dead not counted", Checks { count_missing: false, ..Checks::default() }),
        ("a halt that does not bind", Checks { halt: false, ..Checks::default() }),
        ("clear without the one cut off", Checks { wait_for_unreachable: false, ..Checks::default() }),
    ];
    for (what, checks) in planted {
        let found = (0..300).find_map(|seed| Some((seed, broken(checks, seed)?)));
        println!("{what}: {found:?}");
        assert!(found.is_some(), "{what}");
    }
}

#[test]
fn history_is_bounded_pins_hold_and_what_is_not_kept_names_the_oldest() {
    let mut plan = Plan::fresh();
    let mut say = |index: u64, word| {
        plan.apply(index, &said(index, None, word));
        (plan.outcome(CommandId(index)).cloned(), plan.clone())
    };
    say(1, Command::Propose { text: text(0) });
    say(2, Command::Pin { revision: 1, pinned: true });
    for index in 3..200 {
        say(index, Command::Propose { text: format!("version = 1\n# {index}\n") });
    }
    let (answer, kept) = say(200, Command::RollBackTo { revision: 50 });
    let Some(CommandOutcome::Rejected(PlanError::RevisionNotKept { oldest: 0, newest, .. })) = answer else {
        panic!("{answer:?}")
    };
    assert!(kept.revisions().len() <= 64 && newest == 198 && kept.revisions().contains_key(&1));
    let (answer, back) = say(201, Command::RollBackTo { revision: 1 });
    assert!(matches!(answer, Some(CommandOutcome::Applied { number: 199, .. })));
    assert_eq!(back.text(199), Some(&*text(0)));
    // Contents are kept once.
    assert_eq!(back.revisions()[&199].digest, back.revisions()[&1].digest);
    // Words that can't be read change nothing, on all alike.
    let mut other = back.clone();
    other.apply(202, b"\xff\xff\xff");
    assert_eq!(other.current(), back.current());
}

#[test]
fn every_error_has_a_code_of_its_own_and_says_what_to_do() {
    let mut codes: Vec<(&str, &str)> =
        PlanError::all().iter().map(|error| (error.code(), error.remedy())).collect();
    codes.extend(
        cometcroft_consensus::ConsensusError::all().iter().map(|error| (error.code(), error.remedy())),
    );
    let page = include_str!("../../../docs/fleet-plan.md");
    for (code, remedy) in &codes {
        assert!(remedy.len() > 10, "{code}");
        assert!(page.contains(&format!("`{code}`")), "the page lacks {code}");
    }
    let mut names: Vec<&str> = codes.iter().map(|(code, _)| *code).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), codes.len());
}

#[test]
fn texts_that_make_no_sense_name_line_field_and_reason() {
    let told = |text: &str| RevisionContent::parse(text, "r.toml").expect_err("refused").to_string();
    assert!(told("version = 2\n").starts_with("r.toml:1:1: version: this program reads version 1"));
    let unknown = told("version = 1\nattemps = 2\n");
    assert!(
        unknown.starts_with("r.toml:2:1: attemps") && unknown.contains("did you mean \"attempts\""),
        "{unknown}"
    );
    let rules = "version = 1\n[[retries]]\nclass = \"a\"\nshare = 0.1\nceiling = 5.0\n[[retries]]\nclass = \"a\"\nshare = 0.2\nceiling = 9.0\n";
    let overlap = told(rules);
    assert!(overlap.starts_with("r.toml:8:1: share: overlaps rule 1"), "{overlap}");
    assert!(
        RevisionContent::parse(
            &rules.replacen("class = \"a\"\nshare = 0.2", "tenant = \"t\"\nclass = \"a\"\nshare = 0.2", 1),
            "r"
        )
        .is_ok()
    );
    assert!(told("version = 1\n[[server]]\nshare = 0.0\n").contains("names no backend server"));
    assert!(told("version = 1\n[[out]]\nof = \"servers\"\n").contains("most or share is missing"));
    let storm = "version = 1\n[storm]\nover = 0.1\nunder = 0.2\nfor = \"2s\"\nceiling = 1.0\n";
    assert!(told(storm).contains(": under: must be under"), "{}", told(storm));
}
