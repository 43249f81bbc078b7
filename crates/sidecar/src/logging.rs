//! The log of the process: JSON lines on standard error, filtered by the level in `LB_LOG`.

use std::str::FromStr;
use thiserror::Error;
use tracing::level_filters::LevelFilter;

/// The environment variable with the log level.
pub const LEVEL_VARIABLE: &str = "LB_LOG";

/// `LB_LOG` is not a log level.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{LEVEL_VARIABLE}: {0:?} is no level; off, error, warn, info, debug or trace")]
pub struct LevelError(String);

/// Parses the least severe level that is logged; `info` by default.
pub fn parse_level(named: Option<&str>) -> Result<LevelFilter, LevelError> {
    let Some(named) = named else { return Ok(LevelFilter::INFO) };
    LevelFilter::from_str(named).map_err(|_| LevelError(named.to_owned()))
}

/// Initializes the log of this process.
pub fn init(level: LevelFilter) {
    tracing_subscriber::fmt().json().with_max_level(level).with_writer(std::io::stderr).init();
}
