//! Output for people and for scripts.

use std::{
    collections::BTreeMap,
    fmt,
    io::{ErrorKind, Write},
    process,
};

use serde::Serialize;
use serde_json::Value;

use crate::cli::Output;

/// Exit code after output that could not be written.
const OUTPUT_FAILED: i32 = 1;

/// Prints text. A reader that has gone has read what it wanted: the process ends without an error.
macro_rules! print_text {
    ($($text:tt)*) => { $crate::output::write(format_args!($($text)*)) };
}

/// Prints a line, see `print_text`.
macro_rules! print_line {
    () => { $crate::output::write(format_args!("\n")) };
    ($($text:tt)*) => { $crate::output::write(format_args!("{}\n", format_args!($($text)*))) };
}

/// Writes to standard output; ends the process if that is not possible.
pub fn write(text: fmt::Arguments<'_>) {
    let Err(error) = std::io::stdout().write_fmt(text) else { return };
    if error.kind() == ErrorKind::BrokenPipe {
        process::exit(0);
    }
    eprintln!("deckctl: output not written: {error}");
    process::exit(OUTPUT_FAILED);
}

/// What a verb did with one object.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Action {
    /// Kind and name.
    pub object: String,
    /// What was done: `created`, `changed`, `unchanged`, `deleted`, `valid`, `would create`, ...
    pub action: &'static str,
    /// Revision after the action, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// Prints what was done.
pub fn print_actions(actions: &[Action], output: Output) {
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

/// Prints one JSON document on one line.
pub fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => print_line!("{text}"),
        Err(error) => eprintln!("deckctl: output not written: {error}"),
    }
}

/// Prints the fields of a value, indented, one a line.
pub fn print_fields(value: &Value, indent: usize) {
    let mut fields = BTreeMap::new();
    flatten(String::new(), value, &mut fields);
    for (field, text) in fields {
        print_line!("{:indent$}{field}: {text}", "");
    }
}

/// Lists the leaf fields of a value by their path.
pub fn flatten(path: String, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten(path, value, fields);
            }
        }
        Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
            for (index, item) in items.iter().enumerate() {
                flatten(format!("{path}[{index}]"), item, fields);
            }
        }
        Value::String(text) => drop(fields.insert(path, text.clone())),
        other => drop(fields.insert(path, other.to_string())),
    }
}
