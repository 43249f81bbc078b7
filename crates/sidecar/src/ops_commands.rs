//! The part of the operations endpoint under `/ops/plan`: reads the plan and proposes commands. Arguments are passed in the
//! query, a revision's text in the body. Errors are JSON with a code, a description and a remedy.

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

/// Time after which a permit is shown as overdue, if the call does not give `for_s`, in seconds.
const DEFAULT_OVERDUE_AFTER_S: u32 = 300;

/// The HTTP method of a path under `/ops/plan`; `None` if there is no such path.
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

fn parse_query(request: &Request) -> Query {
    let text = String::from_utf8_lossy(&request.target).into_owned();
    let pairs = text.split_once('?').map(|(_, query)| query.to_owned()).unwrap_or_default();
    let decode = |text: &str| percent_decode(&text.replace('+', " "));
    pairs.split('&').filter_map(|pair| pair.split_once('=')).map(|(k, v)| (decode(k), decode(v))).collect()
}

/// Decodes percent-encoded bytes. An incomplete or invalid sequence stays as it is.
fn percent_decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::with_capacity(text.len()), 0);
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[at], digits.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// The response to a call with a missing or invalid argument.
fn invalid_call(field: &str, reason: &str) -> (Status, Value) {
    let remedy = "mend the call as the text says; docs/fleet-plan.md lists the calls";
    (Status::BadRequest, json!({"code": "door.call", "text": format!("{field}: {reason}"), "do": remedy}))
}

/// Parses an argument of the query, if it is present.
fn optional<T: std::str::FromStr>(query: &Query, field: &str) -> Result<Option<T>, (Status, Value)> {
    match query.get(field) {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| invalid_call(field, "is no number that fits")),
    }
}

/// Parses an argument that must be present.
fn required<T: std::str::FromStr>(query: &Query, field: &str) -> Result<T, (Status, Value)> {
    optional(query, field)?.ok_or_else(|| invalid_call(field, "is missing"))
}

/// The response to a command that was not applied, or whose outcome is unknown.
fn error_response(error: &CommandError) -> (Status, Value) {
    let status = match error {
        error if error.is_outcome_unknown() => Status::GatewayTimeout,
        CommandError::Log(ConsensusError::NotBootstrapped | ConsensusError::TooManyProposals(_)) => {
            Status::Unavailable
        }
        _ => Status::Conflict,
    };
    (status, error.json())
}

/// Handles a call under `/ops/plan` and returns the status and body of the response.
pub async fn handle<P: Platform>(
    plan: &Rc<PlanDriver<P>>,
    endpoints: &EndpointTable,
    lifecycle: &Rc<Lifecycle<P>>,
    path: &[u8],
    request: &Request,
) -> (Status, String) {
    let (status, value) = match execute(plan, endpoints, lifecycle, path, request).await {
        Ok(value) => (Status::Ok, value),
        Err(response) => response,
    };
    let text = match value {
        Value::String(text) => text,
        value => format!("{value}\n"),
    };
    (status, text)
}

/// Planned stop: this sidecar shuts down, as after SIGTERM, once its permit is granted; not at all if the permit is returned
/// first.
fn leave_when_permitted<P: Platform>(plan: &Rc<PlanDriver<P>>, lifecycle: &Rc<Lifecycle<P>>, permit: u32) {
    let (plan, lifecycle) = (plan.clone(), lifecycle.clone());
    let platform = plan.platform().clone();
    platform.detach(async move {
        if plan.wait_for_permit(permit).await {
            lifecycle.begin_shutdown();
        }
    });
}

