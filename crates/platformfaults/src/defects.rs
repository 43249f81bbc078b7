//! Deliberate defects round a sidecar's own carrier: what the judge must find.

use cometcroft::{EndpointId, Outcome};
use cometcroft_platform::Platform;
use cometcroft_sidecar::attempt::ForwardedRequest;
use cometcroft_sidecar::exchange::{EndpointResponse, RemainingBody};
use cometcroft_sidecar::frontend::HttpTransport;
use cometcroft_sidecar::http::client::{StreamedBody, encode_request};
use cometcroft_sidecar::requests::{AttemptResult, KeyedRetry, LocalBoxFuture, ProbeResult, Transport};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
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

impl<C: HttpTransport> Spoilt<C> {
    /// This carrier with a defect; `endpoint` is where it goes wrong.
    pub fn new(inner: C, defect: Option<Defect>, endpoint: SocketAddr) -> Spoilt<C> {
        Spoilt { inner: Rc::new(inner), defect, endpoint }
    }

    fn send_besides(&self, payload: &ForwardedRequest, timeout: Duration) {
        let (platform, endpoint) = (self.inner.platform().clone(), self.endpoint);
        let message = encode_request(&payload.request, timeout);
        self.inner.platform().detach(async move {
            if let Ok(mut stream) = platform.connect(endpoint).await
                && stream.write_all(&message).await.is_ok()
            {
                let _ = stream.read(&mut [0; 64]).await;
            }
        });
    }
}

impl<C: HttpTransport> Transport for Spoilt<C> {
    type Platform = C::Platform;
    type Payload = Rc<ForwardedRequest>;
    type Response = EndpointResponse;

    fn platform(&self) -> &C::Platform {
        self.inner.platform()
    }

    fn send_attempt(
        &self,
        to: EndpointId,
        payload: Rc<ForwardedRequest>,
        timeout: Duration,
        retry: Option<KeyedRetry>,
    ) -> LocalBoxFuture<AttemptResult<EndpointResponse>> {
        let class = payload.request.class_name().to_vec();
        match self.defect {
            None => self.inner.send_attempt(to, payload, timeout, retry),
            Some(Defect::BudgetStretched) => {
                // Endpoints are told no more than the client has, so its time is stretched too.
                payload.client_deadline.set(Some(self.platform().now() + timeout + STRETCH));
                self.inner.send_attempt(to, payload, timeout + STRETCH, retry)
            }
            Some(Defect::SentAfterDrain) => {
                if class == b"plan" {
                    self.send_besides(&payload, timeout);
                }
                self.inner.send_attempt(to, payload, timeout, retry)
            }
            Some(Defect::SentTwice) => {
                let inner = self.inner.clone();
                Box::pin(async move {
                    let ended = inner.send_attempt(to, payload.clone(), timeout, retry).await;
                    if class == b"book" && ended.outcome == Outcome::Ok {
                        return inner.send_attempt(to, payload, timeout, retry).await;
                    }
                    ended
                })
            }
            Some(Defect::AnswerDropped) => {
                let dispatched = self.inner.send_attempt(to, payload, timeout, retry);
                Box::pin(async move {
                    let mut ended = dispatched.await;
                    if class == b"plan"
                        && let Some(reply) = &mut ended.response
                    {
                        reply.response.streamed = Some(StreamedBody { length: None });
                        reply.remaining_body = RemainingBody::default();
                    }
                    ended
                })
            }
        }
    }

    fn probe(&self, to: EndpointId) -> LocalBoxFuture<ProbeResult> {
        self.inner.probe(to)
    }

    fn close_idle(&self, to: EndpointId) {
        self.inner.close_idle(to);
    }
}
