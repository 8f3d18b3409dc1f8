//! Metrics of the data path.
//!
//! [`METRICS`] lists them all; a test compares the list with `docs/metrics.md`.

use std::{cell::Cell, rc::Rc, time::Duration};

use deck_obs::{metric_rows, metrics::Metrics};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::usage::UsageKey;

metric_rows! {
    REQUESTS = "deckentry_requests_total", "counter", "requests", "pool, organisation, code",
        "Requests answered, by code of the error table or status class.";
    DURATION = "deckentry_request_duration_seconds", "histogram", "seconds", "pool, organisation, priority",
        "Time from the head of a request to the end of its answer.";
    FIRST_BYTE = "deckentry_time_to_first_byte_seconds", "histogram", "seconds", "pool, priority",
        "Time from the head of a request to the first byte of a target's answer.";
    IN_FLIGHT = "deckentry_requests_in_flight", "gauge", "requests", "",
        "Requests that are being served.";
    BODY_BYTES = "deckentry_request_body_bytes", "gauge", "bytes", "",
        "Memory that request bodies take.";
    TRIES = "deckentry_tries_total", "counter", "tries", "pool, outcome",
        "Requests sent to targets, by outcome.";
    RETRIES = "deckentry_retries_total", "counter", "tries", "pool, reason",
        "Tries after the first one, by reason.";
    RESUMES = "deckentry_resumes_total", "counter", "tries", "pool",
        "Completions continued on another engine with the text generated so far.";
    CANCELS = "deckentry_cancels_total", "counter", "requests", "pool",
        "Cancel orders sent to engines.";
    CLAIMS = "deckentry_claims_total", "counter", "claims", "outcome",
        "Idempotency keys claimed in the object API, by outcome.";
    CLAIM_DELETES = "deckentry_claim_deletes_total", "counter", "claims", "outcome",
        "Old claims deleted from the object API, by outcome.";
    REPLAYS = "deckentry_replayed_answers_total", "counter", "answers", "source",
        "Repeats of non-idempotent requests answered from a record, by its place.";
    TICKETS = "deckentry_tickets_issued_total", "counter", "tickets", "",
        "Tickets issued.";
    RECORDS = "deckentry_records", "gauge", "records", "",
        "Non-idempotent calls on record.";
    RECORD_BYTES = "deckentry_record_bytes", "gauge", "bytes", "",
        "Memory that recorded answers take.";
    CRASHES = "deckentry_target_crashes_total", "counter", "crashes", "pool",
        "Calls during which a target broke.";
    TOKENS = "deckentry_tokens_total", "counter", "tokens", "organisation, job, pool",
        "Tokens generated, counted once per call.";
    ENGINE_TIME = "deckentry_engine_seconds_total", "counter", "seconds", "organisation, job, pool",
        "Time that targets spent on calls.";
    LOAD_POLLS = "deckentry_load_polls_total", "counter", "requests", "outcome",
        "Load reports requested from engines, by outcome.";
}

/// Instruments of the data path; clones share them.
#[derive(Clone)]
pub struct CallMetrics {
    inner: Rc<Instruments>,
}

struct Instruments {
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first_byte: Histogram<f64>,
    in_flight: Gauge<u64>,
    in_flight_count: Cell<u64>,
    body_bytes: Gauge<u64>,
    tries: Counter<u64>,
    retries: Counter<u64>,
    resumes: Counter<u64>,
    cancels: Counter<u64>,
    claims: Counter<u64>,
    claim_deletes: Counter<u64>,
    replays: Counter<u64>,
    tickets: Counter<u64>,
    records: Gauge<u64>,
    record_bytes: Gauge<u64>,
    crashes: Counter<u64>,
    tokens: Counter<u64>,
    engine_time: Counter<f64>,
    load_polls: Counter<u64>,
}

fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_owned())
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard(CallMetrics);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let inner = &self.0.inner;
        inner.in_flight_count.set(inner.in_flight_count.get() - 1);
        inner.in_flight.record(inner.in_flight_count.get(), &[]);
    }
}

