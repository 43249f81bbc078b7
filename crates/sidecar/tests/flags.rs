//! The names of the command line, on which operators' scripts rely: they must not change, while help texts may.
#![allow(clippy::disallowed_methods)]

use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cometcroft");

/// Runs the program to its end; panics after 60 s.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("start the program");
    let until = Instant::now() + Duration::from_secs(60);
    while child.try_wait().expect("query the process").is_none() {
        if Instant::now() > until {
            let _ = child.kill();
            panic!("{args:?}: still running after 60 s");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().expect("read the output")
}

/// The names in `--help`: one line for the command and one for each subcommand, each with subcommands, then flags with
/// their possible values, if the help lists them.
fn named(path: &[&str]) -> Vec<String> {
    let output = run(&[path, &["--help"]].concat());
    assert!(output.status.success(), "{path:?}: {output:?}");
    let help = String::from_utf8(output.stdout).expect("help in UTF-8");
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
fn the_flags_and_subcommands_are_these() {
    let all = ["check --operator --help --version", "check: --plan --explain --help"];
    assert_eq!(named(&[]), all);
}

#[test]
fn the_fields_of_a_request_to_explain_are_these() {
    let file = std::env::temp_dir().join(format!("cometcroft-flags-{}.toml", std::process::id()));
    std::fs::write(&file, "version = 1\n").expect("write a file");
    let explain = |request: &str| {
        let output = run(&["check", file.to_str().expect("path in UTF-8"), "--plan", "--explain", request]);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    for after in ["refused", "never-connected", "may-have-run", "late"] {
        let request = format!("class=a,tenant=b,tier=1,zone=c,after={after}");
        assert_eq!(explain(&request), (Some(0), String::new()), "{request}");
    }
    let (code, error) = explain("after=early");
    assert_eq!((code, error.contains("early")), (Some(2), true), "{error}");
    let (code, error) = explain("name=a");
    assert_eq!((code, error.contains("class, tenant, tier, zone or after")), (Some(2), true), "{error}");
    std::fs::remove_file(&file).expect("remove the file");
}
