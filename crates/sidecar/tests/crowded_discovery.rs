//! Requests and drains while discovery cannot confirm lists, because it is overloaded, unreachable, or has not yet answered a
//! process that has just started.
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
/// How long after discovery had a change the change counts as delivered.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The grace period of a drain and its slack, which the protocol adds to that.
const GRACE: Duration = Duration::from_millis(300);
/// How long an overloaded discovery lets calls wait before it rejects them.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an endpoint accepts new requests after it has begun to drain.
const DRAINING_ACCEPTS_FOR: Duration = Duration::from_secs(2);
/// A sidecar calls discovery within this time during an outage, including a second call if one is needed.
const CALLED_WITHIN: Duration = Duration::from_millis(8000);
const REJECTION: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// How the stub discovery treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Service {
    /// Answers them.
    #[default]
    Answers,
    /// Lets them wait and rejects them, as if there were more than it can answer.
    Overloaded,
    /// Refuses connections, and closes open ones.
    Down,
}

/// The state that the stubs share.
#[derive(Default)]
struct Stubs {
    discovery: Mutex<Service>,
    /// Whether draining endpoints go on serving requests.
    serves_on: bool,
    /// Since when the first [`DRAINED`] endpoints drain.
    drained: Mutex<Option<Instant>>,
    /// Sidecar, endpoint and start of each request.
    begun: Mutex<Vec<(String, usize, Instant)>>,
}

impl Stubs {
    fn drained_for(&self, endpoint: usize) -> Option<Duration> {
        let drained = *self.drained.lock().expect("no panic");
        drained.filter(|_| endpoint < DRAINED).map(|at| at.elapsed())
    }

    /// Endpoints begin to drain. Discovery has the change, but is overloaded from then on.
    fn drain(&self) -> Instant {
        let now = Instant::now();
        *self.drained.lock().expect("no panic") = Some(now);
        self.set_discovery(Service::Overloaded);
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

fn serve(respond: impl Fn(&str, Instant) -> String + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            serve_connection(stream, respond.clone());
        }
    });
    at
}

fn serve_connection(mut stream: TcpStream, respond: impl Fn(&str, Instant) -> String + Send + 'static) {
    std::thread::spawn(move || {
        while let Ok(1) = stream.peek(&mut [0]) {
            let first_byte = Instant::now();
            let Some(request) = read_head(&mut stream) else { return };
            if stream.write_all(respond(&request, first_byte).as_bytes()).is_err() {
                return;
            }
        }
    });
}

