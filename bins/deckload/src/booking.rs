//! Bookings: calls that must not be executed twice. Each has an idempotency key, which is a key of
//! the caller or a ticket issued by an entry.

use std::{net::SocketAddr, time::Instant};

use serde::Deserialize;
use serde_json::json;

use crate::{
    Context,
    attempts::{
        CallResult, MAX_RESPONSE_BYTES, Outcome, request_builder, send, with_read_timeout,
        with_retries,
    },
    plan::{Class, PlannedCall},
    service::send_and_check,
};

#[derive(Deserialize)]
struct TicketResponse {
    ticket: String,
}

/// Makes a booking, with retries. All attempts have the same key, so a retry is safe whatever the
/// outcome of the first attempt was.
pub async fn run(context: &Context, call: &PlannedCall, deadline: Instant) -> CallResult {
    let mut key = match call.class {
        Class::Ticket => None,
        _ => Some(format!("key-{}", call.nonce)),
    };
    let result = with_retries(context, call, deadline, async |entry| {
        let key = match &key {
            Some(key) => key.clone(),
            None => match fetch_ticket(context, call, entry, deadline).await {
                Ok(ticket) => key.insert(ticket).clone(),
                Err(result) => return result,
            },
        };
        attempt(context, call, entry, &key, deadline).await
    })
    .await;
    CallResult { key, ..result }
}

async fn attempt(
    context: &Context,
    call: &PlannedCall,
    entry: SocketAddr,
    key: &str,
    deadline: Instant,
) -> CallResult {
    let path = format!("/services/{}/book", context.options.service);
    let body = json!({ "nonce": call.nonce }).to_string();
    let builder = request_builder(call, "POST", &path, deadline)
        .header("x-priority", "interactive")
        .header("idempotency-key", key);
    let result = send_and_check(context, entry, builder, body.clone(), deadline, |response_body| {
        response_body == body.as_bytes()
    })
    .await;
    // A retry with the same key returns the recorded response, so a truncated response is requested
    // again.
    match result.outcome {
        Outcome::Truncated => {
            CallResult { retry_after: Some(crate::attempts::RECONNECT_DELAY), ..result }
        }
        _ => result,
    }
}

/// Requests a ticket. Without a ticket the booking has not been executed, so every failure of this
/// request counts as [`Outcome::NotRun`].
async fn fetch_ticket(
    context: &Context,
    call: &PlannedCall,
    entry: SocketAddr,
    deadline: Instant,
) -> Result<String, CallResult> {
    let not_run =
        |result: CallResult| CallResult { outcome: Outcome::NotRun, never_run: true, ..result };
    let builder = request_builder(call, "POST", "/v1/tickets", deadline);
    let response = send(context, entry, builder, String::new(), deadline).await.map_err(not_run)?;
    let collected =
        with_read_timeout(deadline, response.collect(MAX_RESPONSE_BYTES)).await.map_err(not_run)?;
    let bytes = collected.map_err(|error| not_run(CallResult::connection_failed(&error)))?;
    let response = serde_json::from_slice::<TicketResponse>(&bytes);
    response
        .map(|response| response.ticket)
        .map_err(|error| CallResult::new(Outcome::NotRun, format!("no ticket: {error}")))
}
