//! What arrives from strangers: mutated messages, sealed anew so that they get past the checksum, in a number that
//! `FUZZ_ROUNDS` says (a fixed one by default, so that the verdict is the same each time). `corpus/` holds messages of every
//! kind and what was worth keeping; `FUZZ_WRITE=1` writes the first ones anew.

#[path = "../../membership/tests/mutation/mod.rs"]
mod mutation;

use cometcroft_budget::{Budget, Config, Kind, Time, Whole};
use mutation::{corpus_dir, mutate, read_corpus, rounds};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

fn at(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7)
}

fn sidecar(n: u8) -> Budget {
    let keepers = (1..=3).map(at).collect();
    let mut config = Config::new("fuzz", at(n), keepers, Duration::from_secs(2));
    let kind = Kind::Rate { burst: 100_000 };
    config.wholes = vec![
        Whole { name: "rate".into(), kind, size: 100_000, floor: 0 },
        Whole {
            name: "level".into(),
            kind: Kind::Level { longest: Duration::from_millis(400) },
            size: 20_000,
            floor: 0,
        },
    ];
    config.most = 64;
    Budget::new(config, Time::ZERO, u64::from(n))
}

/// Four sidecars that share for so long, and all that they said.
fn share(seconds: u64) -> (Vec<Budget>, Vec<Vec<u8>>, Time) {
    let mut sidecars: Vec<Budget> = (1..=4).map(sidecar).collect();
    let (mut said, mut now) = (Vec::new(), Time::ZERO);
    while now < Duration::from_secs(seconds) {
        now += Duration::from_millis(10);
        for i in 0..4 {
            let _ = sidecars[i].take(0, now);
            sidecars[i].tick(now);
            let from = at(i as u8 + 1);
            while let Some((to, bytes)) = sidecars[i].output() {
                said.push(bytes.clone());
                sidecars[usize::from(to.ip().octets()[3]) - 1].receive(now, from, &bytes);
            }
        }
    }
    (sidecars, said, now)
}

#[test]
fn the_corpus_holds_messages_of_every_kind() {
    if std::env::var("FUZZ_WRITE").is_ok() {
        let (_, said, _) = share(10);
        std::fs::create_dir_all(corpus_dir()).expect("a folder");
        let mut kinds: Vec<&Vec<u8>> = Vec::new();
        for bytes in &said {
            // The body's first byte is its kind.
            if kinds.iter().filter(|kind| kind[11] == bytes[11]).count() < 4 {
                kinds.push(bytes);
            }
        }
        for (i, bytes) in kinds.iter().enumerate() {
            std::fs::write(corpus_dir().join(format!("said-{i:02}")), bytes).expect("written");
        }
    }
    let mut kinds: Vec<u8> = read_corpus().iter().filter_map(|bytes| bytes.get(11).copied()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    assert!(kinds.len() >= 5, "votes, answers, questions, grants, promises: {kinds:?}");
}

#[test]
fn no_message_brings_a_sidecar_down_or_has_it_hold_more_than_the_whole() {
    let from = read_corpus();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut sidecars, _, mut now) = share(10);
    // A divider, and a holder.
    let place = sidecars.iter().position(|s| s.core().divides(now)).expect("one divides");
    let (mut divider, mut holder) = (sidecars.remove(place), sidecars.remove(0));
    for round in 0..rounds(100_000) {
        let bytes = mutate(&mut rng, &from);
        now += Duration::from_micros(100);
        for sidecar in [&mut divider, &mut holder] {
            sidecar.receive(now, at(1 + (round % 5) as u8), &bytes);
            if round % 16 == 0 {
                sidecar.tick(now);
            }
            while let Some((_, bytes)) = sidecar.output() {
                assert!(bytes.len() <= 1200);
            }
            assert!(sidecar.report(now).holders <= 64);
        }
        // What it divides is never more than the whole, whoever claims what.
        for whole in 0..2 {
            let config = divider.config().clone();
            assert!(divider.core().charged(&config, whole, now) <= config.pool(whole), "round {round}");
        }
    }
}