fn endpoint(stubs: Arc<Stubs>, number: usize) -> SocketAddr {
    serve(move |request, first_byte| {
        let id = request.split("X-Call-Id: ").nth(1).and_then(|rest| rest.split('-').next()).unwrap_or("");
        stubs.begun.lock().expect("no panic").push((id.to_owned(), number, first_byte));
        match stubs.drained_for(number) {
            Some(time) if time > DRAINING_ACCEPTS_FOR && !stubs.serves_on => {
                "HTTP/1.1 503 Draining\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            _ => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
        }
    })
}

/// A numeric parameter in the target of a call.
fn argument(request: &str, name: &str) -> Option<u64> {
    let rest = request.split(name).nth(1)?;
    rest.split(|digit: char| !digit.is_ascii_digit()).next()?.parse().ok()
}

/// The stub discovery: version 1 lists all endpoints as ready, version 2 some as draining. While overloaded, it lets all
/// calls wait and rejects them.
fn respond_to_call(stubs: &Stubs, endpoints: &[SocketAddr], request: &str, began: Instant) -> String {
    let (from, hold) = (argument(request, "from="), argument(request, "hold_ms=").unwrap_or(0));
    let has_change = || from.is_none_or(|from| from < stubs.version());
    let answers = || stubs.discovery() == Service::Answers;
    while answers() && !has_change() && began.elapsed() < Duration::from_millis(hold) {
        sleep(5 * MS);
    }
    if !answers() {
        sleep(QUEUE_TIMEOUT);
        return REJECTION.to_owned();
    }
    let body = match (from, stubs.version()) {
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

/// Starts the stub discovery. Its address is reserved, so that connections are refused while it is down.
fn discovery(stubs: Arc<Stubs>, endpoints: Vec<SocketAddr>) -> SocketAddr {
    let [_, address, _] = sidecar_addresses(1)[0];
    let mut listener = Some(listen_at(address));
    std::thread::spawn(move || {
        let mut connections = Vec::new();
        loop {
            if stubs.discovery() == Service::Down {
                listener = None;
                for connection in connections.drain(..) {
                    let _ = TcpStream::shutdown(&connection, Shutdown::Both);
                }
            } else if let Ok((stream, _)) = listener.get_or_insert_with(|| listen_at(address)).accept() {
                stream.set_nonblocking(false).expect("a socket");
                connections.extend(stream.try_clone());
                let (stubs, endpoints) = (stubs.clone(), endpoints.clone());
                serve_connection(stream, move |request, began| {
                    respond_to_call(&stubs, &endpoints, request, began)
                });
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

/// A sidecar process.
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

    /// Sends a request every 33 ms until `until`. Returns when each was sent, and its status.
    fn load(&self, until: Instant) -> Vec<(Instant, Option<u16>)> {
        let mut responses = Vec::new();
        while Instant::now() < until {
            let sent = Instant::now();
            responses.push((sent, self.request()));
            sleep((33 * MS).saturating_sub(sent.elapsed()));
        }
        responses
    }
}

/// The number of requests by sidecar that began at an endpoint after its drain counted as delivered.
fn late(stubs: &Stubs, drained: Instant) -> BTreeMap<String, usize> {
    let mut late = BTreeMap::new();
    for (sidecar, endpoint, at) in stubs.begun.lock().expect("no panic").iter() {
        if *endpoint < DRAINED && *at > drained + NOTIFICATION_DEADLINE + GRACE {
            *late.entry(sidecar.clone()).or_default() += 1;
        }
    }
    late
}

/// The share of the requests sent from `from` on that was served.
fn served(responses: &[(Instant, Option<u16>)], from: Instant) -> f64 {
    let sent: Vec<_> = responses.iter().filter(|(at, _)| *at >= from).collect();
    sent.iter().filter(|(_, status)| *status == Some(200)).count() as f64 / sent.len().max(1) as f64
}

/// The thread that loads a sidecar, with the results of the requests.
type Load = std::thread::JoinHandle<(Vec<(Instant, Option<u16>)>, Sidecar)>;

/// A fleet of sidecar processes, each under load.
struct Fleet {
    stubs: Arc<Stubs>,
    known: String,
    discovery: SocketAddr,
    end: Instant,
    loads: Vec<Load>,
}

impl Fleet {
    /// Creates a fleet without processes, whose load ends after `lasts`.
    fn new(lasts: Duration) -> Fleet {
        Fleet::with_stubs(Stubs::default(), lasts)
    }

    /// The same with these stubs.
    fn with_stubs(stubs: Stubs, lasts: Duration) -> Fleet {
        let stubs = Arc::new(stubs);
        let endpoints: Vec<SocketAddr> =
            (0..ENDPOINTS).map(|number| endpoint(stubs.clone(), number)).collect();
        let known = list_json(&endpoints, 1);
        let discovery = discovery(stubs.clone(), endpoints);
        Fleet { stubs, known, discovery, end: Instant::now() + lasts, loads: Vec::new() }
    }

    /// Starts processes with the list from before any drain, and loads them as soon as they listen.
    fn start(&mut self, names: &[&str]) {
        let started: Vec<Sidecar> =
            names.iter().map(|name| Sidecar::start(name, self.discovery, &self.known)).collect();
        started.iter().for_each(Sidecar::wait_until_it_listens);
        let end = self.end;
        self.loads.extend(
            started.into_iter().map(|sidecar| std::thread::spawn(move || (sidecar.load(end), sidecar))),
        );
    }

    /// Waits until the load ends.
    fn finish(self) -> Finished {
        let results = |load: Load| {
            let (responses, sidecar) = load.join().expect("no panic");
            (sidecar.name, responses)
        };
        Finished { stubs: self.stubs, responses: self.loads.into_iter().map(results).collect() }
    }
}

/// The results of a fleet.
struct Finished {
    stubs: Arc<Stubs>,
    responses: BTreeMap<String, Vec<(Instant, Option<u16>)>>,
}

impl Finished {
    fn assert_nothing_late(&self, drained: Instant) {
        assert_eq!(late(&self.stubs, drained), BTreeMap::new(), "late requests by sidecar");
    }

    /// Checks that every request got a final response, served or rejected.
    fn assert_all_answered(&self) {
        for (name, responses) in &self.responses {
            let other = responses.iter().find(|(_, status)| !matches!(status, Some(200 | 503)));
            assert_eq!(other, None, "{name}: neither served nor rejected");
        }
    }

    /// Checks that sidecars of this kind served more than this share of the requests sent from `from` on.
    fn assert_served(&self, kind: &str, from: Instant, at_least: f64) {
        for (name, responses) in self.responses.iter().filter(|(name, _)| name.starts_with(kind)) {
            let served = served(responses, from);
            assert!(served > at_least, "{name} served {served:.3}");
        }
    }
}

/// Guards against the first incident: sidecars went on using a list while discovery was overloaded.
#[test]
fn no_request_begins_at_a_drained_endpoint_while_discovery_is_overloaded() {
    let mut fleet = Fleet::new(Duration::from_millis(20_000));
    fleet.start(&["running0", "running1", "running2"]);
    sleep(1500 * MS);
    let drained = fleet.stubs.drain();
    sleep(200 * MS);
    fleet.start(&["started0", "started1"]);
    sleep(1300 * MS);
    fleet.start(&["late0", "late1"]);
    sleep((8000 * MS).saturating_sub(drained.elapsed()));
    let back = Instant::now();
    fleet.stubs.set_discovery(Service::Answers);
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
    finished.assert_served("running", drained + 1000 * MS, 0.95);
    for kind in ["running", "started", "late"] {
        finished.assert_served(kind, back + CALLED_WITHIN, 0.95);
    }
}

/// Guards against issue 52: a refused connection extended the validity of a list, although discovery had a change before it
/// went down.
#[test]
fn an_outage_does_not_extend_a_list_past_earlier_changes() {
    let mut fleet = Fleet::new(Duration::from_millis(16_000));
    fleet.start(&["running0", "running1", "running2"]);
    sleep(1500 * MS);
    let drained = fleet.stubs.drain();
    sleep(200 * MS);
    fleet.stubs.set_discovery(Service::Down);
    sleep(3500 * MS);
    fleet.stubs.set_discovery(Service::Overloaded);
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
    finished.assert_served("running", drained + 1000 * MS, 0.9);
}

/// Guards against issue 52: a process that had just started relied on the list it was given, whatever its age.
#[test]
fn a_process_sends_nothing_based_on_an_old_initial_list() {
    let mut fleet = Fleet::new(Duration::from_millis(12_000));
    let drained = fleet.stubs.drain();
    sleep(NOTIFICATION_DEADLINE - 800 * MS);
    fleet.start(&["started0", "started1", "started2"]);
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
}

/// Guards against relying on an accepted request: an endpoint that drains may go on serving, so the request does not show
/// that discovery does not list it as draining.
#[test]
fn an_endpoint_that_drains_and_serves_on_gets_no_late_request() {
    let serves_on = Stubs { serves_on: true, ..Stubs::default() };
    let mut fleet = Fleet::with_stubs(serves_on, Duration::from_millis(12_000));
    fleet.start(&["running0", "running1", "running2"]);
    sleep(1500 * MS);
    let drained = fleet.stubs.drain();
    let finished = fleet.finish();
    finished.assert_nothing_late(drained);
    finished.assert_all_answered();
}
