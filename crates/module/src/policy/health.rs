//! Health: what outcomes and load reports say about endpoints, and about the latencies of request classes.

use super::Balancer;
use super::admission::PRIOR_RESPONSES;
use super::rate::{decay, secs};
use super::table::Endpoint;
use crate::interface::*;
use std::time::Duration;

impl Balancer {
    /// Records the outcome of a probe.
    pub(super) fn probed(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.record_load(now, endpoint, report);
        let failed = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        if let (true, Some(endpoint)) = (failed, self.endpoint_mut(endpoint)) {
            endpoint.attempts += 1.0;
            endpoint.failures += 1.0;
        }
    }

    /// Records the load that an endpoint reports.
    pub(super) fn record_load(&mut self, now: Time, id: EndpointId, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        self.endpoint_mut(id).into_iter().for_each(|endpoint| endpoint.last_response = now);
        let load = match (report.inflight, report.queue) {
            (None, None) => report.utilization,
            (inflight, queue) => Some(inflight.unwrap_or(0.0) + queue.unwrap_or(0.0)),
        };
        if let (Some(load), Some(endpoint)) = (load.filter(|l| l.is_finite()), self.endpoint_mut(id)) {
            endpoint.load = Some((load.max(0.0), now));
        }
    }

    /// Records the outcome of an attempt for its class and its endpoint.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: EndpointId,
        outcome: Outcome,
        latency: Duration,
    ) {
        let request = self.requests.get(&id).map(|r| (r.class, r.size));
        let ratio =
            request.map_or(1.0, |(class, size)| self.learn_latency(now, class, size, outcome, latency));
        let jitter = 0.5 + self.rng.f64();
        let Some(endpoint) = self.table.get_mut(endpoint) else { return };
        endpoint.decay(now, self.time_constant);
        if endpoint.in_flight >= 1.0 {
            endpoint.in_flight -= 1.0;
            self.rotation_in_flight -= f64::from(u8::from(endpoint.in_rotation));
        }
        endpoint.last_used = now;
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            endpoint.last_response = now;
        }
        endpoint.record_connect(now, outcome, self.time_constant, jitter);
        if let (Some((class, _)), true) = (request, outcome != Outcome::Cancelled && !outcome.never_ran()) {
            let score = &mut endpoint.unresponsive[class];
            *score = if outcome == Outcome::Ok { 0.5 * *score } else { (*score + 1.0).min(4.0) };
        }
        endpoint.record_attempt(outcome, ratio);
    }

    /// Learns the latency of a class; returns the ratio of this attempt's latency to the expected one.
    fn learn_latency(
        &mut self,
        now: Time,
        class: usize,
        size: f64,
        outcome: Outcome,
        latency: Duration,
    ) -> f64 {
        let target = self.settings.classes[class].target_latency;
        let class_latency = &mut self.latencies[class];
        // The first responses after the start are the fast ones, or reflect an overload that was there
        // before.
        let early = now.saturating_sub(self.started).as_secs_f64() < 3.0 * class_latency.mean;
        let ratio = (latency.as_secs_f64() / (class_latency.mean * size).max(1e-6)).min(10.0);
        self.rejected_share +=
            (f64::from(u8::from(outcome == Outcome::Rejected)) - self.rejected_share) * 0.05;
        // A rejection indicates congestion; its latency doesn't tell how long a request takes.
        let taken = if outcome == Outcome::Rejected { target } else { latency };
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent | Outcome::Cancelled) {
            let slowdown = (taken.as_secs_f64() / size / class_latency.uncongested.max(1e-6)).min(5.0);
            let gain = (1.0 - decay(self.last_response, now, 2.0 * self.completion_rate.time_constant))
                .max(1.0 / PRIOR_RESPONSES);
            self.slowdown += (slowdown - self.slowdown) * gain;
            self.last_response = now;
        }
        if outcome == Outcome::Ok {
            class_latency.learn(latency.as_secs_f64() / size, target, early);
        }
        ratio
    }

    /// Learns the idle time after which connections are dead, and the fraction of those that are.
    pub(super) fn learn_dead_connections(&mut self, idle: f64, outcome: Outcome) {
        let dead = matches!(outcome, Outcome::Reset | Outcome::Timeout);
        if dead && idle > 0.1 {
            self.dead_after = self.dead_after.min(idle);
        }
        if (dead || outcome == Outcome::Ok) && idle > 0.7 * self.dead_after {
            let (to, gain) = if dead { (1.0, 0.1) } else { (0.0, 0.2) };
            self.dead_share += (to - self.dead_share) * gain;
            self.dead_after += 0.2 * (idle - self.dead_after).max(0.0);
        }
    }
}

impl Endpoint {
    /// Limits an endpoint to its existing connections after a failed connect, for a time that doubles with
    /// each failure. An endpoint that accepts no new connections may still respond on old ones and to probes,
    /// and each failed attempt uses up scarce retry budget. Covers crashed endpoints, unreachable zones and
    /// full connection tables; the cost is that a single chance failure limits a sound endpoint as well.
    fn record_connect(&mut self, now: Time, outcome: Outcome, time_constant: f64, jitter: f64) {
        if outcome == Outcome::ConnectFailed {
            self.connections = self.in_flight;
            let wait = (time_constant / 8.0 * 2f64.powi(self.failed_connects)).min(time_constant);
            self.failed_connects = (self.failed_connects + 1).min(9);
            self.connect_backoff_until = now + secs(wait * jitter);
        } else if outcome == Outcome::Ok && self.connect_backoff_until <= now {
            self.failed_connects = 0;
        }
    }

    /// Records an attempt whose latency was `ratio` times the expected one.
    fn record_attempt(&mut self, outcome: Outcome, ratio: f64) {
        match outcome {
            Outcome::Ok => {
                // A response from an ejected endpoint shows that it recovers, so old failures count for less.
                self.failures *= 0.8;
                self.attempts += 1.0;
                self.latency_ratios += ratio;
            }
            // Cancelled by this sidecar: the latency is at least what had passed by then, not more.
            Outcome::Cancelled if ratio > 1.0 => {
                self.attempts += 1.0;
                self.latency_ratios += ratio;
            }
            Outcome::NotSent | Outcome::Cancelled => {}
            _ => {
                self.attempts += 1.0;
                self.failures += 1.0;
                self.latency_ratios += 1.0;
            }
        }
    }
}
