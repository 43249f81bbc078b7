//! How a run is set up.

use crate::error::Error;
use std::path::PathBuf;

/// Numbers of voters that a log can have.
const VOTER_COUNTS: [usize; 3] = [3, 5, 7];
/// A member knows no more than this many others unless its file says so.
const MAX_MEMBERS: usize = 4096;
const MAX_ZONES: usize = 256;
/// Shorter than two windows says nothing of a window; longer holds the machine for too long.
const REST_SECONDS: std::ops::RangeInclusive<u64> = 1..=600;
const SETTLE_SECONDS: std::ops::RangeInclusive<u64> = 1..=600;
const MAX_START_SPREAD_SECONDS: f64 = 600.0;

/// The command that starts a worker process: a program that calls [`crate::work`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCommand {
    /// The program.
    pub program: PathBuf,
    /// What makes it a worker.
    pub arguments: Vec<String>,
}

/// Real sidecars among the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RealOptions {
    /// How many.
    pub count: usize,
    /// The program of the sidecar.
    pub program: PathBuf,
}

/// A run of a hollow fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// Members of the fleet.
    pub members: usize,
    /// Those of them that are processes of the real program, if any.
    pub real: Option<RealOptions>,
    /// Worker processes that the hollow ones are divided among.
    pub processes: usize,
    /// Zones, each with about as many members.
    pub zones: usize,
    /// Voters of the plan and of the budgets; 3, 5 or 7.
    pub voters: usize,
    /// Seconds of rest that are measured.
    pub rest_seconds: u64,
    /// All views have to be equal within so many seconds of the start; otherwise the run goes on and says so.
    pub settle_seconds: u64,
    /// Members start at random moments within so many seconds.
    pub start_spread_seconds: f64,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// How workers are started.
    pub worker: WorkerCommand,
}

impl Options {
    /// A run with the usual times and seed.
    pub fn new(members: usize, processes: usize, worker: WorkerCommand) -> Options {
        Options {
            members,
            real: None,
            processes,
            zones: 1,
            voters: 3,
            rest_seconds: 30,
            settle_seconds: 30,
            start_spread_seconds: 0.3,
            seed: 1,
            worker,
        }
    }

    /// Whether the options make sense by themselves; [`crate::Limits`] hold them against the machine.
    pub fn check(&self) -> Result<(), Error> {
        let refuse = |option, reason: String| Err(Error::Option { option, reason });
        if !VOTER_COUNTS.contains(&self.voters) {
            return refuse("voters", format!("must be 3, 5 or 7, not {}", self.voters));
        }
        if !(self.voters..=MAX_MEMBERS).contains(&self.members) {
            let reason = format!(
                "must be between {} (the voters) and {MAX_MEMBERS}, not {}",
                self.voters, self.members
            );
            return refuse("members", reason);
        }
        self.check_real()?;
        let hollow = self.hollow_members();
        if !(1..=hollow).contains(&self.processes) {
            let reason = format!("must be between 1 and {hollow} (hollow members), not {}", self.processes);
            return refuse("processes", reason);
        }
        if !(1..=MAX_ZONES.min(self.members)).contains(&self.zones) {
            let most = MAX_ZONES.min(self.members);
            return refuse("zones", format!("must be between 1 and {most}, not {}", self.zones));
        }
        check_range("seconds", &REST_SECONDS, self.rest_seconds)?;
        check_range("settle-seconds", &SETTLE_SECONDS, self.settle_seconds)?;
        if !(0.0..=MAX_START_SPREAD_SECONDS).contains(&self.start_spread_seconds) {
            let reason = format!(
                "must be between 0 and {MAX_START_SPREAD_SECONDS}, not {}",
                self.start_spread_seconds
            );
            return refuse("start-spread", reason);
        }
        Ok(())
    }

    fn check_real(&self) -> Result<(), Error> {
        let Some(real) = &self.real else { return Ok(()) };
        let most = self.members - self.voters;
        if real.count > most {
            let reason = format!("must be at most {most} (members that are no voters), not {}", real.count);
            return Err(Error::Option { option: "real", reason });
        }
        if !real.program.is_file() {
            let reason = format!("{} is no file", real.program.display());
            return Err(Error::Option { option: "program", reason });
        }
        Ok(())
    }

    /// Members that are processes of the real program.
    pub fn real_members(&self) -> usize {
        self.real.as_ref().map_or(0, |real| real.count)
    }

    /// Members that share worker processes.
    pub fn hollow_members(&self) -> usize {
        self.members.saturating_sub(self.real_members())
    }

    /// Members of the fullest process.
    pub fn members_per_process(&self) -> usize {
        self.hollow_members().div_ceil(self.processes.max(1))
    }
}

fn check_range(option: &'static str, range: &std::ops::RangeInclusive<u64>, given: u64) -> Result<(), Error> {
    if range.contains(&given) {
        return Ok(());
    }
    let reason = format!("must be between {} and {}, not {given}", range.start(), range.end());
    Err(Error::Option { option, reason })
}
