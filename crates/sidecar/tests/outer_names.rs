//! The names that operators' tools read: the counters page, and what the operators' door answers. Doors are those of real
//! processes, led through what brings every section of their answers.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_sidecar::counters::Counters;
use common::program::{SidecarProcess, send_raw, sidecar_addresses, start_discovery, start_endpoint};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[test]
fn the_counters_are_these() {
    let text = Counters::default().json();
    let keys: Vec<&str> = text.split('"').skip(1).step_by(2).collect();
    let expected = "frontend_connections accept_failures frontend_evicted frontend_mute repeated_ids bad_requests \
        budget_refused retries_barred connections_barred probes_barred sessions served denied failed withdrawn overdue \
        dispatches dispatch_ok dispatch_error dispatch_full dispatch_timeout dispatch_unconnected dispatch_reset \
        answers_spoilt dispatch_cancelled dispatch_moot dispatch_barred dispatch_unconfirmed dispatch_unread \
        bar_delay_longest_us dispatch_outlived backend_connections backend_reused backend_stale ops_calls probes \
        probe_failures discovery_calls discovery_silent discovery_failures discovery_stalled discovery_bad \
        discovery_older reloads reload_failures invariants_broken open_requests operations";
    assert_eq!(keys, expected.split_whitespace().collect::<Vec<_>>());
}

/// The paths of all keys; an element of an array has its array's path, a key that is a number is `N`.
fn paths(value: &Value, lead: &str, into: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let key = if key.parse::<u64>().is_ok() { "N" } else { key };
                let path = if lead.is_empty() { key.to_owned() } else { format!("{lead}.{key}") };
                paths(value, &path, into);
                into.insert(path);
            }
        }
        Value::Array(values) => values.iter().for_each(|value| paths(value, lead, into)),
        _ => {}
    }
}

fn assert_paths(answers: &[Value], expected: &str) {
    let mut found = BTreeSet::new();
    answers.iter().for_each(|answer| paths(answer, "", &mut found));
    let found: Vec<String> = found.into_iter().collect();
    let expected: Vec<&str> = expected.split_whitespace().collect();
    assert_eq!(found, expected, "\n{}\n", found.join(" "));
}

const PLAN: &str = "at_revision at_revision.N behind behind.at behind.heard_ms behind.name behind.state \
        current halted_by in_force_to invariants_broken keeper log log.counted \
        log.counted.broken log.counted.epochs log.counted.foreign log.counted.garbled \
        log.counted.snapshots log.counted.spoilt log.epoch log.founded log.index log.keepers \
        log.leader log.seated log.sum log.waiting permits permits.by permits.held_up_by \
        permits.name permits.number permits.overdue permits.server permits.since permits.state \
        permits.tier permits.waits_for permits.zone release release.phase release.revision \
        release.wave release.waved release.waves retries_barred revision revisions revisions.by \
        revisions.digest revisions.number revisions.of revisions.pinned revisions.reason \
        revisions.unix_ms storm unread_words";

const VIEW: &str = "at_work budgets budgets.answered budgets.beyond budgets.counted \
        budgets.counted.elections budgets.counted.foreign budgets.counted.format \
        budgets.counted.garbled budgets.counted.heard budgets.counted.lapses \
        budgets.counted.sent budgets.counted.sent_bytes budgets.crowded budgets.digest \
        budgets.divides budgets.holders budgets.keeper budgets.lapses_in_s budgets.term \
        budgets.waits budgets.wholes budgets.wholes.charged budgets.wholes.floor \
        budgets.wholes.name budgets.wholes.need budgets.wholes.out budgets.wholes.part \
        budgets.wholes.refused budgets.wholes.taken budgets.wholes.whole digest dropped \
        dropped.foreign dropped.format dropped.full dropped.garbled dropped.overlong \
        dropped.stale fleet generation incarnation isolated known late members members.address \
        members.for_ms members.formats members.generation members.heard_ms members.incarnation \
        members.name members.rank members.state members.suspected_by members.tier members.zone \
        name own_slowness reached refuted superseded traffic traffic.exchange_bytes \
        traffic.exchanges traffic.probes traffic.probes_failed traffic.received \
        traffic.received_bytes traffic.sent traffic.sent_bytes twins unheard zones zones.known \
        zones.reached zones.zone";