/// Executes a call and returns the body of its response.
async fn execute<P: Platform>(
    plan: &Rc<PlanDriver<P>>,
    endpoints: &EndpointTable,
    lifecycle: &Rc<Lifecycle<P>>,
    path: &[u8],
    request: &Request,
) -> Result<Value, (Status, Value)> {
    let query = parse_query(request);
    let text = || String::from_utf8(request.body.to_vec()).map_err(|_| invalid_call("body", "is no UTF-8"));
    let permit = |query: &Query| required::<u32>(query, "permit");
    let command = match path {
        b"" => return Ok(plan.status_json()),
        b"/revision" => {
            let number = required(&query, "number")?;
            return plan.revision_text(number).map(Value::String).map_err(|error| error_response(&error));
        }
        b"/refound" => {
            let index = plan.bootstrap().await.map_err(|error| error_response(&error))?;
            return Ok(json!({"founded": true, "index": index}));
        }
        b"/read" => Command::Noop,
        b"/propose" | b"/release" => {
            let text = text()?;
            plan.check_endpoints_left(&text, &endpoints.listed()).map_err(|error| error_response(&error))?;
            match query.get("waves") {
                None if path == b"/propose" => Command::Propose { text },
                None => {
                    return Err(invalid_call(
                        "waves",
                        "is missing: shares in thousandths, such as 50,250,1000",
                    ));
                }
                Some(_) if path == b"/propose" => {
                    return Err(invalid_call("waves", "belongs to /ops/plan/release"));
                }
                Some(waves) => {
                    let waves: Result<Vec<u16>, _> =
                        waves.split(',').map(|wave| wave.trim().parse()).collect();
                    let waves =
                        waves.map_err(|_| invalid_call("waves", "wants whole numbers with commas"))?;
                    Command::Release { text, waves }
                }
            }
        }
        b"/rollback" => {
            let to = required(&query, "to")?;
            // A revision that was valid when proposed may leave too few of the present endpoints.
            let text = plan.revision_text(to).map_err(|error| error_response(&error))?;
            plan.check_endpoints_left(&text, &endpoints.listed()).map_err(|error| error_response(&error))?;
            Command::RollBackTo { revision: to }
        }
        b"/pin" => {
            Command::Pin { revision: required(&query, "revision")?, pinned: !query.contains_key("off") }
        }
        b"/halt" => Command::Halt,
        b"/resume" => Command::Resume,
        b"/back" => Command::RollBackRelease,
        b"/drain" => {
            let name: String = required(&query, "server")?;
            let listed = endpoints.listed();
            let endpoint = listed.iter().find(|(listed, ..)| *listed == name);
            let Some((_, zone, ..)) = endpoint else {
                return Err(invalid_call("server", "no backend server of that name is listed here"));
            };
            plan.check_drain(&name, &listed).map_err(|error| error_response(&error))?;
            let (zone, tier) = (zone.clone(), plan.tier());
            Command::RequestPermit {
                target: PermitTarget::Endpoint(name),
                zone,
                tier,
                overdue_after_s: optional(&query, "for_s")?.unwrap_or(DEFAULT_OVERDUE_AFTER_S),
            }
        }
        b"/restart" => {
            let (target, zone, tier) = plan.own_permit_target();
            Command::RequestPermit {
                target,
                zone,
                tier,
                overdue_after_s: optional(&query, "for_s")?.unwrap_or(DEFAULT_OVERDUE_AFTER_S),
            }
        }
        b"/return" => Command::ReturnPermit { permit: permit(&query)? },
        b"/force" => Command::ForceClear { permit: permit(&query)? },
        _ => return Err((Status::NotFound, json!({}))),
    };
    let reason = query.get("reason").map(String::as_str).unwrap_or_default();
    let (expected_revision, id) = (optional(&query, "expects")?, optional(&query, "id")?);
    match plan.propose(command, reason, expected_revision, id).await {
        Ok(CommandOutcome::Applied { index, number }) => {
            if path == b"/restart" && query.contains_key("leave") {
                leave_when_permitted(plan, lifecycle, number);
            }
            Ok(json!({"taken": true, "index": index, "number": number}))
        }
        Ok(CommandOutcome::Rejected(error)) => Err(error_response(&error.into())),
        Err(error) => Err(error_response(&error)),
    }
}
