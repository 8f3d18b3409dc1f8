//! Evaluation of capacity measurements: measured points, straight lines fitted to them, and plots.

pub mod fit;
pub mod plot;
pub mod point;
