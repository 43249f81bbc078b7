//! The plan on real processes: how operators' commands change the traffic that stub endpoints receive, and what the
//! operations endpoint responds. Scripts with faults are run by `fleet.rs`.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{
    SidecarProcess, StubStats, send_raw, sidecar_addresses, start_discovery, start_endpoint,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Three voters and one other sidecar, in front of two stub endpoints.
struct Fleet {
    /// Starts the sidecar of this number with its original configuration.
    start: Box<dyn Fn(usize) -> SidecarProcess>,
    sidecars: Vec<SidecarProcess>,
    endpoints: Vec<(SocketAddr, Arc<StubStats>)>,
}

impl Fleet {
    fn start(rejects: bool, sections: &str) -> Fleet {
        let endpoints =
            vec![start_endpoint(Duration::ZERO, "", rejects), start_endpoint(Duration::ZERO, "", rejects)];
        let all: Vec<SocketAddr> = endpoints.iter().map(|(at, _)| *at).collect();
        let (addresses, discovery) = (sidecar_addresses(4), start_discovery(all.clone()));
        let voters: Vec<String> =
            addresses[..3].iter().map(|address| format!("\"{}\"", address[2])).collect();
        let voters = voters.join(", ");
        let sections = format!(
            "seeds = [{voters}]\nlongest_pause = \"1s\"\n[plan]\nkeepers = [{voters}]\n{}",
            sections.replace("VOTERS", &voters)
        );
        let start = move |i: usize| {
            SidecarProcess::start_at(&format!("n{i}"), addresses[i], &all, discovery, false, &sections)
        };
        let sidecars = (0..4).map(&start).collect();
        Fleet { start: Box::new(start), sidecars, endpoints }
    }

    /// Calls the operations endpoint of a sidecar; returns status and body.
    fn call(&self, sidecar: usize, method: &str, call: &str, text: &str) -> (u16, Value) {
        let length = text.len();
        let head =
            format!("{method} /ops/plan{call} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{text}");
        let response = send_raw(self.sidecars[sidecar].ops, &head).unwrap_or_default();
        let status = response.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        let body = response.split("\r\n\r\n").nth(1).unwrap_or_default();
        (status, serde_json::from_str(body).unwrap_or_default())
    }

    /// Proposes a command that must be applied; returns its number.
    fn propose(&self, sidecar: usize, call: &str, text: &str) -> u64 {
        let (status, response) = self.call(sidecar, "PUT", call, text);
        assert_eq!((status, &response["taken"]), (200, &Value::Bool(true)), "{call}: {response}");
        response["number"].as_u64().expect("a number")
    }

    /// Waits until all sidecars respond, and bootstraps the log.
    fn bootstrapped(self) -> Fleet {
        self.wait_until("all operations endpoints respond", |fleet| {
            (0..4).all(|sidecar| fleet.call(sidecar, "GET", "", "").0 == 200)
        });
        let (status, response) = self.call(3, "PUT", "/propose", "version = 1\n");
        assert_eq!((status, response["code"].as_str()), (503, Some("log.not-founded")), "{response}");
        self.wait_until("the log is bootstrapped", |fleet| {
            let (status, response) = fleet.call(3, "PUT", "/refound", "");
            status == 200 || response["code"] == "log.has-leader"
        });
        self.wait_in_force(0);
        self
    }

