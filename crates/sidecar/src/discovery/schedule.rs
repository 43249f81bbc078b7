//! The schedule of calls to discovery: when a call is due, how long discovery may hold it until there is a change, when a
//! second call is made beside one that is overdue, and when a failed call is retried. No I/O.
//!
//! Discovery serves the sidecars of a fleet one after another, so a call that the sidecar gives up or discovery rejects has
//! cost as much as one that is answered; only a call that continues a watch does not queue. An overdue call is therefore not
//! given up: a second call is made beside it, and the first response counts.

use super::retry_cycle::{Period, RetryCycle};
use crate::freshness::LIST_VALID_FOR;
use std::fmt;
use std::time::Duration;

/// Time since the owner of the schedule started.
pub type Time = Duration;

/// How long after discovery had a change, and could be reached, the change counts as delivered, whichever calls failed.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

/// Maximum time for which discovery may hold a call until there is a change. A response confirms the list as of the beginning
/// of its call, so two held calls in a row have to end within [`LIST_VALID_FOR`].
const MAX_HOLD: Duration = Duration::from_millis(2600);
/// Maximum time for which the local agent may hold a call if lists are pushed. Calls to the agent cost nothing.
const MAX_HOLD_PUSHED: Duration = Duration::from_secs(2);
/// How long before the list expires a held call has to end, so that its response comes in time.
const BEFORE_EXPIRY: Duration = Duration::from_millis(600);
/// The part of [`NOTIFICATION_DEADLINE`] that is reserved for a second call after a held call got no response.
const SECOND_CALL_RESERVE: Duration = Duration::from_secs(2);
/// Random share of the hold time. A change ends the held calls of the whole fleet at once; without this share, all sidecars
/// would call at the same times from then on.
const HOLD_JITTER: f64 = 0.25;

/// How long after its hold time a call that continues a watch is overdue. Such a call does not queue.
const OVERDUE_CONTINUED: Duration = Duration::from_millis(250);
/// The earliest time after which any other call is overdue. Until then it may be waiting in discovery's queue, which a second
/// call would only make longer.
const OVERDUE_NEW: Duration = Duration::from_secs(3);
/// Minimum timeout of a call to discovery. When busy, discovery may take this long to answer or reject it.
const MIN_TIMEOUT: Duration = Duration::from_millis(3200);
/// Timeout of a held call beyond its hold time.
const TIMEOUT_AFTER_HOLD: Duration = Duration::from_secs(1);
/// Timeout of a held call to the agent beyond its hold time.
const TIMEOUT_AFTER_HOLD_PUSHED: Duration = Duration::from_millis(500);
/// Timeout of a call to the agent that it must not hold. A change that the agent receives when discovery is back counts as
/// delivered at once, so this time and that of the following call have to fit into the grace period of a drain.
const AGENT_TIMEOUT: Duration = Duration::from_millis(100);
/// One in this many calls to an agent that does not answer has a longer timeout, as this process itself may have been
/// delayed.
const AGENT_LONG_TIMEOUT_EVERY: u32 = 4;

/// How soon after a response the next call has to be made in order to continue the watch.
const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);

