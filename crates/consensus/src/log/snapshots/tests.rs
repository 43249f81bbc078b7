//! Tests of snapshots.

use super::*;
use crate::chain::Epoch;
use crate::config::Config;
use std::net::Ipv4Addr;

/// A state machine with a fixed state.
struct Fixed;

impl StateMachine for Fixed {
    fn fresh() -> Fixed {
        Fixed
    }
    fn apply(&mut self, _index: u64, _command: &[u8]) {}
    fn snapshot(&self) -> Vec<u8> {
        vec![1, 2, 3]
    }
    fn restore(_bytes: &[u8]) -> Option<Fixed> {
        Some(Fixed)
    }
}

#[test]
fn encoding_of_snapshots_is_unchanged() {
    let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let config = Config::new("f", address(7001), (7001..=7003).map(address).collect());
    let mut log: Log<Fixed> = Log::new(config, Time::ZERO, 300, 1);
    log.voters = VoterSet { epoch: Epoch { bootstrap_id: 1 << 20, number: 3 }, starts: vec![300, 0, 301] };
    log.voters_index = 130;
    log.take_snapshot();
    let snapshot = log.snapshot.expect("a snapshot");
    assert_eq!(snapshot.bytes[..], [128, 128, 64, 3, 3, 172, 2, 0, 173, 2, 130, 1, 3, 1, 2, 3]);
    assert_eq!(snapshot.digest, 13_470_727_356_421_734_854);
}
