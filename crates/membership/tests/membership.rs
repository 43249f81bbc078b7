//! Tests of the membership protocol: effects of outdated views and messages, unknown members, restarts and corrupted bytes.

use cometcroft_membership::{Change, Config, Membership, Name, Output, State, Time};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::net::{Ipv4Addr, SocketAddrV4};

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, n), 7000)
}

fn member(n: u8, unix_ms: u64) -> Membership {
    let mut config = Config::new("f", name(&format!("m{n}")), address(n));
    config.seeds = vec![address(1)];
    config.max_members = 16;
    Membership::new(config, Time::ZERO, unix_ms, u64::from(n))
}

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

/// Takes all outputs of a member: returns the datagrams to send, and appends the state changes to `changes`.
fn take_outputs(member: &mut Membership, changes: &mut Vec<Change>) -> Vec<(SocketAddrV4, Vec<u8>)> {
    let mut datagrams = Vec::new();
    while let Some(output) = member.output() {
        match output {
            Output::Send(to, bytes) => datagrams.push((to, bytes)),
            Output::Changed(change) => changes.push(change),
            Output::Exchange(_) => {}
        }
    }
    datagrams
}

/// Runs members from `from` until `until` (ms) in steps of 10 ms. Datagrams are delivered at once.
fn run(members: &mut [Membership], from: u64, until: u64, changes: &mut Vec<Change>) {
    for now in (from..until).step_by(10) {
        for i in 0..members.len() {
            if members[i].next_at() <= ms(now) {
                members[i].tick(ms(now));
            }
            for (to, bytes) in take_outputs(&mut members[i], changes) {
                let receiver = members.iter_mut().find(|member| member.local_record().address() == to);
                receiver.into_iter().for_each(|member| member.receive(ms(now), &bytes));
            }
        }
    }
}

fn fleet() -> Vec<Membership> {
    (1..=4).map(|n| member(n, 1000 + u64::from(n))).collect()
}

#[test]
fn a_replayed_outdated_view_changes_nothing() {
    let (mut members, mut changes) = (fleet(), Vec::new());
    run(&mut members, 0, 2000, &mut changes);
    let outdated = members[0].view();
    // The second member restarts, and all others learn of it.
    members[1] = member(2, 5000);
    run(&mut members, 2000, 4000, &mut changes);
    let before: Vec<u64> = members.iter().map(Membership::digest).collect();
    assert!(before.iter().all(|digest| *digest == before[0]), "all views are equal");
    let generation = members[1].local_record().generation;
    for i in 0..5 {
        members[2].receive_view(ms(4000 + i), &outdated);
    }
    assert_eq!(members[2].lookup(&name("m2")), Some((State::Alive, generation)));
    assert_eq!(members[2].digest(), before[2]);
    assert!(members[2].counters().1.stale > 0, "outdated updates are counted");
}

#[test]
fn a_flood_of_new_members_displaces_no_known_one_and_foreign_messages_are_counted() {
    let (mut members, mut changes) = (fleet(), Vec::new());
    run(&mut members, 0, 2000, &mut changes);
    // More new members of the same fleet than the table can hold.
    for n in 20..80 {
        let mut new_member = member(n, 9000);
        new_member.tick(ms(1000));
        for (_, bytes) in take_outputs(&mut new_member, &mut changes) {
            members[0].receive(ms(2000), &bytes);
        }
    }
    let mut foreign = Membership::new(Config::new("g", name("x"), address(99)), Time::ZERO, 1, 1);
    let view = foreign.view();
    assert_eq!(members[0].receive_view(ms(2000), &view), None);
    let (_, dropped) = members[0].counters();
    assert!(dropped.full > 0 && dropped.foreign == 1, "{dropped:?}");
    for n in 2..=4 {
        let (state, _) = members[0].lookup(&name(&format!("m{n}"))).expect("the member is still known");
        assert_eq!(state, State::Alive);
    }
    assert!(members[0].report().members.len() <= 16);
}

#[test]
fn a_restart_with_an_earlier_wall_clock_supersedes_the_previous_process() {
    let (mut members, mut changes) = (fleet(), Vec::new());
    run(&mut members, 0, 2000, &mut changes);
    let previous = members[2].local_record().generation;
    members[2] = member(3, 7);
    assert!(members[2].local_record().generation < previous);
    run(&mut members, 2000, 5000, &mut changes);
    let current = members[2].local_record().generation;
    assert!(current > previous && !members[2].is_superseded());
    assert_eq!(members[0].lookup(&name("m3")), Some((State::Alive, current)));
}

#[test]
fn a_member_that_leaves_is_neither_suspected_nor_declared_dead() {
    let (mut members, mut changes) = (fleet(), Vec::new());
    run(&mut members, 0, 2000, &mut changes);
    members[3].leave(ms(2000));
    run(&mut members, 2000, 3000, &mut changes);
    for member in &members[..3] {
        assert_eq!(member.lookup(&name("m4")).map(|(state, _)| state), Some(State::Left));
        assert_eq!(member.present_in_tier(0), 3);
    }
    assert!(changes.iter().all(|change| !matches!(change.to, State::Suspect | State::Dead)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Neither random bytes nor messages that are corrupted, truncated or concatenated cause a panic or change a view.
    #[test]
    fn invalid_messages_change_no_view(
        noise in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..1300), 0..20),
        (at, bit, cut) in (any::<u16>(), 0u8..8, any::<u16>()),
    ) {
        let (mut members, mut changes) = (fleet(), Vec::new());
        run(&mut members, 0, 1500, &mut changes);
        let digest = members[0].digest();
        for bytes in &noise {
            members[0].receive(ms(1500), bytes);
            members[0].receive_view(ms(1500), bytes);
        }
        let mut other = member(9, 50);
        other.tick(ms(1500));
        for (_, mut bytes) in take_outputs(&mut other, &mut changes) {
            let valid = bytes.clone();
            let index = usize::from(at) % bytes.len();
            bytes[index] ^= 1 << bit;
            members[0].receive(ms(1500), &bytes);
            members[0].receive(ms(1500), &valid[..usize::from(cut) % valid.len()]);
            members[0].receive(ms(1500), &[valid.clone(), valid].concat());
        }
        prop_assert_eq!(members[0].digest(), digest);
    }
}
