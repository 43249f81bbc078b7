//! Proves the judge on sockets: one request that is sent, in the name of a sidecar, to an endpoint after its limit.

use crate::endpoints::call_id;
use crate::ids::{EndpointId, SidecarId, Time};
use crate::roster::Status;
use crate::world::World;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

const VICTIM: SidecarId = SidecarId(0);
/// It is sent so long after the limit.
const EXCESS: Duration = Duration::from_millis(30);
const STEP: Duration = Duration::from_millis(5);
/// Far beyond the numbers of real calls.
const NUMBER: u64 = 0xffff_ffff_ffff;

/// A request that was sent late on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Injected {
    /// In whose name.
    pub sidecar: SidecarId,
    /// Where.
    pub endpoint: EndpointId,
}

/// Waits until an endpoint is closed for the first sidecar, and sends a request to it after the limit.
pub async fn send_late(
    world: Arc<World>,
    endpoints: Vec<SocketAddr>,
    tolerance: Duration,
) -> Option<Injected> {
    let (endpoint, told_at) = closed_endpoint(&world).await;
    let due = told_at + tolerance + EXCESS;
    sleep(due.saturating_sub(world.clock.now())).await;
    let mut stream = TcpStream::connect(endpoints.get(endpoint.0)?).await.ok()?;
    let id = call_id(VICTIM, NUMBER);
    let request = format!("GET /plan/{id} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    stream.read_u8().await.ok()?;
    Some(Injected { sidecar: VICTIM, endpoint })
}

async fn closed_endpoint(world: &World) -> (EndpointId, Time) {
    loop {
        if let Some(closed) = find_closed(world) {
            return closed;
        }
        sleep(STEP).await;
    }
}

fn find_closed(world: &World) -> Option<(EndpointId, Time)> {
    let draining = world.roster().with_status(Status::Draining);
    let judge = world.judge();
    draining.iter().find_map(|&endpoint| Some((endpoint, judge.closed_since(VICTIM, endpoint)?)))
}
