//! Measured points, one a line of text.

/// One measured point of a sweep.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// Name of the sweep, for example `entry_cpu_per_call`.
    pub sweep: String,
    /// Size.
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
    /// Reads a line; `None` if it is not a point.
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

    /// Reads the figures that the `peer_scale` example prints, which name the nodes in the first line
    /// and then one figure a line.
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
