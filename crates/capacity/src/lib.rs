//! Capacity planning for a fleet of a given size.
//!
//! [`target`] reads the size to plan for, [`data`] reads the measured runs, [`fit`] fits and extrapolates them, [`rows`]
//! compares each figure with its limit, [`arithmetic`] calculates what follows from constants of the code alone, and
//! [`page`] renders all of it as the generated part of `docs/CAPACITY.md`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod arithmetic;
pub mod data;
pub mod fit;
pub mod page;
pub mod rows;
pub mod table;
pub mod target;
