//! Increments of counters between scrapes, corrected for counter resets, and gaps in the history.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::history::Scrape;

/// Increase of one counter between two scrapes of the same process.
#[derive(Debug, Clone, PartialEq)]
pub struct Increment {
    /// Time of the earlier scrape, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// Time of the later scrape, in milliseconds since the Unix epoch.
    pub to_ms: u64,
    /// Metric name.
    pub name: String,
    /// Label names and values.
    pub labels: BTreeMap<String, String>,
    /// Increase of the counter, or its new value if the process restarted in between.
    pub value: f64,
}

/// Period in which a process was not scraped.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gap {
    /// Address of the process, as in [`Scrape::source`].
    pub source: String,
    /// Time of the last scrape before the gap.
    pub from_ms: u64,
    /// Time of the first scrape after the gap.
    pub to_ms: u64,
    /// Whether the process restarted during the gap. What it counted between the last scrape and the
    /// restart is lost.
    pub restarted: bool,
}

/// Increments and gaps of a history.
#[derive(Debug, Clone, Default)]
pub struct Increments {
    /// Increments sorted by the time of the later scrape.
    pub increments: Vec<Increment>,
    /// Gaps sorted by their end.
    pub gaps: Vec<Gap>,
    /// Times of the first and last scrape, or `None` if the history is empty.
    pub time_range_ms: Option<(u64, u64)>,
}

/// Metric name and labels, which identify a series.
type SeriesKey = (String, BTreeMap<String, String>);

/// Computes the increments and gaps of `scrapes`, which have to be sorted by time.
///
/// A pause of more than `gap_after_ms` between two scrapes of a process is a gap. If any counter of a
/// process decreases, the process has restarted, and all its counters are counted from zero. The first
/// scrape of a process is a baseline without increments; a series that appears later starts at zero.
pub fn compute_increments(scrapes: &[Scrape], gap_after_ms: u64) -> Increments {
    let mut result = Increments {
        time_range_ms: scrapes
            .first()
            .zip(scrapes.last())
            .map(|(first, last)| (first.at_ms, last.at_ms)),
        ..Increments::default()
    };
    let mut previous: HashMap<&str, (u64, HashMap<SeriesKey, f64>)> = HashMap::new();
    for scrape in scrapes {
        let current_values: HashMap<SeriesKey, f64> = scrape
            .samples
            .iter()
            .map(|sample| ((sample.name.clone(), sample.labels.clone()), sample.value))
            .collect();
        if let Some((from_ms, previous_values)) = previous.get(scrape.source.as_str()) {
            let restarted = current_values.iter().any(|(key, value)| {
                previous_values.get(key).is_some_and(|previous_value| value < previous_value)
            });
            if scrape.at_ms.saturating_sub(*from_ms) > gap_after_ms {
                result.gaps.push(Gap {
                    source: scrape.source.clone(),
                    from_ms: *from_ms,
                    to_ms: scrape.at_ms,
                    restarted,
                });
            }
            for (key, value) in &current_values {
                // After a restart, all counters of the process start at zero, including those that
                // have already grown beyond their previous value.
                let base =
                    if restarted { 0.0 } else { previous_values.get(key).copied().unwrap_or(0.0) };
                if *value > base {
                    result.increments.push(Increment {
                        from_ms: *from_ms,
                        to_ms: scrape.at_ms,
                        name: key.0.clone(),
                        labels: key.1.clone(),
                        value: value - base,
                    });
                }
            }
        }
        previous.insert(&scrape.source, (scrape.at_ms, current_values));
    }
    result.increments.sort_by_key(|increment| increment.to_ms);
    result
}
