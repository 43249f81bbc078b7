//! Stand-ins for the cases under `review/`: clients, endpoints, discovery, a proxy that delays, and the start of the
//! project's sidecar as a process. Standard library only; all sockets are loopback sockets with ports that the system picks.

use std::collections::{HashMap, VecDeque};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of a run: one line an event, with the time since the start in seconds.
pub struct Record {
    start: Instant,
    file: Mutex<io::BufWriter<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Arc<Record>> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Arc::new(Record { start: Instant::now(), file: Mutex::new(io::BufWriter::new(file)) }))
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn now(&self) -> f64 {
        self.seconds(Instant::now())
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:9.4} {}", text.as_ref());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}

/// A small random number generator (xorshift), seeded by the case.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn draw(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Between 0 and 1.
    pub fn f64(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.f64()
    }
}

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// The class: the first part of the path.
    pub fn class(&self) -> &str {
        self.path().split(['/', '?']).nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// Reads one message with a Content-Length or without a body; `None` at a clean end before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn response(status: &str, extra: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// What an endpoint does with a connection after a request.
pub enum Next {
    Keep,
    Close,
}

/// A connection at an endpoint.
pub struct Served {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Served {
    /// Whether bytes of a further request have arrived on this connection.
    pub fn has_waiting(&self) -> bool {
        if !self.reader.buffer().is_empty() {
            return true;
        }
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// An endpoint's place in the deployment.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: usize,
}

pub type Handler = dyn Fn(usize, &Message, &mut Served) -> io::Result<Next> + Send + Sync;

/// Serves connections at a port that the system picks; `handler` gets the endpoint's number and each request with an id.
/// Probes are answered here.
pub fn serve_endpoint(number: usize, handler: Arc<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let busy = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, busy) = (handler.clone(), busy.clone());
            thread::spawn(move || {
                let _ = serve_connection(number, stream, &*handler, &busy);
            });
        }
    });
    Ok(address)
}

fn serve_connection(
    number: usize,
    stream: TcpStream,
    handler: &Handler,
    busy: &AtomicUsize,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    // Idle connections are closed after the time in the settings (5 s).
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let reader = BufReader::new(stream.try_clone()?);
    let mut served = Served { stream, reader };
    while let Some(request) = read_message(&mut served.reader)? {
        if request.path() == "/alive" || request.path() == "/metrics/load" {
            let body = format!("{{\"inflight\":{},\"queue\":0}}", busy.load(Ordering::SeqCst));
            served.stream.write_all(&response("200 OK", "", &body))?;
            continue;
        }
        if request.header("x-call-id").is_none() {
            served.stream.write_all(&response("404 Not Found", "", ""))?;
            continue;
        }
        busy.fetch_add(1, Ordering::SeqCst);
        let next = handler(number, &request, &mut served);
        busy.fetch_sub(1, Ordering::SeqCst);
        if matches!(next?, Next::Close) {
            return Ok(());
        }
    }
    Ok(())
}

/// A proxy that passes on all bytes, in both directions, `delay` later.
pub fn delaying_proxy(to: SocketAddr, delay: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            thread::spawn(move || -> io::Result<()> {
                let server = TcpStream::connect(to)?;
                client.set_nodelay(true)?;
                server.set_nodelay(true)?;
                let (from, into) = (client.try_clone()?, server.try_clone()?);
                delay_line(from, into, delay);
                delay_line(server, client, delay);
                Ok(())
            });
        }
    });
    Ok(address)
}

