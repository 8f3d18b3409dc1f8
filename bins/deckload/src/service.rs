//! GET calls to the plain service.

use std::{net::SocketAddr, time::Instant};

use crate::{
    Load,
    exchange::{Ended, MAX_ANSWER_BYTES, Outcome, request, send, with_retries, within},
    plan::Arrival,
};

/// Runs a GET; the service answers with the path, which ends in the nonce.
pub async fn call(load: &Load, arrival: &Arrival, deadline: Instant) -> Ended {
    with_retries(load, arrival, deadline, async |entry| {
        let path = format!("/services/{}/seats/{}", load.options.service, arrival.nonce);
        let head = request(arrival, "GET", &path, deadline).header("x-priority", "interactive");
        exchange(load, entry, head, String::new(), deadline, |answer| {
            answer.ends_with(arrival.nonce.as_bytes())
        })
        .await
    })
    .await
}

/// Sends a request and checks the whole answer.
pub async fn exchange(
    load: &Load,
    entry: SocketAddr,
    head: deck_net::http::request::Builder,
    body: String,
    deadline: Instant,
    is_own: impl Fn(&[u8]) -> bool,
) -> Ended {
    let response = match send(load, entry, head, body, deadline).await {
        Ok(response) => response,
        Err(ended) => return ended,
    };
    let code = response.status.as_str().to_owned();
    match within(deadline, response.collect(MAX_ANSWER_BYTES)).await {
        Ok(Ok(answer)) if is_own(&answer) => Ended::new(Outcome::Ok, code),
        Ok(Ok(_)) => Ended::new(Outcome::Mismatched, "foreign_answer"),
        Ok(Err(_)) => Ended::new(Outcome::Truncated, "answer_cut"),
        Err(ended) => ended,
    }
}
