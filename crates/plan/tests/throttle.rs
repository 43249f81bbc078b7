//! Limits on retries over a fleet: throttles whose fractions sum to one never exceed a rule together.

use cometcroft_plan::{RetryAttributes, RetryDecision, RetryThrottle, RevisionContent};
use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const RULES: &str = "version = 1\n[[retries]]\nclass = \"plan\"\nshare = 0.5\nfloor = 2.0\nceiling = 20.0\nburst = 12\n\
    [storm]\nover = 0.5\nunder = 0.1\nfor = \"1s\"\nceiling = 4.0\n";

fn content(text: &str) -> Rc<RevisionContent> {
    Rc::new(RevisionContent::parse(text, "r").expect("valid"))
}

fn retry(class: &str) -> RetryAttributes<'_> {
    RetryAttributes { tenant: None, class, tier: 0, zone: "a", after: None }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn a_fleet_stays_within_its_ceiling_while_fractions_and_revisions_change(
        weights in prop::collection::vec(1u32..100, 1..8),
        first_attempts in 1usize..40,
        changes in prop::collection::vec((0usize..8, 1u32..100, any::<bool>()), 0..30),
    ) {
        // Two revisions with the same ceiling, which alternate: a change must not allow more retries than either of
        // them.
        let revisions = [content(RULES), content(&RULES.replace("share = 0.5", "share = 0.9"))];
        let mut weights = weights;
        let mut throttles: Vec<RetryThrottle> = weights.iter().map(|_| RetryThrottle::new(revisions[0].clone(), Duration::ZERO)).collect();
        let mut allowed: Vec<Duration> = Vec::new();
        let mut next = 0;
        for tick in 0..2000u64 {
            let now = Duration::from_millis(tick * 10);
            if tick % 60 == 0 && let Some((sidecar, weight, change_revision)) = changes.get(next) {
                next += 1;
                let i = sidecar % weights.len();
                weights[i] = *weight;
                if *change_revision {
                    // One sidecar at a time changes its revision, as in a fleet.
                    throttles[i].update(revisions[next % 2].clone(), false, now);
                }
            }
            let total: u32 = weights.iter().sum();
            for (throttle, weight) in throttles.iter_mut().zip(&weights) {
                for _ in 0..first_attempts / 10 + 1 {
                    throttle.record_first_attempt(&retry("plan"));
                }
                let fraction = f64::from(*weight) / f64::from(total);
                while throttle.try_retry(&retry("plan"), fraction, now) == RetryDecision::Allowed(0) {
                    allowed.push(now);
                }
            }
        }
        // Any window allows the ceiling, the burst, and one retry more for each throttle, which can always save up one.
        let extra = 12.0 + throttles.len() as f64;
        for (i, from) in allowed.iter().enumerate() {
            for to in allowed[i..].iter().step_by(7) {
                let window = (*to - *from).as_secs_f64();
                let count = allowed[i..].iter().take_while(|at| *at <= to).count() as f64;
                prop_assert!(count <= 20.0 * window + extra, "{count} retries in {window} s");
            }
            if i > 60 {
                break;
            }
        }
    }
}

