//! When discovery is called, how long a call may wait there, and when one that failed is followed by the next. No I/O.

use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached, whatever call failed.
pub const TOLD: Duration = Duration::from_secs(6);
/// How long a watch waits at discovery for news, at most. Danger: a connection may fall silent, and until the wait
/// ends nobody can tell that from a list that does not change.
const HOLD: Duration = Duration::from_secs(4);
/// The same at an agent on the own machine, whom a call costs nothing.
const HOLD_PUSHED: Duration = Duration::from_secs(2);
/// The same after a call that was refused: shorter, as time has passed since the last answer.
const HOLD_AGAIN: Duration = Duration::from_millis(1200);
/// The share of it that is left to chance. Danger: news ends the watches of a whole fleet in one instant, and from then
/// on all would ask in step.
const SPREAD: f64 = 0.25;
/// How long an answer may take beyond that.
const PATIENCE: Duration = Duration::from_millis(800);
/// The same at an agent.
const PATIENCE_PUSHED: Duration = Duration::from_millis(500);
/// Whoever asks an agent whether it is there has its answer within this time. Danger: what it gets when discovery is back
/// counts as told at once, so this and what is left of a drain's grace after it lie within the grace.
const PATIENCE_AGENT: Duration = Duration::from_millis(100);
/// One in so many of those calls has more time, as this process may be held up itself.
const HELD_UP: u32 = 4;
/// A call that follows refused ones has this much more. Danger: a swamped discovery answers late, and a call that is given
/// up before that has cost it as much as one that is answered.
const PATIENCE_SWAMPED: Duration = Duration::from_secs(2);
/// The whole list after a move has this much. Danger: the move counts 4 s later, and a call may fall silent.
const PATIENCE_MOVED: Duration = Duration::from_millis(1500);
/// News that is owed is asked for again so soon on average, then after twice as long, ...
const SOON: Duration = Duration::from_millis(50);
/// ... so many times in all; then as after a call that was refused.
const TRIES: u32 = 4;
/// An agent is asked again so soon on average.
const SOON_PUSHED: Duration = Duration::from_millis(20);
/// Calls that are refused are this far apart in the end, on average; half as much again at most.
const APART: Duration = Duration::from_millis(1300);
/// A list of an older version than the one held is taken when such a list has come so many times.
const ANEW: u32 = 3;

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It was not answered in time.
    Silent,
    /// Its answer broke off or can't be read: news may have been told.
    Broken,
    /// It was refused, or nothing could be connected to.
    Refused,
    /// Its list is older than the one held.
    Older,
}

/// One call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// How long it may wait at discovery.
    pub hold: Duration,
    /// How long to wait for its answer, in all.
    pub patience: Duration,
}

/// When discovery is called.
#[derive(Debug)]
pub struct Watch {
    rng: fastrand::Rng,
    pushed: bool,
    apart: Duration,
    /// Calls in a row that failed.
    failed: u32,
    /// So many of the next ones are quick, as news is owed, ...
    quick: u32,
    /// ... and so many of the last ones were.
    was_quick: u32,
    /// Waits in a row that were not.
    apart_for: u32,
    /// Older lists in a row.
    older: u32,
    begun: bool,
    moved: bool,
}

impl Watch {
    /// One that has called nobody yet.
    pub fn new(seed: u64) -> Watch {
        Watch {
            rng: fastrand::Rng::with_seed(seed),
            pushed: false,
            apart: APART,
            failed: 0,
            quick: 0,
            was_quick: 0,
            apart_for: 0,
            older: 0,
            begun: false,
            moved: false,
        }
    }

    /// How lists come, and within what time the settings have them asked for.
    pub fn settle(&mut self, pushed: bool, ask_within: Duration) {
        self.pushed = pushed;
        self.apart = APART.min(ask_within.min(TOLD) / 4);
    }

    /// The next call; for the `whole` list it does not wait there.
    pub fn call(&mut self, whole: bool) -> Call {
        let first = !std::mem::replace(&mut self.begun, true);
        let none = Duration::ZERO;
        let (hold, patience) = match (self.pushed, self.failed) {
            (true, 0) if !first => (HOLD_PUSHED, PATIENCE_PUSHED),
            (true, n) if n > 0 && n % HELD_UP == 0 => (none, PATIENCE_PUSHED),
            (true, _) => (none, PATIENCE_AGENT),
            (false, _) if whole && self.moved && self.apart_for == 0 => (none, PATIENCE_MOVED),
            (false, _) if whole => (none, HOLD_AGAIN + PATIENCE_SWAMPED),
            (false, 0) => (HOLD, PATIENCE),
            // Danger: who is owed news hears at once whether there is any.
            (false, _) if self.quick > 0 => (none, PATIENCE),
            (false, _) => (HOLD_AGAIN, PATIENCE_SWAMPED),
        };
        let hold = hold.mul_f64(1.0 - SPREAD * self.rng.f64());
        Call { hold, patience: hold + patience }
    }

    /// It was answered with a list that was taken.
    pub fn told(&mut self) {
        (self.failed, self.quick, self.was_quick, self.apart_for, self.older) = (0, 0, 0, 0, 0);
        self.moved = false;
    }

    /// Discovery is somewhere else now: what failed there says nothing here.
    pub fn moved(&mut self) {
        self.told();
        self.moved = true;
    }

    /// It failed; the next goes out after this time.
    pub fn failed(&mut self, how: Failure) -> Duration {
        self.failed = self.failed.saturating_add(1);
        self.older += u32::from(how == Failure::Older);
        self.quick = match (self.failed, self.quick) {
            (1, _) if how != Failure::Refused => TRIES,
            (_, left @ 1..) => left - 1,
            // Refused ones say that discovery is there and has no time; after those a silent one has met a silent
            // connection, and one quick call tells.
            _ => u32::from(how != Failure::Refused),
        };
        // Danger: news goes to a whole fleet at once and discovery is busy with it, so a call that follows in
        // the same instant is turned away; and all that were refused would come again in step.
        let mean = if self.pushed {
            SOON_PUSHED
        } else if self.quick > 0 {
            self.was_quick += 1;
            SOON * (1 << (self.was_quick - 1).min(TRIES - 1))
        } else {
            self.was_quick = 0;
            self.apart_for = self.apart_for.saturating_add(1);
            if self.apart_for > 1 { self.apart } else { self.apart / 2 }
        };
        mean.mul_f64(0.5 + self.rng.f64())
    }

    /// Older lists than the one held have come so often that discovery has begun anew, and the next is taken.
    pub fn anew(&self) -> bool {
        self.older + 1 >= ANEW
    }
}
