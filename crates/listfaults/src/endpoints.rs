//! The scripted endpoints: one listening socket each, a short answer to every request, and the instant of the first byte of
//! each.

use crate::http::{header, take_head, target};
use crate::ids::{EndpointId, SidecarId, Time};
use crate::judge::{Arrival, Kind};
use crate::world::World;
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

const BACKLOG: u32 = 64;
/// Hosts of one block of 256 addresses that are used.
const HOSTS: usize = 250;
const BEAT: Duration = Duration::from_millis(2);
/// Hexadecimal digits of a call's id that name the sidecar.
const SIDECAR_DIGITS: usize = 4;
const LOAD_REPORT: &str = r#"{"inflight":1,"queue":0}"#;

/// The id of a sidecar's call: its first digits name the sidecar, so that endpoints know who sends.
pub fn call_id(sidecar: SidecarId, number: u64) -> String {
    format!("{:04x}{:012x}", sidecar.0, number)
}

fn sidecar_of(call_id: &str) -> Option<SidecarId> {
    usize::from_str_radix(call_id.get(..SIDECAR_DIGITS)?, 16).ok().map(SidecarId)
}

/// Listens at so many addresses from this block on, on ports that the system picks.
pub fn listen(block: [u8; 2], count: usize) -> io::Result<Vec<TcpListener>> {
    (0..count).map(|place| listen_at(block, place)).collect()
}

fn listen_at([second, third]: [u8; 2], place: usize) -> io::Result<TcpListener> {
    let third = third.wrapping_add((place / HOSTS) as u8);
    let ip = Ipv4Addr::new(127, second, third, 1 + (place % HOSTS) as u8);
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((ip, 0)))?;
    socket.listen(BACKLOG)
}

/// When the event loop last looked at its sockets.
#[derive(Debug, Default)]
struct Beats {
    last: Cell<Time>,
    before: Cell<Time>,
}

impl Beats {
    async fn run(self: Rc<Self>, world: Arc<World>) {
        loop {
            self.before.set(self.last.replace(world.clock.now()));
            sleep(BEAT).await;
        }
    }
}

/// Serves all endpoints on the present thread until it is dropped.
pub async fn serve(world: Arc<World>, listeners: Vec<TcpListener>) {
    let beats = Rc::new(Beats::default());
    for (place, listener) in listeners.into_iter().enumerate() {
        tokio::task::spawn_local(accept(world.clone(), beats.clone(), EndpointId(place), listener));
    }
    beats.run(world).await;
}

async fn accept(world: Arc<World>, beats: Rc<Beats>, endpoint: EndpointId, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(world.clone(), beats.clone(), endpoint);
                tokio::task::spawn_local(connection.serve(stream));
            }
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

/// The instant of a first byte.
#[derive(Debug, Clone, Copy)]
struct Stamp {
    at: Time,
    not_before: Time,
}

struct Connection {
    world: Arc<World>,
    beats: Rc<Beats>,
    endpoint: EndpointId,
    /// Who is at the other end, once a request has told.
    sidecar: Option<SidecarId>,
    /// What came before that.
    unattributed: Vec<(Stamp, Kind)>,
    /// The first byte of a message that is not whole yet.
    begun: Option<Stamp>,
}

impl Connection {
    fn new(world: Arc<World>, beats: Rc<Beats>, endpoint: EndpointId) -> Connection {
        Connection { world, beats, endpoint, sidecar: None, unattributed: Vec::new(), begun: None }
    }

    async fn serve(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while stream.readable().await.is_ok() {
            match stream.try_read_buf(&mut buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(_) => return,
            }
            let stamp = self.stamp();
            self.begun.get_or_insert(stamp);
            while let Ok(Some(head)) = take_head(&mut buffer) {
                let first = self.begun.take().unwrap_or(stamp);
                self.begun = (!buffer.is_empty()).then_some(stamp);
                let answer = self.take(&head, first);
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }

    fn stamp(&self) -> Stamp {
        Stamp { at: self.world.clock.now(), not_before: self.beats.before.get() }
    }

    /// Records a whole message and answers it.
    fn take(&mut self, head: &str, first: Stamp) -> String {
        let probe = matches!(target(head), Some("/alive" | "/metrics/load"));
        let kind = if probe { Kind::Probe } else { Kind::Request };
        let id = header(head, "x-call-id").unwrap_or_default();
        self.sidecar = self.sidecar.or_else(|| sidecar_of(id));
        self.unattributed.push((first, kind));
        if self.sidecar.is_some() {
            self.record();
        }
        let body = if probe { LOAD_REPORT.to_owned() } else { format!("ok {id}") };
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    fn record(&mut self) {
        let mut judge = self.world.judge();
        for (stamp, kind) in self.unattributed.drain(..) {
            let Stamp { at, not_before } = stamp;
            judge.arrived(Arrival { sidecar: self.sidecar, endpoint: self.endpoint, at, not_before, kind });
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let begun = self.begun.take().map(|stamp| (stamp, Kind::Request));
        self.unattributed.extend(begun);
        self.record();
    }
}
