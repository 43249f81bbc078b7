//! One run: stand-ins on an event loop each, sidecar processes, the scenario, the verdict.

use crate::calls::CallCounts;
use crate::discovery::{self, Discovery, MoveRequest};
use crate::endpoints;
use crate::error::Error;
use crate::event_loop::{self, EventLoop};
use crate::ids::{Clock, SidecarId};
use crate::judge::Rules;
use crate::load::Load;
use crate::planner::{Deliveries, Planner};
use crate::processes::{Addresses, Plan, Sidecars};
use crate::queue::Queue;
use crate::report::Report;
use crate::scenario::{self, Runner, Timed};
use crate::stalls::Stalls;
use crate::world::World;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Separates the seeds of the parts of a run.
const SEED_FACTOR: u64 = 0xd134_2543_de82_ef95;
const SIDECARS_PART: u64 = 1;
const EVENTS_PART: u64 = 2;
const RUNNER_PART: u64 = 3;
const PLANNER_PART: u64 = 1000;
pub(crate) const CLIENTS_PART: u64 = 2000;

/// The options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The sidecar's program.
    pub program: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Sidecar processes.
    pub sidecars: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Length of the load.
    pub length: Duration,
    /// The grace in the settings.
    pub grace: Duration,
    /// Requests a second at each sidecar.
    pub rate: f64,
    /// Sidecars may probe endpoints.
    pub probes: bool,
    /// How answers are written once all sidecars are ready.
    pub deliveries: Deliveries,
    /// What happens to endpoints and discovery; drawn by the seed if not given.
    pub events: Option<Vec<Timed>>,
    /// One request is sent late on purpose, which the judge must find.
    pub inject_late_send: bool,
}

/// Runs it to its end.
pub fn run(options: &Options) -> Result<Report, Error> {
    let addresses = Addresses::pick();
    let rules = Rules::with_grace(options.grace);
    let (stop, stopped) = watch::channel(());
    let runtime = event_loop::runtime()?;
    let listeners = bind_endpoints(&runtime, &addresses, options.endpoints)?;
    let endpoints = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
    let world = Arc::new(World::new(rules, options.sidecars, &endpoints));
    let endpoint_loop = start_endpoints(runtime, world.clone(), listeners, stopped.clone());

    let runtime = event_loop::runtime()?;
    let listeners = bind_discovery(&runtime, &addresses, options.sidecars)?;
    let discoveries = listeners.iter().map(discovery::addresses).collect::<io::Result<Vec<_>>>()?;
    let counts = Arc::new(CallCounts::default());
    let (movers, moves) = channel();
    let servers = discovery_servers(options, &world, &counts, &movers);
    let servers = servers.into_iter().zip(listeners).collect();
    let discovery_loop = start_discovery(runtime, world.clock, servers, stopped);

    let mut sidecars = start_sidecars(options, &addresses, &discoveries)?;
    world.begin_deliveries();
    let load = Load { options: options.clone(), sidecars: sidecars.addresses(), endpoints, rules };
    let load_loop = load.start(world.clone())?;
    let moves = play(options, &world, &mut sidecars, &moves)?;
    let stalls = Stalls {
        endpoints: endpoint_loop.longest_stall(),
        discovery: discovery_loop.longest_stall(),
        clients: load_loop.longest_stall(),
    };
    let (outcomes, injected) = load_loop.join()?;
    let (counters, ended) = (sidecars.counters(), sidecars.ended());
    drop(sidecars);
    // The event loops hear that the sender is gone.
    drop(stop);
    endpoint_loop.join()?;
    discovery_loop.join()?;

    let (answers, call_records) = (world.answers().clone(), world.calls().clone());
    let judge = world.judge();
    Ok(Report {
        seed: options.seed,
        sidecars: options.sidecars,
        endpoints: options.endpoints,
        length: options.length,
        grace: options.grace,
        verdict: judge.verdict(),
        attempts: judge.arrivals(),
        outcomes,
        calls: counts.totals(),
        moves,
        call_records,
        answers,
        counters,
        ended,
        stalls,
        injected,
    })
}

