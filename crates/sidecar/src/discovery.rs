//! Discovery: the loop that calls it when [`Watch`] says so and hands the news to directory and module.

use crate::counters::count;
use crate::directory::{Directory, Taken};
use crate::exchange::read_answer;
use crate::fleet::Fleet;
use crate::http::client::{self, Exchange};
use crate::lifecycle::Life;
use crate::session::{Carrier, Host};
use crate::watch::{Call, Failure, Watch};
use cometcroft::{Discovery, Event, ListScope, Member, Settings};
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
/// A list that has begun goes on within this time. Danger: what is written counts as told, so a drain binds before
/// the list is whole; this must be well within its grace.
const STALLED: Duration = Duration::from_millis(80);

/// Where and how discovery answers. A new configuration may move it while the sidecar runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<SocketAddr>,
    /// Whether lists are pushed to an agent there, and within what time the settings have them asked for.
    manner: Cell<(bool, Duration)>,
    moved: Notify,
}

impl Source {
    /// Discovery at this address, asked as these settings say.
    pub fn new(address: SocketAddr, settings: &Settings) -> Rc<Source> {
        let manner = Cell::new(manner(settings));
        Rc::new(Source { address: Cell::new(address), manner, moved: Notify::new() })
    }

    /// From now on discovery is to be asked here, and as these settings say.
    pub fn move_to(&self, address: SocketAddr, settings: &Settings) {
        let changed = self.manner.replace(manner(settings)) != manner(settings);
        if self.address.replace(address) != address || changed {
            self.moved.notify_one();
        }
    }
}

fn manner(settings: &Settings) -> (bool, Duration) {
    (settings.discovery == Discovery::Push, settings.rules.ask_within)
}

/// Keeps the list of backend servers as discovery has it, whether lists are asked for or pushed to an agent. `seed`
/// spreads calls.
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
    let mut watch = Watch::new(seed);
    // The version of the list that is held, and the connection of the last call.
    let (mut held, mut stream) = (index, None);
    loop {
        let (pushed, within) = source.manner.get();
        watch.settle(pushed, within);
        if let Some(fleet) = &fleet {
            fleet.calls().await;
        }
        count(&counters.discovery_calls);
        let Call { hold, patience } = watch.call(index.is_none());
        let target = match index {
            Some(index) => format!("/discovery/hosts?from={index}&hold_ms={}", hold.as_millis()),
            None => "/discovery/hosts".to_owned(),
        };
        let mut exchange = Exchange::new(MAX_LIST);
        let called = tokio::select! {
            biased;
            called = platform.timeout(
                patience,
                call(&platform, &mut stream, source.address.get(), &target, &mut exchange),
            ) => called,
            () = source.moved.notified() => {
                // Danger: the old address goes silent soon, and its versions say nothing at the new one, which
                // is asked for the whole list at once. Its call is gone: what it brings can't come after this.
                (stream, index, held) = (None, None, None);
                watch.moved();
                continue;
            }
        };
        let failure = match called {
            Ok(Ok((body, now))) => match serde_json::from_slice(&body).ok() {
                Some(list) => match directory.take(&list, now, held.filter(|_| !watch.anew())) {
                    Taken::News(news) => {
                        (index, held) = (Some(news.index), Some(news.index));
                        watch.told();
                        host.tell(Event::Members { scope: news.scope, entries: news.entries });
                        life.tell(|machine, _| machine.listed(!directory.is_empty(), true));
                        continue;
                    }
                    Taken::Older(bars) => {
                        count(&counters.discovery_older);
                        bar(&host, bars);
                        index = None;
                        Failure::Older
                    }
                    Taken::Bad => Failure::Broken,
                },
                None => Failure::Broken,
            },
            Ok(Err(_)) if exchange.begun() => Failure::Broken,
            Ok(Err(_)) => Failure::Refused,
            Err(_) => Failure::Silent,
        };
        stream = None;
        match failure {
            // The connection has fallen silent; another one may not, and the news is due soon.
            Failure::Silent => count(&counters.discovery_silent),
            Failure::Refused => count(&counters.discovery_failures),
            Failure::Older => {}
            Failure::Broken => {
                // Danger: news that broke off was told all the same: what came of it binds, and the rest is owed.
                count(&counters.discovery_bad);
                bar(&host, directory.salvage(exchange.part(), platform.now()));
            }
        }
        tokio::select! {
            biased;
            () = platform.sleep(watch.failed(failure)) => {}
            // Danger: the failures of the old address are not waited out.
            () = source.moved.notified() => {
                (index, held) = (None, None);
                watch.moved();
            }
        }
    }
}

/// Tells the module of backend servers that are to get nothing more.
fn bar<C: Carrier>(host: &Rc<Host<C>>, entries: Vec<Member>) {
    if !entries.is_empty() {
        host.tell(Event::Members { scope: ListScope::Changes, entries });
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
