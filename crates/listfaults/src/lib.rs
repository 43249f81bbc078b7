//! Real sidecars under faults in the delivery of long endpoint lists.
//!
//! A scripted discovery with thousands of endpoints writes every answer by a drawn plan (slowly, in part, late, not at all),
//! scripted endpoints stamp the first byte of each request, and a judge without I/O holds both against the drain rule. It
//! runs beside the daemon, never in it, and has a clock, sockets and threads of its own.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
#![allow(clippy::disallowed_methods)]

mod calls;
mod clients;
pub mod delivery;
mod discovery;
mod endpoints;
mod error;
mod event_loop;
mod http;
mod ids;
mod inject;
pub mod judge;
mod load;
pub mod planner;
mod processes;
mod queue;
mod report;
pub mod roster;
mod run;
pub mod scenario;
mod stalls;
pub mod wire;
mod world;
mod writer;

pub use calls::{CallEnd, CallRecord, Calls};
pub use clients::Outcomes;
pub use error::Error;
pub use ids::{AnswerId, Clock, EndpointId, SidecarId, Time, Version};
pub use inject::Injected;
pub use report::Report;
pub use run::{Options, run};
pub use stalls::{Stall, Stalls};
pub use world::{AnswerRecord, Outage};
