//! Random streams. Each party has one of its own, named; so one more fault does not reshuffle the rest.

use crate::kernel::Nanos;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One stream of random numbers.
#[derive(Debug, Clone)]
pub struct Dice(ChaCha8Rng);

impl Dice {
    /// The stream of this name under a seed.
    pub fn new(seed: u64, name: &str) -> Dice {
        Dice(ChaCha8Rng::seed_from_u64(xxh3_64_with_seed(name.as_bytes(), seed)))
    }

    /// Uniform in 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Uniform in `lo` to `hi`.
    pub fn within(&mut self, (lo, hi): (f64, f64)) -> f64 {
        lo + (hi - lo) * self.unit()
    }

    /// True with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// A number under `n`, which must not be 0.
    pub fn below(&mut self, n: usize) -> usize {
        self.0.random_range(0..n)
    }

    /// An exponential time of this mean.
    pub fn exp(&mut self, mean: Nanos) -> Nanos {
        let x: f64 = Exp1.sample(&mut self.0);
        (x * mean as f64) as Nanos
    }

    /// Log-normal of this mean and of this standard deviation over the mean.
    pub fn spread(&mut self, mean: f64, cv: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        let variance = (1.0 + cv * cv).ln();
        mean * (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Which of these weights is drawn.
    pub fn weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut at = self.unit() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (i, weight) in weights.enumerate() {
            if weight > 0.0 {
                last = i;
                if at < weight {
                    return i;
                }
                at -= weight;
            }
        }
        last
    }
}