/// Mean delay of the first quick retry, which doubles with each further one. Quick retries follow a call that failed when
/// discovery may already have had a change to deliver; a rejected call is retried later.
const QUICK_RETRY: Duration = Duration::from_millis(50);
/// Mean delay of a retry at an agent.
const QUICK_RETRY_PUSHED: Duration = Duration::from_millis(20);
/// Number of quick retries in a row.
const QUICK_RETRIES: u32 = 4;
/// Mean delay of a retry after a call that was rejected at once. A rejected call costs a busy discovery as much as an
/// answered one: with retries that got more frequent towards the deadline, a fleet of 300 got no response at all for four
/// seconds.
const RETRY: Duration = Duration::from_millis(1300);
/// If a call that opens a watch is rejected after at least this time, it was waiting in a queue, or discovery is down. From
/// then on, calls follow a [`RetryCycle`].
const QUEUED: Duration = Duration::from_secs(1);
/// Mean delay of a call that is brought forward in the cycle because the list is suspected to be out of date. Only a few
/// sidecars of a fleet suspect it at the same time, so they go before those whose lists have not changed.
const RETRY_SUSPECTED: Duration = Duration::from_secs(1);
/// Mean delay of the first quick retry after a rejected or unreachable call. It doubles with each further one, up to
/// [`RETRY`].
const QUICK_RETRY_REJECTED: Duration = Duration::from_millis(200);
/// Number of lists of an older version in a row after which such a list is accepted.
const ACCEPT_OLDER_AFTER: u32 = 3;
/// Maximum number of calls in flight.
const MAX_IN_FLIGHT: usize = 2;

/// Identifies a call. Later calls have greater ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a call brought no usable list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The call timed out.
    TimedOut,
    /// The response was truncated or unreadable, so it may have contained a change that is not known here.
    Invalid,
    /// Discovery rejected the call.
    Rejected,
    /// No connection could be made, or it ended before the first byte of a response.
    Unreachable,
    /// The list is older than the current one.
    Older,
}

impl Failure {
    /// Whether no part of a list arrived and the call did not time out.
    fn is_rejection(self) -> bool {
        matches!(self, Failure::Rejected | Failure::Unreachable)
    }
}

/// A call that is due now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// The call's id.
    pub id: CallId,
    /// How long discovery may hold the call until there is a change.
    pub hold: Duration,
    /// How long to wait for the beginning of the response.
    pub timeout: Duration,
    /// A call in flight that is abandoned in favour of this one.
    pub replaces: Option<CallId>,
}

#[derive(Debug)]
struct InFlight {
    id: CallId,
    began: Time,
    /// Whether the call opens a watch, so that it may have to queue.
    opens_watch: bool,
    /// When a second call is made beside this one.
    overdue_at: Option<Time>,
    /// When a part of its list last arrived, or else when the call began.
    last_active: Time,
}

/// How lists are delivered.
#[derive(Debug, Clone, Copy)]
enum Mode {
    /// Lists are polled. `retry` is the mean delay after a rejected call, `period` the base period of the retry cycle.
    Polled { retry: Duration, period: Duration },
    /// Lists are pushed to an agent on the same host.
    Pushed,
}

/// Decides when discovery is called.
#[derive(Debug)]
pub struct Schedule {
    rng: fastrand::Rng,
    mode: Mode,
    next_id: u64,
    in_flight: Vec<InFlight>,
    /// When the next call is due, unless one in flight is overdue sooner.
    next: Option<Time>,
    /// Whether the next call is made beside one whose list has stalled.
    next_is_second: bool,
    /// When discovery last confirmed the list.
    confirmed: Time,
    /// When the last call was answered, if the next one may continue its watch.
    watch_answered: Option<Time>,
    /// When a call last ended otherwise than by a timeout.
    last_contact: Time,
    /// Number of failures in a row.
    failures: u32,
    /// Times the calls while discovery is down or overloaded.
    cycle: RetryCycle,
    /// Whether the list is corroborated by the endpoints that serve requests.
    corroborated: bool,
    /// Number of quick retries still to make.
    quick_left: u32,
    /// Number of quick retries made.
    quick_made: u32,
    /// Number of lists of an older version since the last list that was applied.
    older: u32,
    /// When the current list expires. `None` at the start, as the list that a process is started with may be of any age.
    expires_at: Option<Time>,
    /// Whether the next call has been brought forward because the list is suspected to be out of date.
    brought_forward: bool,
}

