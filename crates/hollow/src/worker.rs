//! A worker process: it runs its share of the members on one thread, samples them, and answers the coordinator.

use crate::clock::{monotonic, thread_processor_time};
use crate::error::Error;
use crate::lag::{Lateness, watch_runtime};
use crate::member::{Member, MemberPlan, Sockets, found, propose};
use crate::process_stats::{peak_memory, resident_memory};
use crate::protocol::{
    Command, Event, FleetSettings, MemberSettings, MemberSummary, Status, View, WorkerSummary,
};
use crate::summary::{Sample, Timeline};
use crate::traffic::{Role, Traffic};
use cometcroft_platform::{Platform, Tokio};
use std::cell::RefCell;
use std::io::{self, BufRead, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::exit;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

/// Members are sampled so often.
const SAMPLE: Duration = Duration::from_secs(1);
/// The coordinator is told how members stand so often.
const STATUS: Duration = Duration::from_millis(200);
/// A port that is free for datagrams may be taken for connections; another is tried so often.
const PORT_ATTEMPTS: usize = 100;
/// Exit code of a worker that outlived its bound.
const OUTLIVED: i32 = 3;

/// Runs a worker process: reads commands on standard input until it ends, and writes events to standard output.
pub fn work() -> Result<(), Error> {
    let (sender, commands) = unbounded_channel();
    std::thread::spawn(move || read_commands(&sender));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let worked = LocalSet::new().block_on(&runtime, Worker::default().run(commands));
    if let Err(reason) = worked {
        emit(&Event::Failed { reason: reason.to_string() });
        return Err(reason.into());
    }
    Ok(())
}

/// Hands commands to the runtime. The process ends with its standard input, so that no worker outlives its coordinator,
/// however busy its own thread is.
fn read_commands(commands: &UnboundedSender<Command>) {
    for line in io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        match serde_json::from_str::<Command>(&line) {
            Ok(command) => {
                if let Command::Bind { lifetime, .. } = &command {
                    bound_lifetime(*lifetime);
                }
                if commands.send(command).is_err() {
                    return;
                }
            }
            Err(error) => {
                emit(&Event::Failed { reason: format!("command: {error}") });
                break;
            }
        }
    }
    exit(0);
}

fn bound_lifetime(lifetime: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(lifetime);
        exit(OUTLIVED);
    });
}

fn emit(event: &Event) {
    let mut output = io::stdout().lock();
    // A coordinator that is gone has closed the standard input too, which ends this process.
    let _ = serde_json::to_writer(&mut output, event).map_err(io::Error::from);
    let _ = output.write_all(b"\n");
    let _ = output.flush();
}

/// A member with what was sampled of it.
struct Seat {
    member: Member,
    timeline: Timeline,
    rest_began: (Traffic, Duration),
    rest_ended: (Traffic, Duration),
}

impl Seat {
    /// A member that was started so long after the command.
    fn new(member: Member, at: Duration) -> Seat {
        let mut timeline = Timeline::default();
        timeline.push(at, Sample::default());
        Seat { member, timeline, rest_began: Default::default(), rest_ended: Default::default() }
    }

    fn reading(&self) -> (Traffic, Duration) {
        (self.member.meter().traffic(), self.member.meter().processor())
    }

    fn summary(&self) -> MemberSummary {
        let (began, ended) = (&self.rest_began, &self.rest_ended);
        MemberSummary {
            index: self.member.index(),
            roles: Vec::new(),
            startup: began.0,
            rest: ended.0.since(&began.0),
            rest_processor: ended.1.saturating_sub(began.1),
            worst_bytes: self.timeline.worst_bytes(),
            worst_processor: self.timeline.worst_processor(),
            in_force: self.member.in_force(),
        }
    }
}

type Seats = Rc<RefCell<Vec<Seat>>>;

/// The state of a worker.
#[derive(Default)]
struct Worker {
    sockets: Vec<Sockets>,
    seats: Seats,
    lag: Rc<RefCell<Vec<Lateness>>>,
    /// When rest began and ended, with the processor time of the thread.
    rest_began: (Duration, Duration),
    rest_ended: (Duration, Duration),
    /// Members' roles at the end of rest.
    roles: Vec<Vec<Role>>,
    memory_before: u64,
    memory_at_rest: u64,
}

