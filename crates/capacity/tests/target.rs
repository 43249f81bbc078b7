//! The target file: the shipped one is read, and an invalid one gives a one-line error with position and field.

use cometcroft_capacity::target::Target;

const SHIPPED: &str = include_str!("../../../docs/capacity/target.toml");

fn error(text: &str) -> String {
    Target::parse(text, "target.toml").expect_err("an invalid file").to_string()
}

#[test]
fn the_shipped_file_holds_the_operators_figures() {
    let target = Target::parse(SHIPPED, "target.toml").expect("a valid file");
    assert_eq!((target.fleet.sidecars, target.fleet.zones, target.fleet.regions), (3600, 17, 5));
    assert_eq!((target.fleet.services, target.fleet.control_machines), (130, 17));
    assert_eq!((target.calls.per_second, target.calls.depth), (560_000.0, 13));
    assert_eq!(target.calls.added_p99.exact().as_micros(), 540);
    assert_eq!((target.changes.per_day, target.changes.in_force_within.exact().as_secs()), (5300.0, 8));
    let sidecar = &target.sidecar;
    assert_eq!((sidecar.core_share, sidecar.memory_bytes, sidecar.bytes_per_second), (0.036, 32e6, 7000.0));
    assert_eq!((target.failures.machines_per_day, target.failures.restarts_per_day), (20.0, 590.0));
}

#[test]
fn an_unknown_field_is_reported_with_its_position_and_the_nearest_known_field() {
    let error = error(&SHIPPED.replace("zones = 17", "zoness = 17"));
    assert!(error.starts_with("target.toml:7:1: zoness: unknown field"), "{error}");
    assert!(error.contains("did you mean \"zones\"?"), "{error}");
    assert_eq!(error.lines().count(), 1);
}

#[test]
fn a_missing_field_is_reported() {
    let error = error(&SHIPPED.replace("per_day = 5300.0\n", ""));
    assert!(error.contains("per_day"), "{error}");
    assert_eq!(error.lines().count(), 1);
}

#[test]
fn invalid_values_are_reported_with_their_position() {
    let cases = [
        ("sidecars = 3600", "sidecars = 0", "target.toml:5:1: sidecars: must be at least 1"),
        ("regions = 5", "regions = 18", "target.toml:8:1: regions: must not exceed zones"),
        ("zones = 17", "zones = 3601", "zones: must not exceed sidecars"),
        ("services = 130", "services = 4000", "services: must not exceed sidecars"),
        ("core_share = 0.036", "core_share = 3.6", "core_share: must be over 0 and at most 1"),
        ("per_second = 560000.0", "per_second = -1.0", "per_second: must be finite and over 0"),
        ("restart_cycle = \"10s\"", "restart_cycle = \"0s\"", "restart_cycle: must be over 0"),
        ("depth = 13", "depth = \"deep\"", "depth"),
        ("deadline = \"3s\"", "deadline = \"3\"", "needs a unit"),
    ];
    for (valid, invalid, expected) in cases {
        assert!(SHIPPED.contains(valid), "{valid}");
        let error = error(&SHIPPED.replace(valid, invalid));
        assert!(error.contains(expected), "{error}");
        assert!(error.starts_with("target.toml:"), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
