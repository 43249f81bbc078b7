//! Lists of thousands of endpoints that arrive slowly, in part or not at all. However the call ends, no request begins at an
//! endpoint once the bytes of the record that excludes it have arrived.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::config::Config;
use common::in_process::{
    PLAN_REQUEST, Sidecar, TestConnection, accept, endpoint_entry, is_served, open_watch, with_pushed_lists,
    with_sidecar, with_sidecar_config, with_slow_connects,
};
use std::fmt::Write;
use std::time::Duration;
use tokio::net::TcpListener;

const MS: Duration = Duration::from_millis(1);
/// Number of endpoints in the largest fleet.
const ENDPOINTS: usize = 3200;
/// The grace period of a drain in the settings, plus the slack of the rules.
const GRACE: Duration = Duration::from_millis(300);

/// How the body of a list is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

/// A complete list of [`ENDPOINTS`], with the sidecar's only endpoint first; all others drain.
fn long_list(sidecar: &Sidecar, index: i64, status: &str) -> String {
    let mut rows = endpoint_entry(sidecar, status);
    for i in 1..ENDPOINTS {
        let _ = write!(
            rows,
            r#",{{"name":"s-{i:08x}","address":"127.0.0.1:1","zone":"a","type":"m2","group":3,"status":"draining","weight":1.0,"since_ms":0}}"#
        );
    }
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{rows}]}}"#)
}

fn changes(index: i64, rows: &str) -> String {
    format!(r#"{{"index":{index},"snapshot":false,"endpoints":[{rows}]}}"#)
}

fn head(framing: Framing, list: &str) -> String {
    match framing {
        Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len()),
        Framing::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
    }
}

fn response(list: &str) -> String {
    head(Framing::Length, list) + list
}

/// Writes part of a body.
async fn write(peer: &mut TestConnection, framing: Framing, part: &str) {
    match framing {
        Framing::Length => peer.send(part).await,
        Framing::Chunked => peer.send(&format!("{:x}\r\n{part}\r\n", part.len())).await,
    }
}

/// Writes a list as a body in this many pieces, with a pause after each.
async fn write_slowly(
    mut peer: TestConnection,
    list: String,
    pieces: usize,
    pause: Duration,
) -> TestConnection {
    peer.send(&head(Framing::Length, &list)).await;
    for piece in list.as_bytes().chunks(list.len().div_ceil(pieces)) {
        peer.send(std::str::from_utf8(piece).expect("ASCII")).await;
        Tokio.sleep(pause).await;
    }
    peer
}

/// Loads a configuration that moves discovery to another address.
fn move_to(sidecar: &Sidecar, elsewhere: &TcpListener) {
    let at = elsewhere.local_addr().expect("an address").to_string();
    let known = changes(1, "").replace("false", "true");
    let reloaded = Config::parse(&common::config_json(&sidecar.address, &at, &known), |_| None);
    sidecar.reloader.reload(reloaded, &sidecar.counters).expect("a valid configuration");
}

/// A list takes three seconds to arrive. Its first record takes effect when that has arrived, not at the end of the list.
#[test]
fn a_drain_at_the_head_of_a_long_list_takes_effect_while_the_list_still_arrives() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let arriving = tokio::task::spawn_local(write_slowly(discovery, list, 100, 30 * MS));
        Tokio.sleep(GRACE).await;
        assert!(!is_served(&sidecar).await, "the drain arrived a grace period ago");
        let mut discovery = arriving.await.expect("the task does not panic");
        assert!(discovery.receive().await.contains("?from=2&"), "the list was read to its end");
    });
}

/// A list that takes longer than the timeout of any call is read to its end as long as it keeps arriving, and no other call
/// is made meanwhile. It says nothing about changes during the 6 s that it took, so no request begins until the next call,
/// which is not held, has confirmed it.
#[test]
fn a_list_that_keeps_arriving_is_never_given_up() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "up");
        let mut discovery = write_slowly(discovery, list, 125, 50 * MS).await;
        assert!(discovery.receive().await.contains("?from=2&hold_ms=0 "), "the list was applied");
        assert_eq!(sidecar.counters.discovery_calls.get(), 2);
        assert!(!is_served(&sidecar).await);
        discovery.send(&response(&changes(2, ""))).await;
        assert!(discovery.receive().await.contains("?from=2&"));
        assert!(is_served(&sidecar).await);
    });
}

