//! What can end a run early.

use crate::ids::SidecarId;
use std::io;
use std::process::ExitStatus;
use thiserror::Error;

/// Why a run was refused or did not come to its end.
#[derive(Debug, Error)]
pub enum Error {
    /// An option makes no sense.
    #[error("--{option}: {reason}")]
    Option {
        /// The option's name as the command line has it.
        option: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// A sidecar did not become ready.
    #[error("sidecar {sidecar}: not ready within {seconds} s")]
    NotReady {
        /// Which.
        sidecar: SidecarId,
        /// The bound.
        seconds: u64,
    },
    /// A sidecar ended during the run.
    #[error("sidecar {sidecar}: ended: {status}")]
    Ended {
        /// Which.
        sidecar: SidecarId,
        /// How.
        status: ExitStatus,
    },
    /// A thread of stand-ins panicked.
    #[error("a thread of stand-ins panicked")]
    Panicked,
    /// Input and output of the harness itself.
    #[error(transparent)]
    Io(#[from] io::Error),
}
