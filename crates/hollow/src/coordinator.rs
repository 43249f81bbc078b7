//! The coordinator of a run: it starts the workers, takes the fleet through its phases, and puts the report together.

use crate::clock::monotonic;
use crate::error::Error;
use crate::lag::{Lateness, watch_machine};
use crate::limits::Limits;
use crate::options::Options;
use crate::process_stats::load_average;
use crate::protocol::{Command, Event, FleetSettings, MemberSettings, Proposed, Status, WorkerSummary};
use crate::real::RealSidecars;
use crate::report::{self, ChangeReport, LagReport, METHOD, MachineReport, Report, StartReport};
use crate::spread::round;
use crate::worker_process::Workers;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::mpsc::Receiver;
use std::time::Duration;

const FLEET_NAME: &str = "hollow";
/// Members that the others ask first.
const SEEDS: usize = 3;
/// The log is begun so long after the start, and again so long after a refusal.
const FOUND_AFTER: Duration = Duration::from_secs(2);
/// Workers have to open their sockets, and to answer at the end, within this.
const ANSWER: Duration = Duration::from_secs(30);
/// From equal views until rest: leases are given and what is left to say is said.
const BEFORE_REST: Duration = Duration::from_secs(4);
/// A change is waited for so long, ...
const CHANGE: Duration = Duration::from_secs(20);
/// ... and watched for a window from its proposal on.
const AFTER_CHANGE: Duration = Duration::from_secs(11);
/// A worker lives no longer than all phases and this.
const MARGIN: Duration = Duration::from_secs(60);
/// The revision that is proposed.
const REVISION: &str = "version = 1\nattempts = 2\n";

/// Runs a hollow fleet and reports what it measured.
pub fn run(options: &Options) -> Result<Report, Error> {
    options.check()?;
    Limits::of_machine().check(options)?;
    let load_before = load_average();
    let machine_lag = watch_machine();
    let mut run = Run::start(options)?;
    run.bind()?;
    run.start_members()?;
    run.settle()?;
    run.rest()?;
    run.change()?;
    let summaries = run.finish()?;
    Ok(run.report(&summaries, load_before, &machine_lag))
}

struct Run<'a> {
    options: &'a Options,
    workers: Workers,
    real: Option<RealSidecars>,
    /// The members of each worker, and where they are reached.
    places: Vec<Vec<usize>>,
    addresses: Vec<Vec<SocketAddrV4>>,
    statuses: Vec<Option<Status>>,
    started_at: Duration,
    views_equal_at: Option<Duration>,
    log: LogState,
    proposed: Option<Proposed>,
    rest_began: Duration,
    rest_ended: Duration,
    /// Reports of workers in rest, and those of them with one view.
    rest_statuses: (usize, usize),
    summaries: Vec<Option<WorkerSummary>>,
}

/// Whether the plan's log was begun.
#[derive(Debug, Clone, PartialEq, Eq)]
enum LogState {
    /// To be asked for then.
    Due(Duration),
    Asked,
    Begun(Duration),
}

