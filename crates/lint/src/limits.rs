//! Limits on requests and connections of callers.

use std::time::Duration;

use deck_fleet::CallerLimits;

use crate::{Field, Finding, Place};

/// Least head limit of the servers; lower ones have no effect.
const MIN_HEAD_LIMIT_BYTES: usize = 8 * 1024;

pub(crate) fn check(limits: &CallerLimits) -> Vec<Finding> {
    let mut findings = Vec::new();
    if limits.max_head_bytes < MIN_HEAD_LIMIT_BYTES {
        let message = format!("heads of up to {MIN_HEAD_LIMIT_BYTES} bytes are accepted");
        findings.push(Finding::warning(Place::Limits, message).at(Field::MaxHeadBytes));
    }
    if limits.max_body_bytes == 0 {
        let message = "every request with a body is refused";
        findings.push(Finding::error(Place::Limits, message).at(Field::MaxBodyBytes));
    }
    for (time, field) in
        [(limits.head_timeout, Field::HeadTimeout), (limits.idle_timeout, Field::IdleTimeout)]
    {
        if time == Duration::ZERO {
            let message = "connections are closed before a request can arrive";
            findings.push(Finding::error(Place::Limits, message).at(field));
        }
    }
    findings
}
