//! Server-sent events in HTTP bodies.

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt, stream::LocalBoxStream};
use http::{HeaderMap, HeaderValue, Response, header};

use crate::{Body, ClientResponse, NetError, body::BodySender};

/// A server-sent event, without its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Type of the event; `message` if the sender has set none.
    pub event_type: String,
    /// Data lines of the event, joined by line breaks.
    pub data: String,
}

/// Reader of the events in the body of a response.
pub struct EventReader {
    events: LocalBoxStream<'static, Result<Event, NetError>>,
}

impl EventReader {
    /// Reads events from the body of `response`.
    pub fn new(response: ClientResponse) -> Self {
        let events = body_chunks(response).eventsource().map(|item| match item {
            Ok(event) => Ok(Event { event_type: event.event, data: event.data }),
            Err(EventStreamError::Transport(error)) => Err(error),
            Err(error) => Err(NetError::Decode(error.to_string())),
        });
        Self { events: events.boxed_local() }
    }

    /// Returns the next event; `None` after the end of a complete body.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Body`] if the body is truncated and [`NetError::Decode`] if it is not a
    /// valid event stream.
    pub async fn next(&mut self) -> Result<Option<Event>, NetError> {
        self.events.next().await.transpose()
    }
}

/// Returns the body of a response as a stream of chunks.
fn body_chunks(response: ClientResponse) -> impl Stream<Item = Result<Bytes, NetError>> {
    futures_util::stream::unfold(Some(response), |state| async move {
        let mut response = state?;
        match response.chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(response))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

/// Returns whether a response may be an event stream: it states no other content type.
pub fn may_be_event_stream(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_none_or(|content_type| {
        let essence = content_type.as_bytes().split(|byte| *byte == b';').next();
        essence.unwrap_or_default().trim_ascii().eq_ignore_ascii_case(b"text/event-stream")
    })
}

/// Maximum size of an event; events usually contain a few tokens of text.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into blocks: the unchanged bytes of one event or comment, with the empty
/// line that ends it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Received bytes. Invariant: contains no complete block.
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been searched for the end of a block.
    scanned_bytes: usize,
}

impl EventSplitter {
    /// Adds received bytes and returns the blocks that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.buffer.extend_from_slice(bytes);
        let mut blocks = Vec::new();
        let mut start = 0;
        while let Some(end) = find_block_end(&self.buffer[start..], self.scanned_bytes) {
            blocks.push(self.buffer[start..start + end].to_vec());
            start += end;
            self.scanned_bytes = 0;
        }
        self.buffer.drain(..start);
        // The last bytes may be the beginning of a delimiter.
        self.scanned_bytes = self.buffer.len().saturating_sub(MAX_DELIMITER_BYTES);
        blocks
    }

    /// Returns `true` if the buffered incomplete block is larger than [`MAX_EVENT_BYTES`].
    pub fn is_too_large(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns `true` if no incomplete block is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns `true` if a block is an event, and `false` for a comment, which some servers send to
    /// keep the connection open.
    pub fn is_event(block: &[u8]) -> bool {
        let mut lines = block.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
    }

    /// Returns the id of an event; `None` if it has none or the id is not a number.
    pub fn numeric_id(block: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(block).ok()?;
        text.lines().filter_map(|line| line.strip_prefix("id:")).next_back()?.trim().parse().ok()
    }
}

/// Length of the longest delimiter, `\n\r\n`.
const MAX_DELIMITER_BYTES: usize = 3;

/// Returns the position after the first empty line in `buffer`; `search_start` is the index from
/// which line ends are searched.
fn find_block_end(buffer: &[u8], search_start: usize) -> Option<usize> {
    let bytes = buffer.iter().enumerate().skip(search_start);
    for (index, _) in bytes.filter(|(_, byte)| **byte == b'\n') {
        let rest = &buffer[index + 1..];
        if rest.starts_with(b"\n") {
            return Some(index + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(index + 3);
        }
    }
    None
}

/// Encodes an event, with its type if one is given. `data` must not contain line breaks.
pub fn encode(event: Option<&str>, data: &str) -> Bytes {
    match event {
        Some(event) => format!("event: {event}\ndata: {data}\n\n").into(),
        None => format!("data: {data}\n\n").into(),
    }
}

/// Returns a response whose body is an event stream, and the sender of that body.
pub fn event_stream_response() -> (BodySender, Response<Body>) {
    let (sender, body) = Body::stream();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    (sender, response)
}
