//! Server-sent events over HTTP bodies.

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt, stream::LocalBoxStream};
use http::{HeaderValue, Response};

use crate::{Body, ClientResponse, NetError, body::BodySender};

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Type of the event; `message` if the sender named none.
    pub event: String,
    /// Data of the event.
    pub data: String,
}

/// Reader of the events of a response.
pub struct EventReader {
    events: LocalBoxStream<'static, Result<Event, NetError>>,
}

impl EventReader {
    /// Reads events from the body of `response`.
    pub fn new(response: ClientResponse) -> Self {
        let events = chunks(response).eventsource().map(|item| match item {
            Ok(event) => Ok(Event { event: event.event, data: event.data }),
            Err(EventStreamError::Transport(error)) => Err(error),
            Err(error) => Err(NetError::Decode(error.to_string())),
        });
        Self { events: events.boxed_local() }
    }

    /// Returns the next event; `None` after the proper end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Body`] if the body is cut short and [`NetError::Decode`] if it is not a
    /// stream of events.
    pub async fn next(&mut self) -> Result<Option<Event>, NetError> {
        self.events.next().await.transpose()
    }
}

fn chunks(response: ClientResponse) -> impl Stream<Item = Result<Bytes, NetError>> {
    futures_util::stream::unfold(Some(response), |state| async move {
        let mut response = state?;
        match response.chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(response))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

/// Largest event that is waited for. Events hold some tokens of a text.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits the bytes of a stream into whole events, each as it was sent with its empty line.
#[derive(Debug, Default)]
pub struct EventBlocks {
    /// Invariant: holds no whole event.
    buffer: Vec<u8>,
    /// Bytes of the buffer in which no event ends.
    scanned: usize,
}

impl EventBlocks {
    /// Adds received bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.buffer.extend_from_slice(bytes);
        let mut blocks = Vec::new();
        let mut start = 0;
        while let Some(end) = event_end(&self.buffer[start..], self.scanned) {
            blocks.push(self.buffer[start..start + end].to_vec());
            start += end;
            self.scanned = 0;
        }
        self.buffer.drain(..start);
        // The last bytes may be the first ones of the end.
        self.scanned = self.buffer.len().saturating_sub(END_BYTES);
        blocks
    }

    /// Returns whether the event that is waited for is larger than any event should be.
    pub fn is_too_large(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns whether no part of an event is waiting for the rest.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether a block is an event; comments, which some servers send while they wait, are not.
    pub fn is_event(block: &[u8]) -> bool {
        let mut lines = block.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
    }

    /// Returns the number that an event states as its id.
    pub fn number(block: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(block).ok()?;
        text.lines().filter_map(|line| line.strip_prefix("id:")).next_back()?.trim().parse().ok()
    }
}

/// Bytes of the longest end of an event that may be received in part.
const END_BYTES: usize = 3;

/// Returns the position after the empty line that ends the first event, which does not begin before
/// `from`.
fn event_end(buffer: &[u8], from: usize) -> Option<usize> {
    let bytes = buffer.iter().enumerate().skip(from);
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

/// Returns the bytes of one event. `data` must not contain line breaks.
pub fn encode(event: Option<&str>, data: &str) -> Bytes {
    match event {
        Some(event) => format!("event: {event}\ndata: {data}\n\n").into(),
        None => format!("data: {data}\n\n").into(),
    }
}

/// Returns a response that streams events, and the sender of its body.
pub fn event_response() -> (BodySender, Response<Body>) {
    let (sender, body) = Body::stream();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    (sender, response)
}
