//! Plays the moments' scripts at several sizes, several fleets side by side.

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

/// What is to be measured.
pub struct Request {
    /// Members of the fleets.
    pub sizes: Vec<usize>,
    /// Seeds of each.
    pub seeds: RangeInclusive<u64>,
    /// What they go through.
    pub moments: Vec<Moment>,
    /// Fleets side by side.
    pub jobs: usize,
}

/// One fleet to be played.
struct Job<'a> {
    moment: Moment,
    script: &'a Script,
    members: usize,
    seed: u64,
}

/// Plays all fleets of a request, with the scripts of this folder.
pub fn run(request: &Request, folder: &Path) -> Result<Dataset, Box<dyn Error>> {
    let scripts = request.moments.iter().map(|moment| script(folder, *moment));
    let scripts: Vec<(Moment, Script)> = scripts.collect::<Result<_, Box<dyn Error>>>()?;
    let jobs = jobs(request, &scripts);
    let (next, records) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..request.jobs {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let record = play(job);
                    eprintln!("{} of {} members, seed {}: played", job.moment, job.members, job.seed);
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

fn script(folder: &Path, moment: Moment) -> Result<(Moment, Script), Box<dyn Error>> {
    let path = folder.join(format!("{}.toml", moment.name()));
    let script = Script::find(&path.to_string_lossy())?;
    Ok((moment, script))
}

/// All fleets of a request, the small ones first.
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

fn play(job: &Job) -> FleetRecord {
    let plan = Plan::draw(job.script, job.seed, Some(job.members));
    let report = FleetRun::new(plan, Features::default()).play(false);
    record::of(job.moment, &report)
}
