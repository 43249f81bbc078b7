//! DiscoveryConnections of discovery that have come to this process and that nobody has read yet: nothing may begin before they are read.

use cometcroft_platform::Stream;
use std::cell::RefCell;
use std::fmt;
use std::rc::{Rc, Weak};

/// A connection on which a list may arrive.
pub trait Unread {
    /// Bytes, or its end, have come and were not read.
    fn has_unread(&self) -> bool;
}

impl<S: Stream> Unread for RefCell<S> {
    fn has_unread(&self) -> bool {
        self.try_borrow().is_ok_and(|stream| !stream.is_idle())
    }
}

/// The connections on which lists may arrive.
#[derive(Default)]
pub struct DiscoveryConnections {
    connections: RefCell<Vec<Weak<dyn Unread>>>,
}

impl DiscoveryConnections {
    /// A list may arrive on this connection, until it is dropped.
    pub fn add<S: Stream>(&self, connection: &Rc<RefCell<S>>) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let connection: Rc<dyn Unread> = connection.clone();
        connections.push(Rc::downgrade(&connection));
    }

    /// Something has come that nobody has read, as the sockets themselves tell now.
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
