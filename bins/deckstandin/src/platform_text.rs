//! Texts that the engines of the platform stand-in generate; tests compute the same texts.

use deck_core::hash::hash64;

/// A usual text has at least `.0` events and fewer than `.0 + .1`: 4 to 15.
const USUAL_EVENT_COUNTS: (u64, u64) = (4, 12);
/// One text in `.0` is long: it has `.1` times the usual number of events.
const LONG_TEXT_RATIO_AND_FACTOR: (u64, u64) = (8, 6);

/// Returns the number of events in the text of request `id`.
pub fn event_count(id: &str) -> u64 {
    let hash = hash64(id.as_bytes());
    let usual_count = USUAL_EVENT_COUNTS.0 + hash % USUAL_EVENT_COUNTS.1;
    if (hash >> 32).is_multiple_of(LONG_TEXT_RATIO_AND_FACTOR.0) {
        usual_count * LONG_TEXT_RATIO_AND_FACTOR.1
    } else {
        usual_count
    }
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
