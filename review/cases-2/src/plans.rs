//! Cases on the fleet's plan.

use crate::http::{self, wait_for};
use crate::json::Json;
use crate::run::{Failure, Run, Sidecar, Verdict, quoted, seconds, settings, sleep_ms};
use crate::standins::{Clients, platform, wait_up};
use std::net::SocketAddr;
use std::time::Duration;

/// What disturbs a drain.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// One sidecar gets SIGTERM just before.
    Leaving,
    /// One sidecar is killed and started again once the server is clear.
    Restart,
}

/// Time that a first byte may have been on the way, as the rig's page allows on real processes.
const ON_THE_WAY: f64 = 0.3;

fn plan(at: SocketAddr) -> Json {
    http::json(at, "GET", "/ops/plan", "")
}

fn say(run: &Run, at: SocketAddr, path: &str, body: &str) -> (u16, Json) {
    let answer = http::call(at, "PUT", &format!("/ops/plan/{path}"), body);
    let (status, text) = answer.unwrap_or((0, String::new()));
    run.record.note(format!("said {path} at {at}: {status} {}", text.trim()));
    (status, Json::parse(&text).unwrap_or(Json::Null))
}

fn start_fleet(
    run: &Run,
    names: &[&str],
    discovery: SocketAddr,
    gossip: &str,
) -> Result<Vec<Sidecar>, Failure> {
    let mut sidecars = Vec::new();
    for (rank, name) in names.iter().enumerate() {
        let sidecar = Sidecar::new(run, name, 1 + rank as u8)?;
        sidecar.configure(discovery, "null", &settings(rank, names.len(), "subscribe", &[]))?;
        sidecars.push(sidecar);
    }
    let members: Vec<SocketAddr> = sidecars.iter().map(|sidecar| sidecar.member).collect();
    for sidecar in &mut sidecars {
        sidecar.operate(
            &members[..3],
            &format!("[plan]\nkeepers = [{}]\ngossip = \"{gossip}\"\n", quoted(&members[..3])),
        )?;
        sidecar.start()?;
    }
    for sidecar in &sidecars {
        wait_up(sidecar.listen)?;
    }
    sleep_ms(1000);
    let founded = wait_for(Duration::from_secs(20), || say(run, sidecars[0].ops, "refound", "").0 == 200);
    let led = founded
        && wait_for(Duration::from_secs(20), || {
            sidecars.iter().all(|s| plan(s.ops).get("log").get("index").number().unwrap_or(0.0) >= 1.0)
                && sidecars[..3].iter().all(|s| *plan(s.ops).get("log").get("leader") != Json::Null)
        });
    if led { Ok(sidecars) } else { Err("the plan has no leader in 40 s".into()) }
}

/// Whether a sidecar that has just been started is as the others: it is alive for the first one, and has the plan in force.
fn is_back(sidecars: &[Sidecar], back: &Sidecar) -> bool {
    let alive = http::json(sidecars[0].ops, "GET", "/ops/fleet", "")
        .get("members")
        .list()
        .iter()
        .any(|member| member.get("name").text() == back.name && member.get("state").text() == "alive");
    let keeper = plan(sidecars[0].ops);
    let own = plan(back.ops);
    let index = keeper.get("log").get("index").number();
    let behind = keeper.get("behind").list().iter().any(|b| b.get("name").text() == back.name);
    alive && index.is_some() && own.get("in_force_to").number() == index && !behind
}

