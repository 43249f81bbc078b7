//! Trial, not a case. MODE=push: lists are pushed; the sidecar is killed, an endpoint begins to drain, discovery goes down so
//! that the agent is silent, and the sidecar starts again with the list that it last had. MODE=ask: discovery refuses every
//! call for 14 s, and an endpoint that still answers is removed. MODE=move: a new configuration moves discovery to an address
//! that refuses every call for 14 s and that has removed an endpoint which still answers. Broken if the endpoint gets requests
//! after the change counts as told.

use review_standin::*;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 9;
/// The grace of a drain, and 50 ms.
const GRACE: Duration = Duration::from_millis(300);
/// A change counts as told at the latest after this.
const TOLD: Duration = Duration::from_secs(6);
/// What discovery has to tell after a move counts as told this long after SIGHUP.
const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
const PLAN: Class =
    Class { name: "plan-trip", effect: "read_like", scope: "all", window_ms: 5_000, deadline_ms: 3000 };

fn main() -> std::process::ExitCode {
    play(case)
}

fn case(run: &Run) -> io::Result<bool> {
    let record = run.record.clone();
    let at_first: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let shared = at_first.clone();
    let handler: Arc<Handler> = Arc::new(move |number, request, served| {
        let id = request.header("x-call-id").unwrap_or_default().to_owned();
        if number == 0 {
            shared.lock().unwrap().push(Instant::now());
        }
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
    let mode = std::env::var("MODE").unwrap_or("push".to_owned());
    let pushed = mode == "push";
    let discovery = Discovery::start(record.clone(), &endpoints)?;
    let moved = Discovery::start(record.clone(), &endpoints)?;
    let settings = Settings {
        classes: vec![PLAN],
        zones: vec!["plateau"],
        discovery: if pushed { "automatic" } else { "subscribe" },
        instances: 1,
        sockets: 1024,
        zone: 0,
    };
    let known = discovery.snapshot();
    let mut sidecar = Sidecar::start(&run.root, &run.tmp, 0, discovery.address, &known, &settings)?;
    sidecar.wait_until_up(Duration::from_secs(30))?;
    let (bound, load);
    if pushed {
        thread::sleep(Duration::from_secs(2));
        sidecar.kill()?;
        discovery.set_status("s0", "draining");
        thread::sleep(Duration::from_secs(1));
        if run.trouble {
            discovery.set_mode(Mode::Silent);
        }
        sidecar.restart(discovery.address, &known, &settings)?;
        bound = Instant::now() + GRACE;
        sidecar.wait_until_up(Duration::from_secs(30))?;
        load = Load::start(&record, &[sidecar.listen], 40.0, 59, |_| PLAN);
        thread::sleep(Duration::from_secs(3));
    } else if mode == "move" {
        load = Load::start(&record, &[sidecar.listen], 40.0, 59, |_| PLAN);
        thread::sleep(Duration::from_secs(5));
        moved.set_status("s0", "removed");
        if run.trouble {
            moved.set_mode(Mode::Refuses(Duration::from_millis(500)));
        }
        sidecar.reload(moved.address, &known, &settings)?;
        bound = Instant::now() + TOLD_AFTER_MOVE + GRACE;
        thread::sleep(Duration::from_secs(14));
        moved.set_mode(Mode::Answers);
    } else {
        load = Load::start(&record, &[sidecar.listen], 40.0, 59, |_| PLAN);
        thread::sleep(Duration::from_secs(5));
        if run.trouble {
            discovery.set_mode(Mode::Refuses(Duration::from_millis(500)));
        }
        thread::sleep(Duration::from_millis(200));
        discovery.set_status("s0", "removed");
        bound = Instant::now() + TOLD + GRACE;
        thread::sleep(Duration::from_secs(14));
    }
    discovery.set_mode(Mode::Answers);
    thread::sleep(Duration::from_secs(3));
    let seen = load.finish();
    let late = at_first.lock().unwrap().iter().filter(|at| **at > bound).count();
    record.say(format!(
        "{} requests, {} served; {late} began at the excluded endpoint after the grace",
        seen.len(),
        seen.iter().filter(|seen| seen.status == 200).count()
    ));
    Ok(late == 0)
}
