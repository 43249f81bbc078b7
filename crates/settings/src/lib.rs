//! Reads the settings object (JSON) of a sidecar. The sidecar and the simulator's host of the decision module get the
//! same object, so its keys and units are defined here only.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use cometcroft::*;
use serde_json::Value;
use std::time::Duration;

/// The FNV-1a hash of a name: the same in every process and build.
pub fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// A value in an endpoint's load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Requests in flight.
    Inflight,
    /// Requests waiting in the endpoint's queue.
    Queue,
    /// Fraction of the CPU capacity in use.
    Utilization,
    /// Recent service time in milliseconds.
    LatencyMs,
    /// Requests served per second.
    Rate,
    /// Errors per second.
    Errors,
    /// An unknown value, which is ignored.
    Other,
}

impl Field {
    /// The value with this name in load reports.
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

    /// Sets this value in a report, converted to the report's unit.
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

/// A JSON object of the settings, with the prefix that error messages put before its keys.
struct Section<'a> {
    value: &'a Value,
    prefix: &'a str,
}

impl<'a> Section<'a> {
    fn get(&self, key: &str) -> Result<&'a Value, String> {
        self.value.get(key).ok_or_else(|| format!("setting {}{key} is missing", self.prefix))
    }

    fn section(&self, key: &str, prefix: &'a str) -> Result<Section<'a>, String> {
        Ok(Section { value: self.get(key)?, prefix })
    }

    /// A number; `default` is used if the key is absent or null.
    fn number(&self, key: &str, default: Option<f64>) -> Result<f64, String> {
        match (self.value.get(key), default) {
            (None | Some(Value::Null), Some(default)) => Ok(default),
            _ => {
                self.get(key)?.as_f64().ok_or_else(|| format!("setting {}{key} is not a number", self.prefix))
            }
        }
    }

    /// A time in nanoseconds.
    fn duration(&self, key: &str) -> Result<Duration, String> {
        let ns = self.get(key)?.as_u64();
        ns.map(Duration::from_nanos).ok_or_else(|| format!("setting {}{key} is not a time", self.prefix))
    }

    fn integer(&self, key: &str) -> Result<usize, String> {
        let integer = self.get(key)?.as_u64();
        integer
            .map(|n| n as usize)
            .ok_or_else(|| format!("setting {}{key} is not a whole number", self.prefix))
    }

    fn integer_u32(&self, key: &str) -> Result<u32, String> {
        u32::try_from(self.integer(key)?).map_err(|_| format!("setting {}{key} is too large", self.prefix))
    }

    /// A boolean; anything else is read as false.
    fn lenient_bool(&self, key: &str) -> bool {
        self.value.get(key).and_then(Value::as_bool).unwrap_or(false)
    }

    /// A boolean; false if the key is absent or null. Any other value is an error.
    fn strict_bool(&self, key: &str) -> Result<bool, String> {
        match self.value.get(key) {
            None | Some(Value::Null) => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| format!("setting {}{key} is neither true nor false", self.prefix)),
        }
    }

    fn string(&self, key: &str) -> Result<&'a str, String> {
        self.get(key)?.as_str().ok_or_else(|| format!("setting {}{key} is not a text", self.prefix))
    }

    fn array(&self, key: &str) -> Result<&'a [Value], String> {
        let array = self.get(key)?.as_array();
        array.map(Vec::as_slice).ok_or_else(|| format!("setting {}{key} is not a list", self.prefix))
    }
}

fn parse_class(value: &Value) -> Result<RequestClass, String> {
    let class = Section { value, prefix: "request-classes." };
    let effect = match class.string("effect")? {
        "read_like" => Effect::Safe,
        "non_idempotent" => Effect::Unsafe,
        "idempotency_key" => {
            let scope = match class.string("dedup-scope")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                other => return Err(format!("setting request-classes.dedup-scope is unknown: {other:?}")),
            };
            Effect::Keyed { scope, window: class.duration("key-ttl-ns")? }
        }
        other => return Err(format!("setting request-classes.effect is unknown: {other:?}")),
    };
    Ok(RequestClass {
        target_latency: class.duration("slo-ns")?,
        target_latency_work_factor: class.number("aim-stretch", Some(0.0))?,
        deadline: class.duration("deadline-ns")?,
        effect,
        value: class.number("worth", None)?,
        late_value: class.number("late-value", Some(0.0))?,
    })
}

/// The retry budget: either all of its keys are present or none is.
fn parse_budget(rules: &Section<'_>) -> Result<Option<RetryBudget>, String> {
    let absent = |key| rules.value.get(key).is_none_or(Value::is_null);
    if ["budget-free", "extra-ratio", "look-back-ns"].into_iter().all(absent) {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        min_retries: rules.number("budget-free", None)?,
        ratio: rules.number("extra-ratio", None)?,
        window: rules.duration("look-back-ns")?,
    }))
}

/// Parses the settings from JSON text. Also returns the values of a load report, in the order in which reports list
/// them.
pub fn parse_settings(conf: &str) -> Result<(Settings, Vec<Field>), String> {
    let value: Value = serde_json::from_str(conf).map_err(|e| format!("conf is not JSON: {e}"))?;
    read_settings(&value)
}

