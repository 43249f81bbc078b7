//! Scenarios: the documented TOML file that says what a run is made of, as ranges to draw from or as figures.
//!
//! Every error is one line: file, line, column, field, reason. `docs/scenarios.md` is the reference.

use cometcroft_tomlfile::line_and_column;
pub use cometcroft_tomlfile::{Span, Time};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

const fn s(v: f64) -> Time {
    Time(v, v)
}

const fn n(v: f64) -> Span {
    Span(v, v)
}

macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident : $ty:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$fdoc])* pub $field: $ty,)* }

        impl Default for $name {
            fn default() -> $name { $name { $($field: $default,)* } }
        }
    };
}

mod delivery;

pub use delivery::DeliverySection;

section! {
    /// `[day]`: the run as a whole.
    DaySection {
        /// A word for tables.
        name: String = "day".to_owned(),
        /// How long clients send first tries.
        length: Time = s(50.0),
        /// If set, the seed that the script belongs to; `--seed` goes before it.
        seed: Option<u64> = None,
        /// The zones' names.
        zones: Vec<String> = vec!["plateau".into(), "pikine".into(), "diamniadio".into()],
    }
}

section! {
    /// `[links]`: one-way times of the network.
    LinkSection {
        /// On one machine.
        local: Time = s(0.000_03),
        /// Within a zone.
        same: Time = Time(0.000_15, 0.000_31),
        /// Between zones.
        cross: Time = Time(0.000_42, 0.000_78),
        /// Between clients and the front tier's sidecars.
        client: Time = Time(0.000_25, 0.001_1),
        /// Share of a time that varies from message to message.
        jitter: Span = Span(0.066, 0.34),
    }
}

section! {
    /// `[sidecars]`: those of the first tier.
    SidecarSection {
        /// How many.
        count: Span = n(3.0),
        /// Descriptors of each.
        sockets: Span = n(1024.0),
        /// Their zones, one each; the zones in turn if not given.
        zones: Option<Vec<String>> = None,
        /// Share that starts with the list as last held.
        known: Span = n(1.0),
        /// Processor time that a megabyte of discovery's answers takes.
        read: Time = s(0.0),
    }
}

section! {
    /// `[clients]`: who sends requests.
    ClientSection {
        /// First tries a second.
        rate: Span = n(60.0),
        /// Rate at the end beside that at the start (1: steady).
        ramp: Span = n(1.0),
        /// Share of the traffic that the busiest zone gets on top of an even share.
        skew: Span = n(0.2),
        /// Shares of the zones, in their order, in place of `skew`.
        zone_shares: Option<Vec<f64>> = None,
        /// Further tries that a client makes by itself, on average.
        retries: Span = Span(0.0, 1.0),
        /// Share of its deadline that a try is given.
        try_share: Span = Span(0.7, 1.0),
        /// Wait before a further try.
        backoff: Time = Time(0.032, 0.26),
        /// Share of clients that wait as `Retry-After` says.
        honour: Span = Span(0.8, 1.0),
        /// Share of first tries whose client leaves early, at a random moment.
        impatient: Span = Span(0.0, 0.01),
        /// When such a client leaves after its send; if not given, at any moment of its time.
        leaves: Option<Time> = None,
        /// Share of requests that come on a connection of their own.
        fresh: Span = n(0.02),
        /// Bad clients a second: what they send is drawn from everything that can't be a request.
        bad: Span = n(0.0),
    }
}

section! {
    /// `[discovery]`: the list of nodes.
    DiscoverySection {
        /// How long after a change it is known there.
        notice: Time = Time(0.89, 4.5),
        /// How long after a machine vanished this is known there.
        silent_notice: Time = Time(5.4, 12.0),
        /// Calls that it answers at once.
        capacity: Span = Span(3.0, 5.0),
        /// What a call takes it.
        call: Time = Time(0.005, 0.02),
        /// A call that has waited longer is refused.
        patience: Time = s(1.0),
        /// The longest time until a changed list goes out.
        period: Time = Time(0.44, 1.4),
        /// Rows of service a second, one call after another; with 0 rows cost nothing, and `capacity` and `call` hold.
        rows: Span = n(0.0),
        /// What a call costs beside the rows that it is answered with, in rows.
        call_rows: Span = n(0.0),
        /// Versions whose changes are told; who asks from an older one is answered with the whole list.
        history: Span = n(64.0),
        /// A call so soon after the answer before it on its connection continues a watch and does not queue; with 0 all do.
        continues: Time = s(0.0),
    }
}

