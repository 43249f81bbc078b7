//! The load generator is an open loop, and the stub endpoints forward requests as a chain requires.

use cometcroft_latency::{Load, Percentiles, Range, StubOptions, Stubs, run_load};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(2);

fn load(target: SocketAddr, rate: f64, requests: u64, threads: u64) -> Load {
    Load { target, rate, requests, threads, deadline: DEADLINE, first_id: 0 }
}

/// A server for one connection that stalls once, before response `index` (from 0).
fn server_that_stalls(index: usize, stall: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
    let address = listener.local_addr().expect("a local address");
    spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let mut writer = stream.try_clone().expect("a second handle");
        let requests = BufReader::new(stream).lines().map_while(Result::ok).filter(String::is_empty);
        for (responses, _) in requests.enumerate() {
            if responses == index {
                sleep(stall);
            }
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if writer.write_all(response).is_err() {
                return;
            }
        }
    });
    address
}

#[test]
fn a_stall_counts_for_every_request_due_during_it() {
    let target = server_that_stalls(10, Duration::from_millis(300));
    let outcome = run_load(&load(target, 100.0, 60, 1)).expect("the load runs");
    assert_eq!((outcome.served, outcome.rejected, outcome.failed), (60, 0, 0));
    // Requests are due every 10 ms. Each one behind the stalled request is delayed by 10 ms less than the one before it.
    let delayed = outcome.latency.count_between(100_000, u64::MAX);
    assert!(
        delayed >= 20,
        "{delayed} requests took over 100 ms; about 20 were due in the first 200 ms of the stall"
    );
    assert!(
        outcome.response_time.count_between(100_000, u64::MAX) < delayed,
        "counted from when they were sent, most requests were quick"
    );
}

#[test]
fn every_request_to_a_closed_port_fails() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
    let target = closed.local_addr().expect("a local address");
    drop(closed);
    let outcome = run_load(&load(target, 1000.0, 20, 4)).expect("the load runs");
    assert_eq!((outcome.served, outcome.failed, outcome.latency.len()), (0, 20, 0));
}

#[test]
fn endpoints_forward_requests_with_the_remaining_deadline() {
    let ip = Ipv4Addr::LOCALHOST;
    let options = |next_hops| StubOptions {
        ip,
        zone: "z0".to_owned(),
        count: 1,
        service_time: Duration::ZERO,
        next_hops,
    };
    let last = Stubs::start(options(Vec::new())).expect("the stubs start");
    let first = Stubs::start(options(last.endpoints.clone())).expect("the stubs start");
    let outcome = run_load(&load(first.endpoints[0], 200.0, 40, 4)).expect("the load runs");
    assert_eq!((outcome.served, outcome.rejected, outcome.failed), (40, 0, 0));
    assert_eq!(last.last_endpoint.requests.load(Ordering::SeqCst), 40);
    assert_eq!(
        first.last_endpoint.requests.load(Ordering::SeqCst),
        0,
        "a forwarding endpoint counts no requests"
    );
    let (min, max) = last.last_endpoint.remaining_deadline_us().expect("there were requests");
    assert!(min <= max && max < DEADLINE.as_micros() as u64, "{min} {max}");
}

#[test]
fn ranges_and_percentiles_describe_their_values() {
    assert_eq!(Range::of([]), None);
    assert_eq!(Range::of([5, -1, 3]), Some(Range { min: -1, median: 3, max: 5 }));
    let target = server_that_stalls(usize::MAX, Duration::ZERO);
    let outcome = run_load(&load(target, 500.0, 10, 1)).expect("the load runs");
    let percentiles = Percentiles::of(&outcome.latency);
    assert_eq!(percentiles.n, 10);
    assert!(percentiles.p50 <= percentiles.p99 && percentiles.p99 <= percentiles.max);
}
