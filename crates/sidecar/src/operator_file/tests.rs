//! Tests of `operator` that mean its private state.

use super::*;

#[test]
fn the_example_reads_and_errors_name_file_line_field_and_reason() {
    let example = include_str!("../../../../deploy/operator.toml");
    let operator = OperatorFile::parse(example, "operator.toml").expect("the example reads");
    assert!(operator.fleet.is_some());
    let told = |text: &str| OperatorFile::parse(text, "o.toml").expect_err("refused").to_string();
    let base = "[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\n";
    assert!(OperatorFile::parse(base, "o.toml").is_ok());
    assert!(OperatorFile::parse("", "o.toml").expect("an empty file").fleet.is_none());
    let unknown = told(&format!("{base}longest_paus = \"2s\"\n"));
    assert!(unknown.starts_with("o.toml:4:1: longest_paus: unknown field"), "{unknown}");
    assert!(unknown.contains("did you mean \"longest_pause\""), "{unknown}");
    let short = told(&format!("{base}longest_pause = \"10ms\"\n"));
    assert_eq!(short, "o.toml:4:1: longest_pause: must be between 100ms and 60s");
    let open = told("[fleet]\nname = \"f\"\nbind = \"0.0.0.0:1\"\n");
    assert!(open.contains("advertise: must be an address"), "{open}");
    let hasty = told(&format!("{base}[fleet.timing]\nsuspicion = \"1s\"\n"));
    assert!(hasty.starts_with("o.toml:5:1: suspicion: must be at least longest_pause"), "{hasty}");
    assert!(told("[fleet]\nname = 1\n").starts_with("o.toml:2:8: name: invalid type"));
}

/// The example with its budgets switched on.
fn with_budgets() -> String {
    let example = include_str!("../../../../deploy/operator.toml");
    let from = example.find("# Budgets of the whole fleet").expect("its section");
    let on = example[from..].lines().map(|line| match line.strip_prefix('#') {
        Some(rest) if rest.starts_with(|c: char| c == '[' || c.is_ascii_lowercase()) => rest,
        _ => line,
    });
    example[..from].to_owned() + &on.collect::<Vec<&str>>().join("\n")
}

#[test]
fn budgets_read_and_what_makes_no_sense_names_its_field() {
    let text = with_budgets();
    let operator = OperatorFile::parse(&text, "o.toml").expect("the example reads");
    let (fleet, budget) = (operator.fleet.expect("a fleet"), operator.budget.expect("budgets"));
    let (config, uses) = budget.config(&fleet, Duration::from_secs(3)).expect("it makes sense");
    let shared = [BudgetUse::Retries, BudgetUse::Connections, BudgetUse::Probes, BudgetUse::Discovery];
    assert_eq!(uses[..2], [BudgetUse::Tenant("kiosks".into()), BudgetUse::Open]);
    assert_eq!(uses[2..], shared);
    assert_eq!((config.pool(0), config.guaranteed_share(0)), (185_000, 5_000));
    let told = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        OperatorFile::parse(&text.replacen(from, to, 1), "o.toml").expect_err(to).to_string()
    };
    for (from, to, field, reason) in [
        ("burst = 200.0", "burts = 1", "burts", "did you mean \"burst\""),
        ("level = 300", "rate = 300", "level", "is missing"),
        ("floor = 5.0", "floor = 100.0", "floor", "sum to more than the whole"),
        ("floor = 5.0", "floor = 0.5", "floor", "must be 0 or at least 1"),
        (", \"127.0.0.6:7946\"]\n# For how long", "]\n# For how long", "keepers", "must be 1, 3, 5 or 7"),
        ("tenant = \"kiosks\"", "", "tenant", "is missing"),
        ("use = \"retries\"\nrate = 50.0", "use = \"retries\"\nrate = -1", "rate", "between 0 and 1e9"),
        ("use = \"connections\"", "use = \"retries\"", "use", "retries is divided twice"),
        ("lease = \"4s\"", "lease = \"10ms\"", "lease", "between 200ms and 5m"),
    ] {
        let error = told(from, to);
        assert!(error.contains(&format!(": {field}: ")) && error.contains(reason), "{error}");
    }
    let alone = text.replacen("[fleet]", "[flee]", 1);
    assert!(OperatorFile::parse(&alone, "o.toml").is_err());
}
