//! CPU time per virtual second of steady traffic by the length of the endpoint list, with and without changes of the
//! list.
//!
//! Run `cargo run --release -p cometcroft --example growth` on Linux. With arguments, a single run for a profiler:
//! `growth ENDPOINTS none|at-once|one-by-one`.

#[path = "../benches/support/steady_traffic.rs"]
mod steady_traffic;

use std::time::Duration;
use steady_traffic::{Changes, SteadyTraffic};

const LIST_LENGTHS: [u32; 2] = [200, 3200];
const RUN_TIME: Duration = Duration::from_secs(600);
const RUNS: usize = 5;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [endpoints, changes] = &arguments[..] {
        let endpoints = endpoints.parse().expect("a number of endpoints");
        println!("{:.3} ms per virtual second", cost(endpoints, parse_changes(changes)));
        return;
    }
    for changes in [Changes::None, Changes::AtOnce, Changes::OneByOne] {
        for endpoints in LIST_LENGTHS {
            let mut costs: Vec<f64> = (0..RUNS).map(|_| cost(endpoints, changes)).collect();
            costs.sort_by(f64::total_cmp);
            let (min, median, max) = (costs[0], costs[RUNS / 2], costs[RUNS - 1]);
            println!(
                "{endpoints:>5} endpoints, changes {changes:?}: {median:.3} [{min:.3}-{max:.3}] ms per virtual second, n={RUNS}"
            );
        }
    }
}

fn parse_changes(changes: &str) -> Changes {
    match changes {
        "at-once" => Changes::AtOnce,
        "one-by-one" => Changes::OneByOne,
        _ => Changes::None,
    }
}

/// CPU time in milliseconds per virtual second, after ten seconds of warm-up.
fn cost(endpoints: u32, changes: Changes) -> f64 {
    let mut traffic = SteadyTraffic::new(endpoints, changes);
    traffic.advance(Duration::from_secs(10));
    let before = cpu_time();
    traffic.advance(RUN_TIME);
    assert!(traffic.sent > 0, "no attempt was sent");
    (cpu_time() - before).as_secs_f64() * 1e3 / RUN_TIME.as_secs_f64()
}

/// CPU time of this thread, as accounted by the kernel.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")
        .expect("/proc/thread-self/schedstat, which only Linux has");
    let nanos = text
        .split(' ')
        .next()
        .and_then(|field| field.parse().ok())
        .expect("a number in the first field of schedstat");
    Duration::from_nanos(nanos)
}
