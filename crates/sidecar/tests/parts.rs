//! The parts that decide from documents: outcomes, the directory, time left, the configuration.
mod common;

use bytes::Bytes;
use cometcroft::*;
use cometcroft_platform::{Platform, Tokio};
use cometcroft_settings::Field;
use cometcroft_sidecar::classes::{CHANGE_OVERLAP, ClassRegistry, RequestForm};
use cometcroft_sidecar::config::Config;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::endpoint_list::{EndpointList, EndpointRecord, ListReader};
use cometcroft_sidecar::endpoint_table::{EndpointTable, ListUpdate};
use cometcroft_sidecar::exchange::{NoResponse, Stage, outcome_without_response, response_outcome};
use cometcroft_sidecar::frontend::time_left;
use cometcroft_sidecar::http::client::ResponseReader;
use cometcroft_sidecar::lifecycle::LifecycleState;
use cometcroft_sidecar::pool::ConnectionPool;
use cometcroft_sidecar::probe::parse_report;
use cometcroft_sidecar::reload::ConfigReloader;
use cometcroft_sidecar::request_stats::RequestStats;
use cometcroft_sidecar::upload::{BodyMemory, MAX_BUFFERED, Upload};
use proptest::prelude::*;
use serde_json::json;
use std::time::Duration;

#[test]
fn only_a_marked_503_or_504_has_never_run() {
    let ends = |status: u16, extra: &str| {
        let mut exchange = ResponseReader::new(100);
        let text = format!("HTTP/1.1 {status} x\r\n{extra}Content-Length: 0\r\n\r\n");
        exchange.buffer().extend_from_slice(text.as_bytes());
        response_outcome(&exchange.step(false).expect("well formed").expect("whole"))
    };
    assert_eq!(ends(200, ""), Outcome::Ok);
    assert_eq!(ends(503, "X-Rejected: 1\r\n"), Outcome::Rejected);
    assert_eq!(ends(504, "X-Rejected: 1\r\n"), Outcome::Rejected);
    for (status, extra) in [(503, ""), (504, "X-Rejected: 0\r\n"), (500, "X-Rejected: 1\r\n"), (204, "")] {
        assert_eq!(ends(status, extra), Outcome::Error, "{status}");
    }
    for (lack, written) in [
        (NoResponse::TimedOut, Outcome::Timeout),
        (NoResponse::ConnectionLost, Outcome::Reset),
        (NoResponse::InvalidResponse, Outcome::Error),
    ] {
        assert!(outcome_without_response(Stage::Unwritten, lack).never_ran());
        assert_eq!(outcome_without_response(Stage::Written, lack), written);
    }
}

#[test]
fn an_answer_that_can_not_be_one_is_refused_before_its_end() {
    let mut many = "HTTP/1.1 102 Processing\r\n\r\n".repeat(17);
    many.push_str("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let head = "HTTP/1.1 200 OK\r\n";
    for bad in [
        "\u{1}noise".to_owned(),
        "ICY 200".to_owned(),
        many,
        "HTTP/1.1 101 Switching Protocols\r\n\r\n".to_owned(),
        "HTTP/1.1 2x0 OK\r\n\r\n".to_owned(),
        format!("{head}no colon\r\n\r\n"),
        format!("{head}\r\nno length"),
        format!("{head}Content-Length: 3000000000\r\n\r\n"),
        format!("{head}Content-Length: -1\r\n\r\n"),
        format!("{head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nfour"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n"),
        format!("{head}{}", "X-Pad: p\r\n".repeat(2000)),
    ] {
        let mut exchange = ResponseReader::delimited(100);
        exchange.buffer().extend_from_slice(bad.as_bytes());
        assert!(exchange.step(false).is_err(), "{bad}");
        assert!(!exchange.reusable());
    }
}

#[test]
fn a_connection_rests_before_it_is_used_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (at, to) = (listener.local_addr().expect("an address"), EndpointId(0));
        let (counters, second) = (std::rc::Rc::new(Counters::default()), Duration::from_secs(1));
        let pool = ConnectionPool::new(Tokio, 9, [5 * second, second], counters.clone(), None);
        let get = || pool.get(to, at, Tokio.now() + second);
        pool.put(to, get().await.expect("it listens"));
        pool.put(to, get().await.expect("it listens"));
        assert_eq!((counters.backend_connections.get(), counters.backend_reused.get()), (2, 0));
        tokio::time::advance(Duration::from_millis(10)).await;
        get().await.expect("one that has rested");
        assert_eq!((counters.backend_connections.get(), counters.backend_reused.get()), (2, 1));
    });
}

