//! What the injector did, and what passed on the connections of its platform: the part of the evidence that only it has.

use rustix::io::Errno;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Who opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The other side: it was accepted.
    Accepted,
    /// This side.
    Connected,
}

/// One connection of the platform.
#[derive(Debug, Clone)]
pub struct ConnectionRecord {
    /// Who opened it.
    pub side: Side,
    /// This side's address.
    pub local: SocketAddr,
    /// The other side's.
    pub peer: SocketAddr,
    /// When the platform handed it out.
    pub opened: Instant,
    /// Bytes read so far, and when; one entry for each read.
    pub read: Vec<(Instant, usize)>,
    /// When its writing side was shut.
    pub shut: Option<Instant>,
    /// When the injector broke it, and with what.
    pub broken: Option<(Instant, Errno)>,
    /// When it was dropped.
    pub dropped: Option<Instant>,
}

impl ConnectionRecord {
    /// Bytes read by then.
    pub fn read_by(&self, at: Instant) -> usize {
        self.read.iter().take_while(|(when, _)| *when <= at).last().map_or(0, |(_, bytes)| *bytes)
    }
}

/// A call of `accept` that failed.
#[derive(Debug, Clone, Copy)]
pub struct AcceptFailure {
    /// When.
    pub at: Instant,
    /// With what.
    pub error: Errno,
}

/// A time in which every call of `accept` failed.
#[derive(Debug, Clone, Copy)]
pub struct Episode {
    /// Its first failure.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
    /// With what calls failed.
    pub error: Errno,
    /// The first call that did not fail by it, whether or not it failed by something else.
    pub recovered: Option<Instant>,
}

/// All entries.
#[derive(Debug, Default, Clone)]
pub struct Entries {
    /// Connections, in the order in which they were handed out.
    pub connections: Vec<ConnectionRecord>,
    /// Failures of `accept`, in order.
    pub accept_failures: Vec<AcceptFailure>,
    /// Lacks that lasted, in order.
    pub episodes: Vec<Episode>,
    /// Calls of `connect`.
    pub connects: usize,
    /// Errors injected, by call and error.
    pub injected: BTreeMap<(&'static str, String), usize>,
}

impl Entries {
    /// `accept` was called when the last lack was over.
    fn recovered(&mut self, at: Instant) {
        if let Some(episode) = self.episodes.last_mut().filter(|episode| at >= episode.until) {
            episode.recovered.get_or_insert(at);
        }
    }
}

/// The journal of one platform. Clones stand for the same one; the judge may read it on another thread.
#[derive(Debug, Clone, Default)]
pub struct Journal(Arc<Mutex<Entries>>);

impl Journal {
    /// What has been noted so far.
    pub fn entries(&self) -> Entries {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn opened(&self, side: Side, local: SocketAddr, peer: SocketAddr, at: Instant) -> usize {
        let mut entries = self.lock();
        if side == Side::Accepted {
            entries.recovered(at);
        }
        entries.connections.push(ConnectionRecord {
            side,
            local,
            peer,
            opened: at,
            read: Vec::new(),
            shut: None,
            broken: None,
            dropped: None,
        });
        entries.connections.len() - 1
    }

    pub(crate) fn read(&self, connection: usize, bytes: usize, at: Instant) {
        let mut entries = self.lock();
        let read = &mut entries.connections[connection].read;
        let before = read.last().map_or(0, |(_, bytes)| *bytes);
        read.push((at, before + bytes));
    }

    pub(crate) fn shut(&self, connection: usize, at: Instant) {
        self.lock().connections[connection].shut.get_or_insert(at);
    }

    pub(crate) fn broke(&self, connection: usize, error: Errno, at: Instant) {
        self.lock().connections[connection].broken.get_or_insert((at, error));
    }

    pub(crate) fn dropped(&self, connection: usize, at: Instant) {
        self.lock().connections[connection].dropped.get_or_insert(at);
    }

    pub(crate) fn accept_failed(&self, error: Errno, at: Instant, until: Option<Instant>) {
        let mut entries = self.lock();
        entries.accept_failures.push(AcceptFailure { at, error });
        if let Some(until) = until
            && entries.episodes.last().is_none_or(|episode| episode.until != until)
        {
            entries.recovered(at);
            entries.episodes.push(Episode { from: at, until, error, recovered: None });
        }
    }

    /// Nothing fails any more.
    pub(crate) fn calmed(&self, at: Instant) {
        if let Some(episode) = self.lock().episodes.last_mut() {
            episode.until = episode.until.min(at);
        }
    }

    pub(crate) fn connects(&self) {
        self.lock().connects += 1;
    }

    pub(crate) fn injected(&self, call: &'static str, what: String) {
        *self.lock().injected.entry((call, what)).or_default() += 1;
    }
}