fn delay_line(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            let _ = sender.send((Instant::now() + delay, buffer[..read].to_vec()));
            if read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((at, bytes)) = receiver.recv() {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

/// How discovery treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Answers each call.
    Answers,
    /// Refuses each call with 503, after this time in the queue.
    Refuses(Duration),
    /// Takes calls and says nothing.
    Silent,
}

struct Listing {
    version: i64,
    /// Name, status and version of the last change.
    rows: Vec<(Endpoint, &'static str, i64)>,
    mode: Mode,
}

/// Discovery, or an agent that lists are pushed to.
pub struct Discovery {
    pub address: SocketAddr,
    listing: Arc<(Mutex<Listing>, Condvar)>,
}

impl Discovery {
    pub fn start(record: Arc<Record>, endpoints: &[Endpoint]) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let rows = endpoints.iter().map(|endpoint| (endpoint.clone(), "up", 41)).collect();
        let listing =
            Arc::new((Mutex::new(Listing { version: 41, rows, mode: Mode::Answers }), Condvar::new()));
        let shared = listing.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (listing, record) = (shared.clone(), record.clone());
                thread::spawn(move || {
                    let _ = answer_calls(stream, &listing, &record);
                });
            }
        });
        Ok(Discovery { address, listing })
    }

    pub fn set_mode(&self, mode: Mode) {
        self.listing.0.lock().unwrap().mode = mode;
        self.listing.1.notify_all();
    }

    /// Changes an endpoint's status; one that is `removed` leaves the list.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let mut listing = self.listing.0.lock().unwrap();
        listing.version += 1;
        let version = listing.version;
        for row in listing.rows.iter_mut().filter(|row| row.0.name == name) {
            (row.1, row.2) = (status, version);
        }
        self.listing.1.notify_all();
    }

    /// Lists an endpoint again, as changed: with another place or after a start.
    pub fn relist(&self, endpoint: &Endpoint) {
        let mut listing = self.listing.0.lock().unwrap();
        listing.version += 1;
        let version = listing.version;
        listing.rows.retain(|row| row.0.name != endpoint.name);
        listing.rows.push((endpoint.clone(), "up", version));
        self.listing.1.notify_all();
    }

    /// The whole list as JSON.
    pub fn snapshot(&self) -> String {
        self.listing.0.lock().unwrap().json(None)
    }
}

impl Listing {
    /// The whole list, or what has changed since a version.
    fn json(&self, since: Option<i64>) -> String {
        let listed = self.rows.iter().filter(|(_, status, changed)| match since {
            None => *status != "removed",
            Some(since) => *changed > since,
        });
        let rows: Vec<String> = listed
            .map(|(endpoint, status, _)| {
                let Endpoint { name, address, zone, group } = endpoint;
                format!(
                    "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"m2\",\
                     \"group\":{group},\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
                )
            })
            .collect();
        let (version, snapshot) = (self.version, since.is_none());
        format!("{{\"index\":{version},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", rows.join(","))
    }
}

fn answer_calls(
    mut stream: TcpStream,
    (listing, changed): &(Mutex<Listing>, Condvar),
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        let parameter = |name: &str| {
            let query = request.path().split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<i64>().ok())
        };
        let since = parameter("from");
        let hold = Duration::from_millis(parameter("hold_ms").unwrap_or(0).clamp(0, 60_000) as u64);
        let until = Instant::now() + hold;
        let mut state = listing.lock().unwrap();
        let answer = loop {
            match state.mode {
                Mode::Silent => state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0,
                Mode::Refuses(queue) => {
                    drop(state);
                    thread::sleep(queue);
                    break None;
                }
                Mode::Answers => {
                    let left = until.saturating_duration_since(Instant::now());
                    if since.is_none_or(|since| state.version > since) || left.is_zero() {
                        break Some(state.json(since));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
        };
        match answer {
            Some(list) => {
                let rows = list.matches("\"name\"").count();
                record.line(format!("discovery answers from={since:?} with {rows} rows"));
                stream.write_all(&response("200 OK", "Content-Type: application/json\r\n", &list))?;
            }
            None => {
                record.line(format!("discovery refuses from={since:?}"));
                stream.write_all(&response("503 Service Unavailable", "", ""))?;
            }
        }
    }
    Ok(())
}

/// A request class of the settings.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub scope: &'static str,
    pub window_ms: u64,
    pub deadline_ms: u64,
}

/// The settings of a small deployment.
#[derive(Debug, Clone)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub zones: Vec<&'static str>,
    pub discovery: &'static str,
    pub instances: usize,
    pub sockets: usize,
    /// Index of the sidecars' own zone.
    pub zone: usize,
}

