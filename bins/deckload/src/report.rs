//! Report of a load run.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    exchange::{Ended, Outcome},
    plan::{Arrival, Class},
};

/// Longest latency that is told apart.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Outcome of one booking.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Booking {
    key: Option<String>,
    class: Class,
    outcome: Outcome,
    code: String,
    tries: u32,
    /// All tries said that nothing has run.
    never_run: bool,
}

/// An answer that was not the one to the request.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Mismatch {
    class: Class,
    nonce: String,
    code: String,
}

#[derive(Default)]
struct ClassReport {
    sent: u64,
    retries: u64,
    outcomes: BTreeMap<Outcome, u64>,
    codes: BTreeMap<String, u64>,
    latency: Latencies,
    first_token: Latencies,
}

#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct OrganisationReport {
    sent: u64,
    ok: u64,
    tokens: u64,
}

struct Latencies(Option<Histogram<u64>>);

impl Default for Latencies {
    fn default() -> Self {
        // Three significant digits; the bounds are valid constants, so this does not fail.
        Self(Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).ok())
    }
}

/// Counts and latencies of a run.
pub struct Report {
    seed: u64,
    duration_ms: u64,
    classes: BTreeMap<Class, ClassReport>,
    organisations: BTreeMap<String, OrganisationReport>,
    mismatches: Vec<Mismatch>,
    bookings: Vec<Booking>,
}

impl Report {
    /// Returns an empty report.
    pub fn new(seed: u64, duration_ms: u64) -> Self {
        Self {
            seed,
            duration_ms,
            classes: BTreeMap::new(),
            organisations: BTreeMap::new(),
            mismatches: Vec::new(),
            bookings: Vec::new(),
        }
    }

    /// Adds a call that was due at `due` and ended at `now`.
    pub fn record(&mut self, arrival: &Arrival, ended: &Ended, due: Instant, now: Instant) {
        let class = self.classes.entry(arrival.class).or_default();
        class.sent += 1;
        class.retries += u64::from(ended.tries - 1);
        *class.outcomes.entry(ended.outcome).or_default() += 1;
        *class.codes.entry(ended.code.clone()).or_default() += 1;
        let organisation = self.organisations.entry(arrival.organisation.clone()).or_default();
        organisation.sent += 1;
        if ended.outcome == Outcome::Ok {
            class.latency.record(now - due);
            organisation.ok += 1;
            organisation.tokens += ended.token_count;
        }
        if let Some(first_token) = ended.first_token {
            class.first_token.record(first_token - due);
        }
        if ended.outcome == Outcome::Mismatched {
            self.mismatches.push(Mismatch {
                class: arrival.class,
                nonce: arrival.nonce.clone(),
                code: ended.code.clone(),
            });
        }
        if matches!(arrival.class, Class::Book | Class::Ticket) {
            self.bookings.push(Booking {
                key: ended.key.clone(),
                class: arrival.class,
                outcome: ended.outcome,
                code: ended.code.clone(),
                tries: ended.tries,
                never_run: ended.never_run,
            });
        }
    }

    /// Returns the report as JSON.
    pub fn to_json(&self, list_bookings: bool) -> Value {
        let classes: BTreeMap<String, Value> =
            self.classes.iter().map(|(class, report)| (name(class), report.to_json())).collect();
        let sum = |outcome: Outcome| -> u64 {
            self.classes.values().filter_map(|class| class.outcomes.get(&outcome)).sum()
        };
        let sent: u64 = self.classes.values().map(|class| class.sent).sum();
        let mut json = json!({
            "seed": self.seed,
            "duration_ms": self.duration_ms,
            "sent": sent,
            "ok": sum(Outcome::Ok),
            "not_run": sum(Outcome::NotRun),
            "unknown": sum(Outcome::Unknown),
            "ran": sum(Outcome::Ran),
            "truncated": sum(Outcome::Truncated),
            "mismatched": sum(Outcome::Mismatched),
            "classes": classes,
            "organisations": self.organisations,
            "mismatches": self.mismatches,
        });
        if list_bookings {
            json["bookings"] = json!(self.bookings);
        }
        json
    }
}

impl ClassReport {
    fn to_json(&self) -> Value {
        let outcomes: BTreeMap<String, u64> =
            self.outcomes.iter().map(|(outcome, count)| (name(outcome), *count)).collect();
        json!({
            "sent": self.sent,
            "retries": self.retries,
            "outcomes": outcomes,
            "codes": self.codes,
            "latency_ms": self.latency.to_json(),
            "first_token_ms": self.first_token.to_json(),
        })
    }
}

impl Latencies {
    fn record(&mut self, latency: Duration) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_US));
        }
    }

    fn to_json(&self) -> Value {
        let Some(histogram) = self.0.as_ref().filter(|histogram| !histogram.is_empty()) else {
            return Value::Null;
        };
        let ms = |us: u64| us as f64 / 1000.0;
        json!({
            "count": histogram.len(),
            "mean": histogram.mean() / 1000.0,
            "p50": ms(histogram.value_at_quantile(0.50)),
            "p90": ms(histogram.value_at_quantile(0.90)),
            "p99": ms(histogram.value_at_quantile(0.99)),
            "p999": ms(histogram.value_at_quantile(0.999)),
            "max": ms(histogram.max()),
        })
    }
}

fn name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(name)) => name,
        _ => String::new(),
    }
}
