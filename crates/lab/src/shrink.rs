//! Minimises the faults of a run to a subset that still violates the same invariant (delta debugging, Zeller and
//! Hildebrandt 2002).

use cometcroft_emulator::day::{Day, Fault};
use cometcroft_emulator::emulator::Emulator;
use cometcroft_emulator::judge::Rule;
use cometcroft_emulator::sabotage::Defect;
use cometcroft_emulator::scenario::Scenario;

/// Returns the text of the minimised scenario. Each random draw has its own stream, so a run with fewer faults is
/// otherwise unchanged.
pub fn run(scenario: &Scenario, seed: u64, defect: Option<Defect>) -> Result<String, String> {
    let day = Day::draw(scenario, seed);
    let first_violation = |faults: &[Fault]| -> Option<Rule> {
        let day = Day { faults: faults.to_vec(), ..day.clone() };
        Emulator::new(day, defect).play(true).broken.first().map(|violation| violation.rule)
    };
    let rule = first_violation(&day.faults).ok_or_else(|| format!("seed {seed} violates no invariant"))?;
    let (minimal, run_count) = minimise(&day.faults, |faults| first_violation(faults) == Some(rule));
    eprintln!("{rule}: {} of {} faults are sufficient ({run_count} runs)", minimal.len(), day.faults.len());
    let mut script = scenario.clone();
    script.day.seed = Some(seed);
    script.faults = minimal.iter().map(Fault::section).collect();
    let fault_count = minimal.len();
    Ok(format!("# Breaks {rule} under seed {seed}, with {fault_count} faults.\n\n{}", script.text()))
}

/// Returns the smallest list found for which `fails` still holds, and the number of calls of `fails`.
fn minimise<T: Clone>(items: &[T], fails: impl Fn(&[T]) -> bool) -> (Vec<T>, usize) {
    let (mut kept, mut part_count, mut run_count) = (items.to_vec(), 2, 1);
    if fails(&[]) {
        return (Vec::new(), run_count);
    }
    while kept.len() > 1 {
        let part_size = kept.len().div_ceil(part_count);
        let mut reduced = None;
        for start in (0..kept.len()).step_by(part_size) {
            let end = (start + part_size).min(kept.len());
            let (part, complement) = (kept[start..end].to_vec(), [&kept[..start], &kept[end..]].concat());
            for candidate in [part, complement] {
                run_count += 1;
                if candidate.len() < kept.len() && !candidate.is_empty() && fails(&candidate) {
                    reduced = Some(candidate);
                    break;
                }
            }
            if reduced.is_some() {
                break;
            }
        }
        match reduced {
            Some(candidate) => (kept, part_count) = (candidate, 2),
            None if part_size == 1 => break,
            None => part_count = (part_count * 2).min(kept.len()),
        }
    }
    (kept, run_count)
}

#[cfg(test)]
mod tests;
