//! A case on lists that are pushed to an agent.

use crate::run::{Failure, Run, Sidecar, Verdict, seconds, settings, sleep_ms};
use crate::standins::{Clients, platform, wait_up};
use std::time::Duration;

/// The grace of the settings, and 50 ms as on sockets.
const GRACE: f64 = 0.3;

/// A sidecar is restarted while discovery is down, so that its agent is silent. The agent has been sent a drain before.
pub fn pushed(run: &Run) -> Result<Verdict, Failure> {
    let (seen, _, agent, at) = platform(run, 4, Duration::from_millis(5))?;
    let mut sidecar = Sidecar::new(run, "n1", 1)?;
    let settings = settings(0, 1, "automatic", &[]);
    sidecar.configure(at, &agent.whole(), &settings)?;
    sidecar.start()?;
    wait_up(sidecar.listen)?;
    let clients = Clients::start(sidecar.listen, 6, Duration::from_millis(30), "");
    sleep_ms(3000);
    // What this sidecar last had is given to the next process, as it was.
    let known = agent.whole();
    run.record.note(format!("clients: {}", clients.answers.text()));
    clients.stop();
    sidecar.signal("KILL");
    sidecar.wait_end(Duration::from_secs(2));
    agent.set_status("s-2", "draining");
    let told = seconds();
    run.record.note("the agent has been sent that s-2 drains");
    sleep_ms(1000);
    if run.trouble {
        agent.set_silent(true);
        run.record.note("discovery is down: the agent is silent");
    }
    sidecar.configure(at, &known, &settings)?;
    sidecar.start()?;
    wait_up(sidecar.listen)?;
    run.record.note("the new process is ready");
    let clients = Clients::start(sidecar.listen, 6, Duration::from_millis(30), "");
    sleep_ms(7000);
    if run.trouble {
        agent.set_silent(false);
        run.record.note("discovery is back");
    }
    sleep_ms(2000);
    run.record.note(format!("clients: {}; lists answered {}", clients.answers.text(), agent.answered()));
    clients.stop();
    let late: Vec<f64> = seen
        .arrivals()
        .iter()
        .filter(|a| a.endpoint == 2 && a.at > told + GRACE)
        .map(|a| a.at - told)
        .collect();
    run.record.note(format!(
        "s-2 got {} requests over {GRACE} s after the agent had its drain: {late:.2?}",
        late.len()
    ));
    Ok(match (late.first(), late.last()) {
        (Some(first), Some(last)) => Verdict::Broken(format!(
            "s-2 got {} requests {first:.2} to {last:.2} s after the agent had been sent that it drains",
            late.len()
        )),
        _ => Verdict::Held,
    })
}
