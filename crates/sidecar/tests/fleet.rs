//! Several processes of the program with faults between them: every shipped script, the same that the emulator plays.
#![allow(clippy::disallowed_methods)]

use cometcroft_rig::{Options, RigReport, run};
use cometcroft_script::{Plan, SHIPPED, Script};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Fleets played side by side, each with five processes or a few more.
const SIDE_BY_SIDE: usize = 6;

fn options() -> Options {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_cometcroft"));
    Options { program, logs: None, backends: 3, until: None }
}

fn play(name: &str, seed: u64) -> RigReport {
    let script = Script::find(name).expect("a shipped script");
    let plan = Plan::draw(&script, seed, None);
    run(&plan, &options(), &mut |_, _, _| {}).expect("the rig runs")
}

#[test]
fn no_shipped_script_breaks_a_rule_on_real_processes() {
    let (next, wrong) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| {
                while let Some((name, _)) = SHIPPED.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let report = play(name, 1);
                    let mut found: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
                    found.extend(report.crashed.clone());
                    if report.equal_s.is_none() {
                        found.push("views never became equal and true".to_owned());
                    }
                    if report.requests.served == 0 {
                        found.push(format!("nothing was served: {:?}", report.requests));
                    }
                    println!(
                        "{name}: {:.1} s, known {:?}, equal {:?}, {:?}",
                        report.seconds, report.known_s, report.equal_s, report.requests
                    );
                    let mut wrong = wrong.lock().expect("nobody panicked");
                    wrong.extend(found.into_iter().map(|what| format!("{name}: {what}")));
                }
            });
        }
    });
    let wrong = wrong.into_inner().expect("nobody panicked");
    assert!(wrong.is_empty(), "{wrong:#?}");
}
