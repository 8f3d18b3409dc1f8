//! Organisations: whether callers can identify themselves as one.

use deck_fleet::ConfigurationEntries;

use crate::{Field, Finding, Place};

pub(crate) fn check(entries: &ConfigurationEntries) -> Vec<Finding> {
    let Some(organisations) = &entries.organisations else { return Vec::new() };
    let mut findings = Vec::new();
    let needs_key = entries.routes.iter().any(|route| !route.is_public);
    if organisations.is_empty() && needs_key {
        let message = "callers need a key, and there is no organisation that has one";
        findings.push(Finding::error(Place::Configuration, message).at(Field::Keys));
    }
    for (index, (_, keys)) in organisations.iter().enumerate() {
        if keys.is_empty() {
            let message = "has no key, so that none of its requests is accepted";
            let finding = Finding::warning(Place::Organisation(index), message);
            findings.push(finding.at(Field::Keys));
        }
    }
    if !needs_key && !entries.routes.is_empty() {
        let message = "all routes are public, so that no key is ever needed";
        findings.push(Finding::warning(Place::Configuration, message));
    }
    findings
}
