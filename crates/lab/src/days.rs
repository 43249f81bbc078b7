//! Whole days with membership and without, by pairs of one seed.

use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::{Emulator, Report};
use std::error::Error;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Resamples of an interval.
const RESAMPLES: usize = 4000;

/// A figure of a day, and its name.
type Figure = (&'static str, fn(&Report) -> f64);

const FIGURES: &[Figure] = &[
    ("worth", |r| r.worth),
    ("cold nodes pushed over", |r| r.fallen as f64),
    ("probes a first try", |r| r.seen.probes as f64 / asked(r)),
    ("attempts a first try", |r| r.seen.attempts as f64 / asked(r)),
];

fn asked(report: &Report) -> f64 {
    report.tally.iter().map(|t| t.asked).sum::<u64>().max(1) as f64
}

/// Plays all days of all scenarios; how many broke a rule.
pub fn run(names: &[String], seeds: RangeInclusive<u64>, jobs: usize) -> Result<usize, Box<dyn Error>> {
    let mut failed = 0;
    for name in names {
        let scenario = crate::scenario(name, None)?;
        let each = seeds.end() - seeds.start() + 1;
        let next = AtomicU64::new(0);
        let reports: Mutex<Vec<(u64, bool, Report)>> = Mutex::default();
        std::thread::scope(|scope| {
            for _ in 0..jobs {
                scope.spawn(|| {
                    loop {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        if n >= 2 * each {
                            return;
                        }
                        let (seed, members) = (seeds.start() + n / 2, n % 2 == 1);
                        let day = Emulator::new(Day::draw(&scenario, seed), None);
                        let report = if members { day.with_members() } else { day }.play(false);
                        let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
                        reports.push((seed, members, report));
                    }
                });
            }
        });
        let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
        reports.sort_by_key(|(seed, members, _)| (*seed, *members));
        for (seed, members, report) in reports.iter().filter(|(.., report)| !report.broken.is_empty()) {
            failed += 1;
            let how = if *members { "with" } else { "without" };
            println!("{name} seed {seed} {how} membership: {}", report.broken[0]);
        }
        println!(
            "{name}: {each} days each\n  {:<24} {:>10} {:>10}  difference (95 %)",
            "", "without", "with"
        );
        for (figure, pick) in FIGURES {
            let of = |members: bool| -> Vec<f64> {
                reports.iter().filter(|(_, m, _)| *m == members).map(|(.., r)| pick(r)).collect()
            };
            let (without, with) = (of(false), of(true));
            let differences: Vec<f64> = with.iter().zip(&without).map(|(a, b)| a - b).collect();
            let (low, high) = interval(&differences);
            let none = if low <= 0.0 && high >= 0.0 { "  no difference shown" } else { "" };
            println!(
                "  {figure:<24} {:>10.4} {:>10.4}  {:+.4} ({low:+.4}, {high:+.4}){none}",
                mean(&without),
                mean(&with),
                mean(&differences),
            );
        }
    }
    Ok(failed)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The mean's interval by the bootstrap, the same each time.
fn interval(values: &[f64]) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| mean(&values.iter().map(|_| values[rng.usize(..values.len())]).collect::<Vec<f64>>()))
        .collect();
    means.sort_by(f64::total_cmp);
    (means[RESAMPLES / 40], means[RESAMPLES - 1 - RESAMPLES / 40])
}
