//! A replicated log for a fleet: a few voters decide the order of commands, and all other members learn it.
//!
//! The package does no I/O and reads no clock. [`Log`] is one member's replica: it holds the decided entries and the
//! state machine that applies them, passes both on to other members, and votes if the member is a voter. The
//! consensus protocol itself is the library `omnipaxos`, with one instance for each epoch; `docs/design/plan.md`
//! describes why, and what this package adds to it.
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
