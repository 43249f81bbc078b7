//! Events that cross, each forced by a stand-in that stops at a byte or an event and goes on when told:
//! docs/design/crossings.md has a row for each.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::endpoint_list::EndpointList;
use cometcroft_sidecar::endpoint_table::EndpointTable;
use cometcroft_sidecar::exchange::{Deadlines, Exchanger};
use cometcroft_sidecar::pool::ConnectionPool;
use common::in_process::{
    BOOK_REQUEST, GatedPlatform, PLAN_REQUEST, TestConnection, accept, confirm_all_calls, endpoint_entry,
    is_served, open_watch, wait_until_reusable, with_confirmed_sidecar, with_confirmed_sidecar_config,
    with_pushed_lists, with_sidecar, with_sidecar_config, with_slow_connects,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const MS: Duration = Duration::from_millis(1);

/// An answer of discovery.
fn told(index: i64, whole: bool, rows: &str) -> String {
    let list = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{rows}]}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

// ---- Lists ----------------------------------------------------------------------------------------------------

/// The module asks to subscribe only where lists are asked for; an agent to which they are pushed is watched too.
#[test]
fn where_lists_are_pushed_the_agent_is_asked_at_once_and_watched() {
    with_sidecar_config(with_pushed_lists, |sidecar| async move {
        let mut agent = accept(&sidecar.discovery).await;
        assert!(agent.receive().await.starts_with("GET /discovery/hosts?from=1&hold_ms=0 "));
        agent.send(&told(2, false, "")).await;
        assert!(agent.receive().await.starts_with("GET /discovery/hosts?from=2&hold_ms="));
        assert!(is_served(&sidecar).await);
        agent.send(&told(3, false, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(agent.receive().await.contains("?from=3&"));
        assert!(!is_served(&sidecar).await, "it was told that its only backend server drains");
    });
}

/// What an agent gets when discovery is back counts as told at once: whoever asks is there when it speaks again.
#[test]
fn an_agent_that_is_silent_is_asked_again_and_again_until_it_speaks() {
    with_sidecar_config(with_pushed_lists, |sidecar| async move {
        for _ in 0..6 {
            let mut silent = accept(&sidecar.discovery).await;
            assert!(silent.receive().await.contains("?from=1&hold_ms=0 "));
            assert_eq!(
                silent.receive().await,
                "",
                "its call is given up, on its connection nothing can come late"
            );
        }
        let mut agent = accept(&sidecar.discovery).await;
        agent.receive().await;
        agent.send(&told(2, true, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(agent.receive().await.contains("?from=2&"));
        assert!(!is_served(&sidecar).await);
        assert_eq!(sidecar.counters.discovery_silent.get(), 6);
    });
}

/// A change counts as told 6 s after a call was refused, and the call that follows may fall silent: another one is made
/// beside it in time, asks at once for what is owed, and what it brings counts.
#[test]
fn a_call_after_a_refused_one_that_falls_silent_is_followed_in_time() {
    with_sidecar(|sidecar| async move {
        for _ in 0..2 {
            let mut discovery = accept(&sidecar.discovery).await;
            discovery.receive().await;
            discovery.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
        }
        let mut silent = accept(&sidecar.discovery).await;
        assert!(silent.receive().await.contains("?from=1&hold_ms="));
        let mut second = accept(&sidecar.discovery).await;
        assert!(second.receive().await.contains("?from=1&hold_ms=0 "), "whether there is news is owed");
        second.send(&told(2, true, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(second.receive().await.contains("?from=2&"));
        assert!(!is_served(&sidecar).await);
        assert_eq!(sidecar.counters.discovery_failures.get(), 2);
    });
}

/// Discovery answers all callers in turn and may be late: a call that is overdue is not given up for the second one, and
/// its answer binds when it comes first.
#[test]
fn the_late_answer_of_an_overdue_call_still_binds() {
    with_sidecar(|sidecar| async move {
        let mut late = accept(&sidecar.discovery).await;
        assert!(late.receive().await.contains("?from=1&hold_ms="));
        let mut second = accept(&sidecar.discovery).await;
        assert!(second.receive().await.contains("?from=1&hold_ms=0 "));
        late.send(&told(2, true, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(!is_served(&sidecar).await, "the late answer binds");
        second.send(&told(1, false, "")).await;
        assert!(
            second.receive().await.contains("?from=2&"),
            "an older answer of the second call is no failure"
        );
        assert_eq!(sidecar.counters.discovery_older.get(), 0);
    });
}

/// An answer that was held up, or a copy of discovery that lags: it bars, and never un-bars.
#[test]
fn an_older_list_bars_and_never_un_bars_until_discovery_has_begun_anew() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        discovery.send(&told(7, false, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(discovery.receive().await.contains("?from=7&"));
        discovery.send(&told(6, true, &endpoint_entry(&sidecar, "up"))).await;
        for older in 1..3 {
            let mut discovery = accept(&sidecar.discovery).await;
            assert!(discovery.receive().await.starts_with("GET /discovery/hosts HTTP/1.1"), "the whole list");
            assert!(!is_served(&sidecar).await);
            assert_eq!(sidecar.counters.discovery_older.get(), older);
            discovery.send(&told(6, true, &endpoint_entry(&sidecar, "up"))).await;
            if older == 2 {
                assert!(discovery.receive().await.contains("?from=6&"), "three times running: it is taken");
            }
        }
        assert!(is_served(&sidecar).await);
        assert_eq!(sidecar.counters.discovery_older.get(), 2);
    });
}

/// The old call is dropped before the new one is made, so its answer can't come after the other's.
#[test]
fn what_a_call_that_was_given_up_brings_late_is_heard_by_nobody() {
    with_sidecar(|sidecar| async move {
        let mut old = accept(&sidecar.discovery).await;
        old.receive().await;
        let mut new = accept(&sidecar.discovery).await;
        new.receive().await;
        new.send(&told(9, false, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(new.receive().await.contains("?from=9&"));
        let _ = tokio::io::AsyncWriteExt::write_all(
            &mut old.0,
            told(8, true, &endpoint_entry(&sidecar, "up")).as_bytes(),
        )
        .await;
        wait_until_reusable().await;
        assert!(!is_served(&sidecar).await);
    });
}

/// The notice of a drain comes while the connection for an attempt is being made: the attempt does not begin.
#[test]
fn a_drain_told_while_a_connection_is_made_bars_the_attempt() {
    with_sidecar_config(with_slow_connects, |sidecar| async move {
        let mut discovery = open_watch(&sidecar).await;
        sidecar.gates.block(sidecar.endpoint_address());
        let mut client = TestConnection::to(&sidecar).await;
        client.send(PLAN_REQUEST).await;
        sidecar.gates.wait_until_blocked().await;
        discovery.send(&told(2, false, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(discovery.receive().await.contains("?from=2&"));
        // Within the grace of 250 ms, of which nothing is used.
        Tokio.sleep(150 * MS).await;
        sidecar.gates.unblock(sidecar.endpoint_address());
        let mut server = accept(&sidecar.endpoint).await;
        assert!(client.receive().await.starts_with("HTTP/1.1 503"));
        assert_eq!(server.receive().await, "", "not a byte");
        assert_eq!(sidecar.counters.dispatch_barred.get(), 1);
    });
}

/// A sign of life is no answer: what is silent after it is asked again as if it had said nothing.
#[test]
fn a_call_that_is_silent_after_a_heartbeat_is_made_again() {
    with_sidecar_config(with_pushed_lists, |sidecar| async move {
        let mut beats = accept(&sidecar.discovery).await;
        beats.receive().await;
        beats.send("HTTP/1.1 102 Processing\r\n\r\n").await;
        let mut again = accept(&sidecar.discovery).await;
        assert!(again.receive().await.contains("?from=1&hold_ms=0 "));
        assert_eq!(beats.receive().await, "");
        assert_eq!(sidecar.counters.discovery_silent.get(), 1);
    });
}

#[test]
fn a_drain_whose_list_is_reset_on_its_way_binds_once_its_row_has_come() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = told(2, false, &endpoint_entry(&sidecar, "draining"));
        discovery.send(&list[..list.len() - 3]).await;
        wait_until_reusable().await;
        discovery.reset();
        let mut again = accept(&sidecar.discovery).await;
        assert!(again.receive().await.contains("?from=1&hold_ms=0 "), "the rest is owed");
        assert!(!is_served(&sidecar).await);
        assert_eq!((sidecar.counters.discovery_bad.get(), sidecar.counters.discovery_failures.get()), (1, 0));
    });
}

/// The list that the configuration holds is old; what discovery answers at the start goes before it, and all drain.
#[test]
fn a_list_that_is_out_of_date_at_the_start_gives_way_and_a_whole_tier_may_drain() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        assert!(discovery.receive().await.contains("?from=1&"));
        discovery.send(&told(40, true, &endpoint_entry(&sidecar, "draining"))).await;
        assert!(discovery.receive().await.contains("?from=40&"));
        let mut client = TestConnection::to(&sidecar).await;
        client.send(BOOK_REQUEST).await;
        let answer = client.receive().await;
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After: "), "{answer}");
        assert_eq!(sidecar.counters.dispatches.get(), 0);
    });
}

// ---- Clients that leave ---------------------------------------------------------------------------------------

/// Leaves the sidecar's thread, which is the test's, standing until then: what comes due or comes in meanwhile crosses.
fn stand_still(time: Duration) {
    std::thread::sleep(time);
}

/// A client that is gone: by an orderly end or by a reset.
fn gone(client: TestConnection, reset: bool) {
    if reset { client.reset() } else { drop(client) }
}

#[test]
fn whoever_leaves_while_a_connection_is_made_has_nothing_sent() {
    for reset in [false, true] {
        with_confirmed_sidecar_config(with_slow_connects, |sidecar| async move {
            sidecar.gates.block(sidecar.endpoint_address());
            let mut client = TestConnection::to(&sidecar).await;
            client.send(BOOK_REQUEST).await;
            sidecar.gates.wait_until_blocked().await;
            gone(client, reset);
            wait_until_reusable().await;
            sidecar.gates.unblock(sidecar.endpoint_address());
            wait_until_reusable().await;
            let counters = &sidecar.counters;
            assert_eq!((counters.withdrawn.get(), counters.backend_connections.get()), (1, 0));
        });
    }
}

/// A body that waits for room is not read, and so its client's end is not: it is looked for.
#[test]
fn whoever_leaves_while_its_body_waits_for_room_has_nothing_sent() {
    for reset in [false, true] {
        with_confirmed_sidecar_config(with_slow_connects, |sidecar| async move {
            sidecar.gates.block(sidecar.endpoint_address());
            let mut client = TestConnection::to(&sidecar).await;
            client.send("POST /book HTTP/1.1\r\nX-Call-Id: 9\r\nX-Budget: 9000m\r\nContent-Length: 3000000\r\n\r\n").await;
            client.send(&"b".repeat(1_300_000)).await;
            sidecar.gates.wait_until_blocked().await;
            gone(client, reset);
            Tokio.sleep(Duration::from_millis(90)).await;
            assert_eq!(sidecar.counters.withdrawn.get(), 1, "reset: {reset}");
            sidecar.gates.unblock(sidecar.endpoint_address());
            wait_until_reusable().await;
            assert_eq!(sidecar.counters.backend_connections.get(), 0);
        });
    }
}

#[test]
fn whoever_leaves_between_two_attempts_has_no_further_one() {
    for reset in [false, true] {
        with_confirmed_sidecar_config(with_slow_connects, |sidecar| async move {
            let mut client = TestConnection::to(&sidecar).await;
            client.send(PLAN_REQUEST).await;
            let mut server = accept(&sidecar.endpoint).await;
            server.receive().await;
            sidecar.gates.block(sidecar.endpoint_address());
            server.reset();
            sidecar.gates.wait_until_blocked().await;
            gone(client, reset);
            wait_until_reusable().await;
            sidecar.gates.unblock(sidecar.endpoint_address());
            wait_until_reusable().await;
            let counters = &sidecar.counters;
            assert_eq!((counters.dispatches.get(), counters.backend_connections.get()), (2, 1));
            assert_eq!((counters.withdrawn.get(), counters.served.get()), (1, 0));
        });
    }
}

/// The end of a client that sent more than is read ahead lies behind what it sent; it is seen all the same, and of the flood
/// nothing is held.
#[test]
fn whoever_sends_a_flood_behind_its_request_and_goes_is_gone() {
    with_confirmed_sidecar(|sidecar| async move {
        for (id, reset) in [(1, false), (2, true)] {
            let mut client = TestConnection::to(&sidecar).await;
            client.send(&PLAN_REQUEST.replace(": 1", &format!(": {id}"))).await;
            let mut server = accept(&sidecar.endpoint).await;
            server.receive().await;
            let flood = "GET /plan/2 HTTP/1.1\r\nX-Pad: 0123456789\r\n\r\n".repeat(20_000);
            client.send(&flood).await;
            gone(client, reset);
            assert_eq!(server.receive().await, "", "its attempt is given up");
            assert_eq!((sidecar.counters.withdrawn.get(), sidecar.counters.dispatches.get()), (id, id));
        }
    });
}

/// One that sends a flood and stays gets the answer to its request, and the connection ends with it.
#[test]
fn a_flood_behind_a_request_ends_its_connection_with_the_answer() {
    with_confirmed_sidecar(|sidecar| async move {
        let mut client = TestConnection::to(&sidecar).await;
        client.send(PLAN_REQUEST).await;
        let mut server = accept(&sidecar.endpoint).await;
        server.receive().await;
        client.send(&"x".repeat(200_000)).await;
        wait_until_reusable().await;
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
        let answer = client.receive().await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
        assert_eq!(client.receive().await, "");
        assert_eq!(sidecar.counters.sessions.get(), 1);
    });
}

/// Many that come and leave in one instant: nothing of them is sent on.
#[test]
fn a_burst_that_leaves_at_once_has_nothing_sent() {
    with_sidecar_config(with_slow_connects, |sidecar| async move {
        sidecar.gates.block(sidecar.endpoint_address());
        let mut burst = Vec::new();
        for id in 0..60 {
            let mut client = TestConnection::to(&sidecar).await;
            client.send(&PLAN_REQUEST.replace(": 1", &format!(": {id}"))).await;
            burst.push(client);
        }
        wait_until_reusable().await;
        let taken = sidecar.counters.sessions.get();
        for (id, client) in burst.into_iter().enumerate() {
            gone(client, id % 2 == 0);
        }
        stand_still(20 * MS);
        sidecar.gates.unblock(sidecar.endpoint_address());
        wait_until_reusable().await;
        let counters = &sidecar.counters;
        let denied = counters.denied.get();
        assert_eq!((taken, counters.withdrawn.get() + denied), (60, 60));
        assert_eq!((counters.backend_connections.get(), counters.served.get()), (0, 0));
    });
}

/// A client that ends its sending has closed, as far as anybody can tell; the protocol page knows no half close of a client.
#[test]
fn an_end_of_sending_counts_as_a_leave_also_behind_a_request_that_was_sent_early() {
    with_confirmed_sidecar(|sidecar| async move {
        let mut client = TestConnection::to(&sidecar).await;
        client.send(&format!("{PLAN_REQUEST}{}", PLAN_REQUEST.replace(": 1", ": 7"))).await;
        let mut server = accept(&sidecar.endpoint).await;
        assert!(server.receive().await.contains("X-Call-Id: 1\r\n"));
        tokio::io::AsyncWriteExt::shutdown(&mut client.0).await.expect("a socket");
        assert_eq!(server.receive().await, "");
        wait_until_reusable().await;
        assert_eq!((sidecar.counters.withdrawn.get(), sidecar.counters.sessions.get()), (1, 1));
    });
}

// ---- Shutdown -------------------------------------------------------------------------------------------------

/// So long after SIGTERM a sidecar of these settings (3 s, kill after 3.7 s) takes requests.
const LINGER: Duration = Duration::from_millis(2500);

/// A connection that the machine has accepted is the sidecar's, though it lets its listener go in the same instant.
#[test]
fn a_connection_that_waits_when_the_listener_is_let_go_is_served() {
    // Another that waited before it may have left at once.
    for failing_accepts in [0, 1, 3] {
        with_sidecar(|sidecar| async move {
            let _discovery = confirm_all_calls(&sidecar);
            sidecar.lifecycle.begin_shutdown();
            Tokio.sleep(LINGER - 100 * MS).await;
            // Both lie there when the sidecar goes on: its time is over, and the request has come.
            let mut late = std::net::TcpStream::connect(&sidecar.address).expect("it listens");
            std::io::Write::write_all(&mut late, PLAN_REQUEST.as_bytes()).expect("a request");
            sidecar.gates.failing_accepts.set(failing_accepts);
            stand_still(200 * MS);
            late.set_nonblocking(true).expect("a socket");
            let mut late = TestConnection(tokio::net::TcpStream::from_std(late).expect("a socket"));
            let mut server = accept(&sidecar.endpoint).await;
            server.receive().await;
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            let answer = late.receive().await;
            assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
            sidecar.task.await.expect("no panic").expect("a clean end");
        });
    }
}

/// A request that comes on a resting connection in the moment in which that is closed is served; one that comes after is not
/// read as one, and its connection ends in order.
#[test]
fn a_request_that_crosses_the_close_of_a_resting_connection_is_served_or_its_close_is_clean() {
    with_confirmed_sidecar(|sidecar| async move {
        let mut clients = Vec::new();
        // More than may linger while others need their places.
        for _ in 0..20 {
            let mut client = TestConnection::to(&sidecar).await;
            client.send("GET /up HTTP/1.1\r\n\r\n").await;
            assert!(client.receive().await.starts_with("HTTP/1.1 200"));
            clients.push(client);
        }
        let mut crosses = clients.remove(0);
        sidecar.lifecycle.begin_shutdown();
        Tokio.sleep(LINGER - 100 * MS).await;
        crosses.send(PLAN_REQUEST).await;
        stand_still(200 * MS);
        let mut server = accept(&sidecar.endpoint).await;
        server.receive().await;
        for after in &mut clients {
            assert_eq!(after.0.peek(&mut [0]).await.expect("an orderly end"), 0);
        }
        for _ in 0..3 {
            for after in &mut clients {
                after.send(&PLAN_REQUEST.replace(": 1", ": 9")).await;
            }
            Tokio.sleep(10 * MS).await;
        }
        for after in &mut clients {
            assert_eq!(after.read_to_end().await.expect("no reset"), "");
        }
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        assert!(crosses.receive().await.contains("Connection: close"));
        assert_eq!(sidecar.counters.sessions.get(), 1);
        sidecar.task.await.expect("no panic").expect("a clean end");
    });
}

/// What is passed on piece by piece goes on to its end, though the time for new requests is over.
#[test]
fn an_answer_that_is_half_passed_on_at_sigterm_comes_whole() {
    with_confirmed_sidecar(|sidecar| async move {
        let mut client = TestConnection::to(&sidecar).await;
        client.send(PLAN_REQUEST).await;
        let mut server = accept(&sidecar.endpoint).await;
        server.receive().await;
        let half = "x".repeat(100_000);
        server.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{half}")).await;
        sidecar.lifecycle.begin_shutdown();
        Tokio.sleep(LINGER + 50 * MS).await;
        assert!(!sidecar.task.is_finished());
        server.send(&half).await;
        let answer = client.receive().await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.len() > 200_000, "{}", answer.len());
        sidecar.task.await.expect("no panic").expect("a clean end");
    });
}

/// A backend server hangs just then: its client has an answer before SIGKILL may come.
#[test]
fn a_backend_server_that_hangs_at_sigterm_costs_its_request_a_late_answer_and_no_more() {
    with_confirmed_sidecar(|sidecar| async move {
        sidecar.lifecycle.begin_shutdown();
        Tokio.sleep(1000 * MS).await;
        let mut client = TestConnection::to(&sidecar).await;
        client.send(BOOK_REQUEST).await;
        let mut server = accept(&sidecar.endpoint).await;
        server.receive().await;
        let answer = client.receive().await;
        assert!(answer.starts_with("HTTP/1.1 50") && answer.contains("Connection: close"), "{answer}");
        sidecar.task.await.expect("no panic").expect("a clean end");
        assert_eq!(sidecar.counters.dispatches.get(), 1);
    });
}

/// Bytes that nobody reads lie there when a bad request is answered: the answer comes whole all the same, and an end.
#[test]
fn an_answer_over_unread_bytes_is_not_eaten_by_a_reset() {
    with_sidecar(|sidecar| async move {
        for _ in 0..5 {
            let mut client = TestConnection::to(&sidecar).await;
            client.send("GET /nothing HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget: 9m\r\n\r\n").await;
            client.send(&"x".repeat(300_000)).await;
            let answer = client.read_to_end().await.expect("no reset");
            assert!(answer.starts_with("HTTP/1.1 400 ") && answer.contains("Connection: close"), "{answer}");
        }
        assert_eq!((sidecar.counters.bad_requests.get(), sidecar.counters.sessions.get()), (5, 0));
    });
}

/// A request that was half read at SIGTERM and is whole when nothing can come of it any more is denied, and not begun.
#[test]
fn a_request_that_is_whole_too_late_for_an_attempt_is_denied_at_once() {
    with_sidecar(|sidecar| async move {
        sidecar.lifecycle.begin_shutdown();
        Tokio.sleep(LINGER - 100 * MS).await;
        let mut half = TestConnection::to(&sidecar).await;
        let (head, rest) = PLAN_REQUEST.split_at(20);
        half.send(head).await;
        // Answers are due 3.4 s after SIGTERM.
        Tokio.sleep(1100 * MS).await;
        half.send(rest).await;
        let answer = half.receive().await;
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After: "), "{answer}");
        assert!(answer.contains("Connection: close"));
        assert_eq!((sidecar.counters.dispatches.get(), sidecar.counters.overdue.get()), (0, 0));
        sidecar.task.await.expect("no panic").expect("a clean end");
    });
}

// ---- Attempts -------------------------------------------------------------------------------------------------

const PAY: &str = "POST /pay HTTP/1.1\r\nX-Call-Id: 3\r\nX-Budget: 30000m\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi";

/// The connection for a repeat comes up after the window in which backend servers drop repeats: nothing is written to it.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_sent() {
    with_confirmed_sidecar_config(
        |text| with_slow_connects(text).replace("\"key-ttl-ns\":5000000000", "\"key-ttl-ns\":800000000"),
        |sidecar| async move {
            let mut client = TestConnection::to(&sidecar).await;
            client.send(PAY).await;
            let mut server = accept(&sidecar.endpoint).await;
            assert!(server.receive().await.ends_with("hi"));
            sidecar.gates.block(sidecar.endpoint_address());
            server.reset();
            sidecar.gates.wait_until_blocked().await;
            // The key is dropped by all: to be told to come again is harmless.
            assert!(client.receive().await.starts_with("HTTP/1.1 503"));
            sidecar.gates.unblock(sidecar.endpoint_address());
            wait_until_reusable().await;
            let counters = &sidecar.counters;
            assert_eq!((counters.dispatch_outlived.get(), counters.backend_connections.get()), (1, 1));
        },
    );
}

/// In time it goes out; and a class that must never run twice does not, whatever the settings say of windows.
#[test]
fn a_repeat_in_its_window_is_sent_and_an_unsafe_request_never() {
    with_confirmed_sidecar_config(with_slow_connects, |sidecar| async move {
        let mut client = TestConnection::to(&sidecar).await;
        client.send(PAY).await;
        let mut server = accept(&sidecar.endpoint).await;
        server.receive().await;
        sidecar.gates.block(sidecar.endpoint_address());
        server.reset();
        sidecar.gates.wait_until_blocked().await;
        sidecar.gates.unblock(sidecar.endpoint_address());
        let mut server = accept(&sidecar.endpoint).await;
        assert!(server.receive().await.ends_with("hi"));
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        assert!(client.receive().await.starts_with("HTTP/1.1 200"));
        client.send(BOOK_REQUEST).await;
        wait_until_reusable().await;
        // On the connection that was kept, or on another.
        let mut server = tokio::select! {
            _ = Tokio.sleep(50 * MS) => server,
            another = accept(&sidecar.endpoint) => another,
        };
        assert!(server.receive().await.contains("/book"));
        server.reset();
        assert!(client.receive().await.starts_with("HTTP/1.1 502"));
        assert_eq!((sidecar.counters.dispatches.get(), sidecar.counters.dispatch_outlived.get()), (3, 0));
    });
}

/// The server closes a connection that was kept as it is taken for the next request: that may have run.
#[test]
fn a_kept_connection_that_ends_as_it_is_taken_may_have_run_its_request() {
    with_confirmed_sidecar(|sidecar| async move {
        let mut client = TestConnection::to(&sidecar).await;
        for (request, status) in [(BOOK_REQUEST, "502"), (PLAN_REQUEST, "200")] {
            client
                .send("POST /book HTTP/1.1\r\nX-Call-Id: 8\r\nX-Budget: 2000m\r\nContent-Length: 0\r\n\r\n")
                .await;
            let mut server = accept(&sidecar.endpoint).await;
            server.receive().await;
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            assert!(client.receive().await.starts_with("HTTP/1.1 200"));
            wait_until_reusable().await;
            client.send(request).await;
            assert!(!server.receive().await.is_empty(), "on the connection that was kept");
            drop(server);
            if request == PLAN_REQUEST {
                let mut server = accept(&sidecar.endpoint).await;
                server.receive().await;
                server.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").await;
            }
            let answer = client.receive().await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        }
        assert_eq!((sidecar.counters.backend_reused.get(), sidecar.counters.dispatch_reset.get()), (2, 2));
    });
}

/// A reset is no end, a 503 without the mark may have run, and what never ends is given up: none is served, none is sent again.
#[test]
fn what_is_no_whole_answer_is_not_served_and_an_unsafe_request_not_sent_again() {
    for spoilt in [
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "garbage",
    ] {
        with_confirmed_sidecar(|sidecar| async move {
            let mut client = TestConnection::to(&sidecar).await;
            client.send(BOOK_REQUEST).await;
            let mut server = accept(&sidecar.endpoint).await;
            server.receive().await;
            server.send(spoilt).await;
            if spoilt.contains("100 Continue") {
                // It may come for ever.
                for _ in 0..20 {
                    let more = tokio::io::AsyncWriteExt::write_all(&mut server.0, spoilt.as_bytes()).await;
                    if more.is_err() {
                        break;
                    }
                }
            }
            wait_until_reusable().await;
            server.reset();
            let answer = client.receive().await;
            assert!(answer.starts_with("HTTP/1.1 502") && !answer.contains("part"), "{spoilt}: {answer}");
            assert_eq!(
                (sidecar.counters.dispatches.get(), sidecar.counters.served.get()),
                (1, 0),
                "{spoilt}"
            );
        });
    }
}

/// The attempt breaks as its time is over: one answer, and nothing is sent any more.
#[test]
fn an_attempt_that_breaks_as_the_deadline_passes_is_not_made_again() {
    with_confirmed_sidecar(|sidecar| async move {
        let mut client = TestConnection::to(&sidecar).await;
        client.send(&PLAN_REQUEST.replace("30000m", "400m")).await;
        let mut server = accept(&sidecar.endpoint).await;
        server.receive().await;
        Tokio.sleep(200 * MS).await;
        server.reset();
        stand_still(300 * MS);
        assert!(client.receive().await.starts_with("HTTP/1.1 50"));
        let counters = &sidecar.counters;
        assert_eq!((counters.dispatches.get(), counters.backend_connections.get()), (1, 1));
    });
}

/// A server whose connections never come up: each attempt ends with its time, and nothing has run.
#[test]
fn connections_that_never_come_up_end_in_a_denial() {
    with_confirmed_sidecar(|sidecar| async move {
        sidecar.gates.block(sidecar.endpoint_address());
        let mut client = TestConnection::to(&sidecar).await;
        client.send(BOOK_REQUEST).await;
        let answer = client.receive().await;
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After: "), "{answer}");
        let counters = &sidecar.counters;
        assert_eq!((counters.dispatch_unconnected.get(), counters.dispatches.get()), (3, 3));
        // What would come up now has no request any more.
        sidecar.gates.unblock(sidecar.endpoint_address());
        wait_until_reusable().await;
        assert_eq!(counters.backend_connections.get(), 0);
    });
}

/// Connections that are being made count against the cap, each once, and give their places back however they end; and one
/// that has rested nearly as long as the other side keeps it is not used again.
#[test]
fn the_cap_holds_under_slow_connections_and_a_rested_one_is_not_taken_near_its_idle_time() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (at, to, second) =
            (listener.local_addr().expect("an address"), cometcroft::EndpointId(0), Duration::from_secs(1));
        let (platform, counters) = (GatedPlatform::default(), std::rc::Rc::new(Counters::default()));
        let pool = ConnectionPool::new(platform.clone(), 2, [5 * second, second], counters.clone(), None);
        let get = || pool.get(to, at, Tokio.now() + 9 * second);
        platform.0.block(at);
        {
            let (mut one, mut two) = (Box::pin(get()), Box::pin(get()));
            for slow in [&mut one, &mut two] {
                assert!(Tokio.timeout(10 * MS, slow).await.is_err(), "it is being made");
            }
            assert!(get().await.is_err(), "there is no place for a third");
            drop(one);
            // One was given up, one runs out of time: both places are free.
            assert!(two.await.is_err());
        }
        platform.0.unblock(at);
        let (one, two) = (get().await.expect("a place"), get().await.expect("a place"));
        assert!(get().await.is_err());
        pool.put(to, one);
        pool.put(to, two);
        tokio::time::advance(4 * second).await;
        drop(get().await.expect("one that has rested"));
        assert_eq!(counters.backend_reused.get(), 1);
        tokio::time::advance(500 * MS).await;
        get().await.expect("a new one");
        assert_eq!((counters.backend_reused.get(), counters.backend_connections.get()), (1, 3));
    });
}

