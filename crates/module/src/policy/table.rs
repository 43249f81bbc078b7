//! The endpoint table: state per endpoint, and the endpoint lists that change it.

use super::Balancer;
use super::rate::decay;
use crate::interface::*;
use std::collections::BTreeSet;

/// Maximum number of attempts that count for an endpoint's health.
const MAX_HEALTH_ATTEMPTS: f64 = 20.0;

/// State and statistics of one endpoint.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
    pub(super) entry: EndpointEntry,
    /// Time at which a list last gave the endpoint another zone or cell.
    moved: Option<Time>,
    /// Listed as draining, and not as ready since.
    pub(super) drained: bool,
    /// The last reported load and its time.
    pub(super) load: Option<(f64, Time)>,
    pub(super) last_probe: Option<Time>,
    /// Decayed sums over ended attempts: their number, the failures among them, and the ratios of actual to
    /// expected latency.
    pub(super) attempts: f64,
    pub(super) failures: f64,
    pub(super) latency_ratios: f64,
    /// Time up to which these sums have decayed.
    pub(super) decayed_at: Time,
    /// Fraction of the round-robin passes in which the endpoint gets a request.
    pub(super) effective_weight: f64,
    /// Fraction of the endpoint in this sidecar's subset, scaled up to the whole ring, see `select_subset`.
    pub(super) subset_share: f64,
    /// Round-robin credit: effective weights add up in it, and a request takes 1.
    pub(super) credit: f64,
    /// Per class: decayed number of slow or failed attempts, halved by each response.
    pub(super) unresponsive: Vec<f64>,
    /// Number of connections, idle ones included, that are known to exist, see `record_connect`.
    pub(super) connections: f64,
    /// Consecutive failed connects.
    pub(super) failed_connects: i32,
    /// No new connections are tried until then.
    pub(super) connect_backoff_until: Time,
    /// Failing or slow: gets only safe requests while other endpoints are eligible.
    pub(super) probation: bool,
    pub(super) last_used: Time,
    /// Time of the last response, probes included.
    pub(super) last_response: Time,
    /// Time at which the last accepted request was sent.
    pub(super) last_accepted: Option<Time>,
    /// Own attempts in flight.
    pub(super) in_flight: f64,
    pub(super) in_rotation: bool,
    /// Number of requests that slow start still permits.
    pub(super) slow_start_credit: f64,
    /// Fraction of the load of a warm endpoint that a cold one may get from this sidecar; below 1 where cold
    /// endpoints make sidecars use more endpoints.
    pub(super) slow_start_share: f64,
    /// The total of `WarmRequests` up to which `slow_start_credit` counts.
    pub(super) slow_start_total: f64,
}

impl Endpoint {
    /// Returns true unless the endpoint list excludes the endpoint. With `use_removed`, only draining does: a
    /// faulty list may show running endpoints as removed, even all of a tier. They stay in rotation then, and
    /// the outcomes of own attempts show which of them are dead.
    pub(super) fn is_eligible(&self, use_removed: bool) -> bool {
        match self.entry.state {
            EndpointState::Ready => true,
            EndpointState::Draining => false,
            EndpointState::Removed => use_removed && !self.drained,
        }
    }

    /// Returns true if a list has given the endpoint another zone or cell at or after this time.
    pub(super) fn moved_after(&self, time: Time) -> bool {
        self.moved.is_some_and(|moved| moved >= time)
    }

    /// Returns true if the endpoint accepts no new connections and the existing ones are in use.
    pub(super) fn unreachable(&self, now: Time) -> bool {
        self.connect_backoff_until > now && self.in_flight >= self.connections
    }

    /// Decays the statistics up to `now`.
    pub(super) fn decay(&mut self, now: Time, time_constant: f64) {
        self.decay_by(now, decay(self.decayed_at, now, time_constant));
    }

    /// Decays the statistics up to `now` by this factor.
    pub(super) fn decay_by(&mut self, now: Time, factor: f64) {
        // Limits the number of attempts that count, so that the last few matter however many there were.
        let kept = factor * (MAX_HEALTH_ATTEMPTS / self.attempts.max(MAX_HEALTH_ATTEMPTS));
        self.attempts *= kept;
        self.failures *= kept;
        self.latency_ratios *= kept;
        for score in &mut self.unresponsive {
            *score *= factor;
        }
        self.decayed_at = now;
    }
}

/// All listed endpoints, and removed ones for a while, in the order of their ids. An index is valid until an
/// endpoint is added or removed.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) ids: Vec<EndpointId>,
    pub(super) endpoints: Vec<Endpoint>,
    /// Keys and indices in the order of the keys; valid while `sorted`.
    pub(super) by_key: Vec<(u64, u32)>,
    pub(super) sorted: bool,
}