#[test]
fn on_the_way_out_late_requests_are_due_before_the_kill() {
    let (begun, ms) = (Tokio.now(), Duration::from_millis);
    for shared in [false, true] {
        let mut state = LifecycleState::new(begun, ms(8000), shared);
        assert_eq!(state.response_deadline(begun), None);
        state.begin_shutdown(begun);
        state.begin_shutdown(begun + ms(99));
        assert!(state.is_shutting_down() && state.closes_connections(begun) == shared);
        assert_eq!(state.response_deadline(begun + ms(300)), None);
        let last = begun + ms(3400);
        assert_eq!(state.response_deadline(begun + ms(700)), Some(last));
        let until = state.accepts_until().expect("it leaves");
        assert!(if shared { until == begun } else { until > begun + ms(700) && until < last });
        assert!(state.closes_connections(until) && state.idle_close_at(0.99).is_some_and(|at| at < last));
        // New settings on the way out: whoever waits with SIGKILL knows those that were in force.
        state.set_max_deadline(ms(60_000));
        assert_eq!(state.response_deadline(begun + ms(700)), Some(last));
        state.set_max_deadline(ms(1000));
        assert_eq!(state.response_deadline(begun + ms(1000)), Some(begun + ms(1400)));
        state.set_max_deadline(ms(60_000));
        assert_eq!(state.response_deadline(begun + ms(1000)), Some(begun + ms(1400)));
    }
}

/// What can happen to a sidecar, and what was last said of each.
#[derive(Debug, Clone, Copy)]
enum Happens {
    Listed(bool, bool),
    Drain,
    Undrain,
    Leave,
}

proptest! {
    #![proptest_config(common::proptest_config(300))]
    /// Whatever the order, what the state says follows from what was said last, and the way out is never undone.
    #[test]
    fn the_life_of_a_sidecar_follows_from_what_happened(
        shared in any::<bool>(),
        steps in proptest::collection::vec((prop_oneof![
            (any::<bool>(), any::<bool>()).prop_map(|(any, fresh)| Happens::Listed(any, fresh)),
            Just(Happens::Drain), Just(Happens::Undrain), Just(Happens::Leave),
        ], 0..900u64), 1..12),
        place in 0.0..1.0f64,
    ) {
        let (born, ms) = (Tokio.now(), Duration::from_millis);
        let mut state = LifecycleState::new(born, ms(3000), shared);
        let (mut now, mut listed, mut fresh, mut drain, mut term) = (born, false, false, None, None);
        for (step, later) in steps {
            now += ms(later);
            match step {
                Happens::Listed(any, told) => {
                    state.record_list(any, told);
                    (listed, fresh) = (any, fresh || told);
                }
                Happens::Drain => {
                    state.start_drain(now);
                    drain.get_or_insert(now);
                }
                Happens::Undrain => {
                    state.stop_drain();
                    drain = None;
                }
                Happens::Leave => {
                    state.begin_shutdown(now);
                    term.get_or_insert(now);
                }
            }
            let told = fresh || now >= born + ms(if shared { 2500 } else { 5000 });
            prop_assert_eq!(state.is_ready(now), listed && told && drain.is_none() && term.is_none());
            prop_assert_eq!(state.idle_close_at(place).is_some(), drain.is_some() || term.is_some());
            prop_assert_eq!(state.accepts_until().is_some(), term.is_some());
            prop_assert_eq!(state.response_deadline(now).is_some(), term.is_some_and(|at: std::time::Instant| now >= at + ms(600)));
            // Two seconds into a drain no connection is held idle, and every answer ends its own.
            if let Some(at) = drain {
                prop_assert!(state.idle_close_at(place).is_some_and(|closed| closed < at + ms(2000)));
                prop_assert!(state.closes_connections(at + ms(1000)));
            }
            if let (None, None) = (drain, term) {
                prop_assert!(!state.closes_connections(now + ms(9999)), "what was sent away has been called back");
            }
            prop_assert!(state.accepts_from() <= born + ms(3000));
        }
    }
}

