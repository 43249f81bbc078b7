//! The measured data as typed JSON: one record per simulated fleet run, and one per benchmark of the module.

use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// A data file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dataset {
    /// Fleet runs on the virtual clock.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fleets: Vec<FleetRecord>,
    /// Benchmarks of the module's endpoint list at several lengths.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub module: Vec<ModuleRecord>,
}

/// The situation in which a fleet is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Moment {
    /// All members start at once; then nothing happens.
    Rest,
    /// Like `Rest`, with the default budget lease of the operator file.
    RestLongLease,
    /// Revisions of the plan are agreed.
    Change,
    /// One member is killed and starts again.
    Restart,
    /// One member is killed and does not come back.
    MachineLost,
    /// One zone of 17 is cut off and comes back.
    ZoneBack,
    /// A fifth of the members is cut off and comes back.
    RegionBack,
    /// A revision is released in waves.
    Release,
}

impl Moment {
    /// All moments.
    pub const ALL: [Moment; 8] = [
        Moment::Rest,
        Moment::RestLongLease,
        Moment::Change,
        Moment::Restart,
        Moment::MachineLost,
        Moment::ZoneBack,
        Moment::RegionBack,
        Moment::Release,
    ];

    /// The name in data files and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Moment::Rest => "rest",
            Moment::RestLongLease => "rest-long-lease",
            Moment::Change => "change",
            Moment::Restart => "restart",
            Moment::MachineLost => "machine-lost",
            Moment::ZoneBack => "zone-back",
            Moment::RegionBack => "region-back",
            Moment::Release => "release",
        }
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What a member does for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A sidecar with no other role.
    Sidecar,
    /// A voter of the plan or the budget.
    Voter,
    /// The leader of the plan.
    Leader,
    /// The allocator of the budget.
    BudgetAllocator,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 4] = [Role::Sidecar, Role::Voter, Role::Leader, Role::BudgetAllocator];

    /// The name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::Sidecar => "sidecar",
            Role::Voter => "voter",
            Role::Leader => "leader",
            Role::BudgetAllocator => "budget allocator",
        }
    }

    /// Whether dedicated control machines could take the role over from the sidecars.
    pub fn can_move_to_control_machine(self) -> bool {
        self != Role::Sidecar
    }
}

/// A kind of traffic between members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Traffic {
    /// All kinds together.
    All,
    /// Membership protocol, datagrams.
    MembershipDatagram,
    /// Membership protocol, exchanges of whole views over connections.
    MembershipStream,
    /// Budget protocol.
    Budget,
    /// Plan protocol, datagrams.
    PlanDatagram,
    /// Plan protocol, connections.
    PlanStream,
    /// Traffic that belongs to none of the protocols.
    Unknown,
}

impl Traffic {
    /// Name on the page of the mechanism that sends the traffic.
    pub fn mechanism(self) -> &'static str {
        match self {
            Traffic::All => "all kinds",
            Traffic::MembershipDatagram => "membership: probes and gossip",
            Traffic::MembershipStream => "membership: exchanges of whole views",
            Traffic::Budget => "budget: each holder asks the allocator",
            Traffic::PlanDatagram => "plan: status reports to each voter, gossip, agreement",
            Traffic::PlanStream => "plan: snapshots over connections",
            Traffic::Unknown => "other",
        }
    }
}

/// The part of a run that a figure covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Period {
    /// The whole run, including the start.
    Whole,
    /// The last seconds of the run, long after the start and any fault.
    Steady,
}

/// Distribution of a figure over the members of a role; `[median, p99, max]` in data files.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 3]", into = "[f64; 3]")]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl From<[f64; 3]> for Spread {
    fn from([median, p99, max]: [f64; 3]) -> Spread {
        Spread { median, p99, max }
    }
}

impl From<Spread> for [f64; 3] {
    fn from(spread: Spread) -> [f64; 3] {
        [spread.median, spread.p99, spread.max]
    }
}

/// Traffic of one role: received and sent together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleRecord {
    /// The role.
    pub role: Role,
    /// The part of the run.
    pub period: Period,
    /// The kind of traffic.
    pub traffic: Traffic,
    /// Number of members with the role.
    pub members: usize,
    /// Bytes per second.
    pub bytes_s: Spread,
    /// Messages per second.
    pub messages_s: Spread,
    /// Bytes in the ten seconds with the most traffic.
    pub worst_ten_seconds_bytes: Spread,
}

