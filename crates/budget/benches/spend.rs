//! What one use costs its holder, and one question its divider.

use cometcroft_budget::{Budget, Claim, Config, Kind, Time, Whole, divide};
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// A holder that divides for itself alone, some time after its start.
fn holder() -> (Budget, Time) {
    let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let mut config = Config::new("bench", at, vec![at], Duration::from_secs(4));
    let kind = Kind::Rate { burst: 1_000_000_000 };
    config.wholes = vec![Whole { name: "w".into(), kind, size: 1_000_000_000, floor: 0 }];
    let mut budget = Budget::new(config, Time::ZERO, 1);
    let mut now = Time::ZERO;
    while now < Duration::from_secs(20) {
        now += Duration::from_millis(10);
        budget.tick(now);
        let _ = budget.take(0, now);
    }
    (budget, now)
}

fn spend(c: &mut Criterion) {
    let (mut budget, mut now) = holder();
    assert!(budget.part(0, now) > 0);
    let mut step = 0u32;
    c.bench_function("one use of a rate", |b| {
        b.iter(|| {
            now += Duration::from_micros(1);
            step += 1;
            if step.is_multiple_of(1000) {
                budget.tick(now);
            }
            black_box(budget.take(0, now))
        });
    });
    for holders in [5u64, 50, 300, 1000] {
        let claims: Vec<Claim> =
            (0..holders).map(|i| Claim { want: 1000 + i * 37 % 5000, weight: 1 }).collect();
        c.bench_function(&format!("division among {holders}"), |b| {
            b.iter(|| black_box(divide(1_000_000, 100, &claims)));
        });
    }
}

criterion_group!(benches, spend);
criterion_main!(benches);
