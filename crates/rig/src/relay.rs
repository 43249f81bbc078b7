//! The relay: it owns the addresses that members advertise, and does to what passes what the script says, by ordered pair.
//! Who sends is known by its source address, as each process sends from an address of its own.

use cometcroft_script::LinkFault;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Connections through one address at once.
const CONNECTIONS: usize = 256;
/// What waits on a narrow way for longer is lost.
const QUEUED: Duration = Duration::from_secs(1);
/// A connection through a cut is held silent for so long at most.
const HELD: Duration = Duration::from_secs(30);

/// One place: where its process listens, and where the others reach it.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// The process' own address.
    pub own: SocketAddrV4,
    /// The relay's, which it advertises.
    pub reached: SocketAddrV4,
}

/// What passed and what did not.
#[derive(Debug, Default)]
pub struct Passed {
    /// Datagrams passed on, copies among them.
    pub datagrams: AtomicU64,
    /// Their bytes.
    pub bytes: AtomicU64,
    /// Datagrams lost on purpose.
    pub lost: AtomicU64,
    /// Connections passed on.
    pub connections: AtomicU64,
}

/// The relay of a fleet.
pub struct Relay {
    places: Vec<Place>,
    sockets: Vec<Arc<UdpSocket>>,
    wires: Mutex<HashMap<(usize, usize), LinkFault>>,
    /// When a narrow way is free again.
    free: Mutex<HashMap<(usize, usize), Instant>>,
    rng: Mutex<fastrand::Rng>,
    /// What passed.
    pub passed: Passed,
}

