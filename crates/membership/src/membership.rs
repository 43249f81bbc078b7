//! The membership state machine: its state, its entry points, and its clock.
//!
//! | module | job |
//! | --- | --- |
//! | `local` | the local member's record and state |
//! | `health` | local health awareness |
//! | `table` | the table of all other members |
//! | `transitions` | state changes and their consequences |
//! | `inbound` | received messages |
//! | `updates` | merging of received updates; refutation |
//! | `probing`, `probe_ring` | direct and indirect probes |
//! | `suspicion` | suspicion timeouts |
//! | `dissemination` | gossip and outgoing messages |
//! | `anti_entropy` | exchanges of complete views |
//! | `reconnect` | contact with seeds and dead members |
//! | `reporting` | the local view and the counters, for drivers, operators and tests |

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

/// The low bits of a generation are random, so that two starts in the same millisecond differ.
const GENERATION_RANDOM_BITS: u32 = 10;

/// Counters of events that concern the local member.
#[derive(Debug, Default)]
struct EventCounters {
    /// Refuted accusations.
    refuted: u64,
    /// Pauses of the local process: calls by the driver that came much later than requested.
    pauses: u64,
    /// Messages of an outdated process that uses a known name.
    name_conflicts: u64,
}

/// One member of a fleet: the complete protocol, without I/O.
pub struct Membership {
    config: Config,
    fleet_digest: u64,
    rng: fastrand::Rng,
    now: Time,
    /// When the next call by the driver was due. A call much later means that this process was paused.
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
    /// A member that starts now. `unix_ms` is the wall clock; of two processes with the same name, the one that
    /// started later wins.
    pub fn new(config: Config, now: Time, unix_ms: u64, seed: u64) -> Membership {
        let mut rng = fastrand::Rng::with_seed(seed);
        let record = own_record(&config, unix_ms, &mut rng);
        // A random first period keeps members that start at the same time from probing in step.
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
        // An action that became due in this call is due now, and does not count as late.
        at.max(self.now)
    }

    /// Takes the next action for the driver.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        self.advance_clock(now);
        self.handle_datagram(bytes);
        self.deadline = self.next_at();
    }

    /// Carries out all actions that are due.
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

    /// Leaves the fleet, and announces it to other members.
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

    /// The encoded local view, to start an exchange with.
    pub fn view(&mut self) -> Vec<u8> {
        self.encode_view(true)
    }

    /// Merges a view received in an exchange; returns the encoded local view if the sender requested it.
    pub fn receive_view(&mut self, now: Time, bytes: &[u8]) -> Option<Vec<u8>> {
        self.advance_clock(now);
        self.merge_view(bytes)
    }

    /// Advances the clock. A process that was paused, or got no CPU time, finds many timeouts expired at once. It
    /// could not receive answers meanwhile, so running probes are abandoned and suspicions extended.
    fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
        let late_by = self.now.saturating_sub(self.deadline);
        if late_by <= self.timing().direct_timeout || !self.features().local_health {
            return;
        }
        self.events.pauses += 1;
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

/// The local member's record when it starts.
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
