//! Events that cross, each forced by a stand-in that stops at a byte or an event and goes on when told:
//! docs/design/crossings.md has a row for each.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_platform::{Platform, Tokio};
use common::story::{BOOK, PLAN, Peer, Sidecar, next, rest, story, story_with};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// An answer of discovery.
fn told(index: i64, whole: bool, rows: &str) -> String {
    let list = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{rows}]}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

/// A row of it: the one backend server.
fn row(sidecar: &Sidecar, status: &str) -> String {
    format!(r#"{{"name":"s","address":"{}","zone":"a","status":"{status}"}}"#, sidecar.server())
}

/// Whether a request of a class that may be repeated still gets to the backend server.
async fn reaches(sidecar: &Sidecar) -> bool {
    let before = sidecar.counters.dispatches.get();
    let mut client = Peer::to(sidecar).await;
    client.say(PLAN).await;
    let answered = tokio::select! {
        answer = client.hear() => answer,
        mut server = next(&sidecar.backend) => {
            server.hear().await;
            server.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            client.hear().await
        }
    };
    assert!(sidecar.counters.dispatches.get() > before || answered.starts_with("HTTP/1.1 503"), "{answered}");
    answered.starts_with("HTTP/1.1 200")
}

// ---- Lists ----------------------------------------------------------------------------------------------------

/// The module asks to subscribe only where lists are asked for; an agent to which they are pushed is watched too.
#[test]
fn where_lists_are_pushed_the_agent_is_asked_at_once_and_watched() {
    story_with(
        |text| text.replace("\"subscribe\"", "\"automatic\""),
        |sidecar| async move {
            let mut agent = next(&sidecar.discovery).await;
            assert!(agent.hear().await.starts_with("GET /discovery/hosts?from=1&hold_ms=0 "));
            agent.say(&told(2, false, "")).await;
            assert!(agent.hear().await.starts_with("GET /discovery/hosts?from=2&hold_ms="));
            assert!(reaches(&sidecar).await);
            agent.say(&told(3, false, &row(&sidecar, "draining"))).await;
            assert!(agent.hear().await.contains("?from=3&"));
            assert!(!reaches(&sidecar).await, "it was told that its only backend server drains");
        },
    );
}

/// What an agent gets when discovery is back counts as told at once: whoever asks is there when it speaks again.
#[test]
fn an_agent_that_is_silent_is_asked_again_and_again_until_it_speaks() {
    story_with(
        |text| text.replace("\"subscribe\"", "\"automatic\""),
        |sidecar| async move {
            for _ in 0..6 {
                let mut silent = next(&sidecar.discovery).await;
                assert!(silent.hear().await.contains("?from=1&hold_ms=0 "));
                assert_eq!(
                    silent.hear().await,
                    "",
                    "its call is given up, on its connection nothing can come late"
                );
            }
            let mut agent = next(&sidecar.discovery).await;
            agent.hear().await;
            agent.say(&told(2, true, &row(&sidecar, "draining"))).await;
            assert!(agent.hear().await.contains("?from=2&"));
            assert!(!reaches(&sidecar).await);
            assert_eq!(sidecar.counters.discovery_silent.get(), 6);
        },
    );
}

/// After a call that failed the next one waits at discovery for little time: it may fall silent too, and a change counts as
/// told 6 s after the first.
#[test]
fn a_call_after_a_refused_one_is_short() {
    story(|sidecar| async move {
        for _ in 0..2 {
            let mut discovery = next(&sidecar.discovery).await;
            discovery.hear().await;
            discovery.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
        }
        let call = next(&sidecar.discovery).await.hear().await;
        let hold = call.split("hold_ms=").nth(1).and_then(|rest| rest.split(' ').next()).expect("it waits");
        assert!(hold.parse::<u64>().expect("a time") <= 1200, "{call}");
        assert_eq!(sidecar.counters.discovery_failures.get(), 2);
    });
}

/// An answer that was held up, or a copy of discovery that lags: it bars, and never un-bars.
#[test]
fn an_older_list_bars_and_never_un_bars_until_discovery_has_begun_anew() {
    story(|sidecar| async move {
        let mut discovery = next(&sidecar.discovery).await;
        discovery.hear().await;
        discovery.say(&told(7, false, &row(&sidecar, "draining"))).await;
        assert!(discovery.hear().await.contains("?from=7&"));
        discovery.say(&told(6, true, &row(&sidecar, "up"))).await;
        for older in 1..3 {
            let mut discovery = next(&sidecar.discovery).await;
            assert!(discovery.hear().await.starts_with("GET /discovery/hosts HTTP/1.1"), "the whole list");
            assert!(!reaches(&sidecar).await);
            assert_eq!(sidecar.counters.discovery_older.get(), older);
            discovery.say(&told(6, true, &row(&sidecar, "up"))).await;
            if older == 2 {
                assert!(discovery.hear().await.contains("?from=6&"), "three times running: it is taken");
            }
        }
        assert!(reaches(&sidecar).await);
        assert_eq!(sidecar.counters.discovery_older.get(), 2);
    });
}

/// The old call is dropped before the new one is made, so its answer can't come after the other's.
#[test]
fn what_a_call_that_was_given_up_brings_late_is_heard_by_nobody() {
    story(|sidecar| async move {
        let mut old = next(&sidecar.discovery).await;
        old.hear().await;
        let mut new = next(&sidecar.discovery).await;
        new.hear().await;
        new.say(&told(9, false, &row(&sidecar, "draining"))).await;
        assert!(new.hear().await.contains("?from=9&"));
        let _ =
            tokio::io::AsyncWriteExt::write_all(&mut old.0, told(8, true, &row(&sidecar, "up")).as_bytes())
                .await;
        rest().await;
        assert!(!reaches(&sidecar).await);
    });
}

/// The notice of a drain comes while the connection for an attempt is being made: the attempt begins within the grace only.
#[test]
fn a_drain_told_while_a_connection_is_made_bars_the_attempt() {
    story_with(
        |text| text.replace("\"dial-timeout-ns\":200000000", "\"dial-timeout-ns\":2000000000"),
        |sidecar| async move {
            let mut discovery = next(&sidecar.discovery).await;
            discovery.hear().await;
            sidecar.gates.shut(sidecar.server());
            let mut client = Peer::to(&sidecar).await;
            client.say(PLAN).await;
            sidecar.gates.waits().await;
            discovery.say(&told(2, false, &row(&sidecar, "draining"))).await;
            assert!(discovery.hear().await.contains("?from=2&"));
            // Half of the grace of 250 ms is ours.
            Tokio.sleep(150 * MS).await;
            sidecar.gates.open(sidecar.server());
            let mut server = next(&sidecar.backend).await;
            assert!(client.hear().await.starts_with("HTTP/1.1 503"));
            assert_eq!(server.hear().await, "", "not a byte");
            assert_eq!(sidecar.counters.dispatch_barred.get(), 1);
        },
    );
}

// ---- Attempts -------------------------------------------------------------------------------------------------

const PAY: &str = "POST /pay HTTP/1.1\r\nX-Call-Id: 3\r\nX-Budget: 30000m\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi";

/// The connection for a repeat comes up after the window in which backend servers drop repeats: nothing is written to it.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_sent() {
    story_with(
        |text| {
            let text = text.replace("\"dial-timeout-ns\":200000000", "\"dial-timeout-ns\":9000000000");
            text.replace("\"key-ttl-ns\":5000000000", "\"key-ttl-ns\":800000000")
        },
        |sidecar| async move {
            let mut client = Peer::to(&sidecar).await;
            client.say(PAY).await;
            let mut server = next(&sidecar.backend).await;
            assert!(server.hear().await.ends_with("hi"));
            sidecar.gates.shut(sidecar.server());
            server.reset();
            sidecar.gates.waits().await;
            // The key is dropped by all: to be told to come again is harmless.
            assert!(client.hear().await.starts_with("HTTP/1.1 503"));
            sidecar.gates.open(sidecar.server());
            rest().await;
            let counters = &sidecar.counters;
            assert_eq!((counters.dispatch_outlived.get(), counters.backend_connections.get()), (1, 1));
        },
    );
}

