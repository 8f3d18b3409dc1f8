//! Events of a generation, read from the bytes of a stream.

use deck_core::id::WeightVersion;
use deck_net::sse::EventBlocks;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedEvent {
    /// Number of the event, if it states one.
    pub number: Option<u64>,
    /// Data; several data lines are joined by line feeds.
    pub data: String,
    /// Version of the weights, if it changed with this event.
    pub version: Option<WeightVersion>,
}

/// Splits a stream into events; an event that is not complete is never returned.
#[derive(Debug)]
pub struct EventParser {
    /// Name of the field that states a new version.
    version_field: &'static str,
    blocks: EventBlocks,
}

impl EventParser {
    /// Returns a parser; `version_field` names the field that states a new version.
    pub fn new(version_field: &'static str) -> Self {
        Self { version_field, blocks: EventBlocks::default() }
    }

    /// Adds received bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<GeneratedEvent> {
        let blocks = self.blocks.push(bytes);
        blocks.iter().filter_map(|block| self.parse(block)).collect()
    }

    /// Returns whether no part of an event is waiting for the rest.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns whether the event that is waited for is larger than any event should be.
    pub fn is_too_large(&self) -> bool {
        self.blocks.is_too_large()
    }

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
