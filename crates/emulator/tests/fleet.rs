//! Membership on the virtual clock: every shipped script of faults, the same that real processes are put under.

use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_membership::Features;
use cometcroft_script::{Invariant, Plan, SHIPPED, SIZED, Script};
use cometcroft_tomlfile::Span;

fn play(script: &str, seed: u64, members: Option<usize>, parts: Features) -> FleetReport {
    let script = Script::find(script).expect("a shipped script");
    FleetRun::new(Plan::draw(&script, seed, members), parts).play(false)
}

#[test]
fn no_shipped_script_breaks_a_rule() {
    let mut all = Vec::new();
    for (name, _) in SHIPPED {
        for seed in 1..=4 {
            for members in [None, Some(12)] {
                let report = play(name, seed, members, Features::default());
                let broken: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
                all.extend(broken.iter().map(|b| format!("{name} seed {seed} members {members:?}: {b}")));
            }
        }
    }
    assert!(all.is_empty(), "{all:#?}");
}

#[test]
fn no_script_for_any_size_breaks_a_rule() {
    for (name, _) in SIZED {
        for (seed, members) in [(1, None), (2, None), (1, Some(50))] {
            let report = play(name, seed, members, Features::default());
            assert!(report.broken.is_empty(), "{name} seed {seed} members {members:?}: {:#?}", report.broken);
            assert!(
                report.equal_s.is_some(),
                "{name} seed {seed} members {members:?}: views differ at the end"
            );
            assert!(report.agreed.is_some_and(|agreed| agreed.taken >= 2), "{name}: words were taken");
        }
    }
}

/// A planted defect, a script that shows it, and the rule that it breaks.
type Planted = (&'static str, fn(&mut Features), &'static str, Invariant);

const PLANTED: &[Planted] = &[
    ("calls gone who is paused", |p| p.suspicion = false, "pauses", Invariant::AliveCalledGone),
    ("never denies that it is gone", |p| p.refutation = false, "third-paused", Invariant::ViewsDiffer),
    ("lets an old start win", |p| p.generation_order = false, "restarts", Invariant::OldStartWins),
    ("two of one name both speak", |p| p.generation_order = false, "twin", Invariant::TwinSpeaks),
    ("forgets the far side for ever", |p| p.reconnect = false, "split", Invariant::ViewsDiffer),
    ("counts a falling fleet at once", |p| p.delayed_decrease = false, "third-paused", Invariant::CountFell),
    ("views that never become equal", |p| p.anti_entropy = false, "one-seed-up", Invariant::ViewsDiffer),
    ("takes a word for the verdict", |p| p.local_suspicion = false, "mute", Invariant::AliveCalledGone),
    ("asks nobody to probe for it", |p| p.indirect_probes = false, "one-pair", Invariant::AliveCalledGone),
];

#[test]
fn every_planted_defect_is_found_and_its_rule_named() {
    for (what, plant, script, rule) in PLANTED {
        let mut parts = Features::default();
        plant(&mut parts);
        let found = (1..=200).find(|&seed| {
            let report = play(script, seed, None, parts);
            report.broken.iter().any(|broken| broken.rule == *rule)
        });
        println!("{what}: {script}, seed {found:?}");
        assert!(found.is_some(), "{what}: {script} never broke {rule:?}");
    }
}

#[test]
fn whose_denial_one_member_missed_is_not_called_gone_by_it() {
    // Twelve members: one of them never heard the denial, and its suspicion ran on from one pause into the next, or
    // out. Probing the suspect before the end of its suspicion settles it.
    let gone = |parts| {
        let seeds = [("pauses", 6), ("pauses", 37), ("pauses", 128), ("loss", 43)];
        seeds.map(|(script, seed)| {
            let report = play(script, seed, Some(12), parts);
            report.broken.iter().any(|broken| broken.rule == Invariant::AliveCalledGone)
        })
    };
    assert_eq!(gone(Features::default()), [false; 4]);
    assert_eq!(gone(Features { confirmation_probes: false, ..Features::default() }), [true; 4]);
}

#[test]
fn one_seed_is_one_run_and_a_dropped_fleet_is_gone() {
    let script = Script::find("split-again").expect("a shipped script");
    let run = || {
        let report = FleetRun::new(Plan::draw(&script, 3, Some(9)), Features::default()).play(false);
        (report.bytes_s, report.datagrams_s, report.equal_s, report.known_s)
    };
    assert_eq!(run(), run());
}

#[test]
fn members_of_two_message_formats_live_together() {
    for name in ["calm", "kill", "split", "restarts"] {
        let mut script = Script::find(name).expect("a shipped script");
        script.fleet.old = Span(0.5, 0.5);
        for seed in 1..=5 {
            let plan = Plan::draw(&script, seed, Some(8));
            assert_eq!(plan.old, 4);
            let report = FleetRun::new(plan, Features::default()).play(false);
            assert!(report.broken.is_empty(), "{name} seed {seed}: {:#?}", report.broken);
        }
    }
}
