//! Judges the drain rule without I/O: from the instant at which a sidecar was told that an endpoint drains or is removed,
//! plus the grace, no first byte of a request arrives at that endpoint from that sidecar.
//!
//! It knows nothing of the sidecar's code. It is fed with instants that the stand-ins took (what discovery wrote, what the
//! endpoints received) in any order of calls, and evaluates them at the end.

use crate::ids::{AnswerId, EndpointId, SidecarId, Time, Version};
use std::collections::HashMap;
use std::time::Duration;

/// The times of the rule.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// A request may still begin so long after the sidecar was told.
    pub grace: Duration,
    /// Every limit on sockets is longer by this.
    pub slack: Duration,
    /// A change counts as told so long after discovery had it and could be reached.
    pub told_within: Duration,
    /// For a call that waits, a change counts as told so long after the wait ends at the earliest.
    pub told_after_wait: Duration,
}

impl Rules {
    /// The rule with this grace and the figures of the protocol.
    pub fn with_grace(grace: Duration) -> Rules {
        Rules {
            grace,
            slack: Duration::from_millis(50),
            told_within: Duration::from_secs(6),
            told_after_wait: Duration::from_secs(2),
        }
    }

    fn tolerance(&self) -> Duration {
        self.grace + self.slack
    }
}

/// How a sidecar was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The last byte of the endpoint's row was written.
    Row(AnswerId),
    /// The last byte of a whole list without the endpoint was written.
    LeftOut(AnswerId),
    /// The protocol's limit ran out, whether or not anything arrived.
    Limit,
}

/// What an answer told a sidecar of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Told {
    /// Who was told.
    pub sidecar: SidecarId,
    /// Of which endpoint.
    pub endpoint: EndpointId,
    /// As of this version of the list.
    pub version: Version,
    /// The endpoint takes nothing new.
    pub closed: bool,
    /// When. For news that closes, the instant after the write; for news that opens, the instant before it.
    pub at: Time,
    /// By what.
    pub cause: Cause,
}

/// A change that discovery has.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    /// Of which endpoint.
    pub endpoint: EndpointId,
    /// The endpoint takes nothing new.
    pub closed: bool,
    /// Since when discovery has it.
    pub at: Time,
}

/// What arrived at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request of a client.
    Request,
    /// A probe.
    Probe,
}

/// The first byte of a message at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Who sent it, if the connection told.
    pub sidecar: Option<SidecarId>,
    /// Where it arrived.
    pub endpoint: EndpointId,
    /// When it was read.
    pub at: Time,
    /// It arrived after this instant: the endpoint had looked before.
    pub not_before: Time,
    /// What it began.
    pub kind: Kind,
}

/// A span of time.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Its start.
    pub from: Time,
    /// Its end.
    pub until: Time,
}

/// A first byte after the limit.
#[derive(Debug, Clone, Copy)]
pub struct Violation {
    /// What arrived.
    pub arrival: Arrival,
    /// Since when the sidecar knew, or had to know.
    pub told_at: Time,
    /// By what.
    pub cause: Cause,
    /// The last instant for a first byte.
    pub limit: Time,
}

impl Violation {
    /// How late it was at least.
    pub fn proven_excess(&self) -> Duration {
        self.arrival.not_before.saturating_sub(self.limit)
    }
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Late beyond doubt: also if they arrived when the endpoint had last looked.
    pub violations: Vec<Violation>,
    /// Late by their stamps, but the endpoint looked so rarely that they may have come in time.
    pub uncertain: Vec<Violation>,
    /// Arrivals of which the sender is not known; they are late only if they are for every sidecar.
    pub unattributed: usize,
}

/// A time in which an endpoint is closed for a sidecar.
#[derive(Debug, Clone, Copy)]
struct Closure {
    from: Time,
    until: Option<Time>,
    cause: Cause,
}

impl Closure {
    fn covers(&self, at: Time) -> bool {
        self.from <= at && self.until.is_none_or(|until| at < until)
    }
}

/// What a sidecar was told of an endpoint.
#[derive(Debug, Default)]
struct Knowledge {
    version: Option<Version>,
    closures: Vec<Closure>,
}

/// Collects evidence and judges it.
#[derive(Debug)]
pub struct Judge {
    rules: Rules,
    sidecars: usize,
    knowledge: HashMap<(SidecarId, EndpointId), Knowledge>,
    registry: HashMap<EndpointId, Vec<Closure>>,
    outages: Vec<Span>,
    waits: HashMap<SidecarId, Vec<Span>>,
    arrivals: Vec<Arrival>,
}

impl Judge {
    /// A judge of so many sidecars.
    pub fn new(rules: Rules, sidecars: usize) -> Judge {
        Judge {
            rules,
            sidecars,
            knowledge: HashMap::new(),
            registry: HashMap::new(),
            outages: Vec::new(),
            waits: HashMap::new(),
            arrivals: Vec::new(),
        }
    }