const STATS: &str = "bar_delay_longest_us cfg_accepted cfg_invalid late_sends_barred open_requests operations \
        operations.book operations.book.faulted operations.book.fulfilled \
        operations.book.relayed operations.book.throttled operations.pay operations.pay.faulted \
        operations.pay.fulfilled operations.pay.relayed operations.pay.throttled operations.plan \
        operations.plan.faulted operations.plan.fulfilled operations.plan.relayed \
        operations.plan.throttled out_of_rotation registry_age_ms registry_entries relayed";

/// Three voters of a plan and of a budget, and one sidecar more. The first door is asked.
struct Fleet {
    sidecars: Vec<Option<SidecarProcess>>,
    ops: Vec<SocketAddr>,
    /// What the first door has answered.
    plans: Vec<Value>,
    views: Vec<Value>,
}

impl Fleet {
    fn start() -> Fleet {
        let servers: Vec<SocketAddr> = (0..2).map(|_| start_endpoint(Duration::ZERO, "", false).0).collect();
        let (places, discovery) = (sidecar_addresses(4), start_discovery(servers.clone()));
        let voters: Vec<String> = places[..3].iter().map(|place| format!("\"{}\"", place[2])).collect();
        let voters = voters.join(", ");
        let sections = format!(
            "seeds = [{voters}]\nlongest_pause = \"1s\"\n[plan]\nkeepers = [{voters}]\n[budget]\nkeepers = [{voters}]\n\
             lease = \"1s\"\n[[budget.whole]]\nuse = \"retries\"\nrate = 200\nburst = 200\n"
        );
        let start = |(i, place): (usize, &[SocketAddr; 3])| {
            Some(SidecarProcess::start_at(&format!("n{i}"), *place, &servers, discovery, false, &sections))
        };
        let sidecars = places.iter().enumerate().map(start).collect();
        let ops = places.iter().map(|place| place[1]).collect();
        Fleet { sidecars, ops, plans: Vec::new(), views: Vec::new() }
    }

    fn call(&self, door: usize, method: &str, path: &str, text: &str) -> (u16, Value) {
        let length = text.len();
        let head =
            format!("{method} /ops/{path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{text}");
        let answer = send_raw(self.ops[door], &head).unwrap_or_default();
        let status = answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        (status, serde_json::from_str(body).unwrap_or_default())
    }

    /// A word that has to be taken; its number.
    fn say(&self, door: usize, call: &str, text: &str) -> u64 {
        let (status, answer) = self.call(door, "PUT", &format!("plan/{call}"), text);
        assert_eq!(status, 200, "{call}: {answer}");
        assert_paths(std::slice::from_ref(&answer), "index number taken");
        answer["number"].as_u64().expect("a number")
    }

