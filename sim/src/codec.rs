//! The words of the wire: parsing of event lines and of settings, writing of action lines.

use lilacwheel::*;
use serde_json::Value;
use std::time::Duration;

/// An entry of a list, its upstream still a word.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    pub word: String,
    pub key: u64,
    pub cell: CellId,
    pub zone: ZoneId,
    pub started: Option<Time>,
    pub state: State,
    pub weight: f64,
}

/// One line of a batch.
#[derive(Debug, PartialEq)]
pub enum Line<'a> {
    Mark {
        now: Time,
        batch: &'a str,
    },
    End,
    For(u32),
    Begin {
        seed: u64,
        conf: &'a str,
    },
    Exit,
    Catalog {
        set: usize,
        rows: usize,
    },
    Fleet {
        scope: Option<ListScope>,
        set: Option<usize>,
    },
    Ask {
        rid: &'a str,
        class: usize,
        tenant: Option<usize>,
        left: Duration,
        hint: Option<Duration>,
        repeat: bool,
    },
    FirstByte {
        rid: &'a str,
        attempt: u32,
    },
    Returned(Returned<'a>),
    Withdrawn(&'a str),
    Elapsed(&'a str),
    Pong {
        upstream: &'a str,
        outcome: Outcome,
        latency: Duration,
        load: &'a str,
    },
    Memo,
}

/// The values of an outcome line.
#[derive(Debug, PartialEq)]
pub struct Returned<'a> {
    pub rid: &'a str,
    pub closed: bool,
    pub outcome: Outcome,
    pub attempt: u32,
    pub latency: Duration,
    pub upstream: &'a str,
    pub load: &'a str,
}

/// The parts of a line, taken one by one.
struct Parts<'a> {
    rest: Option<&'a str>,
}

impl<'a> Parts<'a> {
    fn word(&mut self, name: &str) -> Result<&'a str, String> {
        let rest = self.rest.ok_or_else(|| format!("{name} is missing"))?;
        let (word, rest) = match rest.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if word.is_empty() { Err(format!("{name} is empty")) } else { Ok(word) }
    }

    fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        let word = self.word(name)?;
        word.parse().map_err(|_| format!("{name} is not a number in range: {word:?}"))
    }

    fn optional<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        match self.word(name)? {
            "-" => Ok(None),
            word => word.parse().map(Some).map_err(|_| format!("{name} is not a number in range: {word:?}")),
        }
    }

    fn time(&mut self, name: &str) -> Result<Duration, String> {
        Ok(Duration::from_nanos(self.number(name)?))
    }

    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.word(name)? {
            "0" => Ok(false),
            "1" => Ok(true),
            word => Err(format!("{name} is neither 0 nor 1: {word:?}")),
        }
    }

    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.word("result")? {
            "0" => Outcome::Ok,
            "13" => Outcome::Error,
            "8" => Outcome::Full,
            "4" => Outcome::Timeout,
            "14" => Outcome::ConnectFailed,
            "10" => Outcome::Reset,
            "1" => Outcome::Cancelled,
            "9" => Outcome::Moot,
            word => return Err(format!("unknown result {word:?}")),
        })
    }

    fn end(self) -> Result<(), String> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(format!("unexpected {rest:?} at the end")),
        }
    }
}

