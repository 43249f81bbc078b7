//! The hard cases of the emulator's brief, each caused on purpose on a small day of its own.

use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::{Emulator, Report};
use cometcroft_emulator::judge::Rule;
use cometcroft_emulator::sabotage::Defect;
use cometcroft_emulator::scenario::{SHIPPED, Scenario, Time};

/// One sidecar, one tier of a few equal nodes, one class; `more` holds faults and clients.
fn small(class: &str, nodes: u32, more: &str) -> Scenario {
    let text = format!(
        r#"
        [day]
        name = "small"
        zones = ["a"]
        length = "400ms"
        [sidecars]
        count = 1
        [rules]
        drain_grace = "250ms"
        {more}
        [[class]]
        name = "work"
        share = 1
        work = "20ms"
        aim = "800ms"
        deadline = "3s"
        worth = 3
        late = 0.5
        {class}
        [[tier]]
        name = "t"
        nodes = {nodes}
        work = 1
        [[tier.kind]]
        name = "n"
        share = 1
        cores = 2
        speed = 1
        errors = 0
        "#
    );
    Scenario::parse(&text, "small").expect("it reads")
}

fn play(scenario: &Scenario, seed: u64) -> Report {
    let report = Emulator::new(Day::draw(scenario, seed), None).play(false);
    assert!(report.broken.is_empty(), "seed {seed}: {} {:#?}", report.broken[0], report.broken[0].history);
    report
}

const CALM: &str = "rate = 20\nretries = 0\nimpatient = 0\ntry_share = 1";

#[test]
fn an_unsafe_answer_cut_at_every_byte_is_never_sent_again() {
    let mut whole_at = None;
    for kind in ["cut-answer", "reset-answer"] {
        for byte in 0..80 {
            let fault =
                format!("[[fault]]\nkind = \"{kind}\"\nat = \"0s\"\ntarget = \"n-1\"\nbyte = {byte}\n");
            let report = play(&small("effect = \"unsafe\"", 1, &format!("[clients]\n{CALM}\n{fault}")), 3);
            let tally = &report.tally[0];
            assert_eq!(report.seen.attempts, tally.asked, "byte {byte}: one attempt for each, whatever came");
            assert!(tally.asked > 3 && tally.failed <= 1 && tally.in_aim + tally.failed == tally.asked);
            if tally.failed == 0 {
                whole_at.get_or_insert(byte);
            }
            // Served where all of the answer had come, and only there: a reset takes nothing with it.
            let whole = whole_at.is_some_and(|at| byte >= at);
            assert_eq!(tally.failed == 0, whole, "{kind} {byte}");
        }
    }
    assert!(whole_at.is_some_and(|at| at > 40), "cuts fell into head and body");
}

#[test]
fn a_client_that_leaves_in_the_instant_of_its_answer_is_served_or_gone_and_never_both() {
    let leaving = |ns: u64| {
        let clients =
            format!("[clients]\nrate = 0.001\nretries = 0\nimpatient = 1\nleaves = \"{ns}ns\"\nfresh = 0");
        let report = play(&small("effect = \"safe\"", 1, &clients), 1);
        let tally = &report.tally[0];
        assert_eq!((tally.asked, tally.in_aim + tally.left), (1, 1), "one ending at {ns} ns");
        tally.in_aim == 1
    };
    // The last instant at which leaving comes first, found by halving.
    let (mut left, mut served) = (0, 1_000_000_000);
    while served - left > 1 {
        let middle = (left + served) / 2;
        if leaving(middle) {
            served = middle;
        } else {
            left = middle;
        }
    }
    assert!(!leaving(left) && leaving(served), "both sides of one nanosecond");
    for ns in [left - 1, served + 1] {
        leaving(ns);
    }
}

#[test]
fn a_budget_that_ends_in_the_instant_of_the_answer_gives_one_answer() {
    let within = |us: u64| {
        let clients = "[clients]\nrate = 0.001\nretries = 0\nimpatient = 0\ntry_share = 1\nfresh = 0";
        let mut scenario = small("effect = \"unsafe\"", 1, clients);
        scenario.classes[0].aim = Time(1e-6, 1e-6);
        scenario.classes[0].deadline = Time(us as f64 / 1e6, us as f64 / 1e6);
        let report = play(&scenario, 1);
        let tally = &report.tally[0];
        assert_eq!(
            (tally.asked, tally.late + tally.failed + tally.refused),
            (1, 1),
            "one ending within {us} us"
        );
        tally.late == 1
    };
    let (mut short, mut long) = (1_000, 500_000);
    while long - short > 1 {
        let middle = (short + long) / 2;
        if within(middle) {
            long = middle;
        } else {
            short = middle;
        }
    }
    assert!(!within(short) && within(long), "both sides of one microsecond");
}

#[test]
fn sigterm_at_every_stage_of_a_request_loses_none() {
    for ms in 0..60 {
        let fault = format!("[[fault]]\nkind = \"sidecar-restart\"\nat = \"{ms}ms\"\n");
        for effect in ["safe", "unsafe"] {
            let clients = format!("[clients]\n{CALM}\nfresh = 0.5\n{fault}");
            let report = play(&small(&format!("effect = \"{effect}\""), 2, &clients), ms);
            let tally = &report.tally[0];
            // Who comes once the front has noticed finds nobody; all that was taken is answered, as the judge saw.
            assert!(tally.in_aim > 0 && tally.in_aim + tally.failed == tally.asked, "{ms} ms: {tally:?}");
        }
    }
}