section! {
    /// `[rules]`: the figures that the judge holds the sidecars to.
    RuleSection {
        /// Time after a notice within which sends to a draining node cease.
        drain_grace: Time = s(0.25),
        /// So much later a first byte still counts as sent within the grace.
        drain_slack: Time = s(0.0),
        /// A change counts as told at the latest so long after discovery had it and could be reached; with 0 only what was
        /// delivered counts.
        told_within: Time = s(0.0),
        /// A cold node sent more than this multiple of its capacity ...
        fall_multiple: Span = n(3.0),
        /// ... for this long falls over.
        fall_after: Time = s(1.5),
        /// A sidecar must ask for news within this time.
        ask_within: Time = s(6.0),
        /// Attempts of one request.
        max_attempts: Span = n(3.0),
        /// The longest advice on when to come again.
        max_retry_after: Time = s(3.0),
    }
}

/// What a repeat of a class does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EffectWord {
    /// Nothing.
    Safe,
    /// Nodes drop it for `window`.
    Keyed,
    /// It takes effect again.
    Unsafe,
}

/// `[[class]]`: a class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSection {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its share of the first tries, beside the other classes' figures.
    pub share: Span,
    /// The mean work of a request on a core of the yardstick's speed, over all tiers.
    pub work: Time,
    /// Standard deviation of the work over its mean (log-normal); 0: all alike.
    #[serde(default = "zero")]
    pub cv: Span,
    /// An answer within this time has the full worth.
    pub aim: Time,
    /// How long a client waits in all.
    pub deadline: Time,
    /// Worth of a request.
    pub worth: Span,
    /// Share of the worth that an answer after the aim has.
    pub late: Span,
    /// Whether it may run again.
    pub effect: EffectWord,
    /// For how long nodes drop a repeat of a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<Time>,
}

section! {
    /// `[tier.report]`: what nodes tell of their load when probed.
    ReportSection {
        /// Time between two refreshes.
        period: Time = Time(0.3, 1.5),
        /// A refresh is told so much later.
        delay: Time = Time(0.07, 0.49),
        /// Noise, as a share of the figure.
        noise: Span = Span(0.01, 0.05),
        /// What a probe costs.
        probe: Time = Time(0.0014, 0.0028),
    }
}

section! {
    /// `[tier.connections]`.
    ConnectionSection {
        /// Round trips that a handshake takes the first request.
        handshake_rtts: Span = Span(1.0, 3.0),
        /// Work that a handshake costs the node.
        handshake: Time = Time(0.0044, 0.008),
        /// A connection that has stood idle so long is closed.
        idle: Time = s(5.0),
        /// A sidecar gives up connecting after this time.
        connect_timeout: Time = s(0.2),
        /// Connections a core that a node holds.
        cap_per_core: Span = Span(600.0, 900.0),
    }
}

section! {
    /// `[tier.crowding]`: nodes that have far more waiting than cores turn slow until they have been idle.
    CrowdingSection {
        /// Share of nodes that do so.
        share: Span = n(0.0),
        /// Requests waiting a core.
        at: Span = Span(4.0, 7.0),
        /// For so long.
        over: Time = Time(1.5, 2.5),
        /// Then they are so many times slower ...
        slower: Span = Span(2.4, 3.4),
        /// ... until under this share of the cores was busy ...
        below: Span = Span(0.25, 0.4),
        /// ... for so long ...
        rest: Time = Time(2.7, 4.8),
        /// ... or so much time has passed.
        most: Time = Time(19.0, 31.0),
    }
}

/// Which work a cancel stops.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelWord {
    /// What waits.
    #[default]
    Queued,
    /// What runs, too.
    All,
}

