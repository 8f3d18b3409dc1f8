//! Straight lines through measured points by least squares.

use crate::point::Point;

/// A fitted line `y = slope * x + intercept`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Slope.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Root mean square of the residuals.
    pub residual_rms: f64,
}

impl Line {
    /// Fits a line; `None` with fewer than three points or without different sizes, because a line
    /// through two points has no residual that could show a curve.
    pub fn fit(points: &[Point]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if spread == 0.0 {
            return None;
        }
        let covariance: f64 =
            points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let slope = covariance / spread;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 =
            points.iter().map(|point| (point.y - slope * point.x - intercept).powi(2)).sum();
        Some(Self { slope, intercept, residual_rms: (squares / count).sqrt() })
    }

    /// Returns the line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.slope * x + self.intercept
    }
}