#[test]
fn a_drain_notice_in_the_middle_of_a_retry_or_of_connecting_bars_what_has_not_begun() {
    let faults = r#"
        [[fault]]
        kind = "fast-errors"
        at = "0s"
        for = "4s"
        tier = 0
        share = 1
        factor = 0.5
        [[fault]]
        kind = "node-cut"
        at = ["100ms", "2s"]
        for = ["100ms", "400ms"]
        times = 8
        [[fault]]
        kind = "node-drain"
        at = ["100ms", "2s"]
        for = "1s"
        times = 3
    "#;
    let list = "[discovery]\nnotice = [\"1ms\", \"300ms\"]\nperiod = \"10ms\"";
    let clients = "[clients]\nrate = 60\nretries = 1";
    let mut scenario = small("effect = \"safe\"", 4, &format!("{list}\n{clients}\n{faults}"));
    scenario.day.length = Time(3.0, 3.0);
    let again: u64 = (1..=25).map(|seed| play(&scenario, seed)).map(|r| r.seen.attempts - r.seen.taken).sum();
    assert!(again > 100, "attempts were repeated while notices came: {again}");
}

#[test]
fn every_shipped_scenario_keeps_the_rules_on_a_short_day() {
    for (name, text) in SHIPPED {
        let scenario = Scenario::parse(text, name).expect("it reads").shortened(4.0);
        for seed in 1..=2 {
            let report = play(&scenario, seed);
            assert!(report.tally.iter().map(|t| t.in_aim).sum::<u64>() > 20, "{name}: it serves");
        }
    }
}

#[test]
fn the_judge_finds_each_planted_defect_and_names_its_rule() {
    for (defect, name, seed, rule) in [
        (Defect::ResendsWhatRan, "cuts", 1, Rule::RepeatByClass),
        (Defect::TwoAtOnce, "calm", 1, Rule::OneAttemptOut),
        (Defect::AnothersAnswer, "calm", 1, Rule::OwnAnswer),
        (Defect::LeaksConnections, "drains", 1, Rule::NothingLeft),
        (Defect::ForgetsDrains, "drains", 1, Rule::DrainWindow),
        (Defect::FloodsCold, "mixed", 1, Rule::ColdNode),
        (Defect::AnswersLate, "mixed", 1, Rule::OneFinalAnswer),
        (Defect::AnswersTwice, "calm", 1, Rule::OneFinalAnswer),
        (Defect::LosesOnRestart, "restart", 1, Rule::TakenIsNotLost),
        (Defect::HearsLate, "drains", 1, Rule::DrainWindow),
    ] {
        let scenario = Scenario::find(name).expect("shipped").shortened(20.0);
        let report = Emulator::new(Day::draw(&scenario, seed), Some(defect)).play(true);
        let broken = report.broken.first().unwrap_or_else(|| panic!("{defect:?} passed"));
        assert_eq!((broken.rule, broken.step > 0), (rule, true), "{defect:?}: {broken}");
    }
}

#[test]
fn a_fault_more_leaves_arrivals_and_nodes_as_they_were() {
    let scenario = Scenario::find("slow").expect("shipped").shortened(5.0);
    let mut without = scenario.clone();
    without.faults.clear();
    let (with, without) = (Day::draw(&scenario, 7), Day::draw(&without, 7));
    assert_ne!(with.faults, without.faults);
    assert_eq!(
        format!("{:?}{:?}", with.nodes, with.clients),
        format!("{:?}{:?}", without.nodes, without.clients)
    );
    let asked = |day| Emulator::new(day, None).play(false).tally.iter().map(|t| t.asked).collect::<Vec<_>>();
    assert_eq!(asked(with), asked(without));
}

#[test]
fn a_scenario_that_makes_no_sense_is_told_in_one_line_with_its_place() {
    for (text, place, word) in [
        ("[day]\nlenght = \"5s\"\n", "f:2:1: lenght", "unknown field"),
        ("[clients]\n\nrate = [9, 3]\n", "f:3:8: rate", "runs backwards"),
        ("[clients]\nrate = -1\n", "f:2:8: rate", "not negative"),
        ("[links]\nsame = \"5\"\n", "f:2:8: same", "needs a unit"),
        ("[day]\nlength = \"0s\"\n", "f:2:1: length", "must be positive"),
        ("[day]\nlength = 5\n", "f:2:10: length", "a time such as"),
        ("[[fault]]\nkind = \"slow\"\nat = \"1s\"\nfactor = 2\n", "f:1:1: for", "Slow needs it"),
        (
            "[[fault]]\nkind = \"burst\"\nat = \"1s\"\nfor = \"1s\"\nfactor = 2\ntarget = \"x\"\n",
            "f:6:1: target",
            "has none",
        ),
        ("[[fault]]\nkind = \"sloow\"\nat = \"1s\"\n", "f:2:8: kind", "unknown variant"),
        ("[day]\n[day]\n", "f:2:", "duplicate"),
        ("\u{1}\n", "f:1:", ""),
    ] {
        let error = Scenario::parse(text, "f").expect_err(text).to_string();
        assert!(error.contains(place) && error.contains(word) && !error.contains('\n'), "{text}: {error}");
    }
    for (name, text) in SHIPPED {
        let scenario = Scenario::parse(text, name).expect("it reads");
        assert_eq!(Scenario::parse(&scenario.text(), name).expect("what is written reads back"), scenario);
    }
}

#[test]
fn a_day_that_is_dropped_gives_everything_back() {
    for (name, text) in SHIPPED {
        let scenario = Scenario::parse(text, name).expect("a shipped scenario").shortened(3.0);
        let mut emulator = Emulator::new(Day::draw(&scenario, 5), None);
        while emulator.now() < 2_000_000_000 && emulator.step().is_some() {}
        let remains = emulator.remains();
        assert!(remains(), "{name}: the day is being played");
        drop(emulator);
        assert!(!remains(), "{name}: something holds the kernel or a sidecar's counters");
    }
}
