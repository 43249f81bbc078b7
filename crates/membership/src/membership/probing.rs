//! Failure detection: in each period one member is probed, first directly, then through other members, the helpers
//! (SWIM's ping request).

use super::Membership;
use super::table::Member;
use crate::Time;
use crate::change::Cause;
use crate::message::{Name, Payload, Record, Sequence, State};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Maximum number of simultaneous probes on behalf of other members.
const MAX_RELAYED_PROBES: usize = 256;
/// The share of its period after which a probe ends, so that its result is known before the next one begins.
const PROBE_SHARE_OF_PERIOD: f64 = 0.95;
/// The share of the direct timeout after which a probe on behalf of another member ends, so that the answer arrives
/// before the requester's own probe ends.
const RELAYED_SHARE_OF_DIRECT: f64 = 0.6;
/// The format of relayed messages, whose receiver's supported formats are not looked up.
const RELAY_FORMAT: u8 = 2;

/// The local member's current probe.
#[derive(Debug)]
struct Probe {
    name: Name,
    generation: u64,
    sequence: Sequence,
    /// When the ping is sent again; `None` after that.
    resend_at: Option<Time>,
    /// When the helpers are asked; `None` after that.
    indirect_at: Option<Time>,
    ends: Time,
    helpers: usize,
    nacks: usize,
}

/// A probe on behalf of another member.
#[derive(Debug)]
struct RelayedProbe {
    sequence: Sequence,
    requester: SocketAddrV4,
    requester_sequence: Sequence,
    ends: Time,
}

/// A received request to probe a member.
#[derive(Debug)]
pub(super) struct PingRequest {
    /// The requester's sequence number.
    pub sequence: Sequence,
    /// The member to probe.
    pub name: Name,
    /// The generation of the member to probe.
    pub generation: u64,
    /// The address of the member to probe.
    pub address: SocketAddrV4,
}

/// The state of all probes.
#[derive(Debug)]
pub(super) struct Probing {
    /// When the next period begins.
    pub next_period: Time,
    last_sequence: Sequence,
    current: Option<Probe>,
    relayed: VecDeque<RelayedProbe>,
}

impl Probing {
    /// No probes; the first period begins at `next_period`.
    pub fn new(next_period: Time, last_sequence: Sequence) -> Probing {
        Probing { next_period, last_sequence, current: None, relayed: VecDeque::new() }
    }

    /// When the next step of a probe is due.
    pub fn next_at(&self) -> Time {
        let current = self.current.as_ref().map(|probe| {
            let steps = probe.resend_at.into_iter().chain(probe.indirect_at);
            steps.fold(probe.ends, Time::min)
        });
        let relayed = self.relayed.front().map(|relayed| relayed.ends);
        current.into_iter().chain(relayed).fold(self.next_period, Time::min)
    }

    /// A new sequence number.
    pub fn next_sequence(&mut self) -> Sequence {
        self.last_sequence = self.last_sequence.next();
        self.last_sequence
    }

    /// Drops all probes without a result; the next period begins at `next_period`.
    pub fn abandon(&mut self, next_period: Time) {
        self.abandon_current();
        self.relayed.clear();
        self.next_period = next_period;
    }

    /// Drops the current probe without a result.
    pub fn abandon_current(&mut self) {
        self.current = None;
    }

    fn take_relayed(&mut self, sequence: Sequence) -> Option<RelayedProbe> {
        let index = self.relayed.iter().position(|relayed| relayed.sequence == sequence)?;
        self.relayed.remove(index)
    }

    fn pop_expired_relayed(&mut self, now: Time) -> Option<RelayedProbe> {
        self.relayed.pop_front_if(|relayed| relayed.ends <= now)
    }
}

impl Membership {
    /// Begins a protocol period: ends the last probe and starts the next one.
    pub(super) fn begin_period(&mut self) {
        self.conclude_probe();
        let (now, timing, multiplier) = (self.now, self.timing(), self.health.multiplier());
        let period = timing.period * multiplier;
        self.probing.next_period = now + period;
        self.table.remove_absent(now, timing.retention);
        if !self.local.is_active() {
            return;
        }
        let Some(record) = self.ring.next_target(&self.table, &mut self.rng) else { return };
        let sequence = self.probing.next_sequence();
        self.traffic.probes += 1;
        self.probing.current = Some(Probe {
            name: record.name.clone(),
            generation: record.generation,
            sequence,
            resend_at: Some(now + timing.resend_after * multiplier),
            indirect_at: Some(now + timing.direct_timeout * multiplier),
            ends: now + period.mul_f64(PROBE_SHARE_OF_PERIOD),
            helpers: 0,
            nacks: 0,
        });
        self.send_ping(&record, sequence);
    }

    /// Carries out the steps of the current probe that are due: send the ping again, ask the helpers, end the probe.
    pub(super) fn continue_probe(&mut self) {
        let now = self.now;
        let Some(probe) = &mut self.probing.current else { return };
        let (name, generation, sequence) = (probe.name.clone(), probe.generation, probe.sequence);
        let resend = probe.resend_at.take_if(|at| *at <= now).is_some();
        let ask_helpers = probe.indirect_at.take_if(|at| *at <= now).is_some();
        let ended = probe.ends <= now;
        let Some(record) = self.table.record(&name) else {
            self.probing.abandon_current();
            return;
        };
        if resend && !ask_helpers {
            self.send_to(&record, Payload::Ping { sequence, name: name.clone(), generation });
        }
        if ask_helpers && self.features().indirect_probes {
            self.probe_indirectly(&record, generation, sequence);
        }
        if ended {
            self.conclude_probe();
        }
    }

