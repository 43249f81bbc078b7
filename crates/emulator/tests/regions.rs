//! Regions in the network of a played fleet, and limits on what its members send.

use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_emulator::kernel::MS;
use cometcroft_emulator::net::{HostId, Links, Net};
use cometcroft_membership::Features;
use cometcroft_script::{Link, NetworkPlan, Plan, Script};
use std::net::SocketAddr;
use std::time::Duration;

const LINKS: Links = Links { local: 1e4, same: 3e5, cross: 2e6, client: 1e6, jitter: 0.5 };

fn play(text: &str, seed: u64) -> FleetReport {
    let script = Script::parse(text, "regions").expect("it reads");
    FleetRun::new(Plan::draw(&script, seed, None), Features::default()).play(false)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Zones 0 and 1 in one region, zone 2 in another.
fn two_regions(loss: f64) -> NetworkPlan {
    NetworkPlan {
        regions: vec!["east".into(), "west".into()],
        region_of_zone: vec![0, 0, 1],
        inside: Link { delay: ms(1), jitter: ms(1), loss: 0.0 },
        between: Link { delay: ms(40), jitter: ms(10), loss },
    }
}

/// When each of a hundred datagrams from the first zone to this one arrives; those that are lost do not.
fn arrivals(to_zone: usize, loss: f64) -> Vec<u64> {
    let mut net = Net::new(LINKS, 7);
    net.set_regions(two_regions(loss));
    let from = net.host(0);
    let to: HostId = net.host(to_zone);
    let pid = net.process(8);
    let (source, target) = (SocketAddr::from(([127, 0, 0, 1], 1)), SocketAddr::from(([127, 0, 0, 2], 1)));
    net.bind(target, pid, to);
    for _ in 0..100 {
        net.send_datagram(source, from, target, b"cf");
    }
    net.sent.iter().map(|(at, _)| *at).collect()
}

#[test]
fn ways_within_a_zone_inside_a_region_and_between_regions_differ() {
    let within = |zone, from: u64, to: u64| {
        let arrivals = arrivals(zone, 0.0);
        assert_eq!(arrivals.len(), 100);
        assert!(arrivals.iter().all(|at| (from..=to).contains(at)), "zone {zone}: {arrivals:?}");
    };
    within(0, 300_000, 450_000);
    within(1, MS, 2 * MS);
    within(2, 40 * MS, 50 * MS);
}

#[test]
fn datagrams_are_lost_between_regions_alone() {
    assert_eq!(arrivals(1, 0.5).len(), 100);
    let arrived = arrivals(2, 0.5).len();
    assert!((30..=70).contains(&arrived), "{arrived}");
}

/// Five zones in three regions.
const REGIONS: &str = r#"
[fleet]
name = "regions"
length = "40s"
members = 12
zones = ["a", "b", "c", "d", "e"]
[network]
regions = { east = ["a", "b"], west = ["c", "d"], north = ["e"] }
between = { delay = "40ms", jitter = "10ms", loss = 0.01 }
"#;

#[test]
fn a_fleet_over_regions_bears_one_apart() {
    let apart =
        format!("{REGIONS}[[fault]]\nkind = \"region\"\nat = \"5s\"\nfor = \"10s\"\ntarget = \"west\"\n");
    for seed in 1..=4 {
        let calm = play(REGIONS, seed);
        assert!(calm.broken.is_empty() && calm.equal_s.is_some(), "seed {seed}: {:?}", calm.broken);
        let report = play(&apart, seed);
        assert!(report.broken.is_empty(), "seed {seed}: {:?}", report.broken);
        // Ten seconds apart, each side calls the other gone; so views became equal only afterwards.
        assert!(report.equal_s.is_some_and(|s| s > 0.0), "seed {seed}: {:?}", report.equal_s);
    }
}

#[test]
fn a_zone_can_be_lost_and_come_back() {
    let lost = "[fleet]\nname = \"lost\"\nlength = \"40s\"\nmembers = 9\nzones = [\"a\", \"b\", \"c\"]\n\
        [[fault]]\nkind = \"restart\"\nat = \"5s\"\nafter = \"12s\"\ntarget = \"zone:c\"\n";
    let script = Script::parse(lost, "lost").expect("it reads");
    let plan = Plan::draw(&script, 1, None);
    let killed: Vec<usize> = plan
        .acts
        .iter()
        .filter_map(|act| match act.action {
            cometcroft_script::Action::Kill(i) => Some(i),
            _ => None,
        })
        .collect();
    assert_eq!(killed, [2, 5, 8]);
    let report = FleetRun::new(plan, Features::default()).play(false);
    assert!(report.broken.is_empty() && report.equal_s.is_some(), "{:?}", report.broken);
}

#[test]
fn a_section_that_makes_no_sense_is_refused_with_its_place() {
    for (text, part) in [
        (REGIONS.replace("\"e\"] }", "\"x\"] }"), "regions: must name zones of the fleet"),
        (REGIONS.replace(", \"b\"]", "]"), "regions: must name every zone of the fleet once"),
        (REGIONS.replace("0.01", "1.5"), "loss: is at most 1"),
        (
            format!("{REGIONS}[[fault]]\nkind = \"region\"\nat = \"5s\"\nfor = \"1s\"\ntarget = \"south\"\n"),
            "regions:14:1: target: must name one of the regions",
        ),
        (
            format!("{REGIONS}[[fault]]\nkind = \"kill\"\nat = \"5s\"\ntarget = \"zone:z\"\n"),
            "target: must name one of the zones",
        ),
    ] {
        let error = Script::parse(&text, "regions").expect_err("it makes no sense").to_string();
        assert!(error.contains(part), "{error}");
    }
}
