//! The machine by itself: what strangers, old messages and old views can do to it.

use cometcroft_membership::{Change, Config, Membership, Name, Output, State, Time};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use std::net::{Ipv4Addr, SocketAddrV4};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn address(i: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, i), 7000)
}

fn member(i: u8, unix_ms: u64) -> Membership {
    let mut config = Config::new("f", name(&format!("m{i}")), address(i));
    config.seeds = vec![address(1)];
    config.max_members = 16;
    Membership::new(config, Time::ZERO, unix_ms, u64::from(i))
}

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

/// What a member wants sent, by address; changes go to `seen`.
fn sent(from: &mut Membership, seen: &mut Vec<Change>) -> Vec<(SocketAddrV4, Vec<u8>)> {
    let mut all = Vec::new();
    while let Some(output) = from.output() {
        match output {
            Output::Send(to, bytes) => all.push((to, bytes)),
            Output::Changed(change) => seen.push(change),
            Output::Exchange(_) => {}
        }
    }
    all
}

/// Members that hear one another at once, until `until`, from `from` on, in steps of 10 ms.
fn talk(members: &mut [Membership], from: u64, until: u64, seen: &mut Vec<Change>) {
    for now in (from..until).step_by(10) {
        for i in 0..members.len() {
            if members[i].next_at() <= ms(now) {
                members[i].tick(ms(now));
            }
            for (to, bytes) in sent(&mut members[i], seen) {
                let to = members.iter_mut().find(|m| m.local_record().address() == to);
                to.into_iter().for_each(|m| m.receive(ms(now), &bytes));
            }
        }
    }
}

fn fleet() -> Vec<Membership> {
    (1..=4).map(|i| member(i, 1000 + u64::from(i))).collect()
}

#[test]
fn an_old_view_replayed_whole_changes_nothing() {
    let (mut members, mut seen) = (fleet(), Vec::new());
    talk(&mut members, 0, 2000, &mut seen);
    let old = members[0].view();
    // A new start of the second member, met by all.
    members[1] = member(2, 5000);
    talk(&mut members, 2000, 4000, &mut seen);
    let before: Vec<u64> = members.iter().map(Membership::digest).collect();
    assert!(before.iter().all(|digest| *digest == before[0]), "all views are equal");
    let generation = members[1].local_record().generation;
    for at in 0..5 {
        members[2].receive_view(ms(4000 + at), &old);
    }
    assert_eq!(members[2].lookup(&name("m2")), Some((State::Alive, generation)));
    assert_eq!(members[2].digest(), before[2]);
    assert!(members[2].counters().1.stale > 0, "what was old is counted");
}

#[test]
fn strangers_push_nobody_out_and_what_is_foreign_is_counted() {
    let (mut members, mut seen) = (fleet(), Vec::new());
    talk(&mut members, 0, 2000, &mut seen);
    // Many of the same fleet's name, more than there is room for.
    for i in 20..80 {
        let mut stranger = member(i, 9000);
        stranger.tick(ms(1000));
        for (_, bytes) in sent(&mut stranger, &mut seen) {
            members[0].receive(ms(2000), &bytes);
        }
    }
    let mut foreign = Membership::new(Config::new("g", name("x"), address(99)), Time::ZERO, 1, 1);
    let view = foreign.view();
    assert_eq!(members[0].receive_view(ms(2000), &view), None);
    let (_, dropped) = members[0].counters();
    assert!(dropped.full > 0 && dropped.foreign == 1, "{dropped:?}");
    for i in 2..=4 {
        let (state, _) = members[0].lookup(&name(&format!("m{i}"))).expect("it is still known");
        assert_eq!(state, State::Alive);
    }
    assert!(members[0].report().members.len() <= 16);
}

#[test]
fn a_start_whose_clock_was_set_back_goes_over_its_former_life() {
    let (mut members, mut seen) = (fleet(), Vec::new());
    talk(&mut members, 0, 2000, &mut seen);
    let former = members[2].local_record().generation;
    members[2] = member(3, 7);
    assert!(members[2].local_record().generation < former);
    talk(&mut members, 2000, 5000, &mut seen);
    let now = members[2].local_record().generation;
    assert!(now > former && !members[2].is_superseded());
    assert_eq!(members[0].lookup(&name("m3")), Some((State::Alive, now)));
}

#[test]
fn who_leaves_is_told_and_is_no_failure() {
    let (mut members, mut seen) = (fleet(), Vec::new());
    talk(&mut members, 0, 2000, &mut seen);
    members[3].leave(ms(2000));
    talk(&mut members, 2000, 3000, &mut seen);
    for member in &members[..3] {
        assert_eq!(member.lookup(&name("m4")).map(|(state, _)| state), Some(State::Left));
        assert_eq!(member.present_in_tier(0), 3);
    }
    assert!(seen.iter().all(|change| !matches!(change.to, State::Suspect | State::Dead)));
}

proptest! {
    #![proptest_config(Cases { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..Cases::default() })]

    /// No bytes end it, and a message that was turned, cut or joined with another changes no view.
    #[test]
    fn no_bytes_harm_it(
        noise in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..1300), 0..20),
        (at, bit, cut) in (any::<u16>(), 0u8..8, any::<u16>()),
    ) {
        let (mut members, mut seen) = (fleet(), Vec::new());
        talk(&mut members, 0, 1500, &mut seen);
        let digest = members[0].digest();
        for bytes in &noise {
            members[0].receive(ms(1500), bytes);
            members[0].receive_view(ms(1500), bytes);
        }
        let mut other = member(9, 50);
        other.tick(ms(1500));
        for (_, mut bytes) in sent(&mut other, &mut seen) {
            let whole = bytes.clone();
            let place = usize::from(at) % bytes.len();
            bytes[place] ^= 1 << bit;
            members[0].receive(ms(1500), &bytes);
            members[0].receive(ms(1500), &whole[..usize::from(cut) % whole.len()]);
            members[0].receive(ms(1500), &[whole.clone(), whole].concat());
        }
        prop_assert_eq!(members[0].digest(), digest);
    }
}
