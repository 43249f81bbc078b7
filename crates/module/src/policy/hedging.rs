//! Hedging: what is done about a request that is out for unusually long.

use super::Balancer;
use crate::interface::*;

/// Share of the result that second copies may cost.
const SPEND: f64 = 0.004;

impl Balancer {
    /// A request is out for unusually long: a second copy is sent or, where that is not permitted, the
    /// attempt is called off to go elsewhere. Danger: a time-out leaves no time for another attempt.
    pub(super) fn hedge(&mut self, now: Time, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let open = request.out() == 1
            && !request.streaming
            && (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        let (attempt, class) = (request.attempts.len().saturating_sub(1), request.class);
        if let Some(late) = request.attempts.get(attempt).filter(|a| a.out) {
            self.learn_idle(late.idle, Outcome::Timeout);
            self.endpoint_mut(late.endpoint)
                .into_iter()
                .for_each(|up| up.silent[class] = (up.silent[class] + 1.0).min(4.0));
        }
        let Limits { hedging, cancel, .. } = self.settings.limits;
        // Second copies are mostly wasted, so there are fewer where waste has a price.
        let copies = (SPEND / self.settings.prices.waste.max(SPEND) / 0.1).min(1.0);
        // Danger: what runs long is mostly long by its own work, begun anew takes as long again, and what was
        // done is wasted. So only an endpoint is left that has said nothing since, and no first time.
        let late = request.attempts.last().filter(|a| a.out);
        let late = late.and_then(|a| Some((a.sent, self.endpoint(a.endpoint)?)));
        let mute = late.is_some_and(|(sent, up)| up.heard < sent);
        let given_up = late.is_some_and(|(_, up)| mute && up.silent[class] >= 2.0);
        if mute && !given_up && !hedging {
            let after = now.saturating_sub(request.attempts[attempt].sent);
            self.actions.push(Action::SetTimer { after, timer: Timer::SlowRequest(id) });
        }
        let share = if hedging { copies } else { self.retry_share(class) };
        if open
            && (hedging || cancel && given_up)
            && self.settings.classes[class].effect != Effect::Unsafe
            && self.retries.allows(now, share)
            && let Some(endpoint) = self.pick(now, &request)
        {
            if hedging {
                self.attempt(now, id, &mut request, endpoint);
            } else {
                self.retries.moving += 1.0;
                request.moved = true;
                self.actions.push(Action::Cancel { request: id, attempt: attempt as u32 });
            }
        }
        self.requests.insert(id, request);
    }
}
