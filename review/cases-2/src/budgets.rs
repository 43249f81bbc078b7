//! Cases on the limits that a fleet shares.

use crate::http::{self, Wire, wait_for};
use crate::json::Json;
use crate::run::{Failure, Run, Sidecar, Verdict, quoted, seconds, settings, sleep_ms};
use crate::standins::{Clients, LONG_BYTES, Seen, new_id, platform, wait_up};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const TENANT: &str = "kiosks";
/// Of the rates: at least the number of sidecars, as the page wants it.
const BURST: f64 = 20.0;

fn budgets(sidecar: &Sidecar) -> Json {
    http::json(sidecar.ops, "GET", "/ops/fleet", "").get("budgets").clone()
}

/// The first whole's share at a sidecar.
fn part(sidecar: &Sidecar) -> f64 {
    budgets(sidecar).get("wholes").list().first().and_then(|whole| whole.get("part").number()).unwrap_or(0.0)
}

/// Notes what each door tells, and returns the names of those that divide.
fn look(run: &Run, sidecars: &[Sidecar]) -> Vec<String> {
    let mut dividers = Vec::new();
    let mut line = String::new();
    for sidecar in sidecars {
        let budgets = budgets(sidecar);
        let whole = budgets.get("wholes").list().first().cloned().unwrap_or(Json::Null);
        let divides = budgets.get("divides").is_true();
        if divides {
            dividers.push(sidecar.name.clone());
        }
        line += &format!(
            " {}: part {:.1} of {:.0}{}{};",
            sidecar.name,
            whole.get("part").number().unwrap_or(-1.0),
            whole.get("whole").number().unwrap_or(-1.0),
            if divides { ", divides" } else { "" },
            if budgets.get("waits").is_true() { ", waits" } else { "" },
        );
    }
    run.record.note(format!("doors:{line}"));
    dividers
}

/// The rule: in any window of w seconds the endpoints get no more than rate x w + burst. Allowed on top, as the rig's page
/// does on real processes: a second's whole and two requests.
fn over_admitted(times: &[f64], rate: f64, burst: f64) -> Option<String> {
    let slack = rate + 2.0;
    let mut worst: Option<(f64, String)> = None;
    for (i, &from) in times.iter().enumerate() {
        for (j, &to) in times.iter().enumerate().skip(i) {
            let (got, window) = ((j - i + 1) as f64, to - from);
            let most = rate * window + burst + slack;
            if got > most && worst.as_ref().is_none_or(|(excess, _)| got - most > *excess) {
                let text = format!(
                    "{got} requests in {window:.1} s (from {from:.1} to {to:.1}); rate {rate} and burst {burst} allow {:.0}, \
                     with a second's whole and two requests {most:.0}",
                    rate * window + burst
                );
                worst = Some((got - most, text));
            }
        }
    }
    worst.map(|(_, text)| text)
}

