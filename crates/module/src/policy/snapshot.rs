//! The snapshot: at each refresh the ready endpoints are sorted by reported load, and each gets its pace.

use super::Balancer;
use super::rate::{fade, secs};
use crate::interface::*;

/// A row whose health leaves it less than this share of its pace is on probation: repeatable calls only.
const PROBATION: f64 = 0.3;
/// The least pace of a row: the trickle by which an ejected endpoint shows that it has recovered.
const TRICKLE: f64 = 0.02;
/// Prior weight, in attempts, of what all endpoints do when one endpoint is judged.
const PRIOR: f64 = 3.0;

/// What a snapshot goes by of one row.
#[derive(Debug)]
struct Row {
    place: usize,
    size: f64,
    warmth: f64,
    home: bool,
    load: Option<(f64, Time)>,
    ended: f64,
    failed: f64,
    slow: f64,
    part: f64,
    cold_part: f64,
}

impl Row {
    /// The share of its attempts that failed; `usual` and so many attempts stand for what is not known.
    fn failed(&self, usual: f64) -> f64 {
        (self.failed + PRIOR * usual) / (self.ended + PRIOR)
    }

    /// Its latency over what is expected.
    fn slow(&self, usual: f64) -> f64 {
        (self.slow + PRIOR * usual) / (self.ended + PRIOR)
    }
}

/// What is usual among the rows.
#[derive(Debug)]
struct Usual {
    /// Load a size.
    load: f64,
    /// What load differs by through chance.
    spread: f64,
    /// Load a size that comes within a report's life.
    arrivals: f64,
    slow: f64,
    failed: f64,
    /// The share of the laps on which rows of other zones are visited.
    abroad: f64,
}

/// The figure that one in `part` of all lie below; 2 gives the middle one.
fn lowest(part: usize, mut figures: Vec<f64>) -> f64 {
    let at = (figures.len() - 1) / part;
    *figures.select_nth_unstable_by(at, f64::total_cmp).1
}

/// The pace of a row, and whether it is on probation.
fn pace(row: &Row, load: f64, usual: &Usual) -> (f64, bool) {
    // Rows above the level skip laps, by as much as evens the load out within a report's life.
    let lean = (1.0 + (usual.load - load) / usual.arrivals).clamp(0.1, 1.5);
    // Danger: an endpoint that errors at once keeps a short queue and stays high in the list.
    let failed = row.failed(usual.failed) - 2.0 * usual.failed - 0.02;
    let sound = 1.0 / (1.0 + (failed.max(0.0) / 0.1).powi(2));
    // Danger: answers differ by chance; what is not clearly slow is left to reports. What is slow gets so
    // little that it recovers if crowding was the cause.
    let speed = (1.5 / (row.slow(usual.slow) / usual.slow)).min(1.0).powi(3);
    let home = if row.home { 1.0 } else { usual.abroad };
    let pace = row.size * (lean * sound * speed).max(TRICKLE) * row.warmth * home * row.part;
    (pace, sound * speed < PROBATION)
}

impl Balancer {
    /// Takes a new snapshot, and asks for the next one.
    pub(super) fn refresh(&mut self, now: Time) {
        self.snapshot(now);
        self.probe(now);
        // One lap a snapshot, spread: quiet balancers that began anew at row one would all herd there.
        let lap = self.rows.len().max(1) as f64 / self.calls.get(now).max(1.0);
        let least = self.settings.host_tick.as_secs_f64() * 4.0;
        let after = lap.clamp(least, (self.settings.rules.ramp.as_secs_f64() / 8.0).max(least));
        let after = secs(after * (0.8 + 0.4 * self.rng.f64()));
        self.actions.push(Action::SetTimer { after, timer: Timer::Refresh });
        self.refreshed = now;
    }

    /// Ranks the rows anew, after a change of the list or as its time has come.
    pub(super) fn snapshot(&mut self, now: Time) {
        self.forget(now);
        self.cover(now);
        self.cursor = 0;
        self.rows_out = self.rows.iter().map(|&place| self.table.endpoints[place].out).sum();
        if self.rows.is_empty() {
            self.rows_size = 0.0;
            return;
        }
        let abroad = self.lean_home(now);
        let rows: Vec<Row> = self.rows.iter().map(|&place| self.row(now, place)).collect();
        let usual = self.usual(now, &rows, abroad);
        let usual_silent = |class: usize| {
            let silent = rows.iter().map(|row| self.table.endpoints[row.place].silent[class]).collect();
            0.9 + 2.0 * lowest(3, silent)
        };
        self.usual_silent = (0..self.settings.classes.len()).map(usual_silent).collect();
        let ranked = self.rank(now, &rows, &usual);
        let ranked = || ranked.iter().map(|&at| &rows[at as usize]);
        // What a warm endpoint takes stays known when none is left; else a cold one would be taken for warm.
        let warm = ranked().map(|row| row.size * row.warmth).sum();
        let any_warm = rows.iter().any(|row| row.warmth >= 1.0);
        let all = ranked().map(|row| row.size * row.cold_part).sum();
        self.rows_size = ranked().map(|row| row.size * row.part).sum();
        self.warm_calls.share(now, any_warm.then_some(warm), all);
    }

