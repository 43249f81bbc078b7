//! How a figure is spread over members, processes or samples.

use serde::Serialize;

/// Median, 99th percentile and maximum of some figures (nearest rank).
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// How many figures.
    pub n: usize,
    /// Half are at most this.
    pub median: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// The greatest.
    pub max: f64,
}

impl Spread {
    /// The spread of these figures; `None` of none.
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Option<Spread> {
        let mut sorted: Vec<f64> = figures.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let max = *sorted.last()?;
        let rank = |share: f64| {
            let rank = (share * sorted.len() as f64).ceil() as usize;
            sorted[rank.clamp(1, sorted.len()) - 1]
        };
        Some(Spread { n: sorted.len(), median: round(rank(0.5)), p99: round(rank(0.99)), max: round(max) })
    }
}

/// Three decimals are more than any figure here is good for.
pub fn round(figure: f64) -> f64 {
    (figure * 1000.0).round() / 1000.0
}
