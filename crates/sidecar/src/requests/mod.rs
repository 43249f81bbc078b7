//! Sessions, whatever protocol they came by: the table feeds the module events and turns its actions into
//! commands, and the host carries the commands out and owns the timers.

mod driver;
mod table;

pub use driver::{LocalBoxFuture, ProbeResult, RequestDriver, Transport};
pub use table::{AttemptResult, Command, FinalResponse, NewRequest, RequestNumber, RequestTable};
