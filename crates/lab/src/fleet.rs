//! `fleet`: fleets under scripts of faults, on the virtual clock and on real processes.

use clap::{Subcommand, ValueEnum};
use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_emulator::share::{Divide, ShareReport};
use cometcroft_membership::Features;
use cometcroft_rig::{BudgetReport, Options, Outcomes, RigReport};
use cometcroft_script::{Broken, Plan, SHIPPED, Script};
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
        /// The one to print.
        name: Option<String>,
    },
    /// Run a script on real processes; exit code 1 if a rule was broken.
    Run {
        /// A shipped script's name or a file.
        script: String,
        /// Processes, in place of the script's number.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=48))]
        processes: Option<u16>,
        /// The seed; if not given, the one that the script names, or 1.
        #[arg(long)]
        seed: Option<u64>,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
        /// Keep the processes' logs in this folder.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// Draw a shared budget's time line into this SVG file.
        #[arg(long, value_name = "FILE")]
        chart: Option<PathBuf>,
        /// The program; if not given, `cometcroft` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Play a script on the virtual clock, under many seeds; exit code 1 if a rule was broken.
    Play {
        /// Shipped scripts' names or files; `all` for every shipped one.
        #[arg(required = true)]
        scripts: Vec<String>,
        /// Members, in place of the script's number.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=4000))]
        members: Option<u16>,
        /// Seeds, as A..B (both are played).
        #[arg(long, value_parser = crate::seeds, default_value = "1..1")]
        seeds: RangeInclusive<u64>,
        /// Fleets played side by side.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
        /// Leave a part of the protocol out.
        #[arg(long, value_parser = part)]
        without: Vec<Part>,
        /// Who divides a shared budget: leases, the number of members for good, or how many each sees at work.
        #[arg(long, value_enum, default_value_t = By::Lease)]
        divide: By,
        /// Print every report as a line of JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play whole days twice, with sidecars of the first tier that know of one another and without; tell what differs.
    Days {
        /// Scenarios, as `scenarios` lists them, or files.
        #[arg(required = true)]
        scenarios: Vec<String>,
        /// Seeds, as A..B (both are played).
        #[arg(long, value_parser = crate::seeds, default_value = "1..10")]
        seeds: RangeInclusive<u64>,
        /// Days played side by side.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
    },
    /// Start a small fleet with stand-ins and a steady load, and show it until Ctrl-C.
    Up {
        /// Processes.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=24))]
        processes: u16,
        /// The program; if not given, `cometcroft` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

/// Who divides a shared budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum By {
    Lease,
    Static,
    View,
}

impl By {
    fn divides(self) -> Divide {
        match self {
            By::Lease => Divide::Lease,
            By::Static => Divide::Static,
            By::View => Divide::View,
        }
    }
}

/// All parts of both protocols.
#[derive(Debug, Clone, Copy, Default)]
struct AtWork {
    member: Features,
    budget: cometcroft_budget::Safeguards,
    divide: Divide,
}

/// A part of a protocol by its name, and what is at work without it.
#[derive(Debug, Clone, Copy)]
pub struct Part(Leave);

type Leave = fn(&mut Features, &mut cometcroft_budget::Safeguards);

const PARTS: &[(&str, Leave)] = &[
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

fn part(text: &str) -> Result<Part, String> {
    let found = PARTS.iter().find(|(name, _)| *name == text);
    let names: Vec<&str> = PARTS.iter().map(|(name, _)| *name).collect();
    found.map(|(_, leave)| Part(*leave)).ok_or_else(|| format!("the parts are {}", names.join(", ")))
}

fn program(said: Option<PathBuf>) -> Result<PathBuf, Box<dyn Error>> {
    let program = match said {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("cometcroft"),
    };
    if program.is_file() {
        return Ok(program);
    }
    Err(format!("{}: no such program; build it, or name it with --program", program.display()).into())
}

pub fn run(command: Fleet) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Fleet::List { name: Some(name) } => {
            let text = SHIPPED.iter().find(|(shipped, _)| *shipped == name);
            print!("{}", text.ok_or_else(|| format!("no script {name:?} comes with the program"))?.1);
            Ok(ExitCode::SUCCESS)
        }
        Fleet::List { name: None } => {
            for (name, text) in SHIPPED {
                println!("{name:<24} {}", text.lines().next().unwrap_or_default().trim_start_matches("# "));
            }
            Ok(ExitCode::SUCCESS)
        }
        Fleet::Run { script, processes, seed, json, logs, chart, program: said } => {
            let script = Script::find(&script)?;
            let seed = seed.or(script.fleet.seed).unwrap_or(1);
            let plan = Plan::draw(&script, seed, processes.map(usize::from));
            let options = Options { program: program(said)?, logs, endpoints: 3, stop: None };
            let report = cometcroft_rig::run(&plan, &options, &mut progress())?;
            if json {
                println!("{}", serde_json::to_string_pretty(&report)?);
            } else {
                print!("{}", told(&report));
            }
            if let Some(file) = chart {
                let share = report.share.as_ref().ok_or("this script shares no budget: nothing to draw")?;
                let title =
                    format!("{}, seed {}, {} processes", report.script, report.seed, report.processes);
                crate::chart::shared(&file, &title, share)?;
            }
            let sound = report.broken.is_empty() && report.crashed.is_empty() && report.equal_s.is_some();
            Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Fleet::Play { scripts, members, seeds, jobs, without, divide, json } => {
            let mut parts = AtWork { divide: divide.divides(), ..AtWork::default() };
            for Part(leave) in without {
                leave(&mut parts.member, &mut parts.budget);
            }
            let names: Vec<String> = match scripts.iter().any(|name| name == "all") {
                true => SHIPPED.iter().map(|(name, _)| (*name).to_owned()).collect(),
                false => scripts,
            };
            let broken = play(&names, members.map(usize::from), seeds, usize::from(jobs), parts, json)?;
            Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Fleet::Days { scenarios, seeds, jobs } => {
            let broken = crate::days::run(&scenarios, seeds, usize::from(jobs))?;
            Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Fleet::Up { processes, program: said } => up(usize::from(processes), program(said)?),
    }
}

/// A line now and then while a script runs: the time and how the requests went.
fn progress() -> impl FnMut(Duration, &[String], Outcomes) {
    let mut last = Duration::ZERO;
    move |at, lines, requests| {
        if at >= last + Duration::from_secs(2) {
            last = at;
            let alive = lines.iter().filter(|line| !line.is_empty()).count();
            eprintln!("{:6.1} s  {alive} members heard, {requests}", at.as_secs_f64());
        }
    }
}

fn broken(all: &[Broken]) -> String {
    all.iter().map(|broken| format!("broken: {broken}\n")).collect()
}

fn told(report: &RigReport) -> String {
    let (requests, known) = (report.requests, &report.known_s);
    let known: Vec<String> =
        known.iter().map(|(first, all)| format!("first {first:.2} s, all {all:.2} s")).collect();
    let equal = report.equal_s.map_or("never".to_owned(), |s| format!("{s:.2} s after the last act"));
    let (passed, bytes, lost) = report.datagrams;
    let mut text = format!(
        "script     {} (seed {}, {} processes, {:.1} s)\nknown gone {}\nviews      equal {equal}\nrequests   {requests}; \
         {} received by backend servers\ndatagrams  {passed} passed on ({bytes} \
         bytes), {lost} lost on purpose\n",
        report.script,
        report.seed,
        report.processes,
        report.seconds,
        if known.is_empty() { "nobody for good".to_owned() } else { known.join("; ") },
        report.received,
    );
    if let Some(share) = &report.share {
        let most = share.line.iter().map(|(_, sum, _)| *sum).fold(0.0, f64::max);
        text += &format!(
            "shared     {:.1} % of {:.0} a second; parts as told sum to {most:.1} at most; {} in work at once of {}\n",
            share.used * 100.0,
            share.whole,
            share.open.0,
            share.open.1,
        );
        text += &line(share);
    }
    text += &broken(&report.broken);
    for crashed in &report.crashed {
        text += &format!("crashed: {crashed}\n");
    }
    text
}

/// The sum of the parts and what the backend servers received, second by second, against the whole.
fn line(share: &BudgetReport) -> String {
    let width = 50.0;
    let mut text = String::new();
    let last = share.line.last().map_or(0.0, |(at, ..)| *at) as u64;
    for second in 0..=last {
        let of: Vec<&(f64, f64, f64)> = share.line.iter().filter(|(at, ..)| *at as u64 == second).collect();
        if of.is_empty() {
            continue;
        }
        let mean =
            |pick: fn(&(f64, f64, f64)) -> f64| of.iter().map(|l| pick(l)).sum::<f64>() / of.len() as f64;
        let (parts, rate) = (mean(|l| l.1), mean(|l| l.2));
        let bar = (parts / share.whole.max(1e-9) * width).clamp(0.0, width * 1.2) as usize;
        let bar = format!("{:<50}|{}", "#".repeat(bar.min(50)), "#".repeat(bar.saturating_sub(50)));
        text += &format!("{second:>4} s  {bar} parts {parts:6.1}  received {rate:6.1} a second\n");
    }
    text
}

/// Plays all seeds of all scripts; how many broke a rule.
fn play(
    names: &[String],
    members: Option<usize>,
    seeds: RangeInclusive<u64>,
    jobs: usize,
    parts: AtWork,
    json: bool,
) -> Result<usize, Box<dyn Error>> {
    let scripts = names.iter().map(|name| Script::find(name)).collect::<Result<Vec<_>, _>>()?;
    let each = seeds.end() - seeds.start() + 1;
    let all = each.checked_mul(scripts.len() as u64).ok_or("too many seeds")?;
    let style = ProgressStyle::with_template("{pos}/{len} fleets, {eta} left")?;
    let bar = ProgressBar::new(all).with_style(style);
    let next = AtomicU64::new(0);
    let reports: Mutex<Vec<(usize, f64, FleetReport)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= all {
                        return;
                    }
                    let (script, seed) = ((n / each) as usize, seeds.start() + n % each);
                    // How long a core was at it, for the report alone.
                    #[allow(clippy::disallowed_methods)]
                    let began = Instant::now();
                    let plan = Plan::draw(&scripts[script], seed, members);
                    let run = FleetRun::new(plan, parts.member);
                    let report = run.divided(parts.divide, parts.budget).play(false);
                    #[allow(clippy::disallowed_methods)]
                    let took = began.elapsed().as_secs_f64();
                    bar.inc(1);
                    if bar.is_hidden() && bar.position().is_multiple_of(500) {
                        eprintln!("{} of {all} fleets", bar.position());
                    }
                    reports.lock().unwrap_or_else(PoisonError::into_inner).push((script, took, report));
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
            let of: Vec<&(usize, f64, FleetReport)> = reports.iter().filter(|(s, ..)| *s == i).collect();
            println!("{}", row(name, &of));
        }
        print!("{}", shares(names, &reports));
    }
    let failed: Vec<&FleetReport> =
        reports.iter().map(|(.., report)| report).filter(|report| !report.broken.is_empty()).collect();
    for report in failed.iter().take(20) {
        for found in report.broken.iter().take(3) {
            println!("{} seed {}: {found}", report.script, report.seed);
        }
    }
    println!("{} fleets played, {} with a broken rule", reports.len(), failed.len());
    Ok(failed.len())
}

/// The value that this share of sorted values does not exceed.
fn quantile(values: &mut [f64], share: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let at = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(at).copied()
}

fn pair(values: &mut [f64]) -> String {
    match (quantile(values, 0.5), quantile(values, 0.99)) {
        (Some(half), Some(most)) => format!("{half:.2}/{most:.2}"),
        _ => "-".to_owned(),
    }
}

fn row(name: &str, of: &[&(usize, f64, FleetReport)]) -> String {
    let reports = || of.iter().map(|(.., report)| report);
    let mut first: Vec<f64> = reports().flat_map(|r| r.known_s.iter().map(|k| k.0)).collect();
    let mut known: Vec<f64> = reports().flat_map(|r| r.known_s.iter().map(|k| k.1)).collect();
    let mut equal: Vec<f64> = reports().filter_map(|r| r.equal_s).collect();
    let never = of.len() - equal.len();
    let hours: f64 = reports().map(|r| r.member_hours).sum::<f64>().max(f64::MIN_POSITIVE);
    let (suspected, gone) = reports().fold((0, 0), |all, r| (all.0 + r.wronged.0, all.1 + r.wronged.1));
    let lived: f64 = hours * 3600.0;
    let bytes: f64 = reports().map(|r| r.bytes_s * r.member_hours).sum::<f64>() / hours;
    let work: f64 = of.iter().map(|(_, took, _)| took).sum::<f64>() / lived * 1e6;
    let broken = reports().filter(|r| !r.broken.is_empty()).count();
    let members = reports().map(|r| r.members).max().unwrap_or(0);
    let first = quantile(&mut first, 0.5).map_or("-".to_owned(), |s| format!("{s:.2}"));
    let equal = pair(&mut equal) + &if never > 0 { format!(" ({never} never)") } else { String::new() };
    format!(
        "{name:<22} {members:>7} {:>6} {:>22} {:>15} {equal:>16} {bytes:>9.0} {work:>9.0} {broken:>7}",
        of.len(),
        format!("{first}, {}", pair(&mut known)),
        format!("{:.1}, {:.1}", suspected as f64 / hours, gone as f64 / hours),
    )
}

/// What shared budgets came to, if any script has one.
fn shares(names: &[String], reports: &[(usize, f64, FleetReport)]) -> String {
    let mut text = String::new();
    for (i, name) in names.iter().enumerate() {
        let of = reports.iter().filter(|(script, ..)| *script == i);
        let of: Vec<&ShareReport> = of.filter_map(|(.., report)| report.share.as_ref()).collect();
        if of.is_empty() {
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
        let mean = |pick: fn(&ShareReport) -> f64| of.iter().map(|r| pick(r)).sum::<f64>() / of.len() as f64;
        let ends = |pick: fn(&ShareReport) -> f64| {
            of.iter().map(|r| pick(r)).fold((f64::MAX, 0.0f64), |(lo, hi), x| (lo.min(x), hi.max(x)))
        };
        let (least, greatest) = ends(|r| r.used);
        let mut moved: Vec<f64> = of.iter().flat_map(|r| r.moved_s.iter().copied()).collect();
        text += &format!(
            "{name:<24} {:>6.3} {:>18} {:>18} {:>12.3} {:>7.3} {:>9.0} {:>8.1} {:>9.1}\n",
            mean(|r| r.used),
            format!("({least:.3}, {greatest:.3})"),
            pair(&mut moved),
            mean(|r| r.jain),
            ends(|r| r.most).1,
            mean(|r| r.bytes_s),
            mean(|r| r.messages_s),
            mean(|r| r.elections as f64),
        );
    }
    text
}

/// A small fleet that stays until Ctrl-C.
fn up(processes: usize, program: PathBuf) -> Result<ExitCode, Box<dyn Error>> {
    let mut script = Script::find("calm")?;
    script.fleet.name = "up".into();
    script.fleet.start = Time(0.0, 0.0);
    script.fleet.seeds = Span(2.0, 2.0);
    if processes >= 3 {
        let word =
            "[fleet]\n[fleet.plan]\nkeepers = 3\n[[word]]\nsay = \"refound\"\nat = \"3s\"\ndoor = \"m1\"\n";
        let planned = Script::parse(word, "up")?;
        (script.fleet.plan, script.words) = (planned.fleet.plan, planned.words);
    }
    let plan = Plan::draw(&script, 1, Some(processes));
    let stop = Arc::new(AtomicBool::new(false));
    let told = stop.clone();
    ctrlc::set_handler(move || told.store(true, Ordering::SeqCst))?;
    let options = Options { program, logs: None, endpoints: 3, stop: Some(stop) };
    let (terminal, mut last, mut drawn) = (std::io::stdout().is_terminal(), Duration::ZERO, 0);
    println!(
        "a fleet of {processes} with stand-ins; {:.0} requests a second each; Ctrl-C ends it",
        plan.load
    );
    let mut show = |at: Duration, lines: &[String], requests: Outcomes| {
        let wait = Duration::from_secs(if terminal { 1 } else { 5 });
        if at < last + wait || lines.iter().all(String::is_empty) {
            return;
        }
        last = at;
        if terminal && drawn > 0 {
            print!("\x1b[{drawn}A\x1b[J");
        }
        println!("{:.0} s  {requests}", at.as_secs_f64());
        for line in lines {
            println!("  {line}");
        }
        drawn = lines.len() + 1;
    };
    let report = cometcroft_rig::run(&plan, &options, &mut show)?;
    print!("{}", broken(&report.broken));
    let sound = report.broken.is_empty() && report.crashed.is_empty();
    Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
