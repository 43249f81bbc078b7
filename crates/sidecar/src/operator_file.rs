//! The operator file (TOML): fleet membership, budgets and plan, all of which are off unless configured here.
//! `deploy/operator.toml` is a commented example.

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

/// Default of `longest_pause`: 2 s.
const DEFAULT_MAX_PAUSE: Time = Time(2.0, 2.0);
/// Default of `most`.
const DEFAULT_MAX_MEMBERS: usize = 4096;

/// The contents of the file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename = "Operator", deny_unknown_fields)]
pub struct OperatorFile {
    /// Membership of the sidecars in a fleet.
    pub fleet: Option<FleetSection>,
    /// Budgets shared by the fleet.
    pub budget: Option<BudgetSection>,
    /// The fleet's plan.
    pub plan: Option<PlanSection>,
}

/// The section `[plan]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSection {
    /// Advertised addresses of the voters: three, five or seven, the same in all files.
    #[serde(rename = "keepers")]
    pub voters: Vec<SocketAddrV4>,
    /// Maximum time that a starting process waits for the plan before it accepts clients.
    #[serde(default = "default_wait")]
    pub wait: Time,
    /// Interval at which each sidecar asks another one for its position in the log.
    #[serde(rename = "gossip", default = "default_gossip_interval")]
    pub gossip_interval: Time,
}

fn default_wait() -> Time {
    Time(0.3, 0.3)
}

fn default_gossip_interval() -> Time {
    Time(0.5, 0.5)
}

impl PlanSection {
    fn config(&self, fleet: &FleetSection) -> consensus::Config {
        let address = fleet.advertise.unwrap_or(fleet.bind);
        let mut config = consensus::Config::new(&fleet.name, address, self.voters.clone());
        config.gossip_interval = self.gossip_interval.exact();
        config
    }

    fn check(&self, fleet: Option<&FleetSection>) -> Result<(), (&'static str, String)> {
        let Some(fleet) = fleet else {
            return Err(("keepers", "a plan requires a [fleet] section".to_owned()));
        };
        if self.wait.exact() > Duration::from_secs(10) {
            return Err(("wait", "must be at most 10s".to_owned()));
        }
        let gossip = self.gossip_interval.exact();
        if gossip < Duration::from_millis(50) || gossip > Duration::from_secs(10) {
            return Err(("gossip", "must be between 50ms and 10s".to_owned()));
        }
        self.config(fleet).check()
    }

    /// Configuration of the log, and the maximum time to wait for the plan at a start.
    pub fn driver_config(&self, fleet: &FleetSection) -> (consensus::Config, Duration) {
        (self.config(fleet), self.wait.exact())
    }

    /// One line that summarizes the section, for `cometcroft check`.
    pub fn summary(&self, fleet: &FleetSection) -> String {
        let config = self.config(fleet);
        let role = if config.voter_index().is_some() { "one of them" } else { "not one of them" };
        format!(
            "plan of {:016x}: {} keepers, this sidecar {role}; waits {:?} for it at a start",
            config.digest,
            config.voters.len(),
            self.wait.exact(),
        )
    }
}

/// The section `[budget]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSection {
    /// Advertised addresses of the voters that elect the allocator: one, three, five or seven, the same in all files.
    #[serde(rename = "keepers")]
    pub voters: Vec<SocketAddrV4>,
    /// Advertised addresses of the sidecars that have guaranteed shares.
    #[serde(default)]
    pub roster: Vec<SocketAddrV4>,
    /// Duration of a lease.
    #[serde(default = "default_lease")]
    pub lease: Time,
    /// Weight of this sidecar when limits are divided.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The limits that are divided among the sidecars.
    #[serde(rename = "whole", default)]
    pub limits: Vec<LimitSection>,
}