/// Servers are drained by permit one after another: each next one waits until the permit before it is given back. While it waits, one
/// sidecar is told to end, or one is killed and started again once the server is clear. The rule: a server gets no request after a
/// door has said that it is clear.
pub fn clear(run: &Run, trouble: Trouble) -> Result<Verdict, Failure> {
    let (seen, listed, _, discovery) = platform(run, 4, Duration::from_millis(5))?;
    // The operator's file takes 50 ms to 10 s here.
    let gossip = if trouble == Trouble::Leaving { "1s" } else { "500ms" };
    let mut sidecars = start_fleet(run, &["a", "b", "c", "d", "e"], discovery, gossip)?;
    let load = |sidecar: &Sidecar| Clients::start(sidecar.listen, 8, Duration::from_millis(20), "");
    let mut clients: Vec<Clients> = sidecars.iter().map(load).collect();
    sleep_ms(1500);
    let door = sidecars[0].ops;
    let state = |at: SocketAddr, permit: f64| -> String {
        let plan = plan(at);
        let own =
            plan.get("permits").list().iter().find(|p| p.get("number").number() == Some(permit)).cloned();
        own.map_or(String::new(), |own| own.get("state").text().to_owned())
    };
    let drain = |server: &str| -> Result<f64, Failure> {
        let (status, answer) = say(run, door, &format!("drain?server={server}"), "");
        let permit = answer.get("number").number().filter(|_| status == 200);
        permit.ok_or(format!("the drain of {server} was not taken: {status}"))
    };
    let mut before = drain(&listed[0].name)?;
    if !wait_for(Duration::from_secs(12), || state(door, before).starts_with("clear")) {
        return Err("the first server is not clear in 12 s".into());
    }
    let (mut rounds, mut broken) = (0, Vec::new());
    while seconds() < 95.0 && rounds < 16 {
        rounds += 1;
        // d and e, which are no keepers, in turn.
        let which = 3 + rounds % 2;
        let number = 1 + rounds % listed.len();
        let server = listed[number - 1].name.clone();
        let permit = drain(&server)?;
        sleep_ms(700);
        if run.trouble && trouble == Trouble::Leaving {
            sidecars[which].signal("TERM");
            sleep_ms(900);
        }
        say(run, door, &format!("return?permit={before}"), "");
        before = permit;
        let mut clear_at = None;
        let until = seconds() + 12.0;
        while clear_at.is_none() && seconds() < until {
            if sidecars[..3].iter().any(|s| state(s.ops, permit).starts_with("clear")) {
                clear_at = Some(seconds());
            } else {
                sleep_ms(10);
            }
        }
        let Some(clear_at) = clear_at else { return Err(format!("{server} is not clear in 12 s")) };
        run.record.note(format!("round {rounds}: a door says that {server} is clear"));
        if run.trouble && trouble == Trouble::Restart {
            clients[which].stop();
            sleep_ms(500);
            sidecars[which].signal("KILL");
            sidecars[which].wait_end(Duration::from_secs(2));
            sidecars[which].start()?;
            wait_up(sidecars[which].listen)?;
            run.record.note(format!("{} is ready", sidecars[which].name));
            clients[which] = load(&sidecars[which]);
        }
        sleep_ms(1200);
        let clear_until = seconds();
        let still = sidecars[..3].iter().all(|s| state(s.ops, permit).starts_with("clear"));
        let after: Vec<_> = seen
            .arrivals()
            .into_iter()
            .filter(|a| a.endpoint == number && a.at > clear_at && a.at < clear_until)
            .collect();
        let late: Vec<_> = after.iter().filter(|a| a.at > clear_at + ON_THE_WAY).collect();
        run.record.note(format!(
            "round {rounds}: {server} got {} requests after it was clear, {} of them over {ON_THE_WAY} s after; still clear: {still}",
            after.len(),
            late.len()
        ));
        for arrival in late.iter().take(3) {
            run.record.note(format!(
                "  {server} got {} {:.3} s after it was clear",
                arrival.id,
                arrival.at - clear_at
            ));
        }
        if let (Some(last), true) = (late.last(), still) {
            broken.push(format!(
                "{server} got {} requests up to {:.2} s after it was clear",
                late.len(),
                last.at - clear_at
            ));
        }
        if run.trouble && trouble == Trouble::Leaving {
            clients[which].stop();
            sidecars[which].wait_end(Duration::from_millis(3700));
            sidecars[which].start()?;
            wait_up(sidecars[which].listen)?;
            clients[which] = load(&sidecars[which]);
        }
        if !wait_for(Duration::from_secs(15), || is_back(&sidecars, &sidecars[which])) {
            return Err(format!("{} is not as the others in 15 s", sidecars[which].name));
        }
    }
    run.record.note(format!("{} of {rounds} rounds broke the rule", broken.len()));
    Ok(match broken.first() {
        Some(first) => Verdict::Broken(format!("{} of {rounds} rounds; the first: {first}", broken.len())),
        None => Verdict::Held,
    })
}

/// A word is said again with the same id after many other words.
pub fn same_id(run: &Run) -> Result<Verdict, Failure> {
    let (_, _, _, discovery) = platform(run, 4, Duration::from_millis(5))?;
    let sidecars = start_fleet(run, &["a", "b", "c"], discovery, "500ms")?;
    let word = "propose?id=7101&reason=a-trial";
    let text = "version = 1\nattempts = 1\n";
    let (status, first) = say(run, sidecars[0].ops, word, text);
    if status != 200 {
        return Err("the word was not taken".into());
    }
    if !run.trouble {
        // Said again at once: the answer is that of the first.
        let (_, again) = say(run, sidecars[1].ops, word, text);
        run.record.note(format!("the same answer: {}", again == first));
    }
    let (status, second) =
        say(run, sidecars[1].ops, "propose?reason=the-end-of-the-trial", "version = 1\nattempts = 3\n");
    if status != 200 {
        return Err("the second word was not taken".into());
    }
    // Reads of operators and their tools, at all doors.
    let reads = 600;
    let doors: Vec<SocketAddr> = sidecars.iter().map(|s| s.ops).collect();
    let threads: Vec<_> = (0..6)
        .map(|i| {
            let door = doors[i % doors.len()];
            std::thread::spawn(move || {
                (0..reads / 6)
                    .filter(|_| matches!(http::call(door, "PUT", "/ops/plan/read", ""), Ok((200, _))))
                    .count()
            })
        })
        .collect();
    let taken: usize = threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum();
    run.record.note(format!("{taken} of {reads} reads were taken"));
    let before = plan(sidecars[0].ops).get("current").number();
    if run.trouble {
        let (status, again) = say(run, sidecars[2].ops, word, text);
        run.record.note(format!("said again: {status}, first {first:?}, again {again:?}"));
    }
    sleep_ms(1000);
    let after = plan(sidecars[0].ops).get("current").number();
    run.record.note(format!(
        "current revision before {before:?}, after {after:?}; the second word made {:?}",
        second.get("number")
    ));
    Ok(if after == second.get("number").number() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "a word said twice with one id was done twice: revision {after:?} is in force in place of {before:?}"
        ))
    })
}
