//! Budgets on the real program: what each use of a whole refuses, by what backend servers and discovery in fact received.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{SidecarProcess, list_json, start_discovery, start_endpoint, start_stub};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

#[test]
fn a_tenants_requests_beyond_its_whole_are_denied_at_once_and_others_are_not() {
    let (at, received) = start_endpoint(Duration::ZERO, "", false);
    let wholes = "[[budget.whole]]\nuse = \"tenant\"\ntenant = \"acme\"\nrate = 10\nburst = 10\n";
    let sidecar = SidecarProcess::start(&[at], start_discovery(vec![at]), false, wholes).wait_until_ready();
    let began = Instant::now();
    let mut ends: Vec<(u16, bool)> = Vec::new();
    while ends.len() < 60 {
        ends.extend(sidecar.request_concurrently(6, Some("acme")));
    }
    let most = 10.0 + 10.0 * began.elapsed().as_secs_f64() + 1.0;
    let served = ends.iter().filter(|end| end.0 == 200).count();
    assert!(served as f64 <= most, "{served} of {most}");
    assert!(ends.iter().all(|end| *end == (200, false) || *end == (503, true)), "{ends:?}");
    assert_eq!(received.get(|r| &r.requests), served as u64);
    assert_eq!(sidecar.counter("budget_refused"), 60 - served as u64);
    assert!(
        sidecar.request_concurrently(12, Some("other")).iter().all(|end| end.0 == 200),
        "another tenant's are served"
    );
}

#[test]
fn no_more_requests_are_open_at_once_than_the_level() {
    let (at, received) = start_endpoint(Duration::from_millis(200), "", false);
    let wholes = "[[budget.whole]]\nuse = \"open\"\nlevel = 3\n";
    let sidecar = SidecarProcess::start(&[at], start_discovery(vec![at]), false, wholes).wait_until_ready();
    let ends: Vec<(u16, bool)> = (0..4).flat_map(|_| sidecar.request_concurrently(10, None)).collect();
    assert!(received.get(|r| &r.max_open) <= 3, "{} at once", received.get(|r| &r.max_open));
    let served = ends.iter().filter(|end| end.0 == 200).count();
    assert!((4..40).contains(&served), "{served} served");
    assert!(ends.iter().all(|end| *end == (200, false) || *end == (503, true)), "{ends:?}");
}

#[test]
fn attempts_beyond_the_first_keep_to_their_whole() {
    let attempts = |rate: f64| {
        let backends = [start_endpoint(Duration::ZERO, "", true), start_endpoint(Duration::ZERO, "", true)];
        let all: Vec<SocketAddr> = backends.iter().map(|(at, _)| *at).collect();
        let wholes = format!("[[budget.whole]]\nuse = \"retries\"\nrate = {rate}\n");
        let sidecar =
            SidecarProcess::start(&all, start_discovery(all.clone()), false, &wholes).wait_until_ready();
        let began = Instant::now();
        for i in 0..60 {
            sidecar.request(&format!("/plan/{i}"), None);
        }
        let extra = sidecar.counter("dispatches") - sidecar.counter("sessions");
        let sent: u64 = backends.iter().map(|(_, received)| received.get(|r| &r.requests)).sum();
        (extra, sidecar.counter("retries_barred"), sent, began.elapsed())
    };
    let (many, barred, ..) = attempts(1000.0);
    assert!(many >= 8 && barred == 0, "{many} tried again where there is room");
    let (dispatched, barred, sent, took) = attempts(1.0);
    let had = 60 + dispatched - barred;
    assert!(barred >= 3, "{barred} barred of {dispatched}");
    assert!(sent <= had, "{sent} sent of {had}");
    assert!(
        (dispatched - barred) as f64 <= 2.0 + took.as_secs_f64(),
        "{dispatched} less {barred} in {took:?}"
    );
}

#[test]
fn new_connections_wait_for_their_turn() {
    let (at, received) = start_endpoint(Duration::ZERO, "Connection: close\r\n", false);
    let wholes = "[[budget.whole]]\nuse = \"connections\"\nrate = 8\nburst = 8\n";
    let sidecar = SidecarProcess::start(&[at], start_discovery(vec![at]), false, wholes).wait_until_ready();
    let (began, before) = (Instant::now(), received.get(|r| &r.connections));
    for _ in 0..3 {
        sidecar.request_concurrently(12, None);
    }
    let made = received.get(|r| &r.connections) - before;
    let most = 8.0 + 8.0 * began.elapsed().as_secs_f64() + 1.0;
    assert!(made as f64 <= most && made >= 4, "{made} made, {most} at most");
}

#[test]
fn probes_keep_to_their_whole() {
    let probes = |rate: f64| {
        let (at, received) = start_endpoint(Duration::ZERO, "", false);
        let wholes = format!("[[budget.whole]]\nuse = \"probes\"\nrate = {rate}\n");
        let sidecar =
            SidecarProcess::start(&[at], start_discovery(vec![at]), true, &wholes).wait_until_ready();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(3) {
            sidecar.request_concurrently(4, None);
        }
        (received.get(|r| &r.probes), sidecar.counter("probes_barred"), began.elapsed())
    };
    let (free, barred, _) = probes(1000.0);
    assert!(free >= 5 && barred == 0, "{free} probes where there is room");
    let (kept, barred, took) = probes(1.0);
    assert!(kept as f64 <= 2.0 + took.as_secs_f64() && barred > 0, "{kept} probes, {barred} barred");
}

#[test]
fn calls_to_discovery_wait_for_their_turn() {
    let (at, _) = start_endpoint(Duration::ZERO, "", false);
    // News all the time: a watch ends at once, and the next one follows.
    let index = AtomicU64::new(2);
    let (news, received) = start_stub(move |_, received| {
        received.requests.fetch_add(1, Ordering::SeqCst);
        let body = list_json(&[at], index.fetch_add(1, Ordering::SeqCst));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    });
    let wholes = "[[budget.whole]]\nuse = \"discovery\"\nrate = 4\nburst = 4\n";
    let began = Instant::now();
    let _sidecar = SidecarProcess::start(&[at], news, false, wholes).wait_until_ready();
    std::thread::sleep(Duration::from_secs(3));
    let most = 4.0 + 4.0 * began.elapsed().as_secs_f64() + 1.0;
    let calls = received.get(|r| &r.requests);
    assert!(calls as f64 <= most && calls >= 3, "{calls} calls, {most} at most");
}
