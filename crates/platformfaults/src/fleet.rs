//! A fleet of three: the sidecar, whose datagrams and exchanges fail, and two companions that are sound.

use crate::platform::Faulty;
use cometcroft_membership::{Config, Name, Timing};
use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::fleet::{Fleet, FleetParts};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// Short, so that the fleet's times fit into a run.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// Who was given up while datagrams failed is met again within this time.
const MEET_AGAIN: Duration = Duration::from_secs(3);
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Members of the fleet.
pub(crate) const MEMBERS: usize = 3;
/// Another tier than the sidecar's: companions take no part of its work.
const COMPANION_TIER: u8 = 1;
const INSTANCES: u32 = 1;

/// The two companions.
pub(crate) struct Companions([Rc<Fleet<Tokio>>; 2]);

impl Companions {
    /// How many members each of them reaches, itself among them, once that is all or they have had time to meet again.
    pub(crate) async fn reached(&self) -> [usize; 2] {
        let until = Tokio.now() + MEET_AGAIN;
        loop {
            let reached = [0, 1].map(|at| self.0[at].with_membership(|member| member.report().reached));
            if reached == [MEMBERS; 2] || Tokio.now() >= until {
                return reached;
            }
            Tokio.sleep(LOOK_AGAIN).await;
        }
    }
}

/// Starts two companions; what the sidecar is told as a member is the first result.
pub(crate) async fn form(platform: &Faulty<Tokio>) -> io::Result<(FleetParts<Faulty<Tokio>>, Companions)> {
    let first = companion("c0", None).await?;
    let second = companion("c1", Some(first.1)).await?;
    let (config, socket, listener) = member("n0", Some(first.1)).await?;
    let parts = FleetParts {
        config,
        socket: platform.datagrams(socket),
        listener: platform.listener(listener),
        from: IpAddr::V4(Ipv4Addr::LOCALHOST),
        watcher: Box::new(|_| ()),
        budget: None,
        plan: None,
    };
    Ok((parts, Companions([first.0, second.0])))
}

async fn companion(name: &str, seed: Option<SocketAddrV4>) -> io::Result<(Rc<Fleet<Tokio>>, SocketAddrV4)> {
    let (mut config, socket, listener) = member(name, seed).await?;
    config.tier = COMPANION_TIER;
    let address = config.address;
    let parts = FleetParts {
        config,
        socket,
        listener,
        from: IpAddr::V4(Ipv4Addr::LOCALHOST),
        watcher: Box::new(|_| ()),
        budget: None,
        plan: None,
    };
    let (fleet, listener) = Fleet::new(Tokio, parts, INSTANCES, u64::from(address.port()));
    Tokio.detach(fleet.clone().run(listener));
    Ok((fleet, address))
}

/// What a member is told, and its sockets: datagrams and exchanges have the same port.
async fn member(name: &str, seed: Option<SocketAddrV4>) -> io::Result<(Config, UdpSocket, TcpListener)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let SocketAddr::V4(address) = listener.local_addr()? else {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    };
    let socket = UdpSocket::bind(address).await?;
    let name = Name::new(name).ok_or(io::ErrorKind::InvalidInput)?;
    let mut config = Config::new("f", name, address);
    config.seeds = seed.into_iter().collect();
    config.timing = Timing::from_pause(LONGEST_PAUSE);
    Ok((config, socket, listener))
}
