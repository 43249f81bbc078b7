//! Tests of `free_addresses` while other threads start processes.
#![allow(clippy::disallowed_methods)]

use cometcroft_rig::free_addresses;
use std::collections::HashSet;
use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;

const THREADS: u8 = 16;
const ROUNDS: u8 = 60;
const PORTS: usize = 3;

#[test]
fn addresses_of_one_call_are_distinct() {
    let addresses = free_addresses(Ipv4Addr::new(127, 98, 0, 1), 500).expect("free addresses");
    assert_eq!(addresses.iter().collect::<HashSet<_>>().len(), 500);
}

#[test]
fn free_addresses_can_be_bound_while_other_processes_start() {
    let count_busy = |thread: u8| {
        let mut busy = 0;
        for round in 0..ROUNDS {
            let ip = Ipv4Addr::new(127, 98, 1 + thread, 1 + round);
            let addresses = free_addresses(ip, PORTS).expect("free addresses");
            busy += addresses.iter().filter(|address| TcpListener::bind(address).is_err()).count();
            assert!(Command::new("true").status().expect("start the command").success());
        }
        busy
    };
    let busy: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || count_busy(thread))).collect();
        threads.into_iter().map(|thread| thread.join().expect("the thread panicked")).sum()
    });
    assert_eq!(busy, 0, "addresses in use, of {}", usize::from(THREADS) * usize::from(ROUNDS) * PORTS);
}