impl<'a> Run<'a> {
    fn start(options: &'a Options) -> Result<Run<'a>, Error> {
        let count = options.processes;
        Ok(Run {
            options,
            workers: Workers::start(&options.worker, count)?,
            real: None,
            places: (0..count)
                .map(|worker| (worker..options.hollow_members()).step_by(count).collect())
                .collect(),
            addresses: vec![Vec::new(); count],
            statuses: vec![None; count],
            started_at: Duration::ZERO,
            views_equal_at: None,
            log: LogState::Due(Duration::MAX),
            proposed: None,
            rest_began: Duration::MAX,
            rest_ended: Duration::MAX,
            rest_statuses: (0, 0),
            summaries: vec![None; count],
        })
    }

    /// Has the workers open the members' sockets.
    fn bind(&mut self) -> Result<(), Error> {
        let lifetime = self.longest();
        for (worker, places) in self.places.clone().into_iter().enumerate() {
            let addresses = places.into_iter().map(address).collect();
            self.workers.send(worker, &Command::Bind { addresses, lifetime })?;
        }
        let bound = |run: &Run| run.addresses.iter().zip(&run.places).all(|(a, p)| a.len() == p.len());
        self.expect("opening sockets", ANSWER, bound)
    }

    /// The longest that a run may take.
    fn longest(&self) -> Duration {
        let Options { rest_seconds, settle_seconds, start_spread_seconds, .. } = self.options;
        let asked = Duration::from_secs(rest_seconds + settle_seconds);
        asked + Duration::from_secs_f64(*start_spread_seconds) + ANSWER * 2 + BEFORE_REST + CHANGE + MARGIN
    }

    fn start_members(&mut self) -> Result<(), Error> {
        let fleet = self.fleet_settings();
        if let Some(real) = &self.options.real {
            let places: Vec<usize> = (self.options.hollow_members()..self.options.members).collect();
            self.real = Some(RealSidecars::start(real, &places, self.options.zones, &fleet)?);
        }
        self.started_at = monotonic();
        self.log = LogState::Due(self.started_at + FOUND_AFTER);
        for (worker, places) in self.places.clone().into_iter().enumerate() {
            let members = places.into_iter().map(|place| self.member_settings(place)).collect();
            self.workers.send(worker, &Command::Start { fleet: fleet.clone(), members })?;
        }
        Ok(())
    }

    fn fleet_settings(&self) -> FleetSettings {
        let Options { members, voters, .. } = *self.options;
        let hollow = self.options.hollow_members();
        let address = |place: usize| self.addresses[place % self.places.len()][place / self.places.len()];
        // Seeds that vote too would be counted for both.
        let seeds = if hollow >= voters + SEEDS { voters..voters + SEEDS } else { 0..voters };
        FleetSettings {
            name: FLEET_NAME.to_owned(),
            members,
            seeds: seeds.map(address).collect(),
            voters: (0..voters).map(address).collect(),
        }
    }

    fn member_settings(&self, place: usize) -> MemberSettings {
        let mut random = fastrand::Rng::with_seed(self.options.seed.rotate_left(32) ^ place as u64);
        MemberSettings {
            index: place,
            zone: zone_name(place % self.options.zones),
            delay: Duration::from_secs_f64(random.f64() * self.options.start_spread_seconds),
            seed: random.u64(..),
        }
    }

    /// Waits until all views are equal and the log is begun, for as long as the options allow.
    fn settle(&mut self) -> Result<(), Error> {
        let until = self.started_at + Duration::from_secs(self.options.settle_seconds);
        self.wait(until, |run| run.views_equal_at.is_some() && matches!(run.log, LogState::Begun(_)))?;
        self.wait(monotonic() + BEFORE_REST, |_| false)
    }

    fn rest(&mut self) -> Result<(), Error> {
        self.rest_began = monotonic();
        self.workers.send_to_all(&Command::BeginRest)?;
        if let Some(real) = &mut self.real {
            real.begin_rest();
        }
        self.wait(self.rest_began + Duration::from_secs(self.options.rest_seconds), |_| false)?;
        self.rest_ended = monotonic();
        if let Some(real) = &mut self.real {
            real.end_rest();
        }
        self.workers.send_to_all(&Command::EndRest)
    }

    /// Proposes a revision and watches it come in force.
    fn change(&mut self) -> Result<(), Error> {
        let began = monotonic();
        if !matches!(self.log, LogState::Begun(_)) {
            return Ok(());
        }
        self.workers.send(0, &Command::Propose { text: REVISION.to_owned() })?;
        self.wait(began + CHANGE, |run| match &run.proposed {
            Some(Proposed { revision: Ok(revision), .. }) => run.is_in_force(*revision),
            Some(_) => true,
            None => false,
        })?;
        self.wait(began + AFTER_CHANGE, |_| false)
    }

    fn is_in_force(&self, revision: u32) -> bool {
        self.statuses.iter().flatten().all(|status| status.oldest_revision >= revision)
    }

    fn finish(&mut self) -> Result<Vec<WorkerSummary>, Error> {
        self.workers.send_to_all(&Command::Finish)?;
        self.expect("the workers' summaries", ANSWER, |run| run.summaries.iter().all(Option::is_some))?;
        Ok(self.summaries.iter_mut().filter_map(Option::take).collect())
    }

    /// Handles events until something holds; it must within this time.
    fn expect(
        &mut self,
        step: &'static str,
        time: Duration,
        holds: impl Fn(&Run) -> bool,
    ) -> Result<(), Error> {
        self.wait(monotonic() + time, &holds)?;
        if holds(self) { Ok(()) } else { Err(Error::Timeout { step, seconds: time.as_secs() }) }
    }

    /// Handles events until something holds, or until then.
    fn wait(&mut self, until: Duration, holds: impl Fn(&Run) -> bool) -> Result<(), Error> {
        while !holds(self) {
            let now = monotonic();
            if now >= until {
                break;
            }
            self.begin_log_if_due(now)?;
            let patience = (until - now).min(Duration::from_millis(100));
            if let Some((worker, event)) = self.workers.next_event(patience)? {
                self.handle(worker, event);
            }
        }
        Ok(())
    }

    fn begin_log_if_due(&mut self, now: Duration) -> Result<(), Error> {
        if matches!(self.log, LogState::Due(at) if now >= at) {
            self.log = LogState::Asked;
            self.workers.send(0, &Command::Found)?;
        }
        Ok(())
    }

    fn handle(&mut self, worker: usize, event: Event) {
        match event {
            Event::Bound { addresses } => self.addresses[worker] = addresses,
            Event::Status(status) => self.take_status(worker, status),
            Event::Founded { refused: None } => self.log = LogState::Begun(monotonic()),
            Event::Founded { refused: Some(_) } => self.log = LogState::Due(monotonic() + FOUND_AFTER),
            Event::Proposed(proposed) => self.proposed = Some(proposed),
            Event::Finished(summary) => self.summaries[worker] = Some(*summary),
            // Turned into an error where events are read.
            Event::Failed { .. } => {}
        }
    }

    fn take_status(&mut self, worker: usize, status: Status) {
        self.statuses[worker] = Some(status);
        if (self.rest_began..self.rest_ended).contains(&status.at) {
            self.rest_statuses.0 += 1;
            self.rest_statuses.1 += usize::from(status.view.is_some());
        }
        if self.views_equal_at.is_none() {
            self.views_equal_at = self.when_views_are_equal();
        }
    }

    /// When the last worker told of the view that all members share, if they do.
    fn when_views_are_equal(&self) -> Option<Duration> {
        let first = self.statuses.first().copied().flatten()?.view?;
        let shared = |status: &Option<Status>| status.is_some_and(|status| status.view == Some(first));
        let equal = first.size == self.options.members && self.statuses.iter().all(shared);
        let last = self.statuses.iter().flatten().map(|status| status.at).max();
        last.filter(|_| equal)
    }

    fn report(
        &self,
        workers: &[WorkerSummary],
        load_before: Option<f64>,
        machine_lag: &Receiver<Lateness>,
    ) -> Report {
        let Options { members, processes, zones, voters, seed, .. } = *self.options;
        let change = match &self.proposed {
            Some(proposed) => report::change(workers, proposed),
            None => ChangeReport::refused("the log was not begun, or there was no answer in time"),
        };
        let machine = self.machine_report(workers, load_before, machine_lag);
        let start = self.start_report(workers);
        let (told, equal) = self.rest_statuses;
        Report {
            members,
            processes,
            zones,
            voters,
            seed,
            method: METHOD.to_vec(),
            warnings: warnings(&machine, &start, &change, self.options.hollow_members()),
            real: self.real.as_ref().map(RealSidecars::report),
            machine,
            start,
            rest_seconds: round(self.rest_ended.saturating_sub(self.rest_began).as_secs_f64()),
            rest_views_equal: round(equal as f64 / told.max(1) as f64),
            change,
            roles: report::roles(workers),
            process_processor_ms_per_second: report::process_processor(workers),
            memory: report::memory(workers),
        }
    }

    fn machine_report(
        &self,
        workers: &[WorkerSummary],
        load_before: Option<f64>,
        machine_lag: &Receiver<Lateness>,
    ) -> MachineReport {
        let (rest, startup): (Vec<Lateness>, Vec<Lateness>) =
            machine_lag.try_iter().partition(|lateness| lateness.at >= self.rest_began);
        let micros = |all: Vec<Lateness>| all.into_iter().map(|lateness| lateness.micros);
        let of_workers = |lag: fn(&WorkerSummary) -> &Vec<u32>| {
            LagReport::of(workers.iter().flat_map(|worker| lag(worker).iter().copied()))
        };
        MachineReport {
            processors: std::thread::available_parallelism().map_or(0, usize::from),
            load_average: [load_before, load_average()],
            idle_lag_before_rest: LagReport::of(micros(startup)),
            idle_lag_from_rest: LagReport::of(micros(rest)),
            worker_lag_before_rest: of_workers(|worker| &worker.startup_lag),
            worker_lag_from_rest: of_workers(|worker| &worker.rest_lag),
        }
    }

    fn start_report(&self, workers: &[WorkerSummary]) -> StartReport {
        let since_start = |at: Duration| round(at.saturating_sub(self.started_at).as_secs_f64());
        StartReport {
            spread_seconds: self.options.start_spread_seconds,
            views_equal_seconds: self.views_equal_at.map(since_start),
            patience_seconds: self.options.settle_seconds,
            log_begun_seconds: match self.log {
                LogState::Begun(at) => Some(since_start(at)),
                _ => None,
            },
            until_rest_seconds: since_start(self.rest_began),
            kilobytes: report::startup_kilobytes(workers),
            kilobytes_by_kind: report::startup_kilobytes_by_kind(workers),
        }
    }
}

/// What makes figures of a run doubtful, one line each.
fn warnings(
    machine: &MachineReport,
    start: &StartReport,
    change: &ChangeReport,
    members: usize,
) -> Vec<String> {
    let mut warnings = Vec::new();
    if !machine.worker_lag_before_rest.times_count {
        warnings.push("timers were late before rest: times of the start don't count".to_owned());
    }
    if !machine.worker_lag_from_rest.times_count {
        warnings.push("timers were late from rest on: figures of time and rates don't count".to_owned());
    }
    if start.views_equal_seconds.is_none() {
        let patience = start.patience_seconds;
        warnings.push(format!("views were not equal within {patience} s: rest is not rest"));
    }
    if let Some(refused) = &change.refused {
        warnings.push(format!("the plan was not changed: {refused}"));
    } else if change.members < members {
        warnings.push(format!("the change came in force at {} of {members} hollow members", change.members));
    }
    warnings
}

/// A zone's name by its number.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// A member's own loopback address. A run has a block of its own, as several may go on side by side; ports are picked by
/// the system in any case.
pub fn address(place: usize) -> Ipv4Addr {
    const HOSTS: usize = 250;
    const BLOCKS: u32 = 60 * 200;
    let block = std::process::id().wrapping_mul(31) % BLOCKS;
    let (second, third) = (20 + block / 200, block % 200 + (place / HOSTS) as u32);
    Ipv4Addr::new(127, second as u8, third as u8, 1 + (place % HOSTS) as u8)
}
