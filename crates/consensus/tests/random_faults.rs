//! Voters and learners on a simulated network with a virtual clock, under random overlapping faults: lost,
//! duplicated, reordered and blocked messages, pauses, and restarts that lose all state.
//!
//! The tests check that all replicas have the same entries in the same order, that no acknowledged command is lost,
//! that no replica goes back to an earlier position, and that injected defects are detected.

use cometcroft_consensus::{Config, Features, Log, Peer, Position, StateMachine};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// The state machine of the tests: the distinct commands, in the order of their first application.
#[derive(Debug, Clone, Default, PartialEq)]
struct AppliedCommands(Vec<u16>);

impl StateMachine for AppliedCommands {
    fn fresh() -> AppliedCommands {
        AppliedCommands::default()
    }
    fn apply(&mut self, _index: u64, command: &[u8]) {
        let command = u16::from_le_bytes([command[0], command[1]]);
        if !self.0.contains(&command) {
            self.0.push(command);
        }
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.iter().flat_map(|command| command.to_le_bytes()).collect()
    }
    fn restore(bytes: &[u8]) -> Option<AppliedCommands> {
        let commands = bytes.chunks_exact(2).map(|pair| u16::from_le_bytes([pair[0], pair[1]]));
        Some(AppliedCommands(commands.collect()))
    }
}

const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_SECOND: u64 = 50;

fn address(member: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1 + member as u8), 7000)
}

fn member_at(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3]) - 1
}

/// A message on its way.
#[derive(Clone)]
struct InFlight {
    arrives_at_step: u64,
    to: usize,
    bytes: Vec<u8>,
}

/// A simulated fleet. Members are numbered; the voters come first.
struct Cluster {
    logs: Vec<Log<AppliedCommands>>,
    voters: usize,
    features: Features,
    in_flight: Vec<InFlight>,
    /// Blocked links, as sender and receiver.
    blocked: Vec<(usize, usize)>,
    /// For each member, the last step of its pause.
    paused_until: Vec<u64>,
    /// The probability that a message is lost; also that one is duplicated.
    loss: f64,
    /// The maximum additional delay of a message, in steps.
    max_delay: u64,
    step: u64,
    rng: fastrand::Rng,
    /// The checksum that was first seen at each position, by bootstrap ID and index.
    checksums: BTreeMap<(u64, u64), u64>,
    /// The furthest position of each process.
    furthest: Vec<Position>,
    acknowledged: Vec<u16>,
    max_epoch_entries: usize,
    violations: Vec<String>,
}

impl Cluster {
    fn new(voters: usize, learners: usize, seed: u64, features: Features) -> Cluster {
        let mut cluster = Cluster {
            logs: Vec::new(),
            voters,
            features,
            in_flight: Vec::new(),
            blocked: Vec::new(),
            paused_until: vec![0; voters + learners],
            loss: 0.0,
            max_delay: 0,
            step: 0,
            rng: fastrand::Rng::with_seed(seed),
            checksums: BTreeMap::new(),
            furthest: vec![Position::default(); voters + learners],
            acknowledged: Vec::new(),
            max_epoch_entries: 40,
            violations: Vec::new(),
        };
        for member in 0..voters + learners {
            let log = cluster.start(member);
            cluster.logs.push(log);
        }
        cluster
    }

    fn now(&self) -> Duration {
        STEP * self.step as u32
    }

    /// A new process of a member, without any state.
    fn start(&mut self, member: usize) -> Log<AppliedCommands> {
        let mut config = Config::new("f", address(member), (0..self.voters).map(address).collect());
        (config.features, config.max_epoch_entries) = (self.features, self.max_epoch_entries);
        let mut log = Log::new(config, self.now(), self.step + 1, self.rng.u64(..));
        let others = (0..self.paused_until.len()).filter(|peer| *peer != member);
        let peers = others.map(|peer| Peer { address: address(peer), near: peer % 2 == member % 2 });
        log.set_peers(peers.collect());
        self.furthest[member] = Position::default();
        log
    }

