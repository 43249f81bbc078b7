//! Contact with members that are not present in the local view: with seeds, to join the fleet, and with dead members,
//! so that the sides of a healed partition merge.

use super::Membership;
use crate::Time;
use crate::change::Output;
use crate::message::{Name, Payload};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Maximum number of seeds that are contacted at a time while no other member is present.
const MAX_SEEDS_AT_ONCE: usize = 5;
/// The oldest format, for messages to receivers whose supported formats are not known.
const OLDEST_FORMAT: u8 = 1;

/// The schedule of the attempts.
#[derive(Debug)]
pub(super) struct Reconnect {
    pub next_attempt: Time,
    interval: Time,
}

impl Reconnect {
    /// The first attempt is due at `next_attempt`. Intervals between attempts double, beginning with `interval`.
    pub fn new(next_attempt: Time, interval: Time) -> Reconnect {
        Reconnect { next_attempt, interval }
    }

    /// Starts over with a shorter interval, and brings the next attempt forward.
    pub fn hasten(&mut self, now: Time, interval: Time) {
        self.interval = interval;
        self.next_attempt = self.next_attempt.min(now + interval);
    }
}

impl Membership {
    /// Contacts several seeds if no other member is present, or else one dead member or unknown seed.
    pub(super) fn attempt_reconnect(&mut self) {
        let seeds = self.unknown_seeds();
        if self.local.is_active() {
            if self.table.present_count() == 0 && !seeds.is_empty() {
                self.join_through(&seeds);
            } else if self.features().reconnect {
                self.contact_one_absent(&seeds);
            }
        }
        self.schedule_reconnect();
    }

    /// The seeds at whose address no present member is known.
    fn unknown_seeds(&self) -> Vec<SocketAddrV4> {
        let present = self.table.iter().filter(|member| member.is_present());
        let known: BTreeSet<SocketAddrV4> = present.map(|member| member.record.address()).collect();
        let own_address = self.local.record.address();
        let seeds = self.config.seeds.iter().copied();
        seeds.filter(|seed| *seed != own_address && !known.contains(seed)).collect()
    }

    /// Exchanges views with a random seed, and pings that seed and those after it in the list.
    fn join_through(&mut self, seeds: &[SocketAddrV4]) {
        let first = self.rng.usize(..seeds.len());
        self.outputs.push_back(Output::Exchange(seeds[first]));
        let count = seeds.len().min(MAX_SEEDS_AT_ONCE);
        for seed in seeds.iter().cycle().skip(first).take(count) {
            self.ping_address(*seed);
        }
    }

    /// Pings a random dead member or unknown seed.
    fn contact_one_absent(&mut self, seeds: &[SocketAddrV4]) {
        let dead = self.table.dead_count();
        let pick = self.rng.usize(..(dead + seeds.len()).max(1));
        if let Some(record) = self.table.nth_dead(pick).map(|member| member.record.clone()) {
            let sequence = self.probing.next_sequence();
            self.send_ping(&record, sequence);
        } else if let Some(seed) = seeds.get(pick.saturating_sub(dead)) {
            self.ping_address(*seed);
        }
    }

    fn schedule_reconnect(&mut self) {
        let timing = self.timing();
        let alone = self.table.present_count() == 0;
        let interval = self.reconnect.interval;
        let interval = if alone { interval.min(timing.max_pause) } else { interval };
        let jitter = 0.75 + 0.5 * self.rng.f64();
        self.reconnect.next_attempt = self.now + interval.mul_f64(jitter);
        self.reconnect.interval = (self.reconnect.interval * 2).min(timing.max_reconnect_interval);
    }

    /// Pings any member at an address.
    fn ping_address(&mut self, to: SocketAddrV4) {
        let sequence = self.probing.next_sequence();
        let ping = Payload::Ping { sequence, name: Name::default(), generation: 0 };
        self.send(to, OLDEST_FORMAT, ping, None);
    }
}
