//! The fleet's plan on real processes: what operators' words do to traffic, by what backend servers in fact received, and
//! what doors answer. Scripts of faults are played in `fleet.rs`.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{
    SidecarProcess, StubStats, send_raw, sidecar_addresses, start_discovery, start_endpoint,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Three keepers and one more, round these backend servers.
struct Fleet {
    /// Starts one, as it was started first.
    start: Box<dyn Fn(usize) -> SidecarProcess>,
    sidecars: Vec<SidecarProcess>,
    servers: Vec<(SocketAddr, Arc<StubStats>)>,
}

impl Fleet {
    fn start(rejects: bool, sections: &str) -> Fleet {
        let servers =
            vec![start_endpoint(Duration::ZERO, "", rejects), start_endpoint(Duration::ZERO, "", rejects)];
        let all: Vec<SocketAddr> = servers.iter().map(|(at, _)| *at).collect();
        let (places, discovery) = (sidecar_addresses(4), start_discovery(all.clone()));
        let keepers: Vec<String> = places[..3].iter().map(|place| format!("\"{}\"", place[2])).collect();
        let keepers = keepers.join(", ");
        let sections = format!(
            "seeds = [{keepers}]\nlongest_pause = \"1s\"\n[plan]\nkeepers = [{keepers}]\n{}",
            sections.replace("KEEPERS", &keepers)
        );
        let start = move |i: usize| {
            SidecarProcess::start_at(&format!("n{i}"), places[i], &all, discovery, false, &sections)
        };
        let sidecars = (0..4).map(&start).collect();
        Fleet { start: Box::new(start), sidecars, servers }
    }

    /// A call at a door: the status and what it answers.
    fn call(&self, door: usize, method: &str, call: &str, text: &str) -> (u16, Value) {
        let length = text.len();
        let head =
            format!("{method} /ops/plan{call} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{text}");
        let answer = send_raw(self.sidecars[door].ops, &head).unwrap_or_default();
        let status = answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        (status, serde_json::from_str(body).unwrap_or_default())
    }

    /// A word that has to be taken; its number.
    fn say(&self, door: usize, call: &str, text: &str) -> u64 {
        let (status, answer) = self.call(door, "PUT", call, text);
        assert_eq!((status, &answer["taken"]), (200, &Value::Bool(true)), "{call}: {answer}");
        answer["number"].as_u64().expect("a number")
    }

    /// Waits until all know one another, and founds the log.
    fn founded(self) -> Fleet {
        self.until("all doors answer", |fleet| (0..4).all(|door| fleet.call(door, "GET", "", "").0 == 200));
        let (status, answer) = self.call(3, "PUT", "/propose", "version = 1\n");
        assert_eq!((status, answer["code"].as_str()), (503, Some("log.not-founded")), "{answer}");
        self.until("it is founded", |fleet| {
            let (status, answer) = fleet.call(3, "PUT", "/refound", "");
            status == 200 || answer["code"] == "log.has-leader"
        });
        self.in_force(0);
        self
    }

    fn until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(began.elapsed() < Duration::from_secs(40), "{what}: {:?}", self.call(0, "GET", "", ""));
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until a revision is in force everywhere, as each door says itself.
    fn in_force(&self, revision: u64) {
        self.until("it is in force", |fleet| {
            let stands = |door: usize| {
                let (_, told) = fleet.call(door, "GET", "", "");
                told["revision"] == revision
                    && told["in_force_to"] == told["log"]["index"]
                    && told["in_force_to"] != 0
            };
            (0..4).all(stands)
        });
    }

