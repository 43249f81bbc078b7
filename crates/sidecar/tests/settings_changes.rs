//! A complete sidecar on loopback whose settings change: until everybody has taken the new version into use, the limits of
//! every version hold.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::classes::CHANGE_OVERLAP;
use cometcroft_sidecar::config::Config;
use common::in_process::{
    BOOK_REQUEST, Sidecar, TestConnection, accept, wait_until_reusable, with_confirmed_sidecar_config,
    with_sidecar_config,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Reloads the usual configuration with this change.
async fn reload(sidecar: &Sidecar, change: impl FnOnce(String) -> String) {
    let known = r#"{"index":1,"snapshot":true,"endpoints":[]}"#;
    let discovery = sidecar.discovery.local_addr().expect("local address").to_string();
    let text = change(common::config_json(&sidecar.address, &discovery, known));
    sidecar
        .reloader
        .reload(Config::parse(&text, |_| None), &sidecar.counters)
        .expect("a valid configuration");
    wait_until_reusable().await;
}

/// Sends a request that its endpoint always rejects, and returns the number of attempts.
async fn attempts_of_rejected_request(sidecar: &Sidecar) -> u64 {
    let before = sidecar.counters.dispatches.get();
    let mut client = TestConnection::to(sidecar).await;
    client.send(BOOK_REQUEST).await;
    loop {
        tokio::select! {
            response = client.receive() => {
                assert!(response.starts_with("HTTP/1.1 503"), "{response}");
                return sidecar.counters.dispatches.get() - before;
            }
            mut endpoint = accept(&sidecar.endpoint) => {
                endpoint.receive().await;
                let rejection = "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                endpoint.send(rejection).await;
            }
        }
    }
}

/// A reload that permits more attempts: requests that are still judged by the former limit get more than it permits.
#[test]
fn a_higher_limit_of_attempts_applies_once_the_former_settings_have_expired() {
    let one_attempt = |text: String| text.replace("\"max-attempts\":3", "\"max-attempts\":1");
    with_confirmed_sidecar_config(one_attempt, |sidecar| async move {
        assert_eq!(attempts_of_rejected_request(&sidecar).await, 1);
        reload(&sidecar, |text| text).await;
        assert_eq!(attempts_of_rejected_request(&sidecar).await, 1, "the former limit still holds");
        Tokio.sleep(CHANGE_OVERLAP).await;
        assert_eq!(attempts_of_rejected_request(&sidecar).await, 3, "the new limit alone");
    });
}

/// SIGTERM soon after a reload that raises the deadlines: SIGKILL comes by the former ones and finds open requests.
#[test]
fn sigterm_soon_after_a_reload_is_followed_by_sigkill_as_early_as_any_version_permits() {
    let short_deadlines =
        |text: String| text.replace("\"deadline-ns\":3000000000", "\"deadline-ns\":500000000");
    with_confirmed_sidecar_config(short_deadlines, |sidecar| async move {
        reload(&sidecar, |text| text).await;
        let sigterm = Tokio.now();
        sidecar.lifecycle.begin_shutdown();
        let earliest_sigkill = sigterm + Duration::from_millis(500) + Duration::from_millis(700);
        let all_answered = sidecar.lifecycle.query(|state, _| state.final_response_deadline());
        assert!(all_answered.is_some_and(|at| at < earliest_sigkill), "open requests are lost at SIGKILL");
    });
}

const PAY_REQUEST: &str = "POST /pay HTTP/1.1\r\nX-Call-Id: 3\r\nX-Budget: 30000m\r\nIdempotency-Key: k3\r\nContent-Length: 2\r\n\r\nhi";

/// Answers each call to discovery after 50 ms with the current text of `list`.
fn serve_lists(sidecar: &Sidecar, list: Rc<RefCell<String>>) {
    let discovery = socket2::SockRef::from(&sidecar.discovery).try_clone().expect("a socket");
    let discovery = TcpListener::from_std(discovery.into()).expect("a listener");
    spawn_local(async move {
        loop {
            let mut call = accept(&discovery).await;
            while !call.receive().await.is_empty() {
                Tokio.sleep(Duration::from_millis(50)).await;
                let list = list.borrow().clone();
                call.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())).await;
            }
        }
    });
}

