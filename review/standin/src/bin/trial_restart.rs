//! Trial, not a case. A planned restart while endpoints give answers of 512 kB at about 128 kB a second. Clients send on kept
//! connections from 0.75 s after SIGTERM on; SIGKILL follows 3.75 s after SIGTERM. Broken if a request that came more than
//! 0.7 s after SIGTERM is then unanswered.

use review_standin::*;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 6;
const CLIENTS: u64 = 30;
const LENGTH: usize = 512 * 1024;
const PIECE: usize = 8 * 1024;
const BETWEEN_PIECES: Duration = Duration::from_millis(62);
const PLAN: Class =
    Class { name: "plan-trip", effect: "read_like", scope: "all", window_ms: 5_000, deadline_ms: 3000 };

fn main() -> std::process::ExitCode {
    play(case)
}

fn case(run: &Run) -> io::Result<bool> {
    let record = run.record.clone();
    let handler: Arc<Handler> = Arc::new(move |_, request, served| {
        thread::sleep(Duration::from_millis(45));
        if request.path() != "/plan-trip/long" {
            served.stream.write_all(&response("200 OK", "", "short"))?;
            return Ok(Next::Keep);
        }
        served.stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n").as_bytes())?;
        for _ in 0..LENGTH / PIECE {
            served.stream.write_all(&[b'x'; PIECE])?;
            thread::sleep(BETWEEN_PIECES);
        }
        Ok(Next::Keep)
    });
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let address = serve_endpoint(number, handler.clone())?;
        endpoints.push(Endpoint { name: format!("s{number}"), address, zone: "plateau".into(), group: 0 });
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
    let (address, term) = (sidecar.listen, Instant::now() + Duration::from_secs(2));
    let ends: Arc<Mutex<Vec<bool>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, ends) = (record.clone(), ends.clone());
            thread::spawn(move || {
                let at = term + Duration::from_millis(750 + 50 * number);
                if let Ok(whole) = ask(address, number, at) {
                    record.line(format!("client {number}, sent {:.3}: whole {whole}", record.seconds(at)));
                    ends.lock().unwrap().push(whole);
                }
            })
        })
        .collect();
    thread::sleep(term.saturating_duration_since(Instant::now()));
    if run.trouble {
        sidecar.signal("TERM")?;
        record.line("SIGTERM");
        thread::sleep((term + Duration::from_millis(3750)).saturating_duration_since(Instant::now()));
        sidecar.kill()?;
        record.line("SIGKILL");
    }
    for client in clients {
        let _ = client.join();
    }
    let ends = ends.lock().unwrap();
    let lost = ends.iter().filter(|whole| !**whole).count();
    record
        .say(format!("{} requests from 0.75 s after SIGTERM on, {lost} without a whole answer", ends.len()));
    Ok(lost == 0)
}

/// Asks once, rests until `at` and asks for a long answer on the same connection. An error if the connection could not be
/// used any more.
fn ask(address: SocketAddr, number: u64, at: Instant) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let request = |path: &str, id: &str| {
        format!(
            "GET /plan-trip/{path} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}{number}\r\nX-Budget: 3000m\r\n\r\n"
        )
    };
    stream.write_all(request("short", "a").as_bytes())?;
    read_message(&mut reader)?;
    thread::sleep(at.saturating_duration_since(Instant::now()));
    stream.set_nonblocking(true)?;
    let rests = matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false)?;
    if !rests {
        return Err(io::ErrorKind::NotConnected.into());
    }
    stream.write_all(request("long", "b").as_bytes())?;
    Ok(
        matches!(read_message(&mut reader), Ok(Some(answer)) if answer.body.len() == LENGTH || answer.status() != 200),
    )
}
