//! A sidecar: the decision module with its network I/O. A request passes through [`frontend`], [`requests`], [`attempt`],
//! [`exchange`] and [`pool`]; concurrently, [`discovery`] keeps the [`endpoint_table`] up to date and [`probe`] collects load
//! reports. Sockets, clock and tasks come from a [`Platform`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod active_settings;
pub mod attempt;
pub mod budget_driver;
pub mod classes;
pub mod client_watch;
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
pub mod id_log;
pub mod lifecycle;
pub mod logging;
pub mod memory;
pub mod operator_file;
pub mod ops;
pub mod ops_commands;
pub mod plan_driver;
pub mod pool;
pub mod probe;
pub mod reload;
pub mod request_ids;
pub mod request_stats;
pub mod requests;
pub mod settings_versions;
pub mod shared_read;
pub mod sockets;
pub mod start_clock;
pub mod upload;
pub mod zones;

use crate::active_settings::ActiveSettings;
use crate::attempt::PooledTransport;
use crate::classes::ClassRegistry;
use crate::config::Config;
use crate::counters::Counters;
use crate::endpoint_list::EndpointList;
use crate::endpoint_table::EndpointTable;
use crate::exchange::Exchanger;
use crate::fleet::{Fleet, FleetParts};
use crate::frontend::{Frontend, FrontendLimits, HttpTransport, RequestIdRegistry};
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::memory::MemoryAccount;
use crate::ops::OpsEndpoint;
use crate::pool::ConnectionPool;
use crate::reload::ConfigReloader;
use crate::requests::RequestDriver;
use crate::settings_versions::{SettingsVersion, SettingsVersions};
use cometcroft::{Event, ListScope};
use cometcroft_platform::{Platform, Task};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The module's clock at the start of the sidecar: late enough to represent the start of an endpoint an hour earlier.
const CLOCK_ORIGIN: Duration = Duration::from_secs(3600);
/// Share of the memory for the ids of requests that may have run, as a divisor.
const REQUEST_ID_MEMORY_DIVISOR: usize = 32;
/// Memory of a listed endpoint, in all tables.
const ENDPOINT_BYTES: usize = 2 * 1024;
/// File descriptors reserved for the listener, discovery, the runtime and standard streams.
const RESERVED_DESCRIPTORS: usize = 48;
/// Minimum interval between two updates of the module's settings from the fleet.
const MIN_FLEET_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until the number of active sidecars or the shares of this one have changed; forever without a fleet.
async fn fleet_changed<P: Platform>(fleet: &Option<Rc<Fleet<P>>>) {
    match fleet {
        Some(fleet) => fleet.changed().await,
        None => std::future::pending().await,
    }
}

/// What a sidecar needs beside its configuration.
pub struct Resources<P: Platform> {
    /// The listener for clients.
    pub listener: P::Listener,
    /// The listener of the operations endpoint, if there is one.
    pub ops: Option<P::Listener>,
    /// Source of new configurations and of the address of discovery.
    pub reloader: Rc<ConfigReloader>,
    /// Controls readiness, draining and shutdown.
    pub lifecycle: Rc<Lifecycle<P>>,
    /// The counters of the sidecar.
    pub counters: Rc<Counters>,
    /// The membership in a fleet, if there is one.
    pub fleet: Option<FleetParts<P>>,
}

/// Runs a sidecar until the shutdown is complete: all requests are answered.
pub async fn run<P: Platform>(platform: P, config: Config, resources: Resources<P>) -> io::Result<()> {
    run_with(platform, config, resources, |transport| transport).await
}

