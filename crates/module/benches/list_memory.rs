//! Heap in use by the length of the endpoint list, as JSON: `{"28": bytes, ...}`.
//!
//! Run `cargo bench -p cometcroft --bench list_memory > heap.json`.

mod support;

use support::{LIST_LENGTHS, Sidecar};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

fn main() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let results: Vec<String> =
        LIST_LENGTHS.iter().map(|&endpoints| format!("\"{endpoints}\": {}", heap_of(endpoints))).collect();
    println!("{{{}}}", results.join(", "));
}

/// Bytes of heap that a warm balancer with a list of this length holds.
fn heap_of(endpoints: u32) -> usize {
    let before = dhat::HeapStats::get().curr_bytes;
    let sidecar = Sidecar::warm(endpoints);
    let held = dhat::HeapStats::get().curr_bytes - before;
    drop(sidecar);
    held
}
