//! Wire codec and instance hosting: no decisions.
#![forbid(unsafe_code)]

pub mod codec;
pub mod host;
