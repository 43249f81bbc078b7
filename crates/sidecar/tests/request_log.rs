//! What the log tells of a request: which evidence opened an endpoint for it.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{Process, list_json, send_raw, sidecar_addresses, start_discovery, start_endpoint};
use serde_json::Value;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// The lines of a process that answers one request and is ended then.
fn log_of_a_request(endpoints: &[SocketAddr], discovery: SocketAddr, id: &str) -> Vec<Value> {
    let [listen, _, _] = sidecar_addresses(1)[0];
    let config = common::config_json(&listen.to_string(), &discovery.to_string(), &list_json(endpoints, 1));
    let process = Process::start(&config, &[("LB_LOG", "debug".to_owned())], 256);
    let began = Instant::now();
    let up = || send_raw(listen, "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n");
    while !up().is_some_and(|answer| answer.contains(" 200 ")) {
        assert!(began.elapsed() < 10_000 * MS, "it is not ready");
        sleep(10 * MS);
    }
    let request = format!(
        "GET /plan/1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Budget: 500m\r\nConnection: close\r\n\r\n"
    );
    send_raw(listen, &request).expect("an answer");
    process.signal("TERM");
    let said = String::from_utf8(process.wait().stderr).expect("text");
    said.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// The lines with this message that belong to the request.
fn lines_of<'a>(lines: &'a [Value], id: &str, message: &str) -> Vec<&'a Value> {
    let belongs = |line: &&Value| line["span"]["request"] == id && line["fields"]["message"] == message;
    lines.iter().filter(belongs).collect()
}

/// Guards against late requests of which nobody can tell afterwards why they began.
#[test]
fn the_log_tells_which_evidence_opened_an_endpoint_for_a_request() {
    let (endpoint, _) = start_endpoint(Duration::ZERO, "", false);
    let id = "00000000000000a1";
    let lines = log_of_a_request(&[endpoint], start_discovery(vec![endpoint]), id);
    let [begins] = lines_of(&lines, id, "attempt begins")[..] else { panic!("one line: {lines:#?}") };
    let fields = &begins["fields"];
    assert!(fields["evidence"].as_str().is_some_and(|text| text.starts_with("ListHolds(")), "{fields}");
    assert_eq!((&fields["version"], &fields["endpoint"]), (&1.into(), &endpoint.to_string().into()));
    assert_eq!(lines_of(&lines, id, "attempt ended").len(), 1);
}
