//! Places in JSON records and comparisons with them.

use std::cmp::Ordering;

use serde_json::Value;

/// Comparison of a value in a record with a literal.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// Names and indexes separated by dots; `#` is the length of an array or object.
    pub place: String,
    /// How the values compare.
    pub relation: Relation,
    /// Literal.
    pub literal: String,
}

/// Relation of two values.
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
    /// Reads an operator.
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

    /// Returns whether the relation holds. Values of different types are not equal and have no
    /// order.
    pub fn holds(self, found: &Value, literal: &Value) -> bool {
        let order = match (found.as_f64(), literal.as_f64()) {
            (Some(found), Some(literal)) => found.partial_cmp(&literal),
            _ if found == literal => Some(Ordering::Equal),
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

/// Returns the value at `place`; an absent one is `null`.
pub fn lookup(value: &Value, place: &str) -> Value {
    let mut current = value.clone();
    for name in place.split('.').filter(|name| !name.is_empty()) {
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

/// Reads a literal: JSON, or else a text.
pub fn literal(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::from(text))
}