#[test]
fn share_floor_ceiling_storm_and_fraction_limit_retries() {
    let count = |fraction: f64, first_attempts: u64, storm: bool| {
        let mut throttle = RetryThrottle::new(content(RULES), Duration::ZERO);
        throttle.update(content(RULES), storm, Duration::ZERO);
        let mut allowed = 0;
        for tick in 0..1000u64 {
            if first_attempts > 0 && tick % (100 / first_attempts).max(1) == 0 {
                throttle.record_first_attempt(&retry("plan"));
            }
            let decision = throttle.try_retry(&retry("plan"), fraction, Duration::from_millis(tick * 10));
            allowed += u64::from(decision == RetryDecision::Allowed(0));
        }
        allowed
    };
    // Retries allowed in 10 s, in this order: by the ceiling of 20 per second; by the share of half of 10 first
    // attempts per second plus the floor of 2 per second; by the floor alone; by a storm's ceiling of 4 per second; by
    // half of the fleet's ceiling; without any fraction of it.
    assert!((190..=212).contains(&count(1.0, 100, false)), "{}", count(1.0, 100, false));
    assert!((65..=75).contains(&count(1.0, 10, false)), "{}", count(1.0, 10, false));
    assert!((18..=21).contains(&count(1.0, 0, false)), "{}", count(1.0, 0, false));
    assert!((38..=52).contains(&count(1.0, 100, true)), "{}", count(1.0, 100, true));
    assert!((95..=106).contains(&count(0.5, 100, false)), "{}", count(0.5, 100, false));
    assert_eq!(count(0.0, 100, false), 0);
    let mut throttle = RetryThrottle::new(content(RULES), Duration::ZERO);
    assert_eq!(throttle.try_retry(&retry("other"), 0.0, Duration::ZERO), RetryDecision::Unlimited);
}

#[test]
fn the_most_specific_rule_applies_and_is_explained() {
    let text = "version = 1\n[[retries]]\nshare = 0.2\nceiling = 50.0\n\
        [[retries]]\nclass = \"book\"\nafter = \"late\"\nshare = 0.0\nceiling = 1.0\nspent = \"count\"\n";
    let content = RevisionContent::parse(text, "r").expect("valid");
    let timed_out = Some(cometcroft_plan::RetryCause::TimedOut);
    assert_eq!(content.binding_rule(&RetryAttributes { after: timed_out, ..retry("book") }), Some(1));
    assert_eq!(content.binding_rule(&retry("plan")), Some(0));
    assert!(
        content
            .explain(&RetryAttributes { after: timed_out, ..retry("book") })
            .starts_with("rule 2 binds (2 things named, 1 less")
    );
    let mut throttle = RetryThrottle::new(Rc::new(content), Duration::ZERO);
    let decision = throttle.try_retry(
        &RetryAttributes { after: timed_out, ..retry("book") },
        1.0,
        Duration::from_millis(1),
    );
    assert_eq!(decision, RetryDecision::Counted(1));
}

#[test]
fn a_storm_starts_and_ends_once_each_at_its_own_bound() {
    use cometcroft_consensus::StateMachine;
    use cometcroft_plan::{Command, CommandEntry, CommandId, Controller, Plan};
    let mut plan = Plan::fresh();
    let mut index = 0;
    let mut apply = |plan: &mut Plan, command: Command| {
        index += 1;
        let entry = CommandEntry {
            id: CommandId(index),
            proposed_by: "m".into(),
            reason: String::new(),
            unix_ms: 0,
            expected_revision: None,
            command,
        };
        plan.apply(index, &entry.encode());
    };
    apply(&mut plan, Command::Propose { text: RULES.to_owned() });
    let mut controller = Controller::default();
    let mut proposed = Vec::new();
    for tick in 0..300u64 {
        // Retries per 100 first attempts in 100 ms, at two sidecars, in four phases: calm, a storm, between both
        // bounds, calm.
        let retries = [5, 70, 30, 5][tick as usize / 75];
        controller.record_attempts("a", (50, retries / 2));
        controller.record_attempts("b", (50, retries - retries / 2));
        if let Some(command) = controller.next_command(&plan, Duration::from_millis(tick * 100), &[]) {
            proposed.push((tick / 75, command.clone()));
            apply(&mut plan, command.clone());
            // A second sidecar that believes it leads proposes the same command: it changes nothing.
            apply(&mut plan, command);
        }
    }
    let storm = |active, sequence| Command::SetStorm { active, sequence };
    assert_eq!(proposed, vec![(1, storm(true, 0)), (3, storm(false, 1))]);
    assert_eq!(plan.storm(), (false, 2));
}