/// `[[tier.kind]]`: a kind of node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSection {
    /// Its name; nodes are called `NAME-1` and so on.
    pub name: String,
    /// Its share of the tier, beside the other kinds' figures.
    pub share: Span,
    /// The zone that its nodes are in; the zones in turn if not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Cores.
    pub cores: Span,
    /// Speed of a core beside the yardstick's.
    pub speed: Span,
    /// Requests a core in work.
    #[serde(default = "slots")]
    pub slots_per_core: Span,
    /// Requests a core that may wait beyond that.
    #[serde(default = "queue")]
    pub queue_per_core: Span,
    /// Capacity just after a start.
    #[serde(default = "cold_from")]
    pub cold_from: Span,
    /// Time until it is warm.
    #[serde(default = "cold")]
    pub cold: Time,
    /// Share of requests that fail at once.
    #[serde(default = "errors")]
    pub errors: Span,
    /// Which work a cancel stops.
    #[serde(default)]
    pub cancel: CancelWord,
}

fn zero() -> Span {
    n(0.0)
}
fn slots() -> Span {
    Span(10.0, 24.0)
}
fn queue() -> Span {
    Span(1.1, 3.3)
}
fn cold_from() -> Span {
    Span(0.31, 0.6)
}
fn cold() -> Time {
    Time(3.4, 9.0)
}
fn errors() -> Span {
    Span(0.0, 0.001)
}

/// `[[tier]]`: a tier of nodes; the first one is the one that clients call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSection {
    /// Its name.
    pub name: String,
    /// How many nodes.
    pub nodes: Span,
    /// Share of a class's work that one call does here.
    pub work: Span,
    /// Calls that a request of the tier above makes here, one after another, on average.
    #[serde(default = "one")]
    pub calls: Span,
    /// Kinds of nodes.
    pub kind: Vec<KindSection>,
    /// Load reports.
    #[serde(default)]
    pub report: ReportSection,
    /// Connections.
    #[serde(default)]
    pub connections: ConnectionSection,
    /// Slowing down when crowded.
    #[serde(default)]
    pub crowding: CrowdingSection,
}

fn one() -> Span {
    n(1.0)
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes run `factor` times slower for a time.
    Slow,
    /// Nodes quickly fail a share `factor` of their requests for a time.
    FastErrors,
    /// Load reports arrive later, by `delay`, for a time.
    ReportLate,
    /// Traffic is `factor` times the usual for a time.
    Burst,
    /// One sidecar carries a share `factor` of all traffic for a time.
    HotCaller,
    /// The list of nodes runs `delay` further behind for a time.
    DiscoveryStale,
    /// Discovery is down for a time.
    DiscoveryDown,
    /// Discovery moves: every sidecar's file names another address and gets SIGHUP.
    DiscoveryMove,
    /// Every sidecar's file is broken and gets SIGHUP.
    BadFile,
    /// A node's process dies and comes back after `for`.
    NodeKill,
    /// A node's machine falls silent for `for`; then it is back without its connections.
    NodeVanish,
    /// A node is cut off for `for`; then all goes on.
    NodeCut,
    /// A node drains, leaves after 2 s, and is back after `for`, cold.
    NodeDrain,
    /// A node is replaced by a new one under a new name, at its address where `takes_address`.
    NodeReplace,
    /// A node's next answers are cut after `byte` bytes, by an end of the connection.
    CutAnswer,
    /// The same by a reset.
    ResetAnswer,
    /// A share `factor` of a node's answers is spoilt for a time.
    SpoiltAnswers,
    /// A node's answers come in small pieces for a time.
    SlowDrip,
    /// A node refuses connections for a time.
    Refuse,
    /// A sidecar gets SIGTERM, is killed when its time is up, and starts again.
    SidecarRestart,
    /// Operators send a sidecar's clients away for a time, and call them back.
    SidecarDrain,
    /// Every sidecar's file brings other settings for a time: one attempt fewer, longer aims, a class more.
    Retune,
    /// A sidecar is killed outright and starts again.
    SidecarKill,
    /// Sidecars are killed for good: a `share` of them, or one.
    SidecarGone,
    /// Sidecars are not there before this time, and the files don't count them: a `share` of them, or one.
    SidecarLate,
    /// A sidecar's descriptors run out for a time.
    Descriptors,
    /// A sidecar's process stands still for a time, from its next write to a node on: after its last look at the clock.
    SidecarPause,
    /// Discovery moves in the middle of the next answer that takes a time to send.
    DiscoveryMoveInAnswer,
}