impl Settings {
    pub fn json(&self, rank: usize) -> String {
        let ms = |ms: u64| ms * 1_000_000;
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{{\"name\":\"{}\",\"effect\":\"{}\",\"dedup-scope\":\"{}\",\"key-ttl-ns\":{},\"slo-ns\":{},\
                     \"deadline-ns\":{},\"late-value\":0.5,\"worth\":3.0,\"streaming\":false}}",
                    class.name,
                    class.effect,
                    class.scope,
                    ms(class.window_ms),
                    ms(class.deadline_ms / 3),
                    ms(class.deadline_ms)
                )
            })
            .collect();
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        format!(
            "{{\"accounts\":[],\"callers\":{{\"marks-retry\":true}},\"contract\":{{\"ask-within-ns\":10000000000,\
             \"cold-from\":0.31,\"drain-grace-ns\":250000000,\"fall-multiple\":3.0,\"grace-to-answer-ns\":20000000,\
             \"ramp-time-ns\":9000000000,\"tip-after-ns\":1500000000}},\"dcs\":[{zones}],\"discovery\":\"{discovery}\",\
             \"domain\":{{\"passes-deadline\":true}},\"goal\":{{\"whole\":0.8,\"worst-class\":0.1,\
             \"worst-tenant\":0.0,\"worst-window\":0.1}},\"instances\":{instances},\"kinds\":[\"m2\"],\
             \"over-share-worth\":0.1,\"policy-limits\":{{\"cancel\":true,\"conn-idle-ns\":5000000000,\
             \"cpu-us-per-request\":0.0,\"cpu-us-per-s\":400000,\"dial-timeout-ns\":200000000,\"max-attempts\":3,\
             \"max-open\":20000,\"max-retry-after-ns\":3000000000,\"max-streams\":1,\"peers\":false,\"probes\":true,\
             \"retry-after\":false,\"second-copies\":false}},\"prices\":{{\"connection\":0.0,\"cross-zone\":0.05,\
             \"discovery\":0.0,\"handshake\":0.0,\"late-fail\":0.03,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\
             \"probe\":0.01,\"waste\":0.14}},\"rank\":{rank},\"report\":{{\"fields\":[\"inflight\",\"queue\"],\
             \"source\":\"pull\"}},\"request-classes\":[{classes}],\"step-ns\":5000000,\"tier\":0,\
             \"tiers\":[\"front-api\"],\"weight-kind\":\"rough\",\"workload\":\"chain\",\"worth-by\":\"request\",\
             \"zone\":{zone}}}",
            zones = zones.join(","),
            discovery = self.discovery,
            zone = self.zone,
            instances = self.instances,
            classes = classes.join(","),
        )
    }
}

/// A sidecar process, started with the command of the deploy file. Killed when dropped.
pub struct Sidecar {
    pub listen: SocketAddr,
    rank: usize,
    config: PathBuf,
    log: PathBuf,
    root: PathBuf,
    tmp: PathBuf,
    child: Child,
}

impl Sidecar {
    pub fn start(
        root: &Path,
        tmp: &Path,
        rank: usize,
        discovery: SocketAddr,
        known: &str,
        settings: &Settings,
    ) -> io::Result<Sidecar> {
        let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let own = tmp.join(format!("n{rank}"));
        fs::create_dir_all(&own)?;
        let config = tmp.join(format!("n{rank}.json"));
        write_config(&config, rank, listen, discovery, known, settings)?;
        let log = tmp.join(format!("n{rank}.log"));
        let child = spawn(root, &own, &config, &log)?;
        Ok(Sidecar { listen, rank, config, log, root: root.to_owned(), tmp: own, child })
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, discovery: SocketAddr, known: &str, settings: &Settings) -> io::Result<()> {
        write_config(&self.config, self.rank, self.listen, discovery, known, settings)?;
        self.signal("HUP")
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").arg("-c").arg(command).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }

    /// Kills the process outright (SIGKILL).
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        ended(&self.child);
        Ok(())
    }

