//! Unit tests of the division.

use super::*;
use proptest::prelude::*;

fn claims_of_equal_weight(demands: &[u64]) -> Vec<Claim> {
    demands.iter().map(|&demand| Claim { demand, weight: 1 }).collect()
}

#[test]
fn small_demands_are_met_and_greater_ones_share_the_rest() {
    assert_eq!(divide(100, 1, &claims_of_equal_weight(&[10, 200, 90])), [10, 45, 45]);
    assert_eq!(divide(10, 1, &claims_of_equal_weight(&[100, 100, 100])), [3, 3, 4]);
    let weighted = [Claim { demand: 100, weight: 3 }, Claim { demand: 100, weight: 1 }];
    assert_eq!(divide(40, 1, &weighted), [30, 10]);
}

#[test]
fn half_of_what_exceeds_all_demands_is_spread() {
    assert_eq!(divide(100, 1, &claims_of_equal_weight(&[10, 10])), [30, 30]);
    assert_eq!(divide(100, 10, &claims_of_equal_weight(&[0, 0, 0])), [10, 10, 10]);
    assert_eq!(divide(100, 1, &[]), Vec::<u64>::new());
}

proptest! {
    #[test]
    fn shares_are_fair_and_never_exceed_the_pool(
        pool in 0u64..100_000,
        unit in 1u64..2000,
        claims in proptest::collection::vec((0u64..50_000, 1u32..5), 0..40),
    ) {
        let claims: Vec<Claim> = claims.iter().map(|&(demand, weight)| Claim { demand, weight }).collect();
        let shares = divide(pool, unit, &claims);
        prop_assert!(shares.iter().sum::<u64>() <= pool);
        prop_assert!(shares.iter().all(|share| share % unit == 0));
        for (a, share_a) in claims.iter().zip(&shares) {
            for (b, share_b) in claims.iter().zip(&shares) {
                // A claim that is not met has, for its weight, no less than any other, up to two units of rounding.
                let short = share_a + unit <= a.demand;
                let (weight_a, weight_b) = (u64::from(a.weight), u64::from(b.weight));
                let less = (share_a + 2 * unit * weight_a) * weight_b < share_b * weight_a;
                prop_assert!(!(short && less), "{a:?} {share_a} against {b:?} {share_b}");
            }
        }
    }
}
