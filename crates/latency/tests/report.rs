//! The JSON keys of the report, on which its readers rely.

use cometcroft_latency::{AddedLatencyReport, ChainReport, Outcome, Percentiles};

#[test]
fn keys_of_the_added_latency_report_are_stable() {
    let report = AddedLatencyReport::from_rounds(156.0, &[]).expect("an empty report");
    let text = serde_json::to_string(&report).expect("JSON");
    let percentiles = r#"{"n":0,"p50":0,"p99":0,"p999":0,"max":0}"#;
    let expected = format!(
        r#"{{"rate":156.0,"rounds":0,"direct":{percentiles},"sidecar":{percentiles},"added_p50":null,"added_p99":null,"added_p999":null,"sender_lateness":[{percentiles},{percentiles}],"not_served":[0,0]}}"#
    );
    assert_eq!(text, expected);
}

#[test]
fn keys_of_the_chain_report_are_stable() {
    let none = Percentiles::of(&Outcome::new().expect("empty results").latency);
    let report = ChainReport {
        case: "one sidecar",
        depth: 1,
        rate: 50.0,
        deadline_us: 2,
        service_time_us: 3,
        served: Percentiles { n: 4, ..none },
        response_time: Percentiles { n: 5, ..none },
        rejected: 6,
        failed: 7,
        past_deadline: 8,
        attempts_per_request: 9.0,
        remaining_deadline_us: Some((10, 11)),
        send_delay: Percentiles { n: 12, ..none },
    };
    let text = serde_json::to_string(&report).expect("JSON");
    let percentiles = |n| format!(r#"{{"n":{n},"p50":0,"p99":0,"p999":0,"max":0}}"#);
    let (served, response_time, send_delay) = (percentiles(4), percentiles(5), percentiles(12));
    let expected = format!(
        r#"{{"case":"one sidecar","depth":1,"rate":50.0,"budget":2,"work":3,"served":{served},"answered":{response_time},"denied":6,"failed":7,"late":8,"attempts_at_the_end":9.0,"budget_at_the_end":[10,11],"sender_lateness":{send_delay}}}"#
    );
    assert_eq!(text, expected);
}
