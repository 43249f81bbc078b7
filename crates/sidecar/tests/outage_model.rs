//! Runs the schedule of calls and the validity of the list against a model of discovery. Whatever discovery does, the list
//! must not be valid any more once a change that it lacks counts as delivered.
//!
//! The checker uses only the rule of the protocol: a change counts as delivered 6 s after discovery had it and could be
//! reached.
#![allow(clippy::disallowed_methods)]

use cometcroft_sidecar::discovery::schedule::{Call, CallId, Failure, Schedule, Time};
use cometcroft_sidecar::freshness::Freshness;
use fastrand::Rng;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// The limit of the protocol.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// How long a process may be delayed between reading the clock and a write.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
const ASK_WITHIN: Duration = Duration::from_secs(10);
const TIMELINES: u64 = 2_000;
const STEP: Duration = Duration::from_millis(10);

/// How discovery treats calls during a part of the timeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Service {
    /// Answers; the response arrives this long after it was written.
    Answers(Duration),
    /// Lets calls wait for 2 s and rejects them.
    Overloaded,
    /// Connections are refused.
    Down,
    /// Does not respond.
    Unresponsive,
    /// Truncates responses.
    CutsOff,
}

impl Service {
    /// Whether the service counts as reachable, however badly it answers.
    fn is_up(self) -> bool {
        self != Service::Down
    }

    fn draw(rng: &mut Rng) -> Service {
        match rng.u32(0..8) {
            0 => Service::Overloaded,
            1 | 2 => Service::Down,
            3 => Service::Unresponsive,
            4 => Service::CutsOff,
            _ => Service::Answers(Duration::from_millis([0, 20, 300, 1500, 3000][rng.usize(0..5)])),
        }
    }
}

/// A random history of discovery.
#[derive(Debug)]
struct Timeline {
    /// How it treats calls from each of these times on.
    spans: Vec<(Time, Service)>,
    /// When each version, from 1 on, is available.
    changes: Vec<Time>,
    /// When the sidecar starts with version 0.
    start: Time,
    end: Time,
}

impl Timeline {
    fn draw(seed: u64) -> Timeline {
        let mut rng = Rng::with_seed(seed);
        let millis = |rng: &mut Rng, most| Duration::from_millis(rng.u64(0..most));
        let mut at = Time::ZERO;
        let (mut spans, mut changes) = (Vec::new(), Vec::new());
        for _ in 0..rng.usize(3..9) {
            spans.push((at, Service::draw(&mut rng)));
            at += millis(&mut rng, 12_000);
            // Changes come just before the next span or right after its start.
            for _ in 0..rng.u32(0..3) {
                changes.push((at + millis(&mut rng, 2_000)).saturating_sub(1_000 * MS));
            }
        }
        changes.sort();
        let start = millis(&mut rng, 10_000);
        Timeline { spans, changes, start, end: at + 10_000 * MS }
    }

    fn service(&self, at: Time) -> Service {
        self.spans
            .iter()
            .rev()
            .find(|(from, _)| *from <= at)
            .map_or(Service::Unresponsive, |(_, service)| *service)
    }

    fn version(&self, at: Time) -> usize {
        self.changes.iter().filter(|change| **change <= at).count()
    }

    /// When the change to this version counts as delivered.
    fn delivered(&self, version: usize) -> Option<Time> {
        let change = self.changes[version - 1];
        let reached = std::iter::once(change).chain(self.spans.iter().map(|(from, _)| *from));
        reached
            .filter(|at| *at >= change && self.service(*at).is_up())
            .min()
            .map(|at| at + NOTIFICATION_DEADLINE)
    }
}

/// An injected defect, each modelled on an incident.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// A refused connection confirms the current list.
    Refusal,
    /// Three failed calls in a row confirm it.
    Silence,
    /// The start confirms the list that the process is started with.
    Start,
    /// A response confirms the list as of its arrival, not as of the call.
    Arrival,
    /// A truncated response confirms it.
    CutOff,
}

/// A call in flight, with its result.
#[derive(Debug)]
struct InFlight {
    id: CallId,
    began: Time,
    ends: Time,
    end: End,
}

#[derive(Debug, Clone, Copy)]
enum End {
    /// The response contains this version.
    Answer(usize),
    Failure(Failure),
}

/// A sidecar's schedule and freshness on a timeline.
struct Simulation<'a> {
    timeline: &'a Timeline,
    defect: Option<Defect>,
    schedule: Schedule,
    freshness: Freshness,
    origin: Instant,
    in_flight: Vec<InFlight>,
    version: usize,
    failures: u32,
    /// How long the list was valid in all.
    valid_time: Duration,
}