/// Reads one line of a batch.
pub fn parse(line: &str) -> Result<Line<'_>, String> {
    let mut p = Parts { rest: Some(line) };
    let line = match p.word("message")? {
        "MARK" => Line::Mark { now: p.time("clock")?, batch: p.word("batch number")? },
        "EOF_BATCH" => Line::End,
        "FOR" => Line::For(p.number("who")?),
        "BEGIN" => {
            let seed = p.word("rng-seed")?;
            let seed = match seed.parse::<u64>() {
                Ok(seed) => seed,
                Err(_) => {
                    seed.parse::<i64>().map_err(|_| format!("rng-seed is not a number: {seed:?}"))? as u64
                }
            };
            return Ok(Line::Begin { seed, conf: p.rest.ok_or("conf is missing")? });
        }
        "EXIT" => Line::Exit,
        "CATALOG" => Line::Catalog { set: p.number("set-id")?, rows: p.number("rows")? },
        "FLEET" => {
            let scope = match p.word("scope")? {
                "changes" => Some(ListScope::Changes),
                "all" => Some(ListScope::Complete),
                "remembered" => Some(ListScope::Remembered),
                "refused" => None,
                word => return Err(format!("unknown scope {word:?}")),
            };
            let _version: Option<i64> = p.optional("seq-no")?;
            Line::Fleet { scope, set: p.optional("set-id")? }
        }
        "ASK" => {
            let (rid, class) = (p.word("rid")?, p.number("kind")?);
            let tenant = p.optional("user-group")?;
            let _key = p.word("partition-key")?;
            let left = p.time("left-ns")?;
            let hint: Option<u64> = p.optional("size-hint-ns")?;
            let opts: u32 = p.optional("opts")?.unwrap_or(0);
            let hint = hint.filter(|_| opts & 1 != 0).map(Duration::from_nanos);
            Line::Ask { rid, class, tenant, left, hint, repeat: opts & 2 != 0 }
        }
        "FIRST_BYTE" => {
            let (rid, attempt) = (p.word("rid")?, p.number("send-no")?);
            p.word("upstream")?;
            p.time("latency-ns")?;
            Line::FirstByte { rid, attempt }
        }
        "RETURNED" => Line::Returned(Returned {
            rid: p.word("rid")?,
            closed: p.flag("last")?,
            outcome: p.outcome()?,
            attempt: p.number("send-no")?,
            latency: p.time("latency-ns")?,
            upstream: p.word("upstream")?,
            load: p.word("health-info")?,
        }),
        "WITHDRAWN" => Line::Withdrawn(p.word("rid")?),
        "ELAPSED" => Line::Elapsed(p.word("ctx")?),
        "PONG" => {
            let (upstream, outcome) = (p.word("upstream")?, p.outcome()?);
            let latency = p.time("latency-ns")?;
            Line::Pong { upstream, outcome, latency, load: p.word("health-info")? }
        }
        "MEMO" => return Ok(Line::Memo),
        word => return Err(format!("unknown message {word:?}")),
    };
    p.end()?;
    Ok(line)
}

/// Reads an entry of a list.
pub fn parse_item(line: &str) -> Result<Item, String> {
    let mut p = Parts { rest: Some(line) };
    if p.word("message")? != "ITEM" {
        return Err("a list entry was expected".into());
    }
    let cell = CellId(p.number("pod")?);
    let zone = ZoneId(p.number("area")?);
    let _kind: Option<usize> = p.optional("type")?;
    let since: Option<u64> = p.optional("since-ns")?;
    let word = p.word("upstream")?.to_owned();
    let state = match p.word("condition")? {
        "ready" => State::Ready,
        "draining" => State::Draining,
        "gone" => State::Gone,
        word => return Err(format!("unknown condition {word:?}")),
    };
    let weight = p.optional("weight")?.unwrap_or(1.0);
    p.end()?;
    let started = since.filter(|&ns| ns > 0).map(Duration::from_nanos);
    Ok(Item { key: hash(&word), word, cell, zone, started, state, weight })
}

/// A hash of a name that is the same in every process and build (FNV-1a).
pub fn hash(word: &str) -> u64 {
    word.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// A value of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    Inflight,
    Queue,
    Utilization,
    LatencyMs,
    Rate,
    Errors,
    Other,
}

/// Reads a load report, its values in the order of `fields`.
pub fn parse_report(word: &str, fields: &[Field]) -> Result<Option<Report>, String> {
    if word == "-" {
        return Ok(None);
    }
    let mut report = Report::default();
    for (value, field) in word.split(',').zip(fields) {
        if value == "-" {
            continue;
        }
        let value: f64 = value.parse().map_err(|_| format!("health-info is not numbers: {word:?}"))?;
        match field {
            Field::Inflight => report.inflight = Some(value),
            Field::Queue => report.queue = Some(value),
            Field::Utilization => report.utilization = Some(value),
            Field::LatencyMs => report.latency = Some(value / 1e3),
            Field::Rate => report.rate = Some(value),
            Field::Errors => report.errors = Some(value),
            Field::Other => {}
        }
    }
    Ok(Some(report))
}

