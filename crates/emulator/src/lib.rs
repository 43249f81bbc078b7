//! The project's own emulator: whole sidecars, their network code unchanged, on a virtual clock and a simulated network,
//! with clients, nodes and discovery round them, all drawn from one seed; and a judge that holds its own model of the
//! rules and checks them after every step.
//!
//! [`scenario`] is the file, [`day`] one draw from it, [`emulator`] the day being played. Below them lie [`kernel`]
//! (clock, events, tasks), [`net`] (connections) and [`platform`] (the sidecar's view of both); beside them the parties
//! [`node`], [`discovery`] and [`clients`], and the [`judge`]. One seed is one run: `docs/design/emulator.md` says why.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod agree;
pub mod clients;
pub mod cost;
pub mod day;
pub mod delivery;
pub mod dice;
pub mod discovery;
pub mod emulator;
pub mod fleet;
pub mod judge;
pub mod kernel;
pub mod net;
pub mod node;
pub mod platform;
pub mod sabotage;
pub mod scenario;
pub mod share;
pub mod wire;
