//! Out-of-band messages: data of the log's user that is sent to all voters without being logged, and may be lost.

use super::{Log, StateMachine};
use crate::message::Body;
use std::net::SocketAddrV4;

/// Maximum number of received messages that wait to be taken. Further ones are dropped, so that a flood does not fill
/// the memory.
const MAX_QUEUED: usize = 4096;

/// A received message: its sender and its data.
pub(super) type OutOfBandMessage = (SocketAddrV4, Vec<u8>);

impl<M: StateMachine> Log<M> {
    /// Sends data to all voters.
    pub fn send_out_of_band(&mut self, bytes: &[u8]) {
        for voter in self.config.voters.clone() {
            self.send(voter, &Body::OutOfBand(bytes.to_vec()));
        }
    }

    /// Takes the next received message: its sender and its data.
    pub fn take_out_of_band(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.out_of_band.pop_front()
    }

    /// Queues a received message for the log's user.
    pub(super) fn handle_out_of_band(&mut self, from: SocketAddrV4, bytes: Vec<u8>) {
        if self.out_of_band.len() < MAX_QUEUED {
            self.out_of_band.push_back((from, bytes));
        }
    }
}
