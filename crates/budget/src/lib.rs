//! Divides fleet-wide limits (requests of a tenant, retries, connections) among the sidecars of the fleet, and divides
//! them again as sidecars come and go. At every instant the shares in force sum to no more than the limit.
//!
//! An allocator, elected by the voters, lends shares of each limit to holders for the duration of a lease. The sidecars
//! of the roster also have a guaranteed share that needs no lease. Amounts are integers in thousandths.
//!
//! [`Core`] is the protocol: votes, the allocator's records and a holder's lease, without sockets, clocks or random
//! numbers. [`Budget`] adds what a sidecar needs around it: messages as bytes, admission of single uses, measurement of
//! demand, and counters. `docs/design/budget.md` explains the design.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod allocator;
mod budget;
mod config;
mod core;
mod divide;
mod holder;
mod message;
mod usage;
mod voter;

pub use crate::budget::{Budget, Counters, Event, LimitReport, Report};
pub use crate::config::{Config, Limit, LimitKind, Safeguards, Time};
pub use crate::core::Core;
pub use crate::divide::{Claim, divide};
pub use crate::message::{Ballot, DecodeError, MAX_LIMITS, Message, decode, encode, is_budget_datagram};
