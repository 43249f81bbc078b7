//! How long a list that discovery does not confirm may be used. No I/O.
//!
//! A change counts as told [`TOLD`] after discovery had it, whether or not it could answer all who asked. So what is held
//! lapses that long after the instant as of which it was known to hold, and nobody can tell then whether an endpoint drains,
//! but by the endpoint itself: one that drains turns new requests away after a while ([`WINDING_DOWN`]). Until the list is
//! confirmed, requests begin only at endpoints that took one lately. That calls fail, however they do, opens nothing: it says
//! nothing of what discovery had before.

use crate::discovery::schedule::TOLD;
use cometcroft::Trust;
use std::cell::Cell;
use std::time::{Duration, Instant};
use thiserror::Error;

/// An endpoint that drains may go on taking requests for so long after discovery lists it as draining.
const WINDING_DOWN: Duration = Duration::from_millis(2500);
/// Discovery may have made an answer so long before its first byte came.
const MADE_BEFORE: Duration = Duration::from_millis(400);
/// This process may be held up for so long between a look at the clock and a write.
const HELD_UP: Duration = Duration::from_millis(150);
/// The list that a process is started with holds for so long: its predecessor had it a moment ago.
const KNOWN: Duration = Duration::from_millis(2500);
/// A list holds for so long.
const LIST: Duration = TOLD.saturating_sub(HELD_UP);
/// That an endpoint took a request shows for so long that it takes another.
const ACCEPTED: Duration = LIST.saturating_sub(WINDING_DOWN);

/// What shows that a request may begin at an endpoint that the list names as ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Lists are pushed: what the agent does not tell does not count as told.
    Pushed,
    /// The list is known to hold for so much longer.
    ListHolds(Duration),
    /// The list has lapsed; the endpoint took a request that began so long ago.
    Accepted(Duration),
}

/// Why nothing shows that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Lack {
    /// The list lapsed so long ago, and the endpoint took no request since it started.
    #[error("the list lapsed {0:?} ago, and the endpoint took no request")]
    NeverAccepted(Duration),
    /// The list lapsed so long ago, and the last request that the endpoint took began so long ago.
    #[error("the list lapsed {0:?} ago, and the endpoint took its last request {1:?} ago")]
    AcceptedTooLongAgo(Duration, Duration),
}

/// What is known of the list as a whole.
#[derive(Debug)]
pub struct Freshness {
    /// Lists are pushed by an agent: what it does not tell does not count as told.
    pushed: Cell<bool>,
    /// No change counts as told before then that is not known here.
    holds_until: Cell<Instant>,
}

impl Freshness {
    /// Of the list that a process is started with.
    pub fn new(now: Instant) -> Freshness {
        Freshness { pushed: Cell::new(false), holds_until: Cell::new(now + KNOWN) }
    }

    /// How lists come by the settings.
    pub fn configure(&self, pushed: bool) {
        self.pushed.set(pushed);
    }

    /// Discovery has confirmed the list, with an answer to a call that began at `began`. It says nothing of what changed
    /// while it was on its way.
    pub fn confirmed(&self, began: Instant, first_byte: Instant) {
        let as_of = first_byte.checked_sub(MADE_BEFORE).map_or(began, |made| made.max(began));
        self.holds_until.set(self.holds_until.get().max(as_of + LIST));
    }

    /// The list holds for so much longer, whatever becomes of calls.
    pub fn holds_for(&self, now: Instant) -> Duration {
        self.holds_until.get().saturating_duration_since(now)
    }

    /// What shows that a request may begin at an endpoint that took another one, which began at `accepted`, if any.
    pub fn evidence(&self, accepted: Option<Instant>, now: Instant) -> Result<Evidence, Lack> {
        let accepted_ago = accepted.map(|at| now.saturating_duration_since(at));
        if self.pushed.get() {
            return Ok(Evidence::Pushed);
        }
        let holds_for = self.holds_for(now);
        if !holds_for.is_zero() {
            return Ok(Evidence::ListHolds(holds_for));
        }
        let lapsed_ago = now.saturating_duration_since(self.holds_until.get());
        match accepted_ago {
            Some(ago) if ago < ACCEPTED => Ok(Evidence::Accepted(ago)),
            Some(ago) => Err(Lack::AcceptedTooLongAgo(lapsed_ago, ago)),
            None => Err(Lack::NeverAccepted(lapsed_ago)),
        }
    }

    /// Whether anything does.
    pub fn allows(&self, accepted: Option<Instant>, now: Instant) -> bool {
        self.evidence(accepted, now).is_ok()
    }

    /// The same for the decision module; none where lists are pushed.
    pub fn trust(&self, now: Instant) -> Option<Trust> {
        if self.pushed.get() {
            return None;
        }
        Some(Trust { list_for: self.holds_for(now), accepted_for: ACCEPTED })
    }
}
