//! Shrinking: the smallest part of a day's faults that still breaks the same rule (delta debugging, Zeller and
//! Hildebrandt 2002).

use cometcroft_emulator::day::{Day, Fault};
use cometcroft_emulator::emulator::Emulator;
use cometcroft_emulator::judge::Rule;
use cometcroft_emulator::sabotage::Defect;
use cometcroft_emulator::scenario::Scenario;

/// The script as a scenario's text. Each draw has streams of its own, so a day with fewer faults is otherwise the same.
pub fn run(scenario: &Scenario, seed: u64, defect: Option<Defect>) -> Result<String, String> {
    let day = Day::draw(scenario, seed);
    let breaks = |faults: &[Fault]| -> Option<Rule> {
        let day = Day { faults: faults.to_vec(), ..day.clone() };
        Emulator::new(day, defect).play(true).broken.first().map(|b| b.rule)
    };
    let rule = breaks(&day.faults).ok_or_else(|| format!("seed {seed} breaks no rule"))?;
    let (least, plays) = minimise(&day.faults, |faults| breaks(faults) == Some(rule));
    eprintln!("{rule}: {} of {} faults are enough, after {plays} plays", least.len(), day.faults.len());
    let mut script = scenario.clone();
    script.day.seed = Some(seed);
    script.faults = least.iter().map(Fault::section).collect();
    let faults = least.len();
    Ok(format!("# Breaks {rule} under seed {seed}, with {faults} faults.\n\n{}", script.text()))
}

/// The smallest list found for which `fails` still holds, and how often that was asked.
fn minimise<T: Clone>(all: &[T], fails: impl Fn(&[T]) -> bool) -> (Vec<T>, usize) {
    let (mut kept, mut parts, mut plays) = (all.to_vec(), 2, 1);
    if fails(&[]) {
        return (Vec::new(), plays);
    }
    while kept.len() > 1 {
        let size = kept.len().div_ceil(parts);
        let mut smaller = None;
        for start in (0..kept.len()).step_by(size) {
            let end = (start + size).min(kept.len());
            let (part, rest) = (kept[start..end].to_vec(), [&kept[..start], &kept[end..]].concat());
            for candidate in [part, rest] {
                plays += 1;
                if candidate.len() < kept.len() && !candidate.is_empty() && fails(&candidate) {
                    smaller = Some(candidate);
                    break;
                }
            }
            if smaller.is_some() {
                break;
            }
        }
        match smaller {
            Some(candidate) => (kept, parts) = (candidate, 2),
            None if size == 1 => break,
            None => parts = (parts * 2).min(kept.len()),
        }
    }
    (kept, plays)
}

#[cfg(test)]
mod tests;
