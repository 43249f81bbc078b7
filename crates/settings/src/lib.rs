//! The settings object of an instance, read once for all who host the module: the simulator's adapter and
//! the sidecar get the same object, so its words and units live here alone.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use cometcroft::*;
use serde_json::Value;
use std::time::Duration;

/// A hash of a name that is the same in every process and build (FNV-1a).
pub fn hash(word: &str) -> u64 {
    word.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// A value of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Requests in hand.
    Inflight,
    /// Requests waiting.
    Queue,
    /// Fraction of CPU occupied.
    Utilization,
    /// Recent service time in milliseconds.
    LatencyMs,
    /// Requests served a second.
    Rate,
    /// Errors a second.
    Errors,
    /// One that is not known here.
    Other,
}

impl Field {
    /// The value that a report calls by this name.
    pub fn from_name(name: &str) -> Field {
        match name {
            "inflight" => Field::Inflight,
            "queue" => Field::Queue,
            "util" => Field::Utilization,
            "latency_ms" => Field::LatencyMs,
            "qps" => Field::Rate,
            "eps" => Field::Errors,
            _ => Field::Other,
        }
    }

    /// Writes a value down in a report.
    pub fn set(self, report: &mut LoadReport, value: f64) {
        match self {
            Field::Inflight => report.inflight = Some(value),
            Field::Queue => report.queue = Some(value),
            Field::Utilization => report.utilization = Some(value),
            Field::LatencyMs => report.latency = Some(value / 1e3),
            Field::Rate => report.rate = Some(value),
            Field::Errors => report.errors = Some(value),
            Field::Other => {}
        }
    }
}

/// A group of settings, with its place for messages.
struct Group<'a> {
    value: &'a Value,
    place: &'a str,
}

impl<'a> Group<'a> {
    fn get(&self, key: &str) -> Result<&'a Value, String> {
        self.value.get(key).ok_or_else(|| format!("setting {}{key} is missing", self.place))
    }

    fn group(&self, key: &str, place: &'a str) -> Result<Group<'a>, String> {
        Ok(Group { value: self.get(key)?, place })
    }

    fn number(&self, key: &str, default: Option<f64>) -> Result<f64, String> {
        match (self.value.get(key), default) {
            (None | Some(Value::Null), Some(default)) => Ok(default),
            _ => {
                self.get(key)?.as_f64().ok_or_else(|| format!("setting {}{key} is not a number", self.place))
            }
        }
    }

    fn time(&self, key: &str) -> Result<Duration, String> {
        let ns = self.get(key)?.as_u64();
        ns.map(Duration::from_nanos).ok_or_else(|| format!("setting {}{key} is not a time", self.place))
    }

    fn whole(&self, key: &str) -> Result<usize, String> {
        let whole = self.get(key)?.as_u64();
        whole.map(|n| n as usize).ok_or_else(|| format!("setting {}{key} is not a whole number", self.place))
    }

    fn count(&self, key: &str) -> Result<u32, String> {
        u32::try_from(self.whole(key)?).map_err(|_| format!("setting {}{key} is too large", self.place))
    }

    fn flag(&self, key: &str) -> bool {
        self.value.get(key).and_then(Value::as_bool).unwrap_or(false)
    }

    /// A flag that may be absent but, where it is present, must be one.
    fn switch(&self, key: &str) -> Result<bool, String> {
        match self.value.get(key) {
            None | Some(Value::Null) => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| format!("setting {}{key} is neither true nor false", self.place)),
        }
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.get(key)?.as_str().ok_or_else(|| format!("setting {}{key} is not a text", self.place))
    }

    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        let list = self.get(key)?.as_array();
        list.map(Vec::as_slice).ok_or_else(|| format!("setting {}{key} is not a list", self.place))
    }
}

fn parse_class(value: &Value) -> Result<RequestClass, String> {
    let class = Group { value, place: "request-classes." };
    let effect = match class.text("effect")? {
        "read_like" => Effect::Safe,
        "non_idempotent" => Effect::Unsafe,
        "idempotency_key" => {
            let scope = match class.text("dedup-scope")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                word => return Err(format!("setting request-classes.dedup-scope is unknown: {word:?}")),
            };
            Effect::Keyed { scope, window: class.time("key-ttl-ns")? }
        }
        word => return Err(format!("setting request-classes.effect is unknown: {word:?}")),
    };
    Ok(RequestClass {
        target_latency: class.time("slo-ns")?,
        target_latency_work_factor: class.number("aim-stretch", Some(0.0))?,
        deadline: class.time("deadline-ns")?,
        effect,
        value: class.number("worth", None)?,
        late_value: class.number("late-value", Some(0.0))?,
    })
}

/// The budget of further attempts: all of its keys or none.
fn parse_budget(rules: &Group<'_>) -> Result<Option<RetryBudget>, String> {
    let absent = |key| rules.value.get(key).is_none_or(Value::is_null);
    if ["budget-free", "extra-ratio", "look-back-ns"].into_iter().all(absent) {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        min_retries: rules.number("budget-free", None)?,
        ratio: rules.number("extra-ratio", None)?,
        window: rules.time("look-back-ns")?,
    }))
}

