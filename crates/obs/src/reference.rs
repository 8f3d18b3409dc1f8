//! Rows of the metrics reference, `docs/metrics.md`, and the instruments that they describe.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use crate::metrics::LATENCY_BOUNDS_S;

/// Description of one metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricRow {
    /// Name.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// Labels, as the reference lists them.
    pub labels: &'static str,
    /// Meaning.
    pub help: &'static str,
}

impl MetricRow {
    /// Returns the row as it stands in the reference.
    pub fn table_row(&self) -> String {
        let Self { name, kind, unit, labels, help } = self;
        format!("| `{name}` | {kind} | {unit} | {labels} | {help} |")
    }

    /// Makes a counter of whole numbers.
    pub fn counter(&self, meter: &Meter) -> Counter<u64> {
        meter.u64_counter(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Makes a counter of seconds.
    pub fn seconds_counter(&self, meter: &Meter) -> Counter<f64> {
        meter.f64_counter(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Makes a gauge of whole numbers.
    pub fn gauge(&self, meter: &Meter) -> Gauge<u64> {
        meter.u64_gauge(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Makes a gauge of seconds.
    pub fn seconds_gauge(&self, meter: &Meter) -> Gauge<f64> {
        meter.f64_gauge(self.name).with_description(self.help).with_unit(self.unit).build()
    }

    /// Makes a histogram of latencies in seconds.
    pub fn latencies(&self, meter: &Meter) -> Histogram<f64> {
        meter
            .f64_histogram(self.name)
            .with_description(self.help)
            .with_unit(self.unit)
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .build()
    }
}

/// Defines a constant for each row and `METRICS` with all of them, in the order of the reference.
#[macro_export]
macro_rules! metric_rows {
    ($($row:ident = $name:literal, $kind:literal, $unit:literal, $labels:literal, $help:literal;)*) => {
        $(const $row: $crate::reference::MetricRow = $crate::reference::MetricRow {
            name: $name,
            kind: $kind,
            unit: $unit,
            labels: $labels,
            help: $help,
        };)*

        /// All metrics, in the order of the reference.
        pub const METRICS: &[$crate::reference::MetricRow] = &[$($row,)*];
    };
}

/// Returns the rows of the reference `page` whose names start with `prefix`.
pub fn documented_rows<'a>(page: &'a str, prefix: &str) -> Vec<&'a str> {
    let start = format!("| `{prefix}");
    page.lines().filter(|line| line.starts_with(&start)).collect()
}
