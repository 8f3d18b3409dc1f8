//! Formats the burn report as text and as an HTML page.

use std::fmt::Write;

use deck_core::object::Indicator;
use plotters::prelude::*;

use crate::report::{BurnReport, ObjectiveReport};

const PLOT_WIDTH_PX: u32 = 720;
const PLOT_HEIGHT_PX: u32 = 180;

/// Formats the report as a table for a terminal, followed by notes on refused requests and gaps.
pub fn render_text(report: &BurnReport) -> String {
    let mut text = format!(
        "{:<24} {:<12} {:<14} {:<18} {:>9} {:>12} {:>12} {:>10} {:>9}  {}\n",
        "OBJECTIVE",
        "ORGANISATION",
        "POOL",
        "INDICATOR",
        "GOAL %",
        "EVENTS",
        "BAD %",
        "BUDGET %",
        "COVERED %",
        "ALERTS"
    );
    for objective in &report.objectives {
        let _ = writeln!(
            text,
            "{:<24} {:<12} {:<14} {:<18} {:>9} {:>12.0} {:>12} {:>10} {:>9.1}  {}",
            objective.name,
            objective.organisation,
            objective.pool,
            indicator_label(&objective.indicator),
            objective.objective_percent,
            objective.counts.total,
            format_or_no_data(objective.counts.bad_ratio().map(|bad| 100.0 * bad)),
            format_or_no_data(objective.budget_spent_percent),
            objective.covered_percent,
            firing_alerts(objective),
        );
    }
    for objective in
        report.objectives.iter().filter(|objective| objective.counts.own_share_refused > 0.0)
    {
        let _ = writeln!(
            text,
            "{}: {:.0} requests refused because the organisation's own share was used up \
             (not counted)",
            objective.name, objective.counts.own_share_refused
        );
    }
    for gap in &report.gaps {
        let restarted = if gap.restarted { ", process restarted" } else { "" };
        let _ = writeln!(
            text,
            "gap: {} not scraped for {:.1} s{restarted}",
            gap.source,
            (gap.to_ms - gap.from_ms) as f64 / 1000.0
        );
    }
    text
}

/// Formats the report as one HTML page with a plot per objective. The page is self-contained: it refers
/// to no other files.
///
/// # Errors
///
/// Returns the message of the plotting library if a plot cannot be drawn.
pub fn render_html_page(report: &BurnReport) -> Result<String, String> {
    let mut page = String::from(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn report</title><style>\
         body{font-family:sans-serif;max-width:60em;margin:2em auto}\
         pre{overflow-x:auto;background:#f4f4f4;padding:1em}.firing{color:#b00020}\
         </style></head><body>\n<h1>Service-level burn report</h1>\n",
    );
    let _ = writeln!(page, "<pre>{}</pre>", escape_html(&render_text(report)));
    for objective in &report.objectives {
        let _ = writeln!(
            page,
            "<h2>{}</h2>\n<p>{} of {} in {}: goal {} %, bad {} %, budget spent {} %.</p>",
            escape_html(&objective.name),
            indicator_label(&objective.indicator),
            escape_html(&objective.organisation),
            escape_html(&objective.pool),
            objective.objective_percent,
            format_or_no_data(objective.counts.bad_ratio().map(|bad| 100.0 * bad)),
            format_or_no_data(objective.budget_spent_percent),
        );
        for alert in &objective.alerts {
            let class = if alert.firing { " class=\"firing\"" } else { "" };
            let _ = writeln!(
                page,
                "<p{class}>{}: fires at burn rate {:.1}; long window {}, short window {}{}</p>",
                alert.name,
                alert.threshold,
                format_or_no_data(alert.long_burn),
                format_or_no_data(alert.short_burn),
                if alert.firing { ": FIRING" } else { "" },
            );
        }
        page.push_str(&render_plot(objective)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

/// Plots the percentage of bad events over time as SVG. Intervals without events interrupt the line.
fn render_plot(objective: &ObjectiveReport) -> Result<String, String> {
    let mut svg = String::new();
    let (Some(first), Some(last)) = (objective.points.first(), objective.points.last()) else {
        return Ok("<p>No data.</p>\n".to_owned());
    };
    let start_ms = first.at_ms;
    let seconds = |at_ms: u64| (at_ms - start_ms) as f64 / 1000.0;
    let bad_percents = objective.points.iter().filter_map(|point| point.bad_percent);
    let max_percent = bad_percents.fold(100.0 - objective.objective_percent, f64::max) * 1.1;
    {
        let root =
            SVGBackend::with_string(&mut svg, (PLOT_WIDTH_PX, PLOT_HEIGHT_PX)).into_drawing_area();
        let error_text = |error: &dyn std::fmt::Display| error.to_string();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..seconds(last.at_ms).max(1.0), 0.0..max_percent.max(0.001))
            .map_err(|error| error_text(&error))?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("bad %")
            .draw()
            .map_err(|error| error_text(&error))?;
        for segment in objective.points.split(|point| point.bad_percent.is_none()) {
            let line =
                segment.iter().filter_map(|point| Some((seconds(point.at_ms), point.bad_percent?)));
            chart
                .draw_series(LineSeries::new(line.clone(), &RED))
                .map_err(|error| error_text(&error))?;
            chart
                .draw_series(line.map(|point| Circle::new(point, 2, RED.filled())))
                .map_err(|error| error_text(&error))?;
        }
        root.present().map_err(|error| error_text(&error))?;
    }
    Ok(svg)
}

fn indicator_label(indicator: &Indicator) -> String {
    match indicator {
        Indicator::Availability => "availability".to_owned(),
        Indicator::Latency { bound_ms } => format!("latency<={bound_ms}ms"),
        Indicator::TrainerIdle => "trainer_busy".to_owned(),
        Indicator::Staleness { bound_versions } => format!("staleness<={bound_versions}"),
    }
}

fn format_or_no_data(value: Option<f64>) -> String {
    value.map_or_else(|| "no data".to_owned(), |value| format!("{value:.3}"))
}

fn firing_alerts(objective: &ObjectiveReport) -> String {
    let firing: Vec<_> = objective
        .alerts
        .iter()
        .filter(|alert| alert.firing)
        .map(|alert| alert.name.as_str())
        .collect();
    if firing.is_empty() { "-".to_owned() } else { firing.join(",") }
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
