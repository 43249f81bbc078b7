//! Relay that owns the advertised addresses of the members and injects the scripted faults for each ordered pair of
//! members. The sender is identified by its source address, as each process sends from its own address.

use cometcroft_script::LinkFault;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Maximum number of concurrent connections through one address.
const MAX_CONNECTIONS: usize = 256;
/// Datagrams that would wait longer on a link with limited bandwidth are dropped.
const MAX_QUEUEING_DELAY: Duration = Duration::from_secs(1);
/// Maximum lifetime of a connection, and the time for which one through a cut link is held without data.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(30);

/// Addresses of one member: where its process listens, and where the others reach it.
#[derive(Debug, Clone, Copy)]
pub struct MemberAddresses {
    /// Address at which the process listens.
    pub own: SocketAddrV4,
    /// Address of the relay, which the process advertises.
    pub advertised: SocketAddrV4,
}

/// Counters of the relayed traffic.
#[derive(Debug, Default)]
pub struct RelayCounters {
    /// Datagrams forwarded, including duplicates.
    pub datagrams: AtomicU64,
    /// Bytes of the forwarded datagrams.
    pub bytes: AtomicU64,
    /// Datagrams dropped on purpose.
    pub dropped: AtomicU64,
    /// Connections forwarded.
    pub connections: AtomicU64,
}

/// Relay between the members of a fleet.
pub struct Relay {
    addresses: Vec<MemberAddresses>,
    sockets: Vec<Arc<UdpSocket>>,
    wires: Mutex<HashMap<(usize, usize), LinkFault>>,
    /// Time at which a link with limited bandwidth can send the next datagram.
    free_at: Mutex<HashMap<(usize, usize), Instant>>,
    rng: Mutex<fastrand::Rng>,
    /// Counters of the relayed traffic.
    pub counters: RelayCounters,
}

