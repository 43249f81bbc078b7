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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn wants(wants: &[u64]) -> Vec<Claim> {
        wants.iter().map(|&want| Claim { want, weight: 1 }).collect()
    }

    #[test]
    fn small_needs_are_met_and_the_greater_share_the_rest() {
        assert_eq!(divide(100, 1, &wants(&[10, 200, 90])), [10, 45, 45]);
        assert_eq!(divide(10, 1, &wants(&[100, 100, 100])), [3, 3, 4]);
        let weighted = [Claim { want: 100, weight: 3 }, Claim { want: 100, weight: 1 }];
        assert_eq!(divide(40, 1, &weighted), [30, 10]);
    }

    #[test]
    fn of_what_nobody_needs_half_is_spread() {
        assert_eq!(divide(100, 1, &wants(&[10, 10])), [30, 30]);
        assert_eq!(divide(100, 10, &wants(&[0, 0, 0])), [10, 10, 10]);
        assert_eq!(divide(100, 1, &[]), Vec::<u64>::new());
    }

    proptest! {
        #[test]
        fn never_more_than_the_pool_and_fair(
            pool in 0u64..100_000,
            unit in 1u64..2000,
            claims in proptest::collection::vec((0u64..50_000, 1u32..5), 0..40),
        ) {
            let claims: Vec<Claim> = claims.iter().map(|&(want, weight)| Claim { want, weight }).collect();
            let parts = divide(pool, unit, &claims);
            prop_assert!(parts.iter().sum::<u64>() <= pool);
            prop_assert!(parts.iter().all(|part| part % unit == 0));
            for (a, part_a) in claims.iter().zip(&parts) {
                for (b, part_b) in claims.iter().zip(&parts) {
                    // Who lacks something has, for its weight, no less than another, but for two units.
                    let short = part_a + unit <= a.want;
                    let (of_a, of_b) = (u64::from(a.weight), u64::from(b.weight));
                    let less = (part_a + 2 * unit * of_a) * of_b < part_b * of_a;
                    prop_assert!(!(short && less), "{a:?} {part_a} against {b:?} {part_b}");
                }
            }
        }
    }
}
