//! The life of a request: its attempts, what comes of them, and its one final answer.

use super::Balancer;
use super::rate::secs;
use crate::interface::*;
use std::time::Duration;

/// One attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent: Time,
    /// How long its connection had been idle, at most.
    pub(super) idle: f64,
    pub(super) out: bool,
    /// Its outcome proves that it never ran.
    pub(super) void: bool,
}

/// A request that is open, or about to be.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) deadline: Time,
    pub(super) size: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) streaming: bool,
    pub(super) repeat: bool,
    /// Its attempt was called off to go elsewhere, which the retry budget has paid.
    pub(super) moved: bool,
}

impl Request {
    /// The first attempt that may have run: a cancelled one or one that is out may have, too.
    pub(super) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.void)
    }

    /// Attempts that are out.
    pub(super) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.out).count()
    }
}

/// What a class's answers have taken.
#[derive(Debug, Clone, Copy)]
pub(super) struct Track {
    pub(super) mean: f64,
    pub(super) deviation: f64,
    /// What it takes when nothing is crowded: the least mean, slow to rise.
    pub(super) floor: f64,
    pub(super) answers: f64,
    pub(super) hint: f64,
}

impl Track {
    /// A class that nothing has been learned of.
    pub(super) fn new(class: &RequestClass) -> Track {
        let aim = 0.3 * class.target_latency.as_secs_f64();
        Track { mean: aim, deviation: aim, floor: aim, answers: 0.0, hint: 0.0 }
    }

    /// Takes an answer that took so many seconds, over the request's size.
    pub(super) fn learn(&mut self, took: f64, aim: Duration, early: bool) {
        let off = took - self.mean;
        self.mean += off * (1.0 / (self.answers + 1.0)).max(0.03);
        let above = self.mean.min(0.4 * aim.as_secs_f64()) - self.floor;
        let gain = if above < 0.0 { 0.1 } else { 0.001 };
        self.floor += above * if self.answers < 4.0 || early { 1.0 } else { gain };
        self.answers += 1.0;
        self.deviation += 0.03 * (off.abs() - self.deviation);
    }
}

/// How long an answer to a request of this class is worth anything. Danger: work that goes on past that
/// crowds the endpoints for nothing, and makes the next answers late as well.
fn useful_time(class: &RequestClass) -> Duration {
    let worthless_when_late = class.late_value <= 0.0 && class.target_latency_work_factor <= 0.0;
    if worthless_when_late { class.target_latency.min(class.deadline) } else { class.deadline }
}

impl Balancer {
    /// A request that has just come, with no attempt yet.
    pub(super) fn new_request(&self, now: Time, class: ClassId, left: Duration, repeat: bool) -> Request {
        let class = class.0.min(self.settings.classes.len() - 1);
        // Inner tiers are told what their caller has left, and not when the client began to wait.
        let left =
            if self.settings.tier == 0 { left.min(useful_time(&self.settings.classes[class])) } else { left };
        let (deadline, attempts) = (now + left, Vec::new());
        Request { class, deadline, size: 1.0, attempts, streaming: false, repeat, moved: false }
    }

    /// Refuses a request or begins its first attempt.
    pub(super) fn request(
        &mut self,
        now: Time,
        id: RequestId,
        mut request: Request,
        tenant: Option<TenantId>,
        hint: Option<Duration>,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        self.calls.add(now);
        self.warm_calls.add(now);
        self.retries.taken.push_back(now);
        self.retries.pass(now);
        let over_share = self.over_share(now, tenant);
        let track = &mut self.tracks[request.class];
        if let Some(hint) = hint.map(|h| h.as_secs_f64()).filter(|&h| h > 0.0) {
            track.hint = if track.hint > 0.0 { track.hint + 0.03 * (hint - track.hint) } else { hint };
            request.size = (0.4 + 0.6 * hint / track.hint).min(50.0);
        }
        let likely = 0.8 * track.mean * request.size;
        let pressure = self.pressure(now, request.class, over_share);
        self.refused += (f64::from(u8::from(pressure > 1.0)) - self.refused) * 0.005;
        if request.deadline.saturating_sub(now).as_secs_f64() < likely || pressure > 1.0 {
            self.finish(now, id, request);
        } else {
            self.send(now, id, request);
        }
    }

    /// Begins an attempt, or ends the request if none can take it.
    fn send(&mut self, now: Time, id: RequestId, mut request: Request) {
        match self.pick(now, &request) {
            Some(endpoint) => {
                self.attempt(now, id, &mut request, endpoint);
                self.requests.insert(id, request);
            }
            None => self.finish(now, id, request),
        }
    }

