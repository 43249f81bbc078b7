//! Planted defects: sidecars that break one rule on purpose, to show that the judge finds it. Test use only; sound
//! runs don't pass through here.

use crate::platform::Emulated;
use cometcroft::{EndpointId, Outcome};
use cometcroft_platform::Platform;
use cometcroft_sidecar::attempt::{ForwardedRequest, PooledTransport};
use cometcroft_sidecar::exchange::EndpointResponse;
use cometcroft_sidecar::pool::PooledConnection;
use cometcroft_sidecar::requests::{AttemptResult, KeyedRetry, LocalBoxFuture, ProbeResult, Transport};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A planted defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Defect {
    /// What may have run is reported as never sent, and so sent again.
    ResendsWhatRan,
    /// Each attempt is made twice at once.
    TwoAtOnce,
    /// An answer is kept and handed to the next request.
    AnothersAnswer,
    /// A connection is kept for good after each attempt that got no answer.
    LeaksConnections,
    /// It reads that a node is up where it is told that it drains.
    ForgetsDrains,
    /// A start is not spared: all goes to the newest node for two seconds.
    FloodsCold,
    /// Its clock runs slow.
    AnswersLate,
    /// Each answer is written twice.
    AnswersTwice,
    /// On SIGTERM it ends at once.
    LosesOnRestart,
    /// It neither sees nor reads what discovery sends until some time after it came, so that it goes on sending to what drains.
    HearsLate,
}

impl Defect {
    /// All of them.
    pub const ALL: [Defect; 10] = [
        Defect::ResendsWhatRan,
        Defect::TwoAtOnce,
        Defect::AnothersAnswer,
        Defect::LeaksConnections,
        Defect::ForgetsDrains,
        Defect::FloodsCold,
        Defect::AnswersLate,
        Defect::AnswersTwice,
        Defect::LosesOnRestart,
        Defect::HearsLate,
    ];

    /// Its name on the command line.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

type Sim = Emulated<crate::emulator::Event>;

/// A carrier with a defect.
pub struct Saboteur {
    /// The sound one.
    pub inner: PooledTransport<Sim>,
    /// The defect.
    pub defect: Defect,
    /// The answer that was kept.
    pub kept: Rc<RefCell<Option<EndpointResponse>>>,
    /// Connections that were kept.
    pub hoard: Rc<RefCell<Vec<PooledConnection<Sim>>>>,
    /// The newest backend server, and when it was first sent to.
    pub newest: Cell<Option<(EndpointId, Instant)>>,
}

impl Saboteur {
    /// A sound carrier with a defect.
    pub fn new(inner: PooledTransport<Sim>, defect: Defect) -> Saboteur {
        Saboteur { inner, defect, kept: Rc::default(), hoard: Rc::default(), newest: Cell::new(None) }
    }
}

impl Transport for Saboteur {
    type Platform = Sim;
    type Payload = Rc<ForwardedRequest>;
    type Response = EndpointResponse;

    fn platform(&self) -> &Sim {
        self.inner.platform()
    }

    fn send_attempt(
        &self,
        to: EndpointId,
        payload: Rc<ForwardedRequest>,
        timeout: Duration,
        retry: Option<KeyedRetry>,
    ) -> LocalBoxFuture<AttemptResult<EndpointResponse>> {
        let now = self.platform().now();
        if self.newest.get().is_none_or(|(newest, _)| to > newest) {
            self.newest.set(Some((to, now)));
        }
        let to = match self.newest.get() {
            Some((newest, since))
                if self.defect == Defect::FloodsCold && now < since + Duration::from_secs(2) =>
            {
                newest
            }
            _ => to,
        };
        let sound = self.inner.send_attempt(to, payload.clone(), timeout, retry);
        match self.defect {
            Defect::ResendsWhatRan => Box::pin(async move {
                let mut ended = sound.await;
                if !matches!(ended.outcome, Outcome::Ok) {
                    ended.outcome = Outcome::ConnectFailed;
                }
                ended
            }),
            Defect::TwoAtOnce => {
                let other = self.inner.send_attempt(to, payload, timeout, retry);
                Box::pin(async move {
                    tokio::select! {
                        biased;
                        ended = sound => ended,
                        ended = other => ended,
                    }
                })
            }
            Defect::AnothersAnswer => {
                let kept = self.kept.clone();
                Box::pin(async move {
                    let mut ended = sound.await;
                    if ended.outcome == Outcome::Ok {
                        let before = kept.borrow_mut().take();
                        if before.is_some() {
                            ended.response = before;
                        } else {
                            *kept.borrow_mut() = ended.response.clone();
                        }
                    }
                    ended
                })
            }
            Defect::LeaksConnections => {
                let (hoard, exchanger) = (self.hoard.clone(), self.inner.exchanger.clone());
                Box::pin(async move {
                    let ended = sound.await;
                    if !matches!(ended.outcome, Outcome::Ok)
                        && let Some(address) = exchanger.endpoints.address(to)
                    {
                        let until = exchanger.pool.platform().now() + Duration::from_millis(50);
                        if let Ok(lease) = exchanger.pool.get(to, address, until).await {
                            hoard.borrow_mut().push(lease);
                        }
                    }
                    ended
                })
            }
            _ => sound,
        }
    }

    fn probe(&self, to: EndpointId) -> LocalBoxFuture<ProbeResult> {
        self.inner.probe(to)
    }

    fn close_idle(&self, to: EndpointId) {
        self.inner.close_idle(to);
    }
}
