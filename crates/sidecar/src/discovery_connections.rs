//! Detects notifications of discovery that have arrived at this process but have not been read yet. No request may begin
//! before they are read.

use cometcroft_platform::Stream;
use std::cell::RefCell;
use std::fmt;
use std::rc::{Rc, Weak};

/// A connection that can tell whether it has unread input.
pub trait Unread {
    /// Whether bytes, or the end of the stream, have arrived and were not read.
    fn has_unread(&self) -> bool;
}

impl<S: Stream> Unread for RefCell<S> {
    fn has_unread(&self) -> bool {
        self.try_borrow().is_ok_and(|stream| !stream.is_idle())
    }
}

/// The connections on which discovery may deliver lists.
#[derive(Default)]
pub struct DiscoveryConnections {
    connections: RefCell<Vec<Weak<dyn Unread>>>,
}

impl DiscoveryConnections {
    /// Adds a connection. It is removed once it has been dropped.
    pub fn add<S: Stream>(&self, connection: &Rc<RefCell<S>>) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let connection: Rc<dyn Unread> = connection.clone();
        connections.push(Rc::downgrade(&connection));
    }

    /// Whether any connection has unread input, according to the sockets themselves.
    pub fn any_unread(&self) -> bool {
        let connections = self.connections.borrow();
        connections.iter().filter_map(Weak::upgrade).any(|connection| connection.has_unread())
    }
}

impl fmt::Debug for DiscoveryConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "DiscoveryConnections({})", self.connections.borrow().len())
    }
}