impl Simulation<'_> {
    fn new(timeline: &Timeline, seed: u64, defect: Option<Defect>) -> Simulation<'_> {
        let (schedule, freshness) = (Schedule::new(seed), Freshness::default());
        let origin = Instant::now();
        let (in_flight, valid_time) = (Vec::new(), Duration::ZERO);
        Simulation {
            timeline,
            defect,
            schedule,
            freshness,
            origin,
            in_flight,
            version: 0,
            failures: 0,
            valid_time,
        }
    }

    fn confirm(&self, as_of: Time) {
        self.freshness.record_confirmation(self.origin + as_of);
    }

    /// Runs the timeline, and returns the first instant at which the list was valid although it must not have been, if any.
    fn run(&mut self) -> Option<Time> {
        self.schedule.configure(false, ASK_WITHIN);
        let start = self.timeline.start;
        if self.defect == Some(Defect::Start) {
            self.confirm(start);
        }
        let mut now = start;
        while now < self.timeline.end {
            self.end_calls(now);
            // The schedule's clock starts with the process.
            while let Some(call) = self.schedule.poll(now - start, false) {
                self.call(call, now);
            }
            if self.freshness.list_evidence(self.origin + now).is_ok() {
                self.valid_time += STEP;
                if self.is_late(now) {
                    return Some(now);
                }
            }
            now += STEP;
        }
        None
    }

    fn is_late(&self, now: Time) -> bool {
        let lacks = (self.version + 1)..=self.timeline.version(now);
        lacks.into_iter().any(|version| {
            self.timeline.delivered(version).is_some_and(|delivered| now + MAX_WRITE_DELAY > delivered)
        })
    }

    fn call(&mut self, call: Call, now: Time) {
        if let Some(replaced) = call.replaces {
            self.in_flight.retain(|other| other.id != replaced);
        }
        let (after, end) = self.outcome(&call, now);
        self.in_flight.push(InFlight { id: call.id, began: now, ends: now + after, end });
    }

    /// After what time a call that begins now ends, and how.
    fn outcome(&self, call: &Call, now: Time) -> (Duration, End) {
        match self.timeline.service(now) {
            Service::Answers(delay) => {
                let times = (0..).map(|step| now + STEP * step);
                let made = times
                    .into_iter()
                    .find(|at| *at >= now + call.hold || self.timeline.version(*at) > self.version);
                let made = made.unwrap_or(now);
                if (0..)
                    .map(|step| now + STEP * step)
                    .take_while(|at| *at < made)
                    .any(|at| !matches!(self.timeline.service(at), Service::Answers(_)))
                {
                    return (made - now, End::Failure(Failure::Unreachable));
                }
                let takes = made + delay - now;
                if takes > call.timeout {
                    return (call.timeout, End::Failure(Failure::TimedOut));
                }
                (takes, End::Answer(self.timeline.version(made)))
            }
            Service::Overloaded => (2_000 * MS, End::Failure(Failure::Rejected)),
            Service::Down => (MS, End::Failure(Failure::Unreachable)),
            Service::Unresponsive => (call.timeout, End::Failure(Failure::TimedOut)),
            Service::CutsOff => (20 * MS, End::Failure(Failure::Invalid)),
        }
    }

    fn end_calls(&mut self, now: Time) {
        let start = self.timeline.start;
        while let Some(at) = self.in_flight.iter().position(|call| call.ends <= now) {
            let call = self.in_flight.remove(at);
            match call.end {
                End::Answer(version) if version >= self.version => {
                    self.version = version;
                    self.failures = 0;
                    let arrival = self.defect == Some(Defect::Arrival);
                    self.confirm(if arrival { now } else { call.began });
                    self.schedule.answered(call.id, now - start);
                }
                End::Answer(_) => self.schedule.failed(call.id, Failure::Older, now - start),
                End::Failure(failure) => {
                    self.failures += 1;
                    if self.takes_for_confirmation(failure) {
                        self.confirm(now);
                    }
                    self.schedule.failed(call.id, failure, now - start);
                }
            }
            self.freshness.record_call_end();
        }
    }

    /// Whether the injected defect takes this failure for a confirmation.
    fn takes_for_confirmation(&self, failure: Failure) -> bool {
        match self.defect {
            Some(Defect::Refusal) => failure == Failure::Unreachable,
            Some(Defect::Silence) => self.failures >= 3,
            Some(Defect::CutOff) => failure == Failure::Invalid,
            _ => false,
        }
    }
}

/// The timelines in which the rule is violated, with the first time of it, and how long the list was valid over all
/// timelines.
fn violations(seeds: impl Iterator<Item = u64>, defect: Option<Defect>) -> (Vec<(u64, Time)>, Duration) {
    let (mut violations, mut valid_time) = (Vec::new(), Duration::ZERO);
    for seed in seeds {
        let timeline = Timeline::draw(seed);
        let mut simulation = Simulation::new(&timeline, seed, defect);
        violations.extend(simulation.run().map(|at| (seed, at)));
        valid_time += simulation.valid_time;
    }
    (violations, valid_time)
}

fn timelines() -> u64 {
    let named = std::env::var("OUTAGE_MODEL_TIMELINES").ok();
    named.map_or(TIMELINES, |text| text.parse().expect("OUTAGE_MODEL_TIMELINES is a number"))
}

/// Guards against taking any kind of failed call for a confirmation.
#[test]
fn the_list_is_not_valid_once_a_change_that_it_lacks_counts_as_delivered() {
    let (violations, valid_time) = violations(1..=timelines(), None);
    assert_eq!(violations, [], "seeds and times of violations");
    let each = valid_time / u32::try_from(timelines()).expect("a small number");
    assert!(
        each > 5_000 * MS,
        "the list was valid for a mean of {each:?}; the model tests little if it hardly ever is"
    );
}

#[test]
fn the_model_finds_each_injected_defect() {
    let defects = [Defect::Refusal, Defect::Silence, Defect::Start, Defect::Arrival, Defect::CutOff];
    for defect in defects {
        let (violations, _) = violations(1..=500, Some(defect));
        println!("{defect:?}: {} of 500", violations.len());
        assert!(!violations.is_empty(), "{defect:?}");
    }
}
