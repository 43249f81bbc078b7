//! The names of this program's command line, on which scripts and pages rely. Help texts may change, these may not.
#![allow(clippy::disallowed_methods)]

use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cometcroft-latency");

/// Runs the program to its end, for 60 s at most.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("it starts");
    let until = Instant::now() + Duration::from_secs(60);
    while child.try_wait().expect("a process").is_none() {
        if Instant::now() > until {
            let _ = child.kill();
            panic!("{args:?} does not end");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().expect("its output")
}

/// What `--help` names, a line for the command and one for each of its subcommands: subcommands, then flags, each with
/// its possible values if the help lists them.
fn named(path: &[&str]) -> Vec<String> {
    let output = run(&[path, &["--help"]].concat());
    assert!(output.status.success(), "{path:?}: {output:?}");
    let help = String::from_utf8(output.stdout).expect("text");
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
    let own = commands.iter().map(|command| (*command).to_owned()).chain(flags).collect::<Vec<_>>().join(" ");
    let mut all = vec![format!("{}: {own}", path.join(" ")).trim_start_matches(": ").to_owned()];
    for command in commands {
        all.extend(named(&[path, &[command]].concat()));
    }
    all
}

#[test]
fn the_flags_are_these() {
    let flags = "--program --rates --rounds --seconds --depth --out --help --version";
    assert_eq!(named(&[]), [flags]);
}
