//! Probes, which ask an endpoint for its load report.

use crate::counters::count;
use crate::exchange::{
    Deadlines, EndpointResponse, Exchanger, NoResponse, RequestSource, Stage, outcome_without_response,
};
use crate::http::client;
use crate::requests::ProbeResult;
use cometcroft::{EndpointId, LoadReport, Outcome};
use cometcroft_platform::Platform;
use cometcroft_settings::Field;
use serde_json::Value;
use std::cell::Cell;
use std::time::Duration;

/// Timeout of a probe. Endpoints answer probes without queueing them, so a slower response would come too late to be of use.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Upper bound for the values of a load report.
const MAX_VALUE: f64 = 1e6;

/// Sends a probe to an endpoint.
pub async fn send<P: Platform>(exchanger: &Exchanger<P>, fields: &[Field], to: EndpointId) -> ProbeResult {
    count(&exchanger.counters.probes);
    let platform = exchanger.pool.platform();
    let (stage, deadline) = (Cell::new(Stage::Unwritten), platform.now() + TIMEOUT);
    let message = || client::encode_get("/metrics/load", "backend.local");
    let probed = match platform
        .timeout_at(
            deadline,
            exchanger.run(
                to,
                message,
                RequestSource::default(),
                Deadlines { end: deadline, retry: None },
                || stage.set(Stage::Written),
            ),
        )
        .await
    {
        Ok(Ok(EndpointResponse { response, .. })) => {
            let text =
                if response.body.is_empty() { response.load_report() } else { Some(&response.body[..]) };
            let report = text.and_then(|text| parse_report(text, fields));
            (if response.status == 200 { Outcome::Ok } else { Outcome::Error }, report)
        }
        Ok(Err(error)) => (outcome_without_response(stage.get(), (&error).into()), None),
        Err(_) => (outcome_without_response(stage.get(), NoResponse::TimedOut), None),
    };
    if probed.1.is_none() {
        count(&exchanger.counters.probe_failures);
    }
    probed
}

/// Parses a load report. Fields that the settings don't name are ignored; one invalid value invalidates the report.
pub fn parse_report(text: &[u8], fields: &[Field]) -> Option<LoadReport> {
    let json: Value = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (name, value) in json.as_object()? {
        let field = Field::from_name(name);
        if !fields.contains(&field) {
            continue;
        }
        // An absurd value would make this endpoint, or all the others, look idle for a long time.
        let value = value.as_f64().filter(|value| (0.0..=MAX_VALUE).contains(value))?;
        field.set(&mut report, value);
    }
    Some(report)
}