/// Sends a keyed request, resets the connection of each attempt once it was received, and returns the numbers of the
/// endpoints that got one, in order.
async fn endpoints_of_lost_attempts(sidecar: &Sidecar, endpoints: [&TcpListener; 2]) -> Vec<usize> {
    let mut client = TestConnection::to(sidecar).await;
    client.send(PAY_REQUEST).await;
    let mut tried = Vec::new();
    loop {
        let (number, mut endpoint) = tokio::select! {
            response = client.receive() => {
                assert!(response.starts_with("HTTP/1.1 502"), "{response}");
                return tried;
            }
            endpoint = accept(endpoints[0]) => (0, endpoint),
            endpoint = accept(endpoints[1]) => (1, endpoint),
        };
        endpoint.receive().await;
        endpoint.reset();
        tried.push(number);
    }
}

/// A reload that removes a zone shifts the index of the others: an endpoint listed before it and one of another zone listed
/// after it pass for one zone, and a keyed request runs in both.
#[test]
fn endpoints_listed_before_and_after_a_zone_is_removed_are_not_of_one_zone() {
    let by_zone = |text: String| text.replace("\"dedup-scope\":\"all\"", "\"dedup-scope\":\"zone\"");
    let zones = |text: String, zones: &str| text.replace("\"dcs\":[\"a\",\"b\"]", zones);
    let before =
        |text| zones(by_zone(text), r#""dcs":["removed","a","c"]"#).replace("\"zone\":0", "\"zone\":1");
    with_sidecar_config(before, |sidecar| async move {
        let unchanged = r#"{"index":1,"snapshot":false,"endpoints":[]}"#;
        let list = Rc::new(RefCell::new(unchanged.to_owned()));
        serve_lists(&sidecar, list.clone());
        reload(&sidecar, |text| zones(by_zone(text), r#""dcs":["a","c"]"#)).await;
        let other = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let address = other.local_addr().expect("local address");
        let entry = format!(r#"{{"name":"t","address":"{address}","zone":"c","group":0,"status":"up"}}"#);
        list.replace(format!(r#"{{"index":2,"snapshot":false,"endpoints":[{entry}]}}"#));
        Tokio.sleep(Duration::from_millis(500)).await;
        let tried = endpoints_of_lost_attempts(&sidecar, [&sidecar.endpoint, &other]).await;
        assert!(
            !tried.is_empty() && tried.iter().all(|number| *number == tried[0]),
            "in two zones: {tried:?}"
        );
    });
}

/// A reload that removes a class while a body of that class arrives: a request under way keeps its class, but was answered 400
/// when its body was complete.
#[test]
fn an_upload_that_outlasts_the_overlap_keeps_the_class_of_its_head() {
    const LENGTH: usize = 100_000;
    with_confirmed_sidecar_config(
        |text| text,
        |sidecar| async move {
            let mut client = TestConnection::to(&sidecar).await;
            let head = "POST /pay HTTP/1.1\r\nX-Call-Id: 4\r\nX-Budget: 30000m\r\nIdempotency-Key: k4\r\n";
            client.send(&format!("{head}Content-Length: {LENGTH}\r\n\r\n")).await;
            wait_until_reusable().await;
            reload(&sidecar, |text| text.replace("\"pay\"", "\"other\"")).await;
            let pieces = 5;
            for _ in 0..pieces {
                Tokio.sleep(CHANGE_OVERLAP / 4).await;
                client.send(&"x".repeat(LENGTH / pieces)).await;
            }
            let mut endpoint = tokio::select! {
                response = client.receive() => panic!("answered without an attempt: {response}"),
                endpoint = accept(&sidecar.endpoint) => endpoint,
            };
            assert!(endpoint.receive().await.starts_with("POST /pay"));
            endpoint.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            assert!(client.receive().await.starts_with("HTTP/1.1 200"));
        },
    );
}
