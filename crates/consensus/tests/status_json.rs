//! The JSON of the status. Operators' tools depend on its keys.

use cometcroft_consensus::{Config, Log, StateMachine, Time};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A state machine without any state.
struct Empty;

impl StateMachine for Empty {
    fn fresh() -> Empty {
        Empty
    }
    fn apply(&mut self, _index: u64, _command: &[u8]) {}
    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
    fn restore(_bytes: &[u8]) -> Option<Empty> {
        Some(Empty)
    }
}

#[test]
fn json_of_the_status_is_unchanged() {
    let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let config = Config::new("f", address(7001), (7001..=7003).map(address).collect());
    let log: Log<Empty> = Log::new(config, Time::ZERO, 300, 1);
    let json = serde_json::to_string(&log.status(Time::ZERO)).expect("JSON");
    assert_eq!(
        json,
        r#"{"founded":0,"epoch":0,"index":0,"sum":"0000000000000000","leader":null,"keepers":[["127.0.0.1:7001",false],["127.0.0.1:7002",false],["127.0.0.1:7003",false]],"seated":false,"waiting":0,"counted":{"garbled":0,"foreign":0,"broken":0,"snapshots":0,"spoilt":0,"epochs":0}}"#
    );
}
