//! Dissemination: updates are piggybacked on every message, and gossiped while the queue holds any.

use super::Membership;
use crate::change::Output;
use crate::dissemination_queue::Capacity;
use crate::message::{
    Body, MAX_DATAGRAM, MAX_NAME, MAX_UPDATES, Name, Packet, Payload, Record, State, Update, encode,
    update_size,
};
use std::net::SocketAddrV4;

/// Number of members to which gossip is sent at a time.
pub(super) const GOSSIP_FANOUT: usize = 3;
/// Number of members to which a member announces that it leaves.
pub(super) const LEAVE_FANOUT: usize = 8;
/// Number of random draws for each member to pick.
const DRAWS_PER_MEMBER: usize = 4;
/// Maximum size of a datagram without its updates, in bytes: header, sender's record, payload and checksum.
const DATAGRAM_OVERHEAD: usize = 220 + 2 * MAX_NAME;
/// Number of transmissions of an update, to which the logarithm of the fleet's size is added.
const BASE_TRANSMISSIONS: u32 = 3;

impl Membership {
    /// Queues an update for transmission, and removes those that it supersedes.
    pub(super) fn disseminate(&mut self, update: Update) {
        let about_self = update.record.name == self.local.record.name;
        if !self.features().anti_entropy && update.state == State::Alive && !about_self {
            return;
        }
        self.queue.add(update, self.config.max_members * 2);
    }

    /// Queues a member's current state for transmission.
    pub(super) fn disseminate_state_of(&mut self, name: &Name) {
        if let Some(update) = self.update_about(name) {
            self.disseminate(update);
        }
    }

    /// A member's current state as an update.
    pub(super) fn update_about(&self, name: &Name) -> Option<Update> {
        let member = self.table.get(name)?;
        let reporter = member.accusers.first().unwrap_or(&self.local.record.name).clone();
        Some(Update { record: member.record.clone(), state: member.state, reporter })
    }

    /// The number of transmissions of each update: a few more than gossip needs to reach all members.
    pub(super) fn max_transmissions(&self) -> u32 {
        let size = (self.table.present_count() + 2) as f64;
        BASE_TRANSMISSIONS + size.ln().ceil() as u32
    }

    /// Sends queued updates to up to `fanout` random members.
    pub(super) fn gossip(&mut self, fanout: usize) {
        if self.local.superseded {
            return;
        }
        for record in self.pick_present(fanout) {
            if self.queue.is_empty() {
                return;
            }
            self.send_to(&record, Payload::Gossip);
        }
    }

    /// Picks up to `count` distinct random present members.
    fn pick_present(&mut self, count: usize) -> Vec<Record> {
        let mut picked: Vec<Record> = Vec::with_capacity(count);
        for _ in 0..count * DRAWS_PER_MEMBER {
            if picked.len() < count
                && let Some(record) =
                    self.ring.random(&self.table, &mut self.rng, |member| member.is_present())
                && !picked.iter().any(|other| other.name == record.name)
            {
                picked.push(record);
            }
        }
        picked
    }

    /// Sends a message to a known member. If the member is accused, the accusation comes first, so that it can refute
    /// it.
    pub(super) fn send_to(&mut self, record: &Record, payload: Payload) {
        let accused = self.table.get(&record.name).is_some_and(|member| member.state.is_accusation());
        let first = if accused { self.update_about(&record.name) } else { None };
        self.send(record.address(), record.formats.1, payload, first);
    }

    /// Sends a message to an address, with the update `first`, if any, and as many queued updates as fit.
    pub(super) fn send(&mut self, to: SocketAddrV4, format: u8, payload: Payload, first: Option<Update>) {
        if self.local.superseded {
            return;
        }
        let updates = self.collect_updates(first);
        let body = Body { from: self.local.record.clone(), leaving: self.local.leaving, payload, updates };
        let (oldest, newest) = self.config.formats;
        let packet = Packet { body, digest: Some(self.table.digest()) };
        let bytes = encode(self.fleet_digest, format.clamp(oldest, newest), &packet);
        debug_assert!(bytes.len() <= MAX_DATAGRAM, "datagram too long: {} bytes", bytes.len());
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.outputs.push_back(Output::Send(to, bytes));
    }

    /// Collects the updates for a datagram.
    fn collect_updates(&mut self, first: Option<Update>) -> Vec<Update> {
        let first_size = first.as_ref().map_or(0, update_size);
        let bytes = (MAX_DATAGRAM - DATAGRAM_OVERHEAD).saturating_sub(first_size);
        let capacity = Capacity { bytes, updates: MAX_UPDATES - 1 };
        let max_transmissions = self.max_transmissions();
        let mut updates: Vec<Update> = first.into_iter().collect();
        updates.extend(self.queue.take(capacity, max_transmissions, update_size));
        updates
    }
}