#[test]
fn an_absurd_load_report_says_nothing() {
    let fields = [Field::Inflight, Field::Queue];
    let read = |text: &str| parse_report(text.as_bytes(), &fields).is_some();
    assert!(read(r#"{"inflight":3,"queue":0.5,"other":-1}"#));
    for bad in ["%%%", "{\"", "[]", r#"{"inflight":-1}"#, r#"{"queue":1e300}"#, r#"{"queue":"many"}"#] {
        assert!(!read(bad), "{bad}");
    }
}

/// Has a directory take a list, if it can be read.
fn taken(endpoints: &EndpointTable, list: &serde_json::Value) -> Option<ListUpdate> {
    endpoints.apply(EndpointList::from_value(list).ok()?, None).update()
}

/// Has a directory take what a list that broke off bars.
fn salvaged(endpoints: &EndpointTable, part: &[u8]) -> Vec<EndpointEntry> {
    let mut reader = ListReader::default();
    reader.push(part).expect("well formed as far as it goes");
    let records: Vec<EndpointRecord> =
        reader.records().iter().cloned().chain(reader.partial_record()).collect();
    endpoints.exclude(&records, reader.version())
}

#[test]
fn the_endpoint_table_tells_drains_moves_and_starts() {
    let endpoints = EndpointTable::new(vec!["a".into(), "b".into()], Duration::from_secs(3600), Tokio.unix());
    let entry = |name: &str, port: u16, status: &str| {
        json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "b", "type": "m", "group": 3,
               "status": status, "weight": 1.5, "since_ms": 0})
    };
    let take = |value: serde_json::Value| taken(&endpoints, &value);
    let open = |id| endpoints.is_open(EndpointId(id));
    let first =
        json!({"index": 4, "snapshot": true, "endpoints": [entry("x", 1, "up"), entry("y", 2, "up")]});
    let news = take(first).expect("a list");
    assert_eq!((news.version, news.scope, news.entries.len()), (4, ListScope::Complete, 2));
    assert_eq!(
        (news.entries[1].zone, news.entries[1].cell, news.entries[1].started),
        (ZoneId(1), CellId(3), None)
    );
    // A drain closes at once.
    let drain = json!({"index": 5, "snapshot": false, "endpoints": [entry("x", 1, "draining")]});
    assert!(open(0) && open(1));
    assert_eq!(take(drain.clone()).expect("a list").entries[0].endpoint, EndpointId(0));
    assert!(!open(0) && open(1));
    take(drain);
    assert!(!open(0));
    // It may come back, elsewhere.
    take(json!({"index": 6, "snapshot": false, "endpoints": [entry("x", 9, "up")]}));
    assert!(open(0) && endpoints.address(EndpointId(0)).is_some_and(|a| a.port() == 9));
    let at = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    assert!(endpoints.is_open_at(EndpointId(0), at(9)) && !endpoints.is_open_at(EndpointId(0), at(1)));
    // Who is absent from a whole list is gone; one that was never there needs no place.
    let rest = json!({"index": 7, "snapshot": true, "endpoints": [entry("x", 9, "up"), {"name": "z", "status": "removed"}]});
    assert_eq!(take(rest).expect("a list").entries.len(), 1);
    assert!(open(0) && !open(1) && !open(2));
    // One that comes back under its name after that is another.
    let back = json!({"index": 8, "snapshot": false, "endpoints": [entry("y", 2, "up")]});
    assert_eq!(take(back).expect("a list").entries[0].endpoint, EndpointId(2));
    assert!(open(2) && !open(1));
    // What can't be read changes nothing, not even in part.
    let broken =
        json!({"index": 8, "snapshot": true, "endpoints": [entry("x", 9, "draining"), entry("y", 2, "odd")]});
    assert!(take(broken).is_none() && take(json!([])).is_none());
    assert!(open(0));
}

