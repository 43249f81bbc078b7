//! What a run has measured.

use crate::protocol::{MemberSummary, Proposed, WorkerSummary};
use crate::spread::{Spread, round};
use crate::traffic::{Directions, Kind, Role, Traffic};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Timers that are later than this at the 99th percentile make figures of time worthless.
pub const MAX_LAG_MS: f64 = 100.0;
const KIB: f64 = 1024.0;

/// What a run has measured.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Members of the fleet.
    pub members: usize,
    /// Worker processes.
    pub processes: usize,
    /// Zones.
    pub zones: usize,
    /// Voters.
    pub voters: usize,
    /// The seed.
    pub seed: u64,
    /// How the figures were taken.
    pub method: Vec<&'static str>,
    /// What makes figures of this run doubtful.
    pub warnings: Vec<String>,
    /// The machine.
    pub machine: MachineReport,
    /// From the start of the members until rest.
    pub start: StartReport,
    /// Seconds of rest that were measured.
    pub rest_seconds: f64,
    /// Of the reports of workers in rest, the share in which all their members had one view.
    pub rest_views_equal: f64,
    /// A change of the plan after rest.
    pub change: ChangeReport,
    /// Processes of the real program among the members, if any.
    pub real: Option<RealReport>,
    /// Members without a role, and those with each role; one with several is in each.
    pub roles: BTreeMap<String, RoleReport>,
    /// Milliseconds of processor time a second and member, with everything round the members, over processes.
    pub process_processor_ms_per_second: Option<Spread>,
    /// Memory a member, over processes.
    pub memory: MemoryReport,
}

/// Processes of the real program among the members: each also has a data plane without clients.
#[derive(Debug, Clone, Serialize)]
pub struct RealReport {
    /// How many ran all through rest.
    pub processes: usize,
    /// Those that had ended before rest did.
    pub ended: usize,
    /// Milliseconds of processor time a second in rest.
    pub processor_ms_per_second: Option<Spread>,
    /// Kilobytes (1024) resident at the end of rest.
    pub kilobytes: Option<Spread>,
}

/// The machine on which it ran.
#[derive(Debug, Clone, Serialize)]
pub struct MachineReport {
    /// Processors that the run might use.
    pub processors: usize,
    /// The load average of a minute, before and after.
    pub load_average: [Option<f64>; 2],
    /// How late an idle thread's timer was, before rest and from then on.
    pub idle_lag_before_rest: LagReport,
    /// From rest on.
    pub idle_lag_from_rest: LagReport,
    /// How late a timer of the workers' runtimes was, before rest.
    pub worker_lag_before_rest: LagReport,
    /// From rest on.
    pub worker_lag_from_rest: LagReport,
}

/// How late timers were.
#[derive(Debug, Clone, Serialize)]
pub struct LagReport {
    /// In milliseconds.
    pub milliseconds: Option<Spread>,
    /// Whether figures of time count beside this lag.
    pub times_count: bool,
}

impl LagReport {
    /// The lag of these timers, in microseconds.
    pub fn of(micros: impl IntoIterator<Item = u32>) -> LagReport {
        let milliseconds = Spread::of(micros.into_iter().map(|micros| f64::from(micros) / 1000.0));
        let times_count = milliseconds.is_some_and(|spread| spread.p99 <= MAX_LAG_MS);
        LagReport { milliseconds, times_count }
    }
}

/// From the start of the members until rest.
#[derive(Debug, Clone, Serialize)]
pub struct StartReport {
    /// Members started at random moments within so many seconds.
    pub spread_seconds: f64,
    /// Until all views were equal and whole, to 0.2 s; nothing if they did not become so in time.
    pub views_equal_seconds: Option<f64>,
    /// So long it was waited for.
    pub patience_seconds: u64,
    /// Until the plan's log was begun; nothing if it was not.
    pub log_begun_seconds: Option<f64>,
    /// Until rest began.
    pub until_rest_seconds: f64,
    /// Kilobytes (1024) of a member until rest, both ways.
    pub kilobytes: Option<Spread>,
    /// The same by kind of message.
    pub kilobytes_by_kind: BTreeMap<&'static str, Option<Spread>>,
}

