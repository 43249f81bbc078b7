//! A revision's text: TOML, version 1, unknown fields refused.

use cometcroft_tomlfile::{FileError, Time, read};
use serde::{Deserialize, Serialize};

/// No text is longer.
pub const MAX_TEXT_BYTES: usize = 24 << 10;

/// What a revision says.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionContent {
    /// The format.
    pub version: u32,
    /// Attempts of a request at most; never more than the settings allow.
    #[serde(rename = "attempts")]
    pub max_attempts: Option<u32>,
    /// The share of the listed backend servers that rules and permits must leave.
    #[serde(rename = "keep", default = "half")]
    pub min_endpoint_share: f64,
    /// What becomes of backend servers.
    #[serde(rename = "server", default)]
    pub endpoint_rules: Vec<EndpointRule>,
    /// How many may be out at once.
    #[serde(rename = "out", default)]
    pub outage_limits: Vec<OutageLimit>,
    /// Limits on retries over the whole cluster.
    #[serde(rename = "retries", default)]
    pub retry_rules: Vec<RetryRule>,
    /// When retries storm.
    pub storm: Option<StormRule>,
}

fn half() -> f64 {
    0.5
}

/// `[[server]]`: those that fit all that is named.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct ServerRule")]
pub struct EndpointRule {
    /// By name.
    pub name: Option<String>,
    /// By zone.
    pub zone: Option<String>,
    /// By group.
    pub group: Option<usize>,
    /// The share of its usual weight; 0 bars it.
    pub share: f64,
}

/// What a limit of outages counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// Sidecars.
    Sidecars,
    /// Backend servers.
    #[serde(rename = "servers")]
    Endpoints,
}

/// `[[out]]`: so many at once, in each tier and zone that fit; the least of all that fit binds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct OutLimit")]
pub struct OutageLimit {
    /// Of what.
    #[serde(rename = "of")]
    pub kind: OutageKind,
    /// In this zone alone.
    pub zone: Option<String>,
    /// At this tier alone.
    pub tier: Option<u8>,
    /// A number.
    #[serde(rename = "most")]
    pub max: Option<u32>,
    /// A share of how many there are, one at least.
    pub share: Option<f64>,
}

/// How the attempt before ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryCause {
    /// Refused by the backend server.
    #[serde(rename = "refused")]
    Rejected,
    /// Never connected, or broken before the last byte.
    NeverConnected,
    /// An error or a broken connection after that.
    MayHaveRun,
    /// No answer in time.
    #[serde(rename = "late")]
    TimedOut,
}

/// What happens when a rule is spent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExhaustedAction {
    /// The attempt is not made.
    #[default]
    Deny,
    /// It is made, and counted: a trial of the rule.
    Count,
}

/// `[[retries]]`: attempts beyond a request's first that fit all that is named.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryRule {
    /// Of this tenant.
    pub tenant: Option<String>,
    /// Of this class.
    pub class: Option<String>,
    /// At this tier.
    pub tier: Option<u8>,
    /// From sidecars in this zone.
    pub zone: Option<String>,
    /// After such an end of the attempt before.
    pub after: Option<RetryCause>,
    /// Retries for each first try.
    pub share: f64,
    /// A second over the whole cluster, however few first tries there are.
    #[serde(default)]
    pub floor: f64,
    /// A second over the whole cluster at most.
    pub ceiling: f64,
    /// So many beyond that at once.
    #[serde(default = "ten")]
    pub burst: f64,
    /// What happens when it is spent.
    #[serde(rename = "spent", default)]
    pub when_exhausted: ExhaustedAction,
}

fn ten() -> f64 {
    10.0
}

/// `[storm]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Storm")]
pub struct StormRule {
    /// It begins when the fleet's retries are over this share of its first tries ...
    #[serde(rename = "over")]
    pub start_above: f64,
    /// ... for this long; it ends when they have been under `under` for as long.
    #[serde(rename = "for")]
    pub hold: Time,
    /// Under this.
    #[serde(rename = "under")]
    pub end_below: f64,
    /// Every rule's ceiling while it lasts.
    pub ceiling: f64,
}

