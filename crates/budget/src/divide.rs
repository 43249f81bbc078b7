//! Division of a pool by weighted max-min fairness.

/// Claim of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Amount that the holder needs.
    pub demand: u64,
    /// Weight of the holder.
    pub weight: u32,
}

/// Divides a pool into one share for each claim, each share a multiple of `unit`.
///
/// No claim gets more than its demand while another one whose demand is not met has less for its weight. Of what
/// exceeds all demands, half is spread by weight; the other half is kept for claims whose demand rises.
pub fn divide(pool: u64, unit: u64, claims: &[Claim]) -> Vec<u64> {
    let unit = unit.max(1);
    let units = pool / unit;
    let demand = |claim: &Claim| claim.demand.div_ceil(unit);
    let weight = |claim: &Claim| u64::from(claim.weight.max(1));
    let mut shares = vec![0; claims.len()];
    // Claims in ascending order of demand per weight are met in full as long as the demand is at most the fair share of
    // what remains.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|&i| (u128::from(demand(&claims[i])) << 32) / u128::from(weight(&claims[i])));
    let mut left = units;
    let mut weights: u64 = claims.iter().map(weight).sum();
    for (done, &i) in order.iter().enumerate() {
        let fair = (u128::from(left) * u128::from(weight(&claims[i])) / u128::from(weights.max(1))) as u64;
        if demand(&claims[i]) > fair {
            split_by_weight(&mut shares, left, &order[done..], claims, weights);
            left = 0;
            break;
        }
        shares[i] = demand(&claims[i]);
        left -= shares[i];
        weights -= weight(&claims[i]);
    }
    let all_weights: u64 = claims.iter().map(weight).sum();
    let spread = left / 2;
    for (share, claim) in shares.iter_mut().zip(claims) {
        *share += (u128::from(spread) * u128::from(weight(claim)) / u128::from(all_weights.max(1))) as u64;
    }
    shares.iter().map(|share| share * unit).collect()
}

/// Splits `left` units by weight among the claims of `among`, whose demands it does not meet. Units that remain after
/// rounding go to the claims with the greatest demand per weight, the last ones in `among`.
fn split_by_weight(shares: &mut [u64], left: u64, among: &[usize], claims: &[Claim], weights: u64) {
    let mut rest = left;
    for &i in among {
        let weight = u64::from(claims[i].weight.max(1));
        shares[i] = (u128::from(left) * u128::from(weight) / u128::from(weights.max(1))) as u64;
        rest -= shares[i];
    }
    for &i in among.iter().rev().take(rest as usize) {
        shares[i] += 1;
    }
}

#[cfg(test)]
mod tests;