    /// Begins an attempt at this endpoint.
    pub(super) fn attempt(&mut self, now: Time, id: RequestId, request: &mut Request, to: EndpointId) {
        let timeout = request.deadline.saturating_sub(now);
        let idle = self.endpoint(to).map_or(0.0, |up| now.saturating_sub(up.used).as_secs_f64());
        // Danger: connections may be dropped unseen while idle; what is sent on one gets no answer. One in
        // five that can be repeated still goes on an old one, and shows when that is over.
        let dead = idle > 0.7 * self.dead_after && self.dead_share > 0.3;
        let tests = self.settings.classes[request.class].effect != Effect::Unsafe && self.rng.f64() < 0.2;
        let renewed = dead && !tests;
        if renewed {
            self.actions.push(Action::CloseIdle(to));
        }
        let idle = if renewed { 0.0 } else { idle };
        if let Some(up) = self.table.get_mut(to) {
            up.credit = (up.credit - 1.0).clamp(-1.0, 1.0);
            up.cold_left -= 1.0;
            up.out += 1.0;
            up.open = up.open.max(up.out);
            self.rows_out += f64::from(u8::from(up.walked));
        }
        if !request.attempts.is_empty() && (self.retries.binding || request.may_have_run().is_some()) {
            self.retries.extra.push_back((now, id, request.attempts.len() as u32));
        }
        request.attempts.push(Attempt { endpoint: to, sent: now, idle, out: true, void: false });
        self.actions.push(Action::Send { request: id, endpoint: to, timeout });
        if request.attempts.len() == 1 {
            let track = &self.tracks[request.class];
            let after = secs((track.mean + 3.0 * track.deviation) * request.size);
            if after * 2 < timeout {
                self.actions.push(Action::SetTimer { after, timer: Timer::SlowRequest(id) });
            }
        }
    }

    /// The client of a request has left.
    pub(super) fn withdrawn(&mut self, now: Time, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.ends.add(now);
            self.retries.moving -= f64::from(u8::from(request.moved));
            self.cancel(id, &request);
        }
    }

    /// An attempt has ended: its request is answered, goes on elsewhere, or ends.
    pub(super) fn outcome(&mut self, now: Time, id: RequestId, attempt: u32, closed: bool, outcome: Outcome) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        if let Some(a) = request.attempts.get_mut(attempt as usize) {
            a.out = false;
            a.void = outcome.never_ran();
            if outcome == Outcome::NotSent {
                self.retries.extra.retain(|e| (e.1, e.2) != (id, attempt));
            }
            let idle = a.idle;
            self.learn_idle(idle, outcome);
        }
        // One that was called off to go elsewhere may use the place that was kept for it.
        let moved = f64::from(u8::from(request.moved));
        self.retries.moving -= moved;
        request.moved = false;
        if closed {
            self.ends.add(now);
            self.cancel(id, &request);
            return;
        }
        if request.out() > 0 {
            self.requests.insert(id, request);
            return;
        }
        if self.may_go_on(now, &request, attempt, outcome, moved) {
            self.send(now, id, request);
        } else {
            self.finish(now, id, request);
        }
    }

    /// Whether a request with no attempt out may have another; `moved` is 1 where its place in the budget is
    /// kept, else 0.
    fn may_go_on(
        &mut self,
        now: Time,
        request: &Request,
        attempt: u32,
        outcome: Outcome,
        moved: f64,
    ) -> bool {
        let left = request.deadline.saturating_sub(now).as_secs_f64();
        let class = &self.settings.classes[request.class];
        let repeatable = class.effect != Effect::Unsafe || request.may_have_run().is_none();
        let free = (outcome.never_ran() || moved > 0.0) && !self.retries.binding;
        let paid = free || self.retries.allows(now, self.retry_share(request.class).max(moved));
        // Danger: a request may bring down whatever begins it, and would go on to the next endpoint. It
        // breaks soon after its send, twice or at a client's repeat; what died along has mostly run longer.
        let mean = self.tracks[request.class].mean;
        let age = request.attempts.get(attempt as usize).map_or(now, |a| now.saturating_sub(a.sent));
        let again = request.repeat || request.attempts.len() > 1;
        let suspect = again && outcome == Outcome::Reset && age.as_secs_f64() < 0.5 * (mean * request.size);
        let more = !suspect && (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        repeatable && paid && more && left > 0.5 * mean && outcome != Outcome::NotSent
    }

    /// The final answer to a request that can't be served: a refusal where that is true, else a failure.
    fn finish(&mut self, now: Time, id: RequestId, request: Request) {
        if !request.attempts.is_empty() {
            self.ends.add(now);
        }
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => true,
            _ => request.may_have_run().is_none(),
        };
        self.cancel(id, &request);
        if harmless {
            let retry_after = self.settings.limits.retry_after.then(|| {
                let aim = self.settings.classes[request.class].target_latency;
                aim.mul_f64(0.5 + self.rng.f64()).min(self.settings.limits.max_retry_after)
            });
            self.actions.push(Action::Reject { request: id, retry_after });
        } else {
            self.actions.push(Action::Fail(id));
        }
    }

    /// Stops waiting for its attempts that are out, where that is permitted.
    fn cancel(&mut self, id: RequestId, request: &Request) {
        let permitted = self.settings.limits.cancel;
        for (attempt, _) in request.attempts.iter().enumerate().filter(|(_, a)| a.out && permitted) {
            self.actions.push(Action::Cancel { request: id, attempt: attempt as u32 });
        }
    }
}