    fn restart(&mut self, member: usize) {
        self.logs[member] = self.start(member);
    }

    /// Advances the clock by a step: delivers the messages that are due, then lets each member act and send.
    fn step(&mut self) {
        self.step += 1;
        let (step, now) = (self.step, self.now());
        let mut due = Vec::new();
        self.in_flight.retain(|message| {
            if message.arrives_at_step <= step {
                due.push(message.clone());
            }
            message.arrives_at_step > step
        });
        self.rng.shuffle(&mut due);
        for InFlight { to, bytes, .. } in due {
            if self.paused_until[to] < step {
                self.logs[to].receive(now, &bytes);
            }
        }
        for member in 0..self.logs.len() {
            if self.paused_until[member] >= step {
                continue;
            }
            if self.logs[member].next_at() <= now {
                self.logs[member].tick(now);
            }
            while let Some((to, bytes)) = self.logs[member].output() {
                self.send(member, member_at(to), &bytes);
            }
        }
        self.check_invariants();
    }

    fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if self.blocked.contains(&(from, to)) || self.rng.f64() < self.loss {
            return;
        }
        for _ in 0..1 + u32::from(self.rng.f64() < self.loss) {
            let arrives_at_step = self.step + 1 + self.rng.u64(0..=self.max_delay);
            self.in_flight.push(InFlight { arrives_at_step, to, bytes: bytes.to_vec() });
        }
    }

    fn check_invariants(&mut self) {
        if !self.violations.is_empty() {
            return;
        }
        for (member, log) in self.logs.iter().enumerate() {
            let position = log.position();
            let key = (position.bootstrap_id, position.index);
            let first_seen = self.checksums.entry(key).or_insert(position.sum);
            if *first_seen != position.sum {
                let step = self.step;
                self.violations.push(format!("member {member} differs at {position:?}, step {step}"));
            }
            let furthest = self.furthest[member];
            if furthest.beyond(position) {
                self.violations.push(format!("member {member} went back to {position:?} from {furthest:?}"));
            }
            self.furthest[member] = position;
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * STEPS_PER_SECOND {
            self.step();
        }
    }

    /// Bootstraps at a member and waits for the result; an error is the code, or a text if there is none.
    fn bootstrap(&mut self, member: usize) -> Result<(), String> {
        let now = self.now();
        self.logs[member].bootstrap(now).map_err(|error| error.to_string())?;
        for _ in 0..500 {
            self.step();
            if let Some(result) = self.logs[member].bootstrap_result() {
                return result.map(drop).map_err(|error| error.code().to_owned());
            }
        }
        Err("no answer".to_owned())
    }

    fn propose(&mut self, member: usize, command: u16) {
        let now = self.now();
        let expires = now + Duration::from_secs(8);
        let _ = self.logs[member].propose(now, command.to_le_bytes().to_vec(), expires);
    }

    fn replicas_are_equal(&self) -> bool {
        let first = self.logs[0].position();
        self.logs.iter().all(|log| log.position() == first && log.machine() == self.logs[0].machine())
    }

    fn has_leader(&self) -> bool {
        self.logs.iter().any(|log| log.leads(self.now()))
    }

    /// Proposes commands at random members under random overlapping faults, restarting voters without their state one
    /// at a time. Then ends all faults, and checks that every acknowledged command is still there.
    fn run_with_faults(&mut self, seconds: u64) {
        let members = self.logs.len();
        let mut next = 0u16;
        let mut proposed: BTreeMap<u16, usize> = BTreeMap::new();
        let mut no_restart_until = 0;
        for _ in 0..seconds * STEPS_PER_SECOND {
            if self.step.is_multiple_of(25) {
                let member = self.rng.usize(..members);
                proposed.insert(next, member);
                self.propose(member, next);
                next += 1;
            }
            if self.step.is_multiple_of(100) {
                self.draw_faults();
            }
            // The next voter restarts only after the one before has been readmitted.
            if self.step.is_multiple_of(160) && self.step > no_restart_until && self.rng.bool() {
                let voter = self.rng.usize(..self.voters);
                let all_vote = (0..self.voters).all(|i| self.logs[i].status(self.now()).is_voting);
                if all_vote {
                    self.restart(voter);
                    no_restart_until = self.step + 100;
                }
            }
            self.step();
            for (command, member) in &proposed {
                // A command is acknowledged once the member that proposed it has applied it.
                if !self.acknowledged.contains(command) && self.logs[*member].machine().0.contains(command) {
                    self.acknowledged.push(*command);
                }
            }
        }
        (self.loss, self.max_delay) = (0.0, 1);
        self.blocked.clear();
        self.paused_until.fill(0);
        self.run(12);
        for command in &self.acknowledged {
            if !self.logs[0].machine().0.contains(command) {
                self.violations.push(format!("acknowledged command {command} is lost"));
            }
        }
    }

    /// Replaces the blocked links, the loss and the delay by random ones, and pauses a random member in half of the
    /// cases.
    fn draw_faults(&mut self) {
        let members = self.logs.len();
        self.blocked.clear();
        for _ in 0..self.rng.usize(0..6) {
            let link = (self.rng.usize(..members), self.rng.usize(..members));
            self.blocked.push(link);
        }
        self.loss = [0.0, 0.1, 0.3][self.rng.usize(..3)];
        self.max_delay = [0, 2, 10][self.rng.usize(..3)];
        if self.rng.bool() {
            let member = self.rng.usize(..members);
            self.paused_until[member] = self.step + self.rng.u64(10..150);
        }
    }
}

