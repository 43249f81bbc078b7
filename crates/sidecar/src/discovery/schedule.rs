//! The schedule of calls to discovery: when a call is made, how long it may wait there for news, when a second call is
//! made beside one that is overdue, and when a call that failed is retried. No I/O.
//!
//! Discovery answers all sidecars of a fleet in turn, so a call that is given up or refused has cost it as much as one that
//! is answered; only a call that continues a watch does not queue. Therefore an overdue call is not given up: a second call is made beside it, and whichever is answered first
//! counts.

use super::retry_cycle::{Period, RetryCycle};
use crate::freshness::LIST_VALID_FOR;
use std::fmt;
use std::time::Duration;

/// Time since the schedule's owner started.
pub type Time = Duration;

/// A change counts as told so long after discovery had it and could be reached, whatever call failed.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

/// How long a call waits at discovery for news, at most. An answer confirms the list as of the beginning of its call, so two
/// waits in a row have to end before [`LIST_VALID_FOR`] has passed.
const HOLD: Duration = Duration::from_millis(2600);
/// The same at a local agent that lists are pushed to; calls there are free.
const HOLD_PUSHED: Duration = Duration::from_secs(2);
/// A wait ends so long before the list lapses, so that its answer comes in time.
const BEFORE_LAPSE: Duration = Duration::from_millis(600);
/// The part of [`NOTIFICATION_DEADLINE`] that remains for a second call after a wait has ended without an answer.
const RESERVE: Duration = Duration::from_secs(2);
/// The share of a wait that is random. A change ends the waits of the whole fleet at once; without this all would call
/// in step from then on.
const SPREAD: f64 = 0.25;

/// A wait that continues a watch is overdue so long after its end: such a call does not queue.
const OVERDUE: Duration = Duration::from_millis(250);
/// Any other call is overdue after this time at the earliest, as it may stand in discovery's queue until then; a second one
/// beside it would only make the queue longer.
const OVERDUE_NEW: Duration = Duration::from_secs(3);
/// A busy discovery may take this long to answer or to refuse; nobody gives up sooner.
const QUEUE: Duration = Duration::from_millis(3200);
/// How long a call that has waited may take beyond its wait before it is given up.
const GIVE_UP: Duration = Duration::from_secs(1);
/// The same at an agent.
const GIVE_UP_PUSHED: Duration = Duration::from_millis(500);
/// An agent that is up answers within this time. What it receives when discovery is back counts as told at once, so this
/// and what follows must lie within the grace of a drain.
const AGENT: Duration = Duration::from_millis(100);
/// One in so many calls to an agent that does not answer has more time, as this process may have been delayed itself.
const AGENT_PATIENT: u32 = 4;

/// A call so soon after an answer continues the watch.
const CONTINUES: Duration = Duration::from_millis(200);

/// News that is owed is asked for again after this time on average, then after twice as long, and so on; a call that was
/// refused is repeated later.
const SOON: Duration = Duration::from_millis(50);
/// The same at an agent.
const SOON_PUSHED: Duration = Duration::from_millis(20);
/// How often news that is owed is asked for in quick succession.
const QUICK_RETRIES: u32 = 4;
/// Calls that are refused at once are this far apart on average. A refused call costs a busy discovery as much as an
/// answered one: with calls that came sooner as time ran out, a fleet of 300 had no answer at all for four seconds.
const RETRY: Duration = Duration::from_millis(1300);
/// A call that opens a watch and was refused after this time stood in a queue, or discovery is down: from then on calls are
/// made in a [`RetryCycle`].
const QUEUED: Duration = Duration::from_secs(1);
/// A call that waits for its turn in the cycle is made after this time on average once the list is suspected to be out of
/// date. Few sidecars of a fleet suspect it at once, so they go before those whose lists have not changed.
const RETRY_SUSPECTED: Duration = Duration::from_secs(1);
/// A refused call that asks for news that is owed is repeated after this time on average, then after twice as long, and
/// so on up to [`RETRY`].
const RETRY_OWED: Duration = Duration::from_millis(200);
/// A list of an older version is taken once such a list has come so many times in a row.
const OLDER_UNTIL_TAKEN: u32 = 3;
/// Calls in flight at once, at most.
const IN_FLIGHT: usize = 2;

