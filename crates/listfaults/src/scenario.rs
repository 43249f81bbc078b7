//! What happens to the fleet of endpoints and to discovery, drawn by seed.

use crate::ids::{EndpointId, Time};
use crate::roster::Status;
use crate::world::{Outage, World};
use fastrand::Rng;
use std::time::Duration;

/// Time between two events, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2000;
/// The largest share of the fleet that one event drains.
const LARGEST_DRAIN: f64 = 0.25;
/// At least this share of the fleet stays up.
const LEAST_UP: f64 = 0.6;
const OUTAGE_MS: std::ops::Range<u64> = 500..5000;
/// Outages begin at least so far apart.
const OUTAGE_INTERVAL: Duration = Duration::from_secs(15);

/// One event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// This share of the fleet begins to drain.
    Drain(f64),
    /// This share of what drains is up again.
    Reopen(f64),
    /// This share of what drains is removed.
    Remove(f64),
    /// This share of the fleet is removed without a drain.
    RemoveAtOnce(f64),
    /// This share of what is removed has started again.
    Restart(f64),
    /// Discovery goes down.
    Down(Outage),
    /// Discovery is back.
    Back,
}

/// An event and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timed {
    /// Time since the start of the scenario.
    pub at: Time,
    /// What happens.
    pub event: Event,
}

/// Draws the events of a run of this length.
pub fn draw(seed: u64, length: Duration) -> Vec<Timed> {
    let mut rng = Rng::with_seed(seed);
    let mut events = vec![Timed { at: Duration::from_millis(300), event: Event::Drain(LARGEST_DRAIN) }];
    let mut at = Duration::from_millis(300);
    let mut last_outage = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.u64(PAUSE_MS));
        if at >= length {
            break;
        }
        let outage_allowed = at >= last_outage + OUTAGE_INTERVAL;
        if outage_allowed && rng.f64() < 0.3 {
            last_outage = at;
            let kind = if rng.bool() { Outage::Refuses } else { Outage::Resets };
            let back = at + Duration::from_millis(rng.u64(OUTAGE_MS));
            events.extend([Timed { at, event: Event::Down(kind) }, Timed { at: back, event: Event::Back }]);
        } else {
            events.push(Timed { at, event: draw_change(&mut rng) });
        }
    }
    events.sort_by_key(|timed| timed.at);
    events
}

fn draw_change(rng: &mut Rng) -> Event {
    // As likely small as large, on a scale of powers.
    let share = LARGEST_DRAIN * 10f64.powf(-3.0 * rng.f64().powi(2));
    match rng.u32(0..100) {
        0..45 => Event::Drain(share),
        45..55 => Event::Reopen(rng.f64()),
        55..70 => Event::Remove(rng.f64()),
        70..78 => Event::RemoveAtOnce(share),
        _ => Event::Restart(rng.f64()),
    }
}

/// Applies events.
pub struct Runner<'a> {
    world: &'a World,
    rng: Rng,
    down_since: Option<Time>,
}

impl<'a> Runner<'a> {
    /// A runner whose choices follow from the seed.
    pub fn new(world: &'a World, seed: u64) -> Runner<'a> {
        Runner { world, rng: Rng::with_seed(seed), down_since: None }
    }

    /// Applies one event.
    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Drain(share) => self.close(share, Status::Draining),
            Event::RemoveAtOnce(share) => self.close(share, Status::Removed),
            Event::Reopen(share) => self.turn(share, Status::Draining, Status::Up),
            Event::Remove(share) => self.turn(share, Status::Draining, Status::Removed),
            Event::Restart(share) => self.turn(share, Status::Removed, Status::Up),
            Event::Down(kind) => self.go_down(kind),
            Event::Back => self.come_back(),
        }
    }

    /// Ends an outage that outlasts the scenario.
    pub fn finish(&mut self) {
        self.come_back();
    }

    fn go_down(&mut self, kind: Outage) {
        self.down_since = Some(self.world.clock.now());
        self.world.set_outage(Some(kind));
    }

    fn come_back(&mut self) {
        if let Some(since) = self.down_since.take() {
            self.world.set_outage(None);
            self.world.record_outage(since);
        }
    }

    /// Closes a share of the fleet, or has closed endpoints come back if too few are up.
    fn close(&mut self, share: f64, status: Status) {
        let mut up = self.world.roster().with_status(Status::Up);
        let fleet = self.world.roster().len();
        let spare = up.len().saturating_sub((fleet as f64 * LEAST_UP) as usize);
        let count = ((fleet as f64 * share).ceil() as usize).min(spare);
        if count == 0 {
            self.turn(1.0, Status::Draining, Status::Removed);
            self.turn(1.0, Status::Removed, Status::Up);
            return;
        }
        self.rng.shuffle(&mut up);
        self.world.change(&up[..count], status);
    }

    fn turn(&mut self, share: f64, from: Status, to: Status) {
        let mut endpoints: Vec<EndpointId> = self.world.roster().with_status(from);
        self.rng.shuffle(&mut endpoints);
        let count = (endpoints.len() as f64 * share).ceil() as usize;
        self.world.change(&endpoints[..count], to);
    }
}
