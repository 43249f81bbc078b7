//! What a whole fleet sends to servers that have just started, whoever was told of them when.
mod common;

use cometcroft::*;
use common::*;
use std::time::Duration;

/// Warm and cold rows of the fleets of few rows.
const ROWS: [u32; 2] = [5, 3];
/// Calls a second of the whole fleet; just what the rows take when they are warm.
const RATES: [f64; 3] = [10.0, 30.0, 80.0];
/// How long each process calls before rows start, to learn what a warm row takes.
const LEARNS: Duration = Duration::from_secs(12);
/// The host's turns, in which all that has come due happens.
const TURN: Duration = Duration::from_millis(5);

/// How the load comes after the start.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Load {
    Even,
    /// Little for 3 s, in which places could be saved up, then three times as much for 1 s, all in one instant each 100 ms.
    Burst,
    /// Three times as much from the first instant on, for this long, in instants as above.
    BurstAtStart(Duration),
    /// The warm rows turn everything away.
    Full,
}

impl Load {
    /// The multiple of the usual load at this age of the cold rows, and whether it comes in instants.
    fn at(self, since: Duration) -> (f64, bool) {
        let since = since.as_secs_f64();
        match self {
            Load::Burst if since < 3.0 => (0.2, false),
            Load::Burst if since < 4.0 => (3.0, true),
            Load::BurstAtStart(time) if since < time.as_secs_f64() => (3.0, true),
            _ => (1.0, false),
        }
    }
}

/// A fleet, its rows and its load.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    instances: u32,
    warm: u32,
    /// Rows that start, one after the other.
    cold: u32,
    /// The time between two starts; they all start at once where it is zero.
    apart: Duration,
    /// The processes start along with the rows and have learned nothing.
    fresh: bool,
    /// Calls a second of the whole fleet; just what the rows take when they are warm.
    total: f64,
    load: Load,
    /// Each process is told of a start at some time within this after it; all at once where it is zero.
    told_within: Duration,
}

/// What came of it.
#[derive(Debug, Default)]
struct Came {
    /// Most calls to a cold row in a window of the rule's length, over what the rule takes for chance.
    most: f64,
    /// The share of what cold rows may get that they got, over the ramp.
    share: f64,
    /// Processes that sent them nothing.
    starved: usize,
}

/// A process of the fleet and what it is due to do.
struct Process {
    drive: Drive,
    /// How long after a start it is told of it.
    told_after: Duration,
    /// Of how many cold rows it knows that they have started.
    knows: u32,
    next_call: Duration,
    calls_to_cold: usize,
}

