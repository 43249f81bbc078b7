//! Runs the program as a process: a seed determines a run, scripts are minimised, bad arguments give exit code 2.

use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cometcroft-lab")).args(args).output().expect("run cometcroft-lab")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn same_seed_gives_same_run_in_every_process() {
    let mut logs = std::collections::BTreeSet::new();
    for seed in 1..=20 {
        let seed = seed.to_string();
        let args = ["play", "mixed", "--short", "3", "--seed", &seed];
        let (first, second) = (lab(&args), lab(&args));
        assert!(first.status.success(), "{}", stdout_text(&first));
        assert_eq!(stdout_text(&first), stdout_text(&second));
        logs.insert(stdout_text(&first).lines().next().map(str::to_owned));
    }
    assert_eq!(logs.len(), 20, "different seeds must give different runs");
}

#[test]
fn script_shrinks_to_few_faults_that_reproduce_the_violation() {
    let out = std::env::temp_dir().join(format!("cometcroft-shrink-{}.toml", std::process::id()));
    let path = out.to_str().expect("UTF-8 path");
    let defect = ["--defect", "resends-what-ran"];
    let shrunk =
        lab(&[&["shrink", "cuts", "--short", "4", "--seed", "1", "--out", path], &defect[..]].concat());
    assert!(shrunk.status.success(), "{}", String::from_utf8_lossy(&shrunk.stderr));
    let script = std::fs::read_to_string(&out).expect("read minimised script");
    let faults = script.matches("[[fault]]").count();
    assert!((1..=3).contains(&faults), "80 faults were reduced to {faults}, expected 1 to 3");
    let again = lab(&[&["play", path], &defect[..]].concat());
    assert!(
        !again.status.success() && stdout_text(&again).contains("repeat-by-class broken"),
        "{}",
        stdout_text(&again)
    );
    assert!(lab(&["play", path]).status.success(), "without the defect, no invariant may be violated");
    std::fs::remove_file(&out).expect("remove minimised script");
}

#[test]
fn bad_arguments_exit_with_2_and_violations_with_1() {
    for args in [
        &["play", "no-such-scenario"][..],
        &["swarm", "calm", "--seeds", "9..1"],
        &["play", "calm", "--short", "-1"],
        &["scenarios", "nothing"],
        &["fleet", "play", "calm", "--members", "4001"],
    ] {
        let output = lab(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(!output.stderr.is_empty());
    }
    let failed = lab(&["swarm", "calm", "--seeds", "1..2", "--short", "1", "--defect", "two-at-once"]);
    assert_eq!(failed.status.code(), Some(1));
    assert!(
        stdout_text(&failed).contains("calm seed 2: one-attempt-out broken at"),
        "{}",
        stdout_text(&failed)
    );
}
