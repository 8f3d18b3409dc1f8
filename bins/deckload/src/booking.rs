//! Bookings: calls that must not run twice, with a key of the caller or a ticket.

use std::{net::SocketAddr, time::Instant};

use serde::Deserialize;
use serde_json::json;

use crate::{
    Load,
    exchange::{Ended, MAX_ANSWER_BYTES, Outcome, request, send, with_retries, within},
    plan::{Arrival, Class},
    service::exchange,
};

#[derive(Deserialize)]
struct TicketAnswer {
    ticket: String,
}

/// Runs a booking. All its tries have the same key, so a repeat is safe whatever came of the first.
pub async fn call(load: &Load, arrival: &Arrival, deadline: Instant) -> Ended {
    let mut key = match arrival.class {
        Class::Ticket => None,
        _ => Some(format!("key-{}", arrival.nonce)),
    };
    let ended = with_retries(load, arrival, deadline, async |entry| {
        let key = match &key {
            Some(key) => key.clone(),
            None => match fetch_ticket(load, arrival, entry, deadline).await {
                Ok(ticket) => key.insert(ticket).clone(),
                Err(ended) => return ended,
            },
        };
        attempt(load, arrival, entry, &key, deadline).await
    })
    .await;
    Ended { key, ..ended }
}

async fn attempt(
    load: &Load,
    arrival: &Arrival,
    entry: SocketAddr,
    key: &str,
    deadline: Instant,
) -> Ended {
    let path = format!("/services/{}/book", load.options.service);
    let body = json!({ "nonce": arrival.nonce }).to_string();
    let head = request(arrival, "POST", &path, deadline)
        .header("x-priority", "interactive")
        .header("idempotency-key", key);
    let ended =
        exchange(load, entry, head, body.clone(), deadline, |answer| answer == body.as_bytes())
            .await;
    // A repeat with the same key returns the recorded answer, so a cut answer is asked for again.
    match ended.outcome {
        Outcome::Truncated => Ended { retry_after: Some(crate::exchange::RECONNECT_WAIT), ..ended },
        _ => ended,
    }
}

/// Asks for a ticket. Nothing has run if there is none, whatever came of the request for it.
async fn fetch_ticket(
    load: &Load,
    arrival: &Arrival,
    entry: SocketAddr,
    deadline: Instant,
) -> Result<String, Ended> {
    let not_run = |ended: Ended| Ended { outcome: Outcome::NotRun, never_run: true, ..ended };
    let head = request(arrival, "POST", "/v1/tickets", deadline);
    let response = send(load, entry, head, String::new(), deadline).await.map_err(not_run)?;
    let collected = within(deadline, response.collect(MAX_ANSWER_BYTES)).await.map_err(not_run)?;
    let bytes = collected.map_err(|error| not_run(Ended::broken(&error)))?;
    let answer = serde_json::from_slice::<TicketAnswer>(&bytes);
    answer
        .map(|answer| answer.ticket)
        .map_err(|error| Ended::new(Outcome::NotRun, format!("no ticket: {error}")))
}
