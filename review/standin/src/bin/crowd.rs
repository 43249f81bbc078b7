//! Idle clients fill the descriptors while usual clients send their requests in pieces. Broken if a request on a kept
//! connection, of which the sidecar has read a part, gets no answer as the sidecar ends the connection.

use review_standin::*;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 9;
/// Usual clients with whole requests, a second.
const RATE: f64 = 20.0;
/// Usual clients that send their requests in two pieces.
const SLOW_CLIENTS: usize = 8;
/// Time between the two pieces; a client may spend 2 s on a head.
const PAUSE: Duration = Duration::from_millis(400);
/// Idle clients, each of which asks once and then rests until the sidecar ends its connection.
const CROWD: usize = 160;
/// A close that comes sooner after the first piece may have crossed it.
const CROSSING: Duration = Duration::from_millis(150);
const SOCKETS: usize = 256;

const PLAN: Class =
    Class { name: "plan-trip", effect: "read_like", scope: "all", window_ms: 5_000, deadline_ms: 3000 };
const SEAT: Class =
    Class { name: "book-seat", effect: "non_idempotent", scope: "all", window_ms: 5_000, deadline_ms: 3000 };

fn main() -> std::process::ExitCode {
    play(case)
}

#[derive(Default)]
struct Counts {
    answered: u64,
    crossed: u64,
    not_taken: u64,
    lost: u64,
}

