//! The longest stall of each event loop of the stand-ins, so that a report tells how far its instants can be trusted.

use crate::ids::{Clock, Time};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

const BEAT: Duration = Duration::from_millis(2);

/// A time in which an event loop did not run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stall {
    /// When it ended.
    pub at: Time,
    /// How long it was.
    pub length: Duration,
}

/// The longest stall of one event loop.
#[derive(Debug, Clone, Default)]
pub struct Longest(Arc<Mutex<Stall>>);

impl Longest {
    /// Watches the present event loop until it is dropped.
    pub async fn watch(self, clock: Clock) {
        let mut last = clock.now();
        loop {
            sleep(BEAT).await;
            let at = clock.now();
            self.note(Stall { at, length: at - last });
            last = at;
        }
    }

    fn note(&self, stall: Stall) {
        let mut longest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if stall.length > longest.length {
            *longest = stall;
        }
    }

    /// The longest so far.
    pub fn get(&self) -> Stall {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The longest stalls of all event loops of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stalls {
    /// Of the endpoints.
    pub endpoints: Stall,
    /// Of discovery.
    pub discovery: Stall,
    /// Of the clients.
    pub clients: Stall,
}