    /// Requests at every sidecar, so many each; how many each server received of them.
    fn load(&self, each: usize) -> Vec<u64> {
        let count = |fleet: &Fleet| -> Vec<u64> {
            fleet.servers.iter().map(|(_, r)| r.get(|r| &r.requests)).collect()
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
fn a_drained_server_is_clear_when_nobody_sends_there_and_comes_back_with_its_permit() {
    let fleet = Fleet::start(false, "").founded();
    assert!(fleet.load(20).iter().all(|received| *received > 0), "both are used");
    let permit = fleet.say(1, "/drain?server=s0&reason=disk+full", "");
    fleet.until("it is clear", |fleet| {
        let (_, told) = fleet.call(3, "GET", "", "");
        told["permits"][0]["state"] == "clear" && told["permits"][0]["number"] == permit
    });
    // Clear was said: not one more request, at whichever sidecar.
    assert_eq!(fleet.load(20), vec![0, 80]);
    // A second one would leave nothing.
    let (status, refused) = fleet.call(2, "PUT", "/drain?server=s1", "");
    assert_eq!((status, refused["code"].as_str()), (409, Some("plan.too-little-left")), "{refused}");
    assert!(refused["do"].as_str().is_some_and(|text| text.contains("keep")), "{refused}");
    fleet.say(0, &format!("/return?permit={permit}"), "");
    fleet.until("it is used again", |fleet| fleet.load(5)[0] > 0);
}

#[test]
fn revisions_bind_roll_back_and_refuse_with_a_reason_and_a_remedy() {
    let fleet = Fleet::start(true, "").founded();
    // Both servers turn everything away: what is sent beyond one attempt a request is what the revision allows.
    let free: u64 = fleet.load(10).iter().sum();
    assert!(free > 45, "{free} attempts of 40 requests where three each are allowed");
    let one = "version = 1\nattempts = 1\n";
    let revision = fleet.say(3, "/propose?id=77&expects=0&reason=storm", one);
    fleet.in_force(revision);
    assert_eq!(fleet.load(10).iter().sum::<u64>(), 40, "one attempt each");
    // Said again under its id it is done once; what moved meanwhile is refused.
    assert_eq!(fleet.say(1, "/propose?id=77&expects=0", one), revision);
    let (status, moved) = fleet.call(0, "PUT", "/propose?expects=0", one);
    assert_eq!((status, moved["code"].as_str()), (409, Some("plan.moved")), "{moved}");
    let (status, gone) = fleet.call(0, "PUT", "/rollback?to=99", "");
    assert_eq!((status, gone["code"].as_str()), (409, Some("plan.not-kept")), "{gone}");
    let (status, bad) = fleet.call(0, "PUT", "/propose", "version = 1\nattemps = 2\n");
    assert_eq!((status, bad["code"].as_str()), (409, Some("plan.content")));
    assert!(bad["text"].as_str().is_some_and(|text| text.contains("did you mean \"attempts\"")), "{bad}");
    let (status, call) = fleet.call(0, "PUT", "/rollback", "");
    assert_eq!((status, call["code"].as_str()), (400, Some("door.call")), "{call}");
    let (status, told) =
        fleet.call(2, "PUT", "/propose", "version = 1\n[[server]]\nzone = \"a\"\nshare = 0.0\n");
    assert_eq!((status, told["code"].as_str()), (409, Some("plan.too-little-left")), "{told}");
    assert_eq!(fleet.call(0, "GET", "/rollback", "").0, 405);
    // A text far longer than a datagram goes the same way.
    let long = format!("version = 1\nattempts = 1\n{}", "# why it is so\n".repeat(1400));
    let revision = fleet.say(3, "/propose", &long);
    fleet.in_force(revision);
    let back = fleet.say(2, "/rollback?to=0&reason=storm+over", "");
    fleet.in_force(back);
    assert!(fleet.load(10).iter().sum::<u64>() > 45, "three again");
}

#[test]
fn the_retries_of_a_cluster_keep_to_its_policy() {
    let budget = "[budget]\nkeepers = [KEEPERS]\nlease = \"1s\"\n[[budget.whole]]\nuse = \"retries\"\nrate = 200\nburst = 200\n";
    let fleet = Fleet::start(true, budget).founded();
    let policy = "version = 1\n[[retries]]\nclass = \"plan\"\nshare = 1.0\nceiling = 4.0\nburst = 4\n";
    let revision = fleet.say(0, "/propose", policy);
    fleet.in_force(revision);
    let began = Instant::now();
    let (mut requests, mut received) = (0, 0);
    while began.elapsed() < Duration::from_secs(6) {
        received += fleet.load(5).iter().sum::<u64>();
        requests += 20;
    }
    let extra = received - requests;
    // The ceiling, the burst, and one that each sidecar may hold beside it.
    let most = 4.0 * began.elapsed().as_secs_f64() + 4.0 + 4.0;
    assert!(extra as f64 <= most, "{extra} retries of {requests} requests, {most} at most");
    let (_, told) = fleet.call(1, "GET", "", "");
    assert!(told["retries_barred"].as_u64().is_some_and(|barred| barred > 0), "{told}");
}

#[test]
fn planned_stops_wait_their_turn_until_the_one_before_is_back() {
    let mut fleet = Fleet::start(false, "").founded();
    let permits = [2, 3].map(|door| fleet.say(door, "/restart?leave=1&reason=new+version", ""));
    assert!(permits[0] < permits[1]);
    let leaves = |fleet: &mut Fleet, door: usize| {
        let began = Instant::now();
        while !fleet.sidecars[door].has_ended() {
            assert!(
                began.elapsed() < Duration::from_secs(40),
                "{door} leaves: {:?}",
                fleet.call(0, "GET", "", "")
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    leaves(&mut fleet, 2);
    // One is out: the other has to wait, and says for whom.
    std::thread::sleep(Duration::from_millis(1500));
    assert!(!fleet.sidecars[3].has_ended(), "two out at once");
    let (_, told) = fleet.call(0, "GET", "", "");
    let waits = told["permits"].as_array().and_then(|all| all.iter().find(|it| it["number"] == permits[1]));
    let waits = waits.and_then(|it| it["waits_for"].as_str()).unwrap_or_default().to_owned();
    assert!(waits.contains("n2"), "{told}");
    // The first is back, a keeper without memory: it is taken in anew, its permit goes back, and the next one leaves.
    fleet.sidecars[2] = (fleet.start)(2);
    leaves(&mut fleet, 3);
    fleet.until("the keeper has its seat again", |fleet| {
        fleet.call(2, "GET", "", "").1["log"]["seated"] == true
    });
}
