//! The snapshot: each refresh sorts the endpoints by reported load and sets their effective weights.

use super::Balancer;
use super::rate::{decay, secs};
use crate::interface::*;

/// An endpoint whose health leaves it less than this fraction of its weight is on probation: it gets only
/// safe requests.
const PROBATION: f64 = 0.3;
/// Minimum health factor: the few requests by which an ejected endpoint shows that it has recovered.
const MIN_HEALTH: f64 = 0.02;
/// Number of attempts that the prior (what is usual among all endpoints) counts for in an endpoint's health.
const PRIOR_ATTEMPTS: f64 = 3.0;

/// The data of one endpoint in the rotation that a snapshot uses.
#[derive(Debug)]
struct Candidate {
    index: usize,
    size: f64,
    warmth: f64,
    same_zone: bool,
    load: Option<(f64, Time)>,
    attempts: f64,
    failures: f64,
    latency_ratios: f64,
    subset_share: f64,
    slow_start_share: f64,
}

impl Candidate {
    /// Fraction of its attempts that failed, shrunk towards the prior.
    fn failure_rate(&self, prior: f64) -> f64 {
        (self.failures + PRIOR_ATTEMPTS * prior) / (self.attempts + PRIOR_ATTEMPTS)
    }

    /// Mean ratio of actual to expected latency, shrunk towards the prior.
    fn latency_ratio(&self, prior: f64) -> f64 {
        (self.latency_ratios + PRIOR_ATTEMPTS * prior) / (self.attempts + PRIOR_ATTEMPTS)
    }
}

/// What is usual among the endpoints in the rotation.
#[derive(Debug)]
struct Baseline {
    /// Load per size.
    load: f64,
    /// Difference in load that chance explains.
    noise: f64,
    /// Load per size that arrives while a report is current.
    arrivals: f64,
    latency_ratio: f64,
    failure_rate: f64,
    /// Fraction of the passes in which endpoints of other zones are used.
    cross_zone_share: f64,
}

/// The lower `parts`-quantile: about one in `parts` of the values lies below it; 2 gives the median.
fn quantile(parts: usize, mut values: Vec<f64>) -> f64 {
    let at = (values.len() - 1) / parts;
    *values.select_nth_unstable_by(at, f64::total_cmp).1
}

/// The effective weight of an endpoint, and whether it is on probation.
fn effective_weight(candidate: &Candidate, load: f64, baseline: &Baseline) -> (f64, bool) {
    // Endpoints with a load above the mean skip passes, so many that loads level out while a report is
    // current.
    let leveling = (1.0 + (baseline.load - load) / baseline.arrivals).clamp(0.1, 1.5);
    // An endpoint that fails fast keeps a short queue and would stay at the head of the list.
    let excess = candidate.failure_rate(baseline.failure_rate) - 2.0 * baseline.failure_rate - 0.02;
    let reliability = 1.0 / (1.0 + (excess.max(0.0) / 0.1).powi(2));
    // Latencies vary by chance; what is not clearly slow is left to load reports. Slow endpoints get so
    // little that they recover if overload was the cause.
    let speed =
        (1.5 / (candidate.latency_ratio(baseline.latency_ratio) / baseline.latency_ratio)).min(1.0).powi(3);
    let zone = if candidate.same_zone { 1.0 } else { baseline.cross_zone_share };
    let weight = candidate.size
        * (leveling * reliability * speed).max(MIN_HEALTH)
        * candidate.warmth
        * zone
        * candidate.subset_share;
    (weight, reliability * speed < PROBATION)
}

impl Balancer {
    /// Takes a new snapshot and schedules the next one.
    pub(super) fn refresh(&mut self, now: Time) {
        self.take_snapshot(now);
        self.probe(now);
        // One refresh per pass, with jitter: sidecars with little traffic that all began anew at the head of
        // the list would send all their requests there.
        let pass = self.rotation.len().max(1) as f64 / self.request_rate.per_second(now).max(1.0);
        let min = self.settings.host_tick.as_secs_f64() * 4.0;
        let after = pass.clamp(min, (self.settings.rules.ramp.as_secs_f64() / 8.0).max(min));
        let after = secs(after * (0.8 + 0.4 * self.rng.f64()));
        self.actions.push(Action::SetTimer { after, timer: Timer::Refresh });
        self.last_refresh = now;
    }

    /// Selects and ranks the endpoints anew, after a change of the list or at a refresh.
    pub(super) fn take_snapshot(&mut self, now: Time) {
        self.decay_table(now);
        self.select_subset(now);
        self.cursor = 0;
        self.rotation_in_flight =
            self.rotation.iter().map(|&index| self.table.endpoints[index].in_flight).sum();
        if self.rotation.is_empty() {
            self.rotation_size = 0.0;
            return;
        }
        let cross_zone_share = self.update_cross_zone_share(now);
        let candidates: Vec<Candidate> =
            self.rotation.iter().map(|&index| self.candidate(now, index)).collect();
        let baseline = self.baseline(now, &candidates, cross_zone_share);
        let unresponsive_limit = |class: usize| {
            let scores =
                candidates.iter().map(|c| self.table.endpoints[c.index].unresponsive[class]).collect();
            0.9 + 2.0 * quantile(3, scores)
        };
        self.unresponsive_limits = (0..self.settings.classes.len()).map(unresponsive_limit).collect();
        let ranked = self.rank(now, &candidates, &baseline);
        let ranked = || ranked.iter().map(|&at| &candidates[at as usize]);
        // The load of a warm endpoint stays known when none is left; otherwise a cold one would count as
        // warm.
        let warm = ranked().map(|c| c.size * c.warmth).sum();
        let any_warm = candidates.iter().any(|c| c.warmth >= 1.0);
        let all = ranked().map(|c| c.size * c.slow_start_share).sum();
        self.rotation_size = ranked().map(|c| c.size * c.subset_share).sum();
        self.warm_requests.set_shared_by(now, any_warm.then_some(warm), all);
    }

