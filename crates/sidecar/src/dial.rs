//! Opens connections with low delay: if one is not up after several times the typical time, another attempt to
//! the same address is started beside it, and the first connection that comes up is used (as in RFC 8305,
//! section 5).

use cometcroft_platform::{Elapsed, Platform};
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Maximum number of attempts that run at once for one connection.
const MAX_ATTEMPTS: usize = 4;
/// The next attempt starts after this multiple of the typical connect time, ...
const TYPICAL_TIME_MULTIPLE: u32 = 4;
/// ... but not before this fraction of the connect timeout, ...
const MIN_DELAY_DIVISOR: u32 = 32;
/// ... and not after this fraction of it.
const MAX_DELAY_DIVISOR: u32 = 4;
/// Each connection moves the estimate of the typical time by this fraction of it, up or down, so that it
/// settles at the median.
const STEP_DIVISOR: u32 = 8;
/// Lower limit of the estimate.
const MIN_TYPICAL_TIME: Duration = Duration::from_micros(100);

/// Delay before the next attempt to connect, learned from the times that connections have taken.
#[derive(Debug)]
pub struct AttemptDelay {
    connect_timeout: Cell<Duration>,
    typical: Cell<Duration>,
}

impl AttemptDelay {
    /// Creates a delay that only knows the connect timeout.
    pub fn new(connect_timeout: Duration) -> AttemptDelay {
        AttemptDelay { connect_timeout: Cell::new(connect_timeout), typical: Cell::new(MIN_TYPICAL_TIME) }
    }

    /// Sets the connect timeout.
    pub fn set_connect_timeout(&self, connect_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
    }

    /// Time after which a connection that is not up has failed.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Time to wait before another attempt is started beside the current one.
    pub fn get(&self) -> Duration {
        let timeout = self.connect_timeout.get();
        (self.typical.get() * TYPICAL_TIME_MULTIPLE)
            .clamp(timeout / MIN_DELAY_DIVISOR, timeout / MAX_DELAY_DIVISOR)
    }

    /// Records that a connection came up this long after its attempt started.
    pub fn learn(&self, connect_time: Duration) {
        let typical = self.typical.get();
        let step = typical / STEP_DIVISOR;
        let moved = if connect_time > typical { typical + step } else { typical - step };
        self.typical.set(moved.clamp(MIN_TYPICAL_TIME, self.connect_timeout.get().max(MIN_TYPICAL_TIME)));
    }
}

/// One attempt to connect.
type Attempt<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// Returns the first connection that comes up by `until`. After each `delay`, `next_attempt` provides another
/// attempt, or none if there is no room for it. A failed attempt drops out of the race; its error is returned
/// only if no other attempt is left.
pub async fn race<'a, P: Platform, T, F>(
    platform: &P,
    until: Instant,
    delay: Duration,
    first: impl Future<Output = io::Result<T>> + 'a,
    next_attempt: impl Fn() -> Option<F>,
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
            Err(Elapsed) => {
                attempts.extend(next_attempt().map(|attempt| Box::pin(attempt) as Attempt<'a, T>))
            }
        }
    }
    platform.timeout_at(until, first_up(&mut attempts)).await?
}

/// Waits for the first attempt that succeeds; returns an error if the last one left fails.
async fn first_up<T>(attempts: &mut Vec<Attempt<'_, T>>) -> io::Result<T> {
    poll_fn(|context| {
        let mut index = 0;
        while index < attempts.len() {
            match attempts[index].as_mut().poll(context) {
                Poll::Pending => index += 1,
                Poll::Ready(Err(_)) if attempts.len() > 1 => drop(attempts.remove(index)),
                Poll::Ready(result) => return Poll::Ready(result),
            }
        }
        Poll::Pending
    })
    .await
}
