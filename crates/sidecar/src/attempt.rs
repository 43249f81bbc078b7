//! Dispatches and probes over HTTP: what the session host asks for, and what came of it.

use crate::counters::count;
use crate::exchange::{
    Deadlines, EndpointResponse, Exchanger, NoResponse, Stage, outcome_without_response, response_outcome,
};
use crate::fleet::Fleet;
use crate::http::client;
use crate::http::server::Request;
use crate::probe;
use crate::requests::{AttemptResult, LocalBoxFuture, ProbeResult, Transport};
use crate::upload::Upload;
use cometcroft::{ClassId, EndpointId, Outcome};
use cometcroft_plan::RetryCause;
use cometcroft_platform::Platform;
use cometcroft_settings::Field;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::Instrument;

/// What a dispatch carries.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The request as it came.
    pub request: Request,
    /// Its class.
    pub class: ClassId,
    /// Its body, if that is not part of the request.
    pub upload: Option<Upload>,
    /// Attempts that were begun.
    pub attempts_started: Cell<u32>,
    /// How the last of them ended, if it did not succeed.
    pub last_failure: Cell<Option<RetryCause>>,
}

/// Brings dispatches and probes to backend servers over HTTP.
#[derive(Clone)]
pub struct PooledTransport<P: Platform> {
    /// Connections, and where they lead.
    pub exchanger: Exchanger<P>,
    /// The values that load reports hold.
    pub fields: Rc<RefCell<Rc<[Field]>>>,
    /// What the fleet allows, if there is one.
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
        write_by: Option<Instant>,
    ) -> LocalBoxFuture<AttemptResult<EndpointResponse>> {
        let transport = self.clone();
        Box::pin(async move {
            let span = tracing::debug_span!(
                "attempt",
                request = payload.request.id(),
                number = payload.attempts_started.get() + 1
            );
            let end = transport.platform().now() + timeout;
            let ended = transport.attempt(to, &payload, end, write_by).instrument(span.clone()).await;
            let endpoint = transport.exchanger.endpoints.address(to).map(tracing::field::display);
            span.in_scope(|| tracing::debug!(endpoint, outcome = ?ended.outcome, "attempt ended"));
            payload.last_failure.set(retry_cause(ended.outcome).or(payload.last_failure.get()));
            ended
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

/// What policies on retries call an outcome.
fn retry_cause(outcome: Outcome) -> Option<RetryCause> {
    match outcome {
        Outcome::Rejected => Some(RetryCause::Rejected),
        Outcome::ConnectFailed => Some(RetryCause::NeverConnected),
        Outcome::Error | Outcome::Reset => Some(RetryCause::MayHaveRun),
        Outcome::Timeout | Outcome::Cancelled => Some(RetryCause::TimedOut),
        // Never sent: what came before it counts on.
        Outcome::Ok | Outcome::NotSent => None,
    }
}

impl<P: Platform> PooledTransport<P> {
    async fn attempt(
        &self,
        to: EndpointId,
        payload: &ForwardedRequest,
        end: Instant,
        write_by: Option<Instant>,
    ) -> AttemptResult<EndpointResponse> {
        let stage = Cell::new(Stage::Unwritten);
        let platform = self.platform();
        // Danger: a body of which a part is gone would go out with a hole; nothing is sent, and said so.
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
            let wait = end.saturating_duration_since(platform.now());
            match &payload.upload {
                None => client::encode_request(&payload.request, wait),
                Some(upload) => client::encode_request_head(&payload.request, wait, upload.declared_length()),
            }
        };
        let written = || {
            stage.set(Stage::Written);
            self.exchanger.counters.request_stats.record_relayed(payload.class);
        };
        let exchange =
            self.exchanger.run(to, message, payload.upload.as_ref(), Deadlines { end, write_by }, written);
        let answered = platform.timeout_at(end, exchange).await;
        let unanswered = |lack| {
            if lack == NoResponse::InvalidResponse {
                count(&self.exchanger.counters.answers_spoilt);
            }
            AttemptResult {
                outcome: outcome_without_response(stage.get(), lack),
                report: None,
                response: None,
            }
        };
        match answered {
            Ok(Ok(reply)) => {
                let report = reply
                    .response
                    .load_report()
                    .and_then(|text| probe::parse_report(text, &self.fields.borrow()));
                AttemptResult { outcome: response_outcome(&reply.response), report, response: Some(reply) }
            }
            Ok(Err(error)) => unanswered((&error).into()),
            Err(_) => unanswered(NoResponse::TimedOut),
        }
    }
}
