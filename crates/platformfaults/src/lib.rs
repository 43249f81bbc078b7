//! Whole sidecars on a platform whose system calls fail as Linux documents them. For tests only: nothing that runs in
//! service depends on this package.
//!
//! [`Faulty`] wraps a [`Platform`](cometcroft_platform::Platform) and injects the errors that a typed [`Plan`] names, drawn
//! by seed; its [`Journal`] keeps what it did to which connection. [`scenario`] runs a sidecar on it under load, beside
//! stand-ins for clients, endpoints and discovery ([`load`], [`endpoints`], [`discovery`]), and [`judge`] decides without
//! any knowledge of the sidecar's code whether the rules held.
//!
//! The same seed draws the same faults in the order of calls; the order of calls is the real network's, so a run is not
//! repeated to the byte.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod addressed;
mod datagrams;
pub mod defects;
pub mod discovery;
mod draw;
pub mod endpoints;
mod fleet;
mod http;
mod injected;
mod journal;
pub mod judge;
mod listener;
pub mod load;
mod plan;
mod platform;
pub mod scenario;
mod stream;

pub use addressed::Addressed;
pub use datagrams::FaultyDatagrams;
pub use journal::{AcceptFailure, ConnectionRecord, Entries, Episode, Journal, Side};
pub use listener::FaultyListener;
pub use plan::{
    AcceptFaults, ConnectFaults, DatagramFaults, FaultClass, Lasting, NodelayFaults, Plan, Rate,
    TransferFaults,
};
pub use platform::Faulty;
pub use stream::FaultyStream;
