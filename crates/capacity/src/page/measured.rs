//! Sections that are based on simulated fleet runs.

use crate::arithmetic::DAY_SECONDS;
use crate::data::{Dataset, Moment};
use crate::fit::{Fit, Point};
use crate::rows::{self, Row};
use crate::table::{Table, count, figure, percent};
use crate::target::Target;
use std::collections::BTreeMap;

/// Maximum number of rows in the table of the last section.
const MAX_BREAKING_ROWS: usize = 12;

/// The fleet size to plan for.
pub fn target_size(target: &Target) -> String {
    let (fleet, calls) = (&target.fleet, &target.calls);
    let mut table = Table::new(&["figure", "target"]);
    let zone_size = f64::from(fleet.sidecars) / f64::from(fleet.zones);
    let region_size = f64::from(fleet.sidecars) / f64::from(fleet.regions);
    let service_size = f64::from(fleet.sidecars) / f64::from(fleet.services);
    let rate_per_sidecar = calls.per_second / f64::from(fleet.sidecars);
    let change_interval_s = DAY_SECONDS / target.changes.per_day;
    table.row(&["sidecars", &figure(f64::from(fleet.sidecars))]);
    table
        .row(&["services", &format!("{}, of {} endpoints on average", fleet.services, figure(service_size))]);
    table.row(&[
        "zones, regions",
        &format!(
            "{}, {}: {} sidecars a zone, {} a region",
            fleet.zones,
            fleet.regions,
            figure(zone_size),
            figure(region_size)
        ),
    ]);
    table.row(&["machines set aside for control", &fleet.control_machines.to_string()]);
    table.row(&[
        "calls a second",
        &format!("{}: {} a sidecar", figure(calls.per_second), figure(rate_per_sidecar)),
    ]);
    table.row(&[
        "changes a day",
        &format!(
            "{}: one in {} s, in force everywhere within {} s",
            figure(target.changes.per_day),
            figure(change_interval_s),
            figure(target.changes.in_force_within.exact().as_secs_f64())
        ),
    ]);
    table.row(&[
        "for control, a sidecar",
        &format!(
            "{} of a core, {} MB, {} B/s received and sent together",
            percent(target.sidecar.core_share),
            figure(target.sidecar.memory_bytes / 1e6),
            figure(target.sidecar.bytes_per_second)
        ),
    ]);
    format!("## The size to plan with\n\n{}", table.text())
}

/// The runs that the figures are based on.
pub fn measured_runs(data: &Dataset) -> String {
    let mut table = Table::new(&["moment", "sizes", "seeds", "runs", "runs with a broken rule"]);
    for moment in Moment::ALL {
        let records: Vec<_> = data.fleets.iter().filter(|record| record.moment == moment).collect();
        if records.is_empty() {
            continue;
        }
        let sizes: BTreeMap<usize, usize> = records.iter().map(|record| (record.members, 0)).collect();
        let sizes: Vec<String> = sizes.keys().map(usize::to_string).collect();
        let seeds: BTreeMap<u64, usize> = records.iter().map(|record| (record.seed, 0)).collect();
        let seeds: Vec<String> = seeds.keys().map(u64::to_string).collect();
        let with_violations = records.iter().filter(|record| record.violations > 0).count();
        table.row(&[
            moment.name(),
            &sizes.join(", "),
            &seeds.join(", "),
            &records.len().to_string(),
            &with_violations.to_string(),
        ]);
    }
    format!(
        "## What was measured\n\nFleets on the virtual clock, with membership, budget and plan at once. The scripts are in \
         `docs/capacity/scripts/`. The budget's lease is 2 s in them, but 4 s in `rest-long-lease`, as in the operator's file.\n\n{}",
        table.text()
    )
}

