//! Typed and validated settings.

use std::path::Path;

use deck_conf::{ConfError, Reader};
use test_case::test_case;

fn parse_settings(text: &str) -> Reader {
    Reader::try_parse(Path::new("x.ini"), text).expect("INI")
}

/// Guards against malformed list entries that are silently ignored.
#[test_case("", Some(0); "absent")]
#[test_case("[a]\nlist = 127.0.0.1:1, 127.0.0.1:2\n", Some(2); "two")]
#[test_case("[a]\nlist = 127.0.0.1:1, x\n", None; "malformed")]
fn address_lists_are_validated(text: &str, expected: Option<usize>) {
    let addresses = parse_settings(text).addresses("a", "list");
    assert_eq!(addresses.ok().map(|addresses| addresses.len()), expected);
}

/// Guards against numbers outside their range that are accepted.
#[test_case("[a]\nn = 5\n", Some(5); "in range")]
#[test_case("[a]\n", Some(3); "default")]
#[test_case("[a]\nn = 11\n", None; "above")]
#[test_case("[a]\nn = 0\n", None; "below")]
#[test_case("[a]\nn = five\n", None; "no number")]
fn numbers_are_range_checked(text: &str, expected: Option<u32>) {
    assert_eq!(parse_settings(text).number("a", "n", 3, 1, 10).ok(), expected);
}

/// Guards against misspelt keys that are silently ignored.
#[test]
fn unread_keys_are_refused() {
    let reader = parse_settings("[a]\nknown = 1\nmisspelt = 2\n");
    reader.text("a", "known");
    match reader.check_unknown_keys() {
        Err(ConfError::Unknown(_, section, key)) => {
            assert_eq!((section.as_str(), key.as_str()), ("a", "misspelt"));
        }
        other => panic!("{other:?}"),
    }
}
