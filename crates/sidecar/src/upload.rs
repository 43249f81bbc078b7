//! The body of a large request on its way from client to endpoint: which part of it is held, and whether
//! another attempt is possible. No I/O.

use crate::memory::{Charge, MemoryAccount};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Maximum number of bytes of a body that are buffered before it is sent on, as far as the memory permits. A
/// body that is complete by then can be sent again. Without buffering, a slow client would occupy a connection
/// to an endpoint for the whole time of its upload.
pub const MAX_BUFFERED: usize = 1 << 20;
/// Maximum number of bytes held of a body while no attempt has taken any part of it.
const MAX_HELD: usize = 2 * MAX_BUFFERED;
/// Maximum number of bytes held of a body that is being sent.
const SEND_WINDOW: usize = 64 * 1024;
/// Least capacity of a piece: single bytes are collected.
const MIN_PIECE: usize = 4 * 1024;
/// Memory used by a piece in addition to its bytes.
const PIECE_OVERHEAD: usize = 64;
/// Maximum number of bytes that a client has written and the sidecar has not received: the largest send and receive buffers
/// that Linux uses by itself (`tcp_wmem` and `tcp_rmem`, see `tcp(7)`).
const MAX_UNRECEIVED: usize = (4 << 20) + (6 << 20);
/// Longest pause of a client within a body.
const MAX_PAUSE: Duration = Duration::from_millis(2500);
/// Lowest average rate of a client's body. Without it, a client that sends a byte now and then would occupy its
/// connection forever.
const MIN_BYTES_PER_SECOND: f64 = 16.0 * 1024.0;
/// Length assumed for a body that does not state it.
const ASSUMED_LENGTH: usize = 1 << 20;

/// A large request body.
#[derive(Debug)]
pub struct Upload {
    charge: Charge,
    /// The length stated in the head, if any.
    pub content_length: Option<usize>,
    pieces: RefCell<VecDeque<Vec<u8>>>,
    /// Memory of the pieces, and of the one that is being written.
    held: Cell<usize>,
    /// Memory of the piece that is being written.
    in_flight: Cell<usize>,
    received: Cell<usize>,
    complete: Cell<bool>,
    /// The complete body is held and can be sent by any number of attempts.
    retained: Cell<bool>,
    sending: Cell<bool>,
    /// A part has been written and is not held any more.
    discarded: Cell<bool>,
    piece_arrived: Notify,
    piece_taken: Notify,
}

impl Upload {
    /// Creates a body of which nothing has arrived.
    pub fn new(memory: &Rc<MemoryAccount>, content_length: Option<usize>) -> Upload {
        Upload {
            charge: memory.open_charge(),
            content_length,
            pieces: RefCell::default(),
            held: Cell::new(0),
            in_flight: Cell::new(0),
            received: Cell::new(0),
            complete: Cell::new(false),
            retained: Cell::new(false),
            sending: Cell::new(false),
            discarded: Cell::new(false),
            piece_arrived: Notify::new(),
            piece_taken: Notify::new(),
        }
    }

    /// Adds a piece that has arrived.
    pub fn push(&self, bytes: &[u8]) {
        self.received.set(self.received.get() + bytes.len());
        let mut pieces = self.pieces.borrow_mut();
        let with_room = pieces.back_mut().filter(|last| last.capacity() - last.len() >= bytes.len());
        if let Some(last) = with_room {
            last.extend_from_slice(bytes);
        } else if !bytes.is_empty() {
            let mut piece = Vec::with_capacity(bytes.len().max(MIN_PIECE));
            piece.extend_from_slice(bytes);
            self.held.set(self.held.get() + piece.capacity() + PIECE_OVERHEAD);
            pieces.push_back(piece);
            // What was reserved for a read may be less than it brought.
            self.charge.set(self.charge.bytes().max(self.held.get()));
        }
        self.piece_arrived.notify_one();
    }

    /// Records that the body is complete.
    pub fn finish(&self) {
        self.complete.set(true);
        self.piece_arrived.notify_one();
    }

    /// Returns whether the body has arrived completely.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Reserves memory for the next read; returns false if the body should be sent on instead.
    pub fn reserve_buffer(&self) -> bool {
        if self.complete.get() || self.held.get() >= MAX_BUFFERED {
            return false;
        }
        self.reserve_window()
    }

    /// Reserves memory for what is held and for one more read.
    fn reserve_window(&self) -> bool {
        self.charge.try_set_optional(self.held.get() + SEND_WINDOW)
    }

