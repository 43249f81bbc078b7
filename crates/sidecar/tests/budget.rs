//! Budgets of the real program: each kind of limit is checked against what stub endpoints and discovery received.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{SidecarProcess, list_json, start_discovery, start_endpoint, start_stub};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

#[test]
fn a_tenants_requests_beyond_its_limit_are_rejected_at_once_and_those_of_others_are_not() {
    let (at, received) = start_endpoint(Duration::ZERO, "", false);
    let limits = "[[budget.whole]]\nuse = \"tenant\"\ntenant = \"acme\"\nrate = 10\nburst = 10\n";
    let sidecar = SidecarProcess::start(&[at], start_discovery(vec![at]), false, limits).wait_until_ready();
    let started = Instant::now();
    let mut responses: Vec<(u16, bool)> = Vec::new();
    while responses.len() < 60 {
        responses.extend(sidecar.request_concurrently(6, Some("acme")));
    }
    let max = 10.0 + 10.0 * started.elapsed().as_secs_f64() + 1.0;
    let served = responses.iter().filter(|response| response.0 == 200).count();
    assert!(served as f64 <= max, "{served} served, at most {max} allowed");
    assert!(
        responses.iter().all(|response| *response == (200, false) || *response == (503, true)),
        "{responses:?}"
    );
    assert_eq!(received.get(|r| &r.requests), served as u64);
    assert_eq!(sidecar.counter("budget_refused"), 60 - served as u64);
    assert!(
        sidecar.request_concurrently(12, Some("other")).iter().all(|response| response.0 == 200),
        "another tenant's requests are served"
    );
}

#[test]
fn open_requests_keep_to_the_concurrency_limit() {
    let (at, received) = start_endpoint(Duration::from_millis(200), "", false);
    let limits = "[[budget.whole]]\nuse = \"open\"\nlevel = 3\n";
    let sidecar = SidecarProcess::start(&[at], start_discovery(vec![at]), false, limits).wait_until_ready();
    let responses: Vec<(u16, bool)> = (0..4).flat_map(|_| sidecar.request_concurrently(10, None)).collect();
    assert!(received.get(|r| &r.max_open) <= 3, "{} open at once", received.get(|r| &r.max_open));
    let served = responses.iter().filter(|response| response.0 == 200).count();
    assert!((4..40).contains(&served), "{served} served");
    assert!(
        responses.iter().all(|response| *response == (200, false) || *response == (503, true)),
        "{responses:?}"
    );
}

#[test]
fn retries_keep_to_their_limit() {
    let attempts = |rate: f64| {
        let backends = [start_endpoint(Duration::ZERO, "", true), start_endpoint(Duration::ZERO, "", true)];
        let all: Vec<SocketAddr> = backends.iter().map(|(at, _)| *at).collect();
        let limits = format!("[[budget.whole]]\nuse = \"retries\"\nrate = {rate}\n");
        let sidecar =
            SidecarProcess::start(&all, start_discovery(all.clone()), false, &limits).wait_until_ready();
        let started = Instant::now();
        for i in 0..60 {
            sidecar.request(&format!("/plan/{i}"), None);
        }
        let extra = sidecar.counter("dispatches") - sidecar.counter("sessions");
        let sent: u64 = backends.iter().map(|(_, received)| received.get(|r| &r.requests)).sum();
        (extra, sidecar.counter("retries_barred"), sent, started.elapsed())
    };
    let (many, denied, ..) = attempts(1000.0);
    assert!(many >= 8 && denied == 0, "{many} retries below the limit, {denied} denied");
    let (dispatched, denied, sent, elapsed) = attempts(1.0);
    let allowed = 60 + dispatched - denied;
    assert!(denied >= 3, "{denied} denied of {dispatched} retries");
    assert!(sent <= allowed, "{sent} attempts received, at most {allowed} allowed");
    assert!(
        (dispatched - denied) as f64 <= 2.0 + elapsed.as_secs_f64(),
        "{dispatched} retries, {denied} of them denied, in {elapsed:?}"
    );
}

#[test]
fn new_connections_keep_to_their_limit() {
    let (at, received) = start_endpoint(Duration::ZERO, "Connection: close\r\n", false);
    let limits = "[[budget.whole]]\nuse = \"connections\"\nrate = 8\nburst = 8\n";
    let sidecar = SidecarProcess::start(&[at], start_discovery(vec![at]), false, limits).wait_until_ready();
    let (started, before) = (Instant::now(), received.get(|r| &r.connections));
    for _ in 0..3 {
        sidecar.request_concurrently(12, None);
    }
    let opened = received.get(|r| &r.connections) - before;
    let max = 8.0 + 8.0 * started.elapsed().as_secs_f64() + 1.0;
    assert!(opened as f64 <= max && opened >= 4, "{opened} connections opened, {max} at most");
}

#[test]
fn probes_keep_to_their_limit() {
    let probes = |rate: f64| {
        let (at, received) = start_endpoint(Duration::ZERO, "", false);
        let limits = format!("[[budget.whole]]\nuse = \"probes\"\nrate = {rate}\n");
        let sidecar =
            SidecarProcess::start(&[at], start_discovery(vec![at]), true, &limits).wait_until_ready();
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(3) {
            sidecar.request_concurrently(4, None);
        }
        (received.get(|r| &r.probes), sidecar.counter("probes_barred"), started.elapsed())
    };
    let (free, denied, _) = probes(1000.0);
    assert!(free >= 5 && denied == 0, "{free} probes below the limit, {denied} denied");
    let (kept, denied, elapsed) = probes(1.0);
    assert!(kept as f64 <= 2.0 + elapsed.as_secs_f64() && denied > 0, "{kept} probes, {denied} denied");
}

#[test]
fn calls_to_discovery_keep_to_their_limit() {
    let (at, _) = start_endpoint(Duration::ZERO, "", false);
    // Each response is a new version of the list, so a watch ends at once and the next one follows.
    let index = AtomicU64::new(2);
    let (updates, received) = start_stub(move |_, received| {
        received.requests.fetch_add(1, Ordering::SeqCst);
        let body = list_json(&[at], index.fetch_add(1, Ordering::SeqCst));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    });
    let limits = "[[budget.whole]]\nuse = \"discovery\"\nrate = 4\nburst = 4\n";
    let started = Instant::now();
    let _sidecar = SidecarProcess::start(&[at], updates, false, limits).wait_until_ready();
    std::thread::sleep(Duration::from_secs(3));
    let max = 4.0 + 4.0 * started.elapsed().as_secs_f64() + 1.0;
    let calls = received.get(|r| &r.requests);
    assert!(calls as f64 <= max && calls >= 3, "{calls} calls, {max} at most");
}