/// In time it goes out; and a class that must never run twice does not, whatever the settings say of windows.
#[test]
fn a_repeat_in_its_window_is_sent_and_an_unsafe_request_never() {
    story_with(
        |text| text.replace("\"dial-timeout-ns\":200000000", "\"dial-timeout-ns\":9000000000"),
        |sidecar| async move {
            let mut client = Peer::to(&sidecar).await;
            client.say(PAY).await;
            let mut server = next(&sidecar.backend).await;
            server.hear().await;
            sidecar.gates.shut(sidecar.server());
            server.reset();
            sidecar.gates.waits().await;
            sidecar.gates.open(sidecar.server());
            let mut server = next(&sidecar.backend).await;
            assert!(server.hear().await.ends_with("hi"));
            server.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            assert!(client.hear().await.starts_with("HTTP/1.1 200"));
            client.say(BOOK).await;
            rest().await;
            // On the connection that was kept, or on another.
            let mut server = tokio::select! {
                _ = Tokio.sleep(50 * MS) => server,
                another = next(&sidecar.backend) => another,
            };
            assert!(server.hear().await.contains("/book"));
            server.reset();
            assert!(client.hear().await.starts_with("HTTP/1.1 502"));
            assert_eq!((sidecar.counters.dispatches.get(), sidecar.counters.dispatch_outlived.get()), (3, 0));
        },
    );
}
