//! The lifecycle of a request: its attempts, their outcomes and the final response.

use super::Balancer;
use super::rate::secs;
use crate::interface::*;
use std::time::Duration;

/// One attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent: Time,
    /// Upper bound of the time in seconds for which its connection had been idle.
    pub(super) idle: f64,
    pub(super) in_flight: bool,
    /// Its outcome proves that it never ran.
    pub(super) never_ran: bool,
}

/// A request without a final response.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) deadline: Time,
    /// Expected work relative to the mean of the class.
    pub(super) size: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) streaming: bool,
    pub(super) client_retry: bool,
    /// Its attempt was cancelled to be moved to another endpoint; the retry is reserved in the budget.
    pub(super) retry_reserved: bool,
}

impl Request {
    /// The first attempt that may have run. Cancelled attempts and those in flight may have run, too.
    pub(super) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }

    /// Number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.in_flight).count()
    }
}

/// Latency statistics of a class, in seconds; request sizes are factored out.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassLatency {
    pub(super) mean: f64,
    pub(super) deviation: f64,
    /// Latency without congestion: the lowest mean, which rises only slowly.
    pub(super) uncongested: f64,
    /// Number of responses.
    pub(super) responses: f64,
    /// Mean expected work of the requests that state one; 0 until there is one.
    pub(super) mean_work: f64,
}

impl ClassLatency {
    /// Initial estimates for a class without responses.
    pub(super) fn new(class: &RequestClass) -> ClassLatency {
        let estimate = 0.3 * class.target_latency.as_secs_f64();
        ClassLatency {
            mean: estimate,
            deviation: estimate,
            uncongested: estimate,
            responses: 0.0,
            mean_work: 0.0,
        }
    }

    /// Learns from a response; `latency` is in seconds, divided by the request's size.
    pub(super) fn learn(&mut self, latency: f64, target: Duration, early: bool) {
        let difference = latency - self.mean;
        self.mean += difference * (1.0 / (self.responses + 1.0)).max(0.03);
        let above = self.mean.min(0.4 * target.as_secs_f64()) - self.uncongested;
        let gain = if above < 0.0 { 0.1 } else { 0.001 };
        self.uncongested += above * if self.responses < 4.0 || early { 1.0 } else { gain };
        self.responses += 1.0;
        self.deviation += 0.03 * (difference.abs() - self.deviation);
    }
}

/// Time for which a response to a request of this class has any value. Work that goes on for longer loads the
/// endpoints for nothing and delays the next responses.
fn useful_time(class: &RequestClass) -> Duration {
    let worthless_when_late = class.late_value <= 0.0 && class.target_latency_work_factor <= 0.0;
    if worthless_when_late { class.target_latency.min(class.deadline) } else { class.deadline }
}

impl Balancer {
    /// A request that has just arrived, without attempts.
    pub(super) fn new_request(
        &self,
        now: Time,
        class: ClassId,
        time_left: Duration,
        client_retry: bool,
    ) -> Request {
        let class = class.0.min(self.settings.classes.len() - 1);
        // Inner tiers know the time left until the deadline but not when the client began to wait.
        let time_left = if self.settings.tier == 0 {
            time_left.min(useful_time(&self.settings.classes[class]))
        } else {
            time_left
        };
        let (deadline, attempts) = (now + time_left, Vec::new());
        Request {
            class,
            deadline,
            size: 1.0,
            attempts,
            streaming: false,
            client_retry,
            retry_reserved: false,
        }
    }

    /// Rejects a request or starts its first attempt.
    pub(super) fn admit(
        &mut self,
        now: Time,
        id: RequestId,
        mut request: Request,
        tenant: Option<TenantId>,
        work_hint: Option<Duration>,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        self.request_rate.add(now);
        self.warm_requests.add(now);
        self.retries.requests.push_back(now);
        self.retries.slide(now);
        let over_quota = self.exceeds_quota(now, tenant);
        let latency = &mut self.latencies[request.class];
        if let Some(work) = work_hint.map(|h| h.as_secs_f64()).filter(|&h| h > 0.0) {
            latency.mean_work = if latency.mean_work > 0.0 {
                latency.mean_work + 0.03 * (work - latency.mean_work)
            } else {
                work
            };
            request.size = (0.4 + 0.6 * work / latency.mean_work).min(50.0);
        }
        let expected = 0.8 * latency.mean * request.size;
        let pressure = self.pressure(now, request.class, over_quota);
        self.shed_share += (f64::from(u8::from(pressure > 1.0)) - self.shed_share) * 0.005;
        if request.deadline.saturating_sub(now).as_secs_f64() < expected || pressure > 1.0 {
            self.finish(now, id, request);
        } else {
            self.send_or_finish(now, id, request);
        }
    }

    /// Starts an attempt, or finishes the request if no endpoint is eligible.
    fn send_or_finish(&mut self, now: Time, id: RequestId, mut request: Request) {
        match self.pick(now, &request) {
            Some(endpoint) => {
                self.start_attempt(now, id, &mut request, endpoint);
                self.requests.insert(id, request);
            }
            None => self.finish(now, id, request),
        }
    }

