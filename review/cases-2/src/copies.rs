//! A case on second copies of answers that come some milliseconds late.

use crate::http::{Wire, wait_for};
use crate::run::{Failure, Run, Sidecar, Verdict, seconds, settings, sleep_ms};
use crate::standins::{Discovery, Listed, new_id, wait_up};
use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One answer in this many is followed by a second copy of it.
const COPY_EVERY: u64 = 20;
/// How late the copies come, in microseconds: some milliseconds.
const LATE_US: [u64; 2] = [3000, 9000];
/// One request in this many is turned away, as with a full queue.
const REJECT_EVERY: u64 = 25;

#[derive(Default)]
struct Seen {
    /// How often each id has run.
    ran: Mutex<HashMap<String, u32>>,
    requests: AtomicU64,
    copies: AtomicU64,
    turned_away: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn hash(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Whether something waits unread on a connection, or it has ended.
fn waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn serve(stream: TcpStream, number: usize, trouble: bool, seen: &Seen) -> std::io::Result<()> {
    let mut wire = Wire::new(stream);
    while let Some(request) = wire.message()? {
        let Some(id) = request.header("x-call-id").map(str::to_owned) else {
            wire.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        let draw = seen.requests.fetch_add(1, Ordering::Relaxed);
        let answer = if hash(draw) % REJECT_EVERY == 0 {
            seen.turned_away.fetch_add(1, Ordering::Relaxed);
            "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else {
            *lock(&seen.ran).entry(id.clone()).or_default() += 1;
            std::thread::sleep(Duration::from_micros(1000));
            let body = format!("s-{number} {id}");
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        wire.send(&answer)?;
        if trouble && hash(!draw) % COPY_EVERY == 0 {
            let late = LATE_US[0] + hash(draw ^ 0x5eed) % (LATE_US[1] - LATE_US[0]);
            let at = Instant::now() + Duration::from_micros(late);
            // Where the next request comes before its time, the copy is left out: it is sent when nothing else waits.
            while Instant::now() < at && !waits(&wire.stream) {
                std::thread::sleep(
                    Duration::from_micros(200).min(at.saturating_duration_since(Instant::now())),
                );
            }
            if Instant::now() >= at && !waits(&wire.stream) {
                seen.copies.fetch_add(1, Ordering::Relaxed);
                wire.stream.write_all(answer.as_bytes())?;
            }
        }
    }
    Ok(())
}

#[derive(Default)]
struct Judge {
    answers: AtomicU64,
    /// Requests that were answered with 200 and the body of another one: its id, class and the body.
    foreign: Mutex<Vec<(String, &'static str, String)>>,
    /// Ids of requests that must not run twice.
    unsafe_ids: Mutex<Vec<String>>,
    refused: AtomicU64,
    other: AtomicU64,
}

fn client(to: SocketAddr, judge: Arc<Judge>, stop: Arc<AtomicBool>, number: u64) {
    let mut wire: Option<Wire> = None;
    let mut draw = number << 32;
    while !stop.load(Ordering::Relaxed) {
        draw += 1;
        std::thread::sleep(Duration::from_micros(hash(draw) % 8000));
        let kept = wire.take().map(Ok).unwrap_or_else(|| Wire::connect(to, Duration::from_secs(5)));
        let Ok(mut connection) = kept else { continue };
        let id = new_id();
        let class = if hash(draw) & 1 == 0 { "plan-trip" } else { "book-seat" };
        let request = if class == "plan-trip" {
            format!(
                "GET /plan-trip/1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Budget: 2500m\r\n\r\n"
            )
        } else {
            lock(&judge.unsafe_ids).push(id.clone());
            format!(
                "POST /book-seat/1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Budget: 2500m\r\nContent-Length: 4\r\n\r\nseat"
            )
        };
        if connection.send(&request).is_err() {
            continue;
        }
        let Ok(Some(answer)) = connection.message() else { continue };
        judge.answers.fetch_add(1, Ordering::Relaxed);
        match answer.status() {
            200 => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                if !body.ends_with(&id) {
                    lock(&judge.foreign).push((id, class, body));
                }
            }
            429 | 503 => drop(judge.refused.fetch_add(1, Ordering::Relaxed)),
            _ => drop(judge.other.fetch_add(1, Ordering::Relaxed)),
        }
        if answer.header("connection") != Some("close") {
            wire = Some(connection);
        }
    }
}

/// Endpoints send some answers twice, the second copy some milliseconds late and when nothing else waits on the connection.
pub fn copies(run: &Run) -> Result<Verdict, Failure> {
    let seen = Arc::<Seen>::default();
    let mut listed = Vec::new();
    for number in 1..=3 {
        let listener = TcpListener::bind((run.ip(200 + number as u8), 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let (seen, trouble) = (seen.clone(), run.trouble);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = seen.clone();
                std::thread::spawn(move || drop(serve(stream, number, trouble, &seen)));
            }
        });
        listed.push(Listed { name: format!("s-{number}"), address, status: "up" });
    }
    let (_, discovery) = Discovery::start(run, 199, &listed)?;
    let mut sidecar = Sidecar::new(run, "n1", 1)?;
    sidecar.configure(discovery, "null", &settings(0, 1, "subscribe", &[]))?;
    sidecar.start()?;
    wait_up(sidecar.listen)?;
    let (judge, stop) = (Arc::<Judge>::default(), Arc::<AtomicBool>::default());
    for number in 1..=8 {
        let (to, judge, stop) = (sidecar.listen, judge.clone(), stop.clone());
        std::thread::spawn(move || client(to, judge, stop, number));
    }
    let until = seconds() + 60.0;
    while seconds() < until {
        sleep_ms(5000);
        run.record.note(format!(
            "answers {}, refused {}, other {}, foreign {}; the endpoints got {}, turned away {}, sent {} copies",
            judge.answers.load(Ordering::Relaxed),
            judge.refused.load(Ordering::Relaxed),
            judge.other.load(Ordering::Relaxed),
            lock(&judge.foreign).len(),
            seen.requests.load(Ordering::Relaxed),
            seen.turned_away.load(Ordering::Relaxed),
            seen.copies.load(Ordering::Relaxed),
        ));
    }
    stop.store(true, Ordering::Relaxed);
    wait_for(Duration::from_millis(600), || false);
    let foreign = lock(&judge.foreign);
    for (id, class, body) in foreign.iter() {
        run.record.note(format!("{class} {id} was answered with 200 and \"{body}\""));
    }
    let ran = lock(&seen.ran);
    let twice: Vec<String> =
        lock(&judge.unsafe_ids).iter().filter(|id| ran.get(*id).is_some_and(|n| *n > 1)).cloned().collect();
    for id in &twice {
        run.record.note(format!("book-seat {id} ran {} times", ran[id]));
    }
    let answers = judge.answers.load(Ordering::Relaxed);
    Ok(if foreign.is_empty() && twice.is_empty() {
        Verdict::Held
    } else {
        let booked = foreign.iter().filter(|(_, class, _)| *class == "book-seat").count();
        Verdict::Broken(format!(
            "{} of {answers} requests, {booked} of them book-seat, got another request's answer; {} book-seat ran twice",
            foreign.len(),
            twice.len()
        ))
    })
}