fn bind_endpoints(runtime: &Runtime, addresses: &Addresses, count: usize) -> io::Result<Vec<TcpListener>> {
    let _entered = runtime.enter();
    endpoints::listen(addresses.endpoints, count)
}

fn bind_discovery(
    runtime: &Runtime,
    addresses: &Addresses,
    sidecars: usize,
) -> io::Result<Vec<[TcpListener; 2]>> {
    let _entered = runtime.enter();
    (0..sidecars).map(|_| discovery::listen(addresses.discovery)).collect()
}

fn discovery_servers(
    options: &Options,
    world: &Arc<World>,
    counts: &Arc<CallCounts>,
    movers: &Sender<MoveRequest>,
) -> Vec<Arc<Discovery>> {
    let queue = Arc::new(Queue::default());
    let server = |place: usize| {
        let planner = Planner::new(part_seed(options.seed, PLANNER_PART + place as u64), &options.deliveries);
        let (world, queue, counts) = (world.clone(), queue.clone(), counts.clone());
        Discovery::new(world, SidecarId(place), queue, counts, planner, movers.clone())
    };
    (0..options.sidecars).map(server).collect()
}

fn start_sidecars(
    options: &Options,
    addresses: &Addresses,
    discoveries: &[[SocketAddr; 2]],
) -> Result<Sidecars, Error> {
    Sidecars::start(&Plan {
        program: &options.program,
        ip: addresses.sidecars,
        discoveries,
        grace: options.grace,
        probes: options.probes,
        seed: part_seed(options.seed, SIDECARS_PART),
    })
}

/// The seed of one part of a run.
pub(crate) fn part_seed(seed: u64, part: u64) -> u64 {
    (seed ^ part.wrapping_mul(SEED_FACTOR)).wrapping_mul(SEED_FACTOR)
}

fn start_endpoints(
    runtime: Runtime,
    world: Arc<World>,
    listeners: Vec<TcpListener>,
    mut stopped: watch::Receiver<()>,
) -> EventLoop<()> {
    EventLoop::start(runtime, world.clock, move || async move {
        tokio::select! {
            () = endpoints::serve(world, listeners) => {}
            _ = stopped.changed() => {}
        }
    })
}

fn start_discovery(
    runtime: Runtime,
    clock: Clock,
    servers: Vec<(Arc<Discovery>, [TcpListener; 2])>,
    mut stopped: watch::Receiver<()>,
) -> EventLoop<()> {
    EventLoop::start(runtime, clock, move || async move {
        for (server, [one, other]) in servers {
            tokio::spawn(server.clone().accept(one));
            tokio::spawn(server.accept(other));
        }
        let _ = stopped.changed().await;
    })
}

/// Plays the scenario and moves sidecars when deliveries ask for it; tells how many moves there were.
fn play(
    options: &Options,
    world: &World,
    sidecars: &mut Sidecars,
    moves: &Receiver<MoveRequest>,
) -> Result<u64, Error> {
    let drawn = || scenario::draw(part_seed(options.seed, EVENTS_PART), options.length);
    let events = options.events.clone().unwrap_or_else(drawn);
    let mut runner = Runner::new(world, part_seed(options.seed, RUNNER_PART));
    let began = world.clock.now();
    let mut moved = 0;
    let mut move_until = |due: Duration, sidecars: &mut Sidecars| -> Result<(), Error> {
        loop {
            match moves.recv_timeout((began + due).saturating_sub(world.clock.now())) {
                Ok(MoveRequest(sidecar)) => {
                    sidecars.move_discovery(sidecar)?;
                    moved += 1;
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    };
    for Timed { at, event } in events.into_iter().filter(|timed| timed.at < options.length) {
        move_until(at, sidecars)?;
        runner.apply(event);
    }
    move_until(options.length, sidecars)?;
    runner.finish();
    Ok(moved)
}