/// The number of runs: the environment variable `EVENINGS`, or a fixed number by default.
fn seeds() -> u64 {
    std::env::var("EVENINGS").ok().and_then(|n| n.parse().ok()).unwrap_or(60)
}

#[test]
fn random_faults_neither_reorder_entries_nor_lose_acknowledged_commands() {
    let mut fewest = usize::MAX;
    for seed in 0..seeds() {
        let voters = if seed % 3 == 0 { 5 } else { 3 };
        let mut cluster = Cluster::new(voters, 4, seed, Features::default());
        cluster.run(1);
        cluster.bootstrap(seed as usize % 7).expect("a bootstrap without faults succeeds");
        cluster.run(2);
        cluster.run_with_faults(40);
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
        assert!(
            cluster.has_leader(),
            "seed {seed}: no leader after the faults ended: {:?}",
            voting_states(&cluster)
        );
        assert!(cluster.replicas_are_equal(), "seed {seed}: {:?}", positions(&cluster));
        fewest = fewest.min(cluster.acknowledged.len());
    }
    println!("at least {fewest} of 80 commands acknowledged");
    assert!(fewest > 20, "{fewest}");
}

/// Of each member: the epoch, the last index, whether it votes, and the leader that it knows.
fn voting_states(cluster: &Cluster) -> Vec<(u32, u64, bool, Option<SocketAddrV4>)> {
    let state = |log: &Log<AppliedCommands>| {
        let status = log.status(cluster.now());
        (status.epoch, status.index, status.is_voting, status.leader)
    };
    cluster.logs.iter().map(state).collect()
}

fn positions(cluster: &Cluster) -> Vec<Position> {
    cluster.logs.iter().map(Log::position).collect()
}

