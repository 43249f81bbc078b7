//! The adapter on the wire: what it answers and how it ends.
use cometcroft_sim::{codec, host};

const CONF: &str = r#"{"accounts": [], "contract": {"ask-within-ns": 10000000000, "cold-from": 0.3, "drain-grace-ns": 500000000, "fall-multiple": 2.5, "ramp-time-ns": 8900000000, "tip-after-ns": 1000000000, "novel": 1}, "dcs": ["a"], "discovery": "subscribe", "instances": 3, "policy-limits": {"cancel": true, "max-attempts": 4, "max-retry-after-ns": 750000000, "probes": true, "second-copies": true, "retry-after": true}, "prices": {"probe": 0.01}, "rank": 0, "report": {"fields": ["util", "inflight", "queue"], "source": "piggyback"}, "request-classes": [{"deadline-ns": 750000000, "effect": "read_like", "late-value": 0.5, "name": "view", "slo-ns": 300000000, "worth": 3.0}], "step-ns": 2000000, "tier": 0, "tiers": ["x", "y"], "weight-kind": "rough", "zone": 0, "unknown-key": {}}"#;

fn run(input: &str) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let ended = host::run(input.as_bytes(), &mut output).map_err(|fault| fault.to_string());
    (ended, String::from_utf8(output).expect("text"))
}

fn begin() -> String {
    format!(
        "MARK 1000 1\nFOR 3\nBEGIN 42 {CONF}\nCATALOG 0 2\nITEM 0 0 0 - up-a ready 1\nITEM 0 0 0 6100 up-b draining 1.5\nFLEET remembered 41 0\nEOF_BATCH\n"
    )
}

#[test]
fn an_empty_batch_and_the_end_of_input() {
    assert_eq!(run("MARK 8412250000 1\nEOF_BATCH\n"), (Ok(()), "YIELD 1\n".into()));
    assert_eq!(run(""), (Ok(()), String::new()));
}

#[test]
fn a_request_is_sent_and_answered() {
    let input = begin()
        + "MARK 2000000 2\nFOR 3\nASK r-1 0 0 - 240000000 12000000 1\nEOF_BATCH\n"
        + "MARK 9000000 3\nFOR 3\nRETURNED r-1 1 0 0 7000000 up-a 0.62,7,3\nRETURNED r-1 1 0 0 7000000 up-a -\nEOF_BATCH\n";
    let (ended, output) = run(&input);
    assert_eq!(ended, Ok(()));
    assert!(output.starts_with("INSTANCE 3\nTAIL 1\nSET_TIMER 2000000 refresh\nYIELD 1\n"), "{output}");
    assert!(output.contains("INSTANCE 3\nFORWARD r-1 240000000 up-a\n"), "{output}");
    assert!(output.ends_with("YIELD 3\n"), "{output}");
}

#[test]
fn a_killed_instance_says_nothing_more_in_that_batch() {
    let input = begin() + "MARK 2000000 2\nFOR 3\nASK r-1 0 0 - 240000000 - 0\nEXIT\nEOF_BATCH\n";
    let (ended, output) = run(&input);
    assert_eq!(ended, Ok(()));
    assert!(output.ends_with("YIELD 1\nYIELD 2\n"), "{output}");
}

#[test]
fn faults_name_the_line() {
    for (input, words) in [
        ("MARK 1 1\n", "line 2: the input ends within a batch"),
        ("MARK 1 1\nEOF_BAT", "line 2: the line is cut off"),
        ("MARK x 1\n", "line 1: clock"),
        ("MARK 1 1\nHELLO\nEOF_BATCH\n", "line 2: unknown message"),
        ("MARK 1 1\nFOR 3\nWITHDRAWN r\nEOF_BATCH\n", "line 3: instance 3 has not begun"),
        ("EOF_BATCH\n", "line 1: a batch must begin"),
        ("MARK 1 1\nFOR 1\nBEGIN 1 {\nEOF_BATCH\n", "line 3: conf is not JSON"),
        ("MARK 1 1\nFOR 1\nBEGIN 1 {}\nEOF_BATCH\n", "line 3: setting policy-limits is missing"),
    ] {
        let (ended, _) = run(input);
        let message = ended.expect_err(input);
        assert!(message.starts_with(words), "{message}");
    }
    let input = begin() + "MARK 2 2\nFOR 3\nRETURNED r-1 1 99 0 7000000 up-a -\nEOF_BATCH\n";
    assert_eq!(run(&input).0, Err("line 11: unknown result \"99\"".into()));
}

