//! Some answers of endpoints are followed by a second copy some milliseconds later, if nothing else waits on the connection
//! then. Broken if a client is served with an answer that was made for another request.

use review_standin::*;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SIDECARS: usize = 3;
const ENDPOINTS: usize = 9;
const RATE: f64 = 40.0;
/// One answer in so many is followed by a copy.
const COPIED_ONE_IN: u64 = 8;
/// How long after the answer, in milliseconds.
const LATE_MS: [f64; 2] = [4.0, 9.0];
/// One way between two zones: within 0.42 to 0.78 ms.
const ONE_WAY: Duration = Duration::from_micros(750);

const PLAN: Class =
    Class { name: "plan-trip", effect: "read_like", scope: "all", window_ms: 5_000, deadline_ms: 3000 };
const SEAT: Class =
    Class { name: "book-seat", effect: "non_idempotent", scope: "all", window_ms: 5_000, deadline_ms: 3000 };
const TOPUP: Class = Class {
    name: "card-topup",
    effect: "idempotency_key",
    scope: "all",
    window_ms: 12_000,
    deadline_ms: 8000,
};

fn main() -> std::process::ExitCode {
    play(case)
}

fn case(run: &Run) -> io::Result<bool> {
    let record = run.record.clone();
    let rng = Arc::new(Mutex::new(Rng::new(59)));
    let (log, trouble) = (record.clone(), run.trouble);
    let handler: Arc<Handler> = Arc::new(move |number, request, served| {
        let id = request.header("x-call-id").unwrap_or_default().to_owned();
        let scale = match request.class() {
            "plan-trip" => 1.0,
            "book-seat" => 2.0,
            _ => 4.6,
        };
        let (work, copied, late) = {
            let mut rng = rng.lock().unwrap();
            let work = rng.between(0.034, 0.060) * scale;
            (work, rng.draw().is_multiple_of(COPIED_ONE_IN), rng.between(LATE_MS[0], LATE_MS[1]))
        };
        thread::sleep(Duration::from_secs_f64(work));
        let answer = response("200 OK", "", &format!("answer to {id}"));
        served.stream.write_all(&answer)?;
        log.line(format!("endpoint s{number} ran {id}"));
        if trouble && copied {
            let at = Instant::now() + Duration::from_secs_f64(late / 1e3);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if !served.has_waiting() {
                served.stream.write_all(&answer)?;
                log.line(format!(
                    "endpoint s{number} sends a second copy of the answer to {id}, {late:.1} ms late"
                ));
            }
        }
        Ok(Next::Keep)
    });
    let zones = ["plateau", "pikine", "diamniadio"];
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let address = delaying_proxy(serve_endpoint(number, handler.clone())?, ONE_WAY)?;
        let zone = zones[number % zones.len()].to_owned();
        endpoints.push(Endpoint { name: format!("s{number}"), address, zone, group: number / 4 });
    }
    let discovery = Discovery::start(record.clone(), &endpoints)?;
    let settings = Settings {
        classes: vec![PLAN, SEAT, TOPUP],
        zones: zones.to_vec(),
        discovery: "subscribe",
        instances: SIDECARS,
        sockets: 1024,
        zone: 0,
    };
    let known = discovery.snapshot();
    let mut sidecars = Vec::new();
    for rank in 0..SIDECARS {
        sidecars.push(Sidecar::start(&run.root, &run.tmp, rank, discovery.address, &known, &settings)?);
    }
    for sidecar in &mut sidecars {
        sidecar.wait_until_up(Duration::from_secs(30))?;
    }
    let addresses: Vec<_> = sidecars.iter().map(|sidecar| sidecar.listen).collect();
    let load = Load::start(&record, &addresses, RATE, 59, |rng| match rng.f64() {
        x if x < 0.54 => PLAN,
        x if x < 0.81 => SEAT,
        _ => TOPUP,
    });
    thread::sleep(Duration::from_secs(95));
    let seen = load.finish();
    for sidecar in &mut sidecars {
        if !sidecar.is_running() {
            return Err(io::Error::other("a sidecar has ended"));
        }
        record.line(format!("counters {}", sidecar.counters()));
    }
    let served: Vec<_> = seen.iter().filter(|seen| seen.status == 200).collect();
    let mut foreign = 0;
    for seen in &served {
        if seen.body != format!("answer to {}", seen.job.id) {
            foreign += 1;
            record.line(format!(
                "BROKEN: {} ({}, sent at {:.3}) was served with {:?}",
                seen.job.id,
                seen.job.class.name,
                record.seconds(seen.sent),
                seen.body
            ));
        }
    }
    record.say(format!(
        "{} requests, {} served, {foreign} of them with an answer to another",
        seen.len(),
        served.len()
    ));
    if served.len() * 2 < seen.len() {
        return Err(io::Error::other("the deployment does not serve"));
    }
    Ok(foreign == 0)
}
