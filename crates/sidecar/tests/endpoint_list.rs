//! The reader of endpoint lists yields the same records however a list is cut into pieces, each record as soon as its last
//! byte has arrived, with bounded memory and work.
mod common;

use cometcroft::EndpointState;
use cometcroft_sidecar::endpoint_list::{
    EndpointList, ListError, ListReader, MAX_PENDING_BYTES, RecordError,
};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Number of endpoints in the largest fleet.
const ENDPOINTS: usize = 3200;

fn record(i: usize, status: &str) -> Value {
    json!({"name": format!("s-{i:08x}"), "address": "10.1.0.18:8080", "zone": "a", "type": "m2", "group": 3,
           "status": status, "weight": 1.0, "since_ms": 0, "note": {"owner": "a } in \" a string", "tags": [1, 2]}})
}

fn list(records: usize) -> Value {
    let status = |i: usize| if i.is_multiple_of(3) { "draining" } else { "up" };
    let records: Vec<Value> = (0..records).map(|i| record(i, status(i))).collect();
    json!({"index": 41, "snapshot": true, "endpoints": records, "region": {"a": [1, {}]}})
}

/// Pushes a text in pieces of these lengths, which repeat.
fn read_in_pieces(text: &str, pieces: &[usize]) -> ListReader {
    let (mut reader, mut rest) = (ListReader::default(), text.as_bytes());
    for &length in pieces.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, remaining) = rest.split_at(length.min(rest.len()));
        reader.push(piece).expect("well formed");
        rest = remaining;
    }
    reader
}

proptest! {
    #![proptest_config(common::proptest_config(300))]
    #[test]
    fn a_list_reads_the_same_however_it_is_split(
        pieces in proptest::collection::vec(1usize..400, 1..20),
        records in 0usize..40,
        indented in any::<bool>(),
    ) {
        let list = list(records);
        let text = if indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
        let reader = read_in_pieces(&text.expect("text"), &pieces);
        prop_assert!(reader.is_complete());
        prop_assert_eq!(reader.finish().expect("whole"), EndpointList::from_value(&list).expect("whole"));
    }

    /// No input makes the reader panic, and an error is final.
    #[test]
    fn arbitrary_bytes_are_read_or_rejected(
        bytes in proptest::collection::vec(proptest::sample::select(b"{}[],:\"\\ 0aeindxtrusfl".to_vec()), 0..200),
    ) {
        let mut reader = ListReader::default();
        let mut failed = false;
        for byte in bytes {
            let result = reader.push(&[byte]);
            prop_assert!(!(failed && result.is_ok()), "the reader recovered from an error");
            failed = result.is_err();
        }
        let _ = reader.partial_record();
        let _ = reader.finish();
    }
}

#[test]
fn a_record_is_available_with_its_last_byte_and_not_before() {
    let text = serde_json::to_string(&list(5)).expect("text");
    let mut reader = ListReader::default();
    let mut ends = Vec::new();
    for (at, byte) in text.bytes().enumerate() {
        let before = reader.records().len();
        reader.push(&[byte]).expect("well formed");
        if reader.records().len() > before {
            ends.push(at);
        }
    }
    let record_end = |i: usize| {
        let record = serde_json::to_string(&record(i, if i.is_multiple_of(3) { "draining" } else { "up" }))
            .expect("text");
        text.find(&record).expect("a record") + record.len() - 1
    };
    assert_eq!(ends, (0..5).map(record_end).collect::<Vec<usize>>());
}

/// Guards against parsing a record again with each piece that arrives: no byte is passed to the parser more than a few times.
#[test]
fn the_parsing_work_is_linear_in_the_length_of_the_list() {
    let text = serde_json::to_string_pretty(&list(ENDPOINTS)).expect("text");
    for pieces in [[1].as_slice(), &[7, 100], &[1460], &[32 * 1024], &[usize::MAX]] {
        let reader = read_in_pieces(&text, pieces);
        assert_eq!(reader.records().len(), ENDPOINTS);
        // Each record contains three closing braces: one in a string, one of an inner value and its own.
        assert!(
            reader.parsed_bytes() <= 3 * text.len() as u64,
            "parsed {} bytes of a list of {} in pieces of {pieces:?}",
            reader.parsed_bytes(),
            text.len()
        );
    }
}

#[test]
fn an_invalid_list_is_rejected_with_its_position() {
    let read = |text: &str| {
        let mut reader = ListReader::default();
        reader.push(text.as_bytes()).and_then(|()| reader.finish())
    };
    let up = r#"{"name":"a","address":"10.0.0.1:1","status":"up"}"#;
    let whole = |records: &str| format!(r#"{{"index":1,"snapshot":true,"endpoints":[{records}]}}"#);
    assert!(read(&whole(up)).is_ok());
    assert_eq!(read("nonsense"), Err(ListError::Syntax { records: 0 }));
    assert_eq!(read(&whole(&format!("{up},"))), Err(ListError::Syntax { records: 1 }));
    assert_eq!(read(&whole(&format!("{up}{up}"))), Err(ListError::Syntax { records: 1 }));
    assert_eq!(read(&whole(&format!("{up},{up}"))), Err(ListError::RepeatedName("a".into())));
    assert_eq!(read(&whole(up)[..60]), Err(ListError::Unfinished { records: 0 }));
    assert_eq!(read(&format!("{} ", whole(up))).map(|list| list.records.len()), Ok(1));
    assert_eq!(read(&format!("{}x", whole(up))), Err(ListError::Syntax { records: 1 }));
    assert_eq!(read(r#"{"snapshot":true,"endpoints":[]}"#), Err(ListError::Missing("index")));
    assert_eq!(read(r#"{"index":1,"endpoints":[]}"#), Err(ListError::Missing("snapshot")));
    assert_eq!(read(r#"{"index":1,"snapshot":true}"#), Err(ListError::Missing("endpoints")));
    assert!(read(r#"{"index":1,"index":2,"snapshot":true,"endpoints":[]}"#).is_err());
    for (record, error) in [
        (r#"{"address":"10.0.0.1:1","status":"up"}"#, RecordError::Name),
        (r#"{"name":"b","address":"10.0.0.1:1","status":"odd"}"#, RecordError::Status),
        (r#"{"name":"b","address":"nowhere","status":"up"}"#, RecordError::Address),
        (r#"{"name":"b","name":"c","address":"10.0.0.1:1","status":"up"}"#, RecordError::Shape),
        ("[]", RecordError::Shape),
    ] {
        let expected = Err(ListError::Record { position: 1, error });
        assert_eq!(read(&whole(&format!("{up},{record}"))), expected, "{record}");
    }
    let long = format!(r#"{{"index":1,"endpoints":[{{"name":"{}"#, "a".repeat(MAX_PENDING_BYTES));
    assert_eq!(read(&long), Err(ListError::TooLong { records: 0 }));
}

#[test]
fn exclusions_need_no_address_and_are_kept_beside_invalid_records() {
    let mut reader = ListReader::default();
    let text = r#"{"index":1,"snapshot":true,"endpoints":[7,{"name":"a","status":"draining"},{"name":"b"},{"name":"c","status":"removed"}]}"#;
    reader.push(text.as_bytes()).expect("JSON");
    let states: Vec<EndpointState> = reader.records().iter().map(|record| record.state).collect();
    assert_eq!(states, [EndpointState::Draining, EndpointState::Removed]);
    assert_eq!(reader.finish(), Err(ListError::Record { position: 0, error: RecordError::Shape }));
}
