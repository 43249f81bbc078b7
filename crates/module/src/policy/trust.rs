//! ListValidity: which rows may be sent to while the list of endpoints is not confirmed.

use super::Balancer;
use crate::interface::*;
use std::time::Duration;

/// How far the list can be relied on.
#[derive(Debug, Default)]
pub(super) struct ListTrust {
    /// When it was told, and what. With none the list is relied on without end.
    told: Option<(Time, ListValidity)>,
}

impl ListTrust {
    /// It is told now.
    pub(super) fn told(&mut self, now: Time, trust: Option<ListValidity>) {
        self.told = trust.map(|trust| (now, trust));
    }

    /// Whether an endpoint may be sent to that is listed as ready and took a request sent at `accepted`.
    pub(super) fn covers(&self, now: Time, accepted: Option<Time>) -> bool {
        let Some((at, trust)) = self.told else { return true };
        now < at + trust.list_valid_for
            || accepted.is_some_and(|accepted| now < accepted + trust.accepted_valid_for)
    }
}

impl Balancer {
    /// An attempt has ended: one that ran, or was answered with an error, was taken by its endpoint.
    pub(super) fn note_accepted(&mut self, now: Time, id: EndpointId, outcome: Outcome, latency: Duration) {
        let Some(up) = self.endpoint_mut(id) else { return };
        match outcome {
            Outcome::Ok | Outcome::Error => up.accepted = up.accepted.max(Some(now.saturating_sub(latency))),
            Outcome::Rejected => up.accepted = None,
            _ => {}
        }
    }
}
