//! Fuzz test of what arrives from the network: mutated messages, most of them with a valid checksum so that they reach
//! the decoder and the protocol. `FUZZ_ROUNDS` sets the number of messages; the default and the seed are fixed, so that
//! the result is the same each time. `corpus/` holds messages of every kind, and inputs that were worth keeping;
//! `FUZZ_WRITE=1` writes the former again.

#[path = "../../membership/tests/mutation/mod.rs"]
mod mutation;

use cometcroft_budget::{Budget, Config, Limit, LimitKind, Time};
use mutation::{corpus_dir, mutate, read_corpus, rounds};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Offset of the message kind, the first byte of the body.
const KIND_OFFSET: usize = 11;

fn at(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7)
}

fn sidecar(n: u8) -> Budget {
    let voters = (1..=3).map(at).collect();
    let mut config = Config::new("fuzz", at(n), voters, Duration::from_secs(2));
    let kind = LimitKind::Rate { burst: 100_000 };
    config.limits = vec![
        Limit { name: "rate".into(), kind, size: 100_000, guaranteed: 0 },
        Limit {
            name: "level".into(),
            kind: LimitKind::Concurrency { max_hold: Duration::from_millis(400) },
            size: 20_000,
            guaranteed: 0,
        },
    ];
    config.max_holders = 64;
    Budget::new(config, Time::ZERO, u64::from(n))
}

/// Runs four sidecars for some seconds; returns them, all datagrams that they sent, and the time of the end.
fn run_fleet(seconds: u64) -> (Vec<Budget>, Vec<Vec<u8>>, Time) {
    let mut sidecars: Vec<Budget> = (1..=4).map(sidecar).collect();
    let (mut sent, mut now) = (Vec::new(), Time::ZERO);
    while now < Duration::from_secs(seconds) {
        now += Duration::from_millis(10);
        for i in 0..4 {
            let _ = sidecars[i].try_acquire(0, now);
            sidecars[i].tick(now);
            let from = at(i as u8 + 1);
            while let Some((to, bytes)) = sidecars[i].next_datagram() {
                sent.push(bytes.clone());
                sidecars[usize::from(to.ip().octets()[3]) - 1].receive(now, from, &bytes);
            }
        }
    }
    (sidecars, sent, now)
}

#[test]
fn the_corpus_holds_messages_of_every_kind() {
    if std::env::var("FUZZ_WRITE").is_ok() {
        let (_, sent, _) = run_fleet(10);
        std::fs::create_dir_all(corpus_dir()).expect("the corpus directory is created");
        let mut samples: Vec<&Vec<u8>> = Vec::new();
        for bytes in &sent {
            if samples.iter().filter(|sample| sample[KIND_OFFSET] == bytes[KIND_OFFSET]).count() < 4 {
                samples.push(bytes);
            }
        }
        for (i, bytes) in samples.iter().enumerate() {
            std::fs::write(corpus_dir().join(format!("said-{i:02}")), bytes).expect("the sample is written");
        }
    }
    let mut kinds: Vec<u8> =
        read_corpus().iter().filter_map(|bytes| bytes.get(KIND_OFFSET).copied()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    assert!(
        kinds.len() >= 5,
        "vote requests and responses, lease requests and grants, promise requests: {kinds:?}"
    );
}

#[test]
fn no_message_crashes_a_sidecar_or_makes_the_allocator_exceed_a_limit() {
    let samples = read_corpus();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut sidecars, _, mut now) = run_fleet(10);
    let index = sidecars.iter().position(|s| s.core().is_allocator(now)).expect("there is an allocator");
    let (mut allocator, mut holder) = (sidecars.remove(index), sidecars.remove(0));
    for round in 0..rounds(100_000) {
        let bytes = mutate(&mut rng, &samples);
        now += Duration::from_micros(100);
        for sidecar in [&mut allocator, &mut holder] {
            sidecar.receive(now, at(1 + (round % 5) as u8), &bytes);
            if round % 16 == 0 {
                sidecar.tick(now);
            }
            while let Some((_, bytes)) = sidecar.next_datagram() {
                assert!(bytes.len() <= 1200);
            }
            assert!(sidecar.report(now).holders <= 64);
        }
        // Whatever holders claim, the allocator never lends more than the pool.
        for limit in 0..2 {
            let config = allocator.config().clone();
            assert!(allocator.core().charged(&config, limit, now) <= config.pool(limit), "round {round}");
        }
    }
}
