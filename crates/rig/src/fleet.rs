//! Runs a fault script on a fleet of real processes: applies the scripted acts at their times, polls the operations
//! endpoints, reads state changes from the logs, and passes everything to one checker.

use crate::addresses::free_addresses;
use crate::load::{Outcomes, RequestOutcome, request};
use crate::process::{Guard, Process};
use crate::relay::Relay;
use crate::stubs::{StubEndpoints, read_message};
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

/// Interval at which the operations endpoints are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one poll; a member that did not respond in time is polled again in the next round.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Factor by which the protocol's time limits are extended, because the machine is shared with other work.
const TIMING_FACTOR: f64 = 3.0;
/// Time after the last act within which all views must be equal and correct.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(45);
/// Time within which a process must exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest number of members that the rig can run.
const MAX_MEMBERS: usize = 60;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the `cometcroft` executable.
    pub program: PathBuf,
    /// Directory in which the logs of the processes are kept, if they are kept.
    pub logs: Option<PathBuf>,
    /// Number of stub endpoints.
    pub endpoints: usize,
    /// If set, the run continues after the last act until the flag is true, instead of until all views are equal.
    pub stop: Option<Arc<AtomicBool>>,
}

/// Callback that receives the progress of a run: the elapsed time, a status line for each member, and the requests so
/// far.
pub type Progress<'a> = &'a mut dyn FnMut(Duration, &[String], Outcomes);

/// Tenant whose requests share the budget.
const TENANT: &str = "shared";
/// Maximum delay between the admission of a request and its arrival at an endpoint on a busy machine. The bound on the
/// number of admitted requests allows for it.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_secs(1);
/// Time within which a first byte reaches an endpoint if it was sent before the plan status showed the endpoint as
/// clear.
const MAX_FIRST_BYTE_DELAY: Duration = Duration::from_millis(300);
/// Timeout of an operator command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of requests by which the observed concurrency may exceed the limit, because the process that counts the
/// requests is not the one that admits them.
const CONCURRENCY_TOLERANCE: u64 = 2;

/// Usage of a shared budget, as seen by the stub endpoints.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BudgetReport {
    /// Number of requests that the endpoints received.
    pub received: u64,
    /// Fraction of the rate limit that was used, counted from the end of the start-up period.
    pub used: f64,
    /// Peak number of concurrent requests, and the concurrency limit.
    pub open: (u64, u64),
    /// Samples, about four a second: seconds since the start, the sum of the shares that the members reported (polled
    /// one after another), and the received requests per second.
    pub line: Vec<(f64, f64, f64)>,
    /// Rate limit in requests per second.
    pub whole: f64,
}

/// Report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RigReport {
    /// Name of the script.
    pub script: String,
    /// Seed of the run.
    pub seed: u64,
    /// Number of processes at the start.
    pub processes: usize,
    /// Duration in seconds.
    pub seconds: f64,
    /// For each member that was killed or terminated and not started again: seconds until the first and until the last
    /// of the others knew.
    pub known_s: Vec<(f64, f64)>,
    /// Seconds from the last act until all views were equal and correct.
    pub equal_s: Option<f64>,
    /// Number of requests by outcome.
    pub requests: Outcomes,
    /// Number of requests that the stub endpoints received.
    pub received: u64,
    /// Datagrams forwarded, their bytes, and datagrams dropped on purpose.
    pub datagrams: (u64, u64, u64),
    /// Usage of the shared budget, if the script has one.
    pub share: Option<BudgetReport>,
    /// Results of the operator commands.
    pub words: Vec<String>,
    /// Violated invariants.
    pub broken: Vec<Violation>,
    /// Processes that ended unexpectedly or not in time.
    pub crashed: Vec<String>,
}

struct Member {
    name: String,
    zone: String,
    /// Index of the addresses in the relay.
    slot: usize,
    listen: SocketAddr,
    ops: SocketAddr,
    /// Directory of the configuration and operator files.
    dir: PathBuf,
    process: Option<Process>,
    /// Number of actions on this member that can disturb requests: starts, stops and injected faults. The load compares
    /// it before and after a request to see whether the member was undisturbed.
    disturbances: Arc<AtomicU32>,
    state: Arc<AtomicU8>,
    /// Rate of random datagrams sent to this member per second; 0 ends the sending.
    garbage_rate: Arc<AtomicU32>,
    /// When the process was sent SIGTERM.
    leaving_since: Option<Instant>,
    /// Busy loops on the processor of this member; each ends when it is dropped.
    busy_loops: Vec<Process>,
    /// Settings of the operator file that differ from those of the fleet.
    overrides: SettingsOverride,
    /// Number of starts so far.
    starts: u32,
    last_status: Option<MemberView>,
    status_line: String,
    /// Share of the rate limit that the member reported last.
    share: f64,
    /// Last log line that is not an event; on exit, it states the reason if the process gives one.
    last_message: Arc<Mutex<String>>,
}

