//! The simulator's line protocol: parses messages, list items, load reports and timer contexts.

use cometcroft::*;

pub use cometcroft_settings::{Field, hash, parse_settings};
use std::time::Duration;

/// An entry of an endpoint list (`ITEM`). The endpoint has a name, but no id yet.
#[derive(Debug, Clone, PartialEq)]
pub struct ListItem {
    pub name: String,
    /// Hash of the name.
    pub key: u64,
    pub cell: CellId,
    pub zone: ZoneId,
    pub started: Option<Time>,
    pub state: EndpointState,
    pub weight: f64,
}

/// A message, which is one line of a batch. Each variant has the name of its message in the protocol.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// Start of a batch.
    Mark { now: Time, batch: &'a str },
    /// End of a batch (`EOF_BATCH`).
    End,
    /// The instance that the following messages are for.
    For(u32),
    /// Start of an instance.
    Begin { seed: u64, conf: &'a str },
    /// End of an instance.
    Exit,
    /// Start of an endpoint list; its items follow, one a line.
    Catalog { list_id: usize, item_count: usize },
    /// Delivery of an endpoint list. A scope of `None` (`refused`): the instance's call to discovery failed.
    Fleet { scope: Option<ListScope>, list_id: Option<usize> },
    /// A request of a client.
    Ask {
        request: &'a str,
        class: usize,
        tenant: Option<usize>,
        time_left: Duration,
        work_hint: Option<Duration>,
        client_retry: bool,
    },
    /// A streamed response has started.
    FirstByte { request: &'a str, attempt: u32 },
    /// An attempt has ended.
    Returned(Returned<'a>),
    /// The client of this request has disconnected.
    Withdrawn(&'a str),
    /// The timer with this context has expired.
    Elapsed(&'a str),
    /// A probe has ended.
    Pong { endpoint: &'a str, outcome: Outcome, latency: Duration, report: &'a str },
    /// Free text, which is ignored.
    Memo,
}

/// The fields of a `RETURNED` message.
#[derive(Debug, PartialEq)]
pub struct Returned<'a> {
    pub request: &'a str,
    /// The request has got its final response.
    pub finished: bool,
    pub outcome: Outcome,
    pub attempt: u32,
    pub latency: Duration,
    pub endpoint: &'a str,
    pub report: &'a str,
}

/// The tokens of a line, which are separated by single spaces and parsed in order.
struct Tokens<'a> {
    rest: Option<&'a str>,
}

impl<'a> Tokens<'a> {
    fn token(&mut self, name: &str) -> Result<&'a str, String> {
        let rest = self.rest.ok_or_else(|| format!("{name} is missing"))?;
        let (token, rest) = match rest.split_once(' ') {
            Some((token, rest)) => (token, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if token.is_empty() { Err(format!("{name} is empty")) } else { Ok(token) }
    }

    fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        let token = self.token(name)?;
        token.parse().map_err(|_| format!("{name} is not a number in range: {token:?}"))
    }

    /// A number, or `-` for none.
    fn optional_number<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        match self.token(name)? {
            "-" => Ok(None),
            token => {
                token.parse().map(Some).map_err(|_| format!("{name} is not a number in range: {token:?}"))
            }
        }
    }

    fn duration(&mut self, name: &str) -> Result<Duration, String> {
        Ok(Duration::from_nanos(self.number(name)?))
    }

    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.token(name)? {
            "0" => Ok(false),
            "1" => Ok(true),
            token => Err(format!("{name} is neither 0 nor 1: {token:?}")),
        }
    }

    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.token("result")? {
            "0" => Outcome::Ok,
            "13" => Outcome::Error,
            "8" => Outcome::Rejected,
            "4" => Outcome::Timeout,
            "14" => Outcome::ConnectFailed,
            "10" => Outcome::Reset,
            "1" => Outcome::Cancelled,
            "9" => Outcome::NotSent,
            token => return Err(format!("unknown result {token:?}")),
        })
    }

    /// An error if any token is left.
    fn end(self) -> Result<(), String> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(format!("unexpected {rest:?} at the end")),
        }
    }
}

