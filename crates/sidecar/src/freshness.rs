//! How long an endpoint list stays valid without a confirmation by discovery. No I/O.
//!
//! A change counts as delivered [`NOTIFICATION_DEADLINE`] after discovery had it, whether or not discovery could answer all
//! sidecars. A list therefore expires that long after the instant as of which it was known to be current. From then on only
//! an endpoint itself can show that it does not drain: a draining endpoint rejects new requests after a while
//! ([`DRAINING_ACCEPTS_FOR`]). Until the list is confirmed again, requests begin only at endpoints that have recently
//! accepted one. A failed call to discovery, whatever the failure, opens no endpoint: it shows nothing about the changes that
//! discovery had before.

use crate::discovery::schedule::NOTIFICATION_DEADLINE;
use cometcroft::ListValidity;
use std::cell::Cell;
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long an endpoint may go on accepting requests after discovery lists it as draining.
const DRAINING_ACCEPTS_FOR: Duration = Duration::from_millis(2500);
/// How long this process may be delayed between reading the clock and writing to a connection.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
/// How long a list is valid, counted from the beginning of the call whose response delivered or confirmed it.
pub const LIST_VALID_FOR: Duration = NOTIFICATION_DEADLINE.saturating_sub(MAX_WRITE_DELAY);
/// How long an accepted request shows that its endpoint accepts another, counted from the beginning of that request.
const ACCEPTED_VALID_FOR: Duration = LIST_VALID_FOR.saturating_sub(DRAINING_ACCEPTS_FOR);

/// Evidence that a request may begin at an endpoint that is listed as ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Lists are pushed, and the agent has been called: a change that it has not delivered does not count as delivered.
    Pushed,
    /// The list stays valid for this time.
    ListHolds(Duration),
    /// The list is not valid, but the endpoint accepted a request that began this long ago.
    Accepted(Duration),
}

/// Why there is no evidence that a request may begin at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoEvidence {
    /// The endpoint has accepted no request since it started.
    #[error("{0}, and the endpoint has accepted no request")]
    NeverAccepted(ListInvalid),
    /// The latest request that the endpoint has accepted began this long ago.
    #[error("{0}, and the latest request accepted by the endpoint began {1:?} ago")]
    AcceptedTooLongAgo(ListInvalid, Duration),
}

/// Why the list is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ListInvalid {
    /// Discovery has not answered since the process started.
    #[error("discovery has confirmed no list since the start")]
    NeverConfirmed,
    /// The list expired this long ago.
    #[error("the list expired {0:?} ago")]
    Expired(Duration),
}

/// Tracks until when the list is valid.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Whether an agent pushes the lists.
    pushed: Cell<bool>,
    /// Whether a call to the agent has ended since the start, with or without a response. The agent does not respond while
    /// discovery is down.
    agent_called: Cell<bool>,
    /// Until then, no unknown change counts as delivered. `None` until discovery has answered, as the list that a process is
    /// started with may be of any age.
    valid_until: Cell<Option<Instant>>,
}

impl Freshness {
    /// Sets whether an agent pushes the lists.
    pub fn configure(&self, pushed: bool) {
        self.pushed.set(pushed);
    }

    /// Records that discovery confirmed the list in response to a call that began at `began`. The time at which the response
    /// arrived says nothing, as it may have been written at any time since the call began.
    pub fn record_confirmation(&self, began: Instant) {
        self.valid_until.set(self.valid_until.get().max(Some(began + LIST_VALID_FOR)));
    }

    /// Records that a call to discovery has ended, with or without a response.
    pub fn record_call_end(&self) {
        self.agent_called.set(true);
    }

    /// How much longer the list is valid if no further call succeeds.
    pub fn valid_for(&self, now: Instant) -> Duration {
        self.valid_until.get().map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Evidence from the list alone, for any endpoint that is listed as ready.
    pub fn list_evidence(&self, now: Instant) -> Result<Evidence, ListInvalid> {
        if self.pushed.get() && self.agent_called.get() {
            return Ok(Evidence::Pushed);
        }
        match self.valid_until.get() {
            Some(until) if now < until => Ok(Evidence::ListHolds(until - now)),
            Some(until) => Err(ListInvalid::Expired(now - until)),
            None => Err(ListInvalid::NeverConfirmed),
        }
    }

    /// Evidence for an endpoint whose latest accepted request, if any, began at `accepted`.
    pub fn evidence(&self, accepted: Option<Instant>, now: Instant) -> Result<Evidence, NoEvidence> {
        self.list_evidence(now).or_else(|invalid| {
            match accepted.map(|at| now.saturating_duration_since(at)) {
                Some(ago) if ago < ACCEPTED_VALID_FOR => Ok(Evidence::Accepted(ago)),
                Some(ago) => Err(NoEvidence::AcceptedTooLongAgo(invalid, ago)),
                None => Err(NoEvidence::NeverAccepted(invalid)),
            }
        })
    }

    /// Whether there is evidence that a request may begin at such an endpoint.
    pub fn allows(&self, accepted: Option<Instant>, now: Instant) -> bool {
        self.evidence(accepted, now).is_ok()
    }

    /// The list's validity for the decision module; `None` if it does not expire.
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
