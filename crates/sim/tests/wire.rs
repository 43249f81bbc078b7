//! The line protocol: replies to batches, errors in the input, and the settings object.
use cometcroft_sim::{codec, host};

const CONF: &str = r#"{"accounts": [], "contract": {"ask-within-ns": 10000000000, "cold-from": 0.3, "drain-grace-ns": 500000000, "fall-multiple": 2.5, "ramp-time-ns": 8900000000, "tip-after-ns": 1000000000, "novel": 1}, "dcs": ["a"], "discovery": "subscribe", "instances": 3, "policy-limits": {"cancel": true, "max-attempts": 4, "max-retry-after-ns": 750000000, "probes": true, "second-copies": true, "retry-after": true}, "prices": {"probe": 0.01}, "rank": 0, "report": {"fields": ["util", "inflight", "queue"], "source": "piggyback"}, "request-classes": [{"deadline-ns": 750000000, "effect": "read_like", "late-value": 0.5, "name": "view", "slo-ns": 300000000, "worth": 3.0}], "step-ns": 2000000, "tier": 0, "tiers": ["x", "y"], "weight-kind": "rough", "zone": 0, "unknown-key": {}}"#;

fn run(input: &str) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let result = host::run(input.as_bytes(), &mut output).map_err(|error| error.to_string());
    (result, String::from_utf8(output).expect("UTF-8"))
}

/// A first batch, which starts instance 3 with two endpoints.
fn begin() -> String {
    format!(
        "MARK 1000 1\nFOR 3\nBEGIN 42 {CONF}\nCATALOG 0 2\nITEM 0 0 0 - up-a ready 1\nITEM 0 0 0 6100 up-b draining 1.5\nFLEET remembered 41 0\nEOF_BATCH\n"
    )
}

#[test]
fn an_empty_batch_gets_a_reply_and_the_end_of_input_is_no_error() {
    assert_eq!(run("MARK 8412250000 1\nEOF_BATCH\n"), (Ok(()), "YIELD 1\n".into()));
    assert_eq!(run(""), (Ok(()), String::new()));
}

#[test]
fn a_request_is_forwarded_and_its_outcomes_are_accepted() {
    let input = begin()
        + "MARK 2000000 2\nFOR 3\nASK r-1 0 0 - 240000000 12000000 1\nEOF_BATCH\n"
        + "MARK 9000000 3\nFOR 3\nRETURNED r-1 1 0 0 7000000 up-a 0.62,7,3\nRETURNED r-1 1 0 0 7000000 up-a -\nEOF_BATCH\n";
    let (result, output) = run(&input);
    assert_eq!(result, Ok(()));
    assert!(output.starts_with("INSTANCE 3\nTAIL 1\nSET_TIMER 2000000 refresh\nYIELD 1\n"), "{output}");
    assert!(output.contains("INSTANCE 3\nFORWARD r-1 240000000 up-a\n"), "{output}");
    assert!(output.ends_with("YIELD 3\n"), "{output}");
}

#[test]
fn an_instance_that_exits_is_not_in_the_reply_to_that_batch() {
    let input = begin() + "MARK 2000000 2\nFOR 3\nASK r-1 0 0 - 240000000 - 0\nEXIT\nEOF_BATCH\n";
    let (result, output) = run(&input);
    assert_eq!(result, Ok(()));
    assert!(output.ends_with("YIELD 1\nYIELD 2\n"), "{output}");
}

#[test]
fn errors_name_the_line() {
    for (input, expected) in [
        ("MARK 1 1\n", "line 2: the input ends within a batch"),
        ("MARK 1 1\nEOF_BAT", "line 2: the line is cut off"),
        ("MARK x 1\n", "line 1: clock"),
        ("MARK 1 1\nHELLO\nEOF_BATCH\n", "line 2: unknown message"),
        ("MARK 1 1\nFOR 3\nWITHDRAWN r\nEOF_BATCH\n", "line 3: instance 3 has not begun"),
        ("EOF_BATCH\n", "line 1: a batch must begin"),
        ("MARK 1 1\nFOR 1\nBEGIN 1 {\nEOF_BATCH\n", "line 3: conf is not JSON"),
        ("MARK 1 1\nFOR 1\nBEGIN 1 {}\nEOF_BATCH\n", "line 3: setting policy-limits is missing"),
    ] {
        let (result, _) = run(input);
        let message = result.expect_err(input);
        assert!(message.starts_with(expected), "{message}");
    }
    let input = begin() + "MARK 2 2\nFOR 3\nRETURNED r-1 1 99 0 7000000 up-a -\nEOF_BATCH\n";
    assert_eq!(run(&input).0, Err("line 11: unknown result \"99\"".into()));
}

