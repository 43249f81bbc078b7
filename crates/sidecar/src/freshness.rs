//! How long a list that discovery does not confirm may be used. No I/O.
//!
//! A change counts as told [`NOTIFICATION_DEADLINE`] after discovery had it, whether or not it could answer all who asked. So what is held
//! lapses that long after the instant as of which it was known to hold, and nobody can tell then whether an endpoint drains,
//! but by the endpoint itself: one that drains turns new requests away after a while ([`WINDING_DOWN`]). Until the list is
//! confirmed, requests begin only at endpoints that took one lately. That calls fail, however they do, opens nothing: it says
//! nothing of what discovery had before.

use crate::discovery::schedule::NOTIFICATION_DEADLINE;
use cometcroft::ListValidity;
use std::cell::Cell;
use std::time::{Duration, Instant};
use thiserror::Error;

/// An endpoint that drains may go on taking requests for so long after discovery lists it as draining.
const WINDING_DOWN: Duration = Duration::from_millis(2500);
/// This process may be held up for so long between a look at the clock and a write.
const HELD_UP: Duration = Duration::from_millis(150);
/// A list holds for so long from the beginning of the call that was answered with it or confirmed it.
pub const LIST_VALID_FOR: Duration = NOTIFICATION_DEADLINE.saturating_sub(HELD_UP);
/// That an endpoint took a request shows for so long that it takes another.
const ACCEPTED_VALID_FOR: Duration = LIST_VALID_FOR.saturating_sub(WINDING_DOWN);

/// What shows that a request may begin at an endpoint that the list names as ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Lists are pushed, and the agent has been asked: what it does not tell does not count as told.
    Pushed,
    /// The list is known to hold for so much longer.
    ListHolds(Duration),
    /// The list does not hold; the endpoint took a request that began so long ago.
    Accepted(Duration),
}

/// Why nothing shows that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoEvidence {
    /// The endpoint took no request since it started.
    #[error("{0}, and the endpoint took no request")]
    NeverAccepted(ListInvalid),
    /// The last request that the endpoint took began so long ago.
    #[error("{0}, and the endpoint took its last request {1:?} ago")]
    AcceptedTooLongAgo(ListInvalid, Duration),
}

/// Why the list does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ListInvalid {
    /// Discovery has not answered since the process started.
    #[error("no list was confirmed since the start")]
    NeverConfirmed,
    /// It lapsed so long ago.
    #[error("the list lapsed {0:?} ago")]
    Expired(Duration),
}

/// What is known of the list as a whole.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Lists are pushed by an agent.
    pushed: Cell<bool>,
    /// The agent has answered since the start, or has let a call go unanswered, as it does while discovery is down.
    agent_asked: Cell<bool>,
    /// No change counts as told before then that is not known here. Danger: the list that a process is started with may be of
    /// any age, so there is none before discovery has answered.
    holds_until: Cell<Option<Instant>>,
}

impl Freshness {
    /// How lists come by the settings.
    pub fn configure(&self, pushed: bool) {
        self.pushed.set(pushed);
    }

    /// Discovery has confirmed the list, with an answer to a call that began at `began`. Danger: an answer may have been made
    /// at any time since then; when it comes says nothing.
    pub fn record_confirmation(&self, began: Instant) {
        self.holds_until.set(self.holds_until.get().max(Some(began + LIST_VALID_FOR)));
    }

    /// A call has ended, with or without an answer.
    pub fn record_call_end(&self) {
        self.agent_asked.set(true);
    }

    /// The list holds for so much longer, whatever becomes of calls.
    pub fn valid_for(&self, now: Instant) -> Duration {
        self.holds_until.get().map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// What shows that a request may begin at any endpoint that is listed as ready.
    pub fn list_evidence(&self, now: Instant) -> Result<Evidence, ListInvalid> {
        if self.pushed.get() && self.agent_asked.get() {
            return Ok(Evidence::Pushed);
        }
        match self.holds_until.get() {
            Some(until) if now < until => Ok(Evidence::ListHolds(until - now)),
            Some(until) => Err(ListInvalid::Expired(now - until)),
            None => Err(ListInvalid::NeverConfirmed),
        }
    }

    /// The same for an endpoint that took a request, which began at `accepted`, if any.
    pub fn evidence(&self, accepted: Option<Instant>, now: Instant) -> Result<Evidence, NoEvidence> {
        self.list_evidence(now).or_else(|not_held| {
            match accepted.map(|at| now.saturating_duration_since(at)) {
                Some(ago) if ago < ACCEPTED_VALID_FOR => Ok(Evidence::Accepted(ago)),
                Some(ago) => Err(NoEvidence::AcceptedTooLongAgo(not_held, ago)),
                None => Err(NoEvidence::NeverAccepted(not_held)),
            }
        })
    }

    /// Whether anything does.
    pub fn allows(&self, accepted: Option<Instant>, now: Instant) -> bool {
        self.evidence(accepted, now).is_ok()
    }

    /// How far the decision module can rely on the list; none: without end.
    pub fn validity(&self, now: Instant) -> Option<ListValidity> {
        match self.list_evidence(now) {
            Ok(Evidence::Pushed) => None,
            _ => Some(ListValidity {
                list_valid_for: self.valid_for(now),
                accepted_valid_for: ACCEPTED_VALID_FOR,
            }),
        }
    }
}
