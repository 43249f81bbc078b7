//! Discovery: the loop that watches the list of backend servers and hands the news to directory and module.

use crate::counters::count;
use crate::directory::Directory;
use crate::exchange::read_answer;
use crate::fleet::Fleet;
use crate::http::client::{self, Exchange};
use crate::lifecycle::Life;
use crate::session::{Carrier, Host};
use cometcroft::{Event, ListScope};
use cometcroft_platform::{Platform, Stream};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// A list may be long; one beyond this is not read.
const MAX_LIST: usize = 4 << 20;
/// How long a watch waits at discovery for news, at most. Danger: a connection may fall silent, and until the wait
/// ends nobody can tell that from a list that does not change.
const HOLD: Duration = Duration::from_secs(4);
/// The share of it that is left to chance. Danger: news ends the watches of a whole fleet in one instant, and from then
/// on all would ask in step.
const SPREAD: f64 = 0.25;
/// How long an answer may take beyond that. News counts as told 2 s after the wait, so this leaves time to ask anew.
const PATIENCE: Duration = Duration::from_millis(800);
/// A list that has begun goes on within this time. Danger: what is written counts as told, so a drain binds before
/// the list is whole; this must be well within its grace.
const STALLED: Duration = Duration::from_millis(80);
/// News that is owed is asked for again so soon on average, then after twice as long, ...
const SOON: Duration = Duration::from_millis(50);
/// ... so many times in all; then the module says when.
const TRIES: u32 = 4;

/// Where discovery answers. A new configuration may move it while the sidecar runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<SocketAddr>,
    moved: Notify,
}

impl Source {
    /// Discovery at this address.
    pub fn new(address: SocketAddr) -> Rc<Source> {
        Rc::new(Source { address: Cell::new(address), moved: Notify::new() })
    }

    /// From now on discovery is to be asked here.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }
}

/// Watches discovery whenever the module asks for it or discovery has moved, until a call fails. `seed` spreads calls.
pub async fn watch<C: Carrier>(
    host: Rc<Host<C>>,
    directory: Rc<Directory>,
    source: Rc<Source>,
    life: Rc<Life<C::Platform>>,
    mut index: Option<i64>,
    seed: u64,
    fleet: Option<Rc<Fleet<C::Platform>>>,
) {
    let (platform, counters) = (host.platform().clone(), host.counters().clone());
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        tokio::select! {
            biased;
            () = host.subscribed() => {}
            // Danger: the module may be waiting out the failures of the old address.
            () = source.moved.notified() => index = None,
        }
        // `owed`: so many calls in a row have lost news that may count as told.
        let (mut stream, mut owed) = (None, 0);
        // A watch lasts while the next call follows the last answer at once. A call that failed ends it; the module
        // says when to begin anew, and the last list is kept.
        loop {
            if let Some(fleet) = &fleet {
                fleet.calls().await;
            }
            count(&counters.discovery_calls);
            // Who is owed news hears at once whether there is any.
            let hold = if owed > 0 { Duration::ZERO } else { HOLD.mul_f64(1.0 - SPREAD * rng.f64()) };
            let target = match index {
                Some(index) => format!("/discovery/hosts?from={index}&hold_ms={}", hold.as_millis()),
                None => "/discovery/hosts".to_owned(),
            };
            let mut exchange = Exchange::new(MAX_LIST);
            let called = tokio::select! {
                biased;
                called = platform.timeout(
                    hold + PATIENCE,
                    call(&platform, &mut stream, source.address.get(), &target, &mut exchange),
                ) => Some(called),
                () = source.moved.notified() => None,
            };
            let Some(called) = called else {
                // Danger: the old address goes silent soon, and its versions say nothing at the new one, which
                // is asked for the whole list at once.
                (stream, index) = (None, None);
                continue;
            };
            let news = match &called {
                Ok(Ok((body, now))) => {
                    serde_json::from_slice(body).ok().and_then(|v| directory.take(&v, *now))
                }
                _ => None,
            };
            if let Some(news) = news {
                (index, owed) = (Some(news.index), 0);
                host.tell(Event::Members { scope: news.scope, entries: news.entries });
                life.tell(|machine, _| machine.listed(!directory.is_empty(), true));
                continue;
            }
            stream = None;
            if called.is_err() {
                // The connection has fallen silent; another one may not, and the news is due soon.
                count(&counters.discovery_silent);
                owed += 1;
            } else if called.is_ok_and(|called| called.is_ok()) || exchange.begun() {
                // Danger: news that broke off was told all the same: what came of it binds, and the rest is owed.
                count(&counters.discovery_bad);
                owed += 1;
                let entries = directory.salvage(exchange.part(), platform.now());
                if !entries.is_empty() {
                    host.tell(Event::Members { scope: ListScope::Changes, entries });
                }
            } else {
                count(&counters.discovery_failures);
                owed += u32::from(owed > 0);
            }
            if !(1..=TRIES).contains(&owed) {
                break;
            }
            // Danger: news goes to a whole fleet at once and discovery is busy with it, so a call that follows in
            // the same instant is turned away.
            let wait = SOON.mul_f64(f64::from(1u32 << (owed - 1)) * (0.5 + rng.f64()));
            tokio::select! {
                biased;
                () = platform.sleep(wait) => {}
                () = source.moved.notified() => index = None,
            }
        }
        // What the module asked for while a watch was on has been done; it is told now and asks anew.
        host.unsubscribe();
        host.tell(Event::DiscoveryRefused);
    }
}

/// One call, on the connection of the last one if it is still there.
async fn call<P: Platform>(
    platform: &P,
    kept: &mut Option<P::Stream>,
    address: SocketAddr,
    target: &str,
    exchange: &mut Exchange,
) -> io::Result<(bytes::Bytes, Instant)> {
    // Danger: a call on a connection that was closed after the last answer would count as one that failed. Only
    // that is mended here: to repeat a call that discovery has seen would double its load when it has most.
    let mut stream = match kept.take().filter(Stream::quiet) {
        Some(stream) => stream,
        None => platform.timeout(Duration::from_secs(1), platform.connect(address)).await??,
    };
    stream.set_nodelay()?;
    stream.write_all(&client::get(target, "discovery")).await?;
    let answer = read_answer(platform, &mut stream, exchange, STALLED).await?;
    let now = platform.now();
    if exchange.reusable() {
        *kept = Some(stream);
    }
    if answer.status != 200 {
        return Err(io::Error::other("discovery refused"));
    }
    Ok((answer.body, now))
}
