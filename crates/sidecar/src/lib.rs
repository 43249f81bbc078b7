//! One sidecar round the decision module. Modules follow the stages of a request: [`frontend`], [`session`],
//! [`dispatch`], [`exchange`], [`backend`]; beside it run [`discovery`], which fills the [`directory`], and [`probe`].
//! Sockets, clock and tasks come from a [`Platform`](cometcroft_platform::Platform).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backend;
pub mod config;
pub mod counters;
pub mod directory;
pub mod discovery;
pub mod dispatch;
pub mod exchange;
pub mod frontend;
pub mod http;
pub mod probe;
pub mod session;
pub mod shutdown;

use crate::backend::Pool;
use crate::config::{Config, ConfigError};
use crate::counters::{Counters, count};
use crate::directory::Directory;
use crate::discovery::Source;
use crate::dispatch::HttpCarrier;
use crate::exchange::Exchanger;
use crate::frontend::{Frontend, HttpBackend};
use crate::session::Host;
use crate::shutdown::Shutdown;
use cometcroft::{Event, ListScope};
use cometcroft_platform::{Platform, Task};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The module's clock at the start: late enough that what started an hour ago has a time on it.
const ORIGIN: Duration = Duration::from_secs(3600);
/// Descriptors kept for the listener, discovery, the runtime and standard streams.
const RESERVE: usize = 48;

/// Runs a sidecar until `shutdown` has begun and all is answered. Discovery is asked at `source`.
pub async fn run<P: Platform>(
    platform: P,
    config: Config,
    listener: P::Listener,
    source: Rc<Source>,
    shutdown: Rc<Shutdown<P>>,
    counters: Rc<Counters>,
) -> io::Result<()> {
    run_with(platform, config, listener, source, shutdown, counters, |carrier| carrier).await
}

/// The same with the carrier that `wrap` makes of the sidecar's own, as tests do that spoil what it does.
pub async fn run_with<P: Platform, C: HttpBackend<Platform = P>>(
    platform: P,
    config: Config,
    listener: P::Listener,
    source: Rc<Source>,
    shutdown: Rc<Shutdown<P>>,
    counters: Rc<Counters>,
    wrap: impl FnOnce(HttpCarrier<P>) -> C,
) -> io::Result<()> {
    let connections = config.sockets.saturating_sub(RESERVE.min(config.sockets / 4));
    let (to_clients, to_backends) = (connections * 11 / 20, connections * 9 / 20);
    let (idle, dial) = (config.net.idle, config.net.connect_timeout);
    let pool = Pool::new(platform.clone(), to_backends, idle, dial, counters.clone());
    let grace = config.settings.rules.drain_grace;
    let directory = Rc::new(Directory::new(config.net.zones.clone(), grace, ORIGIN, platform.unix()));
    let exchanger =
        Exchanger { pool: pool.clone(), directory: directory.clone(), counters: counters.clone() };
    let carrier = wrap(HttpCarrier { exchanger, fields: config.fields.into() });
    let classes = config.settings.classes.clone();
    let seed = config.seed;
    let host =
        Host::new(carrier, config.settings, seed, ORIGIN, counters.clone()).map_err(io::Error::other)?;
    host.tell(Event::Start);
    let known = directory.take(&config.known, platform.now());
    let index = known.as_ref().map(|known| known.index);
    if let Some(known) = known {
        host.tell(Event::Members { scope: ListScope::Remembered, entries: known.entries });
    }
    // Another stream of numbers than the module's, from the same seed.
    let watch = discovery::watch(host.clone(), directory.clone(), source, index, !seed, counters.clone());
    let watch = platform.spawn(watch);
    let sweeper = platform.clone();
    let sweep = platform.spawn(async move {
        loop {
            sweeper.sleep(Duration::from_millis(250)).await;
            pool.sweep();
        }
    });
    Frontend::new(host, directory, classes, config.net, shutdown, counters, to_clients).run(listener).await;
    watch.abort();
    sweep.abort();
    Ok(())
}

/// What SIGHUP asks for: discovery moves to where the file that was read says. An error is counted and handed back.
pub fn reload(
    read: Result<Config, ConfigError>,
    source: &Source,
    counters: &Counters,
) -> Result<(), ConfigError> {
    // Danger: a file that makes no sense must not take down what serves; the old one stays in force.
    match read {
        Ok(config) => {
            count(&counters.reloads);
            source.move_to(config.discovery);
            Ok(())
        }
        Err(error) => {
            count(&counters.reload_failures);
            Err(error)
        }
    }
}
