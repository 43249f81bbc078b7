//! What a day costs, and its parts: a step of the kernel, a message over the network, a message read.
//!
//! `cargo bench -p cometcroft-emulator`

use bytes::Bytes;
use cometcroft_emulator::day::Day;
use cometcroft_emulator::emulator::Emulator;
use cometcroft_emulator::kernel::{Kernel, MS, SEC};
use cometcroft_emulator::net::{Links, Net, Owner, Party};
use cometcroft_emulator::scenario::Scenario;
use cometcroft_emulator::wire::{Call, Reader};
use cometcroft_sidecar::endpoint_list::{EndpointList, ListReader};
use cometcroft_sidecar::endpoint_table::EndpointTable;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use std::hint::black_box;
use std::time::Duration;

const LINKS: Links = Links { local: 3e4, same: 2e5, cross: 6e5, client: 7e5, jitter: 0.2 };

fn days(c: &mut Criterion) {
    let mut group = c.benchmark_group("day");
    group.sample_size(10);
    for name in ["calm", "two-tier", "mixed"] {
        let scenario = Scenario::find(name).expect("shipped").shortened(10.0);
        let steps = Emulator::new(Day::draw(&scenario, 1), None).play(false).steps;
        group.throughput(Throughput::Elements(steps));
        group.bench_function(name, |b| {
            b.iter(|| Emulator::new(Day::draw(&scenario, 1), None).play(false).steps)
        });
    }
    group.finish();
}

fn parts(c: &mut Criterion) {
    let mut group = c.benchmark_group("part");
    group.throughput(Throughput::Elements(1000));
    group.bench_function("1000 sleeps", |b| {
        b.iter(|| {
            let kernel = Kernel::<()>::new(Net::new(LINKS, 1));
            let pid = kernel.with_net(|net| net.process(9));
            let own = kernel.clone();
            drop(kernel.spawn(pid, async move {
                for _ in 0..1000 {
                    own.sleep_until(own.now() + MS).await;
                }
            }));
            kernel.run_ready();
            while kernel.next(10 * SEC).is_some() {
                kernel.run_ready();
            }
            kernel.now()
        });
    });
    group.bench_function("1000 messages", |b| {
        b.iter(|| {
            let kernel = Kernel::<()>::new(Net::new(LINKS, 1));
            let conn = kernel.with_net(|net| {
                let (host, at) = (net.host(0), ([127, 0, 0, 1], 80).into());
                net.listen(at, Owner::Party(Party(1)), host, 8);
                net.connect(Owner::Party(Party(2)), net.clients(), at)
            });
            let conn = conn.expect("a party has descriptors");
            while kernel.next(SEC).is_some() {}
            for _ in 0..1000 {
                kernel.with_net(|net| net.send(conn, 0, Bytes::from_static(b"a message of some bytes")));
            }
            while kernel.next(SEC).is_some() {}
            kernel.notes().len()
        });
    });
    let bytes =
        Call { class: "plan", post: false, id: "c1", budget: SEC, key: None, again: false, work: 0.1 }
            .bytes();
    group.bench_function("1000 requests read", |b| {
        b.iter(|| {
            let mut reader = Reader::default();
            for _ in 0..1000 {
                reader.push(&bytes);
                black_box(reader.take().ok().flatten().and_then(|m| m.budget()));
            }
        });
    });
    group.finish();
}

/// A whole list of so many endpoints.
fn list(rows: usize) -> String {
    let row = |i: usize| {
        format!(
            "{{\"name\":\"api-{i}\",\"address\":\"127.2.{}.{}:9000\",\"zone\":\"plateau\",\"type\":\"m\",\"group\":0,\
             \"status\":\"up\",\"weight\":2.00,\"since_ms\":0}}",
            i >> 8,
            i & 255
        )
    };
    let rows: Vec<String> = (0..rows).map(row).collect();
    format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}", rows.join(","))
}

/// The list in pieces as they are read from a socket.
fn read(text: &str) -> EndpointList {
    let mut reader = ListReader::default();
    for piece in text.as_bytes().chunks(32 * 1024) {
        reader.push(piece).expect("it reads");
    }
    reader.finish().expect("it is whole")
}

/// What a long list costs a sidecar: the figure behind `read` of `[sidecars]` in the scenarios.
fn lists(c: &mut Criterion) {
    let text = list(3200);
    let mut group = c.benchmark_group("list of 3200 rows");
    group.throughput(Throughput::Bytes(text.len() as u64));
    group.bench_function("read", |b| b.iter(|| read(black_box(&text)).records.len()));
    let (zones, hour) = (vec!["plateau".to_owned()], Duration::from_secs(3600));
    let endpoints = EndpointTable::new(&zones, hour, hour);
    group.bench_function("read and taken over", |b| {
        b.iter(|| endpoints.apply(read(black_box(&text)), None).update().map(|update| update.entries.len()));
    });
    group.finish();
}

criterion_group!(benches, days, parts, lists);
criterion_main!(benches);
