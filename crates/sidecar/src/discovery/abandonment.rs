//! Calls whose answers are not waited for any more. What discovery has written counts as told, and nobody here can see how
//! much that is, so the answer is read to its end, and what it bars is in force.

use std::cell::Cell;
use tokio::sync::Notify;

/// Whether the answer of a call is waited for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Standing {
    /// It is.
    #[default]
    Awaited,
    /// Another call has taken its place.
    Replaced,
    /// Discovery is at another address now, where other versions count.
    Moved,
    /// As [`Moved`](Standing::Moved), and a list of the new address has been taken: what it brings says nothing any more.
    Superseded,
}

/// Shared by a call and by who has made it.
#[derive(Debug, Default)]
pub(super) struct Abandonment {
    standing: Cell<Standing>,
    changed: Notify,
}

impl Abandonment {
    /// How the call stands now.
    pub(super) fn standing(&self) -> Standing {
        self.standing.get()
    }

    /// From now on the call stands so.
    pub(super) fn set(&self, standing: Standing) {
        self.standing.set(standing);
        self.changed.notify_waiters();
    }

    /// Waits until what the answer brings says nothing any more.
    pub(super) async fn superseded(&self) {
        self.until(|standing| standing == Standing::Superseded).await;
    }

    /// Waits until nobody waits for the answer.
    pub(super) async fn abandoned(&self) {
        self.until(|standing| standing != Standing::Awaited).await;
    }

    async fn until(&self, reached: impl Fn(Standing) -> bool) {
        while !reached(self.standing()) {
            self.changed.notified().await;
        }
    }
}
