//! Tests of `real` that mean what its module builds for a process.

use super::*;
use crate::member::{budget_config, plan_config};
use cometcroft_sidecar::config::Config;
use cometcroft_sidecar::operator_file::OperatorFile;

fn fleet() -> FleetSettings {
    let at = |last: u8| SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, last), 7000);
    FleetSettings {
        name: "hollow".to_owned(),
        members: 50,
        seeds: vec![at(4), at(5), at(6)],
        voters: vec![at(1), at(2), at(3)],
    }
}

#[test]
fn a_real_sidecar_reads_the_budgets_and_the_log_that_hollow_members_have() {
    let (fleet, own) = (fleet(), SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 9), 7000));
    let operator = OperatorFile::parse(&operator_text(own, &fleet), "operator.toml").expect("it reads");
    let section = operator.fleet.expect("it is a member");
    let zones = vec!["z0".to_owned()];
    let text = json!({
        "name": "m9", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "0000000000000001",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": null,
        "settings": sidecar_settings(&zones, 0, 9, fleet.members),
    });
    let config = Config::parse(&text.to_string(), |_| None).expect("it reads");
    let (budget, _) =
        operator.budget.expect("it has budgets").driver_config(&section, &config).expect("they fit");
    assert_eq!(budget.digest(), budget_config(own, &fleet).digest());
    let (plan, _) = operator.plan.expect("it has a plan").driver_config(&section);
    assert_eq!(plan.digest, plan_config(own, &fleet).digest);
}

#[test]
fn the_ports_of_a_sidecar_are_three() {
    let [a, b, c] = free_ports(Ipv4Addr::LOCALHOST).expect("there are some");
    assert!(a != b && b != c && a != c);
}
