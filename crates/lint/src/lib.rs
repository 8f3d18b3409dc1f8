//! Checks of a configuration before operators send it: entries that can never take effect, and values
//! that contradict each other.
//!
//! Nodes accept such a configuration. Whether they accept it at all is decided by the decoder.

mod finding;
mod limits;
mod organisations;
mod routes;
mod services;

use deck_fleet::{ConfigurationEntries, config::ConfigurationVersion};

pub use finding::{Field, Finding, Place, Severity};

/// Returns the findings about a configuration that nodes can decode.
pub fn check(entries: &ConfigurationEntries) -> Vec<Finding> {
    let mut findings = limits::check(&entries.limits);
    findings.extend(routes::check(entries));
    findings.extend(services::check(entries));
    findings.extend(organisations::check(entries));
    findings
}

/// Returns the finding about a configuration whose version does not replace the one in force.
pub fn check_version(
    version: ConfigurationVersion,
    in_force: ConfigurationVersion,
) -> Option<Finding> {
    (version <= in_force).then(|| {
        let message = format!("nodes ignore it, as version {in_force} is in force");
        Finding::error(Place::Configuration, message).at(Field::Version)
    })
}
