//! Measures the latency that a real sidecar adds to requests: alternately direct and through one sidecar, and through a
//! chain of sidecars.
//!
//! The load generator is an open loop: requests are due at fixed times, and a request's latency counts from when it was
//! due, so a stall counts for every request that it delays (no coordinated omission). The measurement runs in a process of
//! its own beside the sidecars, with its own clock and threads.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
#![allow(clippy::disallowed_methods)]

mod added;
mod chain;
mod error;
mod load;
mod report;
mod sidecar;
mod stub;

pub use added::{AddedLatencyOptions, measure_added_latency};
pub use chain::{ChainOptions, measure_chain};
pub use error::Error;
pub use load::{Load, Outcome, run_load};
pub use report::{AddedLatencyReport, ChainReport, Machine, Percentiles, Range, Report, load_average};
pub use stub::{EndpointStats, StubOptions, Stubs};
