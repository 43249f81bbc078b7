//! Slow start: limits the load of cold endpoints, which have just started.

use super::Balancer;
use super::rate::Rate;
use super::table::Endpoint;
use crate::interface::*;
use std::time::Duration;

/// The rate of requests to warm endpoints is known once this fraction of its decay window has been observed.
const MIN_COVERAGE: f64 = 0.2;

/// Requests that this sidecar sends to a warm endpoint of size 1. The limit of cold endpoints is derived from
/// it.
///
/// A rate that follows a surge at once would allow cold endpoints a multiple of the surge; a rate over the
/// endpoints that are warm at the moment would grow as they get fewer; and a rate that is sampled from time
/// to time would miss rare requests. So the rate has a long time constant, each request counts by the
/// endpoints that were warm when it arrived, and the sum has no gaps.
#[derive(Debug)]
pub(super) struct WarmRequests {
    rate: Rate,
    /// Total size of the endpoints that share the requests now; 0 until it is known.
    shared_by: f64,
    /// While no endpoint is warm: the last rate while one was.
    held: Option<f64>,
    /// Integral of the rate.
    total: f64,
    /// Time up to which `total` counts.
    updated: Time,
}

impl WarmRequests {
    /// A rate of zero with this time constant.
    pub(super) fn new(time_constant: Duration) -> WarmRequests {
        let rate = Rate::new(time_constant, Time::ZERO);
        WarmRequests { rate, shared_by: 0.0, held: None, total: 0.0, updated: Time::ZERO }
    }

    /// Starts the observation.
    pub(super) fn start(&mut self, now: Time) {
        (self.rate.since, self.rate.updated, self.updated) = (now, now, now);
    }

    /// Requests per second.
    fn rate(&self, now: Time) -> f64 {
        self.held.unwrap_or_else(|| self.rate.per_second(now))
    }

    /// Integrates up to `now` and returns the total.
    pub(super) fn integrate(&mut self, now: Time) -> f64 {
        if now > self.updated {
            self.total += match self.held {
                Some(rate) => rate * now.saturating_sub(self.updated).as_secs_f64(),
                None => self.rate.integrate(self.updated, now),
            };
            self.updated = now;
        }
        self.total
    }

    /// Counts a request.
    pub(super) fn add(&mut self, now: Time) {
        self.integrate(now);
        if self.shared_by > 0.0 && self.held.is_none() {
            self.rate.add_weighted(now, 1.0 / self.shared_by);
        }
    }

    /// Sets the total size of the endpoints that share the requests from now on: `warm`, or `all` if no
    /// endpoint is warm.
    pub(super) fn set_shared_by(&mut self, now: Time, warm: Option<f64>, all: f64) {
        self.integrate(now);
        match (warm, self.held) {
            (Some(warm), held) => {
                if let Some(rate) = held {
                    (self.rate.value, self.rate.updated) = (rate * self.rate.coverage(now), now);
                }
                (self.shared_by, self.held) = (warm, None);
            }
            (None, None) if self.rate.value > 0.0 && self.rate.coverage(now) >= MIN_COVERAGE => {
                self.held = Some(self.rate(now));
            }
            // A sidecar that starts while all endpoints are cold assumes that their number fits the load;
            // otherwise it would reject everything.
            (None, None) => self.shared_by = all,
            (None, Some(_)) => {}
        }
    }
}

impl Balancer {
    /// Warmth of an endpoint: the fraction of its capacity that it has at least.
    pub(super) fn warmth(&self, endpoint: &Endpoint, now: Time) -> f64 {
        self.warmth_of(&endpoint.entry, now)
    }

    /// Warmth of the endpoint of a list entry.
    pub(super) fn warmth_of(&self, entry: &EndpointEntry, now: Time) -> f64 {
        let Some(started) = entry.started else { return 1.0 };
        let rules = &self.settings.rules;
        let age = now.saturating_sub(started).as_secs_f64() / rules.ramp.as_secs_f64().max(1e-9);
        (rules.cold_capacity + (1.0 - rules.cold_capacity) * age).clamp(0.05, 1.0)
    }

    /// Returns true if slow start permits another request to an endpoint. A cold one may get the load of a
    /// warm one, times its warmth and half the overload factor. With few other endpoints to take the load,
    /// round robin alone would overload it.
    pub(super) fn slow_start_allows(&mut self, now: Time, index: usize) -> bool {
        let endpoint = &self.table.endpoints[index];
        let warmth = self.warmth(endpoint, now);
        if warmth >= 1.0 {
            return true;
        }
        // Half the overload factor: two thirds of it plus chance overload an endpoint. With less than half,
        // the few warm endpoints would get all the load.
        let factor = (self.settings.rules.overload_factor / 2.0).max(1.0);
        let share = self.size(endpoint) * warmth * factor * endpoint.slow_start_share;
        let rate = self.warm_requests.rate(now) * share;
        let max_credit = (rate * self.settings.rules.overload_after.as_secs_f64() / 4.0).max(1.0);
        let total = self.warm_requests.integrate(now);
        let endpoint = &mut self.table.endpoints[index];
        endpoint.slow_start_credit =
            (endpoint.slow_start_credit + (total - endpoint.slow_start_total) * share).min(max_credit);
        endpoint.slow_start_total = total;
        endpoint.slow_start_credit >= 1.0
    }
}
