//! What a fleet has agreed on, as a machine without I/O: [`Plan`] reads the words of the log in their order and is the same
//! on all. [`Content`] is a revision's text, [`Throttle`] spends what its retry policies allow, and [`steward`] says what
//! only the leader says: grants, clear, the next wave, storms.
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
