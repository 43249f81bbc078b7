//! Heap in use and its peak after a minute of steady traffic, by the length of the endpoint list.
//!
//! Run `cargo run --release -p cometcroft --example growth_memory`.

#[path = "../benches/support/steady_traffic.rs"]
mod steady_traffic;

use std::time::Duration;
use steady_traffic::{Changes, SteadyTraffic};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

fn main() {
    for changes in [Changes::None, Changes::AtOnce, Changes::OneByOne] {
        for endpoints in [200, 3200] {
            let profiler = dhat::Profiler::builder().testing().build();
            let mut traffic = SteadyTraffic::new(endpoints, changes);
            traffic.advance(Duration::from_secs(60));
            let heap = dhat::HeapStats::get();
            let (held, peak) = (heap.curr_bytes / 1024, heap.max_bytes / 1024);
            println!(
                "{endpoints:>5} endpoints, changes {changes:?}: {held} KiB in use, {peak} KiB peak, {} attempts",
                traffic.sent
            );
            drop(profiler);
        }
    }
}