impl Table {
    /// The index of an endpoint.
    pub(super) fn index_of(&self, id: EndpointId) -> Option<usize> {
        // Ids are assigned consecutively, so most indices equal the distance from the first id.
        let likely = id.0.checked_sub(self.ids.first()?.0)? as usize;
        if self.ids.get(likely) == Some(&id) {
            return Some(likely);
        }
        self.ids.binary_search(&id).ok()
    }

    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.index_of(id).map(|index| &self.endpoints[index])
    }

    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.index_of(id).map(|index| &mut self.endpoints[index])
    }

    fn get_or_insert_with(&mut self, id: EndpointId, new: impl FnOnce() -> Endpoint) -> &mut Endpoint {
        let index = match self.index_of(id) {
            Some(index) => index,
            None => {
                let index = self.ids.partition_point(|&other| other < id);
                self.ids.insert(index, id);
                self.endpoints.insert(index, new());
                self.sorted = false;
                index
            }
        };
        &mut self.endpoints[index]
    }

    /// Reserves exactly the space for this many endpoints.
    fn reserve(&mut self, total: usize) {
        let additional = total.saturating_sub(self.ids.len());
        self.ids.reserve_exact(additional);
        self.endpoints.reserve_exact(additional);
    }

    /// Removes the endpoints that match the predicate.
    pub(super) fn remove_all(&mut self, removed: impl Fn(&Endpoint) -> bool) {
        if !self.endpoints.iter().any(&removed) {
            return;
        }
        let mut stays =
            self.endpoints.iter().map(|endpoint| !removed(endpoint)).collect::<Vec<_>>().into_iter();
        self.ids.retain(|_| stays.next().unwrap_or(true));
        self.endpoints.retain(|endpoint| !removed(endpoint));
        self.sorted = false;
    }

    /// Sorts `by_key` if the table has changed.
    pub(super) fn sort_by_key(&mut self) {
        if !self.sorted {
            let keys =
                self.endpoints.iter().enumerate().map(|(index, endpoint)| (endpoint.entry.key, index as u32));
            self.by_key.clear();
            self.by_key.extend(keys);
            self.by_key.sort_unstable();
            self.sorted = true;
        }
    }
}

impl Balancer {
    pub(super) fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.table.get(id)
    }

    pub(super) fn endpoint_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.table.get_mut(id)
    }

    /// Applies an endpoint list or changes to it.
    pub(super) fn update_endpoints(&mut self, now: Time, scope: ListScope, entries: &[EndpointEntry]) {
        if scope != ListScope::Restored {
            self.discovery_failures = 0;
        }
        if scope != ListScope::Changes {
            self.mark_missing_as_removed(entries);
            self.table.reserve(entries.len());
        }
        for entry in entries {
            self.update_endpoint(now, entry);
        }
        self.take_snapshot(now);
    }

    /// Marks all endpoints as removed that a complete list does not contain.
    fn mark_missing_as_removed(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
        for id in self.table.ids.clone() {
            if let Some(endpoint) = self.endpoint_mut(id).filter(|_| !listed.contains(&id)) {
                endpoint.entry.state = EndpointState::Removed;
                self.close_idle_unless_ready(id);
            }
        }
    }

    /// Applies one entry of a list.
    fn update_endpoint(&mut self, now: Time, entry: &EndpointEntry) {
        // Random initial credits: sidecars that all began at zero would send their first request to a cold
        // endpoint in the same second.
        let slow_start_credit = self.rng.f64();
        let slow_start_total = self.warm_requests.integrate(now);
        // Where each sidecar sends only one request within the ramp, an endpoint that gets less than one turn
        // per pass would get none without this initial credit.
        let credit = if self.warmth_of(entry, now) < 1.0 { self.rng.f64() } else { 0.0 };
        let classes = self.settings.classes.len();
        let new = || Endpoint {
            entry: entry.clone(),
            decayed_at: now,
            subset_share: 1.0,
            slow_start_share: 1.0,
            unresponsive: vec![0.0; classes],
            last_used: now,
            credit,
            slow_start_credit,
            slow_start_total,
            ..Endpoint::default()
        };
        let endpoint = self.table.get_or_insert_with(entry.endpoint, new);
        let key_changed = endpoint.entry.key != entry.key;
        let drained = endpoint.drained && entry.state == EndpointState::Removed;
        let moves = (endpoint.entry.zone, endpoint.entry.cell) != (entry.zone, entry.cell);
        let moved = if moves { Some(now) } else { endpoint.moved };
        if endpoint.entry.started != entry.started {
            *endpoint = new();
        }
        endpoint.moved = moved;
        endpoint.drained = entry.state == EndpointState::Draining || drained;
        endpoint.entry = entry.clone();
        if !entry.weight.is_finite() || entry.weight <= 0.0 {
            endpoint.entry.weight = 1.0;
        }
        self.table.sorted &= !key_changed;
        self.close_idle_unless_ready(entry.endpoint);
    }

    /// Closes idle connections to an endpoint that is not ready: at the notification and after each later
    /// outcome.
    pub(super) fn close_idle_unless_ready(&mut self, id: EndpointId) {
        if self.settings.rules.close_idle_within.is_some()
            && self.endpoint(id).is_some_and(|endpoint| endpoint.entry.state != EndpointState::Ready)
        {
            self.actions.push(Action::CloseIdle(id));
        }
    }

    /// The size of an endpoint relative to others, where the list states it.
    pub(super) fn size(&self, endpoint: &Endpoint) -> f64 {
        if self.settings.weights == WeightKind::Size { endpoint.entry.weight } else { 1.0 }
    }
}