#[test]
fn of_a_list_cut_at_any_byte_the_drains_that_came_are_kept() {
    let list = r#"{"endpoints":[{"address":"127.0.0.1:1","name":"a","status":"draining","zone":"z"}, {"address":"127.0.0.1:2","name":"b","status":"up"},{"name":"c","status":"removed","zone":"z"},{"address":"127.0.0.1:9","name":"new","status":"draining"}],"index":4,"snapshot":false}"#;
    let up = |name| json!({"name": name, "address": "127.0.0.1:7", "status": "up"});
    let known = json!({"index": 1, "snapshot": true, "endpoints": [up("a"), up("b"), up("c")]});
    // Where the status of `a` and of `c` has come whole: at its closing quote, whatever follows it or not.
    let told = |name: &str| {
        let row = list.find(&format!("\"name\":\"{name}\"")).expect("a row");
        row + list[row..].find(",\"zone\"").expect("a field behind it")
    };
    for cut in 0..=list.len() {
        let endpoints = EndpointTable::new(vec![], Duration::ZERO, Tokio.unix());
        taken(&endpoints, &known).expect("a list");
        let members = salvaged(&endpoints, &list.as_bytes()[..cut]);
        let expected = usize::from(cut >= told("a")) + usize::from(cut >= told("c"));
        assert_eq!(members.len(), expected, "cut at {cut}");
        assert!(members.iter().all(|m| m.state != EndpointState::Ready));
        assert_eq!(endpoints.len(), 3 - usize::from(cut >= told("c")), "one that is gone leaves the table");
        assert!(endpoints.is_open(EndpointId(1)), "what is up and the unknown are left alone");
    }
}

/// A process that has just started knows nothing: what a list barred before it broke off, an older one does not open either.
#[test]
fn what_a_list_bars_ahead_counts_for_servers_that_are_not_known_yet() {
    for status in ["draining", "removed"] {
        let endpoints = EndpointTable::new(vec![], Duration::ZERO, Tokio.unix());
        let part = format!(
            r#"{{"index":30,"snapshot":true,"endpoints":[{{"name":"a","address":"127.0.0.1:7","status":"{status}"}},"#
        );
        assert!(salvaged(&endpoints, part.as_bytes()).is_empty(), "it is not known");
        let list = |index: u32| {
            let up = |name| json!({"name": name, "address": "127.0.0.1:7", "status": "up"});
            json!({"index": index, "snapshot": true, "endpoints": [up("a"), up("b")]})
        };
        let older = taken(&endpoints, &list(29)).expect("a list");
        assert_eq!((older.entries.len(), endpoints.len()), (1, 1), "b alone is open");
        assert_eq!(taken(&endpoints, &list(30)).expect("a list").entries.len(), 2);
        assert_eq!(endpoints.len(), 2);
    }
}

#[test]
fn lists_may_come_indented_whole_and_in_part() {
    let up = |name| json!({"name": name, "address": "127.0.0.1:7", "status": "up"});
    let known = json!({"index": 1, "snapshot": true, "endpoints": [up("a"), up("b")]});
    let drains = json!({"name": "a", "address": "127.0.0.1:7", "status": "draining", "zone": "z"});
    let news = json!({"index": 2, "snapshot": false, "endpoints": [drains, up("b")]});
    let pretty = serde_json::to_string_pretty(&news).expect("text");
    let fresh = || {
        let endpoints = EndpointTable::new(vec![], Duration::ZERO, Tokio.unix());
        taken(&endpoints, &known).expect("a list");
        endpoints
    };
    let read = serde_json::from_str(&pretty).expect("JSON");
    assert_eq!(taken(&fresh(), &read).expect("news").entries[0].state, EndpointState::Draining);
    // Broken off behind the first row, and behind its status.
    let row = pretty.find("\"name\": \"b\"").expect("the second row");
    let status = pretty.find("\"draining\"").expect("the first row's") + "\"draining\",".len();
    for (cut, drains) in [(row, 1), (status, 1), (status - 4, 0)] {
        assert_eq!(salvaged(&fresh(), &pretty.as_bytes()[..cut]).len(), drains, "cut at {cut}");
    }
}

