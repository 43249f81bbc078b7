//! The target file: the size, the load and the limits to plan for.

use cometcroft_tomlfile::{FileError, Time, key_at};
use serde::Deserialize;

/// The contents of the target file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Size of the fleet.
    pub fleet: FleetSize,
    /// Requests between services.
    pub calls: Calls,
    /// Changes of the configuration.
    pub changes: Changes,
    /// Limits of what a sidecar may use for control.
    pub sidecar: SidecarLimits,
    /// Failure rates of parts of the fleet.
    pub failures: Failures,
    /// How a release restarts sidecars.
    pub release: Release,
}

/// Size of the fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Number of sidecars, one per endpoint.
    pub sidecars: u32,
    /// Number of services that the endpoints belong to.
    pub services: u32,
    /// Number of availability zones.
    pub zones: u32,
    /// Number of regions that the zones belong to.
    pub regions: u32,
    /// Number of machines dedicated to control.
    pub control_machines: u32,
    /// Longest round-trip time between two regions.
    pub longest_round_trip: Time,
}

/// Requests of the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Requests per second.
    pub per_second: f64,
    /// Number of hops of the deepest call chain.
    pub depth: u32,
    /// Latency that the sidecar may add to a request, at the 99th percentile.
    pub added_p99: Time,
    /// Deadline that the client at the start of a chain sets.
    pub deadline: Time,
    /// Maximum number of attempts per request at a hop.
    pub attempts: u32,
    /// Retries per first attempt that a rule of the plan permits.
    pub retry_share: f64,
    /// Retries per second that a rule of the plan permits over the whole fleet.
    pub retry_ceiling: f64,
}

/// Changes of the configuration.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Changes per day.
    pub per_day: f64,
    /// Time until a change is in force everywhere.
    pub in_force_within: Time,
}

/// Limits of what a sidecar may use for control.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarLimits {
    /// Share of one processor core.
    pub core_share: f64,
    /// Bytes of memory.
    pub memory_bytes: f64,
    /// Bytes per second, received and sent together.
    pub bytes_per_second: f64,
    /// Time until all views are equal again after a region has come back.
    pub equal_within: Time,
}

/// Failure rates of parts of the fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines lost per day.
    pub machines_per_day: f64,
    /// Restarts of sidecars per day.
    pub restarts_per_day: f64,
    /// Time for which a region stays cut off.
    pub region_apart: Time,
}

/// How a release restarts sidecars.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Assumed time from the grant of a permit until its sidecar is ready again and the permit is returned.
    pub restart_cycle: Time,
    /// Share of a zone's sidecars that may be out at once.
    pub out_share: f64,
}

impl Target {
    /// Parses the text of a target file; `file` is its name for error messages.
    pub fn parse(text: &str, file: &str) -> Result<Target, FileError> {
        let target: Target = cometcroft_tomlfile::read(text, file)?;
        match target.first_invalid_field() {
            None => Ok(target),
            Some((field, reason)) => Err(FileError::at(file, text, position(text, field), field, reason)),
        }
    }

    /// The first field with an invalid value, and the reason.
    fn first_invalid_field(&self) -> Option<(&'static str, &'static str)> {
        self.invalid_count().or_else(|| self.invalid_order()).or_else(|| self.invalid_figure())
    }

    fn invalid_count(&self) -> Option<(&'static str, &'static str)> {
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

    fn invalid_order(&self) -> Option<(&'static str, &'static str)> {
        let fleet = &self.fleet;
        let ordered = [
            ("services", fleet.services <= fleet.sidecars, "must not exceed sidecars"),
            ("zones", fleet.zones <= fleet.sidecars, "must not exceed sidecars"),
            ("regions", fleet.regions <= fleet.zones, "must not exceed zones"),
        ];
        ordered.into_iter().find(|(_, holds, _)| !holds).map(|(field, _, reason)| (field, reason))
    }

    fn invalid_figure(&self) -> Option<(&'static str, &'static str)> {
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

/// Byte offset of the line that sets a field, which is unambiguous because field names are unique in a target file.
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
