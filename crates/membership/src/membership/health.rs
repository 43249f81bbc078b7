//! Local health awareness, after Lifeguard: a member that is slow or cut off itself must not suspect others because
//! of it.

use crate::Time;

/// The maximum health score.
const MAX_SCORE: u32 = 4;
/// After this many failed probes in a row, the local member itself is assumed to be cut off.
const ISOLATED_AFTER: u32 = 3;

/// The health of the local member.
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
    failed_probes_in_row: u32,
    last_received: Option<Time>,
}

impl LocalHealth {
    /// The health score: 0 is healthy, and higher is worse.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// The factor on probe timeouts.
    pub fn multiplier(&self) -> u32 {
        1 + self.score
    }

    /// Records a sign that the local member itself is slow or cut off.
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records an answered probe.
    pub fn probe_answered(&mut self) {
        self.helper_answered();
        self.score = self.score.saturating_sub(1);
    }

    /// Records that a helper answered a ping request, which shows, even by a nack, that the local member is
    /// reachable.
    pub fn helper_answered(&mut self) {
        self.failed_probes_in_row = 0;
    }

    /// Records a probe without an answer.
    pub fn probe_failed(&mut self) {
        self.failed_probes_in_row += 1;
    }

    /// Records a valid message from another member.
    pub fn received(&mut self, now: Time) {
        self.last_received = Some(now);
    }

    /// Whether so many probes in a row failed that the local member itself is assumed to be cut off.
    pub fn is_isolated(&self) -> bool {
        self.failed_probes_in_row >= ISOLATED_AFTER
    }

    /// Whether a message arrived within the last `span`.
    pub fn received_within(&self, span: Time, now: Time) -> bool {
        self.last_received.is_some_and(|at| at + span > now)
    }
}
