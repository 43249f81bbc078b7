//! Free loopback addresses for processes that are about to start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpSocket;

/// Returns `count` different addresses at `ip`, with ports that the system picks. The ports are not reserved after the
/// call, so nothing else may listen at `ip`.
///
/// The sockets that hold the ports during the call never listen, and they allow their addresses to be reused. A process
/// that another thread forks at this moment inherits them until its exec; with a listening socket, the process that is
/// to listen at the address would fail with EADDRINUSE until then.
pub fn free_addresses(ip: Ipv4Addr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let reserved: io::Result<Vec<TcpSocket>> = (0..count).map(|_| reserve(ip)).collect();
    reserved?.iter().map(TcpSocket::local_addr).collect()
}

fn reserve(ip: Ipv4Addr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind((ip, 0).into())?;
    Ok(socket)
}
