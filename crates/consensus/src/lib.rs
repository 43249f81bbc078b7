//! Words that a whole fleet takes in one order: agreed by a few keepers, learned by all others. No socket, no clock.
//!
//! [`Log`] is one sidecar's part: it holds the chain of what is agreed and the machine that reads it, gossips both, and,
//! where the file names it a keeper, takes part in agreeing. The agreement itself is the library `omnipaxos`, one instance
//! an epoch; `docs/design/plan.md` says why, and what the seam round it adds.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod chain;
mod config;
mod error;
mod found;
mod keeper;
mod log;
mod memory;
mod message;

pub use crate::chain::{Council, Epoch, Item, Place};
pub use crate::config::{Config, Parts, Time};
pub use crate::error::ConsensusError;
pub use crate::log::{Counted, Log, Machine, Status};
pub use crate::memory::{Memory, Word};
pub use crate::message::{MAX_MESSAGE, MAX_WORD, is_ours};
