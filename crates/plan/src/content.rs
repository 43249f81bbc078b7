//! The content of a routing revision: a TOML text, format version 1.

use cometcroft_tomlfile::{FileError, Time, read};
use serde::{Deserialize, Serialize};

/// Maximum length of a revision's text.
pub const MAX_TEXT_BYTES: usize = 24 << 10;

// Type errors name the expected type, and the error text of a rejected revision is part of the replicated state. The
// `expecting` attributes below keep that text equal to what earlier versions write.

/// The content of a revision. Unknown fields are rejected.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionContent {
    /// Version of the format.
    pub version: u32,
    /// Maximum number of attempts of a request. It can lower the limit of the settings, not raise it.
    #[serde(rename = "attempts")]
    pub max_attempts: Option<u32>,
    /// Share of the listed endpoints that must remain usable after rules and permits are applied.
    #[serde(rename = "keep", default = "default_min_endpoint_share")]
    pub min_endpoint_share: f64,
    /// Rules that reduce the weight of endpoints.
    #[serde(rename = "server", default)]
    pub endpoint_rules: Vec<EndpointRule>,
    /// Limits on how many sidecars or endpoints may be out of service at once.
    #[serde(rename = "out", default)]
    pub outage_limits: Vec<OutageLimit>,
    /// Limits on retries over the whole fleet.
    #[serde(rename = "retries", default)]
    pub retry_rules: Vec<RetryRule>,
    /// Detection of retry storms.
    pub storm: Option<StormRule>,
}

fn default_min_endpoint_share() -> f64 {
    0.5
}

/// `[[server]]`: a rule for the endpoints that match every field that is set.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct ServerRule")]
pub struct EndpointRule {
    /// Name of the endpoint.
    pub name: Option<String>,
    /// Zone of the endpoint.
    pub zone: Option<String>,
    /// Group of the endpoint.
    pub group: Option<usize>,
    /// Factor between 0 and 1 for the endpoint's weight; 0 excludes the endpoint.
    pub share: f64,
}

/// What an outage limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// Sidecars.
    Sidecars,
    /// Endpoints.
    #[serde(rename = "servers")]
    Endpoints,
}

/// `[[out]]`: how many may be out of service at once, counted for each pair of zone and tier. Where several limits
/// match, the lowest applies.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct OutLimit")]
pub struct OutageLimit {
    /// What is counted.
    #[serde(rename = "of")]
    pub kind: OutageKind,
    /// Zone to which the limit applies; all zones if not set.
    pub zone: Option<String>,
    /// Tier to which the limit applies; all tiers if not set.
    pub tier: Option<u8>,
    /// Maximum number.
    #[serde(rename = "most")]
    pub max: Option<u32>,
    /// Maximum share of those present, rounded down but at least one.
    pub share: Option<f64>,
}

/// Why a request is retried: how the previous attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryCause {
    /// The endpoint rejected the attempt.
    #[serde(rename = "refused")]
    Rejected,
    /// The connection failed, or broke before the request was completely sent: the attempt never ran.
    NeverConnected,
    /// An error or a broken connection after the request was completely sent: the attempt may have run.
    MayHaveRun,
    /// The attempt timed out.
    #[serde(rename = "late")]
    TimedOut,
}

/// What happens to a retry when its rule's limit is exhausted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExhaustedAction {
    /// The retry is not made.
    #[default]
    Deny,
    /// The retry is made and counted. With this, a new rule can be tried out without effect on traffic.
    Count,
}

/// `[[retries]]`: a limit on the retries that match every field that is set.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryRule {
    /// Tenant of the request.
    pub tenant: Option<String>,
    /// Class of the request.
    pub class: Option<String>,
    /// Tier of the sidecar.
    pub tier: Option<u8>,
    /// Zone of the sidecar.
    pub zone: Option<String>,
    /// How the previous attempt ended.
    pub after: Option<RetryCause>,
    /// Retries that are allowed per first attempt.
    pub share: f64,
    /// Retries per second over the whole fleet that are allowed even without first attempts.
    #[serde(default)]
    pub floor: f64,
    /// Maximum number of retries per second over the whole fleet.
    pub ceiling: f64,
    /// Maximum number of unused retries that are saved up.
    #[serde(default = "default_burst")]
    pub burst: f64,
    /// What happens to a retry beyond the limit.
    #[serde(rename = "spent", default)]
    pub when_exhausted: ExhaustedAction,
}

fn default_burst() -> f64 {
    10.0
}

