//! The body of a large request on its way from its client to a backend server: what is held of it, and what that means
//! for a further attempt. No I/O.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// So much of a body is gathered before it is sent on, where the memory for it is there; what is whole by then can be
/// sent again. Danger: a slow client would hold a connection to a backend server for as long as it takes.
pub const MAX_BUFFERED: usize = 1 << 20;
/// So much of it is held once it is on its way.
const SEND_WINDOW: usize = 64 * 1024;
/// What a piece costs beside its bytes. Danger: a client that sends single bytes would be held at forty times their
/// number.
const PIECE: usize = 64;
/// No client takes more than so long without sending anything, ...
const PAUSE: Duration = Duration::from_millis(2500);
/// ... and on the whole none sends fewer bytes a second. Danger: one byte now and then would hold a place for ever.
const SLOWEST: f64 = 16.0 * 1024.0;
/// What is assumed of a body that doesn't tell its length.
const UNTOLD: usize = 1 << 20;

/// Memory for bodies, shared by all of them.
#[derive(Debug)]
pub struct BodyMemory {
    most: usize,
    taken: Cell<usize>,
}

impl BodyMemory {
    /// So many bytes in all.
    pub fn new(most: usize) -> Rc<BodyMemory> {
        Rc::new(BodyMemory { most, taken: Cell::new(0) })
    }

    /// What is taken now.
    pub fn reserved(&self) -> usize {
        self.taken.get()
    }

    fn take(&self, bytes: usize) -> bool {
        let fits = self.taken.get() + bytes <= self.most;
        if fits {
            self.taken.set(self.taken.get() + bytes);
        }
        fits
    }
}

/// A large body.
#[derive(Debug)]
pub struct Upload {
    budget: Rc<BodyMemory>,
    /// Its length, if its head told.
    pub length: Option<usize>,
    pieces: RefCell<VecDeque<Bytes>>,
    held: Cell<usize>,
    /// What of `held` is booked with the budget.
    booked: Cell<usize>,
    came: Cell<usize>,
    whole: Cell<bool>,
    /// All of it is held, for as many attempts as there are.
    kept: Cell<bool>,
    begun: Cell<bool>,
    /// Part of it has been written and is not held any more.
    spent: Cell<bool>,
    arrived: Notify,
    drained: Notify,
}

impl Upload {
    /// One of which nothing has come.
    pub fn new(budget: Rc<BodyMemory>, length: Option<usize>) -> Upload {
        Upload {
            budget,
            length,
            pieces: RefCell::default(),
            held: Cell::new(0),
            booked: Cell::new(0),
            came: Cell::new(0),
            whole: Cell::new(false),
            kept: Cell::new(false),
            begun: Cell::new(false),
            spent: Cell::new(false),
            arrived: Notify::new(),
            drained: Notify::new(),
        }
    }

    /// A piece has come.
    pub fn push(&self, piece: Bytes) {
        self.held.set(self.held.get() + piece.len() + PIECE);
        self.came.set(self.came.get() + piece.len());
        self.pieces.borrow_mut().push_back(piece);
        self.arrived.notify_one();
    }

    /// All has come.
    pub fn finish(&self) {
        self.whole.set(true);
        self.arrived.notify_one();
    }

    /// All has come.
    pub fn is_complete(&self) -> bool {
        self.whole.get()
    }

    /// Whether more of it may be gathered before it is sent on.
    pub fn reserve_buffer(&self) -> bool {
        if self.whole.get() || self.held.get() >= MAX_BUFFERED {
            return false;
        }
        // Booked ahead by the window, as a read may bring that much.
        let wanted = (self.held.get() + SEND_WINDOW).saturating_sub(self.booked.get());
        let fits = self.budget.take(wanted);
        if fits {
            self.booked.set(self.booked.get() + wanted);
        }
        fits
    }

    /// It is not sent on yet.
    pub fn is_buffering(&self) -> bool {
        !self.begun.get()
    }

    /// It is sent on from here on: what is whole stays, anything else goes as it is written.
    pub fn start_sending(&self) {
        self.begun.set(true);
        self.kept.set(self.whole.get());
        if !self.kept.get() {
            self.give_back();
        }
    }

    fn give_back(&self) {
        let booked = self.booked.replace(0);
        self.budget.taken.set(self.budget.taken.get().saturating_sub(booked));
    }

    /// No attempt can be made any more.
    pub fn has_discarded(&self) -> bool {
        self.spent.get()
    }

    /// Waits until more may be read.
    pub async fn wait_for_room(&self) {
        while self.held.get() >= SEND_WINDOW {
            self.drained.notified().await;
        }
    }

    /// Of an attempt that has written `at` pieces, the next; `None` at the end.
    pub async fn piece(&self, at: usize) -> Option<Bytes> {
        if self.kept.get() {
            return self.pieces.borrow().get(at).cloned();
        }
        loop {
            // Danger: what leaves here is gone, whether its attempt comes to an end or not.
            let next = self.pieces.borrow_mut().pop_front();
            if let Some(piece) = next {
                self.spent.set(true);
                self.held.set(self.held.get() - piece.len() - PIECE);
                self.drained.notify_one();
                return Some(piece);
            }
            if self.whole.get() {
                return None;
            }
            self.arrived.notified().await;
        }
    }

    /// How long the rest will take to come, if it goes on as it did in `gone`.
    pub fn expected_time_left(&self, gone: Duration) -> Duration {
        let rest = self.length.unwrap_or(self.came.get() + UNTOLD).saturating_sub(self.came.get());
        if self.whole.get() || rest == 0 {
            return Duration::ZERO;
        }
        let rate = (self.came.get() as f64 / gone.as_secs_f64().max(0.001)).max(4.0 * SLOWEST);
        Duration::from_secs_f64((rest as f64 / rate).min(60.0)) + Duration::from_millis(500)
    }

    /// What it is framed by on its way on: its length, if that was known when it began. Danger: it may become whole
    /// between its head and its first piece; what the head said stands.
    pub fn declared_length(&self) -> Option<usize> {
        self.length.or_else(|| self.kept.get().then(|| self.came.get()))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.give_back();
    }
}

/// How long a client is waited for while its body comes: only the time counts in which we wait.
#[derive(Debug)]
pub struct ReadTimeout {
    since: Instant,
    waited: Duration,
    came: usize,
}

impl ReadTimeout {
    /// Patience that begins now.
    pub fn new(now: Instant) -> ReadTimeout {
        ReadTimeout { since: now, waited: Duration::ZERO, came: 0 }
    }

    /// A wait begins; when it has been too long.
    pub fn start_wait(&mut self, now: Instant) -> Instant {
        self.since = now;
        let earned = PAUSE + Duration::from_secs_f64(self.came as f64 / SLOWEST);
        now + PAUSE.min(earned.saturating_sub(self.waited))
    }

    /// How long was waited in all.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// It has ended with so many bytes.
    pub fn end_wait(&mut self, now: Instant, bytes: usize) {
        self.waited += now.saturating_duration_since(self.since);
        self.came += bytes;
    }
}