/// Rows with a limit, sorted by the size at which they reach it.
pub fn rows_with_limit(target: &Target, rows: &[Row]) -> String {
    let size = f64::from(target.fleet.sidecars);
    let mut table = Table::new(&[
        "role",
        "moment",
        "figure",
        "breaks at",
        "limit",
        "at target",
        "range",
        "of limit",
        "fit",
        "n",
        "off by",
        "reach",
        "most of it",
    ]);
    for row in rows.iter().filter(|row| row.limit.is_some()) {
        let (min, max) = row.fit.range_at(size);
        let unit = row.unit.name();
        table.row(&[
            row.role_name().to_owned(),
            row.moment.to_owned(),
            row.figure.to_owned(),
            breaks_at(row),
            format!("{} {unit}", figure(row.limit.unwrap_or_default())),
            format!("{} {unit}", figure(row.fit.curve.at(size))),
            format!("{} to {}", figure(min), figure(max)),
            row.limit_ratio_at(size).map_or("-".to_owned(), percent),
            row.fit.curve.to_string(),
            row.fit.point_count.to_string(),
            percent(row.fit.residual),
            format!("x {}", figure(row.fit.extrapolation_factor(size))),
            row.mechanism.to_owned(),
        ]);
    }
    format!(
        "## Rows with a limit, by the size at which they break\n\n- \"breaks at\" is the number of sidecars at which the \
         fitted curve reaches the limit.\n- \"range\" is the least and the greatest value at the target that single seeds, \
         and other curves that fit about as well, give.\n- \"off by\" is the root mean square of the relative residuals.\n- \
         \"reach\" is the target divided by the largest size that was measured: the further, the less it is worth.\n\n{}",
        table.text()
    )
}

fn breaks_at(row: &Row) -> String {
    match row.breaks_at() {
        Some(size) if size <= row.fit.size_range.0 => format!("under {}", count(row.fit.size_range.0)),
        Some(size) => count(size),
        None => "not up to 1,000,000".to_owned(),
    }
}

/// Rows without a limit.
pub fn rows_without_limit(target: &Target, rows: &[Row]) -> String {
    let size = f64::from(target.fleet.sidecars);
    let mut table =
        Table::new(&["role", "moment", "figure", "at target", "range", "fit", "off by", "most of it"]);
    for row in rows.iter().filter(|row| row.limit.is_none()) {
        let (min, max) = row.fit.range_at(size);
        table.row(&[
            row.role_name().to_owned(),
            row.moment.to_owned(),
            row.figure.to_owned(),
            format!("{} {}", figure(row.fit.curve.at(size)), row.unit.name()),
            format!("{} to {}", figure(min), figure(max)),
            row.fit.curve.to_string(),
            percent(row.fit.residual),
            row.mechanism.to_owned(),
        ]);
    }
    format!("## Rows without a limit of their own\n\n{}", table.text())
}

/// The measured values that the curves were fitted to.
pub fn measured_values(data: &Dataset, rows: &[Row]) -> String {
    let mut sizes: Vec<usize> = data.fleets.iter().map(|record| record.members).collect();
    sizes.sort_unstable();
    sizes.dedup();
    let titles: Vec<String> = sizes.iter().map(|size| format!("{size} sidecars")).collect();
    let mut columns = vec!["role", "moment", "figure"];
    columns.extend(titles.iter().map(String::as_str));
    let mut table = Table::new(&columns);
    for row in rows {
        let mut cells = vec![row.role_name().to_owned(), row.moment.to_owned(), row.figure.to_owned()];
        cells.extend(sizes.iter().map(|&size| median_and_range(&row.points, size)));
        table.row(&cells);
    }
    format!(
        "## As measured\n\nMedian of the seeds, and their least and greatest in brackets.\n\n{}",
        table.text()
    )
}

fn median_and_range(points: &[Point], size: usize) -> String {
    let of_size = points.iter().filter(|point| point.size as usize == size);
    let mut values: Vec<f64> = of_size.map(|point| point.value).collect();
    values.sort_by(f64::total_cmp);
    match (values.first(), values.last()) {
        (Some(&min), Some(&max)) => {
            let (median, n) = (median(&values), values.len());
            format!("{} ({}, {}), n={n}", figure(median), figure(min), figure(max))
        }
        _ => "none".to_owned(),
    }
}

/// Median of sorted values.
fn median(sorted: &[f64]) -> f64 {
    let half = sorted.len() / 2;
    if sorted.len().is_multiple_of(2) { (sorted[half - 1] + sorted[half]) / 2.0 } else { sorted[half] }
}

/// Moments in which something happens to the fleet.
const EVENTS: [Moment; 6] = [
    Moment::Change,
    Moment::Restart,
    Moment::MachineLost,
    Moment::ZoneBack,
    Moment::RegionBack,
    Moment::Release,
];

