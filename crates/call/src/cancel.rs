//! Cancellation of requests at engines.

use std::{net::SocketAddr, time::Duration};

use deck_net::{
    Body,
    http::{Method, Request, Uri},
};

use crate::{
    attempt::{Attempt, json_headers},
    call::Call,
    completion_api::CancelRequest,
    shared::SharedRef,
};

/// Timeout of a cancellation request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Guard that cancels a request at its engine on drop unless it is disarmed.
pub(crate) struct CancelOnDrop {
    shared: SharedRef,
    pool: String,
    address: SocketAddr,
    /// `None` after the guard is disarmed.
    request_id: Option<String>,
}

impl CancelOnDrop {
    pub(crate) fn new(
        shared: &SharedRef,
        call: &Call,
        attempt: &Attempt,
        request_id: String,
    ) -> Self {
        Self {
            shared: shared.clone(),
            pool: call.pool.name.clone(),
            address: attempt.address,
            request_id: Some(request_id),
        }
    }

    /// Disarms the guard after the request has ended at the engine.
    pub(crate) fn disarm(mut self) {
        self.request_id = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(request_id) = self.request_id.take() else { return };
        self.shared.metrics.count_cancel(&self.pool);
        let (client, address) = (self.shared.client.clone(), self.address);
        monoio::spawn(async move {
            let cancel_request = CancelRequest { request_id };
            let Ok(body) = serde_json::to_vec(&cancel_request) else { return };
            let mut request = Request::new(Body::full(body));
            *request.method_mut() = Method::POST;
            *request.uri_mut() = Uri::from_static("/v1/cancel");
            *request.headers_mut() = json_headers();
            let send_result =
                monoio::time::timeout(CANCEL_TIMEOUT, client.send(address, request)).await;
            if !matches!(send_result, Ok(Ok(_))) {
                log::debug!(target: "call", "cancellation request failed address={address}");
            }
        });
    }
}
