//! Event loops of the stand-ins, each on a thread of its own.

use crate::error::Error;
use crate::ids::Clock;
use crate::stalls::{Longest, Stall};
use std::io;
use std::thread::{JoinHandle, spawn};
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// A runtime for one event loop.
pub fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Stand-ins that run on a thread of their own.
pub struct EventLoop<T> {
    thread: JoinHandle<T>,
    stall: Longest,
}

impl<T: Send + 'static> EventLoop<T> {
    /// Runs `work` on this runtime, and watches its event loop.
    pub fn start<F: Future<Output = T>>(
        runtime: Runtime,
        clock: Clock,
        work: impl FnOnce() -> F + Send + 'static,
    ) -> EventLoop<T> {
        let stall = Longest::default();
        let watched = stall.clone();
        let work = move || {
            LocalSet::new().block_on(&runtime, async {
                tokio::task::spawn_local(watched.watch(clock));
                work().await
            })
        };
        EventLoop { thread: spawn(work), stall }
    }

    /// Its longest stall so far.
    pub fn longest_stall(&self) -> Stall {
        self.stall.get()
    }

    /// Waits until its work is done.
    pub fn join(self) -> Result<T, Error> {
        self.thread.join().map_err(|_| Error::Panicked)
    }
}
