//! Reports as text.

use cometcroft_emulator::emulator::Report;
use std::fmt::Write;

/// What became of a day's requests.
pub fn report(report: &Report) -> String {
    let mut out = String::new();
    let (scenario, seed) = (&report.scenario, report.seed);
    let _ = writeln!(
        out,
        "{scenario}, seed {seed}: {:.1} virtual s, {} steps, log {}",
        report.seconds, report.steps, report.hash
    );
    let _ = writeln!(
        out,
        "{:<12} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>7} {:>9} {:>9}",
        "class", "asked", "in aim", "late", "refused", "failed", "left", "again", "p50 ms", "p99 ms"
    );
    for ((name, t), (p50, p99)) in report.classes.iter().zip(&report.tally).zip(&report.latency_ms) {
        let share = |n: u64| format!("{:.1}%", n as f64 * 100.0 / (t.asked.max(1) as f64));
        let _ = writeln!(
            out,
            "{name:<12} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>7} {p50:>9.1} {p99:>9.1}",
            t.asked,
            share(t.in_aim),
            share(t.late),
            share(t.refused),
            share(t.failed),
            t.left,
            t.again
        );
    }
    let (seen, asked) = (&report.seen, report.tally.iter().map(|t| t.asked).sum::<u64>().max(1) as f64);
    let _ = writeln!(
        out,
        "worth {:.4}  waste {:.1}%  probes {:.2} a first try  crossings {:.2}  attempts {:.2} a request  bad clients {}",
        report.worth,
        report.waste * 100.0,
        seen.probes as f64 / asked,
        report.crossings as f64 / asked,
        seen.attempts as f64 / seen.taken.max(1) as f64,
        seen.bad,
    );
    out + &broken(report)
}

/// The broken rules of a report, with the history of the first one's request.
pub fn broken(report: &Report) -> String {
    let mut out = String::new();
    for (i, broken) in report.broken.iter().enumerate().take(10) {
        let _ = writeln!(out, "seed {}: {broken}", report.seed);
        for line in broken.history.iter().filter(|_| i == 0) {
            let _ = writeln!(out, "    {line}");
        }
    }
    if report.broken.len() > 10 {
        let _ = writeln!(out, "and {} more", report.broken.len() - 10);
    }
    if report.broken.is_empty() {
        out.push_str("all rules kept\n");
    }
    out
}