/// Like [`parse_settings`], from parsed JSON.
pub fn read_settings(value: &Value) -> Result<(Settings, Vec<Field>), String> {
    let top = Section { value, prefix: "" };
    let limits = top.section("policy-limits", "policy-limits.")?;
    let rules = top.section("contract", "contract.")?;
    let prices = top.section("prices", "prices.")?;
    let report = top.section("report", "report.")?;
    let fields =
        report.array("fields")?.iter().map(|field| Field::from_name(field.as_str().unwrap_or_default()));
    let parse_tenant = |value| -> Result<Tenant, String> {
        let tenant = Section { value, prefix: "accounts." };
        Ok(Tenant { quota_per_s: tenant.number("quota-rps", None)? })
    };
    let accounts = if value.get("accounts").is_some() { top.array("accounts")? } else { &[] };
    let settings = Settings {
        instances: top.integer_u32("instances")?,
        rank: if value.get("rank").is_some() { top.integer_u32("rank")? } else { 0 },
        tier: top.integer("tier")?,
        tiers: top.array("tiers")?.len(),
        zone: ZoneId(top.integer("zone")?),
        zones: top.array("dcs")?.len(),
        propagates_deadline: value
            .pointer("/domain/passes-deadline")
            .and_then(Value::as_bool)
            .unwrap_or(false),
        host_tick: top.duration("step-ns")?,
        classes: top.array("request-classes")?.iter().map(parse_class).collect::<Result<_, _>>()?,
        tenants: accounts.iter().map(parse_tenant).collect::<Result<_, _>>()?,
        over_quota_value: top.number("over-share-worth", Some(1.0))?,
        limits: Limits {
            cancel: limits.lenient_bool("cancel"),
            probes: limits.lenient_bool("probes"),
            hedging: limits.lenient_bool("second-copies"),
            max_attempts: limits.integer("max-attempts")? as u32,
            retry_after: limits.lenient_bool("retry-after"),
            max_retry_after: limits.duration("max-retry-after-ns")?,
        },
        rules: Rules {
            cold_capacity: rules.number("cold-from", None)?,
            ramp: rules.duration("ramp-time-ns")?,
            overload_factor: rules.number("fall-multiple", None)?,
            overload_after: rules.duration("tip-after-ns")?,
            drain_grace: rules.duration("drain-grace-ns")?,
            resubscribe_within: rules.duration("ask-within-ns").unwrap_or(Duration::MAX),
            retry_budget: parse_budget(&rules)?,
            use_removed_endpoints: rules.strict_bool("drain-binds-alone")?,
            close_idle_within: rules
                .value
                .get("let-go-in-ns")
                .map(|_| rules.duration("let-go-in-ns"))
                .transpose()?,
        },
        prices: Prices {
            probe: prices.number("probe", Some(0.0))?,
            waste: prices.number("waste", Some(0.0))?,
            cross_zone: prices.number("cross-zone", Some(0.0))?,
        },
        reports: match report.string("source")? {
            "piggyback" => ReportSource::Responses,
            "pull" => ReportSource::Probes,
            "silent" => ReportSource::None,
            other => return Err(format!("setting report.source is unknown: {other:?}")),
        },
        discovery: match top.string("discovery")? {
            "automatic" => Discovery::Push,
            "subscribe" => Discovery::Subscribe,
            other => return Err(format!("setting discovery is unknown: {other:?}")),
        },
        weights: match top.string("weight-kind")? {
            "silent" => WeightKind::None,
            "nominal" | "rough" => WeightKind::Size,
            "live" => WeightKind::Live,
            other => return Err(format!("setting weight-kind is unknown: {other:?}")),
        },
    };
    Ok((settings, fields.collect()))
}

/// Settings that the sidecar needs and the decision module does not: names and connection timeouts.
#[derive(Debug, Clone, PartialEq)]
pub struct SocketSettings {
    /// The names of the request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The names of the zones; the index of a name is its [`ZoneId`].
    pub zones: Vec<String>,
    /// Time after which an endpoint closes an idle connection.
    pub idle_timeout: Duration,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Duration,
}

/// Reads the [`SocketSettings`] from the settings object.
pub fn read_socket_settings(value: &Value) -> Result<SocketSettings, String> {
    let top = Section { value, prefix: "" };
    let limits = top.section("policy-limits", "policy-limits.")?;
    let names_of = |values: &[Value], prefix| -> Result<Vec<String>, String> {
        values.iter().map(|value| Ok(Section { value, prefix }.string("name")?.to_owned())).collect()
    };
    let accounts = if value.get("accounts").is_some() { top.array("accounts")? } else { &[] };
    let zone_name =
        |zone: &Value| zone.as_str().map(str::to_owned).ok_or("setting dcs is not a list of names");
    Ok(SocketSettings {
        classes: names_of(top.array("request-classes")?, "request-classes.")?,
        tenants: names_of(accounts, "accounts.")?,
        zones: top.array("dcs")?.iter().map(zone_name).collect::<Result<_, _>>()?,
        idle_timeout: limits.duration("conn-idle-ns")?,
        connect_timeout: limits.duration("dial-timeout-ns")?,
    })
}
