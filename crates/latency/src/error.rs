//! Errors of a measurement.

use std::io;
use std::process::ExitStatus;
use thiserror::Error;

/// A measurement that could not be started or completed.
#[derive(Debug, Error)]
pub enum Error {
    /// A command-line option has an unusable value.
    #[error("--{option}: {reason}")]
    InvalidOption {
        /// The option's name on the command line, without the dashes.
        option: &'static str,
        /// Why the value is rejected.
        reason: String,
    },
    /// A sidecar did not become ready in time.
    #[error("sidecar {sidecar}: not ready within {seconds} s")]
    NotReady {
        /// Position of the sidecar in the chain, from 0.
        sidecar: usize,
        /// The time limit.
        seconds: u64,
    },
    /// A sidecar exited before it was ready.
    #[error("sidecar {sidecar}: exited before it was ready: {status}")]
    Exited {
        /// Position of the sidecar in the chain, from 0.
        sidecar: usize,
        /// The process's exit status.
        status: ExitStatus,
    },
    /// I/O of the measurement itself failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