/// A change of the plan after rest.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ChangeReport {
    /// How often it was handed in until the answer was known.
    pub attempts: u32,
    /// Members at which it came in force while it was waited for.
    pub members: usize,
    /// Seconds until it was in force at a member, over members.
    pub in_force_seconds: Option<Spread>,
    /// Why it was not made, if so.
    pub refused: Option<String>,
}

impl ChangeReport {
    /// A change that was not made.
    pub fn refused(reason: &str) -> ChangeReport {
        ChangeReport { refused: Some(reason.to_owned()), ..ChangeReport::default() }
    }
}

/// Members of one role.
#[derive(Debug, Clone, Serialize)]
pub struct RoleReport {
    /// How many.
    pub members: usize,
    /// In rest: bytes a second, both ways.
    pub bytes_per_second: Option<Spread>,
    /// In rest: milliseconds of processor time a second in the member's own tasks.
    pub processor_ms_per_second: Option<Spread>,
    /// In rest, by kind of message.
    pub kinds: BTreeMap<&'static str, KindReport>,
    /// The worst 10 s of the whole run.
    pub worst_window: WindowReport,
}

/// Messages of one kind in rest, a second and member.
#[derive(Debug, Clone, Serialize)]
pub struct KindReport {
    /// Bytes that came in.
    pub bytes_received: Option<Spread>,
    /// Bytes that went out.
    pub bytes_sent: Option<Spread>,
    /// Messages that came in.
    pub messages_received: Option<Spread>,
    /// Messages that went out.
    pub messages_sent: Option<Spread>,
}

/// The worst 10 s of members, each its own.
#[derive(Debug, Clone, Serialize)]
pub struct WindowReport {
    /// Bytes a second, both ways.
    pub bytes_per_second: Option<Spread>,
    /// Seconds from the start until that window began.
    pub bytes_began_seconds: Option<Spread>,
    /// Milliseconds of processor time a second.
    pub processor_ms_per_second: Option<Spread>,
}

/// Resident memory of processes, divided by their members.
#[derive(Debug, Clone, Serialize)]
pub struct MemoryReport {
    /// Kilobytes (1024) a member at the end of rest, beyond the process without members.
    pub kilobytes_per_member: Option<Spread>,
    /// The same by the most that a process ever had.
    pub peak_kilobytes_per_member: Option<Spread>,
    /// Kilobytes of a process without members.
    pub process_kilobytes: Option<Spread>,
}

/// How the figures were taken.
pub const METHOD: [&str; 5] = [
    "hollow members on real loopback sockets, many in one process; the machine is shared with other work",
    "processor time of a member: the thread's clock round each poll of its tasks; of a process: its thread's clock in \
     rest, divided by members, so with the runtime, the sampling and the reports",
    "bytes without headers of IP, UDP and TCP; on a connection each direction counts as one message",
    "memory: resident bytes of a process at the end of rest less those before its members were built, divided by members",
    "spreads are over members (processes, timers), nearest rank; the worst window is each member's own worst 10 s",
];

/// The members of each role.
pub fn roles(workers: &[WorkerSummary]) -> BTreeMap<String, RoleReport> {
    let members =
        || workers.iter().flat_map(|worker| worker.members.iter().map(|member| (member, worker.rest)));
    let with = |role: Role| members().filter(|(member, _)| member.roles.contains(&role)).collect();
    let plain: Vec<(&MemberSummary, Duration)> =
        members().filter(|(member, _)| member.roles.is_empty()).collect();
    [
        ("member", plain),
        ("voter", with(Role::Voter)),
        ("leader", with(Role::Leader)),
        ("allocator", with(Role::Allocator)),
    ]
    .into_iter()
    .filter(|(_, members)| !members.is_empty())
    .map(|(name, members)| (name.to_owned(), role(&members)))
    .collect()
}

