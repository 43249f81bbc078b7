//! What a member sends and receives, by kind of message, and the meter that counts it.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// How a connection that carries a message of the plan begins, in place of a view's length.
const PLAN_STREAM: &[u8; 4] = b"cl\xff\xff";

/// The protocol that a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Probes and gossip of membership, as datagrams.
    Membership,
    /// Whole views, over connections.
    Exchange,
    /// Leases of budgets.
    Budget,
    /// The replicated log of the plan, and status reports to its voters.
    Plan,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Membership, Kind::Exchange, Kind::Budget, Kind::Plan];

    /// The kind of a datagram.
    pub fn of_datagram(bytes: &[u8]) -> Kind {
        if cometcroft_consensus::is_consensus_message(bytes) {
            Kind::Plan
        } else if cometcroft_budget::is_budget_datagram(bytes) {
            Kind::Budget
        } else {
            Kind::Membership
        }
    }

    /// The kind of a connection by the first bytes that pass on it, either way.
    pub fn of_stream(first: &[u8]) -> Kind {
        if first.starts_with(PLAN_STREAM) { Kind::Plan } else { Kind::Exchange }
    }

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Membership => "membership",
            Kind::Exchange => "exchange",
            Kind::Budget => "budget",
            Kind::Plan => "plan",
        }
    }
}

/// What a member does for the others beside being a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A voter of the plan and of the budgets.
    Voter,
    /// The plan's leader.
    Leader,
    /// Allocates the budgets.
    Allocator,
}

/// Messages in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// Datagrams; on a connection, the first bytes of each direction count as one message.
    pub messages: u64,
    /// Their bytes without the headers of IP, UDP and TCP.
    pub bytes: u64,
}

impl Flow {
    fn add(&mut self, messages: u64, bytes: usize) {
        self.messages += messages;
        self.bytes += bytes as u64;
    }

    fn since(self, earlier: Flow) -> Flow {
        Flow {
            messages: self.messages.saturating_sub(earlier.messages),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }
}

/// Messages in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directions {
    /// What came in.
    pub received: Flow,
    /// What went out.
    pub sent: Flow,
}

impl Directions {
    fn since(self, earlier: Directions) -> Directions {
        Directions { received: self.received.since(earlier.received), sent: self.sent.since(earlier.sent) }
    }
}

/// What a member has received and sent, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    membership: Directions,
    exchange: Directions,
    budget: Directions,
    plan: Directions,
}

impl Traffic {
    /// The part of one kind.
    pub fn of(&self, kind: Kind) -> Directions {
        match kind {
            Kind::Membership => self.membership,
            Kind::Exchange => self.exchange,
            Kind::Budget => self.budget,
            Kind::Plan => self.plan,
        }
    }

    fn of_mut(&mut self, kind: Kind) -> &mut Directions {
        match kind {
            Kind::Membership => &mut self.membership,
            Kind::Exchange => &mut self.exchange,
            Kind::Budget => &mut self.budget,
            Kind::Plan => &mut self.plan,
        }
    }

    /// All kinds together.
    pub fn total(&self) -> Directions {
        let mut total = Directions::default();
        for kind in Kind::ALL {
            let part = self.of(kind);
            total.received.messages += part.received.messages;
            total.received.bytes += part.received.bytes;
            total.sent.messages += part.sent.messages;
            total.sent.bytes += part.sent.bytes;
        }
        total
    }

    /// Bytes of all kinds, both directions together.
    pub fn bytes(&self) -> u64 {
        let total = self.total();
        total.received.bytes + total.sent.bytes
    }

    /// What was added to an earlier reading.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            membership: self.membership.since(earlier.membership),
            exchange: self.exchange.since(earlier.exchange),
            budget: self.budget.since(earlier.budget),
            plan: self.plan.since(earlier.plan),
        }
    }
}

/// Counts what one member receives, sends and computes.
#[derive(Debug, Default)]
pub struct Meter {
    traffic: RefCell<Traffic>,
    processor: Cell<Duration>,
}

impl Meter {
    /// What has passed so far.
    pub fn traffic(&self) -> Traffic {
        *self.traffic.borrow()
    }

    /// Processor time of the thread inside this member's tasks so far.
    pub fn processor(&self) -> Duration {
        self.processor.get()
    }

    pub(crate) fn received(&self, kind: Kind, messages: u64, bytes: usize) {
        self.traffic.borrow_mut().of_mut(kind).received.add(messages, bytes);
    }

    pub(crate) fn sent(&self, kind: Kind, messages: u64, bytes: usize) {
        self.traffic.borrow_mut().of_mut(kind).sent.add(messages, bytes);
    }

    pub(crate) fn computed(&self, time: Duration) {
        self.processor.set(self.processor.get() + time);
    }
}
