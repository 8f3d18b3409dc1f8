//! Buffering of request bodies with limits on size, receive time and total memory.

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

/// Maximum number of bytes of a rejected body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time to read and discard a rejected body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Memory budget for all buffered request bodies of this process. Clones share it.
#[derive(Clone)]
pub(crate) struct BodyMemoryBudget {
    options: BodyOptions,
    used_bytes: Rc<Cell<usize>>,
    metrics: CallMetrics,
}

/// Request body in memory. Its memory is released to the budget on drop.
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    _reserved: MemoryReservation,
}

/// Memory that one request body takes from the budget, released on drop.
struct MemoryReservation {
    budget: BodyMemoryBudget,
    bytes: usize,
}

impl BodyMemoryBudget {
    pub(crate) fn new(options: BodyOptions, metrics: CallMetrics) -> Self {
        Self { options, used_bytes: Rc::default(), metrics }
    }

    /// Receives a complete request body.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if a limit is exceeded or the body is malformed.
    pub(crate) async fn receive(&self, mut body: Incoming) -> Result<BufferedBody, CallError> {
        let received = self.receive_bounded(&mut body);
        let error = match monoio::time::timeout(self.options.receive_timeout, received).await {
            Ok(Ok(received)) => return Ok(received),
            Ok(Err(error)) => error,
            Err(_) => {
                let limit_ms = self.options.receive_timeout.as_millis();
                let message = format!("the body was not received within {limit_ms} ms");
                return Err(CallError::new(ErrorKind::RequestTimeout, message));
            }
        };
        discard_remaining(body).await;
        Err(error)
    }

    /// Buffers the body of a call that another VM forwarded.
    pub(crate) fn buffer(&self, bytes: Bytes) -> Result<BufferedBody, CallError> {
        let reservation = self.reserve(bytes.len())?;
        Ok(BufferedBody { bytes, _reserved: reservation })
    }

    /// Receives a body within the limits on size and memory.
    async fn receive_bounded(&self, body: &mut Incoming) -> Result<BufferedBody, CallError> {
        let declared_bytes = hyper::body::Body::size_hint(body).lower();
        if declared_bytes > self.options.max_request_bytes as u64 {
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
            if received.len() + data.len() > self.options.max_request_bytes {
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
        let message = format!("the body is larger than {} bytes", self.options.max_request_bytes);
        CallError::new(ErrorKind::BodyTooLarge, message)
    }
}

impl MemoryReservation {
    fn grow(&mut self, bytes: usize) -> Result<(), CallError> {
        let used_bytes = self.budget.used_bytes.get() + bytes;
        if used_bytes > self.budget.options.max_buffered_bytes {
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

/// Reads and discards the rest of a rejected body, within limits on size and time.
///
/// Closing a connection with unread data resets it, and the caller could lose the error response.
async fn discard_remaining(mut body: Incoming) {
    let mut discarded_bytes = 0;
    let read_remaining = async {
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = monoio::time::timeout(DISCARD_TIMEOUT, read_remaining).await;
}

/// Waits for `future` until `deadline`. Returns `None` if the deadline passes first.
pub(crate) async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let wait = deadline.saturating_duration_since(Instant::now());
    monoio::time::timeout(wait, future).await.ok()
}
