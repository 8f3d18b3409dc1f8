//! Compares two versions of a configuration, and finds misspelt fields.

use std::collections::{BTreeMap, BTreeSet};

use deck_platform::configuration::{ENTRY_NAME, KNOWN_FIELDS, SECRET_FIELDS};
use serde::Serialize;
use serde_json::Value;

/// Maximum number of single-character edits between a field and the known one that it may mean.
const MAX_EDITS: usize = 2;

/// Length of a known field for each edit, so that short names are not taken for others.
const LETTERS_PER_EDIT: usize = 5;

/// A difference between the configuration in force and the one that is to replace it.
#[derive(Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Difference {
    /// Path of the value. Entries of lists are told apart by their names, as in `Routes[plain].Host`.
    pub path: String,
    /// Value in force; `None` if it is added.
    pub in_force: Option<String>,
    /// New value; `None` if it is removed.
    pub new: Option<String>,
}

/// Returns what differs between two configurations, by path. The values of secret fields are replaced
/// by their number and that of the changed ones.
pub fn differences(in_force: &Value, new: &Value) -> Vec<Difference> {
    let (old_leaves, new_leaves) = (leaves(in_force), leaves(new));
    let paths: BTreeSet<&String> = old_leaves.keys().chain(new_leaves.keys()).collect();
    let mut differences = Vec::new();
    for path in paths {
        let (old, new) = (old_leaves.get(path), new_leaves.get(path));
        if old == new {
            continue;
        }
        let (in_force, new) = if is_secret(path) {
            let empty = Value::Null;
            let (kept, added, removed) =
                count_changes(old.copied().unwrap_or(&empty), new.copied().unwrap_or(&empty));
            let describe = |changed, what| format!("{} ({changed} {what})", kept + changed);
            (old.map(|_| describe(removed, "removed")), new.map(|_| describe(added, "added")))
        } else {
            (old.map(|value| value.to_string()), new.map(|value| value.to_string()))
        };
        differences.push(Difference { path: path.clone(), in_force, new });
    }
    differences
}

/// Returns the paths of fields that no node reads and that differ little from one that they do read,
/// with that one.
pub fn misspelt_fields(configuration: &Value) -> Vec<(String, &'static str)> {
    let mut found = Vec::new();
    collect_misspelt(String::new(), configuration, &mut found);
    found
}

fn collect_misspelt(path: String, value: &Value, found: &mut Vec<(String, &'static str)>) {
    match value {
        Value::Object(members) => {
            for (name, value) in members {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                let is_present = |known: &str| members.contains_key(known);
                let meant = KNOWN_FIELDS.iter().find(|known| {
                    !KNOWN_FIELDS.contains(&name.as_str())
                        && !is_present(known)
                        && resembles(name, known)
                });
                found.extend(meant.map(|known| (path.clone(), *known)));
                collect_misspelt(path, value, found);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                collect_misspelt(format!("{path}[{index}]"), item, found);
            }
        }
        _ => {}
    }
}

/// Returns whether a field name may be a misspelling of a known one, or is that one.
fn resembles(name: &str, known: &str) -> bool {
    let (name, known) = (name.to_ascii_lowercase(), known.to_ascii_lowercase());
    edit_distance(&name, &known) <= MAX_EDITS.min(known.len() / LETTERS_PER_EDIT)
}

/// Returns the number of single-character insertions, deletions and replacements between two texts.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut distances: Vec<usize> = (0..=right.len()).collect();
    for (row, left_char) in left.chars().enumerate() {
        let mut diagonal = row;
        distances[0] = row + 1;
        for (column, right_char) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(left_char != *right_char);
            diagonal = distances[column + 1];
            distances[column + 1] = replaced.min(diagonal + 1).min(distances[column] + 1);
        }
    }
    distances[right.len()]
}

/// Returns whether a path leads to or into a secret field, or to one that may be a misspelt secret field.
fn is_secret(path: &str) -> bool {
    let mut fields = path.split(['.', '[']);
    fields.any(|field| SECRET_FIELDS.iter().any(|secret| resembles(field, secret)))
}

/// Returns how many elements two lists share, and how many each of the new and the old list has alone.
fn count_changes(old: &Value, new: &Value) -> (usize, usize, usize) {
    let elements = |list: &Value| -> Vec<Value> { list.as_array().cloned().unwrap_or_default() };
    let (old, new) = (elements(old), elements(new));
    let kept = new.iter().filter(|element| old.contains(element)).count();
    (kept, new.len() - kept, old.len() - kept)
}

/// Returns the leaves of a configuration by path. A secret list, a list of texts or numbers and an empty
/// object are leaves.
fn leaves(value: &Value) -> BTreeMap<String, &Value> {
    let mut found = BTreeMap::new();
    collect_leaves(String::new(), value, &mut found);
    found
}

fn collect_leaves<'a>(path: String, value: &'a Value, found: &mut BTreeMap<String, &'a Value>) {
    let is_structured = |item: &Value| item.is_object() || item.is_array();
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, value) in members {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                collect_leaves(path, value, found);
            }
        }
        Value::Array(items) if items.iter().any(is_structured) => {
            for (index, item) in items.iter().enumerate() {
                let name = item.get(ENTRY_NAME).and_then(Value::as_str);
                let key = name.map_or_else(|| index.to_string(), str::to_owned);
                collect_leaves(format!("{path}[{key}]"), item, found);
            }
        }
        leaf => drop(found.insert(path, leaf)),
    }
}
