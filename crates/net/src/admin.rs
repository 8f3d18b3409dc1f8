//! Admin endpoints of a daemon: `/livez`, `/readyz` and `/metrics`.
//!
//! They are served by `monoio-http`, since requests have no body and responses are small and not
//! streamed.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use deck_core::CancellationToken;
use deck_obs::metrics::Metrics;
use monoio::{
    io::{Splitable, sink::SinkExt, stream::Stream},
    net::{TcpListener, TcpStream},
};
use monoio_http::{
    common::{request::Request, response::Response},
    h1::{
        codec::{decoder::RequestDecoder, encoder::GenericEncoder},
        payload::{FixedPayload, Payload},
    },
};

/// Time without a request after which an admin connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Readiness of a daemon, as reported by `/readyz`; clones share it.
#[derive(Debug, Clone)]
pub struct Readiness {
    /// Why the daemon is not ready; `None` if it is ready.
    not_ready_reason: Rc<RefCell<Option<String>>>,
}

impl Readiness {
    /// Creates the state of a daemon that is not ready, with the reason.
    pub fn new(reason: &str) -> Self {
        Self { not_ready_reason: Rc::new(RefCell::new(Some(reason.to_owned()))) }
    }

    /// Marks the daemon as ready.
    pub fn set_ready(&self) {
        self.not_ready_reason.replace(None);
    }

    /// Marks the daemon as not ready, with the reason.
    pub fn set_not_ready(&self, reason: &str) {
        self.not_ready_reason.replace(Some(reason.to_owned()));
    }

    /// Returns why the daemon is not ready; `None` if it is ready.
    pub fn not_ready_reason(&self) -> Option<String> {
        self.not_ready_reason.borrow().clone()
    }
}

/// Serves the admin endpoints until `cancel` is cancelled.
pub async fn serve(
    listener: TcpListener,
    metrics: Metrics,
    readiness: Readiness,
    cancel: CancellationToken,
) {
    while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            monoio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (metrics, readiness, cancel) = (metrics.clone(), readiness.clone(), cancel.clone());
        monoio::spawn(async move {
            cancel.run_until_cancelled(serve_connection(stream, metrics, readiness)).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, metrics: Metrics, readiness: Readiness) {
    let (reader, writer) = stream.into_split();
    let mut requests = RequestDecoder::new(reader);
    let mut responses = GenericEncoder::new(writer);
    while let Ok(Some(Ok(request))) = monoio::time::timeout(IDLE_TIMEOUT, requests.next()).await {
        let response = respond(&request, &metrics, &readiness);
        if responses.send_and_flush(response).await.is_err() {
            return;
        }
    }
}

fn respond(request: &Request, metrics: &Metrics, readiness: &Readiness) -> Response {
    let (status, text) = match request.uri().path() {
        "/livez" => (200, "ok\n".to_owned()),
        "/readyz" => match readiness.not_ready_reason() {
            None => (200, "ok\n".to_owned()),
            Some(reason) => (503, format!("{reason}\n")),
        },
        "/metrics" => (200, metrics.render()),
        _ => (404, "not found\n".to_owned()),
    };
    let payload = Payload::Fixed(FixedPayload::new(Bytes::from(text)));
    let mut response = Response::new(payload);
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
    let content_type = http::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}
