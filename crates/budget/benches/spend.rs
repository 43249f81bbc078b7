//! Cost of one use at a holder and of one division at the allocator.

use cometcroft_budget::{Budget, Claim, Config, Limit, LimitKind, Time, divide};
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// A fleet of one sidecar, 20 s after its start.
fn single_sidecar() -> (Budget, Time) {
    let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let mut config = Config::new("bench", at, vec![at], Duration::from_secs(4));
    let kind = LimitKind::Rate { burst: 1_000_000_000 };
    config.limits = vec![Limit { name: "w".into(), kind, size: 1_000_000_000, guaranteed: 0 }];
    let mut budget = Budget::new(config, Time::ZERO, 1);
    let mut now = Time::ZERO;
    while now < Duration::from_secs(20) {
        now += Duration::from_millis(10);
        budget.tick(now);
        let _ = budget.try_acquire(0, now);
    }
    (budget, now)
}

fn spend(c: &mut Criterion) {
    let (mut budget, mut now) = single_sidecar();
    assert!(budget.share(0, now) > 0);
    let mut step = 0u32;
    c.bench_function("one use of a rate", |b| {
        b.iter(|| {
            now += Duration::from_micros(1);
            step += 1;
            if step.is_multiple_of(1000) {
                budget.tick(now);
            }
            black_box(budget.try_acquire(0, now))
        });
    });
    for holders in [5u64, 50, 300, 1000] {
        let claims: Vec<Claim> =
            (0..holders).map(|i| Claim { demand: 1000 + i * 37 % 5000, weight: 1 }).collect();
        c.bench_function(&format!("division among {holders}"), |b| {
            b.iter(|| black_box(divide(1_000_000, 100, &claims)));
        });
    }
}

criterion_group!(benches, spend);
criterion_main!(benches);
