//! `cometcroft-lab`: command line of the emulator and of the rig that runs fleet scripts on real processes.
#![forbid(unsafe_code)]

mod capacity;
mod chart;
mod days;
mod fleet;
mod shrink;
mod swarm;
mod table;

use clap::{Parser, Subcommand};
use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::{Emulator, Report};
use cometcroft_emulator::sabotage::Defect;
use cometcroft_emulator::scenario::{LARGE, SHIPPED, Scenario, ScenarioError};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs complete sidecars on a seeded virtual clock and checks their invariants after every step.
#[derive(Parser)]
#[command(name = "cometcroft-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Options that select the run of a scenario.
#[derive(clap::Args)]
struct RunArgs {
    /// Name of a shipped scenario (see `scenarios`), or a file.
    scenario: String,
    /// Shorten the run to this many virtual seconds; its faults move closer together in proportion.
    #[arg(long, value_name = "SECONDS", value_parser = parse_positive)]
    short: Option<f64>,
    /// Inject a defect into the sidecars of the first tier.
    #[arg(long, value_parser = parse_defect)]
    defect: Option<Defect>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario and print the outcome of its requests.
    Play {
        #[command(flatten)]
        args: RunArgs,
        /// Seed; the scenario's own by default, or 1 if it has none.
        #[arg(long)]
        seed: Option<u64>,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Repeat a run and print its event log, up to a given step.
    Replay {
        #[command(flatten)]
        args: RunArgs,
        /// Seed; the scenario's own by default, or 1 if it has none.
        #[arg(long)]
        seed: Option<u64>,
        /// Stop after this step.
        #[arg(long, value_name = "STEP")]
        until: Option<u64>,
        /// Print only events from this step on.
        #[arg(long, value_name = "STEP", default_value_t = 0)]
        from: u64,
    },
    /// Run many seeds; exit code 1 if any of them violates an invariant.
    Swarm {
        /// Names of shipped scenarios or files; `all` for every shipped scenario.
        #[arg(required = true)]
        scenarios: Vec<String>,
        /// Range of seeds as A..B, both included.
        #[arg(long, value_parser = parse_seeds)]
        seeds: RangeInclusive<u64>,
        /// Number of runs in parallel.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
        /// Shorten each run to this many virtual seconds.
        #[arg(long, value_name = "SECONDS", value_parser = parse_positive)]
        short: Option<f64>,
        /// Inject a defect into the sidecars of the first tier.
        #[arg(long, value_parser = parse_defect)]
        defect: Option<Defect>,
        /// Stop at the first failing seed.
        #[arg(long)]
        first: bool,
    },
    /// Minimise the faults of a failing seed to a script that still violates the same invariant.
    Shrink {
        #[command(flatten)]
        args: RunArgs,
        /// The failing seed.
        #[arg(long)]
        seed: u64,
        /// File to write the minimised scenario to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Run fleets under fault scripts, on the virtual clock or on real processes.
    Fleet {
        #[command(subcommand)]
        command: fleet::Fleet,
    },
    /// Measure fleets of several sizes and generate the page on the needs of the target size.
    Capacity {
        #[command(subcommand)]
        command: capacity::Capacity,
    },
    /// List the shipped scenarios, or print one.
    Scenarios {
        /// Scenario to print.
        name: Option<String>,
    },
}

fn parse_defect(text: &str) -> Result<Defect, String> {
    let names: Vec<String> = Defect::ALL.iter().map(|d| d.name()).collect();
    let index = names.iter().position(|name| name == text);
    index.map(|index| Defect::ALL[index]).ok_or_else(|| format!("the defects are {}", names.join(", ")))
}

fn parse_positive(text: &str) -> Result<f64, String> {
    let value: f64 = text.parse().map_err(|_| format!("{text:?} is not a number"))?;
    if value.is_finite() && value > 0.0 { Ok(value) } else { Err("must be positive".into()) }
}

pub(crate) fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("seeds are written as A..B")?;
    let number = |t: &str| t.parse::<u64>().map_err(|_| format!("{t:?} is not a seed"));
    let (from, to) = (number(from)?, number(to.trim_start_matches('='))?);
    if from <= to {
        Ok(from..=to)
    } else {
        Err("the first seed of the range is greater than the last".into())
    }
}

/// Loads a scenario by name or file, shortened to `short` virtual seconds if given.
pub(crate) fn load_scenario(name: &str, short: Option<f64>) -> Result<Scenario, ScenarioError> {
    let scenario = Scenario::find(name)?;
    Ok(match short {
        Some(seconds) => scenario.shortened(seconds),
        None => scenario,
    })
}

impl RunArgs {
    fn load_scenario(&self) -> Result<Scenario, ScenarioError> {
        load_scenario(&self.scenario, self.short)
    }

    fn draw_run(&self, seed: Option<u64>) -> Result<Day, ScenarioError> {
        let scenario = self.load_scenario()?;
        let seed = seed.or(scenario.day.seed).unwrap_or(1);
        Ok(Day::draw(&scenario, seed))
    }
}

fn exit_code(report: &Report) -> ExitCode {
    if report.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cometcroft-lab: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match command {
        Command::Play { args, seed, json } => {
            let report = Emulator::new(args.draw_run(seed)?, args.defect).play(false);
            if json {
                println!("{}", serde_json::to_string_pretty(&report)?);
            } else {
                print!("{}", table::report(&report));
            }
            Ok(exit_code(&report))
        }
        Command::Replay { args, seed, until, from } => {
            let mut emulator = Emulator::new(args.draw_run(seed)?, args.defect);
            emulator.trace(Box::new(move |step, time_ns, event| {
                if step >= from {
                    println!("{step:>8}  {:>12.6} s  {event}", time_ns as f64 / 1e9);
                }
            }));
            while until.is_none_or(|until| emulator.steps() < until) && emulator.step().is_some() {}
            let report = emulator.report();
            print!("{}", table::violations(&report));
            Ok(exit_code(&report))
        }
        Command::Swarm { scenarios, seeds, jobs, short, defect, first } => {
            let all = scenarios.iter().any(|name| name == "all");
            let names: Vec<String> = match all {
                true => SHIPPED.iter().map(|(name, _)| (*name).to_owned()).collect(),
                false => scenarios,
            };
            let failure_count = swarm::run(&names, seeds, usize::from(jobs), short, defect, first)?;
            Ok(if failure_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Shrink { args, seed, out } => {
            let text = shrink::run(&args.load_scenario()?, seed, args.defect)?;
            std::fs::write(&out, text).map_err(|e| format!("{}: {e}", out.display()))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Fleet { command } => fleet::run(command),
        Command::Capacity { command } => capacity::run(command),
        Command::Scenarios { name: Some(name) } => {
            let text = SHIPPED.iter().chain(LARGE).find(|(shipped, _)| *shipped == name);
            print!("{}", text.ok_or_else(|| format!("{name:?} is not a shipped scenario"))?.1);
            Ok(ExitCode::SUCCESS)
        }
        Command::Scenarios { name: None } => {
            for (name, text) in SHIPPED.iter().chain(LARGE) {
                println!("{name:<16} {}", text.lines().next().unwrap_or_default().trim_start_matches("# "));
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}
