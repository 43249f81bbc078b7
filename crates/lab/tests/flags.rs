//! Names of the command line (subcommands, flags, values, scenarios, scripts), on which scripts and documentation rely.
//! Help texts may change; these names must not.
#![allow(clippy::disallowed_methods)]

use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cometcroft-lab");

/// Runs the program to completion; panics after 60 s.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("start cometcroft-lab");
    let deadline = Instant::now() + Duration::from_secs(60);
    while child.try_wait().expect("wait for process").is_none() {
        if Instant::now() > deadline {
            let _ = child.kill();
            panic!("{args:?} did not exit within 60 s");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().expect("read output")
}

/// Returns the names in the `--help` of a command and, recursively, of its subcommands, one line per command:
/// subcommands, then flags, each followed by its possible values if the help lists them.
fn help_names(path: &[&str]) -> Vec<String> {
    let output = run(&[path, &["--help"]].concat());
    assert!(output.status.success(), "{path:?}: {output:?}");
    let help = String::from_utf8(output.stdout).expect("UTF-8 output");
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
        lines.extend(help_names(&[path, &[command]].concat()));
    }
    lines
}

#[test]
fn flags_and_subcommands_are_unchanged() {
    let all = [
        "play replay swarm shrink fleet capacity scenarios --help --version",
        "play: --short --defect --seed --json --help",
        "replay: --short --defect --seed --until --from --help",
        "swarm: --seeds --jobs --short --defect --first --help",
        "shrink: --short --defect --seed --out --help",
        "fleet: list run play days up --help",
        "fleet list: --help",
        "fleet run: --processes --seed --json --logs --chart --program --help",
        "fleet play: --members --seeds --jobs --without --divide =lease =static =view --json --help",
        "fleet days: --seeds --jobs --help",
        "fleet up: --processes --program --help",
        "capacity: measure module page --help",
        "capacity measure: --sizes --seeds --moments --scripts --jobs --out --help",
        "capacity module: --criterion --heap --out --help",
        "capacity page: --target --data --page --check --help",
        "scenarios: --help",
    ];
    assert_eq!(help_names(&[]), all);
}

/// Returns the values that the error message for an unknown value lists after `prefix`.
fn accepted_values(args: &[&str], prefix: &str) -> Vec<String> {
    let output = run(args);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{args:?}: {message}");
    let list = message.split_once(prefix).and_then(|(_, list)| list.lines().next());
    list.unwrap_or_else(|| panic!("{args:?}: {message}")).split(", ").map(str::to_owned).collect()
}

#[test]
fn defects_features_and_moments_are_unchanged() {
    let defects = [
        "resends-what-ran",
        "two-at-once",
        "anothers-answer",
        "leaks-connections",
        "forgets-drains",
        "floods-cold",
        "answers-late",
        "answers-twice",
        "loses-on-restart",
        "hears-late",
    ];
    assert_eq!(accepted_values(&["play", "calm", "--defect", "none"], "the defects are "), defects);
    let swarm = ["swarm", "calm", "--seeds", "1..1", "--defect", "none"];
    assert_eq!(accepted_values(&swarm, "the defects are "), defects);
    let features = [
        "indirect",
        "awareness",
        "suspicion",
        "refuting",
        "generations",
        "trying-the-gone",
        "caution",
        "exchanges",
        "own-time",
        "last-look",
        "keepers-wait",
        "divider-waits",
        "from-asking",
        "order",
        "promises",
        "both-charged",
        "margins",
    ];
    assert_eq!(
        accepted_values(&["fleet", "play", "calm", "--without", "none"], "the features are "),
        features
    );
    let moments = [
        "rest",
        "rest-long-lease",
        "change",
        "restart",
        "machine-lost",
        "zone-back",
        "region-back",
        "release",
    ];
    let measure = ["capacity", "measure", "--sizes", "8", "--out", "/dev/null", "--moments", "none"];
    assert_eq!(accepted_values(&measure, "the moments are "), moments);
}

/// Returns the first word of each line of the output.
fn first_words(args: &[&str]) -> Vec<String> {
    let output = run(args);
    assert!(output.status.success(), "{args:?}: {output:?}");
    let text = String::from_utf8(output.stdout).expect("UTF-8 output");
    text.lines().map(|line| line.split_whitespace().next().unwrap_or_default().to_owned()).collect()
}

#[test]
fn shipped_scenarios_are_unchanged() {
    let scenarios = "calm two-tier busy-eve slow fast-errors report-late burst hot-caller discovery-stale discovery-down \
                     reload drains kills vanish replace cuts spoilt drip refuse restart operators descriptors bad-clients \
                     cold-starts mixed tier-halved tier-doubled long-lists long-lists-fleet long-lists-restarts \
                     outage-drains outage-drains-fleet";
    assert_eq!(first_words(&["scenarios"]), scenarios.split_whitespace().collect::<Vec<_>>());
}

#[test]
fn shipped_fleet_scripts_are_unchanged() {
    let scripts = "calm pauses long-pause third-paused kill leave restarts loss jumbled late-words one-pair mute deaf split \
                   split-three split-again flapping-zone seeds-cut-off one-seed-up twin usurped garbage half-gone doubled \
                   resets throttled busy descriptors other-file budget-two-files budget-hot-place budget-holders-paused \
                   budget-divider-paused budget-keepers-in-turn budget-keepers-at-once budget-keepers-cut-off \
                   budget-one-way budget-split budget-late-words budget-lossy budget-restarts budget-gone-and-back \
                   budget-twin budget-evening plan-calm plan-leader-killed plan-leader-paused plan-keepers-in-turn \
                   plan-keepers-lost plan-split plan-one-way plan-lossy plan-late-words plan-drain-cut-off \
                   plan-release-halted plan-two-operators plan-restarts-by-permit plan-evening";
    assert_eq!(first_words(&["fleet", "list"]), scripts.split_whitespace().collect::<Vec<_>>());
    // These scripts can be run by name but are not listed.
    let sized: Vec<&str> = cometcroft_script::SIZED.iter().map(|(name, _)| *name).collect();
    assert_eq!(sized, ["size-rest", "size-start", "size-restart", "size-zone-lost", "size-region-apart"]);
}
