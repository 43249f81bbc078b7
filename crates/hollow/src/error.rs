//! What can end a run early.

use std::io;
use thiserror::Error;

/// Why a run was refused or did not come to its end.
#[derive(Debug, Error)]
pub enum Error {
    /// An option makes no sense, or asks for more than a limit allows.
    #[error("{option}: {reason}")]
    Option {
        /// The option's name as the command line has it.
        option: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// A worker process could not be started.
    #[error("worker {worker}: could not be started: {source}")]
    Start {
        /// Which.
        worker: usize,
        /// The system's reason.
        source: io::Error,
    },
    /// A real sidecar could not be started.
    #[error("real sidecar {sidecar}: could not be started: {source}")]
    Real {
        /// Its place among all members.
        sidecar: usize,
        /// The system's reason.
        source: io::Error,
    },
    /// A worker process ended or broke off while it was needed.
    #[error("worker {worker}: {reason}")]
    Worker {
        /// Which.
        worker: usize,
        /// What it said, or how it ended.
        reason: String,
    },
    /// A step took longer than its bound.
    #[error("{step}: not done within {seconds} s")]
    Timeout {
        /// Which step.
        step: &'static str,
        /// The bound.
        seconds: u64,
    },
    /// Input and output of the run itself.
    #[error(transparent)]
    Io(#[from] io::Error),
}
