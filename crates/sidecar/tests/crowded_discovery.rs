//! Requests and drains while discovery cannot confirm lists: it has more callers than it can answer, cannot be reached, or has
//! not answered a process that has just started.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{NEXT_NUMBER, Process, list_json, read_head, sidecar_addresses};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const ENDPOINTS: usize = 16;
const DRAINED: usize = 5;
/// A change counts as told so long after discovery had it, ...
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// ... and then the grace and the slack of the protocol run.
const GRACE: Duration = Duration::from_millis(300);
/// Discovery has calls wait for so long before it refuses them.
const QUEUE: Duration = Duration::from_secs(2);
/// An endpoint that drains takes new requests for so long.
const WINDING_DOWN: Duration = Duration::from_secs(2);
/// A call is made within this time while discovery answers nobody, and a second one may be needed.
const CALLED_WITHIN: Duration = Duration::from_millis(8000);
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// What discovery does with calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Service {
    /// It answers them.
    #[default]
    Answers,
    /// It has more callers than it can answer: calls wait and are refused.
    Crowded,
    /// Nobody listens, and connections are closed.
    Down,
}

/// What the stand-ins share.
#[derive(Default)]
struct World {
    discovery: Mutex<Service>,
    /// Endpoints that drain go on serving.
    serves_on: bool,
    /// Since when the first endpoints drain.
    drained: Mutex<Option<Instant>>,
    /// When requests began: by whom, at which endpoint.
    begun: Mutex<Vec<(String, usize, Instant)>>,
}

impl World {
    fn drained_for(&self, endpoint: usize) -> Option<Duration> {
        let drained = *self.drained.lock().expect("no panic");
        drained.filter(|_| endpoint < DRAINED).map(|at| at.elapsed())
    }

    /// Endpoints begin to drain, and discovery, which has that, is crowded from then on.
    fn drain(&self) -> Instant {
        let now = Instant::now();
        *self.drained.lock().expect("no panic") = Some(now);
        self.set_discovery(Service::Crowded);
        now
    }

    fn version(&self) -> u64 {
        if self.drained.lock().expect("no panic").is_some() { 2 } else { 1 }
    }

    fn discovery(&self) -> Service {
        *self.discovery.lock().expect("no panic")
    }

    fn set_discovery(&self, service: Service) {
        *self.discovery.lock().expect("no panic") = service;
    }
}

fn serve(answer: impl Fn(&str, Instant) -> String + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            serve_connection(stream, answer.clone());
        }
    });
    at
}

fn serve_connection(mut stream: TcpStream, answer: impl Fn(&str, Instant) -> String + Send + 'static) {
    std::thread::spawn(move || {
        while let Ok(1) = stream.peek(&mut [0]) {
            let first_byte = Instant::now();
            let Some(asked) = read_head(&mut stream) else { return };
            if stream.write_all(answer(&asked, first_byte).as_bytes()).is_err() {
                return;
            }
        }
    });
}

