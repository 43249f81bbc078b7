//! Tests of the error messages and of times.

use super::*;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[allow(dead_code)]
    pause: Time,
    #[allow(dead_code)]
    members: Option<Span>,
}

#[test]
fn errors_name_file_line_field_reason_and_the_nearest_field() {
    let error = |text: &str| read::<File>(text, "f.toml").expect_err("invalid file").to_string();
    let unknown = error("pause = \"2s\"\nmembrs = 3\n");
    assert!(unknown.starts_with("f.toml:2:1: membrs: unknown field"), "{unknown}");
    assert!(unknown.ends_with("did you mean \"members\"?"), "{unknown}");
    assert!(error("pause = \"2\"\n").contains("f.toml:1:9: pause: time"), "{}", error("pause = \"2\"\n"));
    assert!(!error("zzzzzzzzzz = 1\n").contains("did you mean"));
    assert_eq!(read::<File>("pause = \"250ms\"\n", "f").expect("read").pause.exact().as_millis(), 250);
}
