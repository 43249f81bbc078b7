//! The page: the order of its rows, and the replacement of its generated part.

use cometcroft_capacity::data::{
    Dataset, FleetRecord, ModuleRecord, Moment, Period, Role, RoleRecord, Spread, Traffic,
};
use cometcroft_capacity::page::{self, BEGIN_MARKER, END_MARKER};
use cometcroft_capacity::rows;
use cometcroft_capacity::target::Target;

const TARGET: &str = include_str!("../../../docs/capacity/target.toml");

fn target() -> Target {
    Target::parse(TARGET, "target.toml").expect("a valid target file")
}

fn module() -> Vec<ModuleRecord> {
    let record =
        |endpoints: u32| ModuleRecord { endpoints, refresh_ns: 1500.0, call_ns: 250.0, heap_bytes: 28_000.0 };
    vec![record(28), record(3600)]
}

fn spread(value: f64) -> Spread {
    Spread { median: value, p99: value, max: value }
}

fn role(role: Role, period: Period, traffic: Traffic, bytes: f64) -> RoleRecord {
    RoleRecord {
        role,
        period,
        traffic,
        members: 1,
        bytes_s: spread(bytes),
        messages_s: spread(bytes / 50.0),
        worst_ten_seconds_bytes: spread(bytes * 20.0),
    }
}

/// A fleet in which each member costs a voter 60 bytes per second and a sidecar 1.
fn record(moment: Moment, members: usize, seed: u64) -> FleetRecord {
    let size = members as f64;
    let roles = [(Role::Sidecar, 500.0 + size), (Role::Voter, 500.0 + 60.0 * size)];
    let periods = [Period::Steady, Period::Whole];
    let kinds = [(Traffic::All, 1.0), (Traffic::PlanDatagram, 0.7), (Traffic::Budget, 0.3)];
    let mut records = Vec::new();
    for (name, bytes) in roles {
        for period in periods {
            records.extend(kinds.map(|(kind, share)| role(name, period, kind, bytes * share)));
        }
    }
    let extra = if moment == Moment::Rest { 0.0 } else { size };
    FleetRecord {
        moment,
        members,
        seed,
        seconds: 60.0,
        violations: 0,
        mean_sent_bytes_s: 800.0 + extra,
        equal_s: Some(1.0 + size / 1000.0),
        in_force_s: Some(0.5),
        agreed_s: Some(3.0),
        roles: records,
    }
}

fn dataset() -> Dataset {
    let mut dataset = Dataset::default();
    for moment in [Moment::Rest, Moment::Change] {
        for members in [50, 100, 200, 400] {
            dataset.fleets.extend((1..=2).map(|seed| record(moment, members, seed)));
        }
    }
    dataset
}

#[test]
fn the_row_that_breaks_at_the_smallest_size_comes_first() {
    let rows = rows::all_rows(&target(), &dataset());
    let first = &rows[0];
    assert_eq!((first.role_name(), first.moment), ("voter", "all start at once, worst 10 s"));
    assert_eq!(first.breaks_at().map(f64::round), Some(50.0), "500 + 60 N is 3,500 at 50");
    assert_eq!((rows[1].role_name(), rows[1].moment), ("voter", "at rest"));
    assert_eq!(rows[1].breaks_at().map(f64::round), Some(108.0), "500 + 60 N is 7,000 at 108");
    assert!(rows[1].exceeded_as_measured());
    assert!(rows[1].mechanism.contains("status reports"), "{}", rows[1].mechanism);
    let breaks: Vec<f64> = rows.iter().map(|row| row.breaks_at().unwrap_or(f64::MAX)).collect();
    assert!(breaks.is_sorted(), "{breaks:?}");
}

#[test]
fn an_event_costs_the_difference_to_the_run_at_rest_with_the_same_size_and_seed() {
    let excess = rows::excess(&dataset(), Moment::Change);
    assert_eq!(excess.len(), 8);
    for point in excess {
        assert!((point.value - 60.0 * point.size).abs() < 1e-6, "{point:?}");
    }
}

#[test]
fn the_page_names_the_first_bottleneck() {
    let page = page::render(&target(), &dataset());
    let section = page.split("## What is missing first").nth(1).expect("the section");
    assert!(section.contains("**voter, all start at once, worst 10 s: bytes, p99 of members**"), "{section}");
    assert!(section.contains("It was beyond its limit at sizes that were measured."), "{section}");
    assert!(section.contains("| 2 | 108 | voter | at rest |"), "{section}");
    let first_for_all = "no machine set aside can take it: **sidecar, all start at once, worst 10 s";
    assert!(section.contains(first_for_all), "{section}");
}

/// A moment whose largest measured size is smaller than that of rest is compared with rest at the moment's own largest
/// size.
#[test]
fn a_moment_with_fewer_sizes_keeps_its_rows() {
    let mut dataset = dataset();
    dataset.fleets.extend((1..=2).map(|seed| record(Moment::Rest, 800, seed)));
    for members in [50, 100, 200, 400] {
        let mut zone_back = record(Moment::ZoneBack, members, 1);
        zone_back.roles.iter_mut().for_each(|role| role.worst_ten_seconds_bytes.p99 *= 3.0);
        dataset.fleets.push(zone_back);
    }
    let rows = rows::all_rows(&target(), &dataset);
    assert!(rows.iter().any(|row| row.moment.starts_with("a zone of 17 back")));
    assert!(
        !rows.iter().any(|row| row.moment.starts_with("ten changes") && row.role.is_some()),
        "its worst window is not greater than that of the start"
    );
}

#[test]
fn the_endpoint_list_is_on_the_page_only_if_it_was_measured() {
    let dataset = Dataset { module: module(), ..Dataset::default() };
    let page = page::render(&target(), &dataset);
    assert!(page.contains("| 28 | 1.50 us | 250 ns | 28.0 kB | 1,000 B |"), "{page}");
    assert!(!page::render(&target(), &Dataset::default()).contains("List and pick"));
}

#[test]
fn the_page_does_not_depend_on_the_order_of_the_data() {
    let (sorted, mut reversed) = (dataset(), dataset());
    reversed.fleets.reverse();
    reversed.sort();
    assert_eq!(page::render(&target(), &sorted), page::render(&target(), &reversed));
}

#[test]
fn a_page_without_data_says_that_no_row_passes_its_limit() {
    let page = page::render(&target(), &Dataset::default());
    assert!(page.contains("No row with data passes its limit"), "{page}");
}

#[test]
fn only_the_part_between_the_markers_is_replaced() {
    let page = format!("above\n{BEGIN_MARKER}\nold\n{END_MARKER}\nbelow\n");
    let replaced = page::replace(&page, "new\n").expect("a page with both markers");
    assert_eq!(replaced, format!("above\n{BEGIN_MARKER}\n\nnew\n\n{END_MARKER}\nbelow\n"));
    assert_eq!(page::replace(&replaced, "new\n").as_ref(), Ok(&replaced));
    for invalid in ["nothing", BEGIN_MARKER, END_MARKER, &format!("{END_MARKER}{BEGIN_MARKER}")] {
        assert!(page::replace(invalid, "new").is_err(), "{invalid}");
    }
}
