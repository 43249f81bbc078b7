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
