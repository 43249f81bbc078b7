//! Measures the latency that sidecars add to requests and prints a report as JSON.
#![forbid(unsafe_code)]

use clap::Parser;
use cometcroft_latency::{
    AddedLatencyOptions, ChainOptions, Error, Machine, Report, measure_added_latency, measure_chain,
};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code for an invalid option.
const EXIT_INVALID_OPTION: u8 = 2;
const MAX_RATE: f64 = 5_000.0;
const MAX_SECONDS: f64 = 120.0;
const MAX_ROUNDS: usize = 20;
const MAX_DEPTH: usize = 40;
/// Requests per second to a chain.
const CHAIN_RATE: f64 = 50.0;
const CHAIN_SECONDS: f64 = 10.0;
/// Description of the method, which is part of the report.
const METHOD: [&str; 4] = [
    "open loop: a call's latency counts from when it was due; microseconds; added = through the sidecar less direct, by round",
    "one connection a thread, kept between calls; services on one thread beside the load; the machine is shared with other work",
    "a turn is warmed up for 1 s at its rate, which is not counted",
    "chain: each sidecar hands to a service that calls the next with what is left of the budget; one run a case",
];

/// Measures the latency that a real sidecar, and a chain of sidecars, adds to requests.
#[derive(Parser)]
#[command(name = "cometcroft-latency", version)]
struct Cli {
    /// Executable of the sidecar; default: `cometcroft` in the directory of this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Request rates to measure, in requests per second, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [156.0, 1000.0])]
    rates: Vec<f64>,
    /// Number of rounds, each with a direct phase and a phase through the sidecar.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Length of a phase in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Number of sidecars in the chain; 0 skips the chain.
    #[arg(long, default_value_t = 13)]
    depth: usize,
    /// Write the report to this file instead of standard output.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

impl Cli {
    fn program(&self) -> Result<PathBuf, Error> {
        let default_path = || std::env::current_exe().map(|path| path.with_file_name("cometcroft"));
        let program = self.program.clone().map_or_else(default_path, Ok)?;
        if !program.is_file() {
            let reason = format!("{} is not a file", program.display());
            return Err(Error::InvalidOption { option: "program", reason });
        }
        Ok(program)
    }

    fn validate(&self) -> Result<(), Error> {
        let invalid = |option, reason: String| Err(Error::InvalidOption { option, reason });
        if let Some(rate) = self.rates.iter().find(|rate| !(1.0..=MAX_RATE).contains(*rate)) {
            return invalid("rates", format!("must be between 1 and {MAX_RATE}, not {rate}"));
        }
        if !(1..=MAX_ROUNDS).contains(&self.rounds) {
            return invalid("rounds", format!("must be between 1 and {MAX_ROUNDS}, not {}", self.rounds));
        }
        if !(0.1..=MAX_SECONDS).contains(&self.seconds) {
            return invalid(
                "seconds",
                format!("must be between 0.1 and {MAX_SECONDS}, not {}", self.seconds),
            );
        }
        if self.depth > MAX_DEPTH {
            return invalid("depth", format!("must be at most {MAX_DEPTH}, not {}", self.depth));
        }
        Ok(())
    }

    fn run(&self) -> Result<(), Error> {
        self.validate()?;
        let program = self.program()?;
        let load_before = cometcroft_latency::load_average();
        let mut added = Vec::new();
        for &rate in &self.rates {
            let (rounds, seconds) = (self.rounds, self.seconds);
            added.push(measure_added_latency(&AddedLatencyOptions {
                program: program.clone(),
                rate,
                rounds,
                seconds,
            })?);
        }
        let mut chain = Vec::new();
        for options in chain_cases(&program, self.depth) {
            chain.push(measure_chain(&options)?);
        }
        let machine = Machine {
            processors: std::thread::available_parallelism().map_or(0, usize::from),
            load_average: [load_before, cometcroft_latency::load_average()],
        };
        let report = Report { method: METHOD.to_vec(), machine, added, chain };
        let text = serde_json::to_string_pretty(&report).map_err(std::io::Error::from)?;
        match &self.out {
            Some(file) => std::fs::write(file, text + "\n")?,
            None => println!("{text}"),
        }
        Ok(())
    }
}

/// A chain of one sidecar for comparison, the full chain, and the full chain with a last endpoint whose service time is
/// longer than the client's deadline.
fn chain_cases(program: &std::path::Path, depth: usize) -> Vec<ChainOptions> {
    if depth == 0 {
        return Vec::new();
    }
    let case = |case, depth, deadline_ms, service_time_ms| ChainOptions {
        case,
        program: program.to_owned(),
        depth,
        rate: CHAIN_RATE,
        seconds: CHAIN_SECONDS,
        deadline: Duration::from_millis(deadline_ms),
        service_time: Duration::from_millis(service_time_ms),
    };
    vec![
        case("one sidecar", 1, 2000, 0),
        case("at ease", depth, 2000, 0),
        case("the last service is slower than the client waits", depth, 500, 1000),
    ]
}

fn main() -> ExitCode {
    match Cli::parse().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cometcroft-latency: {error}");
            let invalid_option = matches!(error, Error::InvalidOption { .. });
            if invalid_option { ExitCode::from(EXIT_INVALID_OPTION) } else { ExitCode::FAILURE }
        }
    }
}
