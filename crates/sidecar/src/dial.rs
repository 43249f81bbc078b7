//! Opens connections that come up soon: where one is not up after several times the usual time, another attempt to
//! the same address is started beside it, and the first connection that is up wins (as in RFC 8305, section 5).

use cometcroft_platform::{Elapsed, Platform};
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Attempts that may be under way at once for one connection.
const MAX_ATTEMPTS: usize = 4;
/// The next attempt starts when this multiple of the usual time has passed, ...
const USUAL_TIMES: u32 = 4;
/// ... but after this part of the connect timeout at the earliest, ...
const EARLIEST_PART: u32 = 32;
/// ... and after this part of it at the latest.
const LATEST_PART: u32 = 4;
/// Each connection moves the estimate of the usual time by this part of it, up or down: it settles at the median.
const STEP_PART: u32 = 8;
/// The estimate never falls below this.
const SHORTEST: Duration = Duration::from_micros(100);

/// When the next attempt at a connection starts, learned from what connections have taken.
#[derive(Debug)]
pub struct AttemptDelay {
    connect_timeout: Cell<Duration>,
    usual: Cell<Duration>,
}

impl AttemptDelay {
    /// Nothing is known but how long a connection may take at the most.
    pub fn new(connect_timeout: Duration) -> AttemptDelay {
        AttemptDelay { connect_timeout: Cell::new(connect_timeout), usual: Cell::new(SHORTEST) }
    }

    /// New settings.
    pub fn set_connect_timeout(&self, connect_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
    }

    /// A connection that is not up after this time has failed.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// The time that an attempt is left alone.
    pub fn get(&self) -> Duration {
        let timeout = self.connect_timeout.get();
        (self.usual.get() * USUAL_TIMES).clamp(timeout / EARLIEST_PART, timeout / LATEST_PART)
    }

    /// A connection came up, so long after its attempt started.
    pub fn learn(&self, took: Duration) {
        let usual = self.usual.get();
        let step = usual / STEP_PART;
        let moved = if took > usual { usual + step } else { usual - step };
        self.usual.set(moved.clamp(SHORTEST, self.connect_timeout.get().max(SHORTEST)));
    }
}

/// One attempt at a connection.
type Attempt<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// The first connection that comes up by `until`. `further` gives the next attempt after each delay, or none where there
/// is no room for it. An attempt that fails is out of the race; the error is told once none is left.
pub async fn race<'a, P: Platform, T, F>(
    platform: &P,
    until: Instant,
    delay: Duration,
    first: impl Future<Output = io::Result<T>> + 'a,
    further: impl Fn() -> Option<F>,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>> + 'a,
{
    let mut attempts: Vec<Attempt<'a, T>> = vec![Box::pin(first)];
    for _ in 1..MAX_ATTEMPTS {
        let next = platform.now() + delay;
        if next >= until {
            break;
        }
        match platform.timeout_at(next, first_up(&mut attempts)).await {
            Ok(result) => return result,
            Err(Elapsed) => attempts.extend(further().map(|attempt| Box::pin(attempt) as Attempt<'a, T>)),
        }
    }
    platform.timeout_at(until, first_up(&mut attempts)).await?
}

/// The first attempt that succeeds, or the error of the last one that is left.
async fn first_up<T>(attempts: &mut Vec<Attempt<'_, T>>) -> io::Result<T> {
    poll_fn(|context| {
        let mut at = 0;
        while at < attempts.len() {
            match attempts[at].as_mut().poll(context) {
                Poll::Pending => at += 1,
                Poll::Ready(Err(_)) if attempts.len() > 1 => drop(attempts.remove(at)),
                Poll::Ready(result) => return Poll::Ready(result),
            }
        }
        Poll::Pending
    })
    .await
}
