//! Admission control: rejects requests that would be late or would overload the endpoints.

use super::Balancer;
use super::rate::decay;
use crate::interface::*;

/// Number of responses that prior knowledge counts for when congestion is estimated from few requests.
pub(super) const PRIOR_RESPONSES: f64 = 8.0;
/// No class is shed while response times are below this multiple of the uncongested time.
const MIN_SHED_SLOWDOWN: f64 = 1.28;
/// No request is shed for congestion while fewer requests per core of the own share are in flight.
const UNSHED_PER_CORE: f64 = 4.0;

impl Balancer {
    /// Counts a request against its tenant's quota; returns true if the tenant exceeds it.
    pub(super) fn exceeds_quota(&mut self, now: Time, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant else { return false };
        let (Some(rate), Some(quota)) =
            (self.tenant_rates.get_mut(tenant.0), self.settings.tenants.get(tenant.0))
        else {
            return false;
        };
        rate.add(now);
        // A sidecar that gets more traffic than others would see every tenant over its share of the quota, so
        // the tenant must also exceed its part of this sidecar's traffic. Both by more than chance explains
        // at low request rates.
        let exceeds = |count: f64, expected: f64| count > expected + 2.0 * expected.sqrt() + 1.0;
        let count = rate.count(now);
        let seen = rate.time_constant * (1.0 - decay(self.started, now, rate.time_constant));
        let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let all = self.tenant_rates.iter().map(|t| t.count(now)).sum::<f64>();
        exceeds(count, quota.quota_per_s / f64::from(self.settings.instances) * seen)
            && exceeds(count, quota.quota_per_s / quotas.max(1e-9) * all)
    }

    /// Load pressure on a class; above 1, rejecting a request now is better than a late response. The
    /// expected response time is the number of requests in flight over the completion rate (Little's law). A
    /// class is shed when that time is several times the uncongested one or beyond the target latency,
    /// classes of low value first, because endpoints that hold far more requests than they have cores slow
    /// down and stay slow. Inner tiers don't shed, as the tier above has already spent work on their
    /// requests.
    pub(super) fn pressure(&self, now: Time, class: usize, over_quota: bool) -> f64 {
        let target = self.settings.classes[class].target_latency;
        let responses: f64 = self.latencies.iter().map(|l| l.responses).sum();
        if self.settings.tier > 0 || responses < 0.5 * PRIOR_RESPONSES {
            return 0.0;
        }
        let highest = self.settings.classes.iter().map(|c| c.value).fold(1e-9, f64::max);
        let quota_factor = if over_quota { self.settings.over_quota_value } else { 1.0 };
        let value = self.settings.classes[class].value / highest * quota_factor;
        let uncongested = self.latencies.iter().map(|l| l.uncongested * l.responses).sum::<f64>() / responses;
        let time = (self.requests.len() as f64 + PRIOR_RESPONSES)
            / (self.completion_rate.per_second(now)
                + PRIOR_RESPONSES / (uncongested * self.slowdown.max(0.1)));
        // A queue builds up in one tier, which has only its part of the time. The limit is lower right after
        // the start: otherwise a sidecar started during an overload would flood all endpoints before it has
        // learned any rate.
        let after_start = 1.0 - 0.3 * decay(self.started, now, self.time_constant);
        // In a chain, an overloaded inner tier holds the slots of the tiers above and stays slow for long, so
        // requests are shed earlier the more tiers there are.
        let timely =
            0.66 * (self.settings.tiers as f64).powf(-1.8) * self.completion_rate.time_constant * after_start;
        let within_target =
            target.as_secs_f64() / self.latencies[class].uncongested.max(1e-6) * (1.0 + 0.5 * value);
        // A sidecar that rejects everything gets no responses and would keep rejecting because of old ones.
        let outdated = self.requests.is_empty()
            && now.saturating_sub(self.last_response).as_secs_f64() > self.completion_rate.time_constant;
        // A standing queue helps nobody, so the limit falls while much is rejected anyway. It falls less at
        // low request rates, where few responses would cause rejections by chance without any overload.
        let sustained = ((self.shed_share - 0.05) / 0.1).clamp(0.0, 1.0);
        let confidence = (5.5 / (self.request_rate.count(now) + 1.0).sqrt()).min(0.6);
        let timely = timely * (1.0 - sustained * (0.6 - confidence));
        let limit = (within_target * uncongested)
            .min((timely * (0.7 + 0.5 * value)).max(uncongested * (MIN_SHED_SLOWDOWN + 0.65 * value)));
        // Full endpoints with short queues reject all classes alike before response times rise.
        let rejected = self.rejected_share / (0.1 + 0.9 * value);
        // The last responses before everything is rejected are the slow ones and would keep rejections going,
        // as no others follow. With this few requests in flight, a sidecar cannot overload the endpoints,
        // however long they took.
        let share = self.rotation_size / f64::from(self.settings.instances);
        let few = self.requests.len() as f64 + 1.0 <= UNSHED_PER_CORE * share;
        let pressure = if few { rejected } else { rejected.max(time / limit) };
        if outdated { 0.0 } else { pressure }
    }
}
