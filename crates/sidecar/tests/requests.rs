//! The session table against a model: random steps, and what the rules say holds after each.
mod common;

use cometcroft::*;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::requests::{
    AttemptResult, Command, FinalResponse, NewRequest, RequestNumber, RequestTable,
};
use proptest::prelude::*;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Debug, Clone)]
enum Do {
    Open { class: usize, left: u64 },
    End { which: usize, outcome: usize },
    Withdraw(usize),
    Overdue(usize),
    Timer(usize),
    Drain(u32),
}

fn step() -> impl Strategy<Value = (Do, u64)> {
    let step = prop_oneof![
        4 => (0..3usize, 0..3000u64).prop_map(|(class, left)| Do::Open { class, left }),
        6 => (any::<usize>(), 0..6usize).prop_map(|(which, outcome)| Do::End { which, outcome }),
        1 => any::<usize>().prop_map(Do::Withdraw),
        1 => any::<usize>().prop_map(Do::Overdue),
        2 => any::<usize>().prop_map(Do::Timer),
        1 => (0..4u32).prop_map(Do::Drain),
    ];
    (step, 0..400u64)
}

const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
];

/// What is known of a session from outside.
#[derive(Default)]
struct Model {
    class: usize,
    out: Option<u32>,
    dispatched: u32,
    may_have_run: bool,
    /// When its first dispatch began.
    began: Duration,
    /// Answers it got; a client that left counts as answered.
    over: u32,
    left: bool,
}

const WINDOW: Duration = Duration::from_secs(4);

fn settings() -> Settings {
    let mut settings = Settings::example();
    let class = settings.classes[0].clone();
    let keyed = Effect::Keyed { scope: DedupScope::All, window: WINDOW };
    settings.classes =
        [Effect::Safe, Effect::Unsafe, keyed].map(|e| RequestClass { effect: e, ..class.clone() }).into();
    settings.limits.hedging = false;
    settings.limits.max_attempts = 3;
    settings
}

fn list(drained: Option<u32>) -> Event {
    let entries = (0..4).map(|id| EndpointEntry {
        endpoint: EndpointId(id),
        state: if drained == Some(id) { EndpointState::Draining } else { EndpointState::Ready },
        weight: 1.0,
        ..EndpointEntry::default()
    });
    Event::EndpointList { scope: ListScope::Complete, entries: entries.collect() }
}

fn check(
    commands: Vec<Command<u8, u8>>,
    models: &mut HashMap<RequestNumber, Model>,
    timers: &mut Vec<Timer>,
    drained: Option<u32>,
    now: Duration,
) -> Result<(), TestCaseError> {
    for command in commands {
        match command {
            Command::StartAttempt { request, attempt, endpoint, payload, write_by: latest, .. } => {
                let model = models.entry(request).or_default();
                prop_assert_eq!(model.over, 0, "nothing is dispatched for what is over");
                prop_assert_eq!(model.out, None, "never two at once");
                prop_assert_eq!(attempt, model.dispatched);
                prop_assert!(attempt < 3 && Some(endpoint.0) != drained);
                prop_assert!(payload != 1 || !model.may_have_run, "an unsafe class never runs twice");
                let bound = payload == 2 && model.may_have_run;
                prop_assert_eq!(latest.is_some(), bound, "a repeat is bound to its window, and nothing else");
                prop_assert!(latest.is_none_or(|at| at < model.began + WINDOW));
                if !model.may_have_run {
                    model.began = now;
                }
                (model.out, model.dispatched) = (Some(attempt), attempt + 1);
            }
            Command::CancelAttempt(request) => {
                let model = models.entry(request).or_default();
                prop_assert!(model.out.take().is_some());
                model.may_have_run = true;
            }
            Command::Respond(request, verdict) => {
                let model = models.entry(request).or_default();
                model.over += 1;
                prop_assert_eq!(model.over, 1, "one final answer");
                let denied = matches!(verdict, FinalResponse::Rejected { .. });
                prop_assert!(!denied || model.class != 1 || !model.may_have_run, "a denial is harmless");
            }
            Command::Remove(request) => {
                let model = models.entry(request).or_default();
                prop_assert!(model.over == 1 && model.out.is_none());
            }
            Command::SetTimer(_, timer) => timers.push(timer),
            _ => {}
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(common::proptest_config(150))]

    #[test]
    fn every_session_gets_one_answer_and_the_rules_hold(steps in prop::collection::vec(step(), 1..120)) {
        let counters = Rc::new(Counters::default());
        let mut table: RequestTable<u8, u8> = RequestTable::new(settings(), 7, counters.clone()).expect("settings");
        let (mut models, mut timers): (HashMap<RequestNumber, Model>, _) = (HashMap::new(), Vec::new());
        let (mut now, mut drained) = (Duration::from_secs(3600), None);
        check(table.handle_event(now, Event::Start), &mut models, &mut timers, drained, now)?;
        check(table.handle_event(now, list(None)), &mut models, &mut timers, drained, now)?;
        for (step, wait) in steps {
            now += Duration::from_millis(wait);
            let mut open: Vec<RequestNumber> =
                models.iter().filter(|(_, m)| m.over == 0).map(|(&id, _)| id).collect();
            open.sort_unstable();
            let commands = match step {
                Do::Open { class, left } => {
                    let (left, id) = (Duration::from_millis(left), models.len() as u64);
                    models.insert(id, Model { class, ..Model::default() });
                    let payload = class as u8;
                    let opening =
                        NewRequest { class: ClassId(class), tenant: None, time_left: left, client_retry: false, payload };
                    let (given, commands) = table.add_request(now, opening);
                    prop_assert_eq!(given, id);
                    commands
                }
                Do::End { which, outcome } => {
                    let Some(&id) = open.get(which % open.len().max(1)) else { continue };
                    let Some(model) = models.get_mut(&id) else { continue };
                    let Some(attempt) = model.out.take() else { continue };
                    let outcome = OUTCOMES[outcome];
                    model.may_have_run |= !outcome.never_ran();
                    table.attempt_ended(now, id, attempt, AttemptResult { outcome, report: None, response: Some(1) })
                }
                Do::Withdraw(which) => {
                    let Some(&id) = open.get(which % open.len().max(1)) else { continue };
                    models.entry(id).and_modify(|m| (m.over, m.left) = (1, true));
                    table.client_disconnected(now, id)
                }
                Do::Overdue(which) => {
                    let Some(&id) = open.get(which % open.len().max(1)) else { continue };
                    table.deadline_passed(now, id)
                }
                Do::Timer(which) if timers.is_empty() || which == 0 => continue,
                Do::Timer(which) => {
                    let timer = timers.swap_remove(which % timers.len());
                    table.handle_event(now, Event::Timer(timer))
                }
                Do::Drain(which) => {
                    drained = Some(which);
                    table.handle_event(now, list(drained))
                }
            };
            check(commands, &mut models, &mut timers, drained, now)?;
            let owed = models.values().filter(|m| m.over == 0).count();
            prop_assert_eq!(table.unanswered_count(), owed);
            // Whoever is owed an answer has a dispatch out: the module holds nothing back.
            prop_assert!(models.values().all(|m| m.over > 0 || m.out.is_some()));
        }
        prop_assert_eq!(counters.invariants_broken.get(), 0);
    }
}