    /// Removes what has been gone for long, and lets what was learned of the others fade.
    fn forget(&mut self, now: Time) {
        let (memory, alone) = (self.memory, self.settings.rules.use_removed_endpoints);
        // Danger: where new endpoints replace old ones for ever, the gone must leave the table. Where
        // draining alone binds they stay, as the mark of their drain does.
        self.table.remove_all(|up| {
            let gone = !alone && up.member.state == EndpointState::Removed && up.out < 0.5;
            gone && now.saturating_sub(up.judged).as_secs_f64() >= memory
        });
        // Most were judged last at the same time, by the last snapshot.
        let mut last = (now, 1.0);
        for up in &mut self.table.endpoints {
            up.walked = false;
            if up.may_be_sent_to(alone) {
                if up.judged != last.0 {
                    last = (up.judged, fade(up.judged, now, memory));
                }
                up.forget_by(now, last.1);
            }
        }
    }

    /// The row of the endpoint at this place.
    fn row(&self, now: Time, place: usize) -> Row {
        let up = &self.table.endpoints[place];
        Row {
            place,
            size: self.size(up),
            warmth: self.warmth(up, now),
            home: up.member.zone == self.settings.zone,
            load: up.load,
            ended: up.ended,
            failed: up.failed,
            slow: up.slow,
            part: up.part,
            cold_part: up.cold_part,
        }
    }

    /// What is usual among these rows.
    fn usual(&self, now: Time, rows: &[Row], abroad: f64) -> Usual {
        // No figure yet counts as the mean of the others, and an old figure drifts there.
        let known = || rows.iter().filter_map(|row| Some(row.load?.0 / row.size));
        let load = known().sum::<f64>() / known().count().max(1) as f64;
        let spread = load.sqrt().max(1.0);
        let mean_size = rows.iter().map(|row| row.size).sum::<f64>() / rows.len() as f64;
        let calls_each = self.calls.get(now) * f64::from(self.settings.instances) / rows.len() as f64;
        // Failures are held against the best row. Danger: where all but one have died and the list does not
        // say so yet, a middle figure is bad too and none is ejected. Trouble that all share still ejects
        // none, as each is shrunk towards the mean of all first.
        let all = rows.iter().map(|row| row.failed).sum::<f64>()
            / rows.iter().map(|row| row.ended).sum::<f64>().max(1.0);
        Usual {
            load,
            spread,
            arrivals: calls_each / mean_size + spread,
            slow: lowest(2, rows.iter().map(|row| row.slow(1.0)).collect()),
            failed: rows.iter().map(|row| row.failed(all)).fold(f64::INFINITY, f64::min),
            abroad,
        }
    }

    /// Puts the rows in their order, and gives each its pace; returns the order as positions in `rows`.
    fn rank(&mut self, now: Time, rows: &[Row], usual: &Usual) -> Vec<u32> {
        let mut paces = Vec::with_capacity(rows.len());
        let mut ranked = Vec::with_capacity(rows.len());
        for (at, row) in rows.iter().enumerate() {
            let load = row.load.map_or(usual.load, |(load, heard)| {
                usual.load + (load / row.size - usual.load) * fade(heard, now, self.memory / 4.0)
            });
            paces.push(pace(row, load, usual));
            // Loads within the noise are ties, and ties go at random.
            ranked.push(((load / usual.spread).floor(), at as u32));
        }
        let fastest = paces.iter().map(|pace| pace.0).fold(0.0, f64::max);
        self.rng.shuffle(&mut ranked);
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (row, (pace, probation)) in rows.iter().zip(paces) {
            let up = &mut self.table.endpoints[row.place];
            up.pace = pace / fastest;
            up.probation = probation;
        }
        self.rows.clear();
        self.rows.extend(ranked.iter().map(|&(_, at)| rows[at as usize].place));
        ranked.into_iter().map(|(_, at)| at).collect()
    }

    /// The size of the rows, as far as they lie in this balancer's stretch.
    pub(super) fn size_of_rows(&self) -> f64 {
        let ups = self.rows.iter().map(|&place| &self.table.endpoints[place]);
        ups.map(|up| self.size(up) * up.part).sum()
    }
}
