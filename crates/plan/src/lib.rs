//! The replicated plan of a fleet: routing revisions with rollback, releases in waves, drain and restart permits, and
//! retry policies. The package does no I/O.
//!
//! - [`Plan`] is the state machine. It applies the commands of the replicated log in their order, with the same result
//!   on all sidecars.
//! - [`RevisionContent`] is the parsed text of a revision.
//! - [`Controller`] derives the commands that only the leader proposes: grants, clear permits, the next wave, storms.
//! - [`RetryThrottle`] applies a revision's retry rules to the attempts of one sidecar.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod command;
mod content;
mod controller;
mod error;
mod plan;
mod throttle;

pub use crate::command::{Command, CommandEntry, CommandId, CommandOutcome, PermitTarget};
pub use crate::content::{
    EndpointRule, ExhaustedAction, MAX_TEXT_BYTES, OutageKind, OutageLimit, RetryAttributes, RetryCause,
    RetryRule, RevisionContent, StormRule, WeightAdjustment,
};
pub use crate::controller::{Controller, MemberState, SidecarStatus};
pub use crate::error::PlanError;
pub use crate::plan::{Checks, Permit, PermitState, Plan, Release, ReleasePhase, Revision, release_position};
pub use crate::throttle::{RetryDecision, RetryThrottle};
