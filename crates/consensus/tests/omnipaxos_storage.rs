//! The `omnipaxos` library over [`EpochStorage`], under the faults of a real fleet: lost, duplicated, delayed and
//! reordered messages, blocked links, and stopped nodes. Runs are deterministic for a seed.

use cometcroft_consensus::{EncodedEntry, EpochStorage};
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::collections::BTreeMap;

type Node = OmniPaxos<EncodedEntry, EpochStorage>;

fn node(pid: u64, nodes: u64) -> Node {
    let config = ClusterConfig { configuration_id: 1, nodes: (1..=nodes).collect(), flexible_quorum: None };
    let server =
        ServerConfig { pid, election_tick_timeout: 5, resend_message_tick_timeout: 10, ..Default::default() };
    config.build_for_server(server, EpochStorage::default()).expect("a valid configuration")
}

/// The first byte of each decided entry.
fn decided(node: &Node) -> Vec<u8> {
    let entries = node.read_decided_suffix(0).unwrap_or_default();
    entries
        .iter()
        .filter_map(|entry| match entry {
            LogEntry::Decided(encoded) => Some(encoded.0[0]),
            _ => None,
        })
        .collect()
}

/// A message on its way.
#[derive(Clone)]
struct InFlight {
    arrives_at_tick: u64,
    /// The number of messages sent so far, this one included.
    count: u64,
    message: Message<EncodedEntry>,
}

struct Network {
    nodes: Vec<Node>,
    in_flight: Vec<InFlight>,
    /// The count of the last delivered message, by sender and receiver.
    last_delivered: BTreeMap<(u64, u64), u64>,
    /// Blocked links, as sender and receiver.
    blocked: Vec<(u64, u64)>,
    rng: fastrand::Rng,
    /// The probability that a message is lost; also that one is duplicated.
    loss: f64,
    sent: u64,
}

impl Network {
    fn new(nodes: u64, seed: u64) -> Network {
        Network {
            nodes: (1..=nodes).map(|pid| node(pid, nodes)).collect(),
            in_flight: Vec::new(),
            last_delivered: BTreeMap::new(),
            blocked: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            sent: 0,
        }
    }

    /// One tick of all nodes but the stopped ones. A message takes one tick, and up to `max_delay` more.
    fn step(&mut self, tick: u64, max_delay: u64, stopped: &[u64]) {
        let mut due = Vec::new();
        self.in_flight.retain(|message| {
            if message.arrives_at_tick <= tick {
                due.push(message.clone());
            }
            message.arrives_at_tick > tick
        });
        if max_delay > 0 {
            self.rng.shuffle(&mut due);
        }
        for InFlight { count, message, .. } in due {
            let to = message.get_receiver();
            // Overtaken and duplicate messages are dropped, because `omnipaxos` does not tolerate them.
            let last = self.last_delivered.entry((message.get_sender(), to)).or_default();
            if count <= *last {
                continue;
            }
            *last = count;
            if !stopped.contains(&to) {
                self.nodes[to as usize - 1].handle_incoming(message);
            }
        }
        for node in &mut self.nodes {
            if stopped.contains(&node.get_pid()) {
                continue;
            }
            node.tick();
            let mut outgoing = Vec::new();
            node.take_outgoing_messages(&mut outgoing);
            for message in outgoing {
                self.sent += 1;
                let link = (message.get_sender(), message.get_receiver());
                if self.blocked.contains(&link) || self.rng.f64() < self.loss {
                    continue;
                }
                for _ in 0..1 + u32::from(self.rng.f64() < self.loss) {
                    let arrives_at_tick = tick + 1 + self.rng.u64(0..=max_delay);
                    self.in_flight.push(InFlight {
                        arrives_at_tick,
                        count: self.sent,
                        message: message.clone(),
                    });
                }
            }
        }
    }
}

/// Runs nodes under random faults; returns the decided entries, on which all nodes agree, and the number of messages
/// sent.
fn run_with_faults(nodes: u64, seed: u64, loss: f64, max_delay: u64) -> (Vec<u8>, u64) {
    let mut network = Network::new(nodes, seed);
    network.loss = loss;
    let mut longest: Vec<u8> = Vec::new();
    let mut stopped = Vec::new();
    for tick in 0..1500 {
        if tick % 20 == 7 && tick < 1000 {
            let proposer = network.rng.usize(..nodes as usize);
            let _ = network.nodes[proposer].append(EncodedEntry(vec![(tick / 20) as u8]));
        }
        if tick % 90 == 0 {
            network.blocked.clear();
            stopped.clear();
            if tick < 1000 {
                for _ in 0..network.rng.usize(0..4) {
                    let link = (1 + network.rng.u64(..nodes), 1 + network.rng.u64(..nodes));
                    network.blocked.push(link);
                }
                if network.rng.bool() {
                    stopped.push(1 + network.rng.u64(..nodes));
                }
            }
        }
        if tick == 1000 {
            network.loss = 0.0;
        }
        network.step(tick, max_delay, &stopped);
        for node in &network.nodes {
            let entries = decided(node);
            let common = entries.len().min(longest.len());
            assert_eq!(entries[..common], longest[..common], "seed {seed}: entries differ at tick {tick}");
            if entries.len() > longest.len() {
                longest = entries;
            }
        }
    }
    (longest, network.sent)
}

#[test]
fn nodes_decide_the_same_entries_under_random_faults() {
    let mut fewest = usize::MAX;
    for seed in 0..60 {
        for (nodes, loss, max_delay) in [(3, 0.0, 0), (3, 0.1, 3), (5, 0.3, 6)] {
            let (entries, _) = run_with_faults(nodes, seed, loss, max_delay);
            fewest = fewest.min(entries.len());
        }
    }
    println!("at least {fewest} entries decided");
    assert!(fewest >= 10, "{fewest}");
}

#[test]
fn runs_with_the_same_seed_are_equal() {
    for seed in 0..20 {
        assert_eq!(run_with_faults(5, seed, 0.2, 4), run_with_faults(5, seed, 0.2, 4));
    }
}

#[test]
fn a_leader_that_receives_but_cannot_send_is_replaced() {
    for seed in 0..20 {
        let mut network = Network::new(3, seed);
        for tick in 0..100 {
            network.step(tick, 0, &[]);
        }
        let leader = network.nodes[0].get_current_leader().expect("a leader").0;
        network.blocked = (1..=3).filter(|to| *to != leader).map(|to| (leader, to)).collect();
        for tick in 100..300 {
            network.step(tick, 0, &[]);
        }
        let other = network.nodes.iter_mut().find(|node| node.get_pid() != leader).expect("another node");
        other.append(EncodedEntry(vec![9])).expect("the node accepts a proposal");
        for tick in 300..400 {
            network.step(tick, 0, &[]);
        }
        let others = network.nodes.iter().filter(|node| node.get_pid() != leader);
        for node in others {
            assert_ne!(node.get_current_leader().map(|(pid, _)| pid), Some(leader), "seed {seed}");
            assert_eq!(decided(node), vec![9], "seed {seed}");
        }
    }
}
