//! Plan of all calls of a run. It depends only on the options, of which the seed is one, so a run
//! can be repeated.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

use crate::Options;

/// Class of a call; latencies and outcomes are reported by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short interactive completion.
    Short,
    /// Long completion.
    Long,
    /// GET to the plain service.
    Get,
    /// Booking with an idempotency key that the caller generates.
    Book,
    /// Booking with a ticket, which the caller requests first and sends as the idempotency key.
    Ticket,
}

/// One planned call.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// Planned start, relative to the start of the run.
    pub start: Duration,
    /// Class of the call, which decides the request that is sent.
    pub class: Class,
    /// Identifier that the response must contain. It is also sent as the request id.
    pub nonce: String,
    /// Organisation that sends the call.
    pub organisation: String,
    /// Index of the entry that receives the first attempt.
    pub first_entry: usize,
}

/// Returns all calls in the order of their planned start.
pub fn planned_calls(options: &Options) -> Vec<PlannedCall> {
    let rates_per_s = [
        (Class::Short, options.short_per_s),
        (Class::Long, options.long_per_s),
        (Class::Get, options.get_per_s),
        (Class::Book, options.book_per_s),
        (Class::Ticket, options.ticket_per_s),
    ];
    let mut calls: Vec<PlannedCall> =
        rates_per_s.iter().flat_map(|(class, rate)| class_calls(options, *class, *rate)).collect();
    calls.sort_by_key(|call| call.start);
    calls
}

/// Returns the calls of one class: a Poisson process with its own seed, so that the rate of one
/// class does not change the calls of another.
fn class_calls(options: &Options, class: Class, rate_per_s: f64) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    if rate_per_s <= 0.0 {
        return calls;
    }
    let mut random = StdRng::seed_from_u64(options.seed.wrapping_mul(31) + class as u64);
    let end = Duration::from_millis(options.duration_ms);
    let mut start = Duration::ZERO;
    loop {
        let uniform: f64 = random.random();
        start += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate_per_s);
        if start >= end {
            return calls;
        }
        let organisations = &options.organisation;
        let organisation = match organisations.len() {
            0 => "org".to_owned(),
            count => organisations[random.random_range(0..count)].clone(),
        };
        calls.push(PlannedCall {
            start,
            class,
            nonce: format!("{:016x}", random.random::<u64>()),
            organisation,
            first_entry: random.random_range(0..options.entry.len()),
        });
    }
}
