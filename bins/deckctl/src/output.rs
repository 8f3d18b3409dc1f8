//! Prints results to standard output as text or JSON.

use std::{
    collections::BTreeMap,
    fmt,
    io::{ErrorKind, Write},
    process,
};

use serde::Serialize;
use serde_json::Value;

use crate::cli::Output;

/// Exit code if standard output cannot be written, except for a closed pipe.
const EXIT_OUTPUT_FAILED: i32 = 1;

/// Prints formatted text to standard output. If the pipe is closed, as by `head`, the process exits
/// with code 0.
macro_rules! print_text {
    ($($text:tt)*) => { $crate::output::write_stdout(format_args!($($text)*)) };
}

/// Prints formatted text and a newline; handles errors like `print_text`.
macro_rules! print_line {
    () => { $crate::output::write_stdout(format_args!("\n")) };
    ($($text:tt)*) => {
        $crate::output::write_stdout(format_args!("{}\n", format_args!($($text)*)))
    };
}

/// Writes to standard output; exits the process on failure, with code 0 if the pipe is closed.
pub fn write_stdout(text: fmt::Arguments<'_>) {
    let Err(error) = std::io::stdout().write_fmt(text) else { return };
    if error.kind() == ErrorKind::BrokenPipe {
        process::exit(0);
    }
    eprintln!("deckctl: output not written: {error}");
    process::exit(EXIT_OUTPUT_FAILED);
}

/// What a command did with one object or settings file.
#[derive(Debug)]
#[derive(Serialize)]
pub struct ObjectAction {
    /// Object as `kind/name`, or the path of a settings file.
    pub object: String,
    /// What was done: `created`, `changed`, `unchanged`, `deleted` or `valid`; in a dry run,
    /// `would be created` or `would be changed`.
    pub action: &'static str,
    /// Revision of the object after the action, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// Prints the actions, as JSON or one per line.
pub fn print_actions(actions: &[ObjectAction], output: Output) {
    match output {
        Output::Json => print_json(&actions),
        Output::Text => {
            for action in actions {
                match action.revision {
                    Some(revision) => {
                        print_line!("{} {} (revision {revision})", action.object, action.action);
                    }
                    None => print_line!("{} {}", action.object, action.action),
                }
            }
        }
    }
}

/// Prints a value as one line of JSON.
pub fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => print_line!("{text}"),
        Err(error) => eprintln!("deckctl: output not written: {error}"),
    }
}

/// Prints the leaf fields of a value, one per line, indented by `indent` spaces.
pub fn print_fields(value: &Value, indent: usize) {
    let mut fields = BTreeMap::new();
    flatten_fields(String::new(), value, &mut fields);
    for (path, text) in fields {
        print_line!("{:indent$}{path}: {text}", "");
    }
}

/// Collects the leaf fields of a JSON value, keyed by path such as `targets[0].address`.
///
/// An array of scalars and an empty object are leaves.
pub fn flatten_fields(path: String, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten_fields(path, value, fields);
            }
        }
        Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
            for (index, item) in items.iter().enumerate() {
                flatten_fields(format!("{path}[{index}]"), item, fields);
            }
        }
        Value::String(text) => drop(fields.insert(path, text.clone())),
        leaf => drop(fields.insert(path, leaf.to_string())),
    }
}