/// Something of discovery has come that this process has not read for longer than a short list takes to read: no request
/// begins before it is read, and none where it bars.
#[test]
fn no_request_begins_while_a_notice_lies_unread_however_long_that_takes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = || TcpListener::bind("127.0.0.1:0");
        let (server, discovery) = (listener().await.expect("a port"), listener().await.expect("a port"));
        let address = server.local_addr().expect("bound");
        let endpoints = EndpointTable::new(vec!["a".into()], Duration::ZERO, Tokio.unix());
        let list = |status: &str| {
            let text = format!(
                r#"{{"index":1,"snapshot":true,"endpoints":[{{"name":"s","address":"{address}","zone":"a","status":"{status}"}}]}}"#
            );
            EndpointList::from_value(&serde_json::from_str(&text).expect("JSON")).expect("a list")
        };
        let entries = endpoints.apply(list("up"), None).update().expect("it is taken").entries;
        let notices = Tokio.connect(discovery.local_addr().expect("bound")).await.expect("it listens");
        let notices = Rc::new(RefCell::new(notices));
        endpoints.discovery_connections().add(&notices);
        let mut peer = accept(&discovery).await;
        peer.send("x").await;
        let counters = Rc::new(Counters::default());
        let second = Duration::from_secs(1);
        let pool = ConnectionPool::new(Tokio, 2, [5 * second, second], counters.clone(), None);
        let endpoints = Rc::new(endpoints);
        let exchanger = Exchanger { pool, endpoints: endpoints.clone(), counters };
        let (to, ends) = (entries[0].endpoint, Deadlines { end: Tokio.now() + 2 * second, write_by: None });
        let attempt = tokio::task::spawn_local(async move {
            exchanger.run(to, || PLAN_REQUEST.as_bytes().into(), None, ends, || {}).await.map(|reply| reply.response.status)
        });
        let mut server = accept(&server).await;
        Tokio.sleep(300 * MS).await;
        assert!(!attempt.is_finished());
        // It is read, and bars.
        drop(notices);
        endpoints.exclude(&list("draining").records, Some(2));
        let ended = Tokio.timeout(second, attempt).await.expect("it is not sent, so it ends at once");
        assert!(ended.expect("no panic").is_err(), "it is barred");
        assert_eq!(server.receive().await, "", "not a byte");
    });
}

/// A list has lapsed when new settings say that lists are pushed from now on: it holds again, as an agent that tells nothing
/// has nothing to tell.
#[test]
fn a_list_that_has_lapsed_holds_again_where_lists_are_pushed_from_now_on() {
    with_sidecar(|sidecar| async move {
        let mut silent = accept(&sidecar.discovery).await;
        silent.receive().await;
        Tokio.sleep(2700 * MS).await;
        assert!(!is_served(&sidecar).await, "nobody has confirmed it");
        let mut settings = sidecar.settings.clone();
        settings.discovery = cometcroft::Discovery::Push;
        sidecar.reloader.discovery_source.move_to(sidecar.discovery.local_addr().expect("bound"), &settings);
        let mut agent = accept(&sidecar.discovery).await;
        agent.receive().await;
        agent.send(&told(2, true, &endpoint_entry(&sidecar, "up"))).await;
        assert!(agent.receive().await.contains("?from=2&"));
        assert!(is_served(&sidecar).await);
    });
}
