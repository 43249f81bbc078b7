//! The account of the memory that peers make the process hold: heads, bodies, responses and connections. No I/O.
//!
//! Charged is what is held, not what was announced. When the account is full, less is read at a time, less is kept for
//! retries, and requests that have not been accepted are rejected; what a request that was accepted needs is always charged.

use std::cell::Cell;
use std::rc::Rc;

/// Memory of the process that no peer causes: program, runtime, settings.
const PROCESS_BYTES: usize = 8_000_000;
/// Share of the remaining memory that may be charged, in percent; the rest is for the allocator, which returns pieces late
/// and keeps gaps between them.
const CHARGEABLE_PERCENT: usize = 60;
/// The account of a process has at least this many bytes.
const MIN_LIMIT: usize = 1_000_000;

/// All memory that is charged.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: usize,
    charged: Cell<usize>,
    most_charged: Cell<usize>,
}

impl MemoryAccount {
    /// Creates an account of `limit` bytes.
    pub fn new(limit: usize) -> Rc<MemoryAccount> {
        Rc::new(MemoryAccount { limit, charged: Cell::new(0), most_charged: Cell::new(0) })
    }

    /// Creates the account of a process that may have `memory` bytes in all.
    pub fn for_process(memory: usize) -> Rc<MemoryAccount> {
        let available = memory.saturating_sub(PROCESS_BYTES);
        MemoryAccount::new((available / 100 * CHARGEABLE_PERCENT).max(MIN_LIMIT))
    }

    /// Number of bytes charged now.
    pub fn charged(&self) -> usize {
        self.charged.get()
    }

    /// The largest number of bytes that was charged at any time.
    pub fn most_charged(&self) -> usize {
        self.most_charged.get()
    }

    /// Whether so much is charged that less should be read at a time.
    pub fn is_tight(&self) -> bool {
        self.charged.get() > self.limit / 2
    }

    /// Opens a charge of no bytes.
    pub fn open_charge(self: &Rc<Self>) -> Charge {
        Charge { account: self.clone(), bytes: Cell::new(0) }
    }

    fn replace(&self, before: usize, after: usize) {
        self.charged.set(self.charged.get() - before + after);
        self.most_charged.set(self.most_charged.get().max(self.charged.get()));
    }
}

/// A part of what is charged to an account, released when dropped.
#[derive(Debug)]
pub struct Charge {
    account: Rc<MemoryAccount>,
    bytes: Cell<usize>,
}

impl Charge {
    /// Number of bytes charged.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// The account.
    pub fn account(&self) -> &Rc<MemoryAccount> {
        &self.account
    }

    /// Changes the charge, whether there is room or not.
    pub fn set(&self, bytes: usize) {
        self.account.replace(self.bytes.replace(bytes), bytes);
    }

    /// Changes the charge if there is room for it; a smaller charge always fits.
    pub fn try_set(&self, bytes: usize) -> bool {
        self.try_set_within(bytes, self.account.limit)
    }

    /// Changes the charge for what is useful, but not needed, to be held: at most half of the account.
    pub fn try_set_optional(&self, bytes: usize) -> bool {
        self.try_set_within(bytes, self.account.limit / 2)
    }

    fn try_set_within(&self, bytes: usize, limit: usize) -> bool {
        let before = self.bytes.get();
        let fits = bytes <= before || self.account.charged.get() - before + bytes <= limit;
        if fits {
            self.set(bytes);
        }
        fits
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}
