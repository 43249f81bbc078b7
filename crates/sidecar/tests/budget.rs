//! Budgets on the real program: what each use of a whole refuses, by what backend servers and discovery in fact received.
#![allow(clippy::disallowed_methods)]
mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What a stand-in received.
#[derive(Default)]
struct Received {
    connections: AtomicU64,
    requests: AtomicU64,
    probes: AtomicU64,
    open: AtomicU64,
    most: AtomicU64,
}

impl Received {
    fn of(&self, count: fn(&Received) -> &AtomicU64) -> u64 {
        count(self).load(Ordering::SeqCst)
    }
}

/// One message up to its blank line, without a body.
fn head(stream: &mut TcpStream) -> Option<String> {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) if text.len() < 16384 => text.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// A stand-in at a port that the system picks; `answer` makes the answer of a request's head.
fn stand_in(
    answer: impl Fn(&str, &Received) -> String + Send + Sync + 'static,
) -> (SocketAddr, Arc<Received>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (at, received) = (listener.local_addr().expect("bound"), Arc::<Received>::default());
    let (counted, answer) = (received.clone(), Arc::new(answer));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            counted.connections.fetch_add(1, Ordering::SeqCst);
            let (counted, answer) = (counted.clone(), answer.clone());
            std::thread::spawn(move || {
                while let Some(asked) = head(&mut stream) {
                    let answer = answer(&asked, &counted);
                    if stream.write_all(answer.as_bytes()).is_err() || answer.contains("Connection: close") {
                        return;
                    }
                }
            });
        }
    });
    (at, received)
}

/// A backend server: each request takes `work`; it serves, or turns away unexamined.
fn backend(work: Duration, extra: &'static str, rejects: bool) -> (SocketAddr, Arc<Received>) {
    stand_in(move |asked, received| {
        if asked.starts_with("GET /metrics/load") {
            received.probes.fetch_add(1, Ordering::SeqCst);
            let body = r#"{"inflight":1,"queue":0}"#;
            return format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        received.requests.fetch_add(1, Ordering::SeqCst);
        let open = received.open.fetch_add(1, Ordering::SeqCst) + 1;
        received.most.fetch_max(open, Ordering::SeqCst);
        std::thread::sleep(work);
        received.open.fetch_sub(1, Ordering::SeqCst);
        match rejects {
            true => "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
            false => format!("HTTP/1.1 200 OK\r\n{extra}Content-Length: 2\r\n\r\nok"),
        }
    })
}

fn list(backends: &[SocketAddr], index: u64) -> String {
    let row = |(i, at): (usize, &SocketAddr)| {
        format!(r#"{{"name":"s{i}","address":"{at}","zone":"a","status":"up","weight":1.0,"since_ms":0}}"#)
    };
    let rows: Vec<String> = backends.iter().enumerate().map(row).collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, rows.join(","))
}

/// A sidecar with a budget, ended with the test.
struct Sidecar {
    child: Child,
    listen: SocketAddr,
    ops: SocketAddr,
    files: PathBuf,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.files);
    }
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

fn ask(at: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    Some(answer)
}