/// The same if lists are pushed: the agent must answer at once, but its list may take long to arrive.
#[test]
fn a_long_list_of_an_agent_is_read_to_its_end() {
    with_sidecar_config(with_pushed_lists, |sidecar| async move {
        let mut agent = accept(&sidecar.discovery).await;
        agent.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let mut agent = write_slowly(agent, list, 30, 30 * MS).await;
        assert!(agent.receive().await.contains("?from=2&"), "the list was applied");
        assert_eq!(sidecar.counters.discovery_silent.get(), 0);
        assert!(!is_served(&sidecar).await);
    });
}

/// A list stalls: a second call is made, the records that have arrived take effect, and the list may still continue.
#[test]
fn a_stalled_list_causes_a_second_call_and_may_still_continue() {
    with_sidecar(|sidecar| async move {
        let mut slow = accept(&sidecar.discovery).await;
        slow.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let (first, rest) = list.split_at(list.len() / 2);
        slow.send(&head(Framing::Length, &list)).await;
        slow.send(first).await;
        let mut second = accept(&sidecar.discovery).await;
        assert!(second.receive().await.contains("?from=1&hold_ms=0 "), "the second call must not be held");
        assert!(!is_served(&sidecar).await);
        slow.send(rest).await;
        Tokio.sleep(50 * MS).await;
        second.send(&response(&changes(2, ""))).await;
        assert!(second.receive().await.contains("?from=2&"), "the list that continued was not applied");
        assert!(!is_served(&sidecar).await);
        let counters = &sidecar.counters;
        assert_eq!((counters.discovery_calls.get(), counters.discovery_bad.get()), (3, 0));
    });
}

/// However a list is truncated and framed, the drains that have arrived take effect.
#[test]
fn drains_of_a_truncated_list_take_effect_whatever_its_framing() {
    for framing in [Framing::Length, Framing::Chunked] {
        for reset in [false, true] {
            with_sidecar(|sidecar| async move {
                let mut discovery = accept(&sidecar.discovery).await;
                discovery.receive().await;
                let list = long_list(&sidecar, 2, "draining");
                discovery.send(&head(framing, &list)).await;
                write(&mut discovery, framing, &list[..list.len() / 3]).await;
                Tokio.sleep(20 * MS).await;
                if reset {
                    discovery.reset()
                } else {
                    drop(discovery)
                }
                let mut again = accept(&sidecar.discovery).await;
                assert!(
                    again.receive().await.contains("?from=1&hold_ms=0 "),
                    "the next call must not be held"
                );
                assert!(!is_served(&sidecar).await, "{framing:?}, reset: {reset}");
            });
        }
    }
}

/// A list that stalls for good is given up, but the drains that have arrived take effect.
#[test]
fn drains_of_a_list_that_stalls_for_good_take_effect() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        discovery.send(&head(Framing::Chunked, &list)).await;
        write(&mut discovery, Framing::Chunked, &list[..list.len() / 3]).await;
        let mut second = accept(&sidecar.discovery).await;
        second.receive().await;
        assert_eq!(discovery.receive().await, "", "the first call was not given up");
        assert!(!is_served(&sidecar).await);
    });
}

/// A new configuration moves discovery while a list arrives: its call is abandoned, but the drains that have arrived take
/// effect.
#[test]
fn drains_of_a_list_that_arrives_while_discovery_moves_take_effect() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let arriving = tokio::task::spawn_local(write_slowly(discovery, list, 100, 30 * MS));
        Tokio.sleep(60 * MS).await;
        let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        move_to(&sidecar, &elsewhere);
        let mut moved = accept(&elsewhere).await;
        assert!(
            moved.receive().await.starts_with("GET /discovery/hosts HTTP/1.1"),
            "the complete list is requested"
        );
        arriving.abort();
        assert!(!is_served(&sidecar).await, "the list has arrived");
    });
}

