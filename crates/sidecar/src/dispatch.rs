//! Dispatches and probes over HTTP: what the session host asks for, and what came of it.

use crate::counters::count;
use crate::exchange::{Ends, Exchanger, Lack, Reply, Stage, outcome, without_answer};
use crate::fleet::Fleet;
use crate::http::client;
use crate::http::server::Request;
use crate::probe;
use crate::session::{Carrier, Ended, Later, Probed};
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
pub struct Payload {
    /// The request as it came.
    pub request: Request,
    /// Its class.
    pub class: ClassId,
    /// Its body, if that is not part of the request.
    pub upload: Option<Upload>,
    /// Attempts that were begun.
    pub begun: Cell<u32>,
    /// How the last of them ended, if it did not succeed.
    pub ended: Cell<Option<RetryCause>>,
}

/// Brings dispatches and probes to backend servers over HTTP.
#[derive(Clone)]
pub struct HttpCarrier<P: Platform> {
    /// Connections, and where they lead.
    pub exchanger: Exchanger<P>,
    /// The values that load reports hold.
    pub fields: Rc<RefCell<Rc<[Field]>>>,
    /// What the fleet allows, if there is one.
    pub fleet: Option<Rc<Fleet<P>>>,
}

impl<P: Platform> Carrier for HttpCarrier<P> {
    type Platform = P;
    type Payload = Rc<Payload>;
    type Answer = Reply;

    fn platform(&self) -> &P {
        self.exchanger.pool.platform()
    }

    fn dispatch(
        &self,
        to: EndpointId,
        payload: Rc<Payload>,
        timeout: Duration,
        latest: Option<Instant>,
    ) -> Later<Ended<Reply>> {
        let carrier = self.clone();
        Box::pin(async move {
            let span = tracing::debug_span!(
                "attempt",
                request = payload.request.id(),
                number = payload.begun.get() + 1
            );
            let ends = carrier.platform().now() + timeout;
            let ended = carrier.attempt(to, &payload, ends, latest).instrument(span.clone()).await;
            let endpoint = carrier.exchanger.directory.address(to).map(tracing::field::display);
            span.in_scope(|| tracing::debug!(endpoint, outcome = ?ended.outcome, "attempt ended"));
            payload.ended.set(happened(ended.outcome).or(payload.ended.get()));
            ended
        })
    }

    fn probe(&self, to: EndpointId) -> Later<Probed> {
        let carrier = self.clone();
        Box::pin(async move {
            if carrier.fleet.as_ref().is_some_and(|fleet| !fleet.probes()) {
                count(&carrier.exchanger.counters.probes_barred);
                return (Outcome::NotSent, None);
            }
            let fields = carrier.fields.borrow().clone();
            probe::ask(&carrier.exchanger, &fields, to).await
        })
    }

    fn close_idle(&self, to: EndpointId) {
        self.exchanger.pool.close_idle(to);
    }
}

/// What policies on retries call an outcome.
fn happened(outcome: Outcome) -> Option<RetryCause> {
    match outcome {
        Outcome::Rejected => Some(RetryCause::Rejected),
        Outcome::ConnectFailed => Some(RetryCause::NeverConnected),
        Outcome::Error | Outcome::Reset => Some(RetryCause::MayHaveRun),
        Outcome::Timeout | Outcome::Cancelled => Some(RetryCause::TimedOut),
        // Never sent: what came before it counts on.
        Outcome::Ok | Outcome::NotSent => None,
    }
}

impl<P: Platform> HttpCarrier<P> {
    async fn attempt(
        &self,
        to: EndpointId,
        payload: &Payload,
        ends: Instant,
        latest: Option<Instant>,
    ) -> Ended<Reply> {
        let stage = Cell::new(Stage::Unwritten);
        let platform = self.platform();
        // Danger: a body of which a part is gone would go out with a hole; nothing is sent, and said so.
        if payload.upload.as_ref().is_some_and(Upload::spent) {
            return Ended { outcome: Outcome::NotSent, report: None, answer: None };
        }
        let first = payload.begun.replace(payload.begun.get() + 1) == 0;
        if let Some(fleet) = &self.fleet
            && !fleet.attempts(&payload.request, first, payload.ended.get())
        {
            count(&self.exchanger.counters.retries_barred);
            return Ended { outcome: Outcome::NotSent, report: None, answer: None };
        }
        let message = || {
            let wait = ends.saturating_duration_since(platform.now());
            match &payload.upload {
                None => client::forward(&payload.request, wait),
                Some(upload) => client::forward_head(&payload.request, wait, upload.framing()),
            }
        };
        let written = || {
            stage.set(Stage::Written);
            self.exchanger.counters.request_stats.record_relayed(payload.class);
        };
        let exchange =
            self.exchanger.run(to, message, payload.upload.as_ref(), Ends { ends, latest }, written);
        let answered = platform.timeout_at(ends, exchange).await;
        let unanswered = |lack| {
            if lack == Lack::Spoilt {
                count(&self.exchanger.counters.answers_spoilt);
            }
            Ended { outcome: without_answer(stage.get(), lack), report: None, answer: None }
        };
        match answered {
            Ok(Ok(reply)) => {
                let report =
                    reply.answer.report().and_then(|text| probe::report(text, &self.fields.borrow()));
                Ended { outcome: outcome(&reply.answer), report, answer: Some(reply) }
            }
            Ok(Err(error)) => unanswered((&error).into()),
            Err(_) => unanswered(Lack::Late),
        }
    }
}
