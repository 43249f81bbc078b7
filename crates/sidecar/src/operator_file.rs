//! The operator's file: what is off unless it is switched on here. `deploy/operator.toml` is an example with comments.

use crate::budget_driver::BudgetUse;
use crate::config::Config;
use cometcroft_budget as budget;
use cometcroft_budget::{Limit, LimitKind};
use cometcroft_consensus as consensus;
use cometcroft_membership as membership;
use cometcroft_membership::{Name, Timing};
use cometcroft_tomlfile::{FileError, Time};
use serde::Deserialize;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

/// The longest pause to bear if none is named.
const PAUSE: Time = Time(2.0, 2.0);
/// Members known at once if no number is named.
const MOST: usize = 4096;

/// The file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename = "Operator", deny_unknown_fields)]
pub struct OperatorFile {
    /// Membership among the sidecars.
    pub fleet: Option<FleetSection>,
    /// Budgets of the whole fleet.
    pub budget: Option<BudgetSection>,
    /// The fleet's plan.
    pub plan: Option<PlanSection>,
}

/// `[plan]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSection {
    /// Who agrees: addresses as advertised, three, five or seven, the same in all files.
    pub keepers: Vec<SocketAddrV4>,
    /// A process that starts waits for the plan for so long before it takes clients.
    #[serde(default = "wait")]
    pub wait: Time,
    /// How often each asks another where it stands.
    #[serde(default = "gossip")]
    pub gossip: Time,
}

fn wait() -> Time {
    Time(0.3, 0.3)
}

fn gossip() -> Time {
    Time(0.5, 0.5)
}

impl PlanSection {
    fn config(&self, fleet: &FleetSection) -> consensus::Config {
        let address = fleet.advertise.unwrap_or(fleet.bind);
        let mut config = consensus::Config::new(&fleet.name, address, self.keepers.clone());
        config.gossip_interval = self.gossip.exact();
        config
    }

    fn check(&self, fleet: Option<&FleetSection>) -> Result<(), (&'static str, String)> {
        let Some(fleet) = fleet else {
            return Err(("keepers", "a plan needs a [fleet] beside it".to_owned()));
        };
        if self.wait.exact() > Duration::from_secs(10) {
            return Err(("wait", "must be at most 10s".to_owned()));
        }
        let gossip = self.gossip.exact();
        if gossip < Duration::from_millis(50) || gossip > Duration::from_secs(10) {
            return Err(("gossip", "must be between 50ms and 10s".to_owned()));
        }
        self.config(fleet).check()
    }

    /// What a sidecar is told of the plan.
    pub fn driver_config(&self, fleet: &FleetSection) -> (consensus::Config, Duration) {
        (self.config(fleet), self.wait.exact())
    }

    /// What the section comes to, in a line.
    pub fn summary(&self, fleet: &FleetSection) -> String {
        let config = self.config(fleet);
        let own = if config.voter_index().is_some() { "one of them" } else { "not one of them" };
        format!(
            "plan of {:016x}: {} keepers, this sidecar {own}; waits {:?} for it at a start",
            config.digest,
            config.voters.len(),
            self.wait.exact(),
        )
    }
}

/// `[budget]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSection {
    /// Who elects the divider: addresses as advertised, one, three, five or seven, the same in all files.
    pub keepers: Vec<SocketAddrV4>,
    /// Who has the floors.
    #[serde(default)]
    pub roster: Vec<SocketAddrV4>,
    /// For how long a part is lent.
    #[serde(default = "lease")]
    pub lease: Time,
    /// How much this sidecar counts in the division.
    #[serde(default = "one")]
    pub weight: u32,
    /// What is divided.
    #[serde(rename = "whole", default)]
    pub wholes: Vec<LimitSection>,
}

/// `[[budget.whole]]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename = "WholeSection", deny_unknown_fields)]
pub struct LimitSection {
    /// What it is spent on.
    #[serde(rename = "use")]
    pub what: UseKey,
    /// Whose requests.
    pub tenant: Option<String>,
    /// So many a second.
    pub rate: Option<f64>,
    /// And so many beyond that in any window; the rate of a second if not said.
    pub burst: Option<f64>,
    /// So many at once.
    pub level: Option<u32>,
    /// None of which takes longer; the longest deadline of the settings if not said.
    pub longest: Option<Time>,
    /// What each place of the roster has without any lease.
    #[serde(default)]
    pub floor: f64,
}

