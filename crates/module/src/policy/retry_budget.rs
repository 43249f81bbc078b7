//! The retry budget: limits the attempts after the first, over all requests.

use super::Balancer;
use crate::interface::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Default budget: retries per request received. Hedged attempts get less of it, as waste has a price.
const RETRY_RATIO: f64 = 0.2;
/// Default budget: retries permitted regardless of traffic.
const MIN_RETRIES: f64 = 2.0;

/// Requests received and retries made within the budget's window. One window limits retries after any
/// outcome, hedged attempts and attempts moved to another endpoint: limited separately, they could add up to
/// more than the budget permits.
#[derive(Debug)]
pub(super) struct RetryWindow {
    budget: RetryBudget,
    /// The settings state a budget, so attempts after one that provably never ran count as well.
    pub(super) strict: bool,
    /// Arrival times of requests.
    pub(super) requests: VecDeque<Time>,
    /// Time, request and attempt number of each retry.
    pub(super) retries: VecDeque<(Time, RequestId, u32)>,
    /// Retries reserved for attempts that were cancelled to be moved to another endpoint.
    pub(super) reserved: f64,
}

impl RetryWindow {
    /// An empty window; `default_window` is its length if the settings state no budget.
    pub(super) fn new(settings: &Settings, default_window: Duration) -> RetryWindow {
        RetryWindow {
            budget: budget(settings, default_window),
            strict: settings.rules.retry_budget.is_some(),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            reserved: 0.0,
        }
    }

    /// Applies the budget of new settings; the counts are kept.
    pub(super) fn change_settings(&mut self, settings: &Settings, default_window: Duration) {
        self.budget = budget(settings, default_window);
        self.strict = settings.rules.retry_budget.is_some();
    }

    /// Drops requests and retries that have left the window.
    pub(super) fn slide(&mut self, now: Time) {
        // At exactly the window's length, a request counts no more but a retry still does.
        while self.requests.front().is_some_and(|&at| now.saturating_sub(at) >= self.budget.window) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|r| now.saturating_sub(r.0) > self.budget.window) {
            self.retries.pop_front();
        }
    }

    /// Returns true if one more retry fits into this share of the budget.
    pub(super) fn allows(&mut self, now: Time, share: f64) -> bool {
        self.slide(now);
        let limit = self.budget.min_retries + self.budget.ratio * self.requests.len() as f64;
        self.retries.len() as f64 + self.reserved + 1.0 <= limit * share + 1e-9
    }
}

/// The budget of the settings, or the default one.
fn budget(settings: &Settings, default_window: Duration) -> RetryBudget {
    settings.rules.retry_budget.unwrap_or(RetryBudget {
        min_retries: MIN_RETRIES,
        ratio: RETRY_RATIO,
        window: default_window,
    })
}

impl Balancer {
    /// The share of the budget that a class may use; the rest is kept for classes of higher value.
    pub(super) fn retry_share(&self, class: usize) -> f64 {
        let highest = self.settings.classes.iter().map(|c| c.value).fold(1e-9, f64::max);
        if self.retries.strict { 0.8 + 0.2 * self.settings.classes[class].value / highest } else { 1.0 }
    }
}
