//! What all cases share: the record, addresses, the time limit, and the processes of sidecars.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// A case ends within this, whatever happens.
const TIME_LIMIT: Duration = Duration::from_secs(115);

static STARTED: OnceLock<Instant> = OnceLock::new();
/// Ids of the processes that this run has started and that have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();
/// A shell in a group of its own that ends the processes if this one is gone.
static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

const GUARD_SCRIPT: &str = r#"ids=
while read -r what id; do
  case $what in
    +) ids="$ids $id" ;;
    -) left=; for i in $ids; do [ "$i" = "$id" ] || left="$left $i"; done; ids=$left ;;
  esac
done
for i in $ids; do kill -KILL "$i" 2>/dev/null; done"#;

fn start_guard() -> Result<(), Failure> {
    let mut guard = Command::new("/bin/sh")
        .arg("-c")
        .arg(GUARD_SCRIPT)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .process_group(0)
        .spawn()
        .map_err(|e| e.to_string())?;
    *GUARD.lock().unwrap_or_else(|e| e.into_inner()) = guard.stdin.take();
    Ok(())
}

fn tell_guard(what: char, id: u32) {
    if let Some(guard) = &mut *GUARD.lock().unwrap_or_else(|e| e.into_inner()) {
        let _ = guard.write_all(format!("{what} {id}\n").as_bytes());
    }
}

fn add_running(id: u32) {
    tell_guard('+', id);
    RUNNING.lock().unwrap_or_else(|e| e.into_inner()).push(id);
}

fn remove_running(id: u32) {
    tell_guard('-', id);
    RUNNING.lock().unwrap_or_else(|e| e.into_inner()).retain(|running| *running != id);
}

/// Why a case could not run.
pub type Failure = String;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Seconds since the start of the run.
pub fn seconds() -> f64 {
    STARTED.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The file `record.txt` of a case.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", seconds(), text.as_ref());
        let mut file = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}

/// The surroundings of a run.
#[derive(Clone)]
pub struct Run {
    pub record: Record,
    /// The repository's root.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    /// The `run` command of the deploy file.
    pub command: String,
    block: [u8; 2],
}

impl Run {
    pub fn new(case: &Path) -> Result<Run, Failure> {
        seconds();
        let case = fs::canonicalize(case).map_err(|e| format!("{}: {e}", case.display()))?;
        let root = case.ancestors().nth(2).ok_or("no root")?.to_owned();
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let command = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .ok_or("deploy/balancer.toml has no run")?
            .to_owned();
        if !root.join("target/release/cometcroft").exists() {
            return Err("target/release/cometcroft is missing: build first".into());
        }
        start_guard()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let _ = FOLDER.set(folder.clone());
        let file = File::create(case.join("record.txt")).map_err(|e| e.to_string())?;
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let id = std::process::id();
        let run = Run {
            record: Record(Arc::new(Mutex::new(file))),
            root,
            folder,
            trouble,
            command,
            block: [20 + (id % 70) as u8, (id / 70 % 250) as u8],
        };
        run.record.note(format!("trouble: {trouble}; run: {}", run.command));
        let limit = run.record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(TIME_LIMIT);
            limit.note("time limit reached: the case could not run");
            end_all();
            std::process::exit(2);
        });
        Ok(run)
    }

    /// A loopback address of this run.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], host)
    }

    /// An address whose port is free for datagrams and connections.
    pub fn address(&self, host: u8, taken: &mut Vec<SocketAddr>) -> Result<SocketAddr, Failure> {
        for _ in 0..50 {
            let listener = TcpListener::bind((self.ip(host), 0)).map_err(|e| e.to_string())?;
            let at = listener.local_addr().map_err(|e| e.to_string())?;
            if !taken.contains(&at) && UdpSocket::bind(at).is_ok() {
                taken.push(at);
                return Ok(at);
            }
        }
        Err("no free port".into())
    }
}

fn signal_process(id: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{name} {id}"))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status();
}

