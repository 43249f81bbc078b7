//! Probing: load reports that are asked for, within a budget.

use super::Balancer;
use crate::interface::*;

/// Share of the result that probes may cost: half of what second copies may, as reports are renewed seldom.
const SPEND_PROBES: f64 = 0.002;

impl Balancer {
    /// Probes the endpoints heard from longest ago, within a budget from own calls and the price.
    pub(super) fn probe(&mut self, now: Time) {
        if !self.settings.limits.probes || self.settings.reports != ReportSource::Probes {
            return;
        }
        let price = self.settings.prices.probe.max(SPEND_PROBES);
        let share = (SPEND_PROBES / price).min(0.5);
        let since = now.saturating_sub(self.refreshed).as_secs_f64();
        let earned = self.calls.get(now) * share * since;
        self.probe_budget = (self.probe_budget + earned).min(self.rows.len() as f64);
        if self.probe_budget < 1.0 {
            return;
        }
        let mut due: Vec<(Option<Time>, EndpointId)> = self
            .rows
            .iter()
            .map(|&place| (self.table.endpoints[place].probed, self.table.ids[place]))
            .collect();
        due.sort_by_key(|d| d.0);
        for (_, id) in due.into_iter().take(self.probe_budget as usize) {
            self.probe_budget -= 1.0;
            if let Some(up) = self.endpoint_mut(id) {
                up.probed = Some(now);
            }
            self.actions.push(Action::Probe(id));
        }
    }
}
