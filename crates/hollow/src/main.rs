//! Runs a hollow fleet and prints what it measured as JSON.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use cometcroft_hollow::{Error, Options, RealOptions, WorkerCommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// The subcommand that makes this program a worker.
const WORKER: &str = "worker";
/// Exit code of options that make no sense.
const BAD_OPTIONS: u8 = 2;

/// A fleet of sidecars without a data plane, many in one process, on real loopback sockets.
#[derive(Parser)]
#[command(name = "cometcroft-hollow", version)]
struct Cli {
    #[command(subcommand)]
    mode: Option<Mode>,
    /// Members of the fleet.
    #[arg(long, default_value_t = 50)]
    members: usize,
    /// Processes that they are divided among.
    #[arg(long, default_value_t = 4)]
    processes: usize,
    /// Members among them that are processes of the real program.
    #[arg(long, default_value_t = 0)]
    real: usize,
    /// The real program; if not given, `cometcroft` beside this one.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Seconds of rest that are measured.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Zones.
    #[arg(long, default_value_t = 1)]
    zones: usize,
    /// Voters of the plan and of the budgets: 3, 5 or 7.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Views have to be equal within so many seconds, or the run goes on and says so.
    #[arg(long, default_value_t = 30)]
    settle_seconds: u64,
    /// Members start at random moments within so many seconds.
    #[arg(long, default_value_t = 0.3)]
    start_spread: f64,
    /// The seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report into this file in place of standard output.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Mode {
    /// Run members for a coordinator on standard input and output.
    #[command(name = WORKER, hide = true)]
    Worker,
}

impl Cli {
    fn options(&self) -> Result<Options, Error> {
        let own = std::env::current_exe()?;
        let program = self.program.clone().unwrap_or_else(|| own.with_file_name("cometcroft"));
        let worker = WorkerCommand { program: own, arguments: vec![WORKER.to_owned()] };
        Ok(Options {
            real: (self.real > 0).then_some(RealOptions { count: self.real, program }),
            zones: self.zones,
            voters: self.voters,
            rest_seconds: self.seconds,
            settle_seconds: self.settle_seconds,
            start_spread_seconds: self.start_spread,
            seed: self.seed,
            ..Options::new(self.members, self.processes, worker)
        })
    }

    fn run(&self) -> Result<(), Error> {
        if let Some(Mode::Worker) = self.mode {
            return cometcroft_hollow::work();
        }
        let report = cometcroft_hollow::run(&self.options()?)?;
        let text = serde_json::to_string_pretty(&report).map_err(std::io::Error::from)?;
        match &self.out {
            Some(file) => std::fs::write(file, text + "\n")?,
            None => println!("{text}"),
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    match Cli::parse().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ Error::Option { .. }) => {
            eprintln!("cometcroft-hollow: --{error}");
            ExitCode::from(BAD_OPTIONS)
        }
        Err(error) => {
            eprintln!("cometcroft-hollow: {error}");
            ExitCode::FAILURE
        }
    }
}
