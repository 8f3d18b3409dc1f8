//! History of scraped metrics, stored as one JSON document per line.

use std::{
    collections::BTreeMap,
    io::{BufRead, Write},
};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Names of the metrics that the burn report needs. Other metrics are not stored.
pub const STORED_METRICS: &[&str] = &[
    "deckentry_requests_total",
    "deckentry_request_duration_seconds_bucket",
    "deckroll_trainer_idle_seconds_total",
    "deckroll_trainer_elapsed_seconds_total",
    "deckroll_samples_sent_total",
];

quick_error! {
    /// Error while reading or writing a history.
    #[derive(Debug)]
    pub enum HistoryError {
        /// The history cannot be read or written.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// This line of the history is not a valid scrape.
        Syntax(line: usize, message: String) {
            display("line {line}: {message}")
        }
        /// Scraped metrics are not valid Prometheus text.
        Metrics(message: String) {
            display("metrics: {message}")
        }
    }
}

/// Value of one metric series at the time of a scrape.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// Metric name.
    pub name: String,
    /// Label names and values.
    pub labels: BTreeMap<String, String>,
    /// Value of the counter, gauge or histogram bucket.
    pub value: f64,
}

/// Metrics of one process at one time.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Scrape {
    /// Time of the scrape, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Address of the admin endpoints of the process, which identifies it.
    pub source: String,
    /// Values of the [`STORED_METRICS`].
    pub samples: Vec<Sample>,
}

impl Scrape {
    /// Parses metrics in the Prometheus text format and selects the [`STORED_METRICS`].
    ///
    /// # Errors
    ///
    /// Returns [`HistoryError::Metrics`] if the text is malformed.
    pub fn try_parse(at_ms: u64, source: &str, text: &str) -> Result<Self, HistoryError> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let parsed = prometheus_parse::Scrape::parse(lines)
            .map_err(|error| HistoryError::Metrics(error.to_string()))?;
        let mut samples = Vec::new();
        for sample in parsed.samples {
            let labels: BTreeMap<String, String> =
                sample.labels.iter().map(|(key, value)| (key.clone(), value.clone())).collect();
            match sample.value {
                prometheus_parse::Value::Counter(value)
                | prometheus_parse::Value::Gauge(value)
                | prometheus_parse::Value::Untyped(value) => {
                    push_if_stored(&mut samples, sample.metric, labels, value);
                }
                prometheus_parse::Value::Histogram(buckets) => {
                    for bucket in buckets {
                        let mut labels = labels.clone();
                        labels.insert("le".to_owned(), bucket.less_than.to_string());
                        let name = format!("{}_bucket", sample.metric);
                        push_if_stored(&mut samples, name, labels, bucket.count);
                    }
                }
                prometheus_parse::Value::Summary(_) => {}
            }
        }
        Ok(Self { at_ms, source: source.to_owned(), samples })
    }
}

fn push_if_stored(
    samples: &mut Vec<Sample>,
    name: String,
    labels: BTreeMap<String, String>,
    value: f64,
) {
    if STORED_METRICS.contains(&name.as_str()) {
        samples.push(Sample { name, labels, value });
    }
}

/// Appends a scrape as one line.
///
/// # Errors
///
/// Returns [`HistoryError::Io`] if the line cannot be written.
pub fn append(writer: &mut impl Write, scrape: &Scrape) -> Result<(), HistoryError> {
    let line =
        serde_json::to_string(scrape).map_err(|error| HistoryError::Metrics(error.to_string()))?;
    writeln!(writer, "{line}")?;
    Ok(())
}

/// Reads a history and sorts its scrapes by time. Empty lines are skipped.
///
/// # Errors
///
/// Returns [`HistoryError::Io`] if the history cannot be read, and [`HistoryError::Syntax`] with the
/// line number if a line is not a valid scrape.
pub fn read(reader: impl BufRead) -> Result<Vec<Scrape>, HistoryError> {
    let mut scrapes: Vec<Scrape> = Vec::new();
    for (index, line) in reader.lines().enumerate() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let scrape = serde_json::from_str(&line)
            .map_err(|error| HistoryError::Syntax(index + 1, error.to_string()))?;
        scrapes.push(scrape);
    }
    scrapes.sort_by_key(|scrape| scrape.at_ms);
    Ok(scrapes)
}
