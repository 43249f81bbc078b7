//! What the operators' figures count: for each class by name, what came of its requests. Counted where a final answer is
//! given and where a dispatch's last byte is written, and nowhere else.

use cometcroft::ClassId;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Names of classes that are kept at most; of classes that are gone, those gone longest make room.
const NAMES: usize = 256;

/// What came of the requests of one class, since the process started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ClassStats {
    /// Requests served.
    pub fulfilled: u64,
    /// Requests refused.
    pub throttled: u64,
    /// Requests failed.
    pub faulted: u64,
    /// Dispatches written whole to a backend server.
    pub relayed: u64,
}

/// All figures, as the door gives them.
#[derive(Debug, Serialize)]
pub struct StatsReport {
    /// By class.
    pub operations: BTreeMap<String, ClassStats>,
    /// Dispatches written whole to a backend server, of all classes.
    pub relayed: u64,
    /// Requests taken and not yet ended.
    pub open_requests: u64,
    /// Backend servers in the list.
    pub registry_entries: usize,
    /// Time since discovery last confirmed the list; none if it has not since the start.
    pub registry_age_ms: Option<u64>,
    /// The longest time from the arrival of a notice that bars a backend server until it was in force, in microseconds.
    pub bar_delay_longest_us: u64,
    /// Attempts stopped before their first byte as their backend server had been barred meanwhile.
    pub late_sends_barred: u64,
    /// Listed backend servers that are avoided now.
    pub out_of_rotation: usize,
    /// Files taken over at SIGHUP.
    pub cfg_accepted: u64,
    /// Files turned down at SIGHUP.
    pub cfg_invalid: u64,
}

/// The classes of all classes that there were, and the requests that are open.
#[derive(Debug, Default)]
pub struct RequestStats {
    /// With the turn in which each class was last in force.
    classes: RefCell<BTreeMap<String, (u64, ClassStats)>>,
    turn: Cell<u64>,
    /// The names of the classes, by number.
    names: RefCell<Vec<String>>,
    open: Cell<u64>,
    relayed: Cell<u64>,
}

impl RequestStats {
    /// The classes are called so from now on. What was counted under a name stays.
    pub fn set_class_names(&self, names: &[String]) {
        let mut classes = self.classes.borrow_mut();
        let turn = self.turn.get() + 1;
        self.turn.set(turn);
        for name in names {
            classes.entry(name.clone()).or_default().0 = turn;
        }
        // Danger: files that bring ever new names must not fill the memory.
        while classes.len() > NAMES.max(names.len()) {
            let gone = classes.iter().min_by_key(|(_, (turn, _))| *turn).map(|(name, _)| name.clone());
            gone.and_then(|gone| classes.remove(&gone));
        }
        *self.names.borrow_mut() = names.to_vec();
    }

    /// Counts something for a class.
    pub fn increment(&self, class: ClassId, what: impl FnOnce(&mut ClassStats) -> &mut u64) {
        let names = self.names.borrow();
        let mut classes = self.classes.borrow_mut();
        if let Some((_, stats)) = names.get(class.0).and_then(|name| classes.get_mut(name)) {
            let counted = what(stats);
            *counted = counted.saturating_add(1);
        }
    }

    /// A dispatch of this class has been written whole.
    pub fn record_relayed(&self, class: ClassId) {
        self.relayed.set(self.relayed.get() + 1);
        self.increment(class, |stats| &mut stats.relayed);
    }

    /// The classes, by class.
    pub fn by_class(&self) -> BTreeMap<String, ClassStats> {
        self.classes.borrow().iter().map(|(name, (_, stats))| (name.clone(), *stats)).collect()
    }

    /// Dispatches written whole to a backend server, of all classes that there ever were.
    pub fn relayed(&self) -> u64 {
        self.relayed.get()
    }

    /// Requests taken and not yet ended.
    pub fn open_requests(&self) -> u64 {
        self.open.get()
    }

    /// A request has been taken; it has ended when what this gives is dropped.
    pub fn begin_request(&self) -> OpenRequest<'_> {
        self.open.set(self.open.get() + 1);
        OpenRequest(self)
    }
}

/// An open request.
#[derive(Debug)]
pub struct OpenRequest<'a>(&'a RequestStats);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}