impl FaultKind {
    /// It goes on for a time.
    pub fn lasts(self) -> bool {
        use FaultKind::*;
        !matches!(
            self,
            DiscoveryMove
                | BadFile
                | NodeReplace
                | CutAnswer
                | ResetAnswer
                | SidecarRestart
                | SidecarKill
                | SidecarGone
                | SidecarLate
                | DiscoveryMoveInAnswer
        )
    }

    /// It concerns no single node or sidecar.
    pub fn is_nowhere(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            Burst
                | ReportLate
                | DiscoveryStale
                | DiscoveryDown
                | DiscoveryMove
                | DiscoveryMoveInAnswer
                | BadFile
                | Retune
        )
    }

    /// It says how much.
    pub fn has_factor(self) -> bool {
        use FaultKind::*;
        matches!(self, Slow | FastErrors | Burst | HotCaller | SpoiltAnswers)
    }

    /// It says how late.
    pub fn has_delay(self) -> bool {
        matches!(self, FaultKind::ReportLate | FaultKind::DiscoveryStale)
    }

    /// It says after how many bytes.
    pub fn has_byte(self) -> bool {
        matches!(self, FaultKind::CutAnswer | FaultKind::ResetAnswer)
    }
}

/// `[[fault]]`: something that goes wrong, once or drawn `times` over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSection {
    /// What.
    pub kind: FaultKind,
    /// When; a range is drawn from.
    pub at: Time,
    /// For how long.
    #[serde(rename = "for", default, skip_serializing_if = "Option::is_none")]
    pub lasting: Option<Time>,
    /// Until when, in place of `for`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<Time>,
    /// How long a node that drains stays before it leaves; for `for`, but 8 s at most, if not said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves: Option<Time>,
    /// Which node (`KIND-N`) or sidecar (`sidecar-N`); drawn if not said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Of this tier, counted from 0, where the target is drawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<usize>,
    /// Share of the tier's nodes (at least one) where the target is drawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Span>,
    /// How much.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<Span>,
    /// How late.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay: Option<Time>,
    /// After how many bytes of an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub byte: Option<Span>,
    /// Whether a replacement takes the address of the one that has gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub takes_address: Option<bool>,
    /// How many of these are drawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Span>,
}

/// A scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The run as a whole.
    #[serde(default)]
    pub day: DaySection,
    /// The network.
    #[serde(default)]
    pub links: LinkSection,
    /// Sidecars of the first tier.
    #[serde(default)]
    pub sidecars: SidecarSection,
    /// Clients.
    #[serde(default)]
    pub clients: ClientSection,
    /// Discovery.
    #[serde(default)]
    pub discovery: DiscoverySection,
    /// How its answers come.
    #[serde(default)]
    pub delivery: DeliverySection,
    /// The judge's figures.
    #[serde(default)]
    pub rules: RuleSection,
    /// Classes of requests; those of the brief if none is written down.
    #[serde(rename = "class", default = "brief_classes")]
    pub classes: Vec<ClassSection>,
    /// Tiers of nodes; those of the brief if none is written down.
    #[serde(rename = "tier", default = "brief_tiers")]
    pub tiers: Vec<TierSection>,
    /// What goes wrong.
    #[serde(rename = "fault", default)]
    pub faults: Vec<FaultSection>,
}

/// The classes and tiers that a scenario has if it names none: the brief's.
const BRIEF: &str = include_str!("../scenarios/brief.toml");

#[derive(Deserialize)]
struct Brief {
    #[serde(rename = "class")]
    classes: Vec<ClassSection>,
    #[serde(rename = "tier")]
    tiers: Vec<TierSection>,
}

fn brief() -> Brief {
    // A test reads it; were it ever wrong, the scenario would be refused as having none.
    toml::from_str(BRIEF).unwrap_or(Brief { classes: Vec::new(), tiers: Vec::new() })
}

fn brief_classes() -> Vec<ClassSection> {
    brief().classes
}

fn brief_tiers() -> Vec<TierSection> {
    brief().tiers
}

