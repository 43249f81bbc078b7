//! Random commands against a reference model, the invariants that hold after each of them, and injected defects that
//! violate them.

use cometcroft_consensus::StateMachine;
use cometcroft_plan::{
    Checks, Command, CommandEntry, CommandId, CommandOutcome, Controller, MemberState, PermitState,
    PermitTarget, Plan, PlanError, ReleasePhase, RevisionContent, SidecarStatus,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use std::time::Duration;

fn entry(id: u64, expected_revision: Option<u32>, command: Command) -> Vec<u8> {
    CommandEntry {
        id: CommandId(id),
        proposed_by: "m1".into(),
        reason: String::new(),
        unix_ms: 0,
        expected_revision,
        command,
    }
    .encode()
}

fn text(n: u8) -> String {
    format!("version = 1\nattempts = {}\n", n % 3 + 1)
}

/// The reference model: the plan as one sequential value.
#[derive(Debug, Clone, Default)]
struct Model {
    /// Texts by revision.
    texts: BTreeMap<u32, String>,
    current: u32,
    /// Revision, wave, and whether the release is rolled back.
    release: Option<(u32, u32, bool)>,
    halted: bool,
    proposed: u64,
}

#[derive(Debug, Clone)]
struct Step {
    command: Command,
    expected_revision: Option<u32>,
    /// The command reaches the log twice.
    twice: bool,
}

const WAVES: [u16; 2] = [300, 1000];

impl Model {
    /// Applies a command; `false` if it is rejected.
    fn execute(&mut self, step: &Step) -> bool {
        if step.expected_revision.is_some_and(|expected| expected != self.current) {
            return false;
        }
        let next = self.texts.keys().last().copied().unwrap_or(0) + 1;
        match &step.command {
            Command::Propose { text } => {
                if self.release.is_some() {
                    return false;
                }
                self.texts.insert(next, text.clone());
                self.current = next;
            }
            Command::RollBackTo { revision } => {
                let Some(text) = self.texts.get(revision).cloned() else { return false };
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
                Some((released, current_wave, false))
                    if released == *revision && *wave == current_wave + 1 && !self.halted =>
                {
                    self.release = Some((released, *wave, false));
                    if *wave as usize > WAVES.len() {
                        (self.current, self.release) = (released, None);
                    }
                }
                _ => return false,
            },
            Command::RollBackWave { revision, wave } => match self.release {
                Some((released, current_wave, true)) if released == *revision && wave + 1 == current_wave => {
                    self.release = (*wave > 0).then_some((released, *wave, true));
                }
                _ => return false,
            },
            Command::Halt => self.halted = true,
            Command::Resume => self.halted = false,
            Command::RollBackRelease => match &mut self.release {
                Some((.., rolled_back)) => *rolled_back = true,
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
        let command = prop_oneof![
            any::<u8>().prop_map(|n| Command::Propose { text: text(n) }),
            (0..=last + 1).prop_map(|revision| Command::RollBackTo { revision }),
            any::<u8>().prop_map(|n| Command::Release { text: text(n), waves: WAVES.to_vec() }),
            (0..3u32).prop_map(move |by| Command::AdvanceWave { revision, wave: wave + by }),
            (0..3u32).prop_map(move |by| Command::RollBackWave { revision, wave: wave.saturating_sub(by) }),
            Just(Command::Halt),
            Just(Command::Resume),
            Just(Command::RollBackRelease),
        ];
        let expected_revision = prop_oneof![3 => Just(None), 1 => (0..=last).prop_map(Some)];
        (command, expected_revision, any::<bool>())
            .prop_map(|(command, expected_revision, twice)| Step { command, expected_revision, twice })
            .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        state.execute(step);
        state.proposed += 1;
        state
    }
}

struct Real {
    plan: Plan,
    proposed: u64,
    index: u64,
}

impl StateMachineTest for Real {
    type SystemUnderTest = Real;
    type Reference = Model;

    fn init_test(_: &Model) -> Real {
        Real { plan: Plan::fresh(), proposed: 0, index: 0 }
    }

    fn apply(mut real: Real, state: &Model, step: Step) -> Real {
        real.proposed += 1;
        let bytes = entry(real.proposed, step.expected_revision, step.command.clone());
        for _ in 0..1 + u32::from(step.twice) {
            real.index += 1;
            real.plan.apply(real.index, &bytes);
        }
        // `state` is the reference after this step.
        assert_eq!(real.plan.current(), state.current);
        assert_eq!(real.plan.text(real.plan.current()), state.texts.get(&state.current).map(String::as_str));
        let release = real
            .plan
            .release()
            .map(|release| (release.revision, release.wave, release.phase == ReleasePhase::RollingBack));
        assert_eq!(release, state.release);
        assert_eq!(real.plan.halted_by().is_some(), state.halted);
        assert!(real.plan.outcome(CommandId(real.proposed)).is_some());
        // A plan that is restored from the snapshot is equal.
        let copy = Plan::restore(&real.plan.snapshot()).expect("valid snapshot");
        assert_eq!(copy, real.plan);
        real
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_plan_equals_the_reference_model(sequential 1..60 => Real);
}

/// Plays random commands and a leader's controller in a fleet of six sidecars in one zone, and returns a violated
/// invariant.
fn violation(checks: Checks, seed: u64) -> Option<&'static str> {
    let mut rng = random_numbers(seed);
    let mut plan = Plan::fresh().with_checks(checks);
    let mut controller = Controller::with_checks(checks);
    let mut fleet: Vec<SidecarStatus> = (0..6).map(sidecar).collect();
    let (mut index, mut id, mut halted) = (0u64, 0u64, false);
    for step in 0..400u64 {
        let mut command = match rng() % 12 {
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
                let i = (rng() % 6) as usize;
                fleet[i].state =
                    [MemberState::Alive, MemberState::Unreachable, MemberState::Alive][(rng() % 3) as usize];
                None
            }
            6 => {
                // Every reachable sidecar confirms everything in the log.
                fleet
                    .iter_mut()
                    .filter(|sidecar| sidecar.state == MemberState::Alive)
                    .for_each(|sidecar| sidecar.confirmed_index = index);
                None
            }
            7 => plan.permits().keys().last().map(|permit| Command::GrantPermit {
                permit: *permit,
                missing: Vec::new(),
                total: 6,
            }),
            _ => None,
        };
        // The random grant stands for a delayed command of a former leader. Leaders always name the missing sidecars.
        if let Some(Command::GrantPermit { permit, missing, .. }) = &mut command {
            let unreachable = fleet
                .iter()
                .filter(|sidecar| sidecar.state == MemberState::Unreachable)
                .map(|sidecar| sidecar.name.clone());
            if plan.permits().get(permit).is_some_and(|permit| !permit.target.is_endpoint()) {
                *missing = unreachable.collect();
            }
        }
        let command =
            command.or_else(|| controller.next_command(&plan, Duration::from_millis(100 * step), &fleet));
        let Some(command) = command else { continue };
        let (before, expected_revision) =
            (plan.clone(), rng().is_multiple_of(5).then(|| plan.current() + (rng() % 2) as u32));
        (index, id) = (index + 1, id + 1);
        plan.apply(index, &entry(id, expected_revision, command.clone()));
        let applied = matches!(plan.outcome(CommandId(id)), Some(CommandOutcome::Applied { .. }));
        if !applied {
            continue;
        }
        if expected_revision.is_some_and(|expected| expected != before.current()) {
            return Some("a command was applied although it expected another revision");
        }
        match command {
            Command::Halt => halted = true,
            Command::Resume => halted = false,
            Command::GrantPermit { permit, .. } => {
                let granted = &plan.permits()[&permit];
                if before.permits()[&permit].state != PermitState::Waiting {
                    return Some("a permit was granted twice");
                }
                if halted {
                    return Some("a permit was granted while halted");
                }
                if !granted.target.is_endpoint() {
                    // One sidecar may be out of service: no other may be out or unreachable.
                    let unreachable = fleet.iter().any(|sidecar| {
                        sidecar.state == MemberState::Unreachable && sidecar.name != granted.target.name()
                    });
                    let others = plan.permits().values().filter(|permit| {
                        !permit.target.is_endpoint() && permit.state != PermitState::Waiting
                    });
                    if unreachable || others.count() > 1 {
                        return Some("too many are out of service");
                    }
                }
            }
            Command::MarkClear { permit } => {
                let PermitState::Clear { index, .. } = plan.permits()[&permit].state else { continue };
                if fleet
                    .iter()
                    .any(|sidecar| sidecar.confirmed_index < index && sidecar.state != MemberState::Left)
                {
                    return Some("a permit is clear although a sidecar may still send");
                }
            }
            _ => {}
        }
    }
    None
}

fn sidecar(i: usize) -> SidecarStatus {
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

/// Random numbers from a seed (SplitMix64).
fn random_numbers(seed: u64) -> impl FnMut() -> u64 {
    let mut state = seed;
    move || {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (state ^ state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }
}

#[test]
fn invariants_hold_under_random_commands_and_injected_defects_are_found() {
    for seed in 0..300 {
        assert_eq!(violation(Checks::default(), seed), None, "seed {seed}");
    }
    let defects: [(&str, Checks); 5] = [
        ("the expected revision is not checked", Checks { expected_revision: false, ..Checks::default() }),
        ("a permit can be granted twice", Checks { single_grant: false, ..Checks::default() }),
        ("missing sidecars are not counted", Checks { count_missing: false, ..Checks::default() }),
        ("a halt does not stop grants and waves", Checks { halt: false, ..Checks::default() }),
        (
            "clear does not wait for unreachable sidecars",
            Checks { wait_for_unreachable: false, ..Checks::default() },
        ),
    ];
    for (defect, checks) in defects {
        let found = (0..300).find_map(|seed| Some((seed, violation(checks, seed)?)));
        println!("{defect}: {found:?}");
        assert!(found.is_some(), "not found: {defect}");
    }
}

#[test]
fn history_is_bounded_pinned_revisions_stay_and_a_missing_one_names_the_oldest() {
    let mut plan = Plan::fresh();
    let mut apply = |index: u64, command| {
        plan.apply(index, &entry(index, None, command));
        (plan.outcome(CommandId(index)).cloned(), plan.clone())
    };
    apply(1, Command::Propose { text: text(0) });
    apply(2, Command::Pin { revision: 1, pinned: true });
    for index in 3..200 {
        apply(index, Command::Propose { text: format!("version = 1\n# {index}\n") });
    }
    let (outcome, after) = apply(200, Command::RollBackTo { revision: 50 });
    let Some(CommandOutcome::Rejected(PlanError::RevisionNotKept { oldest: 0, newest, .. })) = outcome else {
        panic!("{outcome:?}")
    };
    assert!(after.revisions().len() <= 64 && newest == 198 && after.revisions().contains_key(&1));
    let (outcome, restored) = apply(201, Command::RollBackTo { revision: 1 });
    assert!(matches!(outcome, Some(CommandOutcome::Applied { number: 199, .. })));
    assert_eq!(restored.text(199), Some(&*text(0)));
    // Equal texts are stored once.
    assert_eq!(restored.revisions()[&199].digest, restored.revisions()[&1].digest);
    // An entry that cannot be read changes nothing.
    let mut other = restored.clone();
    other.apply(202, b"\xff\xff\xff");
    assert_eq!(other.current(), restored.current());
}

#[test]
fn every_error_has_a_unique_documented_code_and_a_remedy() {
    let mut codes: Vec<(&str, &str)> =
        PlanError::all().iter().map(|error| (error.code(), error.remedy())).collect();
    codes.extend(
        cometcroft_consensus::ConsensusError::all().iter().map(|error| (error.code(), error.remedy())),
    );
    let documentation = include_str!("../../../docs/fleet-plan.md");
    for (code, remedy) in &codes {
        assert!(remedy.len() > 10, "{code}");
        assert!(documentation.contains(&format!("`{code}`")), "docs/fleet-plan.md lacks {code}");
    }
    let mut names: Vec<&str> = codes.iter().map(|(code, _)| *code).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), codes.len());
}

#[test]
fn errors_in_a_revision_name_line_field_and_reason() {
    let error = |text: &str| RevisionContent::parse(text, "r.toml").expect_err("rejected").to_string();
    assert!(error("version = 2\n").starts_with("r.toml:1:1: version: this program reads version 1"));
    let unknown = error("version = 1\nattemps = 2\n");
    assert!(
        unknown.starts_with("r.toml:2:1: attemps") && unknown.contains("did you mean \"attempts\""),
        "{unknown}"
    );
    let rules = "version = 1\n[[retries]]\nclass = \"a\"\nshare = 0.1\nceiling = 5.0\n[[retries]]\nclass = \"a\"\nshare = 0.2\nceiling = 9.0\n";
    let overlap = error(rules);
    assert!(overlap.starts_with("r.toml:8:1: share: overlaps rule 1"), "{overlap}");
    assert!(
        RevisionContent::parse(
            &rules.replacen("class = \"a\"\nshare = 0.2", "tenant = \"t\"\nclass = \"a\"\nshare = 0.2", 1),
            "r"
        )
        .is_ok()
    );
    assert!(error("version = 1\n[[server]]\nshare = 0.0\n").contains("names no backend server"));
    assert!(error("version = 1\n[[out]]\nof = \"servers\"\n").contains("most or share is missing"));
    let storm = "version = 1\n[storm]\nover = 0.1\nunder = 0.2\nfor = \"2s\"\nceiling = 1.0\n";
    assert!(error(storm).contains(": under: must be under"), "{}", error(storm));
}