/// Like [`run`], with the transport wrapped by `wrap`: tests inject defects this way.
pub async fn run_with<P: Platform, C: HttpTransport<Platform = P>>(
    platform: P,
    mut config: Config,
    resources: Resources<P>,
    wrap: impl FnOnce(PooledTransport<P>) -> C,
) -> io::Result<()> {
    let Resources { listener, ops, reloader, lifecycle, counters, fleet } = resources;
    // With an inherited listener a second process may run at the same time; the limit applies to both together.
    let max_sockets =
        if config.inherited_socket.is_some() { config.max_sockets / 2 } else { config.max_sockets };
    let memory_bytes =
        if config.inherited_socket.is_some() { config.memory_bytes / 2 } else { config.memory_bytes };
    let memory = MemoryAccount::for_process(memory_bytes);
    let reserve = RESERVED_DESCRIPTORS.min(max_sockets / 3);
    let connections = max_sockets.saturating_sub(reserve);
    let (max_client_connections, max_endpoint_connections) = (connections * 11 / 20, connections * 9 / 20);
    let (idle_timeout, connect_timeout) = (config.network.idle_timeout, config.network.connect_timeout);
    let (instances, seed) = (config.settings.instances, config.seed);
    let member =
        fleet.map(|fleet_parts| Fleet::new(platform.clone(), fleet_parts, instances, seed.rotate_left(32)));
    let (fleet, fleet_listener) = member.unzip();
    let pool = ConnectionPool::new(
        platform.clone(),
        max_endpoint_connections,
        [idle_timeout, connect_timeout],
        counters.clone(),
        fleet.clone(),
    );
    let endpoints = Rc::new(EndpointTable::new(&config.network.zones, CLOCK_ORIGIN, platform.unix()));
    endpoints.zones().apply_to_settings(&mut config.settings, &config.network.zones);
    let exchanger = Exchanger {
        pool: pool.clone(),
        endpoints: endpoints.clone(),
        counters: counters.clone(),
        memory: memory.clone(),
    };
    let load_report_fields = Rc::new(RefCell::new(config.load_report_fields.into()));
    let transport =
        wrap(PooledTransport { exchanger, fields: load_report_fields.clone(), fleet: fleet.clone() });
    let class_registry = ClassRegistry::new(&config.network.classes, &config.settings.classes);
    let first_version =
        SettingsVersion { settings: config.settings.clone(), network: config.network.clone() };
    let driver = RequestDriver::new(transport, config.settings, seed, CLOCK_ORIGIN, counters.clone())
        .map_err(io::Error::other)?;
    counters.request_stats.set_class_names(&config.network.classes);
    driver.handle_event(Event::Start);
    let known = EndpointList::from_value(&std::mem::take(&mut config.known_endpoints)).ok();
    let known = known.and_then(|list| endpoints.apply(list, None).update());
    // Beside a predecessor, the last known list is not reliable enough to serve with, and a watch from its version would be
    // held until the next change; the complete list is requested instead.
    let version = known.as_ref().map(|known| known.version).filter(|_| config.inherited_socket.is_none());
    if let Some(known) = known {
        driver.handle_event(Event::EndpointList { scope: ListScope::Restored, entries: known.entries });
    }
    lifecycle.update(|state, _| state.record_list(!endpoints.is_empty(), false));
    // Discovery draws its random numbers from a different stream than the module, derived from the same seed.
    let watch = discovery::watch(
        driver.clone(),
        endpoints.clone(),
        reloader.discovery_source.clone(),
        lifecycle.clone(),
        version,
        !seed,
        fleet.clone(),
    );
    let watch = platform.spawn(watch);
    let (sweep_platform, swept_pool) = (platform.clone(), pool.clone());
    let (list, counted, account) = (endpoints.clone(), counters.clone(), memory.clone());
    let list_charge = memory.open_charge();
    let sweep = platform.spawn(async move {
        loop {
            sweep_platform.sleep(Duration::from_millis(250)).await;
            swept_pool.sweep();
            list_charge.set(list.len() * ENDPOINT_BYTES);
            counted.memory_charged_most.set(account.most_charged() as u64);
        }
    });
    let fleet_tasks = fleet.as_ref().zip(fleet_listener).map(|(fleet, listener)| {
        let task = platform.spawn(fleet.clone().run(listener));
        let (leaving_fleet, lifecycle) = (fleet.clone(), lifecycle.clone());
        let leave = platform.spawn(async move {
            lifecycle.shutdown_begun().await;
            leaving_fleet.leave();
        });
        [task, leave]
    });
    let ops_endpoint = ops.map(|ops| {
        let ops_endpoint = OpsEndpoint::new(
            driver.clone(),
            endpoints.clone(),
            lifecycle.clone(),
            counters.clone(),
            (fleet.clone(), reserve / 3),
        );
        platform.spawn(ops_endpoint.run(ops))
    });
    let frontend = Frontend::new(
        driver.clone(),
        class_registry,
        config.network.tenants,
        lifecycle.clone(),
        FrontendLimits {
            max_connections: max_client_connections,
            max_lingering: reserve / 6,
            memory: memory.clone(),
        },
        RequestIdRegistry::new(memory_bytes / REQUEST_ID_MEMORY_DIVISOR, config.id_directory),
        fleet.clone(),
    );
    let active_settings = ActiveSettings {
        frontend: frontend.clone(),
        driver: driver.clone(),
        endpoints: endpoints.clone(),
        pool,
        lifecycle: lifecycle.clone(),
        fields: load_report_fields,
        fleet: fleet.clone(),
        versions: RefCell::new(SettingsVersions::new(first_version)),
    };
    let plan = fleet.as_ref().and_then(|fleet| fleet.plan());
    if let Some(plan) = plan {
        let (adjusting_plan, queried) = (plan.clone(), lifecycle.clone());
        endpoints.set_weight_adjuster(Box::new(move |name, zone, group| {
            adjusting_plan.weight_adjustment(name, zone, group)
        }));
        plan.set_readiness(move || queried.query(LifecycleState::is_ready));
    }
    let update_platform = platform.clone();
    let updates = platform.spawn(async move {
        loop {
            tokio::select! {
                biased;
                config = reloader.next_config() => active_settings.apply_file(config),
                () = active_settings.version_expired() => active_settings.apply(),
                () = fleet_changed(&active_settings.fleet) => {
                    active_settings.apply();
                    // Without this pause the module would get new settings for each of hundreds of sidecars that join
                    // within a second.
                    update_platform.sleep(MIN_FLEET_UPDATE_INTERVAL).await;
                }
            }
        }
    });
    if let Some(plan) = plan {
        plan.wait_for_plan().await;
    }
    frontend.run(listener).await;
    updates.abort();
    for task in fleet_tasks.into_iter().flatten() {
        task.abort();
    }
    if let Some(ops_endpoint) = ops_endpoint {
        ops_endpoint.abort();
    }
    watch.abort();
    sweep.abort();
    Ok(())
}