fn arrival_times(seen: &Seen) -> Vec<f64> {
    let mut times: Vec<f64> = seen.arrivals().iter().map(|arrival| arrival.at).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn note_rates(run: &Run, times: &[f64], upto: f64) {
    let line: Vec<String> = (0..upto as usize)
        .map(|second| times.iter().filter(|at| (**at as usize) == second).count().to_string())
        .collect();
    run.record.note(format!("requests that the endpoints got, second by second: {}", line.join(" ")));
}

fn rate_file(keepers: &[SocketAddr], lease: &str, rate: f64) -> String {
    format!(
        "[budget]\nkeepers = [{}]\nlease = \"{lease}\"\n[[budget.whole]]\nuse = \"tenant\"\ntenant = \"{TENANT}\"\nrate = {rate:.1}\nburst = {BURST:.1}\n",
        quoted(keepers)
    )
}

fn start_fleet(run: &Run, names: &[&str], discovery: SocketAddr) -> Result<Vec<Sidecar>, Failure> {
    let mut sidecars = Vec::new();
    for (rank, name) in names.iter().enumerate() {
        let sidecar = Sidecar::new(run, name, 1 + rank as u8)?;
        sidecar.configure(discovery, "null", &settings(rank, names.len(), "subscribe", &[TENANT]))?;
        sidecars.push(sidecar);
    }
    Ok(sidecars)
}

fn restart(sidecar: &mut Sidecar) -> Result<(), Failure> {
    sidecar.signal("TERM");
    sidecar.wait_end(Duration::from_millis(3700));
    sidecar.start()?;
    wait_up(sidecar.listen)
}

/// A keeper is replaced: the new file names D in place of C, and the fleet is restarted one after another. In the middle of that
/// A and C have the former file, B and D the new one.
pub fn two_dividers(run: &Run) -> Result<Verdict, Failure> {
    const RATE: f64 = 20.0;
    let (seen, _, _, discovery) = platform(run, 3, Duration::from_millis(5))?;
    let mut sidecars = start_fleet(run, &["a", "b", "c", "d"], discovery)?;
    let members: Vec<SocketAddr> = sidecars.iter().map(|sidecar| sidecar.member).collect();
    let former = [members[0], members[1], members[2]];
    let new = [members[0], members[1], members[3]];
    for sidecar in &mut sidecars {
        sidecar.operate(&members[..2], &rate_file(&former, "4s", RATE))?;
        sidecar.start()?;
    }
    for sidecar in &sidecars {
        wait_up(sidecar.listen)?;
    }
    let clients: Vec<Clients> =
        sidecars.iter().map(|s| Clients::start(s.listen, 6, Duration::from_millis(150), TENANT)).collect();
    if !wait_for(Duration::from_secs(25), || sidecars.iter().map(part).sum::<f64>() > 0.8 * RATE) {
        return Err("the parts do not sum to most of the whole in 25 s".into());
    }
    look(run, &sidecars);
    sleep_ms(5000);
    look(run, &sidecars);
    // B, then D, is restarted with the file that names D in place of C; without trouble with the file that it had.
    for i in [1, 3] {
        if run.trouble {
            sidecars[i].operate(&members[..2], &rate_file(&new, "4s", RATE))?;
            run.record.note(format!("{} has the new file from its next start", sidecars[i].name));
        }
        restart(&mut sidecars[i])?;
    }
    let mut both = 0;
    let until = seconds() + 25.0;
    while seconds() < until {
        let dividers = look(run, &sidecars);
        both += u32::from(dividers.len() > 1);
        sleep_ms(1000);
    }
    for client in &clients {
        run.record.note(format!("clients: {}", client.answers.text()));
        client.stop();
    }
    let times = arrival_times(&seen);
    note_rates(run, &times, seconds());
    run.record.note(format!("looks at which two sidecars divided: {both}"));
    Ok(match over_admitted(&times, RATE, BURST) {
        Some(what) => Verdict::Broken(format!("{what}; two dividers in {both} looks")),
        None => Verdict::Held,
    })
}

/// The new file has a shorter lease, and the keepers are restarted one after another.
pub fn shorter_lease(run: &Run) -> Result<Verdict, Failure> {
    const RATE: f64 = 40.0;
    let (seen, _, _, discovery) = platform(run, 3, Duration::from_millis(5))?;
    let mut sidecars = start_fleet(run, &["a", "b", "c", "d", "e"], discovery)?;
    let members: Vec<SocketAddr> = sidecars.iter().map(|sidecar| sidecar.member).collect();
    let keepers = [members[0], members[1], members[2]];
    for sidecar in &mut sidecars {
        sidecar.operate(&members[..2], &rate_file(&keepers, "10s", RATE))?;
        sidecar.start()?;
    }
    for sidecar in &sidecars {
        wait_up(sidecar.listen)?;
    }
    let clients: Vec<Clients> =
        sidecars.iter().map(|s| Clients::start(s.listen, 8, Duration::from_millis(120), TENANT)).collect();
    if !wait_for(Duration::from_secs(40), || sidecars.iter().map(part).sum::<f64>() > 0.8 * RATE) {
        return Err("the parts do not sum to most of the whole in 40 s".into());
    }
    look(run, &sidecars);
    sleep_ms(4000);
    look(run, &sidecars);
    let lease = if run.trouble { "1s" } else { "10s" };
    for i in [0, 1] {
        sidecars[i].operate(&members[..2], &rate_file(&keepers, lease, RATE))?;
        run.record
            .note(format!("{} has the file with a lease of {lease} from its next start", sidecars[i].name));
        restart(&mut sidecars[i])?;
        look(run, &sidecars);
        if i == 0 {
            // Until the keepers that have the former file have a divider again, and have granted.
            sleep_ms(8000);
            look(run, &sidecars);
        }
    }
    let mut both = 0;
    let until = seconds() + 20.0;
    while seconds() < until {
        let dividers = look(run, &sidecars);
        both += u32::from(dividers.len() > 1);
        sleep_ms(500);
    }
    for client in &clients {
        run.record.note(format!("clients: {}", client.answers.text()));
        client.stop();
    }
    let times = arrival_times(&seen);
    note_rates(run, &times, seconds());
    run.record.note(format!("looks at which two sidecars divided: {both}"));
    Ok(match over_admitted(&times, RATE, BURST) {
        Some(what) => Verdict::Broken(format!("{what}; two dividers in {both} looks")),
        None => Verdict::Held,
    })
}

/// One client that asks for a long answer, and again after a while where it is refused.
fn long_client(run: &Run, to: SocketAddr, name: String, stop: Arc<AtomicBool>, held: Arc<AtomicBool>) {
    let record = run.record.clone();
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let id = new_id();
            let ask = || -> std::io::Result<u16> {
                let mut wire = Wire::connect(to, Duration::from_secs(60))?;
                wire.send(&format!(
                    "GET /plan-trip/long HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Budget: 2900m\r\n\r\n"
                ))?;
                let (head, length) = wire.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
                if head.status() == 200 {
                    held.store(true, Ordering::SeqCst);
                    record.note(format!("client {name}: 200 and the beginning of {length} bytes for {id}"));
                    wire.discard(length)?;
                    record.note(format!("client {name}: all {LONG_BYTES} bytes for {id}"));
                }
                Ok(head.status())
            };
            match ask() {
                Ok(200) => return,
                Ok(_) => {}
                Err(error) => record.note(format!("client {name}: {error} for {id}")),
            }
            sleep_ms(250);
        }
    });
}

