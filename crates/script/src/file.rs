//! The script file: a `[fleet]` and its `[[fault]]`s. Every number is exact or a range to draw from.

use crate::limits::Limits;
use crate::network::NetworkSection;
use cometcroft_tomlfile::{FileError, Span, Time};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// `[fleet]`: the members of the fleet and the length of the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// Name of the script.
    pub name: String,
    /// Number of members; a command line may override it.
    pub members: Span,
    /// Zones, assigned to the members in rotation.
    pub zones: Vec<String>,
    /// Length of the run.
    pub length: Time,
    /// The longest pause that the members are configured to tolerate.
    pub longest_pause: Time,
    /// Number of seeds; the first members are the seeds.
    pub seeds: Span,
    /// Time within which the members start.
    pub start: Time,
    /// Requests per second on each member; real processes only.
    pub load: Span,
    /// Share of members that speak only the previous message format. Virtual clock only, because one program has
    /// one set of formats.
    pub old: Span,
    /// Seed of the run if the command line gives none.
    pub seed: Option<u64>,
    /// Budget that the members share.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetSection>,
    /// Plan that the members agree on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub plan: Option<PlanSection>,
}

/// `[fleet.plan]`: a plan that the members agree on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSection {
    /// Number of voters, which are the first members: 3, 5 or 7.
    pub keepers: usize,
}

/// Kind of an operator command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Say", rename_all = "kebab-case")]
pub enum CommandKind {
    /// Bootstrap the log anew.
    Refound,
    /// Propose a new revision for all members.
    Propose,
    /// Restore an earlier revision.
    Rollback,
    /// Release a new revision in waves.
    Release,
    /// Halt: grant no permit and begin no wave until resumed.
    Halt,
    /// Lift a halt.
    Resume,
    /// Roll back the current release.
    Back,
    /// Drain an endpoint.
    Drain,
    /// Request a restart permit for the sidecar that receives the command.
    Restart,
    /// Return a permit.
    Return,
    /// Treat a permit as clear.
    Force,
}

/// `[[word]]`: a command that an operator sends to an operations endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename = "WordSection", deny_unknown_fields)]
pub struct CommandSection {
    /// Kind of the command.
    pub say: CommandKind,
    /// Time of the first command.
    pub at: Time,
    /// Name of the member that receives the command; drawn if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub door: Option<String>,
    /// Number of times that the command is sent; a receiver that is not named is drawn anew each time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Span>,
    /// Interval between two commands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every: Option<Time>,
    /// Text of a revision; a comment that makes it unique is appended.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
    /// Number of a revision or of a permit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<u32>,
    /// Name of an endpoint.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub server: String,
    /// Sizes of the waves, in thousandths of the fleet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waves: Vec<u16>,
}

/// `[fleet.budget]`: a rate limit and a concurrency limit that the members share, and their demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetSection {
    /// Number of voters, which are the first members.
    pub keepers: Span,
    /// Duration of a lease.
    pub lease: Time,
    /// Rate limit of the whole fleet, per second.
    pub rate: Span,
    /// Burst of the rate limit.
    pub burst: Span,
    /// Concurrency limit of the whole fleet.
    pub level: Span,
    /// The longest time for which one use of the concurrency limit is held.
    pub longest: Time,
    /// Guaranteed share of the rate limit for each of the first members.
    pub floor: Span,
    /// Demand of each member, per second.
    pub demand: Span,
    /// Factor by which the demand of one member, the hot one, is higher.
    pub hot: Span,
    /// Interval after which another member becomes the hot one.
    pub moves: Time,
}

impl Default for BudgetSection {
    fn default() -> BudgetSection {
        BudgetSection {
            keepers: Span(3.0, 3.0),
            lease: Time(2.0, 2.0),
            rate: Span(100.0, 100.0),
            burst: Span(50.0, 50.0),
            level: Span(20.0, 20.0),
            longest: Time(0.4, 0.4),
            floor: Span(0.0, 0.0),
            demand: Span(20.0, 20.0),
            hot: Span(4.0, 4.0),
            moves: Time(5.0, 5.0),
        }
    }
}

