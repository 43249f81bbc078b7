//! How late timers are: whether times that were measured on this machine mean anything.

use crate::clock::monotonic;
use cometcroft_platform::{Platform, Tokio};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// A timer is looked at so often.
const INTERVAL: Duration = Duration::from_millis(20);

/// One timer's lateness.
#[derive(Debug, Clone, Copy)]
pub struct Lateness {
    /// When it struck, on the machine's monotonic clock.
    pub at: Duration,
    /// How late it was, in microseconds.
    pub micros: u32,
}

impl Lateness {
    fn of(due: Duration) -> Lateness {
        let at = monotonic();
        let micros = u32::try_from(at.saturating_sub(due).as_micros()).unwrap_or(u32::MAX);
        Lateness { at, micros }
    }
}

/// Collects the lateness of a timer on the runtime of a worker, until the task is dropped.
pub async fn watch_runtime(found: Rc<RefCell<Vec<Lateness>>>) {
    loop {
        let due = monotonic() + INTERVAL;
        Tokio.sleep(INTERVAL).await;
        found.borrow_mut().push(Lateness::of(due));
    }
}

/// Collects the lateness of a timer on a thread that does nothing else: the machine's own.
pub fn watch_machine() -> Receiver<Lateness> {
    let (sender, receiver) = channel();
    // Ends once nobody listens any more.
    std::thread::spawn(move || watch_thread(&sender));
    receiver
}

fn watch_thread(found: &Sender<Lateness>) {
    loop {
        let due = monotonic() + INTERVAL;
        std::thread::sleep(INTERVAL);
        if found.send(Lateness::of(due)).is_err() {
            return;
        }
    }
}