    /// Starts it again, under its name and address, with this list as the one that it last had.
    pub fn restart(&mut self, discovery: SocketAddr, known: &str, settings: &Settings) -> io::Result<()> {
        write_config(&self.config, self.rank, self.listen, discovery, known, settings)?;
        self.child = spawn(&self.root, &self.tmp, &self.config, &self.log)?;
        Ok(())
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until `GET /up` answers 200.
    pub fn wait_until_up(&mut self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if !self.is_running() {
                return Err(io::Error::other("the sidecar has ended"));
            }
            if get(self.listen, "/up").is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the sidecar is not ready"))
    }

    pub fn counters(&self) -> String {
        get(self.listen, "/counters")
            .map(|m| String::from_utf8_lossy(&m.body).into_owned())
            .unwrap_or_default()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        ended(&self.child);
    }
}

fn spawn(root: &Path, tmp: &Path, config: &Path, log: &Path) -> io::Result<Child> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let run = run.ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))?;
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("/bin/sh");
    for variable in
        ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_OPS", "LB_OPERATOR", "LB_SOCKET_FD", "LB_LOG"]
    {
        command.env_remove(variable);
    }
    command.arg("-c").arg(run).current_dir(root).env("LB_CONFIG", config).env("TMPDIR", tmp);
    let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
    STARTED.lock().unwrap().push(child.id());
    // For `run.sh`, which ends these if it is interrupted itself.
    let mut pids = File::options().create(true).append(true).open(std::env::temp_dir().join("pids"))?;
    writeln!(pids, "{}", child.id())?;
    Ok(child)
}

/// The processes that run; one that was waited for is taken out.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A case ends within this time in any event.
const LIMIT: Duration = Duration::from_secs(116);

fn ended(child: &Child) {
    STARTED.lock().unwrap().retain(|&pid| pid != child.id());
}

fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        for pid in &*STARTED.lock().unwrap() {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
        }
        std::process::exit(2);
    });
}

fn write_config(
    file: &Path,
    rank: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    settings: &Settings,
) -> io::Result<()> {
    let text = format!(
        "{{\"name\":\"n{rank}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\
         \"seed\":\"8c1f30d27a5be96{rank}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{}}},\
         \"known\":{known},\"settings\":{}}}",
        settings.sockets,
        settings.json(rank)
    );
    let new = file.with_extension("new");
    fs::write(&new, text)?;
    fs::rename(&new, file)
}

fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n").as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub class: Class,
    pub key: Option<String>,
}

/// What a client saw.
#[derive(Debug, Clone)]
pub struct Seen {
    pub job: Job,
    pub sidecar: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// The status, or 0 if no answer came in time or the connection ended.
    pub status: u16,
    pub body: String,
}

/// When each request was sent, by its id.
pub type SendTimes = Arc<Mutex<HashMap<String, Instant>>>;

/// Clients of all sidecars: an open load, each request on a connection that is free, or on a new one.
pub struct Load {
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub sent: SendTimes,
    stop: Arc<AtomicBool>,
    unfinished: Arc<AtomicUsize>,
}

type Queue = Arc<(Mutex<VecDeque<Job>>, Condvar)>;

impl Load {
    /// Sends `rate` requests a second to each sidecar; `pick` draws the class.
    pub fn start(
        record: &Arc<Record>,
        sidecars: &[SocketAddr],
        rate: f64,
        seed: u64,
        pick: impl Fn(&mut Rng) -> Class + Send + Sync + 'static,
    ) -> Load {
        let load = Load {
            seen: Arc::default(),
            sent: Arc::default(),
            stop: Arc::default(),
            unfinished: Arc::default(),
        };
        let (pick, ids) = (Arc::new(pick), Arc::new(AtomicU64::new(1)));
        for (number, &address) in sidecars.iter().enumerate() {
            let queue: Queue = Arc::default();
            for _ in 0..40 {
                let (queue, seen, sent) = (queue.clone(), load.seen.clone(), load.sent.clone());
                let (record, unfinished) = (record.clone(), load.unfinished.clone());
                thread::spawn(move || client(number, address, &queue, &seen, &sent, &record, &unfinished));
            }
            let (stop, pick, ids, unfinished) =
                (load.stop.clone(), pick.clone(), ids.clone(), load.unfinished.clone());
            thread::spawn(move || {
                let mut rng = Rng::new(seed + number as u64);
                let mut next = Instant::now();
                while !stop.load(Ordering::SeqCst) {
                    next += Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / rate).min(1.0));
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    let class = pick(&mut rng);
                    let id = format!("{:016x}", ids.fetch_add(1, Ordering::SeqCst));
                    let key =
                        (class.effect == "idempotency_key").then(|| format!("k{:016x}{id}", rng.draw()));
                    unfinished.fetch_add(1, Ordering::SeqCst);
                    queue.0.lock().unwrap().push_back(Job { id, class, key });
                    queue.1.notify_one();
                }
            });
        }
        load
    }

    /// Ends the load and waits for the answers that are out.
    pub fn finish(&self) -> Vec<Seen> {
        self.stop.store(true, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_secs(12);
        while self.unfinished.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.seen.lock().unwrap().clone()
    }
}

