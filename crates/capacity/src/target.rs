//! The target file: the size, the load and the limits to plan for.

use cometcroft_tomlfile::{FileError, Time, key_at};
use serde::Deserialize;

/// All targets.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The fleet's size.
    pub fleet: FleetSize,
    /// Its calls.
    pub calls: Calls,
    /// Changes of its configuration.
    pub changes: Changes,
    /// What a sidecar may spend on control.
    pub sidecar: SidecarLimits,
    /// How often parts of the fleet fail.
    pub failures: Failures,
    /// How a release restarts sidecars.
    pub release: Release,
}

/// The fleet's size.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Sidecars, one for each endpoint.
    pub sidecars: u32,
    /// Services that the endpoints belong to.
    pub services: u32,
    /// Availability zones.
    pub zones: u32,
    /// Regions that the zones lie in.
    pub regions: u32,
    /// Machines set aside for control.
    pub control_machines: u32,
    /// The longest round trip between two regions.
    pub longest_round_trip: Time,
}

/// Calls of the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Calls a second.
    pub per_second: f64,
    /// Hops of the deepest chain of calls.
    pub depth: u32,
    /// What the sidecar may add to a call at the 99th percentile.
    pub added_p99: Time,
    /// Time that the client at the top of a chain gives it.
    pub deadline: Time,
    /// Attempts that a hop may make.
    pub attempts: u32,
    /// Retries for each first attempt that a plan's rule permits.
    pub retry_share: f64,
    /// Retries a second that a plan's rule permits over the whole fleet.
    pub retry_ceiling: f64,
}

/// Changes of the configuration.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Changes a day.
    pub per_day: f64,
    /// Time until a change is in force everywhere.
    pub in_force_within: Time,
}

/// What a sidecar may spend on control.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarLimits {
    /// Share of one core.
    pub core_share: f64,
    /// Bytes of memory.
    pub memory_bytes: f64,
    /// Bytes a second, received and sent together.
    pub bytes_per_second: f64,
    /// Time until all views are equal again after a region has come back.
    pub equal_within: Time,
}

/// How often parts of the fleet fail.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines lost a day.
    pub machines_per_day: f64,
    /// Restarts of sidecars a day.
    pub restarts_per_day: f64,
    /// How long a region stays cut off.
    pub region_apart: Time,
}

/// How a release restarts sidecars.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Time from a permit's grant until its sidecar is ready again and the permit returned (an assumption).
    pub restart_cycle: Time,
    /// Share of a zone's sidecars that may be out at once.
    pub out_share: f64,
}

impl Target {
    /// Reads a target file; `file` is only named in errors.
    pub fn parse(text: &str, file: &str) -> Result<Target, FileError> {
        let target: Target = cometcroft_tomlfile::read(text, file)?;
        match target.first_fault() {
            None => Ok(target),
            Some((field, reason)) => Err(FileError::at(file, text, position(text, field), field, reason)),
        }
    }

    /// The first field whose value makes no sense, and why.
    fn first_fault(&self) -> Option<(&'static str, &'static str)> {
        self.fault_of_counts().or_else(|| self.fault_of_order()).or_else(|| self.fault_of_figures())
    }

    fn fault_of_counts(&self) -> Option<(&'static str, &'static str)> {
        let counts = [
            ("sidecars", self.fleet.sidecars),
            ("services", self.fleet.services),
            ("zones", self.fleet.zones),
            ("regions", self.fleet.regions),
            ("depth", self.calls.depth),
            ("attempts", self.calls.attempts),
        ];
        counts.into_iter().find(|(_, count)| *count == 0).map(|(field, _)| (field, "must be at least 1"))
    }

    fn fault_of_order(&self) -> Option<(&'static str, &'static str)> {
        let fleet = &self.fleet;
        let ordered = [
            ("services", fleet.services <= fleet.sidecars, "must not exceed sidecars"),
            ("zones", fleet.zones <= fleet.sidecars, "must not exceed sidecars"),
            ("regions", fleet.regions <= fleet.zones, "must not exceed zones"),
        ];
        ordered.into_iter().find(|(_, holds, _)| !holds).map(|(field, _, reason)| (field, reason))
    }

    fn fault_of_figures(&self) -> Option<(&'static str, &'static str)> {
        let shares = [
            ("core_share", self.sidecar.core_share),
            ("out_share", self.release.out_share),
            ("retry_share", self.calls.retry_share),
        ];
        let figures = [
            ("per_second", self.calls.per_second),
            ("retry_ceiling", self.calls.retry_ceiling),
            ("per_day", self.changes.per_day),
            ("memory_bytes", self.sidecar.memory_bytes),
            ("bytes_per_second", self.sidecar.bytes_per_second),
            ("machines_per_day", self.failures.machines_per_day),
            ("restarts_per_day", self.failures.restarts_per_day),
        ];
        let times = [
            ("longest_round_trip", self.fleet.longest_round_trip),
            ("added_p99", self.calls.added_p99),
            ("deadline", self.calls.deadline),
            ("in_force_within", self.changes.in_force_within),
            ("equal_within", self.sidecar.equal_within),
            ("region_apart", self.failures.region_apart),
            ("restart_cycle", self.release.restart_cycle),
        ];
        let share = shares.into_iter().find(|(_, value)| !(*value > 0.0 && *value <= 1.0));
        let figure = figures.into_iter().find(|(_, value)| !(value.is_finite() && *value > 0.0));
        let time = times.into_iter().find(|(_, time)| time.exact().is_zero());
        let share = share.map(|(field, _)| (field, "must be over 0 and at most 1"));
        let figure = figure.map(|(field, _)| (field, "must be finite and over 0"));
        share.or(figure).or(time.map(|(field, _)| (field, "must be over 0")))
    }
}

/// The byte at which a field's line begins; field names are unique in this file.
fn position(text: &str, field: &str) -> usize {
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        if key_at(line, 0) == field {
            return start;
        }
        start += line.len();
    }
    0
}