impl Worker {
    async fn run(mut self, mut commands: UnboundedReceiver<Command>) -> io::Result<()> {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Bind { addresses, .. } => self.bind(&addresses).await?,
                Command::Start { fleet, members } => self.start(fleet, members),
                Command::Found => self.found(),
                Command::Propose { text } => self.propose(text),
                Command::BeginRest => self.begin_rest(),
                Command::EndRest => self.end_rest(),
                Command::Finish => {
                    emit(&Event::Finished(Box::new(self.summary())));
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn bind(&mut self, addresses: &[Ipv4Addr]) -> io::Result<()> {
        for address in addresses {
            self.sockets.push(bind(*address).await?);
        }
        let addresses = self.sockets.iter().map(|sockets| sockets.address).collect();
        emit(&Event::Bound { addresses });
        Ok(())
    }

    fn start(&mut self, fleet: FleetSettings, members: Vec<MemberSettings>) {
        self.memory_before = resident_memory();
        let expected = members.len();
        Tokio.detach(watch_runtime(self.lag.clone()));
        let began = monotonic();
        Tokio.detach(sample_members(self.seats.clone(), began));
        Tokio.detach(report_status(self.seats.clone(), expected));
        let fleet = Rc::new(fleet);
        for (sockets, settings) in self.sockets.drain(..).zip(members) {
            let (seats, fleet) = (self.seats.clone(), fleet.clone());
            Tokio.detach(async move {
                Tokio.sleep(settings.delay).await;
                match Member::start(sockets, &settings, &fleet) {
                    Ok(member) => {
                        let at = monotonic().saturating_sub(began);
                        seats.borrow_mut().push(Seat::new(member, at));
                    }
                    Err(reason) => emit(&Event::Failed { reason }),
                }
            });
        }
    }

    /// The plan of the member with the lowest place.
    fn first_plan(&self) -> Option<MemberPlan> {
        let seats = self.seats.borrow();
        seats.iter().min_by_key(|seat| seat.member.index()).and_then(|seat| seat.member.plan())
    }

    fn found(&self) {
        let plan = self.first_plan();
        Tokio.detach(async move {
            let refused = match plan {
                Some(plan) => found(plan).await.err(),
                None => Some("no member has started".to_owned()),
            };
            emit(&Event::Founded { refused });
        });
    }

    fn propose(&self, text: String) {
        let plan = self.first_plan();
        Tokio.detach(async move {
            let event = match plan {
                Some(plan) => Event::Proposed(propose(plan, text).await),
                None => Event::Failed { reason: "no member has started".to_owned() },
            };
            emit(&event);
        });
    }

    fn begin_rest(&mut self) {
        self.rest_began = (monotonic(), thread_processor_time());
        for seat in self.seats.borrow_mut().iter_mut() {
            seat.rest_began = seat.reading();
        }
    }

    fn end_rest(&mut self) {
        self.rest_ended = (monotonic(), thread_processor_time());
        self.memory_at_rest = resident_memory();
        for seat in self.seats.borrow_mut().iter_mut() {
            seat.rest_ended = seat.reading();
        }
        self.roles = self.seats.borrow().iter().map(|seat| seat.member.roles()).collect();
    }

    fn summary(&self) -> WorkerSummary {
        let seats = self.seats.borrow();
        let mut members: Vec<MemberSummary> = seats.iter().map(Seat::summary).collect();
        for (member, roles) in members.iter_mut().zip(&self.roles) {
            member.roles.clone_from(roles);
        }
        let lag = self.lag.borrow();
        let (rest, startup): (Vec<&Lateness>, Vec<&Lateness>) =
            lag.iter().partition(|lateness| lateness.at >= self.rest_began.0);
        let micros = |all: Vec<&Lateness>| all.iter().map(|lateness| lateness.micros).collect();
        WorkerSummary {
            members,
            rest: self.rest_ended.0.saturating_sub(self.rest_began.0),
            rest_processor: self.rest_ended.1.saturating_sub(self.rest_began.1),
            memory: [self.memory_before, self.memory_at_rest, peak_memory()],
            startup_lag: micros(startup),
            rest_lag: micros(rest),
        }
    }
}

/// Opens a member's two sockets on one port that the system picks.
async fn bind(address: Ipv4Addr) -> io::Result<Sockets> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_ATTEMPTS {
        let datagrams = UdpSocket::bind((address, 0)).await?;
        let SocketAddr::V4(at) = datagrams.local_addr()? else { continue };
        match TcpListener::bind(at).await {
            Ok(listener) => return Ok(Sockets::new(datagrams, listener, at)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn sample_members(seats: Seats, began: Duration) {
    loop {
        Tokio.sleep(SAMPLE).await;
        let at = monotonic().saturating_sub(began);
        for seat in seats.borrow_mut().iter_mut() {
            let sample = Sample::of(seat.member.meter());
            seat.timeline.push(at, sample);
        }
    }
}

async fn report_status(seats: Seats, expected: usize) {
    loop {
        Tokio.sleep(STATUS).await;
        let status = status(&seats.borrow(), expected);
        emit(&Event::Status(status));
    }
}

fn status(seats: &[Seat], expected: usize) -> Status {
    let mut views = seats.iter().map(|seat| seat.member.view());
    let first = views.next().filter(|_| seats.len() == expected);
    let view: Option<View> = first.filter(|first| views.all(|view| view == *first));
    let oldest_revision = seats.iter().map(|seat| seat.member.revision()).min().unwrap_or(0);
    Status { at: monotonic(), view, oldest_revision }
}