#[test]
fn what_the_plan_bars_stays_barred_whatever_discovery_says_and_comes_back_as_discovery_has_it() {
    use cometcroft_plan::WeightAdjustment;
    use std::{cell::Cell, rc::Rc};
    let endpoints = EndpointTable::new(vec!["z".into()], Duration::ZERO, Tokio.unix());
    let verdict = Rc::new(Cell::new(WeightAdjustment::Excluded));
    let judging = verdict.clone();
    endpoints.set_weight_adjuster(Box::new(move |name, zone, _| {
        if (name, zone) == ("a", "z") { judging.get() } else { WeightAdjustment::Unchanged }
    }));
    let row = |name, status| json!({"name": name, "address": "127.0.0.1:7", "zone": "z", "status": status, "weight": 2.0});
    let list = |index: u32, status| json!({"index": index, "snapshot": true, "endpoints": [row("a", status), row("b", "up")]});
    let news = taken(&endpoints, &list(1, "up")).expect("a list");
    assert_eq!(
        (news.entries[0].state, news.entries[1].state),
        (EndpointState::Draining, EndpointState::Ready)
    );
    let open = |id| endpoints.is_open(EndpointId(id));
    assert!(!open(0) && open(1), "a bar has no grace, and bars nobody else");
    assert!(endpoints.refresh_adjustments().is_empty(), "nothing has changed");
    verdict.set(WeightAdjustment::Scaled(0.5));
    let back = endpoints.refresh_adjustments();
    assert_eq!((back.len(), back[0].state, back[0].weight), (1, EndpointState::Ready, 1.0));
    assert!(open(0));
    // Discovery is stricter: no verdict opens what it drains.
    taken(&endpoints, &list(2, "draining")).expect("a list");
    verdict.set(WeightAdjustment::Unchanged);
    assert_eq!(endpoints.refresh_adjustments()[0].state, EndpointState::Draining);
}

#[test]
fn the_endpoint_table_holds_only_what_is_listed() {
    let endpoints = EndpointTable::new(vec![], Duration::ZERO, Tokio.unix());
    let entry =
        |n: u32, status: &str| json!({"name": n.to_string(), "address": "127.0.0.1:1", "status": status});
    for n in 0..1000u32 {
        let changes = json!([entry(n, "up"), entry(n.wrapping_sub(1), "removed")]);
        let list = json!({"index": n, "snapshot": false, "endpoints": changes});
        assert_eq!(taken(&endpoints, &list).expect("a list").entries.len(), 1 + usize::from(n > 0));
        assert_eq!(endpoints.len(), 1);
    }
    assert!(endpoints.is_open(EndpointId(999)) && !endpoints.is_open(EndpointId(998)));
}

#[test]
fn a_start_keeps_its_time_on_the_clock() {
    let endpoints = EndpointTable::new(vec![], Duration::from_secs(3600), Tokio.unix());
    let unix = Tokio.unix();
    let list = json!({"index": 1, "snapshot": true, "endpoints": [{"name": "x", "address": "127.0.0.1:1",
        "zone": "?", "status": "up", "since_ms": unix.as_millis() as u64}]});
    let started = || taken(&endpoints, &list).expect("a list").entries[0].started;
    // The module takes another start for another process, so reading it again must not move it.
    assert_eq!(started(), started());
    assert!(started().is_some_and(|at| at > Duration::from_secs(3000)));
}

#[test]
fn the_answer_is_due_before_the_client_gives_up() {
    let ms = Duration::from_millis;
    for (budget, gone) in [(3000, 0), (3000, 2999), (480, 5), (20, 0), (1, 0), (5, 900)] {
        let (left, due) = time_left(ms(budget), ms(gone));
        let remains = ms(budget).saturating_sub(ms(gone));
        assert!(left <= due && due <= remains, "{budget} {gone}");
        assert!(remains.is_zero() || left < remains);
    }
    assert_eq!(time_left(ms(3000), ms(0)), (ms(2940), ms(2970)));
}

