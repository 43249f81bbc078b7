//! Model checking of the plan and the leader's controller, with the code that ships: commands of operators, commands of
//! leaders that reach the log late or twice, halts, and sidecars that are cut off, in every order up to a depth.

use cometcroft_consensus::StateMachine;
use cometcroft_plan::{
    Checks, Command, CommandEntry, CommandId, CommandOutcome, Controller, MemberState, PermitState,
    PermitTarget, Plan, ReleasePhase, SidecarStatus,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::time::Duration;

/// Number of sidecars. All are in one zone, where one may be out of service.
const SIDECARS: usize = 2;
/// Maximum number of leaders' commands that are proposed and not yet in the log.
const MAX_IN_FLIGHT: usize = 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FleetState {
    plan: Vec<u8>,
    index: u64,
    /// Index of the entry up to which each sidecar has confirmed the plan.
    confirmed: [u64; SIDECARS],
    unreachable: [bool; SIDECARS],
    in_flight: Vec<EncodedEntry>,
    halted: bool,
    violation: Option<&'static str>,
}

/// A proposed command in the encoding of the log.
type EncodedEntry = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    /// An operator's command enters the log.
    Operator(Command),
    /// A leader proposes the command that its controller derives from the present state.
    Leader,
    /// A leader's command enters the log. With `true`, it stays in flight and can enter the log again.
    Deliver(usize, bool),
    /// A sidecar confirms everything in the log.
    Confirm(usize),
    /// A sidecar is cut off and no longer confirms anything.
    Disconnect(usize),
}

#[derive(Clone)]
struct FleetModel {
    checks: Checks,
    /// Whether operators request permits; otherwise they start releases and roll back.
    permits: bool,
}

impl FleetState {
    fn plan(&self, checks: Checks) -> Plan {
        Plan::restore(&self.plan).unwrap_or_else(Plan::fresh).with_checks(checks)
    }

    fn fleet(&self) -> Vec<SidecarStatus> {
        (0..SIDECARS)
            .map(|i| SidecarStatus {
                name: format!("m{i}"),
                generation: 1,
                zone: "a".into(),
                tier: 0,
                state: if self.unreachable[i] { MemberState::Unreachable } else { MemberState::Alive },
                confirmed_index: self.confirmed[i],
                ready: true,
            })
            .collect()
    }

    /// Applies an entry of the log and records a violated invariant.
    fn apply(&mut self, entry: &CommandEntry, checks: Checks) {
        let before = self.plan(checks);
        let mut plan = before.clone();
        self.index += 1;
        plan.apply(self.index, &entry.encode());
        self.plan = plan.snapshot();
        let first_time = before.outcome(entry.id).is_none();
        if !first_time || !matches!(plan.outcome(entry.id), Some(CommandOutcome::Applied { .. })) {
            if before.snapshot() != self.plan && !first_time {
                // Only the index of the last entry may differ.
                self.violation =
                    (before.permits() != plan.permits()).then_some("a command was applied twice");
            }
            return;
        }
        if entry.expected_revision.is_some_and(|expected| expected != before.current()) {
            self.violation = Some("a command was applied although it expected another revision");
        }
        match &entry.command {
            Command::Halt => self.halted = true,
            Command::Resume => self.halted = false,
            Command::AdvanceWave { .. } if self.halted => {
                self.violation = Some("a wave started while halted")
            }
            Command::GrantPermit { permit, missing, .. } => {
                if self.halted {
                    self.violation = Some("a permit was granted while halted");
                }
                if before.permits()[permit].state != PermitState::Waiting {
                    self.violation = Some("a permit was granted twice");
                }
                let granted = &plan.permits()[permit];
                let out = plan.permits().values().filter(|permit| {
                    permit.target.is_endpoint() == granted.target.is_endpoint()
                        && permit.state != PermitState::Waiting
                        && *permit != granted
                });
                let mut out: Vec<&str> = out.map(|permit| permit.target.name()).collect();
                if !granted.target.is_endpoint() {
                    out.extend(
                        missing.iter().map(String::as_str).filter(|name| *name != granted.target.name()),
                    );
                }
                if !out.is_empty() {
                    self.violation = Some("too many are out of service");
                }
            }
            Command::MarkClear { permit } => {
                let granted_index = plan.permits()[permit].granted_index().unwrap_or(0);
                if self.confirmed.iter().any(|confirmed| *confirmed < granted_index) {
                    self.violation = Some("a permit is clear although a sidecar may still send");
                }
            }
            _ => {}
        }
        if plan
            .release()
            .is_some_and(|release| release.phase == ReleasePhase::RollingBack && release.wave == 0)
        {
            self.violation = Some("a rollback reached wave 0 and did not end");
        }
    }
}

