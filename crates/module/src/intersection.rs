//! What two versions of the settings both permit. While a change spreads, a request may be judged by either version, so it
//! is handled within the limits of both.

use crate::interface::*;

impl DedupScope {
    /// The endpoints that discard duplicates under both scopes.
    pub fn intersection(self, other: DedupScope) -> DedupScope {
        match (self, other) {
            (DedupScope::All, scope) | (scope, DedupScope::All) => scope,
            (DedupScope::Zone, DedupScope::Zone) => DedupScope::Zone,
            (DedupScope::Cell, DedupScope::Cell) => DedupScope::Cell,
            _ => DedupScope::ZoneAndCell,
        }
    }
}

impl Effect {
    /// The effect that permits a retry only where both effects do.
    pub fn intersection(self, other: Effect) -> Effect {
        match (self, other) {
            (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
            (Effect::Safe, effect) | (effect, Effect::Safe) => effect,
            (Effect::Keyed { scope, window }, Effect::Keyed { scope: other_scope, window: other_window }) => {
                Effect::Keyed { scope: scope.intersection(other_scope), window: window.min(other_window) }
            }
        }
    }
}

impl RequestClass {
    /// The class whose effect and times both versions permit. Its value is that of the newer version, as a value limits
    /// nothing.
    pub fn intersection(&self, newer: &RequestClass) -> RequestClass {
        RequestClass {
            target_latency: self.target_latency.min(newer.target_latency),
            target_latency_work_factor: self.target_latency_work_factor.min(newer.target_latency_work_factor),
            deadline: self.deadline.min(newer.deadline),
            effect: self.effect.intersection(newer.effect),
            value: newer.value,
            late_value: self.late_value.min(newer.late_value),
        }
    }
}

impl Limits {
    /// The actions that both versions permit.
    pub fn intersection(&self, other: &Limits) -> Limits {
        Limits {
            cancel: self.cancel && other.cancel,
            probes: self.probes && other.probes,
            hedging: self.hedging && other.hedging,
            max_attempts: self.max_attempts.min(other.max_attempts),
            retry_after: self.retry_after && other.retry_after,
            max_retry_after: self.max_retry_after.min(other.max_retry_after),
        }
    }
}

impl RetryBudget {
    /// A budget that permits no more than either of the two while traffic is steady. Both count in windows of their own;
    /// the longer one is kept.
    pub fn intersection(self, other: RetryBudget) -> RetryBudget {
        RetryBudget {
            min_retries: self.min_retries.min(other.min_retries),
            ratio: self.ratio.min(other.ratio),
            window: self.window.max(other.window),
        }
    }
}

impl Rules {
    /// The rules that keep both versions.
    pub fn intersection(&self, other: &Rules) -> Rules {
        Rules {
            cold_capacity: self.cold_capacity.min(other.cold_capacity),
            ramp: self.ramp.max(other.ramp),
            overload_factor: self.overload_factor.min(other.overload_factor),
            overload_after: self.overload_after.min(other.overload_after),
            drain_grace: self.drain_grace.min(other.drain_grace),
            resubscribe_within: self.resubscribe_within.min(other.resubscribe_within),
            close_idle_within: self.close_idle_within.into_iter().chain(other.close_idle_within).min(),
            retry_budget: self
                .retry_budget
                .into_iter()
                .chain(other.retry_budget)
                .reduce(RetryBudget::intersection),
            use_removed_endpoints: self.use_removed_endpoints && other.use_removed_endpoints,
        }
    }
}

impl Settings {
    /// The settings whose limits and rules both versions permit. All else is that of the newer version: it limits nothing,
    /// or, as with classes, its parts have to be matched by name first.
    pub fn intersection(&self, newer: &Settings) -> Settings {
        Settings {
            // Slow start divides what a cold endpoint may get by this number.
            instances: self.instances.max(newer.instances),
            limits: self.limits.intersection(&newer.limits),
            rules: self.rules.intersection(&newer.rules),
            ..newer.clone()
        }
    }
}
