//! Least-squares fit of a straight line to measured points.

use crate::point::Point;

/// A fitted line `y = slope * x + intercept`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Root mean square of the residuals, in the unit of the value.
    pub residual_rms: f64,
}

impl Line {
    /// Fits a line to the points. Returns `None` if all points have the same size, or if there are
    /// fewer than three: a line through two points has no residuals, which would show that the
    /// relation is not linear.
    pub fn fit(points: &[Point]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let squared_deviations_x: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if squared_deviations_x == 0.0 {
            return None;
        }
        let deviation_products: f64 =
            points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let slope = deviation_products / squared_deviations_x;
        let intercept = mean_y - slope * mean_x;
        let squared_residuals: f64 =
            points.iter().map(|point| (point.y - slope * point.x - intercept).powi(2)).sum();
        Some(Self { slope, intercept, residual_rms: (squared_residuals / count).sqrt() })
    }

    /// Returns the value of the line at size `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.slope * x + self.intercept
    }
}