macro_rules! shipped {
    ($(#[$doc:meta])* $list:ident: $($name:literal),* $(,)?) => {
        $(#[$doc])*
        pub const $list: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}

shipped![
    /// The scenarios that come with the program: name and text.
    SHIPPED:
    "calm",
    "two-tier",
    "busy-eve",
    "slow",
    "fast-errors",
    "report-late",
    "burst",
    "hot-caller",
    "discovery-stale",
    "discovery-down",
    "reload",
    "drains",
    "kills",
    "vanish",
    "replace",
    "cuts",
    "spoilt",
    "drip",
    "refuse",
    "restart",
    "operators",
    "descriptors",
    "bad-clients",
    "cold-starts",
    "mixed",
    "tier-halved",
    "tier-doubled",
];

shipped![
    /// Scenarios that come with the program and take minutes a day; no swarm of all scenarios plays them.
    LARGE:
    "long-lists",
    "long-lists-fleet",
    "long-lists-restarts",
    "outage-drains",
    "outage-drains-fleet",
];

/// A scenario that makes no sense, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError(String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Reads a scenario; `file` is only named in errors.
    pub fn parse(text: &str, file: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            cometcroft_tomlfile::read(text, file).map_err(|e| ScenarioError(e.to_string()))?;
        scenario.check().map_err(|(header, index, field, reason)| {
            // The table that the field belongs to, and the field in it where it is written down.
            let table = text.match_indices(&header).map(|(at, _)| at).nth(index).unwrap_or(0);
            let body = &text[table..];
            let end = body[1..].find("\n[").map_or(body.len(), |at| at + 1);
            let written = body[..end].match_indices(field).map(|(at, _)| at).find(|&at| {
                let start = at == 0 || body.as_bytes()[at - 1] == b'\n';
                start && body[at + field.len()..].trim_start().starts_with('=')
            });
            let (line, column) = line_and_column(text, table + written.unwrap_or(0));
            ScenarioError(format!("{file}:{line}:{column}: {field}: {reason}"))
        })?;
        Ok(scenario)
    }

    /// Reads a scenario's file.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioError(format!("{file}: {e}")))?;
        Scenario::parse(&text, &file)
    }

    /// A shipped scenario by its name, or else one in a file of that path.
    pub fn find(name: &str) -> Result<Scenario, ScenarioError> {
        match SHIPPED.iter().chain(LARGE).find(|(shipped, _)| *shipped == name) {
            Some((_, text)) => Scenario::parse(text, name),
            None => Scenario::load(Path::new(name)),
        }
    }

    /// The same day in so many seconds, its faults drawn together as far.
    pub fn shortened(mut self, seconds: f64) -> Scenario {
        let scale = (seconds / self.day.length.1).min(1.0);
        self.day.length = Time(seconds, seconds);
        for fault in &mut self.faults {
            fault.at = Time(fault.at.0 * scale, fault.at.1 * scale);
            for time in [&mut fault.lasting, &mut fault.until, &mut fault.leaves].into_iter().flatten() {
                *time = Time(time.0 * scale, time.1 * scale);
            }
        }
        self
    }

    /// The scenario as text that reads back as itself.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// What no single field shows: the table's header, which of them, the field, the reason.
    fn check(&self) -> Result<(), (String, usize, &'static str, String)> {
        let bad = |header: &str, index: usize, field: &'static str, reason: &str| {
            Err((header.to_owned(), index, field, reason.to_owned()))
        };
        if self.day.zones.is_empty() {
            return bad("[day]", 0, "zones", "must not be empty");
        }
        if self.day.length.0 <= 0.0 {
            return bad("[day]", 0, "length", "must be positive");
        }
        if self.classes.is_empty() {
            return bad("", 0, "class", "must not be empty");
        }
        if self.tiers.is_empty() {
            return bad("", 0, "tier", "must not be empty");
        }
        if self.sidecars.count.0 < 1.0 {
            return bad("[sidecars]", 0, "count", "must be at least 1");
        }
        if self.sidecars.sockets.0 < 64.0 {
            return bad("[sidecars]", 0, "sockets", "must be at least 64");
        }
        for (i, class) in self.classes.iter().enumerate() {
            let keyed = class.effect == EffectWord::Keyed;
            if keyed && class.window.is_none() {
                return bad("[[class]]", i, "window", "a keyed class needs it");
            }
            if !keyed && class.window.is_some() {
                return bad("[[class]]", i, "window", "only a keyed class has one");
            }
            if class.deadline.0 < class.aim.1 {
                return bad("[[class]]", i, "deadline", "is shorter than the aim");
            }
            if class.work.0 <= 0.0 {
                return bad("[[class]]", i, "work", "must be positive");
            }
        }
        if let Err((field, reason)) = self.delivery.check() {
            return bad("[delivery]", 0, field, reason);
        }
        let known = |zone: &String| self.day.zones.contains(zone);
        if self.sidecars.zones.as_ref().is_some_and(|zones| zones.is_empty() || !zones.iter().all(known)) {
            return bad("[sidecars]", 0, "zones", "names a zone that is not in [day] zones");
        }
        if let Some(shares) = &self.clients.zone_shares
            && (shares.len() != self.day.zones.len()
                || !shares.iter().all(|s| s.is_finite() && *s >= 0.0)
                || shares.iter().sum::<f64>() <= 0.0)
        {
            return bad("[clients]", 0, "zone_shares", "wants one figure a zone, not all 0");
        }
        let mut kind_at = 0;
        for (i, tier) in self.tiers.iter().enumerate() {
            if tier.nodes.0 < 1.0 {
                return bad("[[tier]]", i, "nodes", "must be at least 1");
            }
            if tier.kind.is_empty() {
                return bad("[[tier]]", i, "kind", "must not be empty");
            }
            for kind in &tier.kind {
                if kind.zone.as_ref().is_some_and(|zone| !known(zone)) {
                    return bad("[[tier.kind]]", kind_at, "zone", "is not in [day] zones");
                }
                if kind.cores.0 < 1.0 {
                    return bad("[[tier.kind]]", kind_at, "cores", "must be at least 1");
                }
                if kind.speed.0 <= 0.0 {
                    return bad("[[tier.kind]]", kind_at, "speed", "must be positive");
                }
                if kind.cold_from.0 <= 0.0 || kind.cold_from.1 > 1.0 {
                    return bad("[[tier.kind]]", kind_at, "cold_from", "must be over 0 and at most 1");
                }
                kind_at += 1;
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let wants = |field: &'static str, has: bool, wanted: bool| match (has, wanted) {
                (true, false) => {
                    Err(("[[fault]]".to_owned(), i, field, format!("{:?} has none", fault.kind)))
                }
                (false, true) => {
                    Err(("[[fault]]".to_owned(), i, field, format!("{:?} needs it", fault.kind)))
                }
                _ => Ok(()),
            };
            use FaultKind::*;
            let kind = fault.kind;
            wants("until", fault.until.is_some(), kind.lasts() && fault.until.is_some())?;
            wants("for", fault.lasting.is_some(), kind.lasts() && fault.until.is_none())?;
            wants("leaves", fault.leaves.is_some(), kind == NodeDrain && fault.leaves.is_some())?;
            if fault.until.is_some_and(|until| until.0 < fault.at.1) {
                return bad("[[fault]]", i, "until", "may be before its begin");
            }
            wants("factor", fault.factor.is_some(), kind.has_factor())?;
            wants("delay", fault.delay.is_some(), kind.has_delay())?;
            wants("byte", fault.byte.is_some(), kind.has_byte())?;
            if kind.is_nowhere() {
                wants("target", fault.target.is_some(), false)?;
                wants("share", fault.share.is_some(), false)?;
            }
            if fault.takes_address.is_some() && kind != NodeReplace {
                wants("takes_address", true, false)?;
            }
            if fault.tier.is_some_and(|tier| tier >= self.tiers.len()) {
                return bad("[[fault]]", i, "tier", "there is no such tier");
            }
            if matches!(kind, FastErrors | HotCaller | SpoiltAnswers)
                && fault.factor.is_some_and(|f| f.1 > 1.0)
            {
                return bad("[[fault]]", i, "factor", "is a share: at most 1");
            }
            if matches!(kind, Slow | Burst) && fault.factor.is_some_and(|f| f.0 <= 0.0) {
                return bad("[[fault]]", i, "factor", "must be positive");
            }
        }
        Ok(())
    }
}
