//! Compares scenario runs with and without membership, in pairs of the same seed.

use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::{Emulator, Report};
use std::error::Error;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Bootstrap resamples per confidence interval.
const RESAMPLE_COUNT: usize = 4000;

/// Name of a metric and its value in a report.
type Metric = (&'static str, fn(&Report) -> f64);

const METRICS: &[Metric] = &[
    ("worth", |r| r.worth),
    ("cold nodes pushed over", |r| r.fallen as f64),
    ("probes a first try", |r| r.seen.probes as f64 / request_count(r)),
    ("attempts a first try", |r| r.seen.attempts as f64 / request_count(r)),
];

fn request_count(report: &Report) -> f64 {
    report.tally.iter().map(|t| t.asked).sum::<u64>().max(1) as f64
}

/// Runs every seed of every scenario twice and prints the differences. Returns the number of runs that violated an
/// invariant.
pub fn run(names: &[String], seeds: RangeInclusive<u64>, jobs: usize) -> Result<usize, Box<dyn Error>> {
    let mut failure_count = 0;
    for name in names {
        let scenario = crate::load_scenario(name, None)?;
        let seed_count = seeds.end() - seeds.start() + 1;
        let next = AtomicU64::new(0);
        let reports: Mutex<Vec<(u64, bool, Report)>> = Mutex::default();
        std::thread::scope(|scope| {
            for _ in 0..jobs {
                scope.spawn(|| {
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed);
                        if index >= 2 * seed_count {
                            return;
                        }
                        let (seed, members) = (seeds.start() + index / 2, index % 2 == 1);
                        let emulator = Emulator::new(Day::draw(&scenario, seed), None);
                        let report = if members { emulator.with_members() } else { emulator }.play(false);
                        let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
                        reports.push((seed, members, report));
                    }
                });
            }
        });
        let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
        reports.sort_by_key(|(seed, members, _)| (*seed, *members));
        for (seed, members, report) in reports.iter().filter(|(.., report)| !report.broken.is_empty()) {
            failure_count += 1;
            let mode = if *members { "with" } else { "without" };
            println!("{name} seed {seed} {mode} membership: {}", report.broken[0]);
        }
        println!(
            "{name}: {seed_count} days each\n  {:<24} {:>10} {:>10}  difference (95 %)",
            "", "without", "with"
        );
        for (metric, value) in METRICS {
            let values = |members: bool| -> Vec<f64> {
                reports.iter().filter(|(_, m, _)| *m == members).map(|(.., r)| value(r)).collect()
            };
            let (without, with) = (values(false), values(true));
            let differences: Vec<f64> = with.iter().zip(&without).map(|(a, b)| a - b).collect();
            let (low, high) = confidence_interval(&differences);
            let note = if low <= 0.0 && high >= 0.0 { "  no difference shown" } else { "" };
            println!(
                "  {metric:<24} {:>10.4} {:>10.4}  {:+.4} ({low:+.4}, {high:+.4}){note}",
                mean(&without),
                mean(&with),
                mean(&differences),
            );
        }
    }
    Ok(failure_count)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// 95 % confidence interval of the mean by bootstrap. The fixed seed makes it reproducible.
fn confidence_interval(values: &[f64]) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut means: Vec<f64> = (0..RESAMPLE_COUNT)
        .map(|_| mean(&values.iter().map(|_| values[rng.usize(..values.len())]).collect::<Vec<f64>>()))
        .collect();
    means.sort_by(f64::total_cmp);
    (means[RESAMPLE_COUNT / 40], means[RESAMPLE_COUNT - 1 - RESAMPLE_COUNT / 40])
}