    /// Returns whether the body is still being buffered and not yet sent on.
    pub fn is_buffering(&self) -> bool {
        !self.sending.get()
    }

    /// Ends buffering. A complete body is retained; of any other, pieces are discarded as they are written.
    pub fn start_sending(&self) {
        self.sending.set(true);
        self.retained.set(self.complete.get());
        self.charge.set(self.held.get());
    }

    /// Returns whether a part of the body is discarded, so that no further attempt is possible.
    pub fn has_discarded(&self) -> bool {
        self.discarded.get()
    }

    /// Returns whether more of the body may be read. While nothing of it is discarded, another attempt may need all of it,
    /// and the client's end is only seen by reading on; so more is held then, as far as the memory permits. One piece may
    /// always be read, as the body would not make progress otherwise.
    pub fn has_room(&self) -> bool {
        let held = self.held.get();
        let max_held = if self.discarded.get() { SEND_WINDOW } else { MAX_HELD };
        held == 0 || (held < max_held && self.reserve_window())
    }

    /// Waits until more of the body may be read.
    pub async fn wait_for_room(&self) {
        while !self.has_room() {
            self.piece_taken.notified().await;
        }
    }

    /// The next piece for an attempt that has written `index` pieces; `None` at the end of the body.
    pub async fn piece(&self, index: usize) -> Option<Bytes> {
        if self.retained.get() {
            return self.pieces.borrow().get(index).map(|piece| Bytes::copy_from_slice(piece));
        }
        // The piece before this one has been written.
        self.held.set(self.held.get() - self.in_flight.replace(0));
        self.charge.set(self.held.get());
        self.piece_taken.notify_one();
        loop {
            // A piece that is taken here is gone, whether its attempt succeeds or not.
            let next = self.pieces.borrow_mut().pop_front();
            if let Some(piece) = next {
                self.discarded.set(true);
                self.in_flight.set(piece.capacity() + PIECE_OVERHEAD);
                // A chunk is copied to be framed.
                let copy = if self.content_length.is_none() { self.in_flight.get() } else { 0 };
                self.charge.set(self.held.get() + copy);
                return Some(piece.into());
            }
            if self.complete.get() {
                return None;
            }
            self.piece_arrived.notified().await;
        }
    }

    /// Estimated time until the rest arrives, if it continues at the rate seen during `elapsed`.
    pub fn expected_time_left(&self, elapsed: Duration) -> Duration {
        let missing = self
            .content_length
            .unwrap_or(self.received.get() + ASSUMED_LENGTH)
            .saturating_sub(self.received.get());
        if self.complete.get() || missing == 0 {
            return Duration::ZERO;
        }
        let rate =
            (self.received.get() as f64 / elapsed.as_secs_f64().max(0.001)).max(4.0 * MIN_BYTES_PER_SECOND);
        Duration::from_secs_f64((missing as f64 / rate).min(60.0)) + Duration::from_millis(500)
    }

    /// Returns whether the client may have written all of the body, as far as the system may hold what has not been received.
    pub fn may_be_written(&self) -> bool {
        let missing = self.content_length.map(|length| length.saturating_sub(self.received.get()));
        missing.is_none_or(|missing| missing <= MAX_UNRECEIVED)
    }

    /// The length to state when the body is sent on: that from the client's head, or that of a body that was
    /// complete when sending began. A body that becomes complete between its head and its first piece stays
    /// chunked, as its head says.
    pub fn declared_length(&self) -> Option<usize> {
        self.content_length.or_else(|| self.retained.get().then(|| self.received.get()))
    }
}

/// Time limit for a client's body. Only time spent waiting for the client counts.
#[derive(Debug)]
pub struct ReadTimeout {
    since: Instant,
    waited: Duration,
    received: usize,
}

impl ReadTimeout {
    /// Creates a limit that starts now.
    pub fn new(now: Instant) -> ReadTimeout {
        ReadTimeout { since: now, waited: Duration::ZERO, received: 0 }
    }

    /// Starts a wait and returns the time at which it has taken too long.
    pub fn start_wait(&mut self, now: Instant) -> Instant {
        self.since = now;
        let allowed = MAX_PAUSE + Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_SECOND);
        now + MAX_PAUSE.min(allowed.saturating_sub(self.waited))
    }

    /// Total time spent waiting.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Ends a wait that brought this many bytes.
    pub fn end_wait(&mut self, now: Instant, bytes: usize) {
        self.waited += now.saturating_duration_since(self.since);
        self.received += bytes;
    }
}
