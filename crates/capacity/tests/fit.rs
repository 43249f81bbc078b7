//! Fits: the curve that generated the values is found, with its range and extrapolation.

use cometcroft_capacity::fit::{Fit, Point, Shape};

const SIZES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];

fn points(value: impl Fn(f64, u64) -> f64) -> Vec<Point> {
    let seeds = 1..=3;
    let of_seed = |seed| SIZES.map(|size| Point { size, seed, value: value(size, seed) });
    seeds.flat_map(of_seed).collect()
}

fn fit(value: impl Fn(f64, u64) -> f64) -> Fit {
    Fit::of(&points(value)).expect("enough sizes for a fit")
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() <= 1e-6 * expected.abs().max(1.0), "{actual}, expected {expected}");
}

#[test]
fn each_shape_is_found_and_extrapolated() {
    let linear = fit(|size, _| 700.0 + 3.0 * size);
    assert_eq!(linear.curve.shape, Shape::Linear);
    assert_near(linear.curve.at(3600.0), 11_500.0);
    let logarithmic = fit(|size, _| 100.0 + 40.0 * size.ln());
    assert_eq!(logarithmic.curve.shape, Shape::Logarithmic);
    assert_near(logarithmic.curve.at(3600.0), 100.0 + 40.0 * 3600f64.ln());
    let power = fit(|size, _| 0.5 * size.powf(1.7));
    assert_eq!(power.curve.shape, Shape::Power);
    assert_near(power.curve.at(3600.0), 0.5 * 3600f64.powf(1.7));
    assert_near(linear.extrapolation_factor(3600.0), 9.0);
}

#[test]
fn the_curve_has_the_value_of_the_limit_at_the_size_that_reaches_it() {
    for fit in [
        fit(|size, _| 700.0 + 3.0 * size),
        fit(|size, _| 100.0 + 1200.0 * size.ln()),
        fit(|size, _| 2.0 * size.powf(1.2)),
    ] {
        let size = fit.curve.size_reaching(7000.0).expect("a size at which the limit is reached");
        assert_near(fit.curve.at(size), 7000.0);
    }
}

#[test]
fn a_curve_that_does_not_grow_never_reaches_a_limit_above_it() {
    let falling = fit(|size, _| 500.0 - 0.1 * size);
    assert_eq!(falling.curve.size_reaching(7000.0), None);
    let above = fit(|size, _| 9000.0 - 0.1 * size);
    assert_eq!(above.curve.size_reaching(7000.0), Some(1.0), "above the limit at every size");
}

#[test]
fn a_falling_figure_is_not_extrapolated_but_replaced_by_its_mean() {
    let falling = fit(|size, _| 500.0 - 0.4 * size);
    assert_eq!(falling.curve.shape, Shape::Constant);
    assert_near(falling.curve.at(3600.0), 425.0);
    assert_eq!(falling.range_at(3600.0), (340.0, 480.0), "from the smallest to the largest measured value");
}

#[test]
fn the_range_covers_the_fits_of_single_seeds() {
    let fit = fit(|size, seed| (700.0 + 3.0 * size) * (1.0 + 0.1 * seed as f64));
    let (min, max) = fit.range_at(3600.0);
    assert!(min <= 11_500.0 * 1.1 * 1.001 && max >= 11_500.0 * 1.3 * 0.999, "{min} to {max}");
    assert_eq!((fit.point_count, fit.size_count, fit.size_range), (12, 4, (50.0, 400.0)));
}

#[test]
fn values_that_are_not_positive_are_fitted() {
    let fit = fit(|size, _| size - 50.0);
    assert_eq!(fit.curve.shape, Shape::Linear);
    assert_near(fit.curve.at(3600.0), 3550.0);
}

#[test]
fn three_sizes_are_too_few_for_a_fit() {
    let three: Vec<Point> = points(|size, _| size).into_iter().filter(|point| point.size > 50.0).collect();
    assert_eq!(Fit::of(&three), None);
    assert_eq!(Fit::of(&[]), None);
}