// States of a process, from its start to its end.
const ENDED: u8 = 0;
const RUNNING: u8 = 1;
const PAUSED: u8 = 2;

impl Member {
    fn is_running(&self) -> bool {
        self.state.load(Ordering::SeqCst) == RUNNING
    }

    fn set_state(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
    }
}

/// State change from a log: time, observer, start number of the observer, name and generation of the member, new state.
type StateChange = (Instant, usize, u32, String, u64, String);

/// Responses to operator commands: time, member that was called, command, response.
type CommandResponses = Arc<Mutex<Vec<(Duration, usize, OperatorCommand, Option<Value>)>>>;

struct Rig<'a> {
    plan: &'a Plan,
    options: &'a Options,
    guard: Guard,
    relay: Arc<Relay>,
    endpoints: StubEndpoints,
    members: Vec<Member>,
    checker: Checker,
    began: Instant,
    wires: LinkFaults,
    changes: (mpsc::Sender<StateChange>, mpsc::Receiver<StateChange>),
    /// For each killed or terminated member: its index, the time, and when each member knew.
    deaths: Vec<(usize, Duration, Vec<Option<Duration>>)>,
    outcomes: Arc<Mutex<Outcomes>>,
    unanswered: Arc<Mutex<Vec<(usize, Duration)>>>,
    crashed: Vec<String>,
    panics: Arc<AtomicU64>,
    budget_report: BudgetReport,
    command_responses: CommandResponses,
    /// Text lines for the report.
    command_results: Vec<String>,
    /// Requests that the endpoints received after the start-up period.
    received_after_startup: u64,
    dir: PathBuf,
}

/// Number of runs that this process has started; gives each run its own addresses and directory.
static RUN_COUNT: AtomicU64 = AtomicU64::new(0);

