//! One plot for each series: the measurements and the line through them.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use super::series::Series;

const SIZE: (u32, u32) = (640, 400);
const MARGIN: f64 = 1.08;

/// Writes the plot of a series as SVG.
pub fn draw(path: &Path, series: &Series) -> anyhow::Result<()> {
    chart(path, series).map_err(|e| anyhow!("draw {}: {e}", path.display()))
}

fn chart(path: &Path, series: &Series) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let right = top(series.points.iter().map(|it| it.x));
    let height = top(series.points.iter().map(|it| it.y));
    let floor = series.points.iter().map(|it| it.y).fold(0.0, f64::min);
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} ({})", series.what, series.ground.as_str()), ("sans-serif", 15))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, floor..height)?;
    chart.configure_mesh().disable_mesh().x_desc(series.axis).y_desc(series.unit).draw()?;
    let dots = series.points.iter().map(|it| Circle::new((it.x, it.y), 4, BLUE.filled()));
    chart.draw_series(dots)?;
    if let Some(fit) = series.fit() {
        let ends = [0.0, right].map(|x| (x, fit.at(x).mean));
        chart.draw_series(LineSeries::new(ends, &RED))?;
    }
    root.present()?;
    Ok(())
}

fn top<I>(values: I) -> f64
where
    I: Iterator<Item = f64>,
{
    let most = values.fold(0.0, f64::max);
    if most > 0.0 { most * MARGIN } else { 1.0 }
}
