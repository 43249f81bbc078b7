//! Test rig that starts several processes of the real program on loopback, with stub discovery and stub endpoints, puts
//! a load on each process, and injects faults between any two of them according to a script. See `docs/fleet-rig.md`.
//!
//! The rig is never part of the sidecar process; it uses its own clock, sockets and tasks.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
#![allow(clippy::disallowed_methods)]

mod addresses;
mod fleet;
mod load;
mod process;
mod relay;
mod stubs;

pub use addresses::free_addresses;
pub use fleet::{BudgetReport, Options, Progress, RigReport, run, sidecar_settings};
pub use load::Outcomes;
pub use process::{Guard, Process};
pub use stubs::{OpenRequests, StubEndpoints, read_message, stub_discovery};
