//! Lists of thousands of endpoints that arrive slowly, in part or not at all: whatever becomes of the call, nothing begins at
//! an endpoint once the bytes that bar it have arrived.
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
/// As many endpoints as the largest fleet has.
const ENDPOINTS: usize = 3200;
/// The grace of a drain in the settings, with the slack of the rules.
const GRACE: Duration = Duration::from_millis(300);

/// How the body of a list is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

/// A whole list of [`ENDPOINTS`] with the sidecar's one endpoint first; all others drain.
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

fn whole(list: &str) -> String {
    head(Framing::Length, list) + list
}

/// Writes part of a body.
async fn write(peer: &mut TestConnection, framing: Framing, part: &str) {
    match framing {
        Framing::Length => peer.send(part).await,
        Framing::Chunked => peer.send(&format!("{:x}\r\n{part}\r\n", part.len())).await,
    }
}

/// Writes a body in so many pieces with pauses between them.
async fn drip(mut peer: TestConnection, list: String, pieces: usize, pause: Duration) -> TestConnection {
    peer.send(&head(Framing::Length, &list)).await;
    for piece in list.as_bytes().chunks(list.len().div_ceil(pieces)) {
        peer.send(std::str::from_utf8(piece).expect("ASCII")).await;
        Tokio.sleep(pause).await;
    }
    peer
}

/// A new configuration moves discovery.
fn move_to(sidecar: &Sidecar, elsewhere: &TcpListener) {
    let at = elsewhere.local_addr().expect("an address").to_string();
    let known = changes(1, "").replace("false", "true");
    let reloaded = Config::parse(&common::config_json(&sidecar.address, &at, &known), |_| None);
    sidecar.reloader.reload(reloaded, &sidecar.counters).expect("it is taken over");
}

/// A list that keeps coming for three seconds: its first record binds when it has arrived, not at the end.
#[test]
fn a_drain_at_the_head_of_a_long_list_binds_while_the_list_still_arrives() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let arriving = tokio::task::spawn_local(drip(discovery, list, 100, 30 * MS));
        Tokio.sleep(GRACE).await;
        assert!(!is_served(&sidecar).await, "it was told so long ago");
        let mut discovery = arriving.await.expect("it is read");
        assert!(discovery.receive().await.contains("?from=2&"), "the list was read to its end");
    });
}

/// A list that takes longer than any call may take to be answered is read to its end, as long as it keeps coming, and no
/// other call is made meanwhile. It says nothing of what has changed in the 6 s for which it was on its way, so nothing begins
/// until the next call, which does not wait, has confirmed it.
#[test]
fn a_list_that_keeps_coming_is_never_given_up() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "up");
        let mut discovery = drip(discovery, list, 125, 50 * MS).await;
        assert!(discovery.receive().await.contains("?from=2&hold_ms=0 "), "the list was taken");
        assert_eq!(sidecar.counters.discovery_calls.get(), 2);
        assert!(!is_served(&sidecar).await);
        discovery.send(&whole(&changes(2, ""))).await;
        assert!(discovery.receive().await.contains("?from=2&"));
        assert!(is_served(&sidecar).await);
    });
}

/// The same where lists are pushed: the agent answers at once, and its list may take its time.
#[test]
fn a_long_list_of_an_agent_is_read_to_its_end() {
    with_sidecar_config(with_pushed_lists, |sidecar| async move {
        let mut agent = accept(&sidecar.discovery).await;
        agent.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let mut agent = drip(agent, list, 30, 30 * MS).await;
        assert!(agent.receive().await.contains("?from=2&"), "the list was taken");
        assert_eq!(sidecar.counters.discovery_silent.get(), 0);
        assert!(!is_served(&sidecar).await);
    });
}

/// A list pauses: the rest is asked for beside it, what came binds, and the list may go on.
#[test]
fn a_list_that_pauses_is_asked_for_once_more_and_may_still_go_on() {
    with_sidecar(|sidecar| async move {
        let mut slow = accept(&sidecar.discovery).await;
        slow.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let (first, rest) = list.split_at(list.len() / 2);
        slow.send(&head(Framing::Length, &list)).await;
        slow.send(first).await;
        let mut second = accept(&sidecar.discovery).await;
        assert!(second.receive().await.contains("?from=1&hold_ms=0 "), "what is owed is asked for at once");
        assert!(!is_served(&sidecar).await);
        slow.send(rest).await;
        Tokio.sleep(50 * MS).await;
        second.send(&whole(&changes(2, ""))).await;
        assert!(second.receive().await.contains("?from=2&"), "the list that went on was taken");
        assert!(!is_served(&sidecar).await);
        let counters = &sidecar.counters;
        assert_eq!((counters.discovery_calls.get(), counters.discovery_bad.get()), (3, 0));
    });
}

