//! Health: what outcomes and load reports tell of an endpoint, and of the times that classes take.

use super::Balancer;
use super::admission::EVIDENCE;
use super::rate::{fade, secs};
use super::table::Endpoint;
use crate::interface::*;
use std::time::Duration;

impl Balancer {
    /// A probe has ended.
    pub(super) fn probed(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.report(now, endpoint, report);
        let lost = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        if let (true, Some(up)) = (lost, self.endpoint_mut(endpoint)) {
            up.ended += 1.0;
            up.failed += 1.0;
        }
    }

    /// Takes over the load that an endpoint reports.
    pub(super) fn report(&mut self, now: Time, id: EndpointId, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        self.endpoint_mut(id).into_iter().for_each(|up| up.heard = now);
        let load = match (report.inflight, report.queue) {
            (None, None) => report.utilization,
            (inflight, queue) => Some(inflight.unwrap_or(0.0) + queue.unwrap_or(0.0)),
        };
        if let (Some(load), Some(up)) = (load.filter(|l| l.is_finite()), self.endpoint_mut(id)) {
            up.load = Some((load.max(0.0), now));
        }
    }

    /// Books how an attempt ended to its class and its endpoint.
    pub(super) fn judge(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: EndpointId,
        outcome: Outcome,
        latency: Duration,
    ) {
        let request = self.requests.get(&id).map(|r| (r.class, r.size));
        let ratio = request.map_or(1.0, |(class, size)| self.learn_time(now, class, size, outcome, latency));
        let spread = 0.5 + self.rng.f64();
        let Some(up) = self.table.get_mut(endpoint) else { return };
        up.forget(now, self.memory);
        if up.out >= 1.0 {
            up.out -= 1.0;
            self.rows_out -= f64::from(u8::from(up.walked));
        }
        up.used = now;
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            up.heard = now;
        }
        up.book_connection(now, outcome, self.memory, spread);
        if let (Some((class, _)), true) = (request, outcome != Outcome::Cancelled && !outcome.never_ran()) {
            let silent = &mut up.silent[class];
            *silent = if outcome == Outcome::Ok { 0.5 * *silent } else { (*silent + 1.0).min(4.0) };
        }
        up.book(outcome, ratio);
    }

    /// Learns what a class takes; returns this attempt's latency over what was expected of it.
    fn learn_time(&mut self, now: Time, class: usize, size: f64, outcome: Outcome, latency: Duration) -> f64 {
        let aim = self.settings.classes[class].target_latency;
        let track = &mut self.tracks[class];
        // Danger: the first answers back are the short ones, or tell of a jam, if it starts in one.
        let early = now.saturating_sub(self.began).as_secs_f64() < 3.0 * track.mean;
        let ratio = (latency.as_secs_f64() / (track.mean * size).max(1e-6)).min(10.0);
        self.full += (f64::from(u8::from(outcome == Outcome::Rejected)) - self.full) * 0.05;
        // One turned away unexamined tells of crowding, not of time.
        let taken = if outcome == Outcome::Rejected { aim } else { latency };
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent | Outcome::Cancelled) {
            let crowding = (taken.as_secs_f64() / size / track.floor.max(1e-6)).min(5.0);
            let gain = (1.0 - fade(self.answered, now, 2.0 * self.ends.memory)).max(1.0 / EVIDENCE);
            self.recent += (crowding - self.recent) * gain;
            self.answered = now;
        }
        if outcome == Outcome::Ok {
            track.learn(latency.as_secs_f64() / size, aim, early);
        }
        ratio
    }

    /// Learns after how long without use connections are found dead, and what share of those is.
    pub(super) fn learn_idle(&mut self, idle: f64, outcome: Outcome) {
        let lost = matches!(outcome, Outcome::Reset | Outcome::Timeout);
        if lost && idle > 0.1 {
            self.dead_after = self.dead_after.min(idle);
        }
        if (lost || outcome == Outcome::Ok) && idle > 0.7 * self.dead_after {
            let (to, gain) = if lost { (1.0, 0.1) } else { (0.0, 0.2) };
            self.dead_share += (to - self.dead_share) * gain;
            self.dead_after += 0.2 * (idle - self.dead_after).max(0.0);
        }
    }
}

impl Endpoint {
    /// Danger: one that takes no new connection may answer probes and old connections well, and each try
    /// spends scarce budget. For a doubling wait it gets only as many calls as it has connections.
    /// Covers crashes, cut zones and full tables; harms after a chance failure.
    fn book_connection(&mut self, now: Time, outcome: Outcome, memory: f64, spread: f64) {
        if outcome == Outcome::ConnectFailed {
            self.open = self.out;
            let wait = (memory / 8.0 * 2f64.powi(self.unmade)).min(memory);
            self.unmade = (self.unmade + 1).min(9);
            self.down_until = now + secs(wait * spread);
        } else if outcome == Outcome::Ok && self.down_until <= now {
            self.unmade = 0;
        }
    }

    /// Counts an attempt that took `ratio` times what was expected of it.
    fn book(&mut self, outcome: Outcome, ratio: f64) {
        match outcome {
            Outcome::Ok => {
                // An answer from the trickle tells of recovery, so it wipes out part of old failures.
                self.failed *= 0.8;
                self.ended += 1.0;
                self.slow += ratio;
            }
            // Given up by us: slow it may be, but no more is proven than the time it had.
            Outcome::Cancelled if ratio > 1.0 => {
                self.ended += 1.0;
                self.slow += ratio;
            }
            Outcome::NotSent | Outcome::Cancelled => {}
            _ => {
                self.ended += 1.0;
                self.failed += 1.0;
                self.slow += 1.0;
            }
        }
    }
}
