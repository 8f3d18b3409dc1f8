//! Search of a failure's cause in logs.

pub mod line;
pub mod story;
