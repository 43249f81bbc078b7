//! Round robin: between refreshes, requests go to the endpoints in the order of the snapshot.

use super::Balancer;
use super::request::Request;
use crate::interface::*;

/// An endpoint is skipped while its own attempts in flight exceed the mean by this fraction divided by the
/// number of sidecars, as the excess of all sidecars together overloads an endpoint that looks idle.
const IN_FLIGHT_EXCESS: f64 = 0.5;

impl Balancer {
    /// Continues the round-robin pass to the next endpoint that may get this request.
    pub(super) fn pick(&mut self, now: Time, request: &Request) -> Option<EndpointId> {
        let mean_in_flight = self.rotation_in_flight / self.rotation.len().max(1) as f64;
        // Healthy endpoints below the limit first, then all healthy ones, then any that the rules permit.
        let limit = (1.0 + IN_FLIGHT_EXCESS / f64::from(self.settings.instances)) * mean_in_flight;
        for (strict, limit) in [(true, limit), (true, f64::MAX), (false, f64::MAX)] {
            // A healthy endpoint whose turn is far off must not lose its requests to failing ones.
            if !strict && let Some(index) = self.next_healthy(now, request) {
                return Some(self.table.ids[index]);
            }
            for _ in 0..self.rotation.len() * 2 {
                let index = self.rotation[self.cursor];
                self.cursor = (self.cursor + 1) % self.rotation.len();
                if !self.may_take(now, index, request, strict) {
                    continue;
                }
                let endpoint = &mut self.table.endpoints[index];
                // A stalled endpoint reports nothing: its last report stays attractive while requests pile
                // up.
                if endpoint.in_flight >= (0.5 + limit * endpoint.effective_weight.sqrt()).max(1.0) {
                    continue;
                }
                endpoint.credit += endpoint.effective_weight;
                if endpoint.credit < 1.0 {
                    continue;
                }
                if self.slow_start_allows(now, index) {
                    return Some(self.table.ids[index]);
                }
                // Keeps the turn for later: otherwise the endpoint would have to wait for another one each
                // time slow start does not permit a request.
                self.table.endpoints[index].credit = 1.0;
            }
        }
        let position =
            (0..self.rotation.len()).find(|&at| self.may_send(now, self.rotation[at], request, false));
        position.map(|at| self.table.ids[self.rotation[at]])
    }

    /// The healthy endpoint whose turn is next, however far off.
    fn next_healthy(&mut self, now: Time, request: &Request) -> Option<usize> {
        let rotation = self.rotation.clone();
        let healthy: Vec<_> =
            rotation.into_iter().filter(|&index| self.may_send(now, index, request, true)).collect();
        let credit = |index: &usize| self.table.endpoints[*index].credit;
        healthy.into_iter().max_by(|a, b| credit(a).total_cmp(&credit(b)))
    }

    fn may_send(&mut self, now: Time, index: usize, request: &Request, strict: bool) -> bool {
        self.may_take(now, index, request, strict) && self.slow_start_allows(now, index)
    }

    /// Returns true if an endpoint may get this request, slow start aside; `strict` leaves out endpoints that
    /// are unhealthy or have had an attempt of this request.
    fn may_take(&self, now: Time, index: usize, request: &Request, strict: bool) -> bool {
        let class = &self.settings.classes[request.class];
        let use_removed = self.settings.rules.use_removed_endpoints;
        let (endpoint, id) = (&self.table.endpoints[index], self.table.ids[index]);
        if !endpoint.is_eligible(use_removed) || !self.list_confirmation.covers(now, endpoint.last_accepted) {
            return false;
        }
        // A keyed request that may have run is retried only at endpoints that discard duplicates, while they
        // do.
        if let (Effect::Keyed { scope, window }, Some(first)) = (class.effect, request.may_have_run()) {
            let in_window = now.saturating_sub(first.sent) + self.settings.host_tick * 2 < window;
            if !in_window || !self.discards_duplicates(id, endpoint, request, scope) {
                return false;
            }
        }
        // An endpoint may leave one class without responses and serve the others. It is avoided for that
        // class only, for longer the more often it happened.
        let unhealthy = endpoint.unreachable(now)
            || endpoint.unresponsive[request.class] > self.unresponsive_limits[request.class]
            || class.effect != Effect::Safe && endpoint.probation;
        let tried = request.attempts.iter().any(|a| a.endpoint == id && (a.in_flight || strict));
        !(tried || strict && unhealthy)
    }
}
