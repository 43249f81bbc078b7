//! Sends attempts and probes over HTTP for the request driver, and reports their outcomes.

use crate::client_watch::ClientWatch;
use crate::counters::count;
use crate::exchange::{
    Deadlines, EndpointResponse, Exchanger, NoResponse, RequestSource, Stage, outcome_without_response,
    response_outcome,
};
use crate::fleet::Fleet;
use crate::http::client;
use crate::http::server::Request;
use crate::probe;
use crate::requests::{AttemptResult, KeyedRetry, LocalBoxFuture, ProbeResult, Transport};
use crate::upload::Upload;
use bytes::Bytes;
use cometcroft::{ClassId, EndpointId, Outcome};
use cometcroft_plan::RetryCause;
use cometcroft_platform::Platform;
use cometcroft_settings::Field;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::Instrument;

/// A request that is being forwarded, shared by all its attempts.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The request as received.
    pub request: Request,
    /// The request's class.
    pub class: ClassId,
    /// The body, if it is too large to be part of the request.
    pub upload: Option<Upload>,
    /// Number of attempts started.
    pub attempts_started: Cell<u32>,
    /// Time that the client has at least, once its last byte is written.
    pub time_left: Duration,
    /// Number of attempts that may have run.
    pub possible_runs: Cell<u32>,
    /// When the client's time ends; `None` while a body is incomplete, whose last byte has not been written.
    pub client_deadline: Cell<Option<Instant>>,
    /// Whether the client is still there.
    pub client: Rc<ClientWatch>,
    /// Cause of the last failed attempt.
    pub last_failure: Cell<Option<RetryCause>>,
}

impl ForwardedRequest {
    /// Upper bound of the time that an endpoint may be told. While the body is incomplete, the client's time may have begun
    /// when its connection was last read empty.
    fn client_time_left(&self, now: Instant) -> Duration {
        match self.client_deadline.get() {
            Some(deadline) => deadline.saturating_duration_since(now),
            None => self.time_left.saturating_sub(now.saturating_duration_since(self.client.last_seen(now))),
        }
    }
}

/// Sends attempts and probes over pooled HTTP connections.
#[derive(Clone)]
pub struct PooledTransport<P: Platform> {
    /// Sends single requests.
    pub exchanger: Exchanger<P>,
    /// The fields that load reports contain.
    pub fields: Rc<RefCell<Rc<[Field]>>>,
    /// The fleet, which limits attempts and probes, if this sidecar is part of one.
    pub fleet: Option<Rc<Fleet<P>>>,
}

impl<P: Platform> Transport for PooledTransport<P> {
    type Platform = P;
    type Payload = Rc<ForwardedRequest>;
    type Response = EndpointResponse;

    fn platform(&self) -> &P {
        self.exchanger.pool.platform()
    }

    fn send_attempt(
        &self,
        to: EndpointId,
        payload: Rc<ForwardedRequest>,
        timeout: Duration,
        retry: Option<KeyedRetry>,
    ) -> LocalBoxFuture<AttemptResult<EndpointResponse>> {
        let transport = self.clone();
        Box::pin(async move {
            let span = tracing::debug_span!(
                "attempt",
                request = payload.request.id(),
                number = payload.attempts_started.get() + 1
            );
            let end = transport.platform().now() + timeout;
            let result = transport.attempt(to, &payload, end, retry).instrument(span.clone()).await;
            let endpoint = transport.exchanger.endpoints.address(to).map(tracing::field::display);
            span.in_scope(|| tracing::debug!(endpoint, outcome = ?result.outcome, "attempt ended"));
            payload.last_failure.set(retry_cause(result.outcome).or(payload.last_failure.get()));
            result
        })
    }

    fn probe(&self, to: EndpointId) -> LocalBoxFuture<ProbeResult> {
        let transport = self.clone();
        Box::pin(async move {
            if transport.fleet.as_ref().is_some_and(|fleet| !fleet.allow_probe()) {
                count(&transport.exchanger.counters.probes_barred);
                return (Outcome::NotSent, None);
            }
            let fields = transport.fields.borrow().clone();
            probe::send(&transport.exchanger, &fields, to).await
        })
    }

    fn close_idle(&self, to: EndpointId) {
        self.exchanger.pool.close_idle(to);
    }
}

/// The cause that retry policies know for an outcome.
fn retry_cause(outcome: Outcome) -> Option<RetryCause> {
    match outcome {
        Outcome::Rejected => Some(RetryCause::Rejected),
        Outcome::ConnectFailed => Some(RetryCause::NeverConnected),
        Outcome::Error | Outcome::Reset => Some(RetryCause::MayHaveRun),
        Outcome::Timeout | Outcome::Cancelled => Some(RetryCause::TimedOut),
        // For an attempt that was never sent, the cause of the one before still applies.
        Outcome::Ok | Outcome::NotSent => None,
    }
}

impl<P: Platform> PooledTransport<P> {
    async fn attempt(
        &self,
        to: EndpointId,
        payload: &ForwardedRequest,
        end: Instant,
        retry: Option<KeyedRetry>,
    ) -> AttemptResult<EndpointResponse> {
        let stage = Cell::new(Stage::Unwritten);
        let platform = self.platform();
        // Part of the body is discarded already, and the request would be sent incomplete; so the attempt is
        // reported as not sent.
        if payload.upload.as_ref().is_some_and(Upload::has_discarded) {
            return AttemptResult { outcome: Outcome::NotSent, report: None, response: None };
        }
        let first = payload.attempts_started.replace(payload.attempts_started.get() + 1) == 0;
        if let Some(fleet) = &self.fleet
            && !fleet.allow_attempt(&payload.request, first, payload.last_failure.get())
        {
            count(&self.exchanger.counters.retries_barred);
            return AttemptResult { outcome: Outcome::NotSent, report: None, response: None };
        }
        let message = || {
            let now = platform.now();
            let wait = end.saturating_duration_since(now).min(payload.client_time_left(now));
            match &payload.upload {
                None => client::encode_request(&payload.request, wait),
                Some(upload) => client::encode_request_head(&payload.request, wait, upload.declared_length()),
            }
        };
        let written = || {
            stage.set(Stage::Written);
            payload.possible_runs.set(payload.possible_runs.get() + 1);
            self.exchanger.counters.request_stats.record_relayed(payload.class);
        };
        let body =
            if payload.upload.is_none() { client::separate_body(&payload.request) } else { Bytes::new() };
        let source = RequestSource { body, upload: payload.upload.as_ref(), client: Some(&payload.client) };
        let exchange = self.exchanger.run(to, message, source, Deadlines { end, retry }, written);
        let result = platform.timeout_at(end, exchange).await;
        let no_response = |reason| {
            if reason == NoResponse::InvalidResponse {
                count(&self.exchanger.counters.answers_spoilt);
            }
            AttemptResult {
                outcome: outcome_without_response(stage.get(), reason),
                report: None,
                response: None,
            }
        };
        match result {
            Ok(Ok(response)) => {
                if response_outcome(&response.response).never_ran() {
                    payload.possible_runs.set(payload.possible_runs.get() - 1);
                }
                let report = response
                    .response
                    .load_report()
                    .and_then(|text| probe::parse_report(text, &self.fields.borrow()));
                AttemptResult {
                    outcome: response_outcome(&response.response),
                    report,
                    response: Some(response),
                }
            }
            Ok(Err(error)) => no_response((&error).into()),
            Err(_) => no_response(NoResponse::TimedOut),
        }
    }
}
