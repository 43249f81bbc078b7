//! A balancer of a large fleet that has learned of all its backend servers, and calls through it.

use cometcroft::*;
use std::time::Duration;

/// Lengths of the list: one service, five, 21, and all backend servers of the target fleet.
pub const ROWS: [u32; 4] = [28, 130, 600, 3600];
const ZONES: usize = 17;
const INSTANCES: u32 = 3600;
const SEED: u64 = 11;
/// Calls a second of one sidecar at the target.
const CALLS_PER_SECOND: u32 = 156;
const LATENCY: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(2);

/// A balancer and its clock, which moves only from call to call.
pub struct Caller {
    balancer: Balancer,
    now: Time,
    next_request: u64,
    actions: Vec<Action>,
}

impl Caller {
    /// A balancer with this list, after two calls for each row of it.
    pub fn warm(rows: u32) -> Caller {
        let settings = Settings { instances: INSTANCES, zones: ZONES, ..Settings::example() };
        let balancer = Balancer::new(settings, SEED).expect("settings are sound");
        let now = Duration::from_secs(100);
        let mut caller = Caller { balancer, now, next_request: 0, actions: Vec::new() };
        caller.handle(Event::Start);
        let entries = (0..rows).map(entry).collect();
        caller.handle(Event::EndpointList { scope: ListScope::Complete, entries });
        caller.refresh();
        for _ in 0..2 * rows {
            caller.call();
        }
        caller.refresh();
        caller
    }

    /// Takes a new snapshot of the list.
    pub fn refresh(&mut self) {
        self.now += Duration::from_millis(100);
        self.handle(Event::Timer(Timer::Refresh));
    }

    /// One request: its pick, and its outcome with a report of load. True if it was sent and served.
    pub fn call(&mut self) -> bool {
        self.now += Duration::from_secs(1) / CALLS_PER_SECOND;
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let (class, tenant) = (ClassId(0), None);
        self.handle(Event::Request {
            request,
            class,
            tenant,
            time_left: DEADLINE,
            work_hint: None,
            client_retry: false,
        });
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let Some(endpoint) = sent else { return false };
        self.now += LATENCY;
        let inflight = Some((request.0 % 5) as f64);
        self.handle(Event::Outcome {
            request,
            attempt: 0,
            endpoint,
            finished: true,
            outcome: Outcome::Ok,
            latency: LATENCY,
            report: Some(LoadReport { inflight, queue: Some(0.0), ..LoadReport::default() }),
        });
        true
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }
}

fn entry(id: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(id),
        key: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        cell: CellId(0),
        zone: ZoneId(id as usize % ZONES),
        started: None,
        state: EndpointState::Ready,
        weight: 1.0,
    }
}