/// Binds both kinds of socket on one port that the system picks.
async fn bind_both(ip: Ipv4Addr) -> io::Result<(UdpSocket, TcpListener, u16)> {
    let mut last = io::Error::other("no port");
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
    /// A relay for so many places: the process of place i is at `own(i)`, and is reached at `reached(i)`.
    pub async fn start(
        count: usize,
        own: impl Fn(usize) -> Ipv4Addr,
        reached: impl Fn(usize) -> Ipv4Addr,
        seed: u64,
    ) -> io::Result<Arc<Relay>> {
        let (mut places, mut sockets, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..count {
            let (socket, listener, port) = bind_both(reached(i)).await?;
            // Reserved for a moment only; the address is this place's alone, so nobody else takes it.
            let free = bind_both(own(i)).await?.2;
            places.push(Place {
                own: SocketAddrV4::new(own(i), free),
                reached: SocketAddrV4::new(reached(i), port),
            });
            sockets.push(Arc::new(socket));
            listeners.push(listener);
        }
        let relay = Arc::new(Relay {
            places,
            sockets,
            wires: Mutex::default(),
            free: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            passed: Passed::default(),
        });
        for (i, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(relay.clone().datagrams(i));
            tokio::spawn(relay.clone().connections(i, listener));
        }
        Ok(relay)
    }

    /// A place's addresses.
    pub fn place(&self, i: usize) -> Place {
        self.places[i]
    }

    /// From now on this is what becomes of what one place sends another.
    pub fn wire(&self, from: usize, to: usize, wire: LinkFault) {
        let mut wires = self.wires.lock().unwrap_or_else(PoisonError::into_inner);
        if wire == LinkFault::default() {
            wires.remove(&(from, to))
        } else {
            wires.insert((from, to), wire)
        };
    }

    fn on(&self, from: usize, to: usize) -> LinkFault {
        let wires = self.wires.lock().unwrap_or_else(PoisonError::into_inner);
        wires.get(&(from, to)).copied().unwrap_or_default()
    }

    fn sender(&self, ip: IpAddr) -> Option<usize> {
        self.places.iter().position(|place| IpAddr::V4(*place.own.ip()) == ip)
    }

    async fn datagrams(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; 2048];
        loop {
            let Ok((length, from)) = self.sockets[to].recv_from(&mut buffer).await else {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            };
            let Some(sender) = self.sender(from.ip()) else { continue };
            let wire = self.on(sender, to);
            let mut bytes = buffer[..length].to_vec();
            let (lost, copies, late) = {
                let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
                if length > 0 && rng.f64() < wire.turned {
                    let at = rng.usize(..length);
                    bytes[at] ^= 1 << rng.u32(..8);
                }
                let copies = 1 + usize::from(rng.f64() < wire.copies);
                let late: Vec<Duration> =
                    (0..copies).map(|_| wire.delay + wire.jitter.mul_f64(rng.f64())).collect();
                (wire.cut || rng.f64() < wire.loss, copies, late)
            };
            let queued = self.queued(sender, to, wire.pace, length);
            if lost || queued.is_none() {
                self.passed.lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.passed.datagrams.fetch_add(copies as u64, Ordering::Relaxed);
            self.passed.bytes.fetch_add((copies * length) as u64, Ordering::Relaxed);
            let own = SocketAddr::V4(self.places[to].own);
            for late in late.into_iter().map(|late| late + queued.unwrap_or_default()) {
                // Sent on from the sender's advertised address, where the receiver knows it.
                if late.is_zero() {
                    let _ = self.sockets[sender].send_to(&bytes, own).await;
                } else {
                    let (relay, bytes) = (self.clone(), bytes.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(late).await;
                        let _ = relay.sockets[sender].send_to(&bytes, own).await;
                    });
                }
            }
        }
    }

    /// How long a datagram waits on a narrow way; `None` if it is lost there.
    fn queued(&self, from: usize, to: usize, pace: f64, length: usize) -> Option<Duration> {
        if pace <= 0.0 {
            return Some(Duration::ZERO);
        }
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let at = (*free.entry((from, to)).or_insert(now)).max(now);
        let queued = at - now;
        if queued > QUEUED {
            return None;
        }
        free.insert((from, to), at + Duration::from_secs_f64(length as f64 / pace));
        Some(queued)
    }

    /// Waits until connections between two are reset.
    async fn is_reset(&self, a: usize, b: usize) {
        while !(self.on(a, b).reset || self.on(b, a).reset) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn connections(self: Arc<Self>, to: usize, listener: TcpListener) {
        let open = Arc::new(tokio::sync::Semaphore::new(CONNECTIONS));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let Some(sender) = self.sender(from.ip()) else { continue };
            let Ok(permit) = open.clone().try_acquire_owned() else { continue };
            let relay = self.clone();
            tokio::spawn(async move {
                let _ = tokio::time::timeout(HELD, relay.pass(stream, sender, to)).await;
                drop(permit);
            });
        }
    }

    /// Passes a connection on. Danger: one that was closed at a cut would tell of it; a cut is silent, so what comes is
    /// dropped and the connection held.
    async fn pass(&self, mut near: TcpStream, from: usize, to: usize) -> io::Result<()> {
        if self.on(from, to).reset || self.on(to, from).reset {
            return broken(&near);
        }
        if self.on(from, to).cut || self.on(to, from).cut {
            tokio::time::sleep(HELD).await;
            return Ok(());
        }
        self.passed.connections.fetch_add(1, Ordering::Relaxed);
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((*self.places[from].reached.ip(), 0)))?;
        let mut far = socket.connect(self.places[to].own.into()).await?;
        let passed = {
            let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
            let both = async {
                let there = self.copy(near_in, far_out, from, to);
                let (there, back) = tokio::join!(there, self.copy(far_in, near_out, to, from));
                there.and(back)
            };
            tokio::select! {
                passed = both => Some(passed),
                () = self.is_reset(from, to) => None,
            }
        };
        match passed {
            Some(passed) => passed,
            None => broken(&near).and(broken(&far)),
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
            let wire = self.on(from, to);
            if wire.cut {
                tokio::time::sleep(HELD).await;
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

/// Has a connection end with a reset once it is dropped.
fn broken(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

#[cfg(test)]
mod tests;
