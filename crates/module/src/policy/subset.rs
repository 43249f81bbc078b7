//! The subset of the list that a balancer walks, and how often it leaves its own zone.

use super::Balancer;
use crate::interface::*;

/// Each endpoint is walked by so many balancers.
const COVER: f64 = 12.0;
/// Each balancer walks so many rows at least.
const LEAST_ROWS: f64 = 4.0;
/// Rows of other zones are visited on this share of the laps at least, of so many where home holds over
/// `CROWDED_HOME` requests a core, and at the most.
pub(super) const ABROAD: [f64; 3] = [0.02, 0.2, 0.4];
/// Requests a core over which home counts as crowded.
const CROWDED_HOME: f64 = 2.0;

impl Balancer {
    /// Narrows the rows to a subset of the ready endpoints. Danger: a balancer of few calls a second that
    /// walks a long list hears of each endpoint long ago, judges none, and keeps connections to all.
    /// Endpoints lie by key on two rings, own zone and others, each as long as its size. Each balancer takes
    /// a stretch of each from a point that its rank gives, and of the endpoints at its ends the part that
    /// lies in it, so cover is even by size and moves little with the list. Cold and sick endpoints count in
    /// part. A stretch stands for its ring; else a zone with few endpoints would get as much as the others.
    pub(super) fn cover(&mut self, now: Time) {
        let alone = self.settings.rules.use_removed_endpoints;
        let (mut near, mut far) = (Vec::new(), Vec::new());
        self.table.order();
        for &(_, place) in &self.table.by_key {
            let up = &self.table.endpoints[place as usize];
            if up.may_be_sent_to(alone) {
                let ring = if up.member.zone == self.settings.zone { &mut near } else { &mut far };
                ring.push((place as usize, self.size(up)));
            }
        }
        let ready = (near.len() + far.len()) as f64;
        let wanted = (ready * COVER / f64::from(self.settings.instances)).max(LEAST_ROWS);
        self.rows.clear();
        self.cover_ring(now, &near, wanted);
        self.cover_ring(now, &far, wanted / 2.0);
    }

    /// Takes this balancer's stretch of a ring of places and sizes, so many rows long.
    fn cover_ring(&mut self, now: Time, ring: &[(usize, f64)], wanted: f64) {
        // Ranks that lie evenly, whichever of them share a zone, start evenly: multiples of the golden ratio.
        let start = (f64::from(self.settings.rank) * 0.618_033_988_749_895).fract();
        let whole: f64 = ring.iter().map(|row| row.1).sum();
        let stretch = (wanted * whole / ring.len().max(1) as f64).min(whole);
        let mut skip = if stretch < whole { start * whole } else { 0.0 };
        let (mut left, mut taken, first) = (stretch, 0.0, self.rows.len());
        for step in 0..ring.len() * 2 {
            let (place, size) = ring[step % ring.len()];
            if skip >= size {
                skip -= size;
                continue;
            }
            let up = &self.table.endpoints[place];
            if left <= 0.0 || step >= ring.len() && up.walked {
                break;
            }
            let sound = if up.probation { 0.0 } else { self.warmth(up, now) };
            let part = (size - skip).min(if sound > 0.0 { left / sound } else { size });
            skip = 0.0;
            left -= part * sound;
            taken += part;
            self.rows.push(place);
            let up = &mut self.table.endpoints[place];
            up.walked = true;
            up.part = part / size * whole / stretch;
        }
        for &place in &self.rows[first..] {
            self.table.endpoints[place].cold_part = (stretch / taken).min(1.0);
        }
    }

    /// How often rows of other zones are visited, against own rows. Crossings cost time and a price, so the
    /// walk stays at home until home is more loaded than the rest by ten times the price. Danger: a zone
    /// with more traffic than its endpoints can carry; the share abroad grows until loads are level.
    pub(super) fn lean_home(&mut self, now: Time) -> f64 {
        let (mut sums, mut counts) = ([0.0; 2], [0.0; 2]);
        for up in self.rows.iter().map(|&place| &self.table.endpoints[place]) {
            if let Some((load, _)) = up.load {
                let side = usize::from(up.member.zone != self.settings.zone);
                sums[side] += load / self.size(up);
                counts[side] += 1.0;
            }
        }
        let since = now.saturating_sub(self.refreshed).as_secs_f64().min(1.0);
        if counts[0] > 0.0 && counts[1] > 0.0 {
            let (near, far) = (sums[0] / counts[0], sums[1] / counts[1]);
            let worth_it = 1.0 + 10.0 * self.settings.prices.cross_zone;
            let gap = (near - worth_it * far) / (near + far).max(1.0);
            // Danger: one full row abroad hides the idle ones from the mean.
            let crowded = (near - CROWDED_HOME).clamp(0.0, 1.0);
            let least = ABROAD[0] + (ABROAD[1] - ABROAD[0]) * crowded;
            self.abroad = (self.abroad * (4.0 * since * gap).exp()).clamp(least, ABROAD[2]);
        }
        self.abroad
    }
}