/// The same if the complete list has arrived unread when discovery moves, whether it lists the endpoint as draining or omits
/// it.
#[test]
fn drains_of_a_list_that_is_unread_when_discovery_moves_take_effect() {
    for omitted in [false, true] {
        with_sidecar(move |sidecar| async move {
            let mut discovery = accept(&sidecar.discovery).await;
            discovery.receive().await;
            let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let list = match omitted {
                true => r#"{"index":2,"snapshot":true,"endpoints":[]}"#.to_owned(),
                false => changes(2, &endpoint_entry(&sidecar, "draining")),
            };
            // No other task runs between the two statements.
            discovery.send(&response(&list)).await;
            move_to(&sidecar, &elsewhere);
            let mut moved = accept(&elsewhere).await;
            assert!(
                moved.receive().await.starts_with("GET /discovery/hosts HTTP/1.1"),
                "the complete list is requested"
            );
            assert!(!is_served(&sidecar).await, "the list has arrived");
            // The list of the new address reopens endpoints that the old one excluded, whatever its version.
            moved
                .send(&response(&format!(
                    r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#,
                    endpoint_entry(&sidecar, "up")
                )))
                .await;
            moved.receive().await;
            assert!(is_served(&sidecar).await, "omitted: {omitted}");
        });
    }
}

/// The same if the rest of the list is still in transit when discovery moves: an empty receive buffer does not show that all
/// that was written has been read. Seen with lists longer than a receive buffer, whose rest was lost with the connection.
#[test]
fn drains_of_a_list_that_is_in_transit_when_discovery_moves_take_effect() {
    for framing in [Framing::Length, Framing::Chunked] {
        with_sidecar(move |sidecar| async move {
            let mut discovery = accept(&sidecar.discovery).await;
            discovery.receive().await;
            let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let list = changes(2, &endpoint_entry(&sidecar, "draining"));
            let (first, rest) = list.split_at(list.len() / 3);
            discovery.send(&head(framing, &list)).await;
            write(&mut discovery, framing, first).await;
            Tokio.sleep(20 * MS).await;
            move_to(&sidecar, &elsewhere);
            let mut moved = accept(&elsewhere).await;
            assert!(
                moved.receive().await.starts_with("GET /discovery/hosts HTTP/1.1"),
                "the complete list is requested"
            );
            write(&mut discovery, framing, rest).await;
            Tokio.sleep(20 * MS).await;
            assert!(!is_served(&sidecar).await, "{framing:?}: the drain has arrived");
        });
    }
}

