//! The walk: until the next refresh, calls go round robin down the snapshot.

use super::Balancer;
use super::request::Request;
use crate::interface::*;

/// A row with more own calls out than the mean, and this share more over the number of balancers, is passed
/// over until some return. Danger: what all send beyond it to the row that looks idle chokes it.
const CROWDED_ROW: f64 = 0.5;

impl Balancer {
    /// Walks the list to the next row that may take this request.
    pub(super) fn pick(&mut self, now: Time, request: &Request) -> Option<EndpointId> {
        let out_each = self.rows_out / self.rows.len().max(1) as f64;
        // First the sound rows that are not crowded, then sound rows, then any that the rules allow.
        let crowd = (1.0 + CROWDED_ROW / f64::from(self.settings.instances)) * out_each;
        for (strict, crowd) in [(true, crowd), (true, f64::MAX), (false, f64::MAX)] {
            // Danger: a sound row whose turn is far off would lose its calls to those that fail them.
            if !strict && let Some(place) = self.soundest(now, request) {
                return Some(self.table.ids[place]);
            }
            for _ in 0..self.rows.len() * 2 {
                let place = self.rows[self.cursor];
                self.cursor = (self.cursor + 1) % self.rows.len();
                if !self.is_eligible(now, place, request, strict) {
                    continue;
                }
                let up = &mut self.table.endpoints[place];
                // Danger: a stalled endpoint says nothing; its last report stays attractive as calls pile up.
                if up.out >= (0.5 + crowd * up.pace.sqrt()).max(1.0) {
                    continue;
                }
                up.credit += up.pace;
                if up.credit < 1.0 {
                    continue;
                }
                if self.cold_allows(now, place) {
                    return Some(self.table.ids[place]);
                }
                // Danger: were its turns lost while it may not be sent to, it would wait for one after the
                // other.
                self.table.endpoints[place].credit = 1.0;
            }
        }
        let place = (0..self.rows.len()).find(|&at| self.may_take(now, self.rows[at], request, false));
        place.map(|at| self.table.ids[self.rows[at]])
    }

    /// The sound row whose turn is next, however far off.
    fn soundest(&mut self, now: Time, request: &Request) -> Option<usize> {
        let rows = self.rows.clone();
        let sound: Vec<_> = rows.into_iter().filter(|&at| self.may_take(now, at, request, true)).collect();
        let credit = |place: &usize| self.table.endpoints[*place].credit;
        sound.into_iter().max_by(|a, b| credit(a).total_cmp(&credit(b)))
    }

    fn may_take(&mut self, now: Time, place: usize, request: &Request, strict: bool) -> bool {
        self.is_eligible(now, place, request, strict) && self.cold_allows(now, place)
    }

    /// Whether it may take this request, but for what a cold endpoint may be sent.
    fn is_eligible(&self, now: Time, place: usize, request: &Request, strict: bool) -> bool {
        let class = &self.settings.classes[request.class];
        let alone = self.settings.rules.use_removed_endpoints;
        let (up, id) = (&self.table.endpoints[place], self.table.ids[place]);
        if !up.may_be_sent_to(alone) || !self.trust.covers(now, up.accepted) {
            return false;
        }
        // Rule 2: a keyed request that may have run goes only to those who drop its repeat, while they do.
        if let (Effect::Keyed { scope, window }, Some(first)) = (class.effect, request.may_have_run()) {
            let ran = self.endpoint(first.endpoint).map(|ran| &ran.member);
            let same = match scope {
                DedupScope::All => true,
                DedupScope::Zone => ran.is_some_and(|ran| up.member.zone == ran.zone),
                DedupScope::Cell => ran.is_some_and(|ran| up.member.cell == ran.cell),
            };
            if !same || now.saturating_sub(first.sent) + self.settings.host_tick * 2 >= window {
                return false;
            }
        }
        // Danger: an endpoint may leave one class unanswered and serve the others; it is passed over for that
        // class only, the longer the more often that happened.
        let unsound = up.unreachable(now)
            || up.silent[request.class] > self.usual_silent[request.class]
            || class.effect != Effect::Safe && up.probation;
        let tried = request.attempts.iter().any(|a| a.endpoint == id && (a.out || strict));
        !(tried || strict && unsound)
    }
}