impl Schedule {
    /// Creates a schedule at time zero, with the first call due at once. `seed` makes the calls of several sidecars differ.
    pub fn new(seed: u64) -> Schedule {
        Schedule {
            rng: fastrand::Rng::with_seed(seed),
            mode: Mode::Polled { retry: RETRY, period: RetryCycle::period(Duration::MAX) },
            next_id: 0,
            in_flight: Vec::new(),
            next: Some(Time::ZERO),
            next_is_second: false,
            confirmed: Time::ZERO,
            watch_answered: None,
            last_contact: Time::ZERO,
            failures: 0,
            cycle: RetryCycle::default(),
            corroborated: false,
            quick_left: 0,
            quick_made: 0,
            older: 0,
            expires_at: None,
            brought_forward: false,
        }
    }

    /// Sets whether lists are pushed, and the settings' limit on the time between two calls.
    pub fn configure(&mut self, pushed: bool, ask_within: Duration) {
        let retry = RETRY.min(ask_within.min(NOTIFICATION_DEADLINE) / 4);
        let period = RetryCycle::period(ask_within).max(retry);
        self.mode = if pushed { Mode::Pushed } else { Mode::Polled { retry, period } };
    }

    /// When [`poll`](Schedule::poll) has to be called next; `None` while no call is due before one in flight ends.
    pub fn next_at(&self) -> Option<Time> {
        let overdue = self.newest().and_then(|call| call.overdue_at);
        self.next.into_iter().chain(overdue).min()
    }

    /// Returns the call that is due, if any. A call for the complete list (`complete`) is not held by discovery.
    pub fn poll(&mut self, now: Time, complete: bool) -> Option<Call> {
        if self.next_at().is_none_or(|at| at > now) {
            return None;
        }
        let is_second = self.next.take().is_none() || std::mem::take(&mut self.next_is_second);
        // This is the second call of the one that is overdue. If that stayed overdue and second calls were rejected at once,
        // every poll would make another.
        for call in &mut self.in_flight {
            call.overdue_at = None;
        }
        let hold = self.hold(now, complete || is_second || self.quick_left > 0);
        self.brought_forward = false;
        let id = CallId(self.next_id);
        self.next_id += 1;
        let replaces = self.least_active().filter(|_| self.in_flight.len() >= MAX_IN_FLIGHT);
        self.in_flight.retain(|call| Some(call.id) != replaces);
        let continues =
            self.watch_answered.take().is_some_and(|answered| now <= answered + WATCH_CONTINUES_WITHIN)
                && !is_second;
        let overdue_at = self.overdue_at(now, hold, continues);
        self.in_flight.push(InFlight {
            id,
            began: now,
            opens_watch: !continues,
            overdue_at,
            last_active: now,
        });
        Some(Call { id, hold, timeout: self.timeout(hold), replaces })
    }

    /// Records that a call was answered with a list that was applied.
    pub fn answered(&mut self, id: CallId, now: Time) {
        if let Some(call) = self.in_flight.iter().find(|call| call.id == id) {
            self.expires_at = self.expires_at.max(Some(call.began + LIST_VALID_FOR));
        }
        let newest = self.remove(id).unwrap_or(false);
        self.confirmed = now;
        self.last_contact = now;
        self.reset_failures();
        if newest {
            self.call_at(now);
            self.watch_answered = Some(now);
        }
    }

