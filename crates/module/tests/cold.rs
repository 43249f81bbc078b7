//! What a whole fleet sends to servers that have just started, whoever was told of them when.
mod common;

use cometcroft::*;
use common::*;
use std::time::Duration;

/// Warm and cold rows.
const ROWS: [u32; 2] = [5, 3];
/// Calls a second of the whole fleet; just what the rows take when they are warm.
const RATES: [f64; 3] = [10.0, 30.0, 80.0];

/// How the load comes after the start.
#[derive(Debug, Clone, Copy)]
enum Load {
    Even,
    /// Little for 3 s, in which places could be saved up, then three times as much for 1 s, all in one instant each 100 ms.
    Burst,
    /// The warm rows turn everything away.
    Full,
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

fn fleet(instances: u32, total: f64, comes: Load, seed: u64) -> Came {
    let settings = Settings { instances, ..Settings::example() };
    let (rules, each) = (settings.rules.clone(), total / f64::from(instances));
    let mut rng = fastrand::Rng::with_seed(seed);
    let rows = ROWS[0] + ROWS[1];
    let mut drives: Vec<Drive> = (0..instances)
        .map(|rank| {
            let settings = Settings { rank, ..settings.clone() };
            Drive::seeded(settings, (0..rows).map(member).collect(), rng.u64(..))
        })
        .collect();
    let well = |_| (Outcome::Ok, ms(30), load(2.0));
    // Each learns what a warm row takes of its calls.
    for d in &mut drives {
        let gap = secs(1.0 / each);
        for _ in 0..(12.0 * each).ceil() as usize {
            d.call(0, well);
            d.pass(gap);
        }
    }
    let began = drives.iter().map(|d| d.now).max().unwrap_or_default();
    let told: Vec<Duration> = (0..instances).map(|_| began + ms(rng.u64(0..1500))).collect();
    let mut next: Vec<Duration> = (0..instances).map(|_| began + secs(rng.f64() / each)).collect();
    let mut knows = vec![false; instances as usize];
    let (mut sent, mut hit) = (vec![Vec::new(); rows as usize], vec![0; instances as usize]);
    let end = began + rules.ramp;
    let mut now = began;
    while now < end {
        now += ms(5);
        for (i, d) in drives.iter_mut().enumerate() {
            if now > d.now {
                let gap = now - d.now;
                d.pass(gap);
            }
            if !knows[i] && now >= told[i] {
                knows[i] = true;
                let list = (0..rows)
                    .map(|id| Member { started: Some(began).filter(|_| id >= ROWS[0]), ..member(id) });
                d.tell(Event::Members { scope: ListScope::Complete, entries: list.collect() });
            }
            while next[i] <= now {
                let since = (now - began).as_secs_f64();
                let rate = match comes {
                    Load::Burst if since < 3.0 => each / 5.0,
                    Load::Burst if since < 4.0 => each * 3.0,
                    _ => each,
                };
                next[i] += match comes {
                    Load::Burst if (3.0..4.0).contains(&since) => ms(100),
                    _ => secs(-(1.0 - rng.f64()).ln() / rate),
                };
                let calls = match comes {
                    Load::Burst if (3.0..4.0).contains(&since) => {
                        let due = rate / 10.0;
                        due as usize + usize::from(rng.f64() < due.fract())
                    }
                    _ => 1,
                };
                for _ in 0..calls {
                    let answer = |to: UpstreamId| match comes {
                        Load::Full if to.0 < ROWS[0] => (Outcome::Full, ms(2), load(9.0)),
                        _ => (Outcome::Ok, ms(30), load(if to.0 < ROWS[0] { 6.0 } else { 0.0 })),
                    };
                    for to in called(d, answer) {
                        if to.0 >= ROWS[0] && knows[i] {
                            sent[to.0 as usize].push(now - began);
                            hit[i] += 1;
                        }
                    }
                }
            }
        }
    }
    let (window, mut most, mut got, mut due) = (rules.fall_after, 0.0f64, 0, 0.0);
    for sent in &sent[ROWS[0] as usize..] {
        got += sent.len();
        for (first, from) in sent.iter().enumerate() {
            let count = sent[first..].iter().take_while(|at| **at < *from + window).count() as f64;
            let age = from.as_secs_f64() / rules.ramp.as_secs_f64();
            let warmth = rules.cold_from + (1.0 - rules.cold_from) * age.min(1.0);
            let n = rules.fall_multiple * total / f64::from(rows) * warmth * window.as_secs_f64();
            most = most.max(count / (n + 2.0 * n.sqrt() + 2.0));
        }
        // What a warm row takes, times the mean warmth over the ramp.
        due += total / f64::from(rows) * rules.ramp.as_secs_f64() * (1.0 + rules.cold_from) / 2.0;
    }
    Came { most, share: got as f64 / due, starved: hit.iter().filter(|n| **n == 0).count() }
}

/// One call, and where its attempts went.
fn called(
    d: &mut Drive,
    answer: impl Fn(UpstreamId) -> (Outcome, Duration, Option<Report>),
) -> Vec<UpstreamId> {
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
            let came: Vec<Came> = (0..10).map(|seed| fleet(instances, total, load, seed)).collect();
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
