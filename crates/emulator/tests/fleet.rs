//! Membership on the virtual clock: every shipped script of faults, the same that real processes are put under.

use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_membership::Parts;
use cometcroft_script::{Plan, SHIPPED, Script};

fn play(script: &str, seed: u64, members: Option<usize>, parts: Parts) -> FleetReport {
    let script = Script::find(script).expect("a shipped script");
    FleetRun::new(Plan::draw(&script, seed, members), parts).play(false)
}

#[test]
fn no_shipped_script_breaks_a_rule() {
    let mut all = Vec::new();
    for (name, _) in SHIPPED {
        for seed in 1..=4 {
            for members in [None, Some(12)] {
                let report = play(name, seed, members, Parts::default());
                let broken: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
                all.extend(broken.iter().map(|b| format!("{name} seed {seed} members {members:?}: {b}")));
            }
        }
    }
    assert!(all.is_empty(), "{all:#?}");
}
