//! Comparisons of fields in JSON records with expected values.

use std::cmp::Ordering;

use serde_json::Value;

/// Comparison of a field in a record with an expected value.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// Path of the field: names and array indexes, separated by dots. `#` is the length of an array or
    /// object.
    pub field_path: String,
    /// Relation that has to hold between the field and the expected value.
    pub relation: Relation,
    /// Expected value as text: JSON, or else a plain string. It may contain variables.
    pub expected: String,
}

/// Relational operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// `==`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
}

impl Relation {
    /// Parses an operator such as `<=`; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "==" => Self::Equal,
            "!=" => Self::NotEqual,
            "<" => Self::Less,
            "<=" => Self::AtMost,
            ">" => Self::Greater,
            ">=" => Self::AtLeast,
            _ => return None,
        })
    }

    /// Returns whether `found` has this relation to `expected`.
    ///
    /// Numbers are ordered. All other values are only equal or not equal, so that `<=` on an absent
    /// field fails unless `null` is expected.
    pub fn holds(self, found: &Value, expected: &Value) -> bool {
        let order = match (found.as_f64(), expected.as_f64()) {
            (Some(found), Some(expected)) => found.partial_cmp(&expected),
            _ if found == expected => Some(Ordering::Equal),
            _ => None,
        };
        match self {
            Self::Equal => order == Some(Ordering::Equal),
            Self::NotEqual => order != Some(Ordering::Equal),
            Self::Less => order == Some(Ordering::Less),
            Self::AtMost => matches!(order, Some(Ordering::Less | Ordering::Equal)),
            Self::Greater => order == Some(Ordering::Greater),
            Self::AtLeast => matches!(order, Some(Ordering::Greater | Ordering::Equal)),
        }
    }
}

/// Returns the value at `field_path` (see [`Comparison::field_path`]), or `null` if it is absent.
pub fn lookup(value: &Value, field_path: &str) -> Value {
    let mut current = value.clone();
    for name in field_path.split('.').filter(|name| !name.is_empty()) {
        current = match (&current, name) {
            (Value::Array(items), "#") => Value::from(items.len()),
            (Value::Object(fields), "#") => Value::from(fields.len()),
            (Value::Array(items), index) => {
                let item = index.parse::<usize>().ok().and_then(|index| items.get(index));
                item.cloned().unwrap_or(Value::Null)
            }
            (other, name) => other.get(name).cloned().unwrap_or(Value::Null),
        };
    }
    current
}

/// Parses an expected value: JSON, or else a plain string.
pub fn parse_expected(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::from(text))
}
