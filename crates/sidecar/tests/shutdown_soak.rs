//! A seeded soak of real processes through their end: clients use the connections that they have until SIGKILL, which comes
//! as early as it may, signals come in series, and in some runs idle clients fill the descriptors. No request is lost.
//!
//! `SHUTDOWN_SOAK_SEEDS=1..50 cargo test -p cometcroft-sidecar --test shutdown_soak` plays other seeds than CI does.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{
    NEXT_NUMBER, Process, list_json, read_head, send_raw, sidecar_addresses, start_confirm_once, start_stub,
};
use fastrand::Rng;
use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// What CI plays: 5 and 104 lost requests once.
const SEEDS: [u64; 12] = [3, 5, 8, 101, 102, 103, 104, 105, 106, 107, 108, 147];
/// Runs side by side.
const JOBS: usize = 4;
const CLIENTS: usize = 8;
/// SIGKILL comes so long after SIGTERM at the earliest, beside the longest deadline, which counts as 3 s at most.
const NOTICE: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// A machine that stood still for so long makes a run void.
const STALL: Duration = Duration::from_millis(150);

/// What a run plays, drawn by its seed alone.
#[derive(Debug)]
struct Plan {
    deadline: Duration,
    /// Signals, each with the pause before it. The first SIGTERM or SIGINT begins the end.
    signals: Vec<(Duration, &'static str)>,
    /// So many clients that say nothing.
    crowd: usize,
    /// Endpoints take so long; one may hang.
    work: Duration,
    hangs: bool,
    /// Discovery goes down after its first answer.
    discovery_down: bool,
}

impl Plan {
    fn draw(seed: u64) -> Plan {
        let mut rng = Rng::with_seed(seed);
        let short = rng.f64() < 0.6;
        let deadline = if short { rng.u64(200..600) } else { rng.u64(600..4000) };
        let soon = |rng: &mut Rng| Duration::from_millis(rng.u64(0..50));
        let series: &[&str] = match rng.u32(0..7) {
            0 => &["TERM"],
            1 => &["HUP", "HUP", "HUP", "TERM"],
            2 => &["HUP", "TERM"],
            3 => &["TERM", "HUP"],
            4 => &["TERM", "TERM"],
            5 => &["TERM", "INT"],
            _ => &["STOP", "CONT", "TERM", "STOP", "CONT"],
        };
        let mut signals: Vec<_> = series.iter().map(|name| (soon(&mut rng), *name)).collect();
        signals[0].0 = Duration::from_millis(rng.u64(500..1200));
        Plan {
            deadline: Duration::from_millis(deadline),
            signals,
            crowd: if rng.u32(0..3) == 0 { 250 } else { 0 },
            work: Duration::from_millis(rng.u64(0..deadline / 3)),
            hangs: rng.bool(),
            discovery_down: rng.u32(0..3) == 0,
        }
    }
}

/// Starts a process, and waits until it is ready; tells where it listens.
fn start(plan: &Plan, endpoints: &[SocketAddr], seed: u64) -> (Process, SocketAddr) {
    let [listen, _, down] = sidecar_addresses(1)[0];
    let known = list_json(endpoints, 1);
    let whole = known.clone();
    let answer = move |asked: &str| {
        let held = asked.contains("hold_ms=");
        if held && !asked.contains("hold_ms=0 ") {
            sleep(500 * MS);
        }
        let body = if held { r#"{"index":1,"snapshot":false,"endpoints":[]}"# } else { &whole };
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let discovery = if plan.discovery_down {
        start_confirm_once(down);
        down
    } else {
        start_stub(move |asked, _| answer(asked)).0
    };
    let deadline = plan.deadline.as_nanos();
    let config = common::config_json(&listen.to_string(), &discovery.to_string(), &known)
        .replace("\"deadline-ns\":3000000000", &format!("\"deadline-ns\":{deadline}"))
        .replace("\"slo-ns\":800000000", &format!("\"slo-ns\":{}", deadline / 2))
        .replace("8c1f30d27a5be964", &format!("{seed:016x}"));
    let process = Process::start(&config, &[], 256);
    let began = Instant::now();
    while !send_raw(listen, "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        .is_some_and(|up| up.contains(" 200 "))
    {
        assert!(began.elapsed() < 10_000 * MS, "it is not ready");
        sleep(10 * MS);
    }
    (process, listen)
}

/// How a request ended that was sent on an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    /// The connection ended in good order without a byte of an answer.
    Closed,
    /// The connection broke.
    Broken,
}

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    at: Instant,
    ended: Instant,
    end: End,
}

/// Requests one after the other over a connection that is kept; a new one after each end, until nobody listens.
fn client(listen: SocketAddr, deadline: Duration, seed: u64, stop: &AtomicBool) -> Vec<Sent> {
    let mut rng = Rng::with_seed(seed);
    let mut sent = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(listen) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(deadline + 5000 * MS));
        loop {
            if stop.load(Ordering::SeqCst) {
                return sent;
            }
            let id = format!("{:x}", NEXT_NUMBER.fetch_add(1, Ordering::SeqCst));
            let at = Instant::now();
            let end = request(&mut stream, &id, deadline, rng.bool());
            sent.push(Sent { id, at, ended: Instant::now(), end });
            if end != End::Answered {
                break;
            }
            sleep(Duration::from_millis(rng.u64(0..30)));
        }
    }
    sent
}

