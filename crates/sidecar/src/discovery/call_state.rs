//! The state of a call that its owner may abandon. What discovery has written counts as delivered, and a sidecar can't know
//! how much that is. The response of an abandoned call is therefore still read to its end, and its exclusions take effect.

use std::cell::Cell;
use tokio::sync::Notify;

/// How the response of a call is to be treated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum CallState {
    /// The owner waits for the response.
    #[default]
    Awaited,
    /// Another call has taken this one's place.
    Replaced,
    /// Discovery has moved to another address, whose versions can't be compared with those of this response.
    Moved,
    /// As [`Moved`](CallState::Moved), and a list of the new address has been applied, so that the response is obsolete.
    Superseded,
}

/// The state of a call, shared by its task and its owner.
#[derive(Debug, Default)]
pub(super) struct SharedCallState {
    state: Cell<CallState>,
    changed: Notify,
}

impl SharedCallState {
    pub(super) fn get(&self) -> CallState {
        self.state.get()
    }

    pub(super) fn set(&self, state: CallState) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    /// Waits until the response is obsolete.
    pub(super) async fn superseded(&self) {
        self.wait_until(|state| state == CallState::Superseded).await;
    }

    /// Waits until the owner no longer waits for the response.
    pub(super) async fn abandoned(&self) {
        self.wait_until(|state| state != CallState::Awaited).await;
    }

    async fn wait_until(&self, reached: impl Fn(CallState) -> bool) {
        while !reached(self.get()) {
            self.changed.notified().await;
        }
    }
}
