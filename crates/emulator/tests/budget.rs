//! Budgets on the virtual clock: what planted defects and other ways of dividing do under scripts of faults that the
//! protocol bears. That it bears them all is a test of `fleet.rs`.

use cometcroft_budget::Safeguards;
use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_emulator::share::Divide;
use cometcroft_script::{Invariant, Plan, Script};

fn play(script: &Script, seed: u64, divide: Divide, parts: Safeguards) -> FleetReport {
    let run = FleetRun::new(Plan::draw(script, seed, None), cometcroft_membership::Features::default());
    run.divided(divide, parts).play(true)
}

/// The fleet in two halves for so long that each counts the other as gone; then one whole again.
const LONG_SPLIT: &str = r#"
[fleet]
name = "long-split"
length = "50s"
members = 6
[fleet.budget]
[[fault]]
kind = "split"
at = ["6s", "7s"]
for = ["30s", "32s"]
sides = [1, 1]
"#;

#[test]
fn division_by_the_view_breaks_the_whole_where_leases_keep_it() {
    let script = Script::parse(LONG_SPLIT, "long-split").expect("it reads");
    for seed in 1..=5 {
        let over = |divide| {
            let report = play(&script, seed, divide, Safeguards::default());
            report.broken.iter().any(|broken| broken.rule == Invariant::OverAdmitted)
        };
        assert!(over(Divide::View), "seed {seed}: both halves divide the whole by three");
        assert!(!over(Divide::Lease) && !over(Divide::Static), "seed {seed}");
    }
}

#[test]
fn uneven_need_is_met_where_fixed_parts_lie_idle() {
    let script = Script::find("budget-hot-place").expect("a shipped script");
    for seed in 1..=5 {
        let used = |divide| {
            let report = play(&script, seed, divide, Safeguards::default());
            report.share.map_or(0.0, |share| share.used)
        };
        let (ours, fixed) = (used(Divide::Lease), used(Divide::Static));
        assert!(ours > 0.82 && ours > fixed + 0.15, "seed {seed}: {ours:.3} against {fixed:.3}");
    }
}

/// A planted defect and a script that shows it; the rest are shown to the model checker.
type Planted = (&'static str, fn(&mut Safeguards), &'static str);

const PLANTED: &[Planted] = &[
    ("grants before others' parts have lapsed", |p| p.allocator_start_delay = false, "budget-divider-paused"),
    (
        "frees what was taken away before its holder knows",
        |p| p.charge_until_confirmed = false,
        "budget-divider-paused",
    ),
    ("allows nothing for clocks", |p| p.clock_margins = false, "budget-lossy"),
    ("counts what was said without a promise", |p| p.promises = false, "budget-holders-paused"),
];

#[test]
fn planted_defects_break_the_whole() {
    for (what, plant, script) in PLANTED {
        let script = Script::find(script).expect("a shipped script");
        let mut parts = Safeguards::default();
        plant(&mut parts);
        let found = (1..=200).find(|&seed| {
            let report = play(&script, seed, Divide::Lease, parts);
            report.broken.iter().any(|b| matches!(b.rule, Invariant::OverWhole | Invariant::OverAdmitted))
        });
        println!("{what}: seed {found:?}");
        assert!(found.is_some(), "{what}: never over the whole");
    }
}

#[test]
fn restarts_never_double_a_floor() {
    // What a killed process had out of its floor had not ended when the next one at its address had a floor again.
    let script = Script::find("budget-evening").expect("a shipped script");
    for seed in [83, 117, 320] {
        let report = play(&script, seed, Divide::Lease, Safeguards::default());
        assert!(report.broken.is_empty(), "seed {seed}: {:?}", report.broken);
    }
}
