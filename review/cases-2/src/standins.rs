//! Stand-ins for the platform: endpoints, discovery or an agent, and clients. They follow the protocol page.

use crate::http::{Wire, wait_for};
use crate::run::{Failure, Record, Run, seconds};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A request that has arrived whole at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Seconds since the start of the run at which its first byte was read.
    pub at: f64,
    pub endpoint: usize,
    pub id: String,
}

/// What all endpoints have seen.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Requests in hand by path, now and at most.
    open: Mutex<(u64, u64)>,
    /// Requests that may not be served, by endpoint: it turns them away as a draining one does.
    pub draining: Mutex<HashMap<usize, bool>>,
}

impl Seen {
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    pub fn open_now(&self) -> u64 {
        lock(&self.open).0
    }

    pub fn open_peak(&self) -> u64 {
        lock(&self.open).1
    }
}

/// Counts a request as open until it is dropped.
struct Open<'a>(&'a Seen);

impl<'a> Open<'a> {
    fn new(seen: &'a Seen) -> Open<'a> {
        let mut open = lock(&seen.open);
        open.0 += 1;
        open.1 = open.1.max(open.0);
        drop(open);
        Open(seen)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        lock(&self.0.open).0 -= 1;
    }
}

/// A long answer: this many bytes, in pieces of 16 KiB, one each 25 ms.
pub const LONG_BYTES: usize = 24 << 20;
const PIECE: usize = 16 * 1024;

/// An endpoint that serves what it gets: a short answer after `work`, or a long one where the path has `long`.
pub fn endpoint(
    run: &Run,
    host: u8,
    number: usize,
    work: Duration,
    seen: &Arc<Seen>,
) -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind((run.ip(host), 0)).map_err(|e| e.to_string())?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    let (seen, record) = (seen.clone(), run.record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, record) = (seen.clone(), record.clone());
            std::thread::spawn(move || {
                let _ = serve(stream, number, work, &seen, &record);
            });
        }
    });
    Ok(at)
}

fn serve(
    stream: TcpStream,
    number: usize,
    work: Duration,
    seen: &Seen,
    record: &Record,
) -> std::io::Result<()> {
    let mut wire = Wire::new(stream);
    while let Some(request) = wire.message()? {
        let Some(id) = request.header("x-call-id").map(str::to_owned) else {
            wire.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        let at = seconds() - request.began.elapsed().as_secs_f64();
        lock(&seen.arrivals).push(Arrival { at, endpoint: number, id: id.clone() });
        let open = Open::new(seen);
        if lock(&seen.draining).get(&number) == Some(&true) {
            drop(open);
            wire.send("HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")?;
        } else if request.path().contains("long") {
            record.note(format!("s-{number} begins the long request {id}; {} open", seen.open_now()));
            wire.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n"))?;
            let piece = vec![b'x'; PIECE];
            for _ in 0..LONG_BYTES / PIECE {
                wire.stream.write_all(&piece)?;
                std::thread::sleep(Duration::from_millis(25));
            }
            record.note(format!("s-{number} has sent the long answer to {id}"));
        } else {
            std::thread::sleep(work);
            let body = format!("s-{number} {id}");
            // Counted down before the answer: a client may go on at once with its next request.
            drop(open);
            wire.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))?;
        }
    }
    Ok(())
}

/// An entry of the list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
}

/// Discovery, or the agent that lists are pushed to.
#[derive(Default)]
pub struct Discovery {
    /// The version and the entries with the version in which each changed.
    state: Mutex<(u64, Vec<(Listed, u64)>)>,
    changed: Condvar,
    /// It takes connections and says nothing.
    silent: AtomicBool,
    answered: AtomicU64,
}

