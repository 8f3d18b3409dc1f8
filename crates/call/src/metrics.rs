//! Metrics of the call handler.
//!
//! [`METRICS`] lists all of them; a test compares the list with `docs/metrics.md`.

use std::{cell::Cell, rc::Rc, time::Duration};

use deck_obs::{define_metrics, metrics::Metrics};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::usage::UsageKey;

define_metrics! {
    REQUESTS = "deckentry_requests_total", "counter", "requests", "pool, organisation, code",
        "Requests answered, by code of the error table or status class.";
    REQUEST_DURATION = "deckentry_request_duration_seconds", "histogram", "seconds", "pool, organisation, priority",
        "Time from the head of a request to the end of its answer.";
    TIME_TO_FIRST_BYTE = "deckentry_time_to_first_byte_seconds", "histogram", "seconds", "pool, priority",
        "Time from the head of a request to the first byte of a target's answer.";
    REQUESTS_IN_FLIGHT = "deckentry_requests_in_flight", "gauge", "requests", "",
        "Requests that are being served.";
    REQUEST_BODY_BYTES = "deckentry_request_body_bytes", "gauge", "bytes", "",
        "Memory that request bodies take.";
    ATTEMPTS = "deckentry_tries_total", "counter", "tries", "pool, outcome",
        "Requests sent to targets, by outcome.";
    RETRIES = "deckentry_retries_total", "counter", "tries", "pool, reason",
        "Tries after the first one, by reason.";
    RESUMES = "deckentry_resumes_total", "counter", "tries", "pool",
        "Completions continued on another engine with the text generated so far.";
    CANCEL_REQUESTS = "deckentry_cancels_total", "counter", "requests", "pool",
        "Cancel orders sent to engines.";
    CLAIMS = "deckentry_claims_total", "counter", "claims", "outcome",
        "Idempotency keys claimed in the object API, by outcome.";
    CLAIM_DELETES = "deckentry_claim_deletes_total", "counter", "claims", "outcome",
        "Old claims deleted from the object API, by outcome.";
    REPLAYED_RESPONSES = "deckentry_replayed_answers_total", "counter", "answers", "source",
        "Repeats of non-idempotent requests answered from a record, by its place.";
    ISSUED_TICKETS = "deckentry_tickets_issued_total", "counter", "tickets", "",
        "Tickets issued.";
    EXECUTION_RECORDS = "deckentry_records", "gauge", "records", "",
        "Non-idempotent calls on record.";
    RECORDED_RESPONSE_BYTES = "deckentry_record_bytes", "gauge", "bytes", "",
        "Memory that recorded answers take.";
    TARGET_CRASHES = "deckentry_target_crashes_total", "counter", "crashes", "pool",
        "Calls during which a target broke.";
    GENERATED_TOKENS = "deckentry_tokens_total", "counter", "tokens", "organisation, job, pool",
        "Tokens generated, counted once per call.";
    ENGINE_TIME = "deckentry_engine_seconds_total", "counter", "seconds", "organisation, job, pool",
        "Time that targets spent on calls.";
    LOAD_POLLS = "deckentry_load_polls_total", "counter", "requests", "outcome",
        "Load reports requested from engines, by outcome.";
}

/// Metric instruments of the call handler. Clones share them.
#[derive(Clone)]
pub struct CallMetrics {
    instruments: Rc<Instruments>,
}

/// Instruments of all metrics, and the value of the gauge of requests in flight.
struct Instruments {
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first_byte: Histogram<f64>,
    in_flight: Gauge<u64>,
    in_flight_count: Cell<u64>,
    body_bytes: Gauge<u64>,
    attempts: Counter<u64>,
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

/// Returns a metric label.
fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_owned())
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard(CallMetrics);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let instruments = &self.0.instruments;
        instruments.in_flight_count.set(instruments.in_flight_count.get() - 1);
        instruments.in_flight.record(instruments.in_flight_count.get(), &[]);
    }
}

