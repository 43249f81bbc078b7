//! The local view and the counters, for drivers, operators and tests.

use super::Membership;
use super::table::Member;
use crate::Time;
use crate::message::{Name, Record, State};
use crate::report::{Dropped, MemberReport, Report, Traffic, ZoneReach};
use std::collections::BTreeMap;

/// A received message counts as recent for this many periods.
const RECENT_PERIODS: u32 = 3;

impl Membership {
    /// The local member's record.
    pub fn local_record(&self) -> &Record {
        &self.local.record
    }

    /// Whether a process with the local member's name and a higher generation exists; the local one then sends
    /// nothing.
    pub fn is_superseded(&self) -> bool {
        self.local.superseded
    }

    /// Whether the local member is isolated: several of its probes in a row got no answer.
    pub fn is_isolated(&self) -> bool {
        self.features().local_health && self.table.present_count() > 0 && self.health.is_isolated()
    }

    /// Whether the local member is isolated although messages of others arrive.
    pub fn is_unheard(&self) -> bool {
        let recent = self.timing().period * RECENT_PERIODS * self.health.multiplier();
        self.is_isolated() && self.health.received_within(recent, self.now)
    }

    /// The number of members that are alive, and the number of those that are known and have not left. Both include
    /// the local member.
    pub fn reach(&self) -> (usize, usize) {
        let present = self.table.present_count();
        let alive = present - self.table.suspect_count();
        let reached = if self.is_isolated() || self.is_superseded() { 1 } else { 1 + alive };
        (reached, 1 + present + self.table.dead_count())
    }

    /// The number of present members of a tier, including the local one unless it is leaving.
    pub fn present_in_tier(&self, tier: u8) -> u32 {
        let own = self.local.record.tier == tier && !self.local.leaving;
        self.table.present_in_tier(tier) + u32::from(own)
    }

    /// The number of present members, including the local one.
    pub fn present_count(&self) -> usize {
        self.table.present_count() + 1
    }

    /// The digest of the present members. Equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// A member's state and generation; `None` if it is not known.
    pub fn lookup(&self, name: &Name) -> Option<(State, u64)> {
        self.table.get(name).map(|member| (member.state, member.record.generation))
    }

    /// The names and generations of all present members; the local one comes last.
    pub fn present_members(&self) -> impl Iterator<Item = (&Name, u64)> {
        let others = self.table.iter().filter(|member| member.is_present()).map(|member| &member.record);
        others.chain([&self.local.record]).map(|record| (&record.name, record.generation))
    }

    /// The message counters.
    pub fn counters(&self) -> (Traffic, Dropped) {
        (self.traffic, self.dropped)
    }

    /// The local view with all counters.
    pub fn report(&self) -> Report {
        let (reached, known) = self.reach();
        let local = &self.local;
        Report {
            fleet: self.config.fleet.clone(),
            name: local.record.name.to_string(),
            generation: local.record.generation,
            incarnation: local.record.incarnation,
            reached,
            known,
            zones: self.zone_reach(reached > 1),
            isolated: self.is_isolated(),
            unheard: self.is_unheard(),
            superseded: local.superseded,
            health_score: self.health.score(),
            refuted: self.events.refuted,
            pauses: self.events.pauses,
            name_conflicts: self.events.name_conflicts,
            digest: format!("{:016x}", self.digest()),
            traffic: self.traffic,
            dropped: self.dropped,
            members: self.table.iter().map(|member| self.member_report(member)).collect(),
        }
    }

    /// The reach by zone. Other members count as reached only with `reaches_others`.
    fn zone_reach(&self, reaches_others: bool) -> Vec<ZoneReach> {
        let reach_of = |zone: &Name| ZoneReach { zone: zone.to_string(), reached: 0, known: 0 };
        let own_zone = &self.local.record.zone;
        let own = ZoneReach { reached: 1, known: 1, ..reach_of(own_zone) };
        let mut zones: BTreeMap<&Name, ZoneReach> = BTreeMap::from([(own_zone, own)]);
        for member in self.table.iter().filter(|member| member.state != State::Left) {
            let zone = &member.record.zone;
            let reach = zones.entry(zone).or_insert_with(|| reach_of(zone));
            reach.reached += usize::from(member.state == State::Alive && reaches_others);
            reach.known += 1;
        }
        zones.into_values().collect()
    }

    fn member_report(&self, member: &Member) -> MemberReport {
        let ms_since = |time: Time| self.now.saturating_sub(time).as_millis() as u64;
        let record = &member.record;
        MemberReport {
            name: record.name.to_string(),
            state: member.state.as_str(),
            in_state_ms: ms_since(member.since),
            last_received_ms: member.last_received.map(ms_since),
            generation: record.generation,
            incarnation: record.incarnation,
            address: record.address().to_string(),
            zone: record.zone.to_string(),
            tier: record.tier,
            rank: record.rank,
            formats: record.formats,
            suspected_by: member.accusers.iter().map(Name::to_string).collect(),
        }
    }
}