fn role(members: &[(&MemberSummary, Duration)]) -> RoleReport {
    let rate = |figure: &dyn Fn(&MemberSummary) -> f64| {
        Spread::of(members.iter().map(|(member, rest)| figure(member) / rest.as_secs_f64().max(0.001)))
    };
    let kinds = Kind::ALL.map(|kind| {
        let flow = |figure: fn(&Directions) -> u64| rate(&|member| figure(&member.rest.of(kind)) as f64);
        let report = KindReport {
            bytes_received: flow(|flow| flow.received.bytes),
            bytes_sent: flow(|flow| flow.sent.bytes),
            messages_received: flow(|flow| flow.received.messages),
            messages_sent: flow(|flow| flow.sent.messages),
        };
        (kind.name(), report)
    });
    RoleReport {
        members: members.len(),
        bytes_per_second: rate(&|member| member.rest.bytes() as f64),
        processor_ms_per_second: rate(&|member| member.rest_processor.as_secs_f64() * 1000.0),
        kinds: kinds.into_iter().collect(),
        worst_window: worst_window(members),
    }
}

fn worst_window(members: &[(&MemberSummary, Duration)]) -> WindowReport {
    let over =
        |figure: fn(&MemberSummary) -> f64| Spread::of(members.iter().map(|(member, _)| figure(member)));
    WindowReport {
        bytes_per_second: over(|member| member.worst_bytes.rate),
        bytes_began_seconds: over(|member| member.worst_bytes.began),
        processor_ms_per_second: over(|member| member.worst_processor.rate),
    }
}

/// Processor time a second and member by the clocks of the processes' threads.
pub fn process_processor(workers: &[WorkerSummary]) -> Option<Spread> {
    Spread::of(workers.iter().map(|worker| {
        let seconds = worker.rest.as_secs_f64().max(0.001) * worker.members.len().max(1) as f64;
        worker.rest_processor.as_secs_f64() * 1000.0 / seconds
    }))
}

/// Memory a member.
pub fn memory(workers: &[WorkerSummary]) -> MemoryReport {
    let per_member = |bytes: fn(&[u64; 3]) -> u64| {
        Spread::of(
            workers
                .iter()
                .map(|worker| bytes(&worker.memory) as f64 / KIB / worker.members.len().max(1) as f64),
        )
    };
    MemoryReport {
        kilobytes_per_member: per_member(|[before, rest, _]| rest.saturating_sub(*before)),
        peak_kilobytes_per_member: per_member(|[before, _, peak]| peak.saturating_sub(*before)),
        process_kilobytes: Spread::of(workers.iter().map(|worker| worker.memory[0] as f64 / KIB)),
    }
}

/// Kilobytes of a member until rest.
pub fn startup_kilobytes(workers: &[WorkerSummary]) -> Option<Spread> {
    startup(workers, |traffic| traffic.bytes())
}

/// The same by kind of message.
pub fn startup_kilobytes_by_kind(workers: &[WorkerSummary]) -> BTreeMap<&'static str, Option<Spread>> {
    let bytes = |traffic: &Traffic, kind| {
        let Directions { received, sent } = traffic.of(kind);
        received.bytes + sent.bytes
    };
    Kind::ALL.map(|kind| (kind.name(), startup(workers, |traffic| bytes(traffic, kind)))).into()
}

fn startup(workers: &[WorkerSummary], bytes: impl Fn(&Traffic) -> u64) -> Option<Spread> {
    let members = workers.iter().flat_map(|worker| &worker.members);
    Spread::of(members.map(|member| bytes(&member.startup) as f64 / KIB))
}

/// How soon a revision that was proposed then came in force.
pub fn change(workers: &[WorkerSummary], proposed: &Proposed) -> ChangeReport {
    let revision = match &proposed.revision {
        Ok(revision) => *revision,
        Err(reason) => {
            return ChangeReport { attempts: proposed.attempts, ..ChangeReport::refused(reason) };
        }
    };
    let members = workers.iter().flat_map(|worker| &worker.members);
    let times: Vec<f64> = members
        .filter_map(|member| member.in_force)
        .filter(|(in_force, _)| *in_force >= revision)
        .map(|(_, at)| round(at.saturating_sub(proposed.at).as_secs_f64()))
        .collect();
    ChangeReport {
        attempts: proposed.attempts,
        members: times.len(),
        in_force_seconds: Spread::of(times),
        refused: None,
    }
}
