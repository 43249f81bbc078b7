//! Takes the figures of the module's benchmarks into the capacity data.

use cometcroft_capacity::data::ModuleRecord;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// What criterion writes of a benchmark; its other figures are not needed.
#[derive(Deserialize)]
struct Estimates {
    median: Estimate,
}

#[derive(Deserialize)]
struct Estimate {
    /// In nanoseconds.
    point_estimate: f64,
}

/// The records of all lengths of the list that `heap` names (see `crates/module/benches/list_memory.rs`).
pub fn records(criterion: &Path, heap: &Path) -> Result<Vec<ModuleRecord>, Box<dyn Error>> {
    let heap: BTreeMap<u32, f64> = read(heap)?;
    let mut records = Vec::new();
    for (rows, heap_bytes) in heap {
        let refresh_ns = median(criterion, "refresh", rows)?;
        let call_ns = median(criterion, "call", rows)?;
        records.push(ModuleRecord { endpoints: rows, refresh_ns, call_ns, heap_bytes });
    }
    Ok(records)
}

fn median(criterion: &Path, group: &str, rows: u32) -> Result<f64, Box<dyn Error>> {
    let path = criterion.join(group).join(rows.to_string()).join("new/estimates.json");
    let estimates: Estimates = read(&path)?;
    Ok(estimates.median.point_estimate.round())
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Box<dyn Error>> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| failed(&error))?;
    serde_json::from_str(&text).map_err(|error| failed(&error).into())
}
