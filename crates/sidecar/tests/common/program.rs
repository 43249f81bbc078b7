//! The real program beside stand-ins for backend servers and discovery.

use cometcroft_rig::free_addresses;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a stand-in received.
#[derive(Default)]
pub struct StubStats {
    pub connections: AtomicU64,
    pub requests: AtomicU64,
    pub probes: AtomicU64,
    pub open: AtomicU64,
    pub max_open: AtomicU64,
}

impl StubStats {
    pub fn get(&self, count: fn(&StubStats) -> &AtomicU64) -> u64 {
        count(self).load(Ordering::SeqCst)
    }
}

/// One message up to its blank line, without a body.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
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
pub fn start_stub(
    answer: impl Fn(&str, &StubStats) -> String + Send + Sync + 'static,
) -> (SocketAddr, Arc<StubStats>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (at, received) = (listener.local_addr().expect("bound"), Arc::<StubStats>::default());
    let (counted, answer) = (received.clone(), Arc::new(answer));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            counted.connections.fetch_add(1, Ordering::SeqCst);
            let (counted, answer) = (counted.clone(), answer.clone());
            std::thread::spawn(move || {
                while let Some(asked) = read_head(&mut stream) {
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
pub fn start_endpoint(work: Duration, extra: &'static str, rejects: bool) -> (SocketAddr, Arc<StubStats>) {
    start_stub(move |asked, received| {
        if asked.starts_with("GET /metrics/load") {
            received.probes.fetch_add(1, Ordering::SeqCst);
            let body = r#"{"inflight":1,"queue":0}"#;
            return format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        received.requests.fetch_add(1, Ordering::SeqCst);
        let open = received.open.fetch_add(1, Ordering::SeqCst) + 1;
        received.max_open.fetch_max(open, Ordering::SeqCst);
        std::thread::sleep(work);
        received.open.fetch_sub(1, Ordering::SeqCst);
        match rejects {
            true => "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
            false => format!("HTTP/1.1 200 OK\r\n{extra}Content-Length: 2\r\n\r\nok"),
        }
    })
}

pub fn list_json(backends: &[SocketAddr], index: u64) -> String {
    let row = |(i, at): (usize, &SocketAddr)| {
        format!(r#"{{"name":"s{i}","address":"{at}","zone":"a","status":"up","weight":1.0,"since_ms":0}}"#)
    };
    let rows: Vec<String> = backends.iter().enumerate().map(row).collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, rows.join(","))
}

/// A process of the program and its file, ended with the test.
pub struct Process {
    child: Option<Child>,
    file: PathBuf,
}

impl Process {
    /// One with this configuration and these variables, that may hold so many descriptors.
    pub fn start(config: &str, variables: &[(&str, String)], descriptors: usize) -> Process {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let file = std::env::temp_dir().join(format!("cometcroft-process-{}-{number}", std::process::id()));
        std::fs::write(&file, config).expect("a file");
        let program = env!("CARGO_BIN_EXE_cometcroft");
        let child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {descriptors}; exec {program}")])
            .env("LB_CONFIG", &file)
            .envs(variables.iter().map(|(name, value)| (*name, value)))
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        Process { child: Some(child), file }
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("it runs").id();
        let kill = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
        assert!(kill.expect("a shell").success());
    }

    /// What it said, once it has ended.
    pub fn wait(mut self) -> Output {
        self.child.take().expect("it runs").wait_with_output().expect("it ends")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A sidecar with a budget, ended with the test.
pub struct SidecarProcess {
    child: Child,
    listen: SocketAddr,
    pub ops: SocketAddr,
    files: PathBuf,
}

impl Drop for SidecarProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.files);
    }
}

/// Discovery at this address answers its first call, that there is no news, and goes down.
pub fn start_confirm_once(address: SocketAddr) -> JoinHandle<()> {
    let listener = TcpListener::bind(address).expect("its address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        drop(listener);
        read_head(&mut stream);
        stream.write_all(unchanged_response().as_bytes()).expect("it reads");
    })
}

/// An answer of discovery, which has version 1: nothing has changed.
pub fn unchanged_response() -> String {
    let list = r#"{"index":1,"snapshot":false,"endpoints":[]}"#;
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

pub static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

static NEXT_ADDRESS: AtomicU64 = AtomicU64::new(0);

/// Addresses for so many sidecars: for clients, for operators, for the fleet. Danger: a port that the system has picked and
/// that was released it may pick again for another test's process before ours has it, and two fleets would meet; so each
/// sidecar has a loopback address of its own.
pub fn sidecar_addresses(count: usize) -> Vec<[SocketAddr; 3]> {
    let place = || {
        let (id, number) = (std::process::id(), NEXT_ADDRESS.fetch_add(1, Ordering::SeqCst));
        let ip = [127, 20 + (id % 70) as u8, (id / 70 % 250) as u8, 1 + (number % 250) as u8];
        let addresses = free_addresses(Ipv4Addr::from(ip), 3).expect("free ports");
        <[SocketAddr; 3]>::try_from(addresses).expect("three")
    };
    (0..count).map(|_| place()).collect()
}

pub fn send_raw(at: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    Some(answer)
}

impl SidecarProcess {
    /// One that shares its wholes with nobody: it is its own keeper.
    pub fn start(
        backends: &[SocketAddr],
        discovery: SocketAddr,
        probes: bool,
        wholes: &str,
    ) -> SidecarProcess {
        let place = sidecar_addresses(1)[0];
        let bind = place[2];
        let budget = format!("[budget]\nkeepers = [\"{bind}\"]\nlease = \"400ms\"\n{wholes}");
        SidecarProcess::start_at("n0", place, backends, discovery, probes, &budget)
    }

    /// One at these addresses (clients, operators, fleet), whose operator's file has these sections beside `[fleet]`.
    pub fn start_at(
        name: &str,
        [listen, ops, bind]: [SocketAddr; 3],
        backends: &[SocketAddr],
        discovery: SocketAddr,
        probes: bool,
        sections: &str,
    ) -> SidecarProcess {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let files = std::env::temp_dir().join(format!("cometcroft-program-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&files).expect("a folder");
        let mut config =
            super::config_json(&listen.to_string(), &discovery.to_string(), &list_json(backends, 1));
        config = config.replace("\"name\":\"n0\"", &format!("\"name\":\"{name}\""));
        if probes {
            config = config.replace("\"probes\":false", "\"probes\":true");
        }
        let seeds = if sections.contains("seeds = ") { "" } else { "seeds = []\n" };
        let operator = format!("[fleet]\nname = \"f\"\nbind = \"{bind}\"\n{seeds}{sections}");
        std::fs::write(files.join("config.json"), config).expect("written");
        std::fs::write(files.join("operator.toml"), operator).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_cometcroft"))
            .env("LB_CONFIG", files.join("config.json"))
            .env("LB_OPERATOR", files.join("operator.toml"))
            .env("LB_OPS", ops.to_string())
            .stderr(std::fs::File::create(files.join("stderr")).expect("a file"))
            .spawn()
            .expect("it starts");
        SidecarProcess { child, listen, ops, files }
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until it divides, and holds what of each whole is given without need.
    pub fn wait_until_ready(self) -> SidecarProcess {
        let began = Instant::now();
        loop {
            let text = send_raw(self.ops, "GET /ops/fleet HTTP/1.1\r\nHost: h\r\n\r\n").unwrap_or_default();
            let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
            let told: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
            let flag = |name: &str| told["budgets"][name].as_bool();
            let divides = flag("answered") == Some(true) && flag("waits") == Some(false);
            if divides && self.request("/up", None).0 == 200 {
                // Tokens of what nobody needed yet.
                std::thread::sleep(Duration::from_millis(700));
                return self;
            }
            let said = || std::fs::read_to_string(self.files.join("stderr")).unwrap_or_default();
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "it has its parts: {text}; it said: {}",
                said()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// One request: its status and whether it was told when to come again.
    pub fn request(&self, path: &str, tenant: Option<&str>) -> (u16, bool) {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let caller = tenant.map(|tenant| format!("X-Caller: {tenant}\r\n")).unwrap_or_default();
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\nX-Budget: 2500m\r\n{caller}Connection: close\r\n\r\n"
        );
        let answer = send_raw(self.listen, &text).unwrap_or_default();
        let status = answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        (status, answer.to_ascii_lowercase().contains("retry-after"))
    }

    pub fn counter(&self, name: &str) -> u64 {
        let text = send_raw(self.listen, "GET /counters HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let text = text.unwrap_or_default();
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        let told: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        told[name].as_u64().unwrap_or_else(|| panic!("{name} in {body}"))
    }

    /// Requests side by side, each `path` of its own; how they ended.
    pub fn request_concurrently(&self, count: usize, tenant: Option<&str>) -> Vec<(u16, bool)> {
        std::thread::scope(|scope| {
            let calls: Vec<_> = (0..count)
                .map(|i| scope.spawn(move || self.request(&format!("/plan/{i}"), tenant)))
                .collect();
            calls.into_iter().map(|call| call.join().expect("it ends")).collect()
        })
    }
}

/// Discovery that tells one list and then holds calls for as long as they may wait, 1.5 s at the most.
pub fn start_discovery(backends: Vec<SocketAddr>) -> SocketAddr {
    start_stub(move |asked, _| {
        let held = asked.contains("hold_ms=");
        if held && !asked.contains("hold_ms=0 ") {
            std::thread::sleep(Duration::from_millis(1500));
        }
        let body = if held {
            r#"{"index":1,"snapshot":false,"endpoints":[]}"#.into()
        } else {
            list_json(&backends, 1)
        };
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    })
    .0
}
