//! Rows of the metrics reference, `docs/metrics.md`.

/// Description of one metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricRow {
    /// Name.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// Labels, as the reference lists them.
    pub labels: &'static str,
    /// Meaning.
    pub help: &'static str,
}

impl MetricRow {
    /// Returns the row as it stands in the reference.
    pub fn table_row(&self) -> String {
        let Self { name, kind, unit, labels, help } = self;
        format!("| `{name}` | {kind} | {unit} | {labels} | {help} |")
    }
}

/// Returns the rows of the reference `page` whose names start with `prefix`.
pub fn documented_rows<'a>(page: &'a str, prefix: &str) -> Vec<&'a str> {
    let start = format!("| `{prefix}");
    page.lines().filter(|line| line.starts_with(&start)).collect()
}
