//! Helpers shared by the demonstration and the capacity measurement.

pub mod error;
pub mod tools;
