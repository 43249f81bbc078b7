//! Runs instances of the decision module for a simulator, behind a line protocol. All decisions are the module's.
#![forbid(unsafe_code)]

pub mod codec;
pub mod host;
