//! Measured points and their text format, one point a line.

/// One measurement of a sweep: the value found at one size of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// Name of the sweep, for example `entry_cpu_by_calls`.
    pub sweep: String,
    /// Size of the load, for example a call rate or a number of targets.
    pub x: f64,
    /// Unit of the size.
    pub x_unit: String,
    /// Measured value.
    pub y: f64,
    /// Unit of the value.
    pub y_unit: String,
}

impl std::fmt::Display for Point {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { sweep, x, x_unit, y, y_unit } = self;
        write!(f, "point {sweep} {x} {x_unit} {y} {y_unit}")
    }
}

impl Point {
    /// Parses a line `point <sweep> <x> <x_unit> <y> <y_unit>`; `None` if it has another form.
    pub fn parse(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace();
        if words.next() != Some("point") {
            return None;
        }
        let sweep = words.next()?.to_owned();
        let x = words.next()?.parse().ok()?;
        let x_unit = words.next()?.to_owned();
        let y = words.next()?.parse().ok()?;
        let y_unit = words.next()?.to_owned();
        Some(Self { sweep, x, x_unit, y, y_unit })
    }

    /// Parses the output of the `peer_scale` example: a first line with the number of nodes, then
    /// one figure a line as `<name> <value> <unit>`. Lines of another form are skipped.
    pub fn parse_peer_scale(text: &str) -> Vec<Self> {
        let Some(nodes) = text.lines().next().and_then(|line| {
            line.split(", ").find_map(|part| part.strip_prefix("nodes ")?.parse().ok())
        }) else {
            return Vec::new();
        };
        let figures = text.lines().skip(1).filter_map(|line| {
            let mut words = line.split_whitespace();
            let name = words.next()?;
            let y = words.next()?.parse().ok()?;
            Some(Self {
                sweep: format!("peer_{name}"),
                x: nodes,
                x_unit: "nodes".to_owned(),
                y,
                y_unit: words.next()?.to_owned(),
            })
        });
        figures.collect()
    }
}
