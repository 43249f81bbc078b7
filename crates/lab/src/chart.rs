//! Charts as SVG.

use cometcroft_rig::BudgetReport;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// The sum of the parts of a shared budget and what the backend servers received, against the whole.
pub fn shared(path: &Path, title: &str, share: &BudgetReport) -> Result<(), Box<dyn Error>> {
    let last = share.line.last().map_or(1.0, |(at, ..)| at.max(1.0));
    // What was received is told about four times a second; a mean over a second is what the rate means.
    let received: Vec<(f64, f64)> = share
        .line
        .iter()
        .map(|(at, ..)| {
            let of: Vec<f64> =
                share.line.iter().filter(|l| (l.0 - at).abs() <= 0.5).map(|(.., rate)| *rate).collect();
            (*at, of.iter().sum::<f64>() / of.len().max(1) as f64)
        })
        .collect();
    let top = received.iter().map(|(_, rate)| *rate).fold(share.whole, f64::max) * 1.2;
    let area = SVGBackend::new(path, (960, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(38)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..last, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").y_desc("a second").light_line_style(WHITE).draw()?;
    let whole = vec![(0.0, share.whole), (last, share.whole)];
    chart
        .draw_series(LineSeries::new(whole, BLACK.stroke_width(2)))?
        .label("the whole")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], BLACK.stroke_width(2)));
    let parts = share.line.iter().map(|(at, parts, _)| (*at, *parts));
    // Dashes tell the lines apart on a printer of one colour, too.
    chart
        .draw_series(DashedLineSeries::new(parts, 6, 4, BLUE.stroke_width(2)))?
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
