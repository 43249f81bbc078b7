//! Limits on retries over a cluster: many throttles with parts that sum to the whole, never over the policy together.

use cometcroft_plan::{RetryAttributes, RetryDecision, RetryThrottle, RevisionContent};
use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const RULES: &str = "version = 1\n[[retries]]\nclass = \"plan\"\nshare = 0.5\nfloor = 2.0\nceiling = 20.0\nburst = 12\n\
    [storm]\nover = 0.5\nunder = 0.1\nfor = \"1s\"\nceiling = 4.0\n";

fn content(text: &str) -> Rc<RevisionContent> {
    Rc::new(RevisionContent::parse(text, "r").expect("it reads"))
}

fn wanted(class: &str) -> RetryAttributes<'_> {
    RetryAttributes { tenant: None, class, tier: 0, zone: "a", after: None }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn a_cluster_is_never_over_its_ceiling_however_parts_and_revisions_move(
        weights in prop::collection::vec(1u32..100, 1..8),
        firsts in 1usize..40,
        moves in prop::collection::vec((0usize..8, 1u32..100, any::<bool>()), 0..30),
    ) {
        // Two revisions in turn with one ceiling: changing one for the other admits no more than either.
        let two = [content(RULES), content(&RULES.replace("share = 0.5", "share = 0.9"))];
        let mut weights = weights;
        let mut all: Vec<RetryThrottle> = weights.iter().map(|_| RetryThrottle::new(two[0].clone(), Duration::ZERO)).collect();
        let mut admitted: Vec<Duration> = Vec::new();
        let mut turn = 0;
        for tick in 0..2000u64 {
            let now = Duration::from_millis(tick * 10);
            if tick % 60 == 0 && let Some((who, weight, change)) = moves.get(turn) {
                turn += 1;
                let who = who % weights.len();
                weights[who] = *weight;
                if *change {
                    // One sidecar after another has the other revision: never all in one instant.
                    all[who].update(two[turn % 2].clone(), false, now);
                }
            }
            let whole: u32 = weights.iter().sum();
            for (throttle, weight) in all.iter_mut().zip(&weights) {
                for _ in 0..firsts / 10 + 1 {
                    throttle.record_first_attempt(&wanted("plan"));
                }
                let part = f64::from(*weight) / f64::from(whole);
                while throttle.try_retry(&wanted("plan"), part, now) == RetryDecision::Allowed(0) {
                    admitted.push(now);
                }
            }
        }
        // In any window: the ceiling, the burst, and what each of them may hold beside it.
        let beside = 12.0 + all.len() as f64;
        for (i, from) in admitted.iter().enumerate() {
            for to in admitted[i..].iter().step_by(7) {
                let window = (*to - *from).as_secs_f64();
                let count = admitted[i..].iter().take_while(|at| *at <= to).count() as f64;
                prop_assert!(count <= 20.0 * window + beside, "{count} in {window} s");
            }
            if i > 60 {
                break;
            }
        }
    }
}

#[test]
fn share_floor_storm_and_lost_parts_bind() {
    let count = |part: f64, firsts: u64, storm: bool| {
        let mut throttle = RetryThrottle::new(content(RULES), Duration::ZERO);
        throttle.update(content(RULES), storm, Duration::ZERO);
        let mut within = 0;
        for tick in 0..1000u64 {
            if firsts > 0 && tick % (100 / firsts).max(1) == 0 {
                throttle.record_first_attempt(&wanted("plan"));
            }
            let tried = throttle.try_retry(&wanted("plan"), part, Duration::from_millis(tick * 10));
            within += u64::from(tried == RetryDecision::Allowed(0));
        }
        within
    };
    // Ten seconds: the ceiling of 20 a second; half of 10 first tries a second and the floor; the floor alone; a storm's
    // ceiling; half of the whole; no part at all.
    assert!((190..=212).contains(&count(1.0, 100, false)), "{}", count(1.0, 100, false));
    assert!((65..=75).contains(&count(1.0, 10, false)), "{}", count(1.0, 10, false));
    assert!((18..=21).contains(&count(1.0, 0, false)), "{}", count(1.0, 0, false));
    assert!((38..=52).contains(&count(1.0, 100, true)), "{}", count(1.0, 100, true));
    assert!((95..=106).contains(&count(0.5, 100, false)), "{}", count(0.5, 100, false));
    assert_eq!(count(0.0, 100, false), 0);
    let mut throttle = RetryThrottle::new(content(RULES), Duration::ZERO);
    assert_eq!(throttle.try_retry(&wanted("other"), 0.0, Duration::ZERO), RetryDecision::Unlimited);
}

#[test]
fn the_most_specific_rule_binds_and_is_explained() {
    let text = "version = 1\n[[retries]]\nshare = 0.2\nceiling = 50.0\n\
        [[retries]]\nclass = \"book\"\nafter = \"late\"\nshare = 0.0\nceiling = 1.0\nspent = \"count\"\n";
    let content = RevisionContent::parse(text, "r").expect("it reads");
    let late = Some(cometcroft_plan::RetryCause::TimedOut);
    assert_eq!(content.binding_rule(&RetryAttributes { after: late, ..wanted("book") }), Some(1));
    assert_eq!(content.binding_rule(&wanted("plan")), Some(0));
    assert!(
        content
            .explain(&RetryAttributes { after: late, ..wanted("book") })
            .starts_with("rule 2 binds (2 things named, 1 less")
    );
    let mut throttle = RetryThrottle::new(Rc::new(content), Duration::ZERO);
    let tried =
        throttle.try_retry(&RetryAttributes { after: late, ..wanted("book") }, 1.0, Duration::from_millis(1));
    assert_eq!(tried, RetryDecision::Counted(1));
}

#[test]
fn a_storm_is_said_once_and_ends_by_its_lower_bound() {
    use cometcroft_consensus::StateMachine;
    use cometcroft_plan::{Command, CommandEntry, CommandId, Controller, Plan};
    let mut plan = Plan::fresh();
    let mut index = 0;
    let mut say = |plan: &mut Plan, word: Command| {
        index += 1;
        let said = CommandEntry {
            id: CommandId(index),
            proposed_by: "m".into(),
            reason: String::new(),
            unix_ms: 0,
            expected_revision: None,
            command: word,
        };
        plan.apply(index, &said.encode());
    };
    say(&mut plan, Command::Propose { text: RULES.to_owned() });
    let mut controller = Controller::default();
    let mut words = Vec::new();
    for tick in 0..300u64 {
        // Retries of 100 first tries in a tenth of a second, at two sidecars: calm, a storm, between both bounds, calm.
        let retries = [5, 70, 30, 5][tick as usize / 75];
        controller.record_attempts("a", (50, retries / 2));
        controller.record_attempts("b", (50, retries - retries / 2));
        if let Some(word) = controller.next_command(&plan, Duration::from_millis(tick * 100), &[]) {
            words.push((tick / 75, word.clone()));
            say(&mut plan, word.clone());
            // Said again by another who thinks that it leads: nothing changes.
            say(&mut plan, word);
        }
    }
    let storm = |on, turn| Command::SetStorm { active: on, sequence: turn };
    assert_eq!(words, vec![(1, storm(true, 0)), (3, storm(false, 1))]);
    assert_eq!(plan.storm(), (false, 2));
}
