//! Plots of sweeps in SVG format.

use plotters::prelude::*;

use crate::{fit::Line, point::Point};

const WIDTH_PX: u32 = 640;
const HEIGHT_PX: u32 = 360;

/// Draws the points of one sweep and the fitted line; returns the text of the SVG file.
///
/// # Errors
///
/// Returns the plotting library's message if the plot cannot be drawn.
pub fn svg(points: &[Point], line: Option<Line>) -> Result<String, String> {
    let mut svg = String::new();
    let Some(first) = points.first() else { return Ok(svg) };
    let axis_max = |value: fn(&Point) -> f64| points.iter().map(value).fold(0.0, f64::max) * 1.1;
    // The lower bound keeps the range of the y axis from being empty if all values are 0.
    let (max_x, max_y) = (axis_max(|point| point.x), axis_max(|point| point.y).max(1e-9));
    {
        let error_text = |error: &dyn std::fmt::Display| error.to_string();
        let root = SVGBackend::with_string(&mut svg, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        root.fill(&WHITE).map_err(|error| error_text(&error))?;
        let mut chart = ChartBuilder::on(&root)
            .caption(&first.sweep, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)
            .map_err(|error| error_text(&error))?;
        chart
            .configure_mesh()
            .x_desc(&first.x_unit)
            .y_desc(&first.y_unit)
            .draw()
            .map_err(|error| error_text(&error))?;
        let circles = points.iter().map(|point| Circle::new((point.x, point.y), 4, BLUE.filled()));
        chart.draw_series(circles).map_err(|error| error_text(&error))?;
        if let Some(line) = line {
            let line_ends = [0.0, max_x].map(|x| (x, line.value_at(x)));
            chart
                .draw_series(LineSeries::new(line_ends, &RED))
                .map_err(|error| error_text(&error))?;
        }
        root.present().map_err(|error| error_text(&error))?;
    }
    Ok(svg)
}
