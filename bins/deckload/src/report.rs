//! Report of a load run: outcomes and latencies by class and organisation.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    attempts::{CallResult, Outcome},
    plan::{Class, PlannedCall},
};

/// Upper bound of the latency histograms, one hour; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// One booking in the list that `--list-bookings` adds to the report.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Booking {
    /// Idempotency key that all attempts sent; `None` if no ticket was issued to serve as the key.
    key: Option<String>,
    /// `Book` or `Ticket`.
    class: Class,
    /// Result of the last attempt.
    outcome: Outcome,
    /// HTTP status, error code or detected failure of the last attempt.
    code: String,
    /// Number of attempts.
    tries: u32,
    /// Whether every attempt reported that the booking was not executed.
    never_run: bool,
}

/// A response with wrong content or to another request.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Mismatch {
    class: Class,
    /// Identifier that the response should have contained; also the request id.
    nonce: String,
    code: String,
}

/// Counts and latencies of the calls of one class.
#[derive(Default)]
struct ClassReport {
    /// Number of calls; the retries of a call are counted in `retries`.
    sent: u64,
    retries: u64,
    /// Number of calls by outcome.
    outcomes: BTreeMap<Outcome, u64>,
    /// Number of calls by HTTP status, error code or detected failure of the last attempt.
    codes: BTreeMap<String, u64>,
    /// Time from the planned start to the end of a successful call.
    latency: Latencies,
    /// Time from the planned start to the first token, for calls that received one.
    first_token: Latencies,
}

/// Counts of the calls of one organisation.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct OrganisationReport {
    /// Number of calls.
    sent: u64,
    /// Number of successful calls.
    ok: u64,
    /// Number of tokens received by successful calls.
    tokens: u64,
}

/// Histogram of latencies in microseconds; `None` if it could not be created.
struct Latencies(Option<Histogram<u64>>);

impl Default for Latencies {
    fn default() -> Self {
        // Three significant digits. Creation fails only with invalid bounds, and these are valid.
        Self(Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).ok())
    }
}

/// Counts and latencies of a run, collected as calls end.
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

    /// Adds a call whose planned start was `planned_start` and that ended at `end`. Latencies are
    /// measured from the planned start.
    pub fn record(
        &mut self,
        call: &PlannedCall,
        result: &CallResult,
        planned_start: Instant,
        end: Instant,
    ) {
        let class = self.classes.entry(call.class).or_default();
        class.sent += 1;
        class.retries += u64::from(result.tries - 1);
        *class.outcomes.entry(result.outcome).or_default() += 1;
        *class.codes.entry(result.code.clone()).or_default() += 1;
        let organisation = self.organisations.entry(call.organisation.clone()).or_default();
        organisation.sent += 1;
        if result.outcome == Outcome::Ok {
            class.latency.record(end - planned_start);
            organisation.ok += 1;
            organisation.tokens += result.token_count;
        }
        if let Some(first_token) = result.first_token {
            class.first_token.record(first_token - planned_start);
        }
        if result.outcome == Outcome::Mismatched {
            self.mismatches.push(Mismatch {
                class: call.class,
                nonce: call.nonce.clone(),
                code: result.code.clone(),
            });
        }
        if matches!(call.class, Class::Book | Class::Ticket) {
            self.bookings.push(Booking {
                key: result.key.clone(),
                class: call.class,
                outcome: result.outcome,
                code: result.code.clone(),
                tries: result.tries,
                never_run: result.never_run,
            });
        }
    }

    /// Returns the report as JSON.
    pub fn to_json(&self, list_bookings: bool) -> Value {
        let classes: BTreeMap<String, Value> = self
            .classes
            .iter()
            .map(|(class, report)| (serialized_name(class), report.to_json()))
            .collect();
        let total = |outcome: Outcome| -> u64 {
            self.classes.values().filter_map(|class| class.outcomes.get(&outcome)).sum()
        };
        let sent: u64 = self.classes.values().map(|class| class.sent).sum();
        let mut json = json!({
            "seed": self.seed,
            "duration_ms": self.duration_ms,
            "sent": sent,
            "ok": total(Outcome::Ok),
            "not_run": total(Outcome::NotRun),
            "unknown": total(Outcome::Unknown),
            "ran": total(Outcome::Ran),
            "truncated": total(Outcome::Truncated),
            "mismatched": total(Outcome::Mismatched),
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
        let outcomes: BTreeMap<String, u64> = self
            .outcomes
            .iter()
            .map(|(outcome, count)| (serialized_name(outcome), *count))
            .collect();
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

/// Returns the name under which serde writes an enum variant without fields.
fn serialized_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(name)) => name,
        _ => String::new(),
    }
}
