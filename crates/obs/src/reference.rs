//! Descriptions of all metrics: they create the instruments and the rows of the metrics reference,
//! `docs/metrics.md`.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use crate::metrics::LATENCY_BUCKET_BOUNDS_S;

/// Description of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricDescription {
    /// Name of the metric on the metrics page.
    pub name: &'static str,
    /// Instrument kind: `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Unit of the values, for example `bytes`.
    pub unit: &'static str,
    /// Names of the labels as they appear in the reference, separated by commas; empty if the
    /// metric has no labels. Used for the reference only, not for the instrument.
    pub labels: &'static str,
    /// Help text on the metrics page and in the reference.
    pub help: &'static str,
}

impl MetricDescription {
    /// Returns the Markdown table row of the reference.
    pub fn markdown_row(&self) -> String {
        let Self { name, kind, unit, labels, help } = self;
        format!("| `{name}` | {kind} | {unit} | {labels} | {help} |")
    }

    /// Creates a counter with integer values.
    pub fn counter(&self, meter: &Meter) -> Counter<u64> {
        meter.u64_counter(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Creates a counter of seconds.
    pub fn seconds_counter(&self, meter: &Meter) -> Counter<f64> {
        meter.f64_counter(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Creates a gauge with integer values.
    pub fn gauge(&self, meter: &Meter) -> Gauge<u64> {
        meter.u64_gauge(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Creates a gauge of seconds.
    pub fn seconds_gauge(&self, meter: &Meter) -> Gauge<f64> {
        meter.f64_gauge(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Creates a histogram of latencies in seconds, with the bucket bounds
    /// [`LATENCY_BUCKET_BOUNDS_S`].
    pub fn latency_histogram(&self, meter: &Meter) -> Histogram<f64> {
        meter
            .f64_histogram(self.name)
            .with_description(self.help)
            .with_unit(self.unit)
            .with_boundaries(LATENCY_BUCKET_BOUNDS_S.to_vec())
            .build()
    }
}

/// Defines a [`MetricDescription`](crate::reference::MetricDescription) constant for each metric,
/// and `METRICS` with all of them in the order of the reference.
#[macro_export]
macro_rules! define_metrics {
    ($($metric:ident = $name:literal, $kind:literal, $unit:literal, $labels:literal, $help:literal;)*) => {
        $(const $metric: $crate::reference::MetricDescription = $crate::reference::MetricDescription {
            name: $name,
            kind: $kind,
            unit: $unit,
            labels: $labels,
            help: $help,
        };)*

        /// All metrics, in the order of the reference.
        pub const METRICS: &[$crate::reference::MetricDescription] = &[$($metric,)*];
    };
}

/// Returns the table rows of the reference `page` for the metrics whose names start with `prefix`.
pub fn documented_rows<'a>(page: &'a str, prefix: &str) -> Vec<&'a str> {
    let row_start = format!("| `{prefix}");
    page.lines().filter(|line| line.starts_with(&row_start)).collect()
}