/// What N calls may become by chance, in the stricter of the two forms of the rule: the other, N + 3 x root of N + 3 where N is
/// under 30, lies above it for each N.
fn bound(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl Fleet {
    /// Few rows and an even load; what most of the fleets below share.
    const EVEN: Fleet = Fleet {
        instances: 30,
        warm: ROWS[0],
        cold: ROWS[1],
        apart: Duration::ZERO,
        fresh: false,
        total: RATES[1],
        load: Load::Even,
        told_within: ms(1500),
    };

    fn rows(&self) -> u32 {
        self.warm + self.cold
    }

    fn per_process(&self) -> f64 {
        self.total / f64::from(self.instances)
    }

    fn settings(&self) -> Settings {
        Settings { instances: self.instances, ..Settings::example() }
    }

    /// Processes that have learned of the warm rows, and the time by which all have.
    fn learned(&self, rng: &mut fastrand::Rng) -> (Vec<Drive>, Duration) {
        let mut drives: Vec<Drive> = (0..self.instances)
            .map(|rank| {
                let settings = Settings { rank, ..self.settings() };
                Drive::seeded(settings, (0..self.rows()).map(member).collect(), rng.u64(..))
            })
            .collect();
        let each = self.per_process();
        for drive in drives.iter_mut().filter(|_| !self.fresh) {
            for _ in 0..(LEARNS.as_secs_f64() * each).ceil() as usize {
                drive.call(0, |_| (Outcome::Ok, ms(30), load(2.0)));
                drive.pass(secs(1.0 / each));
            }
        }
        let began = drives.iter().map(|drive| drive.now).max().unwrap_or_default();
        (drives, began)
    }

    /// The times of the calls that reached each cold row, counted from its start, over the ramp.
    fn play(&self, seed: u64) -> (Vec<Vec<Duration>>, usize) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (drives, began) = self.learned(&mut rng);
        let each = self.per_process();
        let mut processes: Vec<Process> = drives
            .into_iter()
            .map(|drive| Process {
                drive,
                told_after: self.told_within.mul_f64(rng.f64()),
                knows: 0,
                next_call: began + secs(rng.f64() / each),
                calls_to_cold: 0,
            })
            .collect();
        let mut reached = vec![Vec::new(); self.cold as usize];
        let end = began + self.apart * self.cold.saturating_sub(1) + self.settings().rules.ramp;
        let mut now = began;
        while now < end {
            now += TURN;
            for process in &mut processes {
                self.turn(process, began, now, &mut rng, &mut reached);
            }
        }
        let starved = processes.iter().filter(|process| process.calls_to_cold == 0).count();
        (reached, starved)
    }

    fn turn(
        &self,
        process: &mut Process,
        began: Duration,
        now: Duration,
        rng: &mut fastrand::Rng,
        reached: &mut [Vec<Duration>],
    ) {
        let drive = &mut process.drive;
        drive.pass(now.saturating_sub(drive.now));
        let knows =
            (0..self.cold).take_while(|row| began + self.apart * *row + process.told_after <= now).count();
        if knows as u32 > process.knows {
            process.knows = knows as u32;
            drive.tell(self.list(began, process.knows));
        }
        while process.next_call <= now {
            let (multiple, instants) = self.load.at(now - began);
            let rate = self.per_process() * multiple;
            let mut calls = 1;
            if instants {
                let due = rate / 10.0;
                calls = due as usize + usize::from(rng.f64() < due.fract());
                process.next_call += ms(100);
            } else {
                process.next_call += secs(-(1.0 - rng.f64()).ln() / rate);
            }
            for _ in 0..calls {
                for to in called(drive, |to| self.answer(to)) {
                    if (self.warm..self.warm + process.knows).contains(&to.0) {
                        let row = to.0 - self.warm;
                        reached[row as usize].push(now - began - self.apart * row);
                        process.calls_to_cold += 1;
                    }
                }
            }
        }
    }

    /// The list when so many of the cold rows have started.
    fn list(&self, began: Duration, starts: u32) -> Event {
        let started = |id: u32| {
            let row = id.checked_sub(self.warm).filter(|row| *row < starts)?;
            Some(began + self.apart * row)
        };
        let entries =
            (0..self.rows()).map(|id| EndpointEntry { started: started(id), ..member(id) }).collect();
        Event::EndpointList { scope: ListScope::Complete, entries }
    }

    fn answer(&self, to: EndpointId) -> (Outcome, Duration, Option<LoadReport>) {
        match self.load {
            Load::Full if to.0 < self.warm => (Outcome::Rejected, ms(2), load(9.0)),
            _ => (Outcome::Ok, ms(30), load(if to.0 < self.warm { 6.0 } else { 0.0 })),
        }
    }

    /// Plays the fleet and holds each cold row's windows against [`bound`].
    fn came(&self, seed: u64) -> Came {
        let rules = self.settings().rules;
        let (reached, starved) = self.play(seed);
        let (window, mut most, mut got) = (rules.overload_after, 0.0f64, 0);
        let per_row = self.total / f64::from(self.rows());
        for times in &reached {
            let times: Vec<Duration> = times.iter().copied().filter(|at| *at < rules.ramp).collect();
            got += times.len();
            for (first, from) in times.iter().enumerate() {
                let count = times[first..].iter().take_while(|at| **at < *from + window).count() as f64;
                let age = from.as_secs_f64() / rules.ramp.as_secs_f64();
                let warmth = rules.cold_capacity + (1.0 - rules.cold_capacity) * age.min(1.0);
                let n = rules.overload_factor * per_row * warmth * window.as_secs_f64();
                most = most.max(count / bound(n));
            }
        }
        // What a warm row takes, times the mean warmth over the ramp.
        let due =
            f64::from(self.cold) * per_row * rules.ramp.as_secs_f64() * (1.0 + rules.cold_capacity) / 2.0;
        Came { most, share: got as f64 / due, starved }
    }
}