#[test]
fn a_report_is_read_in_the_order_of_the_settings() {
    let (settings, fields) = codec::parse_settings(CONF).expect("sound");
    assert_eq!((settings.tiers, settings.instances, settings.zones), (2, 3, 1));
    let report = codec::parse_report("0.62,7,3", &fields).expect("numbers").expect("a report");
    assert_eq!((report.utilization, report.inflight, report.queue), (Some(0.62), Some(7.0), Some(3.0)));
    assert_eq!(codec::parse_report("-", &fields), Ok(None));
    assert!(codec::parse_report("0.6,x,3", &fields).is_err());
}

#[test]
fn timers_come_back_as_they_were_given() {
    use cometcroft::{RequestId, Timer};
    for timer in [Timer::Refresh, Timer::Subscribe, Timer::SlowRequest(RequestId(8))] {
        assert_eq!(codec::parse_timer(&codec::write_timer(timer)), Ok(timer));
    }
    assert!(codec::parse_timer("request-x").is_err());
}

/// The settings with one thing put in place of another.
fn changed(from: &str, to: &str) -> String {
    assert!(CONF.contains(from));
    CONF.replace(from, to)
}

#[test]
fn rank_and_the_time_to_let_go_are_read_and_may_be_absent() {
    use std::time::Duration;
    let read = |conf: &str| codec::parse_settings(conf).map(|(s, _)| (s.rank, s.rules.close_idle_within));
    let let_go = |value: &str| changed("\"novel\": 1", &format!("\"let-go-in-ns\": {value}"));
    assert_eq!(read(CONF), Ok((0, None)));
    assert_eq!(read(&changed("\"rank\": 0, ", "")), Ok((0, None)));
    assert_eq!(read(&changed("\"rank\": 0", "\"rank\": 7")), Ok((7, None)));
    assert_eq!(read(&let_go("300000000")), Ok((0, Some(Duration::from_millis(300)))));
    assert_eq!(read(&let_go("-1")), Err("setting contract.let-go-in-ns is not a time".into()));
    assert_eq!(
        read(&changed("\"rank\": 0", "\"rank\": 99999999999")),
        Err("setting rank is too large".into())
    );
    let zero = let_go("0");
    let (ended, _) = run(&format!("MARK 1 1\nFOR 1\nBEGIN 1 {zero}\nEOF_BATCH\n"));
    assert!(ended.expect_err("no time").contains("rules.close_idle_within"));
}

#[test]
fn the_retry_budget_and_the_rule_on_drains_are_read_and_may_be_absent() {
    use cometcroft::RetryBudget;
    let rules = |conf: &str| codec::parse_settings(conf).map(|(s, _)| s.rules);
    let with = |keys: &str| changed("\"novel\": 1", keys);
    let plain = rules(CONF).expect("sound");
    assert_eq!((plain.retry_budget, plain.use_removed_endpoints), (None, false));
    let window = std::time::Duration::from_secs(2);
    let full = "\"budget-free\": 5, \"extra-ratio\": 0.03, \"look-back-ns\": 2000000000, \"drain-binds-alone\": true";
    let full = rules(&with(full)).expect("sound");
    assert_eq!(full.retry_budget, Some(RetryBudget { min_retries: 5.0, ratio: 0.03, window }));
    assert!(full.use_removed_endpoints);
    for (keys, words) in [
        ("\"budget-free\": 5, \"look-back-ns\": 2000000000", "contract.extra-ratio is missing"),
        ("\"extra-ratio\": 0.1", "contract.budget-free is missing"),
        ("\"budget-free\": 5, \"extra-ratio\": 0.1", "contract.look-back-ns is missing"),
        ("\"drain-binds-alone\": 1", "contract.drain-binds-alone is neither"),
        ("\"budget-free\": 5, \"extra-ratio\": -0.1, \"look-back-ns\": 1", "rules.retry_budget.ratio"),
        ("\"budget-free\": 5, \"extra-ratio\": 0.1, \"look-back-ns\": 0", "rules.retry_budget.window"),
    ] {
        let (ended, _) = run(&format!("MARK 1 1\nFOR 1\nBEGIN 1 {}\nEOF_BATCH\n", with(keys)));
        let message = ended.expect_err(keys);
        assert!(message.contains(words), "{message}");
    }
}

#[test]
fn idle_connections_are_released_on_drains() {
    let conf = changed("\"novel\": 1", "\"let-go-in-ns\": 300000000");
    let input = begin().replace(CONF, &conf);
    let (ended, output) = run(&input);
    assert_eq!(ended, Ok(()));
    assert!(output.contains("RELEASE up-b\n") && !output.contains("RELEASE up-a"), "{output}");
}

#[test]
fn names_hash_alike_everywhere() {
    assert_eq!(codec::hash("upstream-abuevth"), codec::hash("upstream-abuevth"));
    assert_ne!(codec::hash("upstream-abuevth"), codec::hash("upstream-azkaesv"));
    assert_eq!(codec::hash(""), 0xcbf2_9ce4_8422_2325);
}
