//! The ids of requests that are open, and of those that may have run and must not run again. No I/O.
//!
//! Clients give every request a new id. One that comes again all the same, even after its first client has left, would run
//! twice unless its class may be repeated.

use bytes::Bytes;
use cometcroft::{Effect, RequestClass};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::{Duration, Instant};
use thiserror::Error;

/// An id is remembered at least this long after its request has ended, if there is room.
const USUAL_RETENTION: Duration = Duration::from_secs(60);
/// Memory that one remembered id takes up, in bytes: an entry of the queue and one of the map, which is half full at worst.
const ENTRY_BYTES: usize = 88;

/// Time for which an id of this class is needed after its request has ended: its client may wait for `time_budget`, of which no
/// more than the class's deadline counts, and endpoints may work for as long.
pub fn needed_time(class: &RequestClass, time_budget: Duration) -> Duration {
    let window = if let Effect::Keyed { window, .. } = class.effect { window } else { Duration::ZERO };
    class.deadline + time_budget.min(class.deadline) + window
}

/// Why a request is not accepted under its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IdError {
    /// A request with this id is open, or may have run.
    #[error("a request with this id is open or may have run; give every request a new id")]
    Repeated,
    /// There is no room to remember the id, and no other id may be forgotten yet.
    #[error("too many requests that must not run twice; raise limits.memory_mb")]
    NoRoom,
}

#[derive(Debug, Clone, Copy)]
struct Remembered {
    /// Hash of the id.
    hash: u64,
    /// The id is not forgotten before this time.
    needed_until: Instant,
    /// The id is forgotten at this time, even if there is room.
    expires: Instant,
}

/// The ids of one sidecar's requests.
#[derive(Debug)]
pub struct RequestIds {
    hasher: RandomState,
    open: RefCell<HashSet<Bytes>>,
    remembered: RefCell<RememberedIds>,
    max_remembered: usize,
}

#[derive(Debug, Default)]
struct RememberedIds {
    /// In the order in which they were added.
    queue: VecDeque<Remembered>,
    /// Number of entries of the queue by hash.
    counts: HashMap<u64, u32>,
}

impl RememberedIds {
    fn pop_oldest(&mut self) {
        let Some(Remembered { hash, .. }) = self.queue.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&hash) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&hash);
            }
        }
    }

    fn push(&mut self, remembered: Remembered) {
        *self.counts.entry(remembered.hash).or_default() += 1;
        self.queue.push_back(remembered);
    }
}

impl RequestIds {
    /// Creates a registry that uses at most `memory` bytes for ids of requests that have ended.
    pub fn new(memory: usize) -> RequestIds {
        RequestIds {
            hasher: RandomState::new(),
            open: RefCell::default(),
            remembered: RefCell::default(),
            max_remembered: (memory / ENTRY_BYTES).max(1),
        }
    }

    /// Marks an id as open. `repeatable`: the request may run any number of times, so nothing is to be remembered of it.
    pub fn open(&self, id: &Bytes, repeatable: bool, now: Instant) -> Result<(), IdError> {
        if self.is_known(id) {
            return Err(IdError::Repeated);
        }
        if !repeatable && !self.make_room(now) {
            return Err(IdError::NoRoom);
        }
        self.open.borrow_mut().insert(id.clone());
        Ok(())
    }

    /// Ends a request that has no effect, or may run again.
    pub fn close(&self, id: &Bytes) {
        self.open.borrow_mut().remove(id);
    }

    /// Remembers an id that may have run, here or in another process, for `needed` at least.
    pub fn remember(&self, id: &[u8], needed: Duration, now: Instant) {
        // An id that has to be remembered takes the place of the oldest one, if there is no other room.
        if !self.make_room(now) {
            self.remembered.borrow_mut().pop_oldest();
        }
        let expires = now + needed.max(USUAL_RETENTION);
        let remembered = Remembered { hash: self.hasher.hash_one(id), needed_until: now + needed, expires };
        self.remembered.borrow_mut().push(remembered);
    }

    /// Whether a request with this id may have run.
    pub fn may_have_run(&self, id: &[u8]) -> bool {
        self.remembered.borrow().counts.contains_key(&self.hasher.hash_one(id))
    }

    /// Number of remembered ids.
    pub fn remembered_count(&self) -> usize {
        self.remembered.borrow().queue.len()
    }

    fn is_known(&self, id: &Bytes) -> bool {
        self.open.borrow().contains(id) || self.may_have_run(id)
    }

    /// Forgets expired ids, and the oldest one if there is no room; returns false if that one is needed.
    fn make_room(&self, now: Instant) -> bool {
        let mut remembered = self.remembered.borrow_mut();
        while remembered.queue.front().is_some_and(|oldest| oldest.expires <= now) {
            remembered.pop_oldest();
        }
        if remembered.queue.len() < self.max_remembered {
            return true;
        }
        let is_needed = remembered.queue.front().is_some_and(|oldest| oldest.needed_until > now);
        if !is_needed {
            remembered.pop_oldest();
        }
        !is_needed
    }
}
