//! Texts of the platform's engines, which tests compute too.

use deck_core::hash::hash64;

/// Events of the shortest text, and the spread of the usual lengths above it.
const USUAL_EVENTS: (u64, u64) = (4, 12);
/// One text in this many is longer than usual, by this factor.
const LONG: (u64, u64) = (8, 6);

/// Returns the number of events of a text; a few are several times as long as the others.
pub fn event_count(id: &str) -> u64 {
    let draw = hash64(id.as_bytes());
    let usual = USUAL_EVENTS.0 + draw % USUAL_EVENTS.1;
    if (draw >> 32).is_multiple_of(LONG.0) { usual * LONG.1 } else { usual }
}

/// Returns the data of one event of a text.
pub fn event_data(id: &str, number: u64) -> String {
    format!("{id}/{number}")
}

/// Returns the whole text: the data of all events, separated by line feeds.
pub fn whole_text(id: &str) -> String {
    let events: Vec<String> = (1..=event_count(id)).map(|number| event_data(id, number)).collect();
    events.join("\n")
}
