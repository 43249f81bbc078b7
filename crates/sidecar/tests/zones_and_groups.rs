//! The zones and groups of endpoints, which decide where a keyed request may be sent again.
mod common;

use cometcroft::{EndpointEntry, EndpointState};
use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::endpoint_list::{EndpointList, EndpointRecord, ListReader};
use cometcroft_sidecar::endpoint_table::EndpointTable;
use serde_json::{Value, json};
use std::time::Duration;

fn table() -> EndpointTable {
    EndpointTable::new(&["a".into(), "b".into()], Duration::from_secs(3600), Tokio.unix())
}

fn apply(endpoints: &EndpointTable, list: &Value) -> Vec<EndpointEntry> {
    let list = EndpointList::from_value(list).expect("a valid list");
    endpoints.apply(list, None).update().expect("applied").entries
}

fn full_record(name: &str) -> Value {
    json!({"name": name, "address": "127.0.0.1:1", "zone": "b", "group": 3, "status": "up"})
}

/// A record that names no zone and no group, because it was cut off or the endpoint was removed: the request that ran there
/// passed for one of group 0 and was sent to that group.
#[test]
fn a_record_without_zone_and_group_leaves_those_of_the_endpoint_as_they_are() {
    let truncated = r#"{"endpoints":[{"name":"x","address":"127.0.0.1:1","status":"draining","zo"#;
    let endpoints = table();
    let listed = apply(&endpoints, &json!({"index": 1, "snapshot": true, "endpoints": [full_record("x")]}));
    let mut reader = ListReader::default();
    reader.push(truncated.as_bytes()).expect("a valid beginning");
    let partial: Vec<EndpointRecord> = reader.partial_record().into_iter().collect();
    let drained = endpoints.exclude(&partial, None);
    let removal = json!({"index": 2, "snapshot": false, "endpoints": [{"name": "x", "status": "removed"}]});
    let removed = apply(&endpoints, &removal);
    for (entries, state) in [(drained, EndpointState::Draining), (removed, EndpointState::Removed)] {
        assert_eq!((entries.len(), entries[0].state), (1, state));
        assert_eq!((entries[0].zone, entries[0].cell), (listed[0].zone, listed[0].cell), "{state:?}");
    }
}

/// Endpoints whose zone and group were never named: they passed for one group, which was also that of number 0.
#[test]
fn endpoints_whose_zone_and_group_are_not_known_share_them_with_nobody() {
    let unknown = |name| json!({"name": name, "address": "127.0.0.1:2", "status": "up"});
    let first = json!({"name": "x", "address": "127.0.0.1:1", "zone": "a", "group": 0, "status": "up"});
    let list = json!({"index": 1, "snapshot": true, "endpoints": [first, unknown("y"), unknown("z")]});
    let entries = apply(&table(), &list);
    for (at, one) in entries.iter().enumerate() {
        for other in &entries[at + 1..] {
            assert_ne!(one.cell, other.cell);
            assert_ne!(one.zone, other.zone);
        }
    }
}