    /// An answer told a sidecar of an endpoint. Calls for one pair come in the order of their instants. What is older than
    /// the version told last says nothing.
    pub fn told(&mut self, told: Told) {
        let known = self.knowledge.entry((told.sidecar, told.endpoint)).or_default();
        if known.version.is_some_and(|version| told.version < version) {
            return;
        }
        known.version = Some(told.version);
        note(&mut known.closures, told.closed, told.at, told.cause);
    }

    /// Discovery has a change. Calls for one endpoint come in the order of their instants.
    pub fn changed(&mut self, change: Change) {
        let closures = self.registry.entry(change.endpoint).or_default();
        note(closures, change.closed, change.at, Cause::Limit);
    }

    /// Discovery could not be reached.
    pub fn outage(&mut self, span: Span) {
        self.outages.push(span);
        self.outages.sort_by_key(|outage| outage.from);
    }

    /// A sidecar's call waited for news.
    pub fn waited(&mut self, sidecar: SidecarId, span: Span) {
        self.waits.entry(sidecar).or_default().push(span);
    }

    /// A first byte arrived.
    pub fn arrived(&mut self, arrival: Arrival) {
        self.arrivals.push(arrival);
    }

    /// How many first bytes have arrived.
    pub fn arrivals(&self) -> usize {
        self.arrivals.len()
    }

    /// When this sidecar was told that this endpoint takes nothing new, if that holds now.
    pub fn closed_since(&self, sidecar: SidecarId, endpoint: EndpointId) -> Option<Time> {
        let last = self.knowledge.get(&(sidecar, endpoint))?.closures.last()?;
        last.until.is_none().then_some(last.from)
    }

    /// Evaluates all evidence.
    pub fn verdict(&self) -> Verdict {
        let mut verdict = Verdict::default();
        for &arrival in &self.arrivals {
            verdict.unattributed += usize::from(arrival.sidecar.is_none());
            let Some(late) = self.late(arrival) else { continue };
            if late.proven_excess().is_zero() {
                verdict.uncertain.push(late);
            } else {
                verdict.violations.push(late);
            }
        }
        verdict.violations.sort_by_key(|violation| violation.arrival.at);
        verdict
    }

    fn late(&self, arrival: Arrival) -> Option<Violation> {
        if let Some(sidecar) = arrival.sidecar {
            return self.late_from(sidecar, arrival);
        }
        let by_sidecar: Option<Vec<Violation>> =
            (0..self.sidecars).map(|sidecar| self.late_from(SidecarId(sidecar), arrival)).collect();
        by_sidecar?.into_iter().max_by_key(|violation| violation.limit)
    }

    fn late_from(&self, sidecar: SidecarId, arrival: Arrival) -> Option<Violation> {
        let closures = [self.closed_by_answer(sidecar, arrival), self.closed_by_limit(sidecar, arrival)];
        let first = closures.into_iter().flatten().min_by_key(|closure| closure.from)?;
        let limit = first.from + self.rules.tolerance();
        (arrival.at > limit).then_some(Violation { arrival, told_at: first.from, cause: first.cause, limit })
    }

    fn closed_by_answer(&self, sidecar: SidecarId, arrival: Arrival) -> Option<Closure> {
        let known = self.knowledge.get(&(sidecar, arrival.endpoint))?;
        known.closures.iter().find(|closure| closure.covers(arrival.at)).copied()
    }

    fn closed_by_limit(&self, sidecar: SidecarId, arrival: Arrival) -> Option<Closure> {
        let closures = self.registry.get(&arrival.endpoint)?;
        let closure = closures.iter().find(|closure| closure.covers(arrival.at))?;
        let due = Closure { from: self.due(sidecar, closure.from), ..*closure };
        due.covers(arrival.at).then_some(due)
    }

    /// When a change counts as told to a sidecar at the latest.
    fn due(&self, sidecar: SidecarId, changed: Time) -> Time {
        let mut reachable = changed;
        for outage in &self.outages {
            if outage.from < reachable + self.rules.told_within && outage.until > reachable {
                reachable = outage.until;
            }
        }
        let waits = self.waits.get(&sidecar).into_iter().flatten();
        let waiting = waits.filter(|wait| wait.from <= reachable && reachable < wait.until);
        let after_wait = waiting.map(|wait| wait.until + self.rules.told_after_wait).max();
        after_wait.unwrap_or_default().max(reachable + self.rules.told_within)
    }
}

/// Opens a closure or ends the one that is open.
fn note(closures: &mut Vec<Closure>, closed: bool, at: Time, cause: Cause) {
    let open = closures.last_mut().filter(|last| last.until.is_none());
    match (closed, open) {
        (true, None) => closures.push(Closure { from: at, until: None, cause }),
        (false, Some(last)) => last.until = Some(at),
        (true, Some(_)) | (false, None) => {}
    }
}
