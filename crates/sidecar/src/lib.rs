//! One sidecar round the decision module. Modules follow the stages of a request: [`frontend`], [`requests`],
//! [`attempt`], [`exchange`], [`pool`]; beside it run [`discovery`], which fills the [`directory`], and [`probe`].
//! Sockets, clock and tasks come from a [`Platform`](cometcroft_platform::Platform).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod accord;
pub mod attempt;
pub mod classes;
pub mod config;
pub mod counters;
pub mod dial;
pub mod directory;
pub mod discovery;
pub mod door;
pub mod endpoint_list;
pub mod exchange;
pub mod figures;
pub mod fleet;
mod force;
pub mod freshness;
pub mod frontend;
pub mod http;
pub mod lifecycle;
pub mod logging;
pub mod notices;
pub mod operator;
pub mod pool;
pub mod probe;
pub mod purse;
pub mod requests;
pub mod retune;
pub mod sockets;
pub mod start_clock;
pub mod upload;
pub mod words;

use crate::attempt::PooledTransport;
use crate::classes::ClassRegistry;
use crate::config::Config;
use crate::counters::Counters;
use crate::directory::Directory;
use crate::door::Door;
use crate::endpoint_list::EndpointList;
use crate::exchange::Exchanger;
use crate::fleet::{Fleet, FleetParts};
use crate::force::Force;
use crate::frontend::{Frontend, HttpTransport};
use crate::lifecycle::{Life, Machine};
use crate::pool::ConnectionPool;
use crate::requests::RequestDriver;
use crate::retune::Control;
use cometcroft::{Event, ListScope};
use cometcroft_platform::{Platform, Task};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The module's clock at the start: late enough that what started an hour ago has a time on it.
const ORIGIN: Duration = Duration::from_secs(3600);
/// Descriptors kept for the listener, discovery, the runtime and standard streams.
const RESERVE: usize = 48;

/// How many sidecars are at work reaches the module so often at most.
const RECOUNT: Duration = Duration::from_millis(250);

/// Waits until another number of sidecars is at work, or its parts have changed; for ever where there is no fleet.
async fn recounted<P: Platform>(fleet: &Option<Rc<Fleet<P>>>) {
    match fleet {
        Some(fleet) => fleet.recounted().await,
        None => std::future::pending().await,
    }
}

/// What a sidecar is given by whoever starts it.
pub struct Parts<P: Platform> {
    /// Where clients connect.
    pub listener: P::Listener,
    /// Where operators call, if anywhere.
    pub ops: Option<P::Listener>,
    /// Tells it of new configurations, and where discovery is.
    pub control: Rc<Control>,
    /// Tells it when to leave.
    pub life: Rc<Life<P>>,
    /// What it counts.
    pub counters: Rc<Counters>,
    /// Its part in a fleet, if it has one.
    pub fleet: Option<FleetParts<P>>,
}

/// Runs a sidecar until it is told to leave and all is answered.
pub async fn run<P: Platform>(platform: P, config: Config, parts: Parts<P>) -> io::Result<()> {
    run_with(platform, config, parts, |carrier| carrier).await
}

