//! The end of a sidecar: on SIGTERM it stops reporting ready, serves on, and leaves when all is answered.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// New connections are taken for so long after SIGTERM. The front and clients may go on using this sidecar
/// for up to 0.7 s; whoever comes later has been told to go elsewhere.
pub const LINGER: Duration = Duration::from_millis(1000);

/// Whether the sidecar is on its way out.
#[derive(Debug, Default)]
pub struct Shutdown {
    leaving: Cell<bool>,
    changed: Notify,
}

impl Shutdown {
    /// Whether SIGTERM has come.
    pub fn leaving(&self) -> bool {
        self.leaving.get()
    }

    /// SIGTERM has come.
    pub fn begin(&self) {
        self.leaving.set(true);
        self.changed.notify_waiters();
    }

    /// Waits for SIGTERM.
    pub async fn begun(&self) {
        let changed = self.changed.notified();
        if !self.leaving() {
            changed.await;
        }
    }
}
