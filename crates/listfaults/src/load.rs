//! The load on all sidecars of a run.

use crate::clients::{Clients, Outcomes};
use crate::error::Error;
use crate::event_loop::{EventLoop, runtime};
use crate::ids::SidecarId;
use crate::inject::{Injected, send_late};
use crate::judge::Rules;
use crate::run::{CLIENTS_PART, Options, part_seed};
use crate::world::World;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// The clients of all sidecars.
pub struct Load {
    /// The options of the run.
    pub options: Options,
    /// Where the sidecars listen.
    pub sidecars: Vec<SocketAddr>,
    /// Where the endpoints listen.
    pub endpoints: Vec<SocketAddr>,
    /// The rule that a late request breaks.
    pub rules: Rules,
}

impl Load {
    /// Starts it on an event loop of its own.
    pub fn start(self, world: Arc<World>) -> Result<EventLoop<(Outcomes, Option<Injected>)>, Error> {
        let clock = world.clock;
        Ok(EventLoop::start(runtime()?, clock, move || self.run(world)))
    }

    async fn run(self, world: Arc<World>) -> (Outcomes, Option<Injected>) {
        let outcomes = Arc::new(Mutex::new(Outcomes::default()));
        let until = tokio::time::Instant::now() + self.options.length;
        let clients = self.sidecars.iter().enumerate().map(|(place, &address)| {
            let clients = Clients::new(SidecarId(place), address, outcomes.clone());
            let seed = part_seed(self.options.seed, CLIENTS_PART + place as u64);
            tokio::task::spawn_local(clients.run(self.options.rate, until, seed))
        });
        let clients: Vec<_> = clients.collect();
        let tolerance = self.rules.grace + self.rules.slack;
        let injected = match self.options.inject_late_send {
            true => send_late(world, self.endpoints, tolerance).await,
            false => None,
        };
        for sidecar in clients {
            // Clients that panicked are missing from the outcomes.
            let _ = sidecar.await;
        }
        let outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        (outcomes, injected)
    }
}
