//! Service-level burn report: error budget spent and burn rates, from the metrics of the daemons.
//!
//! Scrapes of the daemons' metrics are kept in a [`history`]; [`series`] turns counters into
//! increments with resets and gaps; [`indicator`] decides which events count as good;
//! [`report`] computes windows, budgets and alerts; [`html`] renders the report.

pub mod history;
pub mod html;
pub mod indicator;
pub mod report;
pub mod series;
