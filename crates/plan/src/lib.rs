//! What a fleet has agreed on, as a machine without I/O: [`Plan`] reads the words of the log in their order and is the same
//! on all. [`Content`] is a revision's text, [`Throttle`] spends what its retry policies allow, and [`steward`] says what
//! only the leader says: grants, clear, the next wave, storms.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod content;
mod error;
mod plan;
mod steward;
mod throttle;
mod word;

pub use crate::content::{
    Content, Happened, MAX_TEXT, OutLimit, OutOf, RetryRule, ServerRule, Spent, Storm, Verdict, Wanted,
};
pub use crate::error::PlanError;
pub use crate::plan::{Parts, Permit, PermitState, Phase, Plan, Release, Revision, reach};
pub use crate::steward::{Presence, Standing, Steward};
pub use crate::throttle::{Throttle, Tried};
pub use crate::word::{Answer, Id, Said, What, Word};
