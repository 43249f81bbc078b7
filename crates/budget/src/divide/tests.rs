//! Tests of `divide` that mean its private state.

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