/// What a whole may be spent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename = "UseWord", rename_all = "kebab-case")]
pub enum UseKey {
    /// Requests of a tenant.
    Tenant,
    /// Requests open at once.
    Open,
    /// Attempts beyond a request's first.
    Retries,
    /// New connections to backend servers.
    Connections,
    /// Probes.
    Probes,
    /// Calls to discovery.
    Discovery,
}

/// `[fleet]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// The fleet's name; messages of another are refused.
    pub name: String,
    /// Where it listens, for datagrams and for connections.
    pub bind: SocketAddrV4,
    /// Where the others reach it; `bind` if not said.
    pub advertise: Option<SocketAddrV4>,
    /// Whom it asks first; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// The longest pause of a sidecar that must not look like its end.
    #[serde(default = "pause")]
    pub longest_pause: Time,
    /// Members known at once, those that are gone among them.
    #[serde(default = "most")]
    pub most: usize,
    /// Times in place of those that follow from the longest pause.
    #[serde(default)]
    pub timing: TimingSection,
}

/// `[fleet.timing]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimingSection {
    /// One member is probed in each of these.
    pub period: Option<Time>,
    /// Suspicion lasts so long once enough accuse.
    pub suspicion: Option<Time>,
    /// A fall of the count binds after this.
    pub settle: Option<Time>,
    /// Those that are gone are forgotten after this.
    pub forget: Option<Time>,
}

fn lease() -> Time {
    Time(4.0, 4.0)
}

fn one() -> u32 {
    1
}

fn pause() -> Time {
    PAUSE
}

fn most() -> usize {
    MOST
}

impl OperatorFile {
    /// Reads the file.
    pub fn load(path: &Path) -> Result<OperatorFile, FileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| FileError::new(&file, e))?;
        OperatorFile::parse(&text, &file)
    }

    /// Reads the file's text; `file` is only named in errors.
    pub fn parse(text: &str, file: &str) -> Result<OperatorFile, FileError> {
        let operator: OperatorFile = cometcroft_tomlfile::read(text, file)?;
        if let Some(fleet) = &operator.fleet {
            fleet.check().map_err(|(field, reason)| {
                let at = text.find(&format!("\n{field}")).map_or(0, |at| at + 1);
                FileError::at(file, text, at, field, &reason)
            })?;
        }
        if let Some(budget) = &operator.budget {
            budget.check(operator.fleet.as_ref()).map_err(|(whole, field, reason)| {
                let table = |i| text.match_indices("[[budget.whole]]").nth(i).map(|(at, _)| at);
                let from = whole.and_then(table).or_else(|| text.find("[budget]")).unwrap_or(0);
                let at = text[from..].find(&format!("\n{field}")).map_or(from, |at| from + at + 1);
                FileError::at(file, text, at, field, &reason)
            })?;
        }
        if let Some(plan) = &operator.plan {
            plan.check(operator.fleet.as_ref()).map_err(|(field, reason)| {
                let from = text.find("[plan]").unwrap_or(0);
                let at = text[from..].find(&format!("\n{field}")).map_or(from, |at| from + at + 1);
                FileError::at(file, text, at, field, &reason)
            })?;
        }
        Ok(operator)
    }
}

