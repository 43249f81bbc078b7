//! A sidecar's part of the plan's limits on retries.
//!
//! Each sidecar applies a rule's share to its own first attempts; the sum over the sidecars keeps the fleet's share.
//! A rule's floor and ceiling are rates of the whole fleet: each sidecar takes the fraction of them that it holds of
//! the fleet's retry budget. The fractions in force never sum to more than one, so the sidecars together stay
//! within both rates.

use crate::content::{ExhaustedAction, RetryAttributes, RevisionContent};
use std::rc::Rc;
use std::time::Duration;

/// Whether a retry may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// No rule applies: the retry may be made.
    Unlimited,
    /// The rule of this index allows the retry.
    Allowed(usize),
    /// The rule of this index is exhausted, but only counts: the retry may be made.
    Counted(usize),
    /// The rule of this index is exhausted: the retry must not be made.
    Denied(usize),
}

/// The tokens of one rule. A retry takes one of each kind.
#[derive(Debug, Clone, Copy)]
struct Tokens {
    /// Earned by first attempts and by the floor.
    earned: f64,
    /// Refilled at the rate of the ceiling.
    ceiling: f64,
    refilled_at: Duration,
}

impl Tokens {
    fn empty(now: Duration) -> Tokens {
        Tokens { earned: 0.0, ceiling: 0.0, refilled_at: now }
    }
}

/// Applies the retry rules of a revision.
#[derive(Debug)]
pub struct RetryThrottle {
    content: Rc<RevisionContent>,
    /// One entry for each retry rule of `content`.
    tokens: Vec<Tokens>,
    storm: bool,
    /// First attempts and retries since the last call of `take_counts`.
    counts: (u64, u64),
}

impl RetryThrottle {
    /// A throttle without any tokens.
    pub fn new(content: Rc<RevisionContent>, now: Duration) -> RetryThrottle {
        let tokens = vec![Tokens::empty(now); content.retry_rules.len()];
        RetryThrottle { content, tokens, storm: false, counts: (0, 0) }
    }

    /// Changes to another revision, or starts or ends a storm. Rules that are in both revisions keep their tokens, new
    /// ones start without, so that a change never allows additional retries.
    pub fn update(&mut self, content: Rc<RevisionContent>, storm: bool, now: Duration) {
        self.storm = storm;
        if *content == *self.content {
            return;
        }
        let tokens = |rule| {
            let known = self.content.retry_rules.iter().position(|known| known == rule);
            known.map_or(Tokens::empty(now), |i| self.tokens[i])
        };
        self.tokens = content.retry_rules.iter().map(tokens).collect();
        self.content = content;
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, request: &RetryAttributes<'_>) {
        self.counts.0 += 1;
        // How the attempt will end is not known yet, so each rule that could apply to its retry earns.
        let rule_after = |after| self.content.binding_rule(&RetryAttributes { after, ..*request });
        use crate::content::RetryCause::*;
        let mut rules: Vec<usize> = [Rejected, NeverConnected, MayHaveRun, TimedOut]
            .into_iter()
            .filter_map(|cause| rule_after(Some(cause)))
            .collect();
        rules.sort_unstable();
        rules.dedup();
        for i in rules {
            let (rule, tokens) = (&self.content.retry_rules[i], &mut self.tokens[i]);
            tokens.earned = (tokens.earned + rule.share).min(rule.burst);
        }
    }

    /// Decides on a retry. `fraction` is the part of the fleet's retry budget that this sidecar holds now.
    pub fn try_retry(&mut self, retry: &RetryAttributes<'_>, fraction: f64, now: Duration) -> RetryDecision {
        let Some(i) = self.content.binding_rule(retry) else {
            self.counts.1 += 1;
            return RetryDecision::Unlimited;
        };
        let (rule, tokens) = (&self.content.retry_rules[i], &mut self.tokens[i]);
        let storm = self.content.storm.as_ref().filter(|_| self.storm);
        let ceiling = storm.map_or(rule.ceiling, |storm| storm.ceiling.min(rule.ceiling));
        let elapsed = now.saturating_sub(tokens.refilled_at).as_secs_f64();
        tokens.refilled_at = now;
        // Caps the tokens that were saved up under a larger fraction or before a storm. Without the cap, the sidecars
        // together could now spend more than the rule's burst.
        let max_ceiling_tokens = (rule.burst * fraction).max(1.0);
        tokens.ceiling = (tokens.ceiling + ceiling * fraction * elapsed).min(max_ceiling_tokens);
        tokens.earned = (tokens.earned + rule.floor.min(ceiling) * fraction * elapsed).min(rule.burst);
        let allowed = fraction > 0.0 && tokens.ceiling >= 1.0 && tokens.earned >= 1.0;
        if allowed {
            tokens.ceiling -= 1.0;
            tokens.earned -= 1.0;
        }
        let decision = match (allowed, rule.when_exhausted) {
            (true, _) => RetryDecision::Allowed(i),
            (false, ExhaustedAction::Count) => RetryDecision::Counted(i),
            (false, ExhaustedAction::Deny) => RetryDecision::Denied(i),
        };
        self.counts.1 += u64::from(!matches!(decision, RetryDecision::Denied(_)));
        decision
    }

    /// Returns the numbers of first attempts and retries since the last call and resets them. They show retry storms.
    pub fn take_counts(&mut self) -> (u64, u64) {
        std::mem::take(&mut self.counts)
    }
}
