//! A complete sidecar on loopback whose settings change: until everybody has taken the new version into use, the limits of
//! every version hold.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::classes::CHANGE_OVERLAP;
use cometcroft_sidecar::config::Config;
use common::in_process::{
    BOOK_REQUEST, Sidecar, TestConnection, accept, wait_until_reusable, with_confirmed_sidecar_config,
};
use std::time::Duration;

/// Reloads the usual configuration with `from` replaced by `to`.
async fn reload_with(sidecar: &Sidecar, from: &str, to: &str) {
    let known = r#"{"index":1,"snapshot":true,"endpoints":[]}"#;
    let discovery = sidecar.discovery.local_addr().expect("local address").to_string();
    let usual = common::config_json(&sidecar.address, &discovery, known);
    assert!(usual.contains(from), "{from}");
    let config = Config::parse(&usual.replace(from, to), |_| None);
    sidecar.reloader.reload(config, &sidecar.counters).expect("a valid configuration");
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
        reload_with(&sidecar, "\"max-attempts\":3", "\"max-attempts\":3").await;
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
        reload_with(&sidecar, "\"deadline-ns\":3000000000", "\"deadline-ns\":3000000000").await;
        let sigterm = Tokio.now();
        sidecar.lifecycle.begin_shutdown();
        let earliest_sigkill = sigterm + Duration::from_millis(500) + Duration::from_millis(700);
        let all_answered = sidecar.lifecycle.query(|state, _| state.final_response_deadline());
        assert!(all_answered.is_some_and(|at| at < earliest_sigkill), "open requests are lost at SIGKILL");
    });
}