    /// Sends a ping to a member under its current generation.
    pub(super) fn send_ping(&mut self, record: &Record, sequence: Sequence) {
        let (name, generation) = (record.name.clone(), record.generation);
        self.send_to(record, Payload::Ping { sequence, name, generation });
    }

    fn probe_indirectly(&mut self, target: &Record, generation: u64, sequence: Sequence) {
        let helpers = self.pick_helpers(target);
        if let Some(probe) = &mut self.probing.current {
            probe.helpers = helpers.len();
        }
        for helper in helpers {
            let (name, ip, port) = (target.name.clone(), target.ip, target.port);
            self.send_to(&helper, Payload::PingRequest { sequence, name, generation, ip, port });
        }
    }

    /// Helpers for an indirect probe: one of the target's zone, one of the local zone, one of any.
    fn pick_helpers(&mut self, target: &Record) -> Vec<Record> {
        let zones = [Some(target.zone.clone()), Some(self.local.record.zone.clone()), None];
        let mut picked: Vec<Record> = Vec::new();
        for zone in zones {
            let free = |member: &Member| {
                member.state == State::Alive
                    && member.record.name != target.name
                    && !picked.iter().any(|helper| helper.name == member.record.name)
            };
            let in_zone = |member: &Member| zone.as_ref().is_none_or(|zone| member.record.zone == *zone);
            let helper =
                self.ring.random(&self.table, &mut self.rng, |member| free(member) && in_zone(member));
            let helper = helper.or_else(|| self.ring.random(&self.table, &mut self.rng, free));
            picked.extend(helper);
        }
        picked
    }

    /// Ends the current probe without an answer.
    fn conclude_probe(&mut self) {
        let Some(probe) = self.probing.current.take() else { return };
        self.traffic.probes_failed += 1;
        self.health.probe_failed();
        // Helpers that do not even send a nack are a sign that the local member itself is slow or cut off.
        let silent_helpers = probe.helpers.saturating_sub(probe.nacks);
        if self.features().local_health && (silent_helpers > 0 || probe.helpers == 0) {
            self.health.degrade();
        }
        if self.is_isolated() {
            return;
        }
        let target = self.table.get(&probe.name);
        if target.is_some_and(|member| member.record.generation == probe.generation && member.is_present()) {
            let reporter = self.local.record.name.clone();
            self.accuse(&probe.name, reporter, State::Suspect, Cause::ProbeFailed);
        }
    }

    /// Answers a ping, if it addresses the local member. A ping may be meant for another member that had this address
    /// before.
    pub(super) fn handle_ping(&mut self, from: &Record, sequence: Sequence, name: &Name, generation: u64) {
        let own = &self.local.record;
        let addressed = name.as_str().is_empty() || *name == own.name;
        if addressed && generation <= own.generation {
            let (name, generation) = (own.name.clone(), own.generation);
            self.send_to(from, Payload::Ack { sequence, name, generation });
        }
    }

    /// Probes a member on behalf of the sender.
    pub(super) fn handle_ping_request(&mut self, requester: SocketAddrV4, request: PingRequest) {
        if self.probing.relayed.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let sequence = self.probing.next_sequence();
        let ends = self.now + self.timing().direct_timeout.mul_f64(RELAYED_SHARE_OF_DIRECT);
        let requester_sequence = request.sequence;
        self.probing.relayed.push_back(RelayedProbe { sequence, requester, requester_sequence, ends });
        let PingRequest { name, generation, address, .. } = request;
        self.send(address, RELAY_FORMAT, Payload::Ping { sequence, name, generation }, None);
    }

    /// Handles the answer to the local member's own probe, or to one on behalf of another member.
    pub(super) fn handle_ack(&mut self, from: &Record, sequence: Sequence, name: &Name, generation: u64) {
        let current = self.probing.current.as_ref();
        if let Some(probe) = current.filter(|probe| probe.sequence == sequence && probe.name == *name) {
            if generation >= probe.generation {
                self.probing.abandon_current();
                self.health.probe_answered();
                self.restart_suspicion(name, generation);
            }
        } else if let Some(relayed) = self.probing.take_relayed(sequence)
            && from.name == *name
        {
            let ack = Payload::Ack { sequence: relayed.requester_sequence, name: name.clone(), generation };
            self.send(relayed.requester, RELAY_FORMAT, ack, None);
        }
    }

    /// Handles a helper's nack: the target did not answer the helper either.
    pub(super) fn handle_nack(&mut self, sequence: Sequence) {
        let current = self.probing.current.as_mut();
        if let Some(probe) = current.filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
            self.health.helper_answered();
        }
    }

    /// Sends a nack for each probe on behalf of another member that was not answered in time.
    pub(super) fn expire_relayed_probes(&mut self) {
        while let Some(relayed) = self.probing.pop_expired_relayed(self.now) {
            let nack = Payload::Nack { sequence: relayed.requester_sequence };
            self.send(relayed.requester, RELAY_FORMAT, nack, None);
        }
    }
}