    fn wait_until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let started = Instant::now();
        while !holds(self) {
            assert!(started.elapsed() < Duration::from_secs(40), "{what}: {:?}", self.call(0, "GET", "", ""));
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until each sidecar reports the revision as in force.
    fn wait_in_force(&self, revision: u64) {
        self.wait_until("the revision is in force", |fleet| {
            let is_in_force = |sidecar: usize| {
                let (_, plan) = fleet.call(sidecar, "GET", "", "");
                plan["revision"] == revision
                    && plan["in_force_to"] == plan["log"]["index"]
                    && plan["in_force_to"] != 0
            };
            (0..4).all(is_in_force)
        });
    }

    /// Sends `each` requests to every sidecar; returns how many attempts each endpoint received.
    fn load(&self, each: usize) -> Vec<u64> {
        let count = |fleet: &Fleet| -> Vec<u64> {
            fleet.endpoints.iter().map(|(_, r)| r.get(|r| &r.requests)).collect()
        };
        let before = count(self);
        for sidecar in &self.sidecars {
            for i in 0..each {
                sidecar.request(&format!("/plan/{i}"), None);
            }
        }
        count(self).iter().zip(&before).map(|(now, before)| now - before).collect()
    }
}

#[test]
fn a_drained_endpoint_is_clear_once_no_sidecar_sends_to_it_and_returns_with_its_permit() {
    let fleet = Fleet::start(false, "").bootstrapped();
    assert!(fleet.load(20).iter().all(|received| *received > 0), "both endpoints are used");
    let permit = fleet.propose(1, "/drain?server=s0&reason=disk+full", "");
    fleet.wait_until("the permit is clear", |fleet| {
        let (_, plan) = fleet.call(3, "GET", "", "");
        plan["permits"][0]["state"] == "clear" && plan["permits"][0]["number"] == permit
    });
    // Once the permit is clear, no sidecar sends a request there.
    assert_eq!(fleet.load(20), vec![0, 80]);
    // Draining the second endpoint would leave none.
    let (status, response) = fleet.call(2, "PUT", "/drain?server=s1", "");
    assert_eq!((status, response["code"].as_str()), (409, Some("plan.too-little-left")), "{response}");
    assert!(response["do"].as_str().is_some_and(|text| text.contains("keep")), "{response}");
    fleet.propose(0, &format!("/return?permit={permit}"), "");
    fleet.wait_until("the endpoint is used again", |fleet| fleet.load(5)[0] > 0);
}

#[test]
fn revisions_take_effect_and_roll_back_and_rejections_have_a_reason_and_a_remedy() {
    let fleet = Fleet::start(true, "").bootstrapped();
    // Both endpoints reject every request, so each request uses as many attempts as the revision allows.
    let unlimited: u64 = fleet.load(10).iter().sum();
    assert!(unlimited > 45, "{unlimited} attempts of 40 requests, three allowed for each");
    let revision_text = "version = 1\nattempts = 1\n";
    let revision = fleet.propose(3, "/propose?id=77&expects=0&reason=storm", revision_text);
    fleet.wait_in_force(revision);
    assert_eq!(fleet.load(10).iter().sum::<u64>(), 40, "one attempt for each request");
    // A command that is repeated with its id is applied once; one that expects an outdated revision is rejected.
    assert_eq!(fleet.propose(1, "/propose?id=77&expects=0", revision_text), revision);
    let (status, response) = fleet.call(0, "PUT", "/propose?expects=0", revision_text);
    assert_eq!((status, response["code"].as_str()), (409, Some("plan.moved")), "{response}");
    let (status, response) = fleet.call(0, "PUT", "/rollback?to=99", "");
    assert_eq!((status, response["code"].as_str()), (409, Some("plan.not-kept")), "{response}");
    let (status, response) = fleet.call(0, "PUT", "/propose", "version = 1\nattemps = 2\n");
    assert_eq!((status, response["code"].as_str()), (409, Some("plan.content")));
    assert!(
        response["text"].as_str().is_some_and(|text| text.contains("did you mean \"attempts\"")),
        "{response}"
    );
    let (status, response) = fleet.call(0, "PUT", "/rollback", "");
    assert_eq!((status, response["code"].as_str()), (400, Some("door.call")), "{response}");
    let (status, response) =
        fleet.call(2, "PUT", "/propose", "version = 1\n[[server]]\nzone = \"a\"\nshare = 0.0\n");
    assert_eq!((status, response["code"].as_str()), (409, Some("plan.too-little-left")), "{response}");
    assert_eq!(fleet.call(0, "GET", "/rollback", "").0, 405);
    // A text much longer than a datagram is replicated as well.
    let long = format!("version = 1\nattempts = 1\n{}", "# why it is so\n".repeat(1400));
    let revision = fleet.propose(3, "/propose", &long);
    fleet.wait_in_force(revision);
    let back = fleet.propose(2, "/rollback?to=0&reason=storm+over", "");
    fleet.wait_in_force(back);
    assert!(fleet.load(10).iter().sum::<u64>() > 45, "three attempts are allowed again");
}

#[test]
fn the_retries_of_the_fleet_keep_to_the_plans_rule() {
    let budget = "[budget]\nkeepers = [VOTERS]\nlease = \"1s\"\n[[budget.whole]]\nuse = \"retries\"\nrate = 200\nburst = 200\n";
    let fleet = Fleet::start(true, budget).bootstrapped();
    let policy = "version = 1\n[[retries]]\nclass = \"plan\"\nshare = 1.0\nceiling = 4.0\nburst = 4\n";
    let revision = fleet.propose(0, "/propose", policy);
    fleet.wait_in_force(revision);
    let started = Instant::now();
    let (mut requests, mut received) = (0, 0);
    while started.elapsed() < Duration::from_secs(6) {
        received += fleet.load(5).iter().sum::<u64>();
        requests += 20;
    }
    let extra = received - requests;
    // The ceiling, the burst, and one retry that each sidecar may hold in addition.
    let max = 4.0 * started.elapsed().as_secs_f64() + 4.0 + 4.0;
    assert!(extra as f64 <= max, "{extra} retries of {requests} requests, {max} at most");
    let (_, plan) = fleet.call(1, "GET", "", "");
    assert!(plan["retries_barred"].as_u64().is_some_and(|barred| barred > 0), "{plan}");
}

#[test]
fn a_planned_stop_waits_until_the_previously_stopped_sidecar_is_back() {
    let mut fleet = Fleet::start(false, "").bootstrapped();
    let permits = [2, 3].map(|sidecar| fleet.propose(sidecar, "/restart?leave=1&reason=new+version", ""));
    assert!(permits[0] < permits[1]);
    let wait_until_ended = |fleet: &mut Fleet, sidecar: usize| {
        let started = Instant::now();
        while !fleet.sidecars[sidecar].has_ended() {
            assert!(
                started.elapsed() < Duration::from_secs(40),
                "sidecar {sidecar} has not left: {:?}",
                fleet.call(0, "GET", "", "")
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    wait_until_ended(&mut fleet, 2);
    // One sidecar is out, so the other has to wait; its permit names the first.
    std::thread::sleep(Duration::from_millis(1500));
    assert!(!fleet.sidecars[3].has_ended(), "two sidecars are out at once");
    let (_, plan) = fleet.call(0, "GET", "", "");
    let waits = plan["permits"].as_array().and_then(|all| all.iter().find(|it| it["number"] == permits[1]));
    let waits = waits.and_then(|it| it["waits_for"].as_str()).unwrap_or_default().to_owned();
    assert!(waits.contains("n2"), "{plan}");
    // The first sidecar, a voter, is back with an empty log: it is readmitted, its permit is returned, and the next one
    // leaves.
    fleet.sidecars[2] = (fleet.start)(2);
    wait_until_ended(&mut fleet, 3);
    fleet
        .wait_until("the voter votes again", |fleet| fleet.call(2, "GET", "", "").1["log"]["seated"] == true);
}