impl Model for FleetModel {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let mut plan = Plan::fresh();
        let mut index = 0;
        if self.permits {
            // The permit of an endpoint has just been granted.
            let target = PermitTarget::Endpoint("t".into());
            let request =
                Command::RequestPermit { target, zone: "a".to_owned(), tier: 0, overdue_after_s: 1 };
            for command in [request, Command::GrantPermit { permit: 1, missing: Vec::new(), total: 0 }] {
                index += 1;
                plan.apply(index, &entry(index, None, command).encode());
            }
        }
        vec![FleetState {
            plan: plan.snapshot(),
            index,
            confirmed: [0; SIDECARS],
            unreachable: [false; SIDECARS],
            in_flight: Vec::new(),
            halted: false,
            violation: None,
        }]
    }

    fn actions(&self, state: &FleetState, actions: &mut Vec<Action>) {
        let (plan, zone) = (state.plan(self.checks), || "a".to_owned());
        let text = "version = 1\nattempts = 2\n".to_owned();
        let sidecar = |i: usize| PermitTarget::Sidecar { name: format!("m{i}"), generation: 1 };
        let request = |target| Command::RequestPermit { target, zone: zone(), tier: 0, overdue_after_s: 1 };
        let commands = if self.permits {
            vec![
                request(sidecar(0)),
                request(sidecar(1)),
                request(PermitTarget::Endpoint("s".into())),
                Command::Halt,
                Command::Resume,
            ]
        } else {
            let release = Command::Release { text, waves: vec![500, 1000] };
            vec![
                release,
                Command::RollBackRelease,
                Command::RollBackTo { revision: 0 },
                Command::Halt,
                Command::Resume,
            ]
        };
        actions.extend(commands.into_iter().map(Action::Operator));
        if let Some(permit) = plan.permits().keys().next() {
            actions.push(Action::Operator(Command::ReturnPermit { permit: *permit }));
        }
        if state.in_flight.len() < MAX_IN_FLIGHT {
            actions.push(Action::Leader);
        }
        for i in 0..state.in_flight.len() {
            actions.extend([Action::Deliver(i, false), Action::Deliver(i, true)]);
        }
        for i in 0..SIDECARS {
            if !state.unreachable[i] && state.confirmed[i] < state.index {
                actions.push(Action::Confirm(i));
            }
            if !state.unreachable[i] {
                actions.push(Action::Disconnect(i));
            }
        }
    }

    fn next_state(&self, last: &FleetState, action: Action) -> Option<FleetState> {
        let mut state = last.clone();
        match action {
            Action::Operator(command) => {
                // Every second command of an operator expects the revision in force.
                let expected_revision =
                    state.index.is_multiple_of(2).then(|| last.plan(self.checks).current());
                let entry = entry(1000 + state.index, expected_revision, command);
                state.apply(&entry, self.checks);
            }
            Action::Leader => {
                let plan = state.plan(self.checks);
                let now = Duration::from_secs(1);
                let command =
                    Controller::with_checks(self.checks).next_command(&plan, now, &state.fleet())?;
                let entry = CommandEntry {
                    id: Controller::command_id(&command, state.index),
                    ..entry(0, None, command)
                };
                let bytes = entry.encode();
                if state.in_flight.contains(&bytes) {
                    return None;
                }
                state.in_flight.push(bytes);
            }
            Action::Deliver(i, stays_in_flight) => {
                let entry = CommandEntry::decode(&state.in_flight[i])?;
                if !stays_in_flight {
                    state.in_flight.remove(i);
                }
                state.apply(&entry, self.checks);
            }
            Action::Confirm(i) => state.confirmed[i] = state.index,
            Action::Disconnect(i) => state.unreachable[i] = true,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<FleetModel>> {
        vec![Property::always("no invariant is violated", |_, state: &FleetState| state.violation.is_none())]
    }
}

fn entry(id: u64, expected_revision: Option<u32>, command: Command) -> CommandEntry {
    CommandEntry {
        id: CommandId(id),
        proposed_by: "m0".into(),
        reason: String::new(),
        unix_ms: 0,
        expected_revision,
        command,
    }
}

/// Returns the violation that was found, the number of states and the depth.
fn explore(
    checks: Checks,
    permits: bool,
    depth: usize,
    states: usize,
) -> (Option<&'static str>, usize, usize) {
    let checker = FleetModel { checks, permits }
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .target_state_count(states)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = checker.discovery("no invariant is violated").and_then(|path| path.last_state().violation);
    (found, checker.unique_state_count(), checker.max_depth())
}

#[test]
fn no_order_of_commands_violates_an_invariant_and_injected_defects_are_found() {
    // If set: the number of states to explore, in thousands, with a greater depth.
    let kilostates = std::env::var("PLAN_MODEL_KSTATES").ok().and_then(|n| n.parse::<usize>().ok());
    for permits in [true, false] {
        let (depth, max_states) =
            (if kilostates.is_some() { 12 } else { 7 }, kilostates.unwrap_or(600) * 1000);
        let (found, states, depth) = explore(Checks::default(), permits, depth, max_states);
        println!("no defect, permits {permits}: {states} states, depth {depth}");
        assert_eq!(found, None);
    }
    for (defect, permits, checks) in [
        ("a permit can be granted twice", true, Checks { single_grant: false, ..Checks::default() }),
        ("missing sidecars are not counted", true, Checks { count_missing: false, ..Checks::default() }),
        (
            "clear does not wait for unreachable sidecars",
            true,
            Checks { wait_for_unreachable: false, ..Checks::default() },
        ),
        ("a halt does not stop grants", true, Checks { halt: false, ..Checks::default() }),
        ("a halt does not stop waves", false, Checks { halt: false, ..Checks::default() }),
    ] {
        let (found, states, depth) = explore(checks, permits, 8, 3_000_000);
        println!("{defect}: {found:?} in {states} states, depth {depth}");
        assert!(found.is_some(), "not found: {defect}");
    }
}
