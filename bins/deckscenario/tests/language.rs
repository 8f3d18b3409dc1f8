//! Parser of the scenario language.

use std::path::Path;

use deckscenario::{
    command::{Command, parse_scenario},
    error::ScenarioError,
    statement::parse_statements,
};
use test_case::test_case;

/// Guards against JSON values that are split at spaces, and text blocks that include lines after their
/// end.
#[test]
fn words_json_and_blocks_are_distinguished() {
    let text = "# comment\n\na \"b c\" {\"d\": [1, \"}\"]} e=f\nblock <<END\n x\nEND\nlast\n";
    let statements = parse_statements(text).expect("valid");
    assert_eq!(statements[0].words, ["a", "b c", "{\"d\": [1, \"}\"]}", "e=f"]);
    assert_eq!(statements[1].block.as_deref(), Some(" x\n"));
    assert_eq!((statements[2].line, statements[2].words[0].as_str()), (7, "last"));
}

/// Guards against a malformed line that is skipped without an error.
#[test_case("expct a b == 1", "\"expct\" is not a command"; "unknown command")]
#[test_case("expect a b = 1", "expected ==, !=, <, <=, > or >="; "unknown operator")]
#[test_case("sleep soon", "\"soon\" is not a number"; "malformed number")]
#[test_case("mark a b c d", "\"d\" is not a number"; "malformed addend")]
#[test_case("kill", "expected a name"; "missing name")]
#[test_case("finish a b", "one word too many"; "surplus word")]
#[test_case("check everything a", "expected executions"; "unknown invariant")]
#[test_case("fault a {\"b\": 1", "not closed"; "open bracket")]
#[test_case("settings a <<END", "no line END"; "open block")]
fn malformed_line_is_reported_with_its_number(line: &str, message: &str) {
    let error = parse_scenario(&format!("guards \"x\"\n{line}\n"), Path::new(""))
        .expect_err("malformed")
        .to_string();
    assert!(error.starts_with("line 2: ") && error.contains(message), "{error}");
}

/// Guards against a scenario without a `guards` line, which documents its purpose.
#[test]
fn scenario_without_guards_line_is_rejected() {
    assert!(matches!(parse_scenario("sleep 1", Path::new("")), Err(ScenarioError::Syntax(1, _))));
}

/// Guards against a race command that writes the same spec twice.
#[test]
fn race_has_two_specs() {
    let scenario = parse_scenario("guards x\nrace store K n {\"a\": 1} {\"b\": 2}", Path::new(""))
        .expect("valid");
    let Command::Race { specs, .. } = &scenario.commands[0].command else { panic!("not a race") };
    assert_eq!(*specs, ["{\"a\": 1}", "{\"b\": 2}"]);
}
