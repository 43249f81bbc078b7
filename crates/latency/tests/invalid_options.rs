//! An invalid option ends the program with one error line and a non-zero exit code, before any process is started.

use std::process::Command;

#[test]
fn an_invalid_option_gets_one_error_line_that_names_it() {
    let cases: [(&[&str], &str); 6] = [
        (&["--rates", "0"], "--rates"),
        (&["--rates", "100,1e9"], "--rates"),
        (&["--rounds", "0"], "--rounds"),
        (&["--seconds", "NaN"], "--seconds"),
        (&["--depth", "1000"], "--depth"),
        (&["--program", "/nonexistent"], "--program"),
    ];
    for (arguments, option) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_cometcroft-latency"))
            .args(arguments)
            .output()
            .expect("the program starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {error}");
        assert_eq!(error.lines().count(), 1, "{arguments:?}: {error}");
        assert!(error.starts_with(&format!("cometcroft-latency: {option}: ")), "{arguments:?}: {error}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
}
