//! Hedging: a second attempt for a request that takes unusually long.

use super::Balancer;
use crate::interface::*;

/// Fraction of the total value that hedged attempts may cost.
const HEDGE_SPEND: f64 = 0.004;

impl Balancer {
    /// Handles a request that takes unusually long: starts a hedged attempt or, where hedging is not
    /// permitted, cancels the attempt so that it can be retried elsewhere. Waiting for the timeout instead
    /// would leave no time for another attempt.
    pub(super) fn hedge(&mut self, now: Time, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let open = request.in_flight() == 1
            && !request.streaming
            && (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        let (attempt, class) = (request.attempts.len().saturating_sub(1), request.class);
        if let Some(slow) = request.attempts.get(attempt).filter(|a| a.in_flight) {
            self.learn_dead_connections(slow.idle, Outcome::Timeout);
            self.endpoint_mut(slow.endpoint).into_iter().for_each(|endpoint| {
                endpoint.unresponsive[class] = (endpoint.unresponsive[class] + 1.0).min(4.0)
            });
        }
        let Limits { hedging, cancel, .. } = self.settings.limits;
        // Most hedged attempts are wasted work, so there are fewer where waste is expensive.
        let hedge_share = (HEDGE_SPEND / self.settings.prices.waste.max(HEDGE_SPEND) / 0.1).min(1.0);
        // Most slow requests are slow because of their own work: started anew, they take as long again, and
        // the work done so far is wasted. So an attempt is moved only off an endpoint that has sent nothing
        // since, and not on the first such occasion.
        let slow = request.attempts.last().filter(|a| a.in_flight);
        let slow = slow.and_then(|a| Some((a.sent, self.endpoint(a.endpoint)?)));
        let quiet = slow.is_some_and(|(sent, endpoint)| endpoint.last_response < sent);
        let unresponsive = slow.is_some_and(|(_, endpoint)| quiet && endpoint.unresponsive[class] >= 2.0);
        if quiet && !unresponsive && !hedging {
            let after = now.saturating_sub(request.attempts[attempt].sent);
            self.actions.push(Action::SetTimer { after, timer: Timer::SlowRequest(id) });
        }
        let share = if hedging { hedge_share } else { self.retry_share(class) };
        if open
            && (hedging || cancel && unresponsive)
            && self.settings.classes[class].effect != Effect::Unsafe
            && self.retries.allows(now, share)
            && let Some(endpoint) = self.pick(now, &request)
        {
            if hedging {
                self.start_attempt(now, id, &mut request, endpoint);
            } else {
                self.retries.reserved += 1.0;
                request.retry_reserved = true;
                self.actions.push(Action::Cancel { request: id, attempt: attempt as u32 });
            }
        }
        self.requests.insert(id, request);
    }
}