#[test]
fn after_the_loss_of_all_voters_only_a_bootstrap_begins_a_history_and_from_the_newest_copy() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(3, 4, seed, Features::default());
        assert_eq!(
            cluster.logs[0].propose(Duration::ZERO, vec![1, 0], STEP * 9).map_err(|e| e.code()),
            Err("log.not-founded")
        );
        cluster.bootstrap(0).expect("a new fleet can be bootstrapped");
        cluster.run(3);
        assert_eq!(cluster.bootstrap(5), Err("log.has-leader".to_owned()));
        for command in 0..70 {
            cluster.propose(command as usize % 7, command);
            cluster.run(1);
        }
        let before = cluster.logs[6].machine().clone();
        assert_eq!(before.0.len(), 70, "seed {seed}");
        for voter in 0..3 {
            cluster.restart(voter);
        }
        cluster.run(5);
        assert!(!cluster.has_leader(), "seed {seed}: a history began without a bootstrap");
        let old = cluster.logs[6].position();
        cluster.bootstrap(0).expect("a voter without state can bootstrap from another member's copy");
        cluster.run(5);
        cluster.propose(4, 500);
        cluster.run(3);
        assert!(
            cluster.violations.is_empty() && cluster.replicas_are_equal(),
            "seed {seed}: {:?} {:?}",
            cluster.violations,
            positions(&cluster)
        );
        assert!(
            cluster.logs[0].position().beyond(old)
                && cluster.logs[0].status(cluster.now()).bootstrap_count == 2
        );
        assert_eq!(cluster.logs[1].machine().0[..70], before.0[..], "seed {seed}");
        assert_eq!(cluster.logs[1].machine().0[70..], [500]);
    }
}

#[test]
fn of_two_concurrent_bootstraps_at_most_one_succeeds() {
    assert!((0..40).all(|seed| concurrent_bootstraps(Features::default(), seed) <= 1));
    let defect = Features { single_vote: false, ..Features::default() };
    let both = (0..40).find(|&seed| concurrent_bootstraps(defect, seed) == 2);
    println!("voters that grant two bootstraps their votes: seed {both:?}");
    assert!(both.is_some(), "voters that grant both bootstraps their votes let both succeed");
}

/// How many of two bootstraps that run at the same time succeed.
fn concurrent_bootstraps(features: Features, seed: u64) -> usize {
    let mut cluster = Cluster::new(3, 3, seed, features);
    (cluster.loss, cluster.max_delay) = (0.1, 6);
    cluster.run(1);
    let now = cluster.now();
    cluster.logs[3].bootstrap(now).expect("the first bootstrap starts");
    for _ in 0..seed % 30 {
        cluster.step();
    }
    let now = cluster.now();
    cluster.logs[4].bootstrap(now).expect("the second bootstrap starts");
    cluster.run(6);
    let succeeded: Vec<bool> = [3, 4]
        .iter()
        .filter_map(|member| cluster.logs[*member].bootstrap_result())
        .map(|result| result.is_ok())
        .collect();
    (cluster.loss, cluster.max_delay) = (0.0, 1);
    cluster.run(6);
    if !succeeded.contains(&true) {
        cluster.bootstrap(5).expect("the voters are free for another bootstrap");
    }
    cluster.run(4);
    cluster.propose(5, 7);
    cluster.run(3);
    assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    assert!(
        cluster.replicas_are_equal() && cluster.logs[1].machine().0 == [7],
        "seed {seed}: {:?}",
        positions(&cluster)
    );
    succeeded.iter().filter(|succeeded| **succeeded).count()
}

