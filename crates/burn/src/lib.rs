//! Burn report: spent error budgets and burn rates of service-level objectives, computed from the
//! metrics of the daemons.
//!
//! - [`history`] stores scraped metrics.
//! - [`series`] computes the increments of counters between scrapes, with resets and gaps.
//! - [`indicator`] classifies events as good or bad for an objective.
//! - [`report`] computes budgets, burn rates and alerts.
//! - [`render`] formats the report as text and as an HTML page.

pub mod history;
pub mod indicator;
pub mod render;
pub mod report;
pub mod series;
