//! Runs as SVG plots.

use crate::measurement::Measurement;
use anyhow::{anyhow, Result};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 540);

/// Writes the plots of several runs of one workload into a directory.
pub fn write_plots(runs: &[Measurement], directory: &Path) -> Result<()> {
    cold_start_plot(runs, &directory.join("cold-start.svg"))
        .map_err(|error| anyhow!("the cold-start plot cannot be drawn: {error}"))?;
    trade_off_plot(runs, &directory.join("idle-hours.svg"))
        .map_err(|error| anyhow!("the idle-hours plot cannot be drawn: {error}"))
}

type PlotResult = std::result::Result<(), Box<dyn std::error::Error>>;

/// Distribution of cold-start times.
fn cold_start_plot(runs: &[Measurement], path: &Path) -> PlotResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let most = largest(
        runs.iter()
            .flat_map(|run| run.cold_start_curve.iter().map(|(_, millis)| *millis)),
    );
    let mut chart = ChartBuilder::on(&root)
        .caption("Cold starts: time of the first token", ("sans-serif", 22))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..most, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("milliseconds")
        .y_desc("part of the cold starts")
        .draw()?;
    for (index, run) in runs.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = run.cold_start_curve.iter().map(|(part, millis)| (*millis, *part));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(run.policy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Idle accelerator hours against the 99 % cold start.
fn trade_off_plot(runs: &[Measurement], path: &Path) -> PlotResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let hours = largest(runs.iter().map(|run| run.idle_accelerator_hours));
    let millis = largest(runs.iter().map(|run| run.cold_start.p99));
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Idle accelerators against the 99 % cold start",
            ("sans-serif", 22),
        )
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..hours, 0.0..millis)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc("cold start p99, milliseconds")
        .draw()?;
    for (index, run) in runs.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let point = (run.idle_accelerator_hours, run.cold_start.p99);
        chart
            .draw_series([Circle::new(point, 6, color.filled())])?
            .label(run.policy.clone())
            .legend(move |(x, y)| Circle::new((x + 9, y), 5, color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// The end of an axis: a little more than the largest value.
fn largest(values: impl Iterator<Item = f64>) -> f64 {
    1.05 * values.fold(1e-3, f64::max)
}