impl Default for FleetSection {
    fn default() -> FleetSection {
        FleetSection {
            name: String::new(),
            members: Span(5.0, 5.0),
            zones: vec!["a".into(), "b".into()],
            length: Time(20.0, 20.0),
            longest_pause: Time(2.0, 2.0),
            seeds: Span(2.0, 2.0),
            start: Time(0.0, 0.3),
            load: Span(10.0, 10.0),
            old: Span(0.0, 0.0),
            seed: None,
            budget: None,
            plan: None,
        }
    }
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Stops a process and continues it after `for`.
    Pause,
    /// Kills a process for good.
    Kill,
    /// Kills a process and starts it again `after` that time, with the same name and address.
    Restart,
    /// Asks a process to leave; it does not come back.
    Terminate,
    /// Starts new members.
    Join,
    /// Starts a second process with the name of a member, at an address of its own.
    Twin,
    /// Kills a process; a member of another name takes its address `after` that time.
    Usurp,
    /// Drops all traffic from `from` to `to`.
    Cut,
    /// Drops a `share` of the datagrams.
    Loss,
    /// Delays datagrams by `delay` and up to `jitter` more, so that they are reordered.
    Late,
    /// Duplicates a `share` of the datagrams.
    Copies,
    /// Corrupts one byte in a `share` of the datagrams.
    Turned,
    /// Partitions the fleet into groups of the relative sizes `sides`; no traffic passes between them.
    Split,
    /// Partitions a zone from the others.
    Zone,
    /// Partitions a region from the others.
    Region,
    /// Sends `count` invalid datagrams per second to a member.
    Garbage,
    /// Resets connections, both open and new ones.
    Reset,
    /// Limits traffic to `count` bytes per second; data that would wait for more than a second is dropped.
    Throttle,
    /// Runs `count` busy loops on the processor of a process.
    Busy,
    /// Limits a process to `count` file descriptors.
    Descriptors,
}

/// `[[fault]]`: a fault that is injected into the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: Kind,
    /// Time at which the fault begins.
    pub at: Time,
    /// Duration of the fault.
    #[serde(rename = "for", default, skip_serializing_if = "Option::is_none")]
    pub lasting: Option<Time>,
    /// Number of occurrences; each is drawn anew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Span>,
    /// Interval between the end of one occurrence and the beginning of the next; without it, each begins at a time
    /// drawn from `at`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every: Option<Time>,
    /// Members affected: a member's name, or `zone:NAME` for all members of a zone; drawn if neither this nor
    /// `share` is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Share of the members affected; for loss, duplication and corruption, the share of datagrams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Span>,
    /// Senders affected: a name, `zone:NAME`, `all`, `one`, `seeds`, `keepers` or `rest` (all but `to`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<String>,
    /// Receivers affected, in the same notation (`rest`: all but `from`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
    /// Applies the fault in both directions.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub both: bool,
    /// Relative sizes of the groups of a split.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sides: Vec<f64>,
    /// Minimum added delay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay: Option<Time>,
    /// Maximum further delay beyond `delay`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jitter: Option<Time>,
    /// Time between a kill and the start that follows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Time>,
    /// Longest tolerated pause in the settings file that a restarted process reads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_pause: Option<Time>,
    /// Rate limit of the fleet in the settings file that a restarted process reads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<Span>,
    /// Kind-specific number: members that join, invalid datagrams per second, bytes per second, busy loops or
    /// descriptors.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<Span>,
}

