//! The retry budget: what attempts beyond each request's first a balancer may make.

use super::Balancer;
use crate::interface::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Further attempts, as a share of first attempts; second copies less, as waste has a price.
const RETRY_SHARE: f64 = 0.2;
/// Further attempts that are permitted however few requests come.
const RETRY_FREE: f64 = 2.0;

/// Requests taken and further attempts made within the look-back. One window gates retries after whatever
/// outcome, second copies and moves. Danger: counted apart they would add up to more than is permitted.
#[derive(Debug)]
pub(super) struct RetryWindow {
    budget: RetryBudget,
    /// The budget is a rule here: also what provably never ran counts.
    pub(super) binding: bool,
    pub(super) taken: VecDeque<Time>,
    pub(super) extra: VecDeque<(Time, RequestId, u32)>,
    /// Attempts called off to go elsewhere whose next attempt is still owed.
    pub(super) moving: f64,
}

impl RetryWindow {
    /// A window in which nothing has come yet.
    pub(super) fn new(settings: &Settings, memory: Duration) -> RetryWindow {
        RetryWindow {
            budget: budget(settings, memory),
            binding: settings.rules.retry_budget.is_some(),
            taken: VecDeque::new(),
            extra: VecDeque::new(),
            moving: 0.0,
        }
    }

    /// The budget of new settings; what was counted stays.
    pub(super) fn retune(&mut self, settings: &Settings, memory: Duration) {
        self.budget = budget(settings, memory);
        self.binding = settings.rules.retry_budget.is_some();
    }

    /// Drops what lies beyond the look-back.
    pub(super) fn pass(&mut self, now: Time) {
        // A request that reaches the edge counts no more; a further attempt still does at the edge itself.
        while self.taken.front().is_some_and(|&at| now.saturating_sub(at) >= self.budget.window) {
            self.taken.pop_front();
        }
        while self.extra.front().is_some_and(|e| now.saturating_sub(e.0) > self.budget.window) {
            self.extra.pop_front();
        }
    }

    /// Whether one further attempt fits into this share of the budget.
    pub(super) fn allows(&mut self, now: Time, share: f64) -> bool {
        self.pass(now);
        let most = self.budget.min_retries + self.budget.ratio * self.taken.len() as f64;
        self.extra.len() as f64 + self.moving + 1.0 <= most * share + 1e-9
    }
}

/// The budget that the settings state, else our own.
fn budget(settings: &Settings, memory: Duration) -> RetryBudget {
    settings.rules.retry_budget.unwrap_or(RetryBudget {
        min_retries: RETRY_FREE,
        ratio: RETRY_SHARE,
        window: memory,
    })
}

impl Balancer {
    /// The part of the budget that a class may use up: the last of it is kept for the worthiest.
    pub(super) fn retry_share(&self, class: usize) -> f64 {
        let best = self.settings.classes.iter().map(|c| c.value).fold(1e-9, f64::max);
        if self.retries.binding { 0.8 + 0.2 * self.settings.classes[class].value / best } else { 1.0 }
    }
}