/// Ends all processes that are still running, and removes the temporary folder.
pub fn end_all() {
    let ids: Vec<u32> = RUNNING.lock().unwrap_or_else(|e| e.into_inner()).drain(..).collect();
    for id in ids {
        signal_process(id, "KILL");
    }
    if let Some(folder) = FOLDER.get() {
        let keep = std::env::var("KEEP_LOGS").is_ok();
        if !keep {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

/// One sidecar: its addresses and files, and its process while it runs.
pub struct Sidecar {
    pub name: String,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    /// Where the other members reach it.
    pub member: SocketAddr,
    config: PathBuf,
    operator: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
    run: Run,
}

impl Sidecar {
    pub fn new(run: &Run, name: &str, host: u8) -> Result<Sidecar, Failure> {
        let mut taken = Vec::new();
        let mut address = || run.address(host, &mut taken);
        let (listen, ops, member) = (address()?, address()?, address()?);
        let file = |end: &str| run.folder.join(format!("{name}.{end}"));
        Ok(Sidecar {
            name: name.to_owned(),
            listen,
            ops,
            member,
            config: file("json"),
            operator: file("toml"),
            log: file("log"),
            child: None,
            starts: 0,
            run: run.clone(),
        })
    }

    /// Writes the configuration.
    pub fn configure(&self, discovery: SocketAddr, known: &str, settings: &str) -> Result<(), Failure> {
        let text = format!(
            r#"{{"name":"{}","listen":"{}","ops":"{}","discovery":"{discovery}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#,
            self.name,
            self.listen,
            self.ops,
            0x5eed_0000 + self.listen.port() as u64,
        );
        fs::write(&self.config, text).map_err(|e| e.to_string())
    }

    /// Writes the operator file: the `[fleet]` section, and what follows it.
    pub fn operate(&self, seeds: &[SocketAddr], rest: &str) -> Result<(), Failure> {
        let text = format!(
            "[fleet]\nname = \"planner\"\nbind = \"{0}\"\nadvertise = \"{0}\"\nseeds = [{1}]\n{rest}",
            self.member,
            quoted(seeds),
        );
        fs::write(&self.operator, text).map_err(|e| e.to_string())
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> Result<(), Failure> {
        self.starts += 1;
        let log = File::options().create(true).append(true).open(&self.log).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(&self.run.command)
            .current_dir(&self.run.root)
            .env_clear()
            .env("LB_CONFIG", &self.config)
            .env("LB_LOG", std::env::var("LB_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0);
        if self.operator.exists() {
            command.env("LB_OPERATOR", &self.operator);
        }
        let child = command.spawn().map_err(|e| e.to_string())?;
        add_running(child.id());
        self.run.record.note(format!("{} started, start {}, process {}", self.name, self.starts, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.run.record.note(format!("{} gets SIG{name}", self.name));
            signal_process(child.id(), name);
        }
    }

    /// Waits until the process has ended by itself, and kills it after `limit`.
    pub fn wait_end(&mut self, limit: Duration) {
        let Some(mut child) = self.child.take() else { return };
        let until = Instant::now() + limit;
        let mut killed = false;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                break;
            }
            sleep_ms(5);
        }
        if !matches!(child.try_wait(), Ok(Some(_))) {
            killed = true;
            let _ = child.kill();
        }
        let status = child.wait();
        remove_running(child.id());
        self.run.record.note(format!("{} has ended: {status:?}, killed after its time: {killed}", self.name));
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            remove_running(child.id());
        }
    }
}

/// Addresses as a list of TOML or JSON texts.
pub fn quoted(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(|at| format!("\"{at}\"")).collect::<Vec<_>>().join(", ")
}

/// The settings of a small deployment after the example of the wire page, with its figures; `discovery` is
/// `subscribe` or `automatic`.
pub fn settings(rank: usize, instances: usize, discovery: &str, tenants: &[&str]) -> String {
    let accounts: Vec<String> = tenants
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","quota-rps":1000.0,"share":{}}}"#, 1.0 / tenants.len() as f64)
        })
        .collect();
    format!(
        r#"{{"accounts":[{}],"callers":{{"marks-retry":true}},
"contract":{{"ask-within-ns":10000000000,"cold-from":0.31,"drain-grace-ns":250000000,"fall-multiple":3.0,"grace-to-answer-ns":20000000,"ramp-time-ns":9000000000,"tip-after-ns":1500000000}},
"dcs":["plateau"],"discovery":"{discovery}","domain":{{"passes-deadline":true}},
"goal":{{"whole":0.8,"worst-class":0.1,"worst-tenant":0.0,"worst-window":0.1}},
"instances":{instances},"kinds":["front-std"],"over-share-worth":0.1,
"policy-limits":{{"cancel":true,"conn-idle-ns":5000000000,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"dial-timeout-ns":200000000,"max-attempts":3,"max-open":20000,"max-retry-after-ns":3000000000,"max-streams":1,"peers":false,"probes":false,"retry-after":false,"second-copies":false}},
"prices":{{"connection":0.0,"cross-zone":0.05,"discovery":0.0,"handshake":0.0,"late-fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.14}},
"rank":{rank},"report":{{"fields":["inflight","queue"],"source":"pull"}},
"request-classes":[
{{"deadline-ns":3000000000,"dedup-scope":"all","effect":"read_like","key-ttl-ns":5000000000,"late-value":0.5,"name":"plan-trip","slo-ns":800000000,"streaming":false,"worth":3.0}},
{{"deadline-ns":3000000000,"dedup-scope":"all","effect":"non_idempotent","key-ttl-ns":5000000000,"late-value":0.25,"name":"book-seat","slo-ns":1200000000,"streaming":false,"worth":3.0}}],
"step-ns":5000000,"tier":0,"tiers":["front-api"],"weight-kind":"rough","workload":"chain","worth-by":"request","zone":0}}"#,
        accounts.join(",")
    )
}
