//! Subsetting: the endpoints that this sidecar uses, and the share of its requests that leave its zone.

use super::Balancer;
use crate::interface::*;

/// Number of sidecars that use each endpoint.
const SIDECARS_PER_ENDPOINT: f64 = 12.0;
/// Minimum number of endpoints that a sidecar uses.
const MIN_ENDPOINTS: f64 = 4.0;
/// Fraction of the passes in which endpoints of other zones are used: the minimum, the minimum while the own
/// zone holds more than `LOADED_ZONE_PER_CORE` requests per core, and the maximum.
pub(super) const CROSS_ZONE_SHARE: [f64; 3] = [0.02, 0.2, 0.4];
/// Requests per core above which the own zone counts as loaded.
const LOADED_ZONE_PER_CORE: f64 = 2.0;

impl Balancer {
    /// Restricts the rotation to a subset of the eligible endpoints. A sidecar with few requests on a long
    /// list would learn of each endpoint's load too late, could not judge their health, and would keep
    /// connections to all of them.
    ///
    /// Endpoints are ordered by key on two rings, own zone and other zones, in which each takes up its size.
    /// Each sidecar takes an arc of each ring, starting at a point given by its rank; endpoints at the ends
    /// count by the part that lies in the arc. So coverage is even by size and changes little with the list.
    /// Cold and unhealthy endpoints count in part. The arc stands for its whole ring; otherwise a zone with
    /// few endpoints would get as much traffic as the others.
    pub(super) fn select_subset(&mut self, now: Time) {
        let use_removed = self.settings.rules.use_removed_endpoints;
        let (mut near, mut far) = (Vec::new(), Vec::new());
        self.table.sort_by_key();
        for &(_, index) in &self.table.by_key {
            let endpoint = &self.table.endpoints[index as usize];
            if endpoint.is_eligible(use_removed) {
                let ring = if endpoint.entry.zone == self.settings.zone { &mut near } else { &mut far };
                ring.push((index as usize, self.size(endpoint)));
            }
        }
        let eligible = (near.len() + far.len()) as f64;
        let wanted =
            (eligible * SIDECARS_PER_ENDPOINT / f64::from(self.settings.instances)).max(MIN_ENDPOINTS);
        self.rotation.clear();
        self.select_arc(now, &near, wanted);
        self.select_arc(now, &far, wanted / 2.0);
    }

    /// Adds this sidecar's arc of a ring to the rotation, `wanted` endpoints long. The ring consists of table
    /// indices and sizes.
    fn select_arc(&mut self, now: Time, ring: &[(usize, f64)], wanted: f64) {
        // Multiples of the golden ratio spread the starts evenly for any evenly spaced ranks, whichever of
        // them share a zone.
        let start = (f64::from(self.settings.rank) * 0.618_033_988_749_895).fract();
        let ring_size: f64 = ring.iter().map(|endpoint| endpoint.1).sum();
        let arc = (wanted * ring_size / ring.len().max(1) as f64).min(ring_size);
        let mut skip = if arc < ring_size { start * ring_size } else { 0.0 };
        let (mut remaining, mut taken, first) = (arc, 0.0, self.rotation.len());
        for step in 0..ring.len() * 2 {
            let (index, size) = ring[step % ring.len()];
            if skip >= size {
                skip -= size;
                continue;
            }
            let endpoint = &self.table.endpoints[index];
            if remaining <= 0.0 || step >= ring.len() && endpoint.in_rotation {
                break;
            }
            let capacity = if endpoint.probation { 0.0 } else { self.warmth(endpoint, now) };
            let part = (size - skip).min(if capacity > 0.0 { remaining / capacity } else { size });
            skip = 0.0;
            remaining -= part * capacity;
            taken += part;
            self.rotation.push(index);
            let endpoint = &mut self.table.endpoints[index];
            endpoint.in_rotation = true;
            endpoint.subset_share = part / size * ring_size / arc;
        }
        for &index in &self.rotation[first..] {
            self.table.endpoints[index].slow_start_share = (arc / taken).min(1.0);
        }
    }

    /// Updates the share of cross-zone requests. They cost time and have a price, so requests stay in the own
    /// zone until it is more loaded than the others by ten times the price. A zone may have more traffic than
    /// its endpoints can carry, so the share grows until the loads are level.
    pub(super) fn update_cross_zone_share(&mut self, now: Time) -> f64 {
        let (mut sums, mut counts) = ([0.0; 2], [0.0; 2]);
        for endpoint in self.rotation.iter().map(|&index| &self.table.endpoints[index]) {
            if let Some((load, _)) = endpoint.load {
                let side = usize::from(endpoint.entry.zone != self.settings.zone);
                sums[side] += load / self.size(endpoint);
                counts[side] += 1.0;
            }
        }
        let elapsed = now.saturating_sub(self.last_refresh).as_secs_f64().min(1.0);
        if counts[0] > 0.0 && counts[1] > 0.0 {
            let (near, far) = (sums[0] / counts[0], sums[1] / counts[1]);
            let price_factor = 1.0 + 10.0 * self.settings.prices.cross_zone;
            let gap = (near - price_factor * far) / (near + far).max(1.0);
            // One full endpoint in another zone hides that the others there are idle, as it raises the mean.
            let loaded = (near - LOADED_ZONE_PER_CORE).clamp(0.0, 1.0);
            let min = CROSS_ZONE_SHARE[0] + (CROSS_ZONE_SHARE[1] - CROSS_ZONE_SHARE[0]) * loaded;
            self.cross_zone_share =
                (self.cross_zone_share * (4.0 * elapsed * gap).exp()).clamp(min, CROSS_ZONE_SHARE[2]);
        }
        self.cross_zone_share
    }
}
