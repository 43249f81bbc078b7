//! Operators' words at the door: `/ops/plan` and what lies under it. A word's own fields come as a query, a text as the
//! body; every refusal is JSON with a code, what is wrong, and what can be done.

use crate::endpoint_table::EndpointTable;
use crate::http::server::{Request, Status};
use crate::lifecycle::Lifecycle;
use crate::plan_driver::{CommandError, PlanDriver};
use cometcroft_consensus::ConsensusError;
use cometcroft_plan::{Command, CommandOutcome, PermitTarget};
use cometcroft_platform::Platform;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A permit is shown as overdue after so many seconds, if the word does not say.
const FOR_S: u32 = 300;

/// What a path under `/ops/plan` asks for; else the method that would do, if there is such a path.
pub fn allowed_method(path: &[u8]) -> Option<&'static str> {
    match path {
        b"" => Some("GET"),
        b"/revision" => Some("GET"),
        b"/read" | b"/refound" | b"/propose" | b"/rollback" | b"/pin" | b"/release" | b"/halt"
        | b"/resume" | b"/back" | b"/drain" | b"/restart" | b"/return" | b"/force" => Some("PUT"),
        _ => None,
    }
}

type Query = BTreeMap<String, String>;

fn query(request: &Request) -> Query {
    let text = String::from_utf8_lossy(&request.target).into_owned();
    let pairs = text.split_once('?').map(|(_, query)| query.to_owned()).unwrap_or_default();
    let plain = |text: &str| percent(&text.replace('+', " "));
    pairs.split('&').filter_map(|pair| pair.split_once('=')).map(|(k, v)| (plain(k), plain(v))).collect()
}

