//! Data files: a written file is read back unchanged, and an invalid one gives a one-line error with position and field.

use cometcroft_capacity::data::{Dataset, FleetRecord, ModuleRecord, Moment};

fn record(moment: Moment, members: usize, seed: u64) -> FleetRecord {
    FleetRecord {
        moment,
        members,
        seed,
        seconds: 60.0,
        violations: 0,
        mean_sent_bytes_s: 812.25,
        equal_s: None,
        in_force_s: Some(0.5),
        agreed_s: None,
        roles: Vec::new(),
    }
}

#[test]
fn a_written_dataset_is_read_back_unchanged() {
    let module = ModuleRecord { endpoints: 28, refresh_ns: 1.5, call_ns: 2.5, heap_bytes: 3.0 };
    let written = Dataset {
        fleets: vec![record(Moment::ZoneBack, 50, 1), record(Moment::ZoneBack, 50, 2)],
        module: vec![module],
    };
    let text = written.to_text().expect("JSON");
    assert_eq!(
        text.lines().count(),
        7,
        "one record per line, plus the begin and end of the sections: {text}"
    );
    assert_eq!(Dataset::parse(&text, "data.json").expect("a valid file"), written);
}

#[test]
fn the_order_of_records_does_not_depend_on_the_order_of_measurements() {
    let mut dataset = Dataset::default();
    for (moment, members, seed) in [(Moment::Change, 50, 2), (Moment::Rest, 100, 1), (Moment::Rest, 50, 2)] {
        dataset.fleets.push(record(moment, members, seed));
    }
    dataset.sort();
    let order: Vec<_> =
        dataset.fleets.iter().map(|record| (record.moment, record.members, record.seed)).collect();
    assert_eq!(order, [(Moment::Rest, 50, 2), (Moment::Rest, 100, 1), (Moment::Change, 50, 2)]);
    assert_eq!((dataset.largest_fleet(Moment::Rest), dataset.largest_fleet(Moment::Change)), (100, 50));
}

#[test]
fn an_invalid_file_gives_a_one_line_error_with_position_and_field() {
    let valid =
        serde_json::to_string(&Dataset { fleets: vec![record(Moment::Rest, 50, 1)], ..Dataset::default() })
            .expect("JSON");
    let cases = [
        (valid.replace("\"seed\":1", "\"seed\":-1"), "fleets[0].seed: "),
        (valid.replace("\"seed\"", "\"sed\""), "unknown field `sed`"),
        (valid.replace("\"rest\"", "\"tea\""), "fleets[0].moment: unknown variant `tea`"),
        (format!("{valid}x"), "trailing characters"),
        (valid[..valid.len() - 3].to_owned(), "EOF"),
    ];
    for (text, expected) in cases {
        let error = Dataset::parse(&text, "data.json").expect_err("an invalid file").to_string();
        assert!(error.starts_with("data.json:1:") && error.contains(expected), "{error}");
        assert_eq!(error.lines().count(), 1);
    }
}
