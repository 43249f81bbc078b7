//! Whether the client of an open request is still there, as far as its connection shows. No I/O.
//!
//! A client's close stands behind all the bytes that it has sent, and a sender's close does not arrive at all while the
//! receive window is zero. So a client is known to be present only while its connection has been read empty.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// While a body is incomplete, an attempt begins within this time after its client was last known to be present; 100 ms are
/// allowed in all, of which the rest is for the way.
const MAX_UNSEEN: Duration = Duration::from_millis(50);

/// What the reads of a client's connection say about the client's presence.
#[derive(Debug)]
pub struct ClientWatch(Cell<Presence>);

#[derive(Debug, Clone, Copy)]
enum Presence {
    /// The connection has been read empty, and its end would be read at once.
    Watched,
    /// Bytes, and an end behind them, may have been unread since this time.
    UnreadSince(Instant),
}

/// Whether the request that a client waits for has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// All of it has arrived, so its connection can be read empty before an attempt begins.
    Complete,
    /// Part of its body may be unread for lack of room.
    Incomplete,
}

impl ClientWatch {
    /// Creates a watch on a client whose connection was accepted now and has not been read.
    pub fn new(now: Instant) -> ClientWatch {
        ClientWatch(Cell::new(Presence::UnreadSince(now)))
    }

    /// Records that the connection has been read empty and that the next bytes are awaited.
    pub fn record_empty(&self) {
        self.0.set(Presence::Watched);
    }

    /// Records that the connection may hold unread bytes from now on.
    pub fn record_unread(&self, now: Instant) {
        if let Presence::Watched = self.0.get() {
            self.0.set(Presence::UnreadSince(now));
        }
    }

    /// Whether the connection has been read empty and the next bytes are awaited.
    pub fn is_watched(&self) -> bool {
        matches!(self.0.get(), Presence::Watched)
    }

    /// The last time at which the client was known to be present.
    pub fn last_seen(&self, now: Instant) -> Instant {
        match self.0.get() {
            Presence::Watched => now,
            Presence::UnreadSince(since) => since,
        }
    }

    /// Whether an attempt may begin for the client. Bytes that arrive may have waited, with the client's close behind them,
    /// since before they were read: for its connection to be accepted, or while this process was held up. So a complete
    /// request needs its connection to be read empty.
    pub fn permits_attempt(&self, now: Instant, arrival: Arrival) -> bool {
        let max_unseen = if arrival == Arrival::Incomplete { MAX_UNSEEN } else { Duration::ZERO };
        self.is_watched() || now.saturating_duration_since(self.last_seen(now)) < max_unseen
    }
}
