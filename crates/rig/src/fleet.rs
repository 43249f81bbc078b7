//! A fleet of real processes under a script: acts at their times, looks through the operators' doors, changes from the
//! logs, one judge.

use crate::addresses::free_addresses;
use crate::load::{Ended, Outcomes, request};
use crate::process::{Guard, Process};
use crate::relay::Relay;
use crate::standin::{Backends, hear};
use cometcroft_script::{
    Act, Action, Checker, CommandKind, Invariant, LinkFaults, MemberView, OperatorCommand, Plan, PlanStatus,
    SettingsOverride, Violation, check_plans_agree,
};
use serde::Serialize;
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Doors are asked so often.
const LOOK: Duration = Duration::from_millis(250);
/// A door that has not answered by then is asked again later.
const PATIENCE: Duration = Duration::from_secs(2);
/// How much longer things may take than by the protocol, as the machine has other work.
const SLACK: f64 = 3.0;
/// Views have to be equal and true so long after the last act, at the latest.
const EVENTUALLY: Duration = Duration::from_secs(45);
/// A process that was asked to leave has to be gone by then.
const LEAVE: Duration = Duration::from_secs(15);
/// Members that the rig plays at most.
const MOST: usize = 60;

/// How a fleet is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program `cometcroft`.
    pub program: PathBuf,
    /// Where logs are kept, if anywhere.
    pub logs: Option<PathBuf>,
    /// Backend servers.
    pub backends: usize,
    /// Go on after the last act until somebody says stop, instead of until all views are equal.
    pub until: Option<Arc<AtomicBool>>,
}

/// What is told while it runs: the time, and a line for each member.
pub type Watch<'a> = &'a mut dyn FnMut(Duration, &[String], Outcomes);

/// The tenant whose requests share the budget.
const TENANT: &str = "shared";
/// So much later than they were admitted requests may come to a backend server on a busy machine: what the bound on their
/// sum allows for.
const SEEN_LATE: Duration = Duration::from_secs(1);
/// A first byte that went out before a door told that its server is clear arrives by then.
const ON_ITS_WAY: Duration = Duration::from_millis(300);
/// A word's answer is waited for so long.
const ANSWERED: Duration = Duration::from_secs(12);
/// Requests that may be in work beyond the level: counted by another process than admits them.
const BEYOND: u64 = 2;

/// What a shared budget came to, by what the backend servers received.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RigShare {
    /// Requests they received.
    pub received: u64,
    /// Of what the whole allowed, once the fleet had started.
    pub used: f64,
    /// The most in work at once, and the level.
    pub open: (u64, u64),
    /// About four times a second: seconds, the sum of the parts as the doors told them one after another, requests a second.
    pub line: Vec<(f64, f64, f64)>,
    /// The whole, a second.
    pub whole: f64,
}

/// What came of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RigReport {
    /// The script.
    pub script: String,
    /// The seed.
    pub seed: u64,
    /// Processes at the beginning.
    pub processes: usize,
    /// Seconds it took.
    pub seconds: f64,
    /// For each that died: until the first, and until all others knew.
    pub known_s: Vec<(f64, f64)>,
    /// From the last act until all views were equal and true.
    pub equal_s: Option<f64>,
    /// Requests by outcome.
    pub requests: Outcomes,
    /// Requests that the backend servers received.
    pub received: u64,
    /// Datagrams passed on, their bytes, and those lost on purpose.
    pub datagrams: (u64, u64, u64),
    /// The budget that they shared, if there was one.
    pub share: Option<RigShare>,
    /// What came of operators' words.
    pub words: Vec<String>,
    /// Rules that were broken.
    pub broken: Vec<Violation>,
    /// Processes that ended as they should not have.
    pub crashed: Vec<String>,
}

struct Seat {
    name: String,
    zone: String,
    place: usize,
    listen: SocketAddr,
    ops: SocketAddr,
    files: PathBuf,
    process: Option<Process>,
    /// Counts what was done to it, so that a request can tell whether it was left alone.
    touched: Arc<AtomicU32>,
    state: Arc<AtomicU8>,
    garbage: Arc<AtomicU32>,
    leaving: Option<Instant>,
    /// Busy loops on its processor; each ends when it is dropped.
    loops: Vec<Process>,
    other: SettingsOverride,
    lives: u32,
    last: Option<MemberView>,
    line: String,
    /// Its part of the shared rate, as its door told last.
    part: f64,
    /// The last that it wrote that was no event: why it ended, if it says so.
    words: Arc<Mutex<String>>,
}

/// The states of a life: over, running, stopped.
const OVER: u8 = 0;
const RUNS: u8 = 1;
const STOPPED: u8 = 2;

impl Seat {
    fn runs(&self) -> bool {
        self.state.load(Ordering::SeqCst) == RUNS
    }