/// A fault script.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The fleet.
    pub fleet: FleetSection,
    /// Regions and the links between zones, if given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub network: Option<NetworkSection>,
    /// Limits on the traffic of a member.
    #[serde(default, skip_serializing_if = "Limits::is_empty")]
    pub limits: Limits,
    /// Faults to inject.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
    /// Commands that operators send.
    #[serde(rename = "word", default, skip_serializing_if = "Vec::is_empty")]
    pub words: Vec<CommandSection>,
    /// Line numbers of the `[[fault]]` tables.
    #[serde(skip)]
    pub lines: Vec<usize>,
}

/// Maximum number of members of a fleet.
const MAX_MEMBERS: f64 = 4000.0;

/// Embeds the scripts of the given names, as pairs of name and text.
macro_rules! scripts {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../scripts/", $name, ".toml")))),*]
    };
}

/// Scripts that come with the program, for the virtual clock and for real processes, as pairs of name and text.
pub const SHIPPED: &[(&str, &str)] = scripts![
    "calm",
    "pauses",
    "long-pause",
    "third-paused",
    "kill",
    "leave",
    "restarts",
    "loss",
    "jumbled",
    "late-words",
    "one-pair",
    "mute",
    "deaf",
    "split",
    "split-three",
    "split-again",
    "flapping-zone",
    "seeds-cut-off",
    "one-seed-up",
    "twin",
    "usurped",
    "garbage",
    "half-gone",
    "doubled",
    "resets",
    "throttled",
    "busy",
    "descriptors",
    "other-file",
    "budget-two-files",
    "budget-hot-place",
    "budget-holders-paused",
    "budget-divider-paused",
    "budget-keepers-in-turn",
    "budget-keepers-at-once",
    "budget-keepers-cut-off",
    "budget-one-way",
    "budget-split",
    "budget-late-words",
    "budget-lossy",
    "budget-restarts",
    "budget-gone-and-back",
    "budget-twin",
    "budget-evening",
    "plan-calm",
    "plan-leader-killed",
    "plan-leader-paused",
    "plan-keepers-in-turn",
    "plan-keepers-lost",
    "plan-split",
    "plan-one-way",
    "plan-lossy",
    "plan-late-words",
    "plan-drain-cut-off",
    "plan-release-halted",
    "plan-two-operators",
    "plan-restarts-by-permit",
    "plan-evening",
];

/// Scripts for fleets of any size, up to thousands of members, as pairs of name and text. Virtual clock only.
pub const SIZED: &[(&str, &str)] =
    scripts!["size-rest", "size-start", "size-restart", "size-zone-lost", "size-region-apart"];

impl Script {
    /// Parses a script; `file` is used only in error messages.
    pub fn parse(text: &str, file: &str) -> Result<Script, FileError> {
        let mut script: Script = cometcroft_tomlfile::read(text, file)?;
        let places: Vec<usize> = text.match_indices("[[fault]]").map(|(at, _)| at).collect();
        let line = |at: usize| text[..at].matches('\n').count() + 1;
        script.lines = places.iter().map(|&at| line(at)).collect();
        script.check().map_err(|(fault, field, reason)| {
            let table = fault.and_then(|i| places.get(i).copied()).unwrap_or(0);
            let at = text[table..].find(&format!("\n{field}")).map_or(table, |at| table + at + 1);
            FileError::at(file, text, at, field, reason)
        })?;
        Ok(script)
    }

    /// Returns the embedded script of this name, or else reads the file at this path.
    pub fn find(name: &str) -> Result<Script, FileError> {
        match SHIPPED.iter().chain(SIZED).find(|(shipped, _)| *shipped == name) {
            Some((_, text)) => Script::parse(text, name),
            None => {
                let text = std::fs::read_to_string(Path::new(name)).map_err(|e| FileError::new(name, e))?;
                Script::parse(&text, name)
            }
        }
    }