fn case(run: &Run) -> io::Result<bool> {
    let record = run.record.clone();
    let handler: Arc<Handler> = Arc::new(|_, request, served| {
        let id = request.header("x-call-id").unwrap_or_default().to_owned();
        thread::sleep(Duration::from_millis(45));
        served.stream.write_all(&response("200 OK", "", &format!("answer to {id}")))?;
        Ok(Next::Keep)
    });
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let address = serve_endpoint(number, handler.clone())?;
        endpoints.push(Endpoint {
            name: format!("s{number}"),
            address,
            zone: "plateau".into(),
            group: number / 4,
        });
    }
    let discovery = Discovery::start(record.clone(), &endpoints)?;
    let settings = Settings {
        classes: vec![PLAN, SEAT],
        zones: vec!["plateau"],
        discovery: "subscribe",
        instances: 1,
        sockets: SOCKETS,
        zone: 0,
    };
    let known = discovery.snapshot();
    let mut sidecar = Sidecar::start(&run.root, &run.tmp, 0, discovery.address, &known, &settings)?;
    sidecar.wait_until_up(Duration::from_secs(30))?;
    let address = sidecar.listen;
    let load = Load::start(&record, &[address], RATE, 59, |rng| if rng.f64() < 0.67 { PLAN } else { SEAT });
    let (stop, ids, counts) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(1)),
        Arc::new(Mutex::new(Counts::default())),
    );
    let mut clients = Vec::new();
    for number in 0..SLOW_CLIENTS {
        let (record, stop, ids, counts) = (record.clone(), stop.clone(), ids.clone(), counts.clone());
        clients.push(thread::spawn(move || {
            let mut rng = Rng::new(100 + number as u64);
            while !stop.load(Ordering::SeqCst) {
                // A connection that ended between two requests is replaced.
                let _ = slow_client(address, number, &mut rng, &record, &stop, &ids, &counts);
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if run.trouble {
        record.say(format!("{CROWD} idle clients come"));
        let (record, stop, ids) = (record.clone(), stop.clone(), ids.clone());
        clients.push(thread::spawn(move || crowd(address, &record, &stop, &ids)));
    }
    thread::sleep(Duration::from_secs(25));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let seen = load.finish();
    if !sidecar.is_running() {
        return Err(io::Error::other("the sidecar has ended"));
    }
    record.line(format!("counters {}", sidecar.counters()));
    let whole = seen.iter().filter(|seen| seen.status == 200).count();
    let Counts { answered, crossed, not_taken, lost } = *counts.lock().unwrap();
    record.say(format!(
        "whole requests: {} sent, {whole} served; requests in two pieces: {answered} answered, {lost} written to the end and \
         never answered, {not_taken} ended before their last byte could be written, {crossed} crossed by a close (not judged)",
        seen.len()
    ));
    if answered == 0 && lost == 0 {
        return Err(io::Error::other("no client was served"));
    }
    Ok(lost == 0)
}

/// Opens idle connections, each of which asks once and rests, and replaces those that the sidecar ends.
fn crowd(address: SocketAddr, record: &Record, stop: &AtomicBool, ids: &AtomicU64) {
    let mut resting: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        resting.retain(|stream| {
            let _ = stream.set_nonblocking(true);
            matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
        });
        if resting.len() < CROWD
            && let Ok(stream) = ask_once(address, ids)
        {
            resting.push(stream);
            record.line(format!("{} idle clients rest", resting.len()));
        }
    }
}

fn ask_once(address: SocketAddr, ids: &AtomicU64) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let id = ids.fetch_add(1, Ordering::SeqCst);
    stream.write_all(
        format!("GET /plan-trip/x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: idle{id}\r\nX-Budget: 3000m\r\n\r\n").as_bytes(),
    )?;
    read_message(&mut BufReader::new(&stream))?;
    Ok(stream)
}

/// Sends requests on one connection until it ends: one whole, the further ones in two pieces.
fn slow_client(
    address: SocketAddr,
    number: usize,
    rng: &mut Rng,
    record: &Record,
    stop: &AtomicBool,
    ids: &AtomicU64,
    counts: &Mutex<Counts>,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    // A reader of its own notes when answers come and when the connection ends; the writer does not look.
    let (sender, answers) = mpsc::channel();
    let mut reader = BufReader::new(stream.try_clone()?);
    thread::spawn(move || {
        loop {
            let answer = read_message(&mut reader).ok().flatten().map(|message| message.status());
            let _ = sender.send((Instant::now(), answer));
            if answer.is_none() {
                let _ = reader.read(&mut [0]);
                return;
            }
        }
    });
    let mut first = true;
    while !stop.load(Ordering::SeqCst) {
        let id = format!("slow{:08x}", ids.fetch_add(1, Ordering::SeqCst));
        let class = if rng.f64() < 0.67 { PLAN } else { SEAT };
        let (method, body) =
            if class.effect == "read_like" { ("GET", "") } else { ("POST", "Content-Length: 5\r\n") };
        let text = format!(
            "{method} /{}/x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Budget: 3000m\r\n{body}\r\n{}",
            class.name,
            if body.is_empty() { "" } else { "order" }
        );
        // The connection has ended between two requests.
        if answers.try_recv().is_ok() {
            return Ok(());
        }
        let cut = if first { text.len() } else { text.len() / 2 };
        let began = Instant::now();
        stream.write_all(&text.as_bytes()[..cut])?;
        let mut written = Ok(());
        if !first {
            thread::sleep(PAUSE);
            written = stream.write_all(&text.as_bytes()[cut..]);
        }
        let ended = Instant::now();
        let (at, status) = answers.recv_timeout(Duration::from_secs(4)).unwrap_or((Instant::now(), None));
        let after = at.saturating_duration_since(began);
        record.line(format!(
            "slow client {number} {id} {}: first byte {:.4}, last byte {:.4} ({}), {} at {:.4}",
            class.name,
            record.seconds(began),
            record.seconds(ended),
            if written.is_ok() { "written" } else { "not written" },
            status
                .map_or("the connection ends with no answer".to_owned(), |status| format!("answer {status}")),
            record.seconds(at)
        ));
        let mut counts = counts.lock().unwrap();
        match status {
            Some(_) => counts.answered += 1,
            None if after < CROSSING || first => counts.crossed += 1,
            None if written.is_err() => counts.not_taken += 1,
            None => {
                counts.lost += 1;
                record.line(format!(
                    "BROKEN: {id} ({}) was written from {:.3} to {:.3} on a kept connection, which the sidecar ended at {:.3} with no answer",
                    class.name,
                    record.seconds(began),
                    record.seconds(ended),
                    record.seconds(at)
                ));
            }
        }
        if status.is_none() {
            return Ok(());
        }
        drop(counts);
        first = false;
        thread::sleep(Duration::from_secs_f64(rng.between(0.05, 0.3)));
    }
    Ok(())
}
