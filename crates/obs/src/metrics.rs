//! OpenTelemetry metrics, exposed in the Prometheus text format.

use std::{fmt::Write, sync::Arc, sync::Weak, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Meter, MeterProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    metrics::{
        InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
        data::{AggregatedMetrics, MetricData, ResourceMetrics},
        reader::MetricReader,
    },
};

/// Bucket boundaries of latency histograms, in seconds.
pub const LATENCY_BUCKET_BOUNDS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0,
    240.0,
];

/// Metric reader that the provider and the renderer share.
#[derive(Debug, Clone)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

/// Metrics of a process; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    provider: SdkMeterProvider,
    shared_reader: SharedReader,
}

impl Default for Metrics {
    fn default() -> Self {
        let shared_reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let provider = SdkMeterProvider::builder().with_reader(shared_reader.clone()).build();
        Self { provider, shared_reader }
    }
}

impl Metrics {
    /// Returns the meter with which a component creates its instruments.
    pub fn meter(&self, component: &'static str) -> Meter {
        self.provider.meter(component)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut collected = ResourceMetrics::default();
        let mut text = String::new();
        if let Err(error) = self.shared_reader.collect(&mut collected) {
            log::warn!(target: "obs", "cannot collect metrics error={error}");
            return text;
        }
        for metric in collected.scope_metrics().flat_map(|scope| scope.metrics()) {
            let name = metric.name();
            if !metric.description().is_empty() {
                let _ = writeln!(text, "# HELP {name} {}", metric.description());
            }
            match metric.data() {
                AggregatedMetrics::U64(data) => render_data(&mut text, name, data),
                AggregatedMetrics::I64(data) => render_data(&mut text, name, data),
                AggregatedMetrics::F64(data) => render_data(&mut text, name, data),
            }
        }
        text
    }
}

/// Appends the type and all data points of one metric to `text`.
fn render_data<T: Copy + std::fmt::Display>(text: &mut String, name: &str, data: &MetricData<T>) {
    match data {
        MetricData::Gauge(gauge) => {
            let _ = writeln!(text, "# TYPE {name} gauge");
            for point in gauge.data_points() {
                let labels = format_labels(point.attributes(), None);
                let _ = writeln!(text, "{name}{labels} {}", point.value());
            }
        }
        MetricData::Sum(sum) => {
            let kind = if sum.is_monotonic() { "counter" } else { "gauge" };
            let _ = writeln!(text, "# TYPE {name} {kind}");
            for point in sum.data_points() {
                let labels = format_labels(point.attributes(), None);
                let _ = writeln!(text, "{name}{labels} {}", point.value());
            }
        }
        MetricData::Histogram(histogram) => {
            let _ = writeln!(text, "# TYPE {name} histogram");
            for point in histogram.data_points() {
                let mut cumulative_count = 0;
                let bounds = point.bounds().map(|bound| bound.to_string());
                let bounds = bounds.chain(std::iter::once("+Inf".to_owned()));
                for (bound, count) in bounds.zip(point.bucket_counts()) {
                    cumulative_count += count;
                    let labels = format_labels(point.attributes(), Some(&bound));
                    let _ = writeln!(text, "{name}_bucket{labels} {cumulative_count}");
                }
                let labels = format_labels(point.attributes(), None);
                let _ = writeln!(text, "{name}_sum{labels} {}", point.sum());
                let _ = writeln!(text, "{name}_count{labels} {}", point.count());
            }
        }
        MetricData::ExponentialHistogram(_) => {
            // Not used by any instrument of the daemons.
        }
    }
}

/// Returns the sorted labels of a data point in braces, followed by the bucket bound if there is
/// one.
fn format_labels<'a>(
    attributes: impl Iterator<Item = &'a KeyValue>,
    bound: Option<&str>,
) -> String {
    let mut label_pairs: Vec<_> = attributes
        .map(|pair| format!("{}=\"{}\"", pair.key, escape_label(&pair.value.as_str())))
        .collect();
    label_pairs.sort();
    label_pairs.extend(bound.map(|bound| format!("le=\"{bound}\"")));
    if label_pairs.is_empty() { String::new() } else { format!("{{{}}}", label_pairs.join(",")) }
}

fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
