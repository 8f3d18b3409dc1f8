//! Services: whether requests reach them, and whether their models are unambiguous.

use std::collections::{HashMap, HashSet};

use deck_fleet::{ConfigurationEntries, ScalingConfig};

use crate::{Field, Finding, Place};

pub(crate) fn check(entries: &ConfigurationEntries) -> Vec<Finding> {
    let routes = entries.routes.iter();
    let routed: HashSet<&str> = routes
        .flat_map(|route| route.service_weights.iter().map(|(service, _)| service.as_str()))
        .collect();
    let mut findings = Vec::new();
    let mut names = HashSet::new();
    let mut service_of_model: HashMap<&str, &str> = HashMap::new();
    for (index, service) in entries.services.iter().enumerate() {
        let place = Place::Service(index);
        if !names.insert(service.name.as_str()) {
            let message = "another service has the same name: only the last one is in force";
            findings.push(Finding::error(place, message).at(Field::Name));
        }
        if !routed.contains(service.name.as_str()) {
            findings.push(Finding::warning(place, "no route leads to it"));
        }
        if let Some(engine) = &service.engine {
            if engine.slots == 0 {
                let message = "its engines have no slots and never run a request";
                findings.push(Finding::error(place, message).at(Field::Engine));
            }
            if engine.models.is_empty() {
                let message = "its engines serve no model";
                findings.push(Finding::warning(place, message).at(Field::Engine));
            }
            for model in &engine.models {
                if let Some(other) = service_of_model.insert(model, &service.name) {
                    let message = format!("model {model:?} is also one of service {other:?}");
                    findings.push(Finding::error(place, message).at(Field::Engine));
                }
            }
        }
        if let Some(scaling) = &service.scaling {
            findings.extend(check_scaling(place, scaling));
        }
    }
    findings
}

/// Checks the bounds and prices of targets that can be ordered.
fn check_scaling(place: Place, scaling: &ScalingConfig) -> Vec<Finding> {
    let mut messages = Vec::new();
    if scaling.max_targets == 0 {
        messages.push("no target can be ordered in any data centre");
    } else if scaling.min_targets == scaling.max_targets {
        messages.push("minimum and maximum are equal, so that the number of targets never changes");
    }
    if scaling.spot_price_ratio.is_some_and(|ratio| ratio >= 1.0) {
        messages.push("targets that may be reclaimed are not cheaper than the others");
    }
    let finding = |message| Finding::warning(place, message).at(Field::Scaling);
    messages.into_iter().map(finding).collect()
}
