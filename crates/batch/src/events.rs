//! Events of a generation, read from the bytes of a stream.

use deck_core::id::WeightVersion;

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
    buffer: Vec<u8>,
}

impl EventParser {
    /// Returns a parser; `version_field` names the field that states a new version.
    pub fn new(version_field: &'static str) -> Self {
        Self { version_field, buffer: Vec::new() }
    }

    /// Adds received bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<GeneratedEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some((end, next)) = event_end(&self.buffer) {
            let block: Vec<u8> = self.buffer.drain(..next).take(end).collect();
            events.extend(self.parse(&block));
        }
        events
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

/// Returns the length of the first complete event and the position after its empty line.
fn event_end(buffer: &[u8]) -> Option<(usize, usize)> {
    for (index, _) in buffer.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        let rest = &buffer[index + 1..];
        if rest.starts_with(b"\n") {
            return Some((index + 1, index + 2));
        }
        if rest.starts_with(b"\r\n") {
            return Some((index + 1, index + 3));
        }
    }
    None
}
