//! Probing: requests load reports from endpoints, within a budget.

use super::Balancer;
use crate::interface::*;

/// Fraction of the total value that probes may cost: half of what hedged attempts may, as reports are renewed
/// rarely.
const PROBE_SPEND: f64 = 0.002;

impl Balancer {
    /// Probes the endpoints whose last probe is the oldest, within a budget that grows with the sidecar's own
    /// requests and shrinks with the price of a probe.
    pub(super) fn probe(&mut self, now: Time) {
        if !self.settings.limits.probes || self.settings.reports != ReportSource::Probes {
            return;
        }
        let price = self.settings.prices.probe.max(PROBE_SPEND);
        let share = (PROBE_SPEND / price).min(0.5);
        let elapsed = now.saturating_sub(self.last_refresh).as_secs_f64();
        let earned = self.request_rate.per_second(now) * share * elapsed;
        self.probe_budget = (self.probe_budget + earned).min(self.rotation.len() as f64);
        if self.probe_budget < 1.0 {
            return;
        }
        let mut due: Vec<(Option<Time>, EndpointId)> = self
            .rotation
            .iter()
            .map(|&index| (self.table.endpoints[index].last_probe, self.table.ids[index]))
            .collect();
        due.sort_by_key(|d| d.0);
        for (_, id) in due.into_iter().take(self.probe_budget as usize) {
            self.probe_budget -= 1.0;
            if let Some(endpoint) = self.endpoint_mut(id) {
                endpoint.last_probe = Some(now);
            }
            self.actions.push(Action::Probe(id));
        }
    }
}
