//! Limits on the traffic of one member.

use serde::{Deserialize, Serialize};

/// `[limits]`: maximum number of bytes, received and sent together, of one member in any ten seconds. Virtual clock
/// only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Limit for the whole run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window_bytes: Option<u64>,
    /// Limit for the steady period at the end of the run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steady_window_bytes: Option<u64>,
}

impl Limits {
    /// Returns whether no limit is set.
    pub fn is_empty(&self) -> bool {
        *self == Limits::default()
    }
}
