//! Fitting, parsing and plotting of points.

use deckcapacity::{fit::Line, plot, point::Point};
use test_case::test_case;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    let point = |(x, y): &(f64, f64)| Point {
        sweep: "s".to_owned(),
        x: *x,
        x_unit: "a".to_owned(),
        y: *y,
        y_unit: "b".to_owned(),
    };
    values.iter().map(point).collect()
}

/// Guards against a wrong slope, and against a residual that does not show points off the line.
#[test_case(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)], 2.0, 3.0, 0.0; "line")]
#[test_case(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)], 0.0, 2.0 / 3.0, 0.942809; "no line")]
fn lines_are_fitted(values: &[(f64, f64)], slope: f64, intercept: f64, residual: f64) {
    let line = Line::fit(&points(values)).expect("line");
    for (found, expected) in
        [(line.slope, slope), (line.intercept, intercept), (line.residual_rms, residual)]
    {
        assert!((found - expected).abs() < 1e-5, "{line:?}");
    }
}

/// Guards against a slope fitted to fewer than three points or to points of a single size.
#[test_case(&[(1.0, 1.0), (2.0, 2.0)]; "two points")]
#[test_case(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]; "one size")]
fn too_little_data_is_refused(values: &[(f64, f64)]) {
    assert_eq!(Line::fit(&points(values)), None);
}

/// Guards against points that change when they are written and parsed again.
#[test]
fn points_are_read_back() {
    let point = &points(&[(1.5, 2.25)])[0];
    assert_eq!(Point::parse(&point.to_string()).as_ref(), Some(point));
    assert_eq!(Point::parse("other text"), None);
    let peers = Point::parse_peer_scale("mode relay, nodes 20, data_centres 8\njoin_time 0.4 s\n");
    assert_eq!((peers[0].x, peers[0].y, peers[0].sweep.as_str()), (20.0, 0.4, "peer_join_time"));
}

/// Guards against a plot that lacks points or the fitted line.
#[test]
fn plot_shows_points_and_line() {
    let points = points(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]);
    let svg = plot::svg(&points, Line::fit(&points)).expect("plot");
    assert_eq!(svg.matches("<circle").count(), 3);
    assert!(svg.contains("<polyline"));
}
