//! Plays a scenario with an outage of discovery and prints, by seed, the first bytes that came too late and how long the
//! sidecars waited for their first list after its return:
//!
//! `cargo run --release --locked -p cometcroft-emulator --example outage -- outage-drains 1..20`

use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::{Emulator, Report};
use cometcroft_emulator::judge::Rule;
use cometcroft_emulator::scenario::Scenario;
use std::ops::RangeInclusive;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, seeds] = arguments.as_slice() else { return usage("two arguments are wanted") };
    let Some(seeds) = range(seeds) else { return usage("seeds are written as A..B") };
    let scenario = match Scenario::find(name) {
        Ok(scenario) => scenario,
        Err(error) => return usage(&error.to_string()),
    };
    let played = seeds.clone().count();
    let (mut broken, mut waits) = (0, Vec::new());
    for seed in seeds {
        let report = Emulator::new(Day::draw(&scenario, seed), None).play(false);
        println!("{}", line(&report));
        broken += usize::from(!report.broken.is_empty());
        waits.extend(report.returns.first_lists_s);
    }
    println!("{broken} of {played} seeds broken; first lists of all: {}", distribution(&mut waits));
    ExitCode::SUCCESS
}

fn usage(reason: &str) -> ExitCode {
    eprintln!("outage: {reason}; usage: outage SCENARIO A..B");
    ExitCode::from(2)
}

fn range(text: &str) -> Option<RangeInclusive<u64>> {
    let (from, to) = text.split_once("..")?;
    Some(from.parse().ok()?..=to.parse().ok()?)
}

fn line(report: &Report) -> String {
    let mut waits = report.returns.first_lists_s.clone();
    let others = report.broken.iter().filter(|broken| broken.rule != Rule::DrainWindow).count();
    format!(
        "seed {}: {} late sends of {} attempts, {} other findings; calls answered {}, refused {}; first lists: {}, {} without",
        report.seed,
        report.seen.late_sends,
        report.seen.attempts,
        others,
        report.list_calls.0,
        report.list_calls.1,
        distribution(&mut waits),
        report.returns.without_list,
    )
}

/// Count and percentiles of times in seconds, which are sorted by it.
fn distribution(times: &mut [f64]) -> String {
    times.sort_by(f64::total_cmp);
    let Some(last) = times.len().checked_sub(1) else { return "none".into() };
    let at = |share: f64| times[(last as f64 * share).round() as usize];
    let within = times.iter().filter(|time| **time <= 6.0).count();
    format!(
        "n {}, p50 {:.2} s, p90 {:.2} s, p99 {:.2} s, longest {:.2} s, {within} within 6 s",
        times.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0)
    )
}
