//! Anti-entropy: members whose views have differed for some time exchange them completely, over a connection.

use super::Membership;
use crate::Time;
use crate::change::Output;
use crate::message::{Body, MAX_RECORD_SIZE, Packet, Payload, Record, Update, encode};

/// The maximum delay after exchanges that brought no changes, as a multiple of the normal one.
const MAX_BACKOFF: u32 = 8;
/// The number of other members that doubles the delay before an exchange, because views of large fleets are longer.
const MEMBERS_TO_DOUBLE_DELAY: f64 = 200.0;
/// Maximum size of an encoded view without its members, in bytes.
const VIEW_OVERHEAD: usize = 1024;

/// The state that decides when views are exchanged.
#[derive(Debug)]
pub(super) struct AntiEntropy {
    /// Since when the digests of other members have differed from the local one; reset when an exchange is started.
    pub differing_since: Option<Time>,
    /// A factor on the delay before an exchange.
    backoff: u32,
    /// Whether the local view has changed since the current exchange began.
    pub view_changed: bool,
}

impl Default for AntiEntropy {
    fn default() -> AntiEntropy {
        AntiEntropy { differing_since: None, backoff: 1, view_changed: false }
    }
}

impl AntiEntropy {
    /// Records a digest that equals the local one.
    fn views_agree(&mut self) {
        self.differing_since = None;
        self.backoff = 1;
    }

    /// Records the end of an exchange. The next one is delayed longer if this one brought no changes.
    fn exchange_finished(&mut self) {
        self.backoff = if self.view_changed { 1 } else { (self.backoff * 2).min(MAX_BACKOFF) };
    }
}

impl Membership {
    /// Maximum size of an encoded view, in bytes.
    pub fn max_view_size(&self) -> usize {
        VIEW_OVERHEAD + self.config.max_members * MAX_RECORD_SIZE * 2
    }

    /// Compares a sender's digest with the local one, and starts an exchange if digests have differed for some time.
    /// Views differ for a short time anyway while updates spread.
    pub(super) fn compare_digests(&mut self, digest: u64, from: &Record) {
        if digest == self.table.digest() {
            self.anti_entropy.views_agree();
            return;
        }
        let size_factor = 1.0 + self.table.present_count() as f64 / MEMBERS_TO_DOUBLE_DELAY;
        let delay = self.timing().exchange_delay.mul_f64(size_factor) * self.anti_entropy.backoff;
        let since = *self.anti_entropy.differing_since.get_or_insert(self.now);
        if since + delay <= self.now && self.features().anti_entropy {
            self.anti_entropy.differing_since = Some(self.now);
            self.outputs.push_back(Output::Exchange(from.address()));
        }
    }

    /// Merges a received view; returns the encoded local view if the sender requested it.
    pub(super) fn merge_view(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.traffic.exchanges += 1;
        self.traffic.exchange_bytes += bytes.len() as u64;
        let packet = self.decode(bytes, self.max_view_size())?;
        let wants_answer = packet.body.payload == Payload::View { answer: true };
        self.anti_entropy.view_changed = false;
        self.handle_packet(packet);
        self.anti_entropy.exchange_finished();
        self.deadline = self.next_at();
        wants_answer.then(|| self.encode_view(false))
    }

    /// The local view as a message; `answer` requests the receiver's view in return.
    pub(super) fn encode_view(&mut self, answer: bool) -> Vec<u8> {
        let updates = self.table.iter().map(|member| Update {
            record: member.record.clone(),
            state: member.state,
            reporter: member.accusers.first().cloned().unwrap_or_default(),
        });
        let body = Body {
            from: self.local.record.clone(),
            leaving: self.local.leaving,
            payload: Payload::View { answer },
            updates: updates.collect(),
        };
        let oldest_format = self.config.formats.0;
        let bytes = encode(self.fleet_digest, oldest_format, &Packet { body, digest: None });
        self.traffic.exchange_bytes += bytes.len() as u64;
        bytes
    }
}
