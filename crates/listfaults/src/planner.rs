//! Decides the delivery of each answer to one sidecar: drawn by seed, or by a script. No I/O.

use crate::delivery::{Delivery, Ending, Framing, Layout, Pace};
use crate::ids::Time;
use fastrand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// An answer that brings nothing within the caller's patience comes at most once in this time, and the one after it is
/// prompt: else nothing could be told within the protocol's limit whatever the caller does.
const MUTE_INTERVAL: Duration = Duration::from_secs(9);
/// So many answers in a row may break off.
const MAX_BROKEN: u32 = 2;
/// An answer that takes longer counts as one that outlasts the caller's patience.
const PATIENCE: Duration = Duration::from_millis(2200);
const LONGEST_DRIP: Duration = Duration::from_millis(6000);
/// SIGHUP comes at most once in this time.
const MOVE_INTERVAL: Duration = Duration::from_secs(5);
/// Shares of answers.
const FAULTY_EMPTY: f64 = 0.15;
const CHUNKED: f64 = 0.3;
const INDENTED: f64 = 0.3;
const MOVED: f64 = 0.05;
const LATE: f64 = 0.04;
const BROKEN: f64 = 0.3;
/// A whole list is sent in place of changes.
const WHOLE: f64 = 0.25;
/// A whole list leaves out what drains.
const LEFT_OUT: f64 = 0.5;

/// Where deliveries come from.
#[derive(Debug, Clone)]
pub enum Deliveries {
    /// Each answer is written at once and whole.
    Plain,
    /// They are drawn by seed.
    Drawn,
    /// The answers with rows in this order, then plain ones.
    Scripted(Vec<Delivery>),
}

/// Decides on deliveries for one sidecar.
#[derive(Debug)]
pub struct Planner {
    /// What is left of a script; none if deliveries are drawn.
    script: Option<VecDeque<Delivery>>,
    rng: Rng,
    last_mute: Option<Time>,
    last_move: Option<Time>,
    broken: u32,
    /// The last answer brought nothing within the caller's patience.
    mute: bool,
}

impl Planner {
    /// A planner of its own for each sidecar.
    pub fn new(seed: u64, deliveries: &Deliveries) -> Planner {
        let script = match deliveries {
            Deliveries::Plain => Some(VecDeque::new()),
            Deliveries::Drawn => None,
            Deliveries::Scripted(script) => Some(script.iter().cloned().collect()),
        };
        Planner {
            script,
            rng: Rng::with_seed(seed),
            last_mute: None,
            last_move: None,
            broken: 0,
            mute: false,
        }
    }

    /// Whether a whole list is sent in place of changes.
    pub fn sends_whole(&mut self) -> bool {
        self.script.is_none() && self.rng.f64() < WHOLE
    }

    /// Whether a whole list leaves out what drains.
    pub fn leaves_out(&mut self) -> bool {
        self.script.is_none() && self.rng.f64() < LEFT_OUT
    }

    /// The delivery of an answer that is ready now.
    pub fn next(&mut self, now: Time, empty: bool) -> Delivery {
        match &mut self.script {
            None => self.draw(now, empty),
            Some(script) if !empty => script.pop_front().unwrap_or_else(Delivery::plain),
            Some(_) => Delivery::plain(),
        }
    }

    fn draw(&mut self, now: Time, empty: bool) -> Delivery {
        if std::mem::take(&mut self.mute) || (empty && self.rng.f64() >= FAULTY_EMPTY) {
            self.broken = 0;
            return Delivery::plain();
        }
        let mute_allowed = self.last_mute.is_none_or(|last| now >= last + MUTE_INTERVAL);
        let mut delivery = Delivery {
            layout: if self.rng.f64() < INDENTED { Layout::Indented } else { Layout::Compact },
            framing: self.framing(),
            delay: self.delay(mute_allowed),
            pace: self.pace(mute_allowed),
            ending: self.ending(mute_allowed),
            moves: self.moves(now),
        };
        if delivery.ending != Ending::Whole && self.broken >= MAX_BROKEN {
            delivery.ending = Ending::Whole;
        }
        self.remember(&delivery, now);
        delivery
    }

    fn remember(&mut self, delivery: &Delivery, now: Time) {
        self.broken = if delivery.ending == Ending::Whole { 0 } else { self.broken + 1 };
        self.mute = is_mute(delivery);
        if self.mute {
            self.last_mute = Some(now);
        }
        if delivery.moves.is_some() {
            self.last_move = Some(now);
        }
    }

    fn framing(&mut self) -> Framing {
        match self.rng.f64() < CHUNKED {
            true => Framing::Chunked { size: self.rng.usize(64..16_384) },
            false => Framing::Length,
        }
    }

    fn delay(&mut self, mute_allowed: bool) -> Duration {
        let late = mute_allowed && self.rng.f64() < LATE;
        if late { self.between(3500, 6000) } else { Duration::ZERO }
    }

    fn pace(&mut self, mute_allowed: bool) -> Pace {
        match self.rng.u32(0..100) {
            0..30 => Pace::AtOnce,
            30..50 => {
                let count = self.rng.usize(1..5);
                let cuts = (0..count).map(|_| self.rng.f64()).collect();
                Pace::Pieces { cuts, pause: self.between(60, 450) }
            }
            50..85 => {
                let longest = if mute_allowed { LONGEST_DRIP } else { PATIENCE };
                let total = self.between(200, longest.as_millis() as u64);
                Pace::Drip { gap: self.between(10, 70), total }
            }
            _ => {
                let gap = Duration::from_millis(self.rng.u64(0..2));
                Pace::ByteByByte { from: self.rng.f64(), bytes: self.rng.usize(100..1000), gap }
            }
        }
    }

    fn ending(&mut self, mute_allowed: bool) -> Ending {
        let at = self.rng.f64();
        match self.rng.f64() < BROKEN {
            false => Ending::Whole,
            true => match self.rng.u32(0..3) {
                0 if mute_allowed => Ending::Silent(at),
                0 | 1 => Ending::Reset(at),
                _ => Ending::Closed(at),
            },
        }
    }

    fn moves(&mut self, now: Time) -> Option<f64> {
        let allowed = self.last_move.is_none_or(|last| now >= last + MOVE_INTERVAL);
        (self.rng.f64() < MOVED && allowed).then(|| self.rng.f64())
    }

    fn between(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.u64(from_ms..=to_ms))
    }
}

/// It brings nothing whole within a caller's patience.
pub fn is_mute(delivery: &Delivery) -> bool {
    let long = matches!(delivery.pace, Pace::Drip { total, .. } if total > PATIENCE);
    long || delivery.delay > PATIENCE || matches!(delivery.ending, Ending::Silent(_))
}
