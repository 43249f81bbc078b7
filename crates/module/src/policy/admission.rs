//! Admission: which requests are refused at once, as they would be late or crowd the endpoints.

use super::Balancer;
use super::rate::fade;
use crate::interface::*;

/// Answers by which crowding is judged where few requests are out.
pub(super) const EVIDENCE: f64 = 8.0;
/// Crowding, as a multiple of the uncrowded time, under which no class is refused.
const CROWDED: f64 = 1.28;
/// Requests out per core of the own share under which none is refused for crowding.
const FREE_PER_CORE: f64 = 4.0;

impl Balancer {
    /// Books a request to its tenant; whether the tenant is over its share.
    pub(super) fn over_share(&mut self, now: Time, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant else { return false };
        let (Some(rate), Some(share)) = (self.tenants.get_mut(tenant.0), self.settings.tenants.get(tenant.0))
        else {
            return false;
        };
        rate.add(now);
        // Danger: a balancer that gets more traffic than others would see every tenant over its share, so it
        // must also be over its part of what this one gets; both beyond what chance explains at few calls.
        let beyond = |count: f64, expected: f64| count > expected + 2.0 * expected.sqrt() + 1.0;
        let count = rate.count(now);
        let seen = rate.memory * (1.0 - fade(self.began, now, rate.memory));
        let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let all = self.tenants.iter().map(|t| t.count(now)).sum::<f64>();
        beyond(count, share.quota_per_s / f64::from(self.settings.instances) * seen)
            && beyond(count, share.quota_per_s / quotas.max(1e-9) * all)
    }

    /// Above 1 a request is better refused now than late. What is out over what ends a second is the time it
    /// takes (Little's law). A class is refused when that is several times what it takes uncrowded, or beyond
    /// its aim, low worth first. Danger: endpoints that hold far more than they have cores slow down and stay
    /// slow. Inner tiers don't shed: what they refuse has cost the tier above its work.
    pub(super) fn pressure(&self, now: Time, class: usize, over_share: bool) -> f64 {
        let aim = self.settings.classes[class].target_latency;
        let seen: f64 = self.tracks.iter().map(|t| t.answers).sum();
        if self.settings.tier > 0 || seen < 0.5 * EVIDENCE {
            return 0.0;
        }
        let best = self.settings.classes.iter().map(|c| c.value).fold(1e-9, f64::max);
        let over = if over_share { self.settings.over_quota_value } else { 1.0 };
        let worth = self.settings.classes[class].value / best * over;
        let usual = self.tracks.iter().map(|t| t.floor * t.answers).sum::<f64>() / seen;
        let time = (self.requests.len() as f64 + EVIDENCE)
            / (self.ends.get(now) + EVIDENCE / (usual * self.recent.max(0.1)));
        // A queue gathers in one tier, which has but its part of the time. Danger: one that starts into an
        // overload would crowd every endpoint before it learns any rate.
        let slow_start = 1.0 - 0.3 * fade(self.began, now, self.memory);
        // Danger: in a chain a crowded inner tier holds the slots of the tiers above, and what has choked
        // stays slow long after; so the more tiers, the earlier work is shed.
        let timely = 0.66 * (self.settings.tiers as f64).powf(-1.8) * self.ends.memory * slow_start;
        let punctual = aim.as_secs_f64() / self.tracks[class].floor.max(1e-6) * (1.0 + 0.5 * worth);
        // Danger: one that refuses all hears no answers and would go by the last bad ones for ever.
        let untold =
            self.requests.is_empty() && now.saturating_sub(self.answered).as_secs_f64() > self.ends.memory;
        // Danger: a standing queue helps nobody, so the limit falls while much is refused anyway; the less,
        // the fewer the calls, as a balancer that judges by few answers would refuse in calm by chance.
        let lasting = ((self.refused - 0.05) / 0.1).clamp(0.0, 1.0);
        let sure = (5.5 / (self.calls.count(now) + 1.0).sqrt()).min(0.6);
        let timely = timely * (1.0 - lasting * (0.6 - sure));
        let limit =
            (punctual * usual).min((timely * (0.7 + 0.5 * worth)).max(usual * (CROWDED + 0.65 * worth)));
        // Danger: where queues are short, full endpoints turn all classes away alike before times rise.
        let full = self.full / (0.1 + 0.9 * worth);
        // Danger: the last answers before a refusal of all are the slow ones and would keep it up, as no
        // others follow; who has this little out crowds nobody, whatever they took.
        let share = self.rows_size / f64::from(self.settings.instances);
        let few = self.requests.len() as f64 + 1.0 <= FREE_PER_CORE * share;
        let pressure = if few { full } else { full.max(time / limit) };
        if untold { 0.0 } else { pressure }
    }
}