fn request(stream: &mut TcpStream, id: &str, deadline: Duration, unsafe_class: bool) -> End {
    let budget = deadline.as_millis();
    let head_lines = format!("HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Budget: {budget}m\r\n");
    let text = match unsafe_class {
        true => format!("POST /book/1 {head_lines}Content-Length: 2\r\n\r\nhi"),
        false => format!("GET /plan/1 {head_lines}\r\n"),
    };
    if stream.write_all(text.as_bytes()).is_err() {
        return End::Broken;
    }
    match stream.peek(&mut [0]) {
        Ok(0) => return End::Closed,
        Ok(_) => {}
        Err(_) => return End::Broken,
    }
    let Some(answer) = read_head(stream) else { return End::Broken };
    let length = answer.to_ascii_lowercase();
    let length = length.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next());
    let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
    match std::io::Read::read_exact(stream, &mut body) {
        Ok(()) => End::Answered,
        Err(_) => End::Broken,
    }
}

/// What a run came to.
struct Played {
    sent: Vec<Sent>,
    /// Ids that reached an endpoint.
    forwarded: HashSet<String>,
    killed: Instant,
    exited_by_itself: bool,
    stall: Duration,
}

fn play(seed: u64, plan: &Plan) -> Played {
    let forwarded = Arc::<Mutex<HashSet<String>>>::default();
    let endpoint = |number: usize| {
        let (seen, work, hangs) = (forwarded.clone(), plan.work, plan.hangs && number == 0);
        let deadline = plan.deadline;
        start_stub(move |asked, _| {
            if let Some(id) = asked.split("X-Call-Id: ").nth(1).and_then(|rest| rest.split('\r').next()) {
                seen.lock().expect("no panic").insert(id.to_owned());
            }
            sleep(if hangs { deadline + LONGEST } else { work });
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned()
        })
        .0
    };
    let endpoints: Vec<SocketAddr> = (0..4).map(endpoint).collect();
    let (mut process, listen) = start(plan, &endpoints, seed);
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let stalls = std::thread::spawn(move || {
        let mut longest = Duration::ZERO;
        while !stopped.load(Ordering::SeqCst) {
            let began = Instant::now();
            sleep(5 * MS);
            longest = longest.max(began.elapsed() - 5 * MS);
        }
        longest
    });
    let clients: Vec<_> = (0..CLIENTS as u64)
        .map(|number| {
            let (deadline, stop) = (plan.deadline, stop.clone());
            std::thread::spawn(move || client(listen, deadline, seed * 100 + number, &stop))
        })
        .collect();
    let crowd: Vec<_> = (0..plan.crowd).filter_map(|_| TcpStream::connect(listen).ok()).collect();
    let mut begun = None;
    for (pause, name) in &plan.signals {
        sleep(*pause);
        process.signal(name);
        if matches!(*name, "TERM" | "INT") {
            begun.get_or_insert_with(Instant::now);
        }
    }
    let kill_at = begun.expect("a series has one") + plan.deadline.min(LONGEST) + NOTICE;
    sleep(kill_at.saturating_duration_since(Instant::now()));
    let exited_by_itself = process.has_ended();
    let killed = Instant::now();
    // SIGKILL, and its end.
    drop(process);
    stop.store(true, Ordering::SeqCst);
    drop(crowd);
    let sent = clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
    let stall = stalls.join().expect("no panic");
    let forwarded = forwarded.lock().expect("no panic").clone();
    Played { sent, forwarded, killed, exited_by_itself, stall }
}

