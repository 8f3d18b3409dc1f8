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
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Memory of all request bodies of this process; clones share it.
#[derive(Clone)]
pub(crate) struct BodyMemory {
    options: BodyOptions,
    used_bytes: Rc<Cell<usize>>,
    metrics: CallMetrics,
}

/// Received body; its memory counts until it is dropped.
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    _reserved: Reservation,
}

struct Reservation {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyMemory {
    pub(crate) fn new(options: BodyOptions, metrics: CallMetrics) -> Self {
        Self { options, used_bytes: Rc::default(), metrics }
    }

    /// Receives a whole body.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub(crate) async fn receive(&self, mut body: Incoming) -> Result<HeldBody, CallError> {
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
        discard(body).await;
        Err(error)
    }

    /// Takes over a body that another VM received.
    pub(crate) fn hold(&self, bytes: Bytes) -> Result<HeldBody, CallError> {
        let reserved = self.reserve(bytes.len())?;
        Ok(HeldBody { bytes, _reserved: reserved })
    }

    async fn receive_bounded(&self, body: &mut Incoming) -> Result<HeldBody, CallError> {
        let declared = hyper::body::Body::size_hint(body).lower();
        if declared > self.options.max_bytes as u64 {
            return Err(self.too_large());
        }
        let mut received = Vec::new();
        let mut reserved = self.reserve(0)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                let message = format!("the body is malformed or cut short: {error}");
                CallError::new(ErrorKind::BadRequest, message)
            })?;
            let Ok(piece) = frame.into_data() else { continue };
            if received.len() + piece.len() > self.options.max_bytes {
                return Err(self.too_large());
            }
            reserved.grow(piece.len())?;
            received.extend_from_slice(&piece);
        }
        Ok(HeldBody { bytes: received.into(), _reserved: reserved })
    }

    fn reserve(&self, bytes: usize) -> Result<Reservation, CallError> {
        let mut reservation = Reservation { memory: self.clone(), bytes: 0 };
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    fn too_large(&self) -> CallError {
        let message = format!("the body is larger than {} bytes", self.options.max_bytes);
        CallError::new(ErrorKind::BodyTooLarge, message)
    }
}

impl Reservation {
    fn grow(&mut self, bytes: usize) -> Result<(), CallError> {
        let used = self.memory.used_bytes.get() + bytes;
        if used > self.memory.options.max_total_bytes {
            let message = "request bodies take all the memory that is set aside for them";
            return Err(CallError::new(ErrorKind::Overloaded, message));
        }
        self.bytes += bytes;
        self.memory.used_bytes.set(used);
        self.memory.metrics.body_bytes(used);
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.memory.used_bytes.get() - self.bytes;
        self.memory.used_bytes.set(used);
        self.memory.metrics.body_bytes(used);
    }
}

/// Reads the rest of a refused body for a bounded time.
///
/// Closing a connection with unread bytes resets it, and the caller may lose the response that says
/// what was wrong.
async fn discard(mut body: Incoming) {
    let mut read = 0;
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = monoio::time::timeout(DISCARD_TIME, rest).await;
}

/// Waits for `future` until `deadline`; `None` after it.
pub(crate) async fn until<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let wait = deadline.saturating_duration_since(Instant::now());
    monoio::time::timeout(wait, future).await.ok()
}
