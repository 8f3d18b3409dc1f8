//! Finds the causes of failures and delays in the logs of several nodes.

pub mod analysis;
pub mod line;
