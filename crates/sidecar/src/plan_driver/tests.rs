//! Tests of private parts of `plan_driver`.

use super::*;

fn report(generation: u64, bootstrap_id: u64, index: u64) -> StatusReport {
    let name = "m".to_owned();
    StatusReport { name, generation, bootstrap_id, index, revision: 0, ready: true, attempt_counts: (0, 0) }
}

#[test]
fn confirmations_from_before_a_bootstrap_do_not_count_after_it() {
    // The log was bootstrapped from a copy with fewer entries than this sidecar had confirmed.
    let (before, after) = (report(1, 1, 500), report(1, 2, 400));
    assert!(after.recency() > before.recency(), "the report with the lower index is the newer one");
    assert_eq!((before.confirmed_index(2), after.confirmed_index(2)), (0, 400));
    assert!(report(2, 1, 1).recency() > after.recency(), "a later generation is newer at any index");
}

#[test]
fn status_report_has_a_fixed_encoding() {
    let report = StatusReport {
        name: "m".to_owned(),
        generation: 300,
        bootstrap_id: 2,
        index: 5,
        revision: 7,
        ready: true,
        attempt_counts: (1, 200),
    };
    // Sidecars of different versions exchange these bytes: name, generation, bootstrap id, index, revision, ready, attempts.
    let bytes = [1, b'm', 0xac, 0x02, 2, 5, 7, 1, 1, 0xc8, 0x01];
    assert_eq!(postcard::to_stdvec(&report).expect("report is encodable"), bytes);
    let decoded: StatusReport = postcard::from_bytes(&bytes).expect("bytes decode");
    assert_eq!(format!("{decoded:?}"), format!("{report:?}"));
}