/// One run of a simulated fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRecord {
    /// The situation that was measured.
    pub moment: Moment,
    /// Number of members at the start.
    pub members: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run in seconds of the virtual clock.
    pub seconds: f64,
    /// Number of violations that the checker found.
    #[serde(rename = "broken_rules")]
    pub violations: usize,
    /// Mean bytes per second that a member sends over the whole run.
    pub mean_sent_bytes_s: f64,
    /// Seconds from the last fault (or the start) until all views were equal; `None` if they never were.
    pub equal_s: Option<f64>,
    /// Longest time in seconds from when an entry was first seen until it was in force everywhere.
    pub in_force_s: Option<f64>,
    /// Seconds from the last action of the script until all entries of the plan were in force at all members; `None` if
    /// they never were.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agreed_s: Option<f64>,
    /// Traffic by role, period and kind.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub roles: Vec<RoleRecord>,
}

impl FleetRecord {
    /// Traffic of a kind that a role had in a period.
    pub fn role(&self, role: Role, period: Period, traffic: Traffic) -> Option<&RoleRecord> {
        let wanted = (role, period, traffic);
        self.roles.iter().find(|record| (record.role, record.period, record.traffic) == wanted)
    }

    /// Mean number of bytes that a member sent over the whole run.
    pub fn mean_sent_bytes(&self) -> f64 {
        self.mean_sent_bytes_s * self.seconds
    }
}

/// Benchmark of the module with one length of the endpoint list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModuleRecord {
    /// Number of endpoints in the list.
    #[serde(rename = "rows")]
    pub endpoints: u32,
    /// Median time of a refresh in nanoseconds.
    pub refresh_ns: f64,
    /// Median time of a request, from its start to its outcome, in nanoseconds.
    pub call_ns: f64,
    /// Bytes of heap that the module holds.
    pub heap_bytes: f64,
}

/// A data file that cannot be read.
#[derive(Debug, Error)]
#[error("{file}:{line}:{column}: {field}: {reason}")]
pub struct DataError {
    file: String,
    line: usize,
    column: usize,
    field: String,
    reason: String,
}

impl Dataset {
    /// Parses the text of a data file; `file` is its name for error messages.
    pub fn parse(text: &str, file: &str) -> Result<Dataset, DataError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let dataset: Dataset =
            serde_path_to_error::deserialize(&mut json).map_err(|error| DataError::new(file, &error))?;
        json.end().map_err(|error| DataError::at(file, ".", &error))?;
        Ok(dataset)
    }

    /// Formats the dataset as a data file, with one record per line.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let fleets = lines(&self.fleets)?;
        let module = lines(&self.module)?;
        let sections = [("fleets", fleets), ("module", module)];
        let non_empty = sections.into_iter().filter(|(_, lines)| !lines.is_empty());
        let texts: Vec<String> =
            non_empty.map(|(name, lines)| format!("\"{name}\": [\n{lines}\n]")).collect();
        Ok(format!("{{{}}}\n", texts.join(",\n")))
    }

    /// Adds the records of another dataset.
    pub fn merge(&mut self, other: Dataset) {
        self.fleets.extend(other.fleets);
        self.module.extend(other.module);
    }

    /// Sorts the records, so that their order does not depend on the order of the measurements.
    pub fn sort(&mut self) {
        self.fleets.sort_by_key(|record| (record.moment, record.members, record.seed));
        self.module.sort_by_key(|record| record.endpoints);
    }

    /// Number of members of the largest fleet that was measured in a moment.
    pub fn largest_fleet(&self, moment: Moment) -> usize {
        let of_moment = self.fleets.iter().filter(|record| record.moment == moment);
        of_moment.map(|record| record.members).max().unwrap_or(0)
    }
}

fn lines<T: Serialize>(records: &[T]) -> Result<String, serde_json::Error> {
    let lines = records.iter().map(serde_json::to_string).collect::<Result<Vec<_>, _>>()?;
    Ok(lines.join(",\n"))
}

impl DataError {
    fn new(file: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> DataError {
        DataError::at(file, &error.path().to_string(), error.inner())
    }

    fn at(file: &str, field: &str, error: &serde_json::Error) -> DataError {
        let text = error.to_string().replace('\n', " ");
        // `DataError` shows the position before the reason.
        let position = format!(" at line {} column {}", error.line(), error.column());
        let reason = text.strip_suffix(&position).unwrap_or(&text).to_owned();
        DataError {
            file: file.to_owned(),
            line: error.line(),
            column: error.column(),
            field: field.to_owned(),
            reason,
        }
    }
}