/// Identifies one call; a later call has a greater number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a call brought no list that could be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It was given up without an answer.
    TimedOut,
    /// Its answer broke off or cannot be read, so news may be owed.
    Invalid,
    /// It was refused.
    Rejected,
    /// Discovery was not reached: no connection could be made, or it ended before a byte of an answer.
    Unreachable,
    /// Its list is older than the one held.
    Older,
}

impl Failure {
    /// Nothing of a list came, and the connection did not fall silent.
    fn is_refusal(self) -> bool {
        matches!(self, Failure::Rejected | Failure::Unreachable)
    }
}

/// A call that is to be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Which.
    pub id: CallId,
    /// How long it may wait at discovery for news.
    pub hold: Duration,
    /// How long to wait for its answer before it is given up.
    pub timeout: Duration,
    /// A call in flight that is given up in its favour.
    pub replaces: Option<CallId>,
}

#[derive(Debug)]
struct InFlight {
    id: CallId,
    began: Time,
    /// It opens a watch, so it may have to queue.
    opens: bool,
    overdue: Option<Time>,
    /// When something of its list last came, or else when it began.
    active: Time,
}

/// How lists come.
#[derive(Debug, Clone, Copy)]
enum Mode {
    /// They are asked for; refused calls are `retry` apart on average, in a retry cycle `period`.
    Asked { retry: Duration, period: Duration },
    /// They are pushed to an agent on the own machine.
    Pushed,
}

/// Decides when discovery is called.
#[derive(Debug)]
pub struct Schedule {
    rng: fastrand::Rng,
    mode: Mode,
    next_id: u64,
    in_flight: Vec<InFlight>,
    /// When the next call is made if none that is in flight is overdue sooner.
    next: Option<Time>,
    /// That call is made beside one whose list has paused.
    next_is_beside: bool,
    /// When discovery last confirmed the list.
    confirmed: Time,
    /// When the last call was answered, if the next one may continue its watch.
    continues: Option<Time>,
    /// When the last call ended that discovery answered or refused.
    heard: Time,
    /// Failures in a row.
    failures: u32,
    /// Calls while discovery is down or crowded.
    cycle: RetryCycle,
    /// The list is borne out by the endpoints that serve.
    corroborated: bool,
    /// So many of the next calls are quick retries, as news is owed; and so many were made.
    quick_left: u32,
    quick_made: u32,
    /// Lists of an older version in a row.
    older: u32,
    /// The list that is held lapses then; there is none at the start, as the one that is given may be of any age.
    lapses: Option<Time>,
    /// The next call has been brought forward, as the list is suspected to be out of date.
    brought_forward: bool,
}

impl Schedule {
    /// A schedule at time zero, with its first call due at once; `seed` spreads calls of several sidecars.
    pub fn new(seed: u64) -> Schedule {
        Schedule {
            rng: fastrand::Rng::with_seed(seed),
            mode: Mode::Asked { retry: RETRY, period: RetryCycle::period(Duration::MAX) },
            next_id: 0,
            in_flight: Vec::new(),
            next: Some(Time::ZERO),
            next_is_beside: false,
            confirmed: Time::ZERO,
            continues: None,
            heard: Time::ZERO,
            failures: 0,
            cycle: RetryCycle::default(),
            corroborated: false,
            quick_left: 0,
            quick_made: 0,
            older: 0,
            lapses: None,
            brought_forward: false,
        }
    }

    /// Takes over how lists come, and within what time the settings have them asked for.
    pub fn configure(&mut self, pushed: bool, ask_within: Duration) {
        let retry = RETRY.min(ask_within.min(NOTIFICATION_DEADLINE) / 4);
        let period = RetryCycle::period(ask_within).max(retry);
        self.mode = if pushed { Mode::Pushed } else { Mode::Asked { retry, period } };
    }

    /// When [`poll`](Schedule::poll) may have a call next; `None` while only answers are waited for.
    pub fn next_at(&self) -> Option<Time> {
        let overdue = self.newest().and_then(|call| call.overdue);
        self.next.into_iter().chain(overdue).min()
    }