/// Runs a plan on real processes and reports the outcome.
pub fn run(plan: &Plan, options: &Options, progress: Progress<'_>) -> io::Result<RigReport> {
    if plan.members.len() > MAX_MEMBERS {
        return Err(io::Error::other(format!(
            "the rig runs at most {MAX_MEMBERS} processes, but the script has {}",
            plan.members.len()
        )));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(async {
        let mut rig = Rig::new(plan, options).await?;
        let report = rig.play(progress).await;
        let dir = rig.dir.clone();
        drop(rig);
        let _ = std::fs::remove_dir_all(dir);
        report
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    report
}

/// Picks a port at an address that only this run uses, and adds it to `taken`. The system may pick a port again that it
/// returned before and that is not bound any more, so ports in `taken` are skipped.
fn free_address(ip: Ipv4Addr, taken: &mut Vec<SocketAddr>) -> io::Result<SocketAddr> {
    for _ in 0..100 {
        let at = free_addresses(ip, 1)?[0];
        if !taken.contains(&at) {
            taken.push(at);
            return Ok(at);
        }
    }
    Err(io::Error::other(format!("no free port at {ip}")))
}

impl<'a> Rig<'a> {
    async fn new(plan: &'a Plan, options: &'a Options) -> io::Result<Rig<'a>> {
        // Each run has its own block of addresses, because several runs can be active concurrently.
        let run = RUN_COUNT.fetch_add(1, Ordering::Relaxed) as u32;
        let block = (std::process::id().wrapping_mul(31).wrapping_add(run) % (100 * 200)) as u16;
        let (b, c) = (100 + (block / 200) as u8, (block % 200) as u8);
        let own = move |i: usize| Ipv4Addr::new(127, b, c, 1 + i as u8);
        let advertised = move |i: usize| Ipv4Addr::new(127, b, c, 101 + i as u8);
        let stub_ip = Ipv4Addr::new(127, b, c, 250);
        let slots = plan.members.iter().map(|m| m.place + 1).max().unwrap_or(0);
        let relay = Relay::start(slots, own, advertised, plan.seed).await?;
        let work = plan.budget.as_ref().map_or(Duration::from_millis(5), |budget| budget.longest / 4);
        let endpoints = StubEndpoints::start(stub_ip, options.endpoints, &plan.zones, work).await?;
        let dir = std::env::temp_dir().join(format!("cometcroft-rig-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        if let Some(logs) = &options.logs {
            std::fs::create_dir_all(logs)?;
        }
        let mut members = Vec::new();
        let mut taken: Vec<SocketAddr> = (0..slots).map(|i| relay.addresses(i).own.into()).collect();
        for (i, member) in plan.members.iter().enumerate() {
            members.push(Member {
                name: member.name.clone(),
                zone: plan.zones[member.zone].clone(),
                slot: member.place,
                listen: free_address(own(member.place), &mut taken)?,
                ops: free_address(own(member.place), &mut taken)?,
                dir: dir.join(format!("{i}")),
                process: None,
                disturbances: Arc::default(),
                state: Arc::default(),
                garbage_rate: Arc::default(),
                leaving_since: None,
                busy_loops: Vec::new(),
                overrides: SettingsOverride::default(),
                starts: 0,
                last_status: None,
                status_line: String::new(),
                share: 0.0,
                last_message: Arc::default(),
            });
        }
        Ok(Rig {
            plan,
            options,
            guard: Guard::start()?,
            relay,
            endpoints,
            members,
            checker: Checker::new(plan, TIMING_FACTOR),
            began: Instant::now(),
            wires: LinkFaults::default(),
            changes: mpsc::channel(),
            deaths: Vec::new(),
            outcomes: Arc::default(),
            unanswered: Arc::default(),
            crashed: Vec::new(),
            panics: Arc::default(),
            budget_report: BudgetReport::default(),
            command_responses: Arc::default(),
            command_results: Vec::new(),
            received_after_startup: 0,
            dir,
        })
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    async fn play(&mut self, progress: Progress<'_>) -> io::Result<RigReport> {
        self.began = Instant::now();
        let acts: Vec<Act> = self.plan.acts.clone();
        let mut next = 0;
        let mut equal = None;
        let ended = loop {
            while next < acts.len() && acts[next].at <= self.now() {
                let Act { action: doing, line, .. } = acts[next].clone();
                self.apply(&doing)?;
                self.checker.record_action(self.now(), &doing, line);
                next += 1;
            }
            self.check_processes();
            let all_equal = self.poll_members().await;
            self.handle_events();
            self.handle_command_responses();
            self.check_arrivals();
            let lines: Vec<String> = self.members.iter().map(|member| member.status_line.clone()).collect();
            progress(self.now(), &lines, self.outcomes());
            let now = self.now();
            if next >= acts.len() {
                if !all_equal {
                    equal = None;
                } else if equal.is_none() {
                    equal = Some(now);
                }
                let stop = self.options.stop.as_ref().map(|stop| stop.load(Ordering::Relaxed));
                match stop {
                    Some(true) => break now,
                    Some(false) => {}
                    // Ends once the views have been equal for a while and every leaving process has exited.
                    None => {
                        let settled = equal.is_some_and(|at| now > at + Duration::from_secs(1));
                        let leaving = self.members.iter().any(|member| member.leaving_since.is_some());
                        // With a budget, the run continues for several lease durations.
                        let watched = self.plan.budget.as_ref().is_none_or(|budget| {
                            now > (self.plan.quiet_from + budget.lease * 4).max(budget.lease * 7)
                        });
                        if settled && watched && !leaving || now > self.plan.quiet_from + CONVERGENCE_TIMEOUT
                        {
                            break now;
                        }
                    }
                }
            }
            let wait = acts
                .get(next)
                .map_or(POLL_INTERVAL, |act| act.at.saturating_sub(self.now()).min(POLL_INTERVAL));
            tokio::time::sleep(wait).await;
        };
        if self.options.stop.is_none() {
            self.check_final_state(ended);
        }
        self.close().await;
        for member in self.members.iter().filter(|_| self.panics.load(Ordering::SeqCst) > 0) {
            let last_message = member.last_message.lock().unwrap_or_else(PoisonError::into_inner);
            if last_message.contains("panicked at") {
                self.crashed.push(format!("{}: {last_message}", member.name));
            }
        }
        self.handle_events();
        Ok(self.report(ended, equal))
    }

    /// Checks the requests that the endpoints received against the plan and against the limits of the budget.
    fn check_arrivals(&mut self) {
        let arrivals =
            std::mem::take(&mut *self.endpoints.arrivals.lock().unwrap_or_else(PoisonError::into_inner));
        if self.plan.keepers > 0 {
            for (at, endpoint) in &arrivals {
                let at = at.saturating_duration_since(self.began);
                self.checker.check_drained(at, MAX_FIRST_BYTE_DELAY, &format!("s-{endpoint}"));
            }
        }
        let Some(budget) = &self.plan.budget else { return };
        let (now, startup_end) = (self.now(), budget.lease * 3);
        for (at, _) in &arrivals {
            let at = at.saturating_duration_since(self.began);
            self.received_after_startup += u64::from(at >= startup_end);
            self.checker.record_admission(at, MAX_ARRIVAL_DELAY);
        }
        let report = &mut self.budget_report;
        report.received += arrivals.len() as u64;
        report.open = (self.endpoints.open.peak.load(Ordering::SeqCst), u64::from(budget.level));
        self.checker.check_concurrency(now, report.open.0, report.open.1 + CONCURRENCY_TOLERANCE);
        let last_sample = report.line.last().map_or(0.0, |last| last.0);
        let elapsed = (now.as_secs_f64() - last_sample).max(0.01);
        let shares =
            self.members.iter().filter(|member| member.is_running()).map(|member| member.share).sum();
        report.line.push((now.as_secs_f64(), shares, arrivals.len() as f64 / elapsed));
        report.whole = budget.rate;
        report.used = self.received_after_startup as f64
            / (budget.rate * (now.saturating_sub(startup_end)).as_secs_f64().max(0.1));
    }

    /// Checks the invariants that must hold at the end of a run, whatever its duration.
    fn check_final_state(&mut self, at: Duration) {
        let looks: Vec<(usize, MemberView)> =
            self.members.iter().enumerate().filter_map(|(i, s)| Some((i, s.last_status.clone()?))).collect();
        for (i, look) in looks.iter().filter(|(_, look)| !look.superseded) {
            self.checker.check_converged_view(at, *i, look);
        }
        let plans: Vec<(usize, PlanStatus)> =
            looks.iter().filter_map(|(i, look)| Some((*i, look.plan.clone()?))).collect();
        self.checker.check_plans(at, &plans);
    }

    /// Applies one act of the script.
    fn apply(&mut self, doing: &Action) -> io::Result<()> {
        let count_disturbance = |member: &Member| member.disturbances.fetch_add(1, Ordering::SeqCst);
        match doing {
            Action::Start(i) => self.start(*i)?,
            Action::Stop(i) => {
                count_disturbance(&self.members[*i]);
                self.members[*i].set_state(PAUSED);
                self.members[*i].last_status = None;
                if let Some(process) = &mut self.members[*i].process {
                    process.pause();
                }
            }
            Action::Continue(i) => {
                count_disturbance(&self.members[*i]);
                if let Some(process) = &mut self.members[*i].process {
                    process.resume();
                    self.members[*i].set_state(RUNNING);
                }
            }
            Action::Kill(i) => {
                count_disturbance(&self.members[*i]);
                self.record_death(*i);
                let member = &mut self.members[*i];
                member.set_state(ENDED);
                member.last_status = None;
                if let Some(mut process) = member.process.take() {
                    process.kill();
                }
            }
            Action::Terminate(i) => {
                count_disturbance(&self.members[*i]);
                self.record_death(*i);
                let member = &mut self.members[*i];
                member.set_state(ENDED);
                member.last_status = None;
                if let Some(process) = &mut member.process {
                    process.terminate();
                    member.leaving_since = Some(Instant::now());
                }
            }
            Action::LinkFault(fault, from, to, wire) => {
                let Rig { wires, relay, members, .. } = self;
                wires.put(*fault, (from, to), *wire, |a, b, all| {
                    relay.set_wire(members[a].slot, members[b].slot, all);
                });
            }
            Action::Garbage(i, rate) => self.send_garbage(*i, *rate)?,
            Action::Busy(i, loops) => {
                let member = &mut self.members[*i];
                member.busy_loops.clear();
                if let Some(process) = &mut member.process {
                    process.set_processor((*loops > 0).then_some(*i));
                }
                for _ in 0..*loops {
                    let mut command = Command::new("/bin/sh");
                    command.args(["-c", "while :; do :; done"]).stdout(Stdio::null()).stderr(Stdio::null());
                    let mut busy = Process::start(&mut command, &self.guard)?;
                    busy.set_processor(Some(*i));
                    member.busy_loops.push(busy);
                }
            }
            Action::Descriptors(i, most) => {
                count_disturbance(&self.members[*i]);
                if let Some(process) = &mut self.members[*i].process {
                    process.limit_descriptors(*most);
                }
            }
            Action::ChangeSettings(i, other) => self.members[*i].overrides = *other,
            Action::Command(i, spoken) => self.send_command(*i, spoken.clone()),
        }
        Ok(())
    }

    /// Sends an operator command to a member in the background; [`Rig::handle_command_responses`] handles the response.
    fn send_command(&mut self, i: usize, command: OperatorCommand) {
        let (ops, responses, began) = (self.members[i].ops, self.command_responses.clone(), self.began);
        tokio::spawn(async move {
            let path = format!("/ops/plan/{}", command.call());
            let text = if matches!(command.say, CommandKind::Propose | CommandKind::Release) {
                &command.text
            } else {
                ""
            };
            let response = tokio::time::timeout(COMMAND_TIMEOUT, call_ops(ops, "PUT", &path, text)).await;
            let response = response.ok().flatten();
            let mut responses = responses.lock().unwrap_or_else(PoisonError::into_inner);
            responses.push((began.elapsed(), i, command, response));
        });
    }

    /// Handles the responses to operator commands.
    fn handle_command_responses(&mut self) {
        let responses =
            std::mem::take(&mut *self.command_responses.lock().unwrap_or_else(PoisonError::into_inner));
        for (at, i, command, response) in responses {
            let index = response
                .as_ref()
                .filter(|body| body.get("taken").or(body.get("founded")).is_some())
                .and_then(|body| body.get("index")?.as_u64());
            let log_id =
                self.members[i].last_status.as_ref().and_then(|look| Some(look.plan.as_ref()?.place.0));
            if let (Some(index), Some(log_id)) = (index, log_id) {
                self.checker.record_acknowledgement(log_id, index, command.say);
            }
            let code = response
                .as_ref()
                .and_then(|body| body.get("code"))
                .and_then(Value::as_str)
                .unwrap_or("no answer");
            let result = index.map_or(code.to_owned(), |index| format!("taken as {index}"));
            self.command_results.push(format!(
                "{:.2} s {} at {}: {result}",
                at.as_secs_f64(),
                command.call(),
                self.members[i].name
            ));
        }
    }

    /// Sends random datagrams to a member, in a separate thread and from an address that belongs to no member.
    fn send_garbage(&self, i: usize, rate: u32) -> io::Result<()> {
        let member = &self.members[i];
        member.garbage_rate.store(rate, Ordering::SeqCst);
        if rate == 0 {
            return Ok(());
        }
        let addresses = self.relay.addresses(member.slot);
        let mut from = addresses.own.ip().octets();
        from[3] = 240;
        let socket = UdpSocket::bind((Ipv4Addr::from(from), 0))?;
        let (target_rate, seed) = (member.garbage_rate.clone(), self.plan.seed);
        std::thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            let began = Instant::now();
            let mut sent = 0u64;
            // Ends when the script says so, and after one minute at the latest.
            while target_rate.load(Ordering::SeqCst) > 0 && began.elapsed() < Duration::from_secs(60) {
                let due = (began.elapsed().as_secs_f64() * f64::from(rate)) as u64;
                while sent < due {
                    let bytes: Vec<u8> = (0..rng.usize(..1300)).map(|_| rng.u8(..)).collect();
                    let _ = socket.send_to(&bytes, addresses.own);
                    sent += 1;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        Ok(())
    }

    /// Returns the `[budget]` section of the operator file.
    fn budget_section(&self, rate: Option<f64>) -> String {
        let Some(budget) = &self.plan.budget else { return String::new() };
        let advertised = |i: usize| format!("\"{}\"", self.relay.addresses(self.members[i].slot).advertised);
        let list = |count: usize| (0..count).map(advertised).collect::<Vec<_>>().join(", ");
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
            // A request needs both the rate and the concurrency limit.
            u8::from(budget.floor > 0.0),
        )
    }

    /// Writes the configuration and operator files of a member and starts its process, unless it has one already.
    fn start(&mut self, i: usize) -> io::Result<()> {
        if self.members[i].process.is_some() {
            return Ok(());
        }
        let seeds: Vec<String> = (0..self.plan.seeds)
            .map(|s| format!("\"{}\"", self.relay.addresses(self.members[s].slot).advertised))
            .collect();
        let addresses = self.relay.addresses(self.members[i].slot);
        let budget_section = self.budget_section(self.members[i].overrides.rate);
        let advertised = |i: usize| format!("\"{}\"", self.relay.addresses(self.members[i].slot).advertised);
        let voters =
            (0..self.plan.keepers.min(self.members.len())).map(advertised).collect::<Vec<_>>().join(", ");
        let plan_section = if voters.is_empty() { voters } else { format!("[plan]\nkeepers = [{voters}]\n") };
        let member = &mut self.members[i];
        member.starts += 1;
        std::fs::create_dir_all(&member.dir)?;
        let (config, operator) = (member.dir.join("config.json"), member.dir.join("operator.toml"));
        let zone = self.plan.zones.iter().position(|z| *z == member.zone).unwrap_or(0);
        let settings = sidecar_settings(&self.plan.zones, zone, i, self.plan.first);
        let text = json!({
            "name": member.name, "listen": member.listen.to_string(), "ops": member.ops.to_string(),
            "discovery": self.endpoints.discovery.to_string(), "seed": format!("{:016x}", self.plan.seed + i as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "known": null, "settings": settings,
        });
        std::fs::write(&config, text.to_string())?;
        let fleet_section = format!(
            "[fleet]\nname = \"rig\"\nbind = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nlongest_pause = \"{}ms\"\n",
            addresses.own,
            addresses.advertised,
            seeds.join(", "),
            member.overrides.longest_pause.unwrap_or(self.plan.longest_pause).as_millis(),
        );
        std::fs::write(&operator, fleet_section + &budget_section + &plan_section)?;
        let mut command = Command::new(&self.options.program);
        command
            .arg("--operator")
            .arg(&operator)
            .env_clear()
            .env("LB_CONFIG", &config)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut process = Process::start(&mut command, &self.guard)?;
        if let Some(log) = process.take_stderr() {
            let (changes, start_number, name) = (self.changes.0.clone(), member.starts, member.name.clone());
            let (last_message, panics) = (member.last_message.clone(), self.panics.clone());
            let log_path =
                self.options.logs.as_ref().map(|logs| logs.join(format!("{i}-{name}-{start_number}.log")));
            // The thread ends when the process closes its log.
            std::thread::spawn(move || {
                let mut log_file = log_path.and_then(|path| std::fs::File::create(path).ok());
                for line in BufReader::new(log).lines().map_while(Result::ok) {
                    if let Some(log_file) = &mut log_file {
                        let _ = writeln!(log_file, "{line}");
                    }
                    let is_message =
                        line.starts_with("cometcroft: ") && !line.starts_with("cometcroft: counters");
                    // A panic ends only its task, and the process keeps running without it, so panics are counted here.
                    let panicked = line.contains("panicked at");
                    if is_message || panicked {
                        last_message.lock().unwrap_or_else(PoisonError::into_inner).clone_from(&line);
                    }
                    panics.fetch_add(u64::from(panicked), Ordering::SeqCst);
                    if let Some(change) = parse_state_change(&line) {
                        let (member, generation, to) = change;
                        let _ = changes.send((Instant::now(), i, start_number, member, generation, to));
                    }
                }
            });
        }
        member.process = Some(process);
        member.disturbances.fetch_add(1, Ordering::SeqCst);
        // Each start gets its own state, so that tasks of the previous process still see that one as ended.
        member.state = Arc::new(AtomicU8::new(RUNNING));
        self.start_load(i);
        Ok(())
    }

    /// Starts an open-loop load on a member, which ends with the current process of the member.
    fn start_load(&self, i: usize) {
        if self.plan.load <= 0.0 {
            return;
        }
        let (budget, first) = (self.plan.budget.clone(), self.plan.first);
        let member = &self.members[i];
        let (state, disturbances, to) = (member.state.clone(), member.disturbances.clone(), member.listen);
        let (outcomes, unanswered, began) = (self.outcomes.clone(), self.unanswered.clone(), self.began);
        let load = self.plan.load;
        tokio::spawn(async move {
            // A sidecar gets no traffic before it responds to `/up`.
            tokio::time::sleep(Duration::from_millis(700)).await;
            let mut next = Instant::now();
            loop {
                let need = budget.as_ref().map_or(load, |budget| budget.need(i, first, began.elapsed()));
                next += Duration::from_secs_f64(1.0 / need.max(0.1));
                tokio::time::sleep_until(next.into()).await;
                let before = disturbances.load(Ordering::SeqCst);
                match state.load(Ordering::SeqCst) {
                    ENDED => return,
                    PAUSED => continue,
                    _ => {}
                }
                let (outcomes, unanswered, disturbances) =
                    (outcomes.clone(), unanswered.clone(), disturbances.clone());
                let tenant = budget.as_ref().map(|_| TENANT);
                tokio::spawn(async move {
                    let ended = request(to, tenant).await;
                    let undisturbed = disturbances.load(Ordering::SeqCst) == before;
                    let mut all = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                    match ended {
                        RequestOutcome::Served => all.served += 1,
                        RequestOutcome::Rejected => all.denied += 1,
                        RequestOutcome::Failed => all.failed += 1,
                        RequestOutcome::Unanswered if undisturbed => {
                            all.lost += 1;
                            let mut unanswered = unanswered.lock().unwrap_or_else(PoisonError::into_inner);
                            unanswered.push((i, began.elapsed()));
                        }
                        RequestOutcome::NotConnected | RequestOutcome::Unanswered => all.unmet += 1,
                    }
                });
            }
        });
    }

    fn record_death(&mut self, i: usize) {
        if self.members[i].process.is_some() {
            let others = self.members.iter().map(|_| None).collect();
            self.deaths.push((i, self.now(), others));
        }
    }

    /// Handles processes that ended, and kills those that did not exit in time after SIGTERM.
    fn check_processes(&mut self) {
        for member in &mut self.members {
            let Some(process) = &mut member.process else { continue };
            match (process.exit_status(), member.leaving_since) {
                (None, Some(since)) if since.elapsed() > EXIT_TIMEOUT => {
                    self.crashed
                        .push(format!("{} did not end within {EXIT_TIMEOUT:?} of SIGTERM", member.name));
                    process.kill();
                    (member.process, member.leaving_since) = (None, None);
                }
                (None, _) => {}
                (Some(status), leaving) => {
                    if leaving.is_none() || !status.success() {
                        let last_message = member.last_message.lock().unwrap_or_else(PoisonError::into_inner);
                        self.crashed.push(format!("{} ended: {status} {last_message}", member.name));
                    }
                    member.set_state(ENDED);
                    (member.process, member.leaving_since, member.last_status) = (None, None, None);
                }
            }
        }
    }

    /// Polls all operations endpoints, and returns whether all views are equal and correct.
    async fn poll_members(&mut self) -> bool {
        let polled: Vec<(usize, u32, SocketAddr)> = self
            .members
            .iter()
            .enumerate()
            .filter(|(_, member)| member.process.is_some() && member.is_running())
            .map(|(i, member)| (i, member.starts, member.ops))
            .collect();
        let plans = self.plan.keepers > 0;
        let poll = |ops| async move {
            let fleet = call_ops(ops, "GET", "/ops/fleet", "").await;
            (fleet, if plans { call_ops(ops, "GET", "/ops/plan", "").await } else { None })
        };
        let calls: Vec<_> = polled.iter().map(|(_, _, ops)| tokio::spawn(poll(*ops))).collect();
        let mut equal = !polled.is_empty();
        for ((i, start_number, _), call) in polled.into_iter().zip(calls) {
            let response = call.await.ok();
            let now = self.now();
            let member = &mut self.members[i];
            if member.starts != start_number || !member.is_running() {
                continue;
            }
            let (fleet_status, plan_status) = response.unwrap_or_default();
            let Some((mut look, line, share)) = fleet_status.as_ref().and_then(parse_fleet_status) else {
                (equal, member.last_status, member.share) = (false, None, 0.0);
                continue;
            };
            // Allocators do not respond to a member whose operator file has a different budget, so it is not waited
            // for.
            look.plan = plan_status.as_ref().and_then(parse_plan_status);
            look.answered = look.answered.filter(|_| member.overrides.rate.is_none());
            let revision = look.plan.as_ref().map(|plan| format!("  revision {}", plan.in_force.1));
            let line = format!("{line}{}  door {}", revision.unwrap_or_default(), member.ops);
            (member.last_status, member.status_line, member.share) = (Some(look.clone()), line, share);
            self.checker.check_view(now, i, &look);
        }
        let no_status = self.members.iter().any(|member| {
            member.process.is_some() && member.leaving_since.is_none() && member.last_status.is_none()
        });
        let looks: Vec<&MemberView> =
            self.members.iter().filter_map(|member| member.last_status.as_ref()).collect();
        let not_superseded = looks.iter().filter(|look| !look.superseded);
        let answered = looks.iter().all(|look| look.answered != Some(false));
        let plans: Vec<(usize, PlanStatus)> =
            looks.iter().enumerate().filter_map(|(i, look)| Some((i, look.plan.clone()?))).collect();
        let plans_equal = self.plan.keepers == 0 || check_plans_agree(&plans).is_ok();
        equal
            && !no_status
            && answered
            && plans_equal
            && not_superseded.clone().all(|look| self.checker.verify_view(look).is_ok())
    }

    /// Handles the state changes from the logs and the requests without a response.
    fn handle_events(&mut self) {
        while let Ok((at, observer, start_number, name, generation, to)) = self.changes.1.try_recv() {
            let now = at.saturating_duration_since(self.began);
            if self.members[observer].starts != start_number {
                continue;
            }
            self.checker.record_state_change(now, observer, &name, generation, to == "gone");
            if to == "gone" || to == "left" {
                for (dead, _, known_at) in &mut self.deaths {
                    if self.members[*dead].name == name && known_at[observer].is_none() {
                        known_at[observer] = Some(now);
                    }
                }
            }
        }
        let unanswered = std::mem::take(&mut *self.unanswered.lock().unwrap_or_else(PoisonError::into_inner));
        for (i, at) in unanswered {
            self.checker.report(Invariant::Unanswered, at, i, "a request was never answered".to_owned());
        }
    }

    /// Sends SIGTERM to all remaining processes, and waits until they have ended.
    async fn close(&mut self) {
        for member in &mut self.members {
            member.garbage_rate.store(0, Ordering::SeqCst);
            member.disturbances.fetch_add(1, Ordering::SeqCst);
            member.set_state(ENDED);
            if let Some(process) = &mut member.process {
                process.resume();
                process.terminate();
                member.leaving_since.get_or_insert_with(Instant::now);
            }
        }
        while self.members.iter().any(|member| member.process.is_some()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.check_processes();
        }
    }

    fn outcomes(&self) -> Outcomes {
        *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self, ended: Duration, equal: Option<Duration>) -> RigReport {
        // Members that were started again are left out: the others need not have seen them as dead.
        let not_restarted = self.deaths.iter().filter(|(dead, ..)| self.members[*dead].starts == 1);
        let known = not_restarted.filter_map(|(dead, at, known_at)| {
            let lived = |i: &usize| i != dead && self.deaths.iter().all(|(d, ..)| d != i);
            let all: Vec<Duration> = (0..self.members.len())
                .filter(lived)
                .filter(|&i| self.members[i].starts > 0)
                .map(|i| known_at[i])
                .collect::<Option<_>>()?;
            let since = |t: &Duration| t.saturating_sub(*at).as_secs_f64();
            Some((since(all.iter().min()?), since(all.iter().max()?)))
        });
        let counters = &self.relay.counters;
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        RigReport {
            script: self.plan.name.clone(),
            seed: self.plan.seed,
            processes: self.plan.first,
            seconds: ended.as_secs_f64(),
            known_s: known.collect(),
            equal_s: equal.map(|at| at.saturating_sub(self.plan.quiet_from).as_secs_f64()),
            requests: self.outcomes(),
            received: count(&self.endpoints.received),
            datagrams: (count(&counters.datagrams), count(&counters.bytes), count(&counters.dropped)),
            share: self.plan.budget.as_ref().map(|_| self.budget_report.clone()),
            words: self.command_results.clone(),
            broken: self.checker.violations.clone(),
            crashed: self.crashed.clone(),
        }
    }
}

impl Drop for Rig<'_> {
    fn drop(&mut self) {
        for member in &mut self.members {
            member.garbage_rate.store(0, Ordering::SeqCst);
            member.busy_loops.clear();
            member.process = None;
        }
    }
}

/// Parses a state change from a line of a log.
fn parse_state_change(line: &str) -> Option<(String, u64, String)> {
    let value: Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields")?;
    if fields.get("message")?.as_str()? != "member changed" {
        return None;
    }
    let text = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
    Some((text("member")?, fields.get("generation")?.as_u64()?, text("to")?))
}

/// Parses the response of `/ops/plan`.
fn parse_plan_status(value: &Value) -> Option<PlanStatus> {
    let log = value.get("log")?;
    let number = |from: &Value, name: &str| from.get(name)?.as_u64();
    let permits = value.get("permits")?.as_array()?;
    let clear = |permit: &&Value| permit["state"].as_str().is_some_and(|state| state.starts_with("clear"));
    let steps = permits.iter().filter_map(|permit| permit["since"].as_u64());
    Some(PlanStatus {
        place: (number(log, "founded")?, number(log, "index")?),
        sum: log.get("sum")?.as_str()?.to_owned(),
        in_force: (number(value, "in_force_to")?, number(value, "revision")? as u32),
        halted: !value.get("halted_by")?.is_null(),
        steps: steps.chain(value["release"]["waved"].as_u64()).collect(),
        clear: permits
            .iter()
            .filter(clear)
            .filter_map(|permit| Some(permit["name"].as_str()?.to_owned()))
            .collect(),
        led: !log.get("leader")?.is_null(),
    })
}

/// Calls an operations endpoint, and returns the JSON body of its response.
async fn call_ops(ops: SocketAddr, method: &str, path: &str, body: &str) -> Option<Value> {
    let exchange = async {
        let mut stream = TcpStream::connect(ops).await.ok()?;
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(head.as_bytes()).await.ok()?;
        let response = read_message(&mut stream, &mut Vec::new()).await.ok()??;
        serde_json::from_str(response.split("\r\n\r\n").nth(1)?).ok()
    };
    let timeout = if method == "GET" { POLL_TIMEOUT } else { COMMAND_TIMEOUT };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}

/// Parses the response of `/ops/fleet` into the view, a status line, and the share of the rate limit.
fn parse_fleet_status(value: &Value) -> Option<(MemberView, String, f64)> {
    let number = |name: &str| value.get(name)?.as_u64();
    let name = value.get("name")?.as_str()?.to_owned();
    let generation = number("generation")?;
    let mut present = vec![(name.clone(), generation)];
    let mut states = [0; 4];
    for member in value.get("members")?.as_array()? {
        let state = member.get("state")?.as_str()?;
        let at = ["alive", "suspect", "gone", "left"].iter().position(|s| *s == state)?;
        states[at] += 1;
        if at < 2 {
            present.push((member.get("name")?.as_str()?.to_owned(), member.get("generation")?.as_u64()?));
        }
    }
    let flag = |name: &str| value.get(name).and_then(Value::as_bool).unwrap_or(false);
    let look = MemberView {
        generation,
        who: present,
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
    let rate_limit = value.get("budgets").and_then(|budgets| budgets.get("wholes")?.get(0));
    let number_of = |name: &str| rate_limit.and_then(|limit| limit.get(name)?.as_f64());
    let share = number_of("part").unwrap_or_default();
    if let Some(whole) = number_of("whole") {
        line += &format!("  part {share:.1} of {whole:.0}");
    }
    Some((look, line, share))
}

/// Returns the settings of a sidecar as the platform would provide them.
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
