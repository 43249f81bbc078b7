//! Deliberate defects round a sidecar's own carrier: what the judge must find.

use cometcroft::{EndpointId, Outcome};
use cometcroft_platform::Platform;
use cometcroft_sidecar::dispatch::Payload;
use cometcroft_sidecar::exchange::{Reply, Rest};
use cometcroft_sidecar::frontend::HttpBackend;
use cometcroft_sidecar::http::client::{Bulk, forward};
use cometcroft_sidecar::session::{Carrier, Ended, Later, Probed};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Some requests that must not run twice are sent once more after they were served.
    SentTwice,
    /// Safe requests go to one endpoint besides, whatever discovery says of it.
    SentAfterDrain,
    /// Some answers are thrown away with their client's connection.
    AnswerDropped,
    /// Endpoints are told to have more time than the client has left.
    BudgetStretched,
}

const STRETCH: Duration = Duration::from_millis(600);

/// A carrier with a defect, or without one.
pub struct Spoilt<C> {
    inner: Rc<C>,
    defect: Option<Defect>,
    endpoint: SocketAddr,
}

impl<C: HttpBackend> Spoilt<C> {
    /// This carrier with a defect; `endpoint` is where it goes wrong.
    pub fn new(inner: C, defect: Option<Defect>, endpoint: SocketAddr) -> Spoilt<C> {
        Spoilt { inner: Rc::new(inner), defect, endpoint }
    }

    fn send_besides(&self, payload: &Payload, timeout: Duration) {
        let (platform, endpoint) = (self.inner.platform().clone(), self.endpoint);
        let message = forward(&payload.request, timeout);
        self.inner.platform().detach(async move {
            if let Ok(mut stream) = platform.connect(endpoint).await
                && stream.write_all(&message).await.is_ok()
            {
                let _ = stream.read(&mut [0; 64]).await;
            }
        });
    }
}

impl<C: HttpBackend> Carrier for Spoilt<C> {
    type Platform = C::Platform;
    type Payload = Rc<Payload>;
    type Answer = Reply;

    fn platform(&self) -> &C::Platform {
        self.inner.platform()
    }

    fn dispatch(
        &self,
        to: EndpointId,
        payload: Rc<Payload>,
        timeout: Duration,
        latest: Option<Instant>,
    ) -> Later<Ended<Reply>> {
        let class = payload.request.class().to_vec();
        match self.defect {
            None => self.inner.dispatch(to, payload, timeout, latest),
            Some(Defect::BudgetStretched) => self.inner.dispatch(to, payload, timeout + STRETCH, latest),
            Some(Defect::SentAfterDrain) => {
                if class == b"plan" {
                    self.send_besides(&payload, timeout);
                }
                self.inner.dispatch(to, payload, timeout, latest)
            }
            Some(Defect::SentTwice) => {
                let inner = self.inner.clone();
                Box::pin(async move {
                    let ended = inner.dispatch(to, payload.clone(), timeout, latest).await;
                    if class == b"book" && ended.outcome == Outcome::Ok {
                        return inner.dispatch(to, payload, timeout, latest).await;
                    }
                    ended
                })
            }
            Some(Defect::AnswerDropped) => {
                let dispatched = self.inner.dispatch(to, payload, timeout, latest);
                Box::pin(async move {
                    let mut ended = dispatched.await;
                    if class == b"plan"
                        && let Some(reply) = &mut ended.answer
                    {
                        reply.answer.bulk = Some(Bulk { length: None });
                        reply.rest = Rest::default();
                    }
                    ended
                })
            }
        }
    }

    fn probe(&self, to: EndpointId) -> Later<Probed> {
        self.inner.probe(to)
    }

    fn close_idle(&self, to: EndpointId) {
        self.inner.close_idle(to);
    }
}
