//! Evidence from traffic on whether the current list is out of date: endpoints that reject requests, as draining ones do,
//! speak against the list, and endpoints that serve requests speak for it.

use cometcroft::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Number of rejecting endpoints from which on the list is suspected to be out of date. A single one may just have a full
/// queue.
const SUSPECT_THRESHOLD: usize = 2;
/// Number of endpoints that must have served recently for the list to count as corroborated by traffic. If a fifth of the
/// endpoints drained, this many would show it with a probability of 93 %.
const CORROBORATED_MIN: usize = 12;
/// Share of a long list that must have served recently, as fewer endpoints would say little about single ones that drain.
const CORROBORATED_SHARE: f64 = 0.05;
/// Maximum age of a response that counts as recent.
const RECENT: Duration = Duration::from_secs(3);
/// Number of recorded responses from which on old ones are pruned.
const PRUNE_THRESHOLD: usize = 256;

/// Endpoints by their latest responses. Rejections are forgotten when discovery confirms the list.
#[derive(Debug, Default)]
pub struct Staleness {
    /// Endpoints whose latest response was a rejection.
    rejecting: RefCell<HashSet<EndpointId>>,
    /// When each of the other endpoints last served a request.
    served: RefCell<HashMap<EndpointId, Instant>>,
    confirmed: Cell<Option<Instant>>,
    suspected: Notify,
}

impl Staleness {
    /// Records an endpoint's response to a request.
    pub fn record_response(&self, endpoint: EndpointId, rejected: bool, now: Instant) {
        let mut rejecting = self.rejecting.borrow_mut();
        if !rejected {
            rejecting.remove(&endpoint);
            self.record_served(endpoint, now);
            return;
        }
        rejecting.insert(endpoint);
        self.served.borrow_mut().remove(&endpoint);
        if rejecting.len() >= SUSPECT_THRESHOLD {
            self.suspected.notify_one();
        }
    }

    fn record_served(&self, endpoint: EndpointId, now: Instant) {
        let mut served = self.served.borrow_mut();
        if served.len() >= PRUNE_THRESHOLD {
            served.retain(|_, at| now.saturating_duration_since(*at) <= RECENT);
        }
        served.insert(endpoint, now);
    }

    /// Whether a list of `listed` endpoints is corroborated by those that have recently served requests, and not suspected to be
    /// out of date.
    pub fn is_corroborated(&self, listed: usize, now: Instant) -> bool {
        let served = self.served.borrow();
        let recent = served.values().filter(|at| now.saturating_duration_since(**at) <= RECENT).count();
        let enough = CORROBORATED_MIN.max((listed as f64 * CORROBORATED_SHARE).ceil() as usize);
        recent >= enough && self.rejecting.borrow().len() < SUSPECT_THRESHOLD
    }

    /// Records that discovery has confirmed the list.
    pub fn record_confirmation(&self, now: Instant) {
        self.rejecting.borrow_mut().clear();
        self.confirmed.set(Some(now));
    }

    /// When discovery last confirmed the list; `None` if it has not since the start.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed.get()
    }

    /// Waits until the list is suspected to be out of date.
    pub async fn wait_until_suspected(&self) {
        self.suspected.notified().await;
    }
}