/// However a list ends early and however it is framed, the drains that came bind.
#[test]
fn of_a_list_that_breaks_off_the_drains_bind_whatever_its_framing() {
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
                assert!(again.receive().await.contains("?from=1&hold_ms=0 "), "the rest is owed");
                assert!(!is_served(&sidecar).await, "{framing:?}, reset: {reset}");
            });
        }
    }
}

/// A list that stops for good is given up; what came of it binds.
#[test]
fn of_a_list_that_stops_the_drains_bind_when_its_call_is_given_up() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        discovery.send(&head(Framing::Chunked, &list)).await;
        write(&mut discovery, Framing::Chunked, &list[..list.len() / 3]).await;
        let mut second = accept(&sidecar.discovery).await;
        second.receive().await;
        assert_eq!(discovery.receive().await, "", "the first call is given up");
        assert!(!is_served(&sidecar).await);
    });
}

/// A new configuration moves discovery while a list arrives: its call is dropped, and what came of the list binds.
#[test]
fn of_a_list_that_arrives_as_discovery_moves_the_drains_bind() {
    with_sidecar(|sidecar| async move {
        let mut discovery = accept(&sidecar.discovery).await;
        discovery.receive().await;
        let list = long_list(&sidecar, 2, "draining");
        let arriving = tokio::task::spawn_local(drip(discovery, list, 100, 30 * MS));
        Tokio.sleep(60 * MS).await;
        let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        move_to(&sidecar, &elsewhere);
        let mut moved = accept(&elsewhere).await;
        assert!(moved.receive().await.starts_with("GET /discovery/hosts HTTP/1.1"), "the whole list");
        arriving.abort();
        assert!(!is_served(&sidecar).await, "it was told");
    });
}

/// The same where the list has come whole and nobody has read it when discovery moves, whether it names the endpoint as
/// draining or leaves it out.
#[test]
fn of_a_list_that_lies_unread_as_discovery_moves_the_drains_bind() {
    for left_out in [false, true] {
        with_sidecar(move |sidecar| async move {
            let mut discovery = accept(&sidecar.discovery).await;
            discovery.receive().await;
            let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let list = match left_out {
                true => r#"{"index":2,"snapshot":true,"endpoints":[]}"#.to_owned(),
                false => changes(2, &endpoint_entry(&sidecar, "draining")),
            };
            // No other task runs between the two.
            discovery.send(&whole(&list)).await;
            move_to(&sidecar, &elsewhere);
            let mut moved = accept(&elsewhere).await;
            assert!(moved.receive().await.starts_with("GET /discovery/hosts HTTP/1.1"), "the whole list");
            assert!(!is_served(&sidecar).await, "it was told");
            // What the old address barred is open again by the list of the new one, whatever its version.
            moved
                .send(&whole(&format!(
                    r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#,
                    endpoint_entry(&sidecar, "up")
                )))
                .await;
            moved.receive().await;
            assert!(is_served(&sidecar).await, "left out: {left_out}");
        });
    }
}

/// The same where the rest of the list is on its way yet when discovery moves: that nothing of it lies unread says nothing of
/// what has been written. Seen with lists longer than a receive buffer, of which the rest was dropped with its connection.
#[test]
fn of_a_list_that_is_on_its_way_as_discovery_moves_the_drains_bind() {
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
            assert!(moved.receive().await.starts_with("GET /discovery/hosts HTTP/1.1"), "the whole list");
            write(&mut discovery, framing, rest).await;
            Tokio.sleep(20 * MS).await;
            assert!(!is_served(&sidecar).await, "{framing:?}: it was told");
        });
    }
}