    /// Records that a call failed.
    pub fn failed(&mut self, id: CallId, failure: Failure, now: Time) {
        let overtaken = self.overtaken(id);
        let Some(call) = self.in_flight.iter().find(|call| call.id == id) else { return };
        let (began, opens_watch) = (call.began, call.opens_watch);
        let newest = self.remove(id).unwrap_or(false);
        if failure != Failure::TimedOut {
            self.last_contact = now;
        }
        if !newest {
            return;
        }
        if overtaken && failure == Failure::Older {
            self.call_at(now);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.older += u32::from(failure == Failure::Older);
        self.quick_left = match (self.failures, self.quick_left) {
            (1, _) if !failure.is_rejection() => QUICK_RETRIES,
            (_, left @ 1..) => left - 1,
            // A time-out among rejections may be due to a dead connection. One quick retry on another connection finds out.
            _ => u32::from(!failure.is_rejection()),
        };
        let at = match self.mode {
            Mode::Polled { period, .. }
                if self.quick_left == 0 && self.is_down_or_overloaded(failure, opens_watch, began, now) =>
            {
                self.quick_made = 0;
                let phase = self.rng.f64();
                let period = Period { base: period, corroborated: self.corroborated };
                self.cycle.next(period, began, now, phase)
            }
            _ => {
                let mean = self.retry_after(failure);
                now + self.jittered(mean)
            }
        };
        self.call_at(at);
    }

    /// Sets whether the list is corroborated by the endpoints that serve requests.
    pub fn set_corroborated(&mut self, corroborated: bool) {
        self.corroborated = corroborated;
    }

    /// Records that more of a call's list has arrived. While it does, no second call is made, however long the list is.
    pub fn progressed(&mut self, id: CallId, now: Time) {
        let Some(call) = self.in_flight.iter_mut().find(|call| call.id == id) else { return };
        call.last_active = now;
        call.overdue_at = call.overdue_at.map(|overdue| overdue.max(now + OVERDUE_NEW));
    }

    /// Records that a call's list has stalled. What discovery has written counts as delivered, but the rest may never arrive,
    /// so a second call is made soon. The stalled list may still continue.
    pub fn stalled(&mut self, id: CallId, now: Time) {
        let alone = self.in_flight.len() == 1 && self.in_flight[0].id == id;
        if !alone || self.next.is_some() {
            return;
        }
        let mean = self.quick_retry();
        self.next = Some(now + self.jittered(mean));
        self.next_is_second = true;
    }

    /// Records that the list is suspected to be out of date. During an outage this brings the next call forward, once.
    pub fn suspect(&mut self, now: Time) {
        if self.brought_forward || !self.in_flight.is_empty() || !self.is_outage(now) {
            return;
        }
        let at = now + self.jittered(RETRY_SUSPECTED);
        if self.next.is_some_and(|next| at < next) {
            self.next = Some(at);
            self.brought_forward = true;
        }
    }

    /// Records that discovery has moved to another address: calls in flight are abandoned, and the next one is due at once.
    pub fn moved(&mut self, now: Time) {
        self.in_flight.clear();
        self.reset_failures();
        (self.confirmed, self.last_contact, self.watch_answered) = (now, now, None);
        self.call_at(now);
    }

    /// Whether another call has confirmed the list since this one began. An older list in its response is normal then.
    pub fn overtaken(&self, id: CallId) -> bool {
        self.in_flight.iter().any(|call| call.id == id && call.began < self.confirmed)
    }

    /// Whether lists of an older version have come so often that discovery must have restarted its versions, so that the next
    /// one is accepted.
    pub fn accepts_older(&self) -> bool {
        self.older + 1 >= ACCEPT_OLDER_AFTER
    }

    /// When discovery last confirmed the current list.
    pub fn confirmed(&self) -> Time {
        self.confirmed
    }

    fn reset_failures(&mut self) {
        self.cycle.reset();
        self.failures = 0;
        self.quick_left = 0;
        self.quick_made = 0;
        self.older = 0;
    }

    /// Sets when the next call is due, regardless of calls in flight.
    fn call_at(&mut self, at: Time) {
        self.next = Some(at);
        self.next_is_second = false;
    }

    /// Draws a duration between 0.5 and 1.5 times the mean.
    fn jittered(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(0.5 + self.rng.f64())
    }

    /// The call in flight that has been inactive for longest.
    fn least_active(&self) -> Option<CallId> {
        self.in_flight.iter().min_by_key(|call| call.last_active).map(|call| call.id)
    }

    fn newest(&self) -> Option<&InFlight> {
        self.in_flight.last()
    }

    /// Removes a call that has ended, and returns whether it was the newest one in flight.
    fn remove(&mut self, id: CallId) -> Option<bool> {
        let at = self.in_flight.iter().position(|call| call.id == id)?;
        self.in_flight.remove(at);
        Some(at == self.in_flight.len())
    }

    /// How long discovery may hold the next call.
    fn hold(&mut self, now: Time, at_once: bool) -> Duration {
        let max = match self.mode {
            // After a failure, and at the start, the call only checks that the agent answers.
            Mode::Pushed if self.failures > 0 || self.next_id == 0 => Duration::ZERO,
            Mode::Pushed => MAX_HOLD_PUSHED,
            Mode::Polled { .. } if at_once => Duration::ZERO,
            Mode::Polled { .. } => {
                let expires_at = self.expires_at.unwrap_or_default();
                let before_expiry = expires_at.saturating_sub(BEFORE_EXPIRY + now);
                (self.last_contact + NOTIFICATION_DEADLINE)
                    .saturating_sub(SECOND_CALL_RESERVE + now)
                    .min(before_expiry)
                    .min(MAX_HOLD)
            }
        };
        max.mul_f64(1.0 - HOLD_JITTER * self.rng.f64())
    }

    /// Whether this failure of a call shows that discovery is down or overloaded.
    fn is_down_or_overloaded(&self, failure: Failure, opens_watch: bool, began: Time, now: Time) -> bool {
        match failure {
            Failure::Rejected => opens_watch && now.saturating_sub(began) >= QUEUED,
            // A single failure may be a connection that was reset.
            Failure::Unreachable => self.failures > 1,
            Failure::TimedOut | Failure::Invalid | Failure::Older => false,
        }
    }

    /// Whether discovery has not confirmed the list for longer than [`NOTIFICATION_DEADLINE`].
    fn is_outage(&self, now: Time) -> bool {
        now > self.confirmed + NOTIFICATION_DEADLINE
    }

    /// When a second call is made beside one that begins now.
    fn overdue_at(&self, now: Time, hold: Duration, continues: bool) -> Option<Time> {
        match self.mode {
            Mode::Pushed => None,
            Mode::Polled { .. } if continues => Some(now + hold + OVERDUE_CONTINUED),
            Mode::Polled { .. } => Some(now + OVERDUE_NEW.max(hold + OVERDUE_CONTINUED)),
        }
    }

    /// The timeout of a call that discovery may hold for `hold`.
    fn timeout(&self, hold: Duration) -> Duration {
        match self.mode {
            Mode::Polled { .. } => MIN_TIMEOUT.max(hold + TIMEOUT_AFTER_HOLD),
            Mode::Pushed if !hold.is_zero() => hold + TIMEOUT_AFTER_HOLD_PUSHED,
            Mode::Pushed if self.failures > 0 && self.failures.is_multiple_of(AGENT_LONG_TIMEOUT_EVERY) => {
                TIMEOUT_AFTER_HOLD_PUSHED
            }
            Mode::Pushed => AGENT_TIMEOUT,
        }
    }

    /// The mean delay of the first quick retry.
    fn quick_retry(&self) -> Duration {
        match self.mode {
            Mode::Polled { .. } => QUICK_RETRY,
            Mode::Pushed => QUICK_RETRY_PUSHED,
        }
    }

    /// The mean delay of the call after one with this failure.
    fn retry_after(&mut self, failure: Failure) -> Duration {
        let Mode::Polled { retry, .. } = self.mode else { return self.quick_retry() };
        if self.quick_left == 0 {
            self.quick_made = 0;
            // A call that timed out has taken long already.
            return if failure == Failure::TimedOut { retry / 2 } else { retry };
        }
        let first = if failure.is_rejection() { QUICK_RETRY_REJECTED } else { self.quick_retry() };
        let doubled = first * (1 << self.quick_made.min(QUICK_RETRIES - 1));
        self.quick_made += 1;
        doubled.min(retry)
    }
}