    /// Checks constraints that span several fields. An error holds the index of the fault, the field and the
    /// reason.
    fn check(&self) -> Result<(), (Option<usize>, &'static str, &'static str)> {
        let fleet = &self.fleet;
        if fleet.members.0 < 1.0 || fleet.members.1 > MAX_MEMBERS {
            return Err((None, "members", "must be between 1 and 4000"));
        }
        if fleet.zones.is_empty() {
            return Err((None, "zones", "must not be empty"));
        }
        if fleet.seeds.0 < 1.0 {
            return Err((None, "seeds", "must be at least 1"));
        }
        if fleet.longest_pause.0 < 0.1 {
            return Err((None, "longest_pause", "must be at least 100ms"));
        }
        if let Some(budget) = &fleet.budget {
            if budget.lease.0 < 0.2 {
                return Err((None, "lease", "must be at least 200ms"));
            }
            if budget.rate.0 <= 0.0 || budget.burst.0 < 1.0 || budget.level.0 < 1.0 {
                return Err((None, "rate", "rate, burst and level must be over 0"));
            }
        }
        if !self.words.is_empty() && fleet.plan.is_none() {
            return Err((None, "plan", "words need a [fleet.plan]"));
        }
        if fleet.plan.as_ref().is_some_and(|plan| ![3, 5, 7].contains(&plan.keepers)) {
            return Err((None, "keepers", "must be 3, 5 or 7"));
        }
        if let Some(network) = &self.network {
            network.check(&fleet.zones).map_err(|(field, reason)| (None, field, reason))?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            use Kind::*;
            let kind = fault.kind;
            let need = |field, has: bool, wanted: bool| match (has, wanted) {
                (true, false) => Err((Some(i), field, "this kind of fault has none")),
                (false, true) => Err((Some(i), field, "this kind of fault needs it")),
                _ => Ok(()),
            };
            let on_link = matches!(kind, Cut | Loss | Late | Copies | Turned | Reset | Throttle);
            let lasting =
                on_link || matches!(kind, Pause | Split | Zone | Region | Garbage | Busy | Descriptors);
            need("for", fault.lasting.is_some(), lasting)?;
            need("from", fault.from.is_some(), on_link)?;
            need("to", fault.to.is_some(), on_link)?;
            need("sides", !fault.sides.is_empty(), kind == Split)?;
            need("after", fault.after.is_some(), matches!(kind, Restart | Usurp))?;
            if !matches!(kind, Busy | Descriptors) {
                need("count", fault.count.is_some(), matches!(kind, Join | Garbage | Throttle))?;
            }
            if kind != Restart {
                need("longest_pause", fault.longest_pause.is_some(), false)?;
                need("rate", fault.rate.is_some(), false)?;
            }
            if kind == Busy && fault.count.is_some_and(|count| count.1 > 8.0) {
                return Err((Some(i), "count", "is at most 8 busy loops"));
            }
            need("delay", fault.delay.is_some(), kind == Late)?;
            if fault.jitter.is_some() && kind != Late {
                return Err((Some(i), "jitter", "this kind of fault has none"));
            }
            if matches!(kind, Loss | Copies | Turned) {
                need("share", fault.share.is_some(), true)?;
            }
            if fault.share.is_some_and(|share| share.1 > 1.0) {
                return Err((Some(i), "share", "is at most 1"));
            }
            if kind == Zone && !fault.target.as_ref().is_some_and(|zone| fleet.zones.contains(zone)) {
                return Err((Some(i), "target", "must name one of the zones"));
            }
            let region = |name: &String| {
                self.network.as_ref().is_some_and(|network| network.regions.contains_key(name))
            };
            if kind == Region && !fault.target.as_ref().is_some_and(region) {
                return Err((Some(i), "target", "must name one of the regions"));
            }
            let zone = fault.target.as_deref().and_then(|target| target.strip_prefix("zone:"));
            if zone.is_some_and(|zone| !fleet.zones.iter().any(|known| known == zone)) {
                return Err((Some(i), "target", "must name one of the zones"));
            }
            if kind == Split && (fault.sides.len() < 2 || fault.sides.iter().any(|s| *s <= 0.0)) {
                return Err((Some(i), "sides", "wants two shares at least, all over 0"));
            }
        }
        Ok(())
    }
}
