//! Parser for the event stream of a generation.

use deck_core::id::WeightVersion;
use deck_net::sse::EventSplitter;

/// A complete event of an engine's response stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedEvent {
    /// Event number, if the event has one.
    pub number: Option<u64>,
    /// Data of the event; multiple data lines are joined by line feeds.
    pub data: String,
    /// New weight version, if it changes with this event.
    pub version: Option<WeightVersion>,
}

/// Splits a byte stream into events. Incomplete events are never returned.
#[derive(Debug)]
pub struct EventParser {
    /// Name of the stream field that announces a new weight version.
    version_field: &'static str,
    splitter: EventSplitter,
}

impl EventParser {
    /// Creates a parser that reads new weight versions from the field `version_field`.
    pub fn new(version_field: &'static str) -> Self {
        Self { version_field, splitter: EventSplitter::default() }
    }

    /// Adds received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<GeneratedEvent> {
        let blocks = self.splitter.push(bytes);
        blocks.iter().filter_map(|block| self.parse(block)).collect()
    }

    /// Returns whether no partial event is buffered.
    pub fn is_empty(&self) -> bool {
        self.splitter.is_empty()
    }

    /// Returns whether the buffered partial event exceeds the size limit.
    pub fn is_too_large(&self) -> bool {
        self.splitter.is_too_large()
    }

    /// Parses one event; `None` for a comment or keep-alive.
    fn parse(&self, block: &[u8]) -> Option<GeneratedEvent> {
        let block = std::str::from_utf8(block).ok()?;
        let mut event = GeneratedEvent { number: None, data: String::new(), version: None };
        let mut has_data = false;
        for line in block.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            if name == "data" {
                if has_data {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                has_data = true;
            } else if name == "id" {
                event.number = value.trim().parse().ok();
            } else if name == self.version_field {
                event.version = value.trim().parse().ok();
            }
        }
        (has_data || event.number.is_some()).then_some(event)
    }
}
