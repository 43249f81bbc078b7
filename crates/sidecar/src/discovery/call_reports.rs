//! What the task of a call reports to its owner while a list arrives. Endpoints that the list excludes are excluded in the
//! [`EndpointTable`] at once.

use super::call::{CallResult, ListObserver, Outcome};
use super::call_state::{CallState, SharedCallState};
use super::schedule::CallId;
use crate::counters::Counters;
use crate::endpoint_list::EndpointRecord;
use crate::endpoint_table::EndpointTable;
use cometcroft::EndpointEntry;
use cometcroft_platform::Platform;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Minimum time between two reports of excluded endpoints to the decision module, which ranks all endpoints anew each time.
/// Until then, the endpoint table alone keeps attempts away from them.
const EXCLUSION_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two reports of progress.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// A report of a call to the owner of the schedule.
pub(super) enum CallReport<P: Platform> {
    /// More of the list has arrived.
    Progressed(CallId),
    /// The list has stalled.
    Stalled(CallId),
    /// These endpoints have been excluded.
    Excluded(Vec<EndpointEntry>),
    /// The call has ended.
    Ended {
        id: CallId,
        result: CallResult<P>,
        /// Whether the list excluded endpoints that were open.
        excluded: bool,
    },
}

/// Excludes endpoints as the records of a list arrive, and reports to the owner of the call.
pub(super) struct CallReporter<P: Platform> {
    id: CallId,
    platform: P,
    counters: Rc<Counters>,
    endpoints: Rc<EndpointTable>,
    report: UnboundedSender<CallReport<P>>,
    /// Endpoints that are excluded but not yet reported.
    unreported: Vec<EndpointEntry>,
    exclusions_reported_at: Option<Instant>,
    progress_reported_at: Option<Instant>,
    /// Whether the list has excluded endpoints that were open.
    excluded: bool,
    state: Rc<SharedCallState>,
}

impl<P: Platform> CallReporter<P> {
    pub(super) fn new(
        id: CallId,
        platform: P,
        counters: Rc<Counters>,
        endpoints: Rc<EndpointTable>,
        report: UnboundedSender<CallReport<P>>,
        state: Rc<SharedCallState>,
    ) -> CallReporter<P> {
        CallReporter {
            id,
            platform,
            counters,
            endpoints,
            report,
            unreported: Vec::new(),
            exclusions_reported_at: None,
            progress_reported_at: None,
            excluded: false,
            state,
        }
    }

    /// Reports that the call has ended.
    pub(super) fn finish(mut self, result: CallResult<P>) {
        // Not left to the owner: discovery may move, and the owner drop the call, before this report is read.
        if let Outcome::Answered(list) = &result.outcome {
            let unlisted = match self.state.get() {
                CallState::Awaited | CallState::Replaced => {
                    self.endpoints.exclude_unlisted(list, Some(list.version))
                }
                CallState::Moved => self.endpoints.exclude_unlisted(list, None),
                CallState::Superseded => Vec::new(),
            };
            self.unreported.extend(unlisted);
        }
        self.report_exclusions();
        let (id, excluded) = (self.id, self.excluded);
        self.send(CallReport::Ended { id, result, excluded });
    }

    fn report_exclusions(&mut self) {
        if !self.unreported.is_empty() {
            let entries = std::mem::take(&mut self.unreported);
            self.exclusions_reported_at = Some(self.platform.now());
            self.send(CallReport::Excluded(entries));
        }
    }

    fn send(&self, report: CallReport<P>) {
        // Sending fails only if the sidecar is shutting down and the receiver is gone.
        let _ = self.report.send(report);
    }
}

fn is_due(last: Option<Instant>, now: Instant, every: Duration) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= every)
}

impl<P: Platform> ListObserver for CallReporter<P> {
    fn arrived(&mut self, records: &[EndpointRecord], version: Option<i64>, at: Instant) {
        let version = match self.state.get() {
            CallState::Awaited | CallState::Replaced => version,
            CallState::Moved => None,
            CallState::Superseded => return,
        };
        let excluded = self.endpoints.exclude(records, version);
        let now = self.platform.now();
        if !excluded.is_empty() {
            self.excluded = true;
            self.counters.record_exclusion_delay(now.saturating_duration_since(at));
            self.unreported.extend(excluded);
        }
        if is_due(self.exclusions_reported_at, now, EXCLUSION_REPORT_INTERVAL) {
            self.report_exclusions();
        }
    }

    fn progressed(&mut self) {
        let now = self.platform.now();
        if is_due(self.progress_reported_at, now, PROGRESS_REPORT_INTERVAL) {
            self.progress_reported_at = Some(now);
            self.send(CallReport::Progressed(self.id));
        }
    }

    fn stalled(&mut self) {
        self.report_exclusions();
        self.send(CallReport::Stalled(self.id));
    }
}

/// Reports the exclusions of a call that is dropped, as they stay in effect.
impl<P: Platform> Drop for CallReporter<P> {
    fn drop(&mut self) {
        self.report_exclusions();
    }
}