/// Parses a message.
pub fn parse(line: &str) -> Result<Message<'_>, String> {
    let mut p = Tokens { rest: Some(line) };
    let message = match p.token("message")? {
        "MARK" => Message::Mark { now: p.duration("clock")?, batch: p.token("batch number")? },
        "EOF_BATCH" => Message::End,
        "FOR" => Message::For(p.number("who")?),
        "BEGIN" => {
            let seed = p.token("rng-seed")?;
            // The seed is written as an unsigned or a signed number of 64 bits.
            let seed = match seed.parse::<u64>() {
                Ok(seed) => seed,
                Err(_) => {
                    seed.parse::<i64>().map_err(|_| format!("rng-seed is not a number: {seed:?}"))? as u64
                }
            };
            return Ok(Message::Begin { seed, conf: p.rest.ok_or("conf is missing")? });
        }
        "EXIT" => Message::Exit,
        "CATALOG" => Message::Catalog { list_id: p.number("set-id")?, item_count: p.number("rows")? },
        "FLEET" => {
            let scope = match p.token("scope")? {
                "changes" => Some(ListScope::Changes),
                "all" => Some(ListScope::Complete),
                "remembered" => Some(ListScope::Restored),
                "refused" => None,
                token => return Err(format!("unknown scope {token:?}")),
            };
            let _version: Option<i64> = p.optional_number("seq-no")?;
            Message::Fleet { scope, list_id: p.optional_number("set-id")? }
        }
        "ASK" => {
            let (request, class) = (p.token("rid")?, p.number("kind")?);
            let tenant = p.optional_number("user-group")?;
            let _key = p.token("partition-key")?;
            let time_left = p.duration("left-ns")?;
            let work_hint: Option<u64> = p.optional_number("size-hint-ns")?;
            // Bit 0: the work hint is to be used. Bit 1: the client marked the request as a retry of its own.
            let opts: u32 = p.optional_number("opts")?.unwrap_or(0);
            let work_hint = work_hint.filter(|_| opts & 1 != 0).map(Duration::from_nanos);
            Message::Ask { request, class, tenant, time_left, work_hint, client_retry: opts & 2 != 0 }
        }
        "FIRST_BYTE" => {
            let (request, attempt) = (p.token("rid")?, p.number("send-no")?);
            p.token("upstream")?;
            p.duration("latency-ns")?;
            Message::FirstByte { request, attempt }
        }
        "RETURNED" => Message::Returned(Returned {
            request: p.token("rid")?,
            finished: p.flag("last")?,
            outcome: p.outcome()?,
            attempt: p.number("send-no")?,
            latency: p.duration("latency-ns")?,
            endpoint: p.token("upstream")?,
            report: p.token("health-info")?,
        }),
        "WITHDRAWN" => Message::Withdrawn(p.token("rid")?),
        "ELAPSED" => Message::Elapsed(p.token("ctx")?),
        "PONG" => {
            let (endpoint, outcome) = (p.token("upstream")?, p.outcome()?);
            let latency = p.duration("latency-ns")?;
            Message::Pong { endpoint, outcome, latency, report: p.token("health-info")? }
        }
        "MEMO" => return Ok(Message::Memo),
        token => return Err(format!("unknown message {token:?}")),
    };
    p.end()?;
    Ok(message)
}

/// Parses an entry of an endpoint list.
pub fn parse_item(line: &str) -> Result<ListItem, String> {
    let mut p = Tokens { rest: Some(line) };
    if p.token("message")? != "ITEM" {
        return Err("a list entry was expected".into());
    }
    let cell = CellId(p.number("pod")?);
    let zone = ZoneId(p.number("area")?);
    let _kind: Option<usize> = p.optional_number("type")?;
    let started: Option<u64> = p.optional_number("since-ns")?;
    let name = p.token("upstream")?.to_owned();
    let state = match p.token("condition")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        token => return Err(format!("unknown condition {token:?}")),
    };
    let weight = p.optional_number("weight")?.unwrap_or(1.0);
    p.end()?;
    let started = started.filter(|&ns| ns > 0).map(Duration::from_nanos);
    Ok(ListItem { key: hash(&name), name, cell, zone, started, state, weight })
}

/// Parses a load report, whose values are in the order of `fields`; `-` stands for an absent report or value.
pub fn parse_report(text: &str, fields: &[Field]) -> Result<Option<LoadReport>, String> {
    if text == "-" {
        return Ok(None);
    }
    let mut report = LoadReport::default();
    for (value, field) in text.split(',').zip(fields) {
        if value == "-" {
            continue;
        }
        let value: f64 = value.parse().map_err(|_| format!("health-info is not numbers: {text:?}"))?;
        field.set(&mut report, value);
    }
    Ok(Some(report))
}

/// Formats the context of a timer, which `SET_TIMER` passes to the simulator and `ELAPSED` returns.
pub fn format_timer(timer: Timer) -> String {
    match timer {
        Timer::Refresh => "refresh".into(),
        Timer::Subscribe => "subscribe".into(),
        Timer::SlowRequest(id) => format!("request-{}", id.0),
    }
}

/// Parses the context of a timer.
pub fn parse_timer(context: &str) -> Result<Timer, String> {
    match context {
        "refresh" => Ok(Timer::Refresh),
        "subscribe" => Ok(Timer::Subscribe),
        _ => match context.strip_prefix("request-").and_then(|id| id.parse().ok()) {
            Some(id) => Ok(Timer::SlowRequest(RequestId(id))),
            None => Err(format!("unknown timer {context:?}")),
        },
    }
}
