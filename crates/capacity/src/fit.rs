//! Fits a figure that was measured at several fleet sizes, and extrapolates it.
//!
//! Three curves with two parameters each are fitted: linear, logarithmic and a power law. The one with the smallest root
//! mean square of relative residuals is used. Ranges come from the fits of single seeds and from other curves that fit
//! about as well. A figure that falls as the fleet grows is not extrapolated: its mean is used for all sizes.

use std::fmt;

/// Minimum number of different sizes for a fit.
pub const MIN_SIZES: usize = 4;
/// A curve is part of the range if its residual is at most this multiple of the best curve's.
const COMPARABLE_RESIDUAL_RATIO: f64 = 1.5;
/// Residuals up to this are noise: curves that all fit this well are comparable.
const NOISE_RESIDUAL: f64 = 0.02;
/// Largest size that is considered: a curve that reaches a limit beyond it counts as never reaching the limit.
pub const MAX_SIZE: f64 = 1e6;

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The fleet's size.
    pub size: f64,
    /// Seed of the run.
    pub seed: u64,
    /// The measured value.
    pub value: f64,
}

/// The shape of a curve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// `a`.
    Constant,
    /// `a + b N`.
    Linear,
    /// `a + b ln N`.
    Logarithmic,
    /// `a N^b`.
    Power,
}

/// A shape with its parameters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Curve {
    /// The shape.
    pub shape: Shape,
    /// Parameter `a` of the shape.
    pub a: f64,
    /// Parameter `b` of the shape.
    pub b: f64,
}

impl Curve {
    /// Value of the curve at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.shape {
            Shape::Constant => self.a,
            Shape::Linear => self.a + self.b * size,
            Shape::Logarithmic => self.a + self.b * size.ln(),
            Shape::Power => self.a * size.powf(self.b),
        }
    }

    /// Smallest size, from 1 to [`MAX_SIZE`], at which the curve reaches a limit; `None` if there is none.
    pub fn size_reaching(&self, limit: f64) -> Option<f64> {
        let size = match self.shape {
            Shape::Linear if self.b > 0.0 => (limit - self.a) / self.b,
            Shape::Logarithmic if self.b > 0.0 => ((limit - self.a) / self.b).exp(),
            Shape::Power if self.a > 0.0 && self.b > 0.0 => (limit / self.a).powf(1.0 / self.b),
            _ if self.at(1.0) > limit => 1.0,
            _ => return None,
        };
        (size <= MAX_SIZE).then_some(size.max(1.0))
    }

    /// Constant curve at the mean of the points.
    fn mean(points: &[Point]) -> Curve {
        let sum: f64 = points.iter().map(|point| point.value).sum();
        Curve { shape: Shape::Constant, a: sum / points.len() as f64, b: 0.0 }
    }

    /// Constant curve at a value.
    fn constant(value: f64) -> Curve {
        Curve { shape: Shape::Constant, a: value, b: 0.0 }
    }

    /// Fits a shape by least squares of the relative residuals, or of the logarithms for a power law. If not all values are
    /// positive, absolute residuals are used, and a power law cannot be fitted.
    fn fit(shape: Shape, points: &[Point]) -> Option<Curve> {
        if shape == Shape::Constant {
            return Some(Curve::mean(points));
        }
        let positive = points.iter().all(|point| point.value > 0.0);
        if shape == Shape::Power {
            if !positive {
                return None;
            }
            let logarithms = points.iter().map(|point| (point.size.ln(), point.value.ln(), 1.0));
            let (a, b) = weighted_line(logarithms.collect())?;
            return Some(Curve { shape, a: a.exp(), b });
        }
        let scale = |size: f64| if shape == Shape::Linear { size } else { size.ln() };
        let weight = |value: f64| if positive { value.powi(-2) } else { 1.0 };
        let scaled = points.iter().map(|point| (scale(point.size), point.value, weight(point.value)));
        let (a, b) = weighted_line(scaled.collect())?;
        Some(Curve { shape, a, b })
    }

    /// Root mean square of the relative residuals. A residual at a value that is not positive is taken relative to the mean
    /// of the absolute values.
    fn rms_residual(&self, points: &[Point]) -> f64 {
        let mean = points.iter().map(|point| point.value.abs()).sum::<f64>() / points.len() as f64;
        let squared_residual = |point: &Point| {
            let base = if point.value > 0.0 { point.value } else { mean.max(f64::MIN_POSITIVE) };
            ((point.value - self.at(point.size)) / base).powi(2)
        };
        (points.iter().map(squared_residual).sum::<f64>() / points.len() as f64).sqrt()
    }
}

