//! The sidecar on loopback between a stub endpoint and clients, alternating with other builds of it: throughput
//! and latency in rounds, so that all builds see the same machine.
//!
//! `cargo bench -p cometcroft-sidecar --bench loopback -- NAME=PATH [NAME=PATH ...]`; without a path, this build alone.
#![allow(clippy::disallowed_methods)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const ROUNDS: usize = 6;
const CLIENTS: usize = 8;
const DURATION: Duration = Duration::from_secs(2);

/// A stub endpoint that responds at once.
fn endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = serve(stream);
            });
        }
    });
    at
}

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut buffer, mut filled) = ([0; 4096], 0);
    loop {
        let n = stream.read(&mut buffer[filled..])?;
        filled += n;
        if n == 0 {
            return Ok(());
        }
        if buffer[..filled].ends_with(b"\r\n\r\n") {
            filled = 0;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
        }
    }
}

fn config(listen: SocketAddr, endpoint: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{endpoint}","seed":"1",
        "limits":{{"sockets":1024}},"known":{{"index":1,"snapshot":true,"endpoints":[
          {{"name":"s","address":"{endpoint}","zone":"a","status":"up"}}]}},
        "settings":{{"contract":{{"ask-within-ns":10000000000,"cold-from":0.31,"drain-grace-ns":250000000,
        "fall-multiple":3.0,"ramp-time-ns":9000000000,"tip-after-ns":1500000000}},"dcs":["a"],
        "discovery":"subscribe","instances":1,"policy-limits":{{"cancel":true,"conn-idle-ns":5000000000,
        "dial-timeout-ns":200000000,"max-attempts":3,"max-retry-after-ns":3000000000,"probes":false}},
        "prices":{{}},"report":{{"fields":["inflight"],"source":"silent"}},
        "request-classes":[{{"deadline-ns":3000000000,"dedup-scope":"all","effect":"read_like","key-ttl-ns":0,
        "late-value":0.5,"name":"plan","slo-ns":800000000,"worth":3.0}}],"step-ns":5000000,"tier":0,
        "tiers":["t"],"weight-kind":"rough","zone":0}}}}"#
    )
}

struct Sidecar(Child, SocketAddr);

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(path: &str, endpoint: SocketAddr) -> Sidecar {
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let file = std::env::temp_dir().join(format!("cometcroft-loopback-{}.json", listen.port()));
    std::fs::write(&file, config(listen, endpoint)).expect("a file");
    let child =
        Command::new(path).env("LB_CONFIG", &file).stderr(Stdio::null()).spawn().expect("the sidecar starts");
    let sidecar = Sidecar(child, listen);
    while TcpStream::connect(listen).is_err() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let _ = std::fs::remove_file(file);
    sidecar
}

/// Requests per second, and the sorted latencies in microseconds, of closed-loop clients.
fn measure(at: SocketAddr, clients: usize, prefix: usize) -> (f64, Vec<f64>) {
    let started = Instant::now();
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(at).expect("the sidecar listens");
                stream.set_nodelay(true).expect("a socket");
                let (mut latencies, mut buffer) = (Vec::new(), [0; 1024]);
                while started.elapsed() < DURATION {
                    let n = latencies.len();
                    let text = format!(
                        "GET /plan/1 HTTP/1.1\r\nX-Call-Id: {prefix}-{client}-{n}\r\nX-Budget: 3000m\r\n\r\n"
                    );
                    let sent = Instant::now();
                    stream.write_all(text.as_bytes()).expect("the request is written");
                    let mut filled = 0;
                    while !buffer[..filled].ends_with(b"ok") {
                        let n = stream.read(&mut buffer[filled..]).expect("a response");
                        assert!(n > 0, "closed: {}", String::from_utf8_lossy(&buffer[..filled]));
                        filled += n;
                    }
                    latencies.push(sent.elapsed().as_secs_f64() * 1e6);
                }
                latencies
            })
        })
        .collect();
    let mut all: Vec<f64> = threads.into_iter().flat_map(|t| t.join().expect("a client")).collect();
    let rate = all.len() as f64 / started.elapsed().as_secs_f64();
    all.sort_unstable_by(f64::total_cmp);
    (rate, all)
}

fn main() {
    let mut builds: Vec<(String, String)> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.split_once('=').map(|(name, path)| (name.to_owned(), path.to_owned())))
        .collect();
    if builds.is_empty() {
        builds.push(("this".into(), env!("CARGO_BIN_EXE_cometcroft").into()));
    }
    let endpoint = endpoint();
    let mut results = vec![Vec::new(); builds.len() + 1];
    for round in 0..ROUNDS {
        for (i, (_, path)) in builds.iter().enumerate() {
            let sidecar = start(path, endpoint);
            let (rate, _) = measure(sidecar.1, CLIENTS, round * 100);
            let (_, single) = measure(sidecar.1, 1, round * 100 + 50);
            results[i].push((rate, single[single.len() / 2], single[single.len() * 99 / 100]));
        }
        let (rate, _) = measure(endpoint, CLIENTS, 0);
        let (_, single) = measure(endpoint, 1, 0);
        results[builds.len()].push((rate, single[single.len() / 2], single[single.len() * 99 / 100]));
    }
    let names = builds.iter().map(|(name, _)| name.as_str()).chain(["direct"]);
    println!(
        "{:<10} {:>12} {:>10} {:>10}   medians of {ROUNDS} rounds",
        "build", "requests/s", "p50 us", "p99 us"
    );
    for (name, rounds) in names.zip(results) {
        let median = |pick: fn(&(f64, f64, f64)) -> f64| {
            let mut all: Vec<f64> = rounds.iter().map(pick).collect();
            all.sort_unstable_by(f64::total_cmp);
            all[all.len() / 2]
        };
        println!("{name:<10} {:>12.0} {:>10.1} {:>10.1}", median(|r| r.0), median(|r| r.1), median(|r| r.2));
    }
}