/// Writes a timer's token.
pub fn write_timer(timer: Timer) -> String {
    match timer {
        Timer::Refresh => "refresh".into(),
        Timer::Subscribe => "subscribe".into(),
        Timer::Request(id) => format!("request-{}", id.0),
    }
}

/// Reads a timer's token.
pub fn parse_timer(word: &str) -> Result<Timer, String> {
    match word {
        "refresh" => Ok(Timer::Refresh),
        "subscribe" => Ok(Timer::Subscribe),
        _ => match word.strip_prefix("request-").and_then(|id| id.parse().ok()) {
            Some(id) => Ok(Timer::Request(RequestId(id))),
            None => Err(format!("unknown timer {word:?}")),
        },
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

fn parse_class(value: &Value) -> Result<Class, String> {
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
    Ok(Class {
        aim: class.time("slo-ns")?,
        aim_stretch: class.number("aim-stretch", Some(0.0))?,
        deadline: class.time("deadline-ns")?,
        effect,
        worth: class.number("worth", None)?,
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
        free: rules.number("budget-free", None)?,
        ratio: rules.number("extra-ratio", None)?,
        look_back: rules.time("look-back-ns")?,
    }))
}

/// Reads the settings of an instance and the order of its report's values.
pub fn parse_settings(conf: &str) -> Result<(Settings, Vec<Field>), String> {
    let value: Value = serde_json::from_str(conf).map_err(|e| format!("conf is not JSON: {e}"))?;
    let top = Group { value: &value, place: "" };
    let limits = top.group("policy-limits", "policy-limits.")?;
    let rules = top.group("contract", "contract.")?;
    let prices = top.group("prices", "prices.")?;
    let report = top.group("report", "report.")?;
    let fields = report.list("fields")?.iter().map(|field| match field.as_str() {
        Some("inflight") => Field::Inflight,
        Some("queue") => Field::Queue,
        Some("util") => Field::Utilization,
        Some("latency_ms") => Field::LatencyMs,
        Some("qps") => Field::Rate,
        Some("eps") => Field::Errors,
        _ => Field::Other,
    });
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
        passes_deadline: value.pointer("/domain/passes-deadline").and_then(Value::as_bool).unwrap_or(false),
        step: top.time("step-ns")?,
        classes: top.list("request-classes")?.iter().map(parse_class).collect::<Result<_, _>>()?,
        tenants: accounts.iter().map(tenant).collect::<Result<_, _>>()?,
        over_share_worth: top.number("over-share-worth", Some(1.0))?,
        limits: Limits {
            cancel: limits.flag("cancel"),
            probes: limits.flag("probes"),
            second_copies: limits.flag("second-copies"),
            max_attempts: limits.whole("max-attempts")? as u32,
            retry_after: limits.flag("retry-after"),
            max_retry_after: limits.time("max-retry-after-ns")?,
        },
        rules: Rules {
            cold_from: rules.number("cold-from", None)?,
            ramp: rules.time("ramp-time-ns")?,
            fall_multiple: rules.number("fall-multiple", None)?,
            fall_after: rules.time("tip-after-ns")?,
            drain_grace: rules.time("drain-grace-ns")?,
            ask_within: rules.time("ask-within-ns").unwrap_or(Duration::MAX),
            retry_budget: parse_budget(&rules)?,
            drain_binds_alone: rules.switch("drain-binds-alone")?,
            let_go: rules.value.get("let-go-in-ns").map(|_| rules.time("let-go-in-ns")).transpose()?,
        },
        prices: Prices {
            probe: prices.number("probe", Some(0.0))?,
            waste: prices.number("waste", Some(0.0))?,
            cross_zone: prices.number("cross-zone", Some(0.0))?,
        },
        reports: match report.text("source")? {
            "piggyback" => ReportSource::Answers,
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
