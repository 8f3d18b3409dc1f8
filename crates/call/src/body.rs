//! Request bodies with bounds on size, time and total memory.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::error::{CallError, ErrorKind};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{metrics::CallMetrics, options::BodyOptions};

/// Most bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Memory of all request bodies of this process; clones share it.
#[derive(Clone)]
pub(crate) struct BodyMemoryBudget {
    options: BodyOptions,
    used_bytes: Rc<Cell<usize>>,
    metrics: CallMetrics,
}

/// Received body; its memory counts until it is dropped.
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    _reserved: MemoryReservation,
}

struct MemoryReservation {
    budget: BodyMemoryBudget,
    bytes: usize,
}

impl BodyMemoryBudget {
    pub(crate) fn new(options: BodyOptions, metrics: CallMetrics) -> Self {
        Self { options, used_bytes: Rc::default(), metrics }
    }

    /// Receives a whole body.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub(crate) async fn receive(&self, mut body: Incoming) -> Result<BufferedBody, CallError> {
        let received = self.receive_bounded(&mut body);
        let error = match monoio::time::timeout(self.options.timeout, received).await {
            Ok(Ok(received)) => return Ok(received),
            Ok(Err(error)) => error,
            Err(_) => {
                let limit_ms = self.options.timeout.as_millis();
                let message = format!("the body was not received within {limit_ms} ms");
                return Err(CallError::new(ErrorKind::RequestTimeout, message));
            }
        };
        discard_remaining(body).await;
        Err(error)
    }

    /// Takes over a body that another VM received.
    pub(crate) fn buffer(&self, bytes: Bytes) -> Result<BufferedBody, CallError> {
        let reservation = self.reserve(bytes.len())?;
        Ok(BufferedBody { bytes, _reserved: reservation })
    }

    async fn receive_bounded(&self, body: &mut Incoming) -> Result<BufferedBody, CallError> {
        let declared_bytes = hyper::body::Body::size_hint(body).lower();
        if declared_bytes > self.options.max_bytes as u64 {
            return Err(self.too_large());
        }
        let mut received = Vec::new();
        let mut reservation = self.reserve(0)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                let message = format!("the body is malformed or cut short: {error}");
                CallError::new(ErrorKind::BadRequest, message)
            })?;
            let Ok(data) = frame.into_data() else { continue };
            if received.len() + data.len() > self.options.max_bytes {
                return Err(self.too_large());
            }
            reservation.grow(data.len())?;
            received.extend_from_slice(&data);
        }
        Ok(BufferedBody { bytes: received.into(), _reserved: reservation })
    }

    fn reserve(&self, bytes: usize) -> Result<MemoryReservation, CallError> {
        let mut reservation = MemoryReservation { budget: self.clone(), bytes: 0 };
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    fn too_large(&self) -> CallError {
        let message = format!("the body is larger than {} bytes", self.options.max_bytes);
        CallError::new(ErrorKind::BodyTooLarge, message)
    }
}

impl MemoryReservation {
    fn grow(&mut self, bytes: usize) -> Result<(), CallError> {
        let used_bytes = self.budget.used_bytes.get() + bytes;
        if used_bytes > self.budget.options.max_total_bytes {
            let message = "request bodies take all the memory that is set aside for them";
            return Err(CallError::new(ErrorKind::Overloaded, message));
        }
        self.bytes += bytes;
        self.budget.used_bytes.set(used_bytes);
        self.budget.metrics.set_body_bytes(used_bytes);
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let used_bytes = self.budget.used_bytes.get() - self.bytes;
        self.budget.used_bytes.set(used_bytes);
        self.budget.metrics.set_body_bytes(used_bytes);
    }
}

/// Reads the rest of a refused body for a bounded time.
///
/// Closing a connection with unread bytes resets it, and the caller may lose the response that says
/// what was wrong.
async fn discard_remaining(mut body: Incoming) {
    let mut discarded_bytes = 0;
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = monoio::time::timeout(DISCARD_TIMEOUT, rest).await;
}

/// Waits for `future` until `deadline`; `None` after it.
pub(crate) async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let wait = deadline.saturating_duration_since(Instant::now());
    monoio::time::timeout(wait, future).await.ok()
}
