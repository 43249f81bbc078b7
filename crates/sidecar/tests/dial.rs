//! Attempts at one connection that run side by side.

use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::dial::{AttemptDelay, race};
use std::cell::Cell;
use std::future::{Future, pending, ready};
use std::io;
use std::pin::Pin;
use std::time::Duration;

type Attempt = Pin<Box<dyn Future<Output = io::Result<u32>>>>;

const DELAY: Duration = Duration::from_millis(1);
const LONG_TIME: Duration = Duration::from_secs(60);

fn pending_attempt() -> Attempt {
    Box::pin(pending())
}

fn connected(number: u32) -> Attempt {
    Box::pin(ready(Ok(number)))
}

fn refused() -> Attempt {
    Box::pin(ready(Err(io::ErrorKind::ConnectionRefused.into())))
}

/// The result of a race, and the number of additional attempts that it requested within `time`.
fn run(
    time: Duration,
    first: Attempt,
    next_attempt: impl Fn(u32) -> Option<Attempt>,
) -> (io::Result<u32>, u32) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let extra_attempts = Cell::new(0);
    let next = || {
        extra_attempts.set(extra_attempts.get() + 1);
        next_attempt(extra_attempts.get())
    };
    let result = runtime.block_on(async { race(&Tokio, Tokio.now() + time, DELAY, first, next).await });
    (result, extra_attempts.get())
}

#[test]
fn a_pending_attempt_is_overtaken_by_the_next() {
    let (result, extra_attempts) = run(LONG_TIME, pending_attempt(), |number| Some(connected(number)));
    assert_eq!((result.expect("the second connects"), extra_attempts), (1, 1));
}

#[test]
fn an_attempt_that_succeeds_or_fails_at_once_has_no_other_beside_it() {
    let (result, extra_attempts) = run(LONG_TIME, connected(7), |number| Some(connected(number)));
    assert_eq!((result.expect("the first connects"), extra_attempts), (7, 0));
    let (result, extra_attempts) = run(LONG_TIME, refused(), |number| Some(connected(number)));
    assert_eq!((result.expect_err("refused").kind(), extra_attempts), (io::ErrorKind::ConnectionRefused, 0));
}

#[test]
fn a_failed_attempt_leaves_the_others_in_the_race() {
    let (result, extra_attempts) = run(LONG_TIME, pending_attempt(), |number| {
        Some(if number == 1 { refused() } else { connected(number) })
    });
    assert_eq!((result.expect("the third connects"), extra_attempts), (2, 2));
}

#[test]
fn there_are_at_most_four_attempts_and_none_without_room() {
    let (result, extra_attempts) = run(1000 * DELAY, pending_attempt(), |_| Some(pending_attempt()));
    assert_eq!((result.expect_err("none connects").kind(), extra_attempts), (io::ErrorKind::TimedOut, 3));
    let (result, _) = run(1000 * DELAY, pending_attempt(), |_| None);
    assert_eq!(result.expect_err("no room for another").kind(), io::ErrorKind::TimedOut);
}

#[test]
fn the_delay_follows_connect_times_within_fractions_of_the_timeout() {
    let delay = AttemptDelay::new(Duration::from_millis(320));
    assert_eq!(delay.get(), Duration::from_millis(10), "before any connection");
    (0..200).for_each(|_| delay.learn(Duration::from_millis(5)));
    let learned = delay.get();
    assert!(learned > Duration::from_millis(15) && learned < Duration::from_millis(25), "{learned:?}");
    // One slow connection in three does not change the typical time.
    (0..300).for_each(|n| delay.learn(Duration::from_millis(if n % 3 == 0 { 300 } else { 5 })));
    assert!(delay.get() < Duration::from_millis(40), "{:?}", delay.get());
    (0..200).for_each(|_| delay.learn(Duration::from_millis(300)));
    assert_eq!(delay.get(), Duration::from_millis(80), "a quarter of the timeout");
}
