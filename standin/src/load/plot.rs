//! Plots of latency by quantile, as SVG.

use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 520);

/// One line of a plot.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name of the line in the legend.
    pub name: String,
    /// Points: number of nines of the quantile, and latency in milliseconds.
    pub points: Vec<(f64, f64)>,
}

/// Returns the latency by number of nines: 1 is p90, 2 is p99, 3 is p99.9.
pub fn quantiles(latency_us: &Histogram<u64>) -> Vec<(f64, f64)> {
    let steps = (0..=30).map(|step| f64::from(step) / 10.0);
    steps.map(|nines| (nines, latency_us.value_at_quantile(1.0 - 10f64.powf(-nines)) as f64 / 1000.0)).collect()
}

/// Writes a plot of the latency by number of nines.
///
/// # Errors
///
/// Returns an error text if the plot can't be drawn or written.
pub fn write(path: &Path, title: &str, series: &[Series]) -> Result<(), String> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let highest = series.iter().flat_map(|line| &line.points).map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..3.0, 0.0..highest * 1.05)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("latency, ms")
        .x_label_formatter(&|nines| format!("p{:.4}", 100.0 * (1.0 - 10f64.powf(-nines))))
        .draw()
        .map_err(|error| error.to_string())?;
    for (at, line) in series.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))
            .map_err(|error| error.to_string())?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let labels = chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw();
    labels.map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}