/// `[storm]`: when the fleet's retries count as a storm. Different bounds for start and end keep it from flapping.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Storm")]
pub struct StormRule {
    /// A storm starts when the ratio of retries to first attempts has been above this for `hold`.
    #[serde(rename = "over")]
    pub start_above: f64,
    /// How long the ratio must stay beyond a bound before a storm starts or ends.
    #[serde(rename = "for")]
    pub hold: Time,
    /// A storm ends when the ratio has been below this for `hold`.
    #[serde(rename = "under")]
    pub end_below: f64,
    /// Upper limit on the ceiling of each retry rule during a storm.
    pub ceiling: f64,
}

/// The effect of the endpoint rules on an endpoint's weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WeightAdjustment {
    /// The weight stays as it is.
    Unchanged,
    /// The weight is multiplied by this factor.
    Scaled(f64),
    /// The endpoint gets no requests.
    Excluded,
}

/// The attributes of a retry by which rules select it.
#[derive(Debug, Clone, Copy)]
pub struct RetryAttributes<'a> {
    /// Tenant of the request.
    pub tenant: Option<&'a str>,
    /// Class of the request.
    pub class: &'a str,
    /// Tier of the sidecar.
    pub tier: u8,
    /// Zone of the sidecar.
    pub zone: &'a str,
    /// How the previous attempt ended; `None` matches every rule.
    pub after: Option<RetryCause>,
}

impl RetryRule {
    /// Number of attributes that the rule selects by.
    fn specificity(&self) -> usize {
        usize::from(self.tenant.is_some())
            + usize::from(self.class.is_some())
            + usize::from(self.tier.is_some())
            + usize::from(self.zone.is_some())
            + usize::from(self.after.is_some())
    }

    fn matches(&self, retry: &RetryAttributes<'_>) -> bool {
        let text = |selected: &Option<String>, actual: Option<&str>| {
            selected.is_none() || selected.as_deref() == actual
        };
        text(&self.tenant, retry.tenant)
            && text(&self.class, Some(retry.class))
            && text(&self.zone, Some(retry.zone))
            && self.tier.is_none_or(|tier| tier == retry.tier)
            && (self.after.is_none() || retry.after.is_none() || self.after == retry.after)
    }

    /// Whether some retry matches both rules.
    fn overlaps(&self, other: &RetryRule) -> bool {
        fn exclusive<T: PartialEq>(a: &Option<T>, b: &Option<T>) -> bool {
            a.is_some() && b.is_some() && a != b
        }
        !(exclusive(&self.tenant, &other.tenant)
            || exclusive(&self.class, &other.class)
            || exclusive(&self.tier, &other.tier)
            || exclusive(&self.zone, &other.zone)
            || exclusive(&self.after, &other.after))
    }
}

/// A field whose value has the right type but is not allowed.
struct InvalidField {
    /// Name and position of the array table that holds the field, if any.
    table: Option<(&'static str, usize)>,
    field: &'static str,
    reason: String,
}

impl RevisionContent {
    /// The content that is in force before the first revision: no rules, so that only the settings apply.
    pub fn empty() -> RevisionContent {
        RevisionContent {
            version: 1,
            max_attempts: None,
            min_endpoint_share: default_min_endpoint_share(),
            endpoint_rules: Vec::new(),
            outage_limits: Vec::new(),
            retry_rules: Vec::new(),
            storm: None,
        }
    }

