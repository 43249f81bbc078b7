//! What a whole fleet may do (a tenant's requests, attempts beyond the first, connections), divided among its sidecars
//! and divided anew as they come and go. At every instant the parts in force sum to no more than the whole.
//!
//! [`Core`] is the protocol: a keeper's votes, a divider's records, a holder's lease, in whole numbers and without a
//! socket, a clock or a die. [`Budget`] is what a sidecar holds: the core, messages as bytes, and the spending of what
//! was granted. `docs/design/budget.md` says why it is as it is.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod budget;
mod config;
mod core;
mod divide;
mod divider;
mod holder;
mod keeper;
mod message;
mod spend;

pub use crate::budget::{Budget, Counted, Event, Report, WholeReport};
pub use crate::config::{Config, Kind, Parts, Time, Whole};
pub use crate::core::Core;
pub use crate::divide::{Claim, divide};
pub use crate::message::{Ballot, MAX_WHOLES, Message, Refused, decode, encode, is_ours};
