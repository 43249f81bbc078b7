//! Cost by the length of the endpoint list: of a refresh, and of a request from arrival to outcome.
//!
//! Run `cargo bench -p cometcroft --bench list`; then `cometcroft-lab capacity module` takes the results into
//! `docs/capacity/module.json`.

mod support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use support::{LIST_LENGTHS, Sidecar};

fn refresh(c: &mut Criterion) {
    let mut group = c.benchmark_group("refresh");
    for endpoints in LIST_LENGTHS {
        let mut sidecar = Sidecar::warm(endpoints);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| b.iter(|| sidecar.refresh()));
    }
    group.finish();
}

fn request(c: &mut Criterion) {
    // `cometcroft-lab capacity module` looks for the results under this name.
    let mut group = c.benchmark_group("call");
    for endpoints in LIST_LENGTHS {
        let mut sidecar = Sidecar::warm(endpoints);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| black_box(sidecar.request()))
        });
    }
    group.finish();
}

criterion_group!(benches, refresh, request);
criterion_main!(benches);