fn client(
    sidecar: usize,
    address: SocketAddr,
    queue: &Queue,
    seen: &Mutex<Vec<Seen>>,
    sent: &Mutex<HashMap<String, Instant>>,
    record: &Record,
    unfinished: &AtomicUsize,
) {
    let mut kept: Option<BufReader<TcpStream>> = None;
    loop {
        let job = {
            let mut jobs = queue.0.lock().unwrap();
            loop {
                match jobs.pop_front() {
                    Some(job) => break job,
                    None => jobs = queue.1.wait(jobs).unwrap(),
                }
            }
        };
        let at = Instant::now();
        sent.lock().unwrap().insert(job.id.clone(), at);
        let reused = kept.is_some();
        let mut answer = exchange(&mut kept, address, &job);
        // A close that crosses a request on a kept connection: the client sends it once more on a new connection.
        if reused && answer.as_ref().is_ok_and(Option::is_none) {
            answer = exchange(&mut kept, address, &job);
        }
        let (status, body) = match answer {
            Ok(Some(answer)) => {
                if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    kept = None;
                }
                (answer.status(), String::from_utf8_lossy(&answer.body).into_owned())
            }
            _ => {
                kept = None;
                (0, String::new())
            }
        };
        let ended = Instant::now();
        record.line(format!(
            "client of n{sidecar} {} {} sent {:.4} status {status} body {body:?}",
            job.id,
            job.class.name,
            record.seconds(at)
        ));
        seen.lock().unwrap().push(Seen { job, sidecar, sent: at, ended, status, body });
        unfinished.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Sends a request and reads its answer; `None` if the connection ended without one.
fn exchange(
    kept: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    job: &Job,
) -> io::Result<Option<Message>> {
    let mut reader = match kept.take() {
        Some(reader) => reader,
        None => {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            BufReader::new(stream)
        }
    };
    let Class { name, effect, deadline_ms, .. } = &job.class;
    let (method, body) = if *effect == "read_like" { ("GET", "") } else { ("POST", "order") };
    let mut head = format!(
        "{method} /{name}/x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {}\r\nX-Budget: {deadline_ms}m\r\n",
        job.id
    );
    if let Some(key) = &job.key {
        head += &format!("Idempotency-Key: {key}\r\n");
    }
    if method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    reader.get_ref().set_read_timeout(Some(Duration::from_millis(deadline_ms + 500)))?;
    if reader.get_mut().write_all(format!("{head}\r\n{body}").as_bytes()).is_err() {
        return Ok(None);
    }
    match read_message(&mut reader) {
        Ok(Some(answer)) => {
            *kept = Some(reader);
            Ok(Some(answer))
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(None),
        other => other,
    }
}

/// What a case is run with: the root of the repository, the folder of the case, a temporary folder, and whether the
/// disruption is played.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub tmp: PathBuf,
    pub trouble: bool,
    pub record: Arc<Record>,
}

/// Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn play(case: impl FnOnce(&Run) -> io::Result<bool>) -> std::process::ExitCode {
    start_watchdog();
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_default());
    let result = (|| {
        let folder = fs::canonicalize(folder)?;
        let root = fs::canonicalize(folder.join("../.."))?;
        let tmp = std::env::temp_dir();
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&folder)?;
        record.line(format!("trouble: {trouble}"));
        let run = Run { root, folder, tmp, trouble, record: record.clone() };
        let held = case(&run);
        record.line("end");
        held
    })();
    match result {
        Ok(true) => std::process::ExitCode::SUCCESS,
        Ok(false) => std::process::ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::ExitCode::from(2)
        }
    }
}