impl FleetSection {
    /// All times.
    pub fn timing(&self) -> Timing {
        let mut timing = Timing::from_pause(self.longest_pause.exact());
        let said = &self.timing;
        if let Some(period) = said.period {
            timing.period = period.exact();
            timing.direct_timeout = timing.period / 2;
            timing.resend_after = timing.period / 4;
            timing.gossip_interval = timing.period / 4;
        }
        if let Some(suspicion) = said.suspicion {
            timing.min_suspicion = suspicion.exact();
            timing.max_suspicion = timing.min_suspicion * 2;
        }
        timing.headcount_settle = said.settle.map_or(timing.headcount_settle, Time::exact);
        timing.retention = said.forget.map_or(timing.retention, Time::exact);
        timing
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        let bad = |field, reason: &str| Err((field, reason.to_owned()));
        if self.name.is_empty() {
            return bad("name", "must not be empty");
        }
        let advertised = self.advertise.unwrap_or(self.bind);
        if advertised.ip().is_unspecified() {
            return bad("advertise", "must be an address that others can reach");
        }
        if advertised.port() == 0 {
            return bad("advertise", "must name a port");
        }
        let pause = self.longest_pause.exact();
        if pause < Duration::from_millis(100) || pause > Duration::from_secs(60) {
            return bad("longest_pause", "must be between 100ms and 60s");
        }
        if !(2..=100_000).contains(&self.most) {
            return bad("most", "must be between 2 and 100000");
        }
        let timing = self.timing();
        if timing.period < Duration::from_millis(20) {
            return bad("period", "must be at least 20ms");
        }
        if timing.min_suspicion < timing.period * 2 {
            return bad("suspicion", "must be at least two periods, or nobody has the time to deny it");
        }
        if timing.min_suspicion < pause {
            return bad("suspicion", "must be at least longest_pause, or a pause looks like an end");
        }
        if timing.headcount_settle < timing.min_suspicion {
            return bad("settle", "must be at least the suspicion");
        }
        if timing.retention < timing.headcount_settle {
            return bad("forget", "must be at least settle");
        }
        Ok(())
    }

    /// What a sidecar of this configuration is told as a member.
    pub fn membership_config(&self, config: &Config) -> Result<membership::Config, String> {
        let name = Name::new(&config.name).filter(|name| !name.as_str().is_empty());
        let name = name.ok_or_else(|| format!("{:?} is no name of a member: 1 to 40 bytes", config.name))?;
        let zone = config.network.zones.get(config.settings.zone.0).map(String::as_str).unwrap_or_default();
        let mut member = membership::Config::new(&self.name, name, self.advertise.unwrap_or(self.bind));
        member.zone = Name::new(zone).unwrap_or_default();
        member.tier = u8::try_from(config.settings.tier).unwrap_or(u8::MAX);
        member.rank = u16::try_from(config.settings.rank).unwrap_or(u16::MAX);
        member.seeds = self.seeds.clone();
        member.timing = self.timing();
        member.max_members = self.most;
        Ok(member)
    }

    /// Where it listens.
    pub fn listen_address(&self) -> SocketAddr {
        SocketAddr::V4(self.bind)
    }

    /// What the file comes to, in a few lines.
    pub fn summary(&self) -> String {
        let timing = self.timing();
        let advertised = self.advertise.unwrap_or(self.bind);
        format!(
            "fleet {}: listens at {}, reached at {advertised}, {} seeds, {} members at most\n\
             bears pauses of {:?}; probes every {:?}; gone after {:?} (three accuse) to {:?} (one); \
             a fall of the count binds after {:?}; forgotten after {:?}",
            self.name,
            self.bind,
            self.seeds.len(),
            self.most,
            timing.max_pause,
            timing.period,
            timing.min_suspicion,
            timing.max_suspicion,
            timing.headcount_settle,
            timing.retention,
        )
    }
}