/// A section `[[budget.whole]]`: one limit.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename = "WholeSection", deny_unknown_fields)]
pub struct LimitSection {
    /// What the limit applies to.
    #[serde(rename = "use")]
    pub applies_to: UseKey,
    /// The tenant whose requests are limited.
    pub tenant: Option<String>,
    /// Rate limit, per second.
    pub rate: Option<f64>,
    /// Number allowed beyond the rate in any window; one second's worth by default.
    pub burst: Option<f64>,
    /// Concurrency limit.
    #[serde(rename = "level")]
    pub max_concurrent: Option<u32>,
    /// Maximum duration of one use of a concurrency limit; the longest deadline of the settings by default.
    #[serde(rename = "longest")]
    pub max_hold: Option<Time>,
    /// Share that each sidecar of the roster has without a lease.
    #[serde(rename = "floor", default)]
    pub guaranteed_share: f64,
}

/// What a limit may apply to: the values of `use`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename = "UseWord", rename_all = "kebab-case")]
pub enum UseKey {
    /// Requests of a tenant.
    Tenant,
    /// Requests open at once.
    Open,
    /// Retries.
    Retries,
    /// New connections to endpoints.
    Connections,
    /// Probes.
    Probes,
    /// Calls to discovery.
    Discovery,
}

/// The section `[fleet]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// The fleet's name; messages of other fleets are discarded.
    pub name: String,
    /// Listen address for datagrams and connections.
    pub bind: SocketAddrV4,
    /// Address at which the other members reach this one; `bind` by default.
    pub advertise: Option<SocketAddrV4>,
    /// Members to contact first; some of them may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Longest pause of a process that must not make it appear dead.
    #[serde(rename = "longest_pause", default = "default_max_pause")]
    pub max_pause: Time,
    /// Maximum number of known members, including dead ones.
    #[serde(rename = "most", default = "default_max_members")]
    pub max_members: usize,
    /// Overrides of the times that are derived from the longest pause.
    #[serde(default)]
    pub timing: TimingSection,
}

/// The section `[fleet.timing]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimingSection {
    /// Interval between two probes; each goes to one member.
    pub period: Option<Time>,
    /// Duration of a suspicion that enough members have confirmed.
    pub suspicion: Option<Time>,
    /// Time after which a decrease of the number of sidecars takes effect.
    #[serde(rename = "settle")]
    pub headcount_settle: Option<Time>,
    /// Time after which dead members are removed from the view.
    #[serde(rename = "forget")]
    pub retention: Option<Time>,
}

fn default_lease() -> Time {
    Time(4.0, 4.0)
}

fn default_weight() -> u32 {
    1
}

fn default_max_pause() -> Time {
    DEFAULT_MAX_PAUSE
}

fn default_max_members() -> usize {
    DEFAULT_MAX_MEMBERS
}