/// What becomes of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WeightAdjustment {
    /// Nothing.
    Unchanged,
    /// It has this share of its weight.
    Scaled(f64),
    /// It takes nothing.
    Excluded,
}

/// Of a retry, what rules select by.
#[derive(Debug, Clone, Copy)]
pub struct RetryAttributes<'a> {
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// The class.
    pub class: &'a str,
    /// The sidecar's tier.
    pub tier: u8,
    /// The sidecar's zone.
    pub zone: &'a str,
    /// How the attempt before ended.
    pub after: Option<RetryCause>,
}

impl RetryRule {
    /// How many things it names.
    fn named(&self) -> usize {
        usize::from(self.tenant.is_some())
            + usize::from(self.class.is_some())
            + usize::from(self.tier.is_some())
            + usize::from(self.zone.is_some())
            + usize::from(self.after.is_some())
    }

    fn fits(&self, wanted: &RetryAttributes<'_>) -> bool {
        let text = |named: &Option<String>, is: Option<&str>| named.is_none() || named.as_deref() == is;
        text(&self.tenant, wanted.tenant)
            && text(&self.class, Some(wanted.class))
            && text(&self.zone, Some(wanted.zone))
            && self.tier.is_none_or(|tier| tier == wanted.tier)
            && (self.after.is_none() || wanted.after.is_none() || self.after == wanted.after)
    }

    /// Whether some retry fits both.
    fn meets(&self, other: &RetryRule) -> bool {
        fn apart<T: PartialEq>(a: &Option<T>, b: &Option<T>) -> bool {
            a.is_some() && b.is_some() && a != b
        }
        !(apart(&self.tenant, &other.tenant)
            || apart(&self.class, &other.class)
            || apart(&self.tier, &other.tier)
            || apart(&self.zone, &other.zone)
            || apart(&self.after, &other.after))
    }
}

impl RevisionContent {
    /// What is in force before the first revision: nothing but the files.
    pub fn empty() -> RevisionContent {
        RevisionContent {
            version: 1,
            max_attempts: None,
            min_endpoint_share: half(),
            endpoint_rules: Vec::new(),
            outage_limits: Vec::new(),
            retry_rules: Vec::new(),
            storm: None,
        }
    }