    fn put(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
    }
}

/// A change that a member's log told: when, who saw it, whom it concerns, which start, the new state.
type Told = (Instant, usize, u32, String, u64, String);

/// What came of words: when, at whose door, which, the door's answer.
type Answers = Arc<Mutex<Vec<(Duration, usize, OperatorCommand, Option<Value>)>>>;

struct Rig<'a> {
    plan: &'a Plan,
    options: &'a Options,
    guard: Guard,
    relay: Arc<Relay>,
    backends: Backends,
    seats: Vec<Seat>,
    judge: Checker,
    began: Instant,
    wires: LinkFaults,
    told: (mpsc::Sender<Told>, mpsc::Receiver<Told>),
    deaths: Vec<(usize, Duration, Vec<Option<Duration>>)>,
    outcomes: Arc<Mutex<Outcomes>>,
    lost: Arc<Mutex<Vec<(usize, Duration)>>>,
    crashed: Vec<String>,
    panics: Arc<AtomicU64>,
    share: RigShare,
    answers: Answers,
    words: Vec<String>,
    late: u64,
    files: PathBuf,
}

static COUNT: AtomicU64 = AtomicU64::new(0);

/// Runs a plan on real processes.
pub fn run(plan: &Plan, options: &Options, watch: Watch<'_>) -> io::Result<RigReport> {
    if plan.members.len() > MOST {
        return Err(io::Error::other(format!("the rig plays {MOST} processes at most")));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(async {
        let mut rig = Rig::new(plan, options).await?;
        let report = rig.play(watch).await;
        let files = rig.files.clone();
        drop(rig);
        let _ = std::fs::remove_dir_all(files);
        report
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    report
}

/// A port of an address that the system picks; nobody else uses the address. Danger: what it picked before and was let
/// go of it may pick again, for the same process.
fn free(ip: Ipv4Addr, taken: &mut Vec<SocketAddr>) -> io::Result<SocketAddr> {
    for _ in 0..100 {
        let at = free_addresses(ip, 1)?[0];
        if !taken.contains(&at) {
            taken.push(at);
            return Ok(at);
        }
    }
    Err(io::Error::other(format!("{ip} has no free port")))
}

impl<'a> Rig<'a> {
    async fn new(plan: &'a Plan, options: &'a Options) -> io::Result<Rig<'a>> {
        // Blocks of addresses of this run alone: several runs go on side by side.
        let run = COUNT.fetch_add(1, Ordering::Relaxed) as u32;
        let block = (std::process::id().wrapping_mul(31).wrapping_add(run) % (100 * 200)) as u16;
        let (b, c) = (100 + (block / 200) as u8, (block % 200) as u8);
        let own = move |i: usize| Ipv4Addr::new(127, b, c, 1 + i as u8);
        let reached = move |i: usize| Ipv4Addr::new(127, b, c, 101 + i as u8);
        let rest = Ipv4Addr::new(127, b, c, 250);
        let places = plan.members.iter().map(|m| m.place + 1).max().unwrap_or(0);
        let relay = Relay::start(places, own, reached, plan.seed).await?;
        let work = plan.budget.as_ref().map_or(Duration::from_millis(5), |budget| budget.longest / 4);
        let backends = Backends::start(rest, options.backends, &plan.zones, work).await?;
        let files = std::env::temp_dir().join(format!("cometcroft-rig-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&files)?;
        if let Some(logs) = &options.logs {
            std::fs::create_dir_all(logs)?;
        }
        let mut seats = Vec::new();
        let mut taken: Vec<SocketAddr> = (0..places).map(|i| relay.place(i).own.into()).collect();
        for (i, member) in plan.members.iter().enumerate() {
            seats.push(Seat {
                name: member.name.clone(),
                zone: plan.zones[member.zone].clone(),
                place: member.place,
                listen: free(own(member.place), &mut taken)?,
                ops: free(own(member.place), &mut taken)?,
                files: files.join(format!("{i}")),
                process: None,
                touched: Arc::default(),
                state: Arc::default(),
                garbage: Arc::default(),
                leaving: None,
                loops: Vec::new(),
                other: SettingsOverride::default(),
                lives: 0,
                last: None,
                line: String::new(),
                part: 0.0,
                words: Arc::default(),
            });
        }
        Ok(Rig {
            plan,
            options,
            guard: Guard::start()?,
            relay,
            backends,
            seats,
            judge: Checker::new(plan, SLACK),
            began: Instant::now(),
            wires: LinkFaults::default(),
            told: mpsc::channel(),
            deaths: Vec::new(),
            outcomes: Arc::default(),
            lost: Arc::default(),
            crashed: Vec::new(),
            panics: Arc::default(),
            share: RigShare::default(),
            answers: Arc::default(),
            words: Vec::new(),
            late: 0,
            files,
        })
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    async fn play(&mut self, watch: Watch<'_>) -> io::Result<RigReport> {
        self.began = Instant::now();
        let acts: Vec<Act> = self.plan.acts.clone();
        let mut next = 0;
        let mut equal = None;
        let ended = loop {
            while next < acts.len() && acts[next].at <= self.now() {
                let Act { action: doing, line, .. } = acts[next].clone();
                self.act(&doing)?;
                self.judge.record_action(self.now(), &doing, line);
                next += 1;
            }
            self.look_at_processes();
            let all_equal = self.look().await;
            self.hear();
            self.hear_answers();
            self.share();
            let lines: Vec<String> = self.seats.iter().map(|seat| seat.line.clone()).collect();
            watch(self.now(), &lines, self.outcomes());
            let now = self.now();
            if next >= acts.len() {
                if !all_equal {
                    equal = None;
                } else if equal.is_none() {
                    equal = Some(now);
                }
                let stop = self.options.until.as_ref().map(|stop| stop.load(Ordering::Relaxed));
                match stop {
                    Some(true) => break now,
                    Some(false) => {}
                    // Equal for a while, and whoever was asked to leave is gone.
                    None => {
                        let settled = equal.is_some_and(|at| now > at + Duration::from_secs(1));
                        let leaving = self.seats.iter().any(|seat| seat.leaving.is_some());
                        // A budget is watched for some leases more.
                        let watched = self.plan.budget.as_ref().is_none_or(|budget| {
                            now > (self.plan.quiet_from + budget.lease * 4).max(budget.lease * 7)
                        });
                        if settled && watched && !leaving || now > self.plan.quiet_from + EVENTUALLY {
                            break now;
                        }
                    }
                }
            }
            let wait = acts.get(next).map_or(LOOK, |act| act.at.saturating_sub(self.now()).min(LOOK));
            tokio::time::sleep(wait).await;
        };
        if self.options.until.is_none() {
            self.judge_the_end(ended);
        }
        self.close().await;
        for seat in self.seats.iter().filter(|_| self.panics.load(Ordering::SeqCst) > 0) {
            let words = seat.words.lock().unwrap_or_else(PoisonError::into_inner);
            if words.contains("panicked at") {
                self.crashed.push(format!("{}: {words}", seat.name));
            }
        }
        self.hear();
        Ok(self.report(ended, equal))
    }

    /// Holds what the backend servers received against the whole.
    fn share(&mut self) {
        let arrivals =
            std::mem::take(&mut *self.backends.arrivals.lock().unwrap_or_else(PoisonError::into_inner));
        if self.plan.keepers > 0 {
            for (at, server) in &arrivals {
                let at = at.saturating_duration_since(self.began);
                self.judge.check_drained(at, ON_ITS_WAY, &format!("s-{server}"));
            }
        }
        let Some(budget) = &self.plan.budget else { return };
        let (now, started) = (self.now(), budget.lease * 3);
        for (at, _) in &arrivals {
            let at = at.saturating_duration_since(self.began);
            self.late += u64::from(at >= started);
            self.judge.record_admission(at, SEEN_LATE);
        }
        let share = &mut self.share;
        share.received += arrivals.len() as u64;
        share.open = (self.backends.open.most.load(Ordering::SeqCst), u64::from(budget.level));
        self.judge.check_concurrency(now, share.open.0, share.open.1 + BEYOND);
        let since = share.line.last().map_or(0.0, |last| last.0);
        let took = (now.as_secs_f64() - since).max(0.01);
        let parts = self.seats.iter().filter(|seat| seat.runs()).map(|seat| seat.part).sum();
        share.line.push((now.as_secs_f64(), parts, arrivals.len() as f64 / took));
        share.whole = budget.rate;
        share.used = self.late as f64 / (budget.rate * (now.saturating_sub(started)).as_secs_f64().max(0.1));
    }

    /// What must hold at the end, however long it took.
    fn judge_the_end(&mut self, at: Duration) {
        let looks: Vec<(usize, MemberView)> =
            self.seats.iter().enumerate().filter_map(|(i, s)| Some((i, s.last.clone()?))).collect();
        for (i, look) in looks.iter().filter(|(_, look)| !look.superseded) {
            self.judge.check_converged_view(at, *i, look);
        }
        let plans: Vec<(usize, PlanStatus)> =
            looks.iter().filter_map(|(i, look)| Some((*i, look.plan.clone()?))).collect();
        self.judge.check_plans(at, &plans);
    }

    fn act(&mut self, doing: &Action) -> io::Result<()> {
        let touch = |seat: &Seat| seat.touched.fetch_add(1, Ordering::SeqCst);
        match doing {
            Action::Start(i) => self.start(*i)?,
            Action::Stop(i) => {
                touch(&self.seats[*i]);
                self.seats[*i].put(STOPPED);
                self.seats[*i].last = None;
                if let Some(process) = &mut self.seats[*i].process {
                    process.stop();
                }
            }
            Action::Continue(i) => {
                touch(&self.seats[*i]);
                if let Some(process) = &mut self.seats[*i].process {
                    process.go_on();
                    self.seats[*i].put(RUNS);
                }
            }
            Action::Kill(i) => {
                touch(&self.seats[*i]);
                self.died(*i);
                let seat = &mut self.seats[*i];
                seat.put(OVER);
                seat.last = None;
                if let Some(mut process) = seat.process.take() {
                    process.kill();
                }
            }
            Action::Terminate(i) => {
                touch(&self.seats[*i]);
                self.died(*i);
                let seat = &mut self.seats[*i];
                seat.put(OVER);
                seat.last = None;
                if let Some(process) = &mut seat.process {
                    process.terminate();
                    seat.leaving = Some(Instant::now());
                }
            }
            Action::LinkFault(fault, from, to, wire) => {
                let Rig { wires, relay, seats, .. } = self;
                wires.put(*fault, (from, to), *wire, |a, b, all| {
                    relay.wire(seats[a].place, seats[b].place, all);
                });
            }
            Action::Garbage(i, rate) => self.garbage(*i, *rate)?,
            Action::Busy(i, loops) => {
                let seat = &mut self.seats[*i];
                seat.loops.clear();
                if let Some(process) = &mut seat.process {
                    process.share((*loops > 0).then_some(*i));
                }
                for _ in 0..*loops {
                    let mut command = Command::new("/bin/sh");
                    command.args(["-c", "while :; do :; done"]).stdout(Stdio::null()).stderr(Stdio::null());
                    let mut busy = Process::start(&mut command, &self.guard)?;
                    busy.share(Some(*i));
                    seat.loops.push(busy);
                }
            }
            Action::Descriptors(i, most) => {
                touch(&self.seats[*i]);
                if let Some(process) = &mut self.seats[*i].process {
                    process.descriptors(*most);
                }
            }
            Action::ChangeSettings(i, other) => self.seats[*i].other = *other,
            Action::Command(i, spoken) => self.say(*i, spoken.clone()),
        }
        Ok(())
    }

    /// Says a word at a door; what comes of it is heard later.
    fn say(&mut self, i: usize, spoken: OperatorCommand) {
        let (ops, answers, began) = (self.seats[i].ops, self.answers.clone(), self.began);
        tokio::spawn(async move {
            let call = format!("/ops/plan/{}", spoken.call());
            let text = if matches!(spoken.say, CommandKind::Propose | CommandKind::Release) {
                &spoken.text
            } else {
                ""
            };
            let asked = tokio::time::timeout(ANSWERED, put(ops, "PUT", &call, text)).await;
            let answer = asked.ok().flatten();
            let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
            answers.push((began.elapsed(), i, spoken, answer));
        });
    }

    /// What came of words.
    fn hear_answers(&mut self) {
        let answers = std::mem::take(&mut *self.answers.lock().unwrap_or_else(PoisonError::into_inner));
        for (at, i, spoken, answer) in answers {
            let index = answer
                .as_ref()
                .filter(|a| a.get("taken").or(a.get("founded")).is_some())
                .and_then(|a| a.get("index")?.as_u64());
            let founding = self.seats[i].last.as_ref().and_then(|look| Some(look.plan.as_ref()?.place.0));
            if let (Some(index), Some(founding)) = (index, founding) {
                self.judge.record_acknowledgement(founding, index, spoken.say);
            }
            let code =
                answer.as_ref().and_then(|a| a.get("code")).and_then(Value::as_str).unwrap_or("no answer");
            let told = index.map_or(code.to_owned(), |index| format!("taken as {index}"));
            self.words.push(format!(
                "{:.2} s {} at {}: {told}",
                at.as_secs_f64(),
                spoken.call(),
                self.seats[i].name
            ));
        }
    }

    /// Sends datagrams that make no sense, from an address that is nobody's, in a thread of its own.
    fn garbage(&self, i: usize, rate: u32) -> io::Result<()> {
        let seat = &self.seats[i];
        seat.garbage.store(rate, Ordering::SeqCst);
        if rate == 0 {
            return Ok(());
        }
        let place = self.relay.place(seat.place);
        let mut from = place.own.ip().octets();
        from[3] = 240;
        let socket = UdpSocket::bind((Ipv4Addr::from(from), 0))?;
        let (wanted, seed) = (seat.garbage.clone(), self.plan.seed);
        std::thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            let began = Instant::now();
            let mut sent = 0u64;
            // Bounded by the script, and by a minute.
            while wanted.load(Ordering::SeqCst) > 0 && began.elapsed() < Duration::from_secs(60) {
                let due = (began.elapsed().as_secs_f64() * f64::from(rate)) as u64;
                while sent < due {
                    let bytes: Vec<u8> = (0..rng.usize(..1300)).map(|_| rng.u8(..)).collect();
                    let _ = socket.send_to(&bytes, place.own);
                    sent += 1;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        Ok(())
    }

    /// The operator's file's part on the budget.
    fn budget(&self, rate: Option<f64>) -> String {
        let Some(budget) = &self.plan.budget else { return String::new() };
        let reached = |i: usize| format!("\"{}\"", self.relay.place(self.seats[i].place).reached);
        let list = |count: usize| (0..count).map(reached).collect::<Vec<_>>().join(", ");
        let roster = if budget.floor > 0.0 { self.plan.first } else { 0 };
        let (lease, longest) = (budget.lease.as_millis(), budget.longest.as_millis());
        format!(
            "[budget]\nkeepers = [{}]\nroster = [{}]\nlease = \"{lease}ms\"\n\
             [[budget.whole]]\nuse = \"tenant\"\ntenant = \"{TENANT}\"\nrate = {}\nburst = {}\nfloor = {}\n\
             [[budget.whole]]\nuse = \"open\"\nlevel = {}\nlongest = \"{longest}ms\"\nfloor = {}\n",
            list(budget.keepers),
            list(roster),
            rate.unwrap_or(budget.rate),
            budget.burst,
            budget.floor,
            budget.level,
            // A request needs both.
            u8::from(budget.floor > 0.0),
        )
    }

    fn start(&mut self, i: usize) -> io::Result<()> {
        if self.seats[i].process.is_some() {
            return Ok(());
        }
        let seeds: Vec<String> = (0..self.plan.seeds)
            .map(|s| format!("\"{}\"", self.relay.place(self.seats[s].place).reached))
            .collect();
        let place = self.relay.place(self.seats[i].place);
        let budget = self.budget(self.seats[i].other.rate);
        let reached = |i: usize| format!("\"{}\"", self.relay.place(self.seats[i].place).reached);
        let keepers =
            (0..self.plan.keepers.min(self.seats.len())).map(reached).collect::<Vec<_>>().join(", ");
        let agreed = if keepers.is_empty() { keepers } else { format!("[plan]\nkeepers = [{keepers}]\n") };
        let seat = &mut self.seats[i];
        seat.lives += 1;
        std::fs::create_dir_all(&seat.files)?;
        let (config, operator) = (seat.files.join("config.json"), seat.files.join("operator.toml"));
        let zone = self.plan.zones.iter().position(|z| *z == seat.zone).unwrap_or(0);
        let settings = sidecar_settings(&self.plan.zones, zone, i, self.plan.first);
        let text = json!({
            "name": seat.name, "listen": seat.listen.to_string(), "ops": seat.ops.to_string(),
            "discovery": self.backends.discovery.to_string(), "seed": format!("{:016x}", self.plan.seed + i as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "known": null, "settings": settings,
        });
        std::fs::write(&config, text.to_string())?;
        let member = format!(
            "[fleet]\nname = \"rig\"\nbind = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nlongest_pause = \"{}ms\"\n",
            place.own,
            place.reached,
            seeds.join(", "),
            seat.other.longest_pause.unwrap_or(self.plan.longest_pause).as_millis(),
        );
        std::fs::write(&operator, member + &budget + &agreed)?;
        let mut command = Command::new(&self.options.program);
        command
            .arg("--operator")
            .arg(&operator)
            .env_clear()
            .env("LB_CONFIG", &config)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut process = Process::start(&mut command, &self.guard)?;
        if let Some(log) = process.log() {
            let (told, life, name) = (self.told.0.clone(), seat.lives, seat.name.clone());
            let (words, panics) = (seat.words.clone(), self.panics.clone());
            let kept = self.options.logs.as_ref().map(|logs| logs.join(format!("{i}-{name}-{life}.log")));
            // Ends with the process' log.
            std::thread::spawn(move || {
                let mut kept = kept.and_then(|path| std::fs::File::create(path).ok());
                for line in BufReader::new(log).lines().map_while(Result::ok) {
                    if let Some(kept) = &mut kept {
                        let _ = writeln!(kept, "{line}");
                    }
                    let said = line.starts_with("cometcroft: ") && !line.starts_with("cometcroft: counters");
                    // Danger: a task that panics ends alone, and its process serves on without it.
                    let panicked = line.contains("panicked at");
                    if said || panicked {
                        words.lock().unwrap_or_else(PoisonError::into_inner).clone_from(&line);
                    }
                    panics.fetch_add(u64::from(panicked), Ordering::SeqCst);
                    if let Some(change) = change(&line) {
                        let (member, generation, to) = change;
                        let _ = told.send((Instant::now(), i, life, member, generation, to));
                    }
                }
            });
        }
        seat.process = Some(process);
        seat.touched.fetch_add(1, Ordering::SeqCst);
        // A life has a state of its own: what still watches the one before sees it over.
        seat.state = Arc::new(AtomicU8::new(RUNS));
        self.load(i);
        Ok(())
    }

    /// An open loop of requests on a member for as long as this life of it runs.
    fn load(&self, i: usize) {
        if self.plan.load <= 0.0 {
            return;
        }
        let (budget, first) = (self.plan.budget.clone(), self.plan.first);
        let seat = &self.seats[i];
        let (state, touched, to) = (seat.state.clone(), seat.touched.clone(), seat.listen);
        let (outcomes, lost, began) = (self.outcomes.clone(), self.lost.clone(), self.began);
        let load = self.plan.load;
        tokio::spawn(async move {
            // It answers `/up` first; until then nobody would be sent to it.
            tokio::time::sleep(Duration::from_millis(700)).await;
            let mut next = Instant::now();
            loop {
                let need = budget.as_ref().map_or(load, |budget| budget.need(i, first, began.elapsed()));
                next += Duration::from_secs_f64(1.0 / need.max(0.1));
                tokio::time::sleep_until(next.into()).await;
                let before = touched.load(Ordering::SeqCst);
                match state.load(Ordering::SeqCst) {
                    OVER => return,
                    STOPPED => continue,
                    _ => {}
                }
                let (outcomes, lost, touched) = (outcomes.clone(), lost.clone(), touched.clone());
                let tenant = budget.as_ref().map(|_| TENANT);
                tokio::spawn(async move {
                    let ended = request(to, tenant).await;
                    let alone = touched.load(Ordering::SeqCst) == before;
                    let mut all = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                    match ended {
                        Ended::Served => all.served += 1,
                        Ended::Denied => all.denied += 1,
                        Ended::Failed => all.failed += 1,
                        Ended::Lost if alone => {
                            all.lost += 1;
                            let mut lost = lost.lock().unwrap_or_else(PoisonError::into_inner);
                            lost.push((i, began.elapsed()));
                        }
                        Ended::Unmet | Ended::Lost => all.unmet += 1,
                    }
                });
            }
        });
    }

    fn died(&mut self, i: usize) {
        if self.seats[i].process.is_some() {
            let others = self.seats.iter().map(|_| None).collect();
            self.deaths.push((i, self.now(), others));
        }
    }

    /// Processes that ended: as they were asked to, or not.
    fn look_at_processes(&mut self) {
        for seat in &mut self.seats {
            let Some(process) = &mut seat.process else { continue };
            match (process.ended(), seat.leaving) {
                (None, Some(since)) if since.elapsed() > LEAVE => {
                    self.crashed.push(format!("{} did not end within {LEAVE:?} of SIGTERM", seat.name));
                    process.kill();
                    (seat.process, seat.leaving) = (None, None);
                }
                (None, _) => {}
                (Some(status), leaving) => {
                    if leaving.is_none() || !status.success() {
                        let words = seat.words.lock().unwrap_or_else(PoisonError::into_inner);
                        self.crashed.push(format!("{} ended: {status} {words}", seat.name));
                    }
                    seat.put(OVER);
                    (seat.process, seat.leaving, seat.last) = (None, None, None);
                }
            }
        }
    }

    /// Asks all doors; whether all views are equal and true.
    async fn look(&mut self) -> bool {
        let asked: Vec<(usize, u32, SocketAddr)> = self
            .seats
            .iter()
            .enumerate()
            .filter(|(_, seat)| seat.process.is_some() && seat.runs())
            .map(|(i, seat)| (i, seat.lives, seat.ops))
            .collect();
        let plans = self.plan.keepers > 0;
        let both = |ops| async move {
            let fleet = put(ops, "GET", "/ops/fleet", "").await;
            (fleet, if plans { put(ops, "GET", "/ops/plan", "").await } else { None })
        };
        let calls: Vec<_> = asked.iter().map(|(_, _, ops)| tokio::spawn(both(*ops))).collect();
        let mut equal = !asked.is_empty();
        for ((i, life, _), call) in asked.into_iter().zip(calls) {
            let answer = call.await.ok();
            let now = self.now();
            let seat = &mut self.seats[i];
            if seat.lives != life || !seat.runs() {
                continue;
            }
            let (answer, agreed) = answer.unwrap_or_default();
            let Some((mut look, line, part)) = answer.as_ref().and_then(read_look) else {
                (equal, seat.last, seat.part) = (false, None, 0.0);
                continue;
            };
            // Whose file has another budget is answered by nobody, and is not waited for.
            look.plan = agreed.as_ref().and_then(read_plan);
            look.answered = look.answered.filter(|_| seat.other.rate.is_none());
            let revision = look.plan.as_ref().map(|plan| format!("  revision {}", plan.in_force.1));
            let line = format!("{line}{}  door {}", revision.unwrap_or_default(), seat.ops);
            (seat.last, seat.line, seat.part) = (Some(look.clone()), line, part);
            self.judge.check_view(now, i, &look);
        }
        let stopped =
            self.seats.iter().any(|s| s.process.is_some() && s.leaving.is_none() && s.last.is_none());
        let looks: Vec<&MemberView> = self.seats.iter().filter_map(|s| s.last.as_ref()).collect();
        let speaking = looks.iter().filter(|look| !look.superseded);
        let answered = looks.iter().all(|look| look.answered != Some(false));
        let plans: Vec<(usize, PlanStatus)> =
            looks.iter().enumerate().filter_map(|(i, look)| Some((i, look.plan.clone()?))).collect();
        let agreed = self.plan.keepers == 0 || check_plans_agree(&plans).is_ok();
        equal
            && !stopped
            && answered
            && agreed
            && speaking.clone().all(|look| self.judge.verify_view(look).is_ok())
    }

    /// What the logs have told.
    fn hear(&mut self) {
        while let Ok((at, observer, life, name, generation, to)) = self.told.1.try_recv() {
            let now = at.saturating_duration_since(self.began);
            if self.seats[observer].lives != life {
                continue;
            }
            self.judge.record_state_change(now, observer, &name, generation, to == "gone");
            if to == "gone" || to == "left" {
                for (dead, _, knows) in &mut self.deaths {
                    if self.seats[*dead].name == name && knows[observer].is_none() {
                        knows[observer] = Some(now);
                    }
                }
            }
        }
        let lost = std::mem::take(&mut *self.lost.lock().unwrap_or_else(PoisonError::into_inner));
        for (i, at) in lost {
            self.judge.report(Invariant::Unanswered, at, i, "a request was never answered".to_owned());
        }
    }

    /// Asks all that are left to leave, and sees that they do.
    async fn close(&mut self) {
        for seat in &mut self.seats {
            seat.garbage.store(0, Ordering::SeqCst);
            seat.touched.fetch_add(1, Ordering::SeqCst);
            seat.put(OVER);
            if let Some(process) = &mut seat.process {
                process.go_on();
                process.terminate();
                seat.leaving.get_or_insert_with(Instant::now);
            }
        }
        while self.seats.iter().any(|seat| seat.process.is_some()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.look_at_processes();
        }
    }

    fn outcomes(&self) -> Outcomes {
        *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self, ended: Duration, equal: Option<Duration>) -> RigReport {
        // Who was started again was not to be known as dead.
        let for_good = self.deaths.iter().filter(|(dead, ..)| self.seats[*dead].lives == 1);
        let known = for_good.filter_map(|(dead, at, knows)| {
            let lived = |i: &usize| i != dead && self.deaths.iter().all(|(d, ..)| d != i);
            let all: Vec<Duration> = (0..self.seats.len())
                .filter(lived)
                .filter(|&i| self.seats[i].lives > 0)
                .map(|i| knows[i])
                .collect::<Option<_>>()?;
            let since = |t: &Duration| t.saturating_sub(*at).as_secs_f64();
            Some((since(all.iter().min()?), since(all.iter().max()?)))
        });
        let passed = &self.relay.passed;
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        RigReport {
            script: self.plan.name.clone(),
            seed: self.plan.seed,
            processes: self.plan.first,
            seconds: ended.as_secs_f64(),
            known_s: known.collect(),
            equal_s: equal.map(|at| at.saturating_sub(self.plan.quiet_from).as_secs_f64()),
            requests: self.outcomes(),
            received: count(&self.backends.received),
            datagrams: (count(&passed.datagrams), count(&passed.bytes), count(&passed.lost)),
            share: self.plan.budget.as_ref().map(|_| self.share.clone()),
            words: self.words.clone(),
            broken: self.judge.violations.clone(),
            crashed: self.crashed.clone(),
        }
    }
}

impl Drop for Rig<'_> {
    fn drop(&mut self) {
        for seat in &mut self.seats {
            seat.garbage.store(0, Ordering::SeqCst);
            seat.loops.clear();
            seat.process = None;
        }
    }
}

/// A change of state, from a line of a member's log.
fn change(line: &str) -> Option<(String, u64, String)> {
    let value: Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields")?;
    if fields.get("message")?.as_str()? != "member changed" {
        return None;
    }
    let text = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
    Some((text("member")?, fields.get("generation")?.as_u64()?, text("to")?))
}

/// Where a plan stands, as its door says.
fn read_plan(value: &Value) -> Option<PlanStatus> {
    let log = value.get("log")?;
    let number = |from: &Value, name: &str| from.get(name)?.as_u64();
    let permits = value.get("permits")?.as_array()?;
    let clear = |it: &&Value| it["state"].as_str().is_some_and(|state| state.starts_with("clear"));
    let steps = permits.iter().filter_map(|it| it["since"].as_u64());
    Some(PlanStatus {
        place: (number(log, "founded")?, number(log, "index")?),
        sum: log.get("sum")?.as_str()?.to_owned(),
        in_force: (number(value, "in_force_to")?, number(value, "revision")? as u32),
        halted: !value.get("halted_by")?.is_null(),
        steps: steps.chain(value["release"]["waved"].as_u64()).collect(),
        clear: permits.iter().filter(clear).filter_map(|it| Some(it["name"].as_str()?.to_owned())).collect(),
        led: !log.get("leader")?.is_null(),
    })
}

/// Calls a door.
async fn put(ops: SocketAddr, method: &str, call: &str, text: &str) -> Option<Value> {
    let asked = async {
        let mut stream = TcpStream::connect(ops).await.ok()?;
        let length = text.len();
        let head = format!("{method} {call} HTTP/1.1\r\nHost: ops\r\nContent-Length: {length}\r\n\r\n{text}");
        stream.write_all(head.as_bytes()).await.ok()?;
        let answer = hear(&mut stream, &mut Vec::new()).await.ok()??;
        serde_json::from_str(answer.split("\r\n\r\n").nth(1)?).ok()
    };
    let patience = if method == "GET" { PATIENCE } else { ANSWERED };
    tokio::time::timeout(patience, asked).await.ok().flatten()
}

fn read_look(value: &Value) -> Option<(MemberView, String, f64)> {
    let number = |name: &str| value.get(name)?.as_u64();
    let name = value.get("name")?.as_str()?.to_owned();
    let generation = number("generation")?;
    let mut who = vec![(name.clone(), generation)];
    let mut states = [0; 4];
    for member in value.get("members")?.as_array()? {
        let state = member.get("state")?.as_str()?;
        let at = ["alive", "suspect", "gone", "left"].iter().position(|s| *s == state)?;
        states[at] += 1;
        if at < 2 {
            who.push((member.get("name")?.as_str()?.to_owned(), member.get("generation")?.as_u64()?));
        }
    }
    let flag = |name: &str| value.get(name).and_then(Value::as_bool).unwrap_or(false);
    let look = MemberView {
        generation,
        who,
        at_work: number("at_work")? as u32,
        reached: number("reached")? as usize,
        known: number("known")? as usize,
        superseded: flag("superseded"),
        plan: None,
        answered: value.get("budgets").and_then(|budgets| budgets.get("answered")?.as_bool()),
    };
    let [alive, suspect, gone, left] = states;
    let mut line = format!(
        "{name:<8} at work {:>3}  reached {:>3} of {:<3}  alive {alive} suspect {suspect} gone {gone} left {left}",
        look.at_work, look.reached, look.known
    );
    for word in ["isolated", "unheard", "superseded"] {
        if flag(word) {
            line += &format!("  {word}");
        }
    }
    let rate = value.get("budgets").and_then(|budgets| budgets.get("wholes")?.get(0));
    let figure = |name: &str| rate.and_then(|rate| rate.get(name)?.as_f64());
    let part = figure("part").unwrap_or_default();
    if let Some(whole) = figure("whole") {
        line += &format!("  part {part:.1} of {whole:.0}");
    }
    Some((look, line, part))
}

/// The settings of a sidecar as the platform would give them.
pub fn sidecar_settings(zones: &[String], zone: usize, rank: usize, instances: usize) -> Value {
    let class = json!({"name": "plan", "slo-ns": 800_000_000u64, "deadline-ns": 3_000_000_000u64, "worth": 3.0,
        "late-value": 0.5, "effect": "read_like", "dedup-scope": "all", "key-ttl-ns": 5_000_000_000u64});
    json!({
        "instances": instances, "rank": rank, "tier": 0, "tiers": ["t"], "zone": zone, "dcs": zones,
        "domain": {"passes-deadline": true}, "step-ns": 5_000_000u64, "request-classes": [class],
        "policy-limits": {"cancel": true, "probes": false, "second-copies": false, "retry-after": true,
            "max-attempts": 3, "max-retry-after-ns": 3_000_000_000u64, "conn-idle-ns": 5_000_000_000u64,
            "dial-timeout-ns": 200_000_000u64},
        "contract": {"cold-from": 0.31, "ramp-time-ns": 9_000_000_000u64, "fall-multiple": 3.0,
            "tip-after-ns": 1_500_000_000u64, "drain-grace-ns": 250_000_000u64, "ask-within-ns": 10_000_000_000u64},
        "prices": {}, "report": {"source": "pull", "fields": ["inflight", "queue"]},
        "discovery": "subscribe", "weight-kind": "rough",
    })
}
