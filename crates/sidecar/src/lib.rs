//! One sidecar on real sockets round the decision module. Modules follow the stages of a request:
//! [`frontend`], [`session`], [`dispatch`], [`backend`]; beside it run [`discovery`] and [`probe`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backend;
pub mod config;
pub mod counters;
pub mod discovery;
pub mod dispatch;
pub mod frontend;
pub mod http;
pub mod probe;
pub mod session;
pub mod shutdown;

use crate::backend::Pool;
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::{Directory, Source};
use crate::dispatch::HttpCarrier;
use crate::frontend::Frontend;
use crate::session::Host;
use crate::shutdown::Shutdown;
use cometcroft::{Event, ListScope};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// The module's clock at the start: late enough that what started an hour ago has a time on it.
const ORIGIN: Duration = Duration::from_secs(3600);
/// Descriptors kept for the listener, discovery, the runtime and standard streams.
const RESERVE: usize = 48;

/// Runs a sidecar until `shutdown` has begun and all is answered. Discovery is asked at `source`.
pub async fn run(
    config: Config,
    listener: TcpListener,
    source: Rc<Source>,
    shutdown: Rc<Shutdown>,
    counters: Rc<Counters>,
) -> io::Result<()> {
    let connections = config.sockets.saturating_sub(RESERVE.min(config.sockets / 4));
    let (to_clients, to_backends) = (connections * 11 / 20, connections * 9 / 20);
    let pool = Pool::new(to_backends, config.net.idle, config.net.connect_timeout, counters.clone());
    let grace = config.settings.rules.drain_grace;
    let directory = Rc::new(Directory::new(config.net.zones.clone(), grace, ORIGIN));
    let carrier = HttpCarrier {
        pool: pool.clone(),
        directory: directory.clone(),
        fields: config.fields.into(),
        counters: counters.clone(),
    };
    let classes = config.settings.classes.clone();
    let host = Host::new(carrier, config.settings, config.seed, ORIGIN, counters.clone())
        .map_err(io::Error::other)?;
    host.tell(Event::Start);
    let known = directory.take(&config.known, Instant::now());
    let index = known.as_ref().map(|known| known.index);
    if let Some(known) = known {
        host.tell(Event::Members { scope: ListScope::Remembered, entries: known.entries });
    }
    let watch = discovery::watch(host.clone(), directory.clone(), source, index, counters.clone());
    let watch = spawn_local(watch);
    let sweep = spawn_local(async move {
        loop {
            sleep(Duration::from_millis(250)).await;
            pool.sweep();
        }
    });
    Frontend::new(host, directory, classes, config.net, shutdown, counters, to_clients).run(listener).await;
    watch.abort();
    sweep.abort();
    Ok(())
}