#[test]
fn a_report_holds_what_the_settings_name() {
    let fields = [Field::Inflight, Field::Queue];
    let read = parse_report(br#"{"inflight":7,"queue":2,"util":0.61,"new":"x"}"#, &fields).expect("a report");
    assert_eq!((read.inflight, read.queue, read.utilization), (Some(7.0), Some(2.0), None));
    assert_eq!(parse_report(&Bytes::from_static(b"{"), &fields), None);
}

#[test]
fn a_bad_configuration_names_its_field_in_one_line() {
    let good = common::config_json("127.0.0.1:0", "127.0.0.1:1", "null");
    let none = |_: &str| None;
    let config = Config::parse(&good, none).expect("good");
    assert!(config.settings.limits.retry_after, "who is denied is told when to come back");
    assert_eq!(config.network.classes, ["plan", "book", "pay"]);
    let told = |name: &str| (name == "LB_NAME").then(|| "other".to_owned());
    assert_eq!(Config::parse(&good, told).expect("good").name, "other");
    for (from, to, field) in [
        ("\"listen\"", "\"l\"", "listen"),
        ("127.0.0.1:1", "nowhere", "discovery"),
        ("\"seed\"", "\"s\"", "seed"),
        ("\"settings\"", "\"s\"", "settings"),
        ("\"step-ns\"", "\"s\"", "step-ns"),
        ("\"conn-idle-ns\"", "\"s\"", "conn-idle-ns"),
        ("\"sockets\":256", "\"sockets\":3", "limits.sockets"),
        ("{", "", "LB_CONFIG"),
    ] {
        let error = Config::parse(&good.replacen(from, to, 1), none).expect_err(field).to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{field}: {error}");
    }
    assert_eq!(Config::load(none).expect_err("unset").field, "LB_CONFIG");
}

#[test]
fn of_a_new_file_nothing_is_taken_unless_it_is_whole() {
    let good = common::config_json("127.0.0.1:0", "127.0.0.1:1", "null");
    let parse = |text: &str| Config::parse(text, |_| None);
    let config = parse(&good).expect("good");
    let (control, counters) = (ConfigReloader::new(&config), Counters::default());
    let mut bad = 0;
    let mut refused = |text: &str| {
        bad += 1;
        let error = control.reload(parse(text), &counters).expect_err(text).to_string();
        assert!(!error.contains('\n') && counters.reload_failures.get() == bad, "{error}");
        error
    };
    for cut in 0..good.trim_end().len() {
        refused(&good[..cut]);
    }
    for (from, to, field) in [
        ("\"deadline-ns\":3000000000", "\"deadline-ns\":0", "deadline"),
        ("\"deadline-ns\":3000000000", "\"deadline-ns\":-1", "deadline-ns"),
        ("\"max-attempts\":3", "\"max-attempts\":0", "max_attempts"),
        // What a default would stand in for.
        ("\"limits\"", "\"other\"", "limits"),
        ("\"late-value\"", "\"other\"", "settings.request-classes.plan.late-value"),
        ("\"sockets\":256", "\"s\":256", "limits.sockets"),
    ] {
        let error = refused(&good.replacen(from, to, 1));
        assert!(error.contains(field), "{field}: {error}");
    }
    // A class may come, go, or change what it is; then it has other keys.
    let keyless =
        good.replacen("\"dedup-scope\":\"all\",\"effect\":\"read_like\"", "\"effect\":\"non_idempotent\"", 1);
    control.reload(parse(&keyless), &counters).expect("whole");
    control.reload(parse(&good.replacen("\"plan\"", "\"new\"", 1)), &counters).expect("whole");
    assert_eq!(counters.reloads.get(), 2);
}

#[test]
fn around_a_change_both_forms_are_taken_under_the_stricter_effect() {
    let keyed = Effect::Keyed { scope: DedupScope::All, window: Duration::from_secs(5) };
    let effects = [
        (Effect::Safe, RequestForm::Plain),
        (keyed, RequestForm::Keyed),
        (Effect::Unsafe, RequestForm::Unkeyed),
    ];
    let class = |effect| RequestClass { effect, ..Settings::example().classes[0].clone() };
    let (names, now) = (["c".to_owned()], Tokio.now());
    for (old, old_form) in effects {
        for (new, new_form) in effects.into_iter().filter(|(new, _)| *new != old) {
            let mut register = ClassRegistry::new(&names, &[class(old)]);
            assert_eq!(register.find(b"c", new_form, now), None);
            let from = register.apply_settings(&names, &[class(new)], now);
            assert!(from.iter().all(|from| *from == Some(ClassId(0))), "what was learned goes on");
            for (form, at) in [(old_form, now), (new_form, now), (new_form, now + CHANGE_OVERLAP)] {
                let found = register.find(b"c", form, at).expect("one of the two");
                let effect = register.classes()[found.0].effect;
                let keeps = effect == Effect::Unsafe || effect == keyed && form == RequestForm::Keyed;
                assert!(
                    keeps || at > now || (old, new) == (Effect::Safe, Effect::Safe),
                    "{old:?} {new:?} {form:?}"
                );
                assert!(at == now || effect == new, "then the new one alone");
            }
            assert_eq!(register.find(b"c", old_form, now + CHANGE_OVERLAP), None);
        }
    }
}

proptest! {
    #![proptest_config(common::proptest_config(60))]
    /// Over any files and requests, a number means one class to whoever holds it, and the table stays short.
    #[test]
    fn a_number_stands_for_one_class_while_anyone_holds_it(
        steps in proptest::collection::vec((0..4u8, 0..3u8, 0..5u8, 0..3000u64), 1..300),
    ) {
        let keyed = Effect::Keyed { scope: DedupScope::All, window: Duration::from_secs(5) };
        let class = |n: u8| RequestClass {
            effect: [Effect::Safe, keyed, Effect::Unsafe][usize::from(n % 3)],
            deadline: Duration::from_secs(1 + u64::from(n / 3)),
            ..Settings::example().classes[0].clone()
        };
        let names: Vec<_> = ["a", "b"].map(str::to_owned).into();
        let mut register = ClassRegistry::new(&names, &[class(0), class(1)]);
        let (mut now, mut held) = (Tokio.now(), std::collections::VecDeque::new());
        for (what, one, two, later) in steps {
            now += Duration::from_millis(later);
            match what {
                0 => {
                    let from = register.apply_settings(&names[..1 + usize::from(two % 2)], &[class(one), class(two)], now);
                    prop_assert_eq!(from.len(), register.classes().len());
                }
                1 if !held.is_empty() => {
                    let (id, _): (ClassId, RequestClass) = held.pop_front().expect("one");
                    register.release(id);
                }
                _ => {
                    let form = [RequestForm::Plain, RequestForm::Keyed, RequestForm::Unkeyed][usize::from(one)];
                    if let Some(id) = register.find([&b"a"[..], b"b"][usize::from(two % 2)], form, now) {
                        register.hold(id);
                        held.push_back((id, register.classes()[id.0].clone()));
                    }
                }
            }
            for (id, class) in &held {
                prop_assert_eq!(&register.classes()[id.0], class);
            }
            prop_assert!(register.classes().len() <= 40 + held.len());
        }
    }
}

proptest! {
    #![proptest_config(common::proptest_config(100))]
    /// Whatever is gathered, begun and dropped, the bytes booked stay within the budget and all come back.
    #[test]
    fn the_memory_for_large_bodies_is_never_exceeded_and_always_given_back(
        steps in proptest::collection::vec((0..4u8, 0..6usize, 1..100_000usize), 1..200),
    ) {
        const MOST: usize = 3 << 20;
        let budget = BodyMemory::new(MOST);
        let mut uploads: Vec<Upload> = Vec::new();
        for (what, which, bytes) in steps {
            let at = which % uploads.len().max(1);
            match what {
                0 if uploads.len() < 6 => uploads.push(Upload::new(budget.clone(), None)),
                1 if !uploads.is_empty() => drop(uploads.swap_remove(at)),
                2 if !uploads.is_empty() => {
                    if which % 2 == 0 {
                        uploads[at].finish();
                    }
                    uploads[at].start_sending();
                }
                _ if uploads.get(at).is_some_and(|up| up.is_buffering() && up.reserve_buffer()) => {
                    uploads[at].push(vec![0; bytes.min(32 * 1024)].into());
                }
                _ => {}
            }
            prop_assert!(budget.reserved() <= MOST && budget.reserved() <= uploads.len() * (MAX_BUFFERED + 64 * 1024));
        }
        uploads.clear();
        prop_assert_eq!(budget.reserved(), 0);
    }
}

#[test]
fn what_was_counted_outlives_its_class_until_newer_ones_need_the_room() {
    let stats = RequestStats::default();
    for n in 0..1000 {
        stats.set_class_names(&["zz".to_owned(), format!("c{n}")]);
        stats.record_relayed(ClassId(0));
        stats.record_relayed(ClassId(1));
    }
    let classes = stats.by_class();
    assert_eq!((classes.len(), classes["zz"].relayed, stats.relayed()), (256, 1000, 2000));
    assert!(classes.contains_key("c745") && !classes.contains_key("c744"), "those gone longest made room");
}

#[test]
fn what_the_head_said_of_a_large_body_stands_and_small_pieces_have_their_price() {
    let budget = BodyMemory::new(8 << 20);
    let (open, whole) = (Upload::new(budget.clone(), None), Upload::new(budget.clone(), None));
    whole.push(Bytes::from_static(b"abc"));
    whole.finish();
    for upload in [&open, &whole] {
        upload.start_sending();
    }
    assert_eq!((open.declared_length(), whole.declared_length()), (None, Some(3)));
    open.push(Bytes::from_static(b"abc"));
    open.finish();
    assert_eq!(
        open.declared_length(),
        None,
        "in chunks, as its head said, though its length is known by now"
    );
    let tiny = Upload::new(budget, None);
    let pieces = (0..MAX_BUFFERED)
        .take_while(|_| tiny.reserve_buffer())
        .map(|_| tiny.push(Bytes::from_static(b"x")))
        .count();
    assert!(pieces <= MAX_BUFFERED / 64, "{pieces} single bytes are held");
}

#[test]
fn a_module_is_not_told_of_second_copies_that_the_session_table_declines() {
    let mut value: serde_json::Value =
        serde_json::from_str(&common::config_json("127.0.0.1:0", "127.0.0.1:1", "null")).expect("JSON");
    value["settings"]["policy-limits"]["second-copies"] = json!(true);
    let config = Config::parse(&value.to_string(), |_| None).expect("good");
    assert!(!config.settings.limits.hedging, "the table has one dispatch of a session out at most");
}

#[test]
fn the_level_of_the_log_is_named_or_refused() {
    use cometcroft_sidecar::logging::parse_level;
    assert_eq!(parse_level(None).map(|level| level.to_string()), Ok("info".to_owned()));
    assert_eq!(parse_level(Some("debug")).map(|level| level.to_string()), Ok("debug".to_owned()));
    let refused = parse_level(Some("loud")).map_err(|error| error.to_string());
    assert_eq!(refused.unwrap_err(), "LB_LOG: \"loud\" is no level; off, error, warn, info, debug or trace");
}

/// However short the deadlines and whether or not a successor is there: requests are taken while new connections still come,
/// and connections end well before SIGKILL.
#[test]
fn connections_end_before_the_kill_however_short_deadlines_are() {
    for deadline in [100, 200, 290, 500, 700, 1500, 3000, 9000] {
        for shared in [false, true] {
            let now = Tokio.now();
            let longest = Duration::from_millis(deadline);
            let mut state = LifecycleState::new(now, longest, shared);
            state.begin_shutdown(now);
            let kill = now + longest.min(Duration::from_secs(3)) + Duration::from_millis(700);
            for place in [0.0, 0.5, 1.0] {
                let idle_until = state.idle_close_at(place).expect("it leaves");
                assert!(idle_until + Duration::from_millis(400) <= kill, "{deadline} ms, shared: {shared}");
            }
            let accepts_until = state.accepts_until().expect("it leaves");
            assert!(shared || accepts_until >= now + Duration::from_millis(400), "{deadline} ms");
            assert!(accepts_until + Duration::from_millis(400) <= kill, "{deadline} ms, shared: {shared}");
        }
    }
}
