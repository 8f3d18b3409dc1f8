//! Event parsing with arbitrary boundaries between network reads.

use deck_batch::events::{EventParser, GeneratedEvent};
use test_case::test_case;

fn event(number: u64, data: &str, version: Option<u64>) -> GeneratedEvent {
    GeneratedEvent { number: Some(number), data: data.to_owned(), version }
}

/// Guards against lost or duplicated events when a network read ends within one.
#[test_case(1; "byte by byte")]
#[test_case(7; "in pieces of seven bytes")]
#[test_case(4096; "at once")]
fn events_do_not_depend_on_read_boundaries(read_bytes: usize) {
    let stream =
        b"id: 1\ndata: a b\n\nweight-versions: 4\nid: 2\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";
    let mut parser = EventParser::new("weight-versions");
    let events: Vec<_> = stream.chunks(read_bytes).flat_map(|bytes| parser.push(bytes)).collect();
    assert_eq!(events, [event(1, "a b", None), event(2, "c", Some(4)), event(3, "d", None)]);
}

/// Guards against text of an event that its server did not finish.
#[test]
fn incomplete_event_is_not_returned() {
    let mut parser = EventParser::new("weight-versions");
    let events = parser.push(b"id: 1\ndata: whole\n\nid: 2\ndata: cut of");
    assert_eq!(events, [event(1, "whole", None)]);
}

/// Guards against treating a comment or keep-alive line as an event.
#[test]
fn comments_are_not_events() {
    let mut parser = EventParser::new("weight-versions");
    assert_eq!(parser.push(b": ping\n\nid: 1\ndata: x\n\n"), [event(1, "x", None)]);
}

/// Guards against losing a line break within an event.
#[test]
fn data_lines_are_joined() {
    let mut parser = EventParser::new("weight-versions");
    assert_eq!(parser.push(b"id: 1\ndata: x\ndata: y\n\n"), [event(1, "x\ny", None)]);
}
