//! The words of the wire: parsing of event lines and of settings, writing of action lines.

use cometcroft::*;

pub use cometcroft_settings::{Field, hash, parse_settings};
use std::time::Duration;

/// An entry of a list, its upstream still a word.
#[derive(Debug, Clone, PartialEq)]
pub struct ListItem {
    pub word: String,
    pub key: u64,
    pub cell: CellId,
    pub zone: ZoneId,
    pub started: Option<Time>,
    pub state: EndpointState,
    pub weight: f64,
}

/// One line of a batch.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
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
        endpoint: &'a str,
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
    pub endpoint: &'a str,
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
            "8" => Outcome::Rejected,
            "4" => Outcome::Timeout,
            "14" => Outcome::ConnectFailed,
            "10" => Outcome::Reset,
            "1" => Outcome::Cancelled,
            "9" => Outcome::NotSent,
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
pub fn parse(line: &str) -> Result<Message<'_>, String> {
    let mut p = Parts { rest: Some(line) };
    let line = match p.word("message")? {
        "MARK" => Message::Mark { now: p.time("clock")?, batch: p.word("batch number")? },
        "EOF_BATCH" => Message::End,
        "FOR" => Message::For(p.number("who")?),
        "BEGIN" => {
            let seed = p.word("rng-seed")?;
            let seed = match seed.parse::<u64>() {
                Ok(seed) => seed,
                Err(_) => {
                    seed.parse::<i64>().map_err(|_| format!("rng-seed is not a number: {seed:?}"))? as u64
                }
            };
            return Ok(Message::Begin { seed, conf: p.rest.ok_or("conf is missing")? });
        }
        "EXIT" => Message::Exit,
        "CATALOG" => Message::Catalog { set: p.number("set-id")?, rows: p.number("rows")? },
        "FLEET" => {
            let scope = match p.word("scope")? {
                "changes" => Some(ListScope::Changes),
                "all" => Some(ListScope::Complete),
                "remembered" => Some(ListScope::Restored),
                "refused" => None,
                word => return Err(format!("unknown scope {word:?}")),
            };
            let _version: Option<i64> = p.optional("seq-no")?;
            Message::Fleet { scope, set: p.optional("set-id")? }
        }
        "ASK" => {
            let (rid, class) = (p.word("rid")?, p.number("kind")?);
            let tenant = p.optional("user-group")?;
            let _key = p.word("partition-key")?;
            let left = p.time("left-ns")?;
            let hint: Option<u64> = p.optional("size-hint-ns")?;
            let opts: u32 = p.optional("opts")?.unwrap_or(0);
            let hint = hint.filter(|_| opts & 1 != 0).map(Duration::from_nanos);
            Message::Ask { rid, class, tenant, left, hint, repeat: opts & 2 != 0 }
        }
        "FIRST_BYTE" => {
            let (rid, attempt) = (p.word("rid")?, p.number("send-no")?);
            p.word("upstream")?;
            p.time("latency-ns")?;
            Message::FirstByte { rid, attempt }
        }
        "RETURNED" => Message::Returned(Returned {
            rid: p.word("rid")?,
            closed: p.flag("last")?,
            outcome: p.outcome()?,
            attempt: p.number("send-no")?,
            latency: p.time("latency-ns")?,
            endpoint: p.word("upstream")?,
            load: p.word("health-info")?,
        }),
        "WITHDRAWN" => Message::Withdrawn(p.word("rid")?),
        "ELAPSED" => Message::Elapsed(p.word("ctx")?),
        "PONG" => {
            let (endpoint, outcome) = (p.word("upstream")?, p.outcome()?);
            let latency = p.time("latency-ns")?;
            Message::Pong { endpoint, outcome, latency, load: p.word("health-info")? }
        }
        "MEMO" => return Ok(Message::Memo),
        word => return Err(format!("unknown message {word:?}")),
    };
    p.end()?;
    Ok(line)
}

/// Reads an entry of a list.
pub fn parse_item(line: &str) -> Result<ListItem, String> {
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
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        word => return Err(format!("unknown condition {word:?}")),
    };
    let weight = p.optional("weight")?.unwrap_or(1.0);
    p.end()?;
    let started = since.filter(|&ns| ns > 0).map(Duration::from_nanos);
    Ok(ListItem { key: hash(&word), word, cell, zone, started, state, weight })
}

/// Reads a load report, its values in the order of `fields`.
pub fn parse_report(word: &str, fields: &[Field]) -> Result<Option<LoadReport>, String> {
    if word == "-" {
        return Ok(None);
    }
    let mut report = LoadReport::default();
    for (value, field) in word.split(',').zip(fields) {
        if value == "-" {
            continue;
        }
        let value: f64 = value.parse().map_err(|_| format!("health-info is not numbers: {word:?}"))?;
        field.set(&mut report, value);
    }
    Ok(Some(report))
}

/// Writes a timer's token.
pub fn write_timer(timer: Timer) -> String {
    match timer {
        Timer::Refresh => "refresh".into(),
        Timer::Subscribe => "subscribe".into(),
        Timer::SlowRequest(id) => format!("request-{}", id.0),
    }
}

/// Reads a timer's token.
pub fn parse_timer(word: &str) -> Result<Timer, String> {
    match word {
        "refresh" => Ok(Timer::Refresh),
        "subscribe" => Ok(Timer::Subscribe),
        _ => match word.strip_prefix("request-").and_then(|id| id.parse().ok()) {
            Some(id) => Ok(Timer::SlowRequest(RequestId(id))),
            None => Err(format!("unknown timer {word:?}")),
        },
    }
}