/// Reads the settings of an instance and the order of its report's values.
pub fn parse_settings(conf: &str) -> Result<(Settings, Vec<Field>), String> {
    let value: Value = serde_json::from_str(conf).map_err(|e| format!("conf is not JSON: {e}"))?;
    read_settings(&value)
}

/// Reads the settings of an instance from JSON that is parsed already.
pub fn read_settings(value: &Value) -> Result<(Settings, Vec<Field>), String> {
    let top = Group { value, place: "" };
    let limits = top.group("policy-limits", "policy-limits.")?;
    let rules = top.group("contract", "contract.")?;
    let prices = top.group("prices", "prices.")?;
    let report = top.group("report", "report.")?;
    let fields =
        report.list("fields")?.iter().map(|field| Field::from_name(field.as_str().unwrap_or_default()));
    let tenant = |value| -> Result<Tenant, String> {
        let tenant = Group { value, place: "accounts." };
        Ok(Tenant { quota_per_s: tenant.number("quota-rps", None)? })
    };
    let accounts = if value.get("accounts").is_some() { top.list("accounts")? } else { &[] };
    let settings = Settings {
        instances: top.count("instances")?,
        rank: if value.get("rank").is_some() { top.count("rank")? } else { 0 },
        tier: top.whole("tier")?,
        tiers: top.list("tiers")?.len(),
        zone: ZoneId(top.whole("zone")?),
        zones: top.list("dcs")?.len(),
        propagates_deadline: value
            .pointer("/domain/passes-deadline")
            .and_then(Value::as_bool)
            .unwrap_or(false),
        host_tick: top.time("step-ns")?,
        classes: top.list("request-classes")?.iter().map(parse_class).collect::<Result<_, _>>()?,
        tenants: accounts.iter().map(tenant).collect::<Result<_, _>>()?,
        over_quota_value: top.number("over-share-worth", Some(1.0))?,
        limits: Limits {
            cancel: limits.flag("cancel"),
            probes: limits.flag("probes"),
            hedging: limits.flag("second-copies"),
            max_attempts: limits.whole("max-attempts")? as u32,
            retry_after: limits.flag("retry-after"),
            max_retry_after: limits.time("max-retry-after-ns")?,
        },
        rules: Rules {
            cold_capacity: rules.number("cold-from", None)?,
            ramp: rules.time("ramp-time-ns")?,
            overload_factor: rules.number("fall-multiple", None)?,
            overload_after: rules.time("tip-after-ns")?,
            drain_grace: rules.time("drain-grace-ns")?,
            resubscribe_within: rules.time("ask-within-ns").unwrap_or(Duration::MAX),
            retry_budget: parse_budget(&rules)?,
            use_removed_endpoints: rules.switch("drain-binds-alone")?,
            close_idle_within: rules
                .value
                .get("let-go-in-ns")
                .map(|_| rules.time("let-go-in-ns"))
                .transpose()?,
        },
        prices: Prices {
            probe: prices.number("probe", Some(0.0))?,
            waste: prices.number("waste", Some(0.0))?,
            cross_zone: prices.number("cross-zone", Some(0.0))?,
        },
        reports: match report.text("source")? {
            "piggyback" => ReportSource::Responses,
            "pull" => ReportSource::Probes,
            "silent" => ReportSource::None,
            word => return Err(format!("setting report.source is unknown: {word:?}")),
        },
        discovery: match top.text("discovery")? {
            "automatic" => Discovery::Push,
            "subscribe" => Discovery::Subscribe,
            word => return Err(format!("setting discovery is unknown: {word:?}")),
        },
        weights: match top.text("weight-kind")? {
            "silent" => WeightKind::None,
            "nominal" | "rough" => WeightKind::Size,
            "live" => WeightKind::Live,
            word => return Err(format!("setting weight-kind is unknown: {word:?}")),
        },
    };
    Ok((settings, fields.collect()))
}

/// What a sidecar on sockets needs of the settings beside what the module does.
#[derive(Debug, Clone, PartialEq)]
pub struct SocketSettings {
    /// The names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// A connection that has stood idle for so long is closed by the other side.
    pub idle_timeout: Duration,
    /// A connection that is not up after this time has failed.
    pub connect_timeout: Duration,
}

/// Reads what a sidecar on sockets needs of the settings.
pub fn read_socket_settings(value: &Value) -> Result<SocketSettings, String> {
    let top = Group { value, place: "" };
    let limits = top.group("policy-limits", "policy-limits.")?;
    let names = |values: &[Value], place| -> Result<Vec<String>, String> {
        values.iter().map(|value| Ok(Group { value, place }.text("name")?.to_owned())).collect()
    };
    let accounts = if value.get("accounts").is_some() { top.list("accounts")? } else { &[] };
    let zone = |zone: &Value| zone.as_str().map(str::to_owned).ok_or("setting dcs is not a list of names");
    Ok(SocketSettings {
        classes: names(top.list("request-classes")?, "request-classes.")?,
        tenants: names(accounts, "accounts.")?,
        zones: top.list("dcs")?.iter().map(zone).collect::<Result<_, _>>()?,
        idle_timeout: limits.time("conn-idle-ns")?,
        connect_timeout: limits.time("dial-timeout-ns")?,
    })
}
