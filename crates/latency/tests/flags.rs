//! Names of this program's subcommands and flags, on which scripts and pages rely. Help texts may change, these may not.
#![allow(clippy::disallowed_methods)]

use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cometcroft-latency");

/// Runs the program until it exits, for 60 s at most.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let kill_at = Instant::now() + Duration::from_secs(60);
    while child.try_wait().expect("the status of the process").is_none() {
        if Instant::now() > kill_at {
            let _ = child.kill();
            panic!("{args:?}: still running after 60 s");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().expect("its output")
}

/// Names that `--help` lists, as one line for the command and one for each of its subcommands: first the subcommands,
/// then the flags, each with its possible values if the help lists them.
fn names_in_help(path: &[&str]) -> Vec<String> {
    let output = run(&[path, &["--help"]].concat());
    assert!(output.status.success(), "{path:?}: {output:?}");
    let help = String::from_utf8(output.stdout).expect("UTF-8");
    let (mut section, mut commands, mut flags) = ("", Vec::new(), Vec::<String>::new());
    for line in help.lines().filter(|line| !line.is_empty()) {
        let (text, first) = (line.trim_start(), line.split_whitespace().next().unwrap_or_default());
        if !line.starts_with(' ') {
            section = line;
        } else if section == "Commands:" && line.len() - text.len() == 2 && first != "help" {
            commands.push(first);
        } else if section == "Options:" && text.starts_with('-') {
            match text.strip_prefix("- ") {
                Some(value) => flags.push(format!("={}", value.split(':').next().unwrap_or_default())),
                None => flags
                    .extend(text.split_whitespace().find(|word| word.starts_with("--")).map(str::to_owned)),
            }
        }
        if let Some((_, values)) = text.split_once("[possible values: ") {
            let values = values.split(']').next().unwrap_or_default();
            flags.extend(values.split(", ").map(|value| format!("={value}")));
        }
    }
    let names =
        commands.iter().map(|command| (*command).to_owned()).chain(flags).collect::<Vec<_>>().join(" ");
    let mut lines = vec![format!("{}: {names}", path.join(" ")).trim_start_matches(": ").to_owned()];
    for command in commands {
        lines.extend(names_in_help(&[path, &[command]].concat()));
    }
    lines
}

#[test]
fn flag_names_are_stable() {
    let flags = "--program --rates --rounds --seconds --depth --out --help --version";
    assert_eq!(names_in_help(&[]), [flags]);
}