/// The same with the carrier that `wrap` makes of the sidecar's own, as tests do that spoil what it does.
pub async fn run_with<P: Platform, C: HttpTransport<Platform = P>>(
    platform: P,
    mut config: Config,
    parts: Parts<P>,
    wrap: impl FnOnce(PooledTransport<P>) -> C,
) -> io::Result<()> {
    let Parts { listener, ops, control, life, counters, fleet } = parts;
    // Danger: where the listener is inherited a second process may run beside this one, and both count as one.
    let sockets = if config.socket.is_some() { config.sockets / 2 } else { config.sockets };
    let reserve = RESERVE.min(sockets / 3);
    let connections = sockets.saturating_sub(reserve);
    let (to_clients, to_backends) = (connections * 11 / 20, connections * 9 / 20);
    let (idle, dial) = (config.net.idle, config.net.connect_timeout);
    let (instances, seed) = (config.settings.instances, config.seed);
    let member = fleet.map(|parts| Fleet::new(platform.clone(), parts, instances, seed.rotate_left(32)));
    let (fleet, meets) = member.unzip();
    let pool =
        ConnectionPool::new(platform.clone(), to_backends, [idle, dial], counters.clone(), fleet.clone());
    let directory = Rc::new(Directory::new(config.net.zones.clone(), ORIGIN, platform.unix()));
    let exchanger =
        Exchanger { pool: pool.clone(), directory: directory.clone(), counters: counters.clone() };
    let fields = Rc::new(RefCell::new(config.fields.into()));
    let carrier = wrap(PooledTransport { exchanger, fields: fields.clone(), fleet: fleet.clone() });
    let register = ClassRegistry::new(&config.net.classes, &config.settings.classes);
    let said = fleet.as_ref().map(|_| (config.settings.clone(), config.net.clone()));
    let host = RequestDriver::new(carrier, config.settings, seed, ORIGIN, counters.clone())
        .map_err(io::Error::other)?;
    counters.figures.name(&config.net.classes);
    host.handle_event(Event::Start);
    let known = EndpointList::from_value(&std::mem::take(&mut config.known)).ok();
    let known = known.and_then(|list| directory.take(list, None).news());
    // Danger: beside a predecessor the list as last held is not good enough to serve by, and a watch would wait.
    let index = known.as_ref().map(|known| known.index).filter(|_| config.socket.is_none());
    if let Some(known) = known {
        host.handle_event(Event::EndpointList { scope: ListScope::Restored, entries: known.entries });
    }
    life.tell(|machine, _| machine.listed(!directory.is_empty(), false));
    // Another stream of numbers than the module's, from the same seed.
    let watch = discovery::watch(
        host.clone(),
        directory.clone(),
        control.source.clone(),
        life.clone(),
        index,
        !seed,
        fleet.clone(),
    );
    let watch = platform.spawn(watch);
    let (sweeper, swept) = (platform.clone(), pool.clone());
    let sweep = platform.spawn(async move {
        loop {
            sweeper.sleep(Duration::from_millis(250)).await;
            swept.sweep();
        }
    });
    let members = fleet.as_ref().zip(meets).map(|(fleet, listener)| {
        let task = platform.spawn(fleet.clone().run(listener));
        let (leaver, told) = (fleet.clone(), life.clone());
        let leave = platform.spawn(async move {
            told.begun().await;
            leaver.leave();
        });
        [task, leave]
    });
    let door = ops.map(|ops| {
        let door = Door::new(
            host.clone(),
            directory.clone(),
            life.clone(),
            counters.clone(),
            (fleet.clone(), reserve / 3),
        );
        platform.spawn(door.run(ops))
    });
    let frontend = Frontend::new(
        host.clone(),
        register,
        config.net.tenants,
        life.clone(),
        counters,
        [to_clients, reserve / 6, config.memory / 4],
        fleet.clone(),
    );
    let force = Force {
        frontend: frontend.clone(),
        host: host.clone(),
        directory: directory.clone(),
        pool,
        life: life.clone(),
        fields,
        fleet: fleet.clone(),
        said: RefCell::new(said),
    };
    let accord = fleet.as_ref().and_then(|fleet| fleet.accord());
    if let Some(accord) = accord {
        let (judging, asked) = (accord.clone(), life.clone());
        directory.judge_by(Box::new(move |name, zone, group| judging.verdict(name, zone, group)));
        accord.ready_by(move || asked.ask(Machine::wanted));
    }
    let tuner = platform.clone();
    let tune = platform.spawn(async move {
        loop {
            tokio::select! {
                biased;
                config = control.next() => force.file(config),
                () = recounted(&force.fleet) => {
                    force.fleet();
                    // Danger: hundreds that join in a second would have the module take new settings for each.
                    tuner.sleep(RECOUNT).await;
                }
            }
        }
    });
    if let Some(accord) = accord {
        accord.first().await;
    }
    frontend.run(listener).await;
    tune.abort();
    for task in members.into_iter().flatten() {
        task.abort();
    }
    if let Some(door) = door {
        door.abort();
    }
    watch.abort();
    sweep.abort();
    Ok(())
}
