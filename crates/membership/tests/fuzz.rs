//! What arrives from strangers: mutated messages, sealed anew so that they get past the checksum, in a number that
//! `FUZZ_ROUNDS` says (a fixed one by default, so that the verdict is the same each time). `corpus/` holds messages of every
//! kind and what was worth keeping; `FUZZ_WRITE=1` writes the first ones anew.

mod mutation;

use cometcroft_membership::{Config, Membership, Name, Output, Time};
use mutation::{corpus_dir, mutate, read_corpus, rounds};
use std::net::{Ipv4Addr, SocketAddrV4};

fn at(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7)
}

fn member(n: u8, seed: u64) -> Membership {
    let name = Name::new(&format!("m{n}")).expect("a name");
    let mut config = Config::new("fuzz", name, at(n));
    config.seeds = vec![at(1), at(2)];
    config.max_members = 64;
    Membership::new(config, Time::ZERO, 1_000_000 + u64::from(n), seed)
}

/// Three members that talk for so long, and all that they said.
fn talk(seconds: u64) -> (Vec<Membership>, Vec<Vec<u8>>, Time) {
    let mut members: Vec<Membership> = (1..=3).map(|n| member(n, u64::from(n))).collect();
    let (mut said, mut now) = (Vec::new(), Time::ZERO);
    while now < Time::from_secs(seconds) {
        now += Time::from_millis(20);
        for i in 0..3 {
            members[i].tick(now);
            while let Some(output) = members[i].output() {
                let Output::Send(to, bytes) = output else { continue };
                said.push(bytes.clone());
                let to = usize::from(to.ip().octets()[3]) - 1;
                members[to].receive(now, &bytes);
            }
        }
        let view = members[0].view();
        said.push(view);
    }
    (members, said, now)
}

#[test]
fn the_corpus_holds_messages_of_every_kind() {
    if std::env::var("FUZZ_WRITE").is_ok() {
        let (_, said, _) = talk(10);
        std::fs::create_dir_all(corpus_dir()).expect("a folder");
        for (i, bytes) in said.iter().step_by(said.len() / 24).enumerate() {
            std::fs::write(corpus_dir().join(format!("said-{i:02}")), bytes).expect("written");
        }
    }
    let mut heard = member(9, 1);
    for bytes in read_corpus() {
        heard.receive(Time::from_secs(1), &bytes);
        let _ = heard.receive_view(Time::from_secs(1), &bytes);
    }
    assert!(heard.present_members().count() > 2, "the corpus is of this fleet and is understood");
}

#[test]
fn no_message_brings_a_member_down_or_grows_it_or_makes_it_say_too_much() {
    let from = read_corpus();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut members, _, mut now) = talk(10);
    let mut heard = members.remove(0);
    for round in 0..rounds(60_000) {
        let bytes = mutate(&mut rng, &from);
        now += Time::from_micros(200);
        heard.receive(now, &bytes);
        if round % 16 == 0 {
            let _ = heard.receive_view(now, &bytes);
            heard.tick(now);
        }
        while let Some(output) = heard.output() {
            if let Output::Send(_, bytes) = output {
                assert!(bytes.len() <= 1200, "{} bytes", bytes.len());
            }
        }
        assert!(heard.present_count() <= 65, "{} members", heard.present_count());
    }
    let own = heard.local_record().clone();
    assert!(heard.present_members().any(|(name, _)| *name == own.name), "it still knows itself");
}
