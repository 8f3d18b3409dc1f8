//! Admin endpoints of a daemon: `/livez`, `/readyz` and `/metrics`.

use std::{cell::RefCell, rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_obs::metrics::Metrics;
use http::Response;
use monoio::net::TcpListener;

use crate::{Account, Body, LedgerLimits, ServerOptions, server::text_response};

/// Time without a request after which an admin connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of connections. The one with the least progress is closed for a further one.
const MAX_CONNECTIONS: usize = 32;
/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Memory for request heads and unread answers, and the part of it for small ones.
const CAPACITY_BYTES: usize = 8 * 1024 * 1024;
const RESERVED_BYTES: usize = 1024 * 1024;

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

/// Serves the admin endpoints until `cancel` is cancelled. Bodies of requests are not read.
pub async fn serve(
    listener: TcpListener,
    metrics: Metrics,
    readiness: Readiness,
    cancel: CancellationToken,
) {
    let limits = LedgerLimits { capacity_bytes: CAPACITY_BYTES, reserved_bytes: RESERVED_BYTES };
    let options = ServerOptions {
        max_head_bytes: MAX_HEAD_BYTES,
        max_connections: MAX_CONNECTIONS,
        replaces_least_progress: true,
        head_timeout: IDLE_TIMEOUT,
        account: Account::new(limits),
        ..ServerOptions::default()
    };
    let serving = crate::serve(listener, options, cancel.clone(), move |request| {
        std::future::ready(respond(request.uri().path(), &metrics, &readiness))
    });
    cancel.run_until_cancelled(serving).await;
}

fn respond(path: &str, metrics: &Metrics, readiness: &Readiness) -> Response<Body> {
    match path {
        "/livez" => text_response(200, "ok\n"),
        "/readyz" => match readiness.not_ready_reason() {
            None => text_response(200, "ok\n"),
            Some(reason) => text_response(503, &format!("{reason}\n")),
        },
        "/metrics" => text_response(200, &metrics.render()),
        _ => text_response(404, "not found\n"),
    }
}
