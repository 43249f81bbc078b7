//! What a call reports while its list arrives: endpoints that the list bars are barred at once.

use super::abandonment::{Abandonment, Standing};
use super::call::{Arrivals, Ended, Outcome};
use super::schedule::CallId;
use crate::counters::Counters;
use crate::endpoint_list::EndpointRecord;
use crate::endpoint_table::EndpointTable;
use cometcroft::EndpointEntry;
use cometcroft_platform::Platform;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// The decision module hears of bars so often at most: each time it ranks all endpoints anew. Until then the directory
/// alone keeps attempts away from them.
const TELL_EVERY: Duration = Duration::from_millis(20);
/// Progress is reported so often at most.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// What a call reports to the owner of the schedule.
pub(super) enum Report<P: Platform> {
    /// Its list goes on.
    Progressed(CallId),
    /// Nothing of its list has come for some time.
    Stalled(CallId),
    /// These endpoints are barred.
    Barred(Vec<EndpointEntry>),
    /// It has ended.
    Ended {
        /// Which call.
        id: CallId,
        /// How.
        ended: Ended<P>,
        /// Its list barred endpoints that were open.
        barred: bool,
    },
}

/// Bars endpoints as the records of a list arrive.
pub(super) struct Bars<P: Platform> {
    id: CallId,
    platform: P,
    counters: Rc<Counters>,
    endpoints: Rc<EndpointTable>,
    report: UnboundedSender<Report<P>>,
    /// Barred, and not yet reported.
    unreported: Vec<EndpointEntry>,
    bars_reported: Option<Instant>,
    progress_reported: Option<Instant>,
    barred: bool,
    abandonment: Rc<Abandonment>,
}

impl<P: Platform> Bars<P> {
    /// For the list of this call.
    pub(super) fn new(
        id: CallId,
        platform: P,
        counters: Rc<Counters>,
        endpoints: Rc<EndpointTable>,
        report: UnboundedSender<Report<P>>,
        abandonment: Rc<Abandonment>,
    ) -> Bars<P> {
        Bars {
            id,
            platform,
            counters,
            endpoints,
            report,
            unreported: Vec::new(),
            bars_reported: None,
            progress_reported: None,
            barred: false,
            abandonment,
        }
    }

    /// The call has ended so.
    pub(super) fn finish(mut self, ended: Ended<P>) {
        // Danger: discovery may move before the owner of the call hears that it has ended, and drop the call.
        if let Outcome::Answered(list) = &ended.outcome {
            let left_out = match self.abandonment.standing() {
                Standing::Awaited | Standing::Replaced => {
                    self.endpoints.exclude_unlisted(list, Some(list.version))
                }
                Standing::Moved => self.endpoints.exclude_unlisted(list, None),
                Standing::Superseded => Vec::new(),
            };
            self.unreported.extend(left_out);
        }
        self.report_bars();
        let (id, barred) = (self.id, self.barred);
        self.send(Report::Ended { id, ended, barred });
    }

    fn report_bars(&mut self) {
        if !self.unreported.is_empty() {
            let members = std::mem::take(&mut self.unreported);
            self.bars_reported = Some(self.platform.now());
            self.send(Report::Barred(members));
        }
    }

    fn send(&self, report: Report<P>) {
        // The receiver is gone only when the sidecar ends.
        let _ = self.report.send(report);
    }
}

fn is_due(last: Option<Instant>, now: Instant, every: Duration) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= every)
}

impl<P: Platform> Arrivals for Bars<P> {
    fn arrived(&mut self, records: &[EndpointRecord], index: Option<i64>, at: Instant) {
        let index = match self.abandonment.standing() {
            Standing::Awaited | Standing::Replaced => index,
            Standing::Moved => None,
            Standing::Superseded => return,
        };
        let barred = self.endpoints.exclude(records, index);
        let now = self.platform.now();
        if !barred.is_empty() {
            self.barred = true;
            self.counters.record_exclusion_delay(now.saturating_duration_since(at));
            self.unreported.extend(barred);
        }
        if is_due(self.bars_reported, now, TELL_EVERY) {
            self.report_bars();
        }
    }

    fn progressed(&mut self) {
        let now = self.platform.now();
        if is_due(self.progress_reported, now, REPORT_EVERY) {
            self.progress_reported = Some(now);
            self.send(Report::Progressed(self.id));
        }
    }

    fn stalled(&mut self) {
        self.report_bars();
        self.send(Report::Stalled(self.id));
    }
}

/// What a call that is abandoned has barred stays barred.
impl<P: Platform> Drop for Bars<P> {
    fn drop(&mut self) {
        self.report_bars();
    }
}