    /// Drops endpoints that were removed long ago, and decays the statistics of the others.
    fn decay_table(&mut self, now: Time) {
        let (time_constant, use_removed) = (self.time_constant, self.settings.rules.use_removed_endpoints);
        // Where new endpoints replace old ones for ever, the table would grow without limit. Where removed
        // endpoints stay eligible they are kept, as is the mark of those that have drained.
        self.table.remove_all(|endpoint| {
            let removed =
                !use_removed && endpoint.entry.state == EndpointState::Removed && endpoint.in_flight < 0.5;
            removed && now.saturating_sub(endpoint.decayed_at).as_secs_f64() >= time_constant
        });
        // Most endpoints have the same time, that of the last snapshot, and so the same factor.
        let mut last = (now, 1.0);
        for endpoint in &mut self.table.endpoints {
            endpoint.in_rotation = false;
            if endpoint.is_eligible(use_removed) {
                if endpoint.decayed_at != last.0 {
                    last = (endpoint.decayed_at, decay(endpoint.decayed_at, now, time_constant));
                }
                endpoint.decay_by(now, last.1);
            }
        }
    }

    /// The data of the endpoint at this table index.
    fn candidate(&self, now: Time, index: usize) -> Candidate {
        let endpoint = &self.table.endpoints[index];
        Candidate {
            index,
            size: self.size(endpoint),
            warmth: self.warmth(endpoint, now),
            same_zone: endpoint.entry.zone == self.settings.zone,
            load: endpoint.load,
            attempts: endpoint.attempts,
            failures: endpoint.failures,
            latency_ratios: endpoint.latency_ratios,
            subset_share: endpoint.subset_share,
            slow_start_share: endpoint.slow_start_share,
        }
    }

    /// What is usual among these endpoints.
    fn baseline(&self, now: Time, candidates: &[Candidate], cross_zone_share: f64) -> Baseline {
        // An endpoint without a load counts as the mean of the others, and an old load drifts towards it.
        let known = || candidates.iter().filter_map(|c| Some(c.load?.0 / c.size));
        let load = known().sum::<f64>() / known().count().max(1) as f64;
        let noise = load.sqrt().max(1.0);
        let mean_size = candidates.iter().map(|c| c.size).sum::<f64>() / candidates.len() as f64;
        let requests_each =
            self.request_rate.per_second(now) * f64::from(self.settings.instances) / candidates.len() as f64;
        // Failures are compared with the best endpoint. Where all but one have died and the list does not
        // show it yet, the median fails as well and would eject none. Trouble that all share still ejects
        // none, as each failure rate is first shrunk towards the mean of all.
        let overall = candidates.iter().map(|c| c.failures).sum::<f64>()
            / candidates.iter().map(|c| c.attempts).sum::<f64>().max(1.0);
        Baseline {
            load,
            noise,
            arrivals: requests_each / mean_size + noise,
            latency_ratio: quantile(2, candidates.iter().map(|c| c.latency_ratio(1.0)).collect()),
            failure_rate: candidates.iter().map(|c| c.failure_rate(overall)).fold(f64::INFINITY, f64::min),
            cross_zone_share,
        }
    }

    /// Sorts the rotation by load and sets the effective weights; returns the order as positions in
    /// `candidates`.
    fn rank(&mut self, now: Time, candidates: &[Candidate], baseline: &Baseline) -> Vec<u32> {
        let mut weights = Vec::with_capacity(candidates.len());
        let mut ranked = Vec::with_capacity(candidates.len());
        for (at, candidate) in candidates.iter().enumerate() {
            let load = candidate.load.map_or(baseline.load, |(load, reported)| {
                baseline.load
                    + (load / candidate.size - baseline.load) * decay(reported, now, self.time_constant / 4.0)
            });
            weights.push(effective_weight(candidate, load, baseline));
            // Loads that differ by less than the noise are ties, which are broken at random.
            ranked.push(((load / baseline.noise).floor(), at as u32));
        }
        let highest = weights.iter().map(|weight| weight.0).fold(0.0, f64::max);
        self.rng.shuffle(&mut ranked);
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (candidate, (weight, probation)) in candidates.iter().zip(weights) {
            let endpoint = &mut self.table.endpoints[candidate.index];
            endpoint.effective_weight = weight / highest;
            endpoint.probation = probation;
        }
        self.rotation.clear();
        self.rotation.extend(ranked.iter().map(|&(_, at)| candidates[at as usize].index));
        ranked.into_iter().map(|(_, at)| at).collect()
    }

    /// Total size of the rotation; endpoints count by the share of them in this sidecar's subset.
    pub(super) fn size_of_rotation(&self) -> f64 {
        let endpoints = self.rotation.iter().map(|&index| &self.table.endpoints[index]);
        endpoints.map(|endpoint| self.size(endpoint) * endpoint.subset_share).sum()
    }
}
