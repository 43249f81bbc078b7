//! Values that sidecars of different versions have to agree on: the digest of a configuration, and each message byte
//! for byte. A sidecar with another digest or encoding could not talk to the rest of its fleet during an upgrade.

use cometcroft_budget::{Ballot, Config, Limit, LimitKind, Message, encode};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7946)
}

#[test]
fn the_digest_of_a_configuration_is_pinned() {
    let voters = vec![address(1), address(2), address(3)];
    let mut config = Config::new("fleet-a", address(4), voters, Duration::from_millis(2500));
    config.roster = vec![address(1), address(4)];
    let rate = LimitKind::Rate { burst: 30_000 };
    let concurrency = LimitKind::Concurrency { max_hold: Duration::from_millis(1200) };
    config.limits = vec![
        Limit { name: "tenant \"é\"".into(), kind: rate, size: 250_500, guaranteed: 10_000 },
        Limit { name: "open".into(), kind: concurrency, size: 40_000, guaranteed: 2000 },
    ];
    assert_eq!(config.digest(), 8_082_487_771_912_878_046);
}

#[test]
fn the_bytes_of_each_message_are_pinned() {
    let ballot = Ballot { term: 300, id: 0x0102_0304_0506_0708 };
    let messages = [
        (
            Message::VoteRequest { ballot, nonce: 9 },
            "636201887766554433221100ac02888e98a8c0e080810109543fd5ec",
        ),
        (
            Message::VoteResponse { voter: 2, term: 300, nonce: 9, granted: true },
            "63620188776655443322110102ac020901ab654876",
        ),
        (
            Message::LeaseRequest {
                holder: 77,
                seq: 5,
                promised: ballot,
                weight: 3,
                held: vec![1000, 2],
                demand: vec![250_500, 0],
                leaving: false,
            },
            "6362018877665544332211024d05ac02888e98a8c0e08081010302e807020284a50f000073c7001d",
        ),
        (
            Message::LeaseGrant { ballot, seq: 5, shares: vec![128, 4000] },
            "636201887766554433221103ac02888e98a8c0e080810105028001a01f84aee788",
        ),
        (Message::PromiseRequest { ballot }, "636201887766554433221104ac02888e98a8c0e0808101a39800c0"),
        (
            Message::AllocatorHint { allocator: (0x0a00_0002, 7946) },
            "636201887766554433221105828080508a3e6111bd92",
        ),
    ];
    for (message, pinned) in messages {
        let bytes = encode(0x1122_3344_5566_7788, &message);
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, pinned, "{message:?}");
    }
}
