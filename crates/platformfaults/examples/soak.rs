//! Plays runs of every fault class under a range of seeds: `soak FROM..TO [CLASS [FACTOR]]`; each finding is one line. With
//! `SOAK_COUNTERS` set the sidecar's counters are printed too.

use cometcroft_platformfaults::judge::judge;
use cometcroft_platformfaults::scenario::{Scenario, play};
use cometcroft_platformfaults::{FaultClass, Plan};
use std::process::ExitCode;

/// All classes, and the sidecar is told to leave meanwhile.
const LEAVING: &str = "Leaving";

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let range = arguments.next().unwrap_or_else(|| "1..4".to_owned());
    let only = arguments.next().filter(|only| only != "-");
    let factor = arguments.next().and_then(|factor| factor.parse().ok()).unwrap_or(1.0);
    let bound = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
    let mut bounds = range.split("..");
    let (Some(from), Some(to)) = (bound(bounds.next()), bound(bounds.next())) else {
        eprintln!("soak: {range:?} is no range of seeds");
        return ExitCode::from(2);
    };
    let mut sets: Vec<(String, Vec<FaultClass>)> =
        FaultClass::ALL.iter().map(|&class| (format!("{class:?}"), vec![class])).collect();
    sets.push(("All".to_owned(), FaultClass::ALL.to_vec()));
    sets.push((LEAVING.to_owned(), FaultClass::ALL.to_vec()));
    sets.push(("None".to_owned(), Vec::new()));
    let mut broken = 0;
    for seed in from..to {
        for (name, classes) in sets.iter().filter(|(name, _)| only.as_ref().is_none_or(|only| only == name)) {
            let plan = Plan::of(classes, seed).scaled(factor);
            let scenario = if name == LEAVING { Scenario::leaving(plan) } else { Scenario::long(plan) };
            let observed = match play(&scenario) {
                Ok(observed) => observed,
                Err(error) => {
                    eprintln!("soak: seed {seed} {name}: {error}");
                    return ExitCode::FAILURE;
                }
            };
            let verdict = judge(&observed);
            println!("seed {seed} {name}: {:?}", verdict.figures);
            if std::env::var_os("SOAK_COUNTERS").is_some() {
                println!("  counters {}", observed.counters);
            }
            for finding in &verdict.findings {
                broken += 1;
                println!("  {finding}");
            }
        }
    }
    println!("{broken} findings");
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