/// A sidecar that holds the whole of a level in long answers is paused for longer than its lease and the longest use.
pub fn level(run: &Run) -> Result<Verdict, Failure> {
    const LEVEL: u64 = 6;
    /// As the rig's page allows on real processes: who counts is not who admits.
    const TOLERANCE: u64 = 2;
    let (seen, _, _, discovery) = platform(run, 3, Duration::from_millis(5))?;
    let mut sidecars = start_fleet(run, &["a", "b", "c", "d"], discovery)?;
    let members: Vec<SocketAddr> = sidecars.iter().map(|sidecar| sidecar.member).collect();
    let file = format!(
        "[budget]\nkeepers = [{}]\nlease = \"4s\"\n[[budget.whole]]\nuse = \"open\"\nlevel = {LEVEL}\n",
        quoted(&members[..3])
    );
    for sidecar in &mut sidecars {
        sidecar.operate(&members[..2], &file)?;
        sidecar.start()?;
    }
    for sidecar in &sidecars {
        wait_up(sidecar.listen)?;
    }
    let stop = Arc::<AtomicBool>::default();
    let clients = |to: SocketAddr, name: &str| -> Vec<Arc<AtomicBool>> {
        (1..=LEVEL)
            .map(|i| {
                let held = Arc::<AtomicBool>::default();
                long_client(run, to, format!("{name}{i}"), stop.clone(), held.clone());
                held
            })
            .collect()
    };
    let served =
        |held: &[Arc<AtomicBool>]| held.iter().filter(|held| held.load(Ordering::SeqCst)).count() as u64;
    let first = clients(sidecars[3].listen, "d");
    if !wait_for(Duration::from_secs(30), || served(&first) == LEVEL) {
        return Err(format!("only {} of {LEVEL} long answers have begun at d in 30 s", served(&first)));
    }
    look(run, &sidecars);
    sleep_ms(1500);
    if run.trouble {
        sidecars[3].signal("STOP");
    }
    let second = clients(sidecars[1].listen, "b");
    for _ in 0..11 {
        sleep_ms(1000);
        look(run, &sidecars[..3]);
    }
    if run.trouble {
        sidecars[3].signal("CONT");
    }
    for _ in 0..4 {
        sleep_ms(1000);
        look(run, &sidecars);
        run.record.note(format!("open at the endpoints: {}, at most {}", seen.open_now(), seen.open_peak()));
    }
    stop.store(true, Ordering::Relaxed);
    let (now, peak) = (seen.open_now(), seen.open_peak());
    run.record.note(format!(
        "long answers begun: {} at d, {} at b; open now {now}, at most {peak}; the whole is {LEVEL}",
        served(&first),
        served(&second)
    ));
    Ok(if peak > LEVEL + TOLERANCE {
        Verdict::Broken(format!("{peak} requests were open at once, the whole is {LEVEL}"))
    } else {
        Verdict::Held
    })
}
