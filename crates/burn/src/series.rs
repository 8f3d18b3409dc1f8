//! Increments of counters between scrapes, with resets and gaps.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::history::Scrape;

/// Increase of one counter between two scrapes of the same process.
#[derive(Debug, Clone, PartialEq)]
pub struct Increment {
    /// Time of the earlier scrape.
    pub from_ms: u64,
    /// Time of the later scrape.
    pub to_ms: u64,
    /// Metric name.
    pub name: String,
    /// Labels.
    pub labels: BTreeMap<String, String>,
    /// Increase. After a restart of the process the counter's new value.
    pub value: f64,
}

/// A time in which a process was not scraped.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gap {
    /// Process.
    pub source: String,
    /// Last scrape before the gap.
    pub from_ms: u64,
    /// First scrape after the gap.
    pub to_ms: u64,
    /// Whether the process restarted meanwhile; what it counted before the restart is lost.
    pub restarted: bool,
}

/// Increments and gaps of a history.
#[derive(Debug, Clone, Default)]
pub struct Increments {
    /// Increments in order of time.
    pub increments: Vec<Increment>,
    /// Gaps in order of time.
    pub gaps: Vec<Gap>,
    /// Times of the first and last scrape; `None` for an empty history.
    pub span_ms: Option<(u64, u64)>,
}

type SeriesKey = (String, BTreeMap<String, String>);

/// Returns the increments of `scrapes`, which are in order of time.
///
/// A time of more than `gap_after_ms` between two scrapes of a process is a gap. A counter that falls
/// shows a restart: its new value is the increase since then. A series that is new in a process that
/// was scraped before counts from zero; the first scrape of a process is its baseline.
pub fn increments(scrapes: &[Scrape], gap_after_ms: u64) -> Increments {
    let mut result = Increments {
        span_ms: scrapes.first().zip(scrapes.last()).map(|(first, last)| (first.at_ms, last.at_ms)),
        ..Increments::default()
    };
    let mut previous: HashMap<&str, (u64, HashMap<SeriesKey, f64>)> = HashMap::new();
    for scrape in scrapes {
        let current: HashMap<SeriesKey, f64> = scrape
            .samples
            .iter()
            .map(|sample| ((sample.name.clone(), sample.labels.clone()), sample.value))
            .collect();
        if let Some((from_ms, before)) = previous.get(scrape.source.as_str()) {
            let restarted = current
                .iter()
                .any(|(key, value)| before.get(key).is_some_and(|before| value < before));
            if scrape.at_ms.saturating_sub(*from_ms) > gap_after_ms {
                result.gaps.push(Gap {
                    source: scrape.source.clone(),
                    from_ms: *from_ms,
                    to_ms: scrape.at_ms,
                    restarted,
                });
            }
            for (key, value) in &current {
                // After a restart all counters of the process start from zero, also those that have
                // grown beyond their old value.
                let base = if restarted { 0.0 } else { before.get(key).copied().unwrap_or(0.0) };
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
        previous.insert(&scrape.source, (scrape.at_ms, current));
    }
    result.increments.sort_by_key(|increment| increment.to_ms);
    result
}
