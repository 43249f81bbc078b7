//! Received messages: decoding, the sender's state, and dispatch by payload.

use super::Membership;
use super::probing::PingRequest;
use crate::message::{
    DecodeError, MAX_DATAGRAM, MAX_UPDATES, Packet, Payload, Record, State, Update, decode,
};
use std::net::SocketAddrV4;

impl Membership {
    /// Handles a received datagram.
    pub(super) fn handle_datagram(&mut self, bytes: &[u8]) {
        self.traffic.received += 1;
        self.traffic.received_bytes += bytes.len() as u64;
        if let Some(packet) = self.decode(bytes, MAX_DATAGRAM) {
            self.handle_packet(packet);
        }
    }

    /// Decodes a message; counts the reason if it is rejected.
    pub(super) fn decode(&mut self, bytes: &[u8], max_size: usize) -> Option<Packet> {
        match decode(self.fleet_digest, self.config.formats, bytes, max_size) {
            Ok(packet) => Some(packet),
            Err(error) => {
                self.count_rejected(error);
                None
            }
        }
    }

    fn count_rejected(&mut self, error: DecodeError) {
        let counter = match error {
            DecodeError::Garbled => &mut self.dropped.garbled,
            DecodeError::Overlong => &mut self.dropped.overlong,
            DecodeError::Foreign => &mut self.dropped.foreign,
            DecodeError::Format => &mut self.dropped.format,
        };
        *counter += 1;
    }

    /// Handles a decoded message.
    pub(super) fn handle_packet(&mut self, packet: Packet) {
        let Packet { body, digest } = packet;
        let sender_state = body.sender_state();
        let from = body.from;
        if from.name == self.local.record.name {
            self.handle_namesake(&from, sender_state);
            return;
        }
        if self.local.superseded || !self.accept_sender(&from, sender_state) {
            return;
        }
        self.health.received(self.now);
        let whole_view = matches!(body.payload, Payload::View { .. });
        let max_updates = if whole_view { self.config.max_members } else { MAX_UPDATES };
        for update in body.updates.into_iter().take(max_updates) {
            self.merge(update);
        }
        self.handle_payload(&from, body.payload);
        self.inform_accused(&from);
        if whole_view {
            self.anti_entropy.differing_since = None;
        } else if let Some(digest) = digest {
            self.compare_digests(digest, &from);
        }
    }

    fn handle_payload(&mut self, from: &Record, payload: Payload) {
        match payload {
            Payload::Ping { sequence, name, generation } => {
                self.handle_ping(from, sequence, &name, generation);
            }
            Payload::Ack { sequence, name, generation } => self.handle_ack(from, sequence, &name, generation),
            Payload::Nack { sequence } => self.handle_nack(sequence),
            Payload::PingRequest { sequence, name, generation, ip, port } => {
                let address = SocketAddrV4::new(ip.into(), port);
                let request = PingRequest { sequence, name, generation, address };
                self.handle_ping_request(from.address(), request);
            }
            Payload::Gossip | Payload::View { .. } => {}
        }
    }

    /// Handles a message of another process with the local member's name. An outdated process that still sends after
    /// the local one has run for some time is counted, and informed that it is superseded.
    fn handle_namesake(&mut self, from: &Record, state: State) {
        let own = &self.local;
        let past_startup = self.now > own.started + self.timing().max_pause;
        if from.generation < own.record.generation && past_startup && !own.superseded {
            self.events.name_conflicts += 1;
            let update = own.update();
            self.send(from.address(), from.formats.1, Payload::Gossip, Some(update));
        }
        self.merge_about_self(from, state, &from.name);
    }

    /// Merges the sender's state; returns whether the rest of its message is to be handled.
    fn accept_sender(&mut self, from: &Record, state: State) -> bool {
        if self.is_outdated_sender(from) {
            return false;
        }
        self.merge(Update { record: from.clone(), state, reporter: from.name.clone() });
        match self.table.get_mut(&from.name) {
            Some(member) => {
                member.last_received = Some(self.now);
                true
            }
            // The member table is full.
            None => false,
        }
    }

    /// Whether the sender is an earlier generation of a known member. At first its messages may merely have been
    /// delayed; a process that goes on sending is still running, and is informed that it is superseded.
    fn is_outdated_sender(&mut self, from: &Record) -> bool {
        let Some(member) = self.table.get(&from.name) else { return false };
        if from.generation >= member.record.generation || !self.features().generation_order {
            return false;
        }
        if self.now > member.generation_since + self.timing().max_pause {
            self.events.name_conflicts += 1;
            let update = self.update_about(&from.name);
            self.send(from.address(), from.formats.1, Payload::Gossip, update);
        } else {
            self.dropped.stale += 1;
        }
        true
    }

    /// Informs a sender that is suspect or dead in the local view, so that it can refute the accusation.
    fn inform_accused(&mut self, from: &Record) {
        let (now, interval) = (self.now, self.timing().direct_timeout);
        let Some(member) = self.table.get_mut(&from.name) else { return };
        let recently_informed = member.last_informed.is_some_and(|at| at + interval > now);
        if member.state.is_accusation() && !recently_informed {
            member.last_informed = Some(now);
            let record = member.record.clone();
            self.send_to(&record, Payload::Gossip);
        }
    }
}
