//! Text form of the emulator's reports.

use cometcroft_emulator::emulator::Report;
use std::fmt::Write;

/// Formats the outcome of a run's requests, with the violations.
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
    for ((name, tally), (p50, p99)) in report.classes.iter().zip(&report.tally).zip(&report.latency_ms) {
        let percentage = |count: u64| format!("{:.1}%", count as f64 * 100.0 / (tally.asked.max(1) as f64));
        let _ = writeln!(
            out,
            "{name:<12} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>7} {p50:>9.1} {p99:>9.1}",
            tally.asked,
            percentage(tally.in_aim),
            percentage(tally.late),
            percentage(tally.refused),
            percentage(tally.failed),
            tally.left,
            tally.again
        );
    }
    let (seen, request_count) =
        (&report.seen, report.tally.iter().map(|t| t.asked).sum::<u64>().max(1) as f64);
    let _ = writeln!(
        out,
        "worth {:.4}  waste {:.1}%  probes {:.2} a first try  crossings {:.2}  attempts {:.2} a request  bad clients {}",
        report.worth,
        report.waste * 100.0,
        seen.probes as f64 / request_count,
        report.crossings as f64 / request_count,
        seen.attempts as f64 / seen.taken.max(1) as f64,
        seen.bad,
    );
    out + &violations(report)
}

/// Formats the first violations of a report, with the history of the request of the first one.
pub fn violations(report: &Report) -> String {
    let mut out = String::new();
    for (i, violation) in report.broken.iter().enumerate().take(10) {
        let _ = writeln!(out, "seed {}: {violation}", report.seed);
        for line in violation.history.iter().filter(|_| i == 0) {
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
