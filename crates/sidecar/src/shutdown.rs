//! The end of a sidecar: on SIGTERM it stops reporting ready, serves on, closes idle connections, and leaves when
//! all is answered.

use cometcroft_platform::Platform;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Whoever sends SIGTERM waits for the longest deadline, counted as this if it is longer, ...
const LONGEST: Duration = Duration::from_secs(3);
/// ... and for this before SIGKILL. Until then the front may go on sending new connections.
const NOTICE: Duration = Duration::from_millis(700);
/// A request that came after the notice is answered so long before SIGKILL may come.
const SPARE: Duration = Duration::from_millis(300);
/// Time for the last requests that are taken, before that.
const LAST: Duration = Duration::from_millis(900);
/// What was sent so long ago may be read only now.
const LATE: Duration = Duration::from_millis(100);
/// New requests are taken for so long at the least.
const LINGER: Duration = Duration::from_millis(1000);

/// Whether the sidecar is on its way out, and how far it is.
pub struct Shutdown<P: Platform> {
    platform: P,
    begun: Cell<Option<Instant>>,
    closing: Cell<bool>,
    changed: Notify,
    kill: Duration,
}

impl<P: Platform> Shutdown<P> {
    /// One that has not begun, where clients wait for so long at most.
    pub fn new(platform: P, longest_deadline: Duration) -> Shutdown<P> {
        let kill = longest_deadline.min(LONGEST) + NOTICE;
        Shutdown { platform, begun: Cell::new(None), closing: Cell::new(false), changed: Notify::new(), kill }
    }

    /// SIGTERM has come: it isn't ready any more.
    pub fn leaving(&self) -> bool {
        self.begun.get().is_some()
    }

    /// No further request is taken: idle connections close, and answers say so.
    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    /// SIGTERM has come.
    pub fn begin(&self) {
        if !self.leaving() {
            self.begun.set(Some(self.platform.now()));
        }
        self.changed.notify_waiters();
    }

    /// Waits for SIGTERM.
    pub async fn begun(&self) {
        self.until(Shutdown::<P>::leaving).await;
    }

    /// Waits until no further request is taken.
    pub async fn closed(&self) {
        self.until(Shutdown::<P>::closing).await;
    }

    async fn until(&self, reached: impl Fn(&Shutdown<P>) -> bool) {
        loop {
            let changed = self.changed.notified();
            if reached(self) {
                return;
            }
            changed.await;
        }
    }

    /// Waits for SIGTERM and then for as long as requests are taken. Danger: clients keep the connections that
    /// they have, and in their zone there may be nobody else for now; closed at once, they are left with none.
    pub async fn lingered(&self) {
        self.begun().await;
        self.platform.sleep(self.kill.saturating_sub(SPARE + LAST).max(LINGER)).await;
        self.closing.set(true);
        self.changed.notify_waiters();
    }

    /// When a request that comes now is to be answered at the latest. Danger: SIGKILL loses what came after the
    /// notice and is unanswered, whatever time its client has left.
    pub fn due(&self, now: Instant) -> Option<Instant> {
        let begun = self.begun.get()?;
        // A little early, as its clock and ours may be read at different moments.
        (now.saturating_duration_since(begun) + LATE >= NOTICE).then(|| begun + (self.kill - SPARE))
    }
}
