//! Runs sidecars under faults in the delivery of endpoint lists, and prints what broke the drain rule.
#![forbid(unsafe_code)]

use clap::Parser;
use cometcroft_listfaults::planner::Deliveries;
use cometcroft_listfaults::{Error, Options, Report, run};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code of options that make no sense.
const BAD_OPTIONS: u8 = 2;
const MAX_SIDECARS: usize = 300;
const MAX_ENDPOINTS: usize = 10_000;
const MAX_SECONDS: u64 = 600;
const MAX_GRACE_MS: u64 = 10_000;
const MAX_RATE: f64 = 1_000.0;

/// Real sidecars under faults in the delivery of long endpoint lists; exit code 1 if a rule was broken.
#[derive(Parser)]
#[command(name = "cometcroft-listfaults", version)]
struct Cli {
    /// For everything that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Sidecar processes.
    #[arg(long, default_value_t = 10)]
    sidecars: usize,
    /// Endpoints, each with a listening socket of its own.
    #[arg(long, default_value_t = 3200)]
    endpoints: usize,
    /// Length of the load.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// The sidecar's program; if not given, `cometcroft` beside this one.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// The grace in the settings.
    #[arg(long, default_value_t = 250)]
    grace_ms: u64,
    /// Requests a second at each sidecar.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// Let sidecars probe endpoints; a probe is held to the rule like a request.
    #[arg(long)]
    probes: bool,
    /// Write every answer at once and whole.
    #[arg(long)]
    no_faults: bool,
    /// Send one request late on purpose, to see that the judge finds it.
    #[arg(long)]
    inject_late_send: bool,
}

impl Cli {
    fn program(&self) -> Result<PathBuf, Error> {
        let beside = || std::env::current_exe().map(|own| own.with_file_name("cometcroft"));
        let program = self.program.clone().map_or_else(beside, Ok)?;
        if !program.is_file() {
            return Err(refusal("program", format!("{} is no file", program.display())));
        }
        Ok(program)
    }

    fn options(&self) -> Result<Options, Error> {
        check("sidecars", self.sidecars, 1, MAX_SIDECARS)?;
        check("endpoints", self.endpoints, 1, MAX_ENDPOINTS)?;
        check("seconds", self.seconds, 1, MAX_SECONDS)?;
        check("grace-ms", self.grace_ms, 1, MAX_GRACE_MS)?;
        check("rate", self.rate, 0.1, MAX_RATE)?;
        Ok(Options {
            program: self.program()?,
            seed: self.seed,
            sidecars: self.sidecars,
            endpoints: self.endpoints,
            length: Duration::from_secs(self.seconds),
            grace: Duration::from_millis(self.grace_ms),
            rate: self.rate,
            probes: self.probes,
            deliveries: if self.no_faults { Deliveries::Plain } else { Deliveries::Drawn },
            events: None,
            inject_late_send: self.inject_late_send,
        })
    }
}

fn check<T: PartialOrd + std::fmt::Display>(
    option: &'static str,
    value: T,
    least: T,
    most: T,
) -> Result<(), Error> {
    if (&least..=&most).contains(&&value) {
        return Ok(());
    }
    Err(refusal(option, format!("must be between {least} and {most}, not {value}")))
}

fn refusal(option: &'static str, reason: String) -> Error {
    Error::Option { option, reason }
}

fn exit_code(report: &Report) -> ExitCode {
    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn main() -> ExitCode {
    match Cli::parse().options().and_then(|options| run(&options)) {
        Ok(report) => {
            print!("{report}");
            exit_code(&report)
        }
        Err(error) => {
            eprintln!("cometcroft-listfaults: {error}");
            let bad = matches!(error, Error::Option { .. });
            if bad { ExitCode::from(BAD_OPTIONS) } else { ExitCode::FAILURE }
        }
    }
}