/// One call, and where its attempts went.
fn called(
    d: &mut Drive,
    answer: impl Fn(EndpointId) -> (Outcome, Duration, Option<LoadReport>),
) -> Vec<EndpointId> {
    let (id, mut actions) = d.ask(0, ms(2000));
    let mut went = Vec::new();
    while let Some(to) = sent(&actions) {
        let (outcome, latency, report) = answer(to);
        actions = d.end_with(id, went.len() as u32, to, outcome, latency, report);
        went.push(to);
    }
    went
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// N calls are what the settings allow a cold row in a window, and 2 x root of N and 2 more are put down to chance. However
/// many share the load, however it comes and whenever each was told, the sum stays below, and cold rows are not left out.
#[test]
fn a_fleet_of_any_size_sends_a_cold_row_no_more_than_its_budget_and_chance() {
    for load in [Load::Even, Load::Burst, Load::Full] {
        for (instances, total) in [1, 5, 30].into_iter().flat_map(|n| RATES.map(|rate| (n, rate))) {
            let [warm, cold] = ROWS;
            let fleet = Fleet { instances, warm, cold, total, load, ..Fleet::EVEN };
            let came: Vec<Came> = (0..10).map(|seed| fleet.came(seed)).collect();
            let most = came.iter().map(|c| c.most).fold(0.0, f64::max);
            let share = came.iter().map(|c| c.share).sum::<f64>() / 10.0;
            let starved = came.iter().map(|c| c.starved).max();
            let told = format!("{load:?}, {instances} at {total}: {most:.2} of the bound, share {share:.2}");
            assert!(most <= 1.0, "{told}");
            // A process of few calls has none to spare within one ramp.
            if total / f64::from(instances) > 2.0 && !matches!(load, Load::Burst) {
                assert!(share >= 0.25 && starved.is_some_and(|n| n <= 3), "{told}, {starved:?} sent none");
            }
        }
    }
}

/// Plays a fleet with these seeds under each load, told of the starts in one instant and over 1.5 s. No window may break the
/// bound, and under an even load a cold row gets at least this share of what it may get.
fn assert_bound_holds(fleet: Fleet, loads: &[Load], seeds: u64, least_share: f64) {
    // A longer run: COLD_SEEDS=200 cargo test --release -p cometcroft --test cold -- --nocapture
    let seeds = std::env::var("COLD_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(seeds);
    for &load in loads {
        for told_within in [ms(0), ms(1500)] {
            let fleet = Fleet { load, told_within, ..fleet };
            let came: Vec<Came> = (0..seeds).map(|seed| fleet.came(seed)).collect();
            let most = came.iter().map(|c| c.most).fold(0.0, f64::max);
            let share = came.iter().map(|c| c.share).sum::<f64>() / seeds as f64;
            println!("{most:.2} of the bound, share {share:.2}, {seeds} seeds: {fleet:?}");
            assert!(most <= 1.0, "{most:.2} of the bound: {fleet:?}");
            assert!(load != Load::Even || share >= least_share, "share {share:.2}: {fleet:?}");
        }
    }
}

/// The loads above and surges right at the start, one of them over a whole window of the rule.
const LOADS: [Load; 5] =
    [Load::Even, Load::Burst, Load::Full, Load::BurstAtStart(ms(500)), Load::BurstAtStart(ms(2000))];
/// Loads that a process can judge by which has just started itself: of a surge it does not know that it is one.
const UNLEARNED_LOADS: [Load; 3] = [Load::Even, Load::Burst, Load::Full];

#[test]
fn two_processes_keep_the_bound_however_few_rows_are_warm() {
    let fleet = Fleet { instances: 2, ..Fleet::EVEN };
    for (warm, cold, total) in [(5, 3, 10.0), (5, 3, 60.0), (5, 1, 30.0), (2, 6, 30.0)] {
        assert_bound_holds(Fleet { warm, cold, total, ..fleet }, &LOADS, 6, 0.6);
    }
    // What is left is sent all the calls, also those of the rows that start.
    assert_bound_holds(Fleet { warm: 2, cold: 6, total: 200.0, ..fleet }, &LOADS, 1, 0.6);
    assert_bound_holds(Fleet { warm: 0, cold: 8, ..fleet }, &LOADS, 6, 0.6);
    assert_bound_holds(Fleet { warm: 1, cold: 7, apart: ms(600), ..fleet }, &LOADS, 6, 0.6);
}

#[test]
fn thirty_processes_keep_the_bound_whichever_part_of_the_list_each_walks() {
    let fleet = Fleet { instances: 30, total: 300.0, ..Fleet::EVEN };
    assert_bound_holds(Fleet { total: 60.0, ..fleet }, &LOADS, 3, 0.5);
    assert_bound_holds(Fleet { warm: 40, cold: 3, ..fleet }, &LOADS, 2, 0.5);
    assert_bound_holds(Fleet { warm: 20, cold: 20, total: 60.0, ..fleet }, &LOADS, 2, 0.35);
    // Cold rows count in part, so each process walks more of them, and each cold row is walked by more processes.
    assert_bound_holds(Fleet { warm: 0, cold: 40, ..fleet }, &LOADS, 2, 0.5);
    assert_bound_holds(
        Fleet { warm: 20, cold: 60, apart: ms(100), ..fleet },
        &[Load::Even, Load::Full],
        1,
        0.4,
    );
}

#[test]
fn three_hundred_processes_keep_the_bound_with_cold_rows_among_many() {
    let fleet = Fleet { instances: 300, total: 300.0, ..Fleet::EVEN };
    assert_bound_holds(fleet, &LOADS, 1, 0.4);
    assert_bound_holds(Fleet { warm: 60, cold: 4, ..fleet }, &LOADS, 1, 0.25);
    assert_bound_holds(
        Fleet { warm: 40, cold: 24, ..fleet },
        &[Load::Even, Load::BurstAtStart(ms(2000))],
        1,
        0.4,
    );
    assert_bound_holds(
        Fleet { warm: 0, cold: 60, ..fleet },
        &[Load::Even, Load::BurstAtStart(ms(2000))],
        1,
        0.4,
    );
}

#[test]
fn processes_that_start_along_with_the_rows_keep_the_bound_and_send_to_them() {
    let fleet = Fleet { fresh: true, ..Fleet::EVEN };
    for (instances, seeds) in [(2, 6), (30, 2), (300, 1)] {
        let total = if instances > 2 { 300.0 } else { 30.0 };
        let fleet = Fleet { instances, total, ..fleet };
        assert_bound_holds(Fleet { warm: 20, cold: 20, ..fleet }, &UNLEARNED_LOADS, seeds, 0.2);
        assert_bound_holds(Fleet { warm: 0, cold: 20, ..fleet }, &UNLEARNED_LOADS, seeds, 0.5);
    }
}