    /// The call that is due, if one is. `whole` says that the whole list is wanted, for which no call waits.
    pub fn poll(&mut self, now: Time, whole: bool) -> Option<Call> {
        if self.next_at().is_none_or(|at| at > now) {
            return None;
        }
        let beside = self.next.take().is_none() || std::mem::take(&mut self.next_is_beside);
        // What is overdue has its second call now. Danger: where that one is refused at once, a call that stays overdue would
        // have the next made at every poll.
        for call in &mut self.in_flight {
            call.overdue = None;
        }
        let hold = self.hold(now, whole || beside || self.quick_left > 0);
        self.brought_forward = false;
        let id = CallId(self.next_id);
        self.next_id += 1;
        let replaces = self.least_active().filter(|_| self.in_flight.len() >= IN_FLIGHT);
        self.in_flight.retain(|call| Some(call.id) != replaces);
        let continues = self.continues.take().is_some_and(|answered| now <= answered + CONTINUES) && !beside;
        let overdue = self.overdue(now, hold, continues);
        self.in_flight.push(InFlight { id, began: now, opens: !continues, overdue, active: now });
        Some(Call { id, hold, timeout: self.timeout(hold), replaces })
    }

    /// A call was answered with a list that was taken.
    pub fn answered(&mut self, id: CallId, now: Time) {
        if let Some(call) = self.in_flight.iter().find(|call| call.id == id) {
            self.lapses = self.lapses.max(Some(call.began + LIST_VALID_FOR));
        }
        let newest = self.forget(id).unwrap_or(false);
        self.confirmed = now;
        self.heard = now;
        self.reset_failures();
        if newest {
            self.call_at(now);
            self.continues = Some(now);
        }
    }

    /// A call failed.
    pub fn failed(&mut self, id: CallId, failure: Failure, now: Time) {
        let overtaken = self.overtaken(id);
        let Some(call) = self.in_flight.iter().find(|call| call.id == id) else { return };
        let (began, opens) = (call.began, call.opens);
        let newest = self.forget(id).unwrap_or(false);
        if failure != Failure::TimedOut {
            self.heard = now;
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
            (1, _) if !failure.is_refusal() => QUICK_RETRIES,
            (_, left @ 1..) => left - 1,
            // A silent call among refused ones met a silent connection; one quick call shows that.
            _ => u32::from(!failure.is_refusal()),
        };
        let at = match self.mode {
            Mode::Asked { period, .. }
                if self.quick_left == 0 && self.is_down_or_crowded(failure, opens, began, now) =>
            {
                self.quick_made = 0;
                let phase = self.rng.f64();
                let period = Period { usual: period, corroborated: self.corroborated };
                self.cycle.next(period, began, now, phase)
            }
            _ => {
                let mean = self.retry_after(failure);
                now + self.spread(mean)
            }
        };
        self.call_at(at);
    }

    /// Whether the list is borne out by the endpoints that serve.
    pub fn observe(&mut self, corroborated: bool) {
        self.corroborated = corroborated;
    }

    /// The list of a call goes on. However long it is, no second call is made while it does.
    pub fn progressed(&mut self, id: CallId, now: Time) {
        let Some(call) = self.in_flight.iter_mut().find(|call| call.id == id) else { return };
        call.active = now;
        call.overdue = call.overdue.map(|overdue| overdue.max(now + OVERDUE_NEW));
    }

    /// The list of a call has paused. What is written counts as told and the rest may never come, so a second call asks for
    /// it soon; the list may still go on.
    pub fn stalled(&mut self, id: CallId, now: Time) {
        let alone = self.in_flight.len() == 1 && self.in_flight[0].id == id;
        if !alone || self.next.is_some() {
            return;
        }
        let mean = self.soon();
        self.next = Some(now + self.spread(mean));
        self.next_is_beside = true;
    }

    /// The list is suspected to be out of date: in an outage the next call is brought forward, once.
    pub fn suspect(&mut self, now: Time) {
        if self.brought_forward || !self.in_flight.is_empty() || !self.is_outage(now) {
            return;
        }
        let at = now + self.spread(RETRY_SUSPECTED);
        if self.next.is_some_and(|next| at < next) {
            self.next = Some(at);
            self.brought_forward = true;
        }
    }

    /// Discovery is at another address now: calls in flight are abandoned, and the whole list is asked for at once.
    pub fn moved(&mut self, now: Time) {
        self.in_flight.clear();
        self.reset_failures();
        (self.confirmed, self.heard, self.continues) = (now, now, None);
        self.call_at(now);
    }

    /// Whether another call has confirmed the list since this one began, so that an older list says nothing.
    pub fn overtaken(&self, id: CallId) -> bool {
        self.in_flight.iter().any(|call| call.id == id && call.began < self.confirmed)
    }

