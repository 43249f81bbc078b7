//! Slow start: what a cold endpoint, one that has just started, may be sent.

use super::Balancer;
use super::rate::Rate;
use super::table::Endpoint;
use crate::interface::*;
use std::time::Duration;

/// What warm endpoints are sent is known once so much of its memory has been seen.
const LEARNED: f64 = 0.2;

/// What a warm endpoint of size 1 is sent by this balancer, by which the allowance of cold ones goes.
///
/// Danger: a rate that follows a surge at once lets a cold endpoint have the multiple of the surge; one that
/// goes by the warm endpoints of the moment grows as they get fewer; and one that is read from time to time
/// makes nothing of calls that are seldom. So the rate has a long memory, each call counts by what was warm
/// when it came, and the sum has no gaps.
#[derive(Debug)]
pub(super) struct WarmCalls {
    rate: Rate,
    /// The size that the calls of the moment are shared by; 0 until some is known.
    shared_by: f64,
    /// While no endpoint is warm, the rate from when one was.
    held: Option<f64>,
    /// What the rate has added up to so far.
    total: f64,
    /// The time up to which `total` counts.
    at: Time,
}

impl WarmCalls {
    /// Nothing counted yet; the rate remembers for so long.
    pub(super) fn new(memory: Duration) -> WarmCalls {
        let rate = Rate::new(memory, Time::ZERO);
        WarmCalls { rate, shared_by: 0.0, held: None, total: 0.0, at: Time::ZERO }
    }

    /// Counts from now on.
    pub(super) fn start(&mut self, now: Time) {
        (self.rate.since, self.rate.at, self.at) = (now, now, now);
    }

    /// Calls a second.
    fn rate(&self, now: Time) -> f64 {
        self.held.unwrap_or_else(|| self.rate.get(now))
    }

    /// Sums up to `now`; returns the total.
    pub(super) fn sum(&mut self, now: Time) -> f64 {
        if now > self.at {
            self.total += match self.held {
                Some(rate) => rate * now.saturating_sub(self.at).as_secs_f64(),
                None => self.rate.sum(self.at, now),
            };
            self.at = now;
        }
        self.total
    }

    /// A call has come.
    pub(super) fn add(&mut self, now: Time) {
        self.sum(now);
        if self.shared_by > 0.0 && self.held.is_none() {
            self.rate.add_part(now, 1.0 / self.shared_by);
        }
    }

    /// Calls are shared by endpoints of `warm` in all from now on; where none is warm, as if all of `all`
    /// were.
    pub(super) fn share(&mut self, now: Time, warm: Option<f64>, all: f64) {
        self.sum(now);
        match (warm, self.held) {
            (Some(warm), held) => {
                if let Some(rate) = held {
                    (self.rate.value, self.rate.at) = (rate * self.rate.seen(now), now);
                }
                (self.shared_by, self.held) = (warm, None);
            }
            (None, None) if self.rate.value > 0.0 && self.rate.seen(now) >= LEARNED => {
                self.held = Some(self.rate(now));
            }
            // Danger: one that starts when all are cold would refuse everything; the fleet is taken to fit.
            (None, None) => self.shared_by = all,
            (None, Some(_)) => {}
        }
    }
}

impl Balancer {
    /// The fraction of its capacity that an endpoint has at least.
    pub(super) fn warmth(&self, up: &Endpoint, now: Time) -> f64 {
        self.warmth_of(&up.member, now)
    }

    /// The same of an entry of the list.
    pub(super) fn warmth_of(&self, member: &EndpointEntry, now: Time) -> f64 {
        let Some(started) = member.started else { return 1.0 };
        let rules = &self.settings.rules;
        let age = now.saturating_sub(started).as_secs_f64() / rules.ramp.as_secs_f64().max(1e-9);
        (rules.cold_capacity + (1.0 - rules.cold_capacity) * age).clamp(0.05, 1.0)
    }

    /// Rule 4: a cold endpoint may be sent half the rule's multiple of a warm one's, times its warmth.
    /// Danger: with few others to take the work, the walk alone would push it over.
    pub(super) fn cold_allows(&mut self, now: Time, place: usize) -> bool {
        let up = &self.table.endpoints[place];
        let warmth = self.warmth(up, now);
        if warmth >= 1.0 {
            return true;
        }
        // Half of what makes it fall: two thirds and chance do. Danger: less leaves all to the few warm ones.
        let multiple = (self.settings.rules.overload_factor / 2.0).max(1.0);
        let share = self.size(up) * warmth * multiple * up.cold_part;
        let rate = self.warm_calls.rate(now) * share;
        let most = (rate * self.settings.rules.overload_after.as_secs_f64() / 4.0).max(1.0);
        let total = self.warm_calls.sum(now);
        let up = &mut self.table.endpoints[place];
        up.cold_left = (up.cold_left + (total - up.cold_at) * share).min(most);
        up.cold_at = total;
        up.cold_left >= 1.0
    }
}