/// Bytes that each event costs beyond a fleet at rest, and their daily mean.
pub fn event_costs(target: &Target, data: &Dataset) -> String {
    let size = f64::from(target.fleet.sidecars);
    let mut table = Table::new(&[
        "moment",
        "bytes a member, as measured at the largest size",
        "at target",
        "fit",
        "off by",
        "a day",
        "B/s over the day",
    ]);
    let mut row_count = 0;
    for moment in EVENTS {
        let points = rows::excess(data, moment);
        let Some(fit) = Fit::of(&points) else { continue };
        row_count += 1;
        let frequency = events_per_day(target, moment);
        let bytes = fit.curve.at(size);
        table.row(&[
            moment.name().to_owned(),
            median_and_range(&points, data.largest_fleet(moment)),
            figure(bytes),
            fit.curve.to_string(),
            percent(fit.residual),
            frequency.map_or("rare".to_owned(), |(per_day, _)| figure(per_day)),
            frequency
                .map_or("-".to_owned(), |(per_day, per_run)| figure(bytes / per_run * per_day / DAY_SECONDS)),
        ]);
    }
    if row_count == 0 {
        return String::new();
    }
    format!(
        "## What moments cost a member beyond rest\n\nBytes that a member sends on average, in the run with the event less \
         the run without it, of the same size and seed. What it receives is as much again.\n\n{}",
        table.text()
    )
}

/// Number of events of a moment per day, and number of events in its script; `None` for rare events.
fn events_per_day(target: &Target, moment: Moment) -> Option<(f64, f64)> {
    match moment {
        Moment::Change => Some((target.changes.per_day, 10.0)),
        Moment::Restart => Some((target.failures.restarts_per_day, 1.0)),
        Moment::MachineLost => Some((target.failures.machines_per_day, 1.0)),
        _ => None,
    }
}

/// The rows that reach their limit below the target size, in the order in which they do.
pub fn first_bottleneck(target: &Target, rows: &[Row]) -> String {
    let size = f64::from(target.fleet.sidecars);
    let breaking: Vec<&Row> =
        rows.iter().filter(|row| row.breaks_at().is_some_and(|breaks_at| breaks_at < size)).collect();
    let Some(first) = breaking.first() else {
        return "## What is missing first\n\nNo row with data passes its limit below the target.\n"
            .to_owned();
    };
    let first_for_all = breaking.iter().find(|row| !row.can_move_to_control_machine());
    let for_all = first_for_all.filter(|row| *row != first).map_or(String::new(), |row| {
        format!(
            "- The first that every sidecar bears, so that no machine set aside can take it: {}\n",
            describe(row)
        )
    });
    format!(
        "## What is missing first\n\n- The row that passes its limit at the smallest size: {}\n{for_all}- {} of {} rows with a \
         limit break below {} sidecars.\n\n{}",
        describe(first),
        breaking.len(),
        rows.iter().filter(|row| row.limit.is_some()).count(),
        figure(size),
        breaking_table(&breaking),
    )
}

/// A row as a sentence.
fn describe(row: &Row) -> String {
    let measured = match row.exceeded_as_measured() {
        true => "It was beyond its limit at sizes that were measured",
        false => "This is extrapolated; no size that was measured was beyond it",
    };
    format!(
        "**{}, {}: {}**, at {} sidecars. {measured}. Most of it is {}.",
        row.role_name(),
        row.moment,
        row.figure,
        breaks_at(row),
        row.mechanism
    )
}

fn breaking_table(breaking: &[&Row]) -> String {
    let mut table = Table::new(&[
        "order",
        "breaks at",
        "role",
        "moment",
        "figure",
        "measured beyond its limit",
        "a machine set aside could take it",
        "most of it",
    ]);
    let yes_or_no = |holds: bool| if holds { "yes" } else { "no" }.to_owned();
    for (index, row) in breaking.iter().take(MAX_BREAKING_ROWS).enumerate() {
        table.row(&[
            (index + 1).to_string(),
            breaks_at(row),
            row.role_name().to_owned(),
            row.moment.to_owned(),
            row.figure.to_owned(),
            yes_or_no(row.exceeded_as_measured()),
            yes_or_no(row.can_move_to_control_machine()),
            row.mechanism.to_owned(),
        ]);
    }
    table.text()
}
