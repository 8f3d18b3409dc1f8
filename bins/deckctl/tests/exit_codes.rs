//! Exit codes of `deckctl`, which scripts rely on.

use std::process::Command;

use deck_testkit::{Process, program_path};
use test_case::test_case;

/// Runs `deckctl`; returns its exit code and its standard output and error.
fn deckctl(arguments: &[&str]) -> (Option<i32>, String) {
    let output =
        Command::new(program_path("deckctl")).args(arguments).output().expect("deckctl starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

/// Writes a file with an `OrganisationShare` object and returns its path.
///
/// `revision_member` is empty or a JSON member such as `"revision":1,`.
fn object_file(share_percent: u32, revision_member: &str) -> String {
    let name = format!("deckctl-{}.json", deck_core::id::random_id());
    let path = std::env::temp_dir().join(name);
    let text = format!(
        "{{\"kind\":\"OrganisationShare\",\"name\":\"o\",\"schema\":1,{revision_member}\
         \"spec\":{{\"shares\":[{{\"pool\":\"p\",\"share_percent\":{share_percent}}}]}}}}"
    );
    std::fs::write(&path, text).expect("object file is written");
    path.display().to_string()
}

/// Guards against exit codes other than those documented by `--help`.
#[test_case(&["--help"], 0; "help")]
#[test_case(&["get"], 2; "missing argument")]
#[test_case(&["get", "Unknown"], 2; "unknown kind")]
#[test_case(&["get", "TargetPool"], 2; "no object API named")]
#[test_case(&["check", "/nonexistent.json"], 2; "no such file")]
#[test_case(&["check", "sample.ini"], 2; "settings of no known program")]
#[test_case(&["check", "--program", "deckentry", "../deckentry/sample.ini"], 0; "valid settings")]
#[test_case(&["check", "--program", "deckroll", "../deckentry/sample.ini"], 2; "settings of another program")]
#[test_case(&["--object-api", "127.0.0.1:1", "get", "TargetPool"], 5; "object API not reachable")]
fn exit_codes_without_an_object_api(arguments: &[&str], expected: i32) {
    let (code, text) = deckctl(arguments);
    assert_eq!(code, Some(expected), "{text}");
}

/// Guards against overwriting another operator's change, and against an `apply` that writes an
/// unchanged object.
#[test]
fn objects_are_applied_conditionally() {
    let arguments = ["objects", "--listen", "127.0.0.1:0"];
    let mut objects = Process::start("objects", "deckstandin", &arguments, None);
    let address = objects.address("http").to_string();
    let run = |arguments: &[&str]| deckctl(&[&["--object-api", &address], arguments].concat());
    let (first, changed) = (object_file(10, ""), object_file(20, ""));
    let outdated = object_file(30, "\"revision\":1,");
    let invalid = object_file(0, "");

    assert_eq!(run(&["describe", "OrganisationShare", "o"]).0, Some(3));
    assert_eq!(run(&["apply", &first]).0, Some(0));
    assert!(run(&["apply", &first]).1.contains("unchanged (revision 1)"));
    assert_eq!(run(&["diff", &changed]).0, Some(7));
    assert_eq!(run(&["diff", &first]).0, Some(0));
    assert!(run(&["apply", &changed]).1.contains("changed (revision 2)"));
    assert_eq!(run(&["apply", &outdated]).0, Some(4));
    assert_eq!(run(&["apply", &invalid]).0, Some(2));
    assert!(run(&["get", "OrganisationShare", "o"]).1.contains("p=20%"));
    assert_eq!(run(&["delete", "--revision", "1", "OrganisationShare", "o"]).0, Some(4));
    assert_eq!(run(&["delete", "OrganisationShare", "o"]).0, Some(0));
    assert_eq!(run(&["delete", "OrganisationShare", "o"]).0, Some(3));
    for file in [first, changed, outdated, invalid] {
        std::fs::remove_file(file).expect("temporary file is removed");
    }
}
