//! Splitting of JSON text into its parts.

use deck_plat::RawJson;
use serde_json::{Value, json};
use test_case::test_case;

/// Returns the value that results from decoding each part by itself.
fn decode_by_parts(json: RawJson<'_>, names: &[&str]) -> Option<Value> {
    if let Some(elements) = json.elements() {
        return elements.into_iter().map(|element| decode_by_parts(element, names)).collect();
    }
    let Some(members) = json.members() else { return json.decode().ok() };
    let mut value = json!({});
    for name in names {
        if let Some(member) = members.get(name) {
            value[*name] = decode_by_parts(member, names)?;
        }
    }
    Some(value)
}

const NAMES: &[&str] = &["a", "b,c", "d\"e", "f\\", "", "ü"];

fn document() -> Value {
    json!({
        "a": [1, -2.5e3, "x,]}", [], {}, [[{"b,c": [true, null]}]]],
        "b,c": {"d\"e": "\\\"", "f\\": "\\", "": " , "},
        "ü": [" ", {"a": "{[\"" }],
    })
}

/// Guards against parts that are cut at brackets, commas and quotes within strings.
#[test]
fn parts_are_those_of_a_decoder() {
    for text in [document().to_string(), format!("{:#}", document())] {
        assert_eq!(decode_by_parts(RawJson::new(text.as_bytes()), NAMES), Some(document()));
    }
}

/// Guards against a truncated response that counts as complete.
#[test]
fn no_beginning_of_a_document_is_a_document() {
    let text = document().to_string().into_bytes();
    for end in 0..text.len() {
        let beginning = RawJson::new(&text[..end]);
        assert!(beginning.members().is_none() && beginning.elements().is_none(), "{end} bytes");
    }
}

/// Guards against text that is split although it is no object.
#[test_case(""; "empty")]
#[test_case("{"; "open")]
#[test_case("}"; "closed only")]
#[test_case("{}}"; "closed twice")]
#[test_case("{\"a\":1},{\"b\":2}"; "two objects")]
#[test_case("[]"; "array")]
#[test_case("\"{}\""; "string")]
fn text_that_is_no_object_has_no_members(text: &str) {
    assert!(RawJson::new(text.as_bytes()).members().is_none());
}

/// Guards against a stack overflow, which ends the process, and against the loss of other parts.
#[test]
fn deep_nesting_costs_only_its_own_part() {
    let depth = 2_000_000;
    let (open, close) = ("{\"a\":[".repeat(depth), "]}".repeat(depth));
    let text = format!("{{\"deep\":{open}{close},\"b\":2}}");
    let members = RawJson::new(text.as_bytes()).members().expect("members");
    assert_eq!(members.decode("b"), Some(2));
    assert_eq!(members.decode::<Value>("deep"), None);
}
