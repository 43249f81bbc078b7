//! A model of discovery against the machines that decide when it is called and how long a list holds: whatever discovery does,
//! nothing is opened by the list once a change that it lacks counts as told.
//!
//! The judge knows the protocol's page alone: a change counts as told 6 s after discovery had it and could be reached.
#![allow(clippy::disallowed_methods)]

use cometcroft_sidecar::discovery::schedule::{Call, CallId, Failure, Schedule, Time};
use cometcroft_sidecar::freshness::Freshness;
use fastrand::Rng;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// The limit of the protocol's page, and how long a process may be held up between its look at the clock and a write.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
const HELD_UP: Duration = Duration::from_millis(150);
const ASK_WITHIN: Duration = Duration::from_secs(10);
const TIMELINES: u64 = 2_000;
const STEP: Duration = Duration::from_millis(10);

/// What discovery does with calls for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Service {
    /// Answers, this long after it made the answer.
    Answers(Duration),
    /// Has calls wait for 2 s and refuses them.
    Crowded,
    /// Nobody listens.
    Down,
    /// Says nothing.
    Silent,
    /// Cuts answers off.
    CutsOff,
}

impl Service {
    /// Whether news can be reached: a service that is up, however badly it answers.
    fn is_up(self) -> bool {
        self != Service::Down
    }

    fn draw(rng: &mut Rng) -> Service {
        match rng.u32(0..8) {
            0 => Service::Crowded,
            1 | 2 => Service::Down,
            3 => Service::Silent,
            4 => Service::CutsOff,
            _ => Service::Answers(Duration::from_millis([0, 20, 300, 1500, 3000][rng.usize(0..5)])),
        }
    }
}

/// A drawn day of discovery.
#[derive(Debug)]
struct Timeline {
    /// What it does from each of these times on.
    spans: Vec<(Time, Service)>,
    /// When it has each version, from 1 on.
    changes: Vec<Time>,
    /// When the sidecar starts, with version 0.
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
            // Just before the next span, or right after it begins.
            for _ in 0..rng.u32(0..3) {
                changes.push((at + millis(&mut rng, 2_000)).saturating_sub(1_000 * MS));
            }
        }
        changes.sort();
        let start = millis(&mut rng, 10_000);
        Timeline { spans, changes, start, end: at + 10_000 * MS }
    }

    fn service(&self, at: Time) -> Service {
        self.spans.iter().rev().find(|(from, _)| *from <= at).map_or(Service::Silent, |(_, service)| *service)
    }

    fn version(&self, at: Time) -> usize {
        self.changes.iter().filter(|change| **change <= at).count()
    }

    /// When the change of this version counts as told.
    fn told(&self, version: usize) -> Option<Time> {
        let change = self.changes[version - 1];
        let reached = std::iter::once(change).chain(self.spans.iter().map(|(from, _)| *from));
        reached
            .filter(|at| *at >= change && self.service(*at).is_up())
            .min()
            .map(|at| at + NOTIFICATION_DEADLINE)
    }
}

/// How a planted defect of one of the incidents takes what it hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// A refused connection confirms the list that is held.
    Refusal,
    /// Three calls that fail confirm it.
    Silence,
    /// The list given at the start is confirmed by it.
    Start,
    /// An answer confirms the list as of its arrival.
    Arrival,
    /// An answer that was cut off confirms it.
    CutOff,
}

/// A call in flight: what it ends with, and when.
#[derive(Debug)]
struct InFlight {
    id: CallId,
    began: Time,
    ends: Time,
    end: End,
}

#[derive(Debug, Clone, Copy)]
enum End {
    /// With this version.
    Answer(usize),
    Failure(Failure),
}

/// A sidecar's machines on a timeline.
struct Played<'a> {
    timeline: &'a Timeline,
    defect: Option<Defect>,
    schedule: Schedule,
    freshness: Freshness,
    origin: Instant,
    in_flight: Vec<InFlight>,
    held: usize,
    failures: u32,
    /// For how long the list held in all.
    opened: Duration,
}