/// Requests that were taken and got no final answer: read and closed without one, or found unanswered by SIGKILL.
fn lost(played: &Played) -> Vec<&Sent> {
    let is_lost = |sent: &&Sent| match sent.end {
        End::Answered => false,
        // One that nobody read may be sent again.
        End::Closed => played.forwarded.contains(&sent.id),
        End::Broken => played.forwarded.contains(&sent.id) || sent.ended >= played.killed,
    };
    played.sent.iter().filter(is_lost).collect()
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SHUTDOWN_SOAK_SEEDS") else { return SEEDS.to_vec() };
    let bounds: Option<(u64, u64)> =
        text.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    let (from, to) = bounds.expect("SHUTDOWN_SOAK_SEEDS is FROM..TO");
    (from..=to).collect()
}

/// One run; what was lost in it, if it counts.
fn judged(seed: u64) -> Option<Vec<String>> {
    let plan = Plan::draw(seed);
    let played = play(seed, &plan);
    let answered = played.sent.iter().filter(|sent| sent.end == End::Answered).count();
    let lost: Vec<String> = lost(&played)
        .iter()
        .map(|sent| {
            let before_kill = played.killed.saturating_duration_since(sent.at).as_millis();
            format!("seed {seed}: {:?}, sent {before_kill} ms before SIGKILL, id {}", sent.end, sent.id)
        })
        .collect();
    println!(
        "seed {seed}: {answered} of {} answered, {} lost, ended by itself: {}, longest stall {} ms, {plan:?}",
        played.sent.len(),
        lost.len(),
        played.exited_by_itself,
        played.stall.as_millis(),
    );
    if played.stall > STALL {
        println!("seed {seed}: void, the machine stood still");
        return None;
    }
    assert!(answered > 20, "seed {seed}: too few requests to judge");
    let forwarded = played.forwarded.len();
    assert!(forwarded > 20, "seed {seed}: {forwarded} requests reached an endpoint, too few to judge");
    Some(lost)
}

#[test]
fn no_request_is_lost_through_the_end_of_a_process() {
    let seeds = Mutex::new(seeds().into_iter());
    let runs = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..JOBS {
            scope.spawn(|| {
                while let Some(seed) = { seeds.lock().expect("no panic").next() } {
                    let judged = judged(seed);
                    runs.lock().expect("no panic").push(judged);
                }
            });
        }
    });
    let runs = runs.into_inner().expect("no panic");
    let sound: Vec<Vec<String>> = runs.iter().flatten().cloned().collect();
    println!("{} runs, {} void", runs.len(), runs.len() - sound.len());
    assert!(!sound.is_empty(), "the machine stood still in every run");
    let lost: Vec<String> = sound.into_iter().flatten().collect();
    assert!(lost.is_empty(), "{} lost\n{}", lost.len(), lost.join("\n"));
}

/// The judge finds a request that an endpoint has got and whose connection ended without an answer.
#[test]
fn a_request_that_was_forwarded_and_closed_unanswered_is_found_lost() {
    let now = Instant::now();
    let sent = |id: &str, end, ended| Sent { id: id.to_owned(), at: now, ended, end };
    let played = Played {
        sent: vec![
            sent("answered", End::Answered, now),
            sent("unread", End::Closed, now),
            sent("read", End::Closed, now),
            sent("killed", End::Broken, now + 2000 * MS),
        ],
        forwarded: HashSet::from(["read".to_owned()]),
        killed: now + 1000 * MS,
        exited_by_itself: false,
        stall: Duration::ZERO,
    };
    let found: Vec<&str> = lost(&played).iter().map(|sent| sent.id.as_str()).collect();
    assert_eq!(found, ["read", "killed"]);
}
