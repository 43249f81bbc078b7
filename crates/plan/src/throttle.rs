//! What this sidecar may spend of the plan's limits on retries.
//!
//! A rule's share of first tries is kept by each sidecar of its own first tries, which sums to the cluster's. Its floor
//! and its ceiling are figures of the whole cluster: each sidecar has its part of the budgets' whole of retries, as a
//! share, and spends that share of them. As the parts in force never sum to more than the whole, neither do these.

use crate::content::{ExhaustedAction, RetryAttributes, RevisionContent};
use std::rc::Rc;
use std::time::Duration;

/// What came of wanting a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// No rule binds.
    Unlimited,
    /// Within this rule.
    Allowed(usize),
    /// This rule is spent; the attempt is made all the same, as the rule only counts.
    Counted(usize),
    /// This rule is spent.
    Denied(usize),
}

#[derive(Debug, Clone, Copy)]
struct Purse {
    /// Of first tries and of the floor.
    earned: f64,
    /// Of the ceiling.
    room: f64,
    at: Duration,
}

/// What may be spent of a content's rules.
#[derive(Debug)]
pub struct RetryThrottle {
    content: Rc<RevisionContent>,
    purses: Vec<Purse>,
    storm: bool,
    /// First tries and retries since it was asked last, for whoever looks for storms.
    tries: (u64, u64),
}

impl RetryThrottle {
    /// Nothing is earned yet.
    pub fn new(content: Rc<RevisionContent>, now: Duration) -> RetryThrottle {
        let purses = vec![Purse { earned: 0.0, room: 0.0, at: now }; content.retry_rules.len()];
        RetryThrottle { content, purses, storm: false, tries: (0, 0) }
    }

    /// Another revision, or a storm begins or ends. What was earned under equal rules stays; a purse never grows by it.
    pub fn update(&mut self, content: Rc<RevisionContent>, storm: bool, now: Duration) {
        self.storm = storm;
        if *content == *self.content {
            return;
        }
        let purse = |rule| {
            let known = self.content.retry_rules.iter().position(|known| known == rule);
            known.map_or(Purse { earned: 0.0, room: 0.0, at: now }, |at| self.purses[at])
        };
        self.purses = content.retry_rules.iter().map(purse).collect();
        self.content = content;
    }

    /// A first try goes out.
    pub fn record_first_attempt(&mut self, wanted: &RetryAttributes<'_>) {
        self.tries.0 += 1;
        // Whatever its retry will come after: each rule that could bind earns.
        let earns = |after| self.content.binding_rule(&RetryAttributes { after, ..*wanted });
        use crate::content::RetryCause::*;
        let mut rules: Vec<usize> = [Rejected, NeverConnected, MayHaveRun, TimedOut]
            .into_iter()
            .filter_map(|h| earns(Some(h)))
            .collect();
        rules.sort_unstable();
        rules.dedup();
        for at in rules {
            let (rule, purse) = (&self.content.retry_rules[at], &mut self.purses[at]);
            purse.earned = (purse.earned + rule.share).min(rule.burst);
        }
    }

    /// A retry is wanted; `part` is this sidecar's share of the cluster's whole now.
    pub fn try_retry(&mut self, wanted: &RetryAttributes<'_>, part: f64, now: Duration) -> RetryDecision {
        let Some(at) = self.content.binding_rule(wanted) else {
            self.tries.1 += 1;
            return RetryDecision::Unlimited;
        };
        let (rule, purse) = (&self.content.retry_rules[at], &mut self.purses[at]);
        let storm = self.content.storm.as_ref().filter(|_| self.storm);
        let ceiling = storm.map_or(rule.ceiling, |storm| storm.ceiling.min(rule.ceiling));
        let passed = now.saturating_sub(purse.at).as_secs_f64();
        purse.at = now;
        // Danger: what was saved up under a greater part, or before a storm, must not come out now.
        let most = (rule.burst * part).max(1.0);
        purse.room = (purse.room + ceiling * part * passed).min(most);
        purse.earned = (purse.earned + rule.floor.min(ceiling) * part * passed).min(rule.burst);
        let within = part > 0.0 && purse.room >= 1.0 && purse.earned >= 1.0;
        if within {
            purse.room -= 1.0;
            purse.earned -= 1.0;
        }
        let tried = match (within, rule.when_exhausted) {
            (true, _) => RetryDecision::Allowed(at),
            (false, ExhaustedAction::Count) => RetryDecision::Counted(at),
            (false, ExhaustedAction::Deny) => RetryDecision::Denied(at),
        };
        self.tries.1 += u64::from(!matches!(tried, RetryDecision::Denied(_)));
        tried
    }

    /// First tries and retries that went out since this was asked last.
    pub fn take_counts(&mut self) -> (u64, u64) {
        std::mem::take(&mut self.tries)
    }
}
