//! The file: a `[fleet]` and its `[[fault]]`s, every figure exact or a range to draw from.

use crate::limits::Limits;
use crate::network::NetworkSection;
use cometcroft_tomlfile::{FileError, Span, Time};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// The script's name.
    pub name: String,
    /// Members; a command line may say another number.
    pub members: Span,
    /// Its zones, which members take in turn.
    pub zones: Vec<String>,
    /// How long it is played.
    pub length: Time,
    /// The longest pause that members are told to bear.
    pub longest_pause: Time,
    /// So many of the members are seeds, the first ones.
    pub seeds: Span,
    /// Members start within this time.
    pub start: Time,
    /// Requests a second on each member, on real processes.
    pub load: Span,
    /// The share of members that speak only the message format before; on the virtual clock alone, as one program has
    /// one set of formats.
    pub old: Span,
    /// The seed that it is played under if none is given.
    pub seed: Option<u64>,
    /// A budget that the members share.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetSection>,
    /// A plan that the members agree on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub plan: Option<PlanSection>,
}

/// A plan that the members agree on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSection {
    /// So many of the first members are keepers: 3, 5 or 7.
    pub keepers: usize,
}

/// What an operator says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Say {
    /// The log begins anew.
    Refound,
    /// A new revision for all.
    Propose,
    /// A past one put back.
    Rollback,
    /// A new one in waves.
    Release,
    /// No permit and no wave from here on.
    Halt,
    /// The end of that.
    Resume,
    /// The way back.
    Back,
    /// A backend server is to be drained.
    Drain,
    /// The door's own sidecar wants to restart.
    Restart,
    /// A permit is given back.
    Return,
    /// A permit counts as clear.
    Force,
}

/// `[[word]]`: an operator's word at a door.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WordSection {
    /// What.
    pub say: Say,
    /// When.
    pub at: Time,
    /// At whose door: a name, or drawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub door: Option<String>,
    /// How often, at doors drawn anew ...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Span>,
    /// ... and so long one after another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every: Option<Time>,
    /// A revision's text, to which the word's number is added.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
    /// A revision, or a permit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<u32>,
    /// A backend server.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub server: String,
    /// Shares in thousandths.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waves: Vec<u16>,
}

/// A rate and a level that the members share, and their need of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetSection {
    /// So many of the first members are keepers.
    pub keepers: Span,
    /// For how long a part is lent.
    pub lease: Time,
    /// The whole of the rate, a second ...
    pub rate: Span,
    /// ... and its burst.
    pub burst: Span,
    /// The whole of the level.
    pub level: Span,
    /// The longest use of it.
    pub longest: Time,
    /// The floor of each of the first members, of the rate.
    pub floor: Span,
    /// What each member needs, a second.
    pub demand: Span,
    /// One has so many times that need, ...
    pub hot: Span,
    /// ... and after each of these another one.
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

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A process is stopped, and goes on after `for`.
    Pause,
    /// A process is killed for good.
    Kill,
    /// A process is killed and starts again `after` that, under its name and address.
    Restart,
    /// A process is asked to leave, and does not come back.
    Terminate,
    /// New members start.
    Join,
    /// A second process starts under a member's name, at an address of its own.
    Twin,
    /// A killed process' address is taken by a member of another name, `after` that.
    Usurp,
    /// Nothing passes from `from` to `to`.
    Cut,
    /// A `share` of the datagrams is lost.
    Loss,
    /// Datagrams are `delay` later, and up to `jitter` more, so that they overtake one another.
    Late,
    /// A `share` of the datagrams arrives twice.
    Copies,
    /// In a `share` of the datagrams a byte is turned over.
    Turned,
    /// The fleet falls into sides of these `sides`, as shares; nothing passes between them.
    Split,
    /// A zone is cut off from the others.
    Zone,
    /// A region is cut off from the others.
    Region,
    /// So many datagrams a second that make no sense come to a member.
    Garbage,
    /// Connections are reset, open ones and new ones.
    Reset,
    /// Only `count` bytes a second pass; what waits for over a second is lost.
    Throttle,
    /// A process shares its processor with `count` busy loops.
    Busy,
    /// A process may hold `count` descriptors at most.
    Descriptors,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// When.
    pub at: Time,
    /// For how long.
    #[serde(rename = "for", default, skip_serializing_if = "Option::is_none")]
    pub lasting: Option<Time>,
    /// How often it comes, each drawn anew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Span>,
    /// So long after one ends the next begins, in place of drawn anew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every: Option<Time>,
    /// Whom it hits: a member's name, or all of a `zone:NAME`; drawn if neither this nor `share` is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// What share of the members it hits; for loss, copies and turned bytes the share of datagrams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Span>,
    /// Whose sending: a name, `zone:NAME`, `all` or `rest` (all but `to`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<String>,
    /// To whom, likewise (`rest`: all but `from`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
    /// Both directions.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub both: bool,
    /// Shares of the sides.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sides: Vec<f64>,
    /// So much later.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay: Option<Time>,
    /// And up to this much more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jitter: Option<Time>,
    /// So long after a kill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Time>,
    /// For a restart: the new file's longest pause, ...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_pause: Option<Time>,
    /// ... and its whole of the shared rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<Span>,
    /// How many: members that join, datagrams a second of garbage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<Span>,
}

/// A script.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The fleet.
    pub fleet: FleetSection,
    /// Its regions, if it has any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub network: Option<NetworkSection>,
    /// What a member may send and receive.
    #[serde(default, skip_serializing_if = "Limits::is_empty")]
    pub limits: Limits,
    /// What goes wrong.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
    /// What operators say.
    #[serde(rename = "word", default, skip_serializing_if = "Vec::is_empty")]
    pub words: Vec<WordSection>,
    /// The lines on which the faults stand.
    #[serde(skip)]
    pub lines: Vec<usize>,
}

/// Members of a fleet at most.
const MOST_MEMBERS: f64 = 4000.0;

/// Scripts of these names: name and text.
macro_rules! scripts {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../scripts/", $name, ".toml")))),*]
    };
}

/// The scripts that come with the program, for the virtual clock and for real processes: name and text.
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

/// Scripts for fleets of any size, up to thousands of members, on the virtual clock alone: name and text.
pub const SIZED: &[(&str, &str)] =
    scripts!["size-rest", "size-start", "size-restart", "size-zone-lost", "size-region-apart"];

impl Script {
    /// Reads a script; `file` is only named in errors.
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

    /// A shipped script by its name, or else one in a file of that path.
    pub fn find(name: &str) -> Result<Script, FileError> {
        match SHIPPED.iter().chain(SIZED).find(|(shipped, _)| *shipped == name) {
            Some((_, text)) => Script::parse(text, name),
            None => {
                let text = std::fs::read_to_string(Path::new(name)).map_err(|e| FileError::new(name, e))?;
                Script::parse(&text, name)
            }
        }
    }

    /// What no single field shows: which fault, the field, the reason.
    fn check(&self) -> Result<(), (Option<usize>, &'static str, &'static str)> {
        let fleet = &self.fleet;
        if fleet.members.0 < 1.0 || fleet.members.1 > MOST_MEMBERS {
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
            let wire = matches!(kind, Cut | Loss | Late | Copies | Turned | Reset | Throttle);
            let lasting =
                wire || matches!(kind, Pause | Split | Zone | Region | Garbage | Busy | Descriptors);
            need("for", fault.lasting.is_some(), lasting)?;
            need("from", fault.from.is_some(), wire)?;
            need("to", fault.to.is_some(), wire)?;
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
