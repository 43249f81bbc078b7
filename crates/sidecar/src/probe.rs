//! Probes: what a backend server says of its load.

use crate::counters::count;
use crate::exchange::{Deadlines, EndpointResponse, Exchanger, NoResponse, Stage, outcome_without_response};
use crate::http::client;
use crate::requests::ProbeResult;
use cometcroft::{EndpointId, LoadReport, Outcome};
use cometcroft_platform::Platform;
use cometcroft_settings::Field;
use serde_json::Value;
use std::cell::Cell;
use std::time::Duration;

/// A probe is answered beside the queue; one that takes longer than this has told nothing in time.
const PATIENCE: Duration = Duration::from_millis(300);

/// No figure of a load report is higher than this.
const MOST: f64 = 1e6;

/// Probes a backend server.
pub async fn send<P: Platform>(exchanger: &Exchanger<P>, fields: &[Field], to: EndpointId) -> ProbeResult {
    count(&exchanger.counters.probes);
    let platform = exchanger.pool.platform();
    let (stage, ends) = (Cell::new(Stage::Unwritten), platform.now() + PATIENCE);
    let message = || client::encode_get("/metrics/load", "backend.local");
    let probed = match platform
        .timeout_at(
            ends,
            exchanger.run(to, message, None, Deadlines { end: ends, write_by: None }, || {
                stage.set(Stage::Written)
            }),
        )
        .await
    {
        Ok(Ok(EndpointResponse { response: answer, .. })) => {
            let text = if answer.body.is_empty() { answer.load_report() } else { Some(&answer.body) };
            let report = text.and_then(|text| parse_report(text, fields));
            (if answer.status == 200 { Outcome::Ok } else { Outcome::Error }, report)
        }
        Ok(Err(error)) => (outcome_without_response(stage.get(), (&error).into()), None),
        Err(_) => (outcome_without_response(stage.get(), NoResponse::TimedOut), None),
    };
    if probed.1.is_none() {
        count(&exchanger.counters.probe_failures);
    }
    probed
}

/// Reads a load report, of the values that the settings name.
pub fn parse_report(text: &[u8], fields: &[Field]) -> Option<LoadReport> {
    let value: Value = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (name, figure) in value.as_object()? {
        let field = Field::from_name(name);
        if !fields.contains(&field) {
            continue;
        }
        // Danger: one absurd figure would make its backend server, or all the others, look idle for long.
        let figure = figure.as_f64().filter(|figure| (0.0..=MOST).contains(figure))?;
        field.set(&mut report, figure);
    }
    Some(report)
}
