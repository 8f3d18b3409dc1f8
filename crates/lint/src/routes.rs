//! Routes: which requests they match, and whether their bounds fit together.

use std::collections::{HashMap, HashSet};

use deck_fleet::{ConfigurationEntries, Route, RouteKind};

use crate::{Field, Finding, Place};

/// Weight of a service that gets no requests.
const NO_WEIGHT: u32 = 0;

pub(crate) fn check(entries: &ConfigurationEntries) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut route_of_prefix: HashMap<(&str, &str), usize> = HashMap::new();
    let mut names: HashMap<&str, usize> = HashMap::new();
    for (index, route) in entries.routes.iter().enumerate() {
        let place = Place::Route(index);
        findings.extend(check_match(place, route));
        findings.extend(check_bounds(place, route));
        findings.extend(check_services(place, route, entries));
        let prefix = (route.host.as_str(), route.path_prefix.as_str());
        if let Some(earlier) = route_of_prefix.get(&prefix) {
            let earlier = &entries.routes[*earlier].name;
            let message = format!(
                "never matches: route {earlier:?} before it has the same host and path prefix"
            );
            findings.push(Finding::error(place, message).at(Field::PathPrefix));
        } else {
            route_of_prefix.insert(prefix, index);
        }
        if names.insert(&route.name, index).is_some() {
            let message = "another route has the same name, so that metrics do not tell them apart";
            findings.push(Finding::warning(place, message).at(Field::Name));
        }
    }
    findings
}

/// Checks whether any request can match the route.
fn check_match(place: Place, route: &Route) -> Vec<Finding> {
    let mut findings = Vec::new();
    if route.host.is_empty() || route.host.contains(':') {
        let message = "never matches: requests are compared by their host without its port";
        findings.push(Finding::error(place, message).at(Field::Host));
    } else if route.host.chars().any(|character| character.is_ascii_uppercase()) {
        let message = "matches only callers that send the host in the same case";
        findings.push(Finding::warning(place, message).at(Field::Host));
    }
    if !route.path_prefix.starts_with('/') {
        let message = "never matches: every path begins with a slash";
        findings.push(Finding::error(place, message).at(Field::PathPrefix));
    } else if !route.path_prefix.ends_with('/') {
        let message = "also matches paths that continue the last part of the prefix; end it with a \
                       slash";
        findings.push(Finding::warning(place, message).at(Field::PathPrefix));
    }
    if route.path_prefix.contains(['?', '#']) {
        let message = "never matches: the path of a request has neither query nor fragment";
        findings.push(Finding::error(place, message).at(Field::PathPrefix));
    }
    findings
}

/// Checks whether the bounds of a route contradict each other or have no effect on its kind.
fn check_bounds(place: Place, route: &Route) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut warn = |field, message: &str| {
        findings.push(Finding::warning(place, message).at(field));
    };
    let is_rollout = route.kind == RouteKind::Rollout;
    if !is_rollout && !route.timeout.is_zero() && route.target_latency > route.timeout {
        warn(Field::TargetLatency, "requests time out before it");
    }
    if route.resumable && route.kind != RouteKind::Streaming {
        warn(Field::Resumable, "has no effect: only streams are resumed");
    }
    if route.max_attempts > 1 && !route.allows_retry() {
        warn(
            Field::MaxAttempts,
            "a request that may have run is not sent to a second target on a route of this kind",
        );
    }
    if !is_rollout {
        let job_fields = [
            (Field::ResultDeadline, !route.result_deadline.is_zero()),
            (Field::ItemDeadline, !route.item_deadline.is_zero()),
            (Field::SingleVersion, route.single_version),
        ];
        for (field, _) in job_fields.into_iter().filter(|(_, is_set)| *is_set) {
            warn(field, "has no effect: only routes of batch jobs have it");
        }
    } else if route.result_deadline.is_zero() {
        warn(Field::ResultDeadline, "results are due at once, so that every job is late");
    } else if !route.item_deadline.is_zero() && route.item_deadline < route.result_deadline {
        warn(Field::ItemDeadline, "items may be given up before their results are due");
    }
    findings
}

/// Checks whether the services of a route exist and get requests.
fn check_services(place: Place, route: &Route, entries: &ConfigurationEntries) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut names = HashSet::new();
    let has_weight = route.service_weights.iter().any(|(_, weight)| *weight > NO_WEIGHT);
    if !has_weight {
        let message = "all weights are 0, so that all requests go to the last service";
        findings.push(Finding::error(place, message).at(Field::Services));
    }
    for (name, weight) in &route.service_weights {
        let service = entries.services.iter().find(|service| service.name == *name);
        if service.is_none() {
            let message = format!("service {name:?} does not exist: its requests are refused");
            findings.push(Finding::error(place, message).at(Field::Services));
        }
        let has_engine = service.is_none_or(|service| service.engine.is_some());
        if route.kind == RouteKind::Rollout && !has_engine {
            let message = format!("service {name:?} has no engines to run batch jobs");
            findings.push(Finding::error(place, message).at(Field::Services));
        }
        if !names.insert(name) {
            let message = format!("service {name:?} is listed twice");
            findings.push(Finding::warning(place, message).at(Field::Services));
        }
        if has_weight && *weight == NO_WEIGHT {
            let message = format!("service {name:?} has weight 0 and gets no requests");
            findings.push(Finding::warning(place, message).at(Field::Services));
        }
    }
    findings
}