impl CallMetrics {
    /// Makes the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("call");
        Self {
            inner: Rc::new(Instruments {
                requests: REQUESTS.counter(&meter),
                duration: DURATION.latencies(&meter),
                first_byte: FIRST_BYTE.latencies(&meter),
                in_flight: IN_FLIGHT.gauge(&meter),
                in_flight_count: Cell::new(0),
                body_bytes: BODY_BYTES.gauge(&meter),
                tries: TRIES.counter(&meter),
                retries: RETRIES.counter(&meter),
                resumes: RESUMES.counter(&meter),
                cancels: CANCELS.counter(&meter),
                claims: CLAIMS.counter(&meter),
                claim_deletes: CLAIM_DELETES.counter(&meter),
                replays: REPLAYS.counter(&meter),
                tickets: TICKETS.counter(&meter),
                records: RECORDS.gauge(&meter),
                record_bytes: RECORD_BYTES.gauge(&meter),
                crashes: CRASHES.counter(&meter),
                tokens: TOKENS.counter(&meter),
                engine_time: ENGINE_TIME.seconds_counter(&meter),
                load_polls: LOAD_POLLS.counter(&meter),
            }),
        }
    }

    /// Counts a request in flight.
    pub fn start_request(&self) -> InFlightGuard {
        let count = self.inner.in_flight_count.get() + 1;
        self.inner.in_flight_count.set(count);
        self.inner.in_flight.record(count, &[]);
        InFlightGuard(self.clone())
    }

    /// Returns the number of requests in flight.
    pub fn requests_in_flight(&self) -> u64 {
        self.inner.in_flight_count.get()
    }

    /// Counts an answered request.
    pub fn count_request(&self, pool: &str, organisation: &str, code: &str) {
        let labels =
            [label("pool", pool), label("organisation", organisation), label("code", code)];
        self.inner.requests.add(1, &labels);
    }

    /// Records the duration of a request.
    pub fn record_duration(
        &self,
        pool: &str,
        organisation: &str,
        priority: &str,
        duration: Duration,
    ) {
        let labels =
            [label("pool", pool), label("organisation", organisation), label("priority", priority)];
        self.inner.duration.record(duration.as_secs_f64(), &labels);
    }

    /// Records the time to the first byte.
    pub fn record_first_byte(&self, pool: &str, priority: &str, duration: Duration) {
        let labels = [label("pool", pool), label("priority", priority)];
        self.inner.first_byte.record(duration.as_secs_f64(), &labels);
    }

    /// Records the memory of request bodies.
    pub fn set_body_bytes(&self, bytes: usize) {
        self.inner.body_bytes.record(bytes as u64, &[]);
    }

    /// Counts a try.
    pub fn count_attempt(&self, pool: &str, outcome: &str) {
        self.inner.tries.add(1, &[label("pool", pool), label("outcome", outcome)]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, pool: &str, reason: &str) {
        self.inner.retries.add(1, &[label("pool", pool), label("reason", reason)]);
    }

    /// Counts a resumed completion.
    pub fn count_resume(&self, pool: &str) {
        self.inner.resumes.add(1, &[label("pool", pool)]);
    }

    /// Counts a cancel order.
    pub fn count_cancel(&self, pool: &str) {
        self.inner.cancels.add(1, &[label("pool", pool)]);
    }

    /// Counts a claim.
    pub fn count_claim(&self, outcome: &str) {
        self.inner.claims.add(1, &[label("outcome", outcome)]);
    }

    /// Counts a deleted claim.
    pub fn count_claim_delete(&self, outcome: &str) {
        self.inner.claim_deletes.add(1, &[label("outcome", outcome)]);
    }

    /// Counts a replayed answer.
    pub fn count_replay(&self, source: &str) {
        self.inner.replays.add(1, &[label("source", source)]);
    }

    /// Counts an issued ticket.
    pub fn count_ticket(&self) {
        self.inner.tickets.add(1, &[]);
    }

    /// Records the size of the records.
    pub fn set_record_gauges(&self, count: usize, bytes: usize) {
        self.inner.records.record(count as u64, &[]);
        self.inner.record_bytes.record(bytes as u64, &[]);
    }

    /// Counts a call during which a target broke.
    pub fn count_crash(&self, pool: &str) {
        self.inner.crashes.add(1, &[label("pool", pool)]);
    }

    /// Counts the usage of a call.
    pub fn count_usage(&self, key: &UsageKey, tokens: u64, engine_time: Duration) {
        let labels = [
            label("organisation", &key.organisation),
            label("job", &key.job),
            label("pool", &key.pool),
        ];
        self.inner.tokens.add(tokens, &labels);
        self.inner.engine_time.add(engine_time.as_secs_f64(), &labels);
    }

    /// Counts a requested load report.
    pub fn count_load_poll(&self, outcome: &str) {
        self.inner.load_polls.add(1, &[label("outcome", outcome)]);
    }
}