    /// Asks the first door until this holds of the plan and of the view, for 40 s at most.
    fn until(&mut self, what: &str, holds: impl Fn(&Value, &Value) -> bool) {
        let until = Instant::now() + Duration::from_secs(40);
        loop {
            let ((_, plan), (_, view)) = (self.call(0, "GET", "plan", ""), self.call(0, "GET", "fleet", ""));
            let held = holds(&plan, &view);
            self.plans.extend((!plan.is_null()).then_some(plan.clone()));
            self.views.extend((!view.is_null()).then_some(view.clone()));
            if held {
                return;
            }
            assert!(Instant::now() < until, "{what}: {plan}, {view}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until a permit has this state.
    fn permit(&mut self, number: u64, state: &str) {
        self.until(&format!("permit {number} is {state}"), |plan, _| {
            let mut permits = plan["permits"].as_array().into_iter().flatten();
            permits.any(|permit| permit["number"] == number && permit["state"] == state)
        });
    }

    /// Waits until a member is in this state.
    fn member(&mut self, name: &str, state: &str) {
        self.until(&format!("{name} is {state}"), |_, view| {
            let mut members = view["members"].as_array().into_iter().flatten();
            members.any(|member| member["name"] == name && member["state"] == state)
        });
    }
}

/// All texts at a path of two keys, the first that of an array.
fn texts(answers: &[Value], array: &str, key: &str) -> Vec<String> {
    let rows = answers.iter().filter_map(|answer| answer[array].as_array()).flatten();
    let texts: BTreeSet<String> = rows.filter_map(|row| row[key].as_str().map(str::to_owned)).collect();
    texts.into_iter().collect()
}

#[test]
fn the_operators_door_answers_with_these_names() {
    let mut fleet = Fleet::start();
    fleet.until("all are there", |plan, view| plan.is_object() && view["reached"] == 4);
    let (status, refused) = fleet.call(0, "PUT", "plan/propose", "version = 1\n");
    assert_eq!((status, refused["code"].as_str()), (503, Some("log.not-founded")), "{refused}");
    assert_paths(&[refused], "code do text");
    let until = Instant::now() + Duration::from_secs(40);
    let founded = loop {
        let (status, answer) = fleet.call(0, "PUT", "plan/refound", "");
        if status == 200 {
            break answer;
        }
        assert!(Instant::now() < until, "{answer}");
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_paths(&[founded], "founded index");
    fleet.until("it is in force and led", |plan, _| {
        plan["in_force_to"] != 0
            && plan["log"]["leader"].is_string()
            && plan["behind"] == Value::Array(Vec::new())
    });

    // A server's drain is clear when all have confirmed it; one sidecar leaves in turn, and another has to wait.
    let drain = fleet.say(1, "drain?server=s0&reason=disk+full", "");
    fleet.permit(drain, "clear");
    fleet.say(0, &format!("return?permit={drain}"), "");
    let leaves = fleet.say(3, "restart?leave=1", "");
    fleet.permit(leaves, "out");
    let waits = fleet.say(0, "restart", "");
    fleet.permit(waits, "waiting");
    fleet.until("it is told for whom", |plan, _| {
        let mut permits = plan["permits"].as_array().into_iter().flatten();
        permits.any(|permit| permit["number"] == waits && permit["waits_for"].is_string())
    });
    fleet.member("n3", "left");
    fleet.say(0, &format!("return?permit={waits}"), "");
    fleet.say(0, &format!("return?permit={leaves}"), "");

    // One is killed: it is behind, then gone, and holds a drain up.
    fleet.sidecars[2] = None;
    let held_up = fleet.say(0, "drain?server=s0", "");
    fleet.member("n2", "suspect");
    fleet.member("n2", "gone");
    fleet.until("it may still serve", |plan, _| {
        let mut behind = plan["behind"].as_array().into_iter().flatten();
        behind.any(|row| row["name"] == "n2" && row["state"] == "gone, may still serve")
    });
    fleet.permit(held_up, "out");
    fleet.until("it is held up", |plan, _| {
        let mut permits = plan["permits"].as_array().into_iter().flatten();
        permits.any(|permit| permit["held_up_by"] == serde_json::json!(["n2"]))
    });
    fleet.say(0, &format!("force?permit={held_up}"), "");
    fleet.permit(held_up, "clear, forced");

    // A release can't end, forward or back, while one that it concerns is gone.
    fleet.say(0, "release?waves=1000", "version = 1\nattempts = 2\n");
    fleet.until("it goes on", |plan, _| plan["release"]["phase"] == "Going");
    fleet.say(0, "halt", "");
    fleet.until("it is halted", |plan, _| plan["halted_by"] == "n0");
    fleet.say(0, "back", "");
    fleet.until("it goes back", |plan, _| plan["release"]["phase"] == "Back");

    assert_eq!(texts(&fleet.plans, "permits", "state"), ["clear", "clear, forced", "out", "waiting"]);
    assert_eq!(texts(&fleet.plans, "behind", "state"), ["gone, may still serve", "there"]);
    assert_eq!(texts(&fleet.views, "members", "state"), ["alive", "gone", "left", "suspect"]);
    let phases: BTreeSet<&str> =
        fleet.plans.iter().filter_map(|plan| plan["release"]["phase"].as_str()).collect();
    assert_eq!(phases.into_iter().collect::<Vec<_>>(), ["Back", "Going"]);
    assert_paths(&fleet.plans, PLAN);
    assert_paths(&fleet.views, VIEW);
    assert_paths(&[fleet.call(0, "GET", "stats", "").1], STATS);
    assert_eq!(fleet.call(0, "GET", "readiness", "").1, serde_json::json!({"ready": true}));
    assert_eq!(fleet.call(0, "PUT", "drain/start", "").1, serde_json::json!({"draining": true}));
    assert_eq!(fleet.call(0, "PUT", "drain/stop", "").1, serde_json::json!({"draining": false}));
}
