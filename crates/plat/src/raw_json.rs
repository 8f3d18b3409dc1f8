//! JSON text that is split into its parts without decoding them.
//!
//! A decoder refuses a whole document because of one value that it cannot represent: nesting that is
//! too deep, a number that is too large, or bytes that are not UTF-8. A list of objects contains
//! entries of several writers, so each part of it is decoded by itself.

use serde::de::DeserializeOwned;

/// Text of one JSON value.
#[derive(Debug, Clone, Copy)]
pub struct RawJson<'a> {
    text: &'a [u8],
}

/// Members of a JSON object whose values are not decoded.
#[derive(Debug)]
pub struct RawMembers<'a> {
    members: Vec<(String, RawJson<'a>)>,
}

impl<'a> RawJson<'a> {
    /// Returns the value with this text, which is not checked.
    pub fn new(text: &'a [u8]) -> Self {
        Self { text: text.trim_ascii() }
    }

    /// Returns the members of an object; `None` if the text is no object or is truncated. Members
    /// whose names cannot be decoded are skipped.
    pub fn members(self) -> Option<RawMembers<'a>> {
        let member = |text: &'a [u8]| {
            let text = text.trim_ascii();
            let (name, rest) = text.split_at_checked(string_len(text)?)?;
            let value = rest.trim_ascii().strip_prefix(b":")?;
            Some((serde_json::from_slice(name).ok()?, Self::new(value)))
        };
        let parts = self.split(b'{', b'}')?;
        Some(RawMembers { members: parts.into_iter().filter_map(member).collect() })
    }

    /// Returns the elements of an array; `None` if the text is no array or is truncated.
    pub fn elements(self) -> Option<Vec<Self>> {
        Some(self.split(b'[', b']')?.into_iter().map(Self::new).collect())
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON, is nested too deeply or does not match `T`.
    pub fn decode<T: DeserializeOwned>(self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(self.text)
    }

    /// Splits the content between the brackets `open` and `close` at its outermost commas. Keeps
    /// only a count of the open brackets, so that nesting costs no stack.
    fn split(self, open: u8, close: u8) -> Option<Vec<&'a [u8]>> {
        let content = self.text.strip_prefix(&[open])?.strip_suffix(&[close])?;
        let (mut parts, mut part_start, mut position, mut depth) = (Vec::new(), 0, 0, 0_usize);
        while let Some(byte) = content.get(position) {
            match byte {
                b'"' => position += string_len(&content[position..])? - 1,
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth = depth.checked_sub(1)?,
                b',' if depth == 0 => {
                    parts.push(&content[part_start..position]);
                    part_start = position + 1;
                }
                _ => {}
            }
            position += 1;
        }
        if !content.trim_ascii().is_empty() {
            parts.push(&content[part_start..]);
        }
        (depth == 0).then_some(parts)
    }
}

impl<'a> RawMembers<'a> {
    /// Returns the value of a member. If the name is repeated, the last one applies, as in
    /// `serde_json`.
    pub fn get(&self, name: &str) -> Option<RawJson<'a>> {
        let mut matching = self.members.iter().rev().filter(|(key, _)| key == name);
        matching.next().map(|(_, value)| *value)
    }

    /// Decodes a member; `None` if it is absent or does not match `T`.
    pub fn decode<T: DeserializeOwned>(&self, name: &str) -> Option<T> {
        self.get(name)?.decode().ok()
    }
}

/// Returns the length of the string, with its quotes, at the start of `text`; `None` if there is
/// none or it is truncated.
fn string_len(text: &[u8]) -> Option<usize> {
    let mut is_escaped = false;
    let content = text.strip_prefix(b"\"")?;
    for (index, byte) in content.iter().enumerate() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = true,
            b'"' => return Some(index + 2),
            _ => {}
        }
    }
    None
}
