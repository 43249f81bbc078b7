//! Evidence on whether the list held is out of date: endpoints on it that turn requests away, as draining ones do, and
//! endpoints that serve.

use cometcroft::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A list is suspected once so many endpoints on it turn requests away. One alone may just have a full queue.
const SUSPECTED_FROM: usize = 2;
/// A list is borne out while so many endpoints on it have served lately, and it is not suspected: if a fifth of them drained,
/// that would be seen with a probability of 93 %.
const CORROBORATED_FROM: usize = 12;
/// Of a long list so large a share of it, as fewer tell little of single endpoints that drain.
const CORROBORATED_SHARE: f64 = 0.05;
/// How long ago that is at most.
const LATELY: Duration = Duration::from_secs(3);
/// Older answers are forgotten when so many are held.
const HELD: usize = 256;

/// What endpoints have answered since discovery last confirmed the list.
#[derive(Debug, Default)]
pub struct Staleness {
    /// Those whose last answer turned a request away.
    turned_away: RefCell<HashSet<EndpointId>>,
    /// When the others last served.
    served: RefCell<HashMap<EndpointId, Instant>>,
    confirmed: Cell<Option<Instant>>,
    suspected: Notify,
}

impl Staleness {
    /// An endpoint has answered a request, or has turned it away.
    pub fn record_response(&self, endpoint: EndpointId, turned_away: bool, now: Instant) {
        let mut endpoints = self.turned_away.borrow_mut();
        if !turned_away {
            endpoints.remove(&endpoint);
            self.serves(endpoint, now);
            return;
        }
        endpoints.insert(endpoint);
        self.served.borrow_mut().remove(&endpoint);
        if endpoints.len() >= SUSPECTED_FROM {
            self.suspected.notify_one();
        }
    }

    fn serves(&self, endpoint: EndpointId, now: Instant) {
        let mut served = self.served.borrow_mut();
        if served.len() >= HELD {
            served.retain(|_, at| now.saturating_duration_since(*at) <= LATELY);
        }
        served.insert(endpoint, now);
    }

    /// Whether a list of so many endpoints is borne out by those that serve.
    pub fn is_corroborated(&self, listed: usize, now: Instant) -> bool {
        let served = self.served.borrow();
        let lately = served.values().filter(|at| now.saturating_duration_since(**at) <= LATELY).count();
        let enough = CORROBORATED_FROM.max((listed as f64 * CORROBORATED_SHARE).ceil() as usize);
        lately >= enough && self.turned_away.borrow().len() < SUSPECTED_FROM
    }

    /// Discovery has confirmed the list.
    pub fn record_confirmation(&self, now: Instant) {
        self.turned_away.borrow_mut().clear();
        self.confirmed.set(Some(now));
    }

    /// When discovery last confirmed the list, if it has since the start.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed.get()
    }

    /// Waits until the list is suspected to be out of date.
    pub async fn wait_until_suspected(&self) {
        self.suspected.notified().await;
    }
}
