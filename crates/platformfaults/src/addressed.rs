//! Streams that can tell between which addresses they lead.

use cometcroft_platform::RetryingStream;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A stream between two known addresses.
pub trait Addressed {
    /// This side's address.
    fn local(&self) -> io::Result<SocketAddr>;
    /// The other side's address.
    fn peer(&self) -> io::Result<SocketAddr>;
}

impl Addressed for RetryingStream<TcpStream> {
    fn local(&self) -> io::Result<SocketAddr> {
        self.get_ref().local_addr()
    }

    fn peer(&self) -> io::Result<SocketAddr> {
        self.get_ref().peer_addr()
    }
}
