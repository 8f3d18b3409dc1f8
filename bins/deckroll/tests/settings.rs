//! Validation of the settings file and its error messages.

use deck_testkit::check_settings;
use test_case::test_case;

const SAMPLE: &str = include_str!("../sample.ini");

/// Guards against a `sample.ini` that `deckroll` does not accept.
#[test]
fn sample_is_valid() {
    assert_eq!(check_settings("deckroll", SAMPLE).0, Some(0));
}

/// Guards against invalid settings that are accepted, and against errors that do not name section,
/// key and expected value.
#[test_case("id = vm-1", "", &["[vm] id", "missing"]; "missing")]
#[test_case("127.0.0.1:7000", "somewhere", &["[platform] object_api", "somewhere", "ip:port"]; "address")]
#[test_case("; level = info", "level = loud", &["[log] level", "loud", "error, warn"]; "level")]
#[test_case("; level = info", "colour = red", &["[log] colour", "unknown key"]; "unknown key")]
#[test_case("; duration_ms = 9000", "duration_ms = 5", &["[lease] duration_ms", "5", "1000 to 600000"]; "range")]
fn errors_name_the_place(from: &str, to: &str, expected: &[&str]) {
    let (code, message) = check_settings("deckroll", &SAMPLE.replace(from, to));
    assert_eq!(code, Some(2), "{message}");
    for part in expected {
        assert!(message.contains(part), "{message:?} does not name {part:?}");
    }
}
