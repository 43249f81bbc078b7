//! List validity: which endpoints may be used while discovery has not confirmed the endpoint list.

use super::Balancer;
use crate::interface::*;
use std::time::Duration;

/// The last confirmation of the endpoint list.
#[derive(Debug, Default)]
pub(super) struct ListConfirmation {
    /// The validity and the time at which it was received; without one, the list is valid without limit.
    confirmed: Option<(Time, ListValidity)>,
}

impl ListConfirmation {
    /// Sets the validity, counted from `now`.
    pub(super) fn set(&mut self, now: Time, validity: Option<ListValidity>) {
        self.confirmed = validity.map(|validity| (now, validity));
    }

    /// Returns true if requests may be sent to an endpoint that is listed as ready and whose last accepted
    /// request was sent at `last_accepted`.
    pub(super) fn covers(&self, now: Time, last_accepted: Option<Time>) -> bool {
        let Some((at, validity)) = self.confirmed else { return true };
        now < at + validity.list_valid_for
            || last_accepted.is_some_and(|accepted| now < accepted + validity.accepted_valid_for)
    }
}

impl Balancer {
    /// Records whether the endpoint accepted an attempt: it did if the request ran or got an error response.
    pub(super) fn record_acceptance(
        &mut self,
        now: Time,
        id: EndpointId,
        outcome: Outcome,
        latency: Duration,
    ) {
        let Some(endpoint) = self.endpoint_mut(id) else { return };
        match outcome {
            Outcome::Ok | Outcome::Error => {
                endpoint.last_accepted = endpoint.last_accepted.max(Some(now.saturating_sub(latency)))
            }
            Outcome::Rejected => endpoint.last_accepted = None,
            _ => {}
        }
    }
}
