//! SVG charts of fleet runs.

use cometcroft_rig::BudgetReport;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Draws the sum of the shares of a budget and the request rate that the endpoints received, against the limit.
pub fn draw_budget(path: &Path, title: &str, budget: &BudgetReport) -> Result<(), Box<dyn Error>> {
    let end = budget.line.last().map_or(1.0, |(at, ..)| at.max(1.0));
    // The receive rate is sampled about four times a second. Average it over one second, as the limit is a rate per
    // second.
    let received: Vec<(f64, f64)> = budget
        .line
        .iter()
        .map(|(at, ..)| {
            let rates: Vec<f64> =
                budget.line.iter().filter(|l| (l.0 - at).abs() <= 0.5).map(|(.., rate)| *rate).collect();
            (*at, rates.iter().sum::<f64>() / rates.len().max(1) as f64)
        })
        .collect();
    let top = received.iter().map(|(_, rate)| *rate).fold(budget.whole, f64::max) * 1.2;
    let area = SVGBackend::new(path, (960, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(38)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").y_desc("a second").light_line_style(WHITE).draw()?;
    let limit = vec![(0.0, budget.whole), (end, budget.whole)];
    chart
        .draw_series(LineSeries::new(limit, BLACK.stroke_width(2)))?
        .label("the whole")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], BLACK.stroke_width(2)));
    let shares = budget.line.iter().map(|(at, sum, _)| (*at, *sum));
    // The dashes keep the lines distinguishable in black-and-white print.
    chart
        .draw_series(DashedLineSeries::new(shares, 6, 4, BLUE.stroke_width(2)))?
        .label("sum of the parts, as told")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 8, y)], BLUE.stroke_width(2)));
    chart
        .draw_series(LineSeries::new(received, RED.stroke_width(1)))?
        .label("received by backend servers")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], RED.stroke_width(1)));
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
