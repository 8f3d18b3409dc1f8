//! Lines of the programs' logs.

use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When it was written, on its node's clock.
    pub at: OffsetDateTime,
    /// Node that wrote it.
    pub node: String,
    /// Component.
    pub component: String,
    /// Text before the first field.
    pub event: String,
    /// Text with the fields.
    pub text: String,
    /// Fields in their order. The last one may hold spaces.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line: a time, a level, a component and a text with fields. The time may stand after
    /// the seconds since a start and the node's name, as a collector of several logs prints them;
    /// otherwise the line is one of `node`.
    pub fn parse(line: &str, node: &str) -> Option<Self> {
        let (at, rest, node) = match time_and_rest(line) {
            Some((at, rest)) => (at, rest, node),
            None => {
                let (seconds, rest) = line.trim_start().split_once(' ')?;
                seconds.parse::<f64>().ok()?;
                let (node, rest) = rest.trim_start().split_once(' ')?;
                let (at, rest) = time_and_rest(rest)?;
                (at, rest, node)
            }
        };
        let (_, rest) = rest.strip_prefix('[')?.split_once("] ")?;
        let (component, text) = rest.split_once(": ")?;
        let fields = fields(text);
        let event = match fields.first() {
            Some((key, _)) => text.split(&format!("{key}=")).next().unwrap_or(text),
            None => text,
        };
        Some(Self {
            at,
            node: node.to_owned(),
            component: component.to_owned(),
            event: event.trim_end().to_owned(),
            text: text.to_owned(),
            fields,
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a field that is a number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.field(key)?.parse().ok()
    }

    /// Returns whether a field that names a request, an item or a job has this value.
    pub fn is_about(&self, id: &str) -> bool {
        const IDS: [&str; 4] = ["request", "item", "job", "call"];
        self.fields.iter().any(|(key, value)| IDS.contains(&key.as_str()) && value == id)
    }
}

fn time_and_rest(line: &str) -> Option<(OffsetDateTime, &str)> {
    let (time, rest) = line.split_once(' ')?;
    Some((OffsetDateTime::parse(time, &Rfc3339).ok()?, rest))
}

/// Returns the fields of a text. A value reaches to the next ` key=`.
fn fields(text: &str) -> Vec<(String, String)> {
    let is_key = |word: &str| {
        !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_')
    };
    let mut fields: Vec<(String, String)> = Vec::new();
    for word in text.split(' ') {
        match word.split_once('=').filter(|(key, _)| is_key(key)) {
            Some((key, value)) => fields.push((key.to_owned(), value.to_owned())),
            None => {
                if let Some((_, value)) = fields.last_mut() {
                    value.push(' ');
                    value.push_str(word);
                }
            }
        }
    }
    fields
}
