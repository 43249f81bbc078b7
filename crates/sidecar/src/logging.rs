//! The log of the process: lines of JSON on standard error, down to the level that `LB_LOG` names.

use std::str::FromStr;
use thiserror::Error;
use tracing::level_filters::LevelFilter;

/// The variable that names the level.
pub const LEVEL_VARIABLE: &str = "LB_LOG";

/// `LB_LOG` names no level.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{LEVEL_VARIABLE}: {0:?} is no level; off, error, warn, info, debug or trace")]
pub struct LevelError(String);

/// The least severe level that is logged: `info` if none is named.
pub fn parse_level(named: Option<&str>) -> Result<LevelFilter, LevelError> {
    let Some(named) = named else { return Ok(LevelFilter::INFO) };
    LevelFilter::from_str(named).map_err(|_| LevelError(named.to_owned()))
}

/// Starts the log of this process.
pub fn init(level: LevelFilter) {
    tracing_subscriber::fmt().json().with_max_level(level).with_writer(std::io::stderr).init();
}
