//! One sidecar round the decision module. Modules follow the stages of a request: [`frontend`], [`requests`],
//! [`attempt`], [`exchange`], [`pool`]; beside it run [`discovery`], which fills the [`endpoint_table`], and [`probe`].
//! Sockets, clock and tasks come from a [`Platform`](cometcroft_platform::Platform).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod active_settings;
pub mod attempt;
pub mod budget_driver;
pub mod classes;
pub mod config;
pub mod counters;
pub mod dial;
pub mod discovery;
pub mod discovery_connections;
pub mod endpoint_list;
pub mod endpoint_table;
pub mod exchange;
pub mod fleet;
pub mod freshness;
pub mod frontend;
pub mod http;
pub mod lifecycle;
pub mod logging;
pub mod operator_file;
pub mod ops;
pub mod ops_commands;
pub mod plan_driver;
pub mod pool;
pub mod probe;
pub mod reload;
pub mod request_stats;
pub mod requests;
pub mod sockets;
pub mod start_clock;
pub mod upload;

use crate::active_settings::ActiveSettings;
use crate::attempt::PooledTransport;
use crate::classes::ClassRegistry;
use crate::config::Config;
use crate::counters::Counters;
use crate::endpoint_list::EndpointList;
use crate::endpoint_table::EndpointTable;
use crate::exchange::Exchanger;
use crate::fleet::{Fleet, FleetParts};
use crate::frontend::{Frontend, HttpTransport};
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::ops::OpsEndpoint;
use crate::pool::ConnectionPool;
use crate::reload::ConfigReloader;
use crate::requests::RequestDriver;
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
        Some(fleet) => fleet.changed().await,
        None => std::future::pending().await,
    }
}

/// What a sidecar is given by whoever starts it.
pub struct Resources<P: Platform> {
    /// Where clients connect.
    pub listener: P::Listener,
    /// Where operators call, if anywhere.
    pub ops: Option<P::Listener>,
    /// Tells it of new configurations, and where discovery is.
    pub reloader: Rc<ConfigReloader>,
    /// Tells it when to leave.
    pub lifecycle: Rc<Lifecycle<P>>,
    /// What it counts.
    pub counters: Rc<Counters>,
    /// Its part in a fleet, if it has one.
    pub fleet: Option<FleetParts<P>>,
}

/// Runs a sidecar until it is told to leave and all is answered.
pub async fn run<P: Platform>(platform: P, config: Config, parts: Resources<P>) -> io::Result<()> {
    run_with(platform, config, parts, |carrier| carrier).await
}

/// The same with the carrier that `wrap` makes of the sidecar's own, as tests do that spoil what it does.
pub async fn run_with<P: Platform, C: HttpTransport<Platform = P>>(
    platform: P,
    mut config: Config,
    parts: Resources<P>,
    wrap: impl FnOnce(PooledTransport<P>) -> C,
) -> io::Result<()> {
    let Resources { listener, ops, reloader, lifecycle, counters, fleet } = parts;
    // Danger: where the listener is inherited a second process may run beside this one, and both count as one.
    let sockets = if config.inherited_socket.is_some() { config.max_sockets / 2 } else { config.max_sockets };
    let reserve = RESERVE.min(sockets / 3);
    let connections = sockets.saturating_sub(reserve);
    let (to_clients, to_backends) = (connections * 11 / 20, connections * 9 / 20);
    let (idle, dial) = (config.network.idle_timeout, config.network.connect_timeout);
    let (instances, seed) = (config.settings.instances, config.seed);
    let member = fleet.map(|parts| Fleet::new(platform.clone(), parts, instances, seed.rotate_left(32)));
    let (fleet, meets) = member.unzip();
    let pool =
        ConnectionPool::new(platform.clone(), to_backends, [idle, dial], counters.clone(), fleet.clone());
    let endpoints = Rc::new(EndpointTable::new(config.network.zones.clone(), ORIGIN, platform.unix()));
    let exchanger =
        Exchanger { pool: pool.clone(), endpoints: endpoints.clone(), counters: counters.clone() };
    let fields = Rc::new(RefCell::new(config.load_report_fields.into()));
    let carrier = wrap(PooledTransport { exchanger, fields: fields.clone(), fleet: fleet.clone() });
    let register = ClassRegistry::new(&config.network.classes, &config.settings.classes);
    let file_settings = fleet.as_ref().map(|_| (config.settings.clone(), config.network.clone()));
    let host = RequestDriver::new(carrier, config.settings, seed, ORIGIN, counters.clone())
        .map_err(io::Error::other)?;
    counters.request_stats.set_class_names(&config.network.classes);
    host.handle_event(Event::Start);
    let known = EndpointList::from_value(&std::mem::take(&mut config.known_endpoints)).ok();
    let known = known.and_then(|list| endpoints.apply(list, None).update());
    // Danger: beside a predecessor the list as last held is not good enough to serve by, and a watch would wait.
    let index = known.as_ref().map(|known| known.version).filter(|_| config.inherited_socket.is_none());
    if let Some(known) = known {
        host.handle_event(Event::EndpointList { scope: ListScope::Restored, entries: known.entries });
    }
    lifecycle.update(|state, _| state.record_list(!endpoints.is_empty(), false));
    // Another stream of numbers than the module's, from the same seed.
    let watch = discovery::watch(
        host.clone(),
        endpoints.clone(),
        reloader.discovery_source.clone(),
        lifecycle.clone(),
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
        let (leaver, told) = (fleet.clone(), lifecycle.clone());
        let leave = platform.spawn(async move {
            told.shutdown_begun().await;
            leaver.leave();
        });
        [task, leave]
    });
    let ops_endpoint = ops.map(|ops| {
        let ops_endpoint = OpsEndpoint::new(
            host.clone(),
            endpoints.clone(),
            lifecycle.clone(),
            counters.clone(),
            (fleet.clone(), reserve / 3),
        );
        platform.spawn(ops_endpoint.run(ops))
    });
    let frontend = Frontend::new(
        host.clone(),
        register,
        config.network.tenants,
        lifecycle.clone(),
        counters,
        [to_clients, reserve / 6, config.memory_bytes / 4],
        fleet.clone(),
    );
    let active = ActiveSettings {
        frontend: frontend.clone(),
        host: host.clone(),
        endpoints: endpoints.clone(),
        pool,
        lifecycle: lifecycle.clone(),
        fields,
        fleet: fleet.clone(),
        file_settings: RefCell::new(file_settings),
    };
    let plan = fleet.as_ref().and_then(|fleet| fleet.plan());
    if let Some(plan) = plan {
        let (judging, asked) = (plan.clone(), lifecycle.clone());
        endpoints.set_weight_adjuster(Box::new(move |name, zone, group| {
            judging.weight_adjustment(name, zone, group)
        }));
        plan.set_readiness(move || asked.query(LifecycleState::is_ready));
    }
    let tuner = platform.clone();
    let tune = platform.spawn(async move {
        loop {
            tokio::select! {
                biased;
                config = reloader.next_config() => active.apply_file(config),
                () = recounted(&active.fleet) => {
                    active.apply_fleet();
                    // Danger: hundreds that join in a second would have the module take new settings for each.
                    tuner.sleep(RECOUNT).await;
                }
            }
        }
    });
    if let Some(plan) = plan {
        plan.wait_for_plan().await;
    }
    frontend.run(listener).await;
    tune.abort();
    for task in members.into_iter().flatten() {
        task.abort();
    }
    if let Some(ops_endpoint) = ops_endpoint {
        ops_endpoint.abort();
    }
    watch.abort();
    sweep.abort();
    Ok(())
}
