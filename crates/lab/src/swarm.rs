//! Many seeds, side by side: each day is played by one thread from its first step to its last.

use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::Emulator;
use cometcroft_emulator::sabotage::Defect;
use cometcroft_emulator::scenario::Scenario;
use indicatif::{ProgressBar, ProgressStyle};
use std::ops::RangeInclusive;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// What came of a seed that failed.
struct Failure {
    scenario: usize,
    seed: u64,
    what: String,
}

/// Plays all seeds of all scenarios; how many failed.
pub fn run(
    names: &[String],
    seeds: RangeInclusive<u64>,
    jobs: usize,
    short: Option<f64>,
    defect: Option<Defect>,
    first: bool,
) -> Result<usize, Box<dyn std::error::Error>> {
    let scenarios = names.iter().map(|name| crate::scenario(name, short)).collect::<Result<Vec<_>, _>>()?;
    let each = seeds.end() - seeds.start() + 1;
    let all = each.checked_mul(scenarios.len() as u64).ok_or("too many seeds")?;
    let style = ProgressStyle::with_template("{pos}/{len} days, {eta} left, {msg}")?;
    let bar = ProgressBar::new(all).with_style(style);
    let (next, stop) = (AtomicU64::new(0), AtomicBool::new(false));
    let failures: Mutex<Vec<Failure>> = Mutex::default();
    // A panic in a sidecar is a finding, told in one line with its seed.
    std::panic::set_hook(Box::new(|_| {}));
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= all || stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let (scenario, seed) = ((n / each) as usize, seeds.start() + n % each);
                    if let Some(what) = play(&scenarios[scenario], seed, defect) {
                        let mut failures = failures.lock().unwrap_or_else(PoisonError::into_inner);
                        failures.push(Failure { scenario, seed, what });
                        bar.set_message(format!("{} failed", failures.len()));
                        stop.fetch_or(first, Ordering::Relaxed);
                    }
                    bar.inc(1);
                    // Where nobody watches a terminal, a line now and then.
                    if bar.is_hidden() && bar.position().is_multiple_of(each.clamp(100, 1000)) {
                        eprintln!("{} of {all} days", bar.position());
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
        println!("{} seed {}: {}", names[f.scenario], f.seed, f.what);
    }
    let played = bar.position();
    let peak = peak_mb().map_or(String::new(), |mb| format!("; at most {mb} MB of memory"));
    println!("{played} days played, {} with a broken rule{peak}", failures.len());
    Ok(failures.len())
}

/// The most memory that this process has held, where the system tells.
fn peak_mb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|kb| kb / 1024)
}

fn play(scenario: &Scenario, seed: u64, defect: Option<Defect>) -> Option<String> {
    let played = catch_unwind(AssertUnwindSafe(|| {
        Emulator::new(Day::draw(scenario, seed), defect).play(true).broken.first().map(ToString::to_string)
    }));
    played.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no word");
        Some(format!("panic: {}", text.replace('\n', " ")))
    })
}
