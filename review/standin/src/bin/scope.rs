//! A new configuration narrows the group of endpoints that drop a repeat of a keyed class. Some connections end under
//! requests that have run. Broken if a request that came after the change was in use runs at two endpoints.

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
/// New settings are in use after this; every time limit is 50 ms longer.
const IN_USE: Duration = Duration::from_millis(1250);

const KEYED: Class = Class {
    name: "offerte-speichern",
    effect: "idempotency_key",
    scope: "all",
    window_ms: 4_000,
    deadline_ms: 2500,
};
const UNSAFE: Class = Class {
    name: "zusage-buchen",
    effect: "non_idempotent",
    scope: "all",
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
    /// Since when repeats are dropped within a group only.
    narrow_from: Option<Instant>,
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
    let sent: Arc<Mutex<Option<SendTimes>>> = Arc::default();
    let (shared, times, log) = (world.clone(), sent.clone(), record.clone());
    let handler: Arc<Handler> = Arc::new(move |number, request, served| {
        let id = request.header("x-call-id").unwrap_or_default().to_owned();
        let times = times.lock().unwrap().clone();
        let sent = times.and_then(|times| times.lock().unwrap().get(&id).copied());
        let key = request.header("idempotency-key").map(str::to_owned);
        let (runs, lost, work) = {
            let mut world = shared.lock().unwrap();
            world.rng_state += 1;
            let mut rng = Rng::new(world.rng_state);
            // Requests that were under way at the change keep what they came under.
            let narrow = world.narrow_from.is_some_and(|from| sent.is_some_and(|sent| sent >= from));
            let runs = match &key {
                None => true,
                Some(key) => {
                    let ran = world.runs.entry(key.clone()).or_default();
                    let dropped = ran.iter().any(|ran| {
                        let same = !narrow || ran.endpoint / GROUP_SIZE == number / GROUP_SIZE;
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
            "endpoint s{number} group {} {id} key {} {}{}",
            number / GROUP_SIZE,
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
            zone: "bern".into(),
            group: number / GROUP_SIZE,
        });
    }
    let discovery = Discovery::start(record.clone(), &endpoints)?;
    let settings = Settings {
        classes: vec![KEYED, UNSAFE],
        zones: vec!["bern"],
        discovery: "automatic",
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
    let load =
        Load::start(&record, &addresses, RATE, 59, |rng| if rng.f64() < 0.57 { KEYED } else { UNSAFE });
    *sent.lock().unwrap() = Some(load.sent.clone());
    thread::sleep(Duration::from_secs(8));
    let mut in_use = None;
    if run.trouble {
        let narrow = Settings { classes: vec![Class { scope: "cell", ..KEYED }, UNSAFE], ..settings.clone() };
        for sidecar in &sidecars {
            sidecar.reload(discovery.address, &known, &narrow)?;
        }
        let from = Instant::now() + IN_USE;
        record.say(format!(
            "SIGHUP to all sidecars; the narrower group is in use from {:.3}",
            record.seconds(from)
        ));
        world.lock().unwrap().narrow_from = Some(from);
        in_use = Some(from);
    }
    thread::sleep(Duration::from_secs(14));
    let seen = load.finish();
    for sidecar in &mut sidecars {
        if !sidecar.is_running() {
            return Err(io::Error::other("a sidecar has ended"));
        }
        record.line(format!("counters {}", sidecar.counters()));
    }
    let world = world.lock().unwrap();
    let (mut twice, mut repeats) = (0, 0);
    for seen in seen.iter().filter(|seen| in_use.is_none_or(|from| seen.sent >= from)) {
        let Some(runs) = seen.job.key.as_ref().and_then(|key| world.runs.get(key)) else { continue };
        repeats += 1;
        if runs.len() > 1 {
            twice += 1;
            let places: Vec<String> = runs
                .iter()
                .map(|ran| {
                    let group = ran.endpoint / GROUP_SIZE;
                    format!("at s{} of group {group} at {:.3}", ran.endpoint, record.seconds(ran.at))
                })
                .collect();
            record.line(format!(
                "BROKEN: {} sent at {:.3} ({:.3} s after the settings were in use) ran {}",
                seen.job.id,
                record.seconds(seen.sent),
                in_use.map_or(0.0, |from| seen.sent.saturating_duration_since(from).as_secs_f64()),
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