impl CallMetrics {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("call");
        Self {
            instruments: Rc::new(Instruments {
                requests: REQUESTS.counter(&meter),
                duration: REQUEST_DURATION.latency_histogram(&meter),
                first_byte: TIME_TO_FIRST_BYTE.latency_histogram(&meter),
                in_flight: REQUESTS_IN_FLIGHT.gauge(&meter),
                in_flight_count: Cell::new(0),
                body_bytes: REQUEST_BODY_BYTES.gauge(&meter),
                attempts: ATTEMPTS.counter(&meter),
                retries: RETRIES.counter(&meter),
                resumes: RESUMES.counter(&meter),
                cancels: CANCEL_REQUESTS.counter(&meter),
                claims: CLAIMS.counter(&meter),
                claim_deletes: CLAIM_DELETES.counter(&meter),
                replays: REPLAYED_RESPONSES.counter(&meter),
                tickets: ISSUED_TICKETS.counter(&meter),
                records: EXECUTION_RECORDS.gauge(&meter),
                record_bytes: RECORDED_RESPONSE_BYTES.gauge(&meter),
                crashes: TARGET_CRASHES.counter(&meter),
                tokens: GENERATED_TOKENS.counter(&meter),
                engine_time: ENGINE_TIME.seconds_counter(&meter),
                load_polls: LOAD_POLLS.counter(&meter),
            }),
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        let count = self.instruments.in_flight_count.get() + 1;
        self.instruments.in_flight_count.set(count);
        self.instruments.in_flight.record(count, &[]);
        InFlightGuard(self.clone())
    }

    /// Returns the number of requests in flight.
    pub fn requests_in_flight(&self) -> u64 {
        self.instruments.in_flight_count.get()
    }

    /// Counts a completed request by its result code.
    pub fn count_request(&self, pool: &str, organisation: &str, code: &str) {
        let labels =
            [label("pool", pool), label("organisation", organisation), label("code", code)];
        self.instruments.requests.add(1, &labels);
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
        self.instruments.duration.record(duration.as_secs_f64(), &labels);
    }

    /// Records the time to the first byte of a target's response.
    pub fn record_first_byte(&self, pool: &str, priority: &str, duration: Duration) {
        let labels = [label("pool", pool), label("priority", priority)];
        self.instruments.first_byte.record(duration.as_secs_f64(), &labels);
    }

    /// Sets the memory use of buffered request bodies.
    pub fn set_body_bytes(&self, bytes: usize) {
        self.instruments.body_bytes.record(bytes as u64, &[]);
    }

    /// Counts an attempt by its outcome.
    pub fn count_attempt(&self, pool: &str, outcome: &str) {
        self.instruments.attempts.add(1, &[label("pool", pool), label("outcome", outcome)]);
    }

    /// Counts a retry by its reason.
    pub fn count_retry(&self, pool: &str, reason: &str) {
        self.instruments.retries.add(1, &[label("pool", pool), label("reason", reason)]);
    }

    /// Counts a completion that is resumed on another engine.
    pub fn count_resume(&self, pool: &str) {
        self.instruments.resumes.add(1, &[label("pool", pool)]);
    }

    /// Counts a cancellation request to an engine.
    pub fn count_cancel(&self, pool: &str) {
        self.instruments.cancels.add(1, &[label("pool", pool)]);
    }

    /// Counts an attempt to claim an idempotency key, by outcome.
    pub fn count_claim(&self, outcome: &str) {
        self.instruments.claims.add(1, &[label("outcome", outcome)]);
    }

    /// Counts a request to delete a claim, by outcome.
    pub fn count_claim_delete(&self, outcome: &str) {
        self.instruments.claim_deletes.add(1, &[label("outcome", outcome)]);
    }

    /// Counts a repeat answered from a record, by the VM that has the record: this one (`own`) or
    /// another (`peer`).
    pub fn count_replay(&self, source: &str) {
        self.instruments.replays.add(1, &[label("source", source)]);
    }

    /// Counts an issued ticket.
    pub fn count_ticket(&self) {
        self.instruments.tickets.add(1, &[]);
    }

    /// Sets the number of execution records and the memory use of their responses.
    pub fn set_record_gauges(&self, count: usize, bytes: usize) {
        self.instruments.records.record(count as u64, &[]);
        self.instruments.record_bytes.record(bytes as u64, &[]);
    }

    /// Counts a call during which a target crashed.
    pub fn count_crash(&self, pool: &str) {
        self.instruments.crashes.add(1, &[label("pool", pool)]);
    }

    /// Counts the tokens and engine time of a finished call.
    pub fn count_usage(&self, key: &UsageKey, tokens: u64, engine_time: Duration) {
        let labels = [
            label("organisation", &key.organisation),
            label("job", &key.job),
            label("pool", &key.pool),
        ];
        self.instruments.tokens.add(tokens, &labels);
        self.instruments.engine_time.add(engine_time.as_secs_f64(), &labels);
    }

    /// Counts a request for the load report of an engine, by outcome (`ok` or `failed`).
    pub fn count_load_poll(&self, outcome: &str) {
        self.instruments.load_polls.add(1, &[label("outcome", outcome)]);
    }
}
