//! Texts that the engines of the platform stand-in generate; tests compute the same texts.

use deck_core::hash::hash64;

/// Minimum number of events of a text, and number of different usual lengths from there on.
const USUAL_EVENTS: (u64, u64) = (4, 12);
/// Long texts: one text in `.0` has `.1` times the usual number of events.
const LONG_TEXTS: (u64, u64) = (8, 6);

/// Returns the number of events in the text of request `id`.
pub fn event_count(id: &str) -> u64 {
    let hash = hash64(id.as_bytes());
    let usual_count = USUAL_EVENTS.0 + hash % USUAL_EVENTS.1;
    if (hash >> 32).is_multiple_of(LONG_TEXTS.0) { usual_count * LONG_TEXTS.1 } else { usual_count }
}

/// Returns the data of event `number`, counted from 1, in the text of request `id`.
pub fn event_data(id: &str, number: u64) -> String {
    format!("{id}/{number}")
}

/// Returns the complete text of request `id`: the data of all events, separated by line feeds.
pub fn whole_text(id: &str) -> String {
    let events: Vec<String> = (1..=event_count(id)).map(|number| event_data(id, number)).collect();
    events.join("\n")
}
