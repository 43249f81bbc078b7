//! Trial, not a case. The repeats of a keyed class are dropped by the endpoints of one zone. All endpoints of the first zone
//! are removed, then a new configuration leaves the zone out of `dcs`, then two endpoints of the last zone are listed anew.
//! Some connections end under requests that have run. Broken if a request runs in two zones.

use review_standin::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SIDECARS: usize = 4;
const ENDPOINTS: usize = 12;
const GROUP_SIZE: usize = 4;
const RATE: f64 = 30.0;
/// One request in so many loses its answer: its connection ends once it has run.
const LOST_ONE_IN: u64 = 10;
const ZONES: [&str; 3] = ["bern", "biel", "thun"];

const KEYED: Class = Class {
    name: "offerte-speichern",
    effect: "idempotency_key",
    scope: "zone",
    window_ms: 4_000,
    deadline_ms: 2500,
};
const UNSAFE: Class = Class {
    name: "zusage-buchen",
    effect: "non_idempotent",
    scope: "zone",
    window_ms: 4_000,
    deadline_ms: 2500,
};

struct Ran {
    endpoint: usize,
    at: Instant,
}

/// What the endpoints know together.
#[derive(Default)]
struct World {
    /// Where the request of a key has run.
    runs: HashMap<String, Vec<Ran>>,
    rng_state: u64,
}

fn main() -> std::process::ExitCode {
    play(case)
}

fn case(run: &Run) -> io::Result<bool> {
    let record = run.record.clone();
    let world = Arc::new(Mutex::new(World { rng_state: 59, ..World::default() }));
    let (shared, log) = (world.clone(), record.clone());
    let handler: Arc<Handler> = Arc::new(move |number, request, served| {
        let id = request.header("x-call-id").unwrap_or_default().to_owned();
        let key = request.header("idempotency-key").map(str::to_owned);
        let (runs, lost, work) = {
            let mut world = shared.lock().unwrap();
            world.rng_state += 1;
            let mut rng = Rng::new(world.rng_state);
            let runs = match &key {
                None => true,
                Some(key) => {
                    let ran = world.runs.entry(key.clone()).or_default();
                    let dropped = ran.iter().any(|ran| {
                        let same = ran.endpoint / GROUP_SIZE == number / GROUP_SIZE;
                        same && ran.at.elapsed() < Duration::from_millis(KEYED.window_ms)
                    });
                    if !dropped {
                        ran.push(Ran { endpoint: number, at: Instant::now() });
                    }
                    !dropped
                }
            };
            (runs, rng.draw().is_multiple_of(LOST_ONE_IN), rng.between(0.06, 0.11))
        };
        log.line(format!(
            "endpoint s{number} zone {} {id} key {} {}{}",
            ZONES[number / GROUP_SIZE],
            key.as_deref().unwrap_or("-"),
            if runs { "runs" } else { "is a repeat and dropped" },
            if lost { ", its answer is lost" } else { "" }
        ));
        thread::sleep(Duration::from_secs_f64(if runs { work } else { 0.001 }));
        if lost {
            return Ok(Next::Close);
        }
        served.stream.write_all(&response("200 OK", "", &id))?;
        Ok(Next::Keep)
    });
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let address = serve_endpoint(number, handler.clone())?;
        endpoints.push(Endpoint {
            name: format!("s{number}"),
            address,
            zone: ZONES[number / GROUP_SIZE].into(),
            group: number / GROUP_SIZE,
        });
    }
    let discovery = Discovery::start(record.clone(), &endpoints)?;
    let settings = Settings {
        classes: vec![KEYED, UNSAFE],
        zones: ZONES.to_vec(),
        discovery: "subscribe",
        instances: SIDECARS,
        sockets: 1024,
        zone: 1,
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
    let load =
        Load::start(&record, &addresses, RATE, 59, |rng| if rng.f64() < 0.57 { KEYED } else { UNSAFE });
    thread::sleep(Duration::from_secs(8));
    for status in ["draining", "removed"] {
        for endpoint in &endpoints[..GROUP_SIZE] {
            discovery.set_status(&endpoint.name, status);
        }
        thread::sleep(Duration::from_secs(2));
    }
    if run.trouble {
        let fewer = Settings { zones: ZONES[1..].to_vec(), zone: 0, ..settings.clone() };
        for sidecar in &sidecars {
            sidecar.reload(discovery.address, &known, &fewer)?;
        }
        record.say("SIGHUP to all sidecars");
    }
    thread::sleep(Duration::from_secs(5));
    for endpoint in &endpoints[2 * GROUP_SIZE..2 * GROUP_SIZE + 2] {
        discovery.relist(endpoint);
    }
    thread::sleep(Duration::from_secs(10));
    let seen = load.finish();
    for sidecar in &mut sidecars {
        if !sidecar.is_running() {
            return Err(io::Error::other("a sidecar has ended"));
        }
        record.line(format!("counters {}", sidecar.counters()));
    }
    let world = world.lock().unwrap();
    let (mut twice, mut repeats) = (0, 0);
    for seen in &seen {
        let Some(runs) = seen.job.key.as_ref().and_then(|key| world.runs.get(key)) else { continue };
        repeats += 1;
        if runs.len() > 1 {
            twice += 1;
            let places: Vec<String> = runs
                .iter()
                .map(|ran| {
                    let zone = ZONES[ran.endpoint / GROUP_SIZE];
                    format!("at s{} in {zone} at {:.3}", ran.endpoint, record.seconds(ran.at))
                })
                .collect();
            record.line(format!(
                "BROKEN: {} sent at {:.3} ran {}",
                seen.job.id,
                record.seconds(seen.sent),
                places.join(" and ")
            ));
        }
    }
    let (served, all) = (seen.iter().filter(|seen| seen.status == 200).count(), seen.len());
    record.say(format!(
        "{all} requests, {served} served; {repeats} keyed ones judged, {twice} of them ran twice"
    ));
    if served * 2 < all {
        return Err(io::Error::other("the deployment does not serve"));
    }
    Ok(twice == 0)
}
