//! A sidecar of a large fleet that has requests served by all endpoints of its list.

use cometcroft::*;
use std::time::Duration;

/// Lengths of the endpoint list: one service, five, 21, and all endpoints of the target fleet.
pub const LIST_LENGTHS: [u32; 4] = [28, 130, 600, 3600];
const ZONES: usize = 17;
const INSTANCES: u32 = 3600;
const SEED: u64 = 11;
/// Requests per second of one sidecar in the target fleet.
const REQUESTS_PER_SECOND: u32 = 156;
const LATENCY: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(2);

/// A balancer and its clock, which advances only with requests and refreshes.
pub struct Sidecar {
    balancer: Balancer,
    now: Time,
    next_request: u64,
    actions: Vec<Action>,
}

impl Sidecar {
    /// Creates a balancer with a list of this length and plays two requests per endpoint.
    pub fn warm(endpoints: u32) -> Sidecar {
        let settings = Settings { instances: INSTANCES, zones: ZONES, ..Settings::example() };
        let balancer = Balancer::new(settings, SEED).expect("valid settings");
        let now = Duration::from_secs(100);
        let mut sidecar = Sidecar { balancer, now, next_request: 0, actions: Vec::new() };
        sidecar.handle(Event::Start);
        let entries = (0..endpoints).map(entry).collect();
        sidecar.handle(Event::EndpointList { scope: ListScope::Complete, entries });
        sidecar.refresh();
        for _ in 0..2 * endpoints {
            sidecar.request();
        }
        sidecar.refresh();
        sidecar
    }

    /// Refreshes the snapshot of the endpoints.
    pub fn refresh(&mut self) {
        self.now += Duration::from_millis(100);
        self.handle(Event::Timer(Timer::Refresh));
    }

    /// Plays one request: its attempt and the outcome with a load report. Returns true if it was sent and served.
    pub fn request(&mut self) -> bool {
        self.now += Duration::from_secs(1) / REQUESTS_PER_SECOND;
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
