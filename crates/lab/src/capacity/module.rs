//! Reads the results of the module's benchmarks into the capacity data.

use cometcroft_capacity::data::ModuleRecord;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// Criterion's estimates of a benchmark; only the median is needed.
#[derive(Deserialize)]
struct Estimates {
    median: Estimate,
}

#[derive(Deserialize)]
struct Estimate {
    /// Nanoseconds.
    point_estimate: f64,
}

/// Returns a record for each length of the endpoint list in the file `heap` (see
/// `crates/module/benches/list_memory.rs`).
pub fn records(criterion: &Path, heap: &Path) -> Result<Vec<ModuleRecord>, Box<dyn Error>> {
    let heap: BTreeMap<u32, f64> = read(heap)?;
    let mut records = Vec::new();
    for (endpoints, heap_bytes) in heap {
        let refresh_ns = median(criterion, "refresh", endpoints)?;
        let call_ns = median(criterion, "call", endpoints)?;
        records.push(ModuleRecord { endpoints, refresh_ns, call_ns, heap_bytes });
    }
    Ok(records)
}

/// Returns the median time of a benchmark in nanoseconds.
fn median(criterion: &Path, group: &str, endpoints: u32) -> Result<f64, Box<dyn Error>> {
    let path = criterion.join(group).join(endpoints.to_string()).join("new/estimates.json");
    let estimates: Estimates = read(&path)?;
    Ok(estimates.median.point_estimate.round())
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Box<dyn Error>> {
    let message = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| message(&error))?;
    serde_json::from_str(&text).map_err(|error| message(&error).into())
}