    /// Whether lists of an older version have come so often that discovery has begun anew, and the next one is taken.
    pub fn accepts_older(&self) -> bool {
        self.older + 1 >= OLDER_UNTIL_TAKEN
    }

    /// When discovery last confirmed the list that is held.
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

    /// The next call is made then, whatever is in flight.
    fn call_at(&mut self, at: Time) {
        self.next = Some(at);
        self.next_is_beside = false;
    }

    /// Half of this time to one and a half of it.
    fn spread(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(0.5 + self.rng.f64())
    }

    /// The call in flight of which nothing has come for longest.
    fn least_active(&self) -> Option<CallId> {
        self.in_flight.iter().min_by_key(|call| call.active).map(|call| call.id)
    }

    fn newest(&self) -> Option<&InFlight> {
        self.in_flight.last()
    }

    /// Drops a call that has ended; tells whether no later one is in flight.
    fn forget(&mut self, id: CallId) -> Option<bool> {
        let at = self.in_flight.iter().position(|call| call.id == id)?;
        self.in_flight.remove(at);
        Some(at == self.in_flight.len())
    }

    fn hold(&mut self, now: Time, at_once: bool) -> Duration {
        let longest = match self.mode {
            // An agent that is silent is asked whether it is there.
            Mode::Pushed if self.failures > 0 || self.next_id == 0 => Duration::ZERO,
            Mode::Pushed => HOLD_PUSHED,
            Mode::Asked { .. } if at_once => Duration::ZERO,
            Mode::Asked { .. } => {
                let lapses = self.lapses.unwrap_or_default();
                let before_lapse = lapses.saturating_sub(BEFORE_LAPSE + now);
                (self.heard + NOTIFICATION_DEADLINE).saturating_sub(RESERVE + now).min(before_lapse).min(HOLD)
            }
        };
        longest.mul_f64(1.0 - SPREAD * self.rng.f64())
    }

    /// Whether a call that failed so shows that discovery is down or crowded.
    fn is_down_or_crowded(&self, failure: Failure, opens: bool, began: Time, now: Time) -> bool {
        match failure {
            Failure::Rejected => opens && now.saturating_sub(began) >= QUEUED,
            // One alone may be a connection that was reset.
            Failure::Unreachable => self.failures > 1,
            Failure::TimedOut | Failure::Invalid | Failure::Older => false,
        }
    }

    /// Whether nothing was confirmed for longer than a change may stay unknown.
    fn is_outage(&self, now: Time) -> bool {
        now > self.confirmed + NOTIFICATION_DEADLINE
    }

    /// When a second call is made beside one that begins now.
    fn overdue(&self, now: Time, hold: Duration, continues: bool) -> Option<Time> {
        match self.mode {
            Mode::Pushed => None,
            Mode::Asked { .. } if continues => Some(now + hold + OVERDUE),
            Mode::Asked { .. } => Some(now + OVERDUE_NEW.max(hold + OVERDUE)),
        }
    }

    fn timeout(&self, hold: Duration) -> Duration {
        match self.mode {
            Mode::Asked { .. } => QUEUE.max(hold + GIVE_UP),
            Mode::Pushed if !hold.is_zero() => hold + GIVE_UP_PUSHED,
            Mode::Pushed if self.failures > 0 && self.failures.is_multiple_of(AGENT_PATIENT) => {
                GIVE_UP_PUSHED
            }
            Mode::Pushed => AGENT,
        }
    }

    /// The average time until news that is owed is asked for.
    fn soon(&self) -> Duration {
        match self.mode {
            Mode::Asked { .. } => SOON,
            Mode::Pushed => SOON_PUSHED,
        }
    }

    /// The average time until the call after one that failed so.
    fn retry_after(&mut self, failure: Failure) -> Duration {
        let Mode::Asked { retry, .. } = self.mode else { return self.soon() };
        if self.quick_left == 0 {
            self.quick_made = 0;
            // A silent call has waited long enough already.
            return if failure == Failure::TimedOut { retry / 2 } else { retry };
        }
        let first = if failure.is_refusal() { RETRY_OWED } else { self.soon() };
        let doubled = first * (1 << self.quick_made.min(QUICK_RETRIES - 1));
        self.quick_made += 1;
        doubled.min(retry)
    }
}