/// Binds a UDP and a TCP socket to the same port, which the system picks.
async fn bind_both(ip: Ipv4Addr) -> io::Result<(UdpSocket, TcpListener, u16)> {
    let mut last = io::Error::other("no port is free for both UDP and TCP");
    for _ in 0..20 {
        let socket = UdpSocket::bind((ip, 0)).await?;
        let port = socket.local_addr()?.port();
        match TcpListener::bind((ip, port)).await {
            Ok(listener) => return Ok((socket, listener, port)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

impl Relay {
    /// Starts a relay for `count` members: the process of member i listens at `own(i)` and is reached at
    /// `advertised(i)`.
    pub async fn start(
        count: usize,
        own: impl Fn(usize) -> Ipv4Addr,
        advertised: impl Fn(usize) -> Ipv4Addr,
        seed: u64,
    ) -> io::Result<Arc<Relay>> {
        let (mut addresses, mut sockets, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..count {
            let (socket, listener, port) = bind_both(advertised(i)).await?;
            // Not kept bound: only this member uses the IP address, so nothing else takes the port.
            let own_port = bind_both(own(i)).await?.2;
            addresses.push(MemberAddresses {
                own: SocketAddrV4::new(own(i), own_port),
                advertised: SocketAddrV4::new(advertised(i), port),
            });
            sockets.push(Arc::new(socket));
            listeners.push(listener);
        }
        let relay = Arc::new(Relay {
            addresses,
            sockets,
            wires: Mutex::default(),
            free_at: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            counters: RelayCounters::default(),
        });
        for (i, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(relay.clone().relay_datagrams(i));
            tokio::spawn(relay.clone().accept_connections(i, listener));
        }
        Ok(relay)
    }

    /// Returns the addresses of a member.
    pub fn addresses(&self, i: usize) -> MemberAddresses {
        self.addresses[i]
    }

    /// Sets the faults for the traffic from one member to another.
    pub fn set_wire(&self, from: usize, to: usize, wire: LinkFault) {
        let mut wires = self.wires.lock().unwrap_or_else(PoisonError::into_inner);
        if wire == LinkFault::default() {
            wires.remove(&(from, to))
        } else {
            wires.insert((from, to), wire)
        };
    }

    fn wire_between(&self, from: usize, to: usize) -> LinkFault {
        let wires = self.wires.lock().unwrap_or_else(PoisonError::into_inner);
        wires.get(&(from, to)).copied().unwrap_or_default()
    }

    fn sender_index(&self, ip: IpAddr) -> Option<usize> {
        self.addresses.iter().position(|member| IpAddr::V4(*member.own.ip()) == ip)
    }

    async fn relay_datagrams(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; 2048];
        loop {
            let Ok((length, from)) = self.sockets[to].recv_from(&mut buffer).await else {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            };
            let Some(sender) = self.sender_index(from.ip()) else { continue };
            let wire = self.wire_between(sender, to);
            let mut bytes = buffer[..length].to_vec();
            let (lost, copies, delays) = {
                let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
                if length > 0 && rng.f64() < wire.turned {
                    let at = rng.usize(..length);
                    bytes[at] ^= 1 << rng.u32(..8);
                }
                let copies = 1 + usize::from(rng.f64() < wire.copies);
                let delays: Vec<Duration> =
                    (0..copies).map(|_| wire.delay + wire.jitter.mul_f64(rng.f64())).collect();
                (wire.cut || rng.f64() < wire.loss, copies, delays)
            };
            let queueing_delay = self.queueing_delay(sender, to, wire.pace, length);
            if lost || queueing_delay.is_none() {
                self.counters.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.counters.datagrams.fetch_add(copies as u64, Ordering::Relaxed);
            self.counters.bytes.fetch_add((copies * length) as u64, Ordering::Relaxed);
            let own = SocketAddr::V4(self.addresses[to].own);
            for delay in delays.into_iter().map(|delay| delay + queueing_delay.unwrap_or_default()) {
                // Forwarded from the sender's advertised address, because the receiver knows the sender by it.
                if delay.is_zero() {
                    let _ = self.sockets[sender].send_to(&bytes, own).await;
                } else {
                    let (relay, bytes) = (self.clone(), bytes.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        let _ = relay.sockets[sender].send_to(&bytes, own).await;
                    });
                }
            }
        }
    }

    /// Returns how long a datagram waits on a link with limited bandwidth, or `None` if the link drops it.
    fn queueing_delay(&self, from: usize, to: usize, pace: f64, length: usize) -> Option<Duration> {
        if pace <= 0.0 {
            return Some(Duration::ZERO);
        }
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let at = (*free_at.entry((from, to)).or_insert(now)).max(now);
        let queued = at - now;
        if queued > MAX_QUEUEING_DELAY {
            return None;
        }
        free_at.insert((from, to), at + Duration::from_secs_f64(length as f64 / pace));
        Some(queued)
    }

    /// Waits until the script resets the connections between two members.
    async fn wait_for_reset(&self, a: usize, b: usize) {
        while !(self.wire_between(a, b).reset || self.wire_between(b, a).reset) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn accept_connections(self: Arc<Self>, to: usize, listener: TcpListener) {
        let open = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let Some(sender) = self.sender_index(from.ip()) else { continue };
            let Ok(permit) = open.clone().try_acquire_owned() else { continue };
            let relay = self.clone();
            tokio::spawn(async move {
                let _ = tokio::time::timeout(MAX_CONNECTION_TIME, relay.relay_connection(stream, sender, to))
                    .await;
                drop(permit);
            });
        }
    }

    /// Forwards a connection. Over a cut link, data is dropped and the connection is held open: closing it would show
    /// the fault to the members, and a real network partition gives no sign.
    async fn relay_connection(&self, mut near: TcpStream, from: usize, to: usize) -> io::Result<()> {
        if self.wire_between(from, to).reset || self.wire_between(to, from).reset {
            return reset_on_drop(&near);
        }
        if self.wire_between(from, to).cut || self.wire_between(to, from).cut {
            tokio::time::sleep(MAX_CONNECTION_TIME).await;
            return Ok(());
        }
        self.counters.connections.fetch_add(1, Ordering::Relaxed);
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((*self.addresses[from].advertised.ip(), 0)))?;
        let mut far = socket.connect(self.addresses[to].own.into()).await?;
        let result = {
            let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
            let both = async {
                let there = self.copy(near_in, far_out, from, to);
                let (there, back) = tokio::join!(there, self.copy(far_in, near_out, to, from));
                there.and(back)
            };
            tokio::select! {
                result = both => Some(result),
                () = self.wait_for_reset(from, to) => None,
            }
        };
        match result {
            Some(result) => result,
            None => reset_on_drop(&near).and(reset_on_drop(&far)),
        }
    }

    async fn copy(
        &self,
        mut input: tokio::net::tcp::ReadHalf<'_>,
        mut output: tokio::net::tcp::WriteHalf<'_>,
        from: usize,
        to: usize,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 8192];
        loop {
            let read = input.read(&mut buffer).await?;
            let wire = self.wire_between(from, to);
            if wire.cut {
                tokio::time::sleep(MAX_CONNECTION_TIME).await;
                return Ok(());
            }
            if !(wire.delay + wire.jitter).is_zero() {
                tokio::time::sleep(wire.delay + wire.jitter / 2).await;
            }
            if wire.pace > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64(read as f64 / wire.pace)).await;
            }
            if read == 0 {
                return output.shutdown().await;
            }
            output.write_all(&buffer[..read]).await?;
        }
    }
}

/// Makes a connection end with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

#[cfg(test)]
mod tests;
