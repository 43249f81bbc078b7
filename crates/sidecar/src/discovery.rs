//! Discovery: the loop that watches the list of backend servers and hands the news to directory and module.

use crate::counters::{Counters, count};
use crate::directory::Directory;
use crate::exchange::read_answer;
use crate::http::client::{self, Exchange};
use crate::session::{Carrier, Host};
use cometcroft::Event;
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
/// How long a watch waits at discovery for news. Danger: a connection may fall silent, and until the wait ends
/// nobody can tell that from a list that does not change.
const HOLD: Duration = Duration::from_secs(4);
/// How long an answer may take beyond that. News counts as told 2 s after the wait, so this leaves time to ask anew.
const PATIENCE: Duration = Duration::from_secs(1);

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

/// Watches discovery whenever the module asks for it or discovery has moved, until a call fails.
pub async fn watch<C: Carrier>(
    host: Rc<Host<C>>,
    directory: Rc<Directory>,
    source: Rc<Source>,
    mut index: Option<i64>,
    counters: Rc<Counters>,
) {
    let platform = host.platform().clone();
    loop {
        tokio::select! {
            biased;
            () = host.subscribed() => {}
            // Danger: the module may be waiting out the failures of the old address.
            () = source.moved.notified() => index = None,
        }
        let (mut stream, mut silent) = (None, false);
        // A watch lasts while the next call follows the last answer at once. News that can't be read or a
        // call that failed ends it; the module says when to begin anew, and the last list is kept.
        loop {
            count(&counters.discovery_calls);
            let hold = HOLD.as_millis();
            let target = match index {
                Some(index) => format!("/discovery/hosts?from={index}&hold_ms={hold}"),
                None => "/discovery/hosts".to_owned(),
            };
            let called = tokio::select! {
                biased;
                called = platform.timeout(
                    HOLD + PATIENCE,
                    call(&platform, &mut stream, source.address.get(), &target),
                ) => Some(called),
                () = source.moved.notified() => None,
            };
            let Some(called) = called else {
                // Danger: the old address goes silent soon, and its versions say nothing at the new one, which
                // is asked for the whole list at once.
                (stream, index) = (None, None);
                continue;
            };
            if called.is_err() && !silent {
                // The connection has fallen silent; another one may not, and the news is due soon.
                count(&counters.discovery_silent);
                (stream, silent) = (None, true);
                continue;
            }
            silent = false;
            let Ok(Ok((body, now))) = called else {
                count(&counters.discovery_failures);
                break;
            };
            let Some(news) = serde_json::from_slice(&body).ok().and_then(|v| directory.take(&v, now)) else {
                count(&counters.discovery_bad);
                break;
            };
            index = Some(news.index);
            host.tell(Event::Members { scope: news.scope, entries: news.entries });
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
) -> io::Result<(bytes::Bytes, Instant)> {
    // Danger: a call on a connection that was closed after the last answer would count as one that failed. Only
    // that is mended here: to repeat a call that discovery has seen would double its load when it has most.
    let mut stream = match kept.take().filter(Stream::quiet) {
        Some(stream) => stream,
        None => platform.timeout(Duration::from_secs(1), platform.connect(address)).await??,
    };
    stream.set_nodelay()?;
    stream.write_all(&client::get(target, "discovery")).await?;
    let mut exchange = Exchange::new(MAX_LIST);
    let answer = read_answer(platform, &mut stream, &mut exchange).await?;
    let now = platform.now();
    if exchange.reusable() {
        *kept = Some(stream);
    }
    if answer.status != 200 {
        return Err(io::Error::other("discovery refused"));
    }
    Ok((answer.body, now))
}
