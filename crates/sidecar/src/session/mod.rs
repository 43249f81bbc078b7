//! Sessions, whatever protocol they came by: the table feeds the module events and turns its actions into
//! commands, and the host carries the commands out and owns the timers.

mod host;
mod table;

pub use host::{Carrier, Host, Later, Probed};
pub use table::{Command, Ended, Opening, SessionId, Table, Verdict};