    /// Reads a text; `file` is only named in errors.
    pub fn parse(text: &str, file: &str) -> Result<RevisionContent, FileError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(FileError::of(file, format!("{} bytes, {MAX_TEXT_BYTES} at most", text.len())));
        }
        let content: RevisionContent = read(text, file)?;
        content.check().map_err(|(table, field, reason)| {
            let from = table.and_then(|(name, i)| text.match_indices(&format!("[[{name}]]")).nth(i));
            let from = from.map_or(0, |(at, _)| at);
            let from = if table.is_none() && field != "version" && field != "attempts" && field != "keep" {
                text.find("[storm]").unwrap_or(0)
            } else {
                from
            };
            let at = text[from..].find(&format!("\n{field}")).map_or(from, |at| from + at + 1);
            FileError::at(file, text, at, field, &reason)
        })?;
        Ok(content)
    }

    #[allow(clippy::type_complexity)]
    fn check(&self) -> Result<(), (Option<(&'static str, usize)>, &'static str, String)> {
        let bad = |table, field, reason: &str| Err((table, field, reason.to_owned()));
        if self.version != 1 {
            return bad(None, "version", "this program reads version 1");
        }
        if self.max_attempts == Some(0) {
            return bad(None, "attempts", "must be at least 1");
        }
        let share = |figure: f64| (0.0..=1.0).contains(&figure);
        if !share(self.min_endpoint_share) {
            return bad(None, "keep", "must be between 0 and 1");
        }
        for (i, rule) in self.endpoint_rules.iter().enumerate() {
            let table = Some(("server", i));
            if rule.name.is_none() && rule.zone.is_none() && rule.group.is_none() {
                return bad(table, "share", "names no backend server: name, zone or group is missing");
            }
            if !share(rule.share) {
                return bad(table, "share", "must be between 0 and 1");
            }
        }
        for (i, limit) in self.outage_limits.iter().enumerate() {
            let table = Some(("out", i));
            if limit.max.is_none() && limit.share.is_none() {
                return bad(table, "most", "most or share is missing");
            }
            if limit.max == Some(0) {
                return bad(table, "most", "must be at least 1");
            }
            if limit.share.is_some_and(|figure| !share(figure)) {
                return bad(table, "share", "must be between 0 and 1");
            }
        }
        for (i, rule) in self.retry_rules.iter().enumerate() {
            let table = Some(("retries", i));
            let figures = [rule.share, rule.floor, rule.ceiling, rule.burst];
            if figures.iter().any(|figure| !(0.0..=1e6).contains(figure)) {
                return bad(table, "share", "share, floor, ceiling and burst must be between 0 and 1e6");
            }
            if rule.floor > rule.ceiling {
                return bad(table, "floor", "is over the ceiling");
            }
            if rule.burst < 1.0 {
                return bad(table, "burst", "must be at least 1, or no retry fits");
            }
            for (j, other) in self.retry_rules[..i].iter().enumerate() {
                // Danger: of two equally specific rules that meet, which one binds would depend on their order.
                if rule.named() == other.named() && rule.meets(other) {
                    let reason = format!("overlaps rule {} of the same rank: name one thing more", j + 1);
                    return Err((table, "share", reason));
                }
            }
        }
        if let Some(storm) = &self.storm {
            if storm.end_below >= storm.start_above {
                return bad(None, "under", "must be under `over`");
            }
            if storm.hold.0 < 0.5 {
                return bad(None, "for", "must be at least 500ms");
            }
            if self.retry_rules.is_empty() {
                return bad(None, "ceiling", "there is no [[retries]] whose ceiling could fall");
            }
        }
        Ok(())
    }

    /// What becomes of a backend server: the strictest of all rules that fit.
    pub fn weight_adjustment(&self, name: &str, zone: &str, group: usize) -> WeightAdjustment {
        let fits = |rule: &&EndpointRule| {
            rule.name.as_deref().is_none_or(|n| n == name)
                && rule.zone.as_deref().is_none_or(|z| z == zone)
                && rule.group.is_none_or(|g| g == group)
        };
        let least = self.endpoint_rules.iter().filter(fits).map(|rule| rule.share).reduce(f64::min);
        match least {
            None => WeightAdjustment::Unchanged,
            Some(share) if share <= 0.0 => WeightAdjustment::Excluded,
            Some(share) => WeightAdjustment::Scaled(share),
        }
    }

    /// Which retry rule binds, the most specific first.
    pub fn binding_rule(&self, wanted: &RetryAttributes<'_>) -> Option<usize> {
        let fits = self.retry_rules.iter().enumerate().filter(|(_, rule)| rule.fits(wanted));
        fits.max_by_key(|(_, rule)| rule.named()).map(|(i, _)| i)
    }

    /// Which rule binds for a request and why, in one line.
    pub fn explain(&self, wanted: &RetryAttributes<'_>) -> String {
        let Some(at) = self.binding_rule(wanted) else {
            return "no rule binds: the class's own limits and the settings alone".to_owned();
        };
        let rule = &self.retry_rules[at];
        let others = self.retry_rules.iter().filter(|rule| rule.fits(wanted)).count() - 1;
        format!(
            "rule {} binds ({} things named, {others} less specific fit too): {} for each first try, \
             {} to {} a second over the cluster, burst {}; then {:?}",
            at + 1,
            rule.named(),
            rule.share,
            rule.floor,
            rule.ceiling,
            rule.burst,
            rule.when_exhausted,
        )
    }

    /// How many may be out at once of `of` there are.
    pub fn outage_limit(&self, kind: OutageKind, zone: &str, tier: u8, of: u32) -> u32 {
        let fits = |limit: &&OutageLimit| {
            limit.kind == kind
                && limit.zone.as_deref().is_none_or(|z| z == zone)
                && limit.tier.is_none_or(|t| t == tier)
        };
        let figure = |limit: &OutageLimit| {
            let share = limit.share.map(|share| ((share * f64::from(of)) as u32).max(1));
            limit.max.into_iter().chain(share).min().unwrap_or(1)
        };
        self.outage_limits.iter().filter(fits).map(figure).min().unwrap_or(1)
    }
}