/// Percent-encoded bytes of a query's value.
fn percent(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::with_capacity(text.len()), 0);
    while at < bytes.len() {
        let two = bytes.get(at + 1..at + 3).and_then(|two| std::str::from_utf8(two).ok());
        match (bytes[at], two.and_then(|two| u8::from_str_radix(two, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn bad(field: &str, reason: &str) -> (Status, Value) {
    let remedy = "mend the call as the text says; docs/fleet-plan.md lists the calls";
    (Status::BadRequest, json!({"code": "door.call", "text": format!("{field}: {reason}"), "do": remedy}))
}

fn number<T: std::str::FromStr>(query: &Query, field: &str) -> Result<Option<T>, (Status, Value)> {
    match query.get(field) {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| bad(field, "is no number that fits")),
    }
}

fn wanted<T: std::str::FromStr>(query: &Query, field: &str) -> Result<T, (Status, Value)> {
    number(query, field)?.ok_or_else(|| bad(field, "is missing"))
}

fn refused(failure: &CommandError) -> (Status, Value) {
    let status = match failure {
        failure if failure.is_outcome_unknown() => Status::GatewayTimeout,
        CommandError::Log(ConsensusError::NotBootstrapped | ConsensusError::TooManyProposals(_)) => {
            Status::Unavailable
        }
        _ => Status::Conflict,
    };
    (status, failure.json())
}

/// Answers a call under `/ops/plan`.
pub async fn handle<P: Platform>(
    plan: &Rc<PlanDriver<P>>,
    endpoints: &EndpointTable,
    lifecycle: &Rc<Lifecycle<P>>,
    path: &[u8],
    request: &Request,
) -> (Status, String) {
    let (status, value) = match said(plan, endpoints, lifecycle, path, request).await {
        Ok(value) => (Status::Ok, value),
        Err(refused) => refused,
    };
    let text = match value {
        Value::String(text) => text,
        value => format!("{value}\n"),
    };
    (status, text)
}

/// A planned stop: this sidecar leaves, as after SIGTERM, once its permit is given; never if it is given back first.
fn leave_in_turn<P: Platform>(plan: &Rc<PlanDriver<P>>, lifecycle: &Rc<Lifecycle<P>>, permit: u32) {
    let (plan, lifecycle) = (plan.clone(), lifecycle.clone());
    let platform = plan.platform().clone();
    platform.detach(async move {
        if plan.wait_for_permit(permit).await {
            lifecycle.begin_shutdown();
        }
    });
}

async fn said<P: Platform>(
    plan: &Rc<PlanDriver<P>>,
    endpoints: &EndpointTable,
    lifecycle: &Rc<Lifecycle<P>>,
    path: &[u8],
    request: &Request,
) -> Result<Value, (Status, Value)> {
    let query = query(request);
    let text = || String::from_utf8(request.body.to_vec()).map_err(|_| bad("body", "is no UTF-8"));
    let permit = |query: &Query| wanted::<u32>(query, "permit");
    let word = match path {
        b"" => return Ok(plan.status_json()),
        b"/revision" => {
            let number = wanted(&query, "number")?;
            return plan.revision_text(number).map(Value::String).map_err(|failure| refused(&failure));
        }
        b"/refound" => {
            let index = plan.bootstrap().await.map_err(|failure| refused(&failure))?;
            return Ok(json!({"founded": true, "index": index}));
        }
        b"/read" => Command::Noop,
        b"/propose" | b"/release" => {
            let text = text()?;
            plan.check_endpoints_left(&text, &endpoints.listed()).map_err(|failure| refused(&failure))?;
            match query.get("waves") {
                None if path == b"/propose" => Command::Propose { text },
                None => return Err(bad("waves", "is missing: shares in thousandths, such as 50,250,1000")),
                Some(_) if path == b"/propose" => return Err(bad("waves", "belongs to /ops/plan/release")),
                Some(waves) => {
                    let waves: Result<Vec<u16>, _> =
                        waves.split(',').map(|wave| wave.trim().parse()).collect();
                    let waves = waves.map_err(|_| bad("waves", "wants whole numbers with commas"))?;
                    Command::Release { text, waves }
                }
            }
        }
        b"/rollback" => {
            let to = wanted(&query, "to")?;
            // A revision that was right once may leave too little of what is there now.
            let text = plan.revision_text(to).map_err(|failure| refused(&failure))?;
            plan.check_endpoints_left(&text, &endpoints.listed()).map_err(|failure| refused(&failure))?;
            Command::RollBackTo { revision: to }
        }
        b"/pin" => Command::Pin { revision: wanted(&query, "revision")?, pinned: !query.contains_key("off") },
        b"/halt" => Command::Halt,
        b"/resume" => Command::Resume,
        b"/back" => Command::RollBackRelease,
        b"/drain" => {
            let name: String = wanted(&query, "server")?;
            let listed = endpoints.listed();
            let row = listed.iter().find(|(listed, ..)| *listed == name);
            let Some((_, zone, ..)) = row else {
                return Err(bad("server", "no backend server of that name is listed here"));
            };
            plan.check_drain(&name, &listed).map_err(|failure| refused(&failure))?;
            let (zone, tier) = (zone.clone(), plan.tier());
            Command::RequestPermit {
                target: PermitTarget::Endpoint(name),
                zone,
                tier,
                overdue_after_s: number(&query, "for_s")?.unwrap_or(FOR_S),
            }
        }
        b"/restart" => {
            let (what, zone, tier) = plan.own_permit_target();
            Command::RequestPermit {
                target: what,
                zone,
                tier,
                overdue_after_s: number(&query, "for_s")?.unwrap_or(FOR_S),
            }
        }
        b"/return" => Command::ReturnPermit { permit: permit(&query)? },
        b"/force" => Command::ForceClear { permit: permit(&query)? },
        _ => return Err((Status::NotFound, json!({}))),
    };
    let reason = query.get("reason").map(String::as_str).unwrap_or_default();
    let (expects, id) = (number(&query, "expects")?, number(&query, "id")?);
    match plan.propose(word, reason, expects, id).await {
        Ok(CommandOutcome::Applied { index, number }) => {
            if path == b"/restart" && query.contains_key("leave") {
                leave_in_turn(plan, lifecycle, number);
            }
            Ok(json!({"taken": true, "index": index, "number": number}))
        }
        Ok(CommandOutcome::Rejected(error)) => Err(refused(&error.into())),
        Err(failure) => Err(refused(&failure)),
    }
}