/// A complete list has been read, but discovery moves before the end of its call is processed: endpoints that the list omits
/// are excluded all the same.
#[test]
fn endpoints_that_a_list_omits_are_excluded_if_discovery_moves_right_after_it_was_read() {
    for turns in 0..12 {
        with_sidecar(move |sidecar| async move {
            let mut discovery = accept(&sidecar.discovery).await;
            discovery.receive().await;
            let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            discovery.send(&response(r#"{"index":2,"snapshot":true,"endpoints":[]}"#)).await;
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            move_to(&sidecar, &elsewhere);
            accept(&elsewhere).await.receive().await;
            assert!(!is_served(&sidecar).await, "the list arrived {turns} turns before the move");
        });
    }
}

/// After a move no version is known. Of two complete lists requested then, the newer one stalls; the older one, which
/// completes afterwards, must not open what the newer one excluded.
#[test]
fn after_a_move_an_older_list_does_not_open_what_a_newer_one_excluded() {
    with_sidecar(|sidecar| async move {
        accept(&sidecar.discovery).await.receive().await;
        let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        move_to(&sidecar, &elsewhere);
        let mut older = accept(&elsewhere).await;
        older.receive().await;
        let list = long_list(&sidecar, 29, "up");
        let (first, rest) = list.split_at(list.len() / 2);
        older.send(&head(Framing::Length, &list)).await;
        older.send(first).await;
        let mut newer = accept(&elsewhere).await;
        newer.receive().await;
        let list = long_list(&sidecar, 30, "draining");
        newer.send(&head(Framing::Length, &list)).await;
        newer.send(&list[..list.len() / 2]).await;
        Tokio.sleep(20 * MS).await;
        older.send(rest).await;
        assert!(older.receive().await.contains("?from=29&"));
        assert!(!is_served(&sidecar).await, "version 30 excluded it");
        older.send(&response(&changes(30, &endpoint_entry(&sidecar, "up")))).await;
        assert!(older.receive().await.contains("?from=30&"));
        assert!(is_served(&sidecar).await);
    });
}

/// One invalid record invalidates its list, but not the exclusions before and after it.
#[test]
fn an_invalid_record_hides_no_drain() {
    for odd in ["{\"name\":\"odd\",\"address\":\"127.0.0.1:1\",\"status\":\"odd\"}", "7", "{\"name\":{}}"] {
        for before in [false, true] {
            with_sidecar(|sidecar| async move {
                let mut discovery = accept(&sidecar.discovery).await;
                discovery.receive().await;
                let own = endpoint_entry(&sidecar, "draining");
                let rows = if before { format!("{odd},{own}") } else { format!("{own},{odd}") };
                discovery.send(&response(&changes(2, &rows))).await;
                let mut again = accept(&sidecar.discovery).await;
                assert!(again.receive().await.contains("?from=1&"), "the list is requested again");
                assert!(!is_served(&sidecar).await, "{odd}, first: {before}");
                assert_eq!(sidecar.counters.discovery_bad.get(), 1);
            });
        }
    }
}

/// A truncated list contained a drain. A response that is older than that list must not reopen the endpoint.
#[test]
fn an_older_list_does_not_open_what_a_newer_truncated_one_excluded() {
    for status in ["draining", "removed"] {
        with_sidecar(|sidecar| async move {
            let mut broken = accept(&sidecar.discovery).await;
            broken.receive().await;
            let list = changes(9, &endpoint_entry(&sidecar, status));
            broken.send(&head(Framing::Length, &list)).await;
            broken.send(&list[..list.len() - 1]).await;
            Tokio.sleep(20 * MS).await;
            broken.reset();
            let mut older = accept(&sidecar.discovery).await;
            older.receive().await;
            older
                .send(&response(&changes(8, &endpoint_entry(&sidecar, "up")).replace("false", "true")))
                .await;
            assert!(older.receive().await.contains("?from=8&"));
            assert!(!is_served(&sidecar).await, "{status}");
            older.send(&response(&changes(9, &endpoint_entry(&sidecar, "up")))).await;
            assert!(older.receive().await.contains("?from=9&"));
            assert!(is_served(&sidecar).await, "the complete list itself opens it");
        });
    }
}

/// A drain takes effect as soon as it is known: a process may be delayed between reading the clock and a write, and even a
/// short grace period has to cover that.
#[test]
fn a_known_drain_takes_effect_at_once_however_short_its_grace() {
    let short_grace = |text: String| {
        with_slow_connects(text).replace("\"drain-grace-ns\":250000000", "\"drain-grace-ns\":100000000")
    };
    with_sidecar_config(short_grace, |sidecar| async move {
        let mut discovery = open_watch(&sidecar).await;
        sidecar.gates.block(sidecar.endpoint_address());
        let mut client = TestConnection::to(&sidecar).await;
        client.send(PLAN_REQUEST).await;
        sidecar.gates.wait_until_blocked().await;
        discovery.send(&response(&changes(2, &endpoint_entry(&sidecar, "draining")))).await;
        assert!(discovery.receive().await.contains("?from=2&"));
        sidecar.gates.unblock(sidecar.endpoint_address());
        let mut server = accept(&sidecar.endpoint).await;
        assert!(client.receive().await.starts_with("HTTP/1.1 503"));
        assert_eq!(server.receive().await, "", "no byte may be sent");
        assert_eq!(sidecar.counters.dispatch_barred.get(), 1);
    });
}

/// An endpoint moves while a connection to its old address is being made: nothing is sent to the old address.
#[test]
fn nothing_is_sent_to_the_old_address_of_an_endpoint_that_moved() {
    with_sidecar_config(with_slow_connects, |sidecar| async move {
        let mut discovery = open_watch(&sidecar).await;
        sidecar.gates.block(sidecar.endpoint_address());
        let mut client = TestConnection::to(&sidecar).await;
        client.send(PLAN_REQUEST).await;
        sidecar.gates.wait_until_blocked().await;
        let elsewhere =
            endpoint_entry(&sidecar, "up").replace(&sidecar.endpoint_address().to_string(), "127.0.0.1:1");
        discovery.send(&response(&changes(2, &elsewhere))).await;
        assert!(discovery.receive().await.contains("?from=2&"));
        sidecar.gates.unblock(sidecar.endpoint_address());
        let mut old = accept(&sidecar.endpoint).await;
        assert_eq!(old.receive().await, "", "no byte may be sent");
        client.receive().await;
    });
}