impl fmt::Display for Curve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (a, b) = (crate::table::figure(self.a), crate::table::figure(self.b));
        match self.shape {
            Shape::Constant => write!(f, "{a}, does not grow"),
            Shape::Linear => write!(f, "{a} + {b} N"),
            Shape::Logarithmic => write!(f, "{a} + {b} ln N"),
            Shape::Power => write!(f, "{a} N^{:.2}", self.b),
        }
    }
}

/// Intercept and slope of the weighted least-squares line through points `(x, y, weight)`.
fn weighted_line(points: Vec<(f64, f64, f64)>) -> Option<(f64, f64)> {
    let total: f64 = points.iter().map(|(_, _, w)| w).sum();
    let mean_x = points.iter().map(|(x, _, w)| w * x).sum::<f64>() / total;
    let mean_y = points.iter().map(|(_, y, w)| w * y).sum::<f64>() / total;
    let variance = points.iter().map(|(x, _, w)| w * (x - mean_x).powi(2)).sum::<f64>();
    let covariance = points.iter().map(|(x, y, w)| w * (x - mean_x) * (y - mean_y)).sum::<f64>();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    (slope.is_finite() && intercept.is_finite()).then_some((intercept, slope))
}

/// The result of fitting a figure.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// The curve that fits best.
    pub curve: Curve,
    /// Root mean square of the curve's relative residuals.
    pub residual: f64,
    /// Curves from which ranges are taken: the best one, other shapes that fit about as well, and fits of single seeds.
    pub comparable: Vec<Curve>,
    /// The smallest and the largest measured size.
    pub size_range: (f64, f64),
    /// Number of different measured sizes.
    pub size_count: usize,
    /// Number of measurements.
    pub point_count: usize,
}

impl Fit {
    /// Fits the points; `None` if they have fewer than [`MIN_SIZES`] different sizes.
    pub fn of(points: &[Point]) -> Option<Fit> {
        let mut sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < MIN_SIZES {
            return None;
        }
        let shapes = [Shape::Linear, Shape::Logarithmic, Shape::Power];
        let curves = shapes.into_iter().filter_map(|shape| Curve::fit(shape, points));
        let mut ranked: Vec<(f64, Curve)> = curves.map(|curve| (curve.rms_residual(points), curve)).collect();
        ranked.sort_by(|(left, _), (right, _)| left.total_cmp(right));
        let &(residual, curve) = ranked.first()?;
        let (residual, curve, comparable) = if curve.b < 0.0 {
            let curve = Curve::mean(points);
            (
                curve.rms_residual(points),
                curve,
                points.iter().map(|point| Curve::constant(point.value)).collect(),
            )
        } else {
            (residual, curve, comparable_curves(&ranked, points))
        };
        Some(Fit {
            curve,
            residual,
            comparable,
            size_range: (sizes[0], sizes[sizes.len() - 1]),
            size_count: sizes.len(),
            point_count: points.len(),
        })
    }

    /// Smallest and largest value of the comparable curves at a size; negative values count as 0.
    pub fn range_at(&self, size: f64) -> (f64, f64) {
        let values = self.comparable.iter().map(|curve| curve.at(size).max(0.0));
        values.fold((f64::MAX, f64::MIN), |(min, max), value| (min.min(value), max.max(value)))
    }

    /// Ratio of a size to the largest measured one.
    pub fn extrapolation_factor(&self, size: f64) -> f64 {
        size / self.size_range.1
    }
}

/// The ranked curves that fit about as well as the first, and fits of the first one's shape to each seed alone.
fn comparable_curves(ranked: &[(f64, Curve)], points: &[Point]) -> Vec<Curve> {
    let Some((best, best_curve)) = ranked.first() else { return Vec::new() };
    let bound = (best * COMPARABLE_RESIDUAL_RATIO).max(NOISE_RESIDUAL);
    let near = ranked.iter().filter(|(residual, _)| *residual <= bound);
    near.map(|(_, curve)| *curve).chain(curves_by_seed(best_curve.shape, points)).collect()
}

/// Fits of a shape to the points of each seed alone.
fn curves_by_seed(shape: Shape, points: &[Point]) -> Vec<Curve> {
    let mut seeds: Vec<u64> = points.iter().map(|point| point.seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    let points_of =
        |seed: u64| points.iter().filter(move |point| point.seed == seed).copied().collect::<Vec<_>>();
    seeds.into_iter().filter_map(|seed| Curve::fit(shape, &points_of(seed))).collect()
}