impl Played<'_> {
    fn new(timeline: &Timeline, seed: u64, defect: Option<Defect>) -> Played<'_> {
        let (schedule, freshness) = (Schedule::new(seed), Freshness::default());
        let origin = Instant::now();
        let (in_flight, opened) = (Vec::new(), Duration::ZERO);
        Played { timeline, defect, schedule, freshness, origin, in_flight, held: 0, failures: 0, opened }
    }

    fn confirm(&self, as_of: Time) {
        self.freshness.record_confirmation(self.origin + as_of);
    }

    /// Plays the day; the first instant at which the list opened what it should not have, if any.
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
                self.opened += STEP;
                if self.is_late(now) {
                    return Some(now);
                }
            }
            now += STEP;
        }
        None
    }

    fn is_late(&self, now: Time) -> bool {
        let lacks = (self.held + 1)..=self.timeline.version(now);
        lacks.into_iter().any(|version| self.timeline.told(version).is_some_and(|told| now + HELD_UP > told))
    }

    fn call(&mut self, call: Call, now: Time) {
        if let Some(replaced) = call.replaces {
            self.in_flight.retain(|other| other.id != replaced);
        }
        let (after, end) = self.outcome(&call, now);
        self.in_flight.push(InFlight { id: call.id, began: now, ends: now + after, end });
    }

    /// How a call that begins now ends, and after what time.
    fn outcome(&self, call: &Call, now: Time) -> (Duration, End) {
        match self.timeline.service(now) {
            Service::Answers(delay) => {
                let held = (0..).map(|step| now + STEP * step);
                let made = held
                    .into_iter()
                    .find(|at| *at >= now + call.hold || self.timeline.version(*at) > self.held);
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
            Service::Crowded => (2_000 * MS, End::Failure(Failure::Rejected)),
            Service::Down => (MS, End::Failure(Failure::Unreachable)),
            Service::Silent => (call.timeout, End::Failure(Failure::TimedOut)),
            Service::CutsOff => (20 * MS, End::Failure(Failure::Invalid)),
        }
    }

    fn end_calls(&mut self, now: Time) {
        let start = self.timeline.start;
        while let Some(at) = self.in_flight.iter().position(|call| call.ends <= now) {
            let call = self.in_flight.remove(at);
            match call.end {
                End::Answer(version) if version >= self.held => {
                    self.held = version;
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

    /// What the planted defect makes of a call that failed.
    fn takes_for_confirmation(&self, failure: Failure) -> bool {
        match self.defect {
            Some(Defect::Refusal) => failure == Failure::Unreachable,
            Some(Defect::Silence) => self.failures >= 3,
            Some(Defect::CutOff) => failure == Failure::Invalid,
            _ => false,
        }
    }
}

/// How many of these timelines are broken, and for how long the list held over all.
fn broken(seeds: impl Iterator<Item = u64>, defect: Option<Defect>) -> (Vec<(u64, Time)>, Duration) {
    let (mut broken, mut opened) = (Vec::new(), Duration::ZERO);
    for seed in seeds {
        let timeline = Timeline::draw(seed);
        let mut played = Played::new(&timeline, seed, defect);
        broken.extend(played.run().map(|at| (seed, at)));
        opened += played.opened;
    }
    (broken, opened)
}

fn timelines() -> u64 {
    let named = std::env::var("OUTAGE_MODEL_TIMELINES").ok();
    named.map_or(TIMELINES, |text| text.parse().expect("OUTAGE_MODEL_TIMELINES is a number"))
}

/// Guards against every way in which an absence of answers could be taken for a confirmation.
#[test]
fn the_list_opens_nothing_once_a_change_that_it_lacks_counts_as_told() {
    let (broken, opened) = broken(1..=timelines(), None);
    assert_eq!(broken, [], "seeds and times");
    let each = opened / u32::try_from(timelines()).expect("a small number");
    assert!(each > 5_000 * MS, "the list holds for {each:?} in the mean, so the model tests something");
}

#[test]
fn the_model_finds_each_planted_defect() {
    let planted = [Defect::Refusal, Defect::Silence, Defect::Start, Defect::Arrival, Defect::CutOff];
    for defect in planted {
        let (broken, _) = broken(1..=500, Some(defect));
        println!("{defect:?}: {} of 500", broken.len());
        assert!(!broken.is_empty(), "{defect:?}");
    }
}
