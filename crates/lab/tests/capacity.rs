//! `capacity`: the page in the repository matches its target and data, and bad input gives a one-line error.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn capacity(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cometcroft-lab"));
    command.current_dir(repository()).arg("capacity").args(args).output().expect("run cometcroft-lab")
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A temporary directory of one test, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("cometcroft-capacity-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create temporary directory");
        TempDir(path)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("write file");
        path.to_string_lossy().into_owned()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn page_matches_target_and_data() {
    let output = capacity(&["page", "--check"]);
    assert!(output.status.success(), "{}", stderr_text(&output));
}

#[test]
fn outdated_page_is_reported_and_updated() {
    let directory = TempDir::new("drift");
    let page = std::fs::read_to_string(repository().join("docs/CAPACITY.md")).expect("read page");
    let outdated = directory.file("page.md", &page.replace("| sidecars | 3,600 |", "| sidecars | 3,700 |"));
    let output = capacity(&["page", "--check", "--page", &outdated]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr_text(&output).contains("differs from what target and data generate"),
        "{}",
        stderr_text(&output)
    );
    assert!(capacity(&["page", "--page", &outdated]).status.success());
    assert_eq!(std::fs::read_to_string(&outdated).expect("read page"), page);
}

#[test]
fn measurements_are_reproducible_and_added_to_existing_records() {
    let directory = TempDir::new("measure");
    let measure = |sizes: &str, out: &str| {
        let args = ["measure", "--sizes", sizes, "--seeds", "1..1", "--moments", "rest", "--out", out];
        let output = capacity(&args);
        assert!(output.status.success(), "{}", stderr_text(&output));
        std::fs::read_to_string(out).expect("read data file")
    };
    let (one, other) = (directory.file("one.json", "{}"), directory.file("other.json", "{}"));
    assert_eq!(measure("5", &one), measure("5", &other));
    let both = measure("7", &one);
    assert_eq!(both.matches("\"moment\"").count(), 2, "{both}");
    assert_eq!(measure("7", &one), both, "repeating a run replaces its record");
}

#[test]
fn bad_input_is_reported_in_one_line_with_field_and_position() {
    let directory = TempDir::new("bad");
    let target = directory.file("target.toml", "[fleet]\nsidecars = \"many\"\n");
    let data = TempDir::new("bad-data");
    data.file("fleets.json", "{\"fleets\": [{\"moment\": 3}]}");
    let data = data.0.to_string_lossy().into_owned();
    let page = directory.file("page.md", "no markers");
    let cases = [
        (vec!["page", "--check", "--target", &target], "target.toml:2:12: sidecars: invalid type"),
        (vec!["page", "--check", "--data", &data], "fleets.json:1:24: fleets[0].moment: "),
        (vec!["page", "--check", "--page", &page], "page.md: the line"),
        (vec!["page", "--check", "--page", "no/such/page"], "no/such/page: "),
        (vec!["measure", "--sizes", "5", "--scripts", "no/such", "--out", "x.json"], "no/such/rest.toml: "),
    ];
    for (args, expected) in cases {
        let output = capacity(&args);
        let errors = stderr_text(&output);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {errors}");
        assert!(errors.contains(expected), "{args:?}: {errors}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
    }
    for args in [
        &["measure", "--sizes", "0", "--out", "x.json"][..],
        &["measure", "--sizes", "4001", "--out", "x.json"],
        &["measure", "--sizes", "5", "--moments", "tea", "--out", "x.json"],
        &["measure", "--sizes", "5", "--seeds", "3..1", "--out", "x.json"],
    ] {
        assert_eq!(capacity(args).status.code(), Some(2), "{args:?}");
    }
}