    /// Starts an attempt at this endpoint.
    pub(super) fn start_attempt(&mut self, now: Time, id: RequestId, request: &mut Request, to: EndpointId) {
        let timeout = request.deadline.saturating_sub(now);
        let idle =
            self.endpoint(to).map_or(0.0, |endpoint| now.saturating_sub(endpoint.last_used).as_secs_f64());
        // Idle connections may be dropped without notice; a request sent on one gets no response. A fifth of
        // the requests that can be retried still use old connections, to detect when that has ended.
        let dead = idle > 0.7 * self.dead_after && self.dead_share > 0.3;
        let tests = self.settings.classes[request.class].effect != Effect::Unsafe && self.rng.f64() < 0.2;
        let reconnect = dead && !tests;
        if reconnect {
            self.actions.push(Action::CloseIdle(to));
        }
        let idle = if reconnect { 0.0 } else { idle };
        if let Some(endpoint) = self.table.get_mut(to) {
            endpoint.credit = (endpoint.credit - 1.0).clamp(-1.0, 1.0);
            endpoint.slow_start_credit -= 1.0;
            endpoint.in_flight += 1.0;
            endpoint.connections = endpoint.connections.max(endpoint.in_flight);
            self.rotation_in_flight += f64::from(u8::from(endpoint.in_rotation));
        }
        if !request.attempts.is_empty() && (self.retries.strict || request.may_have_run().is_some()) {
            self.retries.retries.push_back((now, id, request.attempts.len() as u32));
        }
        request.attempts.push(Attempt { endpoint: to, sent: now, idle, in_flight: true, never_ran: false });
        self.actions.push(Action::Send { request: id, endpoint: to, timeout });
        if request.attempts.len() == 1 {
            let latency = &self.latencies[request.class];
            let after = secs((latency.mean + 3.0 * latency.deviation) * request.size);
            if after * 2 < timeout {
                self.actions.push(Action::SetTimer { after, timer: Timer::SlowRequest(id) });
            }
        }
    }

    /// Drops a request whose client disconnected.
    pub(super) fn client_disconnected(&mut self, now: Time, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.completion_rate.add(now);
            self.retries.reserved -= f64::from(u8::from(request.retry_reserved));
            self.cancel_attempts(id, &request);
        }
    }

    /// Handles the end of an attempt: its request is finished, is retried, or waits for another attempt.
    pub(super) fn attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        finished: bool,
        outcome: Outcome,
    ) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        if let Some(a) = request.attempts.get_mut(attempt as usize) {
            a.in_flight = false;
            a.never_ran = outcome.never_ran();
            if outcome == Outcome::NotSent {
                self.retries.retries.retain(|r| (r.1, r.2) != (id, attempt));
            }
            let idle = a.idle;
            self.learn_dead_connections(idle, outcome);
        }
        // A request that was cancelled to be moved may use the retry that was reserved for it.
        let reserved = f64::from(u8::from(request.retry_reserved));
        self.retries.reserved -= reserved;
        request.retry_reserved = false;
        if finished {
            self.completion_rate.add(now);
            self.cancel_attempts(id, &request);
            return;
        }
        if request.in_flight() > 0 {
            self.requests.insert(id, request);
            return;
        }
        if self.may_retry(now, &request, attempt, outcome, reserved) {
            self.send_or_finish(now, id, request);
        } else {
            self.finish(now, id, request);
        }
    }

    /// Returns true if a request without attempts in flight may be retried; `reserved` is 1 if a retry is
    /// reserved for it in the budget, else 0.
    fn may_retry(
        &mut self,
        now: Time,
        request: &Request,
        attempt: u32,
        outcome: Outcome,
        reserved: f64,
    ) -> bool {
        let time_left = request.deadline.saturating_sub(now).as_secs_f64();
        let class = &self.settings.classes[request.class];
        let harmless = class.effect != Effect::Unsafe || request.may_have_run().is_none();
        let free = (outcome.never_ran() || reserved > 0.0) && !self.retries.strict;
        let within_budget = free || self.retries.allows(now, self.retry_share(request.class).max(reserved));
        // A request may crash every endpoint that runs it and must not be passed on to the next. The sign of
        // it is a connection that breaks soon after the send, twice or on a client's retry; requests that
        // were merely running on a crashing endpoint have mostly run for longer.
        let mean = self.latencies[request.class].mean;
        let age = request.attempts.get(attempt as usize).map_or(now, |a| now.saturating_sub(a.sent));
        let repeated = request.client_retry || request.attempts.len() > 1;
        let suspect =
            repeated && outcome == Outcome::Reset && age.as_secs_f64() < 0.5 * (mean * request.size);
        let more = !suspect && (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        harmless && within_budget && more && time_left > 0.5 * mean && outcome != Outcome::NotSent
    }

    /// Sends the final response to a request that can't be served: rejected if a retry by the client is
    /// harmless, failed otherwise.
    fn finish(&mut self, now: Time, id: RequestId, request: Request) {
        if !request.attempts.is_empty() {
            self.completion_rate.add(now);
        }
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => true,
            _ => request.may_have_run().is_none(),
        };
        self.cancel_attempts(id, &request);
        if harmless {
            let retry_after = self.settings.limits.retry_after.then(|| {
                let target = self.settings.classes[request.class].target_latency;
                target.mul_f64(0.5 + self.rng.f64()).min(self.settings.limits.max_retry_after)
            });
            self.actions.push(Action::Reject { request: id, retry_after });
        } else {
            self.actions.push(Action::Fail(id));
        }
    }

    /// Cancels the attempts in flight, if the host permits it.
    fn cancel_attempts(&mut self, id: RequestId, request: &Request) {
        let permitted = self.settings.limits.cancel;
        for (attempt, _) in request.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && permitted) {
            self.actions.push(Action::Cancel { request: id, attempt: attempt as u32 });
        }
    }
}
