//! The fleet's plan on the virtual clock: planted defects that scripts find, and how soon a revision is in force. That no
//! shipped script breaks a rule is a test of `fleet.rs`.

use cometcroft_consensus::Features;
use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_script::{Invariant, Plan, Script};

fn play(script: &Script, seed: u64, members: Option<usize>, parts: Features) -> FleetReport {
    let run = FleetRun::new(Plan::draw(script, seed, members), cometcroft_membership::Features::default());
    run.agreeing(parts).play(false)
}

/// One keeper is cut off while the other two agree; one of those forgets, and finds itself with the one that knew nothing.
const FORGETS: &str = r#"
[fleet]
name = "forgets"
length = "30s"
members = 5
[fleet.plan]
keepers = 3
[[word]]
say = "refound"
at = "3s"
door = "m4"
[[word]]
say = "propose"
at = "5s"
times = 20
every = "500ms"
[[fault]]
kind = "cut"
at = "6s"
for = "3s"
from = "m3"
to = "rest"
both = true
[[fault]]
kind = "restart"
at = "9s"
after = "100ms"
target = "m1"
[[fault]]
kind = "cut"
at = "9s"
for = "4s"
from = "m2"
to = "rest"
both = true
[[fault]]
kind = "cut"
at = "6s"
for = "7s"
from = "m4"
to = "rest"
both = true
[[fault]]
kind = "cut"
at = "6s"
for = "7s"
from = "m5"
to = "rest"
both = true
"#;

/// Whether a defect shows, by a broken rule or by an invariant inside the code.
fn shows(script: &Script, seed: u64, parts: Features) -> bool {
    let played = std::panic::catch_unwind(|| {
        let report = play(script, seed, None, parts);
        let orders = [Invariant::TwoOrders, Invariant::WayBack, Invariant::LostWord];
        report.broken.iter().any(|broken| orders.contains(&broken.rule))
    });
    played.unwrap_or(true)
}

#[test]
fn scripts_find_planted_defects_of_the_log() {
    let forgets = Script::parse(FORGETS, "forgets").expect("it reads");
    let split = Script::find("plan-split").expect("a shipped script");
    let planted = [
        (
            "a keeper that votes after it forgot",
            Features { readmission: false, ..Features::default() },
            &forgets,
        ),
        ("applies what is not decided", Features { decided_only: false, ..Features::default() }, &split),
    ];
    assert!(!(1..=60).any(|seed| shows(&forgets, seed, Features::default())), "sound code breaks nothing");
    for (what, parts, script) in planted {
        let found = (1..=60).find(|&seed| shows(script, seed, parts));
        println!("{what}: {}, seed {found:?}", script.fleet.name);
        assert!(found.is_some(), "{what}");
    }
}

/// Revisions and one put back in a fleet of any size; a keeper may be killed in it.
fn roll_back(killed: Option<&str>) -> Script {
    let kill = |name| format!("[[fault]]\nkind = \"kill\"\nat = \"14s\"\ntarget = \"{name}\"\n");
    let text = format!(
        "[fleet]\nname = \"roll-back\"\nlength = \"34s\"\nmembers = 5\nstart = [\"0s\", \"2s\"]\n[fleet.plan]\nkeepers = 3\n\
         [[word]]\nsay = \"refound\"\nat = \"9s\"\ndoor = \"m4\"\n[[word]]\nsay = \"propose\"\nat = \"11s\"\n\
         [[word]]\nsay = \"rollback\"\nnumber = 0\nat = \"14s\"\ndoor = \"m5\"\n{}",
        killed.map(kill).unwrap_or_default()
    );
    Script::parse(&text, "roll-back").expect("it reads")
}

#[test]
fn a_revision_put_back_is_in_force_in_a_fleet_of_a_hundred_soon_also_with_a_leader_killed() {
    // One of the three keepers leads; whichever it is.
    for (killed, most) in [(None, 2.0), (Some("m1"), 6.0), (Some("m2"), 6.0), (Some("m3"), 6.0)] {
        let report = play(&roll_back(killed), 1, Some(100), Features::default());
        let agreed = report.agreed.expect("it has a plan");
        let last = agreed.in_force_s.iter().copied().fold(0.0, f64::max);
        println!("killed {killed:?}: {agreed:?}");
        assert!(report.broken.is_empty(), "{:?}", report.broken);
        assert!(agreed.taken == 3 && last < most, "{agreed:?}");
    }
}
