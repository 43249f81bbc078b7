//! A replicated log for a fleet: a few voters agree on the order of commands, and all other members learn it.
//!
//! The package does no I/O and reads no clock. [`Log`] is one member's replica: it holds the agreed entries and the state
//! machine that applies them, passes both on to others, and takes part in the agreement if the member is a voter. The
//! agreement itself is the library `omnipaxos`, with one instance for each epoch; `docs/design/plan.md` describes why, and
//! what is added to it here.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod bootstrap;
mod chain;
mod config;
mod error;
mod log;
mod message;
mod storage;
mod voter;

pub use crate::chain::{Entry, Epoch, Position, VoterSet};
pub use crate::config::{Config, Features, Time};
pub use crate::error::ConsensusError;
pub use crate::log::{Counters, Log, Peer, StateMachine, Status};
pub use crate::message::{MAX_COMMAND, MAX_MESSAGE, is_consensus_message};
pub use crate::storage::{EncodedEntry, EpochStorage};
