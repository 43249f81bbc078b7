//! The membership state machine: its state, its entry points, and its clock.
//!
//! | module | job |
//! | --- | --- |
//! | `local` | the local member's record and state |
//! | `health` | local health awareness |
//! | `table` | the state table of all other members |
//! | `transitions` | state changes and what follows from them |
//! | `inbound` | received messages |
//! | `updates` | merging of received updates, refutation |
//! | `probing`, `probe_ring` | direct and indirect probes |
//! | `suspicion` | suspicion timeouts |
//! | `dissemination` | gossip and outgoing messages |
//! | `anti_entropy` | exchanges of whole views |
//! | `reconnect` | contact with seeds and dead members |
//! | `reporting` | the view and its counters, for operators |

mod anti_entropy;
mod dissemination;
mod health;
mod inbound;
mod local;
mod probe_ring;
mod probing;
mod reconnect;
mod reporting;
mod suspicion;
mod table;
mod transitions;
mod updates;

use crate::Time;
use crate::change::Output;
use crate::config::{Config, Features, Timing};
use crate::dissemination_queue::DisseminationQueue;
use crate::message::{Record, Sequence, fleet_digest};
use crate::report::{Dropped, Traffic};
use anti_entropy::AntiEntropy;
use health::LocalHealth;
use local::LocalMember;
use probe_ring::ProbeRing;
use probing::Probing;
use reconnect::Reconnect;
use std::collections::VecDeque;
use table::MemberTable;

/// A generation's low bits are random, so that two starts in one millisecond differ.
const GENERATION_RANDOM_BITS: u32 = 10;

/// Counters of events that concern the local member.
#[derive(Debug, Default)]
struct EventCounters {
    /// Accusations that it refuted.
    refuted: u64,
    /// Times that it was late itself.
    late: u64,
    /// Messages of an outdated process with a known name.
    name_conflicts: u64,
}

/// One member of a fleet: the whole protocol, without I/O.
pub struct Membership {
    config: Config,
    fleet_digest: u64,
    rng: fastrand::Rng,
    now: Time,
    /// When the driver was last told to call back. A call much later means that this process was paused.
    deadline: Time,
    local: LocalMember,
    health: LocalHealth,
    table: MemberTable,
    ring: ProbeRing,
    probing: Probing,
    queue: DisseminationQueue,
    next_gossip: Time,
    anti_entropy: AntiEntropy,
    reconnect: Reconnect,
    events: EventCounters,
    traffic: Traffic,
    dropped: Dropped,
    outputs: VecDeque<Output>,
}

impl Membership {
    /// A member that starts now. `unix_ms` is the wall clock; of two starts under one name the later one wins.
    pub fn new(config: Config, now: Time, unix_ms: u64, seed: u64) -> Membership {
        let mut rng = fastrand::Rng::with_seed(seed);
        let record = own_record(&config, unix_ms, &mut rng);
        // Members that start at the same time must not probe in step.
        let first_period = config.timing.period.mul_f64(rng.f64());
        let mut membership = Membership {
            fleet_digest: fleet_digest(&config.fleet),
            now,
            deadline: now,
            health: LocalHealth::default(),
            table: MemberTable::new(record.digest()),
            local: LocalMember::new(record, now),
            ring: ProbeRing::default(),
            probing: Probing::new(now + first_period, Sequence(rng.u32(..))),
            queue: DisseminationQueue::default(),
            next_gossip: now,
            anti_entropy: AntiEntropy::default(),
            reconnect: Reconnect::new(now + first_period / 4, config.timing.direct_timeout),
            events: EventCounters::default(),
            traffic: Traffic::default(),
            dropped: Dropped::default(),
            outputs: VecDeque::new(),
            rng,
            config,
        };
        membership.deadline = membership.next_at();
        membership
    }

    /// When [`Membership::tick`] is due.
    pub fn next_at(&self) -> Time {
        let mut at = self.probing.next_at().min(self.reconnect.next_attempt);
        if !self.queue.is_empty() && self.table.present_count() > 0 {
            at = at.min(self.next_gossip);
        }
        if let Some(suspicion) = self.next_suspicion_at() {
            at = at.min(suspicion);
        }
        // What becomes due only now is not late.
        at.max(self.now)
    }

    /// The next action for the driver.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        self.advance_clock(now);
        self.handle_datagram(bytes);
        self.deadline = self.next_at();
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Time) {
        self.advance_clock(now);
        self.check_suspicions();
        self.expire_relayed_probes();
        self.continue_probe();
        if now >= self.probing.next_period {
            self.begin_period();
        }
        if now >= self.reconnect.next_attempt {
            self.attempt_reconnect();
        }
        if now >= self.next_gossip && !self.queue.is_empty() {
            self.next_gossip = now + self.timing().gossip_interval;
            self.gossip(dissemination::GOSSIP_FANOUT);
        }
        self.deadline = self.next_at();
    }

    /// Leaves the fleet in order and announces it.
    pub fn leave(&mut self, now: Time) {
        self.advance_clock(now);
        if !self.local.leaving {
            self.local.leaving = true;
            self.table.toggle_digest(self.local.record.digest());
            self.disseminate(self.local.update());
            self.gossip(dissemination::LEAVE_FANOUT);
        }
        self.deadline = self.next_at();
    }

    /// The local member's whole view, to start an exchange with.
    pub fn view(&mut self) -> Vec<u8> {
        self.encode_view(true)
    }

    /// Merges a whole view received in an exchange; returns the local view if the sender asked for it.
    pub fn receive_view(&mut self, now: Time, bytes: &[u8]) -> Option<Vec<u8>> {
        self.advance_clock(now);
        self.merge_view(bytes)
    }

    /// Advances the clock. A process that was paused, or got no processor, finds many timeouts expired at once; members that
    /// could not answer it meanwhile are not to be blamed, so running probes are dropped and suspicions extended.
    fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
        let late_by = self.now.saturating_sub(self.deadline);
        if late_by <= self.timing().direct_timeout || !self.features().local_health {
            return;
        }
        self.events.late += 1;
        self.health.degrade();
        self.probing.abandon(self.now + self.timing().direct_timeout);
        self.extend_suspicions(late_by);
        self.anti_entropy.differing_since = None;
        self.deadline = self.now;
    }

    fn timing(&self) -> Timing {
        self.config.timing
    }

    fn features(&self) -> Features {
        self.config.features
    }
}

/// The local member's record at its start.
fn own_record(config: &Config, unix_ms: u64, rng: &mut fastrand::Rng) -> Record {
    let random_bits = rng.u64(0..1 << GENERATION_RANDOM_BITS);
    Record {
        name: config.name.clone(),
        generation: (unix_ms << GENERATION_RANDOM_BITS) | random_bits,
        incarnation: 0,
        ip: u32::from(*config.address.ip()),
        port: config.address.port(),
        zone: config.zone.clone(),
        tier: config.tier,
        rank: config.rank,
        formats: config.formats,
    }
}
