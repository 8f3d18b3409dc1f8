//! Parser for the daemons' log lines.

use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time of the line by the clock of the node that wrote it.
    pub timestamp: OffsetDateTime,
    /// Name of the node that wrote the line.
    pub node: String,
    /// Component that logged the line, such as `forward` or `batch`.
    pub component: String,
    /// Event text, which precedes the first field.
    pub event: String,
    /// Event text and fields as logged.
    pub text: String,
    /// Key and value of each field, in logged order. Values may contain spaces.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses `TIME [LEVEL] COMPONENT: EVENT key=value...`; returns `None` for other lines.
    ///
    /// A log collector may have put elapsed seconds and a node name before the time; without that
    /// prefix the line is attributed to `node`.
    pub fn parse(line: &str, node: &str) -> Option<Self> {
        let (timestamp, rest, node) = match split_timestamp(line) {
            Some((timestamp, rest)) => (timestamp, rest, node),
            None => {
                let (seconds, rest) = line.trim_start().split_once(' ')?;
                seconds.parse::<f64>().ok()?;
                let (node, rest) = rest.trim_start().split_once(' ')?;
                let (timestamp, rest) = split_timestamp(rest)?;
                (timestamp, rest, node)
            }
        };
        let (_, rest) = rest.strip_prefix('[')?.split_once("] ")?;
        let (component, text) = rest.split_once(": ")?;
        let fields = parse_fields(text);
        let event = match fields.first() {
            Some((key, _)) => text.split(&format!("{key}=")).next().unwrap_or(text),
            None => text,
        };
        Some(Self {
            timestamp,
            node: node.to_owned(),
            component: component.to_owned(),
            event: event.trim_end().to_owned(),
            text: text.to_owned(),
            fields,
        })
    }

    /// Returns the value of the first field with this key.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a field as a number; `None` if it is absent or not a number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.field(key)?.parse().ok()
    }

    /// Returns whether a field for a request, call, item or job id has the value `id`.
    pub fn refers_to(&self, id: &str) -> bool {
        const ID_KEYS: [&str; 3] = ["request", "item", "call"];
        self.fields.iter().any(|(key, value)| match key.as_str() {
            "job" => names_job(value, id),
            key => ID_KEYS.contains(&key) && value == id,
        })
    }
}

/// Returns whether the id of a job in a line is `id`, or that of an organisation's job that callers
/// know as `id`.
pub fn names_job(job: &str, id: &str) -> bool {
    job == id || job.split_once('~').is_some_and(|(_, caller_id)| caller_id == id)
}

/// Splits off the RFC 3339 timestamp at the start of a line.
fn split_timestamp(line: &str) -> Option<(OffsetDateTime, &str)> {
    let (time, rest) = line.split_once(' ')?;
    Some((OffsetDateTime::parse(time, &Rfc3339).ok()?, rest))
}

/// Parses the `key=value` fields of a text. A value extends to the next ` key=` or the end.
fn parse_fields(text: &str) -> Vec<(String, String)> {
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
