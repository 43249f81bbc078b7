//! Fuzz test of received messages: mutations of a corpus of valid messages, mostly with a recomputed checksum so that they
//! get past it.
//!
//! The seed and the default number of messages are fixed, so that results are reproducible; the environment variable
//! `FUZZ_ROUNDS` sets another number. `corpus/` holds messages of every kind, and others worth keeping; with `FUZZ_WRITE`
//! set, `corpus/said-*` are written anew.

mod mutation;

use cometcroft_membership::{Config, Membership, Name, Output, Time};
use mutation::{corpus_dir, mutate, read_corpus, rounds};
use std::net::{Ipv4Addr, SocketAddrV4};

fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7)
}

fn member(n: u8, seed: u64) -> Membership {
    let name = Name::new(&format!("m{n}")).expect("a valid name");
    let mut config = Config::new("fuzz", name, address(n));
    config.seeds = vec![address(1), address(2)];
    config.max_members = 64;
    Membership::new(config, Time::ZERO, 1_000_000 + u64::from(n), seed)
}

/// Runs three members for some seconds; returns them, all messages that they sent, and the time.
fn run_fleet(seconds: u64) -> (Vec<Membership>, Vec<Vec<u8>>, Time) {
    let mut members: Vec<Membership> = (1..=3).map(|n| member(n, u64::from(n))).collect();
    let (mut sent, mut now) = (Vec::new(), Time::ZERO);
    while now < Time::from_secs(seconds) {
        now += Time::from_millis(20);
        for i in 0..3 {
            members[i].tick(now);
            while let Some(output) = members[i].output() {
                let Output::Send(to, bytes) = output else { continue };
                sent.push(bytes.clone());
                let to = usize::from(to.ip().octets()[3]) - 1;
                members[to].receive(now, &bytes);
            }
        }
        let view = members[0].view();
        sent.push(view);
    }
    (members, sent, now)
}

#[test]
fn corpus_messages_are_understood() {
    if std::env::var("FUZZ_WRITE").is_ok() {
        let (_, sent, _) = run_fleet(10);
        std::fs::create_dir_all(corpus_dir()).expect("the corpus directory can be created");
        for (i, bytes) in sent.iter().step_by(sent.len() / 24).enumerate() {
            std::fs::write(corpus_dir().join(format!("said-{i:02}")), bytes)
                .expect("the file can be written");
        }
    }
    let mut receiver = member(9, 1);
    for bytes in read_corpus() {
        receiver.receive(Time::from_secs(1), &bytes);
        let _ = receiver.receive_view(Time::from_secs(1), &bytes);
    }
    assert!(receiver.present_members().count() > 2, "the receiver learns of members from the corpus");
}

#[test]
fn mutated_messages_cause_no_panic_no_oversized_table_and_no_oversized_datagram() {
    let corpus = read_corpus();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut members, _, mut now) = run_fleet(10);
    let mut receiver = members.remove(0);
    for round in 0..rounds(60_000) {
        let bytes = mutate(&mut rng, &corpus);
        now += Time::from_micros(200);
        receiver.receive(now, &bytes);
        if round % 16 == 0 {
            let _ = receiver.receive_view(now, &bytes);
            receiver.tick(now);
        }
        while let Some(output) = receiver.output() {
            if let Output::Send(_, bytes) = output {
                assert!(bytes.len() <= 1200, "{} bytes", bytes.len());
            }
        }
        assert!(receiver.present_count() <= 65, "{} members", receiver.present_count());
    }
    let own = receiver.local_record().clone();
    assert!(
        receiver.present_members().any(|(name, _)| *name == own.name),
        "the receiver is still in its own view"
    );
}
