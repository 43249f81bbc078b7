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
    /// The class whose effect both versions permit; the rest is that of the newer version.
    pub fn intersection(&self, newer: &RequestClass) -> RequestClass {
        RequestClass { effect: self.effect.intersection(newer.effect), ..newer.clone() }
    }
}