/// A whole list has been read, and discovery moves before its call is known to have ended: what the list leaves out is barred
/// all the same, whoever owns its call by then.
#[test]
fn of_a_list_that_has_just_been_read_as_discovery_moves_what_it_leaves_out_is_barred() {
    for turns in 0..12 {
        with_sidecar(move |sidecar| async move {
            let mut discovery = accept(&sidecar.discovery).await;
            discovery.receive().await;
            let elsewhere = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            discovery.send(&whole(r#"{"index":2,"snapshot":true,"endpoints":[]}"#)).await;
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            move_to(&sidecar, &elsewhere);
            accept(&elsewhere).await.receive().await;
            assert!(!is_served(&sidecar).await, "it was told, {turns} turns before the move");
        });
    }
}

/// After a move no version is held. Of two whole lists that are asked for then the newer one stops; the older one, which comes
/// whole behind it, does not open what the newer one barred.
#[test]
fn after_a_move_an_older_list_does_not_open_what_a_newer_one_barred() {
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
        assert!(!is_served(&sidecar).await, "version 30 barred it");
        older.send(&whole(&changes(30, &endpoint_entry(&sidecar, "up")))).await;
        assert!(older.receive().await.contains("?from=30&"));
        assert!(is_served(&sidecar).await);
    });
}

/// One record that cannot be read spoils its list, and not what the list bars before and behind it.
#[test]
fn a_record_that_cannot_be_read_hides_no_drain() {
    for odd in ["{\"name\":\"odd\",\"address\":\"127.0.0.1:1\",\"status\":\"odd\"}", "7", "{\"name\":{}}"] {
        for before in [false, true] {
            with_sidecar(|sidecar| async move {
                let mut discovery = accept(&sidecar.discovery).await;
                discovery.receive().await;
                let own = endpoint_entry(&sidecar, "draining");
                let rows = if before { format!("{odd},{own}") } else { format!("{own},{odd}") };
                discovery.send(&whole(&changes(2, &rows))).await;
                let mut again = accept(&sidecar.discovery).await;
                assert!(again.receive().await.contains("?from=1&"), "it is asked for again");
                assert!(!is_served(&sidecar).await, "{odd}, first: {before}");
                assert_eq!(sidecar.counters.discovery_bad.get(), 1);
            });
        }
    }
}

/// A list that broke off told a drain; an answer that is older than that list does not open the endpoint again.
#[test]
fn an_older_answer_does_not_open_what_a_newer_list_barred_before_it_broke_off() {
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
            older.send(&whole(&changes(8, &endpoint_entry(&sidecar, "up")).replace("false", "true"))).await;
            assert!(older.receive().await.contains("?from=8&"));
            assert!(!is_served(&sidecar).await, "{status}");
            older.send(&whole(&changes(9, &endpoint_entry(&sidecar, "up")))).await;
            assert!(older.receive().await.contains("?from=9&"));
            assert!(is_served(&sidecar).await, "the list itself, whole, opens it");
        });
    }
}

/// What is known binds at once: a process may be held up between its clock and its write, and the grace has to cover that,
/// however short it is.
#[test]
fn a_known_drain_bars_at_once_however_short_its_grace() {
    let short_grace = |text: String| {
        with_slow_connects(text).replace("\"drain-grace-ns\":250000000", "\"drain-grace-ns\":100000000")
    };
    with_sidecar_config(short_grace, |sidecar| async move {
        let mut discovery = open_watch(&sidecar).await;
        sidecar.gates.block(sidecar.endpoint_address());
        let mut client = TestConnection::to(&sidecar).await;
        client.send(PLAN_REQUEST).await;
        sidecar.gates.wait_until_blocked().await;
        discovery.send(&whole(&changes(2, &endpoint_entry(&sidecar, "draining")))).await;
        assert!(discovery.receive().await.contains("?from=2&"));
        sidecar.gates.unblock(sidecar.endpoint_address());
        let mut server = accept(&sidecar.endpoint).await;
        assert!(client.receive().await.starts_with("HTTP/1.1 503"));
        assert_eq!(server.receive().await, "", "not a byte");
        assert_eq!(sidecar.counters.dispatch_barred.get(), 1);
    });
}

/// An endpoint moves while a connection to its old address is made: nothing is sent to the old one.
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
        discovery.send(&whole(&changes(2, &elsewhere))).await;
        assert!(discovery.receive().await.contains("?from=2&"));
        sidecar.gates.unblock(sidecar.endpoint_address());
        let mut old = accept(&sidecar.endpoint).await;
        assert_eq!(old.receive().await, "", "not a byte");
        client.receive().await;
    });
}
