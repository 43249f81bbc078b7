//! Some clients read a long answer slowly, but without a pause. Broken if the sidecar cuts off what the endpoint still
//! gives.

use review_standin::*;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 9;
/// Usual requests a second, with short answers.
const RATE: f64 = 20.0;
const READERS: usize = 6;
/// Answers reach 32 MB.
const LONG_ANSWER: usize = 16 << 20;
/// What a slow client reads in a second; the page names 64 kB a second for a slow client's body.
const SLOW_BYTES_PER_SECOND: usize = 96_000;
/// A slow client reads this often.
const EVERY: Duration = Duration::from_millis(50);
const OBSERVED: Duration = Duration::from_secs(75);

const PLAN: Class =
    Class { name: "plan-trip", effect: "read_like", scope: "all", window_ms: 5_000, deadline_ms: 3000 };

fn main() -> std::process::ExitCode {
    play(case)
}

/// How a long answer ended for its client.
enum End {
    Whole,
    /// The run ended first; bytes kept coming.
    StillComing,
    CutOff,
    /// No long answer began.
    NoAnswer(String),
}

fn case(run: &Run) -> io::Result<bool> {
    let record = run.record.clone();
    let log = record.clone();
    let handler: Arc<Handler> = Arc::new(move |number, request, served| {
        let id = request.header("x-call-id").unwrap_or_default().to_owned();
        thread::sleep(Duration::from_millis(45));
        if request.path() != "/plan-trip/long" {
            served.stream.write_all(&response("200 OK", "", &format!("answer to {id}")))?;
            return Ok(Next::Keep);
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER}\r\n\r\n");
        served.stream.write_all(head.as_bytes())?;
        let (piece, mut given) = (vec![b'x'; 16 * 1024], 0);
        while given < LONG_ANSWER {
            // The endpoint gives on as long as it is taken; it never ends the connection itself.
            if let Err(error) = served.stream.write_all(&piece) {
                log.line(format!("endpoint s{number}: the sidecar ended the connection of {id} after {given} bytes: {error}"));
                return Ok(Next::Close);
            }
            given += piece.len();
        }
        log.line(format!("endpoint s{number} has given all of the answer to {id}"));
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
        classes: vec![PLAN],
        zones: vec!["plateau"],
        discovery: "subscribe",
        instances: 1,
        sockets: 1024,
        zone: 0,
    };
    let known = discovery.snapshot();
    let mut sidecar = Sidecar::start(&run.root, &run.tmp, 0, discovery.address, &known, &settings)?;
    sidecar.wait_until_up(Duration::from_secs(30))?;
    let address = sidecar.listen;
    let load = Load::start(&record, &[address], RATE, 59, |_| PLAN);
    thread::sleep(Duration::from_secs(2));
    let ends: Arc<Mutex<Vec<End>>> = Arc::default();
    let until = Instant::now() + OBSERVED;
    let mut readers = Vec::new();
    for number in 0..READERS {
        let (record, ends, slow) = (record.clone(), ends.clone(), run.trouble);
        readers.push(thread::spawn(move || {
            let end = read_long(address, number, slow, until, &record)
                .unwrap_or_else(|error| End::NoAnswer(error.to_string()));
            ends.lock().unwrap().push(end);
        }));
    }
    for reader in readers {
        let _ = reader.join();
    }
    let seen = load.finish();
    if !sidecar.is_running() {
        return Err(io::Error::other("the sidecar has ended"));
    }
    record.line(format!("counters {}", sidecar.counters()));
    let ends = ends.lock().unwrap();
    let of = |matches: fn(&End) -> bool| ends.iter().filter(|end| matches(end)).count();
    let cut = of(|end| matches!(end, End::CutOff));
    record.say(format!(
        "short answers: {} of {} requests served; long answers: {} whole, {} still coming at the end, {cut} cut off by the sidecar",
        seen.iter().filter(|seen| seen.status == 200).count(),
        seen.len(),
        of(|end| matches!(end, End::Whole)),
        of(|end| matches!(end, End::StillComing)),
    ));
    for end in &*ends {
        if let End::NoAnswer(why) = end {
            return Err(io::Error::other(format!("a long answer did not begin: {why}")));
        }
    }
    Ok(cut == 0)
}

/// Asks for a long answer and reads it, slowly or at full speed.
fn read_long(
    address: SocketAddr,
    number: usize,
    slow: bool,
    until: Instant,
    record: &Record,
) -> io::Result<End> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let id = format!("long{number}");
    let head = format!(
        "GET /plan-trip/long HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Budget: 3000m\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::with_capacity(1024, stream.try_clone()?);
    let answer = read_head(&mut reader)?;
    if !answer.starts_with("HTTP/1.1 200") {
        return Ok(End::NoAnswer(answer));
    }
    let mut got = reader.buffer().len();
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let start = Instant::now();
    record.line(format!("client {number}: the answer to {id} has begun"));
    let size = if slow { SLOW_BYTES_PER_SECOND * EVERY.as_millis() as usize / 1000 } else { 64 * 1024 };
    let mut buffer = vec![0; size];
    let (mut last, mut longest) = (start, Duration::ZERO);
    for step in 1.. {
        let read = stream.read(&mut buffer);
        let now = Instant::now();
        longest = longest.max(now - last);
        last = now;
        match read {
            Ok(read @ 1..) => got += read,
            ended => {
                record.say(format!(
                    "BROKEN: client {number} read without a pause over {:.2} s for {:.1} s; the connection ended ({ended:?}) after {got} of {LONG_ANSWER} bytes",
                    longest.as_secs_f64(),
                    (now - start).as_secs_f64()
                ));
                return Ok(End::CutOff);
            }
        }
        if got >= LONG_ANSWER {
            record.line(format!("client {number}: the answer to {id} is whole"));
            return Ok(End::Whole);
        }
        if now >= until {
            record.line(format!("client {number}: {got} bytes of the answer to {id} so far"));
            return Ok(End::StillComing);
        }
        if slow {
            thread::sleep((start + EVERY * step).saturating_duration_since(now));
        }
    }
    Ok(End::StillComing)
}

/// Reads up to the end of a head.
fn read_head(reader: &mut impl Read) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        reader.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