impl Sidecar {
    /// One that shares its wholes with nobody: it is its own keeper.
    fn start(backends: &[SocketAddr], discovery: SocketAddr, probes: bool, wholes: &str) -> Sidecar {
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let files = std::env::temp_dir().join(format!("cometcroft-budget-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&files).expect("a folder");
        // Held together until all are picked, so that no two are equal.
        let held: Vec<TcpListener> =
            (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let ports: Vec<SocketAddr> = held.iter().map(|held| held.local_addr().expect("bound")).collect();
        drop(held);
        let (listen, ops, bind) = (ports[0], ports[1], ports[2]);
        let mut config = common::config(&listen.to_string(), &discovery.to_string(), &list(backends, 1));
        if probes {
            config = config.replace("\"probes\":false", "\"probes\":true");
        }
        let operator = format!(
            "[fleet]\nname = \"f\"\nbind = \"{bind}\"\n[budget]\nkeepers = [\"{bind}\"]\nlease = \"400ms\"\n{wholes}"
        );
        std::fs::write(files.join("config.json"), config).expect("written");
        std::fs::write(files.join("operator.toml"), operator).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_cometcroft"))
            .env("LB_CONFIG", files.join("config.json"))
            .env("LB_OPERATOR", files.join("operator.toml"))
            .env("LB_OPS", ops.to_string())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        Sidecar { child, listen, ops, files }
    }

    /// Waits until it divides, and holds what of each whole is given without need.
    fn ready(self) -> Sidecar {
        let began = Instant::now();
        loop {
            let text = ask(self.ops, "GET /ops/fleet HTTP/1.1\r\nHost: h\r\n\r\n").unwrap_or_default();
            let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
            let told: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
            let flag = |name: &str| told["budgets"][name].as_bool();
            let divides = flag("answered") == Some(true) && flag("waits") == Some(false);
            if divides && self.request("/up", None).0 == 200 {
                // Tokens of what nobody needed yet.
                std::thread::sleep(Duration::from_millis(700));
                return self;
            }
            assert!(began.elapsed() < Duration::from_secs(30), "it has its parts: {text}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// One request: its status and whether it was told when to come again.
    fn request(&self, path: &str, tenant: Option<&str>) -> (u16, bool) {
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let caller = tenant.map(|tenant| format!("X-Caller: {tenant}\r\n")).unwrap_or_default();
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\nX-Budget: 2500m\r\n{caller}Connection: close\r\n\r\n"
        );
        let answer = ask(self.listen, &text).unwrap_or_default();
        let status = answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        (status, answer.to_ascii_lowercase().contains("retry-after"))
    }

    fn counter(&self, name: &str) -> u64 {
        let text = ask(self.listen, "GET /counters HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let text = text.unwrap_or_default();
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        let told: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        told[name].as_u64().unwrap_or_else(|| panic!("{name} in {body}"))
    }

    /// Requests side by side, each `path` of its own; how they ended.
    fn at_once(&self, count: usize, tenant: Option<&str>) -> Vec<(u16, bool)> {
        std::thread::scope(|scope| {
            let calls: Vec<_> = (0..count)
                .map(|i| scope.spawn(move || self.request(&format!("/plan/{i}"), tenant)))
                .collect();
            calls.into_iter().map(|call| call.join().expect("it ends")).collect()
        })
    }
}

/// Discovery that tells one list and then holds.
fn discovery(backends: Vec<SocketAddr>) -> SocketAddr {
    stand_in(move |asked, _| {
        let held = asked.contains("hold_ms=");
        if held {
            std::thread::sleep(Duration::from_millis(1500));
        }
        let body =
            if held { r#"{"index":1,"snapshot":false,"endpoints":[]}"#.into() } else { list(&backends, 1) };
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    })
    .0
}

#[test]
fn a_tenants_requests_beyond_its_whole_are_denied_at_once_and_others_are_not() {
    let (at, received) = backend(Duration::ZERO, "", false);
    let wholes = "[[budget.whole]]\nuse = \"tenant\"\ntenant = \"acme\"\nrate = 10\nburst = 10\n";
    let sidecar = Sidecar::start(&[at], discovery(vec![at]), false, wholes).ready();
    let began = Instant::now();
    let mut ends: Vec<(u16, bool)> = Vec::new();
    while ends.len() < 60 {
        ends.extend(sidecar.at_once(6, Some("acme")));
    }
    let most = 10.0 + 10.0 * began.elapsed().as_secs_f64() + 1.0;
    let served = ends.iter().filter(|end| end.0 == 200).count();
    assert!(served as f64 <= most, "{served} of {most}");
    assert!(ends.iter().all(|end| *end == (200, false) || *end == (503, true)), "{ends:?}");
    assert_eq!(received.of(|r| &r.requests), served as u64);
    assert_eq!(sidecar.counter("budget_refused"), 60 - served as u64);
    assert!(sidecar.at_once(12, Some("other")).iter().all(|end| end.0 == 200), "another tenant's are served");
}

#[test]
fn no_more_requests_are_open_at_once_than_the_level() {
    let (at, received) = backend(Duration::from_millis(200), "", false);
    let wholes = "[[budget.whole]]\nuse = \"open\"\nlevel = 3\n";
    let sidecar = Sidecar::start(&[at], discovery(vec![at]), false, wholes).ready();
    let ends: Vec<(u16, bool)> = (0..4).flat_map(|_| sidecar.at_once(10, None)).collect();
    assert!(received.of(|r| &r.most) <= 3, "{} at once", received.of(|r| &r.most));
    let served = ends.iter().filter(|end| end.0 == 200).count();
    assert!((4..40).contains(&served), "{served} served");
    assert!(ends.iter().all(|end| *end == (200, false) || *end == (503, true)), "{ends:?}");
}

#[test]
fn attempts_beyond_the_first_keep_to_their_whole() {
    let attempts = |rate: f64| {
        let backends = [backend(Duration::ZERO, "", true), backend(Duration::ZERO, "", true)];
        let all: Vec<SocketAddr> = backends.iter().map(|(at, _)| *at).collect();
        let wholes = format!("[[budget.whole]]\nuse = \"retries\"\nrate = {rate}\n");
        let sidecar = Sidecar::start(&all, discovery(all.clone()), false, &wholes).ready();
        let began = Instant::now();
        for i in 0..60 {
            sidecar.request(&format!("/plan/{i}"), None);
        }
        let extra = sidecar.counter("dispatches") - sidecar.counter("sessions");
        let sent: u64 = backends.iter().map(|(_, received)| received.of(|r| &r.requests)).sum();
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
    let (at, received) = backend(Duration::ZERO, "Connection: close\r\n", false);
    let wholes = "[[budget.whole]]\nuse = \"connections\"\nrate = 8\nburst = 8\n";
    let sidecar = Sidecar::start(&[at], discovery(vec![at]), false, wholes).ready();
    let (began, before) = (Instant::now(), received.of(|r| &r.connections));
    for _ in 0..3 {
        sidecar.at_once(12, None);
    }
    let made = received.of(|r| &r.connections) - before;
    let most = 8.0 + 8.0 * began.elapsed().as_secs_f64() + 1.0;
    assert!(made as f64 <= most && made >= 4, "{made} made, {most} at most");
}

#[test]
fn probes_keep_to_their_whole() {
    let probes = |rate: f64| {
        let (at, received) = backend(Duration::ZERO, "", false);
        let wholes = format!("[[budget.whole]]\nuse = \"probes\"\nrate = {rate}\n");
        let sidecar = Sidecar::start(&[at], discovery(vec![at]), true, &wholes).ready();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(3) {
            sidecar.at_once(4, None);
        }
        (received.of(|r| &r.probes), sidecar.counter("probes_barred"), began.elapsed())
    };
    let (free, barred, _) = probes(1000.0);
    assert!(free >= 5 && barred == 0, "{free} probes where there is room");
    let (kept, barred, took) = probes(1.0);
    assert!(kept as f64 <= 2.0 + took.as_secs_f64() && barred > 0, "{kept} probes, {barred} barred");
}

#[test]
fn calls_to_discovery_wait_for_their_turn() {
    let (at, _) = backend(Duration::ZERO, "", false);
    // News all the time: a watch ends at once, and the next one follows.
    let index = AtomicU64::new(2);
    let (news, received) = stand_in(move |_, received| {
        received.requests.fetch_add(1, Ordering::SeqCst);
        let body = list(&[at], index.fetch_add(1, Ordering::SeqCst));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    });
    let wholes = "[[budget.whole]]\nuse = \"discovery\"\nrate = 4\nburst = 4\n";
    let began = Instant::now();
    let _sidecar = Sidecar::start(&[at], news, false, wholes).ready();
    std::thread::sleep(Duration::from_secs(3));
    let most = 4.0 + 4.0 * began.elapsed().as_secs_f64() + 1.0;
    let calls = received.of(|r| &r.requests);
    assert!(calls as f64 <= most && calls >= 3, "{calls} calls, {most} at most");
}
