//! Fault scripts for a fleet of sidecars: the file ([`Script`]), a run drawn from it ([`Plan`]) whose actions both the
//! emulator and the rig of real processes can perform, and the [`Checker`] that checks both against the same invariants.
//! `docs/fleet-rig.md` is the reference.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod checker;
mod file;
mod limits;
mod network;
mod plan;

pub use checker::{Checker, Invariant, MemberView, PlanStatus, Violation, check_plans_agree};
pub use file::{
    BudgetSection, CommandKind, CommandSection, Fault, FleetSection, Kind, PlanSection, SHIPPED, SIZED,
    Script,
};
pub use limits::Limits;
pub use network::{Link, LinkSection, NetworkPlan, NetworkSection};
pub use plan::{
    Act, Action, BudgetPlan, LinkFault, LinkFaults, MemberPlan, OperatorCommand, Plan, SettingsOverride,
};
