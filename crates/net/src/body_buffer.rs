//! Buffer of a request body that is being received.
//!
//! Answers many bodies that grow at the same time: buffers that grow by reallocation leave gaps in
//! the heap, so that the process takes far more memory than the bodies have bytes.

use bytes::Bytes;

/// Size of the segments of a body; freed segments are reused for those of other bodies.
const SEGMENT_BYTES: usize = 32 * 1024;
/// Size from which a body has a single buffer, or segments of growing size.
const LARGE_BODY_BYTES: usize = 1024 * 1024;

/// Received part of a body, in segments.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    /// Invariant: sum of the lengths of the segments.
    received_bytes: usize,
    /// Length of the whole body; 0 if it is not known.
    expected_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer. The length that a client states is not allocated at once.
    pub(crate) fn new(expected_bytes: usize) -> Self {
        Self { expected_bytes, ..Self::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.received_bytes
    }

    /// Appends received bytes.
    pub(crate) fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.segments.last().is_none_or(|last| last.len() == last.capacity()) {
                self.add_segment();
            }
            let Some(segment) = self.segments.last_mut() else { return };
            let (added, rest) = data.split_at(data.len().min(segment.capacity() - segment.len()));
            segment.extend_from_slice(added);
            self.received_bytes += added.len();
            data = rest;
        }
    }

    /// Returns the whole body.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        match self.segments.pop() {
            Some(only) if self.segments.is_empty() => only.into(),
            Some(last) => {
                let mut body = Vec::with_capacity(self.received_bytes);
                for segment in self.segments.drain(..).chain([last]) {
                    body.extend_from_slice(&segment);
                }
                body.into()
            }
            None => Bytes::new(),
        }
    }

    fn add_segment(&mut self) {
        let missing_bytes = self.expected_bytes.saturating_sub(self.received_bytes);
        if self.received_bytes < LARGE_BODY_BYTES {
            let is_known = missing_bytes > 0;
            let capacity = if is_known { missing_bytes.min(SEGMENT_BYTES) } else { SEGMENT_BYTES };
            self.segments.push(Vec::with_capacity(capacity));
        } else if missing_bytes > 0 {
            let mut whole = Vec::with_capacity(self.expected_bytes);
            for segment in self.segments.drain(..) {
                whole.extend_from_slice(&segment);
            }
            self.segments.push(whole);
        } else {
            self.segments.push(Vec::with_capacity(self.received_bytes));
        }
    }
}