fn endpoint(world: Arc<World>, number: usize) -> SocketAddr {
    serve(move |asked, first_byte| {
        let id = asked.split("X-Call-Id: ").nth(1).and_then(|rest| rest.split('-').next()).unwrap_or("");
        world.begun.lock().expect("no panic").push((id.to_owned(), number, first_byte));
        match world.drained_for(number) {
            Some(time) if time > WINDING_DOWN && !world.serves_on => {
                "HTTP/1.1 503 Draining\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            _ => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
        }
    })
}

/// A number in the target of a call.
fn argument(asked: &str, name: &str) -> Option<u64> {
    let rest = asked.split(name).nth(1)?;
    rest.split(|digit: char| !digit.is_ascii_digit()).next()?.parse().ok()
}

/// Discovery: version 1 names all endpoints, version 2 some as draining. While it is crowded it has everybody wait and refuses
/// them.
fn answer_call(world: &World, endpoints: &[SocketAddr], asked: &str, began: Instant) -> String {
    let (from, hold) = (argument(asked, "from="), argument(asked, "hold_ms=").unwrap_or(0));
    let has_news = || from.is_none_or(|from| from < world.version());
    let answers = || world.discovery() == Service::Answers;
    while answers() && !has_news() && began.elapsed() < Duration::from_millis(hold) {
        sleep(5 * MS);
    }
    if !answers() {
        sleep(QUEUE);
        return REFUSAL.to_owned();
    }
    let body = match (from, world.version()) {
        (None, 1) => list_json(endpoints, 1),
        (Some(from), version) if from >= version => {
            format!(r#"{{"index":{version},"snapshot":false,"endpoints":[]}}"#)
        }
        (_, version) => {
            let drains = list_json(&endpoints[..DRAINED], version).replace(r#""up""#, r#""draining""#);
            drains.replace(r#""snapshot":true"#, r#""snapshot":false"#)
        }
    };
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Discovery at an address that nobody else picks, as connections there are refused while it is down.
fn discovery(world: Arc<World>, endpoints: Vec<SocketAddr>) -> SocketAddr {
    let [_, address, _] = sidecar_addresses(1)[0];
    let mut listener = Some(listen_at(address));
    std::thread::spawn(move || {
        let mut connections = Vec::new();
        loop {
            if world.discovery() == Service::Down {
                listener = None;
                for connection in connections.drain(..) {
                    let _ = TcpStream::shutdown(&connection, Shutdown::Both);
                }
            } else if let Ok((stream, _)) = listener.get_or_insert_with(|| listen_at(address)).accept() {
                stream.set_nonblocking(false).expect("a socket");
                connections.extend(stream.try_clone());
                let (world, endpoints) = (world.clone(), endpoints.clone());
                serve_connection(stream, move |asked, began| answer_call(&world, &endpoints, asked, began));
                continue;
            }
            sleep(2 * MS);
        }
    });
    address
}

fn listen_at(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).expect("the address is free");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

/// A process of the program.
struct Sidecar {
    name: String,
    _process: Process,
    listen: SocketAddr,
}

impl Sidecar {
    fn start(name: &str, discovery: SocketAddr, known: &str) -> Sidecar {
        let listen = sidecar_addresses(1)[0][0];
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let config = common::config_json(&listen.to_string(), &discovery.to_string(), known)
            .replace("8c1f30d27a5be964", &format!("{number:016x}"));
        Sidecar { name: name.to_owned(), _process: Process::start(&config, &[], 256), listen }
    }

    fn request(&self) -> Option<u16> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let mut stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(10_000 * MS)).ok()?;
        let (name, listen) = (&self.name, self.listen);
        let text = format!(
            "GET /plan/1 HTTP/1.1\r\nHost: {listen}\r\nX-Call-Id: {name}-{number}\r\nX-Budget: 2000m\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).ok()?;
        read_head(&mut stream)?.get(9..12)?.parse().ok()
    }

    fn wait_until_it_listens(&self) {
        let began = Instant::now();
        while TcpStream::connect(self.listen).is_err() {
            assert!(began.elapsed() < 10_000 * MS, "{} does not listen", self.name);
            sleep(10 * MS);
        }
    }

    /// A request each 33 ms until then: the status of each, with the time at which it was sent.
    fn load(&self, until: Instant) -> Vec<(Instant, Option<u16>)> {
        let mut answers = Vec::new();
        while Instant::now() < until {
            let sent = Instant::now();
            answers.push((sent, self.request()));
            sleep((33 * MS).saturating_sub(sent.elapsed()));
        }
        answers
    }
}

/// How many requests of each sidecar began at an endpoint after its drain counted as told.
fn late(world: &World, drained: Instant) -> BTreeMap<String, usize> {
    let mut late = BTreeMap::new();
    for (sidecar, endpoint, at) in world.begun.lock().expect("no panic").iter() {
        if *endpoint < DRAINED && *at > drained + NOTIFICATION_DEADLINE + GRACE {
            *late.entry(sidecar.clone()).or_default() += 1;
        }
    }
    late
}

/// The share of the requests sent from then on that was served.
fn served(answers: &[(Instant, Option<u16>)], from: Instant) -> f64 {
    let sent: Vec<_> = answers.iter().filter(|(at, _)| *at >= from).collect();
    sent.iter().filter(|(_, status)| *status == Some(200)).count() as f64 / sent.len().max(1) as f64
}

/// Requests of sidecars that run beside each other, and how they were answered.
type Load = std::thread::JoinHandle<(Vec<(Instant, Option<u16>)>, Sidecar)>;

/// A fleet of processes with a load on each.
struct Fleet {
    world: Arc<World>,
    known: String,
    discovery: SocketAddr,
    end: Instant,
    loads: Vec<Load>,
}

impl Fleet {
    /// One without processes, whose load ends after this time.
    fn new(lasts: Duration) -> Fleet {
        Fleet::in_world(World::default(), lasts)
    }

    /// The same with these stand-ins.
    fn in_world(world: World, lasts: Duration) -> Fleet {
        let world = Arc::new(world);
        let endpoints: Vec<SocketAddr> =
            (0..ENDPOINTS).map(|number| endpoint(world.clone(), number)).collect();
        let known = list_json(&endpoints, 1);
        let discovery = discovery(world.clone(), endpoints);
        Fleet { world, known, discovery, end: Instant::now() + lasts, loads: Vec::new() }
    }

    /// Processes start with the list that was held before anything drained, and get requests as soon as they listen.
    fn start(&mut self, names: &[&str]) {
        let started: Vec<Sidecar> =
            names.iter().map(|name| Sidecar::start(name, self.discovery, &self.known)).collect();
        started.iter().for_each(Sidecar::wait_until_it_listens);
        let end = self.end;
        self.loads.extend(
            started.into_iter().map(|sidecar| std::thread::spawn(move || (sidecar.load(end), sidecar))),
        );
    }

    /// Waits for the end of the load.
    fn finish(self) -> Finished {
        let answers = |load: Load| {
            let (answers, sidecar) = load.join().expect("no panic");
            (sidecar.name, answers)
        };
        Finished { world: self.world, answers: self.loads.into_iter().map(answers).collect() }
    }
}

/// What a fleet has done.
struct Finished {
    world: Arc<World>,
    answers: BTreeMap<String, Vec<(Instant, Option<u16>)>>,
}

impl Finished {
    fn assert_nothing_late(&self, drained: Instant) {
        assert_eq!(late(&self.world, drained), BTreeMap::new(), "late requests by sidecar");
    }

    /// Every request got a final answer: it was served, or it was refused.
    fn assert_all_answered(&self) {
        for (name, answers) in &self.answers {
            let other = answers.iter().find(|(_, status)| !matches!(status, Some(200 | 503)));
            assert_eq!(other, None, "{name}: neither served nor refused");
        }
    }

    /// The sidecars of this kind served so much from then on.
    fn assert_served(&self, kind: &str, from: Instant, at_least: f64) {
        for (name, answers) in self.answers.iter().filter(|(name, _)| name.starts_with(kind)) {
            let served = served(answers, from);
            assert!(served > at_least, "{name} served {served:.3}");
        }
    }
}

/// Guards against the first incident: a list went on being used while discovery was crowded.
#[test]
fn no_request_begins_at_a_drained_endpoint_while_discovery_is_crowded() {
    let mut fleet = Fleet::new(Duration::from_millis(20_000));
    fleet.start(&["running0", "running1", "running2"]);
    sleep(1500 * MS);
    let drained = fleet.world.drain();
    sleep(200 * MS);
    fleet.start(&["started0", "started1"]);
    sleep(1300 * MS);
    fleet.start(&["late0", "late1"]);
    sleep((8000 * MS).saturating_sub(drained.elapsed()));
    let back = Instant::now();
    fleet.world.set_discovery(Service::Answers);
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
    finished.assert_served("running", drained + 1000 * MS, 0.95);
    for kind in ["running", "started", "late"] {
        finished.assert_served(kind, back + CALLED_WITHIN, 0.95);
    }
}

/// Guards against issue 52: a refused connection prolonged the list over changes that discovery had before it went down.
#[test]
fn an_outage_does_not_prolong_a_list_over_changes_that_came_before_it() {
    let mut fleet = Fleet::new(Duration::from_millis(16_000));
    fleet.start(&["running0", "running1", "running2"]);
    sleep(1500 * MS);
    let drained = fleet.world.drain();
    sleep(200 * MS);
    fleet.world.set_discovery(Service::Down);
    sleep(3500 * MS);
    fleet.world.set_discovery(Service::Crowded);
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
    finished.assert_served("running", drained + 1000 * MS, 0.9);
}

/// Guards against issue 52: a process that has just started relied on the list it was given, whatever its age.
#[test]
fn a_process_sends_nothing_by_an_old_list_that_it_is_started_with() {
    let mut fleet = Fleet::new(Duration::from_millis(12_000));
    let drained = fleet.world.drain();
    sleep(NOTIFICATION_DEADLINE - 800 * MS);
    fleet.start(&["started0", "started1", "started2"]);
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
}

/// Guards against an endpoint that drains and goes on serving: that it took a request does not show that it is not listed as
/// draining.
#[test]
fn an_endpoint_that_drains_and_serves_on_gets_no_late_request() {
    let serves_on = World { serves_on: true, ..World::default() };
    let mut fleet = Fleet::in_world(serves_on, Duration::from_millis(12_000));
    fleet.start(&["running0", "running1", "running2"]);
    sleep(1500 * MS);
    let drained = fleet.world.drain();
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
}
