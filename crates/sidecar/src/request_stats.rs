//! Statistics for the operations endpoint: the outcomes of requests, by class name. They are updated only where a final
//! response is given and where the last byte of an attempt is written.

use cometcroft::ClassId;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Maximum number of classes that are kept. Of the classes that are no longer configured, the one removed longest ago is
/// dropped first.
const MAX_CLASSES: usize = 256;

/// Outcomes of the requests of one class since the process started. The field names are keys of the JSON object.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ClassStats {
    /// Requests answered with the response of an endpoint.
    pub fulfilled: u64,
    /// Requests rejected.
    pub throttled: u64,
    /// Requests that failed.
    pub faulted: u64,
    /// Attempts sent completely to an endpoint.
    pub relayed: u64,
}

/// The response of the operations endpoint to a call for statistics. The field names are keys of the JSON object.
#[derive(Debug, Serialize)]
pub struct StatsReport {
    /// Outcomes by class name.
    pub operations: BTreeMap<String, ClassStats>,
    /// Attempts sent completely to an endpoint, of all classes.
    pub relayed: u64,
    /// Open requests.
    pub open_requests: u64,
    /// Entries of the endpoint list.
    pub registry_entries: usize,
    /// Time since discovery last confirmed the list, in milliseconds; `None` if it has not done so since the start.
    pub registry_age_ms: Option<u64>,
    /// Longest time from the arrival of a notification that excludes an endpoint to its exclusion, in microseconds.
    pub bar_delay_longest_us: u64,
    /// Attempts stopped before their first byte because their endpoint had been excluded in the meantime.
    pub late_sends_barred: u64,
    /// Listed endpoints that are avoided at present.
    pub out_of_rotation: usize,
    /// Configurations applied on SIGHUP.
    pub cfg_accepted: u64,
    /// Configurations rejected on SIGHUP.
    pub cfg_invalid: u64,
}

/// Statistics of the current and former classes, and the number of open requests.
#[derive(Debug, Default)]
pub struct RequestStats {
    /// By class name, with the revision of the configuration in which the class was last present.
    classes: RefCell<BTreeMap<String, (u64, ClassStats)>>,
    revision: Cell<u64>,
    /// The class names, indexed by [`ClassId`].
    names: RefCell<Vec<String>>,
    open: Cell<u64>,
    relayed: Cell<u64>,
}

impl RequestStats {
    /// Sets the names of the configured classes. The statistics of former classes are kept.
    pub fn set_class_names(&self, names: &[String]) {
        let mut classes = self.classes.borrow_mut();
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        for name in names {
            classes.entry(name.clone()).or_default().0 = revision;
        }
        // Configurations that keep introducing new names must not exhaust the memory.
        while classes.len() > MAX_CLASSES.max(names.len()) {
            let oldest =
                classes.iter().min_by_key(|(_, (revision, _))| *revision).map(|(name, _)| name.clone());
            oldest.and_then(|oldest| classes.remove(&oldest));
        }
        *self.names.borrow_mut() = names.to_vec();
    }

    /// Increments the counter of a class that `counter` selects.
    pub fn increment(&self, class: ClassId, counter: impl FnOnce(&mut ClassStats) -> &mut u64) {
        let names = self.names.borrow();
        let mut classes = self.classes.borrow_mut();
        if let Some((_, stats)) = names.get(class.0).and_then(|name| classes.get_mut(name)) {
            let count = counter(stats);
            *count = count.saturating_add(1);
        }
    }

    /// Counts an attempt of this class that was sent completely.
    pub fn record_relayed(&self, class: ClassId) {
        self.relayed.set(self.relayed.get() + 1);
        self.increment(class, |stats| &mut stats.relayed);
    }

    /// The statistics by class name.
    pub fn by_class(&self) -> BTreeMap<String, ClassStats> {
        self.classes.borrow().iter().map(|(name, (_, stats))| (name.clone(), *stats)).collect()
    }

    /// Attempts sent completely to an endpoint, of all current and former classes.
    pub fn relayed(&self) -> u64 {
        self.relayed.get()
    }

    /// The number of open requests.
    pub fn open_requests(&self) -> u64 {
        self.open.get()
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn begin_request(&self) -> OpenRequest<'_> {
        self.open.set(self.open.get() + 1);
        OpenRequest(self)
    }
}

/// A guard that counts a request as open.
#[derive(Debug)]
pub struct OpenRequest<'a>(&'a RequestStats);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}