#[test]
fn load_reports_have_the_order_of_fields_in_the_settings() {
    let (settings, fields) = codec::parse_settings(CONF).expect("valid settings");
    assert_eq!((settings.tiers, settings.instances, settings.zones), (2, 3, 1));
    let report = codec::parse_report("0.62,7,3", &fields).expect("numbers").expect("a report");
    assert_eq!((report.utilization, report.inflight, report.queue), (Some(0.62), Some(7.0), Some(3.0)));
    assert_eq!(codec::parse_report("-", &fields), Ok(None));
    assert!(codec::parse_report("0.6,x,3", &fields).is_err());
}

#[test]
fn timer_contexts_parse_to_the_same_timer() {
    use cometcroft::{RequestId, Timer};
    for timer in [Timer::Refresh, Timer::Subscribe, Timer::SlowRequest(RequestId(8))] {
        assert_eq!(codec::parse_timer(&codec::format_timer(timer)), Ok(timer));
    }
    assert!(codec::parse_timer("request-x").is_err());
}

/// The settings with a piece of their text replaced.
fn replaced(from: &str, to: &str) -> String {
    assert!(CONF.contains(from));
    CONF.replace(from, to)
}

#[test]
fn rank_and_the_limit_for_closing_idle_connections_are_optional() {
    use std::time::Duration;
    let read = |conf: &str| codec::parse_settings(conf).map(|(s, _)| (s.rank, s.rules.close_idle_within));
    let with_close_idle = |value: &str| replaced("\"novel\": 1", &format!("\"let-go-in-ns\": {value}"));
    assert_eq!(read(CONF), Ok((0, None)));
    assert_eq!(read(&replaced("\"rank\": 0, ", "")), Ok((0, None)));
    assert_eq!(read(&replaced("\"rank\": 0", "\"rank\": 7")), Ok((7, None)));
    assert_eq!(read(&with_close_idle("300000000")), Ok((0, Some(Duration::from_millis(300)))));
    assert_eq!(read(&with_close_idle("-1")), Err("setting contract.let-go-in-ns is not a time".into()));
    assert_eq!(
        read(&replaced("\"rank\": 0", "\"rank\": 99999999999")),
        Err("setting rank is too large".into())
    );
    let zero = with_close_idle("0");
    let (result, _) = run(&format!("MARK 1 1\nFOR 1\nBEGIN 1 {zero}\nEOF_BATCH\n"));
    assert!(result.expect_err("zero is too short").contains("rules.close_idle_within"));
}

#[test]
fn the_retry_budget_and_the_use_of_removed_endpoints_are_optional() {
    use cometcroft::RetryBudget;
    let rules = |conf: &str| codec::parse_settings(conf).map(|(s, _)| s.rules);
    let with = |keys: &str| replaced("\"novel\": 1", keys);
    let plain = rules(CONF).expect("valid settings");
    assert_eq!((plain.retry_budget, plain.use_removed_endpoints), (None, false));
    let window = std::time::Duration::from_secs(2);
    let full = "\"budget-free\": 5, \"extra-ratio\": 0.03, \"look-back-ns\": 2000000000, \"drain-binds-alone\": true";
    let full = rules(&with(full)).expect("valid settings");
    assert_eq!(full.retry_budget, Some(RetryBudget { min_retries: 5.0, ratio: 0.03, window }));
    assert!(full.use_removed_endpoints);
    for (keys, expected) in [
        ("\"budget-free\": 5, \"look-back-ns\": 2000000000", "contract.extra-ratio is missing"),
        ("\"extra-ratio\": 0.1", "contract.budget-free is missing"),
        ("\"budget-free\": 5, \"extra-ratio\": 0.1", "contract.look-back-ns is missing"),
        ("\"drain-binds-alone\": 1", "contract.drain-binds-alone is neither"),
        ("\"budget-free\": 5, \"extra-ratio\": -0.1, \"look-back-ns\": 1", "rules.retry_budget.ratio"),
        ("\"budget-free\": 5, \"extra-ratio\": 0.1, \"look-back-ns\": 0", "rules.retry_budget.window"),
    ] {
        let (result, _) = run(&format!("MARK 1 1\nFOR 1\nBEGIN 1 {}\nEOF_BATCH\n", with(keys)));
        let message = result.expect_err(keys);
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn idle_connections_to_draining_endpoints_are_closed() {
    let conf = replaced("\"novel\": 1", "\"let-go-in-ns\": 300000000");
    let input = begin().replace(CONF, &conf);
    let (result, output) = run(&input);
    assert_eq!(result, Ok(()));
    assert!(output.contains("RELEASE up-b\n") && !output.contains("RELEASE up-a"), "{output}");
}

#[test]
fn hashes_of_names_are_stable() {
    assert_eq!(codec::hash("upstream-abuevth"), codec::hash("upstream-abuevth"));
    assert_ne!(codec::hash("upstream-abuevth"), codec::hash("upstream-azkaesv"));
    assert_eq!(codec::hash(""), 0xcbf2_9ce4_8422_2325);
}