    /// Parses and validates a text. `file` is the name that errors show.
    pub fn parse(text: &str, file: &str) -> Result<RevisionContent, FileError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(FileError::new(file, format!("{} bytes, {MAX_TEXT_BYTES} at most", text.len())));
        }
        let content: RevisionContent = read(text, file)?;
        content.validate().map_err(|InvalidField { table, field, reason }| {
            let header = table.and_then(|(name, i)| text.match_indices(&format!("[[{name}]]")).nth(i));
            let from = header.map_or(0, |(at, _)| at);
            // A field outside of array tables is either one of the top level or one of `[storm]`.
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

    // The reasons are part of the replicated state, as they are stored with the outcome of a rejected command. Sidecars
    // of different versions must write the same text, so a reworded reason is a change of format.
    fn validate(&self) -> Result<(), InvalidField> {
        let invalid =
            |table, field, reason: &str| Err(InvalidField { table, field, reason: reason.to_owned() });
        if self.version != 1 {
            return invalid(None, "version", "this program reads version 1");
        }
        if self.max_attempts == Some(0) {
            return invalid(None, "attempts", "must be at least 1");
        }
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        if !is_share(self.min_endpoint_share) {
            return invalid(None, "keep", "must be between 0 and 1");
        }
        for (i, rule) in self.endpoint_rules.iter().enumerate() {
            let table = Some(("server", i));
            if rule.name.is_none() && rule.zone.is_none() && rule.group.is_none() {
                return invalid(table, "share", "names no backend server: name, zone or group is missing");
            }
            if !is_share(rule.share) {
                return invalid(table, "share", "must be between 0 and 1");
            }
        }
        for (i, limit) in self.outage_limits.iter().enumerate() {
            let table = Some(("out", i));
            if limit.max.is_none() && limit.share.is_none() {
                return invalid(table, "most", "most or share is missing");
            }
            if limit.max == Some(0) {
                return invalid(table, "most", "must be at least 1");
            }
            if limit.share.is_some_and(|share| !is_share(share)) {
                return invalid(table, "share", "must be between 0 and 1");
            }
        }
        for (i, rule) in self.retry_rules.iter().enumerate() {
            let table = Some(("retries", i));
            let values = [rule.share, rule.floor, rule.ceiling, rule.burst];
            if values.iter().any(|value| !(0.0..=1e6).contains(value)) {
                return invalid(table, "share", "share, floor, ceiling and burst must be between 0 and 1e6");
            }
            if rule.floor > rule.ceiling {
                return invalid(table, "floor", "is over the ceiling");
            }
            if rule.burst < 1.0 {
                return invalid(table, "burst", "must be at least 1, or no retry fits");
            }
            for (j, other) in self.retry_rules[..i].iter().enumerate() {
                // If two overlapping rules were equally specific, their order in the text would decide which one
                // applies.
                if rule.specificity() == other.specificity() && rule.overlaps(other) {
                    let reason = format!("overlaps rule {} of the same rank: name one thing more", j + 1);
                    return Err(InvalidField { table, field: "share", reason });
                }
            }
        }
        if let Some(storm) = &self.storm {
            if storm.end_below >= storm.start_above {
                return invalid(None, "under", "must be under `over`");
            }
            if storm.hold.0 < 0.5 {
                return invalid(None, "for", "must be at least 500ms");
            }
            if self.retry_rules.is_empty() {
                return invalid(None, "ceiling", "there is no [[retries]] whose ceiling could fall");
            }
        }
        Ok(())
    }

    /// The effect of the endpoint rules on an endpoint. Where several rules match, the strictest applies.
    pub fn weight_adjustment(&self, name: &str, zone: &str, group: usize) -> WeightAdjustment {
        let matches = |rule: &&EndpointRule| {
            rule.name.as_deref().is_none_or(|n| n == name)
                && rule.zone.as_deref().is_none_or(|z| z == zone)
                && rule.group.is_none_or(|g| g == group)
        };
        let lowest = self.endpoint_rules.iter().filter(matches).map(|rule| rule.share).reduce(f64::min);
        match lowest {
            None => WeightAdjustment::Unchanged,
            Some(share) if share <= 0.0 => WeightAdjustment::Excluded,
            Some(share) => WeightAdjustment::Scaled(share),
        }
    }

    /// Index of the retry rule that applies: the most specific of those that match.
    pub fn binding_rule(&self, retry: &RetryAttributes<'_>) -> Option<usize> {
        let matching = self.retry_rules.iter().enumerate().filter(|(_, rule)| rule.matches(retry));
        matching.max_by_key(|(_, rule)| rule.specificity()).map(|(i, _)| i)
    }

    /// Says in one line which retry rule applies and why.
    pub fn explain(&self, retry: &RetryAttributes<'_>) -> String {
        let Some(i) = self.binding_rule(retry) else {
            return "no rule binds: the class's own limits and the settings alone".to_owned();
        };
        let rule = &self.retry_rules[i];
        let others = self.retry_rules.iter().filter(|rule| rule.matches(retry)).count() - 1;
        format!(
            "rule {} binds ({} things named, {others} less specific fit too): {} for each first try, \
             {} to {} a second over the cluster, burst {}; then {:?}",
            i + 1,
            rule.specificity(),
            rule.share,
            rule.floor,
            rule.ceiling,
            rule.burst,
            rule.when_exhausted,
        )
    }

    /// How many of `total` sidecars or endpoints in a zone and tier may be out of service at once: one if no limit
    /// matches.
    pub fn outage_limit(&self, kind: OutageKind, zone: &str, tier: u8, total: u32) -> u32 {
        let matches = |limit: &&OutageLimit| {
            limit.kind == kind
                && limit.zone.as_deref().is_none_or(|z| z == zone)
                && limit.tier.is_none_or(|t| t == tier)
        };
        let allowed = |limit: &OutageLimit| {
            let share = limit.share.map(|share| ((share * f64::from(total)) as u32).max(1));
            limit.max.into_iter().chain(share).min().unwrap_or(1)
        };
        self.outage_limits.iter().filter(matches).map(allowed).min().unwrap_or(1)
    }
}
