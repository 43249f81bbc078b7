//! Runs many seeds in parallel. Each run stays on one thread from its first step to its last.

use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::Emulator;
use cometcroft_emulator::sabotage::Defect;
use cometcroft_emulator::scenario::Scenario;
use indicatif::{ProgressBar, ProgressStyle};
use std::ops::RangeInclusive;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// A failed seed and its first violation or panic.
struct Failure {
    scenario: usize,
    seed: u64,
    description: String,
}

/// Runs all seeds of all scenarios and prints the failures. Returns the number of failed seeds.
pub fn run(
    names: &[String],
    seeds: RangeInclusive<u64>,
    jobs: usize,
    short: Option<f64>,
    defect: Option<Defect>,
    first: bool,
) -> Result<usize, Box<dyn std::error::Error>> {
    let scenarios =
        names.iter().map(|name| crate::load_scenario(name, short)).collect::<Result<Vec<_>, _>>()?;
    let seed_count = seeds.end() - seeds.start() + 1;
    let total = seed_count.checked_mul(scenarios.len() as u64).ok_or("too many seeds")?;
    let style = ProgressStyle::with_template("{pos}/{len} runs, {eta} left, {msg}")?;
    let bar = ProgressBar::new(total).with_style(style);
    let (next, stop) = (AtomicU64::new(0), AtomicBool::new(false));
    let failures: Mutex<Vec<Failure>> = Mutex::default();
    // A panic in a sidecar is reported as a failure of its seed, in one line.
    std::panic::set_hook(Box::new(|_| {}));
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= total || stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let (scenario, seed) =
                        ((index / seed_count) as usize, seeds.start() + index % seed_count);
                    if let Some(description) = run_seed(&scenarios[scenario], seed, defect) {
                        let mut failures = failures.lock().unwrap_or_else(PoisonError::into_inner);
                        failures.push(Failure { scenario, seed, description });
                        bar.set_message(format!("{} failed", failures.len()));
                        stop.fetch_or(first, Ordering::Relaxed);
                    }
                    bar.inc(1);
                    // Without a terminal there is no progress bar: print a line at intervals instead.
                    if bar.is_hidden() && bar.position().is_multiple_of(seed_count.clamp(100, 1000)) {
                        eprintln!("{} of {total} runs", bar.position());
                    }
                }
            });
        }
    });
    drop(std::panic::take_hook());
    bar.finish_and_clear();
    let mut failures = failures.into_inner().unwrap_or_else(PoisonError::into_inner);
    failures.sort_by_key(|f| (f.scenario, f.seed));
    for f in failures.iter().take(50) {
        println!("{} seed {}: {}", names[f.scenario], f.seed, f.description);
    }
    let run_count = bar.position();
    let peak = peak_memory_mb().map_or(String::new(), |mb| format!("; at most {mb} MB of memory"));
    println!("{run_count} days played, {} with a broken rule{peak}", failures.len());
    Ok(failures.len())
}

/// Peak resident memory of this process, where the operating system reports it.
fn peak_memory_mb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|kb| kb / 1024)
}

/// Runs one seed. Returns its first violation or its panic message, if any.
fn run_seed(scenario: &Scenario, seed: u64, defect: Option<Defect>) -> Option<String> {
    let result = catch_unwind(AssertUnwindSafe(|| {
        Emulator::new(Day::draw(scenario, seed), defect).play(true).broken.first().map(ToString::to_string)
    }));
    result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no word");
        Some(format!("panic: {}", text.replace('\n', " ")))
    })
}
