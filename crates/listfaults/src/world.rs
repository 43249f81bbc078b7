//! What the stand-ins of one run share: the clock, the registry's state, the judge and the record of answers.

use crate::calls::{CallEnd, CallRecord};
use crate::delivery::Delivery;
use crate::ids::{AnswerId, Clock, EndpointId, SidecarId, Time};
use crate::judge::{Change, Judge, Rules, Span};
use crate::roster::{Roster, Status};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// How discovery behaves while it is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// It answers 503.
    Refuses,
    /// It resets connections.
    Resets,
}

/// One answer of discovery.
#[derive(Debug, Clone)]
pub struct AnswerRecord {
    /// To whom.
    pub sidecar: SidecarId,
    /// When its first byte was due.
    pub at: Time,
    /// It held a whole list.
    pub snapshot: bool,
    /// Rows in it.
    pub rows: usize,
    /// Bytes of it on the wire.
    pub bytes: usize,
    /// How it was written.
    pub delivery: Delivery,
}

/// State that all stand-ins share.
#[derive(Debug)]
pub struct World {
    /// The one clock.
    pub clock: Clock,
    roster: Mutex<Roster>,
    judge: Mutex<Judge>,
    answers: Mutex<Vec<AnswerRecord>>,
    calls: Mutex<Vec<CallRecord>>,
    news: watch::Sender<()>,
    outage: watch::Sender<Option<Outage>>,
    planned: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    /// A world whose endpoints listen here; all are up, and answers are written at once and whole.
    pub fn new(rules: Rules, sidecars: usize, endpoints: &[SocketAddr]) -> World {
        World {
            clock: Clock::start(),
            roster: Mutex::new(Roster::new(endpoints)),
            judge: Mutex::new(Judge::new(rules, sidecars)),
            answers: Mutex::default(),
            calls: Mutex::default(),
            news: watch::Sender::new(()),
            outage: watch::Sender::new(None),
            planned: watch::Sender::new(false),
        }
    }

    /// The endpoint list.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// The judge.
    pub fn judge(&self) -> MutexGuard<'_, Judge> {
        lock(&self.judge)
    }

    /// All answers so far.
    pub fn answers(&self) -> MutexGuard<'_, Vec<AnswerRecord>> {
        lock(&self.answers)
    }

    /// Records an answer that is about to be written.
    pub fn record(&self, answer: AnswerRecord) -> AnswerId {
        let mut answers = self.answers();
        answers.push(answer);
        AnswerId(answers.len() - 1)
    }

    /// All calls so far.
    pub fn calls(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        lock(&self.calls)
    }

    /// Records a call that has come; tells its place.
    pub fn record_call(&self, call: CallRecord) -> usize {
        let mut calls = self.calls();
        calls.push(call);
        calls.len() - 1
    }

    /// Records how the call at this place ended.
    pub fn end_call(&self, place: usize, end: CallEnd) {
        if let Some(call) = self.calls().get_mut(place) {
            call.end = end;
        }
    }

    /// Gives endpoints another status, and ends the calls that wait for news.
    pub fn change(&self, endpoints: &[EndpointId], status: Status) {
        if endpoints.is_empty() {
            return;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut roster = self.roster();
        roster.change(endpoints, status, unix.as_millis() as u64);
        // Later than the change is: the sidecars are given a little more time, not less.
        let (at, closed) = (self.clock.now(), status.is_closed());
        let mut judge = self.judge();
        for &endpoint in endpoints {
            judge.changed(Change { endpoint, closed, at });
        }
        drop(judge);
        drop(roster);
        self.news.send_replace(());
    }

    /// Hears of every change from now on.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// Hears of outages.
    pub fn outage(&self) -> watch::Receiver<Option<Outage>> {
        self.outage.subscribe()
    }

    /// Discovery goes down or comes back.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.outage.send_replace(outage);
    }

    /// Tells the judge of an outage that is over, or has lasted to the end of the run.
    pub fn record_outage(&self, from: Time) {
        self.judge().outage(Span { from, until: self.clock.now() });
    }

    /// Whether answers are written as planned, not all at once and whole.
    pub fn delivers_as_planned(&self) -> bool {
        *self.planned.borrow()
    }

    /// From now on answers are written as planned.
    pub fn begin_deliveries(&self) {
        self.planned.send_replace(true);
    }
}
