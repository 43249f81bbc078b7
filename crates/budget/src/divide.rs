//! Division by need: weighted max-min. Nobody gets more than it needs while another that needs more has less for its
//! weight; of what nobody needs, half is spread and half is kept for whose need rises.

/// What one holder needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// How much.
    pub want: u64,
    /// How much it counts.
    pub weight: u32,
}

/// The parts of a pool, each a multiple of `unit`.
pub fn divide(pool: u64, unit: u64, claims: &[Claim]) -> Vec<u64> {
    let unit = unit.max(1);
    let units = pool / unit;
    let want = |claim: &Claim| claim.want.div_ceil(unit);
    let weight = |claim: &Claim| u64::from(claim.weight.max(1));
    let mut parts = vec![0; claims.len()];
    // From the smallest need for its weight on: each is satisfied while the rest is enough for all that are left.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|&i| (u128::from(want(&claims[i])) << 32) / u128::from(weight(&claims[i])));
    let mut left = units;
    let mut weights: u64 = claims.iter().map(weight).sum();
    for (done, &i) in order.iter().enumerate() {
        let fair = (u128::from(left) * u128::from(weight(&claims[i])) / u128::from(weights.max(1))) as u64;
        if want(&claims[i]) > fair {
            share(&mut parts, left, &order[done..], claims, weights);
            left = 0;
            break;
        }
        parts[i] = want(&claims[i]);
        left -= parts[i];
        weights -= weight(&claims[i]);
    }
    let all: u64 = claims.iter().map(weight).sum();
    let spread = left / 2;
    for (part, claim) in parts.iter_mut().zip(claims) {
        *part += (u128::from(spread) * u128::from(weight(claim)) / u128::from(all.max(1))) as u64;
    }
    parts.iter().map(|part| part * unit).collect()
}

/// Shares what is left among those whose need is beyond it; whole units, and the odd ones to the greatest need.
fn share(parts: &mut [u64], left: u64, among: &[usize], claims: &[Claim], weights: u64) {
    let mut rest = left;
    for &i in among {
        let weight = u64::from(claims[i].weight.max(1));
        parts[i] = (u128::from(left) * u128::from(weight) / u128::from(weights.max(1))) as u64;
        rest -= parts[i];
    }
    for &i in among.iter().rev().take(rest as usize) {
        parts[i] += 1;
    }
}

#[cfg(test)]
mod tests;
