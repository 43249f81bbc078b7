//! Runs the scripts of the moments at several fleet sizes, several fleets in parallel.

use super::record;
use cometcroft_capacity::data::{Dataset, FleetRecord, Moment};
use cometcroft_emulator::fleet::FleetRun;
use cometcroft_membership::Features;
use cometcroft_script::{Plan, Script};
use std::error::Error;
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Fleets to measure: every combination of size, moment and seed.
pub struct Request {
    /// Numbers of members.
    pub sizes: Vec<usize>,
    /// Seeds of each combination of size and moment.
    pub seeds: RangeInclusive<u64>,
    /// Moments whose scripts the fleets run.
    pub moments: Vec<Moment>,
    /// Number of fleets run in parallel.
    pub jobs: usize,
}

/// The run of one fleet.
struct Job<'a> {
    moment: Moment,
    script: &'a Script,
    members: usize,
    seed: u64,
}

/// Runs all fleets of a request, with the scripts in `directory`.
pub fn run(request: &Request, directory: &Path) -> Result<Dataset, Box<dyn Error>> {
    let scripts = request.moments.iter().map(|moment| load_script(directory, *moment));
    let scripts: Vec<(Moment, Script)> = scripts.collect::<Result<_, Box<dyn Error>>>()?;
    let jobs = jobs(request, &scripts);
    let (next, records) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..request.jobs {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let record = run_job(job);
                    eprintln!("{} of {} members, seed {}: finished", job.moment, job.members, job.seed);
                    records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
                }
            });
        }
    });
    let fleets = records.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut dataset = Dataset { fleets, ..Dataset::default() };
    dataset.sort();
    Ok(dataset)
}

fn load_script(directory: &Path, moment: Moment) -> Result<(Moment, Script), Box<dyn Error>> {
    let path = directory.join(format!("{}.toml", moment.name()));
    let script = Script::find(&path.to_string_lossy())?;
    Ok((moment, script))
}

/// Returns the runs of all fleets of a request, in the order of the given sizes.
fn jobs<'a>(request: &Request, scripts: &'a [(Moment, Script)]) -> Vec<Job<'a>> {
    let mut jobs = Vec::new();
    for &members in &request.sizes {
        for (moment, script) in scripts {
            for seed in request.seeds.clone() {
                jobs.push(Job { moment: *moment, script, members, seed });
            }
        }
    }
    jobs
}

fn run_job(job: &Job) -> FleetRecord {
    let plan = Plan::draw(job.script, job.seed, Some(job.members));
    let report = FleetRun::new(plan, Features::default()).play(false);
    record::from_report(job.moment, &report)
}
