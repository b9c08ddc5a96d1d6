//! SVG plots of a series: the measurements and the fitted line.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use super::series::Series;

const SIZE_PX: (u32, u32) = (640, 400);
const AXIS_MARGIN: f64 = 1.08;

/// Writes the plot of a series as SVG.
pub fn draw(path: &Path, series: &Series) -> anyhow::Result<()> {
    draw_chart(path, series).map_err(|e| anyhow!("failed to draw {}: {e}", path.display()))
}

fn draw_chart(path: &Path, series: &Series) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let x_max = axis_max(series.points.iter().map(|it| it.x));
    let y_max = axis_max(series.points.iter().map(|it| it.y));
    let y_min = series.points.iter().map(|it| it.y).fold(0.0, f64::min);
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} ({})", series.what, series.source.as_str()), ("sans-serif", 15))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..x_max, y_min..y_max)?;
    chart.configure_mesh().disable_mesh().x_desc(series.axis).y_desc(series.unit).draw()?;
    let dots = series.points.iter().map(|it| Circle::new((it.x, it.y), 4, BLUE.filled()));
    chart.draw_series(dots)?;
    if let Some(fit) = series.fit() {
        let ends = [0.0, x_max].map(|x| (x, fit.at(x).mean));
        chart.draw_series(LineSeries::new(ends, &RED))?;
    }
    root.present()?;
    Ok(())
}

fn axis_max<I>(values: I) -> f64
where
    I: Iterator<Item = f64>,
{
    let max = values.fold(0.0, f64::max);
    if max > 0.0 { max * AXIS_MARGIN } else { 1.0 }
}
