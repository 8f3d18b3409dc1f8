//! Plan of the arrivals, made from the seed alone.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

use crate::Options;

/// Class of a call.
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
    /// Booking with a key of the caller.
    Book,
    /// Booking with a ticket.
    Ticket,
}

/// One planned call.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time after the start.
    pub at: Duration,
    /// Class.
    pub class: Class,
    /// Identifier that the answer has to echo.
    pub nonce: String,
    /// Organisation.
    pub organisation: String,
    /// Index of the first entry to try.
    pub entry: usize,
}

/// Returns all calls in the order of their times.
pub fn arrivals(options: &Options) -> Vec<Arrival> {
    let rates_per_s = [
        (Class::Short, options.short_per_s),
        (Class::Long, options.long_per_s),
        (Class::Get, options.get_per_s),
        (Class::Book, options.book_per_s),
        (Class::Ticket, options.ticket_per_s),
    ];
    let mut arrivals: Vec<Arrival> = rates_per_s
        .iter()
        .flat_map(|(class, rate)| class_arrivals(options, *class, *rate))
        .collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Arrivals of one class: a Poisson process with a seed of its own, so that the rate of one class
/// does not change the times of another.
fn class_arrivals(options: &Options, class: Class, rate_per_s: f64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    if rate_per_s <= 0.0 {
        return arrivals;
    }
    let mut random = StdRng::seed_from_u64(options.seed.wrapping_mul(31) + class as u64);
    let end = Duration::from_millis(options.duration_ms);
    let mut at = Duration::ZERO;
    loop {
        let draw: f64 = random.random();
        at += Duration::from_secs_f64(-(1.0 - draw).ln() / rate_per_s);
        if at >= end {
            return arrivals;
        }
        let organisations = &options.organisation;
        let organisation = match organisations.len() {
            0 => "org".to_owned(),
            count => organisations[random.random_range(0..count)].clone(),
        };
        arrivals.push(Arrival {
            at,
            class,
            nonce: format!("{:016x}", random.random::<u64>()),
            organisation,
            entry: random.random_range(0..options.entry.len()),
        });
    }
}
