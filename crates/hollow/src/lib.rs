//! Scale tests on real sockets: a fleet of hollow sidecars, many in one process.
//!
//! A hollow sidecar is a member that runs the driver of the daemon (membership, budgets and plan) on tokio and real
//! loopback sockets, without clients, discovery or backend servers. [`run`] starts worker processes, gives each its share of
//! the members, and measures what control costs a member; [`work`] is what such a worker process runs.
//!
//! It runs beside the daemon, never in it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
mod coordinator;
mod counted;
mod error;
mod lag;
mod limits;
mod member;
mod options;
mod process_stats;
mod protocol;
mod real;
mod report;
mod spread;
mod summary;
mod traffic;
mod worker;
mod worker_process;

pub use coordinator::run;
pub use counted::{Counted, CountedDatagrams, CountedListener, CountedStream};
pub use error::Error;
pub use limits::Limits;
pub use options::{Options, RealOptions, WorkerCommand};
pub use report::{
    ChangeReport, KindReport, LagReport, MachineReport, MemoryReport, RealReport, Report, RoleReport,
    StartReport, WindowReport,
};
pub use spread::Spread;
pub use traffic::{Directions, Flow, Kind, Meter, Role, Traffic};
pub use worker::work;
