//! GET calls to the plain service, and requests whose whole response is checked.

use std::{net::SocketAddr, time::Instant};

use crate::{
    Context,
    attempts::{
        CallResult, MAX_RESPONSE_BYTES, Outcome, request_builder, send, with_read_timeout,
        with_retries,
    },
    plan::PlannedCall,
};

/// Sends a GET, with retries. The service responds with the request path, which ends with the
/// nonce.
pub async fn run(context: &Context, call: &PlannedCall, deadline: Instant) -> CallResult {
    with_retries(context, call, deadline, async |entry| {
        let path = format!("/services/{}/seats/{}", context.options.service, call.nonce);
        let builder =
            request_builder(call, "GET", &path, deadline).header("x-priority", "interactive");
        send_and_check(context, entry, builder, String::new(), deadline, |response_body| {
            response_body.ends_with(call.nonce.as_bytes())
        })
        .await
    })
    .await
}

/// Sends a request, reads the whole response and checks it with `is_expected`.
pub async fn send_and_check(
    context: &Context,
    entry: SocketAddr,
    builder: deck_net::http::request::Builder,
    body: String,
    deadline: Instant,
    is_expected: impl Fn(&[u8]) -> bool,
) -> CallResult {
    let response = match send(context, entry, builder, body, deadline).await {
        Ok(response) => response,
        Err(result) => return result,
    };
    let code = response.status.as_str().to_owned();
    match with_read_timeout(deadline, response.collect(MAX_RESPONSE_BYTES)).await {
        Ok(Ok(response_body)) if is_expected(&response_body) => CallResult::new(Outcome::Ok, code),
        Ok(Ok(_)) => CallResult::new(Outcome::Mismatched, "foreign_answer"),
        Ok(Err(_)) => CallResult::new(Outcome::Truncated, "answer_cut"),
        Err(result) => result,
    }
}