impl Discovery {
    pub fn start(run: &Run, host: u8, endpoints: &[Listed]) -> Result<(Arc<Discovery>, SocketAddr), Failure> {
        let listener = TcpListener::bind((run.ip(host), 0)).map_err(|e| e.to_string())?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let discovery = Arc::new(Discovery::default());
        *lock(&discovery.state) = (41, endpoints.iter().map(|listed| (listed.clone(), 41)).collect());
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let _ = shared.serve(Wire::new(stream));
                });
            }
        });
        Ok((discovery, at))
    }

    /// Changes the status of an endpoint.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let mut state = lock(&self.state);
        state.0 += 1;
        let version = state.0;
        for (listed, changed) in state.1.iter_mut().filter(|(listed, _)| listed.name == name) {
            (listed.status, *changed) = (status, version);
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::SeqCst)
    }

    /// The whole list as JSON.
    pub fn whole(&self) -> String {
        let state = lock(&self.state);
        list(state.0, true, state.1.iter().map(|(listed, _)| listed))
    }

    fn serve(&self, mut wire: Wire) -> std::io::Result<()> {
        while let Some(request) = wire.message()? {
            let figure = |name: &str| {
                let rest = request.path().split(name).nth(1)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let (from, hold) = (figure("from="), figure("hold_ms=").unwrap_or(0).min(60_000));
            let until = Instant::now() + Duration::from_millis(hold);
            let mut state = lock(&self.state);
            let body = loop {
                if !self.silent.load(Ordering::SeqCst) {
                    let newer = from.is_some_and(|from| state.0 > from);
                    match from {
                        Some(from) if newer || Instant::now() >= until => {
                            let changes = state.1.iter().filter(|(_, changed)| *changed > from);
                            break list(state.0, false, changes.map(|(listed, _)| listed));
                        }
                        Some(_) => {}
                        None => break list(state.0, true, state.1.iter().map(|(listed, _)| listed)),
                    }
                }
                let wait = until.saturating_duration_since(Instant::now()).min(Duration::from_millis(20));
                let wait = wait.max(Duration::from_millis(1));
                state = self.changed.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
            };
            drop(state);
            wire.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))?;
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
        Ok(())
    }
}

fn list<'a>(version: u64, whole: bool, entries: impl Iterator<Item = &'a Listed>) -> String {
    let entries: Vec<String> = entries
        .map(|Listed { name, address, status }| {
            format!(
                r#"{{"name":"{name}","address":"{address}","zone":"plateau","type":"front-std","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"index":{version},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","))
}

/// Answers that clients got.
#[derive(Default)]
pub struct Answers {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub unmet: AtomicU64,
}

impl Answers {
    pub fn text(&self) -> String {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "served {}, refused {}, failed {}, not met {}",
            get(&self.served),
            get(&self.refused),
            get(&self.failed),
            get(&self.unmet)
        )
    }
}

/// Clients that keep their connections, each with one request at a time and a pause after each answer.
pub struct Clients {
    pub answers: Arc<Answers>,
    stop: Arc<AtomicBool>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a request.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

impl Clients {
    pub fn start(to: SocketAddr, count: usize, pause: Duration, caller: &'static str) -> Clients {
        let (answers, stop) = (Arc::<Answers>::default(), Arc::<AtomicBool>::default());
        for client in 0..count {
            let (answers, stop) = (answers.clone(), stop.clone());
            std::thread::spawn(move || {
                std::thread::sleep(pause * client as u32 / count as u32);
                let mut wire: Option<Wire> = None;
                while !stop.load(Ordering::Relaxed) {
                    let kept = wire.take().map(Ok);
                    let connected = kept.unwrap_or_else(|| Wire::connect(to, Duration::from_secs(5)));
                    let ended = connected.and_then(|mut wire| {
                        let (id, caller) = (new_id(), if caller.is_empty() { String::new() } else { format!("X-Caller: {caller}\r\n") });
                        wire.send(&format!("GET /plan-trip/1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\n{caller}X-Budget: 2500m\r\n\r\n"))?;
                        let answer = wire.message()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
                        Ok((wire, answer))
                    });
                    match ended {
                        Ok((kept, answer)) => {
                            match answer.status() {
                                200 => &answers.served,
                                429 | 503 => &answers.refused,
                                _ => &answers.failed,
                            }
                            .fetch_add(1, Ordering::Relaxed);
                            let closes = answer.header("connection").is_some_and(|value| value == "close");
                            wire = (!closes).then_some(kept);
                        }
                        Err(_) => {
                            answers.unmet.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    std::thread::sleep(pause);
                }
            });
        }
        Clients { answers, stop }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

/// `count` endpoints named s-1, s-2, ... and the discovery that lists them as up.
pub fn platform(
    run: &Run,
    count: usize,
    work: Duration,
) -> Result<(Arc<Seen>, Vec<Listed>, Arc<Discovery>, SocketAddr), Failure> {
    let seen = Arc::<Seen>::default();
    let mut listed = Vec::new();
    for number in 1..=count {
        let address = endpoint(run, 200 + number as u8, number, work, &seen)?;
        listed.push(Listed { name: format!("s-{number}"), address, status: "up" });
    }
    let (discovery, at) = Discovery::start(run, 199, &listed)?;
    Ok((seen, listed, discovery, at))
}

/// Waits until a sidecar answers `/up` with 200.
pub fn wait_up(listen: SocketAddr) -> Result<(), Failure> {
    if wait_for(Duration::from_secs(20), || crate::http::is_up(listen)) {
        return Ok(());
    }
    Err(format!("the sidecar at {listen} is not ready in 20 s"))
}
