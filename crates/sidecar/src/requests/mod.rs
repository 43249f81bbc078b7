//! Open requests, independent of the protocol they arrive by. [`RequestTable`] feeds events to the decision
//! module and turns its actions into commands; [`RequestDriver`] carries the commands out and owns the timers.

mod driver;
mod table;

pub use driver::{LocalBoxFuture, ProbeResult, RequestDriver, Transport};
pub use table::{AttemptResult, Command, FinalResponse, KeyedRetry, NewRequest, RequestNumber, RequestTable};
