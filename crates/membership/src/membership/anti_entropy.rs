//! Anti-entropy: members whose views have differed for long exchange them whole, over a connection.

use super::Membership;
use crate::Time;
use crate::change::Output;
use crate::message::{Body, MAX_RECORD_SIZE, Packet, Payload, Record, Update, encode};

/// The longest wait between fruitless exchanges, as a multiple of the shortest.
const MAX_BACKOFF: u32 = 8;
/// A fleet of this many members waits twice as long before an exchange as a small one: its views are longer.
const MEMBERS_TO_DOUBLE_WAIT: f64 = 200.0;
/// The most bytes of a view that are not members.
const VIEW_OVERHEAD: usize = 1024;

/// When to exchange views.
#[derive(Debug)]
pub(super) struct AntiEntropy {
    /// Since when the digests of others have differed from the local one, or were last acted on.
    pub differing_since: Option<Time>,
    /// A factor on the wait before an exchange.
    backoff: u32,
    /// Whether the view has changed since the current exchange began.
    pub view_changed: bool,
}

impl Default for AntiEntropy {
    fn default() -> AntiEntropy {
        AntiEntropy { differing_since: None, backoff: 1, view_changed: false }
    }
}

impl AntiEntropy {
    /// Notes a digest that equals the local one.
    fn views_agree(&mut self) {
        self.differing_since = None;
        self.backoff = 1;
    }

    /// Notes the end of an exchange: one that brought nothing new makes the next one wait longer.
    fn exchange_finished(&mut self) {
        self.backoff = if self.view_changed { 1 } else { (self.backoff * 2).min(MAX_BACKOFF) };
    }
}

impl Membership {
    /// The most bytes of a whole view.
    pub fn max_view_size(&self) -> usize {
        VIEW_OVERHEAD + self.config.max_members * MAX_RECORD_SIZE * 2
    }

    /// Compares a sender's digest with the local one, and asks for an exchange if they have differed for long. Views differ
    /// while updates are under way.
    pub(super) fn compare_digests(&mut self, digest: u64, from: &Record) {
        if digest == self.table.digest() {
            self.anti_entropy.views_agree();
            return;
        }
        let size_factor = 1.0 + self.table.present_count() as f64 / MEMBERS_TO_DOUBLE_WAIT;
        let wait = self.timing().exchange_delay.mul_f64(size_factor) * self.anti_entropy.backoff;
        let since = *self.anti_entropy.differing_since.get_or_insert(self.now);
        if since + wait <= self.now && self.features().anti_entropy {
            self.anti_entropy.differing_since = Some(self.now);
            self.outputs.push_back(Output::Exchange(from.address()));
        }
    }

    /// Merges a received view; returns the local view if the sender asked for it.
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

    /// The local view as a message; `answer` asks the receiver for its own.
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