/// A description, and the switch that injects the defect.
type InjectedDefect = (&'static str, fn(&mut Features));

/// Whether a run with a defect violates an invariant. A panic counts as a violation, because debug assertions check
/// invariants too.
fn violates(inject: fn(&mut Features), seed: u64) -> bool {
    let mut features = Features::default();
    inject(&mut features);
    let result = std::panic::catch_unwind(|| {
        let mut cluster = Cluster::new(3, 3, seed, features);
        cluster.run(1);
        if cluster.bootstrap(0).is_err() {
            return true;
        }
        cluster.run(2);
        // In each round, two voters decide entries without the third. Then one of the two restarts and reaches only
        // the third: if it votes although it has lost what it accepted, they decide other entries at the same
        // indices.
        for round in 0..6u16 {
            let isolated = (round % 3) as usize;
            let rest = [(isolated + 1) % 3, (isolated + 2) % 3];
            cluster.blocked = rest.iter().flat_map(|&r| [(isolated, r), (r, isolated)]).collect();
            for command in 0..6 {
                cluster.propose(rest[0], 100 * (round + 1) + command);
                cluster.propose(isolated, 100 * (round + 1) + 50 + command);
                cluster.run(1);
            }
            cluster.restart(rest[1]);
            cluster.blocked =
                vec![(rest[0], isolated), (isolated, rest[0]), (rest[0], rest[1]), (rest[1], rest[0])];
            cluster.run(3);
            cluster.blocked.clear();
            cluster.run(4);
        }
        cluster.run_with_faults(20);
        let counted =
            |log: &Log<AppliedCommands>| log.status(cluster.now()).counters.invariant_violations > 0;
        !cluster.violations.is_empty() || cluster.logs.iter().any(counted)
    });
    result.unwrap_or(true)
}

#[test]
fn injected_defects_are_detected() {
    let defects: [InjectedDefect; 2] = [
        ("a voter votes after it lost its state", |features| features.readmission = false),
        ("undecided entries are applied", |features| features.decided_only = false),
    ];
    assert!(!(0..4).any(|seed| violates(|_| {}, seed)), "a run without a defect violates nothing");
    for (defect, inject) in defects {
        let detected = (0..30).find(|&seed| violates(inject, seed));
        println!("{defect}: seed {detected:?}");
        assert!(detected.is_some(), "{defect}");
    }
}

/// A learner that is cut off holds entries that a bootstrap has to do without. Returns the violations after it is
/// connected again, when the new history has `commands` commands and gets more.
fn reconnect_with_old_history(inject: fn(&mut Features), commands: u16) -> Vec<String> {
    let mut features = Features::default();
    inject(&mut features);
    let mut cluster = Cluster::new(3, 4, 5, features);
    cluster.run(1);
    cluster.bootstrap(0).expect("a new fleet can be bootstrapped");
    cluster.run(2);
    for command in 0..10 {
        cluster.propose(6, command);
        cluster.run(1);
    }
    // Of the learners, only 6 receives the last commands. Then all voters lose their state, and 6 cannot be reached.
    cluster.blocked = (0..7).flat_map(|a| [3, 4, 5].map(|b| (a, b))).collect();
    for command in 10..20 {
        cluster.propose(6, command);
        cluster.run(1);
    }
    for voter in 0..3 {
        cluster.restart(voter);
    }
    cluster.blocked = (0..6).flat_map(|other| [(other, 6), (6, other)]).collect();
    cluster.run(3);
    cluster.bootstrap(4).expect("a bootstrap without member 6 succeeds");
    cluster.run(2);
    for command in 0..commands {
        cluster.propose(3, 30 + command);
        cluster.run(1);
    }
    assert!(cluster.logs[6].position().bootstrap_id < cluster.logs[3].position().bootstrap_id);
    cluster.blocked.clear();
    for command in 0..20 {
        cluster.propose(3, 60 + command);
        cluster.step();
        cluster.step();
    }
    cluster.run(5);
    if !cluster.replicas_are_equal() {
        cluster.violations.push("replicas differ".to_owned());
    }
    cluster.violations
}

#[test]
fn a_replica_with_an_older_history_changes_over_to_the_later_bootstrap() {
    let mut detected = false;
    for commands in 4..12 {
        assert_eq!(reconnect_with_old_history(|_| {}, commands), Vec::<String>::new());
        let unchecked = std::panic::catch_unwind(|| {
            reconnect_with_old_history(|features| features.verify_checksums = false, commands)
        });
        detected |= unchecked.is_err() || unchecked.is_ok_and(|violations| !violations.is_empty());
    }
    assert!(detected, "entries taken without a check of their checksum violate an invariant");
}