impl OperatorFile {
    /// Reads and checks the file.
    pub fn load(path: &Path) -> Result<OperatorFile, FileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| FileError::new(&file, e))?;
        OperatorFile::parse(&text, &file)
    }

    /// Parses and checks the file's text; `file` is the name used in errors.
    pub fn parse(text: &str, file: &str) -> Result<OperatorFile, FileError> {
        let operator: OperatorFile = cometcroft_tomlfile::read(text, file)?;
        if let Some(fleet) = &operator.fleet {
            fleet.check().map_err(|(field, reason)| {
                let at = text.find(&format!("\n{field}")).map_or(0, |at| at + 1);
                FileError::at(file, text, at, field, &reason)
            })?;
        }
        if let Some(budget) = &operator.budget {
            budget.check(operator.fleet.as_ref()).map_err(|(limit, field, reason)| {
                let table = |i| text.match_indices("[[budget.whole]]").nth(i).map(|(at, _)| at);
                let from = limit.and_then(table).or_else(|| text.find("[budget]")).unwrap_or(0);
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
    /// The membership's times: derived from the longest pause, or as configured.
    pub fn timing(&self) -> Timing {
        let mut timing = Timing::from_pause(self.max_pause.exact());
        let given = &self.timing;
        if let Some(period) = given.period {
            timing.period = period.exact();
            timing.direct_timeout = timing.period / 2;
            timing.resend_after = timing.period / 4;
            timing.gossip_interval = timing.period / 4;
        }
        if let Some(suspicion) = given.suspicion {
            timing.min_suspicion = suspicion.exact();
            timing.max_suspicion = timing.min_suspicion * 2;
        }
        timing.headcount_settle = given.headcount_settle.map_or(timing.headcount_settle, Time::exact);
        timing.retention = given.retention.map_or(timing.retention, Time::exact);
        timing
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        let error = |field, reason: &str| Err((field, reason.to_owned()));
        if self.name.is_empty() {
            return error("name", "must not be empty");
        }
        let advertised = self.advertise.unwrap_or(self.bind);
        if advertised.ip().is_unspecified() {
            return error("advertise", "must be an address that other members can reach");
        }
        if advertised.port() == 0 {
            return error("advertise", "must name a port");
        }
        let pause = self.max_pause.exact();
        if pause < Duration::from_millis(100) || pause > Duration::from_secs(60) {
            return error("longest_pause", "must be between 100ms and 60s");
        }
        if !(2..=100_000).contains(&self.max_members) {
            return error("most", "must be between 2 and 100000");
        }
        let timing = self.timing();
        if timing.period < Duration::from_millis(20) {
            return error("period", "must be at least 20ms");
        }
        if timing.min_suspicion < timing.period * 2 {
            return error(
                "suspicion",
                "must be at least two periods, so that a live member has time to refute it",
            );
        }
        if timing.min_suspicion < pause {
            return error(
                "suspicion",
                "must be at least longest_pause, so that a paused process does not appear dead",
            );
        }
        if timing.headcount_settle < timing.min_suspicion {
            return error("settle", "must be at least suspicion");
        }
        if timing.retention < timing.headcount_settle {
            return error("forget", "must be at least settle");
        }
        Ok(())
    }

    /// Configuration of the membership protocol for a sidecar with this configuration.
    pub fn membership_config(&self, config: &Config) -> Result<membership::Config, String> {
        let name = Name::new(&config.name).filter(|name| !name.as_str().is_empty());
        let name = name.ok_or_else(|| {
            format!("{:?} is not a valid member name: must have 1 to 40 bytes", config.name)
        })?;
        let zone = config.network.zones.get(config.settings.zone.0).map(String::as_str).unwrap_or_default();
        let mut member = membership::Config::new(&self.name, name, self.advertise.unwrap_or(self.bind));
        member.zone = Name::new(zone).unwrap_or_default();
        member.tier = u8::try_from(config.settings.tier).unwrap_or(u8::MAX);
        member.rank = u16::try_from(config.settings.rank).unwrap_or(u16::MAX);
        member.seeds = self.seeds.clone();
        member.timing = self.timing();
        member.max_members = self.max_members;
        Ok(member)
    }

    /// The listen address for datagrams and connections.
    pub fn listen_address(&self) -> SocketAddr {
        SocketAddr::V4(self.bind)
    }

    /// A few lines that summarize the section, for `cometcroft check`.
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
            self.max_members,
            timing.max_pause,
            timing.period,
            timing.min_suspicion,
            timing.max_suspicion,
            timing.headcount_settle,
            timing.retention,
        )
    }
}

/// Index of the limit, if one is concerned, name of the field, and what is wrong with it.
type LimitError = (Option<usize>, &'static str, String);

impl BudgetSection {
    fn limits(&self, max_hold: Duration) -> Result<Vec<(Limit, BudgetUse)>, LimitError> {
        let to_thousandths = |number: f64| (number * 1000.0).round() as u64;
        let each = |(i, section): (usize, &LimitSection)| {
            let error = |field, reason: &str| Err((Some(i), field, reason.to_owned()));
            let (is_concurrency, is_tenant) =
                (section.applies_to == UseKey::Open, section.applies_to == UseKey::Tenant);
            if section.tenant.is_some() != is_tenant {
                return error(
                    "tenant",
                    if is_tenant { "is missing" } else { "is only valid with use = \"tenant\"" },
                );
            }
            if section.max_concurrent.is_some() != is_concurrency {
                return error(
                    "level",
                    if is_concurrency { "is missing" } else { "is only valid with use = \"open\"" },
                );
            }
            if section.rate.is_some() == is_concurrency {
                return error(
                    "rate",
                    if is_concurrency { "this use has a level instead of a rate" } else { "is missing" },
                );
            }
            if is_concurrency && section.burst.is_some() || !is_concurrency && section.max_hold.is_some() {
                let field = if is_concurrency { "burst" } else { "longest" };
                return error(field, "is not valid for this use");
            }
            let numbers = [section.rate, section.burst, Some(section.guaranteed_share)];
            if numbers.into_iter().flatten().any(|number| !(0.0..=1e9).contains(&number)) {
                return error("rate", "rate, burst and floor must be between 0 and 1e9");
            }
            let rate = section.rate.unwrap_or_default();
            let (kind, size) = match section.max_concurrent {
                Some(max_concurrent) => {
                    let max_hold = section.max_hold.map_or(max_hold, Time::exact);
                    (LimitKind::Concurrency { max_hold }, u64::from(max_concurrent) * 1000)
                }
                None => (
                    LimitKind::Rate { burst: to_thousandths(section.burst.unwrap_or(rate)) },
                    to_thousandths(rate),
                ),
            };
            let (name, budget_use) = match (section.applies_to, &section.tenant) {
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
            Ok((Limit { name, kind, size, guaranteed: to_thousandths(section.guaranteed_share) }, budget_use))
        };
        self.limits.iter().enumerate().map(each).collect()
    }

    fn check(&self, fleet: Option<&FleetSection>) -> Result<(), LimitError> {
        let Some(fleet) = fleet else {
            return Err((None, "keepers", "budgets require a [fleet] section".to_owned()));
        };
        let (config, _) = self.config(fleet, Duration::from_secs(1))?;
        config.validate().map_err(|(field, reason)| (None, field, reason))
    }

    fn config(
        &self,
        fleet: &FleetSection,
        max_hold: Duration,
    ) -> Result<(budget::Config, Vec<BudgetUse>), LimitError> {
        let address = fleet.advertise.unwrap_or(fleet.bind);
        let lease = self.lease.exact();
        let mut config = budget::Config::new(&fleet.name, address, self.voters.clone(), lease);
        (config.roster, config.weight, config.max_holders) =
            (self.roster.clone(), self.weight, fleet.max_members);
        let (limits, uses) = self.limits(max_hold)?.into_iter().unzip();
        config.limits = limits;
        Ok((config, uses))
    }

    /// Configuration of the budget protocol, and what each limit applies to.
    pub fn driver_config(
        &self,
        fleet: &FleetSection,
        config: &Config,
    ) -> Result<(budget::Config, Vec<BudgetUse>), String> {
        // The sidecar ends a request at its deadline, so no request is open longer than the longest one.
        let driver_config = self.config(fleet, config.max_deadline());
        driver_config.map_err(|(_, field, reason)| format!("{field}: {reason}"))
    }

    /// A few lines that summarize the section, for `cometcroft check`.
    pub fn summary(&self, fleet: &FleetSection) -> String {
        let Ok((config, _)) = self.config(fleet, Duration::from_secs(1)) else { return String::new() };
        let mut text = format!(
            "budgets of {:016x}: {} keepers, lent for {:?}, a new divider after {:?}",
            config.digest(),
            config.voters.len(),
            config.lease,
            config.with_clock_margin(config.vote_duration()),
        );
        for (i, limit) in config.limits.iter().enumerate() {
            let units = |thousandths: u64| thousandths as f64 / 1000.0;
            let kind = match limit.kind {
                LimitKind::Rate { burst } => format!("a second, burst {}", units(burst)),
                LimitKind::Concurrency { .. } => "at once".to_owned(),
            };
            let (size, floor) = (units(limit.size), units(limit.guaranteed));
            let least = units(config.share_unit(i));
            text += &format!("\n  {}: {size} {kind}; least part {least}, floor {floor}", limit.name);
        }
        text
    }
}

#[cfg(test)]
mod tests;
