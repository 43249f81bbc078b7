//! `fleet`: runs fleets under fault scripts, on the virtual clock and on real processes.

use clap::{Subcommand, ValueEnum};
use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_emulator::share::{Divide, ShareReport};
use cometcroft_membership::Features;
use cometcroft_rig::{BudgetReport, Options, Outcomes, RigReport};
use cometcroft_script::{Plan, SHIPPED, Script, Violation};
use cometcroft_tomlfile::{Span, Time};
use indicatif::{ProgressBar, ProgressStyle};
use std::error::Error;
use std::io::IsTerminal;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

#[derive(Subcommand)]
pub enum Fleet {
    /// List the shipped scripts, or print one.
    List {
        /// Script to print.
        name: Option<String>,
    },
    /// Run a script on real processes; exit code 1 if an invariant was violated.
    Run {
        /// Name of a shipped script, or a file.
        script: String,
        /// Number of processes; the script's own by default.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=48))]
        processes: Option<u16>,
        /// Seed; the script's own by default, or 1 if it has none.
        #[arg(long)]
        seed: Option<u64>,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
        /// Directory in which to keep the logs of the processes.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// SVG file for a chart of the shared budget over time.
        #[arg(long, value_name = "FILE")]
        chart: Option<PathBuf>,
        /// Sidecar program; by default `cometcroft` in the directory of this program.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Run scripts on the virtual clock under many seeds; exit code 1 if an invariant was violated.
    Play {
        /// Names of shipped scripts or files; `all` for every shipped script.
        #[arg(required = true)]
        scripts: Vec<String>,
        /// Number of members; the script's own by default.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=4000))]
        members: Option<u16>,
        /// Range of seeds as A..B, both included.
        #[arg(long, value_parser = crate::parse_seeds, default_value = "1..1")]
        seeds: RangeInclusive<u64>,
        /// Number of fleets run in parallel.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
        /// Disable a feature of the membership or budget protocol.
        #[arg(long, value_parser = parse_feature)]
        without: Vec<ProtocolFeature>,
        /// How a shared budget is divided: by leases, equally by the initial number of members, or by the number of
        /// members that each member sees alive.
        #[arg(long, value_enum, default_value_t = BudgetDivision::Lease)]
        divide: BudgetDivision,
        /// Print every report as a line of JSON.
        #[arg(long)]
        json: bool,
    },
    /// Run scenarios with and without membership among the sidecars of the first tier, and print the differences.
    Days {
        /// Names of shipped scenarios (see `scenarios`) or files.
        #[arg(required = true)]
        scenarios: Vec<String>,
        /// Range of seeds as A..B, both included.
        #[arg(long, value_parser = crate::parse_seeds, default_value = "1..10")]
        seeds: RangeInclusive<u64>,
        /// Number of runs in parallel.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
    },
    /// Start a small fleet with stub endpoints and a steady load, and show its state until Ctrl-C.
    Up {
        /// Number of processes.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=24))]
        processes: u16,
        /// Sidecar program; by default `cometcroft` in the directory of this program.
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

/// How a shared budget is divided: by leases as in production, equally by the initial number of members, or by the
/// number of members that each member sees alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum BudgetDivision {
    Lease,
    Static,
    View,
}

impl BudgetDivision {
    fn to_emulator(self) -> Divide {
        match self {
            BudgetDivision::Lease => Divide::Lease,
            BudgetDivision::Static => Divide::Static,
            BudgetDivision::View => Divide::View,
        }
    }
}

/// Features of the membership and budget protocols that a run uses; all by default.
#[derive(Debug, Clone, Copy, Default)]
struct ProtocolOptions {
    membership: Features,
    budget: cometcroft_budget::Safeguards,
    divide: Divide,
}

/// A protocol feature that `--without` disables.
#[derive(Debug, Clone, Copy)]
pub struct ProtocolFeature(DisableFeature);

type DisableFeature = fn(&mut Features, &mut cometcroft_budget::Safeguards);

const FEATURES: &[(&str, DisableFeature)] = &[
    ("indirect", |p, _| p.indirect_probes = false),
    ("awareness", |p, _| p.local_health = false),
    ("suspicion", |p, _| p.suspicion = false),
    ("refuting", |p, _| p.refutation = false),
    ("generations", |p, _| p.generation_order = false),
    ("trying-the-gone", |p, _| p.reconnect = false),
    ("caution", |p, _| p.delayed_decrease = false),
    ("exchanges", |p, _| p.anti_entropy = false),
    ("own-time", |p, _| p.local_suspicion = false),
    ("last-look", |p, _| p.confirmation_probes = false),
    ("keepers-wait", |_, b| b.voter_start_delay = false),
    ("divider-waits", |_, b| b.allocator_start_delay = false),
    ("from-asking", |_, b| b.lease_from_request = false),
    ("order", |_, b| b.request_order = false),
    ("promises", |_, b| b.promises = false),
    ("both-charged", |_, b| b.charge_until_confirmed = false),
    ("margins", |_, b| b.clock_margins = false),
];

fn parse_feature(text: &str) -> Result<ProtocolFeature, String> {
    let feature = FEATURES.iter().find(|(name, _)| *name == text);
    let names: Vec<&str> = FEATURES.iter().map(|(name, _)| *name).collect();
    feature
        .map(|(_, disable)| ProtocolFeature(*disable))
        .ok_or_else(|| format!("the features are {}", names.join(", ")))
}

/// Returns the sidecar program: the given one, or `cometcroft` in the directory of this program.
fn find_program(explicit: Option<PathBuf>) -> Result<PathBuf, Box<dyn Error>> {
    let program = match explicit {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("cometcroft"),
    };
    if program.is_file() {
        return Ok(program);
    }
    Err(format!("{}: program not found; build it, or pass its path with --program", program.display()).into())
}

pub fn run(command: Fleet) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Fleet::List { name: Some(name) } => {
            let text = SHIPPED.iter().find(|(shipped, _)| *shipped == name);
            print!("{}", text.ok_or_else(|| format!("{name:?} is not a shipped script"))?.1);
            Ok(ExitCode::SUCCESS)
        }
        Fleet::List { name: None } => {
            for (name, text) in SHIPPED {
                println!("{name:<24} {}", text.lines().next().unwrap_or_default().trim_start_matches("# "));
            }
            Ok(ExitCode::SUCCESS)
        }
        Fleet::Run { script, processes, seed, json, logs, chart, program } => {
            let script = Script::find(&script)?;
            let seed = seed.or(script.fleet.seed).unwrap_or(1);
            let plan = Plan::draw(&script, seed, processes.map(usize::from));
            let options = Options { program: find_program(program)?, logs, endpoints: 3, stop: None };
            let report = cometcroft_rig::run(&plan, &options, &mut progress())?;
            if json {
                println!("{}", serde_json::to_string_pretty(&report)?);
            } else {
                print!("{}", format_report(&report));
            }
            if let Some(file) = chart {
                let budget =
                    report.share.as_ref().ok_or("the script has no shared budget to draw a chart of")?;
                let title =
                    format!("{}, seed {}, {} processes", report.script, report.seed, report.processes);
                crate::chart::draw_budget(&file, &title, budget)?;
            }
            let passed = report.broken.is_empty() && report.crashed.is_empty() && report.equal_s.is_some();
            Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Fleet::Play { scripts, members, seeds, jobs, without, divide, json } => {
            let mut options = ProtocolOptions { divide: divide.to_emulator(), ..ProtocolOptions::default() };
            for ProtocolFeature(disable) in without {
                disable(&mut options.membership, &mut options.budget);
            }
            let names: Vec<String> = match scripts.iter().any(|name| name == "all") {
                true => SHIPPED.iter().map(|(name, _)| (*name).to_owned()).collect(),
                false => scripts,
            };
            let failure_count =
                run_emulated(&names, members.map(usize::from), seeds, usize::from(jobs), options, json)?;
            Ok(if failure_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Fleet::Days { scenarios, seeds, jobs } => {
            let failure_count = crate::days::run(&scenarios, seeds, usize::from(jobs))?;
            Ok(if failure_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Fleet::Up { processes, program } => {
            run_until_interrupted(usize::from(processes), find_program(program)?)
        }
    }
}

/// Prints a line at most every 2 s while a script runs: the time, the members that respond and the request outcomes.
fn progress() -> impl FnMut(Duration, &[String], Outcomes) {
    let mut last = Duration::ZERO;
    move |at, lines, requests| {
        if at >= last + Duration::from_secs(2) {
            last = at;
            let alive = lines.iter().filter(|line| !line.is_empty()).count();
            eprintln!("{:6.1} s  {alive} members respond, {requests}", at.as_secs_f64());
        }
    }
}

/// Formats violations, one per line.
fn format_violations(violations: &[Violation]) -> String {
    violations.iter().map(|violation| format!("broken: {violation}\n")).collect()
}

/// Formats the report of a run on real processes.
fn format_report(report: &RigReport) -> String {
    let (requests, known) = (report.requests, &report.known_s);
    let known: Vec<String> =
        known.iter().map(|(first, all)| format!("first {first:.2} s, all {all:.2} s")).collect();
    let equal = report.equal_s.map_or("never".to_owned(), |s| format!("{s:.2} s after the last act"));
    let (forwarded, bytes, dropped) = report.datagrams;
    let mut text = format!(
        "script     {} (seed {}, {} processes, {:.1} s)\nknown gone {}\nviews      equal {equal}\nrequests   {requests}; \
         {} received by backend servers\ndatagrams  {forwarded} passed on ({bytes} \
         bytes), {dropped} lost on purpose\n",
        report.script,
        report.seed,
        report.processes,
        report.seconds,
        if known.is_empty() { "nobody for good".to_owned() } else { known.join("; ") },
        report.received,
    );
    if let Some(budget) = &report.share {
        let max_sum = budget.line.iter().map(|(_, sum, _)| *sum).fold(0.0, f64::max);
        text += &format!(
            "shared     {:.1} % of {:.0} a second; parts as told sum to {max_sum:.1} at most; {} in work at once of {}\n",
            budget.used * 100.0,
            budget.whole,
            budget.open.0,
            budget.open.1,
        );
        text += &format_timeline(budget);
    }
    text += &format_violations(&report.broken);
    for crashed in &report.crashed {
        text += &format!("crashed: {crashed}\n");
    }
    text
}

/// Formats, for each second, the sum of the shares as a bar relative to the limit and the request rate that the
/// endpoints received. A bar that reaches the `|` has used the limit up; the rest of it exceeds the limit.
fn format_timeline(budget: &BudgetReport) -> String {
    let width = 50.0;
    let mut text = String::new();
    let last = budget.line.last().map_or(0.0, |(at, ..)| *at) as u64;
    for second in 0..=last {
        let samples: Vec<&(f64, f64, f64)> =
            budget.line.iter().filter(|(at, ..)| *at as u64 == second).collect();
        if samples.is_empty() {
            continue;
        }
        let mean = |value: fn(&(f64, f64, f64)) -> f64| {
            samples.iter().map(|sample| value(sample)).sum::<f64>() / samples.len() as f64
        };
        let (shares, rate) = (mean(|sample| sample.1), mean(|sample| sample.2));
        let bar_length = (shares / budget.whole.max(1e-9) * width).clamp(0.0, width * 1.2) as usize;
        let bar =
            format!("{:<50}|{}", "#".repeat(bar_length.min(50)), "#".repeat(bar_length.saturating_sub(50)));
        text += &format!("{second:>4} s  {bar} parts {shares:6.1}  received {rate:6.1} a second\n");
    }
    text
}

/// Runs all seeds of all scripts on the virtual clock and prints the reports. Returns the number of fleets that
/// violated an invariant.
fn run_emulated(
    names: &[String],
    members: Option<usize>,
    seeds: RangeInclusive<u64>,
    jobs: usize,
    options: ProtocolOptions,
    json: bool,
) -> Result<usize, Box<dyn Error>> {
    let scripts = names.iter().map(|name| Script::find(name)).collect::<Result<Vec<_>, _>>()?;
    let seed_count = seeds.end() - seeds.start() + 1;
    let total = seed_count.checked_mul(scripts.len() as u64).ok_or("too many seeds")?;
    let style = ProgressStyle::with_template("{pos}/{len} fleets, {eta} left")?;
    let bar = ProgressBar::new(total).with_style(style);
    let next = AtomicU64::new(0);
    let reports: Mutex<Vec<(usize, f64, FleetReport)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= total {
                        return;
                    }
                    let (script, seed) = ((index / seed_count) as usize, seeds.start() + index % seed_count);
                    // Wall-clock time that a core spent on this fleet, for the printed table only.
                    #[allow(clippy::disallowed_methods)]
                    let started = Instant::now();
                    let plan = Plan::draw(&scripts[script], seed, members);
                    let run = FleetRun::new(plan, options.membership);
                    let report = run.divided(options.divide, options.budget).play(false);
                    #[allow(clippy::disallowed_methods)]
                    let elapsed_s = started.elapsed().as_secs_f64();
                    bar.inc(1);
                    if bar.is_hidden() && bar.position().is_multiple_of(500) {
                        eprintln!("{} of {total} fleets", bar.position());
                    }
                    reports.lock().unwrap_or_else(PoisonError::into_inner).push((script, elapsed_s, report));
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    reports.sort_by_key(|(script, _, report)| (*script, report.seed));
    if json {
        for (.., report) in &reports {
            println!("{}", serde_json::to_string(report)?);
        }
    } else {
        println!(
            "{:<22} {:>7} {:>6} {:>22} {:>15} {:>16} {:>9} {:>9} {:>7}",
            "script",
            "members",
            "seeds",
            "gone known p50/p99 s",
            "wronged a m-h",
            "equal p50/p99 s",
            "bytes/s",
            "us/s",
            "broken"
        );
        for (i, name) in names.iter().enumerate() {
            let script_reports: Vec<&(usize, f64, FleetReport)> =
                reports.iter().filter(|(s, ..)| *s == i).collect();
            println!("{}", format_row(name, &script_reports));
        }
        print!("{}", format_budgets(names, &reports));
    }
    let failed: Vec<&FleetReport> =
        reports.iter().map(|(.., report)| report).filter(|report| !report.broken.is_empty()).collect();
    for report in failed.iter().take(20) {
        for violation in report.broken.iter().take(3) {
            println!("{} seed {}: {violation}", report.script, report.seed);
        }
    }
    println!("{} fleets played, {} with a broken rule", reports.len(), failed.len());
    Ok(failed.len())
}

/// Returns the quantile `fraction` of the values by nearest rank, or `None` without values. Sorts the values.
fn quantile(values: &mut [f64], fraction: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * fraction).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(index).copied()
}

/// Formats median and 99th percentile.
fn format_quantiles(values: &mut [f64]) -> String {
    match (quantile(values, 0.5), quantile(values, 0.99)) {
        (Some(median), Some(p99)) => format!("{median:.2}/{p99:.2}"),
        _ => "-".to_owned(),
    }
}

/// Formats the table row of a script.
fn format_row(name: &str, script_reports: &[&(usize, f64, FleetReport)]) -> String {
    let reports = || script_reports.iter().map(|(.., report)| report);
    let mut first: Vec<f64> = reports().flat_map(|r| r.known_s.iter().map(|k| k.0)).collect();
    let mut known: Vec<f64> = reports().flat_map(|r| r.known_s.iter().map(|k| k.1)).collect();
    let mut equal: Vec<f64> = reports().filter_map(|r| r.equal_s).collect();
    let never = script_reports.len() - equal.len();
    let hours: f64 = reports().map(|r| r.member_hours).sum::<f64>().max(f64::MIN_POSITIVE);
    let (suspected, dead) = reports().fold((0, 0), |sum, r| (sum.0 + r.wronged.0, sum.1 + r.wronged.1));
    let member_seconds: f64 = hours * 3600.0;
    let bytes: f64 = reports().map(|r| r.bytes_s * r.member_hours).sum::<f64>() / hours;
    let us_per_member_second: f64 =
        script_reports.iter().map(|(_, elapsed_s, _)| elapsed_s).sum::<f64>() / member_seconds * 1e6;
    let failure_count = reports().filter(|r| !r.broken.is_empty()).count();
    let members = reports().map(|r| r.members).max().unwrap_or(0);
    let first = quantile(&mut first, 0.5).map_or("-".to_owned(), |s| format!("{s:.2}"));
    let equal =
        format_quantiles(&mut equal) + &if never > 0 { format!(" ({never} never)") } else { String::new() };
    format!(
        "{name:<22} {members:>7} {:>6} {:>22} {:>15} {equal:>16} {bytes:>9.0} {us_per_member_second:>9.0} {failure_count:>7}",
        script_reports.len(),
        format!("{first}, {}", format_quantiles(&mut known)),
        format!("{:.1}, {:.1}", suspected as f64 / hours, dead as f64 / hours),
    )
}

/// Formats a table of the shared budgets, empty if no script has one.
fn format_budgets(names: &[String], reports: &[(usize, f64, FleetReport)]) -> String {
    let mut text = String::new();
    for (i, name) in names.iter().enumerate() {
        let script_reports = reports.iter().filter(|(script, ..)| *script == i);
        let budgets: Vec<&ShareReport> =
            script_reports.filter_map(|(.., report)| report.share.as_ref()).collect();
        if budgets.is_empty() {
            continue;
        }
        if text.is_empty() {
            text = format!(
                "{:<24} {:>6} {:>18} {:>18} {:>12} {:>7} {:>9} {:>8} {:>9}\n",
                "shared",
                "used",
                "(least, most)",
                "moved p50/p99 s",
                "Jain",
                "most",
                "bytes/s",
                "msgs/s",
                "elections"
            );
        }
        let mean = |value: fn(&ShareReport) -> f64| {
            budgets.iter().map(|r| value(r)).sum::<f64>() / budgets.len() as f64
        };
        let range = |value: fn(&ShareReport) -> f64| {
            budgets.iter().map(|r| value(r)).fold((f64::MAX, 0.0f64), |(lo, hi), x| (lo.min(x), hi.max(x)))
        };
        let (min, max) = range(|r| r.used);
        let mut moved: Vec<f64> = budgets.iter().flat_map(|r| r.moved_s.iter().copied()).collect();
        text += &format!(
            "{name:<24} {:>6.3} {:>18} {:>18} {:>12.3} {:>7.3} {:>9.0} {:>8.1} {:>9.1}\n",
            mean(|r| r.used),
            format!("({min:.3}, {max:.3})"),
            format_quantiles(&mut moved),
            mean(|r| r.jain),
            range(|r| r.most).1,
            mean(|r| r.bytes_s),
            mean(|r| r.messages_s),
            mean(|r| r.elections as f64),
        );
    }
    text
}

/// Runs a small fleet until Ctrl-C. With 3 or more processes, 3 of them are voters and the plan's log is bootstrapped
/// after 3 s.
fn run_until_interrupted(processes: usize, program: PathBuf) -> Result<ExitCode, Box<dyn Error>> {
    let mut script = Script::find("calm")?;
    script.fleet.name = "up".into();
    script.fleet.start = Time(0.0, 0.0);
    script.fleet.seeds = Span(2.0, 2.0);
    if processes >= 3 {
        let text =
            "[fleet]\n[fleet.plan]\nkeepers = 3\n[[word]]\nsay = \"refound\"\nat = \"3s\"\ndoor = \"m1\"\n";
        let planned = Script::parse(text, "up")?;
        (script.fleet.plan, script.words) = (planned.fleet.plan, planned.words);
    }
    let plan = Plan::draw(&script, 1, Some(processes));
    let stop = Arc::new(AtomicBool::new(false));
    let interrupted = stop.clone();
    ctrlc::set_handler(move || interrupted.store(true, Ordering::SeqCst))?;
    let options = Options { program, logs: None, endpoints: 3, stop: Some(stop) };
    let (terminal, mut last, mut drawn_lines) = (std::io::stdout().is_terminal(), Duration::ZERO, 0);
    println!(
        "a fleet of {processes} with stand-ins; {:.0} requests a second each; Ctrl-C ends it",
        plan.load
    );
    let mut show = |at: Duration, lines: &[String], requests: Outcomes| {
        let interval = Duration::from_secs(if terminal { 1 } else { 5 });
        if at < last + interval || lines.iter().all(String::is_empty) {
            return;
        }
        last = at;
        if terminal && drawn_lines > 0 {
            print!("\x1b[{drawn_lines}A\x1b[J");
        }
        println!("{:.0} s  {requests}", at.as_secs_f64());
        for line in lines {
            println!("  {line}");
        }
        drawn_lines = lines.len() + 1;
    };
    let report = cometcroft_rig::run(&plan, &options, &mut show)?;
    print!("{}", format_violations(&report.broken));
    let passed = report.broken.is_empty() && report.crashed.is_empty();
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