/// Which whole, which field, what is wrong with it.
type Wrong = (Option<usize>, &'static str, String);

impl BudgetSection {
    fn wholes(&self, longest: Duration) -> Result<Vec<(Limit, BudgetUse)>, Wrong> {
        let thousandths = |figure: f64| (figure * 1000.0).round() as u64;
        let each = |(i, section): (usize, &LimitSection)| {
            let bad = |field, reason: &str| Err((Some(i), field, reason.to_owned()));
            let (level, tenant) = (section.what == UseKey::Open, section.what == UseKey::Tenant);
            if section.tenant.is_some() != tenant {
                return bad(
                    "tenant",
                    if tenant { "is missing" } else { "belongs to use = \"tenant\" alone" },
                );
            }
            if section.level.is_some() != level {
                return bad("level", if level { "is missing" } else { "belongs to use = \"open\" alone" });
            }
            if section.rate.is_some() == level {
                return bad("rate", if level { "this use has a level" } else { "is missing" });
            }
            if level && section.burst.is_some() || !level && section.longest.is_some() {
                let field = if level { "burst" } else { "longest" };
                return bad(field, "does not belong to this use");
            }
            let figures = [section.rate, section.burst, Some(section.floor)];
            if figures.into_iter().flatten().any(|figure| !(0.0..=1e9).contains(&figure)) {
                return bad("rate", "rate, burst and floor must be between 0 and 1e9");
            }
            let rate = section.rate.unwrap_or_default();
            let (kind, size) = match section.level {
                Some(level) => {
                    let longest = section.longest.map_or(longest, Time::exact);
                    (LimitKind::Concurrency { max_hold: longest }, u64::from(level) * 1000)
                }
                None => {
                    (LimitKind::Rate { burst: thousandths(section.burst.unwrap_or(rate)) }, thousandths(rate))
                }
            };
            let (name, what) = match (section.what, &section.tenant) {
                (UseKey::Tenant, tenant) => {
                    let tenant = tenant.clone().unwrap_or_default();
                    (format!("tenant {tenant}"), BudgetUse::Tenant(tenant))
                }
                (UseKey::Open, _) => ("open".to_owned(), BudgetUse::Open),
                (UseKey::Retries, _) => ("retries".to_owned(), BudgetUse::Retries),
                (UseKey::Connections, _) => ("connections".to_owned(), BudgetUse::Connections),
                (UseKey::Probes, _) => ("probes".to_owned(), BudgetUse::Probes),
                (UseKey::Discovery, _) => ("discovery".to_owned(), BudgetUse::Discovery),
            };
            Ok((Limit { name, kind, size, guaranteed: thousandths(section.floor) }, what))
        };
        self.wholes.iter().enumerate().map(each).collect()
    }

    fn check(&self, fleet: Option<&FleetSection>) -> Result<(), Wrong> {
        let Some(fleet) = fleet else {
            return Err((None, "keepers", "budgets need a [fleet] beside them".to_owned()));
        };
        let (config, _) = self.config(fleet, Duration::from_secs(1))?;
        config.validate().map_err(|(field, reason)| (None, field, reason))
    }

    fn config(
        &self,
        fleet: &FleetSection,
        longest: Duration,
    ) -> Result<(budget::Config, Vec<BudgetUse>), Wrong> {
        let address = fleet.advertise.unwrap_or(fleet.bind);
        let lease = self.lease.exact();
        let mut config = budget::Config::new(&fleet.name, address, self.keepers.clone(), lease);
        (config.roster, config.weight, config.max_holders) = (self.roster.clone(), self.weight, fleet.most);
        let (wholes, uses) = self.wholes(longest)?.into_iter().unzip();
        config.limits = wholes;
        Ok((config, uses))
    }

    /// What a sidecar is told of the budgets, and what each whole is spent on.
    pub fn driver_config(
        &self,
        fleet: &FleetSection,
        config: &Config,
    ) -> Result<(budget::Config, Vec<BudgetUse>), String> {
        // The sidecar itself ends a request at its deadline.
        let told = self.config(fleet, config.max_deadline());
        told.map_err(|(_, field, reason)| format!("{field}: {reason}"))
    }

    /// What the section comes to, in a few lines.
    pub fn summary(&self, fleet: &FleetSection) -> String {
        let Ok((config, _)) = self.config(fleet, Duration::from_secs(1)) else { return String::new() };
        let mut text = format!(
            "budgets of {:016x}: {} keepers, lent for {:?}, a new divider after {:?}",
            config.digest(),
            config.voters.len(),
            config.lease,
            config.with_clock_margin(config.vote_duration()),
        );
        for (i, whole) in config.limits.iter().enumerate() {
            let f = |thousandths: u64| thousandths as f64 / 1000.0;
            let kind = match whole.kind {
                LimitKind::Rate { burst } => format!("a second, burst {}", f(burst)),
                LimitKind::Concurrency { .. } => "at once".to_owned(),
            };
            let (size, floor) = (f(whole.size), f(whole.guaranteed));
            let least = f(config.share_unit(i));
            text += &format!("\n  {}: {size} {kind}; least part {least}, floor {floor}", whole.name);
        }
        text
    }
}

#[cfg(test)]
mod tests;
